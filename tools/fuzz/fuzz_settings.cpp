/// Fuzz target: settings are taken or refused with findings, and never crash the reader.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "settings/settings.h"

using namespace radishpulley;

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t n) {
    const std::string_view text(reinterpret_cast<const char*>(data), n);
    try {
        settings::list_settings(settings::parse_settings(text, "fuzz.toml"));
    } catch (const invalid_input& e) {
        if (e.found().empty()) {
            std::abort();
        }
    }
    return 0;
}
