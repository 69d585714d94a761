/// Checks admitted tokens against a rate and a burst over every time window.
#pragma once

#include <cstddef>
#include <vector>

#include "quota/token_amount.h"

namespace radishpulley::quota {

/// Records every admission of one client account, so that a later refund takes effect from the time
/// of the admission.
class window_check {
public:
    window_check(account_limits limits, duration since) : limits_(limits), since_(since) {}

    /// Adds an admission and returns its index. Times must not decrease. Admissions before `since`
    /// count as zero.
    std::size_t add(duration at, token_amount amount);
    /// Lowers the amount of an admission to the amount used.
    void lower(std::size_t index, token_amount used);
    /// Returns the largest excess over burst + rate * time of any window that ends at the last
    /// admission; at most 0 when the bound holds.
    token_amount excess() const;
    /// Returns the balance of a single bucket with the same admissions.
    token_amount level(duration at) const;

private:
    struct entry {
        duration at;
        token_amount amount = 0;
        // Largest value of admissions less rate * time over all windows that end at this admission.
        token_amount sum = 0;
    };

    token_amount sum_after(std::size_t index, duration at) const;

    account_limits limits_;
    duration since_;
    std::vector<entry> entries_;
};

}  // namespace radishpulley::quota
