/// Deletes expired records, shard by shard.
#pragma once

#include <cstddef>
#include <gsl/span>
#include <map>
#include <string>
#include <vector>

#include "base/identifier.h"
#include "idempotency/record.h"
#include "object_api/object_store.h"

namespace radishpulley::idempotency {

/// Returns whether `self` is the one of `vms` that sweeps a shard. Two VMs with different lists may
/// both sweep it, which is harmless.
bool is_sweeper(std::size_t shard, const vm_id& self, gsl::span<const vm_id> vms);

/// Result of one sweep.
struct sweep_report {
    std::size_t listed = 0;
    std::size_t read = 0;
    std::size_t deleted = 0;
    /// True if the sweep did not reach the end of the shard: the call limit ended it, or the shard
    /// could not be listed.
    bool unfinished = false;
};

/// Sweeps shards. It caches the epoch of each record, so that a record is read once and deleted
/// once. Not thread-safe.
class record_sweeper {
public:
    explicit record_sweeper(object_api::object_store& store) : store_(store) {}

    /// Deletes the records that are expired at epoch `current`, with at most `max_calls` reads and
    /// deletions.
    sweep_report sweep(std::size_t shard, epoch_number current, std::size_t max_calls);

private:
    struct known_record {
        epoch_number epoch = 0;
        object_api::object_version version = 0;
    };
    using known_shard = std::map<std::string, known_record>;

    static void drop_missing(const std::vector<std::string>& names, known_shard& known);
    bool read(const std::string& name, known_shard& known);
    void sweep_one(const std::string& name, epoch_number current, known_shard& known,
                   sweep_report& report);

    object_api::object_store& store_;
    std::map<std::size_t, known_shard> known_;
};

}  // namespace radishpulley::idempotency
