/// An object store in memory with the faults of the real one, for tests and stand-ins.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "object_api/object_store.h"

namespace radishpulley::standins {

/// What happens to the next call.
enum class store_fault {
    none,
    /// The call has no effect and no answer.
    lost_call,
    /// The call takes effect, and its answer is lost.
    lost_answer
};

/// Calls counted since the start, failed ones included.
struct store_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
};

/// Implements object_store. Watches return at once when `wait_for_real` is false, so that tests
/// with a virtual clock do not block.
class memory_object_store final : public object_api::object_store {
public:
    explicit memory_object_store(bool wait_for_real = false) : wait_for_real_(wait_for_real) {}

    object_api::get_result get(std::string_view name) override;
    object_api::put_result put(std::string_view name, std::string_view value,
                               object_api::object_version expected) override;
    object_api::put_result remove(std::string_view name,
                                  object_api::object_version expected) override;
    object_api::list_result list(std::string_view prefix) override;
    object_api::watch_result watch(std::string_view prefix, object_api::store_revision since,
                                   duration wait) override;

    /// While down, every call is lost.
    void set_down(bool down);
    /// Queues faults for the next calls, one each.
    void inject(std::deque<store_fault> faults);
    /// Runs once, just before the next update is looked at: a place for a racing operator.
    void before_next_update(std::function<void()> action);
    /// Forgets old changes, so that watches from before now are not complete.
    void forget_changes();
    store_counts counts() const;

private:
    struct change {
        object_api::store_revision revision = 0;
        std::string name;
    };

    store_fault next_fault();
    template <typename Update>
    object_api::put_result update(Update apply);
    void record(std::string_view name);
    object_api::watch_answer changes_since(std::string_view prefix,
                                           object_api::store_revision since) const;

    const bool wait_for_real_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, object_api::object, std::less<>> objects_;
    std::deque<change> changes_;
    object_api::store_revision revision_ = 1;
    object_api::store_revision forgotten_ = 0;
    std::deque<store_fault> faults_;
    std::function<void()> before_update_;
    bool down_ = false;
    store_counts counts_;
};

}  // namespace radishpulley::standins
