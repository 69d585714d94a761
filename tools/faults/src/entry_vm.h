/// One daemon's handling of requests, wired from the real decision code to fakes.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/identifier.h"
#include "fake_endpoint.h"
#include "history.h"
#include "idempotency/once_guard.h"
#include "object_api/object_store.h"
#include "requests/admission_queue.h"
#include "requests/connection_monitor.h"
#include "requests/endpoint_gate.h"
#include "requests/request_machine.h"
#include "requests/retry_budget.h"
#include "requests/shutdown_sequence.h"
#include "requests/state_freshness.h"
#include "scheduler.h"

namespace radishpulley::faults {

/// The names of the two endpoints.
std::vector<endpoint_id> endpoint_names();

/// What the platform has published of keys and endpoints.
struct published_state {
    bool key_valid = true;
    std::vector<endpoint_id> left;
};

/// Called when a request or the daemon comes to a step.
using step_listener = std::function<void(std::string_view step, exchange* of)>;

/// What the daemons share.
struct surroundings {
    scheduler& events;
    history& seen;
    fake_endpoints& endpoints;
    object_api::object_store& store;
    std::mt19937_64& random;
    std::vector<std::string>& trace;
    step_listener on_step;
    /// Called when an exchange ends, for the caller's repeat.
    std::function<void(exchange&)> on_end;
    published_state published;
    bool refuse_next_routing = false;

    void note(const std::string& line);
};

/// A daemon. It must outlive the scheduler's actions; a dead one only ignores them.
class entry_vm {
public:
    entry_vm(surroundings& world, vm_incarnation self, std::uint64_t seed);

    void take(exchange& from);
    void caller_leaves(exchange& from);
    void caller_reads_no_more(exchange& from);
    void stop();
    void die();
    void pause(duration span);

    bool is_alive() const { return alive_; }
    bool is_stopping() const { return shutdown_.phase() != requests::shutdown_phase::serving; }
    bool accepts_new() const { return alive_ && shutdown_.is_ready(); }
    const vm_id& name() const { return self_.vm; }
    /// The endpoint of the exchange's present attempt; empty without one.
    endpoint_id endpoint_of(const exchange& it) const;
    std::optional<std::size_t> connection_of(const exchange& it) const;
    void note_final_uses();

private:
    struct active {
        active(requests::request_parameters terms, exchange& from);

        requests::request_machine machine;
        exchange& caller;
        std::string step;
        std::optional<idempotency::run_permit> permit;
        std::map<requests::attempt_number, std::size_t> connections;
        std::map<requests::attempt_number, endpoint_id> uses;
        std::map<requests::attempt_number, endpoint_id> running;
        std::size_t pieces = 0;
        bool reads_no_more = false;
    };
    friend struct decision_visitor;

    void later(duration delay, std::function<void()> action);
    void tell(const request_id& request, const requests::event& it);
    void tell_later(duration delay, const request_id& request, requests::event it);
    void tell_all(const requests::event& it);
    void enter_step(active& it, const std::string& step);
    void carry_out(active& it, const requests::decision& what);
    void poll();
    void poll_state();
    void take_state(const published_state& state, time_point asked_at);
    void when_fresh(std::function<void()> action);
    void withdraw_key();
    void close_endpoint(const endpoint_id& endpoint);
    void poll_connections();
    void poll_shutdown();
    void create_record(const request_id& request);
    void choose_endpoint(const request_id& id, const requests::decisions::select_endpoint& ask);
    void check_key(const request_id& request);
    void tell_choice(const request_id& request, const endpoint_id& endpoint);
    void note_heard(const request_id& request, requests::attempt_number attempt);
    void hear(const request_id& request, const requests::event& it);
    void open_connection(active& it, const requests::decisions::open_connection& ask);
    void send(active& it, const requests::decisions::send_request& ask);
    void end_attempt(active& it, requests::attempt_number attempt, bool keeps_use);
    void give_to_caller(active& it, const std::string& data);
    void end_exchange(active& it, exchange_end how,
                      std::optional<requests::request_error> error = std::nullopt);
    void count_use(const endpoint_id& endpoint, int uses, int running);
    void remove(const request_id& request);

    surroundings& world_;
    const vm_incarnation self_;
    idempotency::once_guard guard_;
    requests::admission_queue queue_;
    requests::retry_budget budget_;
    requests::endpoint_gate gate_;
    requests::connection_monitor monitor_;
    requests::shutdown_sequence shutdown_;
    requests::state_freshness freshness_;
    std::deque<std::function<void()>> held_;
    std::map<request_id, active> active_;
    std::vector<exchange*> arriving_;
    std::map<requests::connection_number, std::pair<request_id, requests::attempt_number>>
        supervised_;
    std::map<endpoint_id, use_count> uses_;
    bool alive_ = true;
    bool key_valid_ = true;
    time_point paused_until_;
};

}  // namespace radishpulley::faults
