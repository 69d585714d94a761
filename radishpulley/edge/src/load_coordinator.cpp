#include "edge/load_coordinator.h"

#include <algorithm>

#include "base/findings.h"
#include "base/overloaded.h"
#include "ownership/ownership_store.h"
#include "telemetry/event_log.h"
#include "telemetry/guarded.h"

namespace radishpulley::edge {
namespace {

using routing::model_ref;
using telemetry::severity;

constexpr const char* holders_kind = "engine-holders";
constexpr ownership::shard_index shard_count = 4;
// Bits of a fencing number below the store's era; holders change less often within an era.
constexpr unsigned fences_of_era_bits = 20;
constexpr duration rank_delay = std::chrono::milliseconds(400);
// Long, because a handover for the sake of balance only interrupts loads.
constexpr duration balance_interval = std::chrono::hours(24);
constexpr duration pause_limit = std::chrono::milliseconds(1'500);
constexpr std::chrono::milliseconds tick_interval{100};
// Interval of checks against the holder guard, whose permissions also change with time alone.
constexpr duration held_engines_interval = std::chrono::milliseconds(500);
// Minimum time between two reads of the holders after a pause of this process.
constexpr duration reread_interval = std::chrono::milliseconds(500);
// Time for which a holder that left a load request unanswered is not asked, unless it answers.
constexpr duration silence_memory = std::chrono::seconds(1);
constexpr duration flush_interval = std::chrono::milliseconds(400);

gateway::follower_settings holders_follower_settings() {
    gateway::follower_settings out;
    out.watch_wait = std::chrono::milliseconds(10'000);
    out.pause = std::chrono::milliseconds(500);
    // A shard lists more holders than fit into a report.
    out.reports = gateway::report_contents::none;
    // Holders change in bursts while engines join and leave.
    out.unlisted_fetch_delay = std::chrono::milliseconds(1'500);
    return out;
}

ownership::holding_id holding_id_of(const endpoint_id& engine) {
    return ownership::holding_id("engine/" + engine.str());
}

std::string shard_name(ownership::shard_index index) {
    return std::to_string(index);
}

std::int64_t ms_of(duration it) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
}

const char* name_of(routing::order_outcome it) {
    switch (it) {
        case routing::order_outcome::accepted:
            return "accepted";
        case routing::order_outcome::already_holds:
            return "already_holds";
        case routing::order_outcome::conflict:
            return "conflict";
        case routing::order_outcome::superseded:
            return "superseded";
        case routing::order_outcome::rejected:
            return "rejected";
        case routing::order_outcome::no_answer:
            break;
    }
    return "no_answer";
}

const char* name_of(routing::load_obstacle it) {
    switch (it) {
        case routing::load_obstacle::no_model:
            return "no_model";
        case routing::load_obstacle::being_changed:
            return "being_changed";
        case routing::load_obstacle::places_in_use:
            return "places_in_use";
        case routing::load_obstacle::engine_paused:
            return "engine_paused";
        case routing::load_obstacle::zone_evacuated:
            return "zone_evacuated";
        case routing::load_obstacle::many_waiting:
            break;
    }
    return "many_waiting";
}

}  // namespace

load_coordinator::load_coordinator(boost::asio::io_context& loop, const clock& time,
                                   gateway::object_collections& store,
                                   gateway::engine_port& engines, fleet_member& fleet,
                                   gateway::gateway& data_path, bool endpoints_check_fencing)
    : time_(time),
      store_(store),
      engines_(engines),
      fleet_(fleet),
      data_path_(data_path),
      endpoints_check_fencing_(endpoints_check_fencing),
      follower_(loop, time, store, holders_kind, holders_follower_settings(),
                {[this](const gateway::object_list& it) {
                     for (const gateway::stored_object& object : it.objects) {
                         on_shard_object(object, follower_.read_began());
                     }
                     has_holder_list_ = true;
                     add_missing_shards();
                     update_min_fence();
                 },
                 [this](const gateway::object_change& it) {
                     if (!it.removed) {
                         on_shard_object(it.object, follower_.read_began());
                     }
                 },
                 [](bool) {}, [] {}, [](const gateway::object_change&) { return true; },
                 [this] { on_holders_confirmed_(); }}),
      tick_timer_(loop) {}

load_coordinator::~load_coordinator() = default;

void load_coordinator::start() {
    follower_.start();
    tick();
}

void load_coordinator::tick() {
    telemetry::run_guarded("loads", [this] { update(); });
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec) {
            tick();
        }
    });
}

