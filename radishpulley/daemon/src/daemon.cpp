#include "daemon/daemon.h"

#include <algorithm>
#include <condition_variable>
#include <fstream>
#include <future>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "base/digest.h"
#include "daemon/admin_server.h"
#include "daemon/caller_server.h"
#include "daemon/request_session.h"
#include "idempotency/record_sweeper.h"
#include "membership/incarnation_store.h"
#include "object_api/http_object_store.h"
#include "object_api/http_vm_list.h"
#include "peer/websocket_transport.h"
#include "requests/shutdown_sequence.h"
#include "telemetry/event_log.h"

namespace radishpulley::daemon {
namespace {

using telemetry::log_event;
using telemetry::severity;

constexpr std::size_t worker_threads = 8;
constexpr duration fleet_tick = std::chrono::milliseconds(50);
constexpr duration vm_list_interval = std::chrono::seconds(5);
constexpr duration epoch_interval = std::chrono::seconds(2);
constexpr duration record_retry_interval = std::chrono::seconds(1);
constexpr duration export_interval = std::chrono::seconds(1);
constexpr duration sweep_interval = std::chrono::seconds(10);
constexpr std::size_t calls_per_sweep = 50;
constexpr duration readiness_interval = std::chrono::milliseconds(100);
constexpr duration shutdown_interval = std::chrono::milliseconds(100);
constexpr std::chrono::milliseconds incarnation_pause{500};

std::string read_secret(const std::string& path) {
    std::ifstream in(path);
    if (!in) {
        throw std::runtime_error("cannot read the secret file " + path);
    }
    std::ostringstream text;
    text << in.rdbuf();
    std::string secret = text.str();
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) {
        secret.pop_back();
    }
    if (secret.empty()) {
        throw std::runtime_error("the secret file " + path + " is empty");
    }
    return secret;
}

std::chrono::milliseconds to_milliseconds(duration it) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(it);
}

// A VM's start without an incarnation could act in the name of an earlier start, so this waits
// until the object API gives one.
vm_incarnation raise_incarnation(object_api::object_store& api, const vm_id& vm) {
    membership::incarnation_store store(api);
    for (;;) {
        const auto result = store.next_incarnation(vm);
        if (const auto* it = std::get_if<vm_incarnation>(&result)) {
            return *it;
        }
        log_event(severity::warning, "incarnation_unknown", {{"vm", vm}});
        std::this_thread::sleep_for(incarnation_pause);
    }
}

std::unique_ptr<peer::peer_transport> make_transport(const settings::settings& with,
                                                     const vm_incarnation& self,
                                                     const clock& time) {
    return peer::websocket_transport_builder(time)
        .self(self)
        .secret(read_secret(with.peers.secret_file))
        .listen(with.peers.listen)
        .heartbeat(with.peers.heartbeat_interval, with.peers.heartbeat_deadline)
        .build();
}

object_api::vm_entry own_entry(const settings::settings& with) {
    object_api::vm_entry it;
    it.vm = with.vm.id;
    it.zone = with.vm.availability_zone;
    it.region = with.vm.region;
    it.peer_address = with.peers.advertise.empty() ? with.peers.listen : with.peers.advertise;
    return it;
}

fleet::fleet_settings fleet_settings_from(const settings::settings& with) {
    fleet::fleet_settings it;
    it.freshness.max_evidence_age = with.keys.freshness_limit;
    return it;
}

admin_settings admin_settings_from(const settings::settings& with, std::string key_secret) {
    admin_settings it;
    it.address = with.administration.listen;
    it.tls = {with.administration.tls.certificate_file, with.administration.tls.key_file};
    it.token_digest = with.administration.token_digest;
    if (it.token_digest.empty()) {
        it.token_digest = sha256_hex(read_secret(with.administration.token_file));
    }
    it.key_secret = std::move(key_secret);
    return it;
}

http::server_limits caller_limits(const settings::settings& with) {
    http::server_limits it;
    it.max_body_bytes = with.callers.max_body_bytes;
    it.max_header_bytes = with.callers.max_header_bytes;
    it.idle_timeout =
        std::chrono::duration_cast<std::chrono::seconds>(with.callers.request_timeout);
    return it;
}

requests::retry_limits retry_limits_from(const settings::settings& with) {
    requests::retry_limits it;
    it.ratio = with.limits.retry_budget_ratio;
    return it;
}

requests::request_limits request_limits_from(const settings::settings& with) {
    requests::request_limits it;
    it.max_attempts = static_cast<requests::attempt_number>(with.limits.attempts_per_request);
    return it;
}

requests::shutdown_settings shutdown_from(const settings::settings& with) {
    return requests::shutdown_settings_builder()
        .balancer_wait(with.limits.balancer_notice)
        .grace(with.limits.shutdown_grace)
        .longest_request(with.callers.request_timeout)
        .build();
}

}  // namespace

