#include "world.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "checkers.h"

namespace radishpulley::faults {

using namespace std::chrono_literals;
using requests::repeat_policy;
using requests::run_state;

namespace {

constexpr std::size_t max_repeats = 4;
constexpr std::uint64_t max_publishing_ms = 1500;
constexpr duration api_outage = 20s;
constexpr duration update_delay = 8s;
constexpr duration vm_pause = 12s;
constexpr std::size_t held_updates = 3;

repeat_policy rule_of(const std::string& variant) {
    if (variant == "keyed") {
        return repeat_policy::once_with_key;
    }
    return variant == "unkeyed" ? repeat_policy::once_without_key : repeat_policy::idempotent;
}

bool may_repeat(const exchange& it) {
    if (it.end == exchange_end::whole || it.end == exchange_end::none) {
        return false;
    }
    switch (it.repeat) {
        case repeat_policy::once_with_key:
            return true;
        case repeat_policy::once_without_key:
            return it.error && it.error->run == run_state::not_run;
        case repeat_policy::idempotent:
            return it.end != exchange_end::left;
    }
    return false;
}

}  // namespace

std::vector<std::string> call_variants() {
    return {"stream", "plain", "keyed", "unkeyed"};
}

fault fault_named(std::string_view name) {
    for (const fault_row& it : fault_rows) {
        if (it.name == name) {
            return it.kind;
        }
    }
    throw std::invalid_argument("there is no fault named " + std::string(name));
}

world::world(std::uint64_t seed)
    : random_(seed),
      store_(memory_),
      endpoints_(events_, seen_, random_),
      surroundings_{events_,
                    seen_,
                    endpoints_,
                    store_,
                    random_,
                    trace_,
                    [this](std::string_view step, exchange* of) { on_step(step, of); },
                    [this](exchange& it) { on_end(it); },
                    published_state(),
                    false} {
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        const vm_id name("vm-" + std::to_string(i + 1));
        vms_[i] = std::make_unique<entry_vm>(surroundings_, vm_incarnation{name, 1}, seed + i);
    }
}

void world::expect(const cell& it) {
    expected_ = it.points;
}

void world::also_at(std::string step, std::function<void()> action) {
    also_.emplace(std::move(step), std::move(action));
}

exchange& world::start(std::size_t vm, const std::string& variant, const std::string& call) {
    exchange it;
    it.id = request_id("r" + std::to_string(seen_.exchanges.size() + 1));
    it.vm = vms_.at(vm)->name();
    it.repeat = rule_of(variant);
    it.call = call;
    it.expected = whole_answer_to(call, variant == "stream");
    it.begun = events_.now();
    variant_of_call_[call] = variant;
    seen_.exchanges.push_back(std::move(it));
    exchange& from = seen_.exchanges.back();
    surroundings_.note(from.id.str() + " asks " + from.vm.str() + " for " + call);
    if (!vms_[vm]->is_alive()) {
        from.end = exchange_end::broken;
        on_end(from);
        return from;
    }
    vms_[vm]->take(from);
    return from;
}

void world::on_step(std::string_view step, exchange* of) {
    const auto [first, last] = also_.equal_range(step);
    for (auto it = first; it != last; ++it) {
        events_.after(0s, it->second);
    }
    while (!expected_.empty() && expected_.front().step == step) {
        const fault kind = fault_named(expected_.front().fault);
        expected_.erase(expected_.begin());
        if (random_() % 2 == 0) {
            bring_about(kind, of);
        } else {
            const duration delay = std::chrono::microseconds(random_() % 3000);
            events_.after(delay, [this, kind, of] { bring_about(kind, of); });
        }
    }
}

void world::on_end(exchange& it) {
    if (!may_repeat(it) || repeats_[it.call] >= max_repeats) {
        return;
    }
    ++repeats_[it.call];
    events_.after(1s + std::chrono::milliseconds(random_() % 4000), [this, &it] { repeat(it); });
}

void world::repeat(const exchange& it) {
    start(vm_for_new(), variant_of_call_.at(it.call), it.call);
}

std::size_t world::vm_for_new() const {
    for (std::size_t i = vms_.size(); i-- > 0;) {
        if (vms_[i]->accepts_new()) {
            return i;
        }
    }
    return 0;
}

std::size_t world::vm_of(const exchange* of) const {
    return of != nullptr && of->vm == vms_[1]->name() ? 1 : 0;
}

