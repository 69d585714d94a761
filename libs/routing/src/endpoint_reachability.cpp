#include "routing/endpoint_reachability.h"

#include <algorithm>

namespace radishpulley::routing {
namespace {

// Endpoints whose failures tell a cut from a crash, where a service has that many.
constexpr std::size_t failures_of_a_cut = 2;

bool is_of_new_connection(contact_failure it) {
    return it == contact_failure::connect_timed_out || it == contact_failure::connect_refused ||
           it == contact_failure::connect_failed;
}

}  // namespace

std::vector<service_id> endpoint_reachability::on_failed(const endpoint_id& id, contact_failure by,
                                                         time_point now) {
    const endpoint* known = directory_.find(id);
    // An endpoint that leaves closes its connections.
    if (known == nullptr || known->draining) {
        return {};
    }
    record& it = services_[known->service];
    const bool is_ignored = is_new_connection_of_kept_service(it, by, now);
    if (is_of_new_connection(by)) {
        it.refuse_connections.insert(id);
    }
    if (is_ignored) {
        return {};
    }
    it.failures[id] = {id, by, now};
    if (it.lost_at) {
        it.failed_while_lost.insert(id);
    }
    return mark_lost(now);
}

std::optional<service_regained> endpoint_reachability::on_contact(const endpoint_id& id,
                                                                  contact_proof by,
                                                                  time_point now) {
    const endpoint* known = directory_.find(id);
    if (known == nullptr) {
        return std::nullopt;
    }
    record& it = services_[known->service];
    it.failures.clear();
    it.reached_at = now;
    if (by == contact_proof::connected) {
        it.refuse_connections.clear();
    } else {
        it.received_at = now;
    }
    if (!it.lost_at) {
        return std::nullopt;
    }
    service_regained out{known->service, by, *it.lost_at, !it.refuse_connections.empty(),
                         std::move(it.failed_while_lost)};
    it.lost_at.reset();
    it.failed_while_lost.clear();
    return out;
}

void endpoint_reachability::forget(const endpoint_id& id) {
    for (auto& [service, it] : services_) {
        it.failures.erase(id);
        it.refuse_connections.erase(id);
    }
}

bool endpoint_reachability::reaches(const service_id& it) const {
    const auto found = services_.find(it);
    return found == services_.end() || !found->second.lost_at;
}

std::vector<service_id> endpoint_reachability::unreached() const {
    std::vector<service_id> out;
    for (const auto& [service, it] : services_) {
        if (it.lost_at) {
            out.push_back(service);
        }
    }
    return out;
}

std::vector<contact_evidence> endpoint_reachability::evidence(const service_id& it) const {
    std::vector<contact_evidence> out;
    const auto found = services_.find(it);
    if (found != services_.end()) {
        for (const auto& [id, failure] : found->second.failures) {
            out.push_back(failure);
        }
    }
    return out;
}

std::size_t endpoint_reachability::failures_needed(const service_id& service,
                                                   const record& it) const {
    if (is_beside_cut(it)) {
        return 1;
    }
    const std::size_t usable = directory_.usable(service).size();
    return std::clamp<std::size_t>(usable, 1, failures_of_a_cut);
}

bool endpoint_reachability::is_new_connection_of_kept_service(const record& it, contact_failure by,
                                                              time_point now) const {
    const bool is_kept = it.received_at && !it.refuse_connections.empty() &&
                         now - *it.received_at < settings_.kept_contact_lifetime;
    return is_kept && it.failures.empty() && is_of_new_connection(by);
}

std::size_t endpoint_reachability::recent_failures(const record& it, time_point now) const {
    const auto is_recent = [&](const auto& each) {
        return now - each.second.at <= settings_.failure_lifetime;
    };
    return static_cast<std::size_t>(
        std::count_if(it.failures.begin(), it.failures.end(), is_recent));
}

std::vector<service_id> endpoint_reachability::mark_lost(time_point now) {
    std::vector<service_id> lost;
    // A service that is found cut off lowers the bar for those before it.
    for (bool changed = true; changed;) {
        changed = false;
        for (auto& [service, it] : services_) {
            if (it.lost_at || recent_failures(it, now) < failures_needed(service, it)) {
                continue;
            }
            it.lost_at = now;
            for (const auto& [id, failure] : it.failures) {
                it.failed_while_lost.insert(id);
            }
            lost.push_back(service);
            changed = true;
        }
    }
    std::sort(lost.begin(), lost.end());
    return lost;
}

bool endpoint_reachability::is_beside_cut(const record& it) const {
    return std::any_of(services_.begin(), services_.end(), [&it](const auto& other) {
        const auto& lost_at = other.second.lost_at;
        return lost_at && (!it.reached_at || *it.reached_at < *lost_at);
    });
}

}  // namespace radishpulley::routing
