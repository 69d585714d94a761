#include <numeric>

#include <boost/test/unit_test.hpp>

#include "cold_start_fleet.h"
#include "routing/entry_change_filter.h"

namespace radishpulley::routing::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{std::chrono::hours(1)};
const endpoint_id engine("e1");
constexpr seconds cold_time{20};

endpoint entry(std::int64_t started_at_ms, std::uint64_t heartbeat,
               std::optional<milliseconds> cold_left = std::nullopt) {
    endpoint out;
    out.id = engine;
    out.service = service_id("s");
    out.started_at_ms = started_at_ms;
    out.heartbeat = heartbeat;
    out.cold_left = cold_left;
    return out;
}

// The limits of the only VM, which knows its members well before `start`.
struct single_vm {
    explicit single_vm(double cold_rate = 2, milliseconds cold_start = cold_time) {
        service it;
        it.id = service_id("s");
        it.cold_start = cold_start;
        it.cold_rate = cold_rate;
        const std::vector<service> services{it};
        limits.configure(services, start);
        for (time_point at = start - seconds(10); at <= start; at += seconds(1)) {
            confirm_members(at);
        }
    }

    void confirm_members(time_point at) {
        const std::vector<vm_id> vms{vm_id("a")};
        limits.set_vms(vm_id("a"), vms, at);
    }

    bool is_cold(time_point at) const { return limits.is_cold(engine, at); }

