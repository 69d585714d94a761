#include "entry_vm.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace radishpulley::faults {

using namespace std::chrono_literals;
using namespace requests;

namespace {

constexpr duration request_time = 30s;
constexpr duration poll_interval = 1s;
constexpr duration local_step = 200us;
constexpr duration record_wait = 200ms;
constexpr duration state_interval = 400ms;
constexpr duration state_answer_time = 2ms;
constexpr duration max_state_age = 1s;
constexpr idempotency::epoch_number epoch = 1;
constexpr std::size_t half_of_pieces = 3;
constexpr std::size_t full_backlog = 1'000'000;
constexpr int status_unavailable = 503;

shutdown_settings settings() {
    return shutdown_settings_builder()
        .balancer_wait(5s)
        .grace(request_time + 5s)
        .longest_request(request_time)
        .return_wait(40s)
        .build();
}

error_code code_of(idempotency::refusal why) {
    switch (why) {
        case idempotency::refusal::unavailable:
        case idempotency::refusal::rate_limited:
            return error_code::record_unavailable;
        case idempotency::refusal::key_reused:
            return error_code::key_reused;
        case idempotency::refusal::outcome_not_kept:
            return error_code::outcome_not_kept;
        case idempotency::refusal::outcome_unknown:
        case idempotency::refusal::in_progress_here:
            break;
    }
    return error_code::outcome_unknown;
}

run_state run_of(idempotency::refusal why) {
    switch (why) {
        case idempotency::refusal::unavailable:
        case idempotency::refusal::rate_limited:
        case idempotency::refusal::key_reused:
            return run_state::not_run;
        case idempotency::refusal::outcome_not_kept:
            return run_state::ran;
        case idempotency::refusal::outcome_unknown:
        case idempotency::refusal::in_progress_here:
            break;
    }
    return run_state::unknown;
}

std::string step_name(const request_state& state) {
    const std::string name(name_of(state));
    if (name == "waiting_for_admission") {
        return "waiting";
    }
    return name == "finished" ? "ended" : name;
}

}  // namespace

std::vector<endpoint_id> endpoint_names() {
    return {endpoint_id("endpoint-1"), endpoint_id("endpoint-2")};
}

void surroundings::note(const std::string& line) {
    const auto since_start = events.now() - virtual_clock().now();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since_start).count();
    trace.push_back(std::to_string(ms) + " ms  " + line);
}

entry_vm::active::active(request_parameters terms, exchange& from)
    : machine(std::move(terms), request_limits()), caller(from) {}

entry_vm::entry_vm(surroundings& world, vm_incarnation self, std::uint64_t seed)
    : world_(world),
      self_(std::move(self)),
      guard_(world.store, self_, idempotency::guard_limits()),
      queue_(admission_limits()),
      budget_(retry_limits(), seed),
      monitor_(connection_limits()),
      shutdown_(settings()),
      freshness_(max_state_age) {
    later(poll_interval, [this] { poll(); });
    later(0s, [this] { poll_state(); });
}

void entry_vm::later(duration delay, std::function<void()> action) {
    world_.events.after(delay, [this, action = std::move(action)] {
        if (!alive_) {
            return;
        }
        if (world_.events.now() < paused_until_) {
            later(paused_until_ - world_.events.now(), action);
            return;
        }
        action();
    });
}

void entry_vm::take(exchange& from) {
    arriving_.push_back(&from);
    later(0s, [this, &from] {
        arriving_.erase(std::find(arriving_.begin(), arriving_.end(), &from));
        from.taken = true;
        request_parameters terms{from.id, from.repeat, world_.events.now() + request_time,
                                 "adapter@new"};
        active& it = active_
                         .emplace(std::piecewise_construct, std::forward_as_tuple(from.id),
                                  std::forward_as_tuple(std::move(terms), from))
                         .first->second;
        enter_step(it, "received");
        if (!shutdown_.accepts_new()) {
            tell_later(local_step, from.id,
                       events::refused{error_code::shutting_down, "the daemon stops",
                                       shutdown_retry_after});
            return;
        }
        tell_later(local_step, from.id, events::validated{});
    });
}

void entry_vm::tell_later(duration delay, const request_id& request, event it) {
    later(delay, [this, request, it = std::move(it)] { tell(request, it); });
}

