/// Checks that an engine ran the requested adapter version.
#pragma once

#include <string_view>

#include "placement/messages.h"

namespace radishpulley::placement {

/// Result of comparing the adapter that an engine reports with the requested one.
enum class response_verdict {
    /// The engine reports the requested adapter and version.
    confirmed,
    /// The engine reports no adapter.
    not_stated,
    /// The engine reports another adapter or version. The response must not reach the caller.
    wrong_adapter
};

/// Returns the name of an adapter version at engines: `adapter@version`.
std::string engine_name(const adapter_ref& it);

/// Compares the `model` field of a response, or of each part of a streamed one, with the requested
/// adapter.
response_verdict check_response_model(const adapter_ref& asked, std::string_view stated);

}  // namespace radishpulley::placement
