/// A lower bound of elapsed time on which all VMs agree without comparing their clocks.
///
/// One object stores the number of the epoch. A daemon that has read the same number for a whole
/// epoch by its own clock increments it by a conditional update. Each epoch therefore lasts at
/// least `epoch_length`, even while VMs join and leave.
#pragma once

#include <mutex>
#include <optional>

#include "base/clock.h"
#include "idempotency/record.h"
#include "object_api/object_store.h"

namespace radishpulley::idempotency {

constexpr duration epoch_length = std::chrono::hours(1);

/// Number of full epochs for which a record is retained.
constexpr epoch_number retention_epochs = 24;

/// Number of epochs by which the epoch of a record may lag behind at its creation, plus the current
/// incomplete epoch.
constexpr epoch_number epoch_margin = 3;

/// Returns whether a record is older than the retention, regardless of delays in the daemons.
bool is_expired(epoch_number created, epoch_number current);

/// Reads and advances the epoch. Thread-safe.
class record_epochs {
public:
    explicit record_epochs(object_api::object_store& store) : store_(store) {}

    /// Reads the epoch and advances it when it is due. Called every few minutes.
    void poll(time_point now);

    /// Returns the epoch, or nothing if the last successful read is more than one epoch ago. In
    /// that case no record may be created or deleted.
    std::optional<epoch_number> current(time_point now) const;

private:
    struct reading {
        epoch_number number = 0;
        object_api::object_version version = 0;
        time_point first_seen;
        time_point last_seen;
    };

    void record_reading(epoch_number number, object_api::object_version version, time_point now);

    object_api::object_store& store_;
    mutable std::mutex mutex_;
    std::optional<reading> reading_;
};

}  // namespace radishpulley::idempotency
