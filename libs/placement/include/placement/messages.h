/// Messages between daemons about adapters and loads, and the reports and orders of engines.
///
/// An engine's raw report goes to the engine's holder only. Daemons learn an engine's state from
/// the `engine_digest` in the holder's answers to their own pin requests, so each daemon hears of
/// the engines that it uses and of no others.
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

/// One set of weights of one adapter.
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

/// Orders a daemon's messages about one pin; grows with every message that it sends.
using message_number = std::uint64_t;

/// State of an engine as its holder has it.
struct engine_digest {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t concurrency = 0;
    /// Loads that wait for a slot or a permit.
    std::uint32_t waiting_loads = 0;
};

/// Daemon to holder: asks for the pin of (endpoint, adapter version), or renews it. It is also the
/// wish to load the adapter where it is not loaded.
struct pin_request {
    vm_incarnation daemon;
    endpoint_id endpoint;
    adapter_ref adapter;
    message_number number = 0;
    /// Requests that wait at the daemon for this pin.
    std::uint32_t waiting = 0;
    /// Requests that run under it.
    std::uint32_t running = 0;
    /// Requests that arrived since the message before.
    std::uint32_t arrived = 0;
    /// Age of the oldest waiting request.
    duration oldest_wait{};
    /// Sum of the waiting requests' account weights.
    double weight = 0;
    /// Requests that run or wait for the engine at this daemon, over all adapters.
    std::uint32_t engine_demand = 0;
};

/// Holder to daemon: the daemon may send requests for `validity` from when it SENT the request
/// with this number.
struct pin_grant {
    endpoint_id endpoint;
    adapter_ref adapter;
    vm_incarnation daemon;
    message_number number = 0;
    fencing_number fence = 0;
    duration validity{};
    /// Most requests that this daemon may have at the engine at once, over all adapters.
    std::uint32_t window = 1;
    engine_digest state;
    /// The adapter's requests at this engine from all daemons.
    double requests_per_second = 0;
};

/// Why there is no pin now.
enum class pin_refusal_reason {
    /// The adapter is not loaded yet; the holder keeps the wish and will answer again.
    loading,
    /// The load failed; the daemon should try another engine.
    load_failed,
    /// The receiver is not the holder, or the engine is not usable.
    not_holder,
    /// Every slot is in use and cannot become free soon.
    no_slot
};

/// Holder to daemon: no pin now.
struct pin_refusal {
    endpoint_id endpoint;
    adapter_ref adapter;
    vm_incarnation daemon;
    message_number number = 0;
    fencing_number fence = 0;
    pin_refusal_reason reason = pin_refusal_reason::loading;
    /// Estimate of the wait; the true basis of a retry-after.
    duration expected_wait{};
    engine_digest state;
};

/// Holder to daemon: release this pin where no request uses it.
struct pin_recall {
    endpoint_id endpoint;
    adapter_ref adapter;
    vm_incarnation daemon;
    fencing_number fence = 0;
    /// True when the daemon must send no new requests under it and release it after the running
    /// ones.
    bool drain = false;
};

/// Daemon to holder: no request runs or will be sent under this pin.
struct pin_release {
    vm_incarnation daemon;
    endpoint_id endpoint;
    adapter_ref adapter;
    message_number number = 0;
    /// Requests that arrived since the message before.
    std::uint32_t arrived = 0;
    /// Requests that run or wait for the engine at this daemon, over all adapters.
    std::uint32_t engine_demand = 0;
};

/// One pin as an old holder passes it on.
struct pin_record {
    vm_incarnation daemon;
    adapter_ref adapter;
    message_number number = 0;
    /// Remaining time for which the pin's requests may run.
    duration remaining{};
};

/// Old holder to new holder: it gives no more orders or grants under `fence` or below, and these
/// are the pins that it gave.
struct keeper_handoff {
    endpoint_id endpoint;
    fencing_number fence = 0;
    vm_incarnation from;
    std::vector<pin_record> pins;
    /// For how long pins of still earlier holders may be in use; the greatest value where some of
    /// those may still be running.
    duration unknown_pins{};
};

/// Engine holder to the weight store's holder: asks for permits; replaces the wish before.
struct permit_request {
    vm_incarnation holder;
    endpoint_id endpoint;
    message_number number = 0;
    /// Needs of the loads that are ready to start, the greatest first.
    std::vector<double> priorities;
};

/// The weight store's holder to an engine holder: one load may start within `validity` from when
/// the request with this number was sent.
struct load_permit {
    endpoint_id endpoint;
    vm_incarnation holder;
    message_number number = 0;
    std::uint64_t permit = 0;
    fencing_number fence = 0;
    duration validity{};
};

/// Engine holder to the weight store's holder: the load under this permit ended or never began.
struct permit_done {
    vm_incarnation holder;
    endpoint_id endpoint;
    std::uint64_t permit = 0;
    fencing_number fence = 0;
    /// False where no load was started; the budget gets it back.
    bool used = true;
};

/// Any message between daemons of this package.
using message = std::variant<pin_request, pin_grant, pin_refusal, pin_recall, pin_release,
                             keeper_handoff, permit_request, load_permit, permit_done>;

/// State of an adapter in an engine's report.
enum class reported_state { loading, loaded };

/// One adapter in an engine's report.
struct reported_adapter {
    adapter_ref adapter;
    reported_state state = reported_state::loaded;
    /// Requests that run or wait on it.
    std::uint32_t active = 0;
};

/// An engine's report of its load, late, doubled or out of order.
struct engine_report {
    endpoint_id endpoint;
    /// Changes when the engine restarts.
    std::string engine_incarnation;
    /// Grows within one engine incarnation.
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::vector<reported_adapter> adapters;
};

/// What an order does.
enum class order_kind { load, evict };

/// An order to an engine. Repeating it has no further effect.
struct engine_order {
    endpoint_id endpoint;
    order_kind kind = order_kind::load;
    adapter_ref adapter;
    /// Higher for every later order, also within one holder's term. Engines that check refuse any
    /// number below the highest they saw.
    fencing_number fence = 0;
};

/// How an order ended.
enum class order_outcome {
    done,
    failed,
    /// The engine saw a higher fencing number.
    fenced,
    /// No answer came; the order may take effect now or later.
    unknown
};

/// Answer to an order.
struct order_result {
    engine_order order;
    order_outcome outcome = order_outcome::done;
    /// Engine incarnation that answered; empty where none did.
    std::string engine_incarnation;
};

}  // namespace radishpulley::placement
