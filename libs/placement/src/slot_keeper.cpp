#include "placement/slot_keeper.h"

#include <algorithm>
#include <utility>

namespace radishpulley::placement {
namespace {

/// Bits of a fencing number that count the orders within one term.
constexpr int order_bits = 24;
constexpr std::uint32_t most_doublings = 4;
constexpr double prefetch_need = 0.001;
/// Requests a second: one in four hours.
constexpr double least_popularity = 1.0 / (4 * 3600);
constexpr double most_own_loads = 1;
/// Loads over which the time between two is averaged.
constexpr int load_smoothing = 8;
constexpr std::size_t most_permit_requests = 64;

double seconds(duration it) {
    return std::chrono::duration<double>(it).count();
}

}  // namespace

slot_keeper::slot_keeper(endpoint_id endpoint, keeper_settings settings, keeper_term term,
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

bool slot_keeper::is_loaded(const adapter_ref& it) const {
    const auto where = slots_.find(it);
    return where != slots_.end() && where->second.state == slot_state::loaded;
}

bool slot_keeper::is_pinned(const adapter_ref& it, time_point now) const {
    const auto where = pins_.find(it);
    if (where == pins_.end()) {
        return false;
    }
    return std::any_of(where->second.begin(), where->second.end(),
                       [now](const auto& entry) { return now < entry.second.hold_until; });
}

std::size_t slot_keeper::pin_count() const {
    std::size_t n = 0;
    for (const auto& [adapter, pins] : pins_) {
        n += pins.size();
    }
    return n;
}

bool slot_keeper::orders_outstanding(time_point now) const {
    const bool awaited = std::any_of(slots_.begin(), slots_.end(),
                                     [](const auto& it) { return !it.second.answered; });
    const bool stray = std::any_of(stray_orders_.begin(), stray_orders_.end(),
                                   [now](const auto& it) { return now < it.second; });
    return awaited || stray;
}

bool slot_keeper::may_evict(time_point now) const {
    return now >= evict_from_ && term_.suspects.empty();
}

bool slot_keeper::in_use(const adapter_ref& adapter, const slot& it, time_point now) const {
    return it.reported_active > 0 || is_pinned(adapter, now);
}

bool slot_keeper::quiet_for(const adapter_ref& adapter, time_point now) const {
    if (settings_.checks_fencing) {
        return true;
    }
    const auto it = stray_orders_.find(adapter);
    return it == stray_orders_.end() || now >= it->second;
}

double slot_keeper::need_of(const adapter_ref& adapter, time_point now) const {
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

std::vector<adapter_ref> slot_keeper::ready_loads(time_point now) const {
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

std::optional<adapter_ref> slot_keeper::choose_victim(time_point now) const {
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

std::optional<adapter_ref> slot_keeper::choose_recall(time_point now) const {
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

std::optional<adapter_ref> slot_keeper::choose_closing(time_point now) const {
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

void slot_keeper::reopen_slots(time_point now, keeper_decisions& out) {
    for (auto& [adapter, it] : slots_) {
        if (it.closing && it.state == slot_state::loaded && ready_loads(now).empty()) {
            it.closing = false;
            serve_wishes(adapter, now, out);
        }
    }
}

std::uint32_t slot_keeper::window_for(const vm_incarnation& daemon) const {
    const auto it = demand_.find(daemon);
    const std::uint32_t own = it == demand_.end() ? 0 : it->second;
    // A quarter more than the engine runs at once keeps its batch full between two grants.
    const std::uint32_t places = settings_.concurrency + settings_.concurrency / 4;
    const std::uint32_t free = places - std::min(places, all_demand_);
    const std::uint32_t share = all_demand_ == 0 ? places : places * own / all_demand_;
    return std::max<std::uint32_t>({1, share, own + free});
}

void slot_keeper::set_demand(const vm_incarnation& daemon, pin& it, std::uint32_t running,
                             std::uint32_t waiting) {
    const std::uint32_t before = it.running + it.waiting;
    it.running = running;
    it.waiting = waiting;
    all_demand_ += running + waiting - before;
    std::uint32_t& own = demand_[daemon];
    own += running + waiting - before;
    if (own == 0) {
        demand_.erase(daemon);
    }
}

slot_keeper::pin_map::iterator slot_keeper::erase_pin(pin_map& pins, pin_map::iterator it) {
    set_demand(it->first, it->second, 0, 0);
    return pins.erase(it);
}

duration slot_keeper::expected_wait() const {
    return load_interval_ * static_cast<int>(std::max<std::size_t>(1, wishes_.size()));
}

engine_digest slot_keeper::digest() const {
    return {reported_running_, reported_queued_, settings_.concurrency,
            static_cast<std::uint32_t>(wishes_.size())};
}

std::size_t slot_keeper::evicting() const {
    return static_cast<std::size_t>(std::count_if(slots_.begin(), slots_.end(), [](const auto& it) {
        return it.second.state == slot_state::evicting;
    }));
}

// Pins.

keeper_decisions slot_keeper::on_pin_request(const pin_request& it, time_point now) {
    keeper_decisions out;
    if (ended_) {
        return out;
    }
    popularity_.add(it.adapter, it.arrived, now);
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

void slot_keeper::grant(const pin_request& it, time_point now, keeper_decisions& out) {
    slot& where = slots_.at(it.adapter);
    where.last_use = now;
    where.recalled_at = time_point::min();
    pin& entry = pins_[it.adapter][it.daemon];
    entry.number = it.number;
    entry.hold_until =
        std::max(entry.hold_until,
                 now + settings_.pin_validity + settings_.longest_request + settings_.clock_margin);
    set_demand(it.daemon, entry, it.running, it.waiting);
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

void slot_keeper::refuse(const pin_request& it, pin_refusal_reason reason, duration wait,
                         keeper_decisions& out) const {
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

void slot_keeper::refuse_wishes(const adapter_ref& adapter, pin_refusal_reason reason,
                                duration wait, keeper_decisions& out) {
    const auto it = wishes_.find(adapter);
    if (it == wishes_.end()) {
        return;
    }
    for (const auto& [daemon, entry] : it->second) {
        refuse(entry.request, reason, wait, out);
    }
    wishes_.erase(it);
}

void slot_keeper::serve_wishes(const adapter_ref& adapter, time_point now, keeper_decisions& out) {
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

keeper_decisions slot_keeper::on_pin_release(const pin_release& it, time_point now) {
    keeper_decisions out;
    if (ended_) {
        return out;
    }
    popularity_.add(it.adapter, it.arrived, now);
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
            erase_pin(pins->second, entry);
        }
        if (pins->second.empty()) {
            pins_.erase(pins);
        }
    }
    work(now, out);
    return out;
}

keeper_decisions slot_keeper::on_daemon_ended(const vm_incarnation& who, time_point now) {
    keeper_decisions out;
    const auto suspect = std::find(term_.suspects.begin(), term_.suspects.end(), who);
    if (suspect != term_.suspects.end()) {
        term_.suspects.erase(suspect);
        evict_from_ = std::max(evict_from_, now + settings_.pin_validity +
                                                settings_.longest_request + settings_.clock_margin);
    }
    const time_point last_end = now + settings_.longest_request + settings_.clock_margin;
    for (auto& [adapter, pins] : pins_) {
        const auto it = pins.find(who);
        if (it != pins.end() && it->second.daemon_ended == time_point::max()) {
            it->second.hold_until = std::min(it->second.hold_until, last_end);
            it->second.daemon_ended = now;
            set_demand(who, it->second, 0, 0);
        }
    }
    for (auto it = wishes_.begin(); it != wishes_.end();) {
        it->second.erase(who);
        it = it->second.empty() ? wishes_.erase(it) : std::next(it);
    }
    return out;
}

void slot_keeper::recall(const adapter_ref& adapter, bool drain, keeper_decisions& out) const {
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

keeper_handoff slot_keeper::hand_off(time_point now) {
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

keeper_decisions slot_keeper::on_handoff(const keeper_handoff& it, time_point now) {
    keeper_decisions out;
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

void slot_keeper::on_weight_store_holder(fencing_number fence) {
    store_fence_ = std::max(store_fence_, fence);
}

// Reports.

void slot_keeper::note_engine(const std::string& incarnation, time_point now,
                              keeper_decisions& out) {
    if (incarnation.empty() || incarnation == engine_incarnation_) {
        return;
    }
    const bool restarted = !engine_incarnation_.empty();
    if (restarted) {
        past_incarnations_.insert(engine_incarnation_);
    }
    engine_incarnation_ = incarnation;
    report_sequence_ = 0;
    if (!restarted) {
        return;
    }
    for (auto& [adapter, it] : slots_) {
        finish_permit(it, out);
        recall(adapter, /*drain=*/true, out);
        if (!it.answered) {
            // It may have been sent to the new process.
            stray_orders_[adapter] = now + settings_.order_silence;
        }
    }
    slots_.clear();
    left_at_.clear();
    reported_running_ = 0;
    reported_queued_ = 0;
    adopted_ = false;
}

keeper_decisions slot_keeper::on_report(const engine_report& it, time_point now) {
    keeper_decisions out;
    if (ended_ || it.endpoint != endpoint_ || past_incarnations_.count(it.engine_incarnation)) {
        return out;
    }
    note_engine(it.engine_incarnation, now, out);
    if (it.sequence <= report_sequence_) {
        return out;
    }
    report_sequence_ = it.sequence;
    reported_running_ = it.running;
    reported_queued_ = it.queued;
    if (!fence_raised_) {
        raise_fence(it, now, out);
        return out;
    }
    if (now < adopt_from_) {
        return out;
    }
    if (!adopted_) {
        adopt(it, now);
    }
    compare(it, now, out);
    release_pins_of_ended(it, now);
    work(now, out);
    return out;
}

void slot_keeper::adopt(const engine_report& it, time_point now) {
    adopted_ = true;
    for (const reported_adapter& entry : it.adapters) {
        const auto [where, added] = slots_.try_emplace(entry.adapter);
        slot& adopted = where->second;
        if (!added) {
            continue;
        }
        adopted.since = now;
        const bool loaded = entry.state == reported_state::loaded;
        adopted.state = loaded ? slot_state::loaded : slot_state::loading;
        adopted.answered = loaded;
        adopted.answer_lost = !loaded;
        adopted.ordered_at = now;
    }
}

void slot_keeper::compare(const engine_report& it, time_point now, keeper_decisions& out) {
    std::map<adapter_ref, const reported_adapter*> reported;
    for (const reported_adapter& entry : it.adapters) {
        reported[entry.adapter] = &entry;
    }
    for (auto where = slots_.begin(); where != slots_.end();) {
        const auto seen = reported.find(where->first);
        slot& known = where->second;
        known.reported_active = seen == reported.end() ? 0 : seen->second->active;
        const bool old_enough = now - known.since > settings_.report_lag;
        const bool lost = known.state == slot_state::loaded && known.answered &&
                          seen == reported.end() && old_enough;
        if (lost) {
            recall(where->first, /*drain=*/true, out);
        }
        where = lost ? slots_.erase(where) : std::next(where);
    }
    for (const auto& [adapter, entry] : reported) {
        const auto left = left_at_.find(adapter);
        const bool may_be_old =
            left != left_at_.end() && now - left->second <= settings_.report_lag;
        if (entry->state == reported_state::loaded && slots_.count(adapter) == 0 && !may_be_old) {
            slot& found = slots_[adapter];
            found.state = slot_state::loaded;
            found.since = now;
            found.reported_active = entry->active;
        }
    }
    for (const auto& [adapter, where] : slots_) {
        if (where.state == slot_state::loaded && !where.closing) {
            serve_wishes(adapter, now, out);
        }
    }
}

void slot_keeper::release_pins_of_ended(const engine_report& it, time_point now) {
    const duration silence = settings_.order_silence + settings_.report_lag;
    std::set<adapter_ref> active;
    for (const reported_adapter& entry : it.adapters) {
        if (entry.active > 0) {
            active.insert(entry.adapter);
        }
    }
    for (auto& [adapter, pins] : pins_) {
        for (auto entry = pins.begin(); entry != pins.end();) {
            const time_point ended = entry->second.daemon_ended;
            const bool silent = ended != time_point::max() && now - ended > silence;
            entry =
                silent && active.count(adapter) == 0 ? erase_pin(pins, entry) : std::next(entry);
        }
    }
}

// Orders.

void slot_keeper::give(order_kind kind, const adapter_ref& adapter, slot& where, time_point now,
                       keeper_decisions& out) {
    engine_order order;
    order.endpoint = endpoint_;
    order.kind = kind;
    order.adapter = adapter;
    order.fence = (term_.fence << order_bits) + ++order_count_;
    where.state = kind == order_kind::load ? slot_state::loading : slot_state::evicting;
    where.order = order.fence;
    where.ordered_at = now;
    where.answered = false;
    where.answer_lost = false;
    out.push_back(give_order{order});
}

// Until the engine has seen this term's fencing number, orders of the term before may still reach
// it. Loading what is loaded has no other effect than to show the number.
void slot_keeper::raise_fence(const engine_report& it, time_point now, keeper_decisions& out) {
    if (it.adapters.empty()) {
        fence_raised_ = true;
        return;
    }
    if (slots_.empty()) {
        const adapter_ref& adapter = it.adapters.front().adapter;
        give(order_kind::load, adapter, slots_[adapter], now, out);
    }
}

keeper_decisions slot_keeper::on_order_result(const order_result& it, time_point now) {
    keeper_decisions out;
    if (ended_ || past_incarnations_.count(it.engine_incarnation)) {
        return out;
    }
    note_engine(it.engine_incarnation, now, out);
    const auto where = slots_.find(it.order.adapter);
    if (where == slots_.end() || where->second.order != it.order.fence) {
        return out;
    }
    if (it.outcome == order_outcome::fenced) {
        ended_ = true;
        return out;
    }
    if (it.outcome == order_outcome::unknown) {
        where->second.answer_lost = true;
        stray_orders_[it.order.adapter] = now + settings_.order_silence;
        return out;
    }
    if (!fence_raised_) {
        // A failure may come from before the engine looked at the number.
        fence_raised_ = it.outcome == order_outcome::done;
        adopt_from_ = std::max(adopt_from_, now + settings_.report_lag);
        slots_.clear();
        return out;
    }
    where->second.answered = true;
    where->second.since = now;
    if (it.order.kind == order_kind::load) {
        on_load_result(it, where->second, now, out);
    } else {
        on_evict_result(it, where->second, now);
    }
    work(now, out);
    return out;
}

void slot_keeper::on_load_result(const order_result& it, slot& where, time_point now,
                                 keeper_decisions& out) {
    const adapter_ref adapter = it.order.adapter;
    finish_permit(where, out);
    if (it.outcome == order_outcome::done) {
        where.state = slot_state::loaded;
        where.last_use = now;
        failures_.erase(adapter);
        note_load(adapter, now);
        serve_wishes(adapter, now, out);
        return;
    }
    slots_.erase(adapter);
    left_at_[adapter] = now;
    failure& failed = failures_[adapter];
    const std::uint32_t doublings = std::min(failed.count, most_doublings);
    const duration delay = settings_.failed_load_delay * (1 << doublings);
    ++failed.count;
    failed.retry_at = now + delay;
    refuse_wishes(adapter, pin_refusal_reason::load_failed, delay, out);
}

// The time between loads says how long wishes wait, whatever holds the loads back.
void slot_keeper::note_load(const adapter_ref& adapter, time_point now) {
    const auto it = wishes_.find(adapter);
    if (it == wishes_.end()) {
        return;
    }
    time_point wished = now;
    for (const auto& [daemon, entry] : it->second) {
        wished = std::min(wished, entry.since);
    }
    const duration interval = now - std::max(wished, last_load_);
    load_interval_ += (interval - load_interval_) / load_smoothing;
    last_load_ = now;
}

void slot_keeper::on_evict_result(const order_result& it, slot& where, time_point now) {
    if (it.outcome == order_outcome::failed) {
        where.state = slot_state::loaded;
        where.closing = false;
        return;
    }
    left_at_[it.order.adapter] = now;
    slots_.erase(it.order.adapter);
}

void slot_keeper::repeat_orders(time_point now, keeper_decisions& out) {
    for (auto& [adapter, it] : slots_) {
        const bool due = now - it.ordered_at >= settings_.order_retry;
        if (it.answered || !it.answer_lost || !due) {
            continue;
        }
        const bool evict = it.state == slot_state::evicting;
        give(evict ? order_kind::evict : order_kind::load, adapter, it, now, out);
    }
}

// Loads.

keeper_decisions slot_keeper::on_permit(const load_permit& it, time_point now) {
    keeper_decisions out;
    if (it.endpoint != endpoint_ || it.holder != term_.self) {
        return out;
    }
    const auto asked = permit_requests_.find(it.number);
    const bool in_time = asked != permit_requests_.end() && now < asked->second + it.validity;
    const auto id = std::make_pair(it.fence, it.permit);
    if (id <= last_permit_) {
        return out;
    }
    if (ended_ || !in_time || it.fence < store_fence_) {
        return_permit(it, out);
        return out;
    }
    on_weight_store_holder(it.fence);
    last_permit_ = id;
    permits_.push_back(it);
    work(now, out);
    return out;
}

void slot_keeper::return_permit(const load_permit& it, keeper_decisions& out) const {
    out.push_back(send_to_weight_store{
        permit_done{term_.self, endpoint_, it.permit, it.fence, /*used=*/false}});
}

void slot_keeper::finish_permit(slot& where, keeper_decisions& out) const {
    if (where.permit) {
        out.push_back(send_to_weight_store{permit_done{term_.self, endpoint_, where.permit->permit,
                                                       where.permit->fence, /*used=*/true}});
        where.permit.reset();
    }
}

void slot_keeper::start_loads(time_point now, keeper_decisions& out) {
    for (const adapter_ref& adapter : ready_loads(now)) {
        const bool own = own_loads_ >= 1;
        if (permits_.empty() && !own) {
            return;
        }
        if (slots_.size() >= settings_.slots) {
            make_room(now, out);
            return;
        }
        slot& where = slots_[adapter];
        where.since = now;
        if (permits_.empty()) {
            own_loads_ -= 1;
        } else {
            where.permit = permits_.front();
            permits_.erase(permits_.begin());
        }
        give(order_kind::load, adapter, where, now, out);
    }
}

void slot_keeper::make_room(time_point now, keeper_decisions& out) {
    const std::size_t loads = permits_.size() + (own_loads_ >= 1 ? 1 : 0);
    while (evicting() < loads) {
        const std::optional<adapter_ref> victim = choose_victim(now);
        if (!victim) {
            break;
        }
        give(order_kind::evict, *victim, slots_.at(*victim), now, out);
    }
}

void slot_keeper::free_a_slot(const adapter_ref& wanted, time_point now, keeper_decisions& out) {
    if (const auto idle = choose_recall(now)) {
        slots_.at(*idle).recalled_at = now;
        recall(*idle, /*drain=*/false, out);
        return;
    }
    const auto wishes = wishes_.find(wanted);
    if (wishes == wishes_.end()) {
        return;
    }
    const bool impatient = std::any_of(
        wishes->second.begin(), wishes->second.end(),
        [this, now](const auto& it) { return now - it.second.since > settings_.patience; });
    if (const auto it = impatient ? choose_closing(now) : std::nullopt) {
        slots_.at(*it).closing = true;
        recall(*it, /*drain=*/true, out);
    }
}

void slot_keeper::request_permits(time_point now, keeper_decisions& out) {
    const std::vector<adapter_ref> loads = ready_loads(now);
    std::size_t room = settings_.slots - std::min<std::size_t>(settings_.slots, slots_.size());
    room += evicting();
    if (room == 0 && !loads.empty()) {
        if (choose_victim(now)) {
            room = 1;
        } else if (may_evict(now)) {
            free_a_slot(loads.front(), now, out);
        }
    }
    const std::size_t wanted = std::min(loads.size(), room);
    const std::size_t missing = wanted - std::min(wanted, permits_.size());
    const bool recent = !permit_requests_.empty() &&
                        now - permit_requests_.rbegin()->second < settings_.permit_retry;
    if (missing == permits_asked_ && (missing == 0 || recent)) {
        return;
    }
    permits_asked_ = missing;
    permit_request body;
    body.holder = term_.self;
    body.endpoint = endpoint_;
    body.number = ++last_number_;
    for (std::size_t i = 0; i < missing; ++i) {
        body.needs.push_back(need_of(loads[i], now));
    }
    permit_requests_[body.number] = now;
    out.push_back(send_to_weight_store{body});
}

void slot_keeper::work(time_point now, keeper_decisions& out) {
    if (ended_ || !adopted_ || !fence_raised_) {
        return;
    }
    drop_permits(now, out);
    refill_own_loads(now);
    reopen_slots(now, out);
    start_loads(now, out);
    request_permits(now, out);
}

keeper_decisions slot_keeper::tick(time_point now) {
    keeper_decisions out;
    if (ended_) {
        return out;
    }
    drop_ended(now);
    repeat_orders(now, out);
    work(now, out);
    return out;
}

void slot_keeper::drop_ended(time_point now) {
    for (auto it = pins_.begin(); it != pins_.end();) {
        for (auto entry = it->second.begin(); entry != it->second.end();) {
            const bool over = now >= entry->second.hold_until;
            entry = over ? erase_pin(it->second, entry) : std::next(entry);
        }
        it = it->second.empty() ? pins_.erase(it) : std::next(it);
    }
    for (auto it = wishes_.begin(); it != wishes_.end();) {
        for (auto entry = it->second.begin(); entry != it->second.end();) {
            const bool over = now - entry->second.heard > settings_.wish_life;
            entry = over ? it->second.erase(entry) : std::next(entry);
        }
        it = it->second.empty() ? wishes_.erase(it) : std::next(it);
    }
    for (auto it = stray_orders_.begin(); it != stray_orders_.end();) {
        it = now >= it->second ? stray_orders_.erase(it) : std::next(it);
    }
    for (auto it = left_at_.begin(); it != left_at_.end();) {
        const bool over = now - it->second > settings_.report_lag;
        it = over ? left_at_.erase(it) : std::next(it);
    }
    if (now - pruned_at_ > settings_.popularity.half_life) {
        popularity_.prune(least_popularity, now);
        pruned_at_ = now;
    }
}

void slot_keeper::drop_permits(time_point now, keeper_decisions& out) {
    for (auto it = permits_.begin(); it != permits_.end();) {
        const bool valid = now < permit_requests_.at(it->number) + it->validity;
        if (!valid) {
            return_permit(*it, out);
        }
        it = valid ? std::next(it) : permits_.erase(it);
    }
    while (permit_requests_.size() > most_permit_requests) {
        const message_number oldest = permit_requests_.begin()->first;
        const bool needed = std::any_of(permits_.begin(), permits_.end(),
                                        [oldest](const auto& it) { return it.number == oldest; });
        if (needed) {
            return;
        }
        permit_requests_.erase(permit_requests_.begin());
    }
}

void slot_keeper::refill_own_loads(time_point now) {
    own_loads_ += seconds(now - own_loads_at_) * settings_.own_loads_per_second;
    own_loads_ = std::min(own_loads_, most_own_loads);
    own_loads_at_ = now;
}

}  // namespace radishpulley::placement
