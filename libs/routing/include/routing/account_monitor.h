/// Notices soon that a client account asks for more than its rate.
///
/// Hundreds of VMs hear of each other's demand only every few seconds. Each account therefore has a
/// watcher, one of the VMs: all report to it a few times a second what they admitted, and it tells
/// all of them as long as the account is at its limit. A report or a watcher that is lost makes VMs
/// judge by what they hear of each other, as before. Pure; not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <gsl/span>

#include "base/clock.h"
#include "base/identifier.h"
#include "routing/configuration.h"

namespace radishpulley::routing {

/// Units of an account at one VM.
struct unit_counts {
    double asked = 0;
    double admitted = 0;
};

/// What a VM reports of an account. Counts are totals since its start, so that a lost report is
/// made up for by the next.
struct account_usage {
    client_account_id account;
    unit_counts total;
    /// The totals in the report before, for a watcher that has none of this VM.
    unit_counts before;
};

/// An account at its limit.
struct account_saturation {
    client_account_id account;
    /// Units a second that are asked for at all VMs.
    double demand = 0;
    /// What is left of the burst, as a part of it; negative where more was admitted than the rate
    /// and the burst allow.
    double fill = 0;
};

/// Bounds of the watch.
struct watch_settings {
    /// Time over which demand is averaged.
    duration demand_window = std::chrono::seconds(1);
    /// An account is at its limit while less than this part of its burst is left.
    double saturated_below = 0.4;
    /// Time between two statements on one account.
    duration repeat = std::chrono::milliseconds(400);
};

/// The accounts that this VM watches: those that it gets reports of.
class account_monitor {
public:
    explicit account_monitor(watch_settings settings = {}) : settings_(settings) {}

    void configure(gsl::span<const client_account> accounts, time_point now);
    /// Takes a VM's report.
    void on_usage_report(const vm_incarnation& from, const account_usage& it, time_point now);
    /// The accounts at their limit that all VMs are to be told of now.
    std::vector<account_saturation> take_saturated(time_point now);

private:
    struct record {
        double rate = 0;
        double burst = 0;
        double fill = 0;
        double demand = 0;
        time_point as_of{};
        std::optional<time_point> told_at;
        /// What each VM last reported.
        std::map<vm_id, std::pair<incarnation_number, unit_counts>> reported;
    };

    void advance(record& it, time_point now) const;

    watch_settings settings_;
    std::map<client_account_id, record> records_;
};

}  // namespace radishpulley::routing
