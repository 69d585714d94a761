/// Checks that VMs obey the limits, pauses and leave announcements that endpoints put into their
/// responses.
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

/// A VM between two disturbances. After a disturbance, earlier announcements no longer bind the VM.
struct vm_epoch {
    std::string vm;
    unsigned number = 0;

    bool operator<(const vm_epoch& other) const {
        return std::tie(vm, number) < std::tie(other.vm, other.number);
    }
};

/// A request that reached an endpoint.
struct request_arrival {
    std::string endpoint;
    vm_epoch from;
    /// When the caller sent it.
    time_point sent{};
    /// When it reached the endpoint.
    time_point reached{};
};

/// Checks requests as they arrive. Has no side effects.
class notice_checker {
public:
    /// The endpoint announces a rate limit from now on, or none if `rate` is empty.
    void on_limit_announced(const std::string& endpoint, std::optional<double> rate,
                            time_point now);
    /// The endpoint restarted, which voids its earlier announcements.
    void on_restart(const std::string& endpoint);
    /// A VM forwarded a response of the endpoint that announced a limit, or that it is leaving.
    void on_limit_forwarded(const std::string& endpoint, const vm_epoch& by, time_point now);
    void on_leaving_forwarded(const std::string& endpoint, const vm_epoch& by, time_point now);
    /// The endpoint refused a request of the VM and requested a pause of this length.
    void on_pause(const std::string& endpoint, const vm_epoch& of, time_point now, duration length);
    /// Records a request and returns the violations that it causes.
    std::vector<std::string> on_arrival(const request_arrival& it);

private:
    using endpoint_and_vm = std::pair<std::string, vm_epoch>;
    struct announced_limit {
        double rate = 0;
        time_point since{};
        /// Requests from VMs that had forwarded the limit.
        std::deque<time_point> arrivals;
    };
    struct requested_pause {
        time_point begins{};
        time_point ends{};
        unsigned arrivals = 0;
    };

    void check_limit(const request_arrival& it, std::vector<std::string>& out);
    void check_leaving(const request_arrival& it, std::vector<std::string>& out) const;
    void check_pauses(const request_arrival& it, std::vector<std::string>& out);

    std::map<std::string, announced_limit> limits_;
    /// Time of the first forwarded announcement.
    std::map<endpoint_and_vm, time_point> limit_forwarded_at_;
    std::map<endpoint_and_vm, time_point> leaving_forwarded_at_;
    std::map<endpoint_and_vm, std::deque<requested_pause>> pauses_;
};

}  // namespace radishpulley::soak
