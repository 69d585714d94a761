#include "daemon/fleet_runtime.h"

#include <thread>
#include <utility>

#include "base/findings.h"
#include "base/overloaded.h"
#include "telemetry/event_log.h"

namespace radishpulley::daemon {
namespace {

using telemetry::log_event;
using telemetry::severity;

constexpr duration clean_up_delay = std::chrono::seconds(10);
constexpr std::size_t clean_up_limit = 32;

bool touches_head(const object_api::watch_answer& it, object_api::store_revision since) {
    if (since == 0 || !it.complete) {
        return true;
    }
    for (const std::string& name : it.changed) {
        if (name == tickets::head_object) {
            return true;
        }
    }
    return false;
}

}  // namespace

fleet_runtime::fleet_runtime(object_api::vm_entry self, incarnation_number incarnation,
                             fleet::fleet_settings settings, std::string key_secret,
                             const clock& time, object_api::object_store& api,
                             object_api::object_store& probes, message_bus& bus,
                             worker_pool& workers)
    : clock_(time),
      probes_(probes),
      bus_(bus),
      workers_(workers),
      store_(api, time, [](duration it) { std::this_thread::sleep_for(it); }),
      reads_(probes, time, [](duration it) { std::this_thread::sleep_for(it); }),
      agent_(std::move(self), incarnation, settings, time.now()),
      view_(std::make_shared<configuration_view>(
          configuration_view{{}, keys::key_authenticator(std::move(key_secret))})) {}

void fleet_runtime::add_listener(listener it) {
    listeners_.push_back(std::move(it));
}

void fleet_runtime::handle(const fleet::event& it) {
    const std::lock_guard<std::mutex> lock(mutex_);
    apply(it);
}

void fleet_runtime::apply(const fleet::event& it) {
    for (const fleet::action& action : agent_.handle(it, clock_.now())) {
        carry_out(action);
    }
}

void fleet_runtime::carry_out(const fleet::action& it) {
    std::visit(overloaded{[&](const membership::connect_to& a) { bus_.connect(a.vm, a.address); },
                          [&](const membership::disconnect_from& a) { bus_.disconnect(a.vm); },
                          [&](const fleet::send_to& a) { bus_.send(a.vm, a.content); },
                          [&](const fleet::probe_api& a) { probe(a); },
                          [&](const tickets::read_head&) { read_head(); },
                          [&](const tickets::read_shard& a) { read_shard(a); },
                          [&](const tickets::put_in_force& a) { put_in_force(a); }},
               it);
}

void fleet_runtime::probe(const fleet::probe_api& it) {
    workers_.post([this, since = it.since] {
        const time_point sent = clock_.now();
        const auto result = probes_.watch(tickets::head_object, since, duration(0));
        if (const auto* answer = std::get_if<object_api::watch_answer>(&result)) {
            handle(fleet::probe_answered{sent, answer->revision, touches_head(*answer, since)});
        } else {
            handle(fleet::api_silent{});
        }
    });
}

void fleet_runtime::read_head() {
    workers_.post([this] {
        const time_point sent = clock_.now();
        const tickets::head_result result = reads_.load_head();
        if (const auto* at = std::get_if<tickets::head>(&result)) {
            handle(fleet::head_answered{sent, *at});
        } else {
            handle(fleet::api_silent{});
        }
    });
}

void fleet_runtime::read_shard(const tickets::read_shard& it) {
    workers_.post([this, it] {
        const tickets::shard_result result = reads_.load_shard(it.index, it.name);
        const auto* text = std::get_if<std::string>(&result);
        handle(fleet::shard_answered{{it.index, it.name, text == nullptr ? "" : *text}});
    });
}

void fleet_runtime::put_in_force(const tickets::put_in_force& it) {
    auto next = std::make_shared<configuration_view>(
        configuration_view{it.now, view_->keys.updated(it.now.value)});
    std::atomic_store(&view_, std::shared_ptr<const configuration_view>(next));
    log_event(severity::info, "configuration_in_force",
              {{"ticket", it.now.at.number}, {"changed_shards", it.changed_shards.size()}});
    workers_.post([this, next] {
        for (const listener& call : listeners_) {
            call(next);
        }
    });
}

std::variant<tickets::accept_result, keys::must_not_commit> fleet_runtime::accept(
    const model::ticket& it) {
    const std::lock_guard<std::mutex> one_at_a_time(accept_mutex_);
    if (const auto refusal = start_accept()) {
        return *refusal;
    }
    const tickets::accept_result result = store_.accept(it, view()->committed);
    std::optional<tickets::accepted_here> done;
    if (const auto* accepted = std::get_if<tickets::accepted>(&result)) {
        done = tickets::accepted_here{accepted->after, it};
    }
    handle(fleet::accept_ended{done});
    if (done) {
        workers_.post_after(clean_up_delay,
                            [this] { store_.remove_unused_shards(clean_up_limit); });
    }
    return result;
}

// No hold may be given between the question and the commit, so both stand in one step.
std::optional<keys::must_not_commit> fleet_runtime::start_accept() {
    const std::lock_guard<std::mutex> lock(mutex_);
    apply(fleet::accept_started{});
    const keys::commit_decision decision = agent_.committing(clock_.now());
    const auto* refusal = std::get_if<keys::must_not_commit>(&decision);
    if (refusal == nullptr) {
        return std::nullopt;
    }
    apply(fleet::accept_ended{std::nullopt});
    return *refusal;
}

std::shared_ptr<const configuration_view> fleet_runtime::view() const {
    return std::atomic_load(&view_);
}

keys::serving_decision fleet_runtime::serving() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return agent_.serving(clock_.now());
}

tickets::rollout_status fleet_runtime::rollout(model::ticket_number number) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return agent_.rollout(number);
}

std::vector<membership::member> fleet_runtime::members() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return agent_.members().members();
}

std::vector<vm_id> fleet_runtime::connected_peers() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return agent_.members().connected_peers(clock_.now());
}

void fleet_runtime::leave() {
    const std::lock_guard<std::mutex> one_at_a_time(accept_mutex_);
    const std::lock_guard<std::mutex> lock(mutex_);
    agent_.leave(clock_.now());
}

}  // namespace radishpulley::daemon
