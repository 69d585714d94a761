#include "configuration_history.h"

#include <algorithm>

#include "base/overloaded.h"

namespace radishpulley::soak {

bool allows(const plain_configuration& version, const probe& it, const probe_outcome& outcome) {
    const auto route = version.routes.find(it.route);
    const bool has_route = route != version.routes.end();
    const bool has_key = version.keys.count(it.key) != 0;
    return std::visit(overloaded{[&](const served_by& ran) {
                                     return has_route && has_key &&
                                            route->second.service == ran.service;
                                 },
                                 [&](const route_not_found&) { return !has_route; },
                                 [&](const key_rejected&) { return has_route && !has_key; },
                                 [](const inconclusive&) { return true; }},
                      outcome);
}

void configuration_history::on_sent(const plain_configuration& it, time_point now) {
    versions_.push_back({it, now, std::nullopt});
}

void configuration_history::on_acknowledged(std::uint64_t version, time_point now) {
    for (version_entry& it : versions_) {
        if (it.content.version == version) {
            it.acknowledged = now;
        }
    }
}

std::optional<version_range> configuration_history::matching_versions(const probe& it,
                                                                      const probe_outcome& outcome,
                                                                      time_point ended) const {
    std::optional<version_range> range;
    for (const version_entry& version : versions_) {
        if (version.sent > ended || !allows(version.content, it, outcome)) {
            continue;
        }
        const std::uint64_t number = version.content.version;
        range = version_range{range ? range->lowest : number, number};
    }
    return range;
}

std::uint64_t configuration_history::acknowledged_at(time_point when) const {
    std::uint64_t newest = 0;
    for (const version_entry& it : versions_) {
        if (it.acknowledged && *it.acknowledged <= when) {
            newest = std::max(newest, it.content.version);
        }
    }
    return newest;
}

}  // namespace radishpulley::soak
