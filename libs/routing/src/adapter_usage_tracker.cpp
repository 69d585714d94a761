#include "routing/adapter_usage_tracker.h"

#include <algorithm>
#include <utility>

namespace radishpulley::routing {

bool adapter_usage_tracker::start(const endpoint_id& engine, const model_ref& adapter,
                                  const adapter_use& use, time_point now) {
    engine_usage& it = usage_[engine];
    it.running[adapter][use.request] = {use.output_tokens, now + use.first_event_in,
                                        expected_end(use, now)};
    it.sent.push_back(adapter);
    return it.reported.count(adapter) == 0;
}

std::optional<time_point> adapter_usage_tracker::expected_end(const adapter_use& use,
                                                              time_point now) const {
    if (use.output_tokens == 0) {
        return std::nullopt;
    }
    const duration expected = use.first_event_in + output_times_.expected(use.output_tokens);
    return now + std::min(expected, use.time_left);
}

void adapter_usage_tracker::end(const endpoint_id& engine, const model_ref& adapter,
                                request_number request, time_point now) {
    const auto found = usage_.find(engine);
    if (found == usage_.end()) {
        return;
    }
    auto& running = found->second.running;
    const auto uses = running.find(adapter);
    if (uses == running.end()) {
        return;
    }
    const auto it = uses->second.find(request);
    if (it == uses->second.end()) {
        return;
    }
    // A request that ended before its first event was due was refused or has failed.
    if (now > it->second.first_event_at) {
        output_times_.on_end(it->second.output_tokens, now - it->second.first_event_at);
    }
    uses->second.erase(it);
    if (uses->second.empty()) {
        running.erase(uses);
    }
}

std::optional<duration> adapter_usage_tracker::last_end(const uses_by_request& uses,
                                                        time_point now) {
    time_point last = now;
    for (const auto& [request, it] : uses) {
        if (!it.ends_at) {
            return std::nullopt;
        }
        last = std::max(last, *it.ends_at);
    }
    return last - now;
}

std::vector<running_adapter> adapter_usage_tracker::running_list(const engine_usage& it,
                                                                 time_point now) {
    std::vector<running_adapter> out;
    for (const auto& [adapter, uses] : it.running) {
        out.push_back({adapter, last_end(uses, now)});
    }
    return out;
}

std::vector<running_adapter> adapter_usage_tracker::running(const endpoint_id& engine,
                                                            time_point now) const {
    const auto found = usage_.find(engine);
    return found == usage_.end() ? std::vector<running_adapter>()
                                 : running_list(found->second, now);
}

std::vector<endpoint_id> adapter_usage_tracker::engines() const {
    std::vector<endpoint_id> out;
    for (const auto& [engine, it] : usage_) {
        out.push_back(engine);
    }
    return out;
}

adapter_usage adapter_usage_tracker::take_report(const endpoint_id& engine, time_point now) {
    const auto found = usage_.find(engine);
    if (found == usage_.end()) {
        return {engine, {}, {}};
    }
    engine_usage& it = found->second;
    adapter_usage out{engine, std::exchange(it.sent, {}), running_list(it, now)};
    it.reported.clear();
    for (const running_adapter& each : out.running) {
        it.reported.insert(each.adapter);
    }
    if (it.running.empty()) {
        usage_.erase(found);
    }
    return out;
}

void adapter_usage_tracker::forget_reported(const endpoint_id& engine) {
    const auto found = usage_.find(engine);
    if (found != usage_.end()) {
        found->second.reported.clear();
    }
}

}  // namespace radishpulley::routing
