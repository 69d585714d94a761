#include "routing/request_attributes.h"

#include <algorithm>
#include <string_view>

#include <cstdio>

namespace radishpulley::routing {
namespace {

bool is_valid_name(std::string_view name) {
    return name.size() <= max_name_length &&
           std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

}  // namespace

bool is_valid(const model_ref& it) {
    return is_valid_name(it.model) && is_valid_name(it.adapter);
}

std::string to_text(std::uint64_t segment) {
    char buf[20];
    std::snprintf(buf, sizeof buf, "%llx", static_cast<unsigned long long>(segment));
    return buf;
}

}  // namespace radishpulley::routing
