/// Exact amounts of tokens, and the rate and burst of a client account.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "base/clock.h"
#include "base/identifier.h"

namespace radishpulley::quota {

/// An amount of tokens in millionths of a token, so that shares add up exactly.
using token_amount = std::int64_t;

/// One whole token.
constexpr token_amount one_token = 1'000'000;

/// Largest rate and burst accepted, in whole tokens; leaves room for sums of amounts.
constexpr double max_tokens = 1e11;

/// Returns `tokens` as an amount, rounded down and clamped to the range from 0 to `max_tokens`.
token_amount to_amount(double tokens);

/// Returns an amount in whole tokens.
double to_tokens(token_amount amount);

/// Rate and burst of one client account, or of one slot's share of it.
struct account_limits {
    /// Amount that accrues per second.
    token_amount rate = 0;
    /// Largest amount that the bucket can hold.
    token_amount burst = 0;

    friend bool operator==(const account_limits& a, const account_limits& b) {
        return a.rate == b.rate && a.burst == b.burst;
    }
};

/// Limits of all client accounts of a configuration.
using limits_by_account = std::map<client_account_id, account_limits>;

/// Returns the share of slot `slot` out of `slot_count`; the shares of all slots add up to `whole`.
account_limits share_of(const account_limits& whole, std::size_t slot, std::size_t slot_count);

/// Returns how long `amount` takes to accrue at `rate`, rounded up; `duration::max()` for a rate of
/// 0.
duration time_to_add(token_amount amount, token_amount rate);

}  // namespace radishpulley::quota
