#include "edge/edge_daemon.h"

#include <malloc.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include "acceptor.h"
#include "base/digest.h"
#include "base/findings.h"
#include "base/overloaded.h"
#include "catch_up_schedule.h"
#include "configuration_intake.h"
#include "delayed_call.h"
#include "edge/account_watcher.h"
#include "edge/fleet_member.h"
#include "edge/load_coordinator.h"
#include "edge/load_time_monitor.h"
#include "evacuation_follower.h"
#include "fleet_relays.h"
#include "gateway/collection_follower.h"
#include "gateway/gateway.h"
#include "gateway/http_status.h"
#include "heap_trim.h"
#include "platform_adapter/decoders.h"
#include "platform_adapter/wire_engine_port.h"
#include "platform_adapter/wire_header_codec.h"
#include "platform_adapter/wire_object_collections.h"
#include "process_limits.h"
#include "routing/entry_change_filter.h"
#include "settings_file.h"
#include "software_recorder.h"
#include "status_server.h"
#include "store_pace.h"
#include "stream_archive.h"
#include "stream_keepers.h"
#include "telemetry/event_log.h"
#include "telemetry/guarded.h"

namespace radishpulley::edge {
namespace {

using telemetry::severity;

constexpr std::chrono::milliseconds housekeeping_interval{400};
constexpr duration settings_check_interval = std::chrono::seconds(2);
// Delay that coalesces status messages about several long prompts.
constexpr std::chrono::milliseconds large_prefill_delay{10};
// Delay that coalesces status messages about the limits of several endpoints.
constexpr std::chrono::milliseconds limits_delay{50};
// Range of the delay that coalesces messages about suspects that are accused of crashes.
// Each VM has its own, so that a fleet that could all speak for a suspect does not do so at once.
constexpr std::chrono::milliseconds min_suspects_delay{5};
constexpr std::chrono::milliseconds max_suspects_delay{125};
// Delay that coalesces reports about several copies of store collections.
constexpr std::chrono::milliseconds store_reports_delay{5};
// Minimum validity of a peer's statements about its work at endpoints.
constexpr duration min_work_lifetime = std::chrono::seconds(2);
// Time after SIGTERM during which the platform's balancer may still open new connections.
constexpr duration balancer_delay = std::chrono::milliseconds(2'600);
// Part of the shutdown grace period after which no request is accepted that may outlast it.
constexpr double careful_part = 0.375;
// Part of the grace period that is left unused, and time before it for the last responses.
constexpr duration grace_margin = std::chrono::milliseconds(400);
constexpr duration last_responses_time = std::chrono::milliseconds(300);
// Part of the time in which a configuration must be in force that reports of other VMs are given to
// bring it, before the store is asked.
constexpr int bound_parts_for_reports = 4;
// A configuration beyond this does not fit into a datagram; changes of it may.
constexpr std::size_t max_whole_configuration_bytes = 40'000;
constexpr double retry_fraction = 0.8;
// The rest of the reserve covers requests that are larger than the remaining overdraft.
constexpr double limit_fraction = 0.4;

gateway::gateway_settings data_path_settings(const settings::edge_settings& settings) {
    gateway::gateway_settings out;
    out.location = {settings.availability_zone, settings.region, settings.regions};
    out.retry_ratio = settings.bounds.retry_ratio * retry_fraction;
    out.retry_reserve = settings.bounds.retry_reserve * retry_fraction;
    out.limiter.overdraft = settings.bounds.limit_reserve * limit_fraction;
    out.version_apply = settings.bounds.version_apply;
    out.requires_evacuations = settings.bounds.evacuation.has_value();
    const gateway::follower_settings follower = configuration_follower_settings(settings.bounds);
    out.max_endpoints_age = settings.bounds.endpoint_drain;
    out.authoritative_age = follower.watch_wait + follower.response_timeout;
    const caller_allowance allowance = allowance_for_callers(process_limits_of(settings.limits));
    out.max_held_bytes = allowance.memory_bytes;
    out.max_connections = allowance.connections;
    return out;
}

std::chrono::milliseconds suspects_delay(const vm_id& vm) {
    const auto range =
        static_cast<std::uint64_t>((max_suspects_delay - min_suspects_delay).count());
    return min_suspects_delay +
           std::chrono::milliseconds(stable_hash("suspects|" + vm.str()) % range);
}

member_settings member_settings_of(const settings::edge_settings& settings) {
    member_settings out;
    out.vm = settings.vm;
    out.zone = settings.availability_zone;
    out.region = settings.region;
    out.address = settings.listen.peers;
    return out;
}

duration processor_time() {
    timespec it{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &it);
    return std::chrono::seconds(it.tv_sec) + std::chrono::nanoseconds(it.tv_nsec);
}

// Returns the callbacks of a follower that ignores removals.
gateway::follower_events for_each_object(std::function<void(const gateway::stored_object&)> handle,
                                         std::function<void()> on_confirmed) {
    return {[handle](const gateway::object_list& it) {
                std::for_each(it.objects.begin(), it.objects.end(), handle);
            },
            [handle](const gateway::object_change& it) {
                if (!it.removed) {
                    handle(it.object);
                }
            },
            [](bool) {},
            [] {},
            [](const gateway::object_change&) { return true; },
            std::move(on_confirmed)};
}

}  // namespace

class edge_daemon::impl {
public:
    impl(const settings::edge_settings& settings, std::string settings_path)
        : settings_(settings),
          settings_file_(std::move(settings_path)),
          signals_(loop_, SIGTERM, SIGINT, SIGHUP),
          timer_(loop_),
          nearby_status_call_(loop_, large_prefill_delay,
                              [this] { fleet_.send_status_nearby(current_status()); }),
          // Limits go to all VMs, because each may send requests to the endpoint.
          fleet_status_call_(loop_, limits_delay, [this] { fleet_.broadcast(current_status()); }),
          suspects_call_(loop_, suspects_delay(settings.vm), [this] { send_suspects(); }),
          store_reports_call_(loop_, store_reports_delay, [this] { send_store_reports(); }),
          expiry_timer_(loop_),
          stop_timer_(loop_),
          data_path_(loop_, time_, codec_, metrics_, data_path_settings(settings)),
          store_(loop_, time_, settings.store.address),
          engines_(loop_, data_path_.pool()),
          fleet_(loop_, time_, store_, member_settings_of(settings),
                 [this](const routing::hint_message& it) { on_hint(it); }),
          relays_(time_, member_settings_of(settings), fleet_),
          loads_(loop_, time_, store_, engines_, fleet_, data_path_,
                 settings.bounds.endpoints_check_fencing),
          accounts_(loop_, time_, settings.vm, fleet_, data_path_),
          archive_(loop_, time_, store_, settings.vm,
                   [this](const auto& it) { data_path_.on_streams_announced(it); }),
          streams_(loop_, settings.vm, fleet_, data_path_, archive_),
          software_(loop_, time_, store_, data_path_, settings.vm),
          configuration_(loop_, time_, store_, platform_adapter::configuration_kind,
                         configuration_follower_settings(settings.bounds),
                         for_each_object([this](const auto& it) { intake_.on_object(it); },
                                         [this] { on_configuration_confirmed(); })),
          endpoints_(loop_, time_, store_, platform_adapter::endpoints_kind,
                     endpoints_follower_settings(settings.bounds),
                     {[this](const gateway::object_list& it) { on_endpoints(it); },
                      [this](const gateway::object_change& it) {
                          if (it.removed) {
                              on_endpoint_removed(endpoint_id(it.object.name));
                          } else {
                              on_endpoint(it.object);
                          }
                      },
                      [](bool) {}, [this] { on_store_recovered(); },
                      [this](const gateway::object_change& it) { return is_relevant(it); },
                      [this] { on_endpoints_confirmed(); }}),
          versions_(loop_, time_, store_, platform_adapter::versions_kind,
                    versions_follower_settings(settings.bounds), version_events()),
          evacuations_(loop_, time_, store_, data_path_, [this] { schedule_store_reports(); }),
          readiness_(loop_, time_, [this] { return readiness(); }),
          metrics_server_(loop_, time_,
                          [this] {
                              return status_answer{gateway::status_ok, metrics_.to_text()};
                          }),
          callers_(loop_, settings.listen.callers,
                   [this](auto socket) { data_path_.accept(std::move(socket)); }),
          peers_port_(loop_, settings.listen.peers,
                      [this](auto socket) { data_path_.accept_peer(std::move(socket)); }),
          readiness_port_(loop_, settings.listen.readiness,
                          [this](auto socket) { readiness_.accept(std::move(socket)); }),
          metrics_port_(loop_, settings.listen.metrics,
                        [this](auto socket) { metrics_server_.accept(std::move(socket)); }) {
        store_.set_on_store_recovered([this] {
            renew_watches();
            // The fault that broke the connections to the store may have broken those to endpoints.
            data_path_.pool().close_all_idle();
        });
        store_.set_on_store_restored([this] {
            renew_watches();
            software_.on_store_restored();
        });
        data_path_.set_broker(loads_);
        data_path_.set_stream_peers(streams_);
        data_path_.set_relay_peers(relays_, time_of_day_);
        data_path_.set_configuration_age([this] { return configuration_.age(); });
        data_path_.set_endpoints_age([this] { return endpoints_.age(); });
        data_path_.set_confirm_endpoints([this] { endpoints_.confirm(); });
        data_path_.set_on_pause([this] { renew_watches(); });
        loads_.set_on_holders_confirmed([this] { schedule_store_reports(); });
        loads_.set_on_large_prefill([this] { nearby_status_call_.request(); });
        engines_.set_on_notice([this](const auto& from, const routing::endpoint_notice& it) {
            data_path_.on_notice(from, it);
        });
        data_path_.set_on_suspects_change([this] { suspects_call_.request(); });
        data_path_.set_on_limit_change([this] { fleet_status_call_.request(); });
        data_path_.set_on_reachability_change(
            [this](const service_id& it, bool reached) { on_reachability_change(it, reached); });
        data_path_.set_reaches([this](const service_id& it) { return data_path_.reaches(it); });
        relays_.set_is_cut_off([this](const vm_id& vm, const service_id& it) {
            return data_path_.peer_reachability().states_unreached(vm, it, time_.now());
        });
    }

