/// Keeps copies of where streams began at other VMs and in the store, so that it is known after the
/// VM has failed that relayed them, or all have.
#pragma once

#include <set>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "delayed_call.h"
#include "edge/fleet_member.h"
#include "gateway/gateway.h"
#include "routing/hints.h"
#include "stream_archive.h"

namespace radishpulley::edge {

/// Announces the streams that began here to a few VMs each, their keepers, and asks the keepers of
/// streams that began elsewhere.
///
/// The keepers of a stream are the first serving VMs in the rendezvous order of its shard, which
/// all VMs compute alike; the number of shards grows with that of VMs. The first keepers write to
/// the archive.
class stream_keepers final : public gateway::stream_peers {
public:
    stream_keepers(boost::asio::io_context& loop, const vm_id& self, fleet_member& fleet,
                   gateway::gateway& data_path, stream_archive& archive);

    /// Sets the VMs that serve callers, including this one.
    void set_serving(const std::vector<vm_id>& vms);
    void on_hint(const routing::stream_announcement& it);
    void on_hint(const vm_id& from, const routing::stream_query& it);
    void on_hint(const routing::stream_reply& it);

    std::size_t ask(routing::stream_key stream) override;
    gateway::origin_knowledge knowledge() const override;
    void announce_soon() override { announcement_.request(); }

private:
    void announce();
    /// Returns the keepers of a stream, with this VM if it is one, the first first.
    const std::vector<vm_id>& keepers_of(routing::stream_key stream) const;
    void reply(const vm_id& to, routing::stream_key stream);
    /// Replies to the VMs that asked before the archive was read.
    void reply_to_held_queries();
    /// Archives those streams that this VM has to.
    void archive(const routing::stream_group& it);

    vm_id self_;
    fleet_member& fleet_;
    gateway::gateway& data_path_;
    stream_archive& archive_;
    /// The keepers of each shard; never empty.
    std::vector<std::vector<vm_id>> shards_;
    /// Whether the VMs that serve were set after this one had joined them.
    bool knows_members_ = false;
    /// Queries for streams that this VM may still find in the archive.
    std::set<std::pair<vm_id, routing::stream_key>> held_queries_;
    delayed_call announcement_;
};

}  // namespace radishpulley::edge
