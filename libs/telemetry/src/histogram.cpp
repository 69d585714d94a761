#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "telemetry/metrics.h"

namespace radishpulley::telemetry {
namespace {

namespace acc = boost::accumulators;

using accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

constexpr std::array<double, 3> probabilities = {0.5, 0.95, 0.99};

// The estimator holds raw records until it has seen two markers a probability and three more.
constexpr std::uint64_t min_quantile_records = 16;

}  // namespace

struct histogram::state {
    mutable std::mutex mutex;
    accumulator values{acc::extended_p_square_probabilities = probabilities};
    std::vector<std::uint64_t> counts = std::vector<std::uint64_t>(bucket_bounds().size() + 1);
};

histogram::histogram() : state_(std::make_unique<state>()) {}
histogram::~histogram() = default;

void histogram::record(duration value) {
    const double seconds = std::chrono::duration<double>(value).count();
    const auto& bounds = bucket_bounds();
    const auto bucket = std::lower_bound(bounds.begin(), bounds.end(), seconds) - bounds.begin();
    const std::lock_guard<std::mutex> lock(state_->mutex);
    state_->values(seconds);
    ++state_->counts[static_cast<std::size_t>(bucket)];
}

histogram_summary histogram::summary() const {
    const std::lock_guard<std::mutex> lock(state_->mutex);
    histogram_summary it;
    std::uint64_t below = 0;
    for (const std::uint64_t count : state_->counts) {
        below += count;
        it.buckets.push_back(below);
    }
    it.count = acc::count(state_->values);
    it.sum_seconds = acc::sum(state_->values);
    if (it.count >= min_quantile_records) {
        const auto estimates = acc::extended_p_square(state_->values);
        it.quantiles.assign(estimates.begin(), estimates.end());
    }
    return it;
}

const std::vector<double>& bucket_bounds() {
    static const std::vector<double> bounds = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                               0.5,   1,      2.5,   5,    10,    30,   60,  120};
    return bounds;
}

}  // namespace radishpulley::telemetry