    void run() {
        telemetry::log_event(severity::info, "started",
                             {{"vm", settings_.vm},
                              {"availability_zone", settings_.availability_zone},
                              {"callers", settings_.listen.callers},
                              {"store", settings_.store.address}});
        wait_for_signal();
        configuration_.start();
        endpoints_.start();
        versions_.start();
        configure_evacuations();
        fleet_.start();
        loads_.start();
        accounts_.start();
        software_.start();
        archive_.start();
        housekeep();
        while (!telemetry::run_guarded("event loop", [this] { loop_.run(); })) {
        }
        const std::size_t left = data_path_.request_count();
        const std::size_t connections_left = data_path_.connection_count();
        data_path_.close_callers();
        telemetry::log_event(severity::info, "stopped",
                             {{"vm", settings_.vm},
                              {"requests_left", left},
                              {"connections_left", connections_left}});
    }

private:
    telemetry::gauge& add_gauge(std::string_view name, std::string_view help) {
        return metrics_.add_gauges(name, help, {}).with({});
    }

    void wait_for_signal() {
        signals_.async_wait([this](const boost::system::error_code& ec, int signal) {
            if (ec) {
                return;
            }
            wait_for_signal();
            if (signal == SIGHUP) {
                reload();
            } else {
                begin_stop();
            }
        });
    }

