#include "stream_keepers.h"

#include <algorithm>
#include <map>

#include "routing/rendezvous.h"

namespace radishpulley::edge {
namespace {

// Number of VMs that remember a stream besides the one that relays it. All of them and that one
// have to fail for it to be forgotten.
constexpr std::size_t keeper_count = 3;
// Delay that coalesces announcements of several streams.
constexpr std::chrono::milliseconds announcement_delay{20};
// Streams in one message, so that it fits into a datagram.
constexpr std::size_t max_streams_per_message = 500;

}  // namespace

stream_keepers::stream_keepers(boost::asio::io_context& loop, const vm_id& self,
                               fleet_member& fleet, gateway::gateway& data_path)
    : self_(self),
      fleet_(fleet),
      data_path_(data_path),
      announcement_(loop, announcement_delay, [this] { announce(); }) {}

std::vector<vm_id> stream_keepers::keepers_of(routing::stream_key stream) const {
    std::vector<vm_id> out;
    for (const vm_id& vm :
         routing::rendezvous_top(std::to_string(stream), serving_, keeper_count)) {
        if (vm != self_) {
            out.push_back(vm);
        }
    }
    return out;
}

void stream_keepers::announce() {
    std::map<vm_id, std::vector<routing::stream_group>> messages;
    for (const routing::stream_group& group : data_path_.take_unannounced_streams()) {
        std::map<vm_id, routing::stream_group> parts;
        for (const routing::stream_key stream : group.streams) {
            for (const vm_id& vm : keepers_of(stream)) {
                routing::stream_group& part = parts[vm];
                part.at = group.at;
                part.streams.push_back(stream);
                if (part.streams.size() == max_streams_per_message) {
                    fleet_.send(vm, routing::stream_announcement{{std::move(part)}});
                    part = {};
                }
            }
        }
        for (auto& [vm, part] : parts) {
            if (!part.streams.empty()) {
                messages[vm].push_back(std::move(part));
            }
        }
    }
    for (auto& [vm, groups] : messages) {
        fleet_.send(vm, routing::stream_announcement{std::move(groups)});
    }
}

std::size_t stream_keepers::ask(routing::stream_key stream) {
    std::size_t asked = 0;
    for (const vm_id& vm : keepers_of(stream)) {
        asked += fleet_.send(vm, routing::stream_query{stream}) ? 1 : 0;
    }
    return asked;
}

void stream_keepers::on_hint(const routing::stream_announcement& it) {
    for (const routing::stream_group& group : it.groups) {
        data_path_.on_streams_announced(group);
    }
}

void stream_keepers::on_hint(const vm_id& from, const routing::stream_query& it) {
    fleet_.send(from, routing::stream_reply{it.stream, data_path_.origin_of(it.stream)});
}

void stream_keepers::on_hint(const routing::stream_reply& it) {
    data_path_.on_stream_origin(it.stream, it.began_at);
}

}  // namespace radishpulley::edge
