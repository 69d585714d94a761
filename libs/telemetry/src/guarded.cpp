#include "telemetry/guarded.h"

#include <atomic>

#include "telemetry/event_log.h"

namespace radishpulley::telemetry {
namespace {

std::atomic<std::uint64_t> contained{0};

}  // namespace

void note_contained_exception(std::string_view where, std::string_view reason) noexcept {
    contained.fetch_add(1, std::memory_order_relaxed);
    try {
        log_event(severity::error, "exception_contained", {{"where", where}, {"reason", reason}});
    } catch (...) {
        // No memory is left for the line; the counter tells of it.
    }
}

std::uint64_t contained_exceptions() {
    return contained.load(std::memory_order_relaxed);
}

}  // namespace radishpulley::telemetry
