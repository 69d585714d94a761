/// The object API over HTTP.
///
/// Reads: GET /v1/objects/NAME, answered with the value and its version as ETag, or 404.
/// Updates: PUT or DELETE with If-Match: "VERSION" or If-None-Match: *, answered 412 on conflict.
/// Lists: GET /v1/objects?prefix=P. Watches: GET /v1/watch?prefix=P&since=N&wait_ms=M.
#pragma once

#include <chrono>
#include <string>

#include "http/client.h"
#include "object_api/object_store.h"

namespace radishpulley::object_api {

/// Client of one object API address. Safe to call from several threads at once.
class http_object_store final : public object_store {
public:
    /// `timeout` is the longest wait for an answer, for watches beyond their own wait.
    http_object_store(std::string address, std::chrono::milliseconds timeout);

    get_result get(std::string_view name) override;
    put_result put(std::string_view name, std::string_view value, object_version expected) override;
    put_result remove(std::string_view name, object_version expected) override;
    list_result list(std::string_view prefix) override;
    watch_result watch(std::string_view prefix, store_revision since, duration wait) override;

private:
    put_result update(http::request it, object_version expected);

    std::string address_;
    std::chrono::milliseconds timeout_;
    http::client reads_;
    // Updates use a connection each: a kept one may make the library send an update twice.
    http::client updates_;
};

}  // namespace radishpulley::object_api