    // Also runs periodically, because the platform may change the file without a signal.
    void reload() {
        settings_checked_ = time_.now();
        const auto next = settings_file_.poll();
        if (!next) {
            return;
        }
        const bool needs_restart = next->vm != settings_.vm ||
                                   next->availability_zone != settings_.availability_zone ||
                                   next->listen != settings_.listen;
        settings_.regions = next->regions;
        settings_.store = next->store;
        settings_.bounds = next->bounds;
        settings_.limits = next->limits;
        store_.set_address(settings_.store.address);
        loads_.set_endpoints_check_fencing(settings_.bounds.endpoints_check_fencing);
        data_path_.reconfigure(data_path_settings(settings_));
        configuration_.set_pace(configuration_follower_settings(settings_.bounds));
        endpoints_.set_pace(endpoints_follower_settings(settings_.bounds));
        versions_.set_pace(versions_follower_settings(settings_.bounds));
        configure_evacuations();
        telemetry::log_event(severity::info, "reload",
                             {{"vm", settings_.vm},
                              {"store", settings_.store.address},
                              {"retry_reserve", settings_.bounds.retry_reserve},
                              {"limit_reserve", settings_.bounds.limit_reserve},
                              {"needs_restart", needs_restart}});
    }

    void configure_evacuations() {
        evacuations_.set_zones(settings_.regions);
        evacuations_.set_bound(settings_.bounds.evacuation);
    }

    void begin_stop() {
        if (stop_began_) {
            return;
        }
        stop_began_ = time_.now();
        telemetry::log_event(
            severity::info, "stopping",
            {{"requests", data_path_.request_count()}, {"callers", data_path_.caller_count()}});
        const duration grace = settings_.bounds.shutdown_grace;
        const duration ends_after = grace - grace_margin - last_responses_time;
        const auto careful_after = std::chrono::duration_cast<duration>(grace * careful_part);
        data_path_.begin_stop({*stop_began_ + careful_after, *stop_began_ + ends_after});
        run_after(ends_after, [this] {
            callers_.close();
            data_path_.end_requests();
            run_after(last_responses_time, [this] { loop_.stop(); });
        });
        loads_.leave();
        fleet_.broadcast(current_status());
    }

