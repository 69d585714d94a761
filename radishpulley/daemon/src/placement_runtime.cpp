#include "daemon/placement_runtime.h"

#include <utility>

#include "base/overloaded.h"
#include "daemon/engine_protocol.h"
#include "details/holding_names.h"
#include "telemetry/event_log.h"

namespace radishpulley::daemon {
namespace {

using detail::engine_holding;
using detail::ownership_prefix;
using detail::weight_store_holding;
using ownership::holding_id;
using telemetry::log_event;
using telemetry::severity;

constexpr duration tick_interval = std::chrono::milliseconds(100);
constexpr duration report_interval = std::chrono::milliseconds(500);
constexpr duration ownership_interval = std::chrono::seconds(1);
constexpr duration pause_limit = std::chrono::seconds(5);
constexpr duration holder_wait = std::chrono::seconds(8);
constexpr duration holder_retry = std::chrono::milliseconds(200);
constexpr duration unhealthy_time = std::chrono::seconds(3);
constexpr std::chrono::milliseconds engine_timeout{5000};

placement::router_settings router_settings_for(duration longest_request) {
    placement::router_settings it;
    it.longest_request = longest_request;
    return it;
}

// Returns the endpoint that a keeper or router message is about.
struct endpoint_visitor {
    template <typename Message>
    endpoint_id operator()(const Message& it) const {
        return it.endpoint;
    }
};

}  // namespace

placement_runtime::placement_runtime(vm_incarnation self, zone_id zone, region_id region,
                                     duration longest_request, const clock& time,
                                     object_api::object_store& api, message_bus& bus,
                                     worker_pool& workers)
    : self_(self),
      longest_request_(longest_request),
      clock_(time),
      bus_(bus),
      workers_(workers),
      api_(api),
      store_(api, std::string(ownership_prefix)),
      policy_(self, ownership::ownership_settings()),
      vms_(self, ownership::failure_detector_settings()),
      guard_(self, pause_limit),
      zone_(std::move(zone)),
      region_(std::move(region)) {}

void placement_runtime::start() {
    workers_.repeat(tick_interval, [this] { tick(); });
    workers_.repeat(report_interval, [this] { poll_reports(); });
    workers_.repeat(ownership_interval, [this] { poll_ownership(); });
}

void placement_runtime::configure(const model::configuration& now) {
    std::map<endpoint_id, engine> engines;
    std::vector<ownership::holding_spec> specs;
    specs.push_back(
        {holding_id(weight_store_holding), ownership::replacement_rule::on_confirmed_end});
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const model::resource* held : now.list(model::resource_kind::endpoint)) {
        const auto& it = std::get<model::endpoint>(*held);
        const model::service* service = now.find_service(it.service);
        if (service == nullptr || service->kind != model::service_kind::model) {
            continue;
        }
        engine entry;
        const auto known = engines_.find(it.id);
        if (known != engines_.end() && known->second.configured.address == it.address) {
            entry = known->second;
        } else {
            entry.client = std::make_shared<http::client>(it.address, engine_timeout);
        }
        entry.configured = it;
        engines.emplace(it.id, std::move(entry));
        specs.push_back({engine_holding(it.id),
                         it.checks_fencing ? ownership::replacement_rule::on_suspicion
                                           : ownership::replacement_rule::on_confirmed_end});
    }
    sources_.clear();
    for (const model::resource* held : now.list(model::resource_kind::adapter_version)) {
        const auto& it = std::get<model::adapter_version>(*held);
        sources_[{it.adapter, it.version}] = it.source;
    }
    engines_ = std::move(engines);
    policy_.configure(std::move(specs));
    update_router(clock_.now());
    update_holdings(clock_.now());
}

placement::router& placement_runtime::router_of(const service_id& service) {
    const auto it = routers_.find(service);
    if (it != routers_.end()) {
        return it->second;
    }
    return routers_
        .emplace(service,
                 placement::router(self_, zone_, region_, router_settings_for(longest_request_)))
        .first->second;
}

placement::router* placement_runtime::find_router(const endpoint_id& engine) {
    const auto it = engines_.find(engine);
    return it == engines_.end() ? nullptr : &router_of(it->second.configured.service);
}

