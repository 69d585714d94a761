/// Tells a holder whether it may act now: not after a pause, not after a higher fencing number.
#pragma once

#include <map>
#include <optional>

#include "base/clock.h"
#include "ownership/holding.h"

namespace radishpulley::ownership {

/// Guards the acts of one daemon on what it holds.
///
/// A daemon that did not run for longer than `pause_limit` may have been replaced meanwhile. It
/// gives no orders and grants until it has read its entries again.
class holder_guard {
public:
    holder_guard(vm_incarnation self, duration pause_limit);

    /// Notes that the daemon runs; call it from the event loop and before every act.
    void on_running(time_point now);
    /// Takes an entry read from the table by a read that began at `read_began`.
    void on_entry(const holding& it, time_point read_began);
    /// Takes a fencing number that anybody stated: an engine, a peer's message.
    void on_fence_seen(const holding_id& id, fencing_number fence);
    /// Ends the holding at this VM at once, before the table says so.
    void stop(const holding_id& id);

    /// Returns the fencing number to act under, or nothing where this VM may not act now.
    std::optional<fencing_number> may_act(const holding_id& id, time_point now);
    /// Whether entries must be read again before anything may be done.
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
    time_point last_wake_ = time_point::min();
};

}  // namespace radishpulley::ownership
