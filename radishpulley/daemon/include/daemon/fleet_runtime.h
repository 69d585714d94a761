/// Runs the fleet agent: carries its actions out on the object API and the peers.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "daemon/message_bus.h"
#include "daemon/worker_pool.h"
#include "fleet/fleet_agent.h"
#include "keys/key_authenticator.h"
#include "object_api/object_store.h"
#include "tickets/ticket_store.h"

namespace radishpulley::daemon {

/// The configuration in force with the index of its keys; immutable.
struct configuration_view {
    tickets::committed_configuration committed;
    keys::key_authenticator keys;

    const model::configuration& value() const { return committed.value; }
};

/// Table of membership, configuration and freshness. Lock order: its lock is taken before the
/// bus's; listeners are called on a worker without locks.
class fleet_runtime {
public:
    using listener = std::function<void(std::shared_ptr<const configuration_view>)>;

    /// `probes` is the object API with the short deadline of fleet::probe_api; `api` takes commits.
    fleet_runtime(object_api::vm_entry self, incarnation_number incarnation,
                  fleet::fleet_settings settings, std::string key_secret, const clock& time,
                  object_api::object_store& api, object_api::object_store& probes, message_bus& bus,
                  worker_pool& workers);

    /// Calls `it` after each new configuration.
    void add_listener(listener it);

    /// Takes an event of the connections, the VM list or the timer.
    void handle(const fleet::event& it);

    /// Commits a ticket; blocks up to the store's deadline. Throws invalid_input for findings that
    /// do not depend on the store.
    std::variant<tickets::accept_result, keys::must_not_commit> accept(const model::ticket& it);

    std::shared_ptr<const configuration_view> view() const;
    keys::serving_decision serving() const;
    tickets::rollout_status rollout(model::ticket_number number) const;
    std::vector<membership::member> members() const;
    std::vector<vm_id> connected_peers() const;
    /// Tells the peers that this daemon leaves.
    void leave();

private:
    void apply(const fleet::event& it);
    std::optional<keys::must_not_commit> start_accept();
    void carry_out(const fleet::action& it);
    void probe(const fleet::probe_api& it);
    void read_head();
    void read_shard(const tickets::read_shard& it);
    void put_in_force(const tickets::put_in_force& it);

    const clock& clock_;
    object_api::object_store& probes_;
    message_bus& bus_;
    worker_pool& workers_;
    tickets::ticket_store store_;
    tickets::ticket_store reads_;
    mutable std::mutex mutex_;
    fleet::fleet_agent agent_;
    // Serializes commits of this daemon; taken before mutex_.
    std::mutex accept_mutex_;
    std::shared_ptr<const configuration_view> view_;
    std::vector<listener> listeners_;
};

}  // namespace radishpulley::daemon
