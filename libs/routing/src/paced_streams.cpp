#include "routing/paced_streams.h"

#include <algorithm>

namespace radishpulley::routing {
namespace {

std::vector<paced_streams>::iterator lower_bound(std::vector<paced_streams>& groups,
                                                 std::chrono::milliseconds gap_target) {
    return std::lower_bound(
        groups.begin(), groups.end(), gap_target,
        [](const paced_streams& a, std::chrono::milliseconds b) { return a.gap_target < b; });
}

}  // namespace

paced_stream_counts::paced_stream_counts(std::chrono::milliseconds gap_target,
                                         std::uint32_t streams) {
    if (gap_target.count() > 0 && streams > 0) {
        groups_.push_back({gap_target, streams});
    }
}

paced_stream_counts& paced_stream_counts::operator+=(const paced_stream_counts& it) {
    for (const paced_streams& group : it.groups_) {
        const auto place = lower_bound(groups_, group.gap_target);
        if (place != groups_.end() && place->gap_target == group.gap_target) {
            place->streams += group.streams;
        } else {
            groups_.insert(place, group);
        }
    }
    return *this;
}

paced_stream_counts& paced_stream_counts::operator-=(const paced_stream_counts& it) {
    for (const paced_streams& group : it.groups_) {
        const auto place = lower_bound(groups_, group.gap_target);
        if (place == groups_.end() || place->gap_target != group.gap_target) {
            continue;
        }
        if (place->streams > group.streams) {
            place->streams -= group.streams;
        } else {
            groups_.erase(place);
        }
    }
    return *this;
}

}  // namespace radishpulley::routing
