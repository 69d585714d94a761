/// Two endpoints that answer, and the faults of their answers.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/identifier.h"
#include "history.h"
#include "requests/events.h"
#include "scheduler.h"

namespace radishpulley::faults {

/// Marks on the answers that are to come, each used up by one connection.
struct answer_faults {
    bool silent = false;
    bool unable = false;
    bool cut = false;
    bool doubled = false;
    bool crossed = false;
    bool old_version = false;
};

/// One request as an endpoint gets it.
struct endpoint_call {
    request_id request;
    std::string call;
    bool is_stream = false;
    requests::attempt_number attempt = 0;
    std::uint64_t resume_from = 0;
};

/// What a connection brings back to its VM.
using event_sink = std::function<void(requests::event)>;

/// Returns the answer to a call, in the pieces in which endpoints send it.
std::vector<std::string> answer_pieces(const std::string& call, bool is_stream);
std::string whole_answer_to(const std::string& call, bool is_stream);

/// Body of an endpoint's status 503.
constexpr const char* unable_body = "unable";

/// One connection; it outlives its use by the VM, so that late bytes can come.
struct connection {
    endpoint_id endpoint;
    event_sink sink;
    bool silent = false;
    bool cut = false;
    bool doubled = false;
    bool crossed = false;
    std::uint64_t next_sequence = 0;
    requests::attempt_number attempt = 0;
};

/// The endpoints of the one service.
class fake_endpoints {
public:
    fake_endpoints(scheduler& events, history& seen, std::mt19937_64& random);

    /// Opens a connection; the sink gets connected or attempt_failed.
    std::size_t connect(const endpoint_id& endpoint, requests::attempt_number attempt,
                        event_sink sink);
    /// The request's bytes leave the VM.
    void send(std::size_t connection_index, const endpoint_call& call);
    /// Answers a heartbeat unless the connection is silent or its endpoint dead.
    bool answers(std::size_t connection_index) const;

    void die(const endpoint_id& endpoint);
    void silence_all(const endpoint_id& endpoint);
    connection& at(std::size_t connection_index) { return connections_.at(connection_index); }

    answer_faults next;

private:
    struct state {
        bool alive = true;
        std::uint64_t starts = 1;
        std::set<request_id> streams;
    };

    duration hop();
    void deliver(std::size_t index, std::uint64_t starts, duration delay, requests::event it);
    void arrive(std::size_t index, const endpoint_call& call);
    void answer(std::size_t index, const endpoint_call& call);
    void answer_unable(std::size_t index, const endpoint_call& call);
    requests::events::response_head head_for(std::size_t index, const endpoint_call& call);
    void send_piece(std::size_t index, std::uint64_t starts, duration delay,
                    const std::string& piece);

    scheduler& events_;
    history& seen_;
    std::mt19937_64& random_;
    std::map<endpoint_id, state> states_;
    std::vector<connection> connections_;
};

}  // namespace radishpulley::faults