    void run_after(duration wait, std::function<void()> step) {
        stop_timer_.expires_after(wait);
        stop_timer_.async_wait([step = std::move(step)](const boost::system::error_code& ec) {
            if (!ec) {
                step();
            }
        });
    }

    void on_reachability_change(const service_id& service, bool reached) {
        fleet_status_call_.request();
        update_cut_off_vms();
        if (!reached) {
            // The change may be told from inside an event of a connection that is in use.
            boost::asio::post(loop_,
                              [this, service] { data_path_.on_service_unreachable(service); });
        }
    }

    // Tells the coordinator of loads which VMs reach no endpoint of which service.
    void update_cut_off_vms() {
        std::map<service_id, std::set<vm_id>> cut_off;
        for (const service_id& it : data_path_.unreached_services()) {
            cut_off[it].insert(settings_.vm);
        }
        for (const auto& [vm, services] : data_path_.peer_reachability().unreached(time_.now())) {
            for (const service_id& it : services) {
                cut_off[it].insert(vm);
            }
        }
        loads_.set_cut_off_vms(std::move(cut_off));
    }

    status_answer readiness() const {
        const bool ready = !stop_began_ && data_path_.configuration() && endpoints_.has_list() &&
                           evacuations_.is_ready();
        return {ready ? gateway::status_ok : gateway::status_unavailable, ""};
    }

    void renew_watches() {
        configuration_.renew();
        endpoints_.renew();
        versions_.renew();
        evacuations_.renew();
        fleet_.renew();
        loads_.renew();
    }

    void on_configuration_confirmed() {
        if (data_path_.awaits_confirmation()) {
            // Requests are held until they can be handled by what the store has now.
            intake_.finish_pause();
        }
        data_path_.on_configuration_confirmed(configuration_.read_began());
        schedule_store_reports();
    }

    // Returns the copies of store collections that VMs report to each other.
    std::vector<gateway::collection_follower*> reported_copies() {
        std::vector<gateway::collection_follower*> out{&configuration_, &endpoints_, &versions_,
                                                       &loads_.holders()};
        if (gateway::collection_follower* followed = evacuations_.follower()) {
            out.push_back(followed);
        }
        return out;
    }

    void schedule_store_reports() {
        if (configuration_.role() != relay::copy_role::standalone) {
            store_reports_call_.request();
        }
    }

    void send_store_reports() {
        routing::store_reports out;
        for (gateway::collection_follower* it : reported_copies()) {
            if (auto report = it->report()) {
                out.reports.push_back(std::move(*report));
            }
        }
        fleet_.send_store_reports(out);
    }

    void on_reports(const routing::store_reports& it) {
        if (data_path_.awaits_confirmation()) {
            // The report may be as old as the pause of this process, having waited in the socket.
            return;
        }
        for (const relay::copy_report& report : it.reports) {
            for (gateway::collection_follower* copy : reported_copies()) {
                if (copy->kind() == report.collection) {
                    copy->on_report(report);
                }
            }
        }
    }

    // A VM that the store turns away learns the configuration from those that have it.
    void help_to_catch_up(const vm_id& vm, std::uint64_t version) {
        const auto& own = data_path_.configuration();
        // A VM that has none yet is listing it, and takes no reports before.
        const bool is_behind = version != 0 && own && version < own->version();
        if (!is_behind) {
            return;
        }
        if (!catch_ups_.try_send(vm, time_.now())) {
            return;
        }
        if (auto report = configuration_.full_report(max_whole_configuration_bytes)) {
            fleet_.send(vm, routing::store_reports{{std::move(*report)}});
        }
    }

    bool is_relevant(const gateway::object_change& it) {
        const auto entry = it.removed ? std::nullopt : read_endpoint(it.object);
        if (entry) {
            return entry_changes_.update(*entry);
        }
        entry_changes_.remove(endpoint_id(it.object.name));
        return true;
    }

    void send_suspects() {
        routing::request_quarantine& quarantine = data_path_.quarantine();
        fleet_.broadcast(routing::suspects_update{quarantine.take_changes(time_.now())});
        if (quarantine.has_changes()) {
            suspects_call_.request();
        }
    }

    void on_store_recovered() {
        data_path_.directory().on_store_recovered(time_.now());
        expiry_timer_.expires_after(data_path_.directory().recovery_grace());
        expiry_timer_.async_wait([this](const boost::system::error_code& ec) {
            if (!ec) {
                drop_expired_endpoints();
            }
        });
    }

