/// Fuzz target: a ticket is taken or refused with findings, and its digest survives another round.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "model/ticket.h"

using namespace radishpulley;

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t n) {
    const std::string_view text(reinterpret_cast<const char*>(data), n);
    try {
        const model::ticket it = model::parse_ticket(text);
        const model::ticket again = model::parse_ticket(model::to_json(it).dump());
        if (model::ticket_digest(again) != model::ticket_digest(it)) {
            std::abort();
        }
    } catch (const invalid_input& e) {
        if (e.found().empty()) {
            std::abort();
        }
    }
    return 0;
}
