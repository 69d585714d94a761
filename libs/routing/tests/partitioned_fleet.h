/// A simulated fleet of account limiters whose messages may be cut off in any direction.
#pragma once

#include <cstddef>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "limiter_fleet.h"
#include "routing/peer_contacts.h"

namespace radishpulley::routing::testing {

/// VMs that send each other their status every 400 ms. Each sees only what arrives.
class partitioned_fleet {
public:
    partitioned_fleet(std::size_t n, double rate, limiter_settings settings)
        : rate_(rate), settings_(settings), is_cut_(n, std::vector<bool>(n, false)) {
        for (std::size_t i = 0; i < n; ++i) {
            vms_.emplace_back();
            restart(i, start);
        }
    }

    std::size_t size() const { return vms_.size(); }
    bool runs(std::size_t vm) const { return vms_[vm].limiter != nullptr; }

    /// Cuts off or restores the way of messages.
    void set_cut(std::size_t from, std::size_t to, bool is_cut) { is_cut_[from][to] = is_cut; }
    void set_cut_both_ways(std::size_t a, std::size_t b, bool is_cut) {
        set_cut(a, b, is_cut);
        set_cut(b, a, is_cut);
    }
    void heal() {
        for (auto& row : is_cut_) {
            row.assign(size(), false);
        }
    }

    void stop(std::size_t vm) { vms_[vm] = {}; }
    /// Starts a VM that remembers nothing.
    void restart(std::size_t vm, time_point now) {
        vms_[vm].limiter = std::make_unique<account_limiter>(settings_);
        vms_[vm].contacts = std::make_unique<peer_contacts>(vm_name(vm));
        update(vm, now);
        vms_[vm].limiter->configure({account(rate_, rate_)}, now);
    }

    /// Lets every VM send its status.
    void exchange(time_point now) {
        for (std::size_t from = 0; from < size(); ++from) {
            if (!runs(from)) {
                continue;
            }
            update(from, now);
            const demand_by_account demand = vms_[from].limiter->demand(now);
            vms_[from].limiter->note_demand_stated(now);
            const stated_losses losses = vms_[from].contacts->to_state(now);
            for (std::size_t to = 0; to < size(); ++to) {
                if (from != to && runs(to) && !is_cut_[from][to]) {
                    vms_[to].limiter->on_peer_demand(vm_name(from), demand);
                    vms_[to].contacts->on_status(vm_name(from), losses, now);
                }
            }
        }
    }

    bool admit(std::size_t vm, double units, time_point now) {
        return is_admitted(vms_[vm].limiter->admit(acme, units, now));
    }

    /// Sum of the shares of all VMs that run.
    double sum_of_shares(time_point now) const {
        double sum = 0;
        for (const auto& it : vms_) {
            sum += it.limiter ? it.limiter->share(acme, now) : 0;
        }
        return sum;
    }
    std::size_t lost_contacts(std::size_t vm, time_point now) const {
        return vms_[vm].contacts->lost(now).size();
    }
    double share(std::size_t vm, time_point now) const {
        return vms_[vm].limiter->share(acme, now);
    }

private:
    struct member {
        std::unique_ptr<account_limiter> limiter;
        std::unique_ptr<peer_contacts> contacts;
    };

    void update(std::size_t vm, time_point now) {
        std::vector<peer_contacts::member> others;
        std::vector<vm_id> names;
        for (std::size_t i = 0; i < is_cut_.size(); ++i) {
            if (i != vm) {
                others.push_back({vm_name(i), std::chrono::milliseconds(400)});
                names.push_back(vm_name(i));
            }
        }
        vms_[vm].contacts->set_members(others, now);
        vms_[vm].limiter->set_members(names);
        vms_[vm].limiter->set_lost_contacts(vms_[vm].contacts->lost(now));
    }

    double rate_;
    limiter_settings settings_;
    std::vector<member> vms_;
    std::vector<std::vector<bool>> is_cut_;
};

}  // namespace radishpulley::routing::testing
