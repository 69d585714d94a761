#include "details/parse_table.h"

#include "base/findings.h"

namespace radishpulley::settings::detail {

toml::table parse_table(std::string_view text, const std::string& file_name) {
    try {
        return toml::parse(text);
    } catch (const toml::parse_error& e) {
        const toml::source_position at = e.source().begin;
        findings found;
        found.add(file_name + ":" + std::to_string(at.line) + ":" + std::to_string(at.column),
                  e.description());
        throw invalid_input(found);
    }
}

}  // namespace radishpulley::settings::detail
