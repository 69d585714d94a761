// Part of router: pin requests, grants, refusals and recalls, and the sending of requests.
#include "placement/router.h"

#include <algorithm>
#include <utility>

namespace radishpulley::placement {
namespace {

constexpr std::size_t max_fairness_scan = 64;

}  // namespace

void router::flush(const endpoint_id& endpoint, time_point now, router_decisions& out) {
    engine_view& engine = engines_.at(endpoint);
    while (engine.running < engine.window && !engine.info.draining) {
        auto best = pins_.end();
        std::size_t best_position = 0;
        double best_account_time = 0;
        bool best_batched = false;
        const pin_key first{endpoint, adapter_ref{}};
        for (auto it = pins_.lower_bound(first);
             it != pins_.end() && it->first.endpoint == endpoint; ++it) {
            if (now >= it->second.valid_until) {
                continue;
            }
            const std::size_t n = std::min(it->second.waiting.size(), max_fairness_scan);
            for (std::size_t i = 0; i < n; ++i) {
                const double account_time =
                    account_virtual_time_[it->second.waiting[i].request.account];
                const bool batched = it->second.running > 0;
                const bool better = best == pins_.end() || account_time < best_account_time ||
                                    (account_time == best_account_time && batched && !best_batched);
                if (better) {
                    best = it;
                    best_position = i;
                    best_account_time = account_time;
                    best_batched = batched;
                }
            }
        }
        if (best == pins_.end()) {
            return;
        }
        send(best->first, best->second, best_position, now, out);
    }
}

void router::send(const pin_key& key, pin& pin_entry, std::size_t position, time_point now,
                  router_decisions& out) {
    const auto it = pin_entry.waiting.begin() + static_cast<std::ptrdiff_t>(position);
    const placement_request request = std::move(it->request);
    pin_entry.waiting.erase(it);
    if (pin_entry.waiting.empty()) {
        engines_.at(key.endpoint).waiting_adapters.erase(key.adapter);
    }
    waiting_at_.erase(request.id);
    --waiting_by_account_[request.account];
    double& account_time = account_virtual_time_[request.account];
    virtual_time_ = std::max(virtual_time_, account_time);
    account_time += 1 / std::max(request.weight, 1e-6);
    engine_view& engine = engines_.at(key.endpoint);
    --engine.waiting;
    ++engine.running;
    if (request.prefix != 0) {
        engine.prefixes[request.prefix] = now;
    }
    ++pin_entry.running;
    pin_entry.last_use = now;
    send_request decision;
    decision.request = request.id;
    decision.endpoint = key.endpoint;
    decision.adapter = key.adapter;
    decision.fence = pin_entry.fence;
    decision.send_by = pin_entry.valid_until;
    decision.end_by = now + settings_.longest_request;
    out.push_back(std::move(decision));
    running_[request.id] = {request, key, now};
}

// Pins.

router::pin* router::find_pin(const endpoint_id& endpoint, const adapter_ref& adapter) {
    const auto it = pins_.find({endpoint, adapter});
    return it == pins_.end() ? nullptr : &it->second;
}

void router::request_pin(const pin_key& key, pin& it, time_point now, router_decisions& out) {
    const engine_view& engine = engines_.at(key.endpoint);
    if (engine.holder.vm.empty()) {
        return;
    }
    pin_request body;
    body.daemon = self_;
    body.endpoint = key.endpoint;
    body.adapter = key.adapter;
    body.number = ++last_number_;
    body.waiting = static_cast<std::uint32_t>(it.waiting.size());
    body.running = it.running;
    body.engine_demand = engine.running + engine.waiting;
    body.arrived = std::exchange(it.arrived, 0);
    for (const waiting_request& entry : it.waiting) {
        body.oldest_wait = std::max(body.oldest_wait, now - entry.since);
        body.weight += entry.request.weight;
    }
    it.unanswered[body.number] = now;
    it.last_request_at = now;
    out.push_back(send_to_holder{key.endpoint, engine.holder, body});
}

void router::release(const pin_key& key, pin& it, router_decisions& out) {
    const engine_view& engine = engines_.at(key.endpoint);
    pin_release body;
    body.daemon = self_;
    body.endpoint = key.endpoint;
    body.adapter = key.adapter;
    body.number = ++last_number_;
    body.arrived = std::exchange(it.arrived, 0);
    body.engine_demand = engine.running + engine.waiting;
    it.is_granted = false;
    it.unanswered.clear();
    it.valid_until = time_point::min();
    if (!engine.holder.vm.empty()) {
        out.push_back(send_to_holder{key.endpoint, engine.holder, body});
    }
}

router_decisions router::on_message(const message& it, time_point now) {
    router_decisions out;
    if (const auto* grant = std::get_if<pin_grant>(&it)) {
        on_grant(*grant, now, out);
    } else if (const auto* refusal = std::get_if<pin_refusal>(&it)) {
        on_refusal(*refusal, now, out);
    } else if (const auto* recall = std::get_if<pin_recall>(&it)) {
        on_recall(*recall, now, out);
    }
    return out;
}

void router::update_engine_state(const endpoint_id& endpoint, const engine_digest& state) {
    engines_.at(endpoint).state = state;
}

void router::on_grant(const pin_grant& it, time_point now, router_decisions& out) {
    pin* entry = find_pin(it.endpoint, it.adapter);
    if (entry == nullptr || it.daemon != self_ || it.fence < engines_.at(it.endpoint).fence) {
        return;
    }
    const auto asked = entry->unanswered.find(it.number);
    if (asked == entry->unanswered.end()) {
        return;
    }
    const time_point end = asked->second + it.validity - settings_.clock_margin;
    entry->valid_until = std::max(entry->valid_until, end);
    entry->is_granted = true;
    entry->fence = it.fence;
    entry->last_answered = it.number;
    entry->expected_wait = duration::zero();
    entry->load_wait_accepted = false;
    entry->unanswered.erase(entry->unanswered.begin(), std::next(asked));
    engine_view& engine = engines_.at(it.endpoint);
    engine.window = it.window;
    engine.copies[it.adapter] = now;
    rates_[it.adapter] = it.requests_per_second;
    update_engine_state(it.endpoint, it.state);
    flush(it.endpoint, now, out);
}

void router::on_refusal(const pin_refusal& it, time_point now, router_decisions& out) {
    pin* entry = find_pin(it.endpoint, it.adapter);
    if (entry == nullptr || it.daemon != self_ || it.fence < engines_.at(it.endpoint).fence) {
        return;
    }
    if (entry->unanswered.count(it.number) == 0) {
        return;
    }
    update_engine_state(it.endpoint, it.state);
    entry->expected_wait = it.expected_wait;
    if (it.reason == pin_refusal_reason::loading) {
        // The message stays unanswered: the grant after the load has the same number.
        const bool too_long = it.expected_wait > settings_.max_load_wait;
        if (too_long && !entry->load_wait_accepted) {
            refuse_waiting({it.endpoint, it.adapter}, *entry, it.expected_wait, out);
        }
        entry->load_wait_accepted = !entry->waiting.empty();
        return;
    }
    entry->unanswered.erase(it.number);
    reroute_waiting({it.endpoint, it.adapter}, now, out);
}

void router::refuse_waiting(const pin_key& key, pin& it, duration wait, router_decisions& out) {
    for (const waiting_request& entry : take_waiting(key, it)) {
        refuse(entry.request, wait, out);
    }
    if (it.running == 0) {
        release(key, it, out);
    }
}

void router::on_recall(const pin_recall& it, time_point now, router_decisions& out) {
    const auto entry = pins_.find({it.endpoint, it.adapter});
    if (entry == pins_.end() || it.daemon != self_) {
        return;
    }
    pin& known = entry->second;
    if (it.drain) {
        known.valid_until = time_point::min();
        known.unanswered.clear();
    }
    if (known.running > 0 || (!known.waiting.empty() && !it.drain)) {
        return;
    }
    release(entry->first, known, out);
    if (known.waiting.empty()) {
        pins_.erase(entry);
    } else {
        request_pin(entry->first, known, now, out);
    }
}

}  // namespace radishpulley::placement
