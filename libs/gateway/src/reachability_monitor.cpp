#include "reachability_monitor.h"

#include <algorithm>
#include <cstdio>
#include <string>

#include "base/digest.h"
#include "telemetry/event_log.h"

namespace radishpulley::gateway {
namespace {

using telemetry::severity;

// Least time between two attempts to reach a service that is cut off.
constexpr std::chrono::milliseconds attempt_interval{1'000};
// Range of the delay by which the attempts of VMs differ.
constexpr std::chrono::milliseconds max_jitter{100};

std::string to_text(const std::vector<routing::contact_evidence>& list, time_point now) {
    std::string out;
    for (const routing::contact_evidence& it : list) {
        char age[32];
        std::snprintf(age, sizeof age, "%.3fs", std::chrono::duration<double>(now - it.at).count());
        out += (out.empty() ? "" : ",") + it.endpoint.str() + ":" +
               std::string(routing::to_text(it.by)) + ":" + age;
    }
    return out;
}

}  // namespace

reachability_monitor::reachability_monitor(boost::asio::io_context& loop, const clock& time,
                                           routing::endpoint_directory& directory,
                                           endpoint_pool& pool)
    : time_(time), directory_(directory), pool_(pool), attempt_timer_(loop) {}

void reachability_monitor::forget(const endpoint_id& id) {
    failed_.erase(id);
    services_.forget(id);
}

crash_detector::control_group reachability_monitor::controls_for(
    const routing::endpoint& it) const {
    crash_detector::control_group out;
    std::vector<const routing::endpoint*> others = directory_.all();
    std::stable_partition(others.begin(), others.end(), [&it](const routing::endpoint* each) {
        return each->service == it.service;
    });
    for (const routing::endpoint* each : others) {
        if (each->id == it.id || each->draining) {
            continue;
        }
        out.has_others = true;
        const bool is_known_lost = failed_.count(each->id) != 0;
        if (!is_known_lost && out.endpoints.size() < crash_detector::max_controls) {
            out.endpoints.push_back({each->id, each->address});
        }
    }
    return out;
}

void reachability_monitor::on_contact(const endpoint_id& with, routing::contact_proof by) {
    const time_point now = time_.now();
    const auto found = failed_.find(with);
    if (found != failed_.end()) {
        const duration unreached = now - found->second.since;
        failed_.erase(found);
        telemetry::log_event(
            severity::info, "endpoint_reached",
            {{"endpoint", with}, {"by", routing::to_text(by)}, {"unreached", unreached}});
    }
    if (const auto regained = services_.on_contact(with, by, now)) {
        on_regained(*regained);
    }
}

void reachability_monitor::on_regained(const routing::service_regained& it) {
    for (const endpoint_id& id : it.failed) {
        directory_.reset_failures(id);
    }
    telemetry::log_event(severity::warning, "service_reached",
                         {{"service", it.service},
                          {"by", routing::to_text(it.by)},
                          {"only_kept_connections", it.only_kept_connections},
                          {"unreached", time_.now() - it.lost_at},
                          {"failed", it.failed.size()}});
    on_change_(it.service, true);
}

void reachability_monitor::on_contact_failed(const endpoint_id& with, routing::contact_failure by) {
    const routing::endpoint* known = directory_.find(with);
    if (known == nullptr) {
        return;
    }
    const time_point now = time_.now();
    if (failed_.emplace(with, failed_contact{by, now}).second) {
        telemetry::log_event(severity::warning, "endpoint_unreached",
                             {{"endpoint", with},
                              {"service", known->service},
                              {"zone", known->zone},
                              {"by", routing::to_text(by)}});
    }
    if (by == routing::contact_failure::no_progress) {
        // Its kept connections would make none either, and the call in flight has not failed yet.
        pool_.close_idle(with);
        directory_.on_call(with, routing::call_outcome::unreachable, now);
    }
    for (const service_id& it : services_.on_failed(with, by, now)) {
        log_unreached(it);
        on_change_(it, false);
        schedule_attempts();
    }
}

void reachability_monitor::log_unreached(const service_id& it) const {
    telemetry::log_event(severity::warning, "service_unreached",
                         {{"service", it},
                          {"evidence", to_text(services_.evidence(it), time_.now())},
                          {"endpoints", directory_.usable(it).size()}});
}

duration reachability_monitor::jitter() const {
    return std::chrono::milliseconds(stable_hash("attempts|" + vm_.str()) % max_jitter.count());
}

void reachability_monitor::schedule_attempts() {
    if (is_attempt_scheduled_) {
        return;
    }
    is_attempt_scheduled_ = true;
    const time_point now = time_.now();
    attempt_timer_.expires_after(std::max(now + jitter(), next_attempt_) - now);
    attempt_timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec) {
            is_attempt_scheduled_ = false;
            attempt_all();
        }
    });
}

void reachability_monitor::attempt_all() {
    const auto unreached = services_.unreached();
    if (unreached.empty()) {
        return;
    }
    next_attempt_ = time_.now() + attempt_interval;
    for (const service_id& it : unreached) {
        attempt(it);
    }
    schedule_attempts();
}

void reachability_monitor::attempt(const service_id& service) {
    const auto usable = directory_.usable(service);
    if (usable.empty()) {
        return;
    }
    endpoint_id& last = tried_[service];
    const auto next = std::find_if(usable.begin(), usable.end(),
                                   [&](const routing::endpoint* it) { return last < it->id; });
    const routing::endpoint& target = next == usable.end() ? *usable.front() : **next;
    last = target.id;
    pool_.connect(target.id, target.address,
                  [this, id = target.id](std::shared_ptr<endpoint_link> it) {
                      if (it) {
                          pool_.release(id, std::move(it));
                      }
                  });
}

}  // namespace radishpulley::gateway
