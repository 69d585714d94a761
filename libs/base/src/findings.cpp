#include "base/findings.h"

#include <utility>

namespace radishpulley {

void findings::add(std::string_view place, std::string_view message) {
    list_.push_back({std::string(place), std::string(message)});
}

std::string findings::to_string() const {
    std::string buf;
    for (const finding& it : list_) {
        buf += it.place + ": " + it.message + "\n";
    }
    return buf;
}

invalid_input::invalid_input(findings found)
    : std::runtime_error(found.to_string()), found_(std::move(found)) {}

}  // namespace radishpulley
