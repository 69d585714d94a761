/// Time limits and intervals of the token loans.
#pragma once

#include "base/clock.h"

namespace radishpulley::quota {

/// Settings that all daemons of a fleet share.
struct quota_policy {
    /// Time from sending a loan request until the borrower may no longer spend the loan. An owner
    /// rejects requests for longer loans.
    duration loan_lifetime = std::chrono::seconds(2);
    /// Margin for clock drift. The owner adds it to the lifetime, counted from its grant.
    duration drift_margin = std::chrono::milliseconds(100);
    /// Longest time that a request waits for tokens before it is refused.
    duration admission_wait = std::chrono::milliseconds(250);
    /// Longest wait for the answers to one round of loan requests.
    duration round_wait = std::chrono::milliseconds(60);
    /// Greatest age of slot states that justify refusing a request immediately.
    duration level_lifetime = std::chrono::milliseconds(100);
    /// Period of expected demand that the borrower covers with spare tokens beyond the waiting
    /// requests.
    duration prefetch = std::chrono::milliseconds(500);
    /// Age at which the unspent rest of a loan is returned.
    duration return_age = std::chrono::milliseconds(1200);
    /// Longest interval between two reports of spending while the slot is nearly full.
    duration report_interval = std::chrono::milliseconds(20);
    /// Longest interval between two reports of spending while the slot is not full and accrues
    /// tokens in any case.
    duration lazy_report_interval = std::chrono::milliseconds(400);
    /// Time after which a charge can no longer be refunded.
    duration settle_limit = std::chrono::minutes(5);
    /// A daemon that was paused for longer than this reads the slot table again before it lends.
    duration pause_limit = std::chrono::seconds(10);
};

}  // namespace radishpulley::quota
