#include "placement/popularity.h"

#include <cmath>

namespace radishpulley::placement {

double popularity::decayed(const count& it, time_point now) const {
    if (now <= it.at) {
        return it.value;
    }
    using fractional = std::chrono::duration<double>;
    const double lives = fractional(now - it.at) / fractional(half_life_);
    return it.value * std::exp2(-lives);
}

void popularity::add(const adapter_ref& it, double n, time_point now) {
    count& entry = counts_[it];
    entry.value = decayed(entry, now) + n;
    entry.at = now;
}

double popularity::score(const adapter_ref& it, time_point now) const {
    const auto entry = counts_.find(it);
    return entry == counts_.end() ? 0 : decayed(entry->second, now);
}

void popularity::prune(double least, time_point now) {
    for (auto it = counts_.begin(); it != counts_.end();) {
        it = decayed(it->second, now) < least ? counts_.erase(it) : std::next(it);
    }
}

}  // namespace radishpulley::placement
