/// What every request of the daemon uses.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "daemon/application_pool.h"
#include "daemon/fleet_runtime.h"
#include "daemon/placement_runtime.h"
#include "daemon/quota_runtime.h"
#include "daemon/worker_pool.h"
#include "idempotency/once_guard.h"
#include "idempotency/record_epochs.h"
#include "requests/request_machine.h"
#include "requests/retry_budget.h"
#include "telemetry/request_metrics.h"

namespace radishpulley::daemon {

class request_session;

/// The sessions that run now. Lock order: its lock is taken after a session's.
class session_table {
public:
    void add(const std::shared_ptr<request_session>& it);
    void remove(const request_id& id);
    std::vector<std::shared_ptr<request_session>> list() const;
    std::size_t size() const;

private:
    mutable std::mutex mutex_;
    std::map<request_id, std::shared_ptr<request_session>> sessions_;
};

/// Retry budgets of all services of one daemon. Lock order: after a session's lock.
class retry_budgets {
public:
    retry_budgets(requests::retry_limits limits, std::uint64_t seed);
    void count_request(const service_id& service);
    std::optional<duration> try_spend(const service_id& service, const request_id& request,
                                      requests::attempt_number failed_attempt);

private:
    requests::retry_budget& budget_of(const service_id& service);

    const requests::retry_limits limits_;
    const std::uint64_t seed_;
    std::mutex mutex_;
    std::map<service_id, requests::retry_budget> budgets_;
};

/// References to the parts of one daemon; all of them live longer than its sessions.
struct services {
    const clock& time;
    vm_incarnation self;
    worker_pool& workers;
    fleet_runtime& fleet;
    quota_runtime& quota;
    placement_runtime& placement;
    application_pool& applications;
    idempotency::once_guard& records;
    idempotency::record_epochs& epochs;
    retry_budgets& retries;
    session_table& sessions;
    telemetry::request_metrics& metrics;
    requests::request_limits limits;
    duration request_timeout;
    /// Longest silence of an endpoint while it answers.
    std::chrono::milliseconds endpoint_silence;
};

}  // namespace radishpulley::daemon
