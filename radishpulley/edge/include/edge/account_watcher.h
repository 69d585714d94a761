/// Detection of client accounts at their rate limit across the fleet. Each account has one watcher
/// VM, which sums up the usage that all VMs report.
#pragma once

#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "edge/fleet_member.h"
#include "gateway/gateway.h"
#include "routing/account_monitor.h"

namespace radishpulley::edge {

/// Reports usage to the accounts' watchers, and monitors the accounts that this VM watches.
///
/// The watcher of an account is the first serving VM in rendezvous order, which all VMs compute
/// alike.
class account_watcher {
public:
    account_watcher(boost::asio::io_context& loop, const clock& time, const vm_id& self,
                    fleet_member& fleet, gateway::gateway& data_path);

    void start();
    /// Sets the VMs that serve callers, including this one.
    void set_serving(std::vector<vm_id> vms) { serving_ = std::move(vms); }
    void on_hint(const vm_incarnation& from, const routing::account_usage_report& it);
    void on_hint(const vm_id& from, const routing::saturated_accounts& it);

private:
    void tick();
    void update();
    void report_usage();
    void announce_saturated();

    const clock& time_;
    vm_id self_;
    fleet_member& fleet_;
    gateway::gateway& data_path_;
    routing::account_monitor monitor_;
    routing::configuration_ptr configuration_;
    std::vector<vm_id> serving_;
    boost::asio::steady_timer timer_;
};

}  // namespace radishpulley::edge
