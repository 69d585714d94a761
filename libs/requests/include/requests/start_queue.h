/// Orders the requests that wait for a busy process to start them. The most urgent start first and,
/// among equals, the newest, whose caller is most likely to wait for it still; a request that
/// cannot start in time is given up early, so that its caller can go elsewhere.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace radishpulley::requests {

/// A queue of items such as handles of requests. Has no side effects; not thread-safe. Example:
///
///     queue.add(request, {priority, now + 100ms});
///     while (auto next = queue.take()) { start(*next); }
///     for (const auto& it : queue.take_expired(now, 4)) { refuse(it); }
template <typename Item>
class start_queue {
public:
    /// What decides the place of an item.
    struct terms {
        /// 0 is the highest priority.
        int priority = 0;
        /// From then on, the item is not started any more.
        time_point latest_start{};
    };

    void add(Item it, const terms& by) {
        const order_key key{by.priority, -(++last_number_)};
        expiries_.emplace(by.latest_start, key);
        items_.emplace(key, entry{std::move(it), by.latest_start});
    }

    /// Removes and returns the next item to start.
    std::optional<Item> take() {
        if (items_.empty()) {
            return std::nullopt;
        }
        return remove(items_.begin());
    }

    /// Removes and returns up to `max_count` items whose latest start has passed, in the order of
    /// their latest starts.
    std::vector<Item> take_expired(time_point now, std::size_t max_count) {
        std::vector<Item> out;
        while (out.size() < max_count && !expiries_.empty() && expiries_.begin()->first < now) {
            out.push_back(remove(items_.find(expiries_.begin()->second)));
        }
        return out;
    }

    std::size_t size() const { return items_.size(); }
    bool empty() const { return items_.empty(); }

private:
    /// Priority, then the negated number of the arrival.
    using order_key = std::pair<int, std::int64_t>;
    struct entry {
        Item item;
        time_point latest_start;
    };

    Item remove(typename std::map<order_key, entry>::iterator at) {
        const auto [first, last] = expiries_.equal_range(at->second.latest_start);
        for (auto it = first; it != last; ++it) {
            if (it->second == at->first) {
                expiries_.erase(it);
                break;
            }
        }
        Item out = std::move(at->second.item);
        items_.erase(at);
        return out;
    }

    std::map<order_key, entry> items_;
    std::multimap<time_point, order_key> expiries_;
    std::int64_t last_number_ = 0;
};

}  // namespace radishpulley::requests
