#include "edge/account_watcher.h"

#include <map>

#include "routing/rendezvous.h"
#include "telemetry/event_log.h"
#include "telemetry/guarded.h"

namespace radishpulley::edge {
namespace {

constexpr std::chrono::milliseconds monitor_interval{200};

}  // namespace

account_watcher::account_watcher(boost::asio::io_context& loop, const clock& time,
                                 const vm_id& self, fleet_member& fleet,
                                 gateway::gateway& data_path)
    : time_(time),
      self_(self),
      fleet_(fleet),
      data_path_(data_path),
      serving_{self},
      timer_(loop) {}

void account_watcher::start() {
    tick();
}

void account_watcher::tick() {
    telemetry::run_guarded("accounts", [this] { update(); });
    timer_.expires_after(monitor_interval);
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec) {
            tick();
        }
    });
}

void account_watcher::update() {
    if (configuration_ != data_path_.configuration()) {
        configuration_ = data_path_.configuration();
        monitor_.configure(configuration_->accounts(), time_.now());
    }
    report_usage();
    announce_saturated();
}

void account_watcher::report_usage() {
    const auto& self = fleet_.self();
    if (!self) {
        return;
    }
    std::map<vm_id, routing::account_usage_report> by_watcher;
    for (routing::account_usage& it : data_path_.limiter().take_usage_reports()) {
        const vm_id watcher = routing::rendezvous_first(it.account.str(), serving_);
        by_watcher[watcher].uses.push_back(std::move(it));
    }
    for (const auto& [watcher, uses] : by_watcher) {
        if (watcher == self_) {
            on_hint(*self, uses);
        } else {
            fleet_.send(watcher, uses);
        }
    }
}

void account_watcher::announce_saturated() {
    const routing::saturated_accounts accounts{monitor_.take_saturated(time_.now())};
    if (accounts.accounts.empty()) {
        return;
    }
    fleet_.broadcast(accounts);
    on_hint(self_, accounts);
}

void account_watcher::on_hint(const vm_incarnation& from, const routing::account_usage_report& it) {
    for (const routing::account_usage& use : it.uses) {
        monitor_.on_usage_report(from, use, time_.now());
    }
}

void account_watcher::on_hint(const vm_id& from, const routing::saturated_accounts& it) {
    for (const routing::account_saturation& account : it.accounts) {
        const bool is_new = data_path_.limiter().on_saturation(account, time_.now());
        if (is_new) {
            telemetry::log_event(telemetry::severity::info, "account_at_limit",
                                 {{"account", account.account},
                                  {"told_by", from},
                                  {"demand", account.demand},
                                  {"fill", account.fill}});
        }
    }
}

}  // namespace radishpulley::edge
