/// One request from its arrival to the end of its answer.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "event_cutter.h"
#include "gateway/gateway.h"

namespace radishpulley::gateway {

/// Why the daemon answers a request itself.
struct refusal {
    unsigned status = 503;
    /// Short and stable, for callers and logs.
    std::string_view reason;
    std::optional<duration> retry_after;
};

/// Sends one request to endpoints until it is answered or given up.
class exchange final : public request_work,
                       public std::enable_shared_from_this<exchange>,
                       private call_handler {
public:
    exchange(gateway& owner, caller_request request, response_writer& out);
    ~exchange() override;

    void start();
    /// Starts the request, which waited for the configuration to be confirmed.
    void on_configuration_confirmed();
    void on_caller_ready() override;
    void on_caller_left() override;
    /// The adapter that this request waits for is, or will be, at the engine.
    void on_load_granted(const endpoint_id& engine, time_point ready_at);
    void on_load_refused(const endpoint_id& engine);

private:
    enum class phase {
        starting,
        /// The adapter's holder was asked for it.
        asking_for_load,
        /// The adapter is on its way.
        waiting_for_load,
        connecting,
        sent,
        relaying,
        ended
    };

    void on_head(const response_head& head) override;
    void on_body(std::string_view bytes) override;
    void on_done() override;
    void on_failure(call_failure why) override;

    /// Refuses for a reason that a newer configuration may have taken away.
    void deny(unsigned status, std::string_view reason);
    bool admit();
    void find_endpoint();
    /// Refuses with the time after which an endpoint may take it, as far as that is known.
    void refuse_without_endpoint();
    /// Counts this request among the endpoint's work, also while it waits for an adapter.
    void reserve_work(const endpoint_id& id);
    void wait_for_load(const routing::endpoint_choice& it);
    /// Longest time that this request waits for an adapter.
    duration load_patience() const;
    void wait_until(time_point when, const endpoint_id& id);
    void on_wait_over(const endpoint_id& id);
    void hedge_if_silent();
    /// Notes that the call's connection said nothing or broke, before it is given up.
    void doubt_connection();
    void send_to(const endpoint_id& id);
    void on_connected(std::shared_ptr<endpoint_link> connection);
    std::string request_bytes() const;
    void on_rejected(const response_head& head);
    void take_notice(const response_head& head, const response_attributes& said);
    void relay_head(const response_head& head);
    /// Where the call that ended brought no answer for the caller, sends the request again or
    /// refuses it; returns whether that was so.
    bool send_again_if_discarded();
    /// Sends it to another endpoint, or refuses it after too many.
    void try_elsewhere();
    bool may_have_run() const { return runs_ > 0; }
    bool may_run_again() const;
    bool spend_retry();
    void retry(std::string_view why);
    void stop_call();
    void note_call_ended();
    void refuse(const refusal& it);
    void cut(std::string_view why);
    void on_deadline();
    void finish(unsigned status, std::string_view reason);
    duration elapsed() const;
    duration time_left() const;
    double units() const;
    /// Gives back what was charged for a request that has not run.
    void refund();

    gateway& owner_;
    caller_request request_;
    response_writer* out_;
    routing::configuration_ptr configuration_;
    routing::request_number number_;
    routing::request_attributes facts_;
    const routing::route* route_ = nullptr;
    const routing::client_account* account_ = nullptr;
    const routing::service* service_ = nullptr;
    boost::asio::steady_timer deadline_timer_;
    boost::asio::steady_timer wait_timer_;
    boost::asio::steady_timer silence_timer_;
    std::optional<time_point> deadline_;
    phase phase_ = phase::starting;
    endpoint_id endpoint_;
    /// Start of the endpoint that the call went to.
    std::int64_t endpoint_started_at_ms_ = 0;
    std::uint32_t unread_tokens_ = 0;
    std::uint32_t read_work_ = 0;
    std::shared_ptr<endpoint_link> connection_;
    /// Engine that was told of a use of the adapter.
    endpoint_id used_at_;
    std::set<endpoint_id> excluded_;
    /// A kept connection failed this request, so that others may too.
    bool distrusts_kept_ = false;
    std::set<endpoint_id> no_loads_;
    /// Endpoints that answered this request's id already; a second copy of such an answer may come
    /// late on the connections to them.
    std::set<endpoint_id> rejected_by_;
    /// Bytes of answers that no one gets.
    std::size_t discarded_ = 0;
    unsigned sends_ = 0;
    /// Units that were charged to the account.
    double charged_ = 0;
    /// Endpoints on which it may have run.
    unsigned runs_ = 0;
    bool head_sent_ = false;
    bool rejected_ = false;
    bool discard_answer_ = false;
    bool first_body_ = true;
    std::optional<event_cutter> events_;
    std::uint64_t relayed_ = 0;
    unsigned status_ = 0;
    time_point wait_began_{};
    time_point sent_at_{};
    duration first_event_{};
    duration load_wait_{};
};

}  // namespace radishpulley::gateway
