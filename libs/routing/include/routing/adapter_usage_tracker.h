/// Requests of this daemon that run on adapters, by engine, and what the engines' holders were told
/// of them.
///
/// A holder frees the place of an adapter that nobody uses, so it must know of a use before that.
/// Pure; not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "base/identifier.h"
#include "routing/hints.h"
#include "routing/request_attributes.h"

namespace radishpulley::routing {

/// Counts uses from a request's sending to the end of its answer.
class adapter_usage_tracker {
public:
    /// A request was sent. Returns whether the engine's holder has to be told at once, because it
    /// does not know of this adapter's use.
    bool start(const endpoint_id& engine, const model_ref& adapter);
    void end(const endpoint_id& engine, const model_ref& adapter);

    /// Adapters that requests run on at the engine.
    std::vector<model_ref> running(const endpoint_id& engine) const;
    /// Engines with uses, or whose holders have to be told that these have ended.
    std::vector<endpoint_id> engines() const;

    /// Takes what a holder is to be told now. An engine without uses is forgotten with it.
    adapter_usage take_report(const endpoint_id& engine);
    /// Forgets what was told: this daemon holds the engine itself.
    void forget_reported(const endpoint_id& engine);

private:
    struct uses {
        std::vector<model_ref> sent;
        std::map<model_ref, std::size_t> running;
        std::set<model_ref> told;
    };

    static std::vector<model_ref> running_list(const uses& it);

    std::map<endpoint_id, uses> uses_;
};

}  // namespace radishpulley::routing
