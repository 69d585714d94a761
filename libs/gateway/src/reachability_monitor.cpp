#include "reachability_monitor.h"

#include "telemetry/event_log.h"

namespace radishpulley::gateway {

using telemetry::severity;

void reachability_monitor::on_contact(const endpoint_id& with, routing::contact_proof by) {
    const auto found = failed_.find(with);
    if (found == failed_.end()) {
        return;
    }
    const duration unreached = time_.now() - found->second.since;
    failed_.erase(found);
    telemetry::log_event(
        severity::info, "endpoint_reached",
        {{"endpoint", with}, {"by", routing::to_text(by)}, {"unreached", unreached}});
}

void reachability_monitor::on_contact_failed(const endpoint_id& with, routing::contact_failure by) {
    const routing::endpoint* known = directory_.find(with);
    const bool is_new = failed_.emplace(with, failed_contact{by, time_.now()}).second;
    if (known == nullptr || !is_new) {
        return;
    }
    telemetry::log_event(severity::warning, "endpoint_unreached",
                         {{"endpoint", with},
                          {"service", known->service},
                          {"zone", known->zone},
                          {"by", routing::to_text(by)}});
}

}  // namespace radishpulley::gateway
