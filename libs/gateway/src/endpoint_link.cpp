#include "gateway/endpoint_link.h"

#include <algorithm>
#include <charconv>

#include <boost/beast/http/error.hpp>

#include "response_checks.h"
#include "telemetry/event_log.h"
#include "telemetry/guarded.h"

namespace radishpulley::gateway {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// The body is more than a link carries before any caller's deadline.
constexpr message_limits response_limits{65'536, std::uint64_t{1} << 36};
// An idle connection is not reused shortly before its endpoint closes it.
constexpr std::chrono::milliseconds keep_alive_margin{700};
constexpr std::chrono::milliseconds max_keep_alive = std::chrono::hours(1);
// Limits on responses, and their bytes, that are skipped while waiting for the one to the request.
constexpr std::size_t max_discarded_responses = 16;
constexpr std::size_t max_discarded_bytes = 1'048'576;

}  // namespace

endpoint_link::endpoint_link(std::shared_ptr<link> connection, const clock& time, endpoint_id to,
                             contact_observer* observer)
    : link_(std::move(connection)),
      time_(time),
      to_(std::move(to)),
      observer_(observer),
      idle_since_(time.now()) {
    link_->set_handler(this);
}

endpoint_link::~endpoint_link() {
    link_->close();
}

void endpoint_link::call(call_request request, call_handler& handler) {
    request_ = std::move(request);
    handler_ = &handler;
    discarded_responses_ = 0;
    discarded_bytes_ = 0;
    progress_ = {};
    is_stall_told_ = false;
    begin_response();
    link_->write(std::move(request_.bytes));
}

void endpoint_link::begin_response() {
    parser_ = std::make_unique<parser>(response_limits);
    parser_->skip(request_.is_head);
    head_taken_ = false;
    discarding_ = false;
}

void endpoint_link::cancel() {
    handler_ = nullptr;
    unusable_ = true;
    link_->close();
}

void endpoint_link::check_progress() {
    if (observer_ == nullptr || handler_ == nullptr) {
        return;
    }
    const bool is_stalled = progress_.on_sample(link_->sending(), time_.now()) >= progress_timeout;
    if (is_stalled && !is_stall_told_) {
        observer_->on_contact_failed(to_, routing::contact_failure::no_progress);
    }
    is_stall_told_ = is_stalled;
}

void endpoint_link::set_paused(bool paused) {
    if (paused_ == paused) {
        return;
    }
    paused_ = paused;
    if (!paused) {
        on_input();
        link_->resume();
    }
}

bool endpoint_link::reusable() const {
    return handler_ == nullptr && !unusable_ && link_->is_open() && link_->unsent() == 0 &&
           time_.now() - idle_since_ < keep_alive_;
}

void endpoint_link::on_input() {
    const auto self = shared_from_this();
    if (observer_ != nullptr && link_->input().size() > 0) {
        observer_->on_contact(to_, routing::contact_proof::received);
    }
    if (!telemetry::run_guarded("response", [this] { take_input(); })) {
        fail(call_failure::malformed);
    }
}

void endpoint_link::take_input() {
    if (handler_ == nullptr) {
        // Unsolicited bytes make the connection unusable.
        unusable_ = true;
        link_->close();
        return;
    }
    while (!paused_ && handler_ != nullptr && parse()) {
    }
}

bool endpoint_link::parse() {
    auto& input = link_->input();
    if (input.size() == 0) {
        return false;
    }
    error_code ec;
    const std::size_t n = parser_->put(input.data(), ec);
    input.consume(n);
    if (ec && ec != http::error::need_more) {
        fail_malformed(ec.message());
        return false;
    }
    if (!head_taken_ && parser_->is_header_done()) {
        take_head();
    }
    if (handler_ == nullptr) {
        return false;
    }
    const std::string bytes = parser_->take_body();
    if (!bytes.empty()) {
        if (!discarding_) {
            handler_->on_body(bytes);
        } else if ((discarded_bytes_ += bytes.size()) > max_discarded_bytes) {
            fail_malformed("another request's response does not end");
        }
    }
    if (handler_ == nullptr) {
        return false;
    }
    if (parser_->is_done()) {
        return finish_response();
    }
    if (n == 0 && !link_->has_room()) {
        // A line that fills the whole input buffer can't be parsed any further.
        fail_malformed("a line does not end");
        return false;
    }
    return n > 0 && !ec;
}

void endpoint_link::take_head() {
    head_taken_ = true;
    parser_->eager(true);
    response_head head;
    head.status = parser_->status();
    head.reason = parser_->reason();
    head.headers = parser_->headers();
    if (parser_->content_length()) {
        head.length = *parser_->content_length();
    }
    head.ends_with_connection = !head.length && !parser_->chunked();
    if (const auto fault = find_fault(head, {parser_->version(), parser_->chunked()})) {
        fail_malformed(*fault);
        return;
    }
    const std::string_view id = request_.id_header.empty()
                                    ? std::string_view()
                                    : find_header(head.headers, request_.id_header);
    // An endpoint that states ids of its own responses leaves none out.
    const bool is_foreign = id.empty() ? states_ids_ : id != request_.id;
    if (head.status / 100 == 1 || is_foreign) {
        discarding_ = true;
        if (++discarded_responses_ > max_discarded_responses) {
            fail_malformed("too many responses that are not the request's");
        }
        return;
    }
    if (id.empty() && !request_.id_header.empty() && responses_ > 0) {
        // The response may belong to an earlier request.
        fail_malformed("the response lacks the request's id");
        return;
    }
    states_ids_ = states_ids_ || !id.empty();
    note_keep_alive(head);
    handler_->on_head(head);
}

void endpoint_link::note_keep_alive(const response_head& head) {
    const std::string_view text = find_header(head.headers, "keep-alive");
    const std::size_t at = text.find("timeout=");
    if (at == std::string_view::npos) {
        return;
    }
    const std::string_view digits = text.substr(at + std::string_view("timeout=").size());
    std::uint32_t seconds = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (ec == std::errc::invalid_argument) {
        return;
    }
    const std::chrono::milliseconds stated =
        ec == std::errc()
            ? std::min<std::chrono::milliseconds>(std::chrono::seconds(seconds), max_keep_alive)
            : max_keep_alive;
    keep_alive_ = std::max(stated - keep_alive_margin, stated / 3);
}

bool endpoint_link::finish_response() {
    if (!parser_->keep_alive()) {
        unusable_ = true;
    }
    if (discarding_) {
        if (unusable_) {
            fail(call_failure::broken);
            return false;
        }
        begin_response();
        return true;
    }
    call_handler* handler = handler_;
    handler_ = nullptr;
    ++responses_;
    idle_since_ = time_.now();
    const bool has_more = link_->input().size() > 0;
    if (has_more || link_->unsent() > 0) {
        unusable_ = true;
    }
    if (unusable_) {
        link_->close();
    }
    handler->on_done();
    return false;
}

void endpoint_link::on_end(link_end how) {
    const auto self = shared_from_this();
    paused_ = false;
    if (observer_ != nullptr && how == link_end::broken) {
        observer_->on_contact_failed(to_, routing::contact_failure::connection_broken);
    }
    telemetry::run_guarded("last response", [this] {
        while (handler_ != nullptr && parse()) {
        }
    });
    if (handler_ == nullptr) {
        unusable_ = true;
        return;
    }
    // Only an end that follows the whole request can be the end of a body.
    if (how == link_end::closed && head_taken_ && !discarding_) {
        error_code ec;
        parser_->put_eof(ec);
        if (!ec && parser_->is_done()) {
            finish_response();
            return;
        }
    }
    fail(link_->has_written() ? call_failure::broken : call_failure::not_sent);
}

void endpoint_link::fail_malformed(std::string_view reason) {
    telemetry::log_event(telemetry::severity::warning, "response_malformed",
                         {{"request", request_.id},
                          {"reason", reason},
                          {"status", parser_->status()},
                          {"responses", responses_}});
    fail(call_failure::malformed);
}

void endpoint_link::fail(call_failure why) {
    call_handler* handler = handler_;
    handler_ = nullptr;
    unusable_ = true;
    link_->close();
    if (handler != nullptr) {
        handler->on_failure(why);
    }
}

}  // namespace radishpulley::gateway