void entry_vm::tell(const request_id& request, const event& it) {
    const auto held = active_.find(request);
    if (held == active_.end()) {
        return;
    }
    active& target = held->second;
    const decision_list list = target.machine.handle(it, world_.events.now());
    const std::string step = step_name(target.machine.state());
    const bool is_chunk = std::holds_alternative<events::chunk>(it) && step == "answering";
    target.pieces += is_chunk ? 1 : 0;
    const bool is_half = step == "answering" && target.pieces >= half_of_pieces;
    enter_step(target, is_half ? "half_answered" : step);
    for (const decision& entry : list) {
        if (!alive_) {
            return;
        }
        carry_out(target, entry);
    }
    if (target.machine.is_finished() && alive_) {
        remove(request);
    }
}

void entry_vm::tell_all(const event& it) {
    std::vector<request_id> ids;
    for (const auto& [id, held] : active_) {
        ids.push_back(id);
    }
    for (const request_id& id : ids) {
        tell(id, it);
    }
}

void entry_vm::enter_step(active& it, const std::string& step) {
    if (it.step == step) {
        return;
    }
    it.step = step;
    world_.note(self_.vm.str() + " " + it.caller.id.str() + " " + step);
    world_.on_step(step, &it.caller);
}

void entry_vm::remove(const request_id& request) {
    const auto held = active_.find(request);
    if (held->second.permit) {
        guard_.abandon(*held->second.permit);
    }
    queue_.withdraw(request);
    active_.erase(held);
    later(0s, [this] { poll_shutdown(); });
}

// Carries out one decision.
struct decision_visitor {
    entry_vm& vm;
    entry_vm::active& it;

    void reply(event what) const { vm.tell_later(local_step, it.caller.id, std::move(what)); }
    void operator()(const decisions::authenticate_caller&) const {
        entry_vm& target = vm;
        const request_id id = it.caller.id;
        vm.later(local_step,
                 [&target, id] { target.when_fresh([&target, id] { target.check_key(id); }); });
    }
    void operator()(const decisions::admit_request&) const {
        const request_id id = it.caller.id;
        const time_point now = vm.world_.events.now();
        const admission result =
            vm.queue_.try_enqueue(id, client_account_id("account"), now + request_time, 1, now);
        if (const auto* refusal = std::get_if<enqueue_refused>(&result)) {
            reply(events::refused{refusal->code, "no place", refusal->retry_after});
            return;
        }
        reply(events::queued{});
        entry_vm& target = vm;
        vm.later(3 * local_step, [&target, id] {
            if (target.queue_.start(id, target.world_.events.now())) {
                target.tell(id, events::admitted{});
            }
        });
    }
    void operator()(const decisions::create_record&) const {
        entry_vm& target = vm;
        const request_id id = it.caller.id;
        vm.later(local_step, [&target, id] { target.create_record(id); });
    }
    void operator()(const decisions::select_endpoint& ask) const {
        entry_vm& target = vm;
        const request_id id = it.caller.id;
        vm.later(local_step, [&target, id, ask] {
            target.when_fresh([&target, id, ask] { target.choose_endpoint(id, ask); });
        });
    }
    void operator()(const decisions::release_endpoint& ask) const {
        vm.count_use(ask.endpoint, -1, 0);
    }
    void operator()(const decisions::release_admission&) const {}
    void operator()(const decisions::open_connection& ask) const { vm.open_connection(it, ask); }
    void operator()(const decisions::send_request& ask) const { vm.send(it, ask); }
    void operator()(const decisions::cancel_attempt& ask) const {
        vm.end_attempt(it, ask.attempt, false);
    }
    void operator()(const decisions::suspend_attempt& ask) const {
        vm.end_attempt(it, ask.attempt, true);
    }
    void operator()(const decisions::release_attempt& ask) const {
        vm.end_attempt(it, ask.attempt, false);
    }
    void operator()(const decisions::acquire_retry& ask) const {
        const auto delay = vm.budget_.try_spend(it.caller.id, ask.failed_attempt);
        delay ? reply(events::retry_granted{*delay}) : reply(events::retry_denied{});
    }
    void operator()(const decisions::wake_at& ask) const {
        vm.tell_later(ask.when - vm.world_.events.now(), it.caller.id, events::tick{});
    }
    void operator()(const decisions::forward_head& ask) const {
        if (ask.status == status_unavailable) {
            it.caller.expected = unable_body;
        }
    }
    void operator()(const decisions::forward_bytes& ask) const { vm.give_to_caller(it, ask.data); }
    void operator()(const decisions::pause_reading&) const {}
    void operator()(const decisions::resume_reading&) const {}
    void operator()(const decisions::release_record&) const {
        if (it.permit) {
            vm.guard_.release(*it.permit, vm.world_.events.now());
            it.permit.reset();
        }
    }
    void operator()(const decisions::store_outcome& ask) const {
        if (it.permit) {
            vm.guard_.finish(*it.permit, {ask.status, ask.content_type, ask.body, ask.body_kept},
                             vm.world_.events.now());
            it.permit.reset();
        }
    }
    void operator()(const decisions::send_error& ask) const {
        vm.end_exchange(it, exchange_end::error, ask.error);
    }
    void operator()(const decisions::end_with_error_event& ask) const {
        vm.end_exchange(it, exchange_end::error_event, ask.error);
    }
    void operator()(const decisions::abort_response& ask) const {
        vm.end_exchange(it, exchange_end::broken, ask.error);
    }
    void operator()(const decisions::end_response&) const {
        vm.end_exchange(it, exchange_end::whole);
    }
    void operator()(const decisions::finished&) const {}
};

