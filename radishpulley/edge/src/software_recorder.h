/// Records in the store which software served lately, for VMs that start and so have not seen it.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "gateway/gateway.h"
#include "gateway/object_collections.h"
#include "routing/endpoint.h"

namespace radishpulley::edge {

/// Reads the record at the start, and keeps it in agreement with what this VM sees.
///
/// The record is one object, written when software appears or has been gone for long. A few VMs
/// write it, one after the other if the change is not in it yet; a wrong or missing record only
/// makes streams harder to resume.
class software_recorder {
public:
    software_recorder(boost::asio::io_context& loop, const clock& time,
                      gateway::object_collections& store, gateway::gateway& data_path,
                      const vm_id& self);

    void start();
    /// The store came back from an older copy, which may lack what was recorded.
    void on_store_restored();
    /// Reads or writes the record if that is due; `serving` are the VMs that serve callers,
    /// including this one.
    void update(const std::vector<vm_id>& serving);

private:
    using software_set = std::set<routing::software>;

    void read();
    void on_list(const gateway::object_list& it);
    void take(const gateway::stored_object& it);
    void read_later();
    /// Whether the record lacks software that serves, or has some that has been gone for long.
    bool is_outdated() const;
    software_set serving_software() const;
    software_set recent_software() const;
    void write();
    void on_written(const gateway::write_result& it);

    const clock& time_;
    gateway::object_collections& store_;
    gateway::gateway& data_path_;
    vm_id self_;
    boost::asio::steady_timer retry_timer_;
    bool is_read_ = false;
    bool is_call_in_flight_ = false;
    /// The record as this VM last read or wrote it, and its revision, 0 if there is none.
    software_set recorded_;
    gateway::store_revision revision_ = 0;
    /// Since when it is known to be outdated.
    std::optional<time_point> outdated_since_;
    /// Whether the record was read again since then.
    bool is_reread_ = false;
};

}  // namespace radishpulley::edge
