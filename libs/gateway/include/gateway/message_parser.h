/// Parser of HTTP/1.1 messages from callers, endpoints and the store.
///
/// It allocates only for bytes that have arrived, never for a length that a peer states, and throws
/// nothing on any input: errors are reported by code. What a peer may send is bounded here by
/// `message_limits` and, for a line or a block of trailers, by the input buffer of the connection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <boost/beast/http/basic_parser.hpp>

#include "gateway/http_text.h"

namespace radishpulley::gateway {

/// Largest message that a peer may send.
struct message_limits {
    /// Bytes of the start line and the headers together.
    std::uint32_t head_bytes = 65'536;
    /// Bytes of the body without its framing.
    std::uint64_t body_bytes = 0;
};

/// Parses one message. The body is handed out in the parts in which it arrives.
template <bool is_request>
class message_parser final : public boost::beast::http::basic_parser<is_request> {
public:
    explicit message_parser(const message_limits& limits) {
        this->header_limit(limits.head_bytes);
        this->body_limit(limits.body_bytes);
        this->eager(false);
    }

    /// Method of a request.
    const std::string& method() const { return method_; }
    /// Path and query of a request.
    const std::string& target() const { return target_; }
    /// Status of a response, as its three digits state it.
    unsigned status() const { return status_; }
    /// Reason phrase of a response.
    const std::string& reason() const { return reason_; }
    /// 10 for HTTP/1.0, 11 for HTTP/1.1.
    int version() const { return version_; }
    /// Headers in the order of their arrival; without trailers.
    const header_list& headers() const { return headers_; }
    /// Bytes of the body that arrived and were not taken yet.
    std::string take_body() { return std::exchange(body_, {}); }

private:
    using error_code = boost::beast::error_code;
    using text = boost::beast::string_view;

    static std::string to_string(text it) { return {it.data(), it.size()}; }

    void on_request_impl(boost::beast::http::verb /*method*/, text method, text target, int version,
                         error_code& /*ec*/) override {
        method_ = to_string(method);
        target_ = to_string(target);
        version_ = version;
    }

    void on_response_impl(int status, text reason, int version, error_code& /*ec*/) override {
        status_ = static_cast<unsigned>(status);
        reason_ = to_string(reason);
        version_ = version;
    }

    void on_field_impl(boost::beast::http::field /*name*/, text name, text value,
                       error_code& /*ec*/) override {
        if (!is_head_complete_) {
            headers_.push_back({to_string(name), to_string(value)});
        }
    }

    void on_header_impl(error_code& /*ec*/) override { is_head_complete_ = true; }

    // A stated length is no reason to allocate.
    void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                           error_code& /*ec*/) override {}

    std::size_t on_body_impl(text bytes, error_code& /*ec*/) override {
        body_.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, text /*extensions*/,
                              error_code& /*ec*/) override {}

    std::size_t on_chunk_body_impl(std::uint64_t /*left*/, text bytes, error_code& ec) override {
        return on_body_impl(bytes, ec);
    }

    void on_finish_impl(error_code& /*ec*/) override {}

    std::string method_;
    std::string target_;
    std::string reason_;
    unsigned status_ = 0;
    int version_ = 0;
    bool is_head_complete_ = false;
    header_list headers_;
    std::string body_;
};

}  // namespace radishpulley::gateway
