#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace radishpulley::settings::detail {

// Parses a whole number with a unit (ms, s, m, h), such as "250ms".
std::optional<duration> parse_duration(std::string_view text);

// Formats with the largest unit that loses nothing.
std::string format_duration(duration value);

}  // namespace radishpulley::settings::detail
