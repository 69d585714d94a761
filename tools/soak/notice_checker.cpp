#include "notice_checker.h"

#include <sstream>

#include "edge_fleet.h"

namespace radishpulley::soak {
namespace {

using std::chrono::milliseconds;

// While an endpoint announces a limit, the platform allows in each window `limit_tolerance_factor`
// times the limit plus `limit_slack` requests.
constexpr milliseconds limit_window{4'000};
constexpr double limit_tolerance_factor = 1.5;
constexpr double limit_slack = 5;
// Time within which the fleet must react to a new limit, and a VM to a response that it forwarded.
constexpr milliseconds fleet_reaction_time{3'000};
constexpr milliseconds vm_reaction_time{500};
// Requests of one VM that may reach an endpoint during a pause that it requested.
constexpr unsigned max_requests_in_pause = 2;

template <typename Table>
void erase_endpoint(Table& table, const std::string& endpoint) {
    for (auto it = table.begin(); it != table.end();) {
        it = it->first.first == endpoint ? table.erase(it) : std::next(it);
    }
}

}  // namespace

void notice_checker::on_limit_announced(const std::string& endpoint, std::optional<double> rate,
                                        time_point now) {
    limits_.erase(endpoint);
    erase_endpoint(limit_forwarded_at_, endpoint);
    if (rate) {
        limits_[endpoint] = {*rate, now, {}};
    }
}

void notice_checker::on_restart(const std::string& endpoint) {
    limits_.erase(endpoint);
    erase_endpoint(limit_forwarded_at_, endpoint);
    erase_endpoint(leaving_forwarded_at_, endpoint);
    erase_endpoint(pauses_, endpoint);
}

void notice_checker::on_limit_forwarded(const std::string& endpoint, const vm_epoch& by,
                                        time_point now) {
    limit_forwarded_at_.emplace(endpoint_and_vm{endpoint, by}, now);
}

void notice_checker::on_leaving_forwarded(const std::string& endpoint, const vm_epoch& by,
                                          time_point now) {
    leaving_forwarded_at_.emplace(endpoint_and_vm{endpoint, by}, now);
}

void notice_checker::on_pause(const std::string& endpoint, const vm_epoch& of, time_point now,
                              duration length) {
    pauses_[{endpoint, of}].push_back({now + vm_reaction_time, now + length, 0});
}

std::vector<std::string> notice_checker::on_arrival(const request_arrival& it) {
    std::vector<std::string> out;
    check_limit(it, out);
    check_leaving(it, out);
    check_pauses(it, out);
    return out;
}

void notice_checker::check_limit(const request_arrival& it, std::vector<std::string>& out) {
    const auto found = limits_.find(it.endpoint);
    const auto forwarded_at = limit_forwarded_at_.find({it.endpoint, it.from});
    if (found == limits_.end() || forwarded_at == limit_forwarded_at_.end() ||
        it.reached < forwarded_at->second + vm_reaction_time ||
        it.reached < found->second.since + fleet_reaction_time) {
        return;
    }
    announced_limit& announced = found->second;
    announced.arrivals.push_back(it.reached);
    while (announced.arrivals.front() <= it.reached - limit_window) {
        announced.arrivals.pop_front();
    }
    const double window_s = std::chrono::duration<double>(limit_window).count();
    const double allowed = limit_tolerance_factor * announced.rate * window_s + limit_slack;
    if (static_cast<double>(announced.arrivals.size()) > allowed) {
        std::ostringstream text;
        text << "LIMIT: " << it.endpoint << " announced a limit of " << announced.rate
             << " requests per second and received " << announced.arrivals.size()
             << " in 4 s from VMs that had forwarded it; allowed: " << allowed;
        out.push_back(text.str());
        announced.arrivals.clear();
    }
}

void notice_checker::check_leaving(const request_arrival& it, std::vector<std::string>& out) const {
    const auto forwarded_at = leaving_forwarded_at_.find({it.endpoint, it.from});
    if (forwarded_at != leaving_forwarded_at_.end() &&
        it.sent > forwarded_at->second + drain_bound) {
        out.push_back("DRAIN: " + it.from.vm + " still sends to " + it.endpoint +
                      " after it had forwarded that it is leaving");
    }
}

void notice_checker::check_pauses(const request_arrival& it, std::vector<std::string>& out) {
    const auto found = pauses_.find({it.endpoint, it.from});
    if (found == pauses_.end()) {
        return;
    }
    auto& list = found->second;
    while (!list.empty() && list.front().ends < it.reached) {
        list.pop_front();
    }
    for (requested_pause& pause : list) {
        if (it.reached >= pause.begins && it.reached < pause.ends &&
            ++pause.arrivals == max_requests_in_pause + 1) {
            out.push_back("BUDGET: more than two requests from " + it.from.vm + " reached " +
                          it.endpoint + " during a pause that it had requested");
        }
    }
}

}  // namespace radishpulley::soak
