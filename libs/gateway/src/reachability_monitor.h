/// Follows which endpoints this VM reaches, and logs what changes.
#pragma once

#include <map>

#include "base/clock.h"
#include "gateway/contact_observer.h"
#include "routing/endpoint_directory.h"

namespace radishpulley::gateway {

/// All member functions run on the loop's thread.
class reachability_monitor final : public contact_observer {
public:
    reachability_monitor(const clock& time, const routing::endpoint_directory& directory)
        : time_(time), directory_(directory) {}

    void on_contact(const endpoint_id& with, routing::contact_proof by) override;
    void on_contact_failed(const endpoint_id& with, routing::contact_failure by) override;

private:
    struct failed_contact {
        routing::contact_failure by{};
        time_point since{};
    };

    const clock& time_;
    const routing::endpoint_directory& directory_;
    /// The first failure of each endpoint since it was reached last.
    std::map<endpoint_id, failed_contact> failed_;
};

}  // namespace radishpulley::gateway