void load_coordinator::update() {
    const time_point now = time_.now();
    ensure_policy();
    if (policy_) {
        guard_->on_running(now);
        data_path_.load_times().set_vms(fleet_.serving(now).size());
        if (guard_->needs_revalidation()) {
            reread_holders();
        }
        plan(now);
        hand_over(now);
        if (held_engines_stale_ || now - held_engines_updated_ >= held_engines_interval) {
            update_held_engines();
        }
    }
    if (now - last_flush_ >= flush_interval) {
        last_flush_ = now;
        flush_usage();
    }
    std::vector<endpoint_id> engines;
    for (auto& [id, it] : held_engines_) {
        it.controller.advance(now);
        if (it.controller.has_work(now)) {
            engines.push_back(id);
        }
    }
    for (const endpoint_id& id : engines) {
        send_next_call(id);
    }
}

void load_coordinator::reread_holders() {
    const time_point now = time_.now();
    if (reread_in_flight_ || now < next_reread_) {
        return;
    }
    reread_in_flight_ = true;
    next_reread_ = now + reread_interval;
    store_.list(holders_kind, [this, began = time_.now()](const gateway::list_result& result) {
        reread_in_flight_ = false;
        const auto* list = std::get_if<gateway::object_list>(&result);
        if (list == nullptr) {
            telemetry::log_event(severity::warning, "holders_not_read_again",
                                 {{"age", time_.now() - began}});
            return;
        }
        telemetry::log_event(severity::info, "holders_read_again",
                             {{"revision", list->revision}, {"age", time_.now() - began}});
        for (const gateway::stored_object& it : list->objects) {
            on_shard_object(it, began);
        }
    });
}

void load_coordinator::add_missing_shards() {
    for (ownership::shard_index i = 0; i < shard_count; ++i) {
        const auto known = shards_.find(i);
        if (known == shards_.end()) {
            apply_shard({i, 0, {}}, follower_.read_began());
        } else if (gateway::era_of(known->second.version) < gateway::era_of(follower_.revision())) {
            // The store came back from a copy without this object, which has to be created again.
            known->second.version = 0;
        }
    }
}

void load_coordinator::update_min_fence() {
    const gateway::store_era era = gateway::era_of(follower_.revision());
    if (policy_) {
        const ownership::fencing_number lowest = 1;
        policy_->set_min_fence(std::max(lowest, era << fences_of_era_bits), time_.now());
    }
}

void load_coordinator::ensure_policy() {
    if (policy_ || !fleet_.self() || !has_holder_list_) {
        return;
    }
    ownership::ownership_settings settings;
    settings.shards = shard_count;
    settings.rank_delay = rank_delay;
    settings.balance_interval = balance_interval;
    policy_.emplace(*fleet_.self(), settings);
    guard_.emplace(*fleet_.self(), pause_limit);
    update_min_fence();
    for (const auto& [index, it] : shards_) {
        apply_shard(it, follower_.read_began());
    }
}

void load_coordinator::on_shard_object(const gateway::stored_object& it, time_point read_began) {
    try {
        const auto index = static_cast<ownership::shard_index>(std::stoul(it.name));
        if (index < shard_count) {
            apply_shard({index, it.revision, ownership::decode(it.contents)}, read_began);
        }
    } catch (const std::exception& e) {
        telemetry::log_event(severity::warning, "holders_unreadable",
                             {{"object", it.name}, {"reason", std::string_view(e.what())}});
    }
}

