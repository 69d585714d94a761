#include "requests/shutdown_sequence.h"

#include "base/findings.h"

namespace radishpulley::requests {

shutdown_settings_builder& shutdown_settings_builder::balancer_wait(duration value) {
    settings_.balancer_wait = value;
    return *this;
}

shutdown_settings_builder& shutdown_settings_builder::grace(duration value) {
    settings_.grace = value;
    return *this;
}

shutdown_settings_builder& shutdown_settings_builder::return_wait(duration value) {
    settings_.return_wait = value;
    return *this;
}

shutdown_settings_builder& shutdown_settings_builder::longest_request(duration value) {
    longest_request_ = value;
    return *this;
}

shutdown_settings_builder& shutdown_settings_builder::may_cut(bool value) {
    may_cut_ = value;
    return *this;
}

shutdown_settings shutdown_settings_builder::build() const {
    findings found;
    if (settings_.balancer_wait < duration(0)) {
        found.add("shutdown.balancer_wait", "must not be negative");
    }
    if (settings_.return_wait < duration(0)) {
        found.add("shutdown.return_wait", "must not be negative");
    }
    if (settings_.grace < longest_request_ && !may_cut_) {
        found.add("shutdown.grace",
                  "must not be shorter than the longest request unless may_cut is set");
    }
    if (!found.empty()) {
        throw invalid_input(found);
    }
    return settings_;
}

shutdown_sequence::shutdown_sequence(shutdown_settings settings) : settings_(settings) {}

std::vector<shutdown_action> shutdown_sequence::begin(time_point now) {
    if (phase_ != shutdown_phase::serving) {
        return {};
    }
    phase_ = shutdown_phase::announcing;
    phase_since_ = now;
    return {report_not_ready{}};
}

std::vector<shutdown_action> shutdown_sequence::poll(std::size_t running, std::size_t held,
                                                     time_point now) {
    std::vector<shutdown_action> actions;
    if (phase_ == shutdown_phase::announcing && now - phase_since_ >= settings_.balancer_wait) {
        phase_ = shutdown_phase::finishing;
        phase_since_ = now;
        actions.emplace_back(refuse_new_requests{});
    }
    if (phase_ == shutdown_phase::finishing && running == 0) {
        phase_ = shutdown_phase::returning;
        phase_since_ = now;
        actions.emplace_back(return_holdings{});
        return actions;
    }
    if (phase_ == shutdown_phase::finishing && !grace_over_ &&
        now - phase_since_ >= settings_.grace) {
        grace_over_ = true;
        actions.emplace_back(end_grace_period{});
    }
    // Late requests may still be in refusal. The daemon exits after the last of them has ended.
    if (phase_ == shutdown_phase::returning && running == 0 &&
        (held == 0 || now - phase_since_ >= settings_.return_wait)) {
        phase_ = shutdown_phase::done;
        actions.emplace_back(exit_process{held == 0 ? 0 : 1});
    }
    return actions;
}

}  // namespace radishpulley::requests
