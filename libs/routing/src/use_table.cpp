#include "routing/use_table.h"

#include <utility>

namespace radishpulley::routing {

bool use_table::start(const endpoint_id& engine, const model_ref& adapter) {
    uses& it = uses_[engine];
    ++it.running[adapter];
    it.sent.push_back(adapter);
    return it.told.count(adapter) == 0;
}

void use_table::end(const endpoint_id& engine, const model_ref& adapter) {
    const auto found = uses_.find(engine);
    if (found == uses_.end()) {
        return;
    }
    auto& running = found->second.running;
    const auto it = running.find(adapter);
    if (it != running.end() && --it->second == 0) {
        running.erase(it);
    }
}

std::vector<model_ref> use_table::running_list(const uses& it) {
    std::vector<model_ref> out;
    for (const auto& [adapter, count] : it.running) {
        out.push_back(adapter);
    }
    return out;
}

std::vector<model_ref> use_table::running(const endpoint_id& engine) const {
    const auto found = uses_.find(engine);
    return found == uses_.end() ? std::vector<model_ref>() : running_list(found->second);
}

std::vector<endpoint_id> use_table::engines() const {
    std::vector<endpoint_id> out;
    for (const auto& [engine, it] : uses_) {
        out.push_back(engine);
    }
    return out;
}

adapter_usage use_table::take_statement(const endpoint_id& engine) {
    const auto found = uses_.find(engine);
    if (found == uses_.end()) {
        return {engine, {}, {}};
    }
    uses& it = found->second;
    adapter_usage out{engine, std::exchange(it.sent, {}), running_list(it)};
    it.told = {out.running.begin(), out.running.end()};
    if (it.running.empty()) {
        uses_.erase(found);
    }
    return out;
}

void use_table::forget_told(const endpoint_id& engine) {
    const auto found = uses_.find(engine);
    if (found != uses_.end()) {
        found->second.told.clear();
    }
}

}  // namespace radishpulley::routing
