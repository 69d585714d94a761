// Names of the things that have a holder.
#pragma once

#include <string>
#include <string_view>

#include "base/identifier.h"
#include "ownership/holding.h"

namespace radishpulley::daemon::detail {

constexpr std::string_view engine_prefix = "engine/";
constexpr const char* weight_store_holding = "weight-store";
// Prefix of the ownership table's objects.
constexpr std::string_view ownership_prefix = "ownership/";

inline ownership::holding_id engine_holding(const endpoint_id& id) {
    return ownership::holding_id(std::string(engine_prefix) + id.str());
}

// Returns the engine that a holding stands for, or an empty id.
inline endpoint_id engine_of(const ownership::holding_id& id) {
    const std::string_view text = id.str();
    if (text.substr(0, engine_prefix.size()) != engine_prefix) {
        return {};
    }
    return endpoint_id(text.substr(engine_prefix.size()));
}

}  // namespace radishpulley::daemon::detail
