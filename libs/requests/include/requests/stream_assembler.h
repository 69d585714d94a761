/// Assembles a response from the chunks of one or more attempts.
///
/// Each chunk carries its attempt and a sequence number, so that late, misdirected and duplicate
/// chunks can be distinguished. Only complete server-sent events are passed on: delivered events
/// can be counted, and a resumed attempt continues at an event boundary.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishpulley::requests {

/// Number of an attempt of a request, starting at 1; 0 means none.
using attempt_number = std::uint32_t;

/// How the end of a response body is marked.
enum class body_framing {
    /// The event `data: [DONE]` ends the body.
    server_sent_events,
    /// The body ends after Content-Length bytes.
    content_length,
    /// The last chunk of the transport ends the body.
    chunked
};

/// Longest server-sent event, in bytes.
constexpr std::size_t max_event_size = 1'000'000;

/// Result of adding a chunk.
enum class chunk_verdict {
    accepted,
    /// It belongs to an abandoned attempt.
    stale,
    /// It was accepted before.
    duplicate,
    /// Chunks before it are missing.
    gap,
    /// The body exceeds its announced length or continues after the terminator, or an event is too
    /// long.
    overrun
};

/// Verdict on a chunk, and the bytes that may be sent to the caller now.
struct chunk_result {
    chunk_verdict verdict = chunk_verdict::accepted;
    std::string ready;
};

/// Assembles one response. Example:
///
///     stream_assembler body;
///     body.begin_attempt(1, body_framing::server_sent_events, std::nullopt);
///     send(body.take(1, 0, "data: a\n\n").ready);
class stream_assembler {
public:
    /// Begins the response of a new attempt and drops the partial event of the previous one.
    void begin_attempt(attempt_number attempt, body_framing framing,
                       std::optional<std::uint64_t> content_length);

    /// Adds one chunk. The sequence numbers of an attempt start at 0.
    chunk_result take(attempt_number attempt, std::uint64_t sequence, std::string_view data);

    /// Returns whether the response is complete. `transport_ended` is true if the transport ended
    /// properly and the connection was not cut.
    bool is_complete(bool transport_ended) const;

    /// Returns the number of data events passed on over all attempts, without the terminator.
    std::uint64_t events_delivered() const { return events_delivered_; }

private:
    chunk_result take_events(std::string_view data);

    attempt_number attempt_ = 0;
    body_framing framing_ = body_framing::chunked;
    std::optional<std::uint64_t> content_length_;
    std::uint64_t next_sequence_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t events_delivered_ = 0;
    std::string partial_event_;
    bool terminated_ = false;
};

}  // namespace radishpulley::requests