placement::router* placement_runtime::find_router(const request_id& id) {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &router_of(it->second.service);
}

void placement_runtime::update_router(time_point now) {
    std::map<service_id, std::vector<placement::engine_info>> lists;
    for (const auto& it : routers_) {
        lists[it.first];
    }
    for (const auto& [id, it] : engines_) {
        placement::engine_info info;
        info.endpoint = id;
        info.zone = it.configured.zone;
        info.region = it.configured.region;
        info.concurrency = it.configured.concurrency;
        info.draining = it.configured.draining || it.unhealthy_until > now;
        lists[it.configured.service].push_back(info);
    }
    for (auto& [service, list] : lists) {
        apply(router_of(service).configure(std::move(list), now));
    }
}

void placement_runtime::on_vms(const std::vector<object_api::vm_entry>& vms) {
    const std::lock_guard<std::mutex> lock(mutex_);
    vms_.on_list(vms, clock_.now());
}

void placement_runtime::on_alive(const vm_incarnation& who) {
    const std::lock_guard<std::mutex> lock(mutex_);
    vms_.on_alive(who, clock_.now());
}

void placement_runtime::on_message(const placement::message& it) {
    const std::lock_guard<std::mutex> lock(mutex_);
    local_.push_back(it);
    dispatch_queued();
}

void placement_runtime::on_leaving(const vm_incarnation& who) {
    const std::lock_guard<std::mutex> lock(mutex_);
    vms_.on_leaving(who, clock_.now());
}

void placement_runtime::place(const service_id& service, const placement::placement_request& it,
                              outcome_handler done) {
    const std::lock_guard<std::mutex> lock(mutex_);
    requests_[it.id] = {service, it, std::move(done), clock_.now()};
    apply(router_of(service).on_request(it, clock_.now()));
}

void placement_runtime::ended(const request_id& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (placement::router* router = find_router(id)) {
        requests_.erase(id);
        apply(router->on_request_ended(id, clock_.now()));
    }
}

void placement_runtime::not_sent(const request_id& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (placement::router* router = find_router(id)) {
        apply(router->on_not_sent(id, clock_.now()));
    }
}

void placement_runtime::cancelled(const request_id& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (placement::router* router = find_router(id)) {
        router->on_cancelled(id);
        requests_.erase(id);
        // The router may have given it a place that nobody has heard of yet.
        apply(router->on_request_ended(id, clock_.now()));
    }
}

void placement_runtime::adapter_missing(const endpoint_id& endpoint,
                                        const placement::adapter_ref& adapter) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (placement::router* router = find_router(endpoint)) {
        apply(router->on_adapter_missing(endpoint, adapter, clock_.now()));
    }
}

void placement_runtime::endpoint_failed(const endpoint_id& endpoint) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = engines_.find(endpoint);
    if (it == engines_.end()) {
        return;
    }
    it->second.unhealthy_until = clock_.now() + unhealthy_time;
    log_event(severity::warning, "endpoint_unhealthy", {{"endpoint", endpoint}});
    update_router(clock_.now());
}

void placement_runtime::apply(placement::router_decisions out) {
    for (const placement::router_decision& it : out) {
        std::visit(overloaded{[&](const placement::send_to_holder& a) { deliver(a.to.vm, a.body); },
                              [&](const auto& a) { apply(a); }},
                   it);
    }
    dispatch_queued();
}

void placement_runtime::apply(const placement::send_request& it) {
    const auto found = requests_.find(it.request);
    if (found != requests_.end()) {
        workers_.post([call = found->second.handler, it] { call(it); });
    }
}

void placement_runtime::apply(const placement::refuse_request& it) {
    const auto found = requests_.find(it.request);
    if (found == requests_.end()) {
        return;
    }
    const bool is_new = clock_.now() - found->second.since < holder_wait;
    if (is_new && is_waiting_for_holders(found->second.service)) {
        workers_.post_after(holder_retry, [this, id = it.request] { place_again(id); });
        return;
    }
    workers_.post([call = std::move(found->second.handler), it] { call(it); });
    requests_.erase(found);
}

