#include "keys/freshness.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/digest.h"

namespace radishpulley::keys {
namespace {

// Number of ticket numbers for which evidence is kept, so that a newer ticket that is still being
// copied does not displace the evidence for the one in force.
constexpr std::size_t max_evidence_numbers = 8;

}  // namespace

freshness::freshness(vm_incarnation self, freshness_settings settings, time_point started)
    : self_(std::move(self)), settings_(settings), started_(started) {}

void freshness::set_roster(std::vector<vm_id> vms) {
    std::sort(vms.begin(), vms.end());
    const auto is_absent = [&](const vm_id& vm) {
        return !std::binary_search(vms.begin(), vms.end(), vm);
    };
    for (auto it = holds_.begin(); it != holds_.end();) {
        const bool is_obsolete = it->first != self_.vm && is_absent(it->first);
        it = is_obsolete ? holds_.erase(it) : std::next(it);
    }
    for (auto it = listed_by_.begin(); it != listed_by_.end();) {
        it = is_absent(*it) ? listed_by_.erase(it) : std::next(it);
    }
    vms.erase(std::remove(vms.begin(), vms.end(), self_.vm), vms.end());
    roster_ = std::move(vms);
}

void freshness::on_listed_by(const vm_id& vm) {
    listed_by_.insert(vm);
}

bool freshness::record_evidence(model::ticket_number number, known_evidence it) {
    const bool is_newer = evidence_.empty() || number > evidence_.rbegin()->first;
    known_evidence& held = evidence_[number];
    if (it.call_sent > held.call_sent) {
        held.call_sent = it.call_sent;
    }
    held.revision = std::max(held.revision, it.revision);
    while (evidence_.size() > max_evidence_numbers) {
        evidence_.erase(evidence_.begin());
    }
    return is_newer;
}

bool freshness::on_api_response(model::ticket_number number, object_api::store_revision revision,
                                time_point sent) {
    api_failing_ = false;
    return record_evidence(number, {revision, sent});
}

void freshness::on_api_failure(time_point now) {
    last_probe_ = now;
    api_failing_ = true;
}

bool freshness::on_peer_evidence(const evidence_report& it, time_point token_sent_at) {
    return record_evidence(it.number, {it.revision, token_sent_at - it.age});
}

bool freshness::record_hold(const vm_id& vm, known_hold it, time_point now) {
    known_hold& held = holds_[vm];
    const bool is_new = held.changed == 0;
    const bool is_repeat = !is_new && held.reason == it.reason && held.number == it.number &&
                           it.given_at - held.announced_at < settings_.hold_refresh_interval / 2;
    if (is_repeat && held.announced_at - it.given_at < settings_.hold_refresh_interval / 2) {
        held.sources.insert(held.sources.end(), it.sources.begin(), it.sources.end());
    }
    if (!is_new && it.given_at <= held.given_at) {
        return false;
    }
    const bool is_changed = is_new || held.number < it.number || held.reason != it.reason;
    const bool must_report =
        is_changed || it.given_at - held.announced_at >= settings_.hold_refresh_interval / 2;
    // A hold that is renewed in time can be sent with the next heartbeats.
    const bool is_urgent = is_changed || it.given_at - held.given_at >= settings_.hold_duration / 2;
    held.number = std::max(held.number, it.number);
    held.reason = it.reason;
    held.given_at = it.given_at;
    if (must_report) {
        held.sources = std::move(it.sources);
        held.announced_at = it.given_at;
        held.changed = ++last_change_;
        held.changed_at = now;
    }
    return is_urgent;
}

bool freshness::on_peer_holds(const vm_id& peer, gsl::span<const hold_report> reports,
                              time_point token_sent_at, time_point now) {
    bool is_urgent = false;
    for (const hold_report& report : reports) {
        for (const vm_id& vm : report.vms) {
            if (vm == self_.vm) {
                continue;
            }
            known_hold hold;
            hold.reason = report.reason;
            hold.number = report.number;
            hold.given_at = token_sent_at - report.age;
            hold.sources = {peer};
            is_urgent = record_hold(vm, hold, now) || is_urgent;
        }
    }
    return is_urgent;
}

void freshness::process_ended(const vm_id& vm, time_point at) {
    const auto [entry, is_first] = refusals_.try_emplace(vm, refusals{at, at});
    refusals& seen = entry->second;
    if (!is_first && at - seen.last >= settings_.hold_duration) {
        seen.first = at;
    }
    seen.last = at;
    known_hold gone;
    gone.reason = hold_reason::process_ended;
    gone.given_at = at;
    const auto held = holds_.find(vm);
    if (held != holds_.end() && at - held->second.given_at < settings_.hold_duration) {
        gone.number = held->second.number;
        record_hold(vm, gone, at);
        return;
    }
    if (!evidence_.empty() && evidence_.rbegin()->second.call_sent >= seen.first) {
        gone.number = evidence_.rbegin()->first;
        record_hold(vm, gone, at);
    }
}

std::optional<time_point> freshness::last_answered_call() const {
    std::optional<time_point> last;
    for (const auto& it : evidence_) {
        if (!last || it.second.call_sent > *last) {
            last = it.second.call_sent;
        }
    }
    return last;
}

duration freshness::own_jitter() const {
    constexpr std::uint64_t steps = 1000;
    return settings_.probe_jitter * (stable_hash(self_.vm.str()) % steps) / steps;
}

bool freshness::renew_hold(model::ticket_number in_force, time_point now) {
    const std::optional<time_point> last = last_answered_call();
    const bool is_recent = last && now - *last < settings_.probe_after;
    if (committing_ || !api_failing_ || is_recent) {
        return false;
    }
    if (own_hold_ && now - *own_hold_ < settings_.hold_refresh_interval) {
        return false;
    }
    const bool is_urgent = !own_hold_ || now - *own_hold_ >= settings_.hold_duration / 2;
    give_hold(in_force, now);
    return is_urgent;
}

void freshness::give_hold(model::ticket_number in_force, time_point now) {
    own_hold_ = now;
    known_hold own;
    own.number = in_force;
    own.given_at = now;
    record_hold(self_.vm, own, now);
}

duration freshness::time_until_probe(time_point now) const {
    time_point due = now;
    if (const std::optional<time_point> last = last_answered_call()) {
        due = *last + settings_.probe_after + own_jitter();
    }
    if (last_probe_) {
        const duration pause = api_failing_ ? settings_.outage_probe_interval + own_jitter()
                                            : settings_.probe_deadline;
        due = std::max(due, *last_probe_ + pause);
    }
    return std::max(duration(0), due - now);
}

void freshness::on_probe_started(time_point now) {
    last_probe_ = now;
}

bool freshness::is_fresh(model::ticket_number in_force, time_point now) const {
    for (const auto& [number, it] : evidence_) {
        if (number <= in_force && now - it.call_sent <= settings_.max_evidence_age) {
            return true;
        }
    }
    return false;
}

bool freshness::has_hold(const vm_id& vm, model::ticket_number in_force, time_point now) const {
    const auto it = holds_.find(vm);
    return it != holds_.end() && now - it->second.given_at < settings_.hold_duration &&
           it->second.number <= in_force;
}

serving_decision freshness::decide_serving(model::ticket_number in_force, time_point now) const {
    if (is_fresh(in_force, now)) {
        return serve_fresh{};
    }
    refuse_keyed refused;
    const bool is_behind = !evidence_.empty() && evidence_.rbegin()->first > in_force;
    if (!roster_ || is_behind) {
        return refused;
    }
    for (const vm_id& vm : *roster_) {
        if (!has_hold(vm, in_force, now)) {
            refused.missing.push_back(vm);
        }
    }
    if (!refused.missing.empty()) {
        return refused;
    }
    return serve_on_holds{};
}

std::vector<vm_id> freshness::unaware() const {
    std::vector<vm_id> vms;
    if (!roster_) {
        return vms;
    }
    std::set_difference(roster_->begin(), roster_->end(), listed_by_.begin(), listed_by_.end(),
                        std::back_inserter(vms));
    return vms;
}

commit_decision freshness::decide_commit(model::ticket_number in_force, time_point now) const {
    const duration bound = settings_.hold_duration + settings_.hold_margin;
    time_point allowed_from = started_ + bound;
    if (own_hold_) {
        allowed_from = std::max(allowed_from, *own_hold_ + bound);
    }
    if (now < allowed_from) {
        return must_not_commit{allowed_from - now, {}};
    }
    std::vector<vm_id> unaware_vms = unaware();
    if (!roster_ || !is_fresh(in_force, now) || !unaware_vms.empty()) {
        return must_not_commit{duration(0), std::move(unaware_vms)};
    }
    return may_commit{};
}

std::optional<evidence_report> freshness::evidence(time_point now) const {
    if (evidence_.empty()) {
        return std::nullopt;
    }
    const auto& [number, it] = *evidence_.rbegin();
    return evidence_report{number, it.revision, now - it.call_sent};
}

std::vector<hold_report> freshness::hold_reports_for(const vm_id& peer, hold_cursor& cursor,
                                                     time_point until, time_point now) const {
    if (cursor == last_change_) {
        return {};
    }
    std::map<std::tuple<hold_reason, model::ticket_number, duration>, hold_report> groups;
    const duration step = settings_.hold_age_step;
    hold_cursor newest = cursor;
    for (const auto& [vm, held] : holds_) {
        if (held.changed_at > until) {
            continue;
        }
        newest = std::max(newest, held.changed);
        const duration age = now - held.given_at;
        const bool reported_by_peer =
            std::find(held.sources.begin(), held.sources.end(), peer) != held.sources.end();
        if (held.changed <= cursor || reported_by_peer || age >= settings_.hold_duration) {
            continue;
        }
        const duration rounded = (age + step - duration(1)) / step * step;
        hold_report& group = groups[{held.reason, held.number, rounded}];
        group.reason = held.reason;
        group.number = held.number;
        group.age = rounded;
        group.vms.push_back(vm);
    }
    cursor = newest;
    std::vector<hold_report> reports;
    for (auto& it : groups) {
        reports.push_back(std::move(it.second));
    }
    return reports;
}

}  // namespace radishpulley::keys