struct daemon::details {
    const settings::settings settings;
    const system_clock time;
    object_api::http_object_store api;
    object_api::http_object_store probes;
    object_api::http_vm_list vm_list;
    const vm_incarnation self;
    const std::string key_secret;
    telemetry::registry registry;
    telemetry::request_metrics metrics;
    worker_pool workers;
    message_bus bus;
    fleet_runtime fleet;
    quota_runtime quota;
    placement_runtime placement;
    application_pool applications;
    idempotency::once_guard records;
    idempotency::record_epochs epochs;
    idempotency::record_sweeper sweeper;
    std::size_t next_sweep = 0;
    retry_budgets retries;
    session_table sessions;
    services all;
    service_state state;
    std::unique_ptr<caller_server> callers;
    std::unique_ptr<admin_server> operators;
    std::mutex shutdown_mutex;
    requests::shutdown_sequence shutdown;
    bool shutdown_begun = false;
    std::once_flag holdings_returned;
    std::promise<int> exit_status;

    explicit details(settings::settings with);

    void start();
    void start_bus();
    void read_vm_list();
    void update_readiness();
    void sweep_records();
    void on_configuration(const configuration_view& view);
    void end_withdrawn(const configuration_view& view);
    void begin_shutdown();
    void poll_shutdown();
    void carry_out(const requests::shutdown_action& it);
    void return_holdings();
};

daemon::details::details(settings::settings with)
    : settings(std::move(with)),
      api(settings.platform.object_api, to_milliseconds(settings.platform.timeout)),
      probes(settings.platform.object_api,
             to_milliseconds(fleet::fleet_settings().freshness.probe_deadline)),
      vm_list(settings.platform.vm_list, to_milliseconds(settings.platform.timeout)),
      self(raise_incarnation(api, settings.vm.id)),
      key_secret(read_secret(settings.keys.secret_file)),
      metrics(registry),
      workers(worker_threads),
      bus(make_transport(settings, self, time), registry),
      fleet(own_entry(settings), self.incarnation, fleet_settings_from(settings), key_secret, time,
            api, probes, bus, workers),
      quota(self, time, api, bus, workers),
      placement(self, settings.vm.availability_zone, settings.vm.region,
                settings.callers.request_timeout, time, api, bus, workers),
      applications(to_milliseconds(settings.callers.request_timeout)),
      records(api, self, idempotency::guard_limits()),
      epochs(api),
      sweeper(api),
      retries(retry_limits_from(settings), stable_hash(self.vm.str())),
      all{time,
          self,
          workers,
          fleet,
          quota,
          placement,
          applications,
          records,
          epochs,
          retries,
          sessions,
          metrics,
          request_limits_from(settings),
          settings.callers.request_timeout,
          to_milliseconds(settings.callers.request_timeout)},
      shutdown(shutdown_from(settings)) {}

void daemon::details::start() {
    fleet.add_listener([this](const auto& view) { on_configuration(*view); });
    start_bus();
    read_vm_list();
    quota.start();
    placement.start();
    workers.repeat(fleet_tick, [this] { fleet.handle(fleet::time_passed{}); });
    workers.repeat(vm_list_interval, [this] { read_vm_list(); });
    workers.post([this] { epochs.poll(time.now()); });
    workers.repeat(epoch_interval, [this] { epochs.poll(time.now()); });
    workers.repeat(record_retry_interval, [this] { records.retry_pending(time.now()); });
    workers.repeat(export_interval, [this] { bus.export_counters(); });
    workers.repeat(sweep_interval, [this] { sweep_records(); });
    workers.repeat(readiness_interval, [this] { update_readiness(); });
    callers = std::make_unique<caller_server>(
        settings.callers.listen, caller_limits(settings),
        http::tls_files{settings.callers.tls.certificate_file, settings.callers.tls.key_file}, all,
        state);
    operators = std::make_unique<admin_server>(admin_settings_from(settings, key_secret), all,
                                               state, registry);
    log_event(
        severity::info, "daemon_started",
        {{"vm", self.vm}, {"incarnation", self.incarnation}, {"callers", settings.callers.listen}});
}

void daemon::details::start_bus() {
    bus_handlers handlers;
    handlers.on_fleet = [this](const vm_incarnation& from, fleet::message it) {
        placement.on_alive(from);
        const auto* status = std::get_if<fleet::status>(&it);
        if (status != nullptr && status->beat.leaving) {
            placement.on_leaving(from);
        }
        fleet.handle(fleet::peer_message{from.vm, std::move(it)});
    };
    handlers.on_quota = [this](const vm_incarnation& from, const quota::quota_message& it) {
        quota.on_message(from, it);
    };
    handlers.on_placement = [this](const vm_incarnation&, const placement::message& it) {
        placement.on_message(it);
    };
    handlers.on_connected = [this](const vm_incarnation& it) {
        placement.on_alive(it);
        quota.on_incarnation(it);
        fleet.handle(fleet::peer_connected{it.vm});
    };
    handlers.on_disconnected = [this](const vm_id& vm, bool refused) {
        fleet.handle(fleet::peer_disconnected{vm, refused});
    };
    handlers.on_superseded = [this] {
        log_event(severity::error, "superseded", {{"incarnation", self.incarnation}});
        workers.post([this] { begin_shutdown(); });
    };
    bus.start(std::move(handlers));
}

