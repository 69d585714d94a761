/// Keeps client accounts to their rate and burst over all VMs together.
///
/// Each VM has a share of every account's rate in proportion to the demand that it sees there; VMs
/// tell each other their demand. A silent VM keeps its share until its statement is old. A request
/// is admitted while its bucket is above its reserve, so the last one may overdraw it; the debt is
/// paid back before the next. While the account's watcher says that it is at its limit, shares are
/// of the demand that the watcher sees, and a request passes only when half of it is saved up, so
/// that what all VMs overdraw adds up to nothing. Small requests have a part of the rate to
/// themselves, so that a few long prompts do not keep out many short calls. Pure; not thread-safe.
#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "routing/account_monitor.h"
#include "routing/configuration.h"

namespace radishpulley::routing {

/// Limits of the limiter.
struct limiter_settings {
    /// Time over which demand is averaged.
    duration demand_window = std::chrono::seconds(2);
    /// Demand that all VMs together are taken to have at least, as a part of the account's rate; it
    /// makes sure that a VM's first requests find a share.
    double least_demand = 0.14;
    /// Part of the rate and burst that small requests use first; what they leave goes to all.
    double small_part = 0.2;
    /// A request is small up to this part of the burst.
    double small_size = 0.03;
    /// Units that all VMs together may overdraw for a while, against unevenly spread requests.
    double overdraft = 0;
    /// Time for which a watcher's statement counts.
    duration saturation_lifetime = std::chrono::milliseconds(1'200);
    /// Least pace at which shares fill while more was admitted than the rate and the burst allow.
    double least_pace = 0.5;
};

/// The request may go on.
struct admitted {};

/// The account is over its limit; the same request may be admitted after this time.
struct over_limit {
    duration retry_after{};
    /// What decided it: the account's rate, this VM's share of it, and the bucket's fill.
    double rate = 0;
    double share = 0;
    double fill = 0;
};

using admission = std::variant<admitted, over_limit>;

/// Units a second by account.
using demand_by_account = std::map<client_account_id, double>;

/// Buckets of this VM.
class account_limiter {
public:
    explicit account_limiter(limiter_settings settings = {});

    /// Takes new limits; buckets keep their fill as far as the new limits allow.
    void configure(const std::vector<client_account>& accounts, time_point now);
    /// Sets how many VMs serve callers, this one included.
    void set_fleet_size(std::size_t vms);
    /// Sets what all VMs together may overdraw.
    void set_overdraft(double units) { settings_.overdraft = units; }
    /// Takes the demand that another VM sees; it counts for `lifetime`.
    void on_peer_demand(const vm_id& peer, demand_by_account demand, time_point now, duration lifetime);

    /// Takes a watcher's statement that an account is at its limit; returns whether that is news.
    bool on_saturation(const account_saturation& it, time_point now);
    /// What was asked for and admitted here, of accounts that were used since the last call or
    /// the one before.
    std::vector<account_usage> take_usage_reports();

    /// Charges a request of `units` to its account.
    admission admit(const client_account_id& account, double units, time_point now);
    /// Gives back what a request did not use.
    void refund(const client_account_id& account, double units);

    /// Demand that this VM sees.
    demand_by_account demand(time_point now) const;
    /// Part of an account's rate that this VM has now, from 0 to 1.
    double share(const client_account_id& account, time_point now) const;

private:
    struct bucket {
        double rate = 0;
        double burst = 0;
        double fill = 0;
        /// Fill of the part that is for small requests.
        double small_fill = 0;
        time_point filled_at{};
        /// Exponential average of the units asked for a second.
        double demand = 0;
        time_point demand_at{};
        /// Units since the start, and as of the last two reports to the watcher.
        unit_counts total;
        unit_counts reported;
        unit_counts reported_before;
        /// The largest request so far.
        double largest = 0;
        /// The watcher's last statement, and until when it counts.
        account_saturation saturation;
        time_point saturated_until = time_point::min();
    };
    struct peer_demand {
        demand_by_account demand;
        time_point ends_at{};
    };

    double decayed_demand(const bucket& it, time_point now) const;
    double least_demand(const bucket& it) const;
    /// Demand that other VMs see, where this one sees `own`.
    double demand_elsewhere(const client_account_id& account, const bucket& it, double own,
                            time_point now) const;
    /// This VM's share on average since the bucket was filled.
    double mean_share(const client_account_id& account, const bucket& it, time_point now) const;
    void refill(const client_account_id& account, bucket& it, time_point now);
    bool take(bucket& it, double units, time_point now) const;
    /// Fill from which a request passes.
    double needed_fill(const bucket& it, double units, time_point now) const;
    static bool is_saturated(const bucket& it, time_point now) { return now < it.saturated_until; }

    limiter_settings settings_;
    std::size_t fleet_size_ = 1;
    std::map<client_account_id, bucket> buckets_;
    std::map<vm_id, peer_demand> peers_;
};

}  // namespace radishpulley::routing
