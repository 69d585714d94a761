#pragma once

#include <string>
#include <string_view>

// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
#include <toml++/toml.h>

namespace radishpulley::settings::detail {

// Parses a file's text. Throws invalid_input with the place where it is no TOML.
toml::table parse_table(std::string_view text, const std::string& file_name);

}  // namespace radishpulley::settings::detail
