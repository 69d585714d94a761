#include "quota/token_amount.h"

#include <algorithm>
#include <cmath>

namespace radishpulley::quota {
namespace {

using wide_integer = __int128;

constexpr wide_integer nanoseconds_per_second = 1'000'000'000;

token_amount part_of(token_amount whole, std::size_t slot, std::size_t slot_count) {
    const auto upper = wide_integer(whole) * wide_integer(slot + 1) / wide_integer(slot_count);
    const auto lower = wide_integer(whole) * wide_integer(slot) / wide_integer(slot_count);
    return static_cast<token_amount>(upper - lower);
}

}  // namespace

token_amount to_amount(double tokens) {
    if (!(tokens > 0)) {
        return 0;
    }
    return static_cast<token_amount>(std::floor(std::min(tokens, max_tokens) * one_token));
}

double to_tokens(token_amount amount) {
    return static_cast<double>(amount) / one_token;
}

account_limits share_of(const account_limits& whole, std::size_t slot, std::size_t slot_count) {
    return {part_of(whole.rate, slot, slot_count), part_of(whole.burst, slot, slot_count)};
}

duration time_to_add(token_amount amount, token_amount rate) {
    if (amount <= 0) {
        return duration::zero();
    }
    if (rate <= 0) {
        return duration::max();
    }
    const wide_integer n = (wide_integer(amount) * nanoseconds_per_second + rate - 1) / rate;
    return duration(static_cast<duration::rep>(std::min<wide_integer>(n, duration::max().count())));
}

}  // namespace radishpulley::quota
