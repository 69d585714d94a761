#include "routing/load_schedule.h"

#include <algorithm>

namespace radishpulley::routing {

load_schedule::load_schedule(const std::vector<time_point>& places,
                             const std::vector<time_point>& load_slots)
    : places_(std::greater<>(), places), load_slots_(std::greater<>(), load_slots) {}

std::optional<time_point> load_schedule::add(duration load_time, time_point now) {
    if (places_.empty() || load_slots_.empty()) {
        return std::nullopt;
    }
    const time_point start = std::max({now, places_.top(), load_slots_.top()});
    places_.pop();
    load_slots_.pop();
    const time_point end = start + load_time;
    load_slots_.push(end);
    return end;
}

}  // namespace radishpulley::routing
