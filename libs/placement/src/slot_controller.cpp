#include "placement/slot_controller.h"

#include <algorithm>
#include <utility>

namespace radishpulley::placement {
namespace {

constexpr double prefetch_need = 0.001;

double seconds(duration it) {
    return std::chrono::duration<double>(it).count();
}

}  // namespace

slot_controller::slot_controller(endpoint_id endpoint, slot_controller_settings settings, controller_term term,
                         time_point now)
    : endpoint_(std::move(endpoint)),
      settings_(settings),
      term_(std::move(term)),
      evict_from_(now),
      adopt_from_(now),
      popularity_(settings.popularity),
      load_interval_(settings.expected_load),
      own_loads_at_(now) {
    if (term_.first) {
        return;
    }
    evict_from_ = now + settings_.pin_validity + settings_.longest_request + settings_.clock_margin;
    adopt_from_ = now + settings_.report_lag;
    fence_raised_ = !settings_.checks_fencing;
}

// Queries.

bool slot_controller::is_loaded(const adapter_ref& it) const {
    const auto where = slots_.find(it);
    return where != slots_.end() && where->second.state == slot_state::loaded;
}

bool slot_controller::is_pinned(const adapter_ref& it, time_point now) const {
    const auto where = pins_.find(it);
    if (where == pins_.end()) {
        return false;
    }
    return std::any_of(where->second.begin(), where->second.end(),
                       [now](const auto& entry) { return now < entry.second.hold_until; });
}

std::size_t slot_controller::pin_count() const {
    std::size_t n = 0;
    for (const auto& [adapter, pins] : pins_) {
        n += pins.size();
    }
    return n;
}

bool slot_controller::orders_outstanding(time_point now) const {
    const bool awaited = std::any_of(slots_.begin(), slots_.end(),
                                     [](const auto& it) { return !it.second.answered; });
    const bool stray = std::any_of(stray_orders_.begin(), stray_orders_.end(),
                                   [now](const auto& it) { return now < it.second; });
    return awaited || stray;
}

bool slot_controller::may_evict(time_point now) const {
    return now >= evict_from_ && term_.suspects.empty();
}

bool slot_controller::in_use(const adapter_ref& adapter, const slot& it, time_point now) const {
    return it.reported_active > 0 || is_pinned(adapter, now);
}

bool slot_controller::quiet_for(const adapter_ref& adapter, time_point now) const {
    if (settings_.checks_fencing) {
        return true;
    }
    const auto it = stray_orders_.find(adapter);
    return it == stray_orders_.end() || now >= it->second;
}

double slot_controller::need_of(const adapter_ref& adapter, time_point now) const {
    const auto it = wishes_.find(adapter);
    if (it == wishes_.end()) {
        return prefetch_need * popularity_.rate(adapter, now);
    }
    double weight = 0;
    duration oldest{};
    for (const auto& [daemon, entry] : it->second) {
        weight += entry.request.weight;
        oldest = std::max(oldest, entry.request.oldest_wait + (now - entry.heard));
    }
    return weight + seconds(oldest);
}

std::vector<adapter_ref> slot_controller::ready_loads(time_point now) const {
    std::vector<std::pair<double, adapter_ref>> ranked;
    const auto consider = [&](const adapter_ref& adapter) {
        const auto failed = failures_.find(adapter);
        const bool too_early = failed != failures_.end() && now < failed->second.retry_at;
        if (slots_.count(adapter) == 0 && !too_early && quiet_for(adapter, now)) {
            ranked.emplace_back(need_of(adapter, now), adapter);
        }
    };
    for (const auto& [adapter, wishes] : wishes_) {
        consider(adapter);
    }
    if (ranked.empty() && slots_.size() < settings_.slots) {
        const auto favourite = popularity_.most_popular(now, [this](const adapter_ref& it) {
            return slots_.count(it) == 0 && failures_.count(it) == 0;
        });
        if (favourite && popularity_.rate(*favourite, now) >= settings_.prefetch_rate) {
            consider(*favourite);
        }
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<adapter_ref> result;
    result.reserve(ranked.size());
    for (auto& [need, adapter] : ranked) {
        result.push_back(std::move(adapter));
    }
    return result;
}

std::optional<adapter_ref> slot_controller::choose_victim(time_point now) const {
    std::optional<adapter_ref> victim;
    double least = 0;
    if (!may_evict(now)) {
        return victim;
    }
    for (const auto& [adapter, it] : slots_) {
        const bool settled = it.state == slot_state::loaded && it.answered;
        const bool wanted = wishes_.count(adapter) != 0 && !it.closing;
        if (!settled || wanted || in_use(adapter, it, now) || !quiet_for(adapter, now)) {
            continue;
        }
        const double score = popularity_.rate(adapter, now);
        if (!victim || score < least) {
            victim = adapter;
            least = score;
        }
    }
    return victim;
}

std::optional<adapter_ref> slot_controller::choose_recall(time_point now) const {
    std::optional<adapter_ref> choice;
    double least = 0;
    for (const auto& [adapter, it] : slots_) {
        const auto pins = pins_.find(adapter);
        const bool recalled =
            it.recalled_at != time_point::min() && now - it.recalled_at < settings_.permit_retry;
        if (it.state != slot_state::loaded || recalled || it.closing || pins == pins_.end()) {
            continue;
        }
        const bool idle = std::all_of(pins->second.begin(), pins->second.end(), [](const auto& p) {
            return p.second.running == 0 && p.second.waiting == 0;
        });
        const double score = popularity_.rate(adapter, now);
        if (idle && (!choice || score < least)) {
            choice = adapter;
            least = score;
        }
    }
    return choice;
}

std::optional<adapter_ref> slot_controller::choose_closing(time_point now) const {
    std::optional<adapter_ref> choice;
    double least = 0;
    for (const auto& [adapter, it] : slots_) {
        if (it.closing) {
            return std::nullopt;
        }
        const bool settled = it.state == slot_state::loaded && it.answered;
        const bool stayed = now - it.since > settings_.shortest_stay;
        const double score = popularity_.rate(adapter, now);
        if (settled && stayed && (!choice || score < least)) {
            choice = adapter;
            least = score;
        }
    }
    return choice;
}

void slot_controller::reopen_slots(time_point now, slot_controller_decisions& out) {
    for (auto& [adapter, it] : slots_) {
        if (it.closing && it.state == slot_state::loaded && ready_loads(now).empty()) {
            it.closing = false;
            serve_wishes(adapter, now, out);
        }
    }
}

std::uint32_t slot_controller::window_for(const vm_incarnation& daemon) const {
    const auto it = demand_.find(daemon);
    const std::uint32_t own = it == demand_.end() ? 0 : it->second.requests;
    // A quarter more than the engine runs at once keeps its batch full between two grants.
    const std::uint32_t places = settings_.concurrency + settings_.concurrency / 4;
    const std::uint32_t free = places - std::min(places, all_demand_);
    const std::uint32_t share = all_demand_ == 0 ? places : places * own / all_demand_;
    return std::max<std::uint32_t>({1, share, own + free});
}

void slot_controller::set_demand(const vm_incarnation& daemon, std::uint32_t requests, time_point now) {
    const auto it = demand_.try_emplace(daemon).first;
    all_demand_ += requests - it->second.requests;
    it->second = {requests, now};
    if (requests == 0) {
        demand_.erase(it);
    }
}

duration slot_controller::expected_wait() const {
    return load_interval_ * static_cast<int>(std::max<std::size_t>(1, wishes_.size()));
}

engine_digest slot_controller::digest() const {
    return {reported_running_, reported_queued_, settings_.concurrency,
            static_cast<std::uint32_t>(wishes_.size())};
}

std::size_t slot_controller::evicting() const {
    return static_cast<std::size_t>(std::count_if(slots_.begin(), slots_.end(), [](const auto& it) {
        return it.second.state == slot_state::evicting;
    }));
}

// Pins.

slot_controller_decisions slot_controller::on_pin_request(const pin_request& it, time_point now) {
    slot_controller_decisions out;
    if (ended_) {
        return out;
    }
    popularity_.add(it.adapter, it.arrived, now);
    set_demand(it.daemon, it.engine_demand, now);
    const auto pins = pins_.find(it.adapter);
    if (pins != pins_.end()) {
        const auto known = pins->second.find(it.daemon);
        if (known != pins->second.end() && known->second.number > it.number) {
            return out;
        }
    }
    if (adopted_ && is_loaded(it.adapter) && !slots_.at(it.adapter).closing) {
        grant(it, now, out);
        work(now, out);
        return out;
    }
    wish_map& wishes = wishes_[it.adapter];
    const auto [entry, added] = wishes.try_emplace(it.daemon);
    if (!added && entry->second.request.number > it.number) {
        return out;
    }
    if (added) {
        entry->second.since = now;
    }
    entry->second.request = it;
    entry->second.heard = now;
    refuse(it, pin_refusal_reason::loading, expected_wait(), out);
    work(now, out);
    return out;
}

void slot_controller::grant(const pin_request& it, time_point now, slot_controller_decisions& out) {
    slot& where = slots_.at(it.adapter);
    where.last_use = now;
    where.recalled_at = time_point::min();
    pin& entry = pins_[it.adapter][it.daemon];
    entry.number = it.number;
    entry.hold_until =
        std::max(entry.hold_until,
                 now + settings_.pin_validity + settings_.longest_request + settings_.clock_margin);
    entry.running = it.running;
    entry.waiting = it.waiting;
    pin_grant body;
    body.endpoint = endpoint_;
    body.adapter = it.adapter;
    body.daemon = it.daemon;
    body.number = it.number;
    body.fence = term_.fence;
    body.validity = settings_.pin_validity;
    body.window = window_for(it.daemon);
    body.requests_per_second = popularity_.rate(it.adapter, now);
    body.state = digest();
    out.push_back(send_to_daemon{it.daemon, body});
}

void slot_controller::refuse(const pin_request& it, pin_refusal_reason reason, duration wait,
                         slot_controller_decisions& out) const {
    pin_refusal body;
    body.endpoint = endpoint_;
    body.adapter = it.adapter;
    body.daemon = it.daemon;
    body.number = it.number;
    body.fence = term_.fence;
    body.reason = reason;
    body.expected_wait = wait;
    body.state = digest();
    out.push_back(send_to_daemon{it.daemon, body});
}

void slot_controller::refuse_wishes(const adapter_ref& adapter, pin_refusal_reason reason,
                                duration wait, slot_controller_decisions& out) {
    const auto it = wishes_.find(adapter);
    if (it == wishes_.end()) {
        return;
    }
    for (const auto& [daemon, entry] : it->second) {
        refuse(entry.request, reason, wait, out);
    }
    wishes_.erase(it);
}

void slot_controller::serve_wishes(const adapter_ref& adapter, time_point now, slot_controller_decisions& out) {
    const auto it = wishes_.find(adapter);
    if (it == wishes_.end()) {
        return;
    }
    const wish_map wishes = std::move(it->second);
    wishes_.erase(it);
    for (const auto& [daemon, entry] : wishes) {
        grant(entry.request, now, out);
    }
}

slot_controller_decisions slot_controller::on_pin_release(const pin_release& it, time_point now) {
    slot_controller_decisions out;
    if (ended_) {
        return out;
    }
    popularity_.add(it.adapter, it.arrived, now);
    set_demand(it.daemon, it.engine_demand, now);
    const auto wishes = wishes_.find(it.adapter);
    if (wishes != wishes_.end()) {
        const auto entry = wishes->second.find(it.daemon);
        if (entry != wishes->second.end() && entry->second.request.number <= it.number) {
            wishes->second.erase(entry);
        }
        if (wishes->second.empty()) {
            wishes_.erase(wishes);
        }
    }
    const auto pins = pins_.find(it.adapter);
    if (pins != pins_.end()) {
        const auto entry = pins->second.find(it.daemon);
        if (entry != pins->second.end() && entry->second.number <= it.number) {
            pins->second.erase(entry);
        }
        if (pins->second.empty()) {
            pins_.erase(pins);
        }
    }
    work(now, out);
    return out;
}

slot_controller_decisions slot_controller::on_daemon_ended(const vm_incarnation& who, time_point now) {
    slot_controller_decisions out;
    const auto suspect = std::find(term_.suspects.begin(), term_.suspects.end(), who);
    if (suspect != term_.suspects.end()) {
        term_.suspects.erase(suspect);
        evict_from_ = std::max(evict_from_, now + settings_.pin_validity +
                                                settings_.longest_request + settings_.clock_margin);
    }
    set_demand(who, 0, now);
    const time_point last_end = now + settings_.longest_request + settings_.clock_margin;
    for (auto& [adapter, pins] : pins_) {
        const auto it = pins.find(who);
        if (it != pins.end() && it->second.daemon_ended == time_point::max()) {
            it->second.hold_until = std::min(it->second.hold_until, last_end);
            it->second.daemon_ended = now;
            it->second.running = 0;
            it->second.waiting = 0;
        }
    }
    for (auto it = wishes_.begin(); it != wishes_.end();) {
        it->second.erase(who);
        it = it->second.empty() ? wishes_.erase(it) : std::next(it);
    }
    return out;
}

void slot_controller::recall(const adapter_ref& adapter, bool drain, slot_controller_decisions& out) const {
    const auto pins = pins_.find(adapter);
    if (pins == pins_.end()) {
        return;
    }
    for (const auto& [daemon, it] : pins->second) {
        if (it.daemon_ended == time_point::max()) {
            out.push_back(
                send_to_daemon{daemon, pin_recall{endpoint_, adapter, daemon, term_.fence, drain}});
        }
    }
}

// Terms.

keeper_handoff slot_controller::hand_off(time_point now) {
    ended_ = true;
    keeper_handoff result;
    result.endpoint = endpoint_;
    result.fence = term_.fence;
    result.from = term_.self;
    result.unknown_pins = std::max(duration::zero(), evict_from_ - now);
    if (!term_.suspects.empty()) {
        result.unknown_pins = duration::max();
    }
    for (const auto& [adapter, pins] : pins_) {
        for (const auto& [daemon, it] : pins) {
            if (now < it.hold_until) {
                result.pins.push_back({daemon, adapter, it.number, it.hold_until - now});
            }
        }
    }
    return result;
}

slot_controller_decisions slot_controller::on_handoff(const keeper_handoff& it, time_point now) {
    slot_controller_decisions out;
    if (ended_ || it.fence >= term_.fence) {
        return out;
    }
    const auto longest = settings_.pin_validity + settings_.longest_request;
    for (const pin_record& record : it.pins) {
        pin& entry = pins_[record.adapter][record.daemon];
        const duration remaining = std::min<duration>(record.remaining, longest);
        entry.hold_until = std::max(entry.hold_until, now + remaining + settings_.clock_margin);
    }
    const auto suspect = std::find(term_.suspects.begin(), term_.suspects.end(), it.from);
    const bool was_suspect = suspect != term_.suspects.end();
    if (was_suspect) {
        term_.suspects.erase(suspect);
    }
    // A term is followed by a vacant entry and then by the next term, or by a replacement.
    const fencing_number next = it.fence + (was_suspect ? 1 : 2);
    if (next == term_.fence && it.unknown_pins != duration::max()) {
        evict_from_ = std::min(evict_from_, now + it.unknown_pins);
    }
    work(now, out);
    return out;
}

void slot_controller::on_weight_store_holder(fencing_number fence) {
    store_fence_ = std::max(store_fence_, fence);
}

}  // namespace radishpulley::placement
