/// Threads for blocking work and for work at a later time.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "base/clock.h"

namespace radishpulley::daemon {

/// Runs tasks in the order of their times. Tasks of equal time keep their order, but several
/// threads run them, so they may overlap. Tasks must not throw.
class worker_pool {
public:
    using task = std::function<void()>;

    explicit worker_pool(std::size_t threads);
    ~worker_pool();
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// Runs a task as soon as a thread is free.
    void post(task it);
    /// Runs a task after a delay.
    void post_after(duration delay, task it);
    /// Runs a task again and again, each time `interval` after it ended, until the pool stops.
    void repeat(duration interval, task it);
    /// Drops tasks that have not begun and waits for those that have.
    void stop();

private:
    void run();

    std::mutex mutex_;
    std::condition_variable idle_;
    std::condition_variable timed_;
    bool has_timed_waiter_ = false;
    std::multimap<time_point, task> tasks_;
    std::vector<std::thread> threads_;
    bool stopping_ = false;
};

}  // namespace radishpulley::daemon
