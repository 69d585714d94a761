/// Adds up from the daemons' logs where requests lose their use: late, refused or failed, by route,
/// reason, client account, endpoint and second.
#pragma once

#include <iosfwd>
#include <map>
#include <string>

#include "cli/explain.h"

namespace radishpulley::cli {

/// How requests of one group ended.
struct outcome_counts {
    std::size_t in_time = 0;
    /// Answered, but the first byte came after the route's target latency.
    std::size_t late = 0;
    /// Not run.
    std::size_t refused = 0;
    std::size_t failed = 0;

    std::size_t total() const { return in_time + late + refused + failed; }
    std::size_t lost() const { return late + refused + failed; }
};

/// Where the time of late answers went: sums in milliseconds.
struct time_parts {
    /// Waiting for the adapter to be loaded.
    double load_wait = 0;
    /// From the arrival to the last sending, without the wait for the adapter.
    double before_sending = 0;
    /// From the last sending to the first byte: the endpoint's queue and the reading of the prompt.
    double at_endpoint = 0;
};

/// The account of a log.
class loss_account {
public:
    /// Counts a line; lines other than the ends of requests are skipped.
    void add(const log_line& it);
    void print(std::ostream& out) const;

    const std::map<std::string, outcome_counts>& by_route() const { return by_route_; }
    /// Late answers' time by route.
    const std::map<std::string, time_parts>& late_time() const { return late_time_; }
    /// Refused and failed requests by route and reason.
    const std::map<std::string, std::size_t>& by_reason() const { return by_reason_; }

private:
    using outcome_groups = std::map<std::string, outcome_counts>;

    static void print_worst(const outcome_groups& groups, const char* title, std::ostream& out);

    outcome_groups by_route_;
    outcome_groups by_account_;
    outcome_groups by_endpoint_;
    outcome_groups by_second_;
    std::map<std::string, time_parts> late_time_;
    std::map<std::string, std::size_t> by_reason_;
};

/// Reads a log and prints its account. Returns false where no request ended in it.
bool print_losses(std::istream& log, std::ostream& out);

}  // namespace radishpulley::cli
