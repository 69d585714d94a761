#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace radishpulley::cli::detail {

inline std::string cell_of(const nlohmann::json& it) {
    return it.is_string() ? it.get<std::string>() : it.dump();
}

// Prints an array of flat objects with a column for each member; an empty text for an empty array.
inline std::string to_table(const nlohmann::json& rows) {
    std::map<std::string, std::size_t> widths;
    for (const auto& row : rows) {
        for (const auto& it : row.items()) {
            std::size_t& width = widths[it.key()];
            width = std::max({width, it.key().size(), cell_of(it.value()).size()});
        }
    }
    const auto pad = [](std::string text, std::size_t width) {
        text.resize(std::max(width + 2, text.size()), ' ');
        return text;
    };
    std::string out;
    for (const auto& [name, width] : widths) {
        out += pad(name, width);
    }
    out += widths.empty() ? "" : "\n";
    for (const auto& row : rows) {
        for (const auto& [name, width] : widths) {
            out += pad(row.contains(name) ? cell_of(row[name]) : "", width);
        }
        out += "\n";
    }
    return out;
}

}  // namespace radishpulley::cli::detail