bool world::is_answering(const exchange* of) const {
    if (of == nullptr || !vms_[vm_of(of)]->connection_of(*of)) {
        return false;
    }
    return !vms_[vm_of(of)]->endpoint_of(*of).empty();
}

void world::bring_about(fault kind, exchange* of) {
    surroundings_.note("FAULT " + std::string(fault_rows[static_cast<std::size_t>(kind)].name));
    bring_about_at_endpoint(kind, of);
    bring_about_at_store(kind);
    bring_about_at_vm(kind, of);
    bring_about_at_caller(kind, of);
}

void world::publish(std::function<void()> change) {
    events_.after(std::chrono::milliseconds(random_() % max_publishing_ms), std::move(change));
}

void world::bring_about_at_endpoint(fault kind, exchange* of) {
    const entry_vm& vm = *vms_[vm_of(of)];
    endpoint_id target = of == nullptr ? endpoint_id() : vm.endpoint_of(*of);
    if (target.empty()) {
        target = endpoint_names().front();
    }
    connection* via = is_answering(of) ? &endpoints_.at(*vm.connection_of(*of)) : nullptr;
    switch (kind) {
        case fault::endpoint_dies:
            endpoints_.die(target);
            return;
        case fault::endpoint_unable:
            endpoints_.next.unable = true;
            return;
        case fault::endpoint_leaves:
            seen_.left.emplace(target, events_.now());
            publish([this, target] { surroundings_.published.left.push_back(target); });
            return;
        case fault::connection_silent:
            (via != nullptr ? via->silent : endpoints_.next.silent) = true;
            return;
        case fault::answer_cut:
            (via != nullptr ? via->cut : endpoints_.next.cut) = true;
            return;
        case fault::answer_doubled:
            (via != nullptr ? via->doubled : endpoints_.next.doubled) = true;
            return;
        case fault::answer_crossed:
            (via != nullptr ? via->crossed : endpoints_.next.crossed) = true;
            return;
        case fault::answer_of_old_version:
            endpoints_.next.old_version = true;
            return;
        case fault::routing_refused:
            surroundings_.refuse_next_routing = true;
            return;
        default:
            return;
    }
}

void world::bring_about_at_store(fault kind) {
    switch (kind) {
        case fault::api_down:
            memory_.set_down(true);
            events_.after(api_outage, [this] { memory_.set_down(false); });
            return;
        case fault::api_call_lost:
            memory_.inject({standins::store_fault::lost_call});
            return;
        case fault::api_answer_lost:
            memory_.inject({standins::store_fault::lost_answer});
            return;
        case fault::api_update_late:
            store_.hold_updates(held_updates);
            events_.after(update_delay, [this] {
                store_.hold_updates(0);
                store_.deliver();
            });
            return;
        default:
            return;
    }
}

void world::bring_about_at_vm(fault kind, exchange* of) {
    entry_vm& own = *vms_[vm_of(of)];
    entry_vm& other = *vms_[1 - vm_of(of)];
    switch (kind) {
        case fault::vm_paused:
            own.pause(vm_pause);
            return;
        case fault::vm_dies:
            own.die();
            return;
        case fault::vm_stops:
            own.stop();
            return;
        case fault::other_vm_dies:
            other.die();
            return;
        default:
            return;
    }
}

void world::bring_about_at_caller(fault kind, exchange* of) {
    exchange& target = of != nullptr ? *of : seen_.exchanges.front();
    entry_vm& vm = *vms_[vm_of(&target)];
    const bool is_repeat_harmless = target.repeat != repeat_policy::once_without_key;
    switch (kind) {
        case fault::caller_leaves:
            vm.caller_leaves(target);
            return;
        case fault::caller_slow:
            vm.caller_reads_no_more(target);
            return;
        case fault::caller_repeats:
            // Without a key a repeat is another call, and is named so.
            start(vm_for_new(), variant_of_call_.at(target.call),
                  target.call +
                      (is_repeat_harmless ? "" : "-" + std::to_string(seen_.exchanges.size())));
            return;
        case fault::key_withdrawn:
            seen_.key_withdrawn = events_.now();
            publish([this] { surroundings_.published.key_valid = false; });
            return;
        default:
            return;
    }
}

cell_result world::result() {
    for (const auto& it : vms_) {
        it->note_final_uses();
    }
    cell_result result;
    result.violations = check_all(seen_);
    result.reached = expected_.empty();
    result.trace = std::move(trace_);
    return result;
}

}  // namespace radishpulley::faults
