/// One request from its arrival to the end of its response.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "event_splitter.h"
#include "gateway/gateway.h"

namespace radishpulley::gateway {

/// A response that the daemon generates itself instead of proxying.
struct refusal {
    unsigned status = 503;
    /// Short, stable code for callers and logs.
    std::string_view reason;
    std::optional<duration> retry_after;
};

/// Sends one request to endpoints until it is answered or gives up.
class exchange final : public request_work,
                       public std::enable_shared_from_this<exchange>,
                       private call_handler {
public:
    /// `terms` are set for a request that another VM has passed on.
    exchange(gateway& owner, caller_request request, response_writer& out,
             std::optional<relay_terms> terms = std::nullopt);
    ~exchange() override;

    void start();
    /// Waits for the configuration to be confirmed, up to the request's deadline.
    void hold();
    /// Refuses a request whose body is still arriving if it could not be served; returns whether it
    /// did. Charges nothing otherwise.
    bool refuse_early();
    /// Starts the request, which was held until the configuration was confirmed.
    void on_configuration_confirmed();
    /// The terms on which the request waits until it is placed at an endpoint.
    requests::start_queue<std::weak_ptr<exchange>>::terms start_terms() const;
    /// Places the request at an endpoint, unless its caller has left.
    void on_turn_to_start();
    /// Refuses the request because it waited too long for its start.
    void refuse_overloaded();
    void on_caller_ready() override;
    void on_caller_left() override;
    std::size_t held_bytes() const override;
    void turn_away(std::string_view reason) override;
    /// Refuses a request that has not arrived completely, because its caller is turned away.
    void refuse_incomplete(std::string_view reason);
    /// Refuses a request that another VM has passed on, before it is started.
    void refuse_relayed(std::string_view reason);
    /// Passes the request on to another VM if it waits for an endpoint of the service.
    void on_service_unreachable(const service_id& service);
    /// The adapter that this request waits for is loaded on the engine, or will be at `ready_at`.
    void on_load_granted(const endpoint_id& engine, time_point ready_at);
    /// The engine cannot load the adapter soon; `ready_in` is when it could, if known.
    void on_load_refused(const endpoint_id& engine, std::optional<duration> ready_in);
    /// Another VM replied at which software the stream began, or that it does not know.
    void on_origin_told(const std::optional<routing::software>& began_at);
    /// The store confirmed the list of endpoints.
    void on_endpoints_confirmed();
    /// Gives the request its final response, because this daemon ends.
    void on_stop();
    /// Takes the request back if it still waits at an engine with an older version.
    void on_version_in_force(const routing::model_ref& adapter, std::uint64_t version);
    /// Ends the request if one of its suspects is blocked now and it is not answered yet.
    void on_suspects_blocked();
    /// Chooses another endpoint if the request waits for one to which it may not be sent any more.
    void on_zones_changed();

private:
    /// A relay's own refusal.
    struct relay_refusal {
        relay_result result;
        unsigned status = 0;
        std::optional<duration> retry_after;
    };

    enum class phase {
        starting,
        /// Read, but the process is busy with other work.
        queued,
        /// Other VMs were asked where the stream began that the request resumes.
        waiting_for_origin,
        /// The store was asked whether the list of endpoints is current.
        waiting_for_endpoints,
        /// A load request was sent to the engine's holder.
        asking_for_load,
        /// The adapter is being loaded.
        waiting_for_load,
        /// No retry is left for a request that an endpoint did not run.
        waiting_for_budget,
        /// The request broke off at an endpoint that may have crashed because of it.
        waiting_for_evidence,
        connecting,
        sent,
        relaying,
        ended
    };

    void on_head(const response_head& head) override;
    void on_body(std::string_view bytes) override;
    void on_done() override;
    void on_failure(call_failure why) override;

    /// Refuses for a reason that a newer configuration may have removed.
    void refuse_unknown(unsigned status, std::string_view reason);
    /// Finds the route, or refuses.
    bool accept_route();
    /// Finds the account and the service, or refuses.
    bool accept_service();
    /// Charges the account, or refuses.
    bool charge_account();
    /// Sets the deadline; refuses if there is too little time until it, or until this daemon stops.
    bool set_deadline();
    /// Ends the request at its deadline.
    void set_deadline_timer();
    /// Whether this daemon stops before the request is certain to have ended.
    bool may_outlast_daemon() const;
    /// Ends the request, which may have been sent, with its final response.
    void give_up(std::string_view reason, duration retry_after);
    /// Whether the request resumes a stream, or could if it has no route.
    bool is_resumption() const;
    /// The stream that the request begins or resumes.
    routing::stream_key stream_key() const;
    /// Finds an endpoint, for a stream that is resumed once it is known where that began.
    void place();
    /// Goes on with the stream at the software that began it; `told_by` is for the log.
    void resume_at(const routing::software& began_at, std::string_view told_by);
    /// Whether the list of endpoints is known to have those that began the resumed stream. The
    /// caller learned of the stream before this daemon read the request.
    bool knows_endpoints_of_origin() const { return owner_.are_endpoints_known_at(read_at_); }
    /// Places the request again once the store has confirmed the list of endpoints.
    void wait_for_endpoints();
    void ask_for_origin();
    void send_origin_query();
    /// Goes on where no VM knows the stream: at the only software, once it is confirmed.
    void on_unknown_origin();
    void on_origin_reply_time();
    /// Goes on with the stream if this VM knows now where it began; returns whether it does.
    bool resume_if_known();
    /// Whether this VM may still learn where the stream began without a reply of others.
    bool may_learn_origin() const;
    void refuse_unknown_origin();
    /// The caller receives the beginning of a stream from the endpoint.
    void note_stream_begin();
    /// Counts and logs how the request, which resumes a stream, ended.
    void log_resumption(std::string_view outcome) const;
    void find_endpoint();
    /// Regions in which the request may be processed by the newest configuration. A route or
    /// account that it no longer contains keeps its last restriction.
    routing::allowed_regions allowed_regions() const;
    /// The availability zones to which the request may be sent now.
    routing::zone_filter zones() const;
    /// The endpoints to which the request may be sent now.
    routing::endpoint_filter permitted() const;
    std::optional<routing::endpoint_choice> choose_endpoint() const;
    /// Returns the engine that can load the adapter first, among those that refused to load it
    /// soon, if the request can wait for it.
    std::optional<routing::endpoint_choice> soonest_refused_load() const;
    /// Refuses with the time after which an endpoint can accept the request, if known.
    void refuse_without_endpoint();
    /// Time until a load at the soonest engine would end early enough for a request like this one.
    duration load_backlog() const;
    void note_refused_load(const endpoint_id& engine, std::optional<duration> ready_in);
    /// Continues without the engines whose loads nobody can order at present.
    void skip_unloadable_engines();
    /// Counts this request in the endpoint's load, also while it waits for an adapter.
    void reserve_work(const endpoint_id& id);
    void wait_for_load(const routing::endpoint_choice& it);
    /// Longest time for which this request waits for an adapter.
    duration load_wait_limit() const;
    /// Longest such time at the engines that are asked first.
    duration prompt_load_limit() const;
    void wait_until(time_point when, const endpoint_id& id);
    void on_load_wait_expired(const endpoint_id& id);
    void retry_if_silent();
    bool is_endpoint_cold() const;
    /// Records that the call's connection was silent or broke, before it is closed.
    void note_connection_fault();
    void send_to(const endpoint_id& id);
    void on_connected(std::shared_ptr<endpoint_link> connection);
    std::string build_request() const;
    /// Returns the version of the adapter that the request requires at its engine, or 0 for any.
    std::uint64_t version_to_require() const;
    void on_rejection(const response_head& head);
    void apply_notice(const response_head& head, const response_attributes& attributes);
    /// Handles the head of a response that answers the request.
    void accept_head(const response_head& head);
    void relay_head(const response_head& head);
    /// Number of endpoints on which the request may run.
    unsigned max_runs() const;
    /// Whether another VM should serve the request, as this one doesn't reach endpoints.
    bool should_pass_on() const;
    /// Passes the request on to another VM, or refuses it; returns false if there is no such VM.
    bool pass_on();
    void connect_to_relay(const relay_target& target);
    void on_relay_connected(std::shared_ptr<endpoint_link> connection);
    relay_terms terms_for_relay() const;
    std::string build_relayed_request(const relay_terms& terms) const;
    void on_relay_head(const response_head& head);
    void on_relay_refused();
    void on_relay_failure(call_failure why, std::string_view reason);
    /// Passes the request on to a VM other than the last, or refuses it.
    void try_another_relay(std::string_view outcome, const refusal& otherwise);
    relay_result result_for_origin(std::string_view refusal) const;
    /// Whether there is a VM to pass the request on to that was not tried yet.
    bool has_other_relay() const;
    /// Sends an idempotent call to another VM if the relay does not answer it.
    void retry_if_relay_silent();
    /// Returns the connection of the call that ended to its pool.
    void release_connection();
    /// Appends the length of the body, the end of the head and the body.
    void append_body(std::string& out) const;
    /// Watches for the last event's end where nothing else shows that the stream is complete.
    void watch_stream_end(const response_head& head);
    /// If the call that ended produced no response for the caller, sends the request again or
    /// refuses it; returns whether that was the case.
    bool send_again_if_discarded();
    /// Sends the request to another endpoint, or refuses it if the sends are used up.
    void try_another_endpoint();
    bool may_have_run() const { return runs_ > 0; }
    bool may_run_again() const;
    bool spend_retry();
    void retry(std::string_view why);
    /// Sends the request again, waits until the budget allows that, or refuses it. `why` must be a
    /// string literal.
    void retry_within_budget(std::string_view why);
    void wait_for_budget(std::string_view why);
    std::size_t shared_segment_count() const { return attributes_.shared_segments().size(); }
    /// What a crash of the endpoint accuses: the shared segments and, last, the request itself,
    /// whose digest takes time in proportion to its body.
    gsl::span<const routing::suspect_id> all_suspects();
    /// The same, without the request itself where no crash accuses any request.
    gsl::span<const routing::suspect_id> known_suspects();
    /// The suspect for which the request may not be sent.
    std::optional<routing::request_blocked> blocked_suspect();
    void refuse_blocked(const routing::request_blocked& it);
    /// Makes the request the trial of its blocked suspect if one is due; returns whether the
    /// request may be sent, and refuses it otherwise.
    bool prepare_trial();
    /// Records that the endpoint answers the prompt, and so does not crash because of it.
    void note_answered();
    /// Records that the endpoint answered with a failure, and so did not crash.
    void note_failed_answer();
    /// Waits until it is known whether the endpoint crashed because of this request.
    void wait_for_evidence();
    void send_again_unless_suspect();
    void stop_call();
    void on_call_ended();
    /// Responds with the refusal, or aborts the response if it has begun.
    void refuse(const refusal& it);
    void abort_response(std::string_view why);
    void on_deadline();
    void finish(unsigned status, std::string_view reason);
    duration elapsed() const;
    duration time_left() const;
    /// Time until the caller gives up if it has received nothing by then.
    duration first_event_time_left() const;
    double units() const;
    /// Refunds the charged units of a request that has not run.
    void refund();

    gateway& owner_;
    caller_request request_;
    response_writer* out_;
    routing::configuration_ptr configuration_;
    routing::request_number number_;
    /// Terms of the VM that has the caller, for a request that was passed on to this one.
    std::optional<relay_terms> relay_terms_;
    /// The VM to which the request was passed on; empty while it is sent to endpoints.
    std::optional<relay_target> relay_;
    std::set<vm_id> excluded_relays_;
    unsigned relay_refusals_ = 0;
    std::optional<relay_refusal> relay_refusal_;
    /// Number of runs before the request was passed on.
    unsigned runs_before_relay_ = 0;
    /// Number of endpoints to which no byte of the request could be sent.
    unsigned unreachable_endpoints_ = 0;
    /// Whether the request may have crashed the last endpoint.
    bool is_suspect_ = false;
    /// When this daemon had read the request, which may be later than its `received`.
    time_point read_at_;
    routing::request_attributes attributes_;
    const routing::route* route_ = nullptr;
    const routing::client_account* account_ = nullptr;
    const routing::service* service_ = nullptr;
    boost::asio::steady_timer deadline_timer_;
    boost::asio::steady_timer wait_timer_;
    boost::asio::steady_timer silence_timer_;
    std::optional<time_point> deadline_;
    phase phase_ = phase::starting;
    endpoint_id endpoint_;
    /// Start time of the endpoint process that received the call.
    std::int64_t endpoint_started_at_ms_ = 0;
    /// What that process runs.
    routing::software endpoint_software_;
    /// The software that began the stream, once its caller has received a part of it.
    std::optional<routing::software> began_at_;
    /// Who told the software of a resumed stream, for the log; "-" if nobody was asked.
    std::string_view origin_told_by_ = "-";
    unsigned origin_queries_ = 0;
    /// Until when the request waits for somebody to know where its stream began.
    time_point origin_wait_ends_{};
    /// Replies of other VMs that are still to come.
    std::size_t missing_origin_replies_ = 0;
    std::uint32_t unread_tokens_ = 0;
    std::uint32_t prefill_work_ = 0;
    std::shared_ptr<endpoint_link> connection_;
    /// Engine for which the broker was notified of the request's start.
    endpoint_id notified_engine_;
    std::set<endpoint_id> excluded_;
    /// Set after a kept connection failed this request, as other kept connections may fail too.
    bool avoids_kept_connections_ = false;
    std::set<endpoint_id> load_refused_by_;
    /// Number of refusals that holders sent.
    std::size_t load_refusals_ = 0;
    /// When engines that refused to load the adapter soon could have loaded it.
    std::map<endpoint_id, time_point> possible_loads_;
    /// Whether the request waits for its adapter as long as its deadline allows, because no engine
    /// can load it soon.
    bool accepts_long_wait_ = false;
    /// Endpoints that already rejected this request. A second copy of the rejection may arrive late
    /// on a connection to them, so a new connection is used.
    std::set<endpoint_id> rejected_by_;
    /// Version of the adapter that the request required when it was sent; 0 for any.
    std::uint64_t required_version_ = 0;
    /// Number of discarded response bytes.
    std::size_t discarded_bytes_ = 0;
    unsigned sends_ = 0;
    /// Units charged to the account.
    double charged_ = 0;
    /// Number of endpoints on which the request may have run.
    unsigned runs_ = 0;
    bool head_sent_ = false;
    bool rejected_ = false;
    bool discards_response_ = false;
    bool first_body_ = true;
    /// Whether a part of the body of the current call's response has arrived.
    bool has_body_ = false;
    /// Whether an endpoint has begun to answer the prompt, and gone on.
    bool is_answered_ = false;
    /// Whether the request is sent to find out whether its blocked suspect still crashes endpoints.
    bool is_trial_ = false;
    time_point evidence_wait_ends_{};
    /// The shared segments, and the request itself once its digest was needed.
    std::vector<routing::suspect_id> suspects_;
    std::optional<event_splitter> events_;
    /// Set for a stream whose end only the end of its connection marks.
    std::optional<event_end_detector> unframed_events_;
    std::uint64_t relayed_ = 0;
    unsigned status_ = 0;
    time_point wait_began_{};
    time_point sent_at_{};
    duration first_byte_time_{};
    duration load_wait_{};
    /// Time for which the request lay unread or was arriving.
    duration unread_{};
};

}  // namespace radishpulley::gateway