// Engines of a new ticket or of a VM that left get a holder within a few seconds.
bool placement_runtime::is_waiting_for_holders(const service_id& service) const {
    for (const auto& [id, it] : engines_) {
        const auto entry = policy_.find(engine_holding(id));
        const bool is_vacant = !entry || entry->vacant();
        if (it.configured.service == service && !it.configured.draining && is_vacant) {
            return true;
        }
    }
    return false;
}

void placement_runtime::place_again(const request_id& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = requests_.find(id);
    if (it != requests_.end()) {
        apply(router_of(it->second.service).on_request(it->second.request, clock_.now()));
    }
}

void placement_runtime::apply(const endpoint_id& engine, placement::slot_controller_decisions out) {
    const time_point now = clock_.now();
    for (const placement::slot_controller_decision& it : out) {
        // A holder that was paused or replaced neither grants nor orders anything.
        if (!guard_.may_act(engine_holding(engine), now)) {
            break;
        }
        std::visit(
            overloaded{
                [&](const placement::send_to_daemon& a) { deliver(a.to.vm, a.body); },
                [&](const placement::send_to_weight_store& a) { send_to_weight_store(a.body); },
                [&](const placement::send_engine_order& a) { send_engine_order(a.order); }},
            it);
    }
}

void placement_runtime::deliver(const vm_id& to, const placement::message& it) {
    if (to == self_.vm) {
        local_.push_back(it);
    } else {
        bus_.send(to, it);
    }
}

void placement_runtime::dispatch_queued() {
    if (dispatching_) {
        return;
    }
    dispatching_ = true;
    while (!local_.empty()) {
        const placement::message it = std::move(local_.front());
        local_.pop_front();
        dispatch(it);
    }
    dispatching_ = false;
}

void placement_runtime::dispatch(const placement::message& it) {
    const time_point now = clock_.now();
    guard_.on_running(now);
    if (const auto* request = std::get_if<placement::permit_request>(&it)) {
        daemons_.insert(request->holder);
        if (budget_) {
            budget_->on_request(*request, now);
            apply_budget();
        }
        return;
    }
    if (const auto* done = std::get_if<placement::permit_done>(&it)) {
        if (budget_) {
            budget_->on_done(*done);
            apply_budget();
        }
        return;
    }
    const endpoint_id id = std::visit(endpoint_visitor{}, it);
    const auto found = held_.find(id);
    placement::slot_controller* keeper =
        found == held_.end() ? nullptr : found->second.keeper.get();
    std::visit(overloaded{[&](const placement::pin_request& m) {
                              daemons_.insert(m.daemon);
                              if (keeper != nullptr) {
                                  apply(id, keeper->on_pin_request(m, now));
                              } else {
                                  refuse_as_not_holder(m);
                              }
                          },
                          [&](const placement::pin_release& m) {
                              if (keeper != nullptr) {
                                  apply(id, keeper->on_pin_release(m, now));
                              }
                          },
                          [&](const placement::keeper_handoff& m) {
                              if (keeper != nullptr) {
                                  apply(id, keeper->on_handoff(m, now));
                              }
                          },
                          [&](const placement::load_permit& m) {
                              if (keeper != nullptr) {
                                  apply(id, keeper->on_permit(m, now));
                              }
                          },
                          [&](const auto&) {
                              if (placement::router* router = find_router(id)) {
                                  apply(router->on_message(it, now));
                              }
                          }},
               it);
}

void placement_runtime::refuse_as_not_holder(const placement::pin_request& it) {
    placement::pin_refusal refusal;
    refusal.endpoint = it.endpoint;
    refusal.adapter = it.adapter;
    refusal.daemon = it.daemon;
    refusal.number = it.number;
    refusal.reason = placement::pin_refusal_reason::not_holder;
    if (const auto entry = policy_.find(engine_holding(it.endpoint))) {
        refusal.fence = entry->fence;
    }
    deliver(it.daemon.vm, refusal);
}

// Pins of a daemon that has certainly ended last no longer than its requests may.
void placement_runtime::drop_ended_daemons(time_point now) {
    for (auto it = daemons_.begin(); it != daemons_.end();) {
        if (!vms_.confirmed_ended(*it, now)) {
            ++it;
            continue;
        }
        for (auto& [id, engine] : held_) {
            apply(id, engine.keeper->on_daemon_ended(*it, now));
        }
        if (budget_) {
            budget_->on_holder_ended(*it);
        }
        it = daemons_.erase(it);
    }
}

