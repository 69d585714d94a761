#include "daemon/caller_server.h"

#include <utility>

#include "daemon/request_session.h"
#include "details/responses.h"
#include "requests/shutdown_sequence.h"

namespace radishpulley::daemon {
namespace {

using requests::error_code;
using requests::request_error;
using requests::run_state;

}  // namespace

caller_server::caller_server(const std::string& address, http::server_limits limits,
                             http::tls_files tls, services& with, service_state& state)
    : services_(with),
      state_(state),
      server_(
          address, [this](http::request it, const auto& answer) { take(std::move(it), answer); },
          limits, std::move(tls)) {}

request_id caller_server::next_id() {
    return request_id(services_.self.vm.str() + "-" + std::to_string(services_.self.incarnation) +
                      "-" + std::to_string(++last_id_));
}

void caller_server::take(http::request it, const std::shared_ptr<http::responder>& answer) {
    if (const auto health = detail::health_response(it.path(), state_)) {
        answer->send(*health);
        return;
    }
    const request_id id = next_id();
    if (!state_.accepts_new) {
        answer->send(
            detail::error_response({error_code::shutting_down, run_state::not_run, id,
                                    "this VM is shutting down", requests::shutdown_retry_after}));
        return;
    }
    caller_call call = parse_call(it, services_.fleet.view()->value());
    if (const auto* error = std::get_if<call_error>(&call)) {
        services_.metrics.count_refusal(client_account_id(), requests::name_of(error->code),
                                        requests::name_of(run_state::not_run));
        answer->send(
            detail::error_response({error->code, run_state::not_run, id, error->message, {}}));
        return;
    }
    if (std::holds_alternative<list_models_call>(call)) {
        list_models(it, *answer, id);
        return;
    }
    std::make_shared<request_session>(services_, id, std::move(it), std::move(call), answer)
        ->start();
}

void caller_server::list_models(const http::request& it, http::responder& answer,
                                const request_id& id) {
    if (std::holds_alternative<keys::refuse_keyed>(services_.fleet.serving())) {
        answer.send(
            detail::error_response({error_code::configuration_stale, run_state::not_run, id,
                                    "this VM cannot tell whether its copy of the keys is current",
                                    requests::shutdown_retry_after}));
        return;
    }
    const auto view = services_.fleet.view();
    const auto result = view->keys.authenticate(bearer_token(it).value_or(""));
    const auto* who = std::get_if<keys::authenticated>(&result);
    if (who == nullptr) {
        answer.send(detail::error_response({error_code::unauthenticated,
                                            run_state::not_run,
                                            id,
                                            "the Authorization header holds no valid key",
                                            {}}));
        return;
    }
    answer.send(http::json_response(200, models_body(view->value(), who->account)));
}

}  // namespace radishpulley::daemon
