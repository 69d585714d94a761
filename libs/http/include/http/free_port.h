/// Free loopback ports for tests and demonstrations.
#pragma once

#include <cstdint>
#include <string>

namespace radishpulley::http {

/// Returns a TCP port of 127.0.0.1 that was free when it was checked.
std::uint16_t free_port();

/// Returns http://127.0.0.1:PORT with a free port.
std::string free_address();

}  // namespace radishpulley::http
