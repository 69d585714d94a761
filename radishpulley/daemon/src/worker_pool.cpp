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
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_) {
        return;
    }
    tasks_.emplace(std::chrono::steady_clock::now() + delay, std::move(it));
    due_.notify_one();
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
        due_.notify_all();
    }
    for (std::thread& it : threads_) {
        if (it.joinable()) {
            it.join();
        }
    }
}

void worker_pool::run() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_) {
        if (tasks_.empty()) {
            due_.wait(lock);
            continue;
        }
        const auto first = tasks_.begin();
        if (first->first > std::chrono::steady_clock::now()) {
            const time_point until = first->first;
            due_.wait_until(lock, until);
            continue;
        }
        const task it = std::move(first->second);
        tasks_.erase(first);
        lock.unlock();
        it();
        lock.lock();
    }
}

}  // namespace radishpulley::daemon
