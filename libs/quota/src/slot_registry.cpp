#include "quota/slot_registry.h"

namespace radishpulley::quota {
namespace {

// Attempts at one change before the caller has to retry; each attempt is one read and one write.
constexpr int max_attempts = 4;

}  // namespace

slot_registry::slot_registry(object_api::object_store& store, std::size_t slot_count)
    : store_(store), slot_count_(slot_count) {}

registry_outcome slot_registry::refresh() {
    const object_api::get_result result = store_.get(slot_table_name);
    if (std::holds_alternative<object_api::unreachable>(result)) {
        return registry_outcome::unreachable;
    }
    if (const auto* it = std::get_if<object_api::object>(&result)) {
        table_ = parse_slot_table(it->value);
        version_ = it->version;
    } else {
        table_ = slot_table{std::vector<slot_entry>(slot_count_)};
        version_ = 0;
    }
    return registry_outcome::current;
}

template <typename Change>
registry_outcome slot_registry::update(Change change) {
    for (int i = 0; i < max_attempts; ++i) {
        if (refresh() == registry_outcome::unreachable) {
            return i == 0 ? registry_outcome::unreachable : registry_outcome::unknown;
        }
        const slot_table next = change(table_);
        if (unconfirmed_version_ && *unconfirmed_version_ != version_) {
            unconfirmed_version_.reset();
        }
        if (next == table_) {
            return unconfirmed_version_ ? registry_outcome::unknown : registry_outcome::current;
        }
        const object_api::put_result result = store_.put(slot_table_name, to_text(next), version_);
        if (const auto* it = std::get_if<object_api::stored>(&result)) {
            table_ = next;
            version_ = it->version;
            unconfirmed_version_.reset();
            return registry_outcome::current;
        }
        if (std::holds_alternative<object_api::outcome_unknown>(result)) {
            unconfirmed_version_ = version_;
        }
    }
    return registry_outcome::unknown;
}

registry_outcome slot_registry::claim(const fleet_view& fleet) {
    return update([&](const slot_table& now) { return claim_slots(now, fleet); });
}

registry_outcome slot_registry::release(const vm_incarnation& self) {
    return update([&](const slot_table& now) { return release_slots(now, self); });
}

}  // namespace radishpulley::quota
