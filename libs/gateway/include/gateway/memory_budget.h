/// Memory of a process that its callers hold, and whom to turn away when it is short.
///
/// Every connection of a caller is a holder. It charges all that grows with its caller: heads and
/// bodies that arrive, requests in progress and responses that are not read yet. A holder makes
/// progress while its caller moves bytes, or while it waits for someone other than its caller.
/// Pure; not thread-safe.
///
///     memory_budget budget(64 * mebibyte);
///     const auto id = budget.add(now);
///     budget.set_held(id, body.capacity());
///     if (budget.is_short()) { turn_away(*budget.holder_to_turn_away(now)); }
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "base/clock.h"

namespace radishpulley::gateway {

constexpr std::size_t mebibyte = 1'048'576;

/// What a holder waits for.
enum class holder_wait {
    /// For its caller to send or read; without that it makes no progress.
    for_caller,
    /// For an endpoint or for this process.
    for_others,
    /// Between two requests.
    idle
};

/// Accounts of all holders.
class memory_budget {
public:
    using holder_id = std::uint64_t;

    explicit memory_budget(std::size_t limit_bytes) : limit_(limit_bytes) {}

    /// Adds a holder that is idle and holds nothing.
    holder_id add(time_point now);
    void remove(holder_id id);
    /// Sets the number of bytes that a holder has now.
    void set_held(holder_id id, std::size_t bytes);
    /// Sets what a holder waits for; a change counts as progress.
    void set_wait(holder_id id, holder_wait wait, time_point now);
    /// Records bytes that a holder's caller sent or read. A caller that moves only a few bytes at a
    /// time makes progress rarely.
    void note_moved(holder_id id, std::size_t bytes, time_point now);

    /// Sets the limit in bytes.
    void set_limit(std::size_t bytes) { limit_ = bytes; }
    std::size_t limit() const { return limit_; }
    /// Number of bytes that all holders have.
    std::size_t held() const { return held_; }
    std::size_t count() const { return holders_.size(); }
    bool is_short() const { return held_ > limit_; }

    /// Returns whom to turn away first to free memory: of those that make no progress the one that
    /// holds most, else the one that holds most of all. Empty if nobody holds any.
    std::optional<holder_id> holder_to_turn_away(time_point now) const;
    /// Returns whom to turn away first to free a connection: the one that has been idle longest,
    /// else the one that has been without progress longest. Empty if all make progress.
    std::optional<holder_id> connection_to_close(time_point now) const;

private:
    struct holder {
        std::size_t bytes = 0;
        holder_wait wait = holder_wait::idle;
        /// When it last made progress.
        time_point progress{};
        /// Bytes that its caller has moved since.
        std::size_t moved = 0;
    };

    static bool is_stalled(const holder& it, time_point now);

    std::unordered_map<holder_id, holder> holders_;
    std::size_t limit_;
    std::size_t held_ = 0;
    holder_id last_id_ = 0;
};

}  // namespace radishpulley::gateway
