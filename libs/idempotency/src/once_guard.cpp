#include "idempotency/once_guard.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/findings.h"

namespace radishpulley::idempotency {

using namespace object_api;

namespace {

// A record that cannot be read counts as one of somebody else: nothing may run over it.
std::optional<record> parse(const object& found) {
    try {
        return parse_record(found.value);
    } catch (const invalid_input&) {
        return std::nullopt;
    }
}

}  // namespace

once_guard::once_guard(object_store& store, vm_incarnation self, guard_limits limits)
    : store_(store), self_(std::move(self)), limits_(limits), calls_left_(limits.call_burst) {}

begin_result once_guard::begin(const keyed_call& call, epoch_number epoch, time_point now) {
    if (!take_call(now)) {
        return refusal::rate_limited;
    }
    const run_permit permit = new_permit(call, epoch);
    release_left_behind(permit.name, now);
    begin_result result = refusal::unavailable;
    if (pending() < limits_.max_pending) {
        result = create(permit, now);
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (std::holds_alternative<run_permit>(result)) {
        running_[permit.name] = permit.content.attempt;
        ++counts_.created;
    } else if (const auto* why = std::get_if<refusal>(&result)) {
        counts_.refused_unavailable += *why == refusal::unavailable ? 1 : 0;
    }
    return result;
}

bool once_guard::take_call(time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const duration passed = now - calls_counted_at_.value_or(now);
    calls_counted_at_ = now;
    const double earned = limits_.calls_per_second * std::chrono::duration<double>(passed).count();
    calls_left_ = std::min(limits_.call_burst, calls_left_ + earned);
    if (calls_left_ < 1) {
        ++counts_.refused_over_rate;
        return false;
    }
    calls_left_ -= 1;
    return true;
}

run_permit once_guard::new_permit(const keyed_call& call, epoch_number epoch) {
    const std::lock_guard<std::mutex> lock(mutex_);
    run_permit permit;
    permit.name = record_name(call.account, call.key);
    permit.content.attempt = {self_, next_sequence_++, call.request};
    permit.content.fingerprint = call.fingerprint;
    permit.content.epoch = epoch;
    return permit;
}

begin_result once_guard::create(const run_permit& permit, time_point now) {
    const std::string text = to_text(permit.content);
    bool may_exist = false;
    for (std::size_t n = 0; n < limits_.max_create_tries; ++n) {
        const put_result written = store_.put(permit.name, text, 0);
        if (const auto* it = std::get_if<stored>(&written)) {
            run_permit granted = permit;
            granted.version = it->version;
            return granted;
        }
        may_exist = may_exist || std::holds_alternative<outcome_unknown>(written);
        const get_result found = store_.get(permit.name);
        if (const auto* it = std::get_if<object>(&found)) {
            return judge(permit, *it);
        }
        if (std::holds_alternative<unreachable>(found)) {
            break;
        }
    }
    if (may_exist) {
        end({end_kind::release, permit, false, now}, now);
    }
    return refusal::unavailable;
}

begin_result once_guard::judge(const run_permit& permit, const object& found) const {
    const std::optional<record> held = parse(found);
    if (!held) {
        return refusal::outcome_unknown;
    }
    if (held->attempt == permit.content.attempt) {
        run_permit granted = permit;
        granted.version = found.version;
        return granted;
    }
    if (held->fingerprint != permit.content.fingerprint) {
        return refusal::key_reused;
    }
    if (const auto* result = std::get_if<outcome>(&held->state)) {
        if (!result->body_kept) {
            return refusal::outcome_not_kept;
        }
        return *result;
    }
    return in_progress_here(permit.name) ? refusal::in_progress_here : refusal::outcome_unknown;
}

void once_guard::finish(const run_permit& permit, outcome result, time_point now) {
    if (result.body.size() > max_body_kept) {
        result.body_kept = false;
    }
    if (!result.body_kept) {
        result.body.clear();
    }
    pending_end it{end_kind::finish, permit, true, now};
    it.permit.content.state = std::move(result);
    end(std::move(it), now);
    abandon(permit);
}

void once_guard::release(const run_permit& permit, time_point now) {
    end({end_kind::release, permit, true, now}, now);
    abandon(permit);
}

void once_guard::abandon(const run_permit& permit) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = running_.find(permit.name);
    if (it != running_.end() && it->second == permit.content.attempt) {
        running_.erase(it);
    }
}

void once_guard::retry_pending(time_point now) {
    std::deque<pending_end> taken;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        taken.swap(pending_);
    }
    for (pending_end& it : taken) {
        end(std::move(it), now);
    }
}

std::size_t once_guard::pending() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return pending_.size();
}

guard_counts once_guard::counts() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return counts_;
}

void once_guard::end(pending_end it, time_point now) {
    const end_result result = try_end(it, now);
    settle(std::move(it), result);
}

once_guard::end_result once_guard::try_end(pending_end& it, time_point now) {
    return it.kind == end_kind::finish ? try_finish(it) : try_release(it, now);
}

once_guard::end_result once_guard::try_finish(pending_end& it) {
    const put_result written =
        store_.put(it.permit.name, to_text(it.permit.content), it.permit.version);
    if (std::holds_alternative<stored>(written)) {
        return end_result::done;
    }
    if (std::holds_alternative<outcome_unknown>(written)) {
        return end_result::again;
    }
    const get_result found = store_.get(it.permit.name);
    if (std::holds_alternative<unreachable>(found)) {
        return end_result::again;
    }
    const auto* held = std::get_if<object>(&found);
    const std::optional<record> current = held == nullptr ? std::nullopt : parse(*held);
    const bool is_own = current && current->attempt == it.permit.content.attempt &&
                        std::holds_alternative<outcome>(current->state);
    return is_own ? end_result::done : end_result::given_up;
}

once_guard::end_result once_guard::try_release(pending_end& it, time_point now) {
    const get_result found = store_.get(it.permit.name);
    if (std::holds_alternative<unreachable>(found)) {
        return end_result::again;
    }
    const auto* held = std::get_if<object>(&found);
    if (held == nullptr) {
        const bool may_come = !it.created && now - it.since < limits_.late_update_bound;
        return may_come ? end_result::again : end_result::done;
    }
    const std::optional<record> current = parse(*held);
    if (!current || current->attempt != it.permit.content.attempt) {
        return end_result::done;
    }
    const put_result removed = store_.remove(it.permit.name, held->version);
    return std::holds_alternative<stored>(removed) ? end_result::done : end_result::again;
}

// A repeat of a call that did not run must not meet the record that it left.
void once_guard::release_left_behind(const std::string& name, time_point now) {
    for (pending_end& it : take_releases(name)) {
        end(std::move(it), now);
    }
}

std::deque<once_guard::pending_end> once_guard::take_releases(const std::string& name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::deque<pending_end> taken;
    std::deque<pending_end> left;
    for (pending_end& it : pending_) {
        const bool is_wanted = it.kind == end_kind::release && it.permit.name == name;
        (is_wanted ? taken : left).push_back(std::move(it));
    }
    pending_ = std::move(left);
    return taken;
}

void once_guard::settle(pending_end it, end_result result) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (result == end_result::done) {
        return;
    }
    if (result == end_result::given_up || pending_.size() >= limits_.max_pending) {
        ++counts_.ends_given_up;
        return;
    }
    pending_.push_back(std::move(it));
}

bool once_guard::in_progress_here(const std::string& name) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return running_.count(name) != 0;
}

}  // namespace radishpulley::idempotency
