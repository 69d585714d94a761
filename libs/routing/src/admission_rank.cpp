#include "routing/admission_rank.h"

#include <algorithm>
#include <cmath>

namespace radishpulley::routing {

admission_rank::admission_rank(admission_settings settings) : settings_(settings) {}

double admission_rank::value(const waiting_request& it) const {
    const double doubling_s = std::chrono::duration<double>(settings_.doubling_time).count();
    const int priority = std::clamp(it.priority, 0, settings_.lowest_priority);
    const duration waited = std::clamp(it.waited, duration::zero(), settings_.max_counted_wait);
    const double doublings = std::chrono::duration<double>(waited).count() / doubling_s;
    const double time_left_s = std::chrono::duration<double>(it.time_left).count();
    const double work_s = std::chrono::duration<double>(it.work).count();
    const double slack_s = std::max(0.0, time_left_s - work_s);
    const double urgency = 1 + doubling_s / (doubling_s + slack_s);
    return std::pow(settings_.priority_factor, -priority) * std::exp2(doublings) * urgency;
}

}  // namespace radishpulley::routing