void load_coordinator::apply_shard(const ownership::shard& it, time_point read_began) {
    const auto current = shards_.find(it.index);
    if (current != shards_.end() && it.version < current->second.version) {
        return;
    }
    const bool is_restored = current != shards_.end() &&
                             gateway::era_of(it.version) > gateway::era_of(current->second.version);
    shards_[it.index] = is_restored ? ownership::merge_restored(current->second, it) : it;
    if (!policy_) {
        return;
    }
    const time_point now = time_.now();
    policy_->on_shard(shards_[it.index], now);
    // Only what the store states confirms a holder.
    for (const ownership::holding& entry : it.holdings) {
        guard_->on_entry(entry, read_began);
        if (!entry.vacant()) {
            fleet_.detector()->on_incarnation_seen(entry.holder, now);
        }
    }
    update_held_engines();
}

const routing::engine_capacity* load_coordinator::capacity_of(const routing::endpoint& it) const {
    const auto& configuration = data_path_.configuration();
    const routing::service* service =
        configuration ? configuration->find_service(it.service) : nullptr;
    return service != nullptr && service->engine ? &*service->engine : nullptr;
}

void load_coordinator::configure_policy() {
    const auto& configuration = data_path_.configuration();
    const std::uint64_t version = configuration ? configuration->version() : 0;
    if (!engines_changed_ && fleet_.change_count() == configured_fleet_changes_ &&
        version == configured_version_) {
        return;
    }
    engines_changed_ = false;
    held_engines_stale_ = true;
    configured_fleet_changes_ = fleet_.change_count();
    configured_version_ = version;
    std::vector<ownership::holding_spec> specs;
    for (const routing::endpoint* it : data_path_.directory().all()) {
        if (capacity_of(*it) != nullptr) {
            const auto cut_off = cut_off_vms_.find(it->service);
            specs.push_back({holding_id_of(it->id),
                             endpoints_check_fencing_
                                 ? ownership::replacement_rule::on_suspicion
                                 : ownership::replacement_rule::on_confirmed_end,
                             fleet_.vms_in(it->zone),
                             cut_off == cut_off_vms_.end() ? std::set<vm_id>() : cut_off->second});
        }
    }
    policy_->configure(std::move(specs));
}

void load_coordinator::plan(time_point now) {
    configure_policy();
    for (const ownership::shard_update& it : policy_->plan(*fleet_.detector(), now)) {
        commit(it);
    }
}

void load_coordinator::commit(const ownership::shard_update& update) {
    const auto current = shards_.find(update.index);
    if (update.assignments.empty() || current == shards_.end() ||
        writes_in_flight_.count(update.index) != 0) {
        return;
    }
    const auto next = ownership::try_apply(current->second, update);
    if (!next) {
        return;
    }
    writes_in_flight_.insert(update.index);
    auto done = [this, next = *next, began = time_.now()](const gateway::write_result& it) {
        on_committed(next, it, began);
    };
    const std::string contents = ownership::encode(next->holdings);
    if (current->second.version == 0) {
        store_.create(holders_kind, shard_name(update.index), contents, std::move(done));
    } else {
        store_.replace(holders_kind, shard_name(update.index), current->second.version, contents,
                       std::move(done));
    }
}

void load_coordinator::on_committed(const ownership::shard& next,
                                    const gateway::write_result& result, time_point began) {
    writes_in_flight_.erase(next.index);
    std::visit(overloaded{[&](const gateway::write_done& it) {
                              ownership::shard taken = next;
                              taken.version = it.object.revision;
                              apply_shard(taken, began);
                              telemetry::log_event(
                                  severity::info, "holders_changed",
                                  {{"shard", next.index}, {"revision", it.object.revision}});
                          },
                          [&](const gateway::write_conflict& it) {
                              if (it.current) {
                                  on_shard_object(*it.current, began);
                              }
                          },
                          [](const gateway::write_refused&) {},
                          [&](const gateway::write_unknown&) {
                              telemetry::log_event(severity::warning, "holders_write_unknown",
                                                   {{"shard", next.index}});
                          }},
               result);
}

