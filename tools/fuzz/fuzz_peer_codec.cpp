/// Fuzz target: no frame may crash the codec, and what it takes must survive another round.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "peer/codec.h"

using namespace radishpulley::peer;

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t n) {
    const std::string_view frame(reinterpret_cast<const char*>(data), n);
    const decode_result first = decode(frame, max_frame_size);
    const auto* message = std::get_if<peer_message>(&first);
    if (message == nullptr) {
        return 0;
    }
    const std::string again = encode(*message);
    const decode_result second = decode(again, max_frame_size);
    const auto* repeated = std::get_if<peer_message>(&second);
    if (repeated == nullptr || encode(*repeated) != again) {
        std::abort();
    }
    return 0;
}
