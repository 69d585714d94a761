/// Enforces the rate and burst of client accounts across all VMs.
///
/// Each VM has a share of every account's rate in proportion to the demand that it sees; the VMs
/// exchange their demand.
///
/// VMs that lost contact with each other don't learn how the other's demand grows, so each side
/// leaves the other its part of the rate: at first the part that it had when they last heard each
/// other, and later one part per VM of equal size. Within its side a VM shares the rest by demand
/// while all VMs of that side lost the same contacts. Otherwise it counts no more demand than the
/// VMs that it lost may have heard of. The shares of all VMs thus sum to at most 1, whoever hears
/// whom.
///
/// A request is admitted until the bucket has used up the permitted overdraft, so the last one may
/// exceed it; the debt is paid back before the next one. While the account's monitor reports
/// saturation, shares are computed from the demand that the monitor sees, and a request is admitted
/// only once half of its cost has accumulated, so that the overdrafts of all VMs cancel out. Small
/// requests have a reserved part of the rate, so that a few long prompts don't starve many short
/// calls. Pure; not thread-safe.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <gsl/span>

#include "base/clock.h"
#include "routing/account_monitor.h"
#include "routing/configuration.h"
#include "routing/peer_contacts.h"

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
    /// Sets the VMs that may serve callers, without this one.
    void set_members(gsl::span<const vm_id> others);
    /// Sets the overdraft of all VMs together.
    void set_overdraft(double units) { settings_.overdraft = units; }
    /// Records the demand that another VM states; it counts until the VM is no member any more.
    void on_peer_demand(const vm_id& peer, demand_by_account demand);
    /// Sets the members with which this VM exchanges no messages in both directions.
    void set_lost_contacts(gsl::span<const lost_contact> lost);
    /// Gives up this VM's parts, because the others may have taken it for gone.
    void set_yielding(bool yields) { yields_ = yields; }
    /// Records that the demand as it is now was stated to the other VMs.
    void note_demand_stated(time_point now);

    /// Records a monitor's report that an account is at its limit; returns whether the account was
    /// not saturated before.
    bool on_saturation(const account_saturation& it, time_point now);
    /// Returns the units requested and admitted on this VM, for accounts that were used since the
    /// last call or the one before.
    std::vector<account_usage> take_usage_reports();

    /// Charges a request of `units` to its account.
    admission admit(const client_account_id& account, double units, time_point now);
    /// Whether a request of `units` would be admitted now. Charges nothing and counts no demand.
    bool would_admit(const client_account_id& account, double units, time_point now);
    /// Returns the units that a request did not use.
    void refund(const client_account_id& account, double units);

    /// Returns the demand of this VM as the others are to count it.
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
    /// What was known when contact with a member was lost.
    struct loss {
        lost_contact contact;
        /// This VM's demand that the member has heard of.
        demand_by_account heard_demand;
        /// The member's share of each account's rate.
        std::map<client_account_id, double> shares;
    };
    struct stated_demand {
        time_point at{};
        demand_by_account demand;
    };
    /// The other VMs' claims on an account.
    struct contention {
        /// Demand with which this VM's demand competes, in units per second.
        double remote = 0;
        /// Fraction of the rate that is left to VMs without contact.
        double reserved = 0;
        /// Most of its own demand that this VM counts.
        double demand_cap = 0;
    };

    double decayed_demand(const bucket& it, time_point now) const;
    double min_demand(const bucket& it) const;
    /// Returns the demand of each VM if all have the same.
    double equal_demand(const bucket& it) const;
    /// Returns the claims of others, given that this VM sees `own`.
    contention contention_of(const client_account_id& account, const bucket& it, double own,
                             time_point now) const;
    /// Adds the claims of the members with which contact is lost.
    void add_lost(const client_account_id& account, const bucket& it, time_point now,
                  contention& out) const;
    /// Returns the fraction of the rate that a lost member may use.
    double part_of_lost(const client_account_id& account, const loss& lost, time_point now) const;
    loss loss_of(const lost_contact& it) const;
    /// Returns the least demand that was stated around the time of the last contact.
    demand_by_account demand_heard_by(const lost_contact& it) const;
    double stated_by(const vm_id& peer, const client_account_id& account) const;
    /// Adds up the stated demand anew.
    void recount_heard();
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
    std::vector<vm_id> members_;
    std::map<vm_id, demand_by_account> peers_;
    std::map<vm_id, loss> lost_;
    /// Members with which there is contact, and their stated demand by account.
    std::set<vm_id> heard_members_;
    demand_by_account heard_demand_;
    /// How many of them have not stated their demand yet.
    std::size_t unstated_members_ = 0;
    bool is_contested_ = false;
    bool yields_ = false;
    /// What this VM stated recently, oldest first.
    std::deque<stated_demand> stated_;
};

}  // namespace radishpulley::routing
