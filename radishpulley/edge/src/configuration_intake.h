/// Decodes the configurations that arrive and passes each newer one on.
#pragma once

#include <functional>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "base/clock.h"
#include "configuration_lag.h"
#include "gateway/object_collections.h"
#include "paced_call.h"
#include "routing/configuration.h"
#include "telemetry/metrics.h"

namespace radishpulley::edge {

/// All member functions run on the loop's thread.
class configuration_intake {
public:
    using handler = std::function<void(const routing::configuration_ptr&)>;

    configuration_intake(boost::asio::io_context& loop, const clock& time,
                         telemetry::registry& metrics, handler put_in_force);

    /// An object of the configuration's collection has arrived. In a storm of changes, not every
    /// one is decoded.
    void on_object(const gateway::stored_object& it);
    /// Decodes what has arrived now.
    void finish_pause() { decoding_.finish_pause(); }
    /// Another VM has stated the version of its configuration.
    void on_peer_version(std::uint64_t version) { lag_.on_heard(version, time_.now()); }
    /// Time for which a newer version than the one in force is known.
    duration lag() const { return lag_.lag(time_.now()); }

private:
    void decode();
    void put_in_force(const routing::configuration_ptr& next, const gateway::stored_object& from,
                      time_point began);

    const clock& time_;
    handler put_in_force_;
    std::optional<std::uint64_t> version_;
    /// The newest object that arrived, until it is decoded.
    std::optional<gateway::stored_object> arrived_;
    configuration_lag lag_;
    telemetry::histogram& lags_;
    paced_call decoding_;
};

}  // namespace radishpulley::edge
