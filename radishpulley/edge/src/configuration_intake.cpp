#include "configuration_intake.h"

#include <memory>
#include <utility>

#include "base/findings.h"
#include "platform_adapter/decoders.h"
#include "telemetry/event_log.h"

namespace radishpulley::edge {
namespace {

using telemetry::severity;

}  // namespace

configuration_intake::configuration_intake(boost::asio::io_context& loop, const clock& time,
                                           telemetry::registry& metrics, handler put_in_force)
    : time_(time),
      put_in_force_(std::move(put_in_force)),
      lags_(metrics
                .add_histograms("configuration_lag_seconds",
                                "Time from hearing of a newer configuration to having it in force.",
                                {})
                .with({})),
      decoding_(loop, time, {}, [this] { decode(); }) {}

void configuration_intake::on_object(const gateway::stored_object& it) {
    if (it.name == platform_adapter::configuration_name) {
        arrived_ = it;
        decoding_.request();
    }
}

void configuration_intake::decode() {
    if (!arrived_) {
        return;
    }
    const gateway::stored_object it = *std::exchange(arrived_, std::nullopt);
    const time_point began = time_.now();
    try {
        auto content = platform_adapter::decode_configuration(it.contents);
        if (!version_ || content.version > *version_) {
            put_in_force(std::make_shared<routing::configuration>(std::move(content)), it, began);
        }
    } catch (const invalid_input& e) {
        telemetry::log_event(severity::error, "configuration_unreadable",
                             {{"revision", it.revision}, {"reason", std::string_view(e.what())}});
    }
}

void configuration_intake::put_in_force(const routing::configuration_ptr& next,
                                        const gateway::stored_object& from, time_point began) {
    const time_point now = time_.now();
    const duration lag = lag_.on_in_force(next->version(), now);
    lags_.record(lag);
    version_ = next->version();
    telemetry::log_event(severity::info, "configuration_in_force",
                         {{"version", next->version()},
                          {"revision", from.revision},
                          {"routes", next->routes().size()},
                          {"accounts", next->accounts().size()},
                          {"bytes", from.contents.size()},
                          {"decoded_in", now - began},
                          {"lag", lag}});
    put_in_force_(next);
}

}  // namespace radishpulley::edge
