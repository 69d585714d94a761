#include "routing/adapter_usage_tracker.h"

#include <utility>

namespace radishpulley::routing {

bool adapter_usage_tracker::start(const endpoint_id& engine, const model_ref& adapter) {
    engine_usage& it = usage_[engine];
    ++it.running[adapter];
    it.sent.push_back(adapter);
    return it.reported.count(adapter) == 0;
}

void adapter_usage_tracker::end(const endpoint_id& engine, const model_ref& adapter) {
    const auto found = usage_.find(engine);
    if (found == usage_.end()) {
        return;
    }
    auto& running = found->second.running;
    const auto it = running.find(adapter);
    if (it != running.end() && --it->second == 0) {
        running.erase(it);
    }
}

std::vector<model_ref> adapter_usage_tracker::running_list(const engine_usage& it) {
    std::vector<model_ref> out;
    for (const auto& [adapter, count] : it.running) {
        out.push_back(adapter);
    }
    return out;
}

std::vector<model_ref> adapter_usage_tracker::running(const endpoint_id& engine) const {
    const auto found = usage_.find(engine);
    return found == usage_.end() ? std::vector<model_ref>() : running_list(found->second);
}

std::vector<endpoint_id> adapter_usage_tracker::engines() const {
    std::vector<endpoint_id> out;
    for (const auto& [engine, it] : usage_) {
        out.push_back(engine);
    }
    return out;
}

adapter_usage adapter_usage_tracker::take_report(const endpoint_id& engine) {
    const auto found = usage_.find(engine);
    if (found == usage_.end()) {
        return {engine, {}, {}};
    }
    engine_usage& it = found->second;
    adapter_usage out{engine, std::exchange(it.sent, {}), running_list(it)};
    it.reported = {out.running.begin(), out.running.end()};
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
