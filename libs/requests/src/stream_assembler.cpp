#include "requests/stream_assembler.h"

#include <algorithm>

namespace radishpulley::requests {
namespace {

constexpr std::string_view data_field = "data:";
constexpr std::string_view terminator = "[DONE]";

std::string_view trim(std::string_view text) {
    constexpr std::string_view blanks = " \r\n";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

// Returns the length of the first complete event including its blank line, or 0 if there is none.
std::size_t event_length(std::string_view text) {
    std::size_t newline = text.find('\n');
    while (newline != std::string_view::npos) {
        std::size_t next = newline + 1;
        if (next < text.size() && text[next] == '\r') {
            ++next;
        }
        if (next < text.size() && text[next] == '\n') {
            return next + 1;
        }
        newline = text.find('\n', newline + 1);
    }
    return 0;
}

bool has_data(std::string_view event) {
    return event.substr(0, data_field.size()) == data_field ||
           event.find("\ndata:") != std::string_view::npos;
}

bool is_terminator(std::string_view event) {
    return event.substr(0, data_field.size()) == data_field &&
           trim(event.substr(data_field.size())) == terminator;
}

}  // namespace

void stream_assembler::begin_attempt(attempt_number attempt, body_framing framing,
                                     std::optional<std::uint64_t> content_length) {
    attempt_ = attempt;
    framing_ = framing;
    content_length_ = content_length;
    next_sequence_ = 0;
    bytes_ = 0;
    partial_event_.clear();
    terminated_ = false;
}

chunk_result stream_assembler::take(attempt_number attempt, std::uint64_t sequence,
                                    std::string_view data) {
    if (attempt != attempt_) {
        return {chunk_verdict::stale, {}};
    }
    if (sequence < next_sequence_) {
        return {chunk_verdict::duplicate, {}};
    }
    if (sequence > next_sequence_) {
        return {chunk_verdict::gap, {}};
    }
    ++next_sequence_;
    bytes_ += data.size();
    if (content_length_ && bytes_ > *content_length_) {
        return {chunk_verdict::overrun, {}};
    }
    if (framing_ == body_framing::server_sent_events) {
        return take_events(data);
    }
    return {chunk_verdict::accepted, std::string(data)};
}

chunk_result stream_assembler::take_events(std::string_view data) {
    partial_event_ += data;
    std::size_t consumed = 0;
    const std::string_view text = partial_event_;
    for (std::size_t n = event_length(text); n != 0; n = event_length(text.substr(consumed))) {
        const std::string_view event = text.substr(consumed, n);
        if (terminated_) {
            return {chunk_verdict::overrun, {}};
        }
        terminated_ = is_terminator(event);
        events_delivered_ += has_data(event) && !terminated_ ? 1 : 0;
        consumed += n;
    }
    if (text.size() - consumed > max_event_size) {
        return {chunk_verdict::overrun, {}};
    }
    std::string ready(text.substr(0, consumed));
    partial_event_.erase(0, consumed);
    return {chunk_verdict::accepted, std::move(ready)};
}

bool stream_assembler::is_complete(bool transport_ended) const {
    switch (framing_) {
        case body_framing::server_sent_events:
            return terminated_ && trim(partial_event_).empty();
        case body_framing::content_length:
            return content_length_ && bytes_ == *content_length_;
        case body_framing::chunked:
            return transport_ended;
    }
    return false;
}

}  // namespace radishpulley::requests
