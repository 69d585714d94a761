#include "edge/fleet_member.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "base/digest.h"
#include "base/overloaded.h"
#include "routing/rendezvous.h"
#include "telemetry/event_log.h"

namespace radishpulley::edge {
namespace {

using gateway::write_result;
using nlohmann::json;
using telemetry::severity;

constexpr const char* vms_kind = "entry-vms";
constexpr const char* secrets_kind = "fleet-secrets";
constexpr const char* hints_secret = "hints";
// Set in the entry of a VM that others have not heard for long.
constexpr const char* gone_field = "gone";
constexpr std::size_t secret_bytes = 32;
// VMs join in small numbers; the bound limits what replaced VMs leave behind.
constexpr std::size_t max_unlisted_vms = 1'024;
constexpr std::chrono::milliseconds retry_delay{500};
// Age of what is known of the store from which a mark in an entry may be unknown; less than the
// time after which a mark counts.
constexpr duration max_store_age = std::chrono::seconds(4);
// Bits of an incarnation below the store's era; a VM starts less often within an era.
constexpr unsigned incarnations_of_era_bits = 20;
// Tolerance for the jitter of the timer that calls send_status().
constexpr std::chrono::milliseconds timer_tolerance{100};

constexpr gateway::follower_settings vms_follower_settings{std::chrono::milliseconds(15'000),
                                                           std::chrono::milliseconds(300),
                                                           gateway::read_freshness::may_lag};

json parse_contents(const gateway::stored_object& it) {
    return json::parse(it.contents, nullptr, false);
}

json entry_contents(const std::string& address, const zone_id& zone, const region_id& region,
                    incarnation_number incarnation) {
    return {{"address", address},
            {"zone", zone.str()},
            {"region", region.str()},
            {"incarnation", incarnation}};
}

// Returns an empty text where the field is missing or of another type, as in other writers'
// objects.
std::string text_field(const json& in, const char* name) {
    const auto found = in.find(name);
    return found != in.end() && found->is_string() ? found->get<std::string>() : "";
}

}  // namespace

fleet_member::fleet_member(boost::asio::io_context& loop, const clock& time,
                           gateway::object_collections& store, member_settings settings,
                           hint_handler on_hint)
    : loop_(loop),
      time_(time),
      store_(store),
      settings_(std::move(settings)),
      on_hint_(std::move(on_hint)),
      socket_(loop, settings_.address,
              [this](const auto& it, const auto& sender_address) {
                  this->on_hint(it, sender_address);
              }),
      follower_(loop, time, store, vms_kind, vms_follower_settings,
                {[this](const gateway::object_list& it) { on_list(it); },
                 [this](const gateway::object_change& it) {
                     if (it.removed) {
                         on_removed(it.object.name);
                     } else {
                         on_object(it.object);
                     }
                     write_own_entry_if_missing();
                     update_failure_detector();
                 },
                 [](bool) {}}),
      retry_timer_(loop),
      secret_timer_(loop),
      started_(time.now()) {}

void fleet_member::start() {
    follower_.start();
    read_secret();
}

void fleet_member::on_list(const gateway::object_list& it) {
    const bool is_restored =
        !peers_.empty() && gateway::era_of(it.revision) > gateway::era_of(list_revision_);
    list_revision_ = it.revision;
    std::map<vm_id, peer> previous_peers = std::move(peers_);
    peers_.clear();
    for (const gateway::stored_object& object : it.objects) {
        const auto known = previous_peers.find(vm_id(object.name));
        if (known != previous_peers.end() && object.name != settings_.vm.str()) {
            peers_.insert(*known);
        }
        on_object(object);
    }
    if (is_restored) {
        keep_unlisted_peers(previous_peers);
        read_secret();
    }
    if (!self_) {
        register_self();
    } else if (lacks_own_entry()) {
        write_own_entry();
    }
    update_failure_detector();
}

void fleet_member::keep_unlisted_peers(const std::map<vm_id, peer>& previous) {
    const time_point now = time_.now();
    for (const auto& [vm, it] : previous) {
        const bool is_listed = peers_.count(vm) != 0;
        if (!is_listed && it.last_alive != time_point::min() && !is_silent(it, now)) {
            peer& kept = peers_[vm];
            kept = it;
            kept.revision = 0;
        }
    }
}

bool fleet_member::lacks_own_entry() const {
    const auto known = peers_.find(settings_.vm);
    return known == peers_.end() || known->second.incarnation < self_->incarnation ||
           known->second.revision == 0 || known->second.gone_since;
}

void fleet_member::write_own_entry() {
    if (own_write_in_flight_) {
        return;
    }
    own_write_in_flight_ = true;
    const auto known = peers_.find(settings_.vm);
    telemetry::log_event(severity::warning, "registers_again",
                         {{"vm", settings_.vm}, {"incarnation", self_->incarnation}});
    put_entry(known == peers_.end() ? 0 : known->second.revision, self_->incarnation,
              [this](const write_result& it) {
                  own_write_in_flight_ = false;
                  if (const auto* done = std::get_if<gateway::write_done>(&it)) {
                      on_object(done->object);
                  }
                  const auto* conflict = std::get_if<gateway::write_conflict>(&it);
                  if (conflict != nullptr && conflict->current) {
                      on_object(*conflict->current);
                      peers_[settings_.vm].revision = conflict->current->revision;
                  }
                  if (lacks_own_entry()) {
                      retry_later(&fleet_member::write_own_entry_if_missing);
                  }
              });
}

void fleet_member::write_own_entry_if_missing() {
    if (self_ && lacks_own_entry()) {
        write_own_entry();
    }
}

void fleet_member::put_entry(gateway::store_revision revision, incarnation_number incarnation,
                             std::function<void(const write_result&)> done) {
    const json contents =
        entry_contents(settings_.address, settings_.zone, settings_.region, incarnation);
    if (revision == 0) {
        store_.create(vms_kind, settings_.vm.str(), contents.dump(), std::move(done));
    } else {
        store_.replace(vms_kind, settings_.vm.str(), revision, contents.dump(), std::move(done));
    }
}

void fleet_member::on_object(const gateway::stored_object& it) {
    const json in = parse_contents(it);
    const bool is_readable = in.is_object() && in.contains("address") &&
                             in["address"].is_string() && in.contains("incarnation") &&
                             in["incarnation"].is_number_unsigned();
    if (!is_readable) {
        telemetry::log_event(severity::warning, "vm_entry_unreadable", {{"vm", it.name}});
        return;
    }
    unlisted_addresses_.erase(vm_id(it.name));
    peer& known = peers_[vm_id(it.name)];
    known.address = in["address"].get<std::string>();
    known.zone = zone_id(text_field(in, "zone"));
    known.region = region_id(text_field(in, "region"));
    const auto incarnation = in["incarnation"].get<incarnation_number>();
    if (incarnation > known.incarnation) {
        known.incarnation = incarnation;
        known.leaving = false;
    }
    known.revision = it.revision;
    const auto gone = in.find(gone_field);
    if (gone == in.end() || !gone->is_boolean() || !gone->get<bool>()) {
        if (known.gone_since) {
            known.confirmed_at = time_.now();
        }
        known.gone_since.reset();
    } else if (!known.gone_since) {
        known.gone_since = time_.now();
        telemetry::log_event(severity::info, "vm_marked_gone",
                             {{"vm", it.name},
                              {"incarnation", known.incarnation},
                              {"silent", time_.now() - last_heard(known)}});
    }
    if (detector_) {
        detector_->on_incarnation_seen({vm_id(it.name), incarnation}, time_.now());
    }
}

void fleet_member::on_removed(const std::string& name) {
    peers_.erase(vm_id(name));
}

routing::peer_distance fleet_member::distance_of(const peer& it) const {
    return it.region == settings_.region ? routing::peer_distance::near
                                         : routing::peer_distance::far;
}

void fleet_member::update_schedule() {
    const auto near_count = std::count_if(peers_.begin(), peers_.end(), [this](const auto& it) {
        return distance_of(it.second) == routing::peer_distance::near;
    });
    schedule_.set_fleet(static_cast<std::size_t>(near_count), peers_.size());
}

duration fleet_member::lifetime_of(const vm_id& vm, duration minimum) const {
    const auto known = peers_.find(vm);
    const auto distance =
        known == peers_.end() ? routing::peer_distance::far : distance_of(known->second);
    return schedule_.lifetime(distance, minimum);
}

void fleet_member::update_failure_detector() {
    ++change_count_;
    update_schedule();
    if (!detector_) {
        return;
    }
    std::vector<object_api::vm_entry> list;
    for (const auto& [vm, it] : peers_) {
        list.push_back({vm, it.zone, it.region, it.address, object_api::vm_state::live});
    }
    if (peers_.count(settings_.vm) == 0) {
        // A restored store lacks this VM's entry until it is written again.
        list.push_back({settings_.vm, settings_.zone, settings_.region, settings_.address,
                        object_api::vm_state::live});
    }
    detector_->on_list(list, time_.now());
    for (const auto& it : peers_) {
        detector_->set_suspicion_timeout(it.first,
                                         lifetime_of(it.first, settings_.suspicion_timeout));
    }
}

void fleet_member::register_self() {
    const auto known = peers_.find(settings_.vm);
    // A store that came back from a copy may lack the entry of this VM's last start.
    const incarnation_number lowest = gateway::era_of(list_revision_) << incarnations_of_era_bits;
    const incarnation_number next = known == peers_.end() ? 1 : known->second.incarnation + 1;
    const incarnation_number incarnation = std::max(lowest, next);
    put_entry(known == peers_.end() ? 0 : known->second.revision, incarnation,
              [this, incarnation](const write_result& it) { on_registered(it, incarnation); });
}

void fleet_member::on_registered(const write_result& result, incarnation_number incarnation) {
    if (const auto* done = std::get_if<gateway::write_done>(&result)) {
        self_ = vm_incarnation{settings_.vm, incarnation};
        ownership::failure_detector_settings limits;
        limits.suspicion_timeout = settings_.suspicion_timeout;
        detector_.emplace(*self_, limits);
        telemetry::log_event(severity::info, "registered",
                             {{"vm", settings_.vm}, {"incarnation", incarnation}});
        if (!done->object.name.empty()) {
            on_object(done->object);
        }
        update_failure_detector();
        return;
    }
    if (const auto* it = std::get_if<gateway::write_conflict>(&result)) {
        if (it->current) {
            on_object(*it->current);
        }
    }
    // After an unknown outcome, the next attempt reads the entry with its incarnation incremented.
    retry_later(&fleet_member::register_if_needed);
}

void fleet_member::retry_later(void (fleet_member::*step)()) {
    retry_timer_.expires_after(retry_delay);
    retry_timer_.async_wait([this, step](const boost::system::error_code& ec) {
        if (!ec) {
            (this->*step)();
        }
    });
}

void fleet_member::register_if_needed() {
    if (!self_) {
        register_self();
    }
}

void fleet_member::read_secret() {
    store_.list(secrets_kind, [this](const gateway::list_result& result) {
        const auto* list = std::get_if<gateway::object_list>(&result);
        const bool is_stored = list != nullptr && take_secret(*list);
        if (list != nullptr && !is_stored) {
            create_secret();
        }
        if (!is_stored) {
            secret_timer_.expires_after(retry_delay);
            secret_timer_.async_wait([this](const boost::system::error_code& ec) {
                if (!ec) {
                    read_secret();
                }
            });
        }
    });
}

bool fleet_member::take_secret(const gateway::object_list& list) {
    for (const gateway::stored_object& it : list.objects) {
        const json in = parse_contents(it);
        if (it.name == hints_secret && in.is_object()) {
            socket_.set_secret(text_field(in, "secret"));
            return socket_.has_secret();
        }
    }
    return false;
}

void fleet_member::create_secret() {
    // Where a restored copy of the store lacks the secret, the one in use is kept.
    const json contents = {
        {"secret", socket_.has_secret() ? socket_.secret() : random_hex(secret_bytes)}};
    // If another VM creates the secret first, this one reads it with the next attempt.
    store_.create(secrets_kind, hints_secret, contents.dump(),
                  [this, contents](const write_result& it) {
                      if (std::holds_alternative<gateway::write_done>(it)) {
                          secret_timer_.cancel();
                          socket_.set_secret(contents["secret"].get<std::string>());
                      }
                  });
}

void fleet_member::on_unlisted_hint(const routing::hint_message& it,
                                    const std::string& sender_address) {
    const bool is_about_adapters = std::holds_alternative<routing::load_request>(it.body) ||
                                   std::holds_alternative<routing::adapter_usage>(it.body) ||
                                   std::holds_alternative<routing::adapter_hint>(it.body);
    if (!is_about_adapters) {
        return;
    }
    if (unlisted_addresses_.size() >= max_unlisted_vms) {
        unlisted_addresses_.clear();
    }
    unlisted_addresses_[it.from.vm] = sender_address;
    on_hint_(it);
}

void fleet_member::on_hint(const routing::hint_message& it, const std::string& sender_address) {
    const auto known = peers_.find(it.from.vm);
    if (known == peers_.end() && it.from.vm != settings_.vm) {
        on_unlisted_hint(it, sender_address);
        return;
    }
    if (it.from.vm == settings_.vm || it.from.incarnation < known->second.incarnation) {
        return;
    }
    known->second.last_alive = time_.now();
    if (detector_) {
        detector_->on_alive(it.from, time_.now());
    }
    if (const auto* status = std::get_if<routing::vm_status>(&it.body)) {
        known->second.leaving = status->leaving;
        if (status->leaving && detector_) {
            detector_->on_leaving(it.from, time_.now());
        }
    }
    on_hint_(it);
}

bool fleet_member::send(const vm_id& to, const routing::hint& it) {
    const auto known = peers_.find(to);
    const auto unlisted = unlisted_addresses_.find(to);
    const bool is_known = known != peers_.end() || unlisted != unlisted_addresses_.end();
    if (!is_known || !self_ || !socket_.has_secret()) {
        return false;
    }
    const std::string& address = known != peers_.end() ? known->second.address : unlisted->second;
    socket_.send(address, socket_.seal({*self_, it}));
    return true;
}

bool fleet_member::is_silent(const peer& it, time_point now) const {
    // A VM that never sent a hint may not have seen this VM's entry yet.
    return now - last_heard(it) >
           schedule_.lifetime(distance_of(it), settings_.serving_timeout) * 3;
}

void fleet_member::broadcast(const routing::hint& it) {
    send_where(it, [](const peer&) { return true; });
    if (std::holds_alternative<routing::adapter_hint>(it)) {
        // VMs that the list lacks may have asked for the adapter.
        for (const auto& [vm, address] : unlisted_addresses_) {
            if (peers_.count(vm) == 0) {
                send(vm, it);
            }
        }
    }
}

void fleet_member::send_status(const routing::vm_status& it) {
    const time_point now = time_.now();
    send_where(it, [&](peer& to) {
        if (now < to.next_status) {
            return false;
        }
        to.next_status = now + schedule_.interval(distance_of(to)) - timer_tolerance;
        return true;
    });
}

void fleet_member::send_status_nearby(const routing::vm_status& it) {
    const duration near_interval = schedule_.interval(routing::peer_distance::near);
    send_where(it, [&](peer& to) { return schedule_.interval(distance_of(to)) <= near_interval; });
}

void fleet_member::send_store_reports(const routing::store_reports& it) {
    send_where(it, [this](const peer& to) { return to.zone == settings_.zone; });
}

bool fleet_member::is_alive(const vm_id& vm, const peer& it, time_point now) const {
    return it.last_alive != time_point::min() &&
           now - it.last_alive < lifetime_of(vm, settings_.suspicion_timeout);
}

std::vector<routing::relay_candidate> fleet_member::relay_candidates(time_point now) const {
    std::vector<routing::relay_candidate> out;
    for (const auto& [vm, it] : peers_) {
        if (vm != settings_.vm && is_member(it, now)) {
            const bool is_fit = !it.leaving && is_alive(vm, it, now);
            out.push_back({vm, it.zone, it.region, it.address, is_fit});
        }
    }
    return out;
}

fleet_member::zone_rank fleet_member::rank_in_zone(time_point now) const {
    const auto order_of = [](const vm_id& vm) { return stable_hash("zone-rank|" + vm.str()); };
    const std::uint64_t own = order_of(settings_.vm);
    zone_rank out;
    for (const auto& [vm, it] : peers_) {
        const bool is_ranked =
            vm != settings_.vm && it.zone == settings_.zone && !it.leaving && is_alive(vm, it, now);
        if (!is_ranked) {
            continue;
        }
        ++out.vms;
        out.rank += order_of(vm) < own ? 1 : 0;
    }
    return out;
}

template <typename Predicate>
void fleet_member::send_where(const routing::hint& it, Predicate is_recipient) {
    if (!self_ || !socket_.has_secret()) {
        return;
    }
    const std::string datagram = socket_.seal({*self_, it});
    const time_point now = time_.now();
    for (auto& [vm, peer] : peers_) {
        // A member that is silent may be cut off; it has to be heard again once the cut ends.
        const bool is_reachable = !is_silent(peer, now) || is_member(peer, now);
        if (vm != settings_.vm && is_reachable && is_recipient(peer)) {
            socket_.send(peer.address, datagram);
        }
    }
}

time_point fleet_member::last_heard(const peer& it) const {
    return it.last_alive != time_point::min() ? it.last_alive : started_;
}

bool fleet_member::is_silent_for_long(const peer& it, time_point now) const {
    return now - std::max(last_heard(it), it.confirmed_at) >
           schedule_.lifetime(distance_of(it), settings_.gone_timeout);
}

bool fleet_member::is_member(const peer& it, time_point now) const {
    const bool has_left =
        it.leaving &&
        now - last_heard(it) > schedule_.lifetime(distance_of(it), settings_.suspicion_timeout);
    // A datagram that is read late must not keep a VM that is gone.
    const bool is_gone = it.gone_since && is_silent_for_long(it, now) &&
                         now - *it.gone_since >= settings_.gone_grace;
    return !has_left && !is_gone;
}

std::vector<vm_id> fleet_member::members(time_point now) const {
    std::vector<vm_id> out{settings_.vm};
    for (const auto& [vm, it] : peers_) {
        if (vm != settings_.vm && is_member(it, now)) {
            out.push_back(vm);
        }
    }
    return out;
}

duration fleet_member::status_interval(const vm_id& vm) const {
    const auto known = peers_.find(vm);
    return schedule_.interval(known == peers_.end() ? routing::peer_distance::far
                                                    : distance_of(known->second));
}

std::size_t fleet_member::silent_members(time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [&](const auto& it) {
            return it.first != settings_.vm && is_member(it.second, now) &&
                   is_silent_for_long(it.second, now);
        }));
}

