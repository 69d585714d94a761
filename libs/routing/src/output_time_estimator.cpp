#include "routing/output_time_estimator.h"

#include <algorithm>

namespace radishpulley::routing {

output_time_estimator::output_time_estimator(output_time_settings settings)
    : settings_(settings), token_time_(settings.initial_token_time) {}

duration output_time_estimator::expected(std::uint32_t tokens) const {
    return token_time_ * tokens;
}

void output_time_estimator::on_end(std::uint32_t tokens, duration elapsed) {
    if (tokens == 0) {
        return;
    }
    const double factor = elapsed > expected(tokens) ? 1 + settings_.step : 1 - settings_.step;
    const auto next = std::chrono::duration_cast<duration>(token_time_ * factor);
    token_time_ = std::clamp(next, settings_.min_token_time, settings_.max_token_time);
}

}  // namespace radishpulley::routing
