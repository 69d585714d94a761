#include "telemetry/request_metrics.h"

namespace radishpulley::telemetry {
namespace {

histogram_family* add_stage(registry& metrics, std::string_view name, std::string_view help) {
    return &metrics.add_histograms(name, help, {"account", "class"});
}

}  // namespace

request_metrics::request_metrics(registry& metrics)
    : stages_{add_stage(metrics, "first_token_seconds", "Time to the first token."),
              add_stage(metrics, "between_tokens_seconds", "Time from one token to the next."),
              add_stage(metrics, "queue_wait_seconds", "Time in the queue."),
              add_stage(metrics, "load_stall_seconds", "Time waiting for an adapter to load."),
              add_stage(metrics, "request_seconds", "Time of the whole request.")},
      refusals_(metrics.add_counters("refusals_total", "Refused requests.",
                                     {"account", "cause", "outcome"})) {}

histogram& request_metrics::times(request_stage stage, const client_account_id& account,
                                  std::string_view request_class) {
    return stages_.at(static_cast<std::size_t>(stage))->with({account.str(), request_class});
}

void request_metrics::count_refusal(const client_account_id& account, std::string_view cause,
                                    std::string_view outcome) {
    refusals_.with({account.str(), cause, outcome}).add();
}

}  // namespace radishpulley::telemetry
