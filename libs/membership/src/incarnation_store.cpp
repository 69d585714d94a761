#include "membership/incarnation_store.h"

#include <charconv>
#include <string>

namespace radishpulley::membership {
namespace {

constexpr int max_attempts = 8;

incarnation_number parse_number(const std::string& text) {
    incarnation_number number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

}  // namespace

incarnation_result incarnation_store::next_incarnation(const vm_id& vm) {
    const std::string name = "vms/" + vm.str();
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        const object_api::get_result read = api_.get(name);
        if (std::holds_alternative<object_api::unreachable>(read)) {
            continue;
        }
        const auto* stored_counter = std::get_if<object_api::object>(&read);
        const incarnation_number next =
            stored_counter == nullptr ? 1 : parse_number(stored_counter->value) + 1;
        const object_api::object_version version =
            stored_counter == nullptr ? 0 : stored_counter->version;
        const object_api::put_result result = api_.put(name, std::to_string(next), version);
        if (std::holds_alternative<object_api::stored>(result)) {
            return vm_incarnation{vm, next};
        }
    }
    return incarnation_unknown{};
}

}  // namespace radishpulley::membership
