#include "routing/request_quarantine.h"

#include <algorithm>
#include <string>

#include "base/digest.h"
#include "details/age.h"
#include "routing/rendezvous.h"

namespace radishpulley::routing {
namespace {

// Accusations kept of one suspect; the trial delay stops growing there.
constexpr std::size_t max_accusations = 8;

gsl::span<const suspect_id> first_of(gsl::span<const suspect_id> suspects, std::size_t n) {
    return suspects.first(std::min<std::size_t>(suspects.size(), n));
}

using crash_times = std::map<crash_id, time_point>;

bool is_earlier(const crash_times::value_type& a, const crash_times::value_type& b) {
    return a.second < b.second;
}

// `crashes` must not be empty.
time_point first_crash(const crash_times& crashes) {
    return std::min_element(crashes.begin(), crashes.end(), is_earlier)->second;
}

time_point last_crash(const crash_times& crashes) {
    return crashes.empty() ? time_point::min()
                           : std::max_element(crashes.begin(), crashes.end(), is_earlier)->second;
}

}  // namespace

crash_id crash_of(const endpoint_incarnation& it) {
    return stable_hash(it.id.str() + "|" + std::to_string(it.started_at_ms));
}

void request_quarantine::set_vms(const vm_id& self, gsl::span<const vm_id> serving) {
    self_ = self;
    vms_.assign(serving.begin(), serving.end());
}

std::vector<suspect_id> request_quarantine::on_crash(crash_id crash,
                                                     gsl::span<const suspect_id> suspects,
                                                     time_point now) {
    std::vector<suspect_id> blocked;
    for (const suspect_id& it : first_of(suspects, settings_.max_suspects_of_request)) {
        record& accused = record_for(it);
        const bool was_blocked = is_blocked(it, accused);
        if (accuse(accused, crash, now)) {
            accused.is_changed = true;
        }
        if (is_blocked(it, accused) && !was_blocked) {
            blocked.push_back(it);
        }
    }
    return blocked;
}

void request_quarantine::on_answered(gsl::span<const suspect_id> suspects, time_point now) {
    for (const suspect_id& it : first_of(suspects, settings_.max_suspects_of_request)) {
        if (!it.is_request()) {
            remember_answer(it, now);
        }
        const auto found = records_.find(it);
        if (found == records_.end()) {
            continue;
        }
        record& suspect = found->second;
        suspect.is_changed = suspect.is_changed || !suspect.crashes.empty();
        note_answer(suspect, now);
    }
}

void request_quarantine::begin_trial(const suspect_id& id, time_point now) {
    const auto found = records_.find(id);
    if (found != records_.end()) {
        found->second.trial_at = now;
        found->second.is_changed = true;
    }
}

std::vector<suspect_id> request_quarantine::on_peer_suspects(gsl::span<const suspect> suspects,
                                                             time_point now) {
    std::vector<suspect_id> blocked;
    for (const suspect& it : suspects) {
        const record theirs = decode(it, now);
        record& own = record_for(it.id);
        const bool was_blocked = is_blocked(it.id, own);
        const bool can_object = speaks_against(own, theirs);
        note_answer(own, theirs.answered_at);
        for (const auto& [crash, at] : theirs.crashes) {
            accuse(own, crash, at);
        }
        own.trial_at = std::max(own.trial_at, theirs.trial_at);
        const bool knows_more = own.crashes.size() > theirs.crashes.size();
        own.is_changed = can_object || (own.is_changed && knows_more);
        if (is_blocked(it.id, own) && !was_blocked) {
            blocked.push_back(it.id);
        }
    }
    return blocked;
}

request_quarantine::record request_quarantine::decode(const suspect& it, time_point now) {
    record out;
    if (it.answered_age_ms) {
        out.answered_at = now - std::chrono::milliseconds(*it.answered_age_ms);
    }
    if (it.trial_age_ms) {
        out.trial_at = now - std::chrono::milliseconds(*it.trial_age_ms);
    }
    for (const suspect::accusation& accusation : it.accusations) {
        accuse(out, accusation.crash, now - std::chrono::milliseconds(accusation.age_ms));
    }
    return out;
}

bool request_quarantine::speaks_against(const record& own, const record& theirs) const {
    if (theirs.crashes.empty() || own.answered_at <= theirs.answered_at) {
        return false;
    }
    record corrected = theirs;
    note_answer(corrected, own.answered_at);
    return corrected.crashes.size() < theirs.crashes.size() ||
           (is_trusted(corrected) && !is_trusted(theirs));
}

void request_quarantine::drop_expired(time_point now) {
    for (auto it = records_.begin(); it != records_.end();) {
        it = is_expired(it->first, it->second, now) ? records_.erase(it) : std::next(it);
    }
}

std::vector<suspect> request_quarantine::take_changes(time_point now) {
    std::vector<suspect> out;
    for (auto& [id, it] : records_) {
        if (it.is_changed && out.size() < settings_.max_changes_told) {
            out.push_back(describe(id, it, now));
            it.is_changed = false;
        }
    }
    return out;
}

quarantine_verdict request_quarantine::check(gsl::span<const suspect_id> suspects,
                                             time_point now) const {
    quarantine_verdict out = request_allowed{};
    if (records_.empty()) {
        return out;
    }
    for (const suspect_id& it : suspects) {
        const auto found = records_.find(it);
        if (found == records_.end() || !is_blocked(it, found->second)) {
            continue;
        }
        if (!is_trial_due(it, found->second, now)) {
            return request_blocked{it, crash_count(it, found->second)};
        }
        out = trial_due{it};
    }
    return out;
}

bool request_quarantine::is_suspect(gsl::span<const suspect_id> suspects) const {
    return std::any_of(suspects.begin(), suspects.end(), [this](const suspect_id& it) {
        const auto found = records_.find(it);
        // A request without shared parts has no answers that could speak for it, and most that
        // break off are sound: one crash does not keep it from being sent again.
        const std::size_t needed = it.is_request() ? settings_.max_crashes : 1;
        return found != records_.end() && found->second.crashes.size() >= needed &&
               !is_trusted(found->second);
    });
}

bool request_quarantine::knows_requests() const {
    return !records_.empty() && records_.rbegin()->first.is_request();
}

bool request_quarantine::has_changes() const {
    return std::any_of(records_.begin(), records_.end(),
                       [](const auto& it) { return it.second.is_changed; });
}

std::vector<suspect> request_quarantine::suspects(time_point now) const {
    std::vector<std::pair<suspect_id, const record*>> accused;
    for (const auto& [id, it] : records_) {
        const bool is_recent = last_crash(it.crashes) > now - settings_.repetition_time;
        if (is_blocked(id, it) || is_recent) {
            accused.emplace_back(id, &it);
        }
    }
    const std::size_t n = std::min(accused.size(), settings_.max_suspects_repeated);
    std::partial_sort(accused.begin(), accused.begin() + static_cast<std::ptrdiff_t>(n),
                      accused.end(), [](const auto& a, const auto& b) {
                          return a.second->crashes.size() > b.second->crashes.size();
                      });
    std::vector<suspect> out;
    for (std::size_t i = 0; i < n; ++i) {
        out.push_back(describe(accused[i].first, *accused[i].second, now));
    }
    return out;
}

std::size_t request_quarantine::blocked_count(bool requests) const {
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(), [&](const auto& it) {
            return it.first.is_request() == requests && is_blocked(it.first, it.second);
        }));
}

