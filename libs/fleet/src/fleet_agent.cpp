#include "fleet/fleet_agent.h"

#include <algorithm>
#include <utility>

namespace radishpulley::fleet {

fleet_agent::fleet_agent(object_api::vm_entry self, incarnation_number incarnation,
                         fleet_settings settings, time_point started)
    : settings_(settings),
      members_(self, incarnation, settings.membership),
      freshness_({self.vm, incarnation}, settings.freshness, started),
      replica_(settings.replica) {
    report_own_number();
}

std::vector<action> fleet_agent::handle(const event& it, time_point now) {
    actions out;
    std::visit([&](const auto& held) { on(held, now, out); }, it);
    return out;
}

void fleet_agent::leave(time_point now) {
    members_.leave();
    freshness_.give_hold(replica_.number(), now);
    members_.expedite_heartbeats(now);
}

void fleet_agent::on(const vm_list_read& it, time_point now, actions& out) {
    (void)out;
    members_.vm_list_read(it.vms, now);
    update_roster();
}

void fleet_agent::on(const incarnation_raised& it, time_point now, actions& out) {
    (void)now;
    (void)out;
    members_.set_incarnation(it.incarnation);
    freshness_.set_incarnation(it.incarnation);
    report_own_number();
}

void fleet_agent::on(const peer_connected& it, time_point now, actions& out) {
    told_[it.vm] = {};
    members_.connected(it.vm, now);
    update_roster();
    run_membership(now, out);
}

void fleet_agent::on(const peer_disconnected& it, time_point now, actions& out) {
    members_.disconnected(it.vm, it.refused, now);
    if (it.refused) {
        freshness_.process_ended(it.vm, now);
    }
    update_peers(now, out);
}

void fleet_agent::on(const peer_message& it, time_point now, actions& out) {
    if (const auto* held = std::get_if<status>(&it.content)) {
        on_status(it.from, *held, now, out);
        return;
    }
    run(tickets::message_received{it.from, std::get<tickets::ticket_message>(it.content)}, now,
        out);
}

void fleet_agent::on_status(const vm_id& from, const status& it, time_point now, actions& out) {
    if (it.beat.from.vm != from) {
        return;
    }
    const membership::heartbeat_proof proof = members_.received(it.beat, now);
    if (proof.stale) {
        return;
    }
    members_.on_member_reports(it.members, now);
    update_roster();
    update_peers(now, out);
    if (proof.sent_after) {
        freshness_.on_listed_by(from);
        bool is_urgent = freshness_.on_peer_holds(from, it.holds, *proof.sent_after, now);
        if (it.evidence) {
            is_urgent = freshness_.on_peer_evidence(*it.evidence, *proof.sent_after) || is_urgent;
        }
        if (is_urgent) {
            members_.expedite_heartbeats(now);
        }
    }
    rollout_.take(it.numbers);
    run(tickets::number_seen{from, it.in_force}, now, out);
}

void fleet_agent::on(const probe_answered& it, time_point now, actions& out) {
    (void)now;
    const std::optional<keys::evidence_report> known = freshness_.evidence(now);
    if (it.changed || !known) {
        revision_ = it.revision;
        head_wanted_ = true;
        out.emplace_back(tickets::read_head{});
        return;
    }
    freshness_.on_api_response(known->number, it.revision, it.sent);
}

void fleet_agent::on(const head_answered& it, time_point now, actions& out) {
    // The revision is older than the head, so that a watch from it misses no change.
    const object_api::store_revision revision = head_wanted_ ? revision_ : 0;
    head_wanted_ = false;
    if (freshness_.on_api_response(it.at.number, revision, it.sent)) {
        members_.expedite_heartbeats(now);
    }
    run(tickets::head_read{it.at}, now, out);
}

void fleet_agent::on(const api_silent& it, time_point now, actions& out) {
    (void)it;
    (void)out;
    head_wanted_ = false;
    freshness_.on_api_failure(now);
}

void fleet_agent::on(const shard_answered& it, time_point now, actions& out) {
    run(it.shard, now, out);
}

void fleet_agent::on(const accept_started& it, time_point now, actions& out) {
    (void)it;
    (void)now;
    (void)out;
    freshness_.set_committing(true);
}

void fleet_agent::on(const accept_ended& it, time_point now, actions& out) {
    freshness_.set_committing(false);
    if (it.result) {
        run(*it.result, now, out);
    }
}

void fleet_agent::on(const time_passed& it, time_point now, actions& out) {
    (void)it;
    if (freshness_.renew_hold(replica_.number(), now)) {
        members_.expedite_heartbeats(now);
    }
    introduce_next(now);
    run_membership(now, out);
    update_peers(now, out);
    run(tickets::tick{}, now, out);
    probe_when_due(now, out);
}

// Introduces this VM to one more at a time, which spreads the cost over a start.
void fleet_agent::introduce_next(time_point now) {
    if (now < introduction_due_) {
        return;
    }
    introduction_due_ = now + settings_.introduction_gap;
    const std::vector<vm_id> unaware = freshness_.unaware();
    if (!unaware.empty()) {
        members_.introduce({unaware[next_introduction_++ % unaware.size()]});
    }
}

void fleet_agent::update_roster() {
    if (!members_.roster_known() || roster_version_ == members_.version()) {
        return;
    }
    roster_version_ = members_.version();
    freshness_.set_roster(members_.roster());
}

void fleet_agent::update_peers(time_point now, actions& out) {
    std::vector<vm_id> peers = members_.connected_peers(now);
    if (peers != peers_) {
        peers_ = peers;
        run(tickets::peers_changed{std::move(peers)}, now, out);
    }
}

void fleet_agent::run(const tickets::replica_event& it, time_point now, actions& out) {
    for (tickets::replica_action& step : replica_.handle(it, now)) {
        if (auto* sent = std::get_if<tickets::send_message>(&step)) {
            out.emplace_back(send_to{sent->to, std::move(sent->message)});
        } else if (auto* next = std::get_if<tickets::put_in_force>(&step)) {
            out.emplace_back(std::move(*next));
            report_own_number();
        } else if (auto* shard = std::get_if<tickets::read_shard>(&step)) {
            out.emplace_back(std::move(*shard));
        } else {
            out.emplace_back(tickets::read_head{});
        }
    }
}

void fleet_agent::report_own_number() {
    const tickets::in_force_report own{members_.self(), replica_.number()};
    rollout_.take({&own, 1});
}

status fleet_agent::make_status(const vm_id& to, const membership::heartbeat& beat,
                                time_point now) {
    told& known = told_[to];
    status it;
    it.beat = beat;
    it.in_force = replica_.number();
    it.evidence = freshness_.evidence(now);
    // Without an echo the peer cannot bound the age of a hold, so holds wait for one.
    if (beat.echoed != 0) {
        const duration patience =
            members_.is_dialed(to) ? duration(0) : settings_.freshness.inbound_report_delay;
        it.holds = freshness_.hold_reports_for(to, known.holds, now - patience, now);
    }
    if (members_.is_neighbour(to)) {
        it.numbers = rollout_.news(known.numbers);
        it.members = members_.changes_since(known.members);
    } else {
        it.numbers = {{members_.self(), replica_.number()}};
        it.members = {members_.self_report()};
    }
    return it;
}

void fleet_agent::run_membership(time_point now, actions& out) {
    for (membership::membership_action& step : members_.due_actions(now)) {
        if (auto* sent = std::get_if<membership::send_heartbeat>(&step)) {
            out.emplace_back(send_to{sent->to, make_status(sent->to, sent->message, now)});
        } else if (auto* opened = std::get_if<membership::connect_to>(&step)) {
            out.emplace_back(std::move(*opened));
        } else {
            out.emplace_back(std::get<membership::disconnect_from>(std::move(step)));
        }
    }
}

void fleet_agent::probe_when_due(time_point now, actions& out) {
    if (freshness_.time_until_probe(now) > duration(0)) {
        return;
    }
    freshness_.on_probe_started(now);
    const std::optional<keys::evidence_report> known = freshness_.evidence(now);
    out.emplace_back(probe_api{known ? known->revision : 0, settings_.freshness.probe_deadline});
}

keys::serving_decision fleet_agent::serving(time_point now) const {
    return freshness_.decide_serving(replica_.number(), now);
}

keys::commit_decision fleet_agent::committing(time_point now) const {
    return freshness_.decide_commit(replica_.number(), now);
}

tickets::rollout_status fleet_agent::rollout(model::ticket_number number) const {
    std::vector<vm_id> vms = members_.roster();
    vms.push_back(members_.self().vm);
    std::sort(vms.begin(), vms.end());
    return rollout_.status(number, vms);
}

}  // namespace radishpulley::fleet