void load_coordinator::set_cut_off_vms(std::map<service_id, std::set<vm_id>> it) {
    if (it != cut_off_vms_) {
        cut_off_vms_ = std::move(it);
        engines_changed_ = true;
    }
}

void load_coordinator::hand_over(time_point now) {
    std::map<ownership::shard_index, ownership::shard_update> updates;
    for (const ownership::holding_id& id :
         policy_->holdings_to_hand_over(*fleet_.detector(), now)) {
        guard_->stop(id);
        held_engines_stale_ = true;
        const ownership::shard_update vacated = policy_->vacate(id);
        ownership::shard_update& update = updates[vacated.index];
        update.index = vacated.index;
        update.assignments.insert(update.assignments.end(), vacated.assignments.begin(),
                                  vacated.assignments.end());
    }
    for (const auto& it : updates) {
        commit(it.second);
    }
}

void load_coordinator::update_held_engines() {
    const time_point now = time_.now();
    held_engines_stale_ = false;
    held_engines_updated_ = now;
    const std::vector<const routing::endpoint*> endpoints = data_path_.directory().all();
    for (const routing::endpoint* it : endpoints) {
        const routing::engine_capacity* capacity = capacity_of(*it);
        const bool holds = guard_ && guard_->may_act(holding_id_of(it->id), now).has_value();
        if (!holds || capacity == nullptr || it->draining) {
            held_engines_.erase(it->id);
            continue;
        }
        if (held_engines_.count(it->id) != 0) {
            continue;
        }
        auto& held = held_engines_
                         .emplace(it->id, held_engine{routing::engine_controller(
                                              it->id, *capacity, data_path_.load_times())})
                         .first->second;
        held.controller.on_entry(*it);
        for (const auto& [adapter, version] : versions_) {
            held.controller.on_version(adapter, version);
        }
        telemetry::log_event(severity::info, "holds_engine", {{"engine", it->id}});
    }
}

void load_coordinator::on_endpoint(const routing::endpoint& it) {
    engines_changed_ = true;
    held_engines_stale_ = true;
    const auto held = held_engines_.find(it.id);
    if (held != held_engines_.end()) {
        held->second.controller.on_entry(it);
        send_next_call(it.id);
    }
}

void load_coordinator::on_endpoint_removed(const endpoint_id& id) {
    engines_changed_ = true;
    held_engines_.erase(id);
}

void load_coordinator::on_version(const model_ref& adapter, std::uint64_t version) {
    versions_[adapter] = std::max(versions_[adapter], version);
    for (auto& [id, it] : held_engines_) {
        it.controller.on_version(adapter, version);
    }
}

std::optional<routing::load_obstacle> load_coordinator::order_obstacle(const endpoint_id& engine,
                                                                       time_point now) const {
    if (data_path_.directory().pause_left(engine, now) > duration::zero()) {
        return routing::load_obstacle::engine_paused;
    }
    const routing::endpoint* known = data_path_.directory().find(engine);
    if (known != nullptr && data_path_.evacuations().is_evacuated(known->zone)) {
        return routing::load_obstacle::zone_evacuated;
    }
    return std::nullopt;
}