    cold_start_limits limits;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(cold_start_limits_tests)

// Guards against VMs that each send a cold engine its whole rate.
BOOST_AUTO_TEST_CASE(the_limit_holds_across_any_number_of_vms) {
    for (const std::size_t vms : {1, 2, 3, 4, 5, 6, 7, 9, 33, 64, 195, 380}) {
        for (const double rate : {0.5, 1.0, 6.4, 41.0}) {
            cold_start_fleet it({vms, rate, cold_time, duration::zero(), 50, vms});
            it.run(seconds(4));
            it.make_cold(true);
            it.run(seconds(5));
            BOOST_TEST_CONTEXT(vms << " VMs, " << rate << " a second") {
                BOOST_TEST(it.total_share() <= rate + 1e-9);
                BOOST_TEST(static_cast<double>(it.max_in_second) <= it.permitted_in_second());
            }
        }
    }
}

// Guards against limits that hold only because nothing is sent.
BOOST_AUTO_TEST_CASE(most_of_the_cold_rate_is_used) {
    for (const std::size_t vms : {1, 4, 6, 9, 64}) {
        cold_start_fleet it({vms, 6.4, seconds(60), duration::zero(), 50, vms});
        it.run(seconds(5));
        it.make_cold(true);
        it.run(seconds(2));
        const std::size_t before = it.sent;
        it.run(seconds(20));
        BOOST_TEST_CONTEXT(vms << " VMs") {
            BOOST_TEST(static_cast<double>(it.sent - before) >= 6.4 * 20 * 0.75);
        }
    }
}

// Guards against exceeding the limit while VMs join, leave and restart and their lists differ.
BOOST_AUTO_TEST_CASE(the_limit_holds_while_member_lists_differ) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        const std::size_t vms = 1 + seed * seed % 40;
        cold_start_fleet it({vms, 6.4, seconds(60), milliseconds(2'500), 20, seed});
        it.run(seconds(4));
        it.make_cold(true);
        std::vector<std::size_t> running(vms);
        std::iota(running.begin(), running.end(), 0U);
        for (int i = 0; i < 40; ++i) {
            const std::size_t at = it.draw(running.size());
            switch (it.draw(3)) {
                case 0:
                    running.push_back(it.add_vm());
                    break;
                case 1:
                    it.stop_vm(running[at]);
                    it.start_vm(running[at]);
                    break;
                default:
                    if (running.size() > 1) {
                        it.stop_vm(running[at]);
                        running.erase(running.begin() + static_cast<std::ptrdiff_t>(at));
                    }
            }
            it.run(milliseconds(100 + 10 * it.draw(100)));
            BOOST_TEST_CONTEXT("seed " << seed) {
                BOOST_TEST(it.total_share() <= 6.4 + 1e-9);
            }
        }
        BOOST_TEST_CONTEXT("seed " << seed) {
            BOOST_TEST(static_cast<double>(it.max_in_second) <= it.permitted_in_second());
        }
    }
}

// Guards against a fleet whose VMs start together and each send as if they were few.
BOOST_AUTO_TEST_CASE(the_limit_holds_while_a_fleet_starts) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        cold_start_fleet it({1, 6.4, seconds(60), milliseconds(2'500), 50, seed});
        it.make_cold(true);
        for (int i = 0; i < 60; ++i) {
            it.add_vm();
            it.run(milliseconds(10 * it.draw(60)));
        }
        it.run(seconds(5));
        BOOST_TEST_CONTEXT("seed " << seed) {
            BOOST_TEST(static_cast<double>(it.max_in_second) <= it.permitted_in_second());
        }
    }
}

// Guards against VMs that are cut off from the store and keep their share while others take it
// over. Their lists are old, but the others count them.
BOOST_AUTO_TEST_CASE(the_limit_holds_while_vms_are_cut_off) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        cold_start_fleet it({30, 6.4, seconds(60), milliseconds(1'000), 50, seed});
        it.run(seconds(5));
        for (std::size_t i = 0; i < 15; ++i) {
            it.set_cut_off(it.draw(30), true);
        }
        it.make_cold(true);
        it.run(seconds(3));
        it.add_vm();
        it.stop_vm(it.draw(30));
        it.run(seconds(10));
        BOOST_TEST_CONTEXT("seed " << seed) {
            BOOST_TEST(static_cast<double>(it.max_in_second) <= it.permitted_in_second());
        }
    }
}

// Guards against an engine that becomes cold again, with or without a restart, while the rate
// grows.
BOOST_AUTO_TEST_CASE(the_limit_holds_when_an_engine_becomes_cold_again) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        cold_start_fleet it({1 + seed * 19, 6.4, seconds(5), duration::zero(), 5, seed});
        it.run(seconds(5));
        for (int i = 0; i < 5; ++i) {
            it.make_cold(it.draw(2) == 0);
            it.run(milliseconds(5'000 + 100 * it.draw(50)));
        }
        BOOST_TEST_CONTEXT("seed " << seed) {
            BOOST_TEST(static_cast<double>(it.max_in_second) <= it.permitted_in_second());
        }
    }
}

// Guards against many VMs that all choose an engine at the moment in which it stops being cold.
BOOST_AUTO_TEST_CASE(the_rate_grows_without_a_step_after_the_cold_time) {
    for (const std::size_t vms : {1, 9, 64, 380}) {
        cold_start_fleet it({vms, 6.4, seconds(5), duration::zero(), 50, vms});
        it.run(seconds(5));
        it.make_cold(true);
        it.run(seconds(5));
        std::size_t last = 6;
        const auto is_limited = [&](time_point at) {
            return it.limits(0).rate(it.engine(), at).has_value();
        };
        for (int i = 0; is_limited(it.now() + seconds(1)); ++i) {
            const std::size_t before = it.sent;
            it.run(seconds(1));
            const std::size_t in_second = it.sent - before;
            BOOST_TEST_CONTEXT(vms << " VMs, second " << i) {
                // The rate doubles, and a second contains up to a request of each VM more.
                BOOST_TEST(in_second <= last * 2 + 6);
            }
            last = std::max(last, in_second);
        }
        it.run(seconds(2));
        BOOST_TEST(!is_limited(it.now()));
        BOOST_TEST(it.limits(0).allows(it.engine(), it.now()));
    }
}

// Guards against two requests of one VM that are closer than its rate permits.
BOOST_AUTO_TEST_CASE(requests_of_one_vm_are_spaced) {
    single_vm it(2);
    it.limits.on_entry(entry(1, 1, milliseconds(10'000)), start);
    BOOST_TEST((it.limits.wait(engine, start) == milliseconds(500)));
    it.limits.on_request_sent(engine, start + milliseconds(2'000));
    BOOST_TEST(!it.limits.allows(engine, start + milliseconds(2'499)));
    BOOST_TEST(it.limits.allows(engine, start + milliseconds(2'500)));
}

// Guards against a VM that starts and takes itself for the only one.
BOOST_AUTO_TEST_CASE(a_vm_that_does_not_know_the_members_sends_nothing) {
    single_vm it(6.4);
    it.limits.on_entry(entry(1, 1, milliseconds(60'000)), start);
    it.limits.set_vms(vm_id("a"), {}, start + seconds(1));
    BOOST_TEST(!it.limits.allows(engine, start + seconds(2)));
    BOOST_TEST((it.limits.wait(engine, start + seconds(2)) == duration::max()));
    it.confirm_members(start + seconds(3));
    BOOST_TEST(!it.limits.allows(engine, start + seconds(5)));
    it.confirm_members(start + seconds(5));
    BOOST_TEST(it.limits.allows(engine, start + milliseconds(6'200)));
    // The process is paused and its members are old.
    BOOST_TEST(!it.limits.allows(engine, start + seconds(20)));
}

BOOST_AUTO_TEST_CASE(a_service_without_a_cold_rate_has_no_limit) {
    single_vm it(0);
    it.limits.on_directory_read();
    it.limits.on_entry(entry(1, 1, milliseconds(10'000)), start);
    it.limits.on_evacuation_ended(engine, start);
    BOOST_TEST(!it.is_cold(start));
    BOOST_TEST(it.limits.allows(engine, start));
    BOOST_TEST(it.limits.allows(endpoint_id("unknown"), start));
}

// Guards against a start that goes unnoticed because its entry states no cold time.
BOOST_AUTO_TEST_CASE(a_new_start_without_a_stated_time_is_cold) {
    single_vm it;
    it.limits.on_entry(entry(1, 1), start);
    BOOST_TEST(!it.is_cold(start));
    it.limits.on_directory_read();
    it.limits.on_entry(entry(2, 1), start + seconds(1));
    BOOST_TEST(it.is_cold(start + seconds(20)));
    BOOST_TEST(!it.is_cold(start + seconds(21)));
    it.limits.on_entry(entry(2, 2, milliseconds(0)), start + seconds(3));
    BOOST_TEST(!it.is_cold(start + seconds(3)));
}

// Guards against a limit for engines that have been warm since before this VM started.
BOOST_AUTO_TEST_CASE(a_warm_engine_has_no_limit) {
    single_vm it;
    it.limits.on_entry(entry(1, 1, milliseconds(0)), start);
    it.limits.on_directory_read();
    it.limits.on_entry(entry(1, 2, milliseconds(0)), start + seconds(1));
    it.limits.on_entry(entry(1, 3), start + seconds(2));
    BOOST_TEST(!it.limits.rate(engine, start + seconds(2)).has_value());
}

// Guards against an older entry that ends the cold time which a response states, and against a
// cold time that begins again with each reading of the same entry.
BOOST_AUTO_TEST_CASE(the_longest_stated_time_applies) {
    single_vm it;
    it.limits.on_entry(entry(1, 1, milliseconds(0)), start);
    it.limits.on_response({engine, 1}, seconds(10), start);
    it.limits.on_response({engine, 1}, seconds(2), start + seconds(1));
    it.limits.on_entry(entry(1, 2, milliseconds(0)), start + seconds(1));
    BOOST_TEST(it.is_cold(start + milliseconds(9'999)));
    BOOST_TEST(!it.is_cold(start + seconds(10)));
    it.limits.on_entry(entry(1, 3, milliseconds(3'000)), start + seconds(20));
    it.limits.on_entry(entry(1, 3, milliseconds(3'000)), start + seconds(22));
    BOOST_TEST(!it.is_cold(start + seconds(23)));
}

// Guards against a late response of an earlier start.
BOOST_AUTO_TEST_CASE(a_response_of_an_earlier_start_is_ignored) {
    single_vm it;
    it.limits.on_entry(entry(2, 1, milliseconds(0)), start);
    it.limits.on_response({engine, 1}, seconds(10), start);
    BOOST_TEST(!it.is_cold(start));
}

// Guards against the first requests after an evacuation, which all VMs would send at once.
BOOST_AUTO_TEST_CASE(an_engine_is_cold_after_its_zones_evacuation) {
    single_vm it;
    it.limits.on_entry(entry(1, 1, milliseconds(0)), start);
    it.limits.on_evacuation_ended(engine, start);
    it.limits.on_entry(entry(1, 2, milliseconds(0)), start + seconds(1));
    BOOST_TEST(it.is_cold(start + seconds(19)));
    BOOST_TEST(!it.is_cold(start + cold_time));
    single_vm without(2, milliseconds(0));
    without.limits.on_entry(entry(1, 1, milliseconds(0)), start);
    without.limits.on_evacuation_ended(engine, start);
    BOOST_TEST(!without.limits.rate(engine, start).has_value());
}

BOOST_AUTO_TEST_CASE(changes_are_reported_once) {
    single_vm it;
    it.limits.on_entry(entry(1, 1, milliseconds(5'000)), start);
    const auto begun = it.limits.take_changes(start + seconds(1));
    BOOST_REQUIRE_EQUAL(begun.size(), 1U);
    BOOST_TEST(begun[0].is_cold);
    BOOST_TEST((begun[0].left == seconds(4)));
    BOOST_TEST((begun[0].age == seconds(1)));
    BOOST_TEST(it.limits.cold_count(start + seconds(1)) == 1U);
    BOOST_TEST(it.limits.take_changes(start + seconds(2)).empty());
    const auto ended = it.limits.take_changes(start + seconds(6));
    BOOST_REQUIRE_EQUAL(ended.size(), 1U);
    BOOST_TEST(!ended[0].is_cold);
    BOOST_TEST(it.limits.cold_count(start + seconds(6)) == 0U);
}

// Guards against VMs that rely on others' reports and never learn of a cold engine.
BOOST_AUTO_TEST_CASE(changes_of_the_cold_state_are_passed_on) {
    entry_change_filter it;
    it.update(entry(1, 1, milliseconds(5'000)));
    BOOST_TEST(!it.update(entry(1, 2, milliseconds(4'000))));
    BOOST_TEST(it.update(entry(1, 3, milliseconds(4'500))));
    BOOST_TEST(it.update(entry(1, 4, milliseconds(0))));
    BOOST_TEST(!it.update(entry(1, 5, milliseconds(0))));
    BOOST_TEST(it.update(entry(1, 6)));
    BOOST_TEST(!it.update(entry(1, 7)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing::testing
