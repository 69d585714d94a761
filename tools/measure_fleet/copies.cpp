#include "copies.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "base/digest.h"
#include "keys/key_authenticator.h"
#include "tickets/head.h"

namespace radishpulley::measure {
namespace {

constexpr int repeats = 20;
constexpr int lookups = 20'000;

double heap_bytes() {
    const struct mallinfo2 it = mallinfo2();
    return static_cast<double>(it.uordblks + it.hblkhd);
}

template <typename Work>
double nanoseconds(int n, Work work) {
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < n; ++i) {
        work(i);
    }
    const std::chrono::duration<double, std::nano> taken = std::chrono::steady_clock::now() - begin;
    return taken.count() / n;
}

std::string key_text(std::size_t n) {
    return "key-" + std::to_string(n);
}

model::ticket first_ticket(std::size_t adapters) {
    model::ticket it;
    it.number = 1;
    it.set.emplace_back(
        model::service{service_id("drafts"), model::service_kind::model, "base", "", false});
    it.set.emplace_back(model::client_account{client_account_id("care-home"), 1, 1, 1});
    for (std::size_t n = 0; n < adapters; ++n) {
        const adapter_id id("adapter-" + std::to_string(n));
        it.set.emplace_back(model::adapter{id, service_id("drafts"), version_id("v1"), {}});
        it.set.emplace_back(
            model::adapter_version{id, version_id("v1"), "store:/" + id.str() + "/v1"});
    }
    return it;
}

model::ticket key_ticket(std::size_t keys) {
    model::ticket it;
    it.number = 2;
    for (std::size_t n = 0; n < keys; ++n) {
        it.set.emplace_back(model::key{key_id("k" + std::to_string(n)),
                                       client_account_id("care-home"),
                                       keys::key_digest("secret", key_text(n))});
    }
    return it;
}

}  // namespace

copy_costs measure_copies(std::size_t adapters, std::size_t keys) {
    copy_costs costs;
    const double before = heap_bytes();
    tickets::committed_configuration first;
    {
        const model::ticket it = first_ticket(adapters);
        first = tickets::apply({}, it);
    }
    costs.configuration_bytes = heap_bytes() - before;
    costs.head_bytes = static_cast<double>(tickets::to_text(first.at).size());
    for (std::size_t i = 0; i < model::shard_count; ++i) {
        const auto n = static_cast<double>(model::to_text(*first.value.shard_at(i)).size());
        costs.largest_shard_bytes = std::max(costs.largest_shard_bytes, n);
    }
    const double before_keys = heap_bytes();
    first = tickets::apply(first, key_ticket(keys));
    const tickets::committed_configuration& both = first;
    const auto index = keys::key_authenticator("secret").updated(both.value);
    costs.bytes_per_key = (heap_bytes() - before_keys) / static_cast<double>(keys);

    model::ticket change;
    change.number = 3;
    change.remove.push_back({model::resource_kind::key, "k0"});
    tickets::committed_configuration after;
    costs.apply_us = nanoseconds(repeats, [&](int) { after = tickets::apply(both, change); }) / 1e3;
    keys::key_authenticator next("secret");
    costs.update_us = nanoseconds(repeats, [&](int) { next = index.updated(after.value); }) / 1e3;
    std::size_t found = 0;
    costs.lookup_ns = nanoseconds(lookups, [&](int n) {
        const auto who = next.authenticate(key_text(static_cast<std::size_t>(n) % keys));
        found += std::holds_alternative<keys::authenticated>(who) ? 1 : 0;
    });
    if (found == 0) {
        costs.lookup_ns = -1;
    }
    return costs;
}

}  // namespace radishpulley::measure
