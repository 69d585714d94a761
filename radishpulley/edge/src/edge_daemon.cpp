#include "edge/edge_daemon.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <functional>

#include <boost/asio/signal_set.hpp>

#include "acceptor.h"
#include "base/findings.h"
#include "base/overloaded.h"
#include "delayed_call.h"
#include "edge/account_watcher.h"
#include "edge/fleet_member.h"
#include "edge/load_coordinator.h"
#include "gateway/collection_follower.h"
#include "gateway/gateway.h"
#include "gateway/http_status.h"
#include "platform_adapter/decoders.h"
#include "platform_adapter/wire_engine_port.h"
#include "platform_adapter/wire_header_codec.h"
#include "platform_adapter/wire_object_collections.h"
#include "routing/entry_change_filter.h"
#include "settings_file.h"
#include "status_server.h"
#include "store_pace.h"
#include "telemetry/event_log.h"

namespace radishpulley::edge {
namespace {

using telemetry::severity;

constexpr std::chrono::milliseconds housekeeping_interval{400};
constexpr duration settings_check_interval = std::chrono::seconds(2);
// Delay by which statements about several long prompts are joined.
constexpr std::chrono::milliseconds presence_delay{10};
// Delay by which news of several endpoints' limits are joined.
constexpr std::chrono::milliseconds limits_delay{50};
// Delay by which reports of several copies are joined.
constexpr std::chrono::milliseconds report_delay{5};
// Time for which a peer's statements count: of its work at endpoints, of its accounts' demand.
constexpr duration least_work_lifetime = std::chrono::seconds(2);
constexpr duration least_demand_lifetime = std::chrono::seconds(10);
// Time after SIGTERM in which the platform's balancer may still send new connections.
constexpr duration balancer_delay = std::chrono::milliseconds(2'600);
// Part of the shutdown's grace that is left unused.
constexpr duration grace_margin = std::chrono::milliseconds(400);
constexpr double retry_margin = 0.8;
// The rest of the reserve covers requests that are larger than what is left of it.
constexpr double limit_margin = 0.4;

gateway::gateway_settings data_path_settings(const settings::edge_settings& with) {
    gateway::gateway_settings out;
    out.location = {with.availability_zone, with.region, with.regions};
    out.retry_ratio = with.bounds.retry_ratio * retry_margin;
    out.retry_reserve = with.bounds.retry_reserve * retry_margin;
    out.limiter.overdraft = with.bounds.limit_reserve * limit_margin;
    const gateway::follower_settings pace = configuration_pace(with.bounds);
    out.authoritative_age = pace.watch_wait + pace.response_timeout;
    return out;
}

member_settings member_settings_of(const settings::edge_settings& with) {
    member_settings out;
    out.vm = with.vm;
    out.zone = with.availability_zone;
    out.region = with.region;
    out.address = with.listen.peers;
    return out;
}

// Events of a follower to whose owner removals mean nothing.
gateway::follower_events for_each_object(std::function<void(const gateway::stored_object&)> take,
                                         std::function<void()> on_confirmed) {
    return {[take](const gateway::object_list& it) {
                std::for_each(it.objects.begin(), it.objects.end(), take);
            },
            [take](const gateway::object_change& it) {
                if (!it.removed) {
                    take(it.object);
                }
            },
            [](bool) {},
            [] {},
            [](const gateway::object_change&) { return true; },
            std::move(on_confirmed)};
}

}  // namespace

class edge_daemon::state {
public:
    state(const settings::edge_settings& with, std::string settings_path)
        : with_(with),
          settings_file_(std::move(settings_path)),
          signals_(loop_, SIGTERM, SIGINT, SIGHUP),
          timer_(loop_),
          large_work_news_(loop_, presence_delay, [this] { fleet_.tell_near(presence()); }),
          // All VMs need to hear of a limit, for each may send requests to the endpoint.
          limit_news_(loop_, limits_delay, [this] { fleet_.broadcast(presence()); }),
          report_(loop_, report_delay, [this] { tell_reports(); }),
          lapse_timer_(loop_),
          data_path_(loop_, time_, codec_, metrics_, data_path_settings(with)),
          store_(loop_, time_, with.store.address),
          engines_(loop_, data_path_.pool()),
          fleet_(loop_, time_, store_, member_settings_of(with),
                 [this](const routing::hint_message& it) { on_hint(it); }),
          loads_(loop_, time_, store_, engines_, fleet_, data_path_,
                 with.bounds.endpoints_check_fencing),
          accounts_(loop_, time_, with.vm, fleet_, data_path_),
          configuration_(loop_, time_, store_, platform_adapter::configuration_kind,
                         configuration_pace(with.bounds),
                         for_each_object([this](const auto& it) { on_configuration(it); },
                                         [this] { on_configuration_confirmed(); })),
          endpoints_(loop_, time_, store_, platform_adapter::endpoints_kind,
                     endpoints_pace(with.bounds),
                     {[this](const gateway::object_list& it) { on_endpoints(it); },
                      [this](const gateway::object_change& it) {
                          if (it.removed) {
                              on_endpoint_removed(endpoint_id(it.object.name));
                          } else {
                              on_endpoint(it.object);
                          }
                      },
                      [](bool) {}, [this] { on_store_recovered(); },
                      [this](const gateway::object_change& it) { return matters(it); },
                      [this] { report_soon(); }}),
          versions_(loop_, time_, store_, platform_adapter::versions_kind,
                    versions_pace(with.bounds),
                    for_each_object([this](const auto& it) { on_version(it); },
                                    [this] { report_soon(); })),
          readiness_(loop_, time_, [this] { return readiness(); }),
          metrics_server_(loop_, time_,
                          [this] {
                              return status_answer{gateway::status_ok, metrics_.to_text()};
                          }),
          callers_(loop_, with.listen.callers,
                   [this](auto socket) { data_path_.accept(std::move(socket)); }),
          readiness_port_(loop_, with.listen.readiness,
                          [this](auto socket) { readiness_.accept(std::move(socket)); }),
          metrics_port_(loop_, with.listen.metrics,
                        [this](auto socket) { metrics_server_.accept(std::move(socket)); }) {
        store_.set_on_answering_again([this] {
            renew_watches();
            // What forgot connections to the store may have forgotten those to endpoints.
            data_path_.pool().close_all_idle();
        });
        data_path_.set_broker(loads_);
        data_path_.set_configuration_age([this] { return configuration_.age(); });
        data_path_.set_on_pause([this] { renew_watches(); });
        loads_.set_on_holders_confirmed([this] { report_soon(); });
        loads_.set_on_large_work([this] { large_work_news_.request(); });
        engines_.set_on_notice([this](const auto& from, const routing::endpoint_notice& it) {
            data_path_.on_notice(from, it);
        });
        data_path_.set_on_limit_change([this] { limit_news_.request(); });
    }

