#include "routing/endpoint_limits.h"

#include <algorithm>

#include "details/age.h"
#include "routing/rendezvous.h"

namespace radishpulley::routing {

void endpoint_limits::set_vms(const vm_id& self, gsl::span<const vm_id> serving, time_point now) {
    self_ = self;
    vms_.assign(serving.begin(), serving.end());
    for (auto it = records_.begin(); it != records_.end();) {
        const duration memory =
            it->second.rate ? settings_.limit_retention : settings_.end_retention;
        const bool is_over = now - it->second.as_of > memory;
        if (is_over) {
            it = records_.erase(it);
            continue;
        }
        update_share(it->second, it->first, now);
        ++it;
    }
}

bool endpoint_limits::on_response(const endpoint_incarnation& from,
                                  const limit_observation& observed) {
    const auto known = records_.find(from.id);
    const bool is_known = known != records_.end() && known->second.rate;
    if (observed.rate) {
        record& found = record_for(from, observed.answered);
        return apply_limit(found, from.id, observed.rate, observed.answered, observed.answered);
    }
    // A response that was already in flight when the endpoint announced its limit does not end the
    // limit.
    const bool is_ended = is_known && observed.is_complete && observed.sent > known->second.as_of;
    return is_ended &&
           apply_limit(known->second, from.id, std::nullopt, observed.sent, observed.answered);
}

bool endpoint_limits::on_peer_limit(const advertised_limit& it, time_point now) {
    const time_point as_of = now - std::chrono::milliseconds(it.age_ms);
    const auto known = records_.find(it.endpoint);
    const bool is_known = known != records_.end();
    if (!is_known && !it.rate) {
        return false;
    }
    const bool is_old =
        is_known &&
        (it.started_at_ms < known->second.started_at_ms ||
         (it.started_at_ms == known->second.started_at_ms && as_of <= known->second.as_of));
    if (is_old) {
        return false;
    }
    return apply_limit(record_for({it.endpoint, it.started_at_ms}, now), it.endpoint, it.rate,
                       as_of, now);
}

void endpoint_limits::on_entry(const endpoint& it) {
    const auto known = records_.find(it.id);
    if (known != records_.end() && known->second.started_at_ms < it.started_at_ms) {
        records_.erase(known);
    }
}

void endpoint_limits::on_request_sent(const endpoint_id& id, time_point now) {
    const auto known = records_.find(id);
    if (known != records_.end() && known->second.rate) {
        known->second.bucket.take(now);
    }
}

bool endpoint_limits::allows(const endpoint_id& id, time_point now) const {
    return wait(id, now) == duration::zero();
}

duration endpoint_limits::wait(const endpoint_id& id, time_point now) const {
    const auto known = records_.find(id);
    const bool is_limited = known != records_.end() && known->second.rate;
    return is_limited ? known->second.bucket.wait(now) : duration::zero();
}

std::optional<double> endpoint_limits::rate(const endpoint_id& id) const {
    const auto known = records_.find(id);
    return known == records_.end() ? std::nullopt : known->second.rate;
}

double endpoint_limits::share(const endpoint_id& id) const {
    const auto known = records_.find(id);
    return known == records_.end() ? 0 : known->second.bucket.rate();
}

std::size_t endpoint_limits::count() const {
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(),
                      [](const auto& it) { return it.second.rate.has_value(); }));
}

std::vector<advertised_limit> endpoint_limits::advertised_limits(time_point now) const {
    std::vector<advertised_limit> out;
    for (const auto& [id, it] : records_) {
        out.push_back({id, it.started_at_ms, it.rate, details::age_ms(now - it.as_of)});
    }
    return out;
}

endpoint_limits::record& endpoint_limits::record_for(const endpoint_incarnation& from,
                                                     time_point now) {
    record& it = records_[from.id];
    if (it.as_of == time_point{} || it.started_at_ms < from.started_at_ms) {
        it = record{};
        it.started_at_ms = from.started_at_ms;
        it.bucket = token_bucket(0, 0, now);
    }
    return it;
}

bool endpoint_limits::apply_limit(record& it, const endpoint_id& id, std::optional<double> rate,
                                  time_point as_of, time_point now) {
    const bool is_changed = it.rate != rate;
    it.rate = rate;
    it.as_of = as_of;
    update_share(it, id, now);
    return is_changed;
}

void endpoint_limits::update_share(record& it, const endpoint_id& id, time_point now) const {
    if (!it.rate) {
        it.bucket = token_bucket(0, 0, now);
        return;
    }
    const double rate = std::max(*it.rate, settings_.min_rate);
    const std::size_t vms = std::max<std::size_t>(1, vms_.size());
    const bool is_unconfirmed = now - it.as_of > settings_.confirmation_lifetime;
    const double whole_rate = std::clamp(rate, 1.0, static_cast<double>(vms));
    const std::size_t sending_vms = is_unconfirmed ? vms : static_cast<std::size_t>(whole_rate);
    const std::size_t rank = rendezvous_rank(id.str(), self_, vms_);
    const double own_share = rank < sending_vms ? rate / static_cast<double>(sending_vms) : 0;
    it.bucket.resize(own_share, std::max(1.0, own_share), now);
}

}  // namespace radishpulley::routing