request_quarantine::record& request_quarantine::record_for(const suspect_id& id) {
    const auto found = records_.find(id);
    if (found != records_.end()) {
        return found->second;
    }
    if (records_.size() >= settings_.max_suspects) {
        const auto least =
            std::min_element(records_.begin(), records_.end(), [](const auto& a, const auto& b) {
                const std::size_t n_a = a.second.crashes.size();
                const std::size_t n_b = b.second.crashes.size();
                return n_a != n_b ? n_a < n_b
                                  : last_crash(a.second.crashes) < last_crash(b.second.crashes);
            });
        records_.erase(least);
    }
    record& out = records_[id];
    out.answered_at = answered_at(id).value_or(time_point::min());
    return out;
}

bool request_quarantine::accuse(record& it, crash_id crash, time_point at) {
    const bool is_known = it.crashes.count(crash) != 0;
    if (is_known || at <= it.answered_at) {
        return false;
    }
    if (it.crashes.size() >= max_accusations) {
        it.crashes.erase(std::min_element(it.crashes.begin(), it.crashes.end(), is_earlier));
    }
    it.crashes[crash] = at;
    return true;
}

void request_quarantine::note_answer(record& it, time_point at) {
    it.answered_at = std::max(it.answered_at, at);
    for (auto crash = it.crashes.begin(); crash != it.crashes.end();) {
        crash = crash->second <= it.answered_at ? it.crashes.erase(crash) : std::next(crash);
    }
}