void entry_vm::carry_out(active& it, const decision& what) {
    std::visit(decision_visitor{*this, it}, what);
}

void entry_vm::check_key(const request_id& request) {
    if (key_valid_) {
        tell(request, events::authenticated{});
        return;
    }
    tell(request, events::refused{error_code::unauthenticated, "no such key", std::nullopt});
}

void entry_vm::create_record(const request_id& request) {
    const auto held = active_.find(request);
    if (held == active_.end()) {
        return;
    }
    active& it = held->second;
    idempotency::begin_result result =
        guard_.begin({client_account_id("account"), it.caller.call, it.caller.call, request}, epoch,
                     world_.events.now());
    if (auto* permit = std::get_if<idempotency::run_permit>(&result)) {
        it.permit = std::move(*permit);
        tell(request, events::record_created{});
        return;
    }
    if (const auto* outcome = std::get_if<idempotency::outcome>(&result)) {
        tell(request, events::record_found{outcome->status, outcome->content_type, outcome->body});
        return;
    }
    const auto why = std::get<idempotency::refusal>(result);
    if (why == idempotency::refusal::in_progress_here) {
        later(record_wait, [this, request] { create_record(request); });
        return;
    }
    tell(request, events::record_refused{code_of(why), run_of(why), "refused by its record"});
}

void entry_vm::choose_endpoint(const request_id& id, const decisions::select_endpoint& ask) {
    if (active_.count(id) == 0) {
        return;
    }
    const auto refuse = [&] {
        tell_later(local_step, id,
                   events::refused{error_code::no_endpoint, "no endpoint", std::nullopt});
    };
    if (std::exchange(world_.refuse_next_routing, false)) {
        refuse();
        return;
    }
    for (const endpoint_id& endpoint : endpoint_names()) {
        const bool is_avoided =
            std::find(ask.avoid.begin(), ask.avoid.end(), endpoint) != ask.avoid.end();
        const bool is_wanted =
            ask.resume_at ? endpoint == *ask.resume_at : !is_avoided && gate_.may_start(endpoint);
        if (is_wanted) {
            count_use(endpoint, 1, 0);
            later(local_step, [this, id, endpoint] { tell_choice(id, endpoint); });
            return;
        }
    }
    refuse();
}

void entry_vm::tell_choice(const request_id& request, const endpoint_id& endpoint) {
    if (active_.count(request) == 0) {
        count_use(endpoint, -1, 0);
        return;
    }
    tell(request, events::endpoint_chosen{endpoint, true});
}

void entry_vm::note_heard(const request_id& request, attempt_number attempt) {
    const auto held = active_.find(request);
    if (held == active_.end()) {
        return;
    }
    const auto via = held->second.connections.find(attempt);
    if (via != held->second.connections.end()) {
        monitor_.received(via->second + 1, world_.events.now());
    }
}

void entry_vm::hear(const request_id& request, const event& it) {
    const auto held = active_.find(request);
    if (held == active_.end()) {
        return;
    }
    // The endpoint may have begun to leave after it was chosen.
    const endpoint_id endpoint = held->second.machine.endpoint();
    if (std::holds_alternative<events::connected>(it) && !gate_.may_start(endpoint)) {
        tell(request, events::endpoint_leaving{endpoint});
    }
    tell(request, it);
}

