#include "membership/member_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/digest.h"
#include "membership/neighbours.h"

namespace radishpulley::membership {
namespace {

// Limit of tokens on one connection that were not echoed yet.
constexpr std::size_t max_pending_tokens = 16;

}  // namespace

member_table::member_table(object_api::vm_entry self, incarnation_number incarnation,
                           membership_settings settings)
    : self_(std::move(self)), incarnation_(incarnation), settings_(settings) {}

duration member_table::jitter_for(const vm_id& other) const {
    constexpr std::uint64_t steps = 1000;
    return settings_.reconnect_jitter * (stable_hash(self_.vm.str() + other.str()) % steps) / steps;
}

member_table::peer& member_table::add(const object_api::vm_entry& entry,
                                      incarnation_number incarnation, time_point now) {
    peer& it = peers_[entry.vm];
    member& known = it.known;
    const bool is_new = it.changed == 0;
    if (is_new) {
        it.first_seen = now;
    }
    const bool has_changed = is_new || incarnation > known.incarnation ||
                             entry.state != known.entry.state ||
                             entry.peer_address != known.entry.peer_address;
    if (has_changed && incarnation >= known.incarnation) {
        known.entry = entry;
        known.incarnation = incarnation;
        it.changed = ++last_change_;
    }
    return it;
}

std::vector<vm_id> member_table::vm_list_read(gsl::span<const object_api::vm_entry> vms,
                                              time_point now) {
    roster_known_ = true;
    std::set<vm_id> present;
    for (const object_api::vm_entry& entry : vms) {
        present.insert(entry.vm);
        ended_.erase(entry.vm);
        if (entry.vm == self_.vm) {
            continue;
        }
        const auto known = peers_.find(entry.vm);
        add(entry, known == peers_.end() ? 0 : known->second.known.incarnation, now).on_list = true;
    }
    std::vector<vm_id> ended;
    for (const auto& [vm, it] : peers_) {
        const bool too_old = !it.is_connected && now - it.first_seen >= settings_.unlisted_timeout;
        if (present.count(vm) == 0 && (it.on_list || too_old)) {
            ended.push_back(vm);
            ended_[vm] = it.known.incarnation;
        }
    }
    for (const vm_id& vm : ended) {
        active_.erase(vm);
        peers_.erase(vm);
        ++last_change_;
    }
    update_dialed_peers();
    return ended;
}

void member_table::on_member_reports(gsl::span<const member_report> reports, time_point now) {
    if (reports.empty()) {
        return;
    }
    roster_known_ = true;
    const std::uint64_t before = last_change_;
    for (const member_report& it : reports) {
        const auto ended = ended_.find(it.entry.vm);
        const bool has_ended = ended != ended_.end() && it.incarnation <= ended->second;
        if (it.entry.vm != self_.vm && !has_ended) {
            add(it.entry, it.incarnation, now);
        }
    }
    if (last_change_ != before) {
        update_dialed_peers();
    }
}

void member_table::update_dialed_peers() {
    std::vector<object_api::vm_entry> vms = {self_};
    for (const auto& it : peers_) {
        vms.push_back(it.second.known.entry);
    }
    const std::vector<vm_id> dialed = select_neighbours(self_.vm, vms);
    const std::set<vm_id> wanted(dialed.begin(), dialed.end());
    for (auto& [vm, it] : peers_) {
        it.dialed = wanted.count(vm) != 0;
        if (it.dialed) {
            active_[vm] = &it;
        }
    }
}

void member_table::introduce(const std::vector<vm_id>& vms) {
    for (const vm_id& vm : vms) {
        const auto it = peers_.find(vm);
        if (it != peers_.end()) {
            it->second.introduction_pending = true;
            active_[vm] = &it->second;
        }
    }
}

void member_table::connected(const vm_id& vm, time_point now) {
    peer& it = peers_[vm];
    if (it.changed == 0) {
        it.first_seen = now;
        // Only its connection is known so far; its entry follows with its member report.
        it.known.entry.vm = vm;
        it.changed = ++last_change_;
    }
    active_[vm] = &it;
    it.is_connected = true;
    it.wanted_by_peer = false;
    it.connected_at = now;
    it.last_heartbeat = now;
    it.next_heartbeat = now;
    it.last_sent = time_point();
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
    it.retry_at = now + settings_.reconnect_delay + jitter_for(vm);
    it.known.state = refused ? member_state::ended : member_state::silent;
}

heartbeat_proof member_table::received(const heartbeat& message, time_point now) {
    heartbeat_proof proof;
    const auto found = peers_.find(message.from.vm);
    if (found == peers_.end()) {
        // The list declared the VM as ended while its connection was open.
        proof.stale = true;
        return proof;
    }
    peer& it = found->second;
    // A daemon that started during an outage has no incarnation yet and sends 0.
    const bool is_numbered = message.from.incarnation != 0;
    if (is_numbered && message.from.incarnation < it.known.incarnation) {
        proof.stale = true;
        return proof;
    }
    if (message.from.incarnation > it.known.incarnation) {
        proof.new_incarnation = true;
        it.known.incarnation = message.from.incarnation;
        it.changed = ++last_change_;
    }
    it.known.state = message.leaving ? member_state::leaving : member_state::alive;
    it.wanted_by_peer = message.wanted;
    it.last_heartbeat = now;
    it.echo = message.token;
    const auto token = it.tokens.find(message.echoed);
    if (token != it.tokens.end()) {
        proof.sent_after = token->second;
        it.introduction_pending = false;
        it.tokens.erase(it.tokens.begin(), token);
    }
    return proof;
}

void member_table::close(peer& it, time_point now, std::vector<membership_action>& out) {
    it.is_connected = false;
    it.retry_at = now + jitter_for(it.known.entry.vm);
    out.emplace_back(disconnect_from{it.known.entry.vm});
}

void member_table::check_silence(peer& it, time_point now, std::vector<membership_action>& out) {
    if (it.is_connected && now - it.last_heartbeat >= settings_.heartbeat_timeout) {
        it.known.state = member_state::silent;
        close(it, now, out);
    }
}

void member_table::check_connection(peer& it, time_point now, std::vector<membership_action>& out) {
    const bool has_address = !it.known.entry.peer_address.empty();
    if (!it.is_connected && is_wanted(it) && has_address && now >= it.retry_at) {
        it.retry_at = now + settings_.reconnect_delay + jitter_for(it.known.entry.vm);
        out.emplace_back(connect_to{it.known.entry.vm, it.known.entry.peer_address});
    }
    const bool is_settled = now - it.connected_at >= settings_.introduction_lifetime;
    if (it.is_connected && is_settled && !is_wanted(it) && !it.wanted_by_peer) {
        close(it, now, out);
    }
}

void member_table::send_due(peer& it, time_point now, std::vector<membership_action>& out) {
    if (!it.is_connected || now < it.next_heartbeat) {
        return;
    }
    it.next_heartbeat = now + settings_.heartbeat_interval;
    it.last_sent = now;
    it.tokens.emplace(++last_token_, now);
    if (it.tokens.size() > max_pending_tokens) {
        it.tokens.erase(it.tokens.begin());
    }
    const heartbeat message{self(), last_token_, it.echo, leaving_, it.dialed};
    out.emplace_back(send_heartbeat{it.known.entry.vm, message});
}

void member_table::expedite_heartbeats(time_point now) {
    for (auto& entry : active_) {
        peer& it = *entry.second;
        const time_point soonest = std::max(now, it.last_sent + settings_.min_urgent_interval);
        it.next_heartbeat = std::min(it.next_heartbeat, soonest);
    }
}

std::vector<membership_action> member_table::due_actions(time_point now) {
    std::vector<membership_action> out;
    for (auto entry = active_.begin(); entry != active_.end();) {
        peer& it = *entry->second;
        check_silence(it, now, out);
        check_connection(it, now, out);
        send_due(it, now, out);
        const bool is_idle = !it.is_connected && !is_wanted(it);
        entry = is_idle ? active_.erase(entry) : std::next(entry);
    }
    return out;
}

std::vector<member> member_table::members() const {
    std::vector<member> all;
    for (const auto& it : peers_) {
        all.push_back(it.second.known);
        if (it.second.known.entry.state == object_api::vm_state::leaving) {
            all.back().state = member_state::leaving;
        }
    }
    return all;
}

std::vector<member_report> member_table::changes_since(std::uint64_t& cursor) const {
    std::vector<member_report> all;
    if (cursor == last_change_) {
        return all;
    }
    if (cursor == 0) {
        all.push_back(self_report());
    }
    for (const auto& entry : peers_) {
        const peer& it = entry.second;
        if (it.changed > cursor && !it.known.entry.peer_address.empty()) {
            all.push_back({it.known.entry, it.known.incarnation});
        }
    }
    cursor = last_change_;
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
    for (const auto& [vm, active] : active_) {
        const peer& it = *active;
        const bool is_alive =
            it.known.state == member_state::alive || it.known.state == member_state::leaving;
        if (it.is_connected && is_alive && now - it.last_heartbeat < settings_.heartbeat_timeout) {
            vms.push_back(vm);
        }
    }
    return vms;
}

bool member_table::is_neighbour(const vm_id& vm) const {
    const auto it = peers_.find(vm);
    return it != peers_.end() && (it->second.dialed || it->second.wanted_by_peer);
}

bool member_table::is_dialed(const vm_id& vm) const {
    const auto it = peers_.find(vm);
    return it != peers_.end() && it->second.dialed;
}

std::vector<vm_id> member_table::dialed_vms() const {
    std::vector<vm_id> vms;
    for (const auto& [vm, it] : peers_) {
        if (it.dialed) {
            vms.push_back(vm);
        }
    }
    return vms;
}

}  // namespace radishpulley::membership