routing::load_response load_coordinator::load_on_held_engine(const endpoint_id& engine,
                                                             const model_ref& adapter,
                                                             duration max_wait) {
    const auto held = held_engines_.find(engine);
    if (held == held_engines_.end()) {
        return routing::load_refused{routing::load_obstacle::no_model};
    }
    const time_point now = time_.now();
    const auto obstacle = order_obstacle(engine, now);
    const routing::load_response answer =
        obstacle ? routing::load_refused{*obstacle}
                 : held->second.controller.on_load_request(
                       adapter, data_path_.adapters().loads_under_way(now), now, max_wait);
    if (const auto* refused = std::get_if<routing::load_refused>(&answer)) {
        telemetry::log_event(severity::info, "load_refused",
                             {{"engine", engine},
                              {"adapter", adapter.adapter},
                              {"obstacle", name_of(refused->obstacle)},
                              {"ready_in_ms", refused->ready_in ? ms_of(*refused->ready_in) : -1},
                              {"max_wait_ms", ms_of(max_wait)},
                              {"places", held->second.controller.adapter_count()},
                              {"running", held->second.controller.running_count(now)}});
    }
    send_next_call(engine);
    return answer;
}

gateway::load_request_result load_coordinator::request_load(const endpoint_id& engine,
                                                            const model_ref& adapter,
                                                            duration max_wait) {
    if (held_engines_.count(engine) != 0) {
        const auto answer = load_on_held_engine(engine, adapter, max_wait);
        if (const auto* refused = std::get_if<routing::load_refused>(&answer)) {
            return gateway::load_not_possible{refused->ready_in};
        }
        const auto& granted = std::get<routing::load_granted>(answer);
        data_path_.on_adapter(engine, adapter,
                              {routing::adapter_state::loading, time_.now() + granted.ready_in,
                               granted.version, granted.ordered});
        return gateway::load_requested{};
    }
    const auto holder = holder_of(engine);
    const bool is_sent =
        can_request_load(engine) &&
        fleet_.send(holder->vm, routing::load_request{engine, adapter,
                                                      static_cast<std::uint32_t>(ms_of(max_wait))});
    if (!is_sent) {
        return gateway::load_not_possible{};
    }
    return gateway::load_requested{};
}

bool load_coordinator::can_request_load(const endpoint_id& engine) const {
    if (held_engines_.count(engine) != 0) {
        return true;
    }
    const auto holder = holder_of(engine);
    if (!holder || *holder == *fleet_.self()) {
        return false;
    }
    const auto silent = silent_holders_.find(holder->vm);
    return silent == silent_holders_.end() || time_.now() >= silent->second;
}

void load_coordinator::note_load_unanswered(const endpoint_id& engine) {
    if (const auto holder = holder_of(engine)) {
        silent_holders_[holder->vm] = time_.now() + silence_memory;
        telemetry::log_event(severity::info, "load_unanswered",
                             {{"engine", engine}, {"holder", holder->vm}});
    }
}

void load_coordinator::note_request_start(const endpoint_id& engine, const model_ref& adapter) {
    const bool is_unreported = usage_.start(engine, adapter);
    const auto held = held_engines_.find(engine);
    if (held != held_engines_.end()) {
        held->second.controller.on_use(adapter, time_.now());
        held->second.controller.on_running(fleet_.self()->vm, usage_.running(engine), time_.now());
    } else if (is_unreported) {
        report_usage(engine);
    }
}

void load_coordinator::report_usage(const endpoint_id& engine) {
    const routing::adapter_usage usage = usage_.take_report(engine);
    if (const auto holder = holder_of(engine)) {
        fleet_.send(holder->vm, usage);
    }
}

void load_coordinator::note_request_end(const endpoint_id& engine, const model_ref& adapter) {
    usage_.end(engine, adapter);
}

std::optional<vm_incarnation> load_coordinator::holder_of(const endpoint_id& engine) const {
    const auto holding = policy_ ? policy_->find(holding_id_of(engine)) : std::nullopt;
    if (!holding || holding->vacant()) {
        return std::nullopt;
    }
    return holding->holder;
}

