#include "placement/router.h"

#include <algorithm>
#include <utility>

namespace radishpulley::placement {
namespace {

constexpr std::size_t max_prefixes = 4096;
constexpr duration cleanup_interval = std::chrono::seconds(30);
constexpr duration min_retry_after = std::chrono::seconds(1);

}  // namespace

router::router(vm_incarnation self, zone_id zone, region_id region, router_settings settings)
    : self_(std::move(self)),
      zone_(std::move(zone)),
      region_(std::move(region)),
      settings_(settings),
      mean_run_(settings.initial_run_time) {}

bool router::is_queue_full_for(const client_account_id& account) const {
    if (waiting_at_.size() >= settings_.max_waiting) {
        return true;
    }
    const auto it = waiting_by_account_.find(account);
    const std::size_t own_waiting = it == waiting_by_account_.end() ? 0 : it->second;
    const bool others_wait = own_waiting < waiting_at_.size();
    const double max_own = settings_.max_account_share * static_cast<double>(settings_.max_waiting);
    return others_wait && static_cast<double>(own_waiting) >= max_own;
}

void router::refuse(const placement_request& it, duration wait, router_decisions& out) const {
    out.push_back(refuse_request{it.id, std::max(wait, min_retry_after)});
}

void router::place(const placement_request& it, time_point since, time_point now,
                   const endpoint_id& avoid, router_decisions& out) {
    std::optional<engine_choice> chosen = choose_engine(it, now, avoid);
    if (!chosen) {
        chosen = choose_engine(it, now, endpoint_id());
    }
    if (!chosen) {
        refuse(it, settings_.initial_run_time, out);
        return;
    }
    if (is_queue_full_for(it.account) ||
        (it.deadline != time_point::max() && now + chosen->wait > it.deadline)) {
        refuse(it, chosen->wait, out);
        return;
    }
    const pin_key key{chosen->endpoint, it.adapter};
    pin& entry = pins_[key];
    ++entry.arrived;
    entry.last_use = now;
    entry.waiting.push_back({it, since});
    engines_.at(key.endpoint).waiting_adapters.insert(key.adapter);
    waiting_at_.emplace(it.id, key);
    ++engines_.at(key.endpoint).waiting;
    std::size_t& own_waiting = waiting_by_account_[it.account];
    if (own_waiting == 0) {
        double& account_time = account_virtual_time_[it.account];
        account_time = std::max(account_time, virtual_time_);
    }
    ++own_waiting;
    flush(key.endpoint, now, out);
    if (entry.waiting.empty()) {
        return;
    }
    const bool pinned = now < entry.valid_until;
    const duration spacing =
        pinned ? settings_.window_refresh_interval : settings_.min_message_interval;
    if (entry.last_request_at == time_point::min() || now - entry.last_request_at >= spacing) {
        request_pin(key, entry, now, out);
    }
}

router_decisions router::on_request(const placement_request& it, time_point now) {
    router_decisions out;
    place(it, now, now, endpoint_id(), out);
    return out;
}

std::vector<router::waiting_request> router::take_waiting(const pin_key& key, pin& it) {
    std::vector<waiting_request> moved = std::move(it.waiting);
    it.waiting.clear();
    engines_.at(key.endpoint).waiting_adapters.erase(key.adapter);
    for (const waiting_request& entry : moved) {
        waiting_at_.erase(entry.request.id);
        --waiting_by_account_[entry.request.account];
        --engines_.at(key.endpoint).waiting;
    }
    return moved;
}

void router::reroute_waiting(const pin_key& key, time_point now, router_decisions& out) {
    const auto it = pins_.find(key);
    if (it == pins_.end()) {
        return;
    }
    for (const waiting_request& entry : take_waiting(key, it->second)) {
        place(entry.request, entry.since, now, key.endpoint, out);
    }
}

router_decisions router::on_request_ended(const request_id& id, time_point now) {
    router_decisions out;
    const auto it = running_.find(id);
    if (it == running_.end()) {
        return out;
    }
    const pin_key key = it->second.key;
    const auto ran = static_cast<double>((now - it->second.since - mean_run_).count());
    mean_run_ += duration(static_cast<duration::rep>(settings_.run_time_smoothing * ran));
    running_.erase(it);
    const auto engine = engines_.find(key.endpoint);
    if (engine != engines_.end()) {
        --engine->second.running;
    }
    const auto entry = pins_.find(key);
    if (entry != pins_.end()) {
        --entry->second.running;
        entry->second.last_use = now;
        release_expired(key, entry->second, now, out);
    }
    if (engine != engines_.end()) {
        flush(key.endpoint, now, out);
    }
    return out;
}

router_decisions router::on_not_sent(const request_id& id, time_point now) {
    const auto it = running_.find(id);
    if (it == running_.end()) {
        return {};
    }
    const placement_request request = it->second.request;
    router_decisions out = on_request_ended(id, now);
    place(request, now, now, endpoint_id(), out);
    return out;
}

void router::on_cancelled(const request_id& id) {
    const auto found_at = waiting_at_.find(id);
    if (found_at == waiting_at_.end()) {
        return;
    }
    const pin_key key = found_at->second;
    std::vector<waiting_request>& list = pins_.at(key).waiting;
    const auto it = std::find_if(list.begin(), list.end(), [&id](const waiting_request& entry) {
        return entry.request.id == id;
    });
    --waiting_by_account_[it->request.account];
    --engines_.at(key.endpoint).waiting;
    list.erase(it);
    if (list.empty()) {
        engines_.at(key.endpoint).waiting_adapters.erase(key.adapter);
    }
    waiting_at_.erase(found_at);
}

router_decisions router::on_adapter_missing(const endpoint_id& endpoint, const adapter_ref& adapter,
                                            time_point now) {
    router_decisions out;
    pin* entry = find_pin(endpoint, adapter);
    if (entry == nullptr) {
        return out;
    }
    entry->valid_until = time_point::min();
    entry->unanswered.clear();
    request_pin({endpoint, adapter}, *entry, now, out);
    return out;
}

// Expiry and maintenance.

void router::expire_waiting(const pin_key& key, pin& it, time_point now, router_decisions& out) {
    std::vector<placement_request> expired;
    for (const waiting_request& entry : it.waiting) {
        if (now >= entry.request.deadline) {
            expired.push_back(entry.request);
        }
    }
    const duration wait = queue_wait(engines_.at(key.endpoint)) + it.expected_wait;
    for (const placement_request& request : expired) {
        on_cancelled(request.id);
        refuse(request, wait, out);
    }
}

// An expired pin is released as soon as its requests have ended, even if other requests wait for a
// new pin: the holder may be draining the adapter.
void router::release_expired(const pin_key& key, pin& it, time_point now, router_decisions& out) {
    if (!it.is_granted || it.running > 0 || now < it.valid_until) {
        return;
    }
    release(key, it, out);
    if (!it.waiting.empty()) {
        request_pin(key, it, now, out);
    }
}

void router::maintain(const pin_key& key, pin& it, time_point now, router_decisions& out) {
    release_expired(key, it, now, out);
    // Running requests need no renewal: the holder keeps the pin until they have certainly ended.
    const bool wanted = it.arrived > 0 || !it.waiting.empty();
    const bool ends_soon = it.valid_until < now + settings_.renew_before;
    const bool asked = it.last_request_at != time_point::min();
    const bool due = !asked || now - it.last_request_at >= settings_.answer_timeout;
    // Requests that wait for the window need a new one, which follows the demand of the other
    // daemons.
    const bool held_back = !it.waiting.empty() && asked &&
                           now - it.last_request_at >= settings_.window_refresh_interval;
    if ((wanted && ends_soon && due) || held_back) {
        request_pin(key, it, now, out);
    }
}

router_decisions router::tick(time_point now) {
    router_decisions out;
    std::vector<pin_key> unresponsive;
    for (auto it = pins_.begin(); it != pins_.end();) {
        const pin_key& key = it->first;
        pin& entry = it->second;
        expire_waiting(key, entry, now, out);
        maintain(key, entry, now, out);
        const bool busy = entry.running > 0 || !entry.waiting.empty();
        const bool idle = !busy && now - entry.last_use >= settings_.idle_pin_timeout;
        if (entry.unanswered.size() > settings_.max_unanswered) {
            entry.unanswered.erase(entry.unanswered.begin());
            if (now >= entry.valid_until && !entry.waiting.empty() &&
                entry.expected_wait == duration::zero()) {
                unresponsive.push_back(key);
            }
        }
        if (idle) {
            release(key, entry, out);
        }
        it = idle ? pins_.erase(it) : std::next(it);
    }
    for (const pin_key& key : unresponsive) {
        reroute_waiting(key, now, out);
    }
    for (auto& [endpoint, engine] : engines_) {
        flush(endpoint, now, out);
        if (engine.prefixes.size() > max_prefixes) {
            engine.prefixes.clear();
        }
    }
    if (now - last_cleanup_at_ > cleanup_interval) {
        drop_stale_entries(now);
    }
    return out;
}

void router::drop_stale_entries(time_point now) {
    last_cleanup_at_ = now;
    std::set<adapter_ref> remembered;
    for (auto& [endpoint, engine] : engines_) {
        for (auto it = engine.copies.begin(); it != engine.copies.end();) {
            const bool old = now - it->second >= settings_.copy_ttl;
            if (!old) {
                remembered.insert(it->first);
            }
            it = old ? engine.copies.erase(it) : std::next(it);
        }
    }
    for (auto it = rates_.begin(); it != rates_.end();) {
        it = remembered.count(it->first) == 0 ? rates_.erase(it) : std::next(it);
    }
}

// Topology.

router_decisions router::configure(std::vector<engine_info> engines, time_point now) {
    router_decisions out;
    candidates_.clear();
    std::set<endpoint_id> kept;
    for (engine_info& it : engines) {
        const endpoint_id endpoint = it.endpoint;
        kept.insert(endpoint);
        engines_[endpoint].info = std::move(it);
    }
    std::vector<waiting_request> displaced;
    for (auto& [key, entry] : pins_) {
        engine_view& engine = engines_.at(key.endpoint);
        const bool removed = kept.count(key.endpoint) == 0;
        engine.info.draining = engine.info.draining || removed;
        if (engine.info.draining) {
            std::vector<waiting_request> moved = take_waiting(key, entry);
            std::move(moved.begin(), moved.end(), std::back_inserter(displaced));
        }
    }
    for (auto it = engines_.begin(); it != engines_.end();) {
        const bool unused = kept.count(it->first) == 0 && it->second.running == 0;
        if (unused) {
            const pin_key first{it->first, adapter_ref{}};
            auto entry = pins_.lower_bound(first);
            while (entry != pins_.end() && entry->first.endpoint == it->first) {
                release(entry->first, entry->second, out);
                entry = pins_.erase(entry);
            }
        }
        it = unused ? engines_.erase(it) : std::next(it);
    }
    for (const waiting_request& it : displaced) {
        place(it.request, it.since, now, endpoint_id(), out);
    }
    return out;
}

router_decisions router::on_holder(const endpoint_id& endpoint, const vm_incarnation& holder,
                                   fencing_number fence, time_point now) {
    router_decisions out;
    const auto engine = engines_.find(endpoint);
    if (engine == engines_.end() || fence < engine->second.fence) {
        return out;
    }
    const bool changed = holder != engine->second.holder || fence != engine->second.fence;
    if (holder.vm.empty() != engine->second.holder.vm.empty()) {
        candidates_.clear();
    }
    engine->second.holder = holder;
    engine->second.fence = fence;
    if (!changed || holder.vm.empty()) {
        return out;
    }
    const pin_key first{endpoint, adapter_ref{}};
    for (auto it = pins_.lower_bound(first); it != pins_.end() && it->first.endpoint == endpoint;
         ++it) {
        it->second.unanswered.clear();
        if (it->second.running > 0 || !it->second.waiting.empty()) {
            request_pin(it->first, it->second, now, out);
        }
    }
    return out;
}

}  // namespace radishpulley::placement
