/// Text that must not reach a log.
#pragma once

#include <ostream>
#include <string>
#include <utility>

namespace radishpulley::telemetry {

/// What a secret prints.
constexpr const char* redacted_text = "[redacted]";

/// Holds a key, token or prompt; streams and log fields show only `[redacted]`.
class secret {
public:
    secret() = default;
    explicit secret(std::string text) : text_(std::move(text)) {}

    /// Returns the text itself, for the one place that needs it.
    const std::string& reveal() const { return text_; }

    friend std::ostream& operator<<(std::ostream& out, const secret&) {
        return out << redacted_text;
    }

private:
    std::string text_;
};

}  // namespace radishpulley::telemetry
