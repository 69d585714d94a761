#include "routing/request_attributes.h"

#include <cstdio>

namespace radishpulley::routing {

std::string to_text(gsl::span<const prompt_segment> segments) {
    std::string out;
    for (const prompt_segment& it : segments) {
        char buf[20];
        std::snprintf(buf, sizeof buf, "%llx", static_cast<unsigned long long>(it.id));
        out += out.empty() ? "" : ",";
        out += buf;
    }
    return out;
}

}  // namespace radishpulley::routing
