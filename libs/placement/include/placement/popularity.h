/// How often adapters are asked for, with older requests counting less.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "base/clock.h"
#include "placement/messages.h"

namespace radishpulley::placement {

/// Exponentially decayed counts.
class popularity {
public:
    explicit popularity(duration half_life) : half_life_(half_life) {}

    void add(const adapter_ref& it, double n, time_point now);
    /// Returns the decayed count, 0 for one never seen.
    double score(const adapter_ref& it, time_point now) const;
    /// Returns the adapter of the highest score among those that `wanted` accepts.
    template <typename Predicate>
    std::optional<adapter_ref> most_popular(time_point now, Predicate wanted) const {
        std::optional<adapter_ref> best;
        double best_score = 0;
        for (const auto& [adapter, it] : counts_) {
            const double value = decayed(it, now);
            if (value > best_score && wanted(adapter)) {
                best = adapter;
                best_score = value;
            }
        }
        return best;
    }
    /// Drops adapters whose score fell below `least`.
    void prune(double least, time_point now);
    std::size_t size() const { return counts_.size(); }

private:
    struct count {
        double value = 0;
        time_point at{};
    };

    double decayed(const count& it, time_point now) const;

    duration half_life_;
    std::map<adapter_ref, count> counts_;
};

}  // namespace radishpulley::placement
