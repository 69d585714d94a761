/// Messages between the daemons: hints that make decisions better and that may be lost.
///
/// Nothing is agreed by them; what must be agreed goes through the platform's store.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/identifier.h"
#include "relay/copy_report.h"
#include "routing/account_limiter.h"
#include "routing/endpoint_limits.h"
#include "routing/request_attributes.h"
#include "routing/work_table.h"

namespace radishpulley::routing {

/// What a daemon tells all others a few times a second.
struct vm_status {
    /// Newest configuration that is in force there.
    std::uint64_t configuration_version = 0;
    bool leaving = false;
    work_by_endpoint work;
    demand_by_account demand;
    /// Limits that endpoints named in their answers.
    std::vector<advertised_limit> limits;
};

/// Requests for adapters at one engine, told to its holder.
struct adapter_usage {
    endpoint_id engine;
    /// Adapter of each request that was sent since the last message.
    std::vector<model_ref> sent;
    /// Adapters that requests of this daemon run on now.
    std::vector<model_ref> running;
};

/// A request waits for an adapter that an engine does not hold, told to its holder.
struct load_request {
    endpoint_id engine;
    model_ref adapter;
    /// Longest time that the request waits for it, in milliseconds.
    std::uint32_t max_wait_ms = 0;
};

/// An adapter is or will be at an engine, or left it; told by the engine's holder.
struct adapter_hint {
    endpoint_id engine;
    model_ref adapter;
    bool held = false;
    /// Time until it is usable, in milliseconds.
    std::uint32_t ready_in_ms = 0;
    std::uint64_t version = 0;
    /// The engine has accepted the order already.
    bool ordered = true;
};

/// The holder can't load the adapter now.
struct load_refusal {
    endpoint_id engine;
    model_ref adapter;
};

/// What the sender knows of the platform's store, told to the VMs of its availability zone.
struct store_reports {
    std::vector<relay::copy_report> reports;
};

/// What the sender admitted of client accounts, told to their watcher.
struct account_usage_report {
    std::vector<account_usage> uses;
};

/// Client accounts at their limit, told by their watcher.
struct saturated_accounts {
    std::vector<account_saturation> accounts;
};

using hint = std::variant<vm_status, adapter_usage, load_request, adapter_hint, load_refusal,
                          store_reports, account_usage_report, saturated_accounts>;

/// A hint with its sender.
struct hint_message {
    vm_incarnation from;
    hint body;
};

/// Encodes a message as CBOR.
std::string encode(const hint_message& it);

/// Decodes a message; throws invalid_input.
hint_message decode_hint(std::string_view data);

}  // namespace radishpulley::routing
