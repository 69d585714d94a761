#include "gateway/connection_sweep.h"

#include <algorithm>

#include "gateway/endpoint_link.h"

namespace radishpulley::gateway {

void connection_sweep::add(const std::shared_ptr<endpoint_link>& it) {
    connections_.push_back(it);
    schedule();
}

void connection_sweep::schedule() {
    if (is_scheduled_) {
        return;
    }
    is_scheduled_ = true;
    timer_.expires_after(interval);
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec) {
            is_scheduled_ = false;
            sweep();
        }
    });
}

void connection_sweep::sweep() {
    const auto is_idle = [](const std::weak_ptr<endpoint_link>& it) {
        const auto open = it.lock();
        return !open || !open->in_flight();
    };
    connections_.erase(std::remove_if(connections_.begin(), connections_.end(), is_idle),
                       connections_.end());
    // A connection is added for each of its calls.
    std::sort(connections_.begin(), connections_.end(), std::owner_less<>());
    const auto is_same = [](const auto& a, const auto& b) {
        return !a.owner_before(b) && !b.owner_before(a);
    };
    connections_.erase(std::unique(connections_.begin(), connections_.end(), is_same),
                       connections_.end());
    // The checks may add connections.
    const auto all = connections_;
    for (const std::weak_ptr<endpoint_link>& it : all) {
        if (const auto open = it.lock()) {
            open->check_progress();
        }
    }
    if (!connections_.empty()) {
        schedule();
    }
}

}  // namespace radishpulley::gateway
