#include "gateway/caller_link.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include "gateway/http_status.h"
#include "timers.h"

namespace radishpulley::gateway {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// Allowance for line ends and chunk headers on top of the configured header limit.
constexpr std::uint32_t header_limit_slack = 64;
// Largest header limit that a configuration can set.
constexpr std::size_t max_header_limit = 1'048'576;
// Unsent bytes of earlier responses beyond which the next request of the connection waits, so that
// a caller that sends requests and does not read holds a bounded number of responses.
constexpr std::size_t max_response_backlog = 65'536;
// Number of times within the idle timeout that it is checked whether the caller still receives the
// last response. The idle time begins at the last check at which it did.
constexpr int idle_looks = 5;
// Longest time for a body, in multiples of the idle timeout.
constexpr int max_body_idle_timeouts = 4;

unsigned status_of(const error_code& ec) {
    if (ec == http::error::header_limit) {
        return status_headers_too_large;
    }
    return ec == http::error::body_limit ? status_too_large : status_bad_request;
}

std::size_t memory_of(const header_list& headers) {
    std::size_t out = headers.capacity() * sizeof(header);
    for (const header& it : headers) {
        out += it.name.capacity() + it.value.capacity();
    }
    return out;
}

}  // namespace

std::string_view to_text(caller_phase it) {
    switch (it) {
        case caller_phase::accepted:
            return "accepted";
        case caller_phase::idle:
            return "idle";
        case caller_phase::arriving:
            return "arriving";
        case caller_phase::in_progress:
            return "in_progress";
    }
    return "unknown";
}

std::string_view to_text(close_reason it) {
    switch (it) {
        case close_reason::idle_timeout:
            return "idle_timeout";
        case close_reason::by_caller:
            return "by_caller";
        case close_reason::connection_broken:
            return "connection_broken";
        case close_reason::last_response:
            return "last_response";
        case close_reason::refused_early:
            return "refused_early";
        case close_reason::response_aborted:
            return "response_aborted";
        case close_reason::turned_away:
            return "turned_away";
        case close_reason::stopping:
            return "stopping";
    }
    return "unknown";
}

linger_limits linger_for_rest(const caller_service::limits& limits) {
    const linger_limits least;
    return {std::max(limits.idle_timeout, least.silence),
            std::max(limits.idle_timeout * max_body_idle_timeouts, least.total)};
}

caller_link::caller_link(std::shared_ptr<link> connection, boost::asio::io_context& loop,
                         const clock& time, caller_service& service)
    : link_(std::move(connection)),
      timer_(loop),
      time_(time),
      service_(service),
      budget_(service.budget()) {
    if (budget_ != nullptr) {
        holder_ = budget_->add(time_.now());
    }
}

caller_link::~caller_link() {
    // A link that is finishing still sends what was written.
    if (!closed_) {
        link_->close();
    }
    if (budget_ != nullptr) {
        budget_->remove(holder_);
    }
}

void caller_link::start(time_point established) {
    if (established < time_.now() && link_->has_unread()) {
        unread_since_ = established;
    }
    link_->set_handler(this);
    begin_request();
    link_->start();
}

bool caller_link::is_busy() const {
    return reading_request_ || work_ != nullptr || link_->input().size() > 0 ||
           link_->has_unread() || link_->undelivered() > 0;
}

caller_phase caller_link::phase() const {
    if (work_ || answering_) {
        return caller_phase::in_progress;
    }
    return reading_request_ ? caller_phase::arriving : caller_phase::idle;
}

caller_closure caller_link::closure(close_reason why) const {
    const caller_phase now_in = phase();
    const time_point began = now_in == caller_phase::idle ? idle_since_ : first_byte_;
    return {now_in, why, link_->unread_bytes() + link_->input().size(), link_->undelivered(),
            time_.now() - began};
}

void caller_link::close(close_reason why) {
    const caller_closure how = closure(why);
    link_->close();
    handle_close(how);
}

