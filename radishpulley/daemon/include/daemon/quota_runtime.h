/// Runs the token loans: slots, loans and admissions of this daemon.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <vector>

#include "base/clock.h"
#include "daemon/message_bus.h"
#include "daemon/worker_pool.h"
#include "model/configuration.h"
#include "object_api/object_store.h"
#include "quota/quota_node.h"
#include "quota/slot_registry.h"

namespace radishpulley::daemon {

/// Table of loans. Lock order: its lock is taken before the bus's; callbacks run on a worker.
class quota_runtime {
public:
    using decision_handler = std::function<void(const quota::admission_decision&)>;

    quota_runtime(vm_incarnation self, const clock& time, object_api::object_store& api,
                  message_bus& bus, worker_pool& workers);

    /// Starts the timers.
    void start();

    void configure(const model::configuration& now);
    /// The platform's list was read, or an incarnation was heard of.
    void on_vms(const std::vector<object_api::vm_entry>& vms);
    void on_incarnation(const vm_incarnation& it);
    void on_message(const vm_incarnation& from, const quota::quota_message& it);

    /// Asks for `tokens`; `done` gets exactly one decision that is not `waiting`. Returns the
    /// number for settle() and cancel().
    quota::admission_number admit(const client_account_id& account, double tokens,
                                  decision_handler done);
    /// Settles what was used of an admitted request.
    void settle(quota::admission_number number, double tokens);
    /// Gives up a wait, or gives back the charge of a request that did not run.
    void cancel(quota::admission_number number);

    /// Stops lending and releases the slots. Blocks on the object API.
    void stop();
    std::size_t slot_count() const;

private:
    void carry_out(quota::quota_output out);
    void advance();
    void claim();

    const vm_incarnation self_;
    const clock& clock_;
    message_bus& bus_;
    worker_pool& workers_;
    // Serializes calls of the registry; taken before mutex_.
    std::mutex registry_mutex_;
    quota::slot_registry registry_;
    mutable std::mutex mutex_;
    quota::quota_node node_;
    quota::fleet_view fleet_;
    quota::admission_number last_ = 0;
    std::map<quota::admission_number, decision_handler> asked_;
    bool stopped_ = false;
};

}  // namespace radishpulley::daemon
