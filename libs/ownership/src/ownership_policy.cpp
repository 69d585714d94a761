#include "ownership/ownership_policy.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/digest.h"

namespace radishpulley::ownership {
namespace {

bool contains(const std::vector<vm_incarnation>& list, const vm_incarnation& it) {
    return std::find(list.begin(), list.end(), it) != list.end();
}

template <typename Predicate>
std::vector<vm_incarnation> filter(const std::vector<vm_incarnation>& list, Predicate is_wanted) {
    std::vector<vm_incarnation> result;
    std::copy_if(list.begin(), list.end(), std::back_inserter(result), is_wanted);
    return result;
}

/// Returns the candidates that are not cut off from the resource, or all if each of them is.
std::vector<vm_incarnation> reaching(const holding_spec& spec,
                                     const std::vector<vm_incarnation>& candidates) {
    const auto result = filter(
        candidates, [&](const vm_incarnation& it) { return spec.cut_off_vms.count(it.vm) == 0; });
    return result.empty() ? candidates : result;
}

/// Returns the candidates among which the holder of the resource is chosen.
std::vector<vm_incarnation> best_candidates(const holding_spec& spec,
                                            const std::vector<vm_incarnation>& candidates) {
    const std::vector<vm_incarnation> all = reaching(spec, candidates);
    const auto preferred =
        filter(all, [&](const vm_incarnation& it) { return spec.preferred_vms.count(it.vm) != 0; });
    return preferred.empty() ? all : preferred;
}

}  // namespace

std::vector<vm_incarnation> rendezvous_order(std::string_view subject,
                                             std::vector<vm_incarnation> candidates) {
    const std::string prefix = std::string(subject) + '|';
    std::vector<std::pair<std::uint64_t, vm_incarnation>> ranked;
    ranked.reserve(candidates.size());
    for (vm_incarnation& it : candidates) {
        const std::uint64_t weight = stable_hash(prefix + it.vm.str());
        ranked.emplace_back(weight, std::move(it));
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
    });
    candidates.clear();
    for (auto& [weight, it] : ranked) {
        candidates.push_back(std::move(it));
    }
    return candidates;
}

ownership_policy::ownership_policy(vm_incarnation self, ownership_settings settings)
    : self_(std::move(self)), settings_(settings) {}

void ownership_policy::configure(std::vector<holding_spec> specs) {
    specs_.clear();
    for (holding_spec& it : specs) {
        const holding_id id = it.id;
        specs_.emplace(id, std::move(it));
    }
}

void ownership_policy::on_shard(const shard& it, time_point now) {
    const auto known = copies_.find(it.index);
    if (known != copies_.end() && it.version < known->second.version) {
        return;
    }
    shard_copy copy;
    copy.version = it.version;
    for (const holding& entry : it.holdings) {
        copy.holdings.emplace(entry.id, entry);
        if (entry.holder == self_) {
            needed_since_.erase(entry.id);
        }
    }
    if (known == copies_.end()) {
        last_balance_ = now;
    }
    copies_[it.index] = std::move(copy);
}

void ownership_policy::set_min_fence(fencing_number min_fence, time_point now) {
    if (min_fence <= min_fence_) {
        return;
    }
    const bool is_newcomer = min_fence_ == 0;
    renews_from_ = is_newcomer ? now + settings_.newcomer_delay : now;
    min_fence_ = min_fence;
}

bool ownership_policy::needs_renewal(const holding_spec& spec, time_point now) const {
    const holding* it = find_entry(spec.id);
    return it != nullptr && !it->vacant() && it->fence < min_fence_ && now >= renews_from_;
}

assignment ownership_policy::renew(const holding& it) const {
    return {it.id, it.fence, it.holder, it.suspects, min_fence_};
}

void ownership_policy::leave() {
    leaving_ = true;
}

const holding* ownership_policy::find_entry(const holding_id& id) const {
    const auto copy = copies_.find(shard_of(id, settings_.shards));
    if (copy == copies_.end()) {
        return nullptr;
    }
    const auto it = copy->second.holdings.find(id);
    return it == copy->second.holdings.end() ? nullptr : &it->second;
}

std::optional<holding> ownership_policy::find(const holding_id& id) const {
    const holding* it = find_entry(id);
    return it == nullptr ? std::nullopt : std::optional<holding>(*it);
}

std::vector<holding> ownership_policy::own_holdings() const {
    std::vector<holding> result;
    for (const auto& [index, copy] : copies_) {
        for (const auto& [id, it] : copy.holdings) {
            if (it.holder == self_) {
                result.push_back(it);
            }
        }
    }
    return result;
}

bool ownership_policy::replaceable(const holding_spec& spec, const holding& it,
                                   const failure_detector& detector, time_point now) const {
    if (it.holder == self_) {
        return false;
    }
    if (detector.confirmed_ended(it.holder, now)) {
        const bool orders_refused = spec.rule == replacement_rule::on_suspicion;
        return orders_refused ||
               now >= detector.ended_at(it.holder, now) + settings_.max_order_lifetime;
    }
    if (spec.rule != replacement_rule::on_suspicion || !detector.suspected(it.holder, now)) {
        return false;
    }
    // Only one replacement on suspicion at a time: in a network partition the two sides would
    // otherwise replace each other's holders endlessly.
    const bool suspect_may_run =
        std::any_of(it.suspects.begin(), it.suspects.end(),
                    [&](const vm_incarnation& who) { return !detector.confirmed_ended(who, now); });
    return !suspect_may_run && !detector.isolated(now);
}