void caller_link::finish() {
    const bool is_rest_missing = !parser_->is_done();
    const close_reason why =
        is_rest_missing ? close_reason::refused_early : close_reason::last_response;
    const caller_closure how = closure(why);
    link_->finish(
        [&service = service_, why](const finish_outcome& it) { service.on_finished(why, it); },
        is_rest_missing ? linger_for_rest(service_.caller_limits()) : linger_limits());
    handle_close(how);
}

void caller_link::handle_close(const caller_closure& how) {
    if (closed_) {
        return;
    }
    closed_ = true;
    timer_.cancel();
    body_.clear();
    head_bytes_ = 0;
    if (work_) {
        const auto work = std::move(work_);
        work_.reset();
        work->on_caller_left();
    }
    charge(0);
    service_.on_closed(shared_from_this(), how);
}

holder_wait caller_link::wait() const {
    if (link_->unsent() > 0 || reading_request_) {
        return holder_wait::for_caller;
    }
    return work_ ? holder_wait::for_others : holder_wait::idle;
}

void caller_link::charge(std::size_t unread) {
    if (budget_ == nullptr) {
        return;
    }
    const std::size_t by_work = work_ ? work_->held_bytes() : 0;
    const std::size_t by_body = body_.capacity() + head_bytes_;
    budget_->set_wait(holder_, wait(), time_.now());
    budget_->set_held(holder_, link_->held_bytes() + by_body + by_work + unread);
    if (budget_->is_short()) {
        service_.schedule_relief();
    }
}

void caller_link::charge_unread() {
    charge(link_->unread_bytes());
}

void caller_link::note_held() {
    charge(0);
}

caller_request caller_link::head() const {
    caller_request out;
    out.received = first_byte_;
    if (head_seen_) {
        out.method = parser_->method();
        out.target = parser_->target();
        out.headers = parser_->headers();
    }
    return out;
}

void caller_link::begin_early_response() {
    timer_.cancel();
    body_.clear();
    is_http11_ = !head_seen_ || parser_->version() >= 11;
    is_head_ = head_seen_ && parser_->method() == "HEAD";
    reading_request_ = false;
    keep_alive_ = false;
    answering_ = true;
}

void caller_link::turn_away(std::string_view reason) {
    const auto self = shared_from_this();
    if (closed_) {
        // What is left to send of the last response is given up.
        link_->abort();
        charge(0);
    } else if (const auto work = work_) {
        keep_alive_ = false;
        work->turn_away(reason);
    } else if (reading_request_) {
        caller_request arrived = head();
        begin_early_response();
        service_.refuse(std::move(arrived), reason, *this);
    } else {
        close(close_reason::turned_away);
    }
}

void caller_link::begin_request() {
    body_.clear();
    head_bytes_ = 0;
    parser_.reset();
    reading_request_ = false;
    head_seen_ = false;
    checked_early_ = false;
    answering_ = false;
    idle_since_ = time_.now();
    idle_limit_ = service_.caller_limits().idle_timeout;
    set_timeout(idle_limit_ / idle_looks);
}

void caller_link::begin_reading() {
    const caller_service::limits limits = service_.caller_limits();
    // A head has to fit into the input buffer, with a part of what follows it.
    link_->set_max_input(std::max(link_options{}.max_input, limits.max_header_bytes * 2));
    const std::size_t header_limit = std::min(limits.max_header_bytes, max_header_limit);
    parser_ = std::make_unique<parser>(message_limits{
        static_cast<std::uint32_t>(header_limit) + header_limit_slack, limits.max_body_bytes});
    reading_request_ = true;
    first_byte_ = arrival_time();
    set_timeout(limits.header_timeout);
}

void caller_link::set_body_timeout() {
    const std::chrono::milliseconds idle = service_.caller_limits().idle_timeout;
    // Every part of a body restarts the idle timeout, up to the limit for the whole body.
    const duration left = body_began_ + idle * max_body_idle_timeouts - time_.now();
    set_timeout(std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(left),
                           std::chrono::milliseconds(0), idle));
}

