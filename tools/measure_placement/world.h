/// The interfaces that placement acts on: engines with slots, the weight store, time.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "workload.h"

namespace radishpulley::measure {

constexpr std::uint32_t engine_count = 9;
constexpr std::uint32_t slots_per_engine = 24;
constexpr std::uint32_t engine_concurrency = 16;
constexpr double loads_per_second = 2;
constexpr duration load_time = std::chrono::milliseconds(250);
constexpr std::uint32_t loads_at_full_speed = 8;
constexpr duration region_delay = std::chrono::milliseconds(8);
constexpr duration zone_delay = std::chrono::microseconds(1500);
/// Callers give up on a request that did not start after this time.
constexpr duration caller_patience = std::chrono::seconds(60);

/// Events in order of time, and of insertion at the same time.
class event_queue {
public:
    time_point now() const { return now_; }
    void at(time_point when, std::function<void()> what) { events_.emplace(when, std::move(what)); }
    void after(duration wait, std::function<void()> what) { at(now_ + wait, std::move(what)); }
    void run_until(time_point end);

private:
    time_point now_ = workload_start;
    std::multimap<time_point, std::function<void()>> events_;
};

/// What became of one request.
struct job {
    arrival what;
    std::uint32_t engine = 0;
    bool refused = false;
    bool started = false;
    duration stall{};
    time_point first_token = time_point::max();
    std::uint32_t tokens_left = 0;
    bool crossed_region = false;
};

/// Starts loads at its rate, first come first served.
class weight_store {
public:
    explicit weight_store(event_queue& events) : events_(events) {}
    void load(std::function<void()> done);
    std::size_t loads() const { return loads_; }

private:
    void start_some();

    event_queue& events_;
    std::deque<std::function<void()>> waiting_;
    double saved_ = 2;
    time_point refilled_ = workload_start;
    std::uint32_t in_flight_ = 0;
    std::size_t loads_ = 0;
};

/// An engine that batches continuously: each step gives every running request one token.
class engine_model {
public:
    engine_model(event_queue& events, std::uint32_t number) : events_(events), number_(number) {}

    std::uint32_t region() const { return number_ % region_count; }
    bool has(std::uint32_t adapter) const { return loaded_at_.count(adapter) != 0; }
    std::size_t loaded() const { return loaded_at_.size(); }
    std::uint32_t running() const { return static_cast<std::uint32_t>(running_.size()); }
    std::uint32_t queued() const { return static_cast<std::uint32_t>(queue_.size()); }
    std::uint32_t active(std::uint32_t adapter) const;
    const std::map<std::uint32_t, time_point>& loaded_at() const { return loaded_at_; }

    void add_adapter(std::uint32_t adapter);
    void drop_adapter(std::uint32_t adapter) { loaded_at_.erase(adapter); }
    void submit(job& it);
    /// Called when a request has ended or was given up.
    std::function<void(job&)> on_ended;

    duration busy() const { return busy_; }
    std::uint64_t tokens() const { return tokens_; }
    void reset_counts();

private:
    void admit();
    void begin_step();
    void end_step();
    void give_up_old();
    duration step_time(std::uint32_t prefill_tokens) const;

    event_queue& events_;
    std::uint32_t number_;
    std::map<std::uint32_t, time_point> loaded_at_;
    std::vector<job*> running_;
    std::deque<job*> queue_;
    std::set<std::uint64_t> prefixes_;
    std::deque<std::uint64_t> prefix_order_;
    bool stepping_ = false;
    std::uint32_t prefill_tokens_ = 0;
    duration busy_{};
    std::uint64_t tokens_ = 0;
};

/// Time in which a full batch of one adapter gives one token.
duration best_token_time();

/// Requests a second that all engines serve with full batches of twelve adapters.
double engine_capacity();

}  // namespace radishpulley::measure