    void drop_expired_endpoints() {
        for (const endpoint_id& id : data_path_.directory().advance(time_.now())) {
            drop_endpoint(id);
        }
    }

    std::optional<routing::endpoint> read_endpoint(const gateway::stored_object& it) {
        try {
            return platform_adapter::decode_endpoint(it.name, it.contents);
        } catch (const invalid_input& e) {
            telemetry::log_event(severity::warning, "endpoint_unreadable",
                                 {{"endpoint", it.name}, {"reason", std::string_view(e.what())}});
            return std::nullopt;
        }
    }

    void apply_endpoint(const routing::endpoint& it) {
        const routing::endpoint* current = data_path_.directory().find(it.id);
        const bool is_added = current == nullptr;
        const bool was_draining = !is_added && current->draining;
        data_path_.on_endpoint(it);
        current = data_path_.directory().find(it.id);
        if (is_added || current->draining != was_draining) {
            telemetry::log_event(severity::info, "endpoint",
                                 {{"endpoint", it.id},
                                  {"service", it.service},
                                  {"address", it.address},
                                  {"zone", it.zone},
                                  {"software", it.software_version},
                                  {"draining", current->draining},
                                  {"age", endpoints_.age()}});
        }
        loads_.on_endpoint(it);
    }

    void on_endpoint(const gateway::stored_object& it) {
        if (const auto entry = read_endpoint(it)) {
            apply_endpoint(*entry);
        } else {
            on_endpoint_removed(endpoint_id(it.name));
        }
    }

    void on_endpoints(const gateway::object_list& it) {
        std::vector<routing::endpoint> list;
        entry_changes_.clear();
        for (const auto& object : it.objects) {
            if (auto entry = read_endpoint(object)) {
                entry_changes_.update(*entry);
                list.push_back(std::move(*entry));
            }
        }
        for (const endpoint_id& id : data_path_.directory().on_list(list, time_.now())) {
            drop_endpoint(id);
        }
        for (const routing::endpoint& endpoint : list) {
            apply_endpoint(endpoint);
        }
        data_path_.on_directory_read();
        data_path_.on_endpoints_confirmed(endpoints_.read_began());
    }

    void on_endpoints_confirmed() {
        data_path_.on_endpoints_confirmed(endpoints_.read_began());
        schedule_store_reports();
    }

    void on_endpoint_removed(const endpoint_id& id) {
        const auto change = data_path_.directory().on_removed(id, time_.now());
        if (change == routing::directory_change::removed) {
            drop_endpoint(id);
        }
    }

    void drop_endpoint(const endpoint_id& id) {
        telemetry::log_event(severity::info, "endpoint_gone",
                             {{"endpoint", id}, {"age", endpoints_.age()}});
        data_path_.on_endpoint_removed(id);
        loads_.on_endpoint_removed(id);
    }

    gateway::follower_events version_events() {
        gateway::follower_events out = for_each_object([this](const auto& it) { on_version(it); },
                                                       [this] { schedule_store_reports(); });
        out.on_list = [this](const gateway::object_list& it) {
            for (const gateway::stored_object& object : it.objects) {
                on_version(object);
            }
            has_versions_ = true;
        };
        return out;
    }

    void on_version(const gateway::stored_object& it) {
        try {
            const auto announced = platform_adapter::decode_version(it.contents);
            // How old what this process reads first is can't be known: it counts as in force.
            const duration age =
                has_versions_ ? versions_.max_change_age() : settings_.bounds.version_apply;
            data_path_.on_version(announced.adapter, announced.version, time_.now() - age);
            loads_.on_version(announced.adapter, announced.version);
            telemetry::log_event(severity::info, "adapter_version",
                                 {{"model", announced.adapter.model},
                                  {"adapter", announced.adapter.adapter},
                                  {"version", announced.version},
                                  {"age", age},
                                  {"revision", it.revision}});
        } catch (const invalid_input& e) {
            telemetry::log_event(severity::warning, "version_unreadable",
                                 {{"object", it.name}, {"reason", std::string_view(e.what())}});
        }
    }

