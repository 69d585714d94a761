/// Follows the operator's evacuations of availability zones in the store and applies them to the
/// data path.
#pragma once

#include <functional>
#include <map>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "base/clock.h"
#include "base/identifier.h"
#include "gateway/collection_follower.h"
#include "gateway/gateway.h"

namespace radishpulley::edge {

/// Follows the evacuations if the settings bound the time in which they have to be in force.
class evacuation_follower {
public:
    /// `on_confirmed` is called whenever the store itself confirmed the copy.
    evacuation_follower(boost::asio::io_context& loop, const clock& time,
                        gateway::object_collections& store, gateway::gateway& data_path,
                        std::function<void()> on_confirmed);

    /// Sets the time from the acknowledgement of an evacuation until it has to be in force, and
    /// starts following at the first call with one. A call without one changes nothing: following
    /// does not end before a restart.
    void set_bound(std::optional<duration> bound);
    /// Sets the zones of the deployment. Evacuations of other zones are applied too, but logged as
    /// unknown.
    void set_zones(std::map<zone_id, region_id> zones) { zones_ = std::move(zones); }
    /// Whether requests may be served: the evacuations are known, or there is no bound.
    bool is_ready() const { return !is_started_ || follower_.has_list(); }
    /// Starts another watch, because responses of the store may have been lost.
    void renew();
    /// Returns the follower, or null where evacuations are not followed.
    gateway::collection_follower* follower() { return is_started_ ? &follower_ : nullptr; }

private:
    void on_list(const gateway::object_list& it);
    void on_change(const gateway::object_change& it);
    void log(const zone_id& zone, bool begun) const;

    gateway::gateway& data_path_;
    std::map<zone_id, region_id> zones_;
    bool is_started_ = false;
    gateway::collection_follower follower_;
};

}  // namespace radishpulley::edge
