/// Checks admitted tokens against a rate and burst over every window of time.
#pragma once

#include <cstddef>
#include <vector>

#include "quota/token_amount.h"

namespace radishpulley::quota {

/// Keeps every admission of one client account, so that a later refund counts from the moment of
/// the admission.
class window_check {
public:
    window_check(account_limits limits, duration since) : limits_(limits), since_(since) {}

    /// Adds an admission and returns its index. Times must not go back.
    std::size_t add(duration at, token_amount amount);
    /// Lowers an admission to what was used.
    void lower(std::size_t index, token_amount used);
    /// Largest excess over burst + rate * time that any window ending at the last admission has;
    /// at most 0 when the bound holds.
    token_amount excess() const;
    /// What a single bucket with the same admissions would hold.
    token_amount level(duration at) const;

private:
    struct entry {
        duration at;
        token_amount amount = 0;
        // Largest sum, over the windows that end here, of admissions less rate * time.
        token_amount sum = 0;
    };

    token_amount sum_after(std::size_t index, duration at) const;

    account_limits limits_;
    duration since_;
    std::vector<entry> entries_;
};

}  // namespace radishpulley::quota