void placement_runtime::apply_budget() {
    const time_point now = clock_.now();
    if (!budget_ || !guard_.may_act(holding_id(weight_store_holding), now)) {
        return;
    }
    for (const placement::load_permit& it : budget_->grant(now)) {
        deliver(it.holder.vm, it);
    }
}

void placement_runtime::send_to_weight_store(const placement::message& it) {
    const auto holder = policy_.find(holding_id(weight_store_holding));
    if (holder && !holder->vacant()) {
        deliver(holder->holder.vm, it);
    }
}

void placement_runtime::send_engine_order(const placement::engine_order& it) {
    const auto found = engines_.find(it.endpoint);
    if (found == engines_.end()) {
        return;
    }
    const auto source = sources_.find(it.adapter);
    const std::string from = source == sources_.end() ? "" : source->second;
    const bool is_load = it.kind == placement::order_kind::load;
    log_event(severity::info, is_load ? "adapter_load" : "adapter_evict",
              {{"endpoint", it.endpoint},
               {"adapter", it.adapter.adapter},
               {"version", it.adapter.version},
               {"fence", it.fence}});
    workers_.post([this, it, from, client = found->second.client] {
        // The check stands right before the first byte: the pool may have been busy for long.
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (!is_mine(engine_holding(it.endpoint))) {
                return;
            }
        }
        const placement::order_result result =
            order_result_of(it, client->call(order_call(it, from)));
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto held = held_.find(it.endpoint);
        if (held == held_.end()) {
            return;
        }
        if (result.outcome == placement::order_outcome::fenced) {
            log_event(severity::warning, "order_fenced",
                      {{"endpoint", it.endpoint}, {"fence", it.fence}});
        }
        apply(it.endpoint, held->second.keeper->on_order_result(result, clock_.now()));
        dispatch_queued();
    });
}

bool placement_runtime::is_mine(const holding_id& id) {
    guard_.on_running(clock_.now());
    return guard_.may_act(id, clock_.now()).has_value();
}

void placement_runtime::tick() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const time_point now = clock_.now();
    guard_.on_running(now);
    for (auto& [id, it] : engines_) {
        if (it.unhealthy_until != time_point{} && it.unhealthy_until <= now) {
            it.unhealthy_until = time_point{};
            update_router(now);
        }
    }
    drop_ended_daemons(now);
    for (auto& [id, it] : held_) {
        apply(id, it.keeper->tick(now));
    }
    apply_budget();
    for (auto& it : routers_) {
        apply(it.second.tick(now));
    }
}

void placement_runtime::poll_reports() {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto& [id, it] : held_) {
        const auto found = engines_.find(id);
        if (found == engines_.end() || it.report_pending) {
            continue;
        }
        it.report_pending = true;
        workers_.post([this, id = id, client = found->second.client] { poll_report(id, client); });
    }
}

void placement_runtime::poll_report(const endpoint_id& id,
                                    const std::shared_ptr<http::client>& client) {
    const http::call_result result = client->call({"GET", "/v1/load", {}, {}});
    std::optional<placement::engine_report> report;
    const auto* answer = std::get_if<http::response>(&result);
    if (answer != nullptr && answer->status == 200) {
        try {
            report = parse_report(id, answer->body);
        } catch (const std::exception& e) {
            log_event(severity::warning, "engine_report_malformed",
                      {{"endpoint", id}, {"cause", e.what()}});
        }
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto held = held_.find(id);
    if (held == held_.end()) {
        return;
    }
    held->second.report_pending = false;
    if (report) {
        apply(id, held->second.keeper->on_report(*report, clock_.now()));
        dispatch_queued();
    }
}

void placement_runtime::leave() {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        leaving_ = true;
        policy_.leave();
    }
    poll_ownership();
}

std::size_t placement_runtime::held() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return policy_.own_holdings().size() + handoffs_.size();
}

std::vector<ownership::holding> placement_runtime::holdings() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return policy_.own_holdings();
}

}  // namespace radishpulley::daemon
