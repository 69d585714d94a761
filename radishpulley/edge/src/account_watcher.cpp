#include "edge/account_watcher.h"

#include <map>

#include "routing/rendezvous.h"
#include "telemetry/event_log.h"

namespace radishpulley::edge {
namespace {

constexpr std::chrono::milliseconds report_interval{200};

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
    if (configuration_ != data_path_.configuration()) {
        configuration_ = data_path_.configuration();
        watch_.configure(configuration_->accounts(), time_.now());
    }
    report();
    tell_crowds();
    timer_.expires_after(report_interval);
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec) {
            tick();
        }
    });
}

void account_watcher::report() {
    const auto& self = fleet_.self();
    if (!self) {
        return;
    }
    std::map<vm_id, routing::account_uses> by_watcher;
    for (routing::account_use& it : data_path_.limiter().take_uses()) {
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

void account_watcher::tell_crowds() {
    const routing::account_crowds crowds{watch_.take_due(time_.now())};
    if (crowds.crowds.empty()) {
        return;
    }
    fleet_.broadcast(crowds);
    on_hint(self_, crowds);
}

void account_watcher::on_hint(const vm_incarnation& from, const routing::account_uses& it) {
    for (const routing::account_use& use : it.uses) {
        watch_.on_use(from, use, time_.now());
    }
}

void account_watcher::on_hint(const vm_id& from, const routing::account_crowds& it) {
    for (const routing::account_crowd& crowd : it.crowds) {
        const bool is_news = data_path_.limiter().on_crowd(crowd, time_.now());
        if (is_news) {
            telemetry::log_event(telemetry::severity::info, "account_at_limit",
                                 {{"account", crowd.account},
                                  {"told_by", from},
                                  {"demand", crowd.demand},
                                  {"fill", crowd.fill}});
        }
    }
}

}  // namespace radishpulley::edge
