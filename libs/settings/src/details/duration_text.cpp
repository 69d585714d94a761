#include "details/duration_text.h"

#include <array>
#include <charconv>
#include <chrono>
#include <limits>

namespace radishpulley::settings::detail {
namespace {

struct unit {
    std::string_view name;
    duration length;
};

constexpr std::array<unit, 4> units = {{{"h", std::chrono::hours(1)},
                                        {"m", std::chrono::minutes(1)},
                                        {"s", std::chrono::seconds(1)},
                                        {"ms", std::chrono::milliseconds(1)}}};

}  // namespace

std::optional<duration> parse_duration(std::string_view text) {
    duration::rep count = 0;
    const char* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, count);
    if (ec != std::errc() || count < 0) {
        return std::nullopt;
    }
    const std::string_view name(end, static_cast<std::size_t>(last - end));
    for (const unit& it : units) {
        if (it.name != name) {
            continue;
        }
        if (count > std::numeric_limits<duration::rep>::max() / it.length.count()) {
            return std::nullopt;
        }
        return count * it.length;
    }
    return std::nullopt;
}

std::string format_duration(duration value) {
    for (const unit& it : units) {
        if (value.count() != 0 && value % it.length == duration::zero()) {
            return std::to_string(value / it.length) + std::string(it.name);
        }
    }
    const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(value);
    return std::to_string(whole.count()) + "ms";
}

}  // namespace radishpulley::settings::detail
