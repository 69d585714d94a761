/// What one daemon knows about the other VMs: listed, heard, suspected, certainly ended.
#pragma once

#include <map>
#include <vector>

#include <gsl/span>

#include "base/clock.h"
#include "base/identifier.h"
#include "object_api/vm_list.h"

namespace radishpulley::ownership {

/// Limits of what silence means.
struct failure_detector_settings {
    /// Silence after which a VM is suspected; proves nothing.
    duration suspicion = std::chrono::seconds(6);
    /// Longest time by which one reader's VM list may be older than another's.
    duration list_lag = std::chrono::seconds(60);
};

/// Judges VMs from the platform's list and from the peers' messages.
///
/// An incarnation has certainly ended when a higher one of the same VM was heard, or when the VM is
/// missing from every list read over `list_lag`. The second rule needs that daemons claim nothing
/// before they found themselves in the list (`may_hold`), and that the platform stops a VM before
/// it drops it from the list.
class failure_detector {
public:
    failure_detector(vm_incarnation self, failure_detector_settings settings);

    /// Takes a list that the platform answered.
    void on_list(gsl::span<const object_api::vm_entry> entries, time_point now);
    /// Takes any proof that `who` ran at `now`: a message, or an entry that it wrote itself.
    void on_alive(const vm_incarnation& who, time_point now);
    /// Sets the silence after which `vm` is suspected, where it differs from the settings'.
    void set_suspicion_timeout(const vm_id& vm, duration silence);
    /// Takes a reference to `who` that does not prove that it runs, such as a table entry.
    void on_incarnation_seen(const vm_incarnation& who, time_point now);
    /// Takes the VM's own word that it is shutting down; the list may say so much later.
    void on_leaving(const vm_incarnation& who, time_point now);

    /// Whether `who` can never act again.
    bool confirmed_ended(const vm_incarnation& who, time_point now) const;
    /// The moment from which `who` was known to have ended; the far future while it is not.
    time_point ended_at(const vm_incarnation& who, time_point now) const;
    /// Whether `who` is silent for longer than the limit.
    bool suspected(const vm_incarnation& who, time_point now) const;
    /// Whether this VM hears no other listed VM although there are some: it is the one cut off.
    bool alone(time_point now) const;
    /// Whether this VM found itself in the list as live.
    bool may_hold() const;
    /// VMs that may be given something: listed as live and heard of late, in order.
    std::vector<vm_incarnation> candidates(time_point now) const;

private:
    struct vm_record {
        incarnation_number incarnation = 0;
        time_point incarnation_since{};
        time_point heard{};
        bool was_heard = false;
        bool listed = false;
        bool live = false;
        bool leaving = false;
        duration suspicion{};
        /// First list without it since it was listed or heard.
        time_point missing_since = time_point::max();
    };

    vm_record& record_of(const vm_incarnation& who, time_point now);

    vm_incarnation self_;
    failure_detector_settings settings_;
    std::map<vm_id, vm_record> records_;
    time_point last_list_{};
    bool has_list_ = false;
};

}  // namespace radishpulley::ownership
