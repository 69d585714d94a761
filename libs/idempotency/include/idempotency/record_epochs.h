/// A lower bound on elapsed time that all VMs agree on without comparing their clocks.
///
/// One object holds the number of the epoch. A daemon that has seen the same number for a whole
/// epoch on its own clock adds one by a conditional update. So each epoch lasts at least
/// `epoch_length`, whichever VMs come and go.
#pragma once

#include <mutex>
#include <optional>

#include "base/clock.h"
#include "idempotency/record.h"
#include "object_api/object_store.h"

namespace radishpulley::idempotency {

constexpr duration epoch_length = std::chrono::hours(1);

/// Epochs for which a record is kept in full.
constexpr epoch_number retention_epochs = 24;

/// Epochs by which a record's number may be behind when it is created, and the one not yet full.
constexpr epoch_number epoch_margin = 3;

/// Returns whether a record is older than the retention, whatever the daemons' delays were.
bool is_expired(epoch_number created, epoch_number current);

/// Follows and moves the epoch. Safe to call from several threads.
class record_epochs {
public:
    explicit record_epochs(object_api::object_store& store) : store_(store) {}

    /// Reads the epoch and moves it when it is due. Call it every few minutes.
    void poll(time_point now);

    /// Returns the epoch, or nothing when it was last read longer ago than one epoch: then no
    /// record may be created and none deleted.
    std::optional<epoch_number> current(time_point now) const;

private:
    struct reading {
        epoch_number number = 0;
        object_api::object_version version = 0;
        time_point first_seen;
        time_point last_seen;
    };

    void take(epoch_number number, object_api::object_version version, time_point now);

    object_api::object_store& store_;
    mutable std::mutex mutex_;
    std::optional<reading> reading_;
};

}  // namespace radishpulley::idempotency
