#include "placement/popularity.h"

#include <cmath>

namespace radishpulley::placement {
namespace {

using fractional = std::chrono::duration<double>;

constexpr double ln_2 = 0.6931471805599453;

double left_after(duration age, duration half_life) {
    return std::exp2(-fractional(age) / fractional(half_life));
}

}  // namespace

popularity::count popularity::decayed(const count& it, time_point now) const {
    if (now <= it.at) {
        return it;
    }
    const duration age = now - it.at;
    return {it.lasting * left_after(age, settings_.half_life),
            it.spell * left_after(age, settings_.spell_half_life), now};
}

double popularity::rate_of(const count& it, time_point now) const {
    const count present = decayed(it, now);
    const double lasting = present.lasting * ln_2 / fractional(settings_.half_life).count();
    const double spell = present.spell * ln_2 / fractional(settings_.spell_half_life).count();
    return lasting + settings_.spell_weight * spell;
}

void popularity::add(const adapter_ref& it, double n, time_point now) {
    count& entry = counts_[it];
    entry = decayed(entry, now);
    entry.at = now;
    entry.lasting += n;
    entry.spell += n;
}

double popularity::rate(const adapter_ref& it, time_point now) const {
    const auto entry = counts_.find(it);
    return entry == counts_.end() ? 0 : rate_of(entry->second, now);
}

void popularity::prune(double least, time_point now) {
    for (auto it = counts_.begin(); it != counts_.end();) {
        it = rate_of(it->second, now) < least ? counts_.erase(it) : std::next(it);
    }
}

}  // namespace radishpulley::placement
