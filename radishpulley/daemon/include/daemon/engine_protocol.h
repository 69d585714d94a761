/// The calls that a daemon makes to model engines: completions, orders and load reports.
#pragma once

#include <string_view>

#include "base/identifier.h"
#include "http/client.h"
#include "placement/messages.h"

namespace radishpulley::daemon {

/// Header in which an engine names the adapter and version that it ran.
constexpr std::string_view served_model_header = "X-Served-Model";
/// Header that carries the request's id to the endpoint and back.
constexpr std::string_view request_id_header = "X-Request-Id";
/// Header that asks an engine to skip events that were delivered, and the engine's answer to it.
constexpr std::string_view resume_header = "X-Resume-From-Event";
constexpr std::string_view resumed_header = "X-Resumed-From-Event";

/// Returns the call that carries out an order. `source` is where the weights are.
http::request order_call(const placement::engine_order& it, std::string_view source);

/// Returns what an order's call came to.
placement::order_result order_result_of(const placement::engine_order& it,
                                        const http::call_result& result);

/// Parses an engine's load report. Throws std::exception when it is malformed.
placement::engine_report parse_report(const endpoint_id& endpoint, std::string_view text);

/// Parses `adapter@version`. Throws std::invalid_argument when there is no `@`.
placement::adapter_ref parse_adapter_name(std::string_view name);

}  // namespace radishpulley::daemon
