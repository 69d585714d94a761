#include "placement/router.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace radishpulley::placement {
namespace {

constexpr std::size_t fairness_scan = 64;
constexpr std::size_t most_prefixes = 4096;
constexpr std::size_t most_cached_candidates = 8192;
constexpr duration forget_interval = std::chrono::seconds(30);
/// Greatest factor of a rare adapter's copy.
constexpr double most_scarcity = 1000;
constexpr duration least_retry_after = std::chrono::seconds(1);

std::string hash_subject(const adapter_ref& it) {
    return it.adapter.str() + '|';
}

}  // namespace

router::router(vm_incarnation self, zone_id zone, region_id region, router_settings settings)
    : self_(std::move(self)),
      zone_(std::move(zone)),
      region_(std::move(region)),
      settings_(settings),
      mean_run_(settings.expected_run) {}

// Choice of engine.

const std::vector<endpoint_id>& router::candidates_for(const adapter_ref& adapter,
                                                       const region_id& usual_region) const {
    if (candidates_.size() > most_cached_candidates) {
        candidates_.clear();
    }
    const auto [it, added] = candidates_.try_emplace({adapter, usual_region});
    if (added) {
        it->second = rank_engines(adapter, usual_region);
    }
    return it->second;
}

std::vector<endpoint_id> router::rank_engines(const adapter_ref& adapter,
                                              const region_id& usual_region) const {
    struct candidate {
        bool near = false;
        std::uint64_t weight = 0;
        endpoint_id endpoint;
    };
    std::vector<candidate> ranked;
    const std::string subject = hash_subject(adapter);
    for (const auto& [endpoint, engine] : engines_) {
        if (!engine.info.draining && !engine.holder.vm.empty()) {
            ranked.push_back({engine.info.region == usual_region,
                              stable_hash(subject + endpoint.str()), endpoint});
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const candidate& a, const candidate& b) {
        return a.near != b.near ? a.near : a.weight > b.weight;
    });
    ranked.resize(std::min(ranked.size(), settings_.candidates));
    std::vector<endpoint_id> result;
    for (candidate& it : ranked) {
        result.push_back(std::move(it.endpoint));
    }
    return result;
}

duration router::queue_wait(const engine_view& engine) const {
    const std::uint32_t reported = engine.state.running + engine.state.queued;
    const std::uint32_t load = std::max(reported, engine.running) + engine.waiting + 1;
    const std::uint32_t places = std::max<std::uint32_t>(1, engine.info.concurrency);
    if (load <= places) {
        return duration::zero();
    }
    return mean_run_ * (load - places) / places;
}

bool router::has_copy(const engine_view& engine, const adapter_ref& adapter, time_point now) const {
    const auto it = engine.copies.find(adapter);
    return it != engine.copies.end() && now - it->second < settings_.copy_memory;
}

// A load takes budget from every other adapter, so a copy of a rare one must gain more.
duration router::copy_cost(const adapter_ref& adapter) const {
    const auto it = rates_.find(adapter);
    const double rate = it == rates_.end() ? 0 : it->second;
    const double usual = settings_.copy_requests_per_second;
    const double scarcity = std::max(1.0, usual / std::max(rate, usual / most_scarcity));
    return std::chrono::duration_cast<duration>(settings_.load_cost * scarcity);
}

duration router::cost_of(const engine_view& engine, std::size_t rank, const placement_request& it,
                         time_point now) const {
    duration cost = queue_wait(engine);
    const auto pin = pins_.find({engine.info.endpoint, it.adapter});
    const bool present = pin != pins_.end() && now < pin->second.valid_until;
    const bool under_way = pin != pins_.end() && !pin->second.waiting.empty();
    if (!present && under_way) {
        cost += pin->second.expected_wait;
    }
    if (!present && !under_way && rank > 0 && !has_copy(engine, it.adapter, now)) {
        cost += copy_cost(it.adapter);
    }
    if (engine.info.region != region_) {
        cost += settings_.region_cost;
    } else if (engine.info.zone != zone_) {
        cost += settings_.zone_cost;
    }
    const auto prefix = engine.prefixes.find(it.prefix);
    const bool cached = it.prefix != 0 && prefix != engine.prefixes.end() &&
                        now - prefix->second < settings_.prefix_life;
    return cached ? cost - settings_.prefix_gain : cost;
}

