#include "slope_rows.h"

#include <chrono>
#include <cstdio>

#include "encoded_size.h"
#include "quota_trial/trial_fleet.h"

namespace radishpulley::measure {
namespace {

using namespace quota;
using std::chrono::seconds;

constexpr duration warm_up = seconds(5);
constexpr duration length = seconds(10);
constexpr int admissions = 200'000;

client_account_id account(std::size_t i) {
    return client_account_id("account-" + std::to_string(i));
}

struct cost {
    std::size_t vm_count = 9;
    std::size_t account_count = 5;
    std::size_t slot_count = 16;
    // Requests a second of each account, each of 1 % of its burst.
    double requests = 8;
};

void run_fleet(const cost& shape, std::uint64_t seed) {
    trial_settings settings;
    settings.seed = seed;
    settings.vm_count = shape.vm_count;
    settings.slot_count = shape.slot_count;
    for (std::size_t i = 0; i < shape.account_count; ++i) {
        settings.limits[account(i)] = {to_amount(shape.requests * 12.5),
                                       to_amount(shape.requests * 125)};
    }
    trial_fleet fleet(settings);
    std::mt19937_64 random(seed);
    std::uint64_t bytes = 0;
    const token_amount size = to_amount(shape.requests * 1.25);
    const auto count = static_cast<std::size_t>(8 * 10) * shape.account_count;
    for (std::size_t i = 0; i < count; ++i) {
        const auto at = warm_up + duration(static_cast<duration::rep>(random() % length.count()));
        fleet.at(at, [&fleet, size, vm = random() % shape.vm_count, i, &shape] {
            fleet.admit(vm, account(i % shape.account_count), size,
                        [](const admission_decision& /*it*/) {});
        });
    }
    fleet.run_until(warm_up);
    fleet.watch_messages([&](const outgoing_message& it) { bytes += encoded_size(it); });
    const std::uint64_t before = fleet.counts().messages;
    fleet.run_until(warm_up + length);
    const double span = 10.0 * static_cast<double>(shape.vm_count);
    std::printf(
        "%6zu daemons %4zu accounts %4zu slots: %8.2f messages %8.1f bytes a daemon and s\n",
        shape.vm_count, shape.account_count, shape.slot_count,
        static_cast<double>(fleet.counts().messages - before) / span,
        static_cast<double>(bytes) / span);
}

void run_processor_time() {
    const vm_incarnation self{vm_id("vm-0"), 1};
    virtual_clock source;
    quota_node node(self, quota_policy());
    node.set_limits({{account(0), {to_amount(1e6), to_amount(1e7)}}}, source.now());
    slot_table table;
    table.slots.assign(16, slot_entry{self, 1});
    node.set_table(table, source.now());
    std::size_t admitted_count = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 1; i <= admissions; ++i) {
        source.advance(std::chrono::milliseconds(1));
        const quota_output out = node.admit(i, account(0), to_amount(800), source.now());
        admitted_count += out.decisions.size();
        node.settle(i, to_amount(800), source.now());
        if (node.next_event() <= source.now()) {
            node.advance(source.now());
        }
    }
    const auto took =
        std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start);
    std::printf("%.0f ns of processor time an admission, settlement included (%zu decisions)\n",
                took.count() / admissions, admitted_count);
}

}  // namespace

void run_slope_rows(std::uint64_t seed, const std::string& only) {
    if (!only.empty() && only != "slopes") {
        return;
    }
    for (const cost& it : {cost{9, 1}, cost{9, 5}, cost{9, 20}, cost{40, 5}, cost{120, 5},
                           cost{380, 5}, cost{380, 5, 64}}) {
        run_fleet(it, seed);
    }
    run_processor_time();
}

}  // namespace radishpulley::measure
