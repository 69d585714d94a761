#include "gateway/simple_call.h"

#include <boost/asio/steady_timer.hpp>

namespace radishpulley::gateway {
namespace {

// A response that brings less in a stall timeout counts as stalled.
constexpr std::size_t min_progress_bytes = 4'096;
// Stall timeouts after which a call is given up though its response still arrives.
constexpr unsigned max_stall_timeouts = 60;

class simple_call final : public call_handler, public std::enable_shared_from_this<simple_call> {
public:
    simple_call(boost::asio::io_context& loop, endpoint_pool& pool, endpoint_id id,
                simple_request request, std::function<void(simple_result)> done)
        : pool_(pool),
          id_(std::move(id)),
          request_(std::move(request)),
          done_(std::move(done)),
          timer_(loop) {}

    void start(const std::string& address) {
        const auto self = shared_from_this();
        timer_.expires_after(request_.timeout);
        timer_.async_wait([self](const boost::system::error_code& ec) {
            if (!ec) {
                self->fail_after_timeout();
            }
        });
        pool_.acquire(id_, address, [self, address](std::shared_ptr<endpoint_link> it) {
            self->on_connected(address, std::move(it));
        });
    }

private:
    void on_connected(const std::string& address, std::shared_ptr<endpoint_link> it) {
        if (!done_) {
            return;
        }
        if (!it) {
            fail(call_failure::not_sent);
            return;
        }
        connection_ = std::move(it);
        // The call owns itself until it ends.
        self_ = shared_from_this();
        call_request call;
        call.bytes = build_request(address);
        connection_->call(std::move(call), *this);
    }

    std::string build_request(const std::string& host) const {
        std::string out = request_.method + " " + request_.target + " HTTP/1.1\r\n";
        append_header(out, "Host", host);
        for (const header& it : request_.headers) {
            append_header(out, it.name, it.value);
        }
        if (!request_.body.empty()) {
            append_header(out, "Content-Length", std::to_string(request_.body.size()));
        }
        return out + "\r\n" + request_.body;
    }

    void on_head(const response_head& head) override {
        answer_.status = head.status;
        answer_.headers = head.headers;
        if (head.length.value_or(0) > request_.max_body_bytes) {
            fail_as_too_large();
            return;
        }
        watch_progress();
    }

    void on_body(std::string_view bytes) override {
        answer_.body.append(bytes);
        if (answer_.body.size() > request_.max_body_bytes) {
            fail_as_too_large();
            return;
        }
        request_.on_progress();
    }

    // Fails the call if the response stalls. How long it takes in all depends on its size and on
    // the link.
    void watch_progress() {
        timer_.expires_after(request_.stall_timeout);
        timer_.async_wait([self = shared_from_this(),
                           received = answer_.body.size()](const boost::system::error_code& ec) {
            if (ec) {
                return;
            }
            const bool has_progressed = self->answer_.body.size() - received >= min_progress_bytes;
            if (has_progressed && ++self->stall_timeouts_ < max_stall_timeouts) {
                self->watch_progress();
            } else {
                self->fail_after_timeout();
            }
        });
    }

    void on_done() override {
        pool_.release(id_, std::move(connection_));
        connection_.reset();
        end(std::move(answer_));
    }

    void on_failure(call_failure why) override { fail(why); }

    failed_call describe_failure(call_failure why) const {
        failed_call out;
        out.why = why;
        out.received_bytes = answer_.body.size();
        out.on_kept_connection = connection_ && connection_->responses() > 0;
        return out;
    }

    void fail(call_failure why) { end(describe_failure(why)); }

    void fail_after_timeout() {
        failed_call out = describe_failure(call_failure::broken);
        out.timed_out = true;
        end(out);
    }

    void fail_as_too_large() {
        failed_call out = describe_failure(call_failure::malformed);
        out.too_large = true;
        end(out);
    }

    void end(simple_result result) {
        if (!done_) {
            return;
        }
        const auto keep = std::move(self_);
        timer_.cancel();
        if (connection_) {
            connection_->cancel();
            connection_.reset();
        }
        const auto done = std::move(done_);
        done_ = nullptr;
        done(std::move(result));
    }

    endpoint_pool& pool_;
    endpoint_id id_;
    simple_request request_;
    std::function<void(simple_result)> done_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<endpoint_link> connection_;
    std::shared_ptr<simple_call> self_;
    simple_response answer_;
    unsigned stall_timeouts_ = 0;
};

}  // namespace

void run_simple_call(boost::asio::io_context& loop, endpoint_pool& pool, const endpoint_id& id,
                     const std::string& address, simple_request request,
                     std::function<void(simple_result)> done) {
    std::make_shared<simple_call>(loop, pool, id, std::move(request), std::move(done))
        ->start(address);
}

}  // namespace radishpulley::gateway