void daemon::details::read_vm_list() {
    const object_api::vm_list_result result = vm_list.read();
    const auto* vms = std::get_if<std::vector<object_api::vm_entry>>(&result);
    if (vms == nullptr) {
        return;
    }
    quota.on_vms(*vms);
    placement.on_vms(*vms);
    fleet.handle(fleet::vm_list_read{*vms});
}

// One shard a turn; a shard that another VM sweeps costs nothing.
void daemon::details::sweep_records() {
    const std::size_t shard = next_sweep++ % idempotency::record_shard_count;
    const auto epoch = epochs.current(time.now());
    std::vector<vm_id> vms;
    for (const membership::member& it : fleet.members()) {
        vms.push_back(it.entry.vm);
    }
    if (std::find(vms.begin(), vms.end(), self.vm) == vms.end()) {
        vms.push_back(self.vm);
    }
    if (epoch && idempotency::is_sweeper(shard, self.vm, vms)) {
        sweeper.sweep(shard, *epoch, calls_per_sweep);
    }
}

void daemon::details::update_readiness() {
    bool serving = false;
    {
        const std::lock_guard<std::mutex> lock(shutdown_mutex);
        serving = shutdown.is_ready();
        state.accepts_new = shutdown.accepts_new();
    }
    const bool knows = !std::holds_alternative<keys::refuse_keyed>(fleet.serving());
    state.ready = serving && knows;
}

void daemon::details::on_configuration(const configuration_view& view) {
    quota.configure(view.value());
    placement.configure(view.value());
    applications.configure(view.value());
    end_withdrawn(view);
}

void daemon::details::end_withdrawn(const configuration_view& view) {
    std::vector<keys::running_request> running;
    const auto list = sessions.list();
    for (const auto& it : list) {
        keys::running_request entry = it->running();
        if (!entry.key.empty()) {
            running.push_back(std::move(entry));
        }
    }
    const std::vector<request_id> ended = keys::requests_to_end(running, view.value());
    for (const auto& it : list) {
        if (std::find(ended.begin(), ended.end(), it->id()) != ended.end()) {
            it->handle(requests::events::key_withdrawn{});
        }
    }
}

void daemon::details::begin_shutdown() {
    std::vector<requests::shutdown_action> actions;
    {
        const std::lock_guard<std::mutex> lock(shutdown_mutex);
        if (std::exchange(shutdown_begun, true)) {
            return;
        }
        actions = shutdown.begin(time.now());
    }
    log_event(severity::info, "shutdown_begun", {{"running", sessions.size()}});
    fleet.leave();
    for (const auto& it : actions) {
        carry_out(it);
    }
    workers.repeat(shutdown_interval, [this] { poll_shutdown(); });
}

void daemon::details::poll_shutdown() {
    std::vector<requests::shutdown_action> actions;
    {
        const std::lock_guard<std::mutex> lock(shutdown_mutex);
        const std::size_t held = placement.held() + quota.slot_count() + records.pending();
        actions = shutdown.poll(sessions.size(), held, time.now());
    }
    for (const auto& it : actions) {
        carry_out(it);
    }
    if (shutdown.phase() == requests::shutdown_phase::returning) {
        placement.leave();
    }
}

void daemon::details::carry_out(const requests::shutdown_action& it) {
    if (std::holds_alternative<requests::report_not_ready>(it)) {
        state.ready = false;
    } else if (std::holds_alternative<requests::refuse_new_requests>(it)) {
        state.accepts_new = false;
    } else if (std::holds_alternative<requests::end_grace_period>(it)) {
        for (const auto& session : sessions.list()) {
            session->handle(requests::events::grace_ended{});
        }
    } else if (std::holds_alternative<requests::return_holdings>(it)) {
        std::call_once(holdings_returned, [this] { return_holdings(); });
    } else if (const auto* exit = std::get_if<requests::exit_process>(&it)) {
        exit_status.set_value(exit->status);
    }
}

void daemon::details::return_holdings() {
    quota.stop();
    placement.leave();
}

daemon::daemon(settings::settings with) : details_(std::make_unique<details>(std::move(with))) {
    details_->start();
}

daemon::~daemon() {
    details_->operators.reset();
    details_->callers.reset();
    details_->bus.stop();
    details_->workers.stop();
}

void daemon::begin_shutdown() {
    details_->begin_shutdown();
}

int daemon::wait() {
    return details_->exit_status.get_future().get();
}

}  // namespace radishpulley::daemon
