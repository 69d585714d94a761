#include "daemon/worker_pool.h"

#include <memory>
#include <utility>

namespace radishpulley::daemon {

worker_pool::worker_pool(std::size_t threads) {
    for (std::size_t i = 0; i < threads; ++i) {
        threads_.emplace_back([this] { run(); });
    }
}

worker_pool::~worker_pool() {
    stop();
}

void worker_pool::post(task it) {
    post_after(duration(0), std::move(it));
}

void worker_pool::post_after(duration delay, task it) {
    const time_point when = std::chrono::steady_clock::now() + delay;
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_) {
        return;
    }
    const bool is_first = tasks_.empty() || when < tasks_.begin()->first;
    tasks_.emplace(when, std::move(it));
    if (is_first && has_timed_waiter_) {
        // It waits for a later task, and must wait for this one instead.
        timed_.notify_one();
    } else if (!has_timed_waiter_) {
        idle_.notify_one();
    }
}

void worker_pool::repeat(duration interval, task it) {
    post_after(interval, [this, interval, it = std::move(it)] {
        it();
        repeat(interval, it);
    });
}

void worker_pool::stop() {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
        tasks_.clear();
        timed_.notify_all();
        idle_.notify_all();
    }
    for (std::thread& it : threads_) {
        if (it.joinable()) {
            it.join();
        }
    }
}

// One thread at most waits for the next task's time; the others sleep until there is work for them.
void worker_pool::run() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_) {
        if (tasks_.empty() || has_timed_waiter_) {
            idle_.wait(lock);
            continue;
        }
        const time_point when = tasks_.begin()->first;
        if (when > std::chrono::steady_clock::now()) {
            has_timed_waiter_ = true;
            timed_.wait_until(lock, when);
            has_timed_waiter_ = false;
            continue;
        }
        const task it = std::move(tasks_.begin()->second);
        tasks_.erase(tasks_.begin());
        if (!tasks_.empty()) {
            idle_.notify_one();
        }
        lock.unlock();
        it();
        lock.lock();
    }
}

}  // namespace radishpulley::daemon