void request_quarantine::remember_answer(const suspect_id& id, time_point now) {
    const auto found = answered_by_id_.find(id);
    if (found != answered_by_id_.end()) {
        found->second->at = now;
        answered_.splice(answered_.end(), answered_, found->second);
        return;
    }
    answered_.push_back({id, now});
    answered_by_id_[id] = std::prev(answered_.end());
    if (answered_.size() > settings_.max_answered_segments) {
        answered_by_id_.erase(answered_.front().id);
        answered_.pop_front();
    }
}

std::optional<time_point> request_quarantine::answered_at(const suspect_id& id) const {
    const auto found = answered_by_id_.find(id);
    return found == answered_by_id_.end() ? std::nullopt
                                          : std::optional<time_point>(found->second->at);
}

bool request_quarantine::is_trusted(const record& it) const {
    if (it.answered_at == time_point::min()) {
        return false;
    }
    return it.crashes.empty() ||
           first_crash(it.crashes) - it.answered_at <= settings_.answer_lifetime;
}

std::size_t request_quarantine::crash_count(const suspect_id& id, const record& it) const {
    std::vector<time_point> times;
    for (const auto& crash : it.crashes) {
        times.push_back(crash.second);
    }
    std::sort(times.begin(), times.end());
    const duration interval =
        id.is_request() ? settings_.request_crash_interval : settings_.crash_interval;
    std::size_t count = 0;
    time_point counted = time_point::min();
    for (const time_point at : times) {
        if (counted == time_point::min() || at - counted >= interval) {
            ++count;
            counted = at;
        }
    }
    return count;
}

std::size_t request_quarantine::max_crashes(const record& it) const {
    return is_trusted(it) ? settings_.max_crashes_after_answers : settings_.max_crashes;
}

bool request_quarantine::is_blocked(const suspect_id& id, const record& it) const {
    return it.crashes.size() >= settings_.max_crashes && crash_count(id, it) >= max_crashes(it);
}

duration request_quarantine::trial_delay(const suspect_id& id, const record& it) const {
    duration out = settings_.first_trial_delay;
    const std::size_t count = crash_count(id, it);
    for (std::size_t n = max_crashes(it); n < count; ++n) {
        out *= settings_.trial_delay_factor;
    }
    return out;
}

bool request_quarantine::is_trial_due(const suspect_id& id, const record& it,
                                      time_point now) const {
    const bool is_under_way =
        it.trial_at > last_crash(it.crashes) && now - it.trial_at < settings_.trial_timeout;
    if (is_under_way) {
        return false;
    }
    const auto rank = rendezvous_rank(to_text(id), self_, vms_);
    const duration turn = settings_.trial_stagger * static_cast<int>(rank);
    const duration delay = trial_delay(id, it) + turn;
    return now - last_crash(it.crashes) >= delay &&
           (it.trial_at == time_point::min() || now - it.trial_at >= delay);
}

bool request_quarantine::is_expired(const suspect_id& id, const record& it, time_point now) const {
    const time_point newest = std::max(last_crash(it.crashes), it.trial_at);
    if (it.crashes.empty()) {
        return it.answered_at < now - settings_.answer_lifetime;
    }
    const duration kept = std::max(settings_.accusation_retention, trial_delay(id, it) * 2);
    return now - newest > kept;
}

suspect request_quarantine::describe(const suspect_id& id, const record& it, time_point now) {
    suspect out;
    out.id = id;
    for (const auto& [crash, at] : it.crashes) {
        out.accusations.push_back({crash, details::age_ms(now - at)});
    }
    if (it.answered_at != time_point::min()) {
        out.answered_age_ms = details::age_ms(now - it.answered_at);
    }
    if (it.trial_at != time_point::min()) {
        out.trial_age_ms = details::age_ms(now - it.trial_at);
    }
    return out;
}

}  // namespace radishpulley::routing
