/// Reads a settings file's text.
#pragma once

#include <fstream>
#include <optional>
#include <sstream>
#include <string>

namespace radishpulley::settings {

/// Returns the file's text, or nothing where it can't be read.
inline std::optional<std::string> read_file(const std::string& path) {
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return in ? std::optional<std::string>(text.str()) : std::nullopt;
}

}  // namespace radishpulley::settings
