#include "evacuation_follower.h"

#include <utility>
#include <vector>

#include "platform_adapter/decoders.h"
#include "store_pace.h"
#include "telemetry/event_log.h"

namespace radishpulley::edge {

using telemetry::severity;

evacuation_follower::evacuation_follower(boost::asio::io_context& loop, const clock& time,
                                         gateway::object_collections& store,
                                         gateway::gateway& data_path,
                                         std::function<void()> on_confirmed)
    : data_path_(data_path),
      follower_(loop, time, store, platform_adapter::evacuations_kind, {},
                {[this](const gateway::object_list& it) { on_list(it); },
                 [this](const gateway::object_change& it) { on_change(it); }, [](bool) {}, [] {},
                 [](const gateway::object_change&) { return true; }, std::move(on_confirmed)}) {}

void evacuation_follower::set_bound(std::optional<duration> bound) {
    if (!bound) {
        return;
    }
    follower_.set_pace(evacuations_follower_settings(*bound));
    if (!is_started_) {
        is_started_ = true;
        follower_.start();
    }
}

void evacuation_follower::renew() {
    if (is_started_) {
        follower_.renew();
    }
}

void evacuation_follower::on_list(const gateway::object_list& it) {
    std::vector<zone_id> zones;
    for (const gateway::stored_object& object : it.objects) {
        zones.emplace_back(object.name);
    }
    const routing::evacuation_changes changes = data_path_.on_evacuations(zones);
    for (const zone_id& zone : changes.begun) {
        log(zone, true);
    }
    for (const zone_id& zone : changes.ended) {
        log(zone, false);
    }
}

void evacuation_follower::on_change(const gateway::object_change& it) {
    const zone_id zone(it.object.name);
    if (!data_path_.on_evacuation(zone, !it.removed).empty()) {
        log(zone, !it.removed);
    }
}

void evacuation_follower::log(const zone_id& zone, bool begun) const {
    const bool is_known = zones_.count(zone) != 0;
    telemetry::log_event(is_known ? severity::info : severity::warning, "evacuation",
                         {{"zone", zone},
                          {"begun", begun},
                          {"is_known_zone", is_known},
                          {"change_age", follower_.max_change_age()},
                          {"evacuated_zones", data_path_.evacuations().zones().size()}});
}

}  // namespace radishpulley::edge
