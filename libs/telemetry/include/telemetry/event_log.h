/// Event log through glog: one line of key=value pairs an event.
///
/// Example:
///     log_event(severity::info, "request_finished", {{"request", id}, {"elapsed", elapsed}});
/// writes
///     time=2026-03-01T12:00:00.125Z level=info event=request_finished request=r-17 elapsed=0.25s
#pragma once

#include <cstdint>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

#include "base/clock.h"
#include "base/identifier.h"
#include "telemetry/secret.h"

namespace radishpulley::telemetry {

enum class severity { info, warning, error };

/// Where lines go.
enum class log_target { standard_error, standard_output };

/// Most lines a second of one severity; what is beyond is counted and left out.
constexpr std::size_t max_lines_per_second = 400;

/// Longest value of a field; the rest is cut off and replaced by `...`.
constexpr std::size_t max_field_length = 1024;

/// Value of a field. Refers to texts, so it lives no longer than the call that logs it.
class field_value {
public:
    field_value(std::string_view text) : value_(text) {}
    field_value(const char* text) : value_(std::string_view(text)) {}
    field_value(const std::string& text) : value_(std::string_view(text)) {}
    field_value(bool value) : value_(value) {}
    field_value(double value) : value_(value) {}
    field_value(duration value) : value_(value) {}
    field_value(const secret&) : value_(std::string_view(redacted_text)) {}
    template <typename Tag>
    field_value(const identifier<Tag>& id) : value_(std::string_view(id.str())) {}
    template <typename Integer, std::enable_if_t<std::is_integral_v<Integer>, int> = 0>
    field_value(Integer value) : value_(to_number(value)) {}

    /// Appends the value, quoted where it holds spaces, quotes, `=` or control characters.
    void append_to(std::string& line) const;

private:
    using any_value =
        std::variant<std::string_view, bool, double, duration, std::int64_t, std::uint64_t>;
    template <typename Integer>
    static any_value to_number(Integer value) {
        if constexpr (std::is_signed_v<Integer>) {
            return static_cast<std::int64_t>(value);
        } else {
            return static_cast<std::uint64_t>(value);
        }
    }

    any_value value_;
};

/// One key=value pair.
struct field {
    std::string_view name;
    field_value value;
};

/// Starts glog for this process: whole lines to `target`, nothing below `lowest`.
void start_log(const char* program, severity lowest, log_target target);

/// Bounds the lines of one severity. Thread-safe.
class line_budget {
public:
    explicit line_budget(std::size_t lines_per_second) : lines_per_second_(lines_per_second) {}

    /// Result of taking a line.
    struct verdict {
        bool allowed = false;
        /// Lines left out before this one, to be told now.
        std::uint64_t left_out = 0;
    };

    verdict take(time_point now);

private:
    std::size_t lines_per_second_;
    std::mutex mutex_;
    time_point second_began_{};
    std::size_t lines_ = 0;
    std::uint64_t left_out_ = 0;
};

/// Starts to drop whole lines instead of waiting where standard output can't take them.
void never_wait_for_output();

/// Writes one event. Never throws; a line that cannot be built is dropped.
void log_event(severity level, std::string_view event,
               std::initializer_list<field> fields) noexcept;

/// Returns the event as it is logged, without time and level.
std::string format_event(std::string_view event, std::initializer_list<field> fields);

}  // namespace radishpulley::telemetry
