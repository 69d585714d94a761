/// Splits a stream of server-sent events at event boundaries, so that a stream that breaks off
/// within an event can be resumed at another endpoint.
#pragma once

#include <string>
#include <string_view>

namespace radishpulley::gateway {

/// Tells whether a stream has ended between two events, without buffering it.
class event_end_detector {
public:
    void append(std::string_view bytes);
    /// Whether the last event is complete; false before the first.
    bool is_at_event_end() const;

private:
    /// Last bytes of the stream.
    std::string tail_;
};

class event_splitter {
public:
    /// Appends bytes; returns the complete events that can be relayed.
    std::string append(std::string_view bytes);
    /// Returns the bytes of the incomplete event.
    const std::string& incomplete() const { return incomplete_; }
    /// Discards the incomplete event.
    void discard_incomplete() { incomplete_.clear(); }
    /// Id of the last complete event; empty before the first.
    const std::string& last_id() const { return last_id_; }

private:
    std::string incomplete_;
    std::string last_id_;
};

}  // namespace radishpulley::gateway
