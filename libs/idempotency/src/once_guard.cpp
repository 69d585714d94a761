#include "idempotency/once_guard.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/findings.h"

namespace radishpulley::idempotency {

using namespace object_api;

namespace {

// A record that cannot be parsed counts as a record of another attempt, so no call may run.
std::optional<record> parse(const object& found) {
    try {
        return parse_record(found.value);
    } catch (const invalid_input&) {
        return std::nullopt;
    }
}

}  // namespace

once_guard::once_guard(object_store& store, vm_incarnation self, guard_limits limits)
    : store_(store), self_(std::move(self)), limits_(limits), rate_tokens_(limits.call_burst) {}

begin_result once_guard::begin(const keyed_call& call, epoch_number epoch, time_point now) {
    if (!take_rate_token(now)) {
        return refusal::rate_limited;
    }
    const run_permit permit = new_permit(call, epoch);
    flush_pending_releases(permit.name, now);
    begin_result result = refusal::unavailable;
    if (pending() < limits_.max_pending) {
        result = create(permit, now);
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (std::holds_alternative<run_permit>(result)) {
        running_[permit.name] = permit.content.attempt;
        ++counts_.created;
    } else if (const auto* reason = std::get_if<refusal>(&result)) {
        counts_.refused_unavailable += *reason == refusal::unavailable ? 1 : 0;
    }
    return result;
}

bool once_guard::take_rate_token(time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const duration elapsed = now - tokens_refilled_at_.value_or(now);
    tokens_refilled_at_ = now;
    const double refill = limits_.calls_per_second * std::chrono::duration<double>(elapsed).count();
    rate_tokens_ = std::min(limits_.call_burst, rate_tokens_ + refill);
    if (rate_tokens_ < 1) {
        ++counts_.refused_rate_limited;
        return false;
    }
    rate_tokens_ -= 1;
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
    for (std::size_t attempt = 0; attempt < limits_.max_create_attempts; ++attempt) {
        const put_result written = store_.put(permit.name, text, 0);
        if (const auto* it = std::get_if<stored>(&written)) {
            run_permit granted = permit;
            granted.version = it->version;
            return granted;
        }
        may_exist = may_exist || std::holds_alternative<outcome_unknown>(written);
        const get_result found = store_.get(permit.name);
        if (const auto* it = std::get_if<object>(&found)) {
            return evaluate_existing(permit, *it);
        }
        if (std::holds_alternative<unreachable>(found)) {
            break;
        }
    }
    if (may_exist) {
        complete({completion_kind::release, permit, false, now}, now);
    }
    return refusal::unavailable;
}

begin_result once_guard::evaluate_existing(const run_permit& permit, const object& found) const {
    const std::optional<record> existing = parse(found);
    if (!existing) {
        return refusal::outcome_unknown;
    }
    if (existing->attempt == permit.content.attempt) {
        run_permit granted = permit;
        granted.version = found.version;
        return granted;
    }
    if (existing->fingerprint != permit.content.fingerprint) {
        return refusal::key_reused;
    }
    if (const auto* result = std::get_if<outcome>(&existing->state)) {
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
    pending_completion it{completion_kind::finish, permit, true, now};
    it.permit.content.state = std::move(result);
    complete(std::move(it), now);
    abandon(permit);
}

void once_guard::release(const run_permit& permit, time_point now) {
    complete({completion_kind::release, permit, true, now}, now);
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
    std::deque<pending_completion> taken;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        taken.swap(pending_);
    }
    for (pending_completion& it : taken) {
        complete(std::move(it), now);
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

void once_guard::complete(pending_completion it, time_point now) {
    const completion_result result = try_complete(it, now);
    handle_result(std::move(it), result);
}

once_guard::completion_result once_guard::try_complete(pending_completion& it, time_point now) {
    return it.kind == completion_kind::finish ? try_finish(it) : try_release(it, now);
}

once_guard::completion_result once_guard::try_finish(pending_completion& it) {
    const put_result written =
        store_.put(it.permit.name, to_text(it.permit.content), it.permit.version);
    if (std::holds_alternative<stored>(written)) {
        return completion_result::done;
    }
    if (std::holds_alternative<outcome_unknown>(written)) {
        return completion_result::retry;
    }
    const get_result found = store_.get(it.permit.name);
    if (std::holds_alternative<unreachable>(found)) {
        return completion_result::retry;
    }
    const auto* existing = std::get_if<object>(&found);
    const std::optional<record> current = existing == nullptr ? std::nullopt : parse(*existing);
    const bool is_own = current && current->attempt == it.permit.content.attempt &&
                        std::holds_alternative<outcome>(current->state);
    return is_own ? completion_result::done : completion_result::permanent_failure;
}

once_guard::completion_result once_guard::try_release(pending_completion& it, time_point now) {
    const get_result found = store_.get(it.permit.name);
    if (std::holds_alternative<unreachable>(found)) {
        return completion_result::retry;
    }
    const auto* existing = std::get_if<object>(&found);
    if (existing == nullptr) {
        const bool may_appear = !it.created && now - it.since < limits_.max_update_delay;
        return may_appear ? completion_result::retry : completion_result::done;
    }
    const std::optional<record> current = parse(*existing);
    if (!current || current->attempt != it.permit.content.attempt) {
        return completion_result::done;
    }
    const put_result removed = store_.remove(it.permit.name, existing->version);
    return std::holds_alternative<stored>(removed) ? completion_result::done
                                                   : completion_result::retry;
}

// A repeat of a call that did not run must not find the record that the call left behind.
void once_guard::flush_pending_releases(const std::string& name, time_point now) {
    for (pending_completion& it : extract_releases(name)) {
        complete(std::move(it), now);
    }
}

std::deque<once_guard::pending_completion> once_guard::extract_releases(const std::string& name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::deque<pending_completion> taken;
    std::deque<pending_completion> remaining;
    for (pending_completion& it : pending_) {
        const bool is_match = it.kind == completion_kind::release && it.permit.name == name;
        (is_match ? taken : remaining).push_back(std::move(it));
    }
    pending_ = std::move(remaining);
    return taken;
}

void once_guard::handle_result(pending_completion it, completion_result result) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (result == completion_result::done) {
        return;
    }
    if (result == completion_result::permanent_failure || pending_.size() >= limits_.max_pending) {
        ++counts_.abandoned_completions;
        return;
    }
    pending_.push_back(std::move(it));
}

bool once_guard::in_progress_here(const std::string& name) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return running_.count(name) != 0;
}

}  // namespace radishpulley::idempotency