    void on_hint(const routing::hint_message& it) {
        data_path_.note_running();
        if (const auto* status = std::get_if<routing::vm_status>(&it.body)) {
            const time_point now = time_.now();
            intake_.on_peer_version(status->configuration_version);
            help_to_catch_up(it.from.vm, status->configuration_version);
            const duration work_lifetime = fleet_.lifetime_of(it.from.vm, min_work_lifetime);
            data_path_.work().on_peer_work(it.from.vm, status->work, now, work_lifetime);
            data_path_.limiter().on_peer_demand(it.from.vm, status->demand);
            contacts_.on_status(it.from.vm, status->losses, now);
            data_path_.on_peer_unreached(it.from.vm, status->unreached_services, work_lifetime);
            for (const routing::advertised_limit& limit : status->limits) {
                data_path_.on_peer_limit(it.from.vm, limit);
            }
            data_path_.on_peer_suspects(it.from.vm, status->suspects);
        } else if (const auto* reports = std::get_if<routing::store_reports>(&it.body)) {
            on_reports(*reports);
        } else if (const auto* update = std::get_if<routing::suspects_update>(&it.body)) {
            data_path_.on_peer_suspects(it.from.vm, update->suspects);
        } else if (const auto* uses = std::get_if<routing::account_usage_report>(&it.body)) {
            accounts_.on_hint(it.from, *uses);
        } else if (const auto* saturated = std::get_if<routing::saturated_accounts>(&it.body)) {
            accounts_.on_hint(it.from.vm, *saturated);
        } else if (const auto* begun = std::get_if<routing::stream_announcement>(&it.body)) {
            streams_.on_hint(*begun);
        } else if (const auto* query = std::get_if<routing::stream_query>(&it.body)) {
            streams_.on_hint(it.from.vm, *query);
        } else if (const auto* reply = std::get_if<routing::stream_reply>(&it.body)) {
            streams_.on_hint(*reply);
        } else {
            loads_.on_hint(it);
        }
    }

    // The store is asked if reports do not bring what other VMs have in force.
    void renew_lagging_configuration() {
        if (intake_.lag() > settings_.bounds.configuration_apply / bound_parts_for_reports) {
            configuration_.renew();
        }
    }

    void update_gauges() {
        const auto& configuration = data_path_.configuration();
        configuration_version_.set(configuration ? static_cast<double>(configuration->version())
                                                 : 0);
        endpoints_known_.set(static_cast<double>(data_path_.directory().all().size()));
        endpoints_limited_.set(static_cast<double>(data_path_.limits().count()));
        endpoints_cold_.set(static_cast<double>(data_path_.cold_limits().cold_count(time_.now())));
        services_unreached_.set(static_cast<double>(data_path_.unreached_services().size()));
        requests_blocked_.set(static_cast<double>(data_path_.quarantine().blocked_count(true)));
        segments_blocked_.set(static_cast<double>(data_path_.quarantine().blocked_count(false)));
        engines_held_.set(static_cast<double>(loads_.engines_held()));
        zones_evacuated_.set(static_cast<double>(data_path_.evacuations().zones().size()));
        vms_serving_.set(static_cast<double>(fleet_.serving(time_.now()).size()));
        store_calls_.set(static_cast<double>(store_.calls()));
        connections_made_.set(static_cast<double>(data_path_.pool().connections_made()));
        unsent_bytes_.set(static_cast<double>(data_path_.unsent_bytes()));
        held_bytes_.set(static_cast<double>(data_path_.budget()->held()));
        held_limit_.set(static_cast<double>(data_path_.budget()->limit()));
        caller_connections_.set(static_cast<double>(data_path_.connection_count()));
        hints_dropped_.set(static_cast<double>(fleet_.hints_dropped()));
        requests_queued_.set(static_cast<double>(data_path_.queued_count()));
        exceptions_.set(static_cast<double>(telemetry::contained_exceptions()));
        callers_left_unread_.set(static_cast<double>(data_path_.callers_left_unread()));
        refused_unread_.set(static_cast<double>(data_path_.refused_unread()));
        processor_seconds_.set(std::chrono::duration<double>(processor_time()).count());
        load_times_.update(data_path_.load_times(),
                           data_path_.adapters().loads_under_way(time_.now()));
        set_age("configuration", configuration_);
        set_age("endpoints", endpoints_);
        set_age("versions", versions_);
    }

    void set_age(std::string_view what, const gateway::collection_follower& it) {
        ages_.with({what}).set(std::chrono::duration<double>(it.age()).count());
    }

    routing::vm_status current_status() {
        routing::vm_status status;
        status.configuration_version =
            data_path_.configuration() ? data_path_.configuration()->version() : 0;
        status.leaving = stop_began_.has_value();
        status.work = data_path_.work().own();
        status.demand = data_path_.limiter().demand(time_.now());
        data_path_.limiter().note_demand_stated(time_.now());
        status.limits = data_path_.limits().advertised_limits(time_.now());
        status.suspects = data_path_.quarantine().suspects(time_.now());
        status.losses = contacts_.to_state(time_.now());
        status.unreached_services = data_path_.unreached_services();
        return status;
    }

