#include "configuration_history.h"

#include <algorithm>

#include "base/overloaded.h"

namespace radishpulley::soak {

bool allows(const plain_configuration& version, const probe& it, const probe_end& end) {
    const auto route = version.routes.find(it.route);
    const bool has_route = route != version.routes.end();
    const bool has_key = version.keys.count(it.key) != 0;
    return std::visit(overloaded{[&](const ran_at& ran) {
                                     return has_route && has_key &&
                                            route->second.service == ran.service;
                                 },
                                 [&](const refused_route&) { return !has_route; },
                                 [&](const refused_key&) { return has_route && !has_key; },
                                 [](const other_end&) { return true; }},
                      end);
}

void configuration_history::on_sent(const plain_configuration& it, time_point now) {
    versions_.push_back({it, now, std::nullopt});
}

void configuration_history::on_acknowledged(std::uint64_t version, time_point now) {
    for (entry& it : versions_) {
        if (it.content.version == version) {
            it.acknowledged = now;
        }
    }
}

std::optional<explanation> configuration_history::explain(const probe& it, const probe_end& end,
                                                          time_point ended) const {
    std::optional<explanation> out;
    for (const entry& version : versions_) {
        if (version.sent > ended || !allows(version.content, it, end)) {
            continue;
        }
        const std::uint64_t number = version.content.version;
        out = explanation{out ? out->lowest : number, number};
    }
    return out;
}

std::uint64_t configuration_history::acknowledged_at(time_point when) const {
    std::uint64_t out = 0;
    for (const entry& it : versions_) {
        if (it.acknowledged && *it.acknowledged <= when) {
            out = std::max(out, it.content.version);
        }
    }
    return out;
}

}  // namespace radishpulley::soak