void entry_vm::open_connection(active& it, const decisions::open_connection& ask) {
    const request_id id = it.caller.id;
    it.uses[ask.attempt] = ask.endpoint;
    const std::size_t index = world_.endpoints.connect(
        ask.endpoint, ask.attempt, [this, id, attempt = ask.attempt](const event& what) {
            later(0s, [this, id, attempt, what] {
                note_heard(id, attempt);
                when_fresh([this, id, what] { hear(id, what); });
            });
        });
    it.connections[ask.attempt] = index;
    const connection_number number = index + 1;
    supervised_[number] = {id, ask.attempt};
    monitor_.opened(number, std::to_string(number), world_.events.now());
}

void entry_vm::send(active& it, const decisions::send_request& ask) {
    const endpoint_id endpoint = it.uses[ask.attempt];
    it.running[ask.attempt] = endpoint;
    count_use(endpoint, 0, 1);
    budget_.count_request();
    const bool is_stream = it.caller.repeat == repeat_policy::idempotent &&
                           it.caller.call.find("stream") != std::string::npos;
    const endpoint_call call{it.caller.id, it.caller.call, is_stream, ask.attempt, ask.resume_from};
    const std::size_t index = it.connections[ask.attempt];
    later(0s, [this, index, call, endpoint] {
        const bool may_start = call.resume_from != 0 || gate_.may_start(endpoint);
        if (may_start && freshness_.is_fresh(world_.events.now())) {
            world_.endpoints.send(index, call);
        } else {
            tell(call.request, events::not_sent{call.attempt});
        }
    });
}

void entry_vm::end_attempt(active& it, attempt_number attempt, bool keeps_use) {
    const connection_number number = it.connections[attempt] + 1;
    supervised_.erase(number);
    monitor_.remove(std::to_string(number));
    const auto ran = it.running.find(attempt);
    if (ran != it.running.end() && !keeps_use) {
        const endpoint_id endpoint = ran->second;
        it.running.erase(ran);
        count_use(endpoint, 0, -1);
    }
    const auto used = it.uses.find(attempt);
    if (used != it.uses.end() && !keeps_use) {
        const endpoint_id endpoint = used->second;
        it.uses.erase(used);
        count_use(endpoint, -1, 0);
    }
}

void entry_vm::count_use(const endpoint_id& endpoint, int uses, int running) {
    use_count& it = uses_[endpoint];
    it.vm = self_.vm;
    it.endpoint = endpoint;
    it.uses += uses;
    it.running += running;
    world_.seen.uses.push_back(it);
}

void entry_vm::note_final_uses() {
    if (!alive_) {
        return;
    }
    for (auto& [endpoint, it] : uses_) {
        it.at_end = true;
        world_.seen.uses.push_back(it);
    }
}

void entry_vm::give_to_caller(active& it, const std::string& data) {
    if (it.caller.end != exchange_end::none) {
        return;
    }
    it.caller.received += data;
    it.caller.last_byte = world_.events.now();
    if (it.reads_no_more) {
        tell_later(local_step, it.caller.id, events::caller_backlog{full_backlog});
    }
}

void entry_vm::end_exchange(active& it, exchange_end how, std::optional<request_error> error) {
    if (it.caller.end != exchange_end::none) {
        return;
    }
    it.caller.end = how;
    if (error) {
        world_.note(it.caller.id.str() + " gets " + std::string(name_of(error->code)) + " " +
                    std::string(name_of(error->run)));
    }
    it.caller.error = std::move(error);
    world_.on_end(it.caller);
}

void entry_vm::caller_leaves(exchange& from) {
    if (from.end != exchange_end::none) {
        return;
    }
    from.end = exchange_end::left;
    tell_later(local_step, from.id, events::caller_left{});
    world_.on_end(from);
}

void entry_vm::caller_reads_no_more(exchange& from) {
    const auto held = active_.find(from.id);
    if (held != active_.end()) {
        held->second.reads_no_more = true;
    }
}

void entry_vm::withdraw_key() {
    if (std::exchange(key_valid_, false)) {
        tell_all(events::key_withdrawn{});
    }
}

