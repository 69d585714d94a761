/// Hints exchanged between daemons. They improve decisions and may be lost.
///
/// Nothing is agreed through hints; agreement goes through the platform's store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/identifier.h"
#include "relay/copy_report.h"
#include "routing/account_limiter.h"
#include "routing/endpoint_limits.h"
#include "routing/peer_contacts.h"
#include "routing/request_attributes.h"
#include "routing/request_quarantine.h"
#include "routing/stream_origins.h"
#include "routing/work_table.h"

namespace radishpulley::routing {

/// Status that a daemon broadcasts several times a second.
struct vm_status {
    /// Newest configuration version in force on the sender.
    std::uint64_t configuration_version = 0;
    bool leaving = false;
    work_by_endpoint work;
    demand_by_account demand;
    /// Limits that endpoints announced in their responses.
    std::vector<advertised_limit> limits;
    /// Segments and requests that are accused of crashes.
    std::vector<suspect> suspects;
    /// Members with which the sender exchanges no messages in both directions.
    stated_losses losses{};
    /// Services of which the sender reaches no endpoint.
    std::vector<service_id> unreached_services{};
};

/// Adapter usage at one engine, sent to the engine's holder.
struct adapter_usage {
    endpoint_id engine;
    /// Adapter of each request sent since the last message.
    std::vector<model_ref> sent;
    /// Adapters that the sender's requests are running on now.
    std::vector<model_ref> running;
};

/// Asks the engine's holder to load an adapter for a waiting request.
struct load_request {
    endpoint_id engine;
    model_ref adapter;
    /// Maximum time that the request waits for the adapter, in milliseconds.
    std::uint32_t max_wait_ms = 0;
};

/// Announces that an engine holds, loads or has evicted an adapter; sent by the engine's holder.
struct adapter_hint {
    endpoint_id engine;
    model_ref adapter;
    bool held = false;
    /// Time until the adapter is usable, in milliseconds.
    std::uint32_t ready_in_ms = 0;
    std::uint64_t version = 0;
    /// Whether the engine has accepted the order already.
    bool ordered = true;
    /// Expected duration of this load in milliseconds and the concurrent loads that it was
    /// estimated for, if the adapter is fetched from the weight store; 0 otherwise.
    std::uint32_t load_time_ms = 0;
    std::uint32_t concurrent_loads = 0;
};

/// The engine's holder cannot load the adapter now.
struct load_refusal {
    endpoint_id engine;
    model_ref adapter;
    /// When the adapter could be usable, in milliseconds, if that is known.
    std::optional<std::uint32_t> ready_in_ms;
};

/// Reports on the sender's copy of the platform's store, sent to the VMs of its availability zone.
struct store_reports {
    std::vector<relay::copy_report> reports;
};

/// The sender's usage of client accounts, sent to their monitor.
struct account_usage_report {
    std::vector<account_usage> uses;
};

/// Client accounts at their limit, sent by their monitor.
struct saturated_accounts {
    std::vector<account_saturation> accounts;
};

/// Changes of what the sender knows of segments and requests that are accused of crashes.
struct suspects_update {
    std::vector<suspect> suspects;
};

/// Streams that began or went on at the sender, sent to the VMs that keep copies.
struct stream_announcement {
    std::vector<stream_group> groups;
};

/// Asks for the software that began a stream.
struct stream_query {
    stream_key stream = 0;
};

/// The software that began the stream, or nothing if the sender does not know it.
struct stream_reply {
    stream_key stream = 0;
    std::optional<software> began_at;
};

using hint = std::variant<vm_status, adapter_usage, load_request, adapter_hint, load_refusal,
                          store_reports, account_usage_report, saturated_accounts, suspects_update,
                          stream_announcement, stream_query, stream_reply>;

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
