/// Checks an engine's own word on which adapter answered.
#pragma once

#include <string_view>

#include "placement/messages.h"

namespace radishpulley::placement {

/// What an engine's word says about an answer.
enum class response_verdict {
    /// It names the adapter and version asked for.
    confirmed,
    /// It names none.
    not_stated,
    /// It names another: the answer must not reach the caller.
    wrong_adapter
};

/// Returns the name under which engines know an adapter version: `adapter@version`.
std::string engine_name(const adapter_ref& it);

/// Compares the `model` field of an answer, or of each part of a streamed one, with what was asked.
response_verdict check_answer(const adapter_ref& asked, std::string_view stated);

}  // namespace radishpulley::placement
