/// Tracks this daemon's requests that run on adapters, by engine, and what it reported of them to
/// the engines' holders.
///
/// A holder frees the slot of an unused adapter, so it must receive the report of a use before
/// that. Pure; not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/identifier.h"
#include "routing/adapter_use.h"
#include "routing/hints.h"
#include "routing/output_time_estimator.h"
#include "routing/request_attributes.h"

namespace radishpulley::routing {

/// Tracks uses from the sending of a request to the end of its response.
class adapter_usage_tracker {
public:
    /// Records that a request was sent. Returns whether the engine's holder needs a report at once,
    /// because this adapter's use has not been reported.
    bool start(const endpoint_id& engine, const model_ref& adapter, const adapter_use& use,
               time_point now);
    /// Records that a request's response ended, or that it broke off.
    void end(const endpoint_id& engine, const model_ref& adapter, request_number request,
             time_point now);

    /// Returns the adapters that requests are running on at the engine.
    std::vector<running_adapter> running(const endpoint_id& engine, time_point now) const;
    /// Returns the engines that are in use, or whose holders have not yet received the report that
    /// the use has ended.
    std::vector<endpoint_id> engines() const;

    /// Returns the report to send to the engine's holder now. If the engine is no longer in use,
    /// its record is dropped.
    adapter_usage take_report(const endpoint_id& engine, time_point now);
    /// Clears what was reported: this daemon has become the engine's holder.
    void forget_reported(const endpoint_id& engine);

private:
    struct running_use {
        std::uint32_t output_tokens = 0;
        time_point first_event_at{};
        /// When the use is expected to end, if known.
        std::optional<time_point> ends_at;
    };
    using uses_by_request = std::map<request_number, running_use>;
    struct engine_usage {
        std::vector<model_ref> sent;
        std::map<model_ref, uses_by_request> running;
        std::set<model_ref> reported;
    };

    std::optional<time_point> expected_end(const adapter_use& use, time_point now) const;
    static std::optional<duration> last_end(const uses_by_request& uses, time_point now);
    static std::vector<running_adapter> running_list(const engine_usage& it, time_point now);

    output_time_estimator output_times_;
    std::map<endpoint_id, engine_usage> usage_;
};

}  // namespace radishpulley::routing
