/// A caller's connection: reads requests within the configured limits and writes responses.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "gateway/body_buffer.h"
#include "gateway/http_text.h"
#include "gateway/link.h"
#include "gateway/memory_budget.h"
#include "gateway/message_parser.h"

namespace radishpulley::gateway {

/// A request as the caller sent it.
struct caller_request {
    std::string method;
    /// Path and query.
    std::string target;
    header_list headers;
    std::string body;
    /// When it arrived, which may be long before it was read.
    time_point received{};
};

/// Head of a response to a caller.
struct caller_response {
    unsigned status = 0;
    std::string reason;
    /// Without hop-by-hop headers and those that frame the body.
    header_list headers;
    /// Length of the body; if absent, the body is sent in chunks.
    std::optional<std::uint64_t> length;
};

/// Writes one response.
class response_writer {
public:
    virtual ~response_writer() = default;
    virtual void send_head(const caller_response& head) = 0;
    virtual void send_body(std::string_view bytes) = 0;
    /// Completes the response.
    virtual void send_end() = 0;
    /// Aborts a response that can't be completed; the caller sees a connection reset.
    virtual void abort() = 0;
    /// Number of response bytes that the caller has not taken yet.
    virtual std::size_t unsent() const = 0;
    /// Whether the caller has disconnected, even if its end has not been read yet.
    virtual bool has_caller_left() const = 0;
    /// Memory that the processing of the request holds has changed.
    virtual void note_held() = 0;
};

/// The processing of one request; destroyed when its response is complete or the caller
/// disconnects.
class request_work {
public:
    virtual ~request_work() = default;
    /// The caller has taken all written bytes.
    virtual void on_caller_ready() = 0;
    /// The caller has disconnected; nothing may be written any more.
    virtual void on_caller_left() = 0;
    /// Memory held for the request, without what the connection holds.
    virtual std::size_t held_bytes() const { return 0; }
    /// Ends the request because its caller is turned away: with a refusal if it has not run.
    virtual void turn_away(std::string_view /*reason*/) {}
};

/// What a caller's connection was doing when it was closed.
enum class caller_phase {
    /// It was accepted, and not read yet.
    accepted,
    /// No request had begun to arrive since the last response.
    idle,
    /// A part of a request had arrived.
    arriving,
    /// A request was being processed.
    in_progress
};

/// Why a caller's connection was closed.
enum class close_reason {
    /// It was idle for too long.
    idle_timeout,
    /// The caller closed it.
    by_caller,
    /// The caller reset it, or has not acknowledged anything for too long.
    connection_broken,
    /// The response that was sent is the last one of the connection.
    last_response,
    /// The same, for a request that had not arrived completely.
    refused_early,
    /// The response could not be completed.
    response_aborted,
    /// Its memory or its descriptor was needed for others.
    turned_away,
    /// The daemon stops.
    stopping
};

std::string_view to_text(caller_phase it);
std::string_view to_text(close_reason it);

/// How a caller's connection ended.
struct caller_closure {
    caller_phase phase = caller_phase::idle;
    close_reason reason = close_reason::by_caller;
    /// Received bytes that were not handled.
    std::size_t unread = 0;
    /// Written bytes that the caller's system has not acknowledged, if the connection was open.
    std::size_t undelivered = 0;
    /// Time since the phase began.
    duration phase_age{};
};

/// What a caller's connection requires from the daemon.
class caller_service {
public:
    virtual ~caller_service() = default;
    struct limits {
        std::size_t max_header_bytes = 16'384;
        std::size_t max_body_bytes = 4'194'304;
        std::chrono::milliseconds header_timeout{5'000};
        std::chrono::milliseconds idle_timeout{15'000};
    };
    virtual limits caller_limits() const = 0;
    /// Starts processing a request. `out` stays valid until the response is complete or the caller
    /// disconnects.
    virtual std::shared_ptr<request_work> start(caller_request request, response_writer& out) = 0;
    /// Refuses a request whose body is still arriving if it could not be served; returns whether it
    /// did. The connection is closed then.
    virtual bool refuse_early(caller_request /*head*/, response_writer& /*out*/) { return false; }
    /// Responds to a request that has not arrived completely, because its caller is turned away.
    virtual void refuse(caller_request /*head*/, std::string_view /*reason*/,
                        response_writer& /*out*/) {}
    /// What callers hold is charged to this; null where it has no limit.
    virtual std::shared_ptr<memory_budget> budget() { return nullptr; }
    /// Turns callers away while the budget is short.
    virtual void relieve_memory() {}
    /// The same, after the event that is being handled.
    virtual void schedule_relief() {}
    /// Whether responses should ask callers to close their connections.
    virtual bool is_stopping() const = 0;
    /// Longest time for which input that is handled now can have lain unread.
    virtual duration max_unread() const { return duration::zero(); }
    virtual void on_closed(const std::shared_ptr<class caller_link>& it,
                           const caller_closure& how) = 0;
    /// A connection was closed that had been announced as closing.
    virtual void on_finished(close_reason /*why*/, const finish_outcome& /*it*/) {}
};

/// Returns how long a caller whose request was refused before it had arrived may go on sending it:
/// as long as one whose request is accepted. A reset meanwhile could take the refusal from it.
linger_limits linger_for_rest(const caller_service::limits& limits);

/// One connection of a caller.
class caller_link final : public std::enable_shared_from_this<caller_link>,
                          private link_handler,
                          private response_writer {
public:
    caller_link(std::shared_ptr<link> connection, boost::asio::io_context& loop, const clock& time,
                caller_service& service);
    ~caller_link() override;
    caller_link(const caller_link&) = delete;
    caller_link& operator=(const caller_link&) = delete;

    /// Starts reading. `established` is when the connection was established, at the latest: what
    /// can be read already may be as old.
    void start(time_point established);
    /// Starts reading a connection that was established a moment ago.
    void start() { start(time_.now()); }
    /// Number of response bytes that the caller has not taken yet.
    std::size_t unsent() const override { return link_->unsent(); }
    bool has_caller_left() const override { return link_->receiving().has_ended; }
    /// Whether the operating system has not taken all written bytes yet.
    bool is_sending() const { return link_->is_open() && link_->unsent() > 0; }
    /// Whether a request is being read or processed, or a response is on its way.
    bool is_busy() const;
    caller_phase phase() const;
    /// The connection is in use: it is not idle before now.
    void note_in_use(time_point now) { idle_since_ = now; }
    /// Time since the connection was in use last, or was established.
    duration idle_time(time_point now) const { return now - idle_since_; }
    /// Closes at once.
    void close(close_reason why);
    /// Refuses the request or closes the connection, to free what it holds.
    void turn_away(std::string_view reason);
    const std::shared_ptr<link>& connection() const { return link_; }
    /// The holder to which the connection is charged.
    memory_budget::holder_id holder() const { return holder_; }
    /// Charges what the connection holds now, also in the operating system.
    void charge_unread();

private:
    using parser = message_parser<true>;

    void on_input() override;
    void on_end(link_end how) override;
    void on_partly_written(std::size_t bytes) override;
    void on_written() override;

    void send_head(const caller_response& head) override;
    void send_body(std::string_view bytes) override;
    void send_end() override;
    void abort() override;
    void note_held() override;

    /// Charges the connection for what it holds now, and `unread` bytes in the operating system.
    void charge(std::size_t unread);
    holder_wait wait() const;
    /// Returns the head of the request that is arriving, as far as it is known.
    caller_request head() const;
    /// Prepares for a response to a request that has not arrived completely.
    void begin_early_response();
    /// Waits for the next request.
    void begin_request();
    /// A request begins to arrive: it has to keep the limits that are in force now.
    void begin_reading();
    void parse();
    /// Handles the next request if it has arrived and none is in progress.
    void parse_next();
    /// Whether the caller has to read earlier responses before its next request is handled.
    bool has_response_backlog() const;
    /// Handles what has arrived of a request; returns false if no more of it can be handled now.
    bool parse_part();
    /// Handles a head that has just arrived; returns false if it was refused.
    bool take_head();
    /// Refuses the request before its body is read if it could not be served, or asks for the body.
    void check_early();
    void dispatch();
    void refuse(unsigned status, std::string_view reason);
    /// When the bytes arrived that are being handled, at the earliest.
    time_point arrival_time();
    void set_timeout(std::chrono::milliseconds time);
    /// Sets the timer for the next part of a body.
    void set_body_timeout();
    void on_timeout();
    /// Closes the connection if it has been idle for as long as the limit in force allows.
    void on_idle_timeout();
    /// Describes the connection as it is now, to be closed for a reason.
    caller_closure closure(close_reason why) const;
    void handle_close(const caller_closure& how);
    /// Sends what is queued and closes.
    void finish();

    std::shared_ptr<link> link_;
    boost::asio::steady_timer timer_;
    const clock& time_;
    caller_service& service_;
    std::unique_ptr<parser> parser_;
    /// Shared, as a connection may be destroyed after its service.
    const std::shared_ptr<memory_budget> budget_;
    memory_budget::holder_id holder_ = 0;
    /// Body of the request that is arriving.
    body_buffer body_;
    /// Memory of the head of the request that is arriving or in progress.
    std::size_t head_bytes_ = 0;
    std::shared_ptr<request_work> work_;
    /// Since when input can have lain unread that was there before reading began.
    std::optional<time_point> unread_since_;
    time_point first_byte_{};
    time_point body_began_{};
    /// Since when no request has begun to arrive.
    time_point idle_since_{};
    /// Longest idle timeout that was in force since then.
    std::chrono::milliseconds idle_limit_{0};
    bool reading_request_ = false;
    bool head_seen_ = false;
    /// Whether it was checked that the request, whose body is arriving, could be served.
    bool checked_early_ = false;
    bool answering_ = false;
    bool keep_alive_ = true;
    bool chunked_ = false;
    bool no_body_ = false;
    bool is_head_ = false;
    bool is_http11_ = true;
    bool closed_ = false;
};

}  // namespace radishpulley::gateway
