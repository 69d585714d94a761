/// An endpoint that names a limit, before a fleet of VMs that tell each other of it.
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

/// What to play.
struct limited_endpoint_settings {
    std::size_t vms = 9;
    /// Requests a second for the endpoint, over all VMs.
    double demand = 20;
    /// Share of the VMs' messages that are lost.
    double loss = 0;
    std::uint64_t seed = 1;
};

/// Plays in virtual time and counts as the platform does.
class limited_endpoint {
public:
    explicit limited_endpoint(limited_endpoint_settings with) : with_(with), random_(with.seed) {
        entry_.id = endpoint_id("e1");
        entry_.started_at_ms = 1;
        for (std::size_t i = 0; i < with.vms; ++i) {
            vms_.push_back({vm_id("vm-" + std::to_string(i)), endpoint_limits(), {}, true});
        }
        tell_views();
    }

    /// The endpoint names another limit from now on, or none.
    void set_limit(std::optional<double> rate) {
        rate_ = rate;
        limited_since_ = now_;
        arrivals_.clear();
        for (vm& it : vms_) {
            it.told_at.reset();
        }
    }

    /// Takes a VM out of the others' views, or back in; a VM that comes back knows nothing.
    void set_serving(std::size_t vm, bool serves) {
        vms_[vm].serves = serves;
        if (serves) {
            vms_[vm].limits = endpoint_limits();
            vms_[vm].told_at.reset();
        }
        tell_views();
    }

    void run(duration time) {
        const time_point end = now_ + time;
        for (; now_ < end; now_ += step) {
            deliver();
            for (std::size_t i = 0; i < vms_.size(); ++i) {
                if (vms_[i].serves) {
                    act(i);
                }
            }
        }
    }

    /// Most requests in 4 s from VMs that had passed the limit on, as a part of what is allowed.
    double worst = 0;
    /// Requests that reached the endpoint.
    std::size_t sent = 0;
    /// Whether all VMs that serve know the same.
    bool all_know(std::optional<double> rate) const {
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
        std::optional<time_point> told_at;
        bool serves = true;
        time_point states_at{};
    };
    struct event {
        time_point at;
        std::function<void()> call;
        bool operator<(const event& other) const { return at > other.at; }
    };

    // The more VMs there are, the less often each of them states what it knows.
    duration statement_interval() const {
        return std::chrono::milliseconds(400) * std::max<std::size_t>(16, vms_.size()) / 16;
    }

    void tell_views() {
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

    void act(std::size_t i) {
        vm& it = vms_[i];
        if (now_ >= it.states_at) {
            it.states_at = now_ + statement_interval();
            state(i);
        }
        const double chance = with_.demand / static_cast<double>(vms_.size()) *
                              std::chrono::duration<double>(step).count();
        if (draw() < chance && it.limits.allows(entry_.id, now_)) {
            it.limits.on_request_sent(entry_.id, now_);
            arrive(i);
        }
    }

    void arrive(std::size_t i) {
        vm& it = vms_[i];
        ++sent;
        const bool counts = rate_ && it.told_at && now_ >= *it.told_at + vm_delay &&
                            now_ >= limited_since_ + fleet_delay;
        if (counts) {
            arrivals_.push_back(now_);
            while (arrivals_.front() <= now_ - window) {
                arrivals_.pop_front();
            }
            const double allowed = 1.5 * *rate_ * 4 + 5;
            worst = std::max(worst, static_cast<double>(arrivals_.size()) / allowed);
        }
        events_.push(
            {now_ + run_time, [this, i, rate = rate_, at = now_] { answer(i, rate, at); }});
    }

    void answer(std::size_t i, std::optional<double> rate, time_point sent_at) {
        vm& it = vms_[i];
        if (!it.serves) {
            return;
        }
        if (rate && rate == rate_ && !it.told_at) {
            it.told_at = now_;
        }
        if (it.limits.on_response(incarnation_of(entry_), {rate, sent_at, now_, true})) {
            state(i);
        }
    }

    void state(std::size_t from) {
        const auto said = vms_[from].limits.advertised_limits(now_);
        if (said.empty()) {
            return;
        }
        for (std::size_t to = 0; to < vms_.size(); ++to) {
            if (to == from || draw() < with_.loss) {
                continue;
            }
            events_.push({now_ + datagram_time, [this, to, said] {
                              for (const advertised_limit& it : said) {
                                  vms_[to].limits.on_peer_limit(it, now_);
                              }
                          }});
        }
    }

    limited_endpoint_settings with_;
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
