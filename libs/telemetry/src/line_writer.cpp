#include "telemetry/line_writer.h"

#include <unistd.h>

#include <algorithm>
#include <array>

namespace radishpulley::telemetry {

bool line_writer::write(std::string_view line) noexcept {
    std::array<char, max_line_size> buf{};
    const std::size_t size = std::min(line.size(), buf.size() - 1);
    std::copy_n(line.begin(), size, buf.begin());
    buf.at(size) = '\n';
    const ssize_t written = ::write(descriptor_, buf.data(), size + 1);
    const bool is_whole = written == static_cast<ssize_t>(size + 1);
    dropped_ += is_whole ? 0 : 1;
    return is_whole;
}

}  // namespace radishpulley::telemetry