    // Divides limits among all members, whether they are heard or not.
    void update_contacts(time_point now) {
        const std::vector<vm_id> members = fleet_.members(now);
        std::vector<routing::peer_contacts::member> others;
        for (const vm_id& vm : members) {
            if (vm != settings_.vm) {
                others.push_back({vm, fleet_.status_interval(vm)});
            }
        }
        contacts_.set_members(others, now);
        const bool yields =
            fleet_.may_be_marked_gone(std::min(configuration_.age(), endpoints_.age()));
        // Other VMs don't count this one before it is registered and once it is marked as gone.
        const bool is_counted = fleet_.self().has_value() && !yields;
        data_path_.set_members(settings_.vm, members, is_counted);
        const std::vector<routing::lost_contact> lost = contacts_.lost(now);
        data_path_.limiter().set_lost_contacts(lost);
        if (yields != yields_limits_) {
            yields_limits_ = yields;
            telemetry::log_event(severity::warning, "limits_yielded",
                                 {{"yields", yields},
                                  {"lost", lost.size()},
                                  {"members", members.size()},
                                  {"configuration_age", configuration_.age()},
                                  {"endpoints_age", endpoints_.age()}});
        }
        data_path_.limiter().set_yielding(yields);
        if (lost.size() != lost_contacts_) {
            lost_contacts_ = lost.size();
            log_contacts(lost, members.size(), now);
        }
    }

    static void log_contacts(gsl::span<const routing::lost_contact> lost, std::size_t members,
                             time_point now) {
        std::string vms;
        bool is_contested = false;
        duration longest{};
        for (const routing::lost_contact& it : lost) {
            vms += (vms.empty() ? "" : ",") + it.vm.str();
            is_contested = is_contested || it.contested;
            const bool was_heard = it.since != time_point::min();
            longest = std::max(longest, was_heard ? now - it.since : duration::zero());
        }
        telemetry::log_event(lost.empty() ? severity::info : severity::warning, "contacts_changed",
                             {{"lost", lost.size()},
                              {"vms", vms},
                              {"longest", longest},
                              {"contested", is_contested},
                              {"members", members}});
    }

    void housekeep() {
        telemetry::run_guarded("housekeeping", [this] { update(); });
        if (stop_began_ && advance_stop(time_.now())) {
            loop_.stop();
            return;
        }
        timer_.expires_after(housekeeping_interval);
        timer_.async_wait([this](const boost::system::error_code& ec) {
            if (!ec) {
                housekeep();
            }
        });
    }

    void update() {
        const time_point now = time_.now();
        data_path_.note_running();
        drop_expired_endpoints();
        data_path_.pool().sweep();
        data_path_.sweep();
        if (heap_trim_.on_held(data_path_.budget()->held())) {
            malloc_trim(0);
        }
        data_path_.work().drop_expired(now);
        data_path_.quarantine().drop_expired(now);
        if (now - settings_checked_ >= settings_check_interval) {
            reload();
        }
        renew_lagging_configuration();
        update_gauges();
        const auto [rank, vms] = fleet_.rank_in_zone(now);
        for (gateway::collection_follower* it : reported_copies()) {
            it->set_rank(rank, vms);
        }
        const std::vector<vm_id> serving = fleet_.serving(now);
        data_path_.set_serving(settings_.vm, serving);
        update_contacts(now);
        update_cut_off_vms();
        fleet_.mark_gone_vms();
        catch_ups_.set_vms(settings_.vm, serving);
        accounts_.set_serving(serving);
        streams_.set_serving(serving);
        software_.update(serving);
        fleet_.send_status(current_status());
    }

    // Advances the shutdown; returns true once the daemon may exit.
    bool advance_stop(time_point now) {
        const duration time_stopping = now - *stop_began_;
        if (time_stopping < balancer_delay) {
            return false;
        }
        callers_.close_if_quiet();
        peers_port_.close();
        data_path_.close_idle_callers();
        return !callers_.is_open() && data_path_.is_drained();
    }

