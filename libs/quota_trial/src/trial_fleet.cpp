#include "quota_trial/trial_fleet.h"

#include <string>

namespace radishpulley::quota {
namespace {

constexpr double drift_scale = 1e9;

}  // namespace

struct trial_fleet::member {
    std::size_t index = 0;
    vm_incarnation self;
    std::unique_ptr<quota_node> node;
    std::unique_ptr<slot_registry> registry;
    limits_by_account limits;
    duration clock_offset = duration::zero();
    std::int64_t clock_drift = 0;
    duration paused_until = duration::zero();
    duration wake_at = duration::max();
    bool is_running = false;
    bool is_cut_from_peers = false;
    bool is_cut_from_store = false;
};

trial_fleet::trial_fleet(trial_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed) {
    for (std::size_t i = 0; i < settings_.vm_count; ++i) {
        auto it = std::make_unique<member>();
        it->index = i;
        it->self = {vm_id("vm-" + std::to_string(i)), 0};
        it->limits = settings_.limits;
        index_[it->self.vm] = i;
        listed_.insert(it->self.vm);
        seen_.insert(it->self.vm);
        members_.push_back(std::move(it));
    }
    for (auto& it : members_) {
        start(*it);
    }
}

trial_fleet::~trial_fleet() = default;

duration trial_fleet::random_duration(duration min, duration max) {
    return duration(
        std::uniform_int_distribution<duration::rep>(min.count(), max.count())(random_));
}

bool trial_fleet::happens(double probability) {
    return probability > 0 && std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

time_point trial_fleet::local_time(const member& it) const {
    const auto drifted = static_cast<__int128>(now_.count()) * it.clock_drift / 1'000'000'000;
    return time_point(it.clock_offset + now_ + duration(static_cast<duration::rep>(drifted)));
}

void trial_fleet::start(member& target) {
    ++target.self.incarnation;
    target.is_running = true;
    target.paused_until = duration::zero();
    target.wake_at = duration::max();
    target.clock_offset = random_duration(std::chrono::hours(1), std::chrono::hours(2));
    const double drift = std::uniform_real_distribution<>(-1, 1)(random_) * settings_.clock_drift;
    target.clock_drift = static_cast<std::int64_t>(drift * drift_scale);
    target.node = std::make_unique<quota_node>(target.self, settings_.policy);
    target.registry = std::make_unique<slot_registry>(store_, settings_.slot_count);
    known_incarnations_[target.self.vm] =
        std::max(known_incarnations_[target.self.vm], target.self.incarnation);
    const std::size_t vm = target.index;
    const incarnation_number incarnation = target.self.incarnation;
    run_member(vm, [this](member& m) { return m.node->set_limits(m.limits, local_time(m)); });
    at(now_, [this, vm, incarnation] { poll_table(vm, incarnation); });
}

fleet_view trial_fleet::view_of(const member& it) const {
    fleet_view view{it.self, listed_, listed_, seen_, known_incarnations_, false, {}};
    view.is_cut_off = it.node->is_cut_off(local_time(it));
    if (!it.registry->table().wishes.empty()) {
        view.retired = it.node->retire_idle(local_time(it));
    }
    return view;
}

void trial_fleet::poll_table(std::size_t vm, incarnation_number incarnation) {
    member& target = *members_[vm];
    if (!target.is_running || target.self.incarnation != incarnation) {
        return;
    }
    at(now_ + settings_.table_period, [this, vm, incarnation] { poll_table(vm, incarnation); });
    if (target.is_cut_from_store || target.paused_until > now_) {
        return;
    }
    const registry_outcome outcome = target.registry->claim(view_of(target));
    if (outcome == registry_outcome::current) {
        run_member(vm, [this](member& m) {
            return m.node->set_table(m.registry->table(), local_time(m));
        });
    } else if (outcome == registry_outcome::unreachable && target.registry->is_settled()) {
        target.node->resume_retired();
    }
}

void trial_fleet::at(duration when, std::function<void()> action) {
    events_.push({when, ++last_order_, std::move(action)});
}

void trial_fleet::run_until(duration end) {
    while (!events_.empty() && events_.top().at <= end) {
        const event next = events_.top();
        events_.pop();
        now_ = next.at;
        next.action();
    }
    now_ = end;
}

void trial_fleet::run_member(std::size_t vm, const std::function<quota_output(member&)>& step) {
    member& it = *members_[vm];
    if (!it.is_running) {
        return;
    }
    if (it.paused_until > now_) {
        const incarnation_number incarnation = it.self.incarnation;
        at(it.paused_until, [this, vm, incarnation, step] {
            if (members_[vm]->self.incarnation == incarnation) {
                run_member(vm, step);
            }
        });
        return;
    }
    process_output(it, step(it));
    schedule_wake_up(it);
}

void trial_fleet::schedule_wake_up(member& target) {
    const time_point next = target.node->next_event();
    if (next == time_point::max()) {
        return;
    }
    const duration local_wait = std::max(duration::zero(), duration(next - local_time(target)));
    const duration wake = now_ + local_wait + local_wait / 20 + std::chrono::microseconds(100);
    if (target.wake_at > now_ && target.wake_at <= wake) {
        return;
    }
    target.wake_at = wake;
    const std::size_t vm = target.index;
    const incarnation_number incarnation = target.self.incarnation;
    at(wake, [this, vm, incarnation, wake] {
        if (members_[vm]->self.incarnation != incarnation || members_[vm]->wake_at != wake) {
            return;
        }
        members_[vm]->wake_at = duration::max();
        run_member(vm, [this](member& m) { return m.node->advance(local_time(m)); });
    });
}

void trial_fleet::process_output(member& it, quota_output out) {
    for (const outgoing_message& message : out.messages) {
        send(it, message);
    }
    for (const admission_decision& decision : out.decisions) {
        if (std::holds_alternative<waiting>(decision)) {
            continue;
        }
        const admission_number number =
            std::visit([](const auto& decided) { return decided.number; }, decision);
        const auto found = handlers_.find(number);
        if (found != handlers_.end()) {
            const decision_handler handler = std::move(found->second);
            handlers_.erase(found);
            handler(decision);
        }
    }
}

void trial_fleet::send(member& from, const outgoing_message& message) {
    ++counts_.messages;
    if (watcher_) {
        watcher_(message);
    }
    const int copies = happens(settings_.duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (from.is_cut_from_peers || happens(settings_.loss)) {
            continue;
        }
        duration delay = random_duration(settings_.min_latency, settings_.max_latency);
        if (happens(settings_.lateness)) {
            delay += random_duration(duration::zero(), settings_.max_lateness);
        }
        at(now_ + delay, [this, sender = from.self, message] { deliver(sender, message); });
    }
}

void trial_fleet::deliver(const vm_incarnation& from, const outgoing_message& message) {
    const std::size_t vm = index_.at(message.to.vm);
    if (members_[vm]->self != message.to || members_[vm]->is_cut_from_peers) {
        return;
    }
    ++counts_.loan_messages_handled;
    run_member(vm, [this, from, message](member& m) {
        return m.node->receive(from, message.message, local_time(m));
    });
}

admission_number trial_fleet::admit(std::size_t vm, const client_account_id& account,
                                    token_amount size, decision_handler handler) {
    if (!runs(vm)) {
        return 0;
    }
    const admission_number number = ++last_admission_;
    handlers_[number] = std::move(handler);
    run_member(vm, [this, number, account, size](member& m) {
        return m.node->admit(number, account, size, local_time(m));
    });
    return number;
}

void trial_fleet::settle(std::size_t vm, admission_number number, token_amount used) {
    run_member(vm, [this, number, used](member& m) {
        return m.node->settle(number, used, local_time(m));
    });
}

bool trial_fleet::runs(std::size_t vm) const {
    return members_[vm]->is_running && members_[vm]->paused_until <= now_;
}

void trial_fleet::kill(std::size_t vm) {
    members_[vm]->is_running = false;
    at(now_ + settings_.list_lag, [this, vm] {
        if (!members_[vm]->is_running) {
            remove_from_list(vm);
        }
    });
}

void trial_fleet::replace(std::size_t vm) {
    members_[vm]->is_running = false;
    listed_.insert(members_[vm]->self.vm);
    start(*members_[vm]);
}

void trial_fleet::pause(std::size_t vm, duration length) {
    members_[vm]->paused_until = std::max(members_[vm]->paused_until, now_ + length);
}

void trial_fleet::remove_from_list(std::size_t vm) {
    listed_.erase(members_[vm]->self.vm);
}

void trial_fleet::cut_off(std::size_t vm, bool from_peers, bool from_store) {
    members_[vm]->is_cut_from_peers = from_peers;
    members_[vm]->is_cut_from_store = from_store;
}

void trial_fleet::set_limits(const limits_by_account& limits, duration max_delay) {
    for (std::size_t i = 0; i < members_.size(); ++i) {
        members_[i]->limits = limits;
        at(now_ + random_duration(duration::zero(), max_delay), [this, i] {
            run_member(i,
                       [this](member& m) { return m.node->set_limits(m.limits, local_time(m)); });
        });
    }
}

std::size_t trial_fleet::owned_slots() const {
    std::size_t n = 0;
    for (const auto& it : members_) {
        n += it->is_running ? it->node->owner().slot_count() : 0;
    }
    return n;
}

}  // namespace radishpulley::quota
