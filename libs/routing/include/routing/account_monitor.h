/// Detects quickly that a client account exceeds its rate.
///
/// Hundreds of VMs exchange their demand only every few seconds. Each account is therefore assigned
/// a monitor, which is one of the VMs: all VMs report their usage to it a few times a second, and
/// it notifies all of them for as long as the account is at its limit. If a report is lost or the
/// monitor fails, the VMs fall back on the demand that they exchange. Pure; not thread-safe.
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
    double requested = 0;
    double admitted = 0;
};

/// A VM's usage report on an account. Counts are totals since the VM's start, so that the next
/// report makes up for a lost one.
struct account_usage {
    client_account_id account;
    unit_counts total;
    /// Totals of the previous report, for a monitor that has no earlier report of this VM.
    unit_counts before;
};

/// Saturation report on an account at its limit.
struct account_saturation {
    client_account_id account;
    /// Demand across all VMs, in units per second.
    double demand = 0;
    /// Remaining fraction of the burst; negative where more was admitted than the rate and the
    /// burst allow.
    double fill = 0;
};

/// Thresholds and intervals of the monitor.
struct monitor_settings {
    /// Averaging time constant of demand.
    duration demand_window = std::chrono::seconds(1);
    /// An account counts as saturated while less than this fraction of its burst is left.
    double saturation_threshold = 0.4;
    /// Interval between two saturation reports on one account.
    duration repeat_interval = std::chrono::milliseconds(400);
};

/// Monitors the accounts on which this VM receives reports.
class account_monitor {
public:
    explicit account_monitor(monitor_settings settings = {}) : settings_(settings) {}

    void configure(gsl::span<const client_account> accounts, time_point now);
    /// Applies a VM's usage report.
    void on_usage_report(const vm_incarnation& from, const account_usage& it, time_point now);
    /// Returns the saturated accounts whose report to all VMs is due now.
    std::vector<account_saturation> take_saturated(time_point now);

private:
    struct record {
        double rate = 0;
        double burst = 0;
        double fill = 0;
        double demand = 0;
        time_point as_of{};
        std::optional<time_point> announced_at;
        /// Latest report of each VM.
        std::map<vm_id, std::pair<incarnation_number, unit_counts>> reported;
    };

    void advance(record& it, time_point now) const;

    monitor_settings settings_;
    std::map<client_account_id, record> records_;
};

}  // namespace radishpulley::routing
