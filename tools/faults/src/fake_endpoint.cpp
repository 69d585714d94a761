#include "fake_endpoint.h"

#include <utility>

namespace radishpulley::faults {

using namespace std::chrono_literals;
using namespace requests;

namespace {

constexpr std::size_t piece_count = 6;
constexpr duration piece_interval = 400ms;
constexpr duration restart_time = 5s;
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
// Far from any attempt number that a machine gives.
constexpr attempt_number foreign_attempt = 1000;

std::string replace_version(std::string text) {
    for (std::size_t at = text.find("@new"); at != std::string::npos; at = text.find("@new")) {
        text.replace(at, 4, "@old");
    }
    return text;
}

}  // namespace

std::vector<std::string> answer_pieces(const std::string& call, bool is_stream) {
    std::vector<std::string> pieces;
    for (std::size_t n = 0; n < piece_count; ++n) {
        const std::string text = call + "@new-" + std::to_string(n);
        pieces.push_back(is_stream ? "data: " + text + "\n\n" : text + ";");
    }
    if (is_stream) {
        pieces.emplace_back("data: [DONE]\n\n");
    }
    return pieces;
}

std::string whole_answer_to(const std::string& call, bool is_stream) {
    std::string whole;
    for (const std::string& it : answer_pieces(call, is_stream)) {
        whole += it;
    }
    return whole;
}

fake_endpoints::fake_endpoints(scheduler& events, history& seen, std::mt19937_64& random)
    : events_(events), seen_(seen), random_(random) {}

duration fake_endpoints::hop() {
    return std::chrono::microseconds(500 + random_() % 4000);
}

std::size_t fake_endpoints::connect(const endpoint_id& endpoint, attempt_number attempt,
                                    event_sink sink) {
    const std::size_t index = connections_.size();
    connection it;
    it.endpoint = endpoint;
    it.sink = std::move(sink);
    it.attempt = attempt;
    it.silent = std::exchange(next.silent, false);
    connections_.push_back(std::move(it));
    state& target = states_[endpoint];
    if (!target.alive) {
        connections_.back().silent = false;
        deliver(index, 0, hop(), requests::events::attempt_failed{attempt, false});
        return index;
    }
    deliver(index, target.starts, hop(), requests::events::connected{attempt});
    return index;
}

// With `starts` 0 the event reaches the VM whatever becomes of the endpoint.
void fake_endpoints::deliver(std::size_t index, std::uint64_t starts, duration delay,
                             requests::event it) {
    events_.after(delay, [this, index, starts, it = std::move(it)] {
        const connection& from = connections_[index];
        const state& source = states_[from.endpoint];
        const bool is_same_start = source.alive && source.starts == starts;
        if (!from.silent && (starts == 0 || is_same_start)) {
            from.sink(it);
        }
    });
}

void fake_endpoints::send(std::size_t index, const endpoint_call& call) {
    const bool lost = connections_[index].silent && random_() % 2 == 0;
    if (lost) {
        return;
    }
    events_.after(hop(), [this, index, call] { arrive(index, call); });
}

void fake_endpoints::arrive(std::size_t index, const endpoint_call& call) {
    const endpoint_id endpoint = connections_[index].endpoint;
    if (!states_[endpoint].alive) {
        deliver(index, 0, hop(), requests::events::attempt_failed{call.attempt, false});
        return;
    }
    if (call.resume_from == 0) {
        seen_.runs.push_back({endpoint, call.request, call.call, events_.now()});
    }
    if (std::exchange(next.unable, false)) {
        answer_unable(index, call);
        return;
    }
    answer(index, call);
}

void fake_endpoints::answer_unable(std::size_t index, const endpoint_call& call) {
    const std::uint64_t starts = states_[connections_[index].endpoint].starts;
    requests::events::response_head head;
    head.attempt = call.attempt;
    head.status = status_unavailable;
    head.framing = body_framing::content_length;
    head.content_length = std::string(unable_body).size();
    const duration first = hop();
    deliver(index, starts, first, head);
    deliver(index, starts, first + 1ms, requests::events::chunk{call.attempt, 0, unable_body});
    deliver(index, starts, first + 2ms, requests::events::response_end{call.attempt, true});
}

requests::events::response_head fake_endpoints::head_for(std::size_t index,
                                                         const endpoint_call& call) {
    connection& via = connections_[index];
    state& source = states_[via.endpoint];
    requests::events::response_head head;
    head.attempt = call.attempt;
    head.status = status_ok;
    head.framing = call.is_stream ? body_framing::server_sent_events : body_framing::content_length;
    if (!call.is_stream) {
        head.content_length = whole_answer_to(call.call, false).size();
    }
    head.echoed_id = call.request;
    head.served_version = "adapter@new";
    if (std::exchange(next.crossed, false)) {
        head.echoed_id = request_id("somebody-else");
    }
    const bool has_stream = source.streams.count(call.request) != 0;
    head.resumed_from = has_stream ? call.resume_from : 0;
    source.streams.insert(call.request);
    return head;
}

void fake_endpoints::answer(std::size_t index, const endpoint_call& call) {
    connection& via = connections_[index];
    const std::uint64_t starts = states_[via.endpoint].starts;
    requests::events::response_head head = head_for(index, call);
    const bool is_old = std::exchange(next.old_version, false);
    if (is_old) {
        head.served_version = "adapter@old";
    }
    via.cut = via.cut || std::exchange(next.cut, false);
    via.doubled = via.doubled || std::exchange(next.doubled, false);
    std::vector<std::string> pieces = answer_pieces(call.call, call.is_stream);
    pieces.erase(pieces.begin(), pieces.begin() + static_cast<long>(head.resumed_from));
    duration delay = hop() + 100ms;
    deliver(index, starts, delay, head);
    for (const std::string& piece : pieces) {
        delay += piece_interval;
        send_piece(index, starts, delay, is_old ? replace_version(piece) : piece);
    }
    deliver(index, starts, delay + 1ms, requests::events::response_end{call.attempt, true});
}

void fake_endpoints::send_piece(std::size_t index, std::uint64_t starts, duration delay,
                                const std::string& piece) {
    events_.after(delay, [this, index, starts, piece] {
        connection& via = connections_[index];
        const attempt_number attempt = via.attempt;
        if (std::exchange(via.cut, false)) {
            via.sink(requests::events::response_end{attempt, true});
            via.silent = true;
            return;
        }
        const std::uint64_t sequence = via.next_sequence++;
        deliver(index, starts, 0s, requests::events::chunk{attempt, sequence, piece});
        if (std::exchange(via.doubled, false)) {
            deliver(index, starts, 1ms, requests::events::chunk{attempt, sequence, piece});
        }
        if (std::exchange(via.crossed, false)) {
            deliver(index, starts, 1ms,
                    requests::events::chunk{foreign_attempt, 0, "somebody-else's bytes"});
        }
    });
}

bool fake_endpoints::answers(std::size_t index) const {
    const connection& it = connections_.at(index);
    const auto source = states_.find(it.endpoint);
    return !it.silent && source != states_.end() && source->second.alive;
}

void fake_endpoints::die(const endpoint_id& endpoint) {
    state& source = states_[endpoint];
    if (!source.alive) {
        return;
    }
    source.alive = false;
    source.streams.clear();
    for (std::size_t i = 0; i < connections_.size(); ++i) {
        if (connections_[i].endpoint == endpoint) {
            const attempt_number attempt = connections_[i].attempt;
            deliver(i, 0, hop(), requests::events::attempt_failed{attempt, false});
        }
    }
    events_.after(restart_time, [this, endpoint] {
        states_[endpoint].alive = true;
        ++states_[endpoint].starts;
    });
}

void fake_endpoints::silence_all(const endpoint_id& endpoint) {
    for (connection& it : connections_) {
        it.silent = it.silent || it.endpoint == endpoint;
    }
}

}  // namespace radishpulley::faults
