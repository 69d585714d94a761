#include "tickets/config_replica.h"

#include <algorithm>
#include <utility>

namespace radishpulley::tickets {
namespace {

// Copies of more shards than this come from a peer where there is one.
constexpr std::size_t max_shards_from_api = 4;

std::vector<std::size_t> changed_shards(const head& before, const head& after) {
    std::vector<std::size_t> changed;
    for (std::size_t i = 0; i < model::shard_count; ++i) {
        if (before.shards[i] != after.shards[i]) {
            changed.push_back(i);
        }
    }
    return changed;
}

// Applies a relayed ticket; nothing when the result is not what was committed.
std::optional<committed_configuration> apply_push(const committed_configuration& before,
                                                  const ticket_push& it) {
    try {
        committed_configuration after = apply(before, it.change);
        if (fingerprint(after.at) == it.fingerprint) {
            return after;
        }
    } catch (const invalid_input&) {
        return std::nullopt;
    }
    return std::nullopt;
}

std::shared_ptr<const model::shard> parse_or_null(const shard_name& name, const std::string& text) {
    try {
        return std::make_shared<const model::shard>(parse_verified(name, text));
    } catch (const invalid_input&) {
        return nullptr;
    }
}

}  // namespace

config_replica::config_replica(replica_settings settings) : settings_(settings) {}

std::vector<replica_action> config_replica::handle(const replica_event& event, time_point now) {
    actions out;
    std::visit([&](const auto& it) { on(it, now, out); }, event);
    return out;
}

void config_replica::on(const message_received& it, time_point now, actions& out) {
    std::visit([&](const auto& message) { on_message(it.from, message, now, out); }, it.message);
}

void config_replica::on(const number_seen& it, time_point now, actions& out) {
    newest_known_ = std::max(newest_known_, it.number);
    if (it.number > number() && !copy_) {
        ask_for_newer(it.from, now, out);
    }
}

void config_replica::on(const head_read& it, time_point now, actions& out) {
    take_head(it.at, vm_id(), now, out);
}

void config_replica::on(const shard_read& it, time_point now, actions& out) {
    const bool failed = it.text.empty();
    take_shard(it.index, it.name, it.text, now, out);
    if (failed && copy_) {
        // The shard may be gone because a newer head replaced it.
        out.emplace_back(read_head{});
    }
}

void config_replica::on(const accepted_here& it, time_point now, actions& out) {
    (void)now;
    if (it.after.at.number <= number()) {
        return;
    }
    const ticket_push push{it.after.at.previous, it.change, fingerprint(it.after.at)};
    adopt(it.after, out);
    relay(push, vm_id(), out);
}

void config_replica::on(const peers_changed& it, time_point now, actions& out) {
    (void)now;
    for (const vm_id& vm : it.connected) {
        if (!has_peer(vm) && number() > 0) {
            out.emplace_back(send_message{vm, number_notice{number()}});
        }
    }
    peers_ = it.connected;
}

void config_replica::on(const tick& it, time_point now, actions& out) {
    (void)it;
    if (!copy_) {
        if (newest_known_ > number() && !peers_.empty()) {
            ask_for_newer(peers_[next_peer_++ % peers_.size()], now, out);
        } else if (newest_known_ > number()) {
            ask_for_newer(vm_id(), now, out);
        }
        return;
    }
    std::vector<std::uint32_t> late;
    for (const open_shard& open : copy_->open) {
        if (now - open.asked >= settings_.answer_deadline) {
            late.push_back(open.index);
        }
    }
    for (const std::uint32_t index : late) {
        retry_shard(index);
    }
    ask_shards(now, out);
}

void config_replica::on_message(const vm_id& from, const ticket_push& it, time_point now,
                                actions& out) {
    newest_known_ = std::max(newest_known_, it.change.number);
    if (it.change.number <= number()) {
        return;
    }
    if (it.previous != number()) {
        ask_for_newer(from, now, out);
        return;
    }
    std::optional<committed_configuration> next = apply_push(in_force_, it);
    if (!next) {
        out.emplace_back(read_head{});
        return;
    }
    adopt(std::move(*next), out);
    relay(it, from, out);
}

void config_replica::on_message(const vm_id& from, const catch_up_request& it, time_point now,
                                actions& out) {
    (void)now;
    if (it.have >= number()) {
        return;
    }
    const auto first = std::find_if(recent_.begin(), recent_.end(), [&](const ticket_push& push) {
        return push.previous == it.have;
    });
    if (first == recent_.end()) {
        out.emplace_back(send_message{from, head_reply{in_force_.at}});
        return;
    }
    for (auto push = first; push != recent_.end(); ++push) {
        out.emplace_back(send_message{from, *push});
    }
}

void config_replica::on_message(const vm_id& from, const head_reply& it, time_point now,
                                actions& out) {
    take_head(it.at, from, now, out);
}

void config_replica::on_message(const vm_id& from, const shard_request& it, time_point now,
                                actions& out) {
    (void)now;
    shard_reply reply{it.index, it.name, {}};
    if (it.index < model::shard_count && in_force_.at.shards[it.index] == it.name) {
        reply.text = model::to_text(*in_force_.value.shard_at(it.index));
    }
    out.emplace_back(send_message{from, std::move(reply)});
}

void config_replica::on_message(const vm_id& from, const shard_reply& it, time_point now,
                                actions& out) {
    (void)from;
    take_shard(it.index, it.name, it.text, now, out);
}

void config_replica::on_message(const vm_id& from, const number_notice& it, time_point now,
                                actions& out) {
    on(number_seen{from, it.number}, now, out);
}

bool config_replica::has_peer(const vm_id& vm) const {
    return std::find(peers_.begin(), peers_.end(), vm) != peers_.end();
}

void config_replica::ask_for_newer(const vm_id& peer, time_point now, actions& out) {
    if (asked_ && now - *asked_ < settings_.answer_deadline) {
        return;
    }
    asked_ = now;
    if (peer.empty()) {
        out.emplace_back(read_head{});
    } else {
        out.emplace_back(send_message{peer, catch_up_request{number()}});
    }
}

void config_replica::take_head(const head& target, const vm_id& source, time_point now,
                               actions& out) {
    newest_known_ = std::max(newest_known_, target.number);
    const model::ticket_number best = copy_ ? copy_->target.number : number();
    if (target.number <= best) {
        return;
    }
    copy next;
    next.target = target;
    next.source = source;
    for (std::uint32_t i = 0; i < model::shard_count; ++i) {
        if (target.shards[i] == in_force_.at.shards[i]) {
            next.shards[i] = in_force_.value.shard_at(i);
        } else if (copy_ && copy_->shards[i] && target.shards[i] == copy_->target.shards[i]) {
            next.shards[i] = copy_->shards[i];
        } else if (target.shards[i].digest.empty()) {
            next.shards[i] = std::make_shared<const model::shard>();
        } else {
            next.wanted.insert(i);
        }
    }
    if (source.empty() && next.wanted.size() > max_shards_from_api && !peers_.empty()) {
        next.source = peers_.front();
    }
    copy_ = std::move(next);
    ask_shards(now, out);
    finish_copy(out);
}

vm_id config_replica::peer_for(std::uint32_t index) const {
    if (copy_->source.empty() || peers_.empty() || copy_->from_api.count(index) != 0) {
        return vm_id();
    }
    return has_peer(copy_->source) ? copy_->source : peers_[index % peers_.size()];
}

void config_replica::ask_shards(time_point now, actions& out) {
    while (!copy_->wanted.empty() && copy_->open.size() < settings_.max_open_shards) {
        const std::uint32_t index = *copy_->wanted.begin();
        const shard_name& name = copy_->target.shards[index];
        const vm_id peer = peer_for(index);
        copy_->wanted.erase(index);
        copy_->open.push_back({index, now});
        if (peer.empty()) {
            out.emplace_back(read_shard{index, name});
        } else {
            out.emplace_back(send_message{peer, shard_request{index, name}});
        }
    }
}

void config_replica::retry_shard(std::uint32_t index) {
    auto& open = copy_->open;
    open.erase(std::remove_if(open.begin(), open.end(),
                              [&](const open_shard& it) { return it.index == index; }),
               open.end());
    copy_->wanted.insert(index);
    if (copy_->from_api.erase(index) == 0) {
        copy_->from_api.insert(index);
    } else if (copy_->source.empty() && !peers_.empty()) {
        copy_->source = peers_.front();
    }
}

void config_replica::take_shard(std::uint32_t index, const shard_name& name,
                                const std::string& text, time_point now, actions& out) {
    const bool fits = copy_ && index < model::shard_count && copy_->target.shards[index] == name;
    if (!fits || copy_->shards[index]) {
        return;
    }
    std::shared_ptr<const model::shard> held = parse_or_null(name, text);
    if (held == nullptr) {
        // A peer without the shard leads to the object API at once; the API is asked at a tick.
        if (!peer_for(index).empty()) {
            retry_shard(index);
            ask_shards(now, out);
        }
        return;
    }
    auto& open = copy_->open;
    open.erase(std::remove_if(open.begin(), open.end(),
                              [&](const open_shard& it) { return it.index == index; }),
               open.end());
    copy_->wanted.erase(index);
    copy_->shards[index] = std::move(held);
    ask_shards(now, out);
    finish_copy(out);
}

void config_replica::finish_copy(actions& out) {
    if (!copy_ || !copy_->wanted.empty() || !copy_->open.empty()) {
        return;
    }
    const copy done = std::move(*copy_);
    copy_.reset();
    if (done.target.number <= number()) {
        return;
    }
    adopt({done.target, model::configuration(done.target.number, done.shards)}, out);
    for (const vm_id& vm : peers_) {
        out.emplace_back(send_message{vm, number_notice{number()}});
    }
}

void config_replica::adopt(committed_configuration next, actions& out) {
    std::vector<std::size_t> changed = changed_shards(in_force_.at, next.at);
    in_force_ = std::move(next);
    newest_known_ = std::max(newest_known_, number());
    if (copy_ && copy_->target.number <= number()) {
        copy_.reset();
    }
    if (!recent_.empty() && recent_.back().change.number != in_force_.at.previous) {
        recent_.clear();
    }
    asked_.reset();
    out.emplace_back(put_in_force{in_force_, std::move(changed)});
}

void config_replica::relay(const ticket_push& it, const vm_id& except, actions& out) {
    const bool is_small = model::to_json(it.change).dump().size() <= settings_.max_push_size;
    if (is_small) {
        recent_.push_back(it);
    } else {
        recent_.clear();
    }
    if (recent_.size() > settings_.remembered_tickets) {
        recent_.pop_front();
    }
    for (const vm_id& vm : peers_) {
        if (vm == except) {
            continue;
        }
        if (is_small) {
            out.emplace_back(send_message{vm, it});
        } else {
            out.emplace_back(send_message{vm, number_notice{number()}});
        }
    }
}

}  // namespace radishpulley::tickets
