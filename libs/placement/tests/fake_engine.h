/// An in-memory engine that executes every order, so that wrong orders become visible.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "placement/messages.h"

namespace radishpulley::placement::testing {

/// Executes every order that passes its fencing check, even one that evicts an adapter in use.
class fake_engine {
public:
    fake_engine(endpoint_id id, std::size_t slots, bool checks_fencing)
        : id_(std::move(id)), slots_(slots), checks_fencing_(checks_fencing) {}

    order_outcome apply(const engine_order& it) {
        if (checks_fencing_ && it.fence < highest_fence_) {
            return order_outcome::fenced;
        }
        highest_fence_ = std::max(highest_fence_, it.fence);
        if (it.kind == order_kind::evict) {
            loaded_.erase(it.adapter);
            return order_outcome::done;
        }
        if (loaded_.count(it.adapter) == 0 && loaded_.size() >= slots_) {
            return order_outcome::failed;
        }
        loaded_.try_emplace(it.adapter, 0);
        return order_outcome::done;
    }

    void restart() {
        loaded_.clear();
        ++restarts_;
        sequence_ = 0;
    }

    bool has(const adapter_ref& it) const { return loaded_.count(it) != 0; }
    void begin(const adapter_ref& it) { ++loaded_.at(it); }
    void end(const adapter_ref& it) {
        const auto entry = loaded_.find(it);
        if (entry != loaded_.end() && entry->second > 0) {
            --entry->second;
        }
    }
    std::string incarnation() const { return "run-" + std::to_string(restarts_); }

    engine_report report() {
        engine_report result;
        result.endpoint = id_;
        result.engine_incarnation = incarnation();
        result.sequence = ++sequence_;
        for (const auto& [adapter, active] : loaded_) {
            result.adapters.push_back({adapter, reported_state::loaded, active});
            result.running += active;
        }
        return result;
    }

private:
    endpoint_id id_;
    std::size_t slots_;
    bool checks_fencing_;
    fencing_number highest_fence_ = 0;
    std::map<adapter_ref, std::uint32_t> loaded_;
    std::uint64_t restarts_ = 1;
    std::uint64_t sequence_ = 0;
};

}  // namespace radishpulley::placement::testing
