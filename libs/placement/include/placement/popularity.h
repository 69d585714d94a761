/// Estimates the request rates of adapters by exponential decay.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "base/clock.h"
#include "placement/messages.h"

namespace radishpulley::placement {

/// Half-lives and weights of the rate estimate.
struct popularity_settings {
    /// Half-life of the long-term count.
    duration half_life = std::chrono::minutes(30);
    /// Half-life of the short-term count, which follows bursts.
    duration spell_half_life = std::chrono::seconds(20);
    /// Weight of the short-term rate in the estimate: the part of a burst that is expected to
    /// continue.
    double spell_weight = 0.1;
};

/// Estimates requests per second from a long-term and a short-term exponentially decayed count.
class popularity {
public:
    explicit popularity(popularity_settings settings) : settings_(settings) {}

    void add(const adapter_ref& it, double n, time_point now);
    /// Returns the estimated rate; 0 for an adapter without requests.
    double rate(const adapter_ref& it, time_point now) const;
    /// Returns the adapter with the highest rate among those that `wanted` accepts.
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
    /// Drops adapters whose rate is below `least`.
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