    settings::edge_settings settings_;
    settings_file settings_file_;
    time_point settings_checked_{};
    boot_clock time_;
    system_wall_clock time_of_day_;
    boost::asio::io_context loop_{1};
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    delayed_call nearby_status_call_;
    delayed_call fleet_status_call_;
    delayed_call suspects_call_;
    delayed_call store_reports_call_;
    catch_up_schedule catch_ups_;
    boost::asio::steady_timer expiry_timer_;
    boost::asio::steady_timer stop_timer_;
    telemetry::registry metrics_;
    telemetry::gauge& configuration_version_ =
        add_gauge("configuration_version", "Version of the configuration in force.");
    telemetry::gauge& endpoints_known_ = add_gauge("endpoints", "Endpoints known.");
    telemetry::gauge& endpoints_limited_ =
        add_gauge("endpoints_limited", "Endpoints that name a limit in their answers.");
    telemetry::gauge& endpoints_cold_ = add_gauge("endpoints_cold", "Endpoints that are cold.");
    telemetry::gauge& services_unreached_ =
        add_gauge("services_unreached", "Services of which this VM reaches no endpoint.");
    telemetry::gauge& requests_blocked_ =
        add_gauge("requests_blocked", "Single requests that are refused, as they crash endpoints.");
    telemetry::gauge& segments_blocked_ =
        add_gauge("prompt_segments_blocked",
                  "Prompt segments whose requests are refused, as they crash engines.");
    telemetry::gauge& engines_held_ = add_gauge("engines_held", "Engines ordered by this VM.");
    telemetry::gauge& zones_evacuated_ =
        add_gauge("zones_evacuated", "Availability zones that are evacuated.");
    telemetry::gauge& vms_serving_ = add_gauge("vms_serving", "VMs that serve callers.");
    telemetry::gauge& store_calls_ =
        add_gauge("store_calls", "Calls to the store since the start.");
    telemetry::gauge& connections_made_ =
        add_gauge("endpoint_connections", "Connections made to endpoints since the start.");
    telemetry::gauge& unsent_bytes_ =
        add_gauge("unsent_bytes", "Answer bytes that wait for callers to read.");
    telemetry::gauge& held_bytes_ = add_gauge("caller_memory_bytes", "Memory that callers hold.");
    telemetry::gauge& held_limit_ =
        add_gauge("caller_memory_limit_bytes", "Memory that callers may hold.");
    telemetry::gauge& caller_connections_ =
        add_gauge("caller_connections", "Connections of callers.");
    telemetry::gauge& hints_dropped_ =
        add_gauge("hints_dropped", "Datagrams that were not sent or not taken.");
    telemetry::gauge& requests_queued_ =
        add_gauge("requests_queued", "Requests that were read and wait for their start.");
    telemetry::gauge& callers_left_unread_ =
        add_gauge("callers_left_unread", "Connections whose callers left before they were read.");
    telemetry::gauge& refused_unread_ =
        add_gauge("requests_refused_unread", "Requests refused unread, as the VM was overloaded.");
    telemetry::gauge& exceptions_ =
        add_gauge("exceptions_contained", "Exceptions that left the handler of one event.");
    telemetry::gauge& processor_seconds_ =
        add_gauge("processor_seconds", "Processor time of the process since its start.");
    telemetry::gauge_family& ages_ = metrics_.add_gauges(
        "belief_age_seconds", "Time since the store last confirmed what is known.", {"what"});
    configuration_intake intake_{
        loop_, time_, metrics_,
        [this](const routing::configuration_ptr& it) { data_path_.on_configuration(it); }};
    load_time_monitor load_times_{metrics_};
    platform_adapter::wire_header_codec codec_;
    gateway::gateway data_path_;
    platform_adapter::wire_object_collections store_;
    platform_adapter::wire_engine_port engines_;
    fleet_member fleet_;
    fleet_relays relays_;
    load_coordinator loads_;
    account_watcher accounts_;
    stream_archive archive_;
    stream_keepers streams_;
    software_recorder software_;
    routing::entry_change_filter entry_changes_;
    routing::peer_contacts contacts_{settings_.vm};
    std::size_t lost_contacts_ = 0;
    bool yields_limits_ = false;
    /// Whether the versions that were announced before this process started were read.
    bool has_versions_ = false;
    gateway::collection_follower configuration_;
    gateway::collection_follower endpoints_;
    gateway::collection_follower versions_;
    evacuation_follower evacuations_;
    status_server readiness_;
    status_server metrics_server_;
    acceptor callers_;
    acceptor peers_port_;
    acceptor readiness_port_;
    acceptor metrics_port_;
    heap_trim heap_trim_;
    std::optional<time_point> stop_began_;
};

edge_daemon::edge_daemon(const settings::edge_settings& settings, std::string settings_path)
    : impl_(std::make_unique<impl>(settings, std::move(settings_path))) {}

edge_daemon::~edge_daemon() = default;

void edge_daemon::run() {
    impl_->run();
}

}  // namespace radishpulley::edge