void load_coordinator::note_adapter_missing(const endpoint_id& engine, const model_ref& adapter) {
    const auto held = held_engines_.find(engine);
    if (held != held_engines_.end()) {
        record_missing(engine, held->second.controller, adapter);
        return;
    }
    if (const auto holder = holder_of(engine)) {
        fleet_.send(holder->vm, routing::adapter_hint{engine, adapter, false, 0, 0});
    }
}

void load_coordinator::flush_usage() {
    for (const endpoint_id& engine : usage_.engines()) {
        const auto held = held_engines_.find(engine);
        if (held == held_engines_.end()) {
            report_usage(engine);
            continue;
        }
        const routing::adapter_usage usage = usage_.take_report(engine);
        held->second.controller.on_running(fleet_.self()->vm, usage.running, time_.now());
        usage_.forget_reported(engine);
    }
}

void load_coordinator::on_hint(const routing::hint_message& it) {
    const time_point now = time_.now();
    silent_holders_.erase(it.from.vm);
    std::visit(
        overloaded{
            [](const routing::vm_status&) {}, [](const routing::store_reports&) {},
            [](const routing::account_usage_report&) {}, [](const routing::saturated_accounts&) {},
            [](const routing::suspects_update&) {}, [](const routing::stream_announcement&) {},
            [](const routing::stream_query&) {}, [](const routing::stream_reply&) {},
            [&](const routing::adapter_usage& usage) {
                const auto held = held_engines_.find(usage.engine);
                if (held != held_engines_.end()) {
                    for (const model_ref& each : usage.sent) {
                        held->second.controller.on_use(each, now);
                    }
                    held->second.controller.on_running(it.from.vm, usage.running, now);
                }
            },
            [&](const routing::load_request& request) {
                const auto answer =
                    load_on_held_engine(request.engine, request.adapter,
                                        std::chrono::milliseconds(request.max_wait_ms));
                if (const auto* granted = std::get_if<routing::load_granted>(&answer)) {
                    fleet_.send(
                        it.from.vm,
                        routing::adapter_hint{request.engine, request.adapter, true,
                                              static_cast<std::uint32_t>(ms_of(granted->ready_in)),
                                              granted->version, granted->ordered});
                } else {
                    const auto& refused = std::get<routing::load_refused>(answer);
                    routing::load_refusal out{request.engine, request.adapter, std::nullopt};
                    if (refused.ready_in) {
                        out.ready_in_ms = static_cast<std::uint32_t>(ms_of(*refused.ready_in));
                    }
                    fleet_.send(it.from.vm, out);
                }
            },
            [&](const routing::adapter_hint& hint) {
                const auto held = held_engines_.find(hint.engine);
                if (held != held_engines_.end()) {
                    // A holder receives adapter hints only from daemons whose request was refused.
                    record_missing(hint.engine, held->second.controller, hint.adapter);
                    return;
                }
                routing::adapter_view view;
                if (hint.held) {
                    view = {routing::adapter_state::loading,
                            now + std::chrono::milliseconds(hint.ready_in_ms), hint.version,
                            hint.ordered};
                }
                if (hint.load_time_ms > 0) {
                    data_path_.load_times().fetched.on_peer_estimate(
                        hint.concurrent_loads, std::chrono::milliseconds(hint.load_time_ms), now);
                }
                data_path_.on_adapter(hint.engine, hint.adapter, view);
            },
            [&](const routing::load_refusal& refusal) {
                std::optional<duration> ready_in;
                if (refusal.ready_in_ms) {
                    ready_in = std::chrono::milliseconds(*refusal.ready_in_ms);
                }
                data_path_.on_load_refused(refusal.engine, refusal.adapter, ready_in);
            }},
        it.body);
}