void entry_vm::close_endpoint(const endpoint_id& endpoint) {
    if (gate_.close(endpoint, leaving_reason::announced)) {
        tell_all(events::endpoint_leaving{endpoint});
    }
}

void entry_vm::poll_state() {
    const time_point asked_at = world_.events.now();
    world_.events.after(state_answer_time, [this, asked_at] {
        later(0s, [this, asked_at, state = world_.published] { take_state(state, asked_at); });
    });
    later(state_interval, [this] { poll_state(); });
}

void entry_vm::take_state(const published_state& state, time_point asked_at) {
    for (const endpoint_id& endpoint : state.left) {
        close_endpoint(endpoint);
    }
    if (!state.key_valid) {
        withdraw_key();
    }
    freshness_.confirm(asked_at);
    while (alive_ && !held_.empty() && freshness_.is_fresh(world_.events.now())) {
        const std::function<void()> action = std::move(held_.front());
        held_.pop_front();
        action();
    }
}

// Actions that wait keep their order.
void entry_vm::when_fresh(std::function<void()> action) {
    if (held_.empty() && freshness_.is_fresh(world_.events.now())) {
        action();
    } else {
        held_.push_back(std::move(action));
    }
}

void entry_vm::stop() {
    later(0s, [this] {
        if (!shutdown_.begin(world_.events.now()).empty()) {
            world_.note(self_.vm.str() + " announcing");
            world_.on_step("announcing", nullptr);
        }
    });
}

void entry_vm::die() {
    if (!alive_) {
        return;
    }
    alive_ = false;
    world_.note(self_.vm.str() + " dies");
    for (auto& [id, it] : active_) {
        arriving_.push_back(&it.caller);
    }
    for (exchange* it : arriving_) {
        if (it->end == exchange_end::none) {
            it->end = exchange_end::broken;
            world_.on_end(*it);
        }
    }
}

void entry_vm::pause(duration span) {
    world_.note(self_.vm.str() + " pauses");
    paused_until_ = std::max(paused_until_, world_.events.now() + span);
}

void entry_vm::poll() {
    guard_.retry_pending(world_.events.now());
    poll_connections();
    poll_shutdown();
    if (alive_) {
        later(poll_interval, [this] { poll(); });
    }
}

void entry_vm::poll_connections() {
    for (const connection_action& action : monitor_.poll(world_.events.now())) {
        if (const auto* it = std::get_if<send_heartbeat>(&action)) {
            const connection_number number = it->connection;
            if (world_.endpoints.answers(number - 1)) {
                later(1ms, [this, number] { monitor_.received(number, world_.events.now()); });
            }
        }
        if (const auto* it = std::get_if<discard_connection>(&action)) {
            const auto held = supervised_.find(it->connection);
            if (held != supervised_.end()) {
                const auto [request, attempt] = held->second;
                tell_later(0s, request, events::attempt_failed{attempt, true});
            }
            monitor_.remove(it->remote);
        }
    }
}

void entry_vm::poll_shutdown() {
    const auto actions = shutdown_.poll(active_.size(), guard_.pending(), world_.events.now());
    for (const shutdown_action& action : actions) {
        if (std::holds_alternative<refuse_new_requests>(action)) {
            world_.note(self_.vm.str() + " finishing");
            world_.on_step("finishing", nullptr);
        }
        if (std::holds_alternative<end_grace_period>(action)) {
            tell_all(events::grace_ended{});
        }
        if (std::holds_alternative<return_holdings>(action)) {
            world_.note(self_.vm.str() + " returning");
            world_.seen.returns.push_back({self_.vm, active_.size()});
            world_.on_step("returning", nullptr);
        }
        if (const auto* it = std::get_if<exit_process>(&action)) {
            world_.note(self_.vm.str() + " exits with " + std::to_string(it->status));
            world_.seen.exits.push_back({self_.vm, active_.size()});
            note_final_uses();
            die();
        }
    }
}

endpoint_id entry_vm::endpoint_of(const exchange& it) const {
    const auto held = active_.find(it.id);
    return held == active_.end() ? endpoint_id() : held->second.machine.endpoint();
}

std::optional<std::size_t> entry_vm::connection_of(const exchange& it) const {
    const auto held = active_.find(it.id);
    if (held == active_.end() || held->second.connections.empty()) {
        return std::nullopt;
    }
    return held->second.connections.rbegin()->second;
}

}  // namespace radishpulley::faults
