/// Weighted fair queueing of one daemon's requests for the endpoints of one service.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "fairness/demand.h"

namespace radishpulley::fairness {

/// Number of a request in the queue; unique for one start of the daemon.
using queue_number = std::uint64_t;

/// Settings of a queue.
struct queue_policy {
    /// Most requests of one account that wait.
    std::size_t max_waiting = 256;
    /// Age after which shares from the fleet no longer count; then accounts only take turns by
    /// weight.
    duration shares_lifetime = std::chrono::seconds(60);
    /// Age from which shares are applied to the demand that they were made for, because what waits
    /// here grows while nobody balances it.
    duration shares_fresh_for = std::chrono::seconds(3);
    /// Running time that an account may use ahead of its share, in request-seconds.
    double burst = 1;
};

/// A request that waits for an endpoint.
struct queued_request {
    queue_number number = 0;
    client_account_id account;
    double weight = 1;
    /// Moment at which an answer is of no more use.
    time_point deadline{};
    /// Expected running time.
    duration expected = duration::zero();
};

/// The request waits in the queue.
struct queued {
    queue_number number = 0;
};

/// Why a request does not wait.
enum class queue_refusal { account_queue_full, deadline_too_early };

/// The request was refused before it ran; the same one could be queued in `retry_after`.
struct not_queued {
    queue_number number = 0;
    queue_refusal reason = queue_refusal::account_queue_full;
    duration retry_after = duration::zero();
};

using queue_decision = std::variant<queued, not_queued>;

/// Decides the order of requests. Pure; not thread-safe.
///
///     fair_queue queue(policy);
///     queue.push(request, now);
///     while (free_endpoint && (number = queue.pop(now))) start(*number);
///     queue.finish(number, now);
class fair_queue {
public:
    explicit fair_queue(queue_policy policy);

    /// Adds a request, or refuses it if its account's line is full or is too long for its deadline.
    queue_decision push(const queued_request& request, time_point now);

    /// Returns the request to start next, if an account with a share left has one.
    std::optional<queue_number> pop(time_point now);

    /// Books the end of a request that was started; cancels one that waits.
    void finish(queue_number number, time_point now);

    /// Takes the waiting requests whose deadline has passed.
    std::vector<queue_number> remove_expired(time_point now);

    /// Takes over the fleet's shares.
    void set_shares(const fair_ratios& shares, time_point now);

    /// Demand of this daemon, to be added to the fleet's.
    demand_summary demand() const;

    /// Moment at which pop() may succeed though nothing finishes; `time_point::max()` if none.
    time_point next_event(time_point now) const;

    std::size_t waiting_count() const;

private:
    struct running_request {
        client_account_id account;
        time_point started_at{};
    };
    struct account_queue {
        double weight = 1;
        std::deque<queued_request> waiting;
        std::size_t running = 0;
        // Running time used by weight; the account with the least goes first.
        double virtual_time = 0;
        // Request-seconds that may be used; negative after a long request.
        double credit = 0;
        time_point updated_at{};
        // Average of the requests here whenever shares came.
        double usual_demand = 0;
        // Average running time of finished requests, in seconds.
        double usual_time = 0;
    };

    double share_of(const client_account_id& account, const account_queue& it,
                    time_point now) const;
    void update(const client_account_id& account, account_queue& it, time_point now);
    bool has_fresh_shares(time_point now) const;
    bool is_limited(const client_account_id& account, time_point now) const;
    duration expected_wait(const client_account_id& account, const account_queue& it,
                           time_point now) const;

    queue_policy policy_;
    std::map<client_account_id, account_queue> accounts_;
    std::map<queue_number, running_request> running_;
    fair_ratios shares_;
    std::optional<time_point> shares_at_;
    double virtual_now_ = 0;
};

}  // namespace radishpulley::fairness
