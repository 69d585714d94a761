#pragma once

#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/findings.h"

namespace radishpulley::model::detail {

// Reads the fields of one JSON object. Faults become findings, and fields that nobody read are
// reported by finish().
class object_reader {
public:
    object_reader(const nlohmann::json& value, std::string place, findings& found)
        : value_(value), place_(std::move(place)), found_(found) {
        if (!value_.is_object()) {
            found_.add(place_, "must be an object");
        }
    }

    std::string text(const char* name, bool required = true) {
        const nlohmann::json* it = take(name, required);
        if (it == nullptr) {
            return {};
        }
        if (!it->is_string()) {
            report(name, "must be a string");
            return {};
        }
        if (required && it->get_ref<const std::string&>().empty()) {
            report(name, "must not be empty");
        }
        return it->get<std::string>();
    }

    // A name may stand in paths and log lines, so only letters, digits, '.', '_' and '-' may occur.
    std::string name(const char* field) {
        std::string text_read = text(field);
        if (text_read.size() > max_name_length) {
            report(field, "must have at most 128 characters");
        }
        if (text_read.find_first_not_of(name_characters) != std::string::npos) {
            report(field, "may hold only letters, digits, '.', '_' and '-'");
        }
        return text_read;
    }

    double number(const char* name, double fallback, bool required, double low) {
        const nlohmann::json* it = take(name, required);
        if (it == nullptr) {
            return fallback;
        }
        if (!it->is_number() || !std::isfinite(it->get<double>())) {
            report(name, "must be a number");
            return fallback;
        }
        if (it->get<double>() < low) {
            report(name, "must be at least " + nlohmann::json(low).dump());
        }
        return it->get<double>();
    }

    std::uint64_t integer(const char* name, std::uint64_t fallback, bool required,
                          std::uint64_t low, std::uint64_t high) {
        const nlohmann::json* it = take(name, required);
        if (it == nullptr) {
            return fallback;
        }
        if (!it->is_number_unsigned() || it->get<std::uint64_t>() < low ||
            it->get<std::uint64_t>() > high) {
            report(name, "must be an integer from " + std::to_string(low) + " to " +
                             std::to_string(high));
            return fallback;
        }
        return it->get<std::uint64_t>();
    }

    bool boolean(const char* name, bool fallback) {
        const nlohmann::json* it = take(name, false);
        if (it == nullptr) {
            return fallback;
        }
        if (!it->is_boolean()) {
            report(name, "must be true or false");
            return fallback;
        }
        return it->get<bool>();
    }

    std::vector<std::string> texts(const char* name) {
        const nlohmann::json* it = take(name, false);
        std::vector<std::string> list;
        if (it == nullptr) {
            return list;
        }
        if (!it->is_array()) {
            report(name, "must be an array of strings");
            return list;
        }
        for (const nlohmann::json& entry : *it) {
            if (!entry.is_string()) {
                report(name, "must be an array of strings");
                return list;
            }
            list.push_back(entry.get<std::string>());
        }
        return list;
    }

    const nlohmann::json* take(const char* name, bool required) {
        read_.insert(name);
        if (!value_.is_object()) {
            return nullptr;
        }
        const auto it = value_.find(name);
        if (it != value_.end()) {
            return &*it;
        }
        if (required) {
            report(name, "is missing");
        }
        return nullptr;
    }

    void report(std::string_view name, std::string_view message) {
        found_.add(place_.empty() ? std::string(name) : place_ + "." + std::string(name), message);
    }

    void finish() {
        if (!value_.is_object()) {
            return;
        }
        for (const auto& it : value_.items()) {
            if (read_.count(it.key()) == 0) {
                report(it.key(), "is not a known field");
            }
        }
    }

private:
    static constexpr std::size_t max_name_length = 128;
    static constexpr const char* name_characters =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";

    const nlohmann::json& value_;
    std::string place_;
    findings& found_;
    std::set<std::string, std::less<>> read_;
};

}  // namespace radishpulley::model::detail
