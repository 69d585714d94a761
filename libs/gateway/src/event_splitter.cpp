#include "event_splitter.h"

#include <algorithm>

namespace radishpulley::gateway {
namespace {

// Length of the longest sequence that ends an event.
constexpr std::size_t empty_line = 4;

// Returns the id in the last `id:` line of `events`, or an empty text.
std::string_view find_last_id(std::string_view events) {
    std::size_t at = events.rfind("\nid:");
    if (at != std::string_view::npos) {
        at += 4;
    } else if (events.compare(0, 3, "id:") == 0) {
        at = 3;
    } else {
        return {};
    }
    std::string_view id = events.substr(at, events.find_first_of("\r\n", at) - at);
    if (!id.empty() && id.front() == ' ') {
        id.remove_prefix(1);
    }
    return id;
}

// Returns the position after the last empty line, or 0 if there is none.
std::size_t last_event_end(std::string_view text) {
    const std::size_t plain = text.rfind("\n\n");
    const std::size_t with_returns = text.rfind("\r\n\r\n");
    const std::size_t a = plain == std::string_view::npos ? 0 : plain + 2;
    const std::size_t b = with_returns == std::string_view::npos ? 0 : with_returns + 4;
    return a > b ? a : b;
}

}  // namespace

void event_end_detector::append(std::string_view bytes) {
    tail_.append(bytes.substr(bytes.size() - std::min(bytes.size(), empty_line)));
    tail_.erase(0, tail_.size() - std::min(tail_.size(), empty_line));
}

bool event_end_detector::is_at_event_end() const {
    return !tail_.empty() && last_event_end(tail_) == tail_.size();
}

std::string event_splitter::append(std::string_view bytes) {
    // What was searched before holds no empty line, but may hold the beginning of one.
    const std::size_t searched = incomplete_.size() - std::min(incomplete_.size(), empty_line - 1);
    incomplete_.append(bytes);
    const std::size_t end = last_event_end(std::string_view(incomplete_).substr(searched));
    const std::size_t border = end == 0 ? 0 : searched + end;
    std::string ready = incomplete_.substr(0, border);
    incomplete_.erase(0, border);
    const std::string_view id = find_last_id(ready);
    if (!id.empty()) {
        last_id_ = std::string(id);
    }
    return ready;
}

}  // namespace radishpulley::gateway
