/// Events in the order of a virtual clock.
#pragma once

#include <functional>
#include <map>
#include <utility>

#include "base/clock.h"

namespace radishpulley::faults {

/// Runs actions at their virtual times; equal times run in the order in which they were added.
class scheduler {
public:
    time_point now() const { return clock_.now(); }

    void after(duration delay, std::function<void()> action) {
        actions_.emplace(now() + delay, std::move(action));
    }

    void run_until(time_point end) {
        while (!actions_.empty() && actions_.begin()->first <= end) {
            const auto first = actions_.begin();
            clock_.advance(first->first - now());
            const std::function<void()> action = std::move(first->second);
            actions_.erase(first);
            action();
        }
    }

private:
    virtual_clock clock_;
    std::multimap<time_point, std::function<void()>> actions_;
};

}  // namespace radishpulley::faults
