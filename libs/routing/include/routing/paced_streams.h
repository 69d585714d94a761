/// Numbers of streams by their gap target, the longest pause between two events that has full
/// value.
///
/// Counts are kept for each target, because the shortest target of a sum can't be told any more
/// once one of its parts is subtracted. A configuration states few different targets. Pure; not
/// thread-safe.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace radishpulley::routing {

/// Streams that have the same gap target.
struct paced_streams {
    std::chrono::milliseconds gap_target{0};
    std::uint32_t streams = 0;
};

/// Streams by gap target.
class paced_stream_counts {
public:
    paced_stream_counts() = default;
    /// Counts `streams` streams with a gap target; streams without a target (0) are not counted.
    explicit paced_stream_counts(std::chrono::milliseconds gap_target, std::uint32_t streams = 1);

    bool empty() const { return groups_.empty(); }
    /// Returns the groups, the shortest target first; none is empty.
    const std::vector<paced_streams>& groups() const { return groups_; }

    paced_stream_counts& operator+=(const paced_stream_counts& it);
    /// Subtracts streams that were added before.
    paced_stream_counts& operator-=(const paced_stream_counts& it);

private:
    std::vector<paced_streams> groups_;
};

}  // namespace radishpulley::routing
