#include "stream_keepers.h"

#include <algorithm>
#include <map>
#include <utility>

#include "routing/rendezvous.h"

namespace radishpulley::edge {
namespace {

// Number of VMs that remember a stream besides the one that relays it. All of them and that one
// have to fail for it to be forgotten.
constexpr std::size_t keeper_count = 3;
// Number of those that write to the archive.
constexpr std::size_t writer_count = 2;
// Number of VMs whose streams one shard takes.
constexpr std::size_t vms_per_shard = 32;
// Delay that coalesces announcements of several streams.
constexpr std::chrono::milliseconds announcement_delay{20};
// Streams in one message, so that it fits into a datagram.
constexpr std::size_t max_streams_per_message = 500;
// Queries beyond it are dropped; VMs that get no reply ask again.
constexpr std::size_t max_held_queries = 10'000;

}  // namespace

stream_keepers::stream_keepers(boost::asio::io_context& loop, const vm_id& self,
                               fleet_member& fleet, gateway::gateway& data_path,
                               stream_archive& archive)
    : self_(self),
      fleet_(fleet),
      data_path_(data_path),
      archive_(archive),
      announcement_(loop, announcement_delay, [this] { announce(); }) {
    set_serving({self});
    archive_.set_on_settled([this] { reply_to_held_queries(); });
}

void stream_keepers::set_serving(const std::vector<vm_id>& vms) {
    knows_members_ = knows_members_ || fleet_.self().has_value();
    const std::size_t count = 1 + vms.size() / vms_per_shard;
    shards_.clear();
    for (std::size_t shard = 0; shard < count; ++shard) {
        shards_.push_back(
            routing::rendezvous_top("streams|" + std::to_string(shard), vms, keeper_count));
    }
    archive_.set_writers(count * writer_count);
}

const std::vector<vm_id>& stream_keepers::keepers_of(routing::stream_key stream) const {
    return shards_[stream % shards_.size()];
}

void stream_keepers::archive(const routing::stream_group& it) {
    // Such streams are announced because the store is out of reach.
    if (data_path_.are_endpoints_old() && !data_path_.is_ambiguous(it.at.service)) {
        return;
    }
    routing::stream_group own{it.at, {}};
    for (const routing::stream_key stream : it.streams) {
        const std::vector<vm_id>& keepers = keepers_of(stream);
        const auto writers_end =
            keepers.begin() + static_cast<std::ptrdiff_t>(std::min(writer_count, keepers.size()));
        if (std::find(keepers.begin(), writers_end, self_) != writers_end) {
            own.streams.push_back(stream);
        }
    }
    if (!own.streams.empty()) {
        archive_.add(own);
    }
}

void stream_keepers::announce() {
    for (const routing::stream_group& group : data_path_.take_unannounced_streams()) {
        archive(group);
        std::map<vm_id, routing::stream_group> parts;
        for (const routing::stream_key stream : group.streams) {
            for (const vm_id& vm : keepers_of(stream)) {
                if (vm == self_) {
                    continue;
                }
                routing::stream_group& part = parts[vm];
                part.at = group.at;
                part.streams.push_back(stream);
                if (part.streams.size() == max_streams_per_message) {
                    fleet_.send(vm, routing::stream_announcement{{part}});
                    part.streams.clear();
                }
            }
        }
        for (const auto& [vm, part] : parts) {
            if (!part.streams.empty()) {
                fleet_.send(vm, routing::stream_announcement{{part}});
            }
        }
    }
}

std::size_t stream_keepers::ask(routing::stream_key stream) {
    std::size_t asked = 0;
    for (const vm_id& vm : keepers_of(stream)) {
        const bool is_asked = vm != self_ && fleet_.send(vm, routing::stream_query{stream});
        asked += is_asked ? 1 : 0;
    }
    return asked;
}

gateway::origin_knowledge stream_keepers::knowledge() const {
    if (archive_.is_unavailable()) {
        return gateway::origin_knowledge::unavailable;
    }
    return archive_.is_read() && knows_members_ ? gateway::origin_knowledge::complete
                                                : gateway::origin_knowledge::incomplete;
}

void stream_keepers::on_hint(const routing::stream_announcement& it) {
    for (const routing::stream_group& group : it.groups) {
        data_path_.on_streams_announced(group);
        archive(group);
    }
}

void stream_keepers::on_hint(const vm_id& from, const routing::stream_query& it) {
    const bool is_reading = !archive_.is_read() && !archive_.is_unavailable();
    if (!is_reading || data_path_.origin_of(it.stream)) {
        reply(from, it.stream);
    } else if (held_queries_.size() < max_held_queries) {
        held_queries_.emplace(from, it.stream);
    }
}

void stream_keepers::reply(const vm_id& to, routing::stream_key stream) {
    fleet_.send(to, routing::stream_reply{stream, data_path_.origin_of(stream)});
}

void stream_keepers::reply_to_held_queries() {
    for (const auto& [vm, stream] : std::exchange(held_queries_, {})) {
        reply(vm, stream);
    }
}

void stream_keepers::on_hint(const routing::stream_reply& it) {
    data_path_.on_stream_origin(it.stream, it.began_at);
}

}  // namespace radishpulley::edge
