#include "ownership/holder_guard.h"

#include <algorithm>
#include <utility>

namespace radishpulley::ownership {

holder_guard::holder_guard(vm_incarnation self, duration pause_limit)
    : self_(std::move(self)), pause_limit_(pause_limit) {}

void holder_guard::on_running(time_point now) {
    const bool first = last_run_ == time_point::min();
    if (!first && now - last_run_ > pause_limit_) {
        last_resume_ = now;
    }
    last_run_ = now;
}

void holder_guard::on_entry(const holding& it, time_point read_began) {
    on_fence_seen(it.id, it.fence);
    if (it.fence < highest_seen_[it.id]) {
        return;
    }
    if (it.holder != self_) {
        held_.erase(it.id);
        return;
    }
    held& own = held_[it.id];
    if (own.fence != it.fence) {
        own = {it.fence, read_began, false};
    }
    own.validated = std::max(own.validated, read_began);
}

void holder_guard::on_fence_seen(const holding_id& id, fencing_number fence) {
    fencing_number& highest = highest_seen_[id];
    highest = std::max(highest, fence);
}

void holder_guard::stop(const holding_id& id) {
    const auto it = held_.find(id);
    if (it != held_.end()) {
        it->second.stopped = true;
    }
}

std::optional<fencing_number> holder_guard::may_act(const holding_id& id, time_point now) {
    on_running(now);
    const auto it = held_.find(id);
    if (it == held_.end()) {
        return std::nullopt;
    }
    const held& own = it->second;
    const bool replaced = highest_seen_.at(id) > own.fence;
    if (replaced || own.stopped || own.validated < last_resume_) {
        return std::nullopt;
    }
    return own.fence;
}

bool holder_guard::needs_revalidation() const {
    return std::any_of(held_.begin(), held_.end(),
                       [this](const auto& it) { return it.second.validated < last_resume_; });
}

}  // namespace radishpulley::ownership
