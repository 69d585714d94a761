/// Exact amounts of tokens, and the rate and burst of a client account.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "base/clock.h"
#include "base/identifier.h"

namespace radishpulley::quota {

/// An amount of tokens in millionths, so that shares add up exactly.
using token_amount = std::int64_t;

/// One whole token.
constexpr token_amount one_token = 1'000'000;

/// Largest rate and burst accepted, in whole tokens; leaves room for sums.
constexpr double max_tokens = 1e11;

/// Returns `tokens` as an amount, rounded down and limited to 0 and `max_tokens`.
token_amount to_amount(double tokens);

/// Returns an amount in whole tokens.
double to_tokens(token_amount amount);

/// Rate and burst of one client account, or of one slot's share of it.
struct account_limits {
    /// Amount added a second.
    token_amount rate = 0;
    /// Most that can be held.
    token_amount burst = 0;

    friend bool operator==(const account_limits& a, const account_limits& b) {
        return a.rate == b.rate && a.burst == b.burst;
    }
};

/// Limits of all client accounts of a configuration.
using limits_by_account = std::map<client_account_id, account_limits>;

/// Returns the share of slot `slot` out of `slot_count`; the shares of all slots add up to `whole`.
account_limits share_of(const account_limits& whole, std::size_t slot, std::size_t slot_count);

/// Returns how long `rate` takes to add `amount`, rounded up; `duration::max()` for a rate of 0.
duration time_to_add(token_amount amount, token_amount rate);

}  // namespace radishpulley::quota
