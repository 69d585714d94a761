#include "quota_trial/window_check.h"

#include <algorithm>

namespace radishpulley::quota {

token_amount window_check::sum_after(std::size_t index, duration at) const {
    if (index == 0) {
        return 0;
    }
    const entry& before = entries_[index - 1];
    // Rounded up by one millionth of a token, in favour of the checked code.
    const __int128 drained =
        static_cast<__int128>(limits_.rate) * (at - before.at).count() / 1'000'000'000 + 1;
    return static_cast<token_amount>(std::max<__int128>(0, before.sum - drained));
}

std::size_t window_check::add(duration at, token_amount amount) {
    const std::size_t index = entries_.size();
    const bool counts = at >= since_;
    entries_.push_back({at, counts ? amount : 0, 0});
    entries_.back().sum = sum_after(index, at) + entries_.back().amount;
    return index;
}

void window_check::lower(std::size_t index, token_amount used) {
    if (used >= entries_[index].amount) {
        return;
    }
    entries_[index].amount = used;
    for (std::size_t i = index; i < entries_.size(); ++i) {
        entries_[i].sum = sum_after(i, entries_[i].at) + entries_[i].amount;
    }
}

token_amount window_check::excess() const {
    return entries_.empty() ? -limits_.burst : entries_.back().sum - limits_.burst;
}

token_amount window_check::level(duration at) const {
    return limits_.burst - sum_after(entries_.size(), at);
}

}  // namespace radishpulley::quota
