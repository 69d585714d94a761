#include "keys/freshness.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/digest.h"

namespace radishpulley::keys {
namespace {

// Numbers for which evidence is kept, so that a newer ticket that is still being copied does not
// hide the evidence for the one in force.
constexpr std::size_t max_numbers_kept = 8;

}  // namespace

freshness::freshness(vm_incarnation self, freshness_settings settings, time_point started)
    : self_(std::move(self)), settings_(settings), started_(started) {}

void freshness::set_roster(std::vector<vm_id> vms) {
    std::sort(vms.begin(), vms.end());
    const auto is_absent = [&](const vm_id& vm) {
        return !std::binary_search(vms.begin(), vms.end(), vm);
    };
    for (auto it = holds_.begin(); it != holds_.end();) {
        const bool forgotten = it->first != self_.vm && is_absent(it->first);
        it = forgotten ? holds_.erase(it) : std::next(it);
    }
    for (auto it = knows_us_.begin(); it != knows_us_.end();) {
        it = is_absent(*it) ? knows_us_.erase(it) : std::next(it);
    }
    vms.erase(std::remove(vms.begin(), vms.end(), self_.vm), vms.end());
    roster_ = std::move(vms);
}

void freshness::on_listed_by(const vm_id& vm) {
    knows_us_.insert(vm);
}

bool freshness::take_evidence(model::ticket_number number, known_evidence it) {
    const bool is_newer = evidence_.empty() || number > evidence_.rbegin()->first;
    known_evidence& held = evidence_[number];
    if (it.heard > held.heard) {
        held.heard = it.heard;
    }
    held.revision = std::max(held.revision, it.revision);
    while (evidence_.size() > max_numbers_kept) {
        evidence_.erase(evidence_.begin());
    }
    return is_newer;
}

bool freshness::on_api_response(model::ticket_number number, object_api::store_revision revision,
                             time_point sent) {
    api_failing_ = false;
    return take_evidence(number, {revision, sent});
}

void freshness::on_api_failure(time_point now) {
    last_probe_ = now;
    api_failing_ = true;
}

bool freshness::on_peer_evidence(const evidence_report& it, time_point proven) {
    return take_evidence(it.number, {it.revision, proven - it.age});
}

bool freshness::take_hold(const vm_id& vm, known_hold it, time_point now) {
    known_hold& held = holds_[vm];
    const bool is_new = held.changed == 0;
    const bool is_known = !is_new && held.reason == it.reason && held.number == it.number &&
                          it.given - held.announced < settings_.hold_refresh_interval / 2;
    if (is_known && held.announced - it.given < settings_.hold_refresh_interval / 2) {
        held.sources.insert(held.sources.end(), it.sources.begin(), it.sources.end());
    }
    if (!is_new && it.given <= held.given) {
        return false;
    }
    const bool is_changed = is_new || held.number < it.number || held.reason != it.reason;
    const bool is_news = is_changed || it.given - held.announced >= settings_.hold_refresh_interval / 2;
    // A hold that is renewed in time can travel with the next heartbeats.
    const bool is_urgent = is_changed || it.given - held.given >= settings_.hold_duration / 2;
    held.number = std::max(held.number, it.number);
    held.reason = it.reason;
    held.given = it.given;
    if (is_news) {
        held.sources = std::move(it.sources);
        held.announced = it.given;
        held.changed = ++last_;
        held.changed_at = now;
    }
    return is_urgent;
}

bool freshness::on_peer_holds(const vm_id& peer, gsl::span<const hold_report> reports,
                           time_point proven, time_point now) {
    bool is_urgent = false;
    for (const hold_report& report : reports) {
        for (const vm_id& vm : report.vms) {
            if (vm == self_.vm) {
                continue;
            }
            known_hold hold;
            hold.reason = report.reason;
            hold.number = report.number;
            hold.given = proven - report.age;
            hold.sources = {peer};
            is_urgent = take_hold(vm, hold, now) || is_urgent;
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
    gone.given = at;
    const auto held = holds_.find(vm);
    if (held != holds_.end() && at - held->second.given < settings_.hold_duration) {
        gone.number = held->second.number;
        take_hold(vm, gone, at);
        return;
    }
    if (!evidence_.empty() && evidence_.rbegin()->second.heard >= seen.first) {
        gone.number = evidence_.rbegin()->first;
        take_hold(vm, gone, at);
    }
}

std::optional<time_point> freshness::last_heard() const {
    std::optional<time_point> last;
    for (const auto& it : evidence_) {
        if (!last || it.second.heard > *last) {
            last = it.second.heard;
        }
    }
    return last;
}

duration freshness::own_spread() const {
    constexpr std::uint64_t steps = 1000;
    return settings_.probe_spread * (stable_hash(self_.vm.str()) % steps) / steps;
}

bool freshness::renew_hold(model::ticket_number in_force, time_point now) {
    const std::optional<time_point> heard = last_heard();
    const bool is_recent = heard && now - *heard < settings_.probe_after;
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
    own.given = now;
    take_hold(self_.vm, own, now);
}

duration freshness::time_until_probe(time_point now) const {
    time_point due = now;
    if (const std::optional<time_point> heard = last_heard()) {
        due = *heard + settings_.probe_after + own_spread();
    }
    if (last_probe_) {
        const duration pause =
            api_failing_ ? settings_.outage_pause + own_spread() : settings_.probe_deadline;
        due = std::max(due, *last_probe_ + pause);
    }
    return std::max(duration(0), due - now);
}

void freshness::on_probe_started(time_point now) {
    last_probe_ = now;
}

bool freshness::is_fresh(model::ticket_number in_force, time_point now) const {
    for (const auto& [number, it] : evidence_) {
        if (number <= in_force && now - it.heard <= settings_.max_evidence_age) {
            return true;
        }
    }
    return false;
}

bool freshness::holds(const vm_id& vm, model::ticket_number in_force, time_point now) const {
    const auto it = holds_.find(vm);
    return it != holds_.end() && now - it->second.given < settings_.hold_duration &&
           it->second.number <= in_force;
}

serving_decision freshness::serving(model::ticket_number in_force, time_point now) const {
    if (is_fresh(in_force, now)) {
        return serve_fresh{};
    }
    refuse_keyed refused;
    const bool is_behind = !evidence_.empty() && evidence_.rbegin()->first > in_force;
    if (!roster_ || is_behind) {
        return refused;
    }
    for (const vm_id& vm : *roster_) {
        if (!holds(vm, in_force, now)) {
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
    std::set_difference(roster_->begin(), roster_->end(), knows_us_.begin(), knows_us_.end(),
                        std::back_inserter(vms));
    return vms;
}

commit_decision freshness::committing(model::ticket_number in_force, time_point now) const {
    const duration bound = settings_.hold_duration + settings_.hold_margin;
    time_point free = started_ + bound;
    if (own_hold_) {
        free = std::max(free, *own_hold_ + bound);
    }
    if (now < free) {
        return must_not_commit{free - now, {}};
    }
    std::vector<vm_id> unknown = unaware();
    if (!roster_ || !is_fresh(in_force, now) || !unknown.empty()) {
        return must_not_commit{duration(0), std::move(unknown)};
    }
    return may_commit{};
}

std::optional<evidence_report> freshness::evidence(time_point now) const {
    if (evidence_.empty()) {
        return std::nullopt;
    }
    const auto& [number, it] = *evidence_.rbegin();
    return evidence_report{number, it.revision, now - it.heard};
}

std::vector<hold_report> freshness::hold_reports_for(const vm_id& peer, position& told, time_point until,
                                              time_point now) const {
    if (told == last_) {
        return {};
    }
    std::map<std::tuple<hold_reason, model::ticket_number, duration>, hold_report> groups;
    const duration step = settings_.hold_age_step;
    position newest = told;
    for (const auto& [vm, held] : holds_) {
        if (held.changed_at > until) {
            continue;
        }
        newest = std::max(newest, held.changed);
        const duration age = now - held.given;
        const bool is_known_there =
            std::find(held.sources.begin(), held.sources.end(), peer) != held.sources.end();
        if (held.changed <= told || is_known_there || age >= settings_.hold_duration) {
            continue;
        }
        const duration rounded = (age + step - duration(1)) / step * step;
        hold_report& group = groups[{held.reason, held.number, rounded}];
        group.reason = held.reason;
        group.number = held.number;
        group.age = rounded;
        group.vms.push_back(vm);
    }
    told = newest;
    std::vector<hold_report> reports;
    for (auto& it : groups) {
        reports.push_back(std::move(it.second));
    }
    return reports;
}

}  // namespace radishpulley::keys
