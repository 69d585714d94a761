#include "routing/request_attributes.h"

#include <cstdio>

namespace radishpulley::routing {

std::string to_text(std::uint64_t segment) {
    char buf[20];
    std::snprintf(buf, sizeof buf, "%llx", static_cast<unsigned long long>(segment));
    return buf;
}

std::string to_text(gsl::span<const prompt_segment> segments) {
    std::string out;
    for (const prompt_segment& it : segments) {
        out += out.empty() ? "" : ",";
        out += to_text(it.id);
    }
    return out;
}

}  // namespace radishpulley::routing
