/// Messages between daemons about adapters and loads, and the reports and orders of engines.
///
/// An engine's full report goes only to the engine's holder. Other daemons get an engine's state as
/// the `engine_digest` in the holder's responses to their own pin requests, so each daemon receives
/// only the state of engines that it uses.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/identifier.h"
#include "ownership/holding.h"

namespace radishpulley::placement {

using ownership::fencing_number;

/// One version of an adapter, which is one set of weights.
struct adapter_ref {
    adapter_id adapter;
    version_id version;

    friend bool operator==(const adapter_ref& a, const adapter_ref& b) {
        return a.adapter == b.adapter && a.version == b.version;
    }
    friend bool operator!=(const adapter_ref& a, const adapter_ref& b) { return !(a == b); }
    friend bool operator<(const adapter_ref& a, const adapter_ref& b) {
        return std::tie(a.adapter, a.version) < std::tie(b.adapter, b.version);
    }
};

/// Sequence number of a daemon's messages about pins. It increases with every message.
using message_number = std::uint64_t;

/// State of an engine as its holder has it.
struct engine_digest {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t concurrency = 0;
    /// Number of loads that wait for a slot or a permit.
    std::uint32_t waiting_loads = 0;
};

/// Daemon to holder: requests or renews the pin of an adapter version at an endpoint. It also
/// requests a load if the adapter is not loaded.
struct pin_request {
    vm_incarnation daemon;
    endpoint_id endpoint;
    adapter_ref adapter;
    message_number number = 0;
    /// Number of requests that wait at the daemon for this pin.
    std::uint32_t waiting = 0;
    /// Number of requests that run under this pin.
    std::uint32_t running = 0;
    /// Number of requests that arrived since the previous message.
    std::uint32_t arrived = 0;
    /// Age of the oldest waiting request.
    duration oldest_wait{};
    /// Sum of the account weights of the waiting requests.
    double weight = 0;
    /// Number of this daemon's requests that run or wait for the engine, over all adapters.
    std::uint32_t engine_demand = 0;
};

/// Holder to daemon: the daemon may send requests for `validity`, counted from when it sent (and
/// not from when the holder received) the pin request with this number.
struct pin_grant {
    endpoint_id endpoint;
    adapter_ref adapter;
    vm_incarnation daemon;
    message_number number = 0;
    fencing_number fence = 0;
    duration validity{};
    /// Maximum number of concurrent requests of this daemon at the engine, over all adapters.
    std::uint32_t window = 1;
    engine_digest state;
    /// Request rate of the adapter at this engine, over all daemons.
    double requests_per_second = 0;
};

/// Reason why no pin is granted now.
enum class pin_refusal_reason {
    /// The adapter is not loaded yet. The holder keeps the request and responds again later.
    loading,
    /// The load failed. The daemon should try another engine.
    load_failed,
    /// The receiver is not the holder, or the engine is not usable.
    not_holder,
    /// All slots are in use, and none is expected to become free soon.
    no_slot
};

/// Holder to daemon: no pin is granted now.
struct pin_refusal {
    endpoint_id endpoint;
    adapter_ref adapter;
    vm_incarnation daemon;
    message_number number = 0;
    fencing_number fence = 0;
    pin_refusal_reason reason = pin_refusal_reason::loading;
    /// Estimated wait, from which Retry-After is derived.
    duration expected_wait{};
    engine_digest state;
};

/// Holder to daemon: release this pin if no request uses it.
struct pin_recall {
    endpoint_id endpoint;
    adapter_ref adapter;
    vm_incarnation daemon;
    fencing_number fence = 0;
    /// Whether the daemon must send no new requests under the pin and release it when the running
    /// ones have ended.
    bool drain = false;
};

/// Daemon to holder: no request runs under this pin, and none will be sent under it.
struct pin_release {
    vm_incarnation daemon;
    endpoint_id endpoint;
    adapter_ref adapter;
    message_number number = 0;
    /// Number of requests that arrived since the previous message.
    std::uint32_t arrived = 0;
    /// Number of this daemon's requests that run or wait for the engine, over all adapters.
    std::uint32_t engine_demand = 0;
};

/// A pin in a handover from the previous holder.
struct pin_record {
    vm_incarnation daemon;
    adapter_ref adapter;
    message_number number = 0;
    /// Remaining time during which requests under the pin may run.
    duration remaining{};
};

/// Previous holder to new holder: the previous one issues no more orders or grants under `fence` or
/// a lower number, and it has granted these pins.
struct keeper_handoff {
    endpoint_id endpoint;
    fencing_number fence = 0;
    vm_incarnation from;
    std::vector<pin_record> pins;
    /// Time during which pins of earlier holders may still be in use; the maximum value if such a
    /// holder may still be running.
    duration unknown_pins{};
};

/// Engine holder to the weight store's holder: requests load permits and replaces the previous
/// request.
struct permit_request {
    vm_incarnation holder;
    endpoint_id endpoint;
    message_number number = 0;
    /// Priorities of the loads that are ready to start, the highest first. The wire uses this name.
    std::vector<double> needs;
};

/// The weight store's holder to an engine holder: one load may start within `validity`, counted
/// from when the permit request with this number was sent.
struct load_permit {
    endpoint_id endpoint;
    vm_incarnation holder;
    message_number number = 0;
    std::uint64_t permit = 0;
    fencing_number fence = 0;
    duration validity{};
};

/// Engine holder to the weight store's holder: the load under this permit has ended or never began.
struct permit_done {
    vm_incarnation holder;
    endpoint_id endpoint;
    std::uint64_t permit = 0;
    fencing_number fence = 0;
    /// False if no load was started; the permit then returns to the budget.
    bool used = true;
};

/// Any placement message between daemons.
using message = std::variant<pin_request, pin_grant, pin_refusal, pin_recall, pin_release,
                             keeper_handoff, permit_request, load_permit, permit_done>;

/// State of an adapter in an engine's report.
enum class reported_state { loading, loaded };

/// One adapter in an engine's report.
struct reported_adapter {
    adapter_ref adapter;
    reported_state state = reported_state::loaded;
    /// Number of requests that run or wait on it.
    std::uint32_t active = 0;
};

/// An engine's report of its load. Reports may arrive late, more than once or out of order.
struct engine_report {
    endpoint_id endpoint;
    /// Changes when the engine restarts.
    std::string engine_incarnation;
    /// Increases within one engine incarnation.
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::vector<reported_adapter> adapters;
};

/// Kind of an order.
enum class order_kind { load, evict };

/// An order to an engine. Orders are idempotent.
struct engine_order {
    endpoint_id endpoint;
    order_kind kind = order_kind::load;
    adapter_ref adapter;
    /// Increases with every order, also within one holder's term. Engines that check fencing refuse
    /// any number below the highest one that they have received.
    fencing_number fence = 0;
};

/// Outcome of an order.
enum class order_outcome {
    done,
    failed,
    /// The engine has received a higher fencing number.
    fenced,
    /// There was no response. The order may have taken effect or may do so later.
    unknown
};

/// Result of an order.
struct order_result {
    engine_order order;
    order_outcome outcome = order_outcome::done;
    /// Engine incarnation that responded; empty if none did.
    std::string engine_incarnation;
};

}  // namespace radishpulley::placement