time_point caller_link::arrival_time() {
    const time_point by_loop = time_.now() - service_.max_unread();
    const time_point by_system = time_.now() - link_->receiving().idle;
    const time_point by_connection = std::exchange(unread_since_, std::nullopt).value_or(by_loop);
    return std::min({by_loop, by_system, by_connection});
}

void caller_link::set_timeout(std::chrono::milliseconds time) {
    timer_.expires_after(time);
    timer_.async_wait([weak = weak_from_this()](const error_code& ec) {
        const auto self = weak.lock();
        if (!ec && self && !self->closed_ && is_due(self->timer_)) {
            self->on_timeout();
        }
    });
}

void caller_link::on_timeout() {
    if (work_) {
        return;
    }
    if (reading_request_ && link_->has_room() && link_->has_unread()) {
        // More has arrived in time, as far as this process can tell.
        set_timeout(std::chrono::milliseconds(0));
    } else if (reading_request_) {
        refuse(status_request_timeout, "the request took too long to arrive");
    } else {
        on_idle_timeout();
    }
}

void caller_link::on_idle_timeout() {
    const time_point now = time_.now();
    const bool is_in_use = link_->undelivered() > 0 || link_->has_unread();
    const std::chrono::milliseconds limit = service_.caller_limits().idle_timeout;
    if (is_in_use) {
        idle_since_ = now;
    }
    // A lowered limit holds from the next response on: callers go by the one that was in force at
    // the last.
    idle_limit_ = std::max(idle_limit_, limit);
    const duration left = is_in_use ? limit / idle_looks : idle_since_ + idle_limit_ - now;
    if (left > duration::zero()) {
        set_timeout(std::chrono::ceil<std::chrono::milliseconds>(left));
        return;
    }
    // A request that crosses the close must not be read, so that its caller may send it again.
    const auto self = shared_from_this();
    close(close_reason::idle_timeout);
}

void caller_link::on_input() {
    const auto self = shared_from_this();
    if (!work_) {
        parse();
    }
    if (budget_ != nullptr && !closed_) {
        charge(0);
        service_.relieve_memory();
    }
}

void caller_link::parse() {
    while (link_->input().size() > 0 && !work_ && !closed_ && !has_response_backlog()) {
        if (!parse_part()) {
            break;
        }
    }
    const bool is_body_missing = head_seen_ && reading_request_ && !closed_;
    if (is_body_missing && !checked_early_) {
        checked_early_ = true;
        check_early();
    }
}

bool caller_link::has_response_backlog() const {
    return !reading_request_ && link_->unsent() > max_response_backlog;
}

bool caller_link::parse_part() {
    if (!reading_request_) {
        begin_reading();
    }
    auto& input = link_->input();
    error_code ec;
    const std::size_t n = parser_->put(input.data(), ec);
    input.consume(n);
    body_.append(parser_->take_body());
    if (budget_ != nullptr) {
        budget_->note_moved(holder_, n, time_.now());
    }
    if (ec && ec != http::error::need_more) {
        refuse(status_of(ec), ec.message());
        return false;
    }
    if (head_seen_ && n > 0) {
        set_body_timeout();
    }
    if (!head_seen_ && parser_->is_header_done() && !take_head()) {
        return false;
    }
    if (parser_->is_done()) {
        dispatch();
        return false;
    }
    return n > 0;
}

bool caller_link::take_head() {
    head_seen_ = true;
    head_bytes_ = memory_of(parser_->headers());
    parser_->eager(true);
    body_began_ = time_.now();
    if (has_unknown_coding(parser_->headers())) {
        // Its body can't be told from the next request.
        refuse(status_bad_request, "the transfer coding is unknown");
        return false;
    }
    set_body_timeout();
    return true;
}

