/// Checks whether a holder may act: not after a pause of its process, and not once a higher fencing
/// number was seen.
#pragma once

#include <map>
#include <optional>

#include "base/clock.h"
#include "ownership/holding.h"

namespace radishpulley::ownership {

/// Fences the actions of one daemon on its holdings.
///
/// A daemon whose process was paused for longer than `pause_limit` may have been replaced in the
/// meantime. It issues no orders or grants until it has read its entries again.
class holder_guard {
public:
    holder_guard(vm_incarnation self, duration pause_limit);

    /// Records that the daemon is running. The event loop calls it, and it is called before every
    /// action.
    void on_running(time_point now);
    /// Processes a table entry from a read that began at `read_began`.
    void on_entry(const holding& it, time_point read_began);
    /// Records a fencing number reported by an engine or in a message of a peer.
    void on_fence_seen(const holding_id& id, fencing_number fence);
    /// Ends the holding at this VM at once, before the table is updated.
    void stop(const holding_id& id);

    /// Returns the fencing number to act under, or nothing if this VM may not act now.
    std::optional<fencing_number> may_act(const holding_id& id, time_point now);
    /// Whether entries have to be read again before this VM may act on them.
    bool needs_revalidation() const;

private:
    struct held {
        fencing_number fence = 0;
        time_point validated{};
        bool stopped = false;
    };

    vm_incarnation self_;
    duration pause_limit_;
    std::map<holding_id, held> held_;
    std::map<holding_id, fencing_number> highest_seen_;
    time_point last_run_ = time_point::min();
    time_point last_resume_ = time_point::min();
};

}  // namespace radishpulley::ownership
