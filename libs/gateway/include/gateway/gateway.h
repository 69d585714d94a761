/// The data path of one daemon: accepts callers' requests and proxies them to endpoints.
///
/// Connects the side-effect-free decision logic of libs/routing to network I/O. All calls are made
/// on the event loop's thread, so the tables need no locks.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "gateway/caller_link.h"
#include "gateway/endpoint_pool.h"
#include "gateway/header_codec.h"
#include "gateway/loop_turns.h"
#include "gateway/pause_monitor.h"
#include "gateway/relay_peers.h"
#include "gateway/relay_protocol.h"
#include "requests/retry_budget.h"
#include "requests/start_queue.h"
#include "routing/account_limiter.h"
#include "routing/adapter_table.h"
#include "routing/cold_start_limits.h"
#include "routing/configuration.h"
#include "routing/endpoint_choice.h"
#include "routing/endpoint_directory.h"
#include "routing/endpoint_limits.h"
#include "routing/hints.h"
#include "routing/peer_reachability.h"
#include "routing/prefix_cache_index.h"
#include "routing/request_quarantine.h"
#include "routing/stream_origins.h"
#include "routing/work_table.h"
#include "routing/zone_evacuations.h"
#include "telemetry/metrics.h"

namespace radishpulley::gateway {

/// Settings of the data path.
struct gateway_settings {
    routing::location location;
    /// Retry budget shared by all VMs: a ratio of the requests, plus a fixed reserve.
    double retry_ratio = 0.16;
    double retry_reserve = 40;
    routing::limiter_settings limiter;
    /// Longest wait for the engine holder's reply to a load request.
    std::chrono::milliseconds load_request_timeout{150};
    /// Fraction of the time until its caller gives up for which a request may wait for its adapter;
    /// the rest is for running it.
    double max_load_wait_share = 0.75;
    /// Number of engines whose holders may refuse a prompt load. Then the request waits at the one
    /// that can load its adapter first.
    std::size_t max_load_refusals = 3;
    /// Longest wait at the first engines, as a multiple of an undelayed load's time.
    double prompt_load_limit = 3;
    /// Time without a response after which an idempotent call is retried on another endpoint.
    std::chrono::milliseconds silence_timeout{160};
    /// Maximum number of sends per request, including those that endpoints reject.
    unsigned max_sends = 4;
    /// Maximum number of response bytes buffered for a slow caller; beyond it, reading from the
    /// endpoint pauses.
    std::size_t max_unsent = 262'144;
    /// Maximum number of response bytes buffered for all callers, divided among the requests in
    /// flight. At most a quarter of `max_held_bytes` is used.
    std::size_t max_total_unsent = 16'000'000;
    /// Lower bound of each caller's share of that buffer, whatever the number of requests.
    std::size_t min_unsent = 8'192;
    /// Memory that callers may hold: heads, bodies, requests in progress and unread responses.
    /// Beyond it, callers are turned away.
    std::size_t max_held_bytes = 64 * mebibyte;
    /// Connections that callers may have. Beyond it, a new one takes the place of one that lies
    /// idle or makes no progress.
    std::size_t max_connections = 4'096;
    /// Prefill work, in tokens, from which other daemons are notified of it at once.
    std::uint32_t large_prefill_tokens = 3'000;
    /// Age of the configuration up to which an unknown route or key is treated as nonexistent.
    /// Beyond it, a newer version may contain it.
    duration authoritative_age = duration::max();
    /// Time from the announcement of a version until no request may begin on an older one.
    duration version_apply = std::chrono::seconds(5);
    /// Part of that time after which requests require a version that is not older; what is sent
    /// before may still wait at its engine.
    double version_grace_share = 0.6;
    /// Part of that time after which a request that still waits at an engine with an older version
    /// is taken back.
    double version_wait_share = 0.9;
    /// Longest gap between runs of this process that does not count as a pause.
    std::chrono::milliseconds pause_limit{1'500};
    /// Time for which requests are held after a pause until the store confirms the configuration.
    /// If the store does not respond in time, it counts as unavailable and the last known
    /// configuration stays in use.
    std::chrono::milliseconds confirmation_wait{300};
    /// Time for which a stream that a caller resumes waits for the store to confirm the list of
    /// endpoints.
    std::chrono::milliseconds endpoints_confirmation_wait{1'500};
    /// Age of the list of endpoints beyond which the store may have stopped to confirm it, so that
    /// other VMs are told of the streams that begin.
    duration max_endpoints_age = duration::max();
    /// Number of new connections that are read and requests that are started in one turn of the
    /// loop, before responses, disconnected callers and other input are handled.
    std::size_t new_work_per_turn = 16;
    /// Number of requests, of those that are left over and waited too long, that are refused in one
    /// turn.
    std::size_t refusals_per_turn = 16;
    /// Time for which new work may be left over in every turn before this process counts as
    /// overloaded, and for which a connection may lie unread from then on.
    std::chrono::milliseconds max_unread{250};
    /// Part of its time for which a request may wait for its start while this process is
    /// overloaded. Beyond it, its caller is better off at another VM.
    double max_start_wait_share = 0.5;
    /// Remaining time until a caller's deadline below which a request is not sent.
    std::chrono::milliseconds min_time_left{15};
    /// Part of `max_connections` that other VMs may have besides, to pass requests on to this one.
    double relay_connection_share = 0.25;
    /// Part of `max_held_bytes` from which requests of other VMs' callers are refused.
    double relay_memory_share = 0.5;
    /// Whether requests are refused until the evacuated availability zones are known.
    bool requires_evacuations = false;
};

/// The load was requested; the response follows by gateway::on_adapter() or on_load_refused().
struct load_requested {};

/// The adapter cannot be loaded in time; `ready_in` is when it could be usable, if known.
struct load_not_possible {
    std::optional<duration> ready_in;
};

using load_request_result = std::variant<load_requested, load_not_possible>;

/// Interface to the other daemons, which coordinate adapter loads.
class load_broker {
public:
    virtual ~load_broker() = default;
    /// Requests an adapter on an engine for a request that waits at most `max_wait`.
    virtual load_request_result request_load(const endpoint_id& engine,
                                             const routing::model_ref& adapter,
                                             duration max_wait) = 0;
    /// Whether a VM that can order the engine's loads is known and answers.
    virtual bool can_request_load(const endpoint_id& engine) const = 0;
    /// A load request for this engine was not answered.
    virtual void note_load_unanswered(const endpoint_id& engine) = 0;
    /// A request for the adapter is being sent to the engine.
    virtual void note_request_start(const endpoint_id& engine,
                                    const routing::model_ref& adapter) = 0;
    /// A long prompt was sent: other daemons should receive this daemon's load soon.
    virtual void note_large_prefill() = 0;
    /// A request reported by `note_request_start` has ended.
    virtual void note_request_end(const endpoint_id& engine, const routing::model_ref& adapter) = 0;
    /// The engine rejected a request because the adapter is not loaded there.
    virtual void note_adapter_missing(const endpoint_id& engine,
                                      const routing::model_ref& adapter) = 0;
};

/// What this VM has learned of streams that began before it started.
enum class origin_knowledge {
    /// The archive is being read, or the other VMs are not known yet.
    incomplete,
    complete,
    /// The store does not answer.
    unavailable
};

/// Interface to the other daemons, which remember at which software streams began.
class stream_peers {
public:
    virtual ~stream_peers() = default;
    /// Asks those that may know where a stream began; their replies follow by
    /// gateway::on_stream_origin(). Returns how many were asked.
    virtual std::size_t ask(routing::stream_key stream) = 0;
    /// Whether a stream that nobody knows now may become known without being asked for.
    virtual origin_knowledge knowledge() const = 0;
    /// There are streams that others should remember; see gateway::take_unannounced_streams().
    virtual void announce_soon() = 0;
};

/// Which requests a daemon that stops still accepts.
struct stop_limits {
    /// From then on, only requests that end by `ends_at` are accepted, whatever happens to them.
    time_point careful_from{};
    /// When this daemon ends the requests that are left.
    time_point ends_at{};
};

class crash_detector;
class exchange;
class reachability_monitor;
class relay_service;

/// State shared by the requests of one daemon.
class gateway final : public caller_service {
public:
    gateway(boost::asio::io_context& loop, const clock& time, const header_codec& codec,
            telemetry::registry& metrics, gateway_settings settings);
    ~gateway() override;

    /// Sets the broker for adapter loads; must be called before the first request.
    void set_broker(load_broker& broker) { broker_ = &broker; }

    /// Sets the other daemons that remember streams.
    void set_stream_peers(stream_peers& peers) { stream_peers_ = &peers; }
    /// Sets the other VMs that serve requests in place of this one, and the time of day by which
    /// their requests prove their age.
    void set_relay_peers(relay_peers& peers, const wall_clock& time_of_day);
    /// Sets the function that returns whether this VM reaches endpoints of a service. Where it
    /// doesn't, requests are passed on to other VMs.
    void set_reaches(std::function<bool(const service_id&)> reaches) {
        reaches_ = std::move(reaches);
    }
    /// This VM no longer reaches the endpoints of a service: requests that wait for one of them are
    /// passed on, as far as they have not run or may run again.
    void on_service_unreachable(const service_id& service);
    /// Accepts a connection of another VM, which passes requests on to this one.
    void accept_peer(link::socket socket);
    /// Returns the terms of a request that a peer has passed on; nothing without a valid token.
    std::optional<relay_terms> relay_terms_of(const header_list& headers) const;
    /// Starts a request that another VM has passed on, or refuses it.
    std::shared_ptr<request_work> start_relayed(caller_request request, const relay_terms& terms,
                                                response_writer& out);
    /// Refuses such a request whose body is still arriving if it could not be served.
    bool refuse_relayed_early(caller_request head, const relay_terms& terms, response_writer& out);
    /// Refuses such a request that has not arrived completely.
    void refuse_relayed(caller_request head, const relay_terms& terms, std::string_view reason,
                        response_writer& out);
    /// Number of connections that other VMs have to pass requests on.
    std::size_t relay_connection_count() const {
        return static_cast<std::size_t>(relay_connections_.use_count()) - 1;
    }
    /// Connections to other VMs, to which requests are passed on.
    const endpoint_pool& peer_pool() const { return peer_pool_; }
    /// Applies the record of software that served lately, also before this process started.
    void on_software_record(const std::vector<routing::software>& seen);
    /// Records that a stream began or goes on at the software.
    void note_stream(routing::stream_key stream, const routing::software& at);
    /// Remembers where streams of another VM began.
    void on_streams_announced(const routing::stream_group& it);
    /// Another VM replied where a stream began, or that it does not know.
    void on_stream_origin(routing::stream_key stream,
                          const std::optional<routing::software>& began_at);
    /// Returns where a stream began, if this VM knows.
    std::optional<routing::software> origin_of(routing::stream_key stream) const;
    /// Returns the streams that other VMs should remember and were not told of yet: those of
    /// services whose streams may have begun at several software, and all while the list of
    /// endpoints is old.
    std::vector<routing::stream_group> take_unannounced_streams();
    const routing::software_history& software() const { return software_; }
    /// Whether streams that begin at the service can be joined with those of other software.
    bool is_ambiguous(const service_id& service) const;
    /// Sets the function that asks the store to confirm the list of endpoints; the confirmation
    /// follows by on_endpoints_confirmed(). Without it, the list always counts as current.
    void set_confirm_endpoints(std::function<void()> call) { confirm_endpoints_ = std::move(call); }
    /// Sets the function that returns the age of the list of endpoints.
    void set_endpoints_age(std::function<duration()> age) { endpoints_age_ = std::move(age); }
    /// Whether the store may have stopped to confirm the list of endpoints.
    bool are_endpoints_old() const;
    /// The store confirmed the list of endpoints by a call that started at `read_began`.
    void on_endpoints_confirmed(time_point read_began);

    /// Applies a configuration.
    void on_configuration(routing::configuration_ptr it);
    /// Sets the function that returns the time since the store last confirmed the configuration.
    void set_configuration_age(std::function<duration()> age) {
        configuration_age_ = std::move(age);
    }
    /// Records that this process is running and handles input. After a pause, new requests are held
    /// until the configuration is confirmed.
    void note_running();
    /// Sets the callback invoked after a pause has ended.
    void set_on_pause(std::function<void()> call) { on_pause_ = std::move(call); }
    /// The store confirmed the configuration by a call that started at `read_began`.
    void on_configuration_confirmed(time_point read_began);
    /// Whether the configuration has not been confirmed since the last pause.
    bool awaits_confirmation() const { return awaits_confirmation_; }
    /// Sets the VMs that are known to serve callers; `self` is one of them.
    void set_serving(const vm_id& self, gsl::span<const vm_id> vms);
    /// Sets the VMs among which limits are divided, also those that were not heard lately; `self`
    /// is one of them. Unless the other VMs count this one (`is_counted`), it sends cold engines
    /// nothing.
    void set_members(const vm_id& self, gsl::span<const vm_id> vms, bool is_counted = true);
    /// All endpoints that the directory contained when this VM first read it were applied.
    void on_directory_read() { cold_limits_.on_directory_read(); }
    /// Applies the announcement of an adapter's version, made at `at` or earlier.
    void on_version(const routing::model_ref& adapter, std::uint64_t version, time_point at);
    /// Applies a notice that an endpoint sent in a response to this VM's own call.
    void on_notice(const routing::endpoint_incarnation& from, const routing::endpoint_notice& it);
    /// Applies an endpoint's limit as reported by another VM.
    void on_peer_limit(const vm_id& by, const routing::advertised_limit& it);
    /// Applies what another VM knows of suspects that are accused of crashes.
    void on_peer_suspects(const vm_id& by, gsl::span<const routing::suspect> suspects);
    /// Sets the callback invoked when other VMs should receive quarantine().take_changes() soon.
    void set_on_suspects_change(std::function<void()> call) {
        on_suspects_change_ = std::move(call);
    }
    /// Sets the callback invoked when other VMs should receive a changed limit soon.
    void set_on_limit_change(std::function<void()> call) { on_limit_change_ = std::move(call); }
    /// Whether this VM reaches endpoints of the service, by what its own connections show.
    bool reaches(const service_id& it) const;
    /// Returns the services that this VM is cut off from, ordered by id.
    std::vector<service_id> unreached_services() const;
    /// Sets the callback invoked when a service is cut off or reached again. It may run from inside
    /// a connection's event, before the call there fails.
    void set_on_reachability_change(
        std::function<void(const service_id& service, bool reached)> call);
    /// Applies the services that another VM states as unreached; valid for `lifetime`.
    void on_peer_unreached(const vm_id& by, const std::vector<service_id>& services,
                           duration lifetime);
    const routing::peer_reachability& peer_reachability() const { return peer_reachability_; }
    /// Applies the complete list of evacuated availability zones.
    routing::evacuation_changes on_evacuations(gsl::span<const zone_id> zones);
    /// The evacuation of an availability zone has begun or ended.
    routing::evacuation_changes on_evacuation(const zone_id& zone, bool begun);
    const routing::zone_evacuations& evacuations() const { return evacuations_; }
    /// Applies new settings to subsequent requests.
    void reconfigure(gateway_settings settings);
    /// Applies an endpoint's entry in the directory.
    void on_endpoint(const routing::endpoint& it);
    void on_endpoint_removed(const endpoint_id& id);
    /// Applies the state of an adapter on an engine and resumes the requests that wait for it.
    void on_adapter(const endpoint_id& engine, const routing::model_ref& adapter,
                    const routing::adapter_view& view);
    /// The engine's holder cannot load the adapter in time; `ready_in` is when it could, if known.
    void on_load_refused(const endpoint_id& engine, const routing::model_ref& adapter,
                         std::optional<duration> ready_in);

    /// From now on, responses ask callers to close their connections, and requests are refused as
    /// the limits say.
    void begin_stop(const stop_limits& limits) { stop_ = limits; }
    /// Gives every request that is left its final response, also those that have not arrived
    /// completely or were not read.
    void end_requests();
    /// Accepts a caller's connection. Its requests are read when the process has time for them.
    void accept(link::socket socket);
    /// Closes callers' connections that have no request in progress, nor one that can be expected
    /// to be on its way.
    void close_idle_callers();
    /// Closes all callers' connections and ends their requests. Must be called before the broker is
    /// destroyed.
    void close_callers();
    /// Removes expired load waiters and closed connections, charges callers for input that has not
    /// been read, and logs how many were turned away.
    void sweep();
    std::size_t caller_count() const { return callers_.size() + accepted_.size(); }
    /// Number of open connections, with those that wait for their callers to close them.
    std::size_t connection_count() const {
        return static_cast<std::size_t>(connections_.use_count()) - 1;
    }
    std::size_t request_count() const { return exchanges_.size(); }
    /// Number of requests that were read and wait for this process to start them.
    std::size_t queued_count() const { return queue_.size(); }
    /// Number of connections whose callers left before they were read, since the start.
    std::uint64_t callers_left_unread() const { return callers_left_unread_; }
    /// Number of requests that were refused without being read, since the start.
    std::uint64_t refused_unread() const { return refused_unread_; }
    /// Whether a connection that closes after its last response is still sending it.
    bool is_sending_last_answers() const;
    /// Whether all requests are answered and all connections closed, so that the process may end.
    bool is_drained() const;
    /// Number of response bytes that callers have not taken yet.
    std::size_t unsent_bytes() const;
    /// Current limit of unsent response bytes per caller.
    std::size_t unsent_limit() const;

    caller_service::limits caller_limits() const override;
    std::shared_ptr<request_work> start(caller_request request, response_writer& out) override;
    bool is_stopping() const override { return stop_.has_value(); }
    duration max_unread() const override { return turns_.max_unread(); }
    void on_closed(const std::shared_ptr<caller_link>& it, const caller_closure& how) override;
    void on_finished(close_reason why, const finish_outcome& it) override;
    bool refuse_early(caller_request head, response_writer& out) override;
    void refuse(caller_request head, std::string_view reason, response_writer& out) override;
    std::shared_ptr<memory_budget> budget() override { return budget_; }
    void relieve_memory() override;
    void schedule_relief() override;

    const routing::configuration_ptr& configuration() const { return configuration_; }
    routing::endpoint_directory& directory() { return directory_; }
    routing::adapter_table& adapters() { return adapters_; }
    routing::adapter_load_times& load_times() { return load_times_; }
    const routing::endpoint_limits& limits() const { return limits_; }
    const routing::cold_start_limits& cold_limits() const { return cold_limits_; }
    routing::request_quarantine& quarantine() { return quarantine_; }
    const routing::request_quarantine& quarantine() const { return quarantine_; }
    routing::account_limiter& limiter() { return limiter_; }
    const routing::account_limiter& limiter() const { return limiter_; }
    routing::work_table& work() { return work_; }
    const routing::work_table& work() const { return work_; }
    endpoint_pool& pool() { return pool_; }

private:
    friend class exchange;
    using load_key = std::pair<endpoint_id, routing::model_ref>;
    /// A connection that is not read yet.
    struct accepted_connection {
        std::shared_ptr<link> connection;
        /// When it was established, at the latest.
        time_point established{};
    };

    requests::retry_budget& budget_of(const service_id& id);
    /// Why a request of another VM's caller is refused at once; empty if it is not.
    std::string_view refusal_of_relayed(const service_id& service) const;
    std::size_t max_relay_connections() const;
    /// Returns the VM to which the request should be passed on, if there is one.
    std::optional<relay_target> choose_relay(const service_id& service,
                                             const routing::allowed_regions& regions,
                                             const request_id& request,
                                             std::set<vm_id> excluded) const;
    /// No connection could be made to the VM, which is left out for a while.
    void on_relay_unreachable(const vm_id& vm);
    /// Number of adapters that are loading at all engines, as of a moment ago.
    std::size_t fleet_loads() const;
    /// Version of an endpoint's software; empty if the endpoint is unknown.
    std::string_view software_version_of(const endpoint_id& id) const;
    void wait_for_load(const load_key& key, const std::shared_ptr<exchange>& it);
    void wait_for_origin(routing::stream_key stream, const std::shared_ptr<exchange>& it);
    /// Asks other VMs where a stream began; returns how many.
    std::size_t ask_for_origin(routing::stream_key stream);
    /// Whether the list of endpoints has all that were in use at `when`.
    bool are_endpoints_known_at(time_point when) const {
        return !confirm_endpoints_ || endpoints_read_began_ >= when;
    }
    /// Asks the store to confirm the list of endpoints and tells the request.
    void wait_for_endpoints(const std::shared_ptr<exchange>& it);
    /// Whether it may be learned where streams began that nobody knows now.
    origin_knowledge knowledge_of_origins() const;
    /// Records which software serves now, and forgets old streams.
    void note_serving_software();
    /// Returns the only software at which streams of the route can have begun; nothing if there are
    /// several or if that is not known.
    std::optional<routing::software> only_software(const routing::route& it) const;
    /// Whether other VMs have to be told of streams that begin at the service: they may not be able
    /// to tell from the list of endpoints where those began.
    bool is_announced(const service_id& service) const;
    /// Whether an endpoint with that software is known.
    bool is_serving(const routing::software& it) const;
    /// Starts the request after what is ready now: other requests' responses and ends first.
    void queue_start(const std::shared_ptr<exchange>& it);
    /// Calls do_new_work() after what is ready now.
    void schedule_new_work();
    /// Starts requests and reads new connections, the newest first, and refuses what has waited too
    /// long if there is more than this process has time for.
    void do_new_work();
    /// Starts one request or reads one connection; returns false if there is none.
    bool start_next();
    /// Starts reading the newest connection whose caller has not left; returns false if there is
    /// none.
    bool read_newest();
    void start_reading(accepted_connection it);
    /// Whether there has been more new work than this process has time for, for a while.
    bool is_overloaded(time_point now) const;
    void refuse_expired(time_point now);
    /// Refuses what the connection has sent without reading it, or reads on if that is nothing.
    void refuse_unread(accepted_connection it);
    bool has_caller_left(const accepted_connection& it);
    void on_turn(duration length);
    /// Turns the caller away to which a holder belongs.
    void turn_away(memory_budget::holder_id id, std::string_view reason);
    /// Closes or turns away a connection that is no longer or least needed; a refused one stays
    /// open until its caller has read the refusal. Returns false if all are in use.
    bool free_connection();
    std::shared_ptr<caller_link> find_caller(memory_budget::holder_id id) const;
    void note_turned_away(std::string_view reason);
    void log_turned_away();
    /// Logs a closed connection from which a request was taken without an answer.
    void log_cut(const caller_closure& how) const;
    /// Closes a connection that was not read.
    void close_unread(const accepted_connection& it, close_reason why);
    void release_held_requests();
    /// Applies a limit that an endpoint states in a response.
    void on_stated_limit(const routing::endpoint_incarnation& from,
                         const routing::limit_observation& observation);
    void log_limit(const endpoint_id& id, const vm_id& by) const;
    /// Applies the cold time that a response states, to the endpoint that answered.
    void on_cold_notice(const routing::endpoint_incarnation& asked,
                        const routing::endpoint_notice& it);
    void log_cold_changes();
    /// A request broke off at the endpoint before it was answered.
    void on_unanswered(const routing::endpoint_incarnation& at,
                       gsl::span<const routing::suspect_id> suspects);
    void on_crash(const routing::endpoint_incarnation& crashed,
                  const std::vector<std::vector<routing::suspect_id>>& requests);
    void on_answered(gsl::span<const routing::suspect_id> suspects);
    void begin_trial(const routing::suspect_id& id, const request_id& request);
    /// Returns the requests in progress; a request that ends meanwhile is kept.
    std::vector<std::shared_ptr<exchange>> requests_in_progress() const;
    /// Ends the requests that have a suspect which is blocked now and are not answered yet.
    void end_requests_with(gsl::span<const routing::suspect_id> blocked, const vm_id& by);
    /// Time until the endpoint accepts a request from this VM, by its stated limit, its cold time
    /// and its pause.
    duration wait_for(const endpoint_id& id) const;
    /// Shortest such time among a service's endpoints in permitted zones, if all of them require a
    /// wait.
    std::optional<duration> wait_for_any(const service_id& id,
                                         const routing::zone_filter& zones) const;
    /// Whether the service has endpoints in allowed regions and all of them are evacuated.
    bool are_all_evacuated(const service_id& id, const routing::zone_filter& zones) const;
    void apply_evacuations(const routing::evacuation_changes& changes);
    /// Requests that wait for an endpoint to which they may not be sent any more choose another.
    void move_waiting_requests();
    /// Whether it is not known yet which availability zones are evacuated.
    bool awaits_evacuations() const {
        return settings_.requires_evacuations && !are_evacuations_known_;
    }

    boost::asio::io_context& loop_;
    const clock& time_;
    const header_codec& codec_;
    gateway_settings settings_;
    std::shared_ptr<memory_budget> budget_;
    bool is_relief_scheduled_ = false;
    /// Shared by all open connections, which are counted by its uses.
    std::shared_ptr<const void> connections_ = std::make_shared<char>();
    /// Connections that have been closed on this side and wait for their callers to close them, the
    /// oldest first.
    std::deque<std::weak_ptr<link>> lingering_;
    /// Callers turned away since that was last logged.
    std::size_t turned_away_ = 0;
    load_broker* broker_ = nullptr;
    stream_peers* stream_peers_ = nullptr;
    relay_peers* relay_peers_ = nullptr;
    const wall_clock* time_of_day_ = nullptr;
    std::function<bool(const service_id&)> reaches_ = [](const service_id&) { return true; };
    std::unique_ptr<relay_service> relay_service_;
    /// Shared by all connections of other VMs, which are counted by its uses.
    std::shared_ptr<const void> relay_connections_ = std::make_shared<char>();
    /// VMs to which no connection could be made, and until when they are left out.
    std::map<vm_id, time_point> unreachable_relays_;
    routing::configuration_ptr configuration_;
    std::function<duration()> configuration_age_ = [] { return duration::zero(); };
    routing::endpoint_directory directory_;
    routing::zone_evacuations evacuations_;
    bool are_evacuations_known_ = false;
    routing::endpoint_limits limits_;
    routing::cold_start_limits cold_limits_;
    routing::adapter_table adapters_;
    routing::adapter_load_times load_times_;
    mutable std::size_t fleet_loads_ = 0;
    mutable time_point fleet_loads_at_ = time_point::min();
    routing::prefix_cache_index prompts_;
    routing::work_table work_;
    routing::endpoint_chooser chooser_;
    routing::account_limiter limiter_;
    std::unique_ptr<reachability_monitor> reachability_;
    endpoint_pool pool_;
    /// Connections to other VMs, by the names of the VMs.
    endpoint_pool peer_pool_;
    routing::peer_reachability peer_reachability_;
    routing::request_quarantine quarantine_;
    std::optional<stop_limits> stop_;
    std::unique_ptr<crash_detector> crashes_;
    /// Each runs until no request may begin on an older version than one that was announced.
    std::list<boost::asio::steady_timer> version_timers_;
    /// All requests in progress.
    std::set<exchange*> exchanges_;
    std::map<service_id, requests::retry_budget> budgets_;
    std::set<std::shared_ptr<caller_link>> callers_;
    /// Connections that close once their last response is sent.
    std::vector<std::shared_ptr<caller_link>> finishing_;
    std::map<load_key, std::vector<std::weak_ptr<exchange>>> load_waiters_;
    routing::stream_origins origins_;
    routing::software_history software_;
    /// Services that share a route of resumable streams with others.
    std::set<service_id> shared_services_;
    std::multimap<routing::stream_key, std::weak_ptr<exchange>> origin_waiters_;
    std::function<void()> confirm_endpoints_;
    std::function<duration()> endpoints_age_ = [] { return duration::zero(); };
    /// Latest start of a call by which the store confirmed the list of endpoints.
    time_point endpoints_read_began_ = time_point::min();
    std::vector<std::weak_ptr<exchange>> endpoints_waiters_;
    /// Requests that were read and are not started yet.
    requests::start_queue<std::weak_ptr<exchange>> queue_;
    /// Connections that are not read yet, the newest last.
    std::deque<accepted_connection> accepted_;
    bool is_new_work_scheduled_ = false;
    /// Since when each turn has left new work over.
    std::optional<time_point> left_over_since_;
    std::uint64_t callers_left_unread_ = 0;
    std::uint64_t refused_unread_ = 0;
    telemetry::counter_family& responses_;
    telemetry::counter_family& turn_aways_;
    telemetry::counter_family& closures_;
    telemetry::counter_family& resumptions_;
    telemetry::counter_family& passed_on_;
    telemetry::counter_family& relayed_;
    telemetry::counter_family& discarded_bytes_;
    telemetry::counter_family& undelivered_responses_;
    telemetry::histogram_family& latencies_;
    telemetry::histogram& unread_times_;
    telemetry::histogram& turn_times_;
    loop_turns turns_;
    pause_monitor pauses_;
    bool awaits_confirmation_ = false;
    time_point pause_ended_{};
    boost::asio::steady_timer confirmation_timer_;
    /// Requests that arrived after a pause and wait for the configuration to be confirmed.
    std::vector<std::weak_ptr<exchange>> held_requests_;
    std::function<void()> on_pause_ = [] {};
    std::function<void()> on_limit_change_ = [] {};
    std::function<void()> on_suspects_change_ = [] {};
    std::size_t fleet_size_ = 1;
    routing::request_number last_number_ = 0;
};

}  // namespace radishpulley::gateway
