/// Cuts a stream of server-sent events at their borders, so that a stream that breaks off in the
/// middle of an event can go on at another endpoint.
#pragma once

#include <string>
#include <string_view>

namespace radishpulley::gateway {

class event_cutter {
public:
    /// Takes bytes; returns the whole events that may go on.
    std::string take(std::string_view bytes);
    /// Returns what is left of an unfinished event.
    const std::string& rest() const { return rest_; }
    /// Forgets an unfinished event.
    void drop_rest() { rest_.clear(); }
    /// Id of the last whole event; empty before the first.
    const std::string& last_id() const { return last_id_; }

private:
    std::string rest_;
    std::string last_id_;
};

}  // namespace radishpulley::gateway
