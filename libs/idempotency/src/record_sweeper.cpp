#include "idempotency/record_sweeper.h"

#include <algorithm>
#include <variant>
#include <vector>

#include "base/digest.h"
#include "base/findings.h"
#include "idempotency/record_epochs.h"

namespace radishpulley::idempotency {

using namespace object_api;

namespace {

std::uint64_t weight_of(std::size_t shard, const vm_id& vm) {
    return stable_hash(std::to_string(shard) + "/" + vm.str());
}

}  // namespace

bool is_sweeper(std::size_t shard, const vm_id& self, gsl::span<const vm_id> vms) {
    const std::uint64_t own = weight_of(shard, self);
    return std::none_of(vms.begin(), vms.end(),
                        [&](const vm_id& it) { return it != self && weight_of(shard, it) > own; });
}

sweep_report record_sweeper::sweep(std::size_t shard, epoch_number current, std::size_t max_calls) {
    sweep_report report;
    const list_result listed = store_.list(shard_prefix(shard));
    const auto* names = std::get_if<std::vector<std::string>>(&listed);
    if (names == nullptr) {
        report.unfinished = true;
        return report;
    }
    report.listed = names->size();
    known_shard& known = known_[shard];
    drop_missing(*names, known);
    for (const std::string& name : *names) {
        if (report.read + report.deleted >= max_calls) {
            report.unfinished = true;
            break;
        }
        sweep_one(name, current, known, report);
    }
    return report;
}

void record_sweeper::drop_missing(const std::vector<std::string>& names, known_shard& known) {
    known_shard kept;
    for (const std::string& name : names) {
        const auto it = known.find(name);
        if (it != known.end()) {
            kept.insert(*it);
        }
    }
    known.swap(kept);
}

void record_sweeper::sweep_one(const std::string& name, epoch_number current, known_shard& known,
                               sweep_report& report) {
    if (known.count(name) == 0) {
        ++report.read;
        if (!read(name, known)) {
            return;
        }
    }
    const known_record it = known[name];
    if (!is_expired(it.epoch, current)) {
        return;
    }
    ++report.deleted;
    store_.remove(name, it.version);
    // The next sweep reads the record again, whatever the result of this call was.
    known.erase(name);
}

bool record_sweeper::read(const std::string& name, known_shard& known) {
    const get_result found = store_.get(name);
    const auto* stored_record = std::get_if<object>(&found);
    if (stored_record == nullptr) {
        return false;
    }
    try {
        known[name] = {parse_record(stored_record->value).epoch, stored_record->version};
        return true;
    } catch (const invalid_input&) {
        return false;
    }
}

}  // namespace radishpulley::idempotency
