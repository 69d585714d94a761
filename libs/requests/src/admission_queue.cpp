#include "requests/admission_queue.h"

#include <algorithm>
#include <stdexcept>

namespace radishpulley::requests {
namespace {

// Limits the memory of the rate window.
constexpr std::size_t max_intervals_kept = 256;

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
        throw std::invalid_argument("an account's share must be greater than 0 and at most 1");
    }
    if (account_by_request_.count(request) != 0) {
        throw std::invalid_argument("request " + request.str() + " is already queued");
    }
    const auto queue = queues_.find(account);
    const std::size_t ahead = queue == queues_.end() ? 0 : queue->second.size();
    if (ahead >= limits_.max_waiting_per_account) {
        return enqueue_refused{error_code::queue_full, estimate_wait(1, share, now)};
    }
    if (account_by_request_.size() >= limits_.max_waiting) {
        return enqueue_refused{error_code::queue_full, estimate_wait(1, 1, now)};
    }
    const std::optional<duration> expected = estimate_wait(ahead + 1, share, now);
    const duration time_left = deadline - now;
    if (time_left <= duration(0)) {
        return enqueue_refused{error_code::deadline_unreachable, std::nullopt};
    }
    if (expected && *expected > time_left) {
        return enqueue_refused{error_code::deadline_unreachable, *expected - time_left};
    }
    queues_[account].push_back({request, deadline});
    account_by_request_.emplace(request, account);
    return enqueued{expected};
}

bool admission_queue::start(const request_id& request, time_point now) {
    const std::optional<time_point> previous_start = backlog_since_;
    if (!erase(request)) {
        return false;
    }
    if (previous_start) {
        start_intervals_.push_back({now, now - *previous_start});
    }
    if (start_intervals_.size() > max_intervals_kept) {
        start_intervals_.pop_front();
    }
    if (!account_by_request_.empty()) {
        backlog_since_ = now;
    }
    return true;
}

bool admission_queue::withdraw(const request_id& request) {
    return erase(request);
}

bool admission_queue::erase(const request_id& request) {
    const auto it = account_by_request_.find(request);
    if (it == account_by_request_.end()) {
        return false;
    }
    const auto queue = queues_.find(it->second);
    auto& requests = queue->second;
    requests.erase(std::find_if(requests.begin(), requests.end(),
                                [&](const waiting_request& p) { return p.request == request; }));
    if (requests.empty()) {
        queues_.erase(queue);
    }
    account_by_request_.erase(it);
    if (account_by_request_.empty()) {
        backlog_since_.reset();
    }
    return true;
}

std::vector<request_id> admission_queue::expire(time_point now) {
    std::vector<request_id> expired;
    for (const auto& [account, requests] : queues_) {
        for (const waiting_request& it : requests) {
            if (it.deadline <= now) {
                expired.push_back(it.request);
            }
        }
    }
    for (const request_id& it : expired) {
        erase(it);
    }
    return expired;
}

std::vector<request_id> admission_queue::waiting(const client_account_id& account) const {
    std::vector<request_id> ids;
    const auto queue = queues_.find(account);
    if (queue == queues_.end()) {
        return ids;
    }
    for (const waiting_request& it : queue->second) {
        ids.push_back(it.request);
    }
    return ids;
}

std::optional<double> admission_queue::start_rate(time_point now) const {
    std::size_t interval_count = 0;
    duration total(0);
    for (const start_interval& it : start_intervals_) {
        if (it.end >= now - limits_.rate_window) {
            ++interval_count;
            total += it.length;
        }
    }
    // The interval since the last start counts if it is longer than the average interval, because
    // the service may have stalled.
    const duration since_last_start = backlog_since_ ? now - *backlog_since_ : duration(0);
    if (interval_count < limits_.min_starts || total <= duration(0)) {
        return std::nullopt;
    }
    if (since_last_start > total / static_cast<duration::rep>(interval_count)) {
        total += since_last_start;
    }
    return static_cast<double>(interval_count) / to_seconds(total);
}

std::optional<duration> admission_queue::estimate_wait(std::size_t starts, double share,
                                                       time_point now) const {
    const std::optional<double> rate = start_rate(now);
    if (!rate) {
        return std::nullopt;
    }
    return from_seconds(static_cast<double>(starts) / (*rate * share));
}

}  // namespace radishpulley::requests
