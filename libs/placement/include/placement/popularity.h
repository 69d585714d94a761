/// How often adapters are asked for, with older requests counting less.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "base/clock.h"
#include "placement/messages.h"

namespace radishpulley::placement {

/// Over which times requests are counted.
struct popularity_settings {
    /// Half-life of the long-term count.
    duration half_life = std::chrono::minutes(30);
    /// Half-life of the count that follows a busy spell.
    duration spell_half_life = std::chrono::seconds(20);
    /// Part of a spell's present rate that is expected to go on.
    double spell_weight = 0.1;
};

/// Expected requests a second, from two exponentially decayed counts.
class popularity {
public:
    explicit popularity(popularity_settings settings) : settings_(settings) {}

    void add(const adapter_ref& it, double n, time_point now);
    /// Returns the expected rate, 0 for an adapter never seen.
    double rate(const adapter_ref& it, time_point now) const;
    /// Returns the adapter of the highest rate among those that `wanted` accepts.
    template <typename Predicate>
    std::optional<adapter_ref> most_popular(time_point now, Predicate wanted) const {
        std::optional<adapter_ref> best;
        double best_rate = 0;
        for (const auto& [adapter, it] : counts_) {
            const double value = rate_of(it, now);
            if (value > best_rate && wanted(adapter)) {
                best = adapter;
                best_rate = value;
            }
        }
        return best;
    }
    /// Drops adapters whose rate fell below `least`.
    void prune(double least, time_point now);
    std::size_t size() const { return counts_.size(); }

private:
    struct count {
        double lasting = 0;
        double spell = 0;
        time_point at{};
    };

    count decayed(const count& it, time_point now) const;
    double rate_of(const count& it, time_point now) const;

    popularity_settings settings_;
    std::map<adapter_ref, count> counts_;
};

}  // namespace radishpulley::placement
