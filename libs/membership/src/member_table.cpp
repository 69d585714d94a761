#include "membership/member_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/digest.h"
#include "membership/neighbours.h"

namespace radishpulley::membership {
namespace {

// Tokens that can be waiting for their echo on one connection.
constexpr std::size_t max_tokens = 16;

}  // namespace

member_table::member_table(platform::vm_entry self, incarnation_number incarnation,
                           membership_settings settings)
    : self_(std::move(self)), incarnation_(incarnation), settings_(settings) {}

duration member_table::spread(const vm_id& other) const {
    constexpr std::uint64_t steps = 1000;
    return settings_.reconnect_spread * (stable_hash(self_.vm.str() + other.str()) % steps) / steps;
}

member_table::peer& member_table::add(const platform::vm_entry& entry,
                                      incarnation_number incarnation) {
    peer& it = peers_[entry.vm];
    const bool is_new = it.known.entry.vm.empty();
    // A known entry is replaced by what the platform or a newer start tells.
    if (is_new || incarnation >= it.known.incarnation) {
        const platform::vm_state state = it.known.entry.state;
        it.known.entry = entry;
        if (!is_new && state == platform::vm_state::leaving) {
            it.known.entry.state = state;
        }
    }
    if (incarnation > it.known.incarnation) {
        it.known.incarnation = incarnation;
    }
    return it;
}

std::vector<vm_id> member_table::vm_list_read(gsl::span<const platform::vm_entry> vms) {
    roster_known_ = true;
    std::set<vm_id> present;
    for (const platform::vm_entry& entry : vms) {
        present.insert(entry.vm);
        if (entry.vm == self_.vm) {
            continue;
        }
        const auto known = peers_.find(entry.vm);
        peer& it = add(entry, known == peers_.end() ? 0 : known->second.known.incarnation);
        it.known.entry.state = entry.state;
        it.on_list = true;
    }
    std::vector<vm_id> ended;
    for (auto it = peers_.begin(); it != peers_.end();) {
        if (it->second.on_list && present.count(it->first) == 0) {
            ended.push_back(it->first);
            it = peers_.erase(it);
        } else {
            ++it;
        }
    }
    choose();
    return ended;
}

void member_table::members_heard(gsl::span<const member_report> reports) {
    roster_known_ = true;
    for (const member_report& it : reports) {
        if (it.entry.vm != self_.vm) {
            add(it.entry, it.incarnation);
        }
    }
    choose();
}

void member_table::choose() {
    std::vector<platform::vm_entry> vms = {self_};
    for (const auto& it : peers_) {
        vms.push_back(it.second.known.entry);
    }
    const std::vector<vm_id> chosen = neighbours(self_.vm, vms);
    const std::set<vm_id> wanted(chosen.begin(), chosen.end());
    for (auto& [vm, it] : peers_) {
        it.chosen = wanted.count(vm) != 0;
    }
}

void member_table::introduce(const std::vector<vm_id>& vms) {
    for (const vm_id& vm : vms) {
        const auto it = peers_.find(vm);
        if (it != peers_.end()) {
            it->second.to_introduce = true;
        }
    }
}

void member_table::connected(const vm_id& vm, time_point now) {
    peer& it = peers_[vm];
    if (it.known.entry.vm.empty()) {
        // Heard of by its connection only; its entry comes with the members it reports.
        it.known.entry.vm = vm;
    }
    it.is_connected = true;
    it.wanted_by_peer = true;
    it.last_heard = now;
    it.next_heartbeat = now;
    it.echo = 0;
    it.tokens.clear();
}

void member_table::disconnected(const vm_id& vm, bool refused, time_point now) {
    const auto found = peers_.find(vm);
    if (found == peers_.end()) {
        return;
    }
    peer& it = found->second;
    it.is_connected = false;
    it.retry_at = now + settings_.reconnect_pause + spread(vm);
    it.known.state = refused ? member_state::gone : member_state::silent;
}

heartbeat_proof member_table::received(const heartbeat& message, time_point now) {
    heartbeat_proof proof;
    peer& it = peers_[message.from.vm];
    it.known.entry.vm = message.from.vm;
    if (message.from.incarnation < it.known.incarnation) {
        proof.stale = true;
        return proof;
    }
    proof.new_incarnation = message.from.incarnation > it.known.incarnation;
    it.known.incarnation = message.from.incarnation;
    it.known.state = message.leaving ? member_state::leaving : member_state::heard;
    it.wanted_by_peer = message.wanted;
    it.last_heard = now;
    it.echo = message.token;
    const auto token = it.tokens.find(message.echoed);
    if (token != it.tokens.end()) {
        proof.sent_after = token->second;
        it.to_introduce = false;
        it.tokens.erase(it.tokens.begin(), token);
    }
    return proof;
}

void member_table::drop(peer& it, time_point now, std::vector<membership_action>& out) {
    it.is_connected = false;
    it.retry_at = now + spread(it.known.entry.vm);
    out.emplace_back(disconnect_from{it.known.entry.vm});
}

void member_table::check_silence(peer& it, time_point now, std::vector<membership_action>& out) {
    if (it.is_connected && now - it.last_heard >= settings_.silence_limit) {
        it.known.state = member_state::silent;
        drop(it, now, out);
    }
}

void member_table::check_connection(peer& it, time_point now, std::vector<membership_action>& out) {
    const bool has_address = !it.known.entry.peer_address.empty();
    if (!it.is_connected && is_wanted(it) && has_address && now >= it.retry_at) {
        it.retry_at = now + settings_.reconnect_pause + spread(it.known.entry.vm);
        out.emplace_back(connect_to{it.known.entry.vm, it.known.entry.peer_address});
    }
    if (it.is_connected && !is_wanted(it) && !it.wanted_by_peer) {
        drop(it, now, out);
    }
}

void member_table::send_due(peer& it, time_point now, std::vector<membership_action>& out) {
    if (!it.is_connected || now < it.next_heartbeat) {
        return;
    }
    it.next_heartbeat = now + settings_.heartbeat_interval;
    it.tokens.emplace(++last_token_, now);
    if (it.tokens.size() > max_tokens) {
        it.tokens.erase(it.tokens.begin());
    }
    const heartbeat message{self(), last_token_, it.echo, leaving_, is_wanted(it)};
    out.emplace_back(send_heartbeat{it.known.entry.vm, message});
}

std::vector<membership_action> member_table::due(time_point now) {
    std::vector<membership_action> out;
    for (auto& entry : peers_) {
        check_silence(entry.second, now, out);
        check_connection(entry.second, now, out);
        send_due(entry.second, now, out);
    }
    return out;
}

std::vector<member> member_table::members() const {
    std::vector<member> all;
    for (const auto& it : peers_) {
        all.push_back(it.second.known);
        if (it.second.known.entry.state == platform::vm_state::leaving) {
            all.back().state = member_state::leaving;
        }
    }
    return all;
}

std::vector<member_report> member_table::reports() const {
    std::vector<member_report> all = {{self_, incarnation_}};
    for (const auto& it : peers_) {
        if (!it.second.known.entry.peer_address.empty()) {
            all.push_back({it.second.known.entry, it.second.known.incarnation});
        }
    }
    return all;
}

std::vector<vm_id> member_table::roster() const {
    std::vector<vm_id> vms;
    for (const auto& it : peers_) {
        vms.push_back(it.first);
    }
    return vms;
}

std::vector<vm_id> member_table::connected_peers(time_point now) const {
    std::vector<vm_id> vms;
    for (const auto& [vm, it] : peers_) {
        const bool is_heard =
            it.known.state == member_state::heard || it.known.state == member_state::leaving;
        if (it.is_connected && is_heard && now - it.last_heard < settings_.silence_limit) {
            vms.push_back(vm);
        }
    }
    return vms;
}

std::vector<vm_id> member_table::chosen() const {
    std::vector<vm_id> vms;
    for (const auto& [vm, it] : peers_) {
        if (it.chosen) {
            vms.push_back(vm);
        }
    }
    return vms;
}

}  // namespace radishpulley::membership
