/// Contains exceptions that leave the handler of one event, so that they end the work on that event
/// and not the process with everyone's work in it.
///
/// This is the second line of defence: what another party sends is checked where it comes in, and
/// each exception that arrives here is a fault of this program.
#pragma once

#include <cstdint>
#include <exception>
#include <string_view>
#include <utility>

namespace radishpulley::telemetry {

/// Logs and counts an exception that left a handler; `reason` is its text.
void note_contained_exception(std::string_view where, std::string_view reason) noexcept;

/// Number of exceptions contained since the start of the process.
std::uint64_t contained_exceptions();

/// Runs `handler`. Returns false if an exception left it, which is logged and counted under
/// `where`.
template <typename Handler>
bool run_guarded(std::string_view where, Handler&& handler) noexcept {
    try {
        std::forward<Handler>(handler)();
        return true;
    } catch (const std::exception& e) {
        note_contained_exception(where, e.what());
    } catch (...) {
        note_contained_exception(where, "an exception of an unknown type");
    }
    return false;
}

}  // namespace radishpulley::telemetry
