#include "notice_checker.h"

#include <sstream>

#include "edge_fleet.h"

namespace radishpulley::soak {
namespace {

using std::chrono::milliseconds;

// What the platform allows while an endpoint names a limit: in each window so many times the limit,
// and so many requests more.
constexpr milliseconds limit_window{4'000};
constexpr double limit_excess = 1.5;
constexpr double limit_slack = 5;
// Time that the fleet has after an endpoint first named its limit, and one VM after its answer.
constexpr milliseconds fleet_delay{3'000};
constexpr milliseconds vm_delay{500};
// Requests of one VM that may reach an endpoint in a pause that it asked for.
constexpr unsigned most_in_pause = 2;

template <typename Table>
void erase_endpoint(Table& table, const std::string& endpoint) {
    for (auto it = table.begin(); it != table.end();) {
        it = it->first.first == endpoint ? table.erase(it) : std::next(it);
    }
}

}  // namespace

void notice_checker::on_limit(const std::string& endpoint, std::optional<double> rate,
                              time_point now) {
    limits_.erase(endpoint);
    erase_endpoint(limit_passed_on_, endpoint);
    if (rate) {
        limits_[endpoint] = {*rate, now, {}};
    }
}

void notice_checker::on_restart(const std::string& endpoint) {
    limits_.erase(endpoint);
    erase_endpoint(limit_passed_on_, endpoint);
    erase_endpoint(leaving_passed_on_, endpoint);
    erase_endpoint(pauses_, endpoint);
}

void notice_checker::on_limit_passed_on(const std::string& endpoint, const vm_period& by,
                                        time_point now) {
    limit_passed_on_.emplace(vm_at_endpoint{endpoint, by}, now);
}

void notice_checker::on_leaving_passed_on(const std::string& endpoint, const vm_period& by,
                                          time_point now) {
    leaving_passed_on_.emplace(vm_at_endpoint{endpoint, by}, now);
}

void notice_checker::on_pause(const std::string& endpoint, const vm_period& of, time_point now,
                              duration length) {
    pauses_[{endpoint, of}].push_back({now + vm_delay, now + length, 0});
}

std::vector<std::string> notice_checker::on_arrival(const arrival& it) {
    std::vector<std::string> out;
    check_limit(it, out);
    check_leaving(it, out);
    check_pauses(it, out);
    return out;
}

void notice_checker::check_limit(const arrival& it, std::vector<std::string>& out) {
    const auto found = limits_.find(it.endpoint);
    const auto told = limit_passed_on_.find({it.endpoint, it.from});
    if (found == limits_.end() || told == limit_passed_on_.end() ||
        it.reached < told->second + vm_delay || it.reached < found->second.since + fleet_delay) {
        return;
    }
    limit& known = found->second;
    known.arrivals.push_back(it.reached);
    while (known.arrivals.front() <= it.reached - limit_window) {
        known.arrivals.pop_front();
    }
    const double window_s = std::chrono::duration<double>(limit_window).count();
    const double allowed = limit_excess * known.rate * window_s + limit_slack;
    if (static_cast<double>(known.arrivals.size()) > allowed) {
        std::ostringstream text;
        text << "LIMIT: " << it.endpoint << " named a limit of " << known.rate
             << " a second and got " << known.arrivals.size()
             << " requests in 4 s from VMs that knew; allowed " << allowed;
        out.push_back(text.str());
        known.arrivals.clear();
    }
}

void notice_checker::check_leaving(const arrival& it, std::vector<std::string>& out) const {
    const auto told = leaving_passed_on_.find({it.endpoint, it.from});
    if (told != leaving_passed_on_.end() && it.sent > told->second + drain_bound) {
        out.push_back("DRAIN: " + it.from.vm + " sends to " + it.endpoint +
                      " after it had passed on that it is leaving");
    }
}

void notice_checker::check_pauses(const arrival& it, std::vector<std::string>& out) {
    const auto found = pauses_.find({it.endpoint, it.from});
    if (found == pauses_.end()) {
        return;
    }
    auto& list = found->second;
    while (!list.empty() && list.front().ends < it.reached) {
        list.pop_front();
    }
    for (pause& each : list) {
        if (it.reached >= each.begins && it.reached < each.ends &&
            ++each.arrivals == most_in_pause + 1) {
            out.push_back("BUDGET: more than two requests from " + it.from.vm + " reach " +
                          it.endpoint + " in a pause that it asked for");
        }
    }
}

}  // namespace radishpulley::soak
