#include "standins/memory_object_store.h"

#include <utility>

namespace radishpulley::standins {

using namespace object_api;

namespace {

constexpr std::size_t max_changes_kept = 4096;

bool has_prefix(std::string_view name, std::string_view prefix) {
    return name.substr(0, prefix.size()) == prefix;
}

}  // namespace

store_fault memory_object_store::next_fault() {
    if (down_) {
        return store_fault::lost_call;
    }
    if (faults_.empty()) {
        return store_fault::none;
    }
    const store_fault it = faults_.front();
    faults_.pop_front();
    return it;
}

get_result memory_object_store::get(std::string_view name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counts_.reads;
    if (next_fault() != store_fault::none) {
        return unreachable{};
    }
    const auto it = objects_.find(name);
    if (it == objects_.end()) {
        return not_found{};
    }
    return it->second;
}

template <typename Update>
put_result memory_object_store::update(Update apply) {
    std::function<void()> racing;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        racing = std::exchange(before_update_, nullptr);
    }
    if (racing) {
        racing();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counts_.writes;
    const store_fault fault = next_fault();
    if (fault == store_fault::lost_call) {
        return outcome_unknown{};
    }
    const put_result result = apply();
    if (fault == store_fault::lost_answer) {
        return outcome_unknown{};
    }
    return result;
}

put_result memory_object_store::put(std::string_view name, std::string_view value,
                                    object_version expected) {
    return update([&]() -> put_result {
        const auto it = objects_.find(name);
        const object_version current = it == objects_.end() ? 0 : it->second.version;
        if (current != expected || value.size() > max_value_size) {
            return conflict{current};
        }
        record(name);
        objects_[std::string(name)] = {std::string(value), revision_};
        return stored{revision_};
    });
}

put_result memory_object_store::remove(std::string_view name, object_version expected) {
    return update([&]() -> put_result {
        const auto it = objects_.find(name);
        const object_version current = it == objects_.end() ? 0 : it->second.version;
        if (current != expected || current == 0) {
            return conflict{current};
        }
        objects_.erase(it);
        record(name);
        return stored{0};
    });
}

list_result memory_object_store::list(std::string_view prefix) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counts_.reads;
    if (next_fault() != store_fault::none) {
        return unreachable{};
    }
    std::vector<std::string> names;
    for (auto it = objects_.lower_bound(prefix);
         it != objects_.end() && has_prefix(it->first, prefix); ++it) {
        names.push_back(it->first);
    }
    return names;
}

watch_result memory_object_store::watch(std::string_view prefix, store_revision since,
                                        duration wait) {
    std::unique_lock<std::mutex> lock(mutex_);
    ++counts_.watches;
    if (next_fault() != store_fault::none) {
        return unreachable{};
    }
    const auto has_news = [&] {
        return since == 0 || down_ || since < forgotten_ ||
               !changes_since(prefix, since).changed.empty();
    };
    if (wait_for_real_) {
        changed_.wait_for(lock, wait, has_news);
    }
    if (down_) {
        return unreachable{};
    }
    if (since == 0) {
        return watch_answer{{}, revision_, true};
    }
    return changes_since(prefix, since);
}

watch_answer memory_object_store::changes_since(std::string_view prefix,
                                                store_revision since) const {
    watch_answer answer;
    answer.revision = revision_;
    answer.complete = since >= forgotten_;
    for (const change& it : changes_) {
        if (it.revision > since && has_prefix(it.name, prefix)) {
            answer.changed.push_back(it.name);
        }
    }
    return answer;
}

void memory_object_store::record(std::string_view name) {
    changes_.push_back({++revision_, std::string(name)});
    if (changes_.size() > max_changes_kept) {
        forgotten_ = changes_.front().revision;
        changes_.pop_front();
    }
    changed_.notify_all();
}

void memory_object_store::set_down(bool down) {
    const std::lock_guard<std::mutex> lock(mutex_);
    down_ = down;
    changed_.notify_all();
}

void memory_object_store::inject(std::deque<store_fault> faults) {
    const std::lock_guard<std::mutex> lock(mutex_);
    faults_ = std::move(faults);
}

void memory_object_store::before_next_update(std::function<void()> action) {
    const std::lock_guard<std::mutex> lock(mutex_);
    before_update_ = std::move(action);
}

void memory_object_store::forget_changes() {
    const std::lock_guard<std::mutex> lock(mutex_);
    changes_.clear();
    forgotten_ = revision_;
}

store_counts memory_object_store::counts() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return counts_;
}

}  // namespace radishpulley::standins
