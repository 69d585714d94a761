/// Holds what endpoints say of themselves in their answers against the requests that they get.
#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace radishpulley::soak {

/// A VM between two events that excuse it from what it was told before.
struct vm_period {
    std::string vm;
    unsigned number = 0;

    bool operator<(const vm_period& other) const {
        return std::tie(vm, number) < std::tie(other.vm, other.number);
    }
};

/// A request that reached an endpoint.
struct arrival {
    std::string endpoint;
    vm_period from;
    /// When the caller sent it, and when it reached the endpoint.
    time_point sent{};
    time_point reached{};
};

/// Judges as the events come. Pure.
class notice_checker {
public:
    /// The endpoint names a limit from now on, or none any more.
    void on_limit(const std::string& endpoint, std::optional<double> rate, time_point now);
    /// The endpoint began anew: what it said before holds no longer.
    void on_restart(const std::string& endpoint);
    /// A caller got an endpoint's answer that named a limit, or that said that it is leaving.
    void on_limit_passed_on(const std::string& endpoint, const vm_period& by, time_point now);
    void on_leaving_passed_on(const std::string& endpoint, const vm_period& by, time_point now);
    /// The endpoint turned a request of the VM away for so long.
    void on_pause(const std::string& endpoint, const vm_period& of, time_point now, duration pause);
    /// Takes a request; returns what it breaks.
    std::vector<std::string> on_arrival(const arrival& it);

private:
    using vm_at_endpoint = std::pair<std::string, vm_period>;
    struct limit {
        double rate = 0;
        time_point since{};
        /// Requests from VMs that had passed the limit on.
        std::deque<time_point> arrivals;
    };
    struct pause {
        time_point begins{};
        time_point ends{};
        unsigned arrivals = 0;
    };

    void check_limit(const arrival& it, std::vector<std::string>& out);
    void check_leaving(const arrival& it, std::vector<std::string>& out) const;
    void check_pauses(const arrival& it, std::vector<std::string>& out);

    std::map<std::string, limit> limits_;
    /// First time.
    std::map<vm_at_endpoint, time_point> limit_passed_on_;
    std::map<vm_at_endpoint, time_point> leaving_passed_on_;
    std::map<vm_at_endpoint, std::deque<pause>> pauses_;
};

}  // namespace radishpulley::soak
