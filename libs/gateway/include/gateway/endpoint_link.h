/// A keep-alive connection to an endpoint that runs one call at a time.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "gateway/contact_observer.h"
#include "gateway/http_text.h"
#include "gateway/link.h"
#include "gateway/message_parser.h"
#include "gateway/progress_watch.h"

namespace radishpulley::gateway {

/// Head of an endpoint's response.
struct response_head {
    unsigned status = 0;
    std::string reason;
    header_list headers;
    /// Length of the body, if stated.
    std::optional<std::uint64_t> length;
    /// Whether the body has neither a length nor chunks, so that only the connection's end ends it.
    bool ends_with_connection = false;
};

/// Why a call ended without a complete response.
enum class call_failure {
    /// No byte of the request was sent.
    not_sent,
    /// The connection broke or closed after something was sent.
    broken,
    /// The received bytes are no valid response.
    malformed
};

/// Receives the response of a call.
class call_handler {
public:
    virtual ~call_handler() = default;
    virtual void on_head(const response_head& head) = 0;
    virtual void on_body(std::string_view bytes) = 0;
    /// The response is complete.
    virtual void on_done() = 0;
    virtual void on_failure(call_failure why) = 0;
};

/// One request as it is sent.
struct call_request {
    std::string bytes;
    /// Set for HEAD requests, whose response has no body whatever its head states.
    bool is_head = false;
    /// Response header that must have the value `id`, which detects responses to earlier requests
    /// on the connection; empty for no check. Responses without it are discarded once another
    /// response on the connection had one; before that, only the first may lack it.
    std::string id_header;
    std::string id;
};

/// A connection with the parser of its responses.
class endpoint_link final : public std::enable_shared_from_this<endpoint_link>,
                            private link_handler {
public:
    /// Time without acknowledgement after which a call makes no progress: the operating system has
    /// sent the bytes three times by then.
    static constexpr std::chrono::milliseconds progress_timeout{700};

    /// `observer`, which may be null, is told what the connection shows of the path to `to`.
    endpoint_link(std::shared_ptr<link> connection, const clock& time, endpoint_id to = {},
                  contact_observer* observer = nullptr);
    ~endpoint_link() override;
    endpoint_link(const endpoint_link&) = delete;
    endpoint_link& operator=(const endpoint_link&) = delete;

    /// Sends a request; `handler` receives events until on_done or on_failure, or until cancel().
    void call(call_request request, call_handler& handler);
    /// Ends the call in flight by closing the connection; the handler receives no further events.
    void cancel();
    /// Pauses or resumes reading the response, for a slow caller.
    void set_paused(bool paused);

    /// Whether a call is in flight.
    bool in_flight() const { return handler_ != nullptr; }
    /// Tells the observer once if the call in flight makes no progress. Must be called regularly
    /// while there is one.
    void check_progress();

    /// Whether the connection can take another call.
    bool reusable() const;
    /// Memory of the request that is not sent yet and of input that is not handled yet.
    std::size_t held_bytes() const { return link_->held_bytes(); }
    /// Number of complete responses received on the connection.
    std::size_t responses() const { return responses_; }
    /// When the last response ended.
    time_point idle_since() const { return idle_since_; }
    /// Time for which the endpoint keeps an idle connection open.
    std::chrono::milliseconds keep_alive() const { return keep_alive_; }

private:
    using parser = message_parser<false>;

    void on_input() override;
    void on_end(link_end how) override;
    void take_input();
    void begin_response();
    bool parse();
    void take_head();
    bool finish_response();
    /// Ends the call because the received bytes are no valid response, and logs why.
    void fail_malformed(std::string_view reason);
    void fail(call_failure why);
    void note_keep_alive(const response_head& head);

    std::shared_ptr<link> link_;
    const clock& time_;
    endpoint_id to_;
    contact_observer* observer_;
    progress_watch progress_;
    /// Whether the observer knows that the call in flight makes no progress.
    bool is_stall_told_ = false;
    call_request request_;
    call_handler* handler_ = nullptr;
    std::unique_ptr<parser> parser_;
    bool head_taken_ = false;
    bool discarding_ = false;
    bool paused_ = false;
    bool unusable_ = false;
    /// Whether a response on this connection stated the id of its request.
    bool states_ids_ = false;
    std::size_t responses_ = 0;
    std::size_t discarded_responses_ = 0;
    std::size_t discarded_bytes_ = 0;
    time_point idle_since_;
    std::chrono::milliseconds keep_alive_{4'000};
};

}  // namespace radishpulley::gateway