    void run() {
        telemetry::log_event(severity::info, "started",
                             {{"vm", with_.vm},
                              {"availability_zone", with_.availability_zone},
                              {"callers", with_.listen.callers},
                              {"store", with_.store.address}});
        wait_for_signal();
        configuration_.start();
        endpoints_.start();
        versions_.start();
        fleet_.start();
        loads_.start();
        accounts_.start();
        housekeep();
        loop_.run();
        const std::size_t left = data_path_.request_count();
        data_path_.close_callers();
        telemetry::log_event(severity::info, "stopped",
                             {{"vm", with_.vm}, {"requests_left", left}});
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
            if (signal == SIGHUP) {
                reload();
            } else {
                begin_stop();
            }
            wait_for_signal();
        });
    }

    // The platform may change the file without a signal.
    void reload() {
        settings_checked_ = time_.now();
        const auto next = settings_file_.poll();
        if (!next) {
            return;
        }
        const bool needs_restart = next->vm != with_.vm ||
                                   next->availability_zone != with_.availability_zone ||
                                   next->listen != with_.listen;
        with_.regions = next->regions;
        with_.store = next->store;
        with_.bounds = next->bounds;
        store_.set_address(with_.store.address);
        loads_.set_endpoints_check_fencing(with_.bounds.endpoints_check_fencing);
        data_path_.reconfigure(data_path_settings(with_));
        configuration_.set_pace(configuration_pace(with_.bounds));
        endpoints_.set_pace(endpoints_pace(with_.bounds));
        versions_.set_pace(versions_pace(with_.bounds));
        telemetry::log_event(severity::info, "reload",
                             {{"vm", with_.vm},
                              {"store", with_.store.address},
                              {"retry_reserve", with_.bounds.retry_reserve},
                              {"limit_reserve", with_.bounds.limit_reserve},
                              {"needs_restart", needs_restart}});
    }

