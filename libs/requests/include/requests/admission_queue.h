/// Bounded queues of waiting requests, one for each client account, with refusal of what cannot
/// be served by its deadline. The order among accounts comes from outside.
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

/// Bounds of the queues of one daemon.
struct admission_limits {
    /// Requests of one client account that may wait.
    std::size_t max_waiting_per_account = 64;
    /// Requests that may wait in all.
    std::size_t max_waiting = 1024;
    /// Span over which the rate of starts is taken.
    duration rate_window = std::chrono::seconds(10);
    /// Starts out of a backlog that must be seen before a deadline can be called out of reach.
    std::size_t min_starts = 8;
};

/// The request waits; `expected_wait` is absent while no rate is known.
struct enqueued {
    std::optional<duration> expected_wait;
};

/// The request is refused and did not run.
struct enqueue_refused {
    error_code code = error_code::queue_full;
    /// Absent while no rate is known.
    std::optional<duration> retry_after;
};
using admission = std::variant<enqueued, enqueue_refused>;

/// Decides who may wait. Not safe for concurrent calls. Example:
///
///     queue.offer(id, account, deadline, 0.2, now);  // waits or is turned away
///     queue.start(id, now);                          // chosen by the fair order
class admission_queue {
public:
    explicit admission_queue(admission_limits limits);

    /// Offers a request. `share` is the part of all starts that the account can count on now, from
    /// 0 (exclusive) to 1: its weight among the accounts that have requests waiting. Throws
    /// std::invalid_argument for another share or an id that waits.
    admission try_enqueue(const request_id& request, const client_account_id& account,
                    time_point deadline, double share, time_point now);

    /// Takes a waiting request out because it starts. Returns false if it does not wait.
    bool start(const request_id& request, time_point now);

    /// Takes a waiting request out because its caller left or it was refused otherwise.
    bool withdraw(const request_id& request);

    /// Takes out the requests whose deadline has passed, and returns them.
    std::vector<request_id> expire(time_point now);

    /// Waiting requests of an account in order of arrival.
    std::vector<request_id> waiting(const client_account_id& account) const;
    std::size_t size() const { return accounts_.size(); }

    /// Starts a second while requests waited, over the last window; nothing while too few were
    /// seen. Starts of requests that found an empty queue tell how few come, not how many could
    /// be served, and are left out.
    std::optional<double> start_rate(time_point now) const;

private:
    struct place {
        request_id request;
        time_point deadline;
    };

    struct gap {
        time_point end;
        duration length;
    };

    std::optional<duration> wait_for(std::size_t starts, double share, time_point now) const;
    bool take_out(const request_id& request);

    const admission_limits limits_;
    std::map<client_account_id, std::deque<place>> queues_;
    std::map<request_id, client_account_id> accounts_;
    // Times between starts while requests waited, and the start since which they wait.
    std::deque<gap> gaps_;
    std::optional<time_point> backlog_since_;
};

}  // namespace radishpulley::requests
