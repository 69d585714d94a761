/// Follows which endpoints and services this VM reaches, logs what changes, and finds out when a
/// service is reached again.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "crash_detector.h"
#include "gateway/contact_observer.h"
#include "gateway/endpoint_pool.h"
#include "routing/endpoint_directory.h"
#include "routing/endpoint_reachability.h"

namespace radishpulley::gateway {

/// All member functions run on the loop's thread.
class reachability_monitor final : public contact_observer {
public:
    using change_handler = std::function<void(const service_id& service, bool reached)>;

    reachability_monitor(boost::asio::io_context& loop, const clock& time,
                         routing::endpoint_directory& directory, endpoint_pool& pool);

    /// Sets this VM, which spreads the attempts of VMs that are cut off at the same time.
    void set_vm(const vm_id& it) { vm_ = it; }
    /// Sets the callback invoked when a service is cut off or reached again. It may run from inside
    /// a connection's event.
    void set_on_change(change_handler call) { on_change_ = std::move(call); }
    /// Forgets an endpoint that was removed or has restarted.
    void forget(const endpoint_id& id);

    bool reaches(const service_id& it) const { return services_.reaches(it); }
    std::vector<service_id> unreached() const { return services_.unreached(); }
    /// Returns endpoints that show whether this VM is cut off if contact with `it` fails: those of
    /// its service first.
    crash_detector::control_group controls_for(const routing::endpoint& it) const;

    void on_contact(const endpoint_id& with, routing::contact_proof by) override;
    void on_contact_failed(const endpoint_id& with, routing::contact_failure by) override;

private:
    void on_regained(const routing::service_regained& it);
    void log_unreached(const service_id& it) const;
    /// Tries new connections later, unless that is scheduled.
    void schedule_attempts();
    /// Tries one new connection for each service that is cut off.
    void attempt_all();
    void attempt(const service_id& service);
    duration jitter() const;

    struct failed_contact {
        routing::contact_failure by{};
        time_point since{};
    };

    const clock& time_;
    routing::endpoint_directory& directory_;
    endpoint_pool& pool_;
    vm_id vm_;
    change_handler on_change_ = [](const service_id&, bool) {};
    routing::endpoint_reachability services_{directory_};
    /// The first failure of each endpoint since it was reached last.
    std::map<endpoint_id, failed_contact> failed_;
    boost::asio::steady_timer attempt_timer_;
    bool is_attempt_scheduled_ = false;
    time_point next_attempt_ = time_point::min();
    /// The endpoint of each service that was tried last.
    std::map<service_id, endpoint_id> tried_;
};

}  // namespace radishpulley::gateway