    void begin_stop() {
        if (stop_began_) {
            return;
        }
        stop_began_ = time_.now();
        telemetry::log_event(
            severity::info, "stopping",
            {{"requests", data_path_.request_count()}, {"callers", data_path_.caller_count()}});
        data_path_.begin_stop();
        loads_.leave();
        fleet_.broadcast(presence());
    }

    status_answer readiness() const {
        const bool ready = !stop_began_ && data_path_.configuration() && endpoints_.has_list();
        return {ready ? gateway::status_ok : gateway::status_unavailable, ""};
    }

    void renew_watches() {
        configuration_.renew();
        endpoints_.renew();
        versions_.renew();
        fleet_.renew();
        loads_.renew();
    }

    void on_configuration(const gateway::stored_object& it) {
        if (it.name != platform_adapter::configuration_name) {
            return;
        }
        try {
            auto content = platform_adapter::decode_configuration(it.contents);
            const auto& known = data_path_.configuration();
            if (known && content.version <= known->version()) {
                return;
            }
            telemetry::log_event(severity::info, "configuration_in_force",
                                 {{"version", content.version},
                                  {"revision", it.revision},
                                  {"routes", content.routes.size()},
                                  {"accounts", content.accounts.size()}});
            data_path_.on_configuration(
                std::make_shared<routing::configuration>(std::move(content)));
        } catch (const invalid_input& e) {
            telemetry::log_event(
                severity::error, "configuration_unreadable",
                {{"revision", it.revision}, {"reason", std::string_view(e.what())}});
        }
    }

    void on_configuration_confirmed() {
        data_path_.on_configuration_confirmed(configuration_.read_began());
        report_soon();
    }

    // The copies of the store that VMs tell each other of.
    std::array<gateway::collection_follower*, 4> reported_copies() {
        return {&configuration_, &endpoints_, &versions_, &loads_.holders()};
    }

    void report_soon() {
        if (configuration_.role() != relay::copy_role::standalone) {
            report_.request();
        }
    }

    void tell_reports() {
        routing::store_reports out;
        for (gateway::collection_follower* it : reported_copies()) {
            if (auto report = it->report()) {
                out.reports.push_back(std::move(*report));
            }
        }
        fleet_.tell_zone(out);
    }

