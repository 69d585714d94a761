/// An object store whose updates can take effect twice, or long after their caller gave up, for
/// tests.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "object_api/object_store.h"

namespace radishpulley::standins {

/// Passes calls on to another store, which must outlive it. Not safe for concurrent calls.
class late_object_store final : public object_api::object_store {
public:
    explicit late_object_store(object_api::object_store& inner) : inner_(inner) {}

    /// The next `n` updates get no answer and wait for deliver().
    void hold_updates(std::size_t n) { to_hold_ = n; }

    /// Every update is sent twice, as some HTTP clients do, and the second answer counts.
    void double_updates() { doubled_ = true; }

    /// Lets the held updates take effect, in their order, under their own conditions.
    void deliver() {
        for (const std::function<void()>& it : std::exchange(held_, {})) {
            it();
        }
    }

    object_api::get_result get(std::string_view name) override { return inner_.get(name); }
    object_api::put_result put(std::string_view name, std::string_view value,
                               object_api::object_version expected) override {
        return update([this, name = std::string(name), value = std::string(value), expected] {
            return inner_.put(name, value, expected);
        });
    }
    object_api::put_result remove(std::string_view name,
                                  object_api::object_version expected) override {
        return update(
            [this, name = std::string(name), expected] { return inner_.remove(name, expected); });
    }
    object_api::list_result list(std::string_view prefix) override { return inner_.list(prefix); }
    object_api::watch_result watch(std::string_view prefix, object_api::store_revision since,
                                   duration wait) override {
        return inner_.watch(prefix, since, wait);
    }

private:
    template <typename Update>
    object_api::put_result update(Update apply) {
        if (to_hold_ == 0) {
            if (doubled_) {
                apply();
            }
            return apply();
        }
        --to_hold_;
        held_.push_back([apply] { apply(); });
        return object_api::outcome_unknown{};
    }

    object_api::object_store& inner_;
    std::size_t to_hold_ = 0;
    bool doubled_ = false;
    std::vector<std::function<void()>> held_;
};

}  // namespace radishpulley::standins