bool fleet_member::may_be_marked_gone(duration store_age) const {
    const time_point now = time_.now();
    return store_age > max_store_age && silent_members(now) * 2 > members(now).size();
}

void fleet_member::mark_gone_vms() {
    const time_point now = time_.now();
    const bool hears_most = silent_members(now) * 2 < members(now).size();
    if (!self_ || !hears_most) {
        return;
    }
    const std::vector<vm_id> heard = serving(now);
    std::vector<vm_id> silent;
    for (const auto& [vm, it] : peers_) {
        // One VM writes; another one takes its place if that is silent, too.
        const bool is_due = vm != settings_.vm && is_silent_for_long(it, now) && !it.gone_since &&
                            !it.mark_in_flight && it.revision != 0 &&
                            routing::rendezvous_first(vm.str(), heard) == settings_.vm;
        if (is_due) {
            silent.push_back(vm);
        }
    }
    for (const vm_id& vm : silent) {
        mark_gone(vm);
    }
}

void fleet_member::mark_gone(const vm_id& vm) {
    peer& it = peers_[vm];
    it.mark_in_flight = true;
    json contents = entry_contents(it.address, it.zone, it.region, it.incarnation);
    contents[gone_field] = true;
    store_.replace(vms_kind, vm.str(), it.revision, contents.dump(),
                   [this, vm](const write_result& result) {
                       const auto known = peers_.find(vm);
                       if (known == peers_.end()) {
                           return;
                       }
                       known->second.mark_in_flight = false;
                       const auto* conflict = std::get_if<gateway::write_conflict>(&result);
                       if (const auto* done = std::get_if<gateway::write_done>(&result)) {
                           if (!done->object.name.empty()) {
                               on_object(done->object);
                           }
                       } else if (conflict != nullptr && conflict->current) {
                           on_object(*conflict->current);
                       }
                   });
}

std::set<vm_id> fleet_member::vms_in(const zone_id& zone) const {
    std::set<vm_id> out;
    for (const auto& [vm, it] : peers_) {
        if (it.zone == zone) {
            out.insert(vm);
        }
    }
    return out;
}

std::vector<vm_id> fleet_member::serving(time_point now) const {
    std::vector<vm_id> out{settings_.vm};
    for (const auto& [vm, peer] : peers_) {
        const bool is_starting = now - started_ < settings_.serving_timeout;
        const bool is_alive = peer.last_alive != time_point::min() &&
                              now - peer.last_alive <
                                  schedule_.lifetime(distance_of(peer), settings_.serving_timeout);
        if (vm != settings_.vm && !peer.leaving && (is_alive || is_starting)) {
            out.push_back(vm);
        }
    }
    return out;
}

}  // namespace radishpulley::edge
