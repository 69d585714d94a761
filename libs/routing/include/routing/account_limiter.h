/// Enforces the rate and burst of client accounts across all VMs.
///
/// Each VM has a share of every account's rate in proportion to the demand that it sees; the VMs
/// exchange their demand. A VM that falls silent keeps its share until its last message expires. A
/// request is admitted until the bucket has used up the permitted overdraft, so the last one may
/// exceed it; the debt is paid back before the next one. While the account's monitor reports
/// saturation, shares are computed from the demand that the monitor sees, and a request is admitted
/// only once half of its cost has accumulated, so that the overdrafts of all VMs cancel out. Small
/// requests have a reserved part of the rate, so that a few long prompts don't starve many short
/// calls. Pure; not thread-safe.
#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "routing/account_monitor.h"
#include "routing/configuration.h"

namespace radishpulley::routing {

/// Tuning parameters of the limiter.
struct limiter_settings {
    /// Averaging time constant of demand.
    duration demand_window = std::chrono::seconds(2);
    /// Minimum demand assumed for all VMs together, as a fraction of the account's rate. It gives a
    /// VM a share for its first requests.
    double min_demand = 0.14;
    /// Fraction of the rate and burst that is reserved for small requests; the unused remainder
    /// goes to all requests.
    double small_request_share = 0.2;
    /// Maximum size of a small request, as a fraction of the burst.
    double small_request_size = 0.03;
    /// Units that all VMs together may overdraw temporarily, which absorbs an uneven spread of
    /// requests.
    double overdraft = 0;
    /// Validity of a monitor's saturation report.
    duration saturation_lifetime = std::chrono::milliseconds(1'200);
    /// Minimum factor on the refill rate while more has been admitted than the rate and the burst
    /// allow.
    double min_refill_factor = 0.5;
};

/// The request is admitted.
struct admitted {};

/// The account is over its limit; the same request may be admitted after `retry_after`.
struct over_limit {
    duration retry_after{};
    /// Inputs of the decision: the account's rate, this VM's share of it and the bucket's fill.
    double rate = 0;
    double share = 0;
    double fill = 0;
};

using admission = std::variant<admitted, over_limit>;

/// Units per second by account.
using demand_by_account = std::map<client_account_id, double>;

/// Token buckets of this VM.
class account_limiter {
public:
    explicit account_limiter(limiter_settings settings = {});

    /// Applies new limits; buckets keep their fill as far as the new limits allow.
    void configure(const std::vector<client_account>& accounts, time_point now);
    /// Sets the number of VMs that serve callers, including this one.
    void set_fleet_size(std::size_t vms);
    /// Sets the overdraft of all VMs together.
    void set_overdraft(double units) { settings_.overdraft = units; }
    /// Records the demand that another VM sees; it expires after `lifetime`.
    void on_peer_demand(const vm_id& peer, demand_by_account demand, time_point now,
                        duration lifetime);

    /// Records a monitor's report that an account is at its limit; returns whether the account was
    /// not saturated before.
    bool on_saturation(const account_saturation& it, time_point now);
    /// Returns the units requested and admitted on this VM, for accounts that were used since the
    /// last call or the one before.
    std::vector<account_usage> take_usage_reports();

    /// Charges a request of `units` to its account.
    admission admit(const client_account_id& account, double units, time_point now);
    /// Returns the units that a request did not use.
    void refund(const client_account_id& account, double units);

    /// Returns the demand that this VM sees.
    demand_by_account demand(time_point now) const;
    /// Returns this VM's current fraction of an account's rate, from 0 to 1.
    double share(const client_account_id& account, time_point now) const;

private:
    struct bucket {
        double rate = 0;
        double burst = 0;
        double fill = 0;
        /// Fill of the part reserved for small requests.
        double small_fill = 0;
        time_point filled_at{};
        /// Exponential average of the requested units per second.
        double demand = 0;
        time_point demand_at{};
        /// Totals since the start, and as of the last two usage reports.
        unit_counts total;
        unit_counts reported;
        unit_counts previously_reported;
        /// Size of the largest request so far.
        double largest_request = 0;
        /// The monitor's latest report and its expiry.
        account_saturation saturation;
        time_point saturated_until = time_point::min();
    };
    struct peer_demand {
        demand_by_account demand;
        time_point ends_at{};
    };

    double decayed_demand(const bucket& it, time_point now) const;
    double min_demand(const bucket& it) const;
    /// Returns the demand that other VMs see, given that this VM sees `own`.
    double remote_demand(const client_account_id& account, const bucket& it, double own,
                         time_point now) const;
    /// Returns this VM's average share since the last refill.
    double mean_share(const client_account_id& account, const bucket& it, time_point now) const;
    void refill(const client_account_id& account, bucket& it, time_point now);
    bool try_take(bucket& it, double units, time_point now) const;
    /// Returns the fill above which a request is admitted.
    double required_fill(const bucket& it, double units, time_point now) const;
    static bool is_saturated(const bucket& it, time_point now) { return now < it.saturated_until; }

    limiter_settings settings_;
    std::size_t fleet_size_ = 1;
    std::map<client_account_id, bucket> buckets_;
    std::map<vm_id, peer_demand> peers_;
};

}  // namespace radishpulley::routing
