/// Simulates an endpoint that announces a rate limit, and a fleet of VMs that advertise it to each
/// other.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "routing/endpoint_limits.h"

namespace radishpulley::routing::testing {

/// Parameters of the simulation.
struct limited_endpoint_settings {
    std::size_t vms = 9;
    /// Requests per second for the endpoint across all VMs.
    double demand = 20;
    /// Fraction of the VMs' messages that are lost.
    double loss = 0;
    std::uint64_t seed = 1;
};

/// Runs in virtual time and counts requests as the platform does.
class limited_endpoint {
public:
    explicit limited_endpoint(limited_endpoint_settings settings)
        : settings_(settings), random_(settings.seed) {
        entry_.id = endpoint_id("e1");
        entry_.started_at_ms = 1;
        for (std::size_t i = 0; i < settings.vms; ++i) {
            vms_.push_back({vm_id("vm-" + std::to_string(i)), endpoint_limits(), {}, true});
        }
        update_views();
    }

    /// Changes or ends the limit that the endpoint announces.
    void set_limit(std::optional<double> rate) {
        rate_ = rate;
        limited_since_ = now_;
        arrivals_.clear();
        for (vm& it : vms_) {
            it.informed_at.reset();
        }
    }

    /// Removes a VM from the others' views of the fleet, or adds it back without any state.
    void set_serving(std::size_t vm, bool serves) {
        vms_[vm].serves = serves;
        if (serves) {
            vms_[vm].limits = endpoint_limits();
            vms_[vm].informed_at.reset();
        }
        update_views();
    }

    void run(duration time) {
        const time_point end = now_ + time;
        for (; now_ < end; now_ += step) {
            deliver();
            for (std::size_t i = 0; i < vms_.size(); ++i) {
                if (vms_[i].serves) {
                    step_vm(i);
                }
            }
        }
    }

    /// Maximum number of requests in 4 s from VMs that had received the limit, relative to the
    /// allowed number.
    double max_excess = 0;
    /// Number of requests that reached the endpoint.
    std::size_t sent = 0;
    /// Whether all serving VMs have recorded this limit.
    bool all_recorded(std::optional<double> rate) const {
        return std::all_of(vms_.begin(), vms_.end(), [&](const vm& it) {
            return !it.serves || it.limits.rate(entry_.id) == rate;
        });
    }

private:
    static constexpr std::chrono::milliseconds step{10};
    static constexpr std::chrono::milliseconds run_time{200};
    static constexpr std::chrono::milliseconds datagram_time{10};
    static constexpr std::chrono::milliseconds window{4'000};
    static constexpr std::chrono::milliseconds fleet_delay{3'000};
    static constexpr std::chrono::milliseconds vm_delay{500};

    struct vm {
        vm_id id;
        endpoint_limits limits;
        std::optional<time_point> informed_at;
        bool serves = true;
        time_point next_advertisement_at{};
    };
    struct event {
        time_point at;
        std::function<void()> call;
        bool operator<(const event& other) const { return at > other.at; }
    };

    // The interval between a VM's advertisements grows with the fleet.
    duration advertisement_interval() const {
        return std::chrono::milliseconds(400) * std::max<std::size_t>(16, vms_.size()) / 16;
    }

    void update_views() {
        std::vector<vm_id> serving;
        for (const vm& it : vms_) {
            if (it.serves) {
                serving.push_back(it.id);
            }
        }
        for (vm& it : vms_) {
            it.limits.set_vms(it.id, serving, now_);
        }
    }

    void deliver() {
        while (!events_.empty() && events_.top().at <= now_) {
            const auto call = events_.top().call;
            events_.pop();
            call();
        }
    }

    double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    void step_vm(std::size_t i) {
        vm& it = vms_[i];
        if (now_ >= it.next_advertisement_at) {
            it.next_advertisement_at = now_ + advertisement_interval();
            advertise(i);
        }
        const double chance = settings_.demand / static_cast<double>(vms_.size()) *
                              std::chrono::duration<double>(step).count();
        if (draw() < chance && it.limits.allows(entry_.id, now_)) {
            it.limits.on_request_sent(entry_.id, now_);
            arrive(i);
        }
    }

    void arrive(std::size_t i) {
        vm& it = vms_[i];
        ++sent;
        const bool counts = rate_ && it.informed_at && now_ >= *it.informed_at + vm_delay &&
                            now_ >= limited_since_ + fleet_delay;
        if (counts) {
            arrivals_.push_back(now_);
            while (arrivals_.front() <= now_ - window) {
                arrivals_.pop_front();
            }
            const double allowed = 1.5 * *rate_ * 4 + 5;
            max_excess = std::max(max_excess, static_cast<double>(arrivals_.size()) / allowed);
        }
        events_.push(
            {now_ + run_time, [this, i, rate = rate_, at = now_] { respond(i, rate, at); }});
    }

    void respond(std::size_t i, std::optional<double> rate, time_point sent_at) {
        vm& it = vms_[i];
        if (!it.serves) {
            return;
        }
        if (rate && rate == rate_ && !it.informed_at) {
            it.informed_at = now_;
        }
        if (it.limits.on_response(incarnation_of(entry_), {rate, sent_at, now_, true})) {
            advertise(i);
        }
    }

    void advertise(std::size_t from) {
        const auto limits = vms_[from].limits.advertised_limits(now_);
        if (limits.empty()) {
            return;
        }
        for (std::size_t to = 0; to < vms_.size(); ++to) {
            if (to == from || draw() < settings_.loss) {
                continue;
            }
            events_.push({now_ + datagram_time, [this, to, limits] {
                              for (const advertised_limit& it : limits) {
                                  vms_[to].limits.on_peer_limit(it, now_);
                              }
                          }});
        }
    }

    limited_endpoint_settings settings_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(1)};
    endpoint entry_;
    std::vector<vm> vms_;
    std::priority_queue<event> events_;
    std::optional<double> rate_;
    time_point limited_since_{};
    std::deque<time_point> arrivals_;
};

}  // namespace radishpulley::routing::testing
