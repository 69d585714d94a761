#include "routing/stream_origins.h"

#include <map>
#include <utility>

#include "base/digest.h"

namespace radishpulley::routing {

stream_key stream_key_of(const client_account_id& account, const request_id& first) {
    return stable_hash(account.str() + "|" + first.str());
}

stream_origins::stream_origins(duration lifetime, std::size_t capacity)
    : lifetime_(lifetime), capacity_(capacity) {}

void stream_origins::note(stream_key stream, const software& at, time_point now) {
    records_[stream] = {&*software_.insert(at).first, now};
    notes_.push_back({stream, now});
    while (notes_.size() > capacity_) {
        drop_oldest();
    }
}

void stream_origins::on_begin(stream_key stream, const software& at, time_point now) {
    note(stream, at, now);
    unannounced_.push_back({stream, now});
}

void stream_origins::on_announced(const stream_group& it, time_point now) {
    for (const stream_key stream : it.streams) {
        note(stream, it.at, now);
    }
}

const software* stream_origins::find(stream_key stream) const {
    const auto found = records_.find(stream);
    return found == records_.end() ? nullptr : found->second.at;
}

std::vector<stream_group> stream_origins::take_unannounced(
    const std::function<bool(const software&)>& is_wanted) {
    std::map<software, std::vector<stream_key>> groups;
    std::map<const software*, bool> wanted;
    std::deque<noted_stream> kept;
    for (const noted_stream& it : unannounced_) {
        const software* at = find(it.stream);
        if (at == nullptr) {
            continue;
        }
        if (wanted.count(at) == 0) {
            wanted[at] = is_wanted(*at);
        }
        if (wanted[at]) {
            groups[*at].push_back(it.stream);
        } else {
            kept.push_back(it);
        }
    }
    unannounced_ = std::move(kept);
    std::vector<stream_group> out;
    for (auto& [at, streams] : groups) {
        out.push_back({at, std::move(streams)});
    }
    return out;
}

void stream_origins::drop_oldest() {
    const noted_stream oldest = notes_.front();
    notes_.pop_front();
    const auto found = records_.find(oldest.stream);
    if (found != records_.end() && found->second.noted == oldest.at) {
        records_.erase(found);
    }
}

void stream_origins::drop_expired(time_point now) {
    while (!notes_.empty() && now - notes_.front().at > lifetime_) {
        drop_oldest();
    }
    while (!unannounced_.empty() && now - unannounced_.front().at > lifetime_) {
        unannounced_.pop_front();
    }
}

software_history::software_history(duration retention) : retention_(retention) {}

void software_history::on_seen(const software& it, time_point now) {
    last_seen_[it] = now;
}

void software_history::on_record(const std::vector<software>& seen, time_point now) {
    knows_past_ = true;
    for (const software& it : seen) {
        last_seen_.try_emplace(it, now);
    }
}

std::vector<software> software_history::recent(const service_id& service, time_point now) const {
    std::vector<software> out;
    for (const auto& [it, seen] : last_seen_) {
        if (it.service == service && is_recent(seen, now)) {
            out.push_back(it);
        }
    }
    return out;
}

std::vector<software> software_history::recent(time_point now) const {
    std::vector<software> out;
    for (const auto& [it, seen] : last_seen_) {
        if (is_recent(seen, now)) {
            out.push_back(it);
        }
    }
    return out;
}

}  // namespace radishpulley::routing
