/// At which software streams began, so that one that breaks off is not joined with the response of
/// other software.
///
/// Pure; not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/identifier.h"
#include "routing/endpoint.h"

namespace radishpulley::routing {

/// Identifies a stream among VMs: the request that brought its first event.
using stream_key = std::uint64_t;

/// Returns the key of the stream that a request of an account began; the account is empty on routes
/// that require no key.
stream_key stream_key_of(const client_account_id& account, const request_id& first);

/// Time for which a stream can be resumed after it was last noted.
constexpr duration stream_lifetime = std::chrono::minutes(1);

/// Streams that began at one software.
struct stream_group {
    software at;
    std::vector<stream_key> streams;
};

/// Remembers for each stream at which software it began.
class stream_origins {
public:
    /// `lifetime` is the time for which a stream is remembered after it was last noted, and
    /// `capacity` the number of streams beyond which those that were noted longest ago are
    /// forgotten.
    explicit stream_origins(duration lifetime = stream_lifetime, std::size_t capacity = 100'000);

    /// A stream began or goes on at the software. Such streams are to be announced to other VMs.
    void on_begin(stream_key stream, const software& at, time_point now);
    /// The caller has received the whole stream and will not resume it.
    void on_complete(stream_key stream) { records_.erase(stream); }
    /// Another VM announced streams.
    void on_announced(const stream_group& it, time_point now);
    /// Returns where a stream began, or null if that is not known.
    const software* find(stream_key stream) const;
    /// Returns the streams that this VM has not announced yet, of the software that `is_wanted`,
    /// and counts them as announced.
    std::vector<stream_group> take_unannounced(
        const std::function<bool(const software&)>& is_wanted);
    void drop_expired(time_point now);
    std::size_t size() const { return records_.size(); }

private:
    struct record {
        /// Points into `software_`.
        const software* at = nullptr;
        time_point noted{};
    };
    struct noted_stream {
        stream_key stream = 0;
        time_point at{};
    };

    void note(stream_key stream, const software& at, time_point now);
    void drop_oldest();

    duration lifetime_;
    std::size_t capacity_;
    std::set<software> software_;
    std::unordered_map<stream_key, record> records_;
    /// Every note, the oldest first; a stream that was noted again has later ones.
    std::deque<noted_stream> notes_;
    /// The oldest first.
    std::deque<noted_stream> unannounced_;
};

/// The software at which streams may have begun that callers can still resume.
class software_history {
public:
    /// `retention` is the time for which software counts after its last endpoint has left.
    explicit software_history(duration retention = std::chrono::minutes(5));

    /// Endpoints run this software now.
    void on_seen(const software& it, time_point now);
    /// Other VMs saw this software lately. What this VM has seen itself, it knows better.
    void on_record(const std::vector<software>& seen, time_point now);
    /// Whether the software is known that served before this process started.
    bool knows_past() const { return knows_past_; }
    /// Returns the software of a service at which streams may have begun.
    std::vector<software> recent(const service_id& service, time_point now) const;
    /// Returns the same of all services.
    std::vector<software> recent(time_point now) const;

private:
    bool is_recent(time_point seen, time_point now) const { return now - seen <= retention_; }

    duration retention_;
    /// All software since this process started; there are few versions.
    std::map<software, time_point> last_seen_;
    bool knows_past_ = false;
};

}  // namespace radishpulley::routing
