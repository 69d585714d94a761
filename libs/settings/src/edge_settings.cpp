#include "settings/edge_settings.h"

#include <charconv>
#include <sstream>

#include "base/findings.h"
#include "details/parse_table.h"
#include "settings/read_file.h"

// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
#include <toml++/toml.h>

namespace radishpulley::settings {
namespace {

constexpr double longest_bound_ms = 3'600'000;

class edge_reader {
public:
    edge_reader(const toml::table& root, std::string file_name, findings& found)
        : root_(root), file_name_(std::move(file_name)), found_(found) {}

    std::string text(std::string_view name) {
        const auto node = root_.at_path(name);
        const auto value = node.value_exact<std::string>();
        if (!value || value->empty()) {
            report(name, "must be a text that is not empty");
            return {};
        }
        return *value;
    }

    std::string address(std::string_view name) {
        std::string value = text(name);
        const std::size_t colon = value.rfind(':');
        std::uint16_t port = 0;
        const char* const end = value.data() + value.size();
        const bool is_number = colon != std::string::npos &&
                               std::from_chars(value.data() + colon + 1, end, port).ptr == end;
        if (!value.empty() && (!is_number || port == 0)) {
            report(name, "must be IP:PORT");
        }
        return value;
    }

    double number(std::string_view name, double low, double high) {
        const auto value = root_.at_path(name).value<double>();
        if (!value || *value < low || *value > high) {
            std::ostringstream message;
            message << "must be a number from " << low << " to " << high;
            report(name, message.str());
            return low;
        }
        return *value;
    }

    /// A whole number that need not be stated.
    std::optional<std::size_t> count_if_stated(std::string_view name, double low, double high) {
        if (!root_.at_path(name)) {
            return std::nullopt;
        }
        return static_cast<std::size_t>(number(name, low, high));
    }

    /// A time in milliseconds that need not be stated.
    std::optional<duration> milliseconds_if_stated(std::string_view name) {
        if (!root_.at_path(name)) {
            return std::nullopt;
        }
        return std::chrono::milliseconds(
            static_cast<std::int64_t>(number(name, 1, longest_bound_ms)));
    }

    duration milliseconds_or(std::string_view name, duration otherwise) {
        return milliseconds_if_stated(name).value_or(otherwise);
    }

    bool flag(std::string_view name) {
        const auto value = root_.at_path(name).value_exact<bool>();
        if (!value) {
            report(name, "must be true or false");
        }
        return value.value_or(false);
    }

    std::map<zone_id, region_id> regions(std::string_view name) {
        std::map<zone_id, region_id> out;
        const auto* table = root_.at_path(name).as_table();
        if (table == nullptr) {
            report(name, "must be a table of availability zones and their regions");
            return out;
        }
        for (const auto& [zone, region] : *table) {
            const auto value = region.value_exact<std::string>();
            if (value) {
                out[zone_id(std::string_view(zone.str()))] = region_id(*value);
            } else {
                report(std::string(name) + "." + std::string(zone.str()), "must be a text");
            }
        }
        return out;
    }

private:
    void report(std::string_view name, std::string_view message) {
        std::string place = file_name_;
        if (const auto node = root_.at_path(name)) {
            const auto at = node.node()->source().begin;
            place += ":" + std::to_string(at.line) + ":" + std::to_string(at.column);
        }
        found_.add(place, std::string(name) + " " + std::string(message));
    }

    const toml::table& root_;
    std::string file_name_;
    findings& found_;
};

constexpr double longest_grace_s = 3'600;
constexpr double most_retries = 1'000'000;
constexpr double most_units = 1e12;
constexpr double least_memory_mb = 32;
constexpr double most_memory_mb = 16'777'216;
constexpr double least_descriptors = 64;
constexpr double most_descriptors = 1'073'741'824;
constexpr std::size_t bytes_per_mb = 1'048'576;

}  // namespace

edge_settings parse_edge_settings(std::string_view text, std::string_view file_name) {
    const toml::table root = detail::parse_table(text, std::string(file_name));
    findings found;
    edge_reader in(root, std::string(file_name), found);
    edge_settings out;
    out.vm = vm_id(in.text("vm.id"));
    out.availability_zone = zone_id(in.text("vm.availability_zone"));
    out.region = region_id(in.text("vm.region"));
    out.regions = in.regions("regions");
    out.listen.callers = in.address("listen.callers");
    out.listen.readiness = in.address("listen.readiness");
    out.listen.peers = in.address("listen.peers");
    out.listen.metrics = in.address("listen.metrics");
    out.store.address = in.address("store.address");
    out.bounds.shutdown_grace = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(in.number("bounds.shutdown_grace_s", 0, longest_grace_s)));
    out.bounds.retry_ratio = in.number("bounds.retry_ratio", 0, 1);
    out.bounds.retry_reserve = in.number("bounds.retry_reserve", 0, most_retries);
    out.bounds.limit_reserve = in.number("bounds.limit_reserve", 0, most_units);
    out.bounds.configuration_apply =
        in.milliseconds_or("bounds.configuration_apply_ms", out.bounds.configuration_apply);
    out.bounds.endpoint_drain = in.milliseconds_or("bounds.drain_ms", out.bounds.endpoint_drain);
    out.bounds.version_apply = in.milliseconds_or("bounds.version_ms", out.bounds.version_apply);
    out.bounds.evacuation = in.milliseconds_if_stated("bounds.evacuation_ms");
    out.bounds.endpoints_check_fencing = in.flag("bounds.endpoints_check_fencing");
    out.limits.memory_bytes =
        in.count_if_stated("limits.memory_mb", least_memory_mb, most_memory_mb);
    if (out.limits.memory_bytes) {
        *out.limits.memory_bytes *= bytes_per_mb;
    }
    out.limits.descriptors =
        in.count_if_stated("limits.descriptors", least_descriptors, most_descriptors);
    if (!found.empty()) {
        throw invalid_input(found);
    }
    return out;
}

edge_settings load_edge_settings(const std::string& path) {
    const auto text = read_file(path);
    if (!text) {
        findings found;
        found.add(path, "can't be read");
        throw invalid_input(found);
    }
    return parse_edge_settings(*text, path);
}

}  // namespace radishpulley::settings
