#include "relay/change_log.h"

#include <algorithm>
#include <utility>

namespace radishpulley::relay {
namespace {

std::size_t payload_size(const reported_change& it) {
    const std::size_t delta = it.delta ? size_of(it.delta->to_contents) : 0;
    return it.name.size() + it.contents.size() + delta;
}

}  // namespace

change_log::change_log(change_log_settings settings) : settings_(settings) {}

void change_log::restart(revision_number revision) {
    entries_.clear();
    bytes_ = 0;
    complete_after_ = revision;
}

void change_log::drop_oldest() {
    const reported_change& it = entries_.front().change;
    complete_after_ = std::max(complete_after_, it.revision);
    bytes_ -= payload_size(it);
    entries_.pop_front();
}

void change_log::add(reported_change it, time_point now) {
    bytes_ += payload_size(it);
    entries_.push_back({std::move(it), now});
    while (entries_.size() > settings_.max_changes || bytes_ > settings_.max_bytes) {
        drop_oldest();
    }
}

void change_log::advance(time_point now) {
    while (!entries_.empty() && now - entries_.front().at > settings_.lifetime) {
        drop_oldest();
    }
}

std::vector<reported_change> change_log::changes() const {
    std::vector<reported_change> out;
    for (const entry& it : entries_) {
        out.push_back(it.change);
    }
    return out;
}

}  // namespace radishpulley::relay
