/// Simulates VMs that send requests to one cold engine, each with its own, possibly late, list of
/// members.
#pragma once

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "routing/cold_start_limits.h"

namespace radishpulley::routing::testing {

/// Parameters of the simulation.
struct cold_fleet_settings {
    std::size_t vms = 9;
    double cold_rate = 6.4;
    duration cold_time = std::chrono::seconds(20);
    /// Longest time by which a VM's list of members lags.
    duration max_list_lag{};
    /// Requests per second that each VM would send.
    double demand_per_vm = 50;
    std::uint64_t seed = 1;
};

/// Runs in virtual time and counts the engine's requests.
class cold_start_fleet {
public:
    explicit cold_start_fleet(cold_fleet_settings settings)
        : settings_(settings), random_(settings.seed) {
        engine_.id = endpoint_id("e" + std::to_string(settings.seed));
        engine_.service = service_id("s");
        engine_.started_at_ms = 1;
        for (std::size_t i = 0; i < settings.vms; ++i) {
            add_vm();
        }
    }

    /// Registers another VM; returns its number.
    std::size_t add_vm() {
        vms_.push_back({});
        vms_.back().id = vm_id("vm-" + std::to_string(vms_.size()));
        start(vms_.back());
        return vms_.size() - 1;
    }

    /// Ends a VM. Others learn of it late.
    void stop_vm(std::size_t i) {
        vms_[i].limits.reset();
        publish_members();
    }

    /// Starts an ended VM again, without any state.
    void start_vm(std::size_t i) { start(vms_[i]); }

    /// Ends the updates of a VM's list of members, or continues them.
    void set_cut_off(std::size_t i, bool cut_off) { vms_[i].is_cut_off = cut_off; }

    /// The engine starts again, or becomes cold again.
    void make_cold(bool restarted) {
        engine_.started_at_ms += restarted ? 1 : 0;
        ++engine_.heartbeat;
        engine_.cold_left =
            std::chrono::duration_cast<std::chrono::milliseconds>(settings_.cold_time);
        for (vm& it : vms_) {
            if (it.limits) {
                it.limits->on_entry(engine_, now_);
            }
        }
        cold_until_ = now_ + settings_.cold_time;
        arrivals_.clear();
    }

    void run(duration time) {
        const time_point end = now_ + time;
        for (; now_ < end; now_ += step) {
            update_lists();
            for (vm& it : vms_) {
                if (it.limits) {
                    step_vm(it);
                }
            }
        }
    }

    /// Largest number of requests within a second while the engine was cold.
    std::size_t max_in_second = 0;
    /// Number of requests sent since the start.
    std::size_t sent = 0;
    /// Sum of all VMs' shares.
    double total_share() const {
        double sum = 0;
        for (const vm& it : vms_) {
            sum += it.limits ? it.limits->share(engine_.id, now_) : 0;
        }
        return sum;
    }
    /// The largest number of requests that the platform permits within a second.
    double permitted_in_second() const { return settings_.cold_rate * 1.5 + 5; }
    std::size_t draw(std::size_t below) {
        return std::uniform_int_distribution<std::size_t>(0, below - 1)(random_);
    }
    const cold_start_limits& limits(std::size_t i) const { return *vms_[i].limits; }
    endpoint_id engine() const { return engine_.id; }
    time_point now() const { return now_; }

private:
    static constexpr std::chrono::milliseconds step{10};
    static constexpr std::chrono::milliseconds list_interval{400};

    struct vm {
        vm_id id;
        std::unique_ptr<cold_start_limits> limits;
        bool is_cut_off = false;
        time_point next_update{};
        /// The list that this VM holds.
        std::vector<vm_id> members;
    };
    struct member_list {
        time_point since;
        std::vector<vm_id> members;
    };

    void start(vm& it) {
        it.limits = std::make_unique<cold_start_limits>();
        service of;
        of.id = engine_.service;
        of.cold_start = std::chrono::duration_cast<std::chrono::milliseconds>(settings_.cold_time);
        of.cold_rate = settings_.cold_rate;
        const std::vector<service> services{of};
        it.limits->configure(services, now_);
        endpoint entry = engine_;
        entry.cold_left = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::max(duration::zero(), cold_until_ - now_));
        it.limits->on_entry(entry, now_);
        it.limits->on_directory_read();
        it.members.clear();
        it.is_cut_off = false;
        it.next_update = now_;
        publish_members();
    }

    void publish_members() {
        std::vector<vm_id> members;
        for (const vm& it : vms_) {
            if (it.limits) {
                members.push_back(it.id);
            }
        }
        lists_.push_back({now_, members});
    }

    // Reads the list as it was at most the longest lag ago, and never an older one than before.
    const std::vector<vm_id>& read_list(duration lag) const {
        const auto after = std::find_if(lists_.begin(), lists_.end(), [&](const member_list& it) {
            return it.since > now_ - lag;
        });
        return after == lists_.begin() ? lists_.front().members : std::prev(after)->members;
    }

    void update_lists() {
        for (vm& it : vms_) {
            if (!it.limits || now_ < it.next_update) {
                continue;
            }
            it.next_update = now_ + list_interval;
            const auto lag = settings_.max_list_lag * static_cast<int>(draw(100)) / 100;
            const auto& list = read_list(lag);
            const bool has_itself = std::find(list.begin(), list.end(), it.id) != list.end();
            if (!it.is_cut_off && has_itself) {
                it.members = list;
            }
            it.limits->set_vms(it.id, it.members, now_);
        }
    }

    void step_vm(vm& it) {
        const double chance = settings_.demand_per_vm * std::chrono::duration<double>(step).count();
        const bool wants = std::uniform_real_distribution<double>(0, 1)(random_) < chance;
        if (wants && it.limits->allows(engine_.id, now_)) {
            it.limits->on_request_sent(engine_.id, now_);
            arrive();
        }
    }

    void arrive() {
        ++sent;
        arrivals_.push_back(now_);
        while (arrivals_.front() <= now_ - std::chrono::seconds(1)) {
            arrivals_.pop_front();
        }
        if (now_ < cold_until_) {
            max_in_second = std::max(max_in_second, arrivals_.size());
        }
    }

    cold_fleet_settings settings_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(1)};
    time_point cold_until_{};
    endpoint engine_;
    std::vector<vm> vms_;
    std::vector<member_list> lists_;
    std::deque<time_point> arrivals_;
};

}  // namespace radishpulley::routing::testing
