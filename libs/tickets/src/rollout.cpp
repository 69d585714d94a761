#include "tickets/rollout.h"

#include <algorithm>

namespace radishpulley::tickets {

void rollout::take(gsl::span<const in_force_report> reports) {
    for (const in_force_report& it : reports) {
        entry& held = entries_[it.vm.vm];
        const bool newer_start = it.vm.incarnation > held.report.vm.incarnation;
        const bool newer_number =
            it.vm.incarnation == held.report.vm.incarnation && it.number > held.report.number;
        if (newer_start || newer_number || held.changed == 0) {
            held = {it, ++last_};
        }
    }
}

void rollout::keep_only(const std::vector<vm_id>& vms) {
    for (auto it = entries_.begin(); it != entries_.end();) {
        const bool kept = std::find(vms.begin(), vms.end(), it->first) != vms.end();
        it = kept ? std::next(it) : entries_.erase(it);
    }
}

std::vector<in_force_report> rollout::news(position& told) const {
    std::vector<in_force_report> reports;
    if (told == last_) {
        return reports;
    }
    for (const auto& it : entries_) {
        if (it.second.changed > told) {
            reports.push_back(it.second.report);
        }
    }
    told = last_;
    return reports;
}

rollout_status rollout::status(model::ticket_number number, const std::vector<vm_id>& vms) const {
    rollout_status result;
    for (const vm_id& vm : vms) {
        const auto it = entries_.find(vm);
        const bool in_force = it != entries_.end() && it->second.report.number >= number;
        (in_force ? result.in_force : result.missing).push_back(vm);
    }
    return result;
}

}  // namespace radishpulley::tickets
