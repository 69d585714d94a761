/// Weighted fair queueing of the requests of one daemon for the endpoints of one service.
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

/// Number of a request in the queue, unique within one run of the daemon.
using queue_number = std::uint64_t;

/// Settings of a queue.
struct queue_policy {
    /// Maximum number of waiting requests per account.
    std::size_t max_waiting = 256;
    /// Age after which shares from the fleet expire. Without shares, accounts are only served in
    /// turn by weight.
    duration shares_lifetime = std::chrono::seconds(60);
    /// Age from which shares are applied to the demand for which they were computed, because the
    /// queue of this daemon grows while the fleet does not rebalance it.
    duration demand_refresh_age = std::chrono::seconds(3);
    /// Running time that an account may use in advance of its share, in request-seconds.
    double burst = 1;
};

/// A request that waits for an endpoint.
struct queued_request {
    queue_number number = 0;
    client_account_id account;
    double weight = 1;
    /// Time after which a response is of no use.
    time_point deadline{};
    /// Expected running time.
    duration expected = duration::zero();
};

/// The request waits in the queue.
struct queued {
    queue_number number = 0;
};

/// Reason why a request was not queued.
enum class queue_refusal { account_queue_full, deadline_too_early };

/// The request was refused before it ran. The same request could be queued after `retry_after`.
struct not_queued {
    queue_number number = 0;
    queue_refusal reason = queue_refusal::account_queue_full;
    duration retry_after = duration::zero();
};

using queue_decision = std::variant<queued, not_queued>;

/// Determines the order in which requests start. Pure; not thread-safe.
///
///     fair_queue queue(policy);
///     queue.push(request, now);
///     while (free_endpoint && (number = queue.pop(now))) start(*number);
///     queue.finish(number, now);
class fair_queue {
public:
    explicit fair_queue(queue_policy policy);

    /// Adds a request, or refuses it if the queue of its account is full or too long for its
    /// deadline.
    queue_decision push(const queued_request& request, time_point now);

    /// Returns the request to start next, if an account with remaining share has one.
    std::optional<queue_number> pop(time_point now);

    /// Records the end of a started request, or cancels a waiting one.
    void finish(queue_number number, time_point now);

    /// Removes and returns the waiting requests whose deadline has passed.
    std::vector<queue_number> remove_expired(time_point now);

    /// Sets the shares that the fleet computed.
    void set_shares(const fair_ratios& shares, time_point now);

    /// Returns the demand of this daemon, which is added to the demand of the fleet.
    demand_summary demand() const;

    /// Returns the time of the next deadline of a waiting request, or at which pop() may succeed
    /// even if no request finishes; `time_point::max()` if there is none.
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
        // Running time used, divided by weight. The account with the lowest value is served first.
        double virtual_time = 0;
        // Request-seconds that the account may use; negative after a long request.
        double credit = 0;
        time_point updated_at{};
        // Average number of requests on this daemon at the times when shares arrived.
        double average_demand = 0;
        // Average running time of finished requests, in seconds.
        double average_run_time = 0;
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
