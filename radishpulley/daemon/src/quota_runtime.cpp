#include "daemon/quota_runtime.h"

#include <algorithm>
#include <utility>

#include "telemetry/event_log.h"

namespace radishpulley::daemon {
namespace {

constexpr std::size_t slots_of_the_fleet = 16;
constexpr duration claim_interval = std::chrono::seconds(2);
constexpr duration advance_interval = std::chrono::milliseconds(10);

}  // namespace

quota_runtime::quota_runtime(vm_incarnation self, const clock& time, object_api::object_store& api,
                             message_bus& bus, worker_pool& workers)
    : self_(self),
      clock_(time),
      bus_(bus),
      workers_(workers),
      registry_(api, slots_of_the_fleet),
      node_(self, quota::quota_policy()) {
    fleet_.self = self;
    fleet_.incarnations[self.vm] = self.incarnation;
}

void quota_runtime::start() {
    workers_.post([this] { claim(); });
    workers_.repeat(claim_interval, [this] { claim(); });
    workers_.repeat(advance_interval, [this] { advance(); });
}

void quota_runtime::configure(const model::configuration& now) {
    quota::limits_by_account limits;
    for (const model::resource* held : now.list(model::resource_kind::client_account)) {
        const auto& it = std::get<model::client_account>(*held);
        limits[it.id] = {quota::to_amount(it.rate), quota::to_amount(it.burst)};
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    carry_out(node_.set_limits(limits, clock_.now()));
}

void quota_runtime::on_vms(const std::vector<object_api::vm_entry>& vms) {
    const std::lock_guard<std::mutex> lock(mutex_);
    fleet_.live.clear();
    fleet_.listed.clear();
    for (const object_api::vm_entry& it : vms) {
        fleet_.listed.insert(it.vm);
        fleet_.seen.insert(it.vm);
        if (it.state == object_api::vm_state::live) {
            fleet_.live.insert(it.vm);
        }
    }
}

void quota_runtime::on_incarnation(const vm_incarnation& it) {
    const std::lock_guard<std::mutex> lock(mutex_);
    incarnation_number& known = fleet_.incarnations[it.vm];
    known = std::max(known, it.incarnation);
}

void quota_runtime::on_message(const vm_incarnation& from, const quota::quota_message& it) {
    const std::lock_guard<std::mutex> lock(mutex_);
    carry_out(node_.receive(from, it, clock_.now()));
}

quota::admission_number quota_runtime::admit(const client_account_id& account, double tokens,
                                             decision_handler done) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const quota::admission_number number = ++last_;
    asked_[number] = std::move(done);
    carry_out(node_.admit(number, account, quota::to_amount(tokens), clock_.now()));
    return number;
}

void quota_runtime::settle(quota::admission_number number, double tokens) {
    const std::lock_guard<std::mutex> lock(mutex_);
    carry_out(node_.settle(number, quota::to_amount(tokens), clock_.now()));
}

void quota_runtime::cancel(quota::admission_number number) {
    const std::lock_guard<std::mutex> lock(mutex_);
    asked_.erase(number);
    carry_out(node_.cancel(number, clock_.now()));
}

void quota_runtime::carry_out(quota::quota_output out) {
    for (const quota::outgoing_message& it : out.messages) {
        bus_.send(it.to.vm, it.message);
    }
    for (const quota::admission_decision& it : out.decisions) {
        if (std::holds_alternative<quota::waiting>(it)) {
            continue;
        }
        const auto number = std::visit([](const auto& decision) { return decision.number; }, it);
        const auto found = asked_.find(number);
        if (found == asked_.end()) {
            continue;
        }
        workers_.post([call = std::move(found->second), it] { call(it); });
        asked_.erase(found);
    }
}

void quota_runtime::advance() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (node_.next_event() <= clock_.now()) {
        carry_out(node_.advance(clock_.now()));
    }
}

void quota_runtime::claim() {
    const std::lock_guard<std::mutex> one_at_a_time(registry_mutex_);
    quota::fleet_view fleet;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (stopped_) {
            return;
        }
        fleet = fleet_;
        if (fleet.listed.empty()) {
            return;
        }
        fleet.is_cut_off = node_.is_cut_off(clock_.now());
        if (!registry_.table().wishes.empty()) {
            fleet.retired = node_.retire_idle(clock_.now());
        }
    }
    const quota::registry_outcome outcome = registry_.claim(fleet);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (outcome == quota::registry_outcome::unreachable && registry_.is_settled()) {
        node_.resume_retired();
    }
    if (outcome != quota::registry_outcome::current) {
        return;
    }
    carry_out(node_.set_table(registry_.table(), clock_.now()));
}

void quota_runtime::stop() {
    const std::lock_guard<std::mutex> one_at_a_time(registry_mutex_);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopped_ = true;
        carry_out(node_.stop(clock_.now()));
    }
    const quota::registry_outcome outcome = registry_.release(self_);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        carry_out(node_.set_table(registry_.table(), clock_.now()));
    }
    telemetry::log_event(telemetry::severity::info, "quota_slots_released",
                         {{"confirmed", outcome == quota::registry_outcome::current}});
}

std::size_t quota_runtime::slot_count() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return node_.owner().slot_count();
}

}  // namespace radishpulley::daemon
