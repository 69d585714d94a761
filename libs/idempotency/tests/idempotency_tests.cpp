#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "base/findings.h"
#include "idempotency/once_guard.h"
#include "idempotency/record_epochs.h"
#include "idempotency/record_sweeper.h"
#include "standins/late_object_store.h"
#include "standins/memory_object_store.h"

using namespace radishpulley;
using namespace radishpulley::idempotency;
using namespace std::chrono_literals;
using radishpulley::standins::memory_object_store;
using radishpulley::standins::store_fault;

namespace {

constexpr epoch_number epoch = 5;
const client_account_id account("charity");

// Two VMs that share one object store.
struct fleet {
    explicit fleet(guard_limits limits = guard_limits())
        : here(store, {vm_id("vm-1"), 1}, limits), there(store, {vm_id("vm-2"), 1}, limits) {}

    begin_result begin(once_guard& guard, const std::string& content = "pay 5") {
        return guard.begin({account, "key-1", content, request_id("r")}, epoch, clock.now());
    }
    void finish(once_guard& guard, const begin_result& permit) {
        guard.finish(std::get<run_permit>(permit), {201, "text/plain", "paid \xff", true},
                     clock.now());
    }
    void retry(once_guard& guard) {
        clock.advance(1s);
        guard.retry_pending(clock.now());
    }

