/// Tracks this daemon's requests that run on adapters, by engine, and what it reported of them to
/// the engines' holders.
///
/// A holder frees the slot of an unused adapter, so it must receive the report of a use before
/// that. Pure; not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "base/identifier.h"
#include "routing/hints.h"
#include "routing/request_attributes.h"

namespace radishpulley::routing {

/// Counts uses from the sending of a request to the end of its response.
class adapter_usage_tracker {
public:
    /// Records that a request was sent. Returns whether the engine's holder needs a report at once,
    /// because this adapter's use has not been reported.
    bool start(const endpoint_id& engine, const model_ref& adapter);
    void end(const endpoint_id& engine, const model_ref& adapter);

    /// Returns the adapters that requests are running on at the engine.
    std::vector<model_ref> running(const endpoint_id& engine) const;
    /// Returns the engines that are in use, or whose holders have not yet received the report that
    /// the use has ended.
    std::vector<endpoint_id> engines() const;

    /// Returns the report to send to the engine's holder now. If the engine is no longer in use,
    /// its record is dropped.
    adapter_usage take_report(const endpoint_id& engine);
    /// Clears what was reported: this daemon has become the engine's holder.
    void forget_reported(const endpoint_id& engine);

private:
    struct engine_usage {
        std::vector<model_ref> sent;
        std::map<model_ref, std::size_t> running;
        std::set<model_ref> reported;
    };

    static std::vector<model_ref> running_list(const engine_usage& it);

    std::map<endpoint_id, engine_usage> usage_;
};

}  // namespace radishpulley::routing
