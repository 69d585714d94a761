/// Counters, gauges and histograms with labels, written in the text exposition format.
///
/// All of it is safe to call from several threads. Lock order: registry, family, histogram.
///
/// Example:
///     registry metrics;
///     auto& waits = metrics.add_histograms("queue_wait_seconds", "Time in queue.", {"account"});
///     waits.with({"acme"}).record(std::chrono::milliseconds(12));
///     respond(metrics.to_text());
#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <set>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace radishpulley::telemetry {

/// Prefix of every metric's name.
constexpr std::string_view metric_prefix = "radishpulley_";

/// Distinct values of one label in one family; further values share the value `other`.
constexpr std::size_t max_label_values = 256;

/// Value of a label past `max_label_values`.
constexpr std::string_view other_label_value = "other";

/// A number that only grows.
class counter {
public:
    void add(std::uint64_t n = 1) { value_.fetch_add(n, std::memory_order_relaxed); }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// A number that goes up and down.
class gauge {
public:
    void set(double value) { value_.store(value, std::memory_order_relaxed); }
    double value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<double> value_{0};
};

/// What a histogram has recorded, all taken at one moment.
struct histogram_summary {
    /// Counts of the buckets, each including all lower ones; the last is the count of all.
    std::vector<std::uint64_t> buckets;
    std::uint64_t count = 0;
    double sum_seconds = 0;
    /// Estimates of p50, p95 and p99 in seconds since the start; empty below 16 records.
    std::vector<double> quantiles;
};

/// Distribution of durations: buckets for the exposition format, quantiles by Boost.Accumulators.
class histogram {
public:
    histogram();
    ~histogram();
    histogram(const histogram&) = delete;
    histogram& operator=(const histogram&) = delete;

    void record(duration value);
    histogram_summary summary() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Upper bounds of the histograms' buckets, in seconds; a last bucket without bound follows.
const std::vector<double>& bucket_bounds();

/// All metrics of one name, one for each combination of label values.
template <typename Metric>
class metric_family {
public:
    using label_values = std::initializer_list<std::string_view>;

    metric_family(std::string name, std::string help, std::vector<std::string> label_names);

    /// Returns the metric with these values, in the order of the label names. The reference stays
    /// valid; a hot path keeps it. Throws std::logic_error when the number of values is wrong.
    Metric& with(label_values values);

    /// Appends the family in the text exposition format.
    void append_to(std::string& text) const;

private:
    struct series {
        /// Such as `account="acme",class="model"`.
        std::string labels;
        Metric metric;
    };

    Metric& add(label_values values);
    std::string bound_value(std::size_t label, std::string_view value);

    const std::string name_;
    const std::string help_;
    const std::vector<std::string> label_names_;
    mutable std::shared_mutex mutex_;
    std::deque<series> series_;
    std::unordered_map<std::string, Metric*> by_key_;
    std::vector<std::set<std::string, std::less<>>> values_seen_;
};

using counter_family = metric_family<counter>;
using gauge_family = metric_family<gauge>;
using histogram_family = metric_family<histogram>;

/// All metrics of one daemon. Names get the prefix `radishpulley_`.
/// The functions throw std::logic_error for a name that is taken or malformed.
class registry {
public:
    counter_family& add_counters(std::string_view name, std::string_view help,
                                 std::vector<std::string> label_names);
    gauge_family& add_gauges(std::string_view name, std::string_view help,
                             std::vector<std::string> label_names);
    histogram_family& add_histograms(std::string_view name, std::string_view help,
                                     std::vector<std::string> label_names);

    /// Returns all metrics in the text exposition format.
    std::string to_text() const;

private:
    std::string take_name(std::string_view name);

    mutable std::mutex mutex_;
    std::set<std::string, std::less<>> names_;
    std::deque<counter_family> counters_;
    std::deque<gauge_family> gauges_;
    std::deque<histogram_family> histograms_;
};

}  // namespace radishpulley::telemetry