    virtual_clock clock;
    memory_object_store store;
    once_guard here;
    once_guard there;
};

bool runs(const begin_result& it) {
    return std::holds_alternative<run_permit>(it);
}

bool is_refused(const begin_result& it, refusal reason) {
    const auto* value = std::get_if<refusal>(&it);
    return value != nullptr && *value == reason;
}

bool is_stored(const begin_result& it) {
    const auto* value = std::get_if<outcome>(&it);
    return value != nullptr && value->status == 201 && value->body == "paid \xff";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(idempotency_suite)

BOOST_AUTO_TEST_CASE(a_repeat_at_any_vm_gets_the_stored_outcome) {
    fleet it;
    const auto permit = it.begin(it.here);
    BOOST_TEST(runs(permit));
    BOOST_TEST(is_refused(it.begin(it.here), refusal::in_progress_here));
    BOOST_TEST(is_refused(it.begin(it.there), refusal::outcome_unknown));
    it.finish(it.here, permit);
    BOOST_TEST(is_stored(it.begin(it.here)));
    BOOST_TEST(is_stored(it.begin(it.there)));
    BOOST_TEST(is_refused(it.begin(it.there, "pay 6"), refusal::key_reused));
    BOOST_TEST(it.store.counts().writes == 7U);
}

// Faults of the calls that begin() makes, in this order: put, get, put, get, put, get.
BOOST_AUTO_TEST_CASE(faults_while_the_record_is_created) {
    const auto none = store_fault::none;
    const auto call = store_fault::lost_call;
    const auto answer = store_fault::lost_answer;
    struct row {
        std::deque<store_fault> faults;
        bool may_run;
    };
    const std::vector<row> rows = {{{}, true},
                                   {{call}, true},
                                   {{answer}, true},
                                   {{call, none, answer}, true},
                                   {{call, call}, false},
                                   {{answer, call}, false},
                                   {{call, none, call, none, call, none}, false},
                                   {{call, none, call, none, answer, call}, false},
                                   {{answer, call, call}, false}};
    for (std::size_t i = 0; i < rows.size(); ++i) {
        BOOST_TEST_CONTEXT("row " << i) {
            fleet it;
            it.store.inject(rows[i].faults);
            const auto first = it.begin(it.here);
            BOOST_TEST(runs(first) == rows[i].may_run);
            BOOST_TEST((runs(first) || is_refused(first, refusal::unavailable)));
            it.store.inject({});
            if (runs(first)) {
                BOOST_TEST(!runs(it.begin(it.there)));
                continue;
            }
            it.retry(it.here);
            BOOST_TEST(runs(it.begin(it.there)));
            for (int n = 0; n < 70; ++n) {
                it.retry(it.here);
            }
            BOOST_TEST(!runs(it.begin(it.here)));
            BOOST_TEST(it.here.pending() == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(one_of_two_racing_vms_runs_the_call) {
    fleet it;
    begin_result other;
    it.store.before_next_update([&] { other = it.begin(it.there); });
    const auto own = it.begin(it.here);
    BOOST_TEST(runs(other));
    BOOST_TEST(is_refused(own, refusal::outcome_unknown));
}

BOOST_AUTO_TEST_CASE(one_of_many_threads_at_two_vms_runs_each_call) {
    constexpr int calls = 50;
    constexpr int threads = 8;
    guard_limits limits;
    limits.call_burst = calls * threads;
    fleet it(limits);
    std::array<std::atomic<int>, calls> permits{};
    std::vector<std::thread> workers;
    for (int n = 0; n < threads; ++n) {
        workers.emplace_back([&, n] {
            once_guard& guard = n % 2 == 0 ? it.here : it.there;
            for (int i = 0; i < calls; ++i) {
                const keyed_call call{account, std::to_string(i), "x", request_id("r")};
                permits[i] += runs(guard.begin(call, epoch, it.clock.now())) ? 1 : 0;
            }
        });
    }
    for (std::thread& worker : workers) {
        worker.join();
    }
    for (const auto& n : permits) {
        BOOST_TEST(n == 1);
    }
}

BOOST_AUTO_TEST_CASE(a_pending_release_never_deletes_a_later_attempt_of_the_same_request) {
    fleet it;
    it.store.inject({store_fault::lost_call, store_fault::lost_call, store_fault::lost_call});
    BOOST_TEST(is_refused(it.begin(it.here), refusal::unavailable));
    BOOST_TEST(it.here.pending() == 1U);
    BOOST_TEST(runs(it.begin(it.here)));
    it.retry(it.here);
    BOOST_TEST(!runs(it.begin(it.there)));
}

BOOST_AUTO_TEST_CASE(a_create_that_takes_effect_late_is_released) {
    fleet it;
    standins::late_object_store late(it.store);
    once_guard guard(late, {vm_id("vm-3"), 1}, guard_limits());
    late.hold_updates(3);
    BOOST_TEST(is_refused(it.begin(guard), refusal::unavailable));
    it.retry(guard);
    late.deliver();
    BOOST_TEST(is_refused(it.begin(it.there), refusal::outcome_unknown));
    it.retry(guard);
    BOOST_TEST(runs(it.begin(it.there)));
}

BOOST_AUTO_TEST_CASE(a_create_that_takes_effect_late_is_the_same_attempt) {
    fleet it;
    standins::late_object_store late(it.store);
    once_guard guard(late, {vm_id("vm-3"), 1}, guard_limits());
    late.hold_updates(1);
    const auto permit = it.begin(guard);
    BOOST_TEST(runs(permit));
    late.deliver();
    it.finish(guard, permit);
    BOOST_TEST(is_stored(it.begin(it.there)));
}

BOOST_AUTO_TEST_CASE(duplicated_updates_change_nothing) {
    for (const bool ran : {true, false}) {
        fleet it;
        standins::late_object_store doubling(it.store);
        doubling.double_updates();
        once_guard guard(doubling, {vm_id("vm-3"), 1}, guard_limits());
        const auto permit = it.begin(guard);
        BOOST_REQUIRE(runs(permit));
        BOOST_TEST(!runs(it.begin(it.there)));
        if (ran) {
            it.finish(guard, permit);
        } else {
            guard.release(std::get<run_permit>(permit), it.clock.now());
            it.retry(guard);
        }
        BOOST_TEST(guard.pending() == 0U);
        BOOST_TEST(is_stored(it.begin(it.there)) == ran);
    }
}

BOOST_AUTO_TEST_CASE(a_call_that_did_not_run_may_be_repeated) {
    for (const auto fault : {store_fault::none, store_fault::lost_call, store_fault::lost_answer}) {
        fleet it;
        const auto permit = it.begin(it.here);
        it.store.inject({store_fault::none, fault});
        it.here.release(std::get<run_permit>(permit), it.clock.now());
        it.retry(it.here);
        BOOST_TEST(it.here.pending() == 0U);
        BOOST_TEST(runs(it.begin(it.there)));
    }
}

BOOST_AUTO_TEST_CASE(faults_while_the_outcome_is_stored) {
    for (const auto fault : {store_fault::lost_call, store_fault::lost_answer}) {
        fleet it;
        const auto permit = it.begin(it.here);
        it.store.inject({fault});
        it.finish(it.here, permit);
        BOOST_TEST(it.here.pending() == 1U);
        BOOST_TEST(!runs(it.begin(it.there)));
        it.store.set_down(true);
        it.retry(it.here);
        BOOST_TEST(is_refused(it.begin(it.there), refusal::unavailable));
        it.store.set_down(false);
        it.retry(it.here);
        BOOST_TEST(it.here.pending() == 0U);
        BOOST_TEST(is_stored(it.begin(it.there)));
    }
}

BOOST_AUTO_TEST_CASE(a_dead_vm_leaves_an_unknown_outcome_and_no_second_run) {
    fleet it;
    BOOST_TEST(runs(it.begin(it.here)));
    once_guard successor(it.store, {vm_id("vm-1"), 2}, guard_limits());
    BOOST_TEST(is_refused(it.begin(successor), refusal::outcome_unknown));
    BOOST_TEST(is_refused(it.begin(it.there), refusal::outcome_unknown));
}

BOOST_AUTO_TEST_CASE(pending_completions_are_bounded_and_new_calls_are_refused_at_the_limit) {
    guard_limits limits;
    limits.max_pending = 1;
    fleet it(limits);
    const auto permit = it.begin(it.here);
    it.store.inject({store_fault::lost_call});
    it.finish(it.here, permit);
    const keyed_call next{account, "key-2", "x", request_id("r2")};
    BOOST_TEST(is_refused(it.here.begin(next, epoch, it.clock.now()), refusal::unavailable));
    it.retry(it.here);
    BOOST_TEST(runs(it.here.begin(next, epoch, it.clock.now())));
}

BOOST_AUTO_TEST_CASE(calls_over_the_rate_limit_are_refused_without_a_write) {
    fleet it;
    const auto begin = [&](int n) {
        return it.here.begin({account, "k" + std::to_string(n), "x", request_id("r")}, epoch,
                             it.clock.now());
    };
    for (int n = 0; n < 20; ++n) {
        BOOST_TEST(runs(begin(n)));
    }
    BOOST_TEST(is_refused(begin(20), refusal::rate_limited));
    BOOST_TEST(it.store.counts().writes == 20U);
    it.clock.advance(100ms);
    BOOST_TEST(runs(begin(20)));
    BOOST_TEST(is_refused(begin(21), refusal::rate_limited));
}

BOOST_AUTO_TEST_CASE(a_call_with_a_long_outcome_never_runs_again) {
    fleet it;
    const auto permit = it.begin(it.here);
    const outcome result{200, "text/plain", std::string(max_body_kept + 1, 'x'), true};
    it.here.finish(std::get<run_permit>(permit), result, it.clock.now());
    BOOST_TEST(is_refused(it.begin(it.there), refusal::outcome_not_kept));
}

BOOST_AUTO_TEST_CASE(a_malformed_record_lets_no_call_run) {
    fleet it;
    it.store.put(record_name(account, "key-1"), "{", 0);
    BOOST_TEST(is_refused(it.begin(it.here), refusal::outcome_unknown));
    BOOST_CHECK_THROW(parse_record("{}"), invalid_input);
}

BOOST_AUTO_TEST_CASE(record_names_hide_and_separate_accounts_and_keys) {
    BOOST_TEST(record_name(client_account_id("a"), "bc") !=
               record_name(client_account_id("ab"), "c"));
    BOOST_TEST(fingerprint_of("POST", "/p", "q") != fingerprint_of("POST", "/", "pq"));
    BOOST_TEST(!is_valid_key(""));
    BOOST_TEST(!is_valid_key("a b"));
    BOOST_TEST(!is_valid_key(std::string(max_key_length + 1, 'k')));
}

// A record lives for its whole retention even if daemons join, leave and read late.
BOOST_AUTO_TEST_CASE(no_record_expires_before_its_retention) {
    virtual_clock clock;
    memory_object_store store;
    record_epochs early(store);
    early.poll(clock.now());
    early.poll(clock.now());
    clock.advance(59min);
    std::array<record_epochs, 3> daemons = {record_epochs(store), record_epochs(store),
                                            record_epochs(store)};
    const epoch_number created = early.current(clock.now()).value();
    const time_point created_at = clock.now();
    bool expired = false;
    for (int minute = 0; !expired && minute < 60 * 40; ++minute) {
        daemons[minute % daemons.size()].poll(clock.now());
        early.poll(clock.now());
        const auto current = early.current(clock.now());
        expired = current && is_expired(created, *current);
        clock.advance(1min);
    }
    BOOST_TEST(expired);
    BOOST_TEST((clock.now() - created_at >= retention_epochs * epoch_length));
}

BOOST_AUTO_TEST_CASE(a_daemon_without_the_object_api_has_no_epoch) {
    virtual_clock clock;
    memory_object_store store;
    record_epochs epochs(store);
    epochs.poll(clock.now());
    epochs.poll(clock.now());
    store.set_down(true);
    clock.advance(60min);
    epochs.poll(clock.now());
    BOOST_TEST(epochs.current(clock.now()).has_value());
    clock.advance(1min);
    BOOST_TEST(!epochs.current(clock.now()).has_value());
}

BOOST_AUTO_TEST_CASE(sweeps_delete_expired_records_and_read_each_record_once) {
    fleet it;
    const auto permit = it.begin(it.here);
    const std::string name = std::get<run_permit>(permit).name;
    const std::size_t shard = std::stoul(name.substr(name.find('/') + 1, 2), nullptr, 16);
    record_sweeper sweeper(it.store);
    BOOST_TEST(sweeper.sweep(shard, epoch + 26, 10).read == 1U);
    BOOST_TEST(sweeper.sweep(shard, epoch + 26, 10).read == 0U);
    it.finish(it.here, permit);
    BOOST_TEST(sweeper.sweep(shard, epoch + 27, 10).deleted == 1U);
    BOOST_TEST(is_stored(it.begin(it.there)));
    BOOST_TEST(sweeper.sweep(shard, epoch + 27, 10).deleted == 1U);
    BOOST_TEST(runs(it.begin(it.there)));
}

BOOST_AUTO_TEST_CASE(every_shard_has_one_sweeper) {
    const std::vector<vm_id> vms = {vm_id("a"), vm_id("b"), vm_id("c")};
    for (std::size_t shard = 0; shard < record_shard_count; ++shard) {
        int sweepers = 0;
        for (const vm_id& vm : vms) {
            sweepers += is_sweeper(shard, vm, vms) ? 1 : 0;
        }
        BOOST_TEST(sweepers == 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()
