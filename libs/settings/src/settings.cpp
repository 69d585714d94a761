#include "settings/settings.h"

#include <array>
#include <sstream>

#include "details/address_text.h"
#include "details/duration_text.h"
#include "details/parse_table.h"
#include "details/setting_fields.h"
#include "details/toml_reader.h"
#include "settings/read_file.h"

namespace radishpulley::settings {
namespace {

struct entry_lister {
    std::vector<setting_entry>& entries;

    template <typename Value, typename Rule>
    void operator()(std::string_view name, const Value& value, const Rule& rule) {
        entries.push_back({std::string(name), to_text(value), detail::is_required(rule)});
    }

    template <typename Tag>
    static std::string to_text(const identifier<Tag>& value) {
        return value.str();
    }
    static std::string to_text(const std::string& value) { return value; }
    static std::string to_text(std::uint64_t value) { return std::to_string(value); }
    static std::string to_text(duration value) { return detail::format_duration(value); }
    static std::string to_text(double value) {
        std::ostringstream out;
        out << value;
        return out.str();
    }
    static std::string to_text(log_level value) {
        constexpr std::array<const char*, 3> names = {"info", "warning", "error"};
        return names.at(static_cast<std::size_t>(value));
    }
};

void check_ports(const settings& it, detail::toml_reader& in) {
    const std::array<std::pair<const char*, const std::string*>, 3> ports = {
        {{"callers.listen", &it.callers.listen},
         {"administration.listen", &it.administration.listen},
         {"peers.listen", &it.peers.listen}}};
    for (std::size_t i = 0; i < ports.size(); ++i) {
        for (std::size_t n = i + 1; n < ports.size(); ++n) {
            const auto a = detail::parse_address(*ports[i].second);
            const auto b = detail::parse_address(*ports[n].second);
            if (a && b && detail::same_port(*a, *b)) {
                in.report(ports[n].first, std::string("has the same port as ") + ports[i].first);
            }
        }
    }
}

void check_tls(const std::string& section, const std::string& listen, const tls_settings& tls,
               detail::toml_reader& in) {
    if (tls.certificate_file.empty() != tls.key_file.empty()) {
        in.report(section + ".tls.key_file", "and certificate_file must be set together");
    }
    const bool is_https = listen.compare(0, 6, "https:") == 0;
    if (is_https != tls.enabled()) {
        in.report(section + ".listen", "must have the scheme https exactly where tls is set");
    }
}

void check_token(const administration_settings& it, detail::toml_reader& in) {
    if (it.token_file.empty() == it.token_digest.empty()) {
        in.report("administration.token_file", "or token_digest must be set, and not both");
    }
}

void check_durations(const settings& it, detail::toml_reader& in) {
    if (it.peers.heartbeat_deadline <= it.peers.heartbeat_interval) {
        in.report("peers.heartbeat_deadline", "must be longer than peers.heartbeat_interval");
    }
    if (it.limits.shutdown_grace < it.callers.request_timeout) {
        in.report("limits.shutdown_grace", "must be at least callers.request_timeout");
    }
    if (it.limits.balancer_notice > it.limits.shutdown_grace) {
        in.report("limits.balancer_notice", "must be at most limits.shutdown_grace");
    }
}

void check_clashes(const settings& it, detail::toml_reader& in) {
    check_ports(it, in);
    check_tls("callers", it.callers.listen, it.callers.tls, in);
    check_tls("administration", it.administration.listen, it.administration.tls, in);
    check_token(it.administration, in);
    check_durations(it, in);
}

}  // namespace

settings parse_settings(std::string_view text, std::string_view file_name) {
    const toml::table root = detail::parse_table(text, std::string(file_name));
    findings found;
    settings it;
    detail::toml_reader in(root, std::string(file_name), found);
    detail::visit_settings(it, in);
    in.report_unknown();
    check_clashes(it, in);
    if (!found.empty()) {
        throw invalid_input(found);
    }
    return it;
}

settings load_settings(const std::string& path) {
    const auto text = read_file(path);
    if (!text) {
        findings found;
        found.add(path, "cannot be read");
        throw invalid_input(found);
    }
    return parse_settings(*text, path);
}

std::vector<setting_entry> list_settings(const settings& it) {
    std::vector<setting_entry> entries;
    detail::visit_settings(it, entry_lister{entries});
    return entries;
}

}  // namespace radishpulley::settings
