/// Time as an interface, so that every decision runs under a virtual clock in tests.
#pragma once

#include <time.h>

#include <atomic>
#include <chrono>

namespace radishpulley {

/// Monotonic time of one process; not comparable between VMs.
using time_point = std::chrono::steady_clock::time_point;

/// Resolution in which decisions take durations.
using duration = std::chrono::nanoseconds;

/// Source of monotonic time.
class clock {
public:
    virtual ~clock() = default;
    /// Returns the present moment; never goes back.
    virtual time_point now() const = 0;
};

/// The machine's monotonic clock.
class system_clock final : public clock {
public:
    time_point now() const override { return std::chrono::steady_clock::now(); }
};

/// A monotonic clock that also counts the time for which the VM was suspended.
class boot_clock final : public clock {
public:
    time_point now() const override {
        timespec it{};
        clock_gettime(CLOCK_BOOTTIME, &it);
        return time_point(std::chrono::seconds(it.tv_sec) + std::chrono::nanoseconds(it.tv_nsec));
    }
};

/// Source of the time of day, which VMs share to within their clocks' error.
class wall_clock {
public:
    virtual ~wall_clock() = default;
    /// Returns the time since the epoch; may go back.
    virtual std::chrono::milliseconds since_epoch() const = 0;
};

/// The machine's time of day.
class system_wall_clock final : public wall_clock {
public:
    std::chrono::milliseconds since_epoch() const override {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    }
};

/// A clock that moves only when told to.
class virtual_clock final : public clock {
public:
    time_point now() const override { return time_point(duration(ticks_.load())); }
    /// Moves the clock forward by `step`, which must not be negative.
    void advance(duration step) { ticks_ += step.count(); }

private:
    std::atomic<duration::rep> ticks_{
        std::chrono::duration_cast<duration>(std::chrono::hours(1)).count()};
};

/// Runs with the real time and can jump ahead of it, as after a pause of the process.
class jumping_clock final : public clock {
public:
    time_point now() const override { return real_.now() + ahead_; }
    /// Jumps ahead by `step`, which must not be negative.
    void jump(duration step) { ahead_ += step; }

private:
    boot_clock real_;
    duration ahead_{};
};

}  // namespace radishpulley
