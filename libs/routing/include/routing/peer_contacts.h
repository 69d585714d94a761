/// Tracks with which other VMs this one exchanges messages in both directions.
///
/// Each VM states in its status which members it has lost contact with. Contact with a VM is lost
/// while its messages stay out, and while it states that this VM's messages do. Pure; not
/// thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include <gsl/span>

#include "base/clock.h"
#include "base/identifier.h"

namespace radishpulley::routing {

/// A VM with which messages are not exchanged in both directions.
struct lost_contact {
    vm_id vm;
    /// When both last heard each other; `time_point::min()` if they never did.
    time_point since = time_point::min();
    /// Time for which messages may stay out without contact being lost.
    duration tolerance{};
    /// Whether a VM with which this one has contact still has contact with `vm`.
    bool contested = false;
};

/// The contacts that a VM lost, as its status states them.
struct stated_losses {
    /// VMs whose messages stay out; at most `max_stated_losses`.
    std::vector<vm_id> unheard;
    /// Whether there are more of these.
    bool more_unheard = false;
    /// VMs whose messages arrive and that state that this VM's stay out; at most as many.
    std::vector<vm_id> deaf;
    /// Whether there are more of these.
    bool more_deaf = false;
};

constexpr std::size_t max_stated_losses = 32;

/// Contacts of one VM.
class peer_contacts {
public:
    /// Another VM and the interval at which its statuses are expected.
    struct member {
        vm_id vm;
        duration status_interval{};
    };

    explicit peer_contacts(vm_id self) : self_(std::move(self)) {}

    /// Sets the other VMs that may serve callers.
    void set_members(gsl::span<const member> others, time_point now);
    /// Records a status of another VM.
    void on_status(const vm_id& from, const stated_losses& its_losses, time_point now);

    std::vector<lost_contact> lost(time_point now) const;
    /// Returns what this VM's status states.
    stated_losses to_state(time_point now) const;

private:
    struct record {
        duration tolerance{};
        time_point listed_at{};
        time_point heard_at = time_point::min();
        /// When the last status arrived that did not state the loss of this VM.
        time_point mutual_at = time_point::min();
        bool hears_self = true;
        std::set<vm_id> losses;
        bool more_losses = false;
    };

    static bool is_unheard(const record& it, time_point now);
    static bool is_lost(const record& it, time_point now);
    bool is_contested(const vm_id& vm, const record& it, time_point now) const;

    vm_id self_;
    std::map<vm_id, record> members_;
};

}  // namespace radishpulley::routing
