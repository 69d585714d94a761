/// Which versions of the configuration an answer of the system can come from.
///
/// Pure: the run feeds it with what the operator sent and what callers saw.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "platform_standins/operator_standin.h"

namespace radishpulley::soak {

using platform_adapter::standins::plain_configuration;

/// A request as a caller sent it.
struct probe {
    std::string route;
    std::string key;
    time_point sent{};
};

/// An endpoint of the service ran it.
struct ran_at {
    std::string service;
};
/// The system refused it because no route matches.
struct refused_route {};
/// The system refused it because nobody holds its key.
struct refused_key {};
/// Any other end; it tells nothing about the configuration.
struct other_end {};

using probe_end = std::variant<ran_at, refused_route, refused_key, other_end>;

/// The versions that allow an answer, among those that were sent before it came.
struct explanation {
    std::uint64_t lowest = 0;
    std::uint64_t highest = 0;
};

/// All versions of a run, in their order.
class configuration_history {
public:
    /// The operator sends a version now; it is higher than all before.
    void on_sent(const plain_configuration& it, time_point now);
    /// The store has acknowledged it.
    void on_acknowledged(std::uint64_t version, time_point now);

    /// Returns which versions allow the end; nothing where none does.
    std::optional<explanation> explain(const probe& it, const probe_end& end,
                                       time_point ended) const;
    /// Returns the newest version that was acknowledged at `when` or before; 0 for none.
    std::uint64_t acknowledged_at(time_point when) const;
    const plain_configuration& newest() const { return versions_.back().content; }
    bool empty() const { return versions_.empty(); }

private:
    struct entry {
        plain_configuration content;
        time_point sent;
        std::optional<time_point> acknowledged;
    };

    std::vector<entry> versions_;
};

/// Returns whether a version alone allows the end of a request.
bool allows(const plain_configuration& version, const probe& it, const probe_end& end);

}  // namespace radishpulley::soak
