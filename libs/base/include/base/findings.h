/// Faults of an input, collected with their places and reported together.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace radishpulley {

/// One fault of an input.
struct finding {
    /// Where it is, for example `set.keys[3].account` or `radishpulleyd.toml:12:4`.
    std::string place;
    std::string message;

    friend bool operator==(const finding& a, const finding& b) {
        return a.place == b.place && a.message == b.message;
    }
};

/// All faults of one input, in the order found.
class findings {
public:
    void add(std::string_view place, std::string_view message);
    bool empty() const { return list_.empty(); }
    const std::vector<finding>& list() const { return list_; }
    /// One line a finding: `place: message`.
    std::string to_string() const;

private:
    std::vector<finding> list_;
};

/// Thrown when an input has findings.
class invalid_input : public std::runtime_error {
public:
    explicit invalid_input(findings found);
    const findings& found() const { return found_; }

private:
    findings found_;
};

}  // namespace radishpulley
