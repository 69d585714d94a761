#include "routing/zone_evacuations.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace radishpulley::routing {

evacuation_changes zone_evacuations::on_list(gsl::span<const zone_id> zones) {
    std::set<zone_id> next(zones.begin(), zones.end());
    evacuation_changes out;
    std::set_difference(next.begin(), next.end(), zones_.begin(), zones_.end(),
                        std::back_inserter(out.begun));
    std::set_difference(zones_.begin(), zones_.end(), next.begin(), next.end(),
                        std::back_inserter(out.ended));
    zones_ = std::move(next);
    return out;
}

evacuation_changes zone_evacuations::on_begin(const zone_id& zone) {
    const bool is_new = zones_.insert(zone).second;
    return is_new ? evacuation_changes{{zone}, {}} : evacuation_changes{};
}

evacuation_changes zone_evacuations::on_end(const zone_id& zone) {
    const bool was_evacuated = zones_.erase(zone) != 0;
    return was_evacuated ? evacuation_changes{{}, {zone}} : evacuation_changes{};
}

}  // namespace radishpulley::routing
