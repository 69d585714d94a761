#include "details/toml_reader.h"

#include <cmath>

#include "details/address_text.h"
#include "details/duration_text.h"

namespace radishpulley::settings::detail {
namespace {

constexpr std::size_t digest_length = 64;
constexpr std::size_t max_name_length = 128;
constexpr std::string_view name_characters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";

bool lists_word(std::string_view words, std::string_view word) {
    std::size_t begin = 0;
    while (begin < words.size()) {
        const std::size_t end = std::min(words.find(' ', begin), words.size());
        if (words.substr(begin, end - begin) == word) {
            return true;
        }
        begin = end + 1;
    }
    return false;
}

std::string range_message(std::string_view kind, const std::string& low, const std::string& high) {
    return "must be " + std::string(kind) + " from " + low + " to " + high;
}

std::string format_number(double value) {
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    return text.back() == '.' ? text.substr(0, text.size() - 1) : text;
}

}  // namespace

toml_reader::toml_reader(const toml::table& root, std::string file_name, findings& found)
    : root_(root), file_name_(std::move(file_name)), found_(found) {}

void toml_reader::operator()(std::string_view name, std::string& into, text_rule rule) {
    if (const auto text = read_text(name, rule.required)) {
        into = *text;
    }
}

void toml_reader::operator()(std::string_view name, std::string& into, digest_rule) {
    const auto text = read_text(name, false);
    if (!text || text->empty()) {
        return;
    }
    const bool is_hex = text->find_first_not_of("0123456789abcdef") == std::string::npos;
    if (text->size() != digest_length || !is_hex) {
        report(name, "must be 64 lower-case hexadecimal digits");
    }
    into = *text;
}

void toml_reader::operator()(std::string_view name, std::string& into, const address_rule& rule) {
    const auto text = read_text(name, rule.required);
    if (!text || text->empty()) {
        return;
    }
    const auto address = parse_address(*text);
    if (!address || !lists_word(rule.schemes, address->scheme)) {
        report(name,
               "must be an address such as " +
                   std::string(rule.schemes.substr(0, rule.schemes.find(' '))) +
                   "://127.0.0.1:8080, with one of the schemes: " + std::string(rule.schemes));
        return;
    }
    into = *text;
}

void toml_reader::operator()(std::string_view name, duration& into,
                             const range_rule<duration>& rule) {
    const toml::node* node = take(name, false);
    if (node == nullptr) {
        return;
    }
    const auto text = node->value_exact<std::string>();
    const auto value = text ? parse_duration(*text) : std::nullopt;
    if (!value || *value < rule.low || *value > rule.high) {
        report(name, range_message("a duration such as \"250ms\", \"3s\" or \"2m\",",
                                   format_duration(rule.low), format_duration(rule.high)));
        return;
    }
    into = *value;
}

void toml_reader::operator()(std::string_view name, std::uint64_t& into,
                             const range_rule<std::uint64_t>& rule) {
    const toml::node* node = take(name, false);
    if (node == nullptr) {
        return;
    }
    const auto value = node->value_exact<std::int64_t>();
    const bool is_in_range = value && *value >= 0 &&
                             static_cast<std::uint64_t>(*value) >= rule.low &&
                             static_cast<std::uint64_t>(*value) <= rule.high;
    if (!is_in_range) {
        report(name,
               range_message("an integer", std::to_string(rule.low), std::to_string(rule.high)));
        return;
    }
    into = static_cast<std::uint64_t>(*value);
}

void toml_reader::operator()(std::string_view name, double& into, const range_rule<double>& rule) {
    const toml::node* node = take(name, false);
    if (node == nullptr) {
        return;
    }
    const auto value = node->is_number() ? node->value<double>() : std::nullopt;
    if (!value || !(*value >= rule.low && *value <= rule.high)) {
        report(name, range_message("a number", format_number(rule.low), format_number(rule.high)));
        return;
    }
    into = *value;
}

void toml_reader::operator()(std::string_view name, log_level& into, level_rule) {
    const auto text = read_text(name, false);
    if (!text) {
        return;
    }
    if (*text == "info") {
        into = log_level::info;
    } else if (*text == "warning") {
        into = log_level::warning;
    } else if (*text == "error") {
        into = log_level::error;
    } else {
        report(name, "must be \"info\", \"warning\" or \"error\"");
    }
}

void toml_reader::report_unknown() {
    report_unknown_in(root_, "");
}

void toml_reader::report(std::string_view name, std::string_view message) {
    const toml::node_view<const toml::node> node = root_.at_path(name);
    const std::string place = node ? place_of(node.node()->source()) : file_name_;
    found_.add(place, std::string(name) + " " + std::string(message));
}

const toml::node* toml_reader::take(std::string_view name, bool required) {
    known_.emplace(name);
    const toml::node* node = root_.at_path(name).node();
    if (node == nullptr && required) {
        report(name, "is missing");
    }
    return node;
}

std::optional<std::string> toml_reader::read_text(std::string_view name, bool required) {
    const toml::node* node = take(name, required);
    if (node == nullptr) {
        return std::nullopt;
    }
    auto text = node->value_exact<std::string>();
    if (!text) {
        report(name, "must be a string");
        return std::nullopt;
    }
    if (required && text->empty()) {
        report(name, "must not be empty");
        return std::nullopt;
    }
    return text;
}

void toml_reader::check_name(std::string_view name, std::string_view text) {
    if (text.size() > max_name_length) {
        report(name, "must have at most 128 characters");
    }
    if (text.find_first_not_of(name_characters) != std::string_view::npos) {
        report(name, "may hold only letters, digits, '.', '_' and '-'");
    }
}

void toml_reader::report_unknown_in(const toml::table& table, const std::string& prefix) {
    for (const auto& [key, node] : table) {
        const std::string name = prefix + std::string(key.str());
        const auto below = known_.lower_bound(name + ".");
        const bool is_section =
            below != known_.end() && below->compare(0, name.size() + 1, name + ".") == 0;
        if (is_section && node.is_table()) {
            report_unknown_in(*node.as_table(), name + ".");
        } else if (is_section) {
            found_.add(place_of(node.source()), name + " must be a table");
        } else if (known_.count(name) == 0) {
            found_.add(place_of(key.source()), name + " is not a known setting");
        }
    }
}

std::string toml_reader::place_of(const toml::source_region& region) const {
    return file_name_ + ":" + std::to_string(region.begin.line) + ":" +
           std::to_string(region.begin.column);
}

}  // namespace radishpulley::settings::detail
