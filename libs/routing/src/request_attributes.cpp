#include "routing/request_attributes.h"

#include <cstdio>

namespace radishpulley::routing {

std::string to_text(std::uint64_t segment) {
    char buf[20];
    std::snprintf(buf, sizeof buf, "%llx", static_cast<unsigned long long>(segment));
    return buf;
}

}  // namespace radishpulley::routing