bool ownership_policy::needs_holder(const holding_spec& spec, const failure_detector& detector,
                                    time_point now) const {
    const holding* it = find_entry(spec.id);
    return it == nullptr || it->vacant() || replaceable(spec, *it, detector, now);
}

std::vector<vm_incarnation> ownership_policy::eligible_candidates(const failure_detector& detector,
                                                                  time_point now) const {
    std::vector<vm_incarnation> result = detector.candidates(now);
    if (leaving_) {
        result.erase(std::remove(result.begin(), result.end(), self_), result.end());
    }
    return result;
}

assignment ownership_policy::assign(const holding_spec& spec,
                                    const std::vector<vm_incarnation>& candidates,
                                    const failure_detector& detector, time_point now) const {
    assignment result;
    result.id = spec.id;
    result.holder = rendezvous_order(spec.id.str(), best_candidates(spec, candidates)).front();
    const holding* entry = find_entry(spec.id);
    result.min_fence = min_fence_;
    if (entry == nullptr) {
        return result;
    }
    result.expected_fence = entry->fence;
    std::vector<vm_incarnation> suspects = entry->suspects;
    if (!entry->vacant()) {
        suspects.push_back(entry->holder);
    }
    for (const vm_incarnation& it : suspects) {
        const bool known = contains(result.suspects, it);
        if (!known && it != result.holder && !detector.confirmed_ended(it, now)) {
            result.suspects.push_back(it);
        }
    }
    return result;
}

std::ptrdiff_t ownership_policy::own_rank(shard_index index,
                                          const std::vector<vm_incarnation>& candidates) const {
    const auto order = rendezvous_order("shard/" + std::to_string(index), candidates);
    return std::find(order.begin(), order.end(), self_) - order.begin();
}

std::vector<shard_update> ownership_policy::plan(const failure_detector& detector, time_point now) {
    const std::vector<vm_incarnation> candidates = eligible_candidates(detector, now);
    const auto self = std::find(candidates.begin(), candidates.end(), self_);
    if (self == candidates.end()) {
        return {};
    }
    std::map<shard_index, shard_update> updates;
    std::map<shard_index, std::ptrdiff_t> ranks;
    for (const auto& [id, spec] : specs_) {
        const shard_index index = shard_of(id, settings_.shards);
        const bool is_read = copies_.count(index) != 0;
        const bool lacks_holder = is_read && needs_holder(spec, detector, now);
        if (!lacks_holder && !(is_read && needs_renewal(spec, now))) {
            needed_since_.erase(id);
            continue;
        }
        const time_point since = needed_since_.try_emplace(id, now).first->second;
        const auto [rank, added] = ranks.try_emplace(index, 0);
        if (added) {
            rank->second = own_rank(index, candidates);
        }
        if (now >= since + rank->second * settings_.rank_delay) {
            shard_update& update = updates[index];
            update.index = index;
            update.assignments.push_back(lacks_holder ? assign(spec, candidates, detector, now)
                                                      : renew(*find_entry(id)));
        }
    }
    std::vector<shard_update> result;
    for (auto& [index, update] : updates) {
        result.push_back(std::move(update));
    }
    return result;
}

bool ownership_policy::is_cut_off_holder(const holding_spec& spec,
                                         const std::vector<vm_incarnation>& candidates) const {
    // Elsewhere an order under way could be carried out after the orders of the next holder.
    const bool orders_refused = spec.rule == replacement_rule::on_suspicion;
    const bool is_cut_off = spec.cut_off_vms.count(self_.vm) != 0;
    return orders_refused && is_cut_off &&
           std::any_of(candidates.begin(), candidates.end(), [&](const vm_incarnation& it) {
               return spec.cut_off_vms.count(it.vm) == 0;
           });
}

std::vector<holding_id> ownership_policy::holdings_to_hand_over(const failure_detector& detector,
                                                                time_point now) {
    std::vector<holding_id> result;
    const std::vector<holding> held = own_holdings();
    const bool release_all = leaving_ || !detector.may_hold();
    const std::vector<vm_incarnation> candidates = eligible_candidates(detector, now);
    for (const holding& it : held) {
        const auto spec = specs_.find(it.id);
        const bool is_cut_off = spec != specs_.end() && is_cut_off_holder(spec->second, candidates);
        if (release_all || is_cut_off) {
            result.push_back(it.id);
        }
    }
    const bool may_balance =
        candidates.size() > 1 && now >= last_balance_ + settings_.balance_interval;
    if (!result.empty() || !may_balance) {
        return result;
    }
    const std::size_t mean = (specs_.size() + candidates.size() - 1) / candidates.size();
    const bool above_balance = held.size() > mean + settings_.balance_slack;
    for (const holding& it : held) {
        if (specs_.count(it.id) == 0) {
            result.push_back(it.id);
        } else if (above_balance && rendezvous_order(it.id.str(), candidates).front() != self_) {
            last_balance_ = now;
            return {it.id};
        }
    }
    return result;
}

shard_update ownership_policy::vacate(const holding_id& id) const {
    shard_update result;
    result.index = shard_of(id, settings_.shards);
    const holding* it = find_entry(id);
    if (it != nullptr && it->holder == self_) {
        result.assignments.push_back({id, it->fence, {}, it->suspects, min_fence_});
    }
    return result;
}

}  // namespace radishpulley::ownership
