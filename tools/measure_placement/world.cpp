#include "gateway_fixture.h"

#include <algorithm>

namespace radishpulley::measure {
namespace {

constexpr duration step_base = std::chrono::milliseconds(12);
constexpr duration step_per_request = std::chrono::microseconds(600);
constexpr duration step_per_adapter = std::chrono::milliseconds(1);
constexpr duration prefill_per_token = std::chrono::microseconds(50);
constexpr std::uint32_t cached_prefill_divisor = 4;
constexpr std::size_t cached_prefixes = 64;
constexpr double most_saved_loads = 2;

duration step_of(std::uint32_t requests, std::size_t adapters) {
    return step_base + step_per_request * requests + step_per_adapter * adapters;
}

double seconds(duration it) {
    return std::chrono::duration<double>(it).count();
}

}  // namespace

duration best_token_time() {
    return step_of(engine_concurrency, 1) / engine_concurrency;
}

double engine_capacity() {
    constexpr std::size_t usual_adapters = 12;
    const double step = seconds(step_of(engine_concurrency, usual_adapters));
    return engine_count * engine_concurrency / step / mean_output_tokens;
}

void event_queue::run_until(time_point end) {
    while (!events_.empty() && events_.begin()->first <= end) {
        auto node = events_.extract(events_.begin());
        now_ = std::max(now_, node.key());
        node.mapped()();
    }
    now_ = end;
}

void weight_store::load(std::function<void()> done) {
    waiting_.push_back(std::move(done));
    start_some();
}

void weight_store::start_some() {
    saved_ += seconds(events_.now() - refilled_) * loads_per_second;
    saved_ = std::min(saved_, most_saved_loads);
    refilled_ = events_.now();
    // The small tolerance keeps rounding from postponing a load by a whole timer.
    while (!waiting_.empty() && saved_ >= 1 - 1e-6) {
        saved_ -= 1;
        ++in_flight_;
        ++loads_;
        const auto slower = std::max<std::uint32_t>(in_flight_, loads_at_full_speed);
        events_.after(load_time * slower / loads_at_full_speed,
                      [this, done = std::move(waiting_.front())] {
                          --in_flight_;
                          done();
                      });
        waiting_.pop_front();
    }
    if (!waiting_.empty()) {
        const double wait = (1 - saved_) / loads_per_second;
        events_.after(duration(static_cast<duration::rep>(wait * 1e9) + 1),
                      [this] { start_some(); });
    }
}

std::uint32_t engine_model::active(std::uint32_t adapter) const {
    const auto uses = [adapter](const job* it) { return it->what.adapter == adapter; };
    return static_cast<std::uint32_t>(std::count_if(running_.begin(), running_.end(), uses) +
                                      std::count_if(queue_.begin(), queue_.end(), uses));
}

void engine_model::add_adapter(std::uint32_t adapter) {
    loaded_at_[adapter] = events_.now();
    admit();
}

void engine_model::submit(job& it) {
    it.engine = number_;
    it.tokens_left = it.what.output_tokens;
    it.crossed_region = it.what.region != region();
    queue_.push_back(&it);
    admit();
}

void engine_model::give_up_old() {
    std::vector<job*> old;
    for (job* it : queue_) {
        if (events_.now() - it->what.at > caller_patience) {
            old.push_back(it);
        }
    }
    for (job* it : old) {
        queue_.erase(std::find(queue_.begin(), queue_.end(), it));
        it->refused = true;
        on_ended(*it);
    }
}

void engine_model::admit() {
    give_up_old();
    for (auto it = queue_.begin(); it != queue_.end() && running_.size() < engine_concurrency;) {
        job& next = **it;
        const auto loaded = loaded_at_.find(next.what.adapter);
        if (loaded == loaded_at_.end()) {
            ++it;
            continue;
        }
        next.started = true;
        next.stall = std::max(duration::zero(), loaded->second - next.what.at);
        const bool cached = prefixes_.count(next.what.prefix) != 0;
        prefill_tokens_ += next.what.prompt_tokens / (cached ? cached_prefill_divisor : 1);
        if (!cached) {
            prefixes_.insert(next.what.prefix);
            prefix_order_.push_back(next.what.prefix);
        }
        if (prefix_order_.size() > cached_prefixes) {
            prefixes_.erase(prefix_order_.front());
            prefix_order_.pop_front();
        }
        running_.push_back(&next);
        it = queue_.erase(it);
    }
    if (!stepping_ && !running_.empty()) {
        begin_step();
    }
}

duration engine_model::step_time(std::uint32_t prefill_tokens) const {
    std::set<std::uint32_t> adapters;
    for (const job* it : running_) {
        adapters.insert(it->what.adapter);
    }
    return step_of(running(), adapters.size()) + prefill_per_token * prefill_tokens;
}

void engine_model::begin_step() {
    stepping_ = true;
    const duration without_prefill = step_time(0);
    const duration step = step_time(prefill_tokens_);
    prefill_tokens_ = 0;
    busy_ += without_prefill;
    events_.after(step, [this] { end_step(); });
}

void engine_model::end_step() {
    stepping_ = false;
    std::vector<job*> ended;
    for (job* it : running_) {
        if (it->first_token == time_point::max()) {
            it->first_token = events_.now() + (it->crossed_region ? 2 * region_delay : zone_delay);
        }
        // Requests admitted while the step ran take part from the next one; the difference is one
        // token.
        ++tokens_;
        if (--it->tokens_left == 0) {
            ended.push_back(it);
        }
    }
    for (job* it : ended) {
        running_.erase(std::find(running_.begin(), running_.end(), it));
    }
    for (job* it : ended) {
        on_ended(*it);
    }
    admit();
}

void engine_model::reset_counts() {
    busy_ = duration::zero();
    tokens_ = 0;
}

}  // namespace radishpulley::measure
