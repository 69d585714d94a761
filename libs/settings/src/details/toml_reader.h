#pragma once

#include <set>
#include <string>
#include <string_view>

#include "base/findings.h"
#include "details/setting_fields.h"
#include "settings/settings.h"

// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
#include <toml++/toml.h>

namespace radishpulley::settings::detail {

// Fills settings from a parsed file. Faults become findings, and keys that nobody read are reported
// by report_unknown().
class toml_reader {
public:
    toml_reader(const toml::table& root, std::string file_name, findings& found);

    template <typename Tag>
    void operator()(std::string_view name, identifier<Tag>& into, name_rule) {
        if (const auto text = read_text(name, true)) {
            check_name(name, *text);
            into = identifier<Tag>(*text);
        }
    }
    void operator()(std::string_view name, std::string& into, text_rule rule);
    void operator()(std::string_view name, std::string& into, digest_rule);
    void operator()(std::string_view name, std::string& into, const address_rule& rule);
    void operator()(std::string_view name, duration& into, const range_rule<duration>& rule);
    void operator()(std::string_view name, std::uint64_t& into,
                    const range_rule<std::uint64_t>& rule);
    void operator()(std::string_view name, double& into, const range_rule<double>& rule);
    void operator()(std::string_view name, log_level& into, level_rule);

    void report_unknown();
    // Reports at the setting's value, or at the file where the setting is not written.
    void report(std::string_view name, std::string_view message);

private:
    const toml::node* take(std::string_view name, bool required);
    std::optional<std::string> read_text(std::string_view name, bool required);
    void check_name(std::string_view name, std::string_view text);
    void report_unknown_in(const toml::table& table, const std::string& prefix);
    std::string place_of(const toml::source_region& region) const;

    const toml::table& root_;
    std::string file_name_;
    findings& found_;
    std::set<std::string, std::less<>> known_;
};

}  // namespace radishpulley::settings::detail