void load_coordinator::send_next_call(const endpoint_id& engine) {
    const auto held = held_engines_.find(engine);
    const routing::endpoint* target = data_path_.directory().find(engine);
    if (held == held_engines_.end() || target == nullptr || held->second.call_in_flight) {
        return;
    }
    const time_point now = time_.now();
    const auto fence = guard_->may_act(holding_id_of(engine), now);
    if (!fence || order_obstacle(engine, now)) {
        return;
    }
    if (held->second.controller.needs_report(now)) {
        held->second.call_in_flight = true;
        engines_.fetch_report(*target,
                              [this, engine](const std::optional<routing::engine_report>& report) {
                                  const auto it = held_engines_.find(engine);
                                  if (it == held_engines_.end()) {
                                      return;
                                  }
                                  it->second.call_in_flight = false;
                                  if (!report) {
                                      it->second.controller.on_report_lost(time_.now());
                                      return;
                                  }
                                  it->second.controller.on_report(*report, time_.now());
                                  send_next_call(engine);
                              });
        return;
    }
    if (const auto order = held->second.controller.next_order(now)) {
        send_order(engine, *order, *fence);
    }
}

void load_coordinator::send_order(const endpoint_id& engine, const routing::engine_order& order,
                                  ownership::fencing_number fence) {
    held_engines_.at(engine).call_in_flight = true;
    const routing::endpoint* target = data_path_.directory().find(engine);
    engines_.send_order(
        *target, order, {fleet_.self()->vm.str(), fence},
        [this, engine, order, fence](routing::order_outcome outcome) {
            telemetry::log_event(
                severity::info, "engine_order",
                {{"engine", engine},
                 {"kind", order.kind == routing::order_kind::load ? "load" : "unload"},
                 {"model", order.target.model},
                 {"adapter", order.target.adapter},
                 {"version", order.version},
                 {"sequence", order.expected_sequence},
                 {"fence", fence},
                 {"outcome", name_of(outcome)}});
            const auto it = held_engines_.find(engine);
            if (it == held_engines_.end()) {
                return;
            }
            it->second.call_in_flight = false;
            if (outcome == routing::order_outcome::superseded) {
                guard_->stop(holding_id_of(engine));
                held_engines_.erase(it);
                return;
            }
            apply_outcome(engine, it->second.controller, outcome);
            send_next_call(engine);
        });
}

void load_coordinator::apply_outcome(const endpoint_id& engine,
                                     routing::engine_controller& controller,
                                     routing::order_outcome outcome) {
    const time_point now = time_.now();
    const std::size_t fleet_loads = data_path_.adapters().loads_under_way(now);
    const auto change = controller.on_outcome(outcome, fleet_loads, now);
    if (!change) {
        return;
    }
    announce_change(engine, *change);
}

void load_coordinator::record_missing(const endpoint_id& engine,
                                      routing::engine_controller& controller,
                                      const model_ref& adapter) {
    controller.on_missing(adapter, time_.now());
    telemetry::log_event(severity::info, "adapter_missing",
                         {{"engine", engine}, {"adapter", adapter.adapter}});
    announce_postponed_loads();
}

void load_coordinator::announce_postponed_loads() {
    const time_point now = time_.now();
    for (auto& [engine, it] : held_engines_) {
        for (const routing::adapter_change& change : it.controller.take_postponed(now)) {
            announce_change(engine, change);
        }
    }
}

void load_coordinator::announce_change(const endpoint_id& engine,
                                       const routing::adapter_change& change) {
    routing::adapter_view view;
    if (change.held) {
        view = {routing::adapter_state::loading, time_.now() + change.ready_in, change.version};
    }
    data_path_.on_adapter(engine, change.adapter, view);
    fleet_.broadcast(routing::adapter_hint{
        engine, change.adapter, change.held, static_cast<std::uint32_t>(ms_of(change.ready_in)),
        change.version, true, static_cast<std::uint32_t>(ms_of(change.load_time)),
        static_cast<std::uint32_t>(change.concurrent_loads)});
}

void load_coordinator::leave() {
    if (policy_) {
        policy_->leave();
        hand_over(time_.now());
        held_engines_.clear();
    }
}

}  // namespace radishpulley::edge
