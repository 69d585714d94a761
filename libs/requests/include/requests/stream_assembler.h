/// Puts an answer together from the chunks of one or more attempts.
///
/// Chunks carry the attempt and a sequence number, so that late, crossed and doubled ones are told
/// apart. Server-sent events are let through whole only: what was delivered can be counted, and a
/// resumed attempt continues at an event's border.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishpulley::requests {

/// Numbers the attempts of one request from 1; 0 means none.
using attempt_number = std::uint32_t;

/// How the end of an answer is told.
enum class body_framing {
    /// Ended by the event `data: [DONE]`.
    server_sent_events,
    /// Ended after Content-Length bytes.
    content_length,
    /// Ended by the transport's last chunk.
    chunked
};

/// Longest server-sent event, in bytes.
constexpr std::size_t max_event_size = 1'000'000;

/// What became of a chunk.
enum class chunk_verdict {
    accepted,
    /// It belongs to an attempt that was given up.
    stale,
    /// It was taken before.
    duplicate,
    /// Chunks before it are missing.
    gap,
    /// It is longer than announced, follows the terminator, or an event is too long.
    overrun
};

/// Verdict on a chunk, and the bytes that may go to the caller now.
struct chunk_result {
    chunk_verdict verdict = chunk_verdict::accepted;
    std::string ready;
};

/// Assembles one answer. Example:
///
///     stream_assembler body;
///     body.begin_attempt(1, body_framing::server_sent_events, std::nullopt);
///     send(body.take(1, 0, "data: a\n\n").ready);
class stream_assembler {
public:
    /// Starts the answer of a new attempt; unfinished events of earlier ones are dropped.
    void begin_attempt(attempt_number attempt, body_framing framing,
                       std::optional<std::uint64_t> content_length);

    /// Takes one chunk; sequence numbers of an attempt begin at 0.
    chunk_result take(attempt_number attempt, std::uint64_t sequence, std::string_view data);

    /// Returns whether the answer is whole. `transport_ended` tells that the transport saw a
    /// proper end and not a cut connection.
    bool is_whole(bool transport_ended) const;

    /// Data events let through, over all attempts, without the terminator.
    std::uint64_t events_delivered() const { return events_delivered_; }

private:
    chunk_result take_events(std::string_view data);

    attempt_number attempt_ = 0;
    body_framing framing_ = body_framing::chunked;
    std::optional<std::uint64_t> content_length_;
    std::uint64_t next_sequence_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t events_delivered_ = 0;
    std::string unfinished_event_;
    bool terminated_ = false;
};

}  // namespace radishpulley::requests
