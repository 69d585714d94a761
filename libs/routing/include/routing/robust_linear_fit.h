/// Linear fit of observed times that decays with time and is robust against outliers.
///
/// Pure; not thread-safe. State and time of an observation are constant.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>

#include "base/clock.h"

namespace radishpulley::routing {

/// Weights of observations.
struct linear_fit_settings {
    /// Time after which an observation counts half.
    duration half_life = std::chrono::seconds(60);
    /// Number of observations that the prior counts as.
    double prior_weight = 4;
    /// Relative error from which on an observation has no more influence than at this error.
    double outlier = 0.5;
    /// Time that is added to an expected time before errors are related to it, in milliseconds, as
    /// short times vary more by chance.
    double noise_ms = 100;
    /// Largest factor between a coefficient and its prior.
    double max_change = 8;
};

/// Fits times in milliseconds to the sum of `N` features, each multiplied by a coefficient.
/// Features are scaled such that coefficients have a prior of about 1; those with a prior of 0 are
/// never negative.
template <std::size_t N>
class robust_linear_fit {
public:
    using values = std::array<double, N>;

    explicit robust_linear_fit(const values& prior, const linear_fit_settings& settings = {})
        : settings_(settings), prior_(prior), coefficients_(prior) {}

    const values& coefficients() const { return coefficients_; }

    double predict(const values& features) const {
        double sum = 0;
        for (std::size_t i = 0; i < N; ++i) {
            sum += coefficients_[i] * features[i];
        }
        return sum;
    }

    /// Adds an observation. Calls in order of `now`.
    void add(const values& features, double time_ms, time_point now) {
        decay(now);
        const double expected = predict(features);
        const double scale = settings_.noise_ms + expected;
        const double error = std::abs(time_ms - expected) / scale;
        const double trust = error > settings_.outlier ? settings_.outlier / error : 1;
        const double weight = trust / (scale * scale);
        double surprise = time_ms;
        for (std::size_t i = 0; i < N; ++i) {
            surprise -= prior_[i] * features[i];
        }
        for (std::size_t i = 0; i < N; ++i) {
            for (std::size_t j = 0; j < N; ++j) {
                products_[i][j] += weight * features[i] * features[j];
            }
            surprises_[i] += weight * features[i] * surprise;
        }
        solve();
    }

private:
    using matrix = std::array<values, N>;

    void decay(time_point now) {
        const std::chrono::duration<double> age = std::max(duration::zero(), now - last_);
        const double factor = last_ == time_point{} ? 1 : std::exp2(-age / settings_.half_life);
        last_ = now;
        for (std::size_t i = 0; i < N; ++i) {
            surprises_[i] *= factor;
            for (double& it : products_[i]) {
                it *= factor;
            }
        }
    }

    // Gaussian elimination; the prior's weight on the diagonal makes the matrix positive definite.
    void solve() {
        matrix left = products_;
        values right = surprises_;
        for (std::size_t i = 0; i < N; ++i) {
            left[i][i] += settings_.prior_weight;
        }
        for (std::size_t i = 0; i < N; ++i) {
            for (std::size_t row = i + 1; row < N; ++row) {
                const double share = left[row][i] / left[i][i];
                for (std::size_t j = i; j < N; ++j) {
                    left[row][j] -= share * left[i][j];
                }
                right[row] -= share * right[i];
            }
        }
        for (std::size_t i = N; i-- > 0;) {
            for (std::size_t j = i + 1; j < N; ++j) {
                right[i] -= left[i][j] * right[j];
            }
            right[i] /= left[i][i];
            coefficients_[i] = std::clamp(prior_[i] + right[i], prior_[i] / settings_.max_change,
                                          std::max(prior_[i], 1.0) * settings_.max_change);
        }
    }

    linear_fit_settings settings_;
    values prior_;
    values coefficients_;
    /// Weighted products of the features with each other, and with the time that the prior does not
    /// explain.
    matrix products_{};
    values surprises_{};
    time_point last_{};
};

}  // namespace radishpulley::routing