void caller_link::check_early() {
    caller_request arrived = head();
    const bool expects_continue = same_name(find_header(arrived.headers, "expect"), "100-continue");
    // The state of the response is restored below if the request is not refused.
    const bool kept_alive = std::exchange(keep_alive_, false);
    is_http11_ = parser_->version() >= 11;
    is_head_ = arrived.method == "HEAD";
    answering_ = true;
    if (service_.refuse_early(std::move(arrived), *this)) {
        return;
    }
    answering_ = false;
    keep_alive_ = kept_alive;
    if (expects_continue) {
        link_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void caller_link::dispatch() {
    timer_.cancel();
    caller_request request = head();
    // The parser keeps its own copy of the head until the next request.
    head_bytes_ *= 2;
    request.body = body_.take();
    keep_alive_ = parser_->keep_alive();
    is_http11_ = parser_->version() >= 11;
    is_head_ = request.method == "HEAD";
    reading_request_ = false;
    // The processing may send the response before start() returns.
    answering_ = true;
    auto work = service_.start(std::move(request), *this);
    if (answering_ && !closed_) {
        work_ = std::move(work);
    }
}

void caller_link::refuse(unsigned status, std::string_view reason) {
    begin_early_response();
    caller_response head;
    head.status = status;
    head.headers.push_back({"Content-Type", "text/plain"});
    head.length = reason.size();
    send_head(head);
    send_body(reason);
    send_end();
}

void caller_link::send_head(const caller_response& head) {
    if (closed_) {
        return;
    }
    if (service_.is_stopping()) {
        keep_alive_ = false;
    }
    no_body_ = is_head_ || has_no_body(head.status);
    chunked_ = !head.length && !no_body_ && is_http11_;
    if (!head.length && !no_body_ && !is_http11_) {
        keep_alive_ = false;
    }
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + " ";
    out += head.reason.empty()
               ? std::string(http::obsolete_reason(http::int_to_status(head.status)))
               : head.reason;
    out += "\r\n";
    for (const header& it : head.headers) {
        append_header(out, it.name, it.value);
    }
    if (head.length && head.status != status_no_content) {
        append_header(out, "Content-Length", std::to_string(*head.length));
    } else if (chunked_) {
        append_header(out, "Transfer-Encoding", "chunked");
    }
    if (!keep_alive_) {
        append_header(out, "Connection", "close");
    }
    out += "\r\n";
    link_->write(std::move(out));
    charge(0);
}

void caller_link::send_body(std::string_view bytes) {
    if (closed_ || no_body_ || bytes.empty()) {
        return;
    }
    link_->write(chunked_ ? to_chunk(bytes) : std::string(bytes));
    charge(0);
}

void caller_link::send_end() {
    if (closed_ || !answering_) {
        return;
    }
    const auto self = shared_from_this();
    if (chunked_) {
        link_->write(std::string(last_chunk));
    }
    answering_ = false;
    work_.reset();
    // While the process stops, a connection whose last head did not say that it closes stays open
    // until it is idle: its next request may be on its way.
    if (!keep_alive_) {
        finish();
        return;
    }
    begin_request();
    // Pipelined requests are parsed from the event loop to keep responses from nesting on the
    // stack.
    if (link_->input().size() > 0) {
        boost::asio::post(timer_.get_executor(), [self] { self->parse_next(); });
    } else {
        link_->resume();
    }
}

void caller_link::parse_next() {
    if (!closed_ && !work_) {
        parse();
        link_->resume();
    }
}

void caller_link::abort() {
    if (closed_) {
        return;
    }
    const auto self = shared_from_this();
    const caller_closure how = closure(close_reason::response_aborted);
    answering_ = false;
    work_.reset();
    link_->abort();
    handle_close(how);
}

void caller_link::on_end(link_end how) {
    const auto self = shared_from_this();
    const bool is_broken = how == link_end::broken;
    handle_close(closure(is_broken ? close_reason::connection_broken : close_reason::by_caller));
}

void caller_link::on_partly_written(std::size_t bytes) {
    if (budget_ != nullptr) {
        budget_->note_moved(holder_, bytes, time_.now());
    }
}

void caller_link::on_written() {
    const auto self = shared_from_this();
    charge(0);
    if (const auto work = work_) {
        work->on_caller_ready();
    } else if (!answering_) {
        parse_next();
    }
}

}  // namespace radishpulley::gateway
