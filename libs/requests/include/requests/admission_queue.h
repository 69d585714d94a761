/// Bounded admission queues, one per client account. A request that cannot be served by its
/// deadline is refused at once. The caller decides the order among accounts.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/identifier.h"
#include "requests/request_error.h"

namespace radishpulley::requests {

/// Limits of the admission queues of one daemon.
struct admission_limits {
    /// Maximum number of waiting requests of one client account.
    std::size_t max_waiting_per_account = 64;
    /// Maximum number of waiting requests of all client accounts together.
    std::size_t max_waiting = 1024;
    /// Window over which the start rate is averaged.
    duration rate_window = std::chrono::seconds(10);
    /// Minimum number of starts from a backlog before a request can be refused because of its
    /// deadline.
    std::size_t min_starts = 8;
};

/// The request is in the queue. `expected_wait` is empty while the start rate is unknown.
struct enqueued {
    std::optional<duration> expected_wait;
};

/// The queue refused the request, which did not run.
struct enqueue_refused {
    error_code code = error_code::queue_full;
    /// Empty while the start rate is unknown.
    std::optional<duration> retry_after;
};
using admission = std::variant<enqueued, enqueue_refused>;

/// Holds waiting requests and refuses those that it cannot take. Not thread-safe. Example:
///
///     queue.offer(id, account, deadline, 0.2, now);  // enqueued or refused
///     queue.start(id, now);                          // chosen by the fair scheduler
class admission_queue {
public:
    explicit admission_queue(admission_limits limits);

    /// Enqueues or refuses a request. `share` is the fraction of all starts that the account gets
    /// now, above 0 and at most 1: its weight relative to all accounts that have waiting requests.
    /// Throws std::invalid_argument if `share` is out of range or the request is already queued.
    admission try_enqueue(const request_id& request, const client_account_id& account,
                          time_point deadline, double share, time_point now);

    /// Dequeues a request because it starts. Returns false if it is not queued.
    bool start(const request_id& request, time_point now);

    /// Dequeues a request because its caller disconnected or another component refused it. Returns
    /// false if it is not queued.
    bool withdraw(const request_id& request);

    /// Dequeues and returns all requests whose deadline has passed.
    std::vector<request_id> expire(time_point now);

    /// Returns the waiting requests of an account in order of arrival.
    std::vector<request_id> waiting(const client_account_id& account) const;
    std::size_t size() const { return account_by_request_.size(); }

    /// Returns the starts per second from a backlog over the last window, or nothing if there were
    /// fewer than `min_starts`. Starts from an empty queue are excluded: they reflect the arrival
    /// rate and not the capacity.
    std::optional<double> start_rate(time_point now) const;

private:
    struct waiting_request {
        request_id request;
        time_point deadline;
    };

    struct start_interval {
        time_point end;
        duration length;
    };

    std::optional<duration> estimate_wait(std::size_t starts, double share, time_point now) const;
    bool erase(const request_id& request);

    const admission_limits limits_;
    std::map<client_account_id, std::deque<waiting_request>> queues_;
    std::map<request_id, client_account_id> account_by_request_;
    // Intervals between consecutive starts during a backlog.
    std::deque<start_interval> start_intervals_;
    // Last start after which requests were still waiting; empty while the queue is empty.
    std::optional<time_point> backlog_since_;
};

}  // namespace radishpulley::requests
