/// This daemon's part in the watch over client accounts: reports to the accounts' watchers, and the
/// accounts that it watches itself.
#pragma once

#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "edge/fleet_member.h"
#include "gateway/gateway.h"
#include "routing/account_monitor.h"

namespace radishpulley::edge {

/// The watcher of an account is the first of the VMs that serve, in an order that all compute
/// alike.
class account_watcher {
public:
    account_watcher(boost::asio::io_context& loop, const clock& time, const vm_id& self,
                    fleet_member& fleet, gateway::gateway& data_path);

    void start();
    /// Sets the VMs that serve callers, this one included.
    void set_serving(std::vector<vm_id> vms) { serving_ = std::move(vms); }
    void on_hint(const vm_incarnation& from, const routing::account_usage_report& it);
    void on_hint(const vm_id& from, const routing::saturated_accounts& it);

private:
    void tick();
    void report();
    void tell_saturated();

    const clock& time_;
    vm_id self_;
    fleet_member& fleet_;
    gateway::gateway& data_path_;
    routing::account_monitor watch_;
    routing::configuration_ptr configuration_;
    std::vector<vm_id> serving_;
    boost::asio::steady_timer timer_;
};

}  // namespace radishpulley::edge
