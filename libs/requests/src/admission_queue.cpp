#include "requests/admission_queue.h"

#include <algorithm>
#include <stdexcept>

namespace radishpulley::requests {
namespace {

// Bounds the memory of the rate's window.
constexpr std::size_t max_gaps_kept = 256;

duration from_seconds(double seconds) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

double to_seconds(duration span) {
    return std::chrono::duration<double>(span).count();
}

}  // namespace

admission_queue::admission_queue(admission_limits limits) : limits_(limits) {}

admission admission_queue::try_enqueue(const request_id& request, const client_account_id& account,
                                 time_point deadline, double share, time_point now) {
    if (!(share > 0 && share <= 1)) {
        throw std::invalid_argument("an account's share must be above 0 and at most 1");
    }
    if (accounts_.count(request) != 0) {
        throw std::invalid_argument("request " + request.str() + " waits already");
    }
    const auto held = queues_.find(account);
    const std::size_t ahead = held == queues_.end() ? 0 : held->second.size();
    if (ahead >= limits_.max_waiting_per_account) {
        return enqueue_refused{error_code::queue_full, wait_for(1, share, now)};
    }
    if (accounts_.size() >= limits_.max_waiting) {
        return enqueue_refused{error_code::queue_full, wait_for(1, 1, now)};
    }
    const std::optional<duration> expected = wait_for(ahead + 1, share, now);
    const duration patience = deadline - now;
    if (patience <= duration(0)) {
        return enqueue_refused{error_code::deadline_unreachable, std::nullopt};
    }
    if (expected && *expected > patience) {
        return enqueue_refused{error_code::deadline_unreachable, *expected - patience};
    }
    queues_[account].push_back({request, deadline});
    accounts_.emplace(request, account);
    return enqueued{expected};
}

bool admission_queue::start(const request_id& request, time_point now) {
    const std::optional<time_point> before = backlog_since_;
    if (!take_out(request)) {
        return false;
    }
    if (before) {
        gaps_.push_back({now, now - *before});
    }
    if (gaps_.size() > max_gaps_kept) {
        gaps_.pop_front();
    }
    if (!accounts_.empty()) {
        backlog_since_ = now;
    }
    return true;
}

bool admission_queue::withdraw(const request_id& request) {
    return take_out(request);
}

bool admission_queue::take_out(const request_id& request) {
    const auto it = accounts_.find(request);
    if (it == accounts_.end()) {
        return false;
    }
    const auto held = queues_.find(it->second);
    auto& places = held->second;
    places.erase(std::find_if(places.begin(), places.end(),
                              [&](const place& p) { return p.request == request; }));
    if (places.empty()) {
        queues_.erase(held);
    }
    accounts_.erase(it);
    if (accounts_.empty()) {
        backlog_since_.reset();
    }
    return true;
}

std::vector<request_id> admission_queue::expire(time_point now) {
    std::vector<request_id> expired;
    for (const auto& [account, places] : queues_) {
        for (const place& it : places) {
            if (it.deadline <= now) {
                expired.push_back(it.request);
            }
        }
    }
    for (const request_id& it : expired) {
        take_out(it);
    }
    return expired;
}

std::vector<request_id> admission_queue::waiting(const client_account_id& account) const {
    std::vector<request_id> ids;
    const auto held = queues_.find(account);
    if (held == queues_.end()) {
        return ids;
    }
    for (const place& it : held->second) {
        ids.push_back(it.request);
    }
    return ids;
}

std::optional<double> admission_queue::start_rate(time_point now) const {
    std::size_t n = 0;
    duration length(0);
    for (const gap& it : gaps_) {
        if (it.end >= now - limits_.rate_window) {
            ++n;
            length += it.length;
        }
    }
    // The gap that is still open counts where it is longer than usual: the service may have
    // stalled.
    const duration open = backlog_since_ ? now - *backlog_since_ : duration(0);
    if (n < limits_.min_starts || length <= duration(0)) {
        return std::nullopt;
    }
    if (open > length / static_cast<duration::rep>(n)) {
        length += open;
    }
    return static_cast<double>(n) / to_seconds(length);
}

std::optional<duration> admission_queue::wait_for(std::size_t starts, double share,
                                                  time_point now) const {
    const std::optional<double> rate = start_rate(now);
    if (!rate) {
        return std::nullopt;
    }
    return from_seconds(static_cast<double>(starts) / (*rate * share));
}

}  // namespace radishpulley::requests