std::optional<router::choice> router::choose(const placement_request& it, time_point now,
                                             const endpoint_id& avoid) const {
    std::optional<choice> best;
    duration best_cost{};
    std::size_t rank = 0;
    for (const endpoint_id& endpoint : candidates_for(it.adapter, it.usual_region)) {
        const engine_view& engine = engines_.at(endpoint);
        const duration cost = cost_of(engine, rank, it, now);
        ++rank;
        if (endpoint != avoid && (!best || cost < best_cost)) {
            best = choice{endpoint, queue_wait(engine)};
            best_cost = cost;
        }
    }
    return best;
}

// Requests.

bool router::crowded_out(const client_account_id& account) const {
    if (waiting_at_.size() >= settings_.most_waiting) {
        return true;
    }
    const auto it = waiting_by_account_.find(account);
    const std::size_t own = it == waiting_by_account_.end() ? 0 : it->second;
    const bool others_wait = own < waiting_at_.size();
    const double most = settings_.account_share * static_cast<double>(settings_.most_waiting);
    return others_wait && static_cast<double>(own) >= most;
}

void router::refuse(const placement_request& it, duration wait, router_decisions& out) const {
    out.push_back(refuse_request{it.id, std::max(wait, least_retry_after)});
}

void router::place(const placement_request& it, time_point since, time_point now,
                   const endpoint_id& avoid, router_decisions& out) {
    std::optional<choice> chosen = choose(it, now, avoid);
    if (!chosen) {
        chosen = choose(it, now, endpoint_id());
    }
    if (!chosen) {
        refuse(it, settings_.expected_run, out);
        return;
    }
    if (crowded_out(it.account) ||
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
    std::size_t& own = waiting_by_account_[it.account];
    if (own == 0) {
        double& served = served_[it.account];
        served = std::max(served, virtual_time_);
    }
    ++own;
    flush(key.endpoint, now, out);
    if (entry.waiting.empty()) {
        return;
    }
    const bool pinned = now < entry.valid_until;
    const duration spacing = pinned ? settings_.window_refresh : settings_.ask_spacing;
    if (entry.asked_at == time_point::min() || now - entry.asked_at >= spacing) {
        ask(key, entry, now, out);
    }
}

router_decisions router::on_request(const placement_request& it, time_point now) {
    router_decisions out;
    place(it, now, now, endpoint_id(), out);
    return out;
}

std::vector<router::waiting_request> router::take_waiting(const pin_key& key, pin& it) {
    std::vector<waiting_request> taken = std::move(it.waiting);
    it.waiting.clear();
    engines_.at(key.endpoint).waiting_adapters.erase(key.adapter);
    for (const waiting_request& entry : taken) {
        waiting_at_.erase(entry.request.id);
        --waiting_by_account_[entry.request.account];
        --engines_.at(key.endpoint).waiting;
    }
    return taken;
}

void router::place_again(const pin_key& key, time_point now, router_decisions& out) {
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
    mean_run_ += duration(static_cast<duration::rep>(settings_.run_smoothing * ran));
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
    const auto where = waiting_at_.find(id);
    if (where == waiting_at_.end()) {
        return;
    }
    const pin_key key = where->second;
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
    waiting_at_.erase(where);
}

router_decisions router::on_adapter_missing(const endpoint_id& endpoint, const adapter_ref& adapter,
                                            time_point now) {
    router_decisions out;
    pin* entry = find_pin(endpoint, adapter);
    if (entry == nullptr) {
        return out;
    }
    entry->valid_until = time_point::min();
    entry->sent.clear();
    ask({endpoint, adapter}, *entry, now, out);
    return out;
}

// Sending.

void router::flush(const endpoint_id& endpoint, time_point now, router_decisions& out) {
    engine_view& engine = engines_.at(endpoint);
    while (engine.running < engine.window && !engine.info.draining) {
        auto best = pins_.end();
        std::size_t best_position = 0;
        double best_served = 0;
        bool best_batched = false;
        const pin_key first{endpoint, adapter_ref{}};
        for (auto it = pins_.lower_bound(first);
             it != pins_.end() && it->first.endpoint == endpoint; ++it) {
            if (now >= it->second.valid_until) {
                continue;
            }
            const std::size_t n = std::min(it->second.waiting.size(), fairness_scan);
            for (std::size_t i = 0; i < n; ++i) {
                const double served = served_[it->second.waiting[i].request.account];
                const bool batched = it->second.running > 0;
                const bool better = best == pins_.end() || served < best_served ||
                                    (served == best_served && batched && !best_batched);
                if (better) {
                    best = it;
                    best_position = i;
                    best_served = served;
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

void router::send(const pin_key& key, pin& from, std::size_t position, time_point now,
                  router_decisions& out) {
    const auto it = from.waiting.begin() + static_cast<std::ptrdiff_t>(position);
    const placement_request request = std::move(it->request);
    from.waiting.erase(it);
    if (from.waiting.empty()) {
        engines_.at(key.endpoint).waiting_adapters.erase(key.adapter);
    }
    waiting_at_.erase(request.id);
    --waiting_by_account_[request.account];
    double& served = served_[request.account];
    virtual_time_ = std::max(virtual_time_, served);
    served += 1 / std::max(request.weight, 1e-6);
    engine_view& engine = engines_.at(key.endpoint);
    --engine.waiting;
    ++engine.running;
    if (request.prefix != 0) {
        engine.prefixes[request.prefix] = now;
    }
    ++from.running;
    from.last_use = now;
    send_request decision;
    decision.request = request.id;
    decision.endpoint = key.endpoint;
    decision.adapter = key.adapter;
    decision.fence = from.fence;
    decision.send_by = from.valid_until;
    decision.end_by = now + settings_.longest_request;
    out.push_back(std::move(decision));
    running_[request.id] = {request, key, now};
}

// Pins.

router::pin* router::find_pin(const endpoint_id& endpoint, const adapter_ref& adapter) {
    const auto it = pins_.find({endpoint, adapter});
    return it == pins_.end() ? nullptr : &it->second;
}

void router::ask(const pin_key& key, pin& it, time_point now, router_decisions& out) {
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
    it.sent[body.number] = now;
    it.asked_at = now;
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
    it.held = false;
    it.sent.clear();
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

void router::note_state(const endpoint_id& endpoint, const engine_digest& state) {
    engines_.at(endpoint).state = state;
}

void router::on_grant(const pin_grant& it, time_point now, router_decisions& out) {
    pin* entry = find_pin(it.endpoint, it.adapter);
    if (entry == nullptr || it.daemon != self_ || it.fence < engines_.at(it.endpoint).fence) {
        return;
    }
    const auto asked = entry->sent.find(it.number);
    if (asked == entry->sent.end()) {
        return;
    }
    const time_point end = asked->second + it.validity - settings_.clock_margin;
    entry->valid_until = std::max(entry->valid_until, end);
    entry->held = true;
    entry->fence = it.fence;
    entry->answered = it.number;
    entry->expected_wait = duration::zero();
    entry->waits_for_load = false;
    entry->sent.erase(entry->sent.begin(), std::next(asked));
    engine_view& engine = engines_.at(it.endpoint);
    engine.window = it.window;
    engine.copies[it.adapter] = now;
    rates_[it.adapter] = it.requests_per_second;
    note_state(it.endpoint, it.state);
    flush(it.endpoint, now, out);
}

void router::on_refusal(const pin_refusal& it, time_point now, router_decisions& out) {
    pin* entry = find_pin(it.endpoint, it.adapter);
    if (entry == nullptr || it.daemon != self_ || it.fence < engines_.at(it.endpoint).fence) {
        return;
    }
    if (entry->sent.count(it.number) == 0) {
        return;
    }
    note_state(it.endpoint, it.state);
    entry->expected_wait = it.expected_wait;
    if (it.reason == pin_refusal_reason::loading) {
        // The number stays open: the grant that follows the load carries it again.
        const bool too_long = it.expected_wait > settings_.longest_load_wait;
        if (too_long && !entry->waits_for_load) {
            refuse_waiting({it.endpoint, it.adapter}, *entry, it.expected_wait, out);
        }
        entry->waits_for_load = !entry->waiting.empty();
        return;
    }
    entry->sent.erase(it.number);
    place_again({it.endpoint, it.adapter}, now, out);
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
        known.sent.clear();
    }
    if (known.running > 0 || (!known.waiting.empty() && !it.drain)) {
        return;
    }
    release(entry->first, known, out);
    if (known.waiting.empty()) {
        pins_.erase(entry);
    } else {
        ask(entry->first, known, now, out);
    }
}

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

// A pin that may send nothing more is released as soon as its requests ended, also while others
// wait for the next one: its holder may have closed the adapter.
void router::release_expired(const pin_key& key, pin& it, time_point now, router_decisions& out) {
    if (!it.held || it.running > 0 || now < it.valid_until) {
        return;
    }
    release(key, it, out);
    if (!it.waiting.empty()) {
        ask(key, it, now, out);
    }
}

void router::maintain(const pin_key& key, pin& it, time_point now, router_decisions& out) {
    release_expired(key, it, now, out);
    // Requests that run need no renewal: the holder counts them until they have certainly ended.
    const bool wanted = it.arrived > 0 || !it.waiting.empty();
    const bool ends_soon = it.valid_until < now + settings_.renew_before;
    const bool asked = it.asked_at != time_point::min();
    const bool due = !asked || now - it.asked_at >= settings_.answer_timeout;
    // Requests that wait for a place need a window that follows the other daemons' demand.
    const bool held_back =
        !it.waiting.empty() && asked && now - it.asked_at >= settings_.window_refresh;
    if ((wanted && ends_soon && due) || held_back) {
        ask(key, it, now, out);
    }
}

router_decisions router::tick(time_point now) {
    router_decisions out;
    std::vector<pin_key> silent;
    for (auto it = pins_.begin(); it != pins_.end();) {
        const pin_key& key = it->first;
        pin& entry = it->second;
        expire_waiting(key, entry, now, out);
        maintain(key, entry, now, out);
        const bool busy = entry.running > 0 || !entry.waiting.empty();
        const bool idle = !busy && now - entry.last_use >= settings_.idle_pin;
        if (entry.sent.size() > settings_.most_unanswered) {
            entry.sent.erase(entry.sent.begin());
            if (now >= entry.valid_until && !entry.waiting.empty() &&
                entry.expected_wait == duration::zero()) {
                silent.push_back(key);
            }
        }
        if (idle) {
            release(key, entry, out);
        }
        it = idle ? pins_.erase(it) : std::next(it);
    }
    for (const pin_key& key : silent) {
        place_again(key, now, out);
    }
    for (auto& [endpoint, engine] : engines_) {
        flush(endpoint, now, out);
        if (engine.prefixes.size() > most_prefixes) {
            engine.prefixes.clear();
        }
    }
    if (now - forgot_at_ > forget_interval) {
        forget_old(now);
    }
    return out;
}

void router::forget_old(time_point now) {
    forgot_at_ = now;
    std::set<adapter_ref> remembered;
    for (auto& [endpoint, engine] : engines_) {
        for (auto it = engine.copies.begin(); it != engine.copies.end();) {
            const bool old = now - it->second >= settings_.copy_memory;
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
    std::vector<waiting_request> homeless;
    for (auto& [key, entry] : pins_) {
        engine_view& engine = engines_.at(key.endpoint);
        const bool removed = kept.count(key.endpoint) == 0;
        engine.info.draining = engine.info.draining || removed;
        if (engine.info.draining) {
            std::vector<waiting_request> taken = take_waiting(key, entry);
            std::move(taken.begin(), taken.end(), std::back_inserter(homeless));
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
    for (const waiting_request& it : homeless) {
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
        it->second.sent.clear();
        if (it->second.running > 0 || !it->second.waiting.empty()) {
            ask(it->first, it->second, now, out);
        }
    }
    return out;
}

}  // namespace radishpulley::placement
