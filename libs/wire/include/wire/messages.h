/// JSON bodies of the messages between daemons, which travel as CBOR.
///
/// Decoders skip unknown fields and throw nlohmann::json::exception or invalid_input for wrong
/// ones. Example: `transport.send(vm, {quota_type, encode(message)});`
#pragma once

#include <nlohmann/json.hpp>

#include "fleet/fleet_agent.h"
#include "placement/messages.h"
#include "quota/messages.h"

namespace radishpulley::wire {

/// Type names in the envelope.
constexpr const char* fleet_type = "fleet";
constexpr const char* quota_type = "quota";
constexpr const char* placement_type = "placement";

nlohmann::json encode(const fleet::message& it);
nlohmann::json encode(const quota::quota_message& it);
nlohmann::json encode(const placement::message& it);

fleet::message decode_fleet(const nlohmann::json& body);
quota::quota_message decode_quota(const nlohmann::json& body);
placement::message decode_placement(const nlohmann::json& body);

}  // namespace radishpulley::wire
