#include "fleet_standins/agent_network.h"

#include <algorithm>

#include "base/digest.h"

namespace radishpulley::fleet_standins {

namespace {

constexpr duration connect_deadline = std::chrono::milliseconds(400);

}  // namespace

agent_network::agent_network(fleet::fleet_settings fleet, network_settings network)
    : fleet_(fleet),
      network_(network),
      store_(api_, store_clock_, [this](duration step) { store_clock_.advance(step); }),
      random_(network.seed) {}

agent_network::pair_of_vms agent_network::ends_of(const vm_id& a, const vm_id& b) {
    return a < b ? pair_of_vms{a, b} : pair_of_vms{b, a};
}

void agent_network::at(time_point when, std::function<void()> what) {
    queue_.emplace(when, std::move(what));
}

void agent_network::set_api_down(bool down) {
    api_down_ = down;
    api_.set_down(down);
}

void agent_network::add_vms(const std::vector<object_api::vm_entry>& vms) {
    for (const object_api::vm_entry& it : vms) {
        nodes_[it.vm].entry = it;
        listed_.push_back(it);
    }
    for (const object_api::vm_entry& it : vms) {
        start(it.vm);
    }
}

void agent_network::start(const vm_id& vm) {
    node& it = nodes_.at(vm);
    // The real incarnation tells processes apart here; agents only see it when the API gave it.
    it.incarnation = ++last_incarnation_;
    it.vanished = false;
    it.is_paused = false;
    it.waiting.clear();
    const incarnation_number given = api_reachable(it) ? it.incarnation : 0;
    it.agent = std::make_unique<fleet::fleet_agent>(it.entry, given, fleet_, now_);
    read_vm_list(vm);
    schedule_tick(vm, it.incarnation);
}

void agent_network::schedule_tick(const vm_id& vm, incarnation_number incarnation) {
    const duration phase = network_.tick * (stable_hash(vm.str()) % 100) / 100;
    const auto again = std::make_shared<std::function<void()>>();
    const std::weak_ptr<std::function<void()>> weak = again;
    *again = [this, vm, incarnation, weak] {
        node& it = nodes_.at(vm);
        if (it.incarnation != incarnation || !it.agent) {
            return;
        }
        if (!it.is_paused) {
            handle(it, fleet::time_passed{});
        }
        if (const auto self = weak.lock()) {
            at(now_ + network_.tick, [self] { (*self)(); });
        }
    };
    at(now_ + phase, [again] { (*again)(); });
}

void agent_network::stop(const vm_id& vm) {
    node& it = nodes_.at(vm);
    it.agent.reset();
    std::vector<pair_of_vms> ended;
    for (const auto& entry : links_) {
        if (entry.first.first == vm || entry.first.second == vm) {
            ended.push_back(entry.first);
        }
    }
    for (const pair_of_vms& ends : ended) {
        close(ends);
    }
}

void agent_network::vanish(const vm_id& vm) {
    node& it = nodes_.at(vm);
    it.agent.reset();
    it.vanished = true;
}

void agent_network::pause(const vm_id& vm) {
    nodes_.at(vm).is_paused = true;
}

void agent_network::resume(const vm_id& vm) {
    node& it = nodes_.at(vm);
    it.is_paused = false;
    const std::vector<fleet::event> waiting = std::exchange(it.waiting, {});
    for (const fleet::event& held : waiting) {
        if (it.agent) {
            handle(it, held);
        }
    }
}

void agent_network::silence(const vm_id& a, const vm_id& b) {
    const auto it = links_.find(ends_of(a, b));
    if (it != links_.end()) {
        it->second.silent = true;
    }
}

void agent_network::unlist(const vm_id& vm) {
    listed_.erase(std::remove_if(listed_.begin(), listed_.end(),
                                 [&](const object_api::vm_entry& entry) { return entry.vm == vm; }),
                  listed_.end());
}

void agent_network::read_vm_list(const vm_id& vm) {
    node& it = nodes_.at(vm);
    if (it.agent && !it.is_cut_from_api) {
        handle(it, fleet::vm_list_read{listed_});
    }
}

bool agent_network::offer(const vm_id& vm, const model::ticket& it, accept_function done) {
    node& through = nodes_.at(vm);
    if (!through.agent || through.is_paused) {
        return false;
    }
    handle(through, fleet::accept_started{});
    if (!std::holds_alternative<keys::may_commit>(through.agent->committing(now_)) ||
        !api_reachable(through)) {
        handle(through, fleet::accept_ended{});
        return false;
    }
    const incarnation_number incarnation = through.incarnation;
    at(now_ + network_.api_delay, [this, vm, incarnation, it, done] {
        // The commit takes effect now; the daemon learns of it later, if it still runs.
        const tickets::accept_result result = store_.accept(it);
        const duration way = network_.api_delay;
        at(now_ + way, [this, vm, incarnation, it, done, result] {
            node& held = nodes_.at(vm);
            if (!held.agent || held.incarnation != incarnation) {
                return;
            }
            fleet::accept_ended ended;
            if (const auto* ok = std::get_if<tickets::accepted>(&result)) {
                ended.result = tickets::accepted_here{ok->after, it};
            }
            deliver(vm, incarnation, ended);
            if (done) {
                done(result);
            }
        });
    });
    return true;
}

void agent_network::deliver(const vm_id& vm, incarnation_number incarnation, fleet::event event) {
    node& it = nodes_.at(vm);
    if (!it.agent || it.incarnation != incarnation) {
        return;
    }
    if (it.is_paused) {
        it.waiting.push_back(std::move(event));
        return;
    }
    handle(it, event);
}

void agent_network::handle(node& it, const fleet::event& event) {
    for (fleet::action& step : it.agent->handle(event, now_)) {
        run(it, std::move(step));
    }
}

void agent_network::run(node& it, fleet::action step) {
    if (const auto* held = std::get_if<fleet::send_to>(&step)) {
        send(it, *held);
    } else if (const auto* opened = std::get_if<membership::connect_to>(&step)) {
        connect(it, opened->vm);
    } else if (const auto* closed = std::get_if<membership::disconnect_from>(&step)) {
        close(ends_of(it.entry.vm, closed->vm));
    } else if (const auto* call = std::get_if<fleet::probe_api>(&step)) {
        probe(it, *call);
    } else if (std::holds_alternative<tickets::read_head>(step)) {
        read_head(it);
    } else if (const auto* shard = std::get_if<tickets::read_shard>(&step)) {
        read_shard(it, *shard);
    } else if (const auto* next = std::get_if<tickets::put_in_force>(&step)) {
        if (in_force_) {
            in_force_(it.entry.vm, next->now.at.number);
        }
    }
}

bool agent_network::reachable(const node& a, const node& b) const {
    return !a.vanished && !b.vanished && !a.is_cut_from_peers && !b.is_cut_from_peers;
}

duration agent_network::delay(const node& a, const node& b) const {
    if (a.entry.region != b.entry.region) {
        return network_.far_delay;
    }
    return a.entry.zone == b.entry.zone ? network_.zone_delay : network_.region_delay;
}

void agent_network::connect(node& from, const vm_id& to) {
    const vm_id self = from.entry.vm;
    const incarnation_number incarnation = from.incarnation;
    node& other = nodes_.at(to);
    const duration way = delay(from, other);
    if (!reachable(from, other)) {
        at(now_ + connect_deadline, [=] {
            deliver(self, incarnation, fleet::peer_disconnected{to, false});
        });
        return;
    }
    at(now_ + way * 2, [=] {
        node& target = nodes_.at(to);
        node& opener = nodes_.at(self);
        if (!opener.agent || opener.incarnation != incarnation || !reachable(opener, target)) {
            return;
        }
        if (!target.agent) {
            deliver(self, incarnation, fleet::peer_disconnected{to, true});
            return;
        }
        const pair_of_vms ends = ends_of(self, to);
        const auto old = links_.find(ends);
        if (old != links_.end() && !old->second.silent) {
            return;
        }
        links_[ends] = link{++epoch_, false, {}};
        deliver(self, incarnation, fleet::peer_connected{to});
        deliver(to, target.incarnation, fleet::peer_connected{self});
    });
}

void agent_network::close(const pair_of_vms& ends) {
    if (links_.erase(ends) == 0) {
        return;
    }
    const auto tell = [&](const vm_id& vm, const vm_id& other) {
        const incarnation_number incarnation = nodes_.at(vm).incarnation;
        const std::uint64_t epoch = epoch_;
        at(now_ + delay(nodes_.at(vm), nodes_.at(other)), [=] {
            const auto next = links_.find(ends_of(vm, other));
            if (next == links_.end() || next->second.epoch <= epoch) {
                deliver(vm, incarnation, fleet::peer_disconnected{other, false});
            }
        });
    };
    tell(ends.first, ends.second);
    tell(ends.second, ends.first);
}

void agent_network::send(node& from, const fleet::send_to& it) {
    const vm_id self = from.entry.vm;
    const pair_of_vms ends = ends_of(self, it.vm);
    const auto found = links_.find(ends);
    if (found == links_.end()) {
        return;
    }
    if (count_) {
        count_(self, it.content);
    }
    node& to = nodes_.at(it.vm);
    if (found->second.silent || !reachable(from, to)) {
        found->second.silent = true;
        return;
    }
    time_point arrival = now_ + delay(from, to);
    if (std::uniform_real_distribution<double>(0, 1)(random_) < network_.loss) {
        arrival += network_.retransmission;
    }
    time_point& last = found->second.last_arrival[it.vm];
    last = std::max(last, arrival);
    const std::uint64_t epoch = found->second.epoch;
    const auto content = std::make_shared<const fleet::message>(it.content);
    const vm_id target = it.vm;
    at(last, [=] {
        const auto now_open = links_.find(ends);
        if (now_open != links_.end() && now_open->second.epoch == epoch) {
            deliver(target, nodes_.at(target).incarnation, fleet::peer_message{self, *content});
        }
    });
}

void agent_network::probe(node& it, const fleet::probe_api& call) {
    const vm_id vm = it.entry.vm;
    const incarnation_number incarnation = it.incarnation;
    const time_point sent = now_;
    at(now_ + network_.api_delay, [=] {
        const bool heard = !nodes_.at(vm).is_cut_from_api;
        const object_api::watch_result result =
            heard ? api_.watch(tickets::head_object, call.since, duration(0))
                  : object_api::watch_result(object_api::unreachable{});
        const auto* answer = std::get_if<object_api::watch_answer>(&result);
        if (answer == nullptr) {
            at(sent + call.deadline, [=] { deliver(vm, incarnation, fleet::api_silent{}); });
            return;
        }
        const bool changed = call.since == 0 || !answer->complete || !answer->changed.empty();
        const fleet::probe_answered event{sent, answer->revision, changed};
        at(now_ + network_.api_delay, [=] { deliver(vm, incarnation, event); });
    });
}

void agent_network::read_head(node& it) {
    const vm_id vm = it.entry.vm;
    const incarnation_number incarnation = it.incarnation;
    const time_point sent = now_;
    at(now_ + network_.api_delay, [=] {
        const bool heard = !nodes_.at(vm).is_cut_from_api;
        const tickets::head_result result =
            heard ? store_.load_head() : tickets::head_result(object_api::unreachable{});
        const auto* answer = std::get_if<tickets::head>(&result);
        if (answer == nullptr) {
            at(sent + fleet_.freshness.probe_deadline,
               [=] { deliver(vm, incarnation, fleet::api_silent{}); });
            return;
        }
        const fleet::head_answered event{sent, *answer};
        at(now_ + network_.api_delay, [=] { deliver(vm, incarnation, event); });
    });
}

void agent_network::read_shard(node& it, const tickets::read_shard& call) {
    const vm_id vm = it.entry.vm;
    const incarnation_number incarnation = it.incarnation;
    at(now_ + network_.api_delay, [=] {
        tickets::shard_read read{call.index, call.name, {}};
        if (!nodes_.at(vm).is_cut_from_api) {
            tickets::shard_result result = store_.load_shard(call.index, call.name);
            if (auto* text = std::get_if<std::string>(&result)) {
                read.text = std::move(*text);
            }
        }
        at(now_ + network_.api_delay,
           [=] { deliver(vm, incarnation, fleet::shard_answered{read}); });
    });
}

void agent_network::run_for(duration time) {
    const time_point end = now_ + time;
    time_point next_check = now_ + network_.tick;
    while (now_ < end) {
        const time_point next_event = queue_.empty() ? end : queue_.begin()->first;
        now_ = std::min({next_event, next_check, end});
        if (now_ == next_check) {
            next_check += network_.tick;
            if (check_) {
                check_();
            }
        }
        while (!queue_.empty() && queue_.begin()->first <= now_) {
            const std::function<void()> what = std::move(queue_.begin()->second);
            queue_.erase(queue_.begin());
            what();
        }
    }
}

std::vector<node*> agent_network::running() {
    std::vector<node*> all;
    for (auto& it : nodes_) {
        if (it.second.agent) {
            all.push_back(&it.second);
        }
    }
    return all;
}

bool agent_network::converged(model::ticket_number number) {
    for (const node* it : running()) {
        if (it->agent->in_force().at.number != number) {
            return false;
        }
    }
    return true;
}

std::vector<object_api::vm_entry> make_vms(std::size_t n, std::size_t regions, std::size_t zones) {
    std::vector<object_api::vm_entry> vms;
    for (std::size_t i = 0; i < n; ++i) {
        const std::size_t region = i % regions;
        const std::size_t zone = i / regions % zones;
        object_api::vm_entry it;
        it.vm = vm_id("vm-" + std::to_string(i));
        it.region = region_id("region-" + std::to_string(region));
        it.zone = zone_id("zone-" + std::to_string(region) + "-" + std::to_string(zone));
        it.peer_address =
            "ws://10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":9100";
        vms.push_back(std::move(it));
    }
    return vms;
}

}  // namespace radishpulley::fleet_standins