    void on_reports(const routing::store_reports& it) {
        if (data_path_.awaits_confirmation()) {
            // It may have waited in the socket as long as this process was paused.
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

    bool matters(const gateway::object_change& it) {
        const auto entry = it.removed ? std::nullopt : read_endpoint(it.object);
        if (entry) {
            return entry_changes_.update(*entry);
        }
        entry_changes_.remove(endpoint_id(it.object.name));
        return true;
    }

    void on_store_recovered() {
        data_path_.directory().on_store_recovered(time_.now());
        lapse_timer_.expires_after(data_path_.directory().recovery_grace());
        lapse_timer_.async_wait([this](const boost::system::error_code& ec) {
            if (!ec) {
                drop_lapsed();
            }
        });
    }

    void drop_lapsed() {
        for (const endpoint_id& id : data_path_.directory().advance(time_.now())) {
            note_endpoint_gone(id);
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

    void take_endpoint(const routing::endpoint& it) {
        const routing::endpoint* known = data_path_.directory().find(it.id);
        const bool is_new = known == nullptr;
        const bool was_draining = !is_new && known->draining;
        data_path_.on_endpoint(it);
        known = data_path_.directory().find(it.id);
        if (is_new || known->draining != was_draining) {
            telemetry::log_event(severity::info, "endpoint",
                                 {{"endpoint", it.id},
                                  {"service", it.service},
                                  {"address", it.address},
                                  {"zone", it.zone},
                                  {"draining", known->draining},
                                  {"age", endpoints_.age()}});
        }
        loads_.on_endpoint(it);
    }

    void on_endpoint(const gateway::stored_object& it) {
        if (const auto entry = read_endpoint(it)) {
            take_endpoint(*entry);
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
            note_endpoint_gone(id);
        }
        for (const routing::endpoint& each : list) {
            take_endpoint(each);
        }
    }

    void on_endpoint_removed(const endpoint_id& id) {
        const auto change = data_path_.directory().on_removed(id, time_.now());
        if (change == routing::directory_change::removed) {
            note_endpoint_gone(id);
        }
    }

    void note_endpoint_gone(const endpoint_id& id) {
        telemetry::log_event(severity::info, "endpoint_gone",
                             {{"endpoint", id}, {"age", endpoints_.age()}});
        data_path_.on_endpoint_removed(id);
        loads_.on_endpoint_removed(id);
    }

    void on_version(const gateway::stored_object& it) {
        try {
            const auto said = platform_adapter::decode_version(it.contents);
            data_path_.adapters().on_version(said.adapter, said.version,
                                             time_.now() - versions_.max_change_age());
            loads_.on_version(said.adapter, said.version);
            telemetry::log_event(severity::info, "adapter_version",
                                 {{"model", said.adapter.model},
                                  {"adapter", said.adapter.adapter},
                                  {"version", said.version},
                                  {"revision", it.revision}});
        } catch (const invalid_input& e) {
            telemetry::log_event(severity::warning, "version_unreadable",
                                 {{"object", it.name}, {"reason", std::string_view(e.what())}});
        }
    }

    void on_hint(const routing::hint_message& it) {
        data_path_.note_running();
        if (const auto* state = std::get_if<routing::vm_status>(&it.body)) {
            const auto& known = data_path_.configuration();
            if (known && known->version() < state->configuration_version) {
                configuration_.renew();
            }
            const time_point now = time_.now();
            const duration work_lifetime = fleet_.lifetime_of(it.from.vm, least_work_lifetime);
            const duration demand_lifetime = fleet_.lifetime_of(it.from.vm, least_demand_lifetime);
            data_path_.work().on_peer_work(it.from.vm, state->work, now, work_lifetime);
            data_path_.limiter().on_peer_demand(it.from.vm, state->demand, now, demand_lifetime);
            for (const routing::advertised_limit& limit : state->limits) {
                data_path_.on_peer_limit(it.from.vm, limit);
            }
        } else if (const auto* reports = std::get_if<routing::store_reports>(&it.body)) {
            on_reports(*reports);
        } else if (const auto* uses = std::get_if<routing::account_usage_report>(&it.body)) {
            accounts_.on_hint(it.from, *uses);
        } else if (const auto* saturated = std::get_if<routing::saturated_accounts>(&it.body)) {
            accounts_.on_hint(it.from.vm, *saturated);
        } else {
            loads_.on_hint(it);
        }
    }

    void set_gauges() {
        const auto& configuration = data_path_.configuration();
        configuration_version_.set(configuration ? static_cast<double>(configuration->version())
                                                 : 0);
        endpoints_known_.set(static_cast<double>(data_path_.directory().all().size()));
        endpoints_limited_.set(static_cast<double>(data_path_.limits().count()));
        engines_held_.set(static_cast<double>(loads_.engines_held()));
        vms_serving_.set(static_cast<double>(fleet_.serving(time_.now()).size()));
        store_calls_.set(static_cast<double>(store_.calls()));
        connections_made_.set(static_cast<double>(data_path_.pool().connections_made()));
        unsent_bytes_.set(static_cast<double>(data_path_.unsent_bytes()));
        hints_dropped_.set(static_cast<double>(fleet_.hints_dropped()));
        set_age("configuration", configuration_);
        set_age("endpoints", endpoints_);
        set_age("versions", versions_);
    }

    void set_age(std::string_view what, const gateway::collection_follower& it) {
        ages_.with({what}).set(std::chrono::duration<double>(it.age()).count());
    }

    routing::vm_status presence() const {
        routing::vm_status state;
        state.configuration_version =
            data_path_.configuration() ? data_path_.configuration()->version() : 0;
        state.leaving = stop_began_.has_value();
        state.work = data_path_.work().own();
        state.demand = data_path_.limiter().demand(time_.now());
        state.limits = data_path_.limits().advertised_limits(time_.now());
        return state;
    }

    void housekeep() {
        const time_point now = time_.now();
        data_path_.note_running();
        drop_lapsed();
        data_path_.pool().sweep();
        data_path_.sweep();
        data_path_.work().drop_expired(now);
        if (now - settings_checked_ >= settings_check_interval) {
            reload();
        }
        set_gauges();
        const auto [rank, vms] = fleet_.rank_in_zone(now);
        for (gateway::collection_follower* it : reported_copies()) {
            it->set_rank(rank, vms);
        }
        const std::vector<vm_id> serving = fleet_.serving(now);
        data_path_.set_serving(with_.vm, serving);
        accounts_.set_serving(serving);
        fleet_.tell(presence());
        if (stop_began_ && may_end(now)) {
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

    bool may_end(time_point now) {
        const duration since = now - *stop_began_;
        if (since >= with_.bounds.shutdown_grace - grace_margin) {
            return true;
        }
        if (since < balancer_delay) {
            return false;
        }
        callers_.close();
        data_path_.close_idle_callers();
        if (since >= with_.bounds.shutdown_grace / 2) {
            data_path_.refuse_requests();
        }
        return data_path_.request_count() == 0 && data_path_.caller_count() == 0 &&
               !data_path_.is_sending_last_answers();
    }

    settings::edge_settings with_;
    settings_file settings_file_;
    time_point settings_checked_{};
    boot_clock time_;
    boost::asio::io_context loop_{1};
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    delayed_call large_work_news_;
    delayed_call limit_news_;
    delayed_call report_;
    boost::asio::steady_timer lapse_timer_;
    telemetry::registry metrics_;
    telemetry::gauge& configuration_version_ =
        add_gauge("configuration_version", "Version of the configuration in force.");
    telemetry::gauge& endpoints_known_ = add_gauge("endpoints", "Endpoints known.");
    telemetry::gauge& endpoints_limited_ =
        add_gauge("endpoints_limited", "Endpoints that name a limit in their answers.");
    telemetry::gauge& engines_held_ = add_gauge("engines_held", "Engines ordered by this VM.");
    telemetry::gauge& vms_serving_ = add_gauge("vms_serving", "VMs that serve callers.");
    telemetry::gauge& store_calls_ =
        add_gauge("store_calls", "Calls to the store since the start.");
    telemetry::gauge& connections_made_ =
        add_gauge("endpoint_connections", "Connections made to endpoints since the start.");
    telemetry::gauge& unsent_bytes_ =
        add_gauge("unsent_bytes", "Answer bytes that wait for callers to read.");
    telemetry::gauge& hints_dropped_ =
        add_gauge("hints_dropped", "Datagrams that were not sent or not taken.");
    telemetry::gauge_family& ages_ = metrics_.add_gauges(
        "belief_age_seconds", "Time since the store last confirmed what is known.", {"what"});
    platform_adapter::wire_header_codec codec_;
    gateway::gateway data_path_;
    platform_adapter::wire_object_collections store_;
    platform_adapter::wire_engine_port engines_;
    fleet_member fleet_;
    load_coordinator loads_;
    account_watcher accounts_;
    routing::entry_change_filter entry_changes_;
    gateway::collection_follower configuration_;
    gateway::collection_follower endpoints_;
    gateway::collection_follower versions_;
    status_server readiness_;
    status_server metrics_server_;
    acceptor callers_;
    acceptor readiness_port_;
    acceptor metrics_port_;
    std::optional<time_point> stop_began_;
};

edge_daemon::edge_daemon(const settings::edge_settings& with, std::string settings_path)
    : state_(std::make_unique<state>(with, std::move(settings_path))) {}

edge_daemon::~edge_daemon() = default;

void edge_daemon::run() {
    state_->run();
}

}  // namespace radishpulley::edge
