/// Estimates how long engines take to load an adapter.
///
/// The duration of a load is not reported. What can be observed is whether an engine held the
/// adapter some time after the order: a request that found the adapter bounds the duration from
/// above, one that found it missing bounds it from below. The weight store slows down when many
/// loads run at a time, so the estimate is kept by the number of concurrent loads. Pure; not
/// thread-safe.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace radishpulley::routing {

/// Prior, bounds and step sizes of the estimate.
struct load_time_settings {
    /// Estimate before the first observation.
    duration prior = std::chrono::milliseconds(250);
    duration min = std::chrono::milliseconds(2);
    duration max = std::chrono::seconds(20);
    /// Factor on the elapsed time at which an adapter was missing.
    double growth = 1.35;
    /// Lowest fraction of the estimate that is tried to find out whether loads are faster.
    double probe_fraction = 0.8;
    /// Smallest reduction worth a try.
    duration min_probe_gain = std::chrono::milliseconds(20);
    /// Time between two tries of all VMs together; it doubles with each that fails, because it
    /// costs a caller a rejected request.
    duration probe_interval = std::chrono::seconds(2);
    duration max_probe_interval = std::chrono::minutes(5);
    /// Time for which an elapsed time at which an adapter was missing is remembered.
    duration memory = std::chrono::seconds(60);
    /// Time for which an observation of this VM goes before the estimates of others.
    duration own_priority = std::chrono::seconds(10);
};

/// Estimate by the number of concurrent loads, in powers of two. More concurrent loads never make a
/// load faster, so an observation also bounds the estimates for more or for fewer loads.
class load_time_estimator {
public:
    explicit load_time_estimator(load_time_settings settings = {});

    /// Returns the expected duration of one of `loads` concurrent loads.
    duration expected(std::size_t loads) const;
    /// Returns when the adapter of a new load should first be used. That is the expected duration,
    /// or now and then less, to find out whether loads have become faster.
    duration plan(std::size_t loads, time_point now);

    /// The adapter was found at the engine `elapsed` after the order.
    void on_present(std::size_t loads, duration elapsed, time_point now);
    /// The adapter was missing at the engine `elapsed` after the order.
    void on_missing(std::size_t loads, duration elapsed, time_point now);
    /// Another VM expects one of `loads` concurrent loads to take this long. Used while this VM has
    /// no recent observation of its own.
    void on_peer_estimate(std::size_t loads, duration expected, time_point now);
    /// Number of observations that were ignored because they are outside of the bounds.
    std::uint64_t ignored() const { return ignored_; }
    /// Sets the number of VMs that try shorter times.
    void set_vms(std::size_t n) { vms_ = std::max<std::size_t>(1, n); }

private:
    struct level {
        duration estimate{};
        /// Until this time, observations of this VM go before those of others.
        time_point own_until = time_point::min();
        /// Elapsed time at which the adapter was last missing, and how long that is remembered.
        duration missing_at{};
        time_point missing_until = time_point::min();
    };
    static constexpr std::size_t level_count = 14;

    static std::size_t index_of(std::size_t loads);
    level& level_at(std::size_t loads);
    /// Returns when the next shorter time may be tried, after a try at `now`.
    time_point probe_after(time_point now) const { return now + probe_interval_ * vms_; }
    /// Returns the longest elapsed time at which adapters were missing lately, although at most
    /// this many loads ran.
    duration lower_bound(std::size_t index, time_point now) const;
    /// Raises the estimates for more loads, which an adapter missing after `elapsed` disproves.
    void raise_above(std::size_t index, duration elapsed, duration estimate);
    /// Returns the estimate from the observations at this level and below.
    duration extrapolate(std::size_t index) const;
    /// Whether a time is within the bounds; counts those that are not.
    bool check(duration it);

    load_time_settings settings_;
    std::array<std::optional<level>, level_count> levels_;
    std::optional<time_point> next_probe_;
    duration probe_interval_;
    std::size_t vms_ = 1;
    std::uint64_t ignored_ = 0;
};

/// Estimates for the two sources of an adapter.
struct adapter_load_times {
    adapter_load_times();

    /// Adapters that are fetched from the weight store.
    load_time_estimator fetched;
    /// Adapters that the engine has cached.
    load_time_estimator cached;

    /// Sets the number of VMs that learn the times of the same engines.
    void set_vms(std::size_t n);

    load_time_estimator& source(bool is_fetched) { return is_fetched ? fetched : cached; }
    const load_time_estimator& source(bool is_fetched) const {
        return is_fetched ? fetched : cached;
    }
};

}  // namespace radishpulley::routing
