/// Times and sizes of the token loans.
#pragma once

#include "base/clock.h"

namespace radishpulley::quota {

/// Settings that all daemons of a fleet share.
struct quota_policy {
    /// Time from sending a loan request until the borrower may no longer spend the loan. An owner
    /// refuses requests for longer ones.
    duration loan_lifetime = std::chrono::seconds(2);
    /// Added by the owner to the lifetime, counted from its grant, for clocks that run at unequal
    /// speed.
    duration drift_margin = std::chrono::milliseconds(100);
    /// Longest that a request waits for tokens before it is refused.
    duration admission_wait = std::chrono::milliseconds(250);
    /// Longest wait for the answers of one round of loan requests.
    duration round_wait = std::chrono::milliseconds(60);
    /// Age of the knowledge about slots on which a request may be refused at once.
    duration level_lifetime = std::chrono::milliseconds(100);
    /// Demand that a loan covers beyond the waiting requests.
    duration prefetch = std::chrono::milliseconds(500);
    /// Age at which the rest of a loan is given back.
    duration return_age = std::chrono::milliseconds(1200);
    /// Longest time between two reports of spending while the slot is nearly full.
    duration report_interval = std::chrono::milliseconds(20);
    /// The same while the slot is not full and adds tokens in any case.
    duration lazy_report_interval = std::chrono::milliseconds(400);
    /// Time after which a charge can no longer be refunded.
    duration settle_limit = std::chrono::minutes(5);
    /// A daemon that did not run for longer reads the slot table again before it lends.
    duration pause_limit = std::chrono::seconds(10);
};

}  // namespace radishpulley::quota
