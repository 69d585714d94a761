/// The data path of one daemon: takes callers' requests and runs them at endpoints.
///
/// Joins the pure decisions of libs/routing with the connections. All calls are on the loop's
/// thread; the tables have no locks.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "gateway/caller_link.h"
#include "gateway/endpoint_pool.h"
#include "gateway/header_codec.h"
#include "gateway/pause_monitor.h"
#include "requests/retry_budget.h"
#include "routing/account_limiter.h"
#include "routing/adapter_table.h"
#include "routing/configuration.h"
#include "routing/endpoint_choice.h"
#include "routing/endpoint_directory.h"
#include "routing/endpoint_limits.h"
#include "routing/hints.h"
#include "routing/prefix_cache_index.h"
#include "routing/work_table.h"
#include "telemetry/metrics.h"

namespace radishpulley::gateway {

/// Settings of the data path.
struct gateway_settings {
    routing::location location;
    /// Repeats that all VMs together may send, as a part of the requests, and beyond that part.
    double retry_ratio = 0.16;
    double retry_reserve = 40;
    routing::limiter_settings limiter;
    /// Longest wait for a holder's word on a wished load.
    std::chrono::milliseconds wish_timeout{150};
    /// Longest wait for an adapter; where it would take longer, another engine is asked.
    std::chrono::milliseconds longest_load_wait{1'200};
    /// Engines that may refuse to load a request's adapter before it is refused itself.
    std::size_t most_load_refusals = 3;
    /// Silence after which an idempotent call is sent to another endpoint.
    std::chrono::milliseconds call_silence{160};
    /// Attempts at getting one request to run, rejections included.
    unsigned most_sends = 4;
    /// Answer bytes that wait for a slow caller before the endpoint is no longer read.
    std::size_t most_unsent = 262'144;
    /// The same over all callers, divided among the requests under way.
    std::size_t most_unsent_total = 16'000'000;
    /// What each caller may have unsent, however many there are.
    std::size_t least_unsent = 8'192;
    /// Request bodies that may be held at once, over all callers.
    std::size_t most_body_bytes = 48'000'000;
    /// Reading work, in tokens, from which other daemons are told of it at once.
    std::uint32_t large_read = 3'000;
    /// Age of the configuration up to which an unknown route or key counts as one that does not
    /// exist. Beyond it a newer version may have it.
    duration authoritative_age = duration::max();
    /// Longest time without running that is no pause.
    std::chrono::milliseconds pause_limit{1'500};
    /// After a pause, the time for which requests wait until the store has confirmed the
    /// configuration. A store that does not answer then is away, and what is known goes on serving.
    std::chrono::milliseconds confirmation_wait{300};
    /// Time left to a caller below which a request is not worth sending.
    std::chrono::milliseconds least_time_left{15};
};

/// The other daemons, as the data path needs them.
class load_broker {
public:
    virtual ~load_broker() = default;
    /// Asks for an adapter at an engine, for a request that waits for at most `patience`. False
    /// where nobody can order it now.
    virtual bool request_load(const endpoint_id& engine, const routing::model_ref& adapter,
                      duration patience) = 0;
    /// A request for the adapter goes to the engine.
    virtual void note_request_start(const endpoint_id& engine, const routing::model_ref& adapter) = 0;
    /// A long prompt was sent: other daemons should hear of this daemon's work soon.
    virtual void note_large_prefill() = 0;
    /// Such a request has ended.
    virtual void note_request_end(const endpoint_id& engine, const routing::model_ref& adapter) = 0;
    /// The engine refused a request because it does not hold the adapter.
    virtual void note_adapter_missing(const endpoint_id& engine, const routing::model_ref& adapter) = 0;
};

class exchange;

/// State that the requests of one daemon share.
class gateway final : public caller_service {
public:
    gateway(boost::asio::io_context& loop, const clock& time, const header_codec& codec,
            telemetry::registry& metrics, gateway_settings settings);
    ~gateway() override;

    /// Sets who orders loads; must be called before the first request.
    void set_broker(load_broker& broker) { broker_ = &broker; }

    /// Puts a configuration in force.
    void on_configuration(routing::configuration_ptr it);
    /// Sets what tells the time since the store last confirmed the configuration.
    void set_configuration_age(std::function<duration()> age) {
        configuration_age_ = std::move(age);
    }
    /// Notes that this process runs. After a pause, new requests wait for a confirmation of the
    /// configuration.
    void note_running();
    /// Sets what is called when a pause has ended.
    void set_on_pause(std::function<void()> call) { on_pause_ = std::move(call); }
    /// The store confirmed the configuration by a call that began at `read_began`.
    void on_configuration_confirmed(time_point read_began);
    /// Whether a pause has ended and the configuration is not confirmed since.
    bool awaits_confirmation() const { return awaits_confirmation_; }
    /// Sets the VMs that serve callers; `self` is one of them.
    void set_serving(const vm_id& self, gsl::span<const vm_id> vms);
    /// Takes what an endpoint says of itself in an answer to a call of this VM's own.
    void on_notice(const routing::endpoint_incarnation& from, const routing::endpoint_notice& it);
    /// Takes what another VM knows of an endpoint's limit.
    void on_peer_limit(const vm_id& by, const routing::advertised_limit& it);
    /// Sets what is called when other VMs should hear of a limit soon.
    void set_on_limit_change(std::function<void()> call) { on_limit_news_ = std::move(call); }
    /// Takes new settings for the requests that follow.
    void reconfigure(gateway_settings settings);
    /// Takes an endpoint's entry.
    void on_endpoint(const routing::endpoint& it);
    void on_endpoint_removed(const endpoint_id& id);
    /// Takes the state of an adapter at an engine; requests that wait for it go on.
    void on_adapter(const endpoint_id& engine, const routing::model_ref& adapter,
                    const routing::adapter_view& view);
    /// The engine's holder can't load the adapter.
    void on_load_refused(const endpoint_id& engine, const routing::model_ref& adapter);

    /// From now on callers are asked to close their connections.
    void begin_stop() { stopping_ = true; }
    /// From now on requests are refused, for they could not end before this daemon does.
    void refuse_requests() { refusing_ = true; }
    /// Takes a caller's connection.
    void accept(link::socket socket);
    /// Closes callers' connections on which no request is.
    void close_idle_callers();
    /// Closes all callers' connections and ends their requests. Call it before the broker ends.
    void close_callers();
    /// Forgets requests that no longer wait for a load and connections that have ended.
    void sweep();
    std::size_t caller_count() const { return callers_.size(); }
    std::size_t request_count() const { return requests_; }
    /// Whether answers of connections that were closed after them are still being sent.
    bool is_sending_last_answers() const;
    /// Answer bytes that wait for callers to read.
    std::size_t unsent_bytes() const;
    /// Answer bytes that may wait for one caller now.
    std::size_t unsent_limit() const;

    caller_service::limits caller_limits() const override;
    std::shared_ptr<request_work> start(caller_request request, response_writer& out) override;
    bool is_stopping() const override { return stopping_; }
    void on_closed(const std::shared_ptr<caller_link>& it) override;

    const routing::configuration_ptr& configuration() const { return configuration_; }
    routing::endpoint_directory& directory() { return directory_; }
    routing::adapter_table& adapters() { return adapters_; }
    const routing::endpoint_limits& limits() const { return limits_; }
    routing::account_limiter& limiter() { return limiter_; }
    const routing::account_limiter& limiter() const { return limiter_; }
    routing::work_table& work() { return work_; }
    const routing::work_table& work() const { return work_; }
    endpoint_pool& pool() { return pool_; }

private:
    friend class exchange;
    using load_key = std::pair<endpoint_id, routing::model_ref>;

    requests::retry_budget& budget_of(const service_id& id);
    void wait_for_load(const load_key& key, const std::shared_ptr<exchange>& it);
    void release_held_requests();
    /// Takes what an answer says of an endpoint's limit.
    void on_limit_answered(const routing::endpoint_incarnation& from,
                           const routing::limit_observation& said);
    void log_limit(const endpoint_id& id, const vm_id& by) const;
    /// Time until the endpoint takes a request of this VM, by what it said of itself.
    duration wait_for(const endpoint_id& id) const;
    /// The shortest such time at a service whose endpoints all want requests to wait.
    std::optional<duration> wait_for_any(const service_id& id) const;

    boost::asio::io_context& loop_;
    const clock& time_;
    const header_codec& codec_;
    gateway_settings settings_;
    load_broker* broker_ = nullptr;
    routing::configuration_ptr configuration_;
    std::function<duration()> configuration_age_ = [] { return duration::zero(); };
    routing::endpoint_directory directory_;
    routing::endpoint_limits limits_;
    routing::adapter_table adapters_;
    routing::prefix_cache_index prompts_;
    routing::work_table work_;
    routing::endpoint_chooser chooser_;
    routing::account_limiter limiter_;
    endpoint_pool pool_;
    std::map<service_id, requests::retry_budget> budgets_;
    std::set<std::shared_ptr<caller_link>> callers_;
    /// Connections that end when their last answer is sent.
    std::vector<std::shared_ptr<caller_link>> finishing_;
    std::map<load_key, std::vector<std::weak_ptr<exchange>>> load_waiters_;
    telemetry::counter_family& answers_;
    telemetry::histogram_family& latencies_;
    pause_monitor pauses_;
    bool awaits_confirmation_ = false;
    time_point pause_ended_{};
    boost::asio::steady_timer confirmation_timer_;
    /// Requests that came after a pause.
    std::vector<std::weak_ptr<exchange>> held_requests_;
    std::function<void()> on_pause_ = [] {};
    std::function<void()> on_limit_news_ = [] {};
    std::size_t fleet_size_ = 1;
    std::size_t requests_ = 0;
    std::size_t body_bytes_ = 0;
    routing::request_number last_number_ = 0;
    bool stopping_ = false;
    bool refusing_ = false;
};

}  // namespace radishpulley::gateway
