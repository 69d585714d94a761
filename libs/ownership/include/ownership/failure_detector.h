/// Detects failures of other VMs: which ones are listed, alive, suspected or confirmed to have
/// ended.
#pragma once

#include <map>
#include <vector>

#include <gsl/span>

#include "base/clock.h"
#include "base/identifier.h"
#include "object_api/vm_list.h"

namespace radishpulley::ownership {

/// Timeouts of the failure detector.
struct failure_detector_settings {
    /// Silence after which a VM is suspected. Silence does not prove that the VM has ended.
    duration suspicion_timeout = std::chrono::seconds(6);
    /// Longest time by which the VM list of one reader may lag behind that of another.
    duration list_lag = std::chrono::seconds(60);
};

/// Tracks the state of VMs from the VM list of the platform and from messages of peers.
///
/// The end of an incarnation is confirmed when a higher incarnation of the same VM is seen, or when
/// the VM is missing from every list read over `list_lag`. The second rule requires that daemons
/// claim nothing before they find themselves in the list (`may_hold`), and that the platform stops
/// a VM before it removes it from the list.
class failure_detector {
public:
    failure_detector(vm_incarnation self, failure_detector_settings settings);

    /// Processes a VM list returned by the platform.
    void on_list(gsl::span<const object_api::vm_entry> entries, time_point now);
    /// Records evidence that `who` was running at `now`: a message, or an entry that it wrote.
    void on_alive(const vm_incarnation& who, time_point now);
    /// Sets the silence after which `vm` is suspected, if it differs from the one in the settings.
    void set_suspicion_timeout(const vm_id& vm, duration silence);
    /// Records a reference to `who` that does not prove that it is running, such as a table entry.
    void on_incarnation_seen(const vm_incarnation& who, time_point now);
    /// Records that the VM announced its shutdown. The list may show this much later.
    void on_leaving(const vm_incarnation& who, time_point now);

    /// Whether it is certain that `who` has ended and can never act again.
    bool confirmed_ended(const vm_incarnation& who, time_point now) const;
    /// Time from which the end of `who` is confirmed; `time_point::max()` while it is not.
    time_point ended_at(const vm_incarnation& who, time_point now) const;
    /// Whether `who` has been silent for longer than its suspicion timeout.
    bool suspected(const vm_incarnation& who, time_point now) const;
    /// Whether other VMs are listed but none of them is alive to this VM: this VM is the one that
    /// is partitioned from the others.
    bool isolated(time_point now) const;
    /// Whether the list contains this VM as live.
    bool may_hold() const;
    /// Returns the VMs eligible as holders, sorted: listed as live, not leaving and not suspected.
    std::vector<vm_incarnation> candidates(time_point now) const;

private:
    struct vm_record {
        incarnation_number incarnation = 0;
        time_point incarnation_since{};
        time_point last_alive{};
        bool seen_alive = false;
        bool listed = false;
        bool live = false;
        bool leaving = false;
        duration suspicion_timeout{};
        /// Time of the first list without the VM since it was last listed or alive.
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
