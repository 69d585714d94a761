// What endpoints and idempotency records answer, as events of a request.
#pragma once

#include "http/message.h"
#include "idempotency/once_guard.h"
#include "requests/events.h"

namespace radishpulley::daemon::detail {

// Returns the event for an answer's status and headers.
requests::events::response_head head_event(requests::attempt_number attempt,
                                           const http::response& from);

// Returns the refusal of a VM that cannot tell whether its keys are current.
requests::events::refused stale_refusal();

// Returns the event for a call that its idempotency record does not let run.
requests::events::record_refused refusal_event(idempotency::refusal it);

}  // namespace radishpulley::daemon::detail
