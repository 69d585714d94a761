#include "routing/segment_quarantine.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <random>

#include "routing/hints.h"

namespace radishpulley::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const time_point start{std::chrono::hours(1)};
constexpr segment_id shared = 1;
constexpr segment_id deadly = 0xdead;
constexpr segment_id rare = 0xbeef;

std::vector<prompt_segment> prompt(std::initializer_list<segment_id> ids) {
    std::vector<prompt_segment> out;
    for (const segment_id it : ids) {
        out.push_back({it, 100});
    }
    return out;
}

// VMs that tell each other of suspects through encoded messages.
struct fleet {
    explicit fleet(std::size_t n) {
        for (std::size_t i = 0; i < n; ++i) {
            ids.push_back(vm_id("v" + std::to_string(i)));
            vms.push_back(std::make_unique<segment_quarantine>());
        }
        for (std::size_t i = 0; i < n; ++i) {
            vms[i]->set_vms(ids[i], ids);
        }
    }

    static std::vector<suspect_segment> transfer(const std::vector<suspect_segment>& it) {
        const hint_message sent{{vm_id("v"), 1}, suspects_update{it}};
        return std::get<suspects_update>(decode_hint(encode(sent)).body).suspects;
    }

    void tell_changes(time_point now) {
        for (std::size_t from = 0; from < vms.size(); ++from) {
            const auto changes = transfer(vms[from]->take_changes(now));
            messages += changes.empty() ? 0 : 1;
            for (std::size_t to = 0; to < vms.size(); ++to) {
                if (to != from && !changes.empty()) {
                    vms[to]->on_peer_suspects(changes, now);
                }
            }
        }
    }

    void crash(std::size_t vm, crash_id crash, const std::vector<prompt_segment>& segments,
               time_point now) {
        vms[vm]->on_crash(crash, segments, now);
        tell_changes(now + milliseconds(10));
    }

    void answer(std::size_t vm, const std::vector<prompt_segment>& segments, time_point now) {
        vms[vm]->on_answered(segments, now);
        tell_changes(now + milliseconds(10));
    }

    std::size_t blocking(segment_id segment, time_point now) const {
        return static_cast<std::size_t>(std::count_if(vms.begin(), vms.end(), [&](const auto& it) {
            return std::holds_alternative<segment_blocked>(it->check(prompt({segment}), now));
        }));
    }

    std::vector<vm_id> ids;
    std::vector<std::unique_ptr<segment_quarantine>> vms;
    std::size_t messages = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(segment_quarantine_tests)

// Guards against crashes that go on because no VM sees enough of them itself.
BOOST_AUTO_TEST_CASE(vms_add_up_the_crashes_that_each_saw) {
    fleet it(9);
    it.answer(5, prompt({shared}), start);
    it.crash(0, 100, prompt({shared, deadly}), start + seconds(1));
    BOOST_TEST(it.blocking(deadly, start + seconds(1)) == 0U);
    it.crash(1, 101, prompt({shared, deadly}), start + seconds(2));
    BOOST_TEST(it.blocking(deadly, start + seconds(2)) == 9U);
    BOOST_TEST(it.blocking(shared, start + seconds(2)) == 0U);
}

// Guards against a block of sound segments that are in flight beside every crash.
BOOST_AUTO_TEST_CASE(an_answer_at_any_vm_frees_a_segment_of_earlier_crashes) {
    fleet it(9);
    for (int i = 0; i < 20; ++i) {
        const time_point now = start + seconds(i);
        it.crash(static_cast<std::size_t>(i) % 9, 100 + static_cast<crash_id>(i),
                 prompt({shared, deadly}), now);
        BOOST_TEST(it.blocking(shared, now) == 0U);
        it.answer(4, prompt({shared, rare}), now + milliseconds(500));
    }
    BOOST_TEST(it.blocking(deadly, start + seconds(20)) > 0U);
    BOOST_TEST(it.blocking(rare, start + seconds(20)) == 0U);
}

// Guards against a block after engines crashed together, such as those of a rack.
BOOST_AUTO_TEST_CASE(crashes_of_one_moment_count_once) {
    fleet it(3);
    for (crash_id i = 0; i < 6; ++i) {
        it.crash(i % 3, 100 + i, prompt({shared, rare}), start + milliseconds(5) * i);
    }
    BOOST_TEST(it.blocking(rare, start + seconds(1)) == 0U);
    BOOST_TEST(it.vms[0]->is_suspect(prompt({rare})));
}

// Guards against a block by the crashes of one engine alone, told by several VMs.
BOOST_AUTO_TEST_CASE(a_crash_that_several_vms_saw_counts_once) {
    fleet it(9);
    for (std::size_t vm = 0; vm < 9; ++vm) {
        it.crash(vm, 100, prompt({shared, rare}), start + milliseconds(150) * static_cast<int>(vm));
    }
    BOOST_TEST(it.blocking(rare, start + seconds(2)) == 0U);
}

// Guards against a segment that stays blocked for good although it is sound.
BOOST_AUTO_TEST_CASE(an_answered_trial_ends_a_block_at_all_vms) {
    fleet it(9);
    it.crash(0, 100, prompt({rare}), start);
    it.crash(1, 101, prompt({rare}), start + seconds(1));
    BOOST_TEST(it.blocking(rare, start + seconds(3)) == 9U);
    const time_point due = start + seconds(9);
    const auto verdict = it.vms[3]->check(prompt({rare}), due);
    BOOST_TEST(std::holds_alternative<trial_due>(verdict));
    it.vms[3]->begin_trial(rare, due);
    it.tell_changes(due);
    BOOST_TEST(it.blocking(rare, due) == 9U);
    it.answer(3, prompt({rare}), due + seconds(1));
    BOOST_TEST(it.blocking(rare, due + seconds(2)) == 0U);
}

// Guards against trials that go on crashing engines: after the fifth crash at most three requests
// may reach engines.
BOOST_AUTO_TEST_CASE(trials_of_a_deadly_segment_grow_rare) {
    fleet it(9);
    crash_id crash = 100;
    std::size_t after_fifth = 0;
    for (time_point now = start; now < start + minutes(30); now += milliseconds(100)) {
        const std::size_t vm = static_cast<std::size_t>((now - start) / milliseconds(100)) % 9;
        const auto verdict = it.vms[vm]->check(prompt({shared, deadly}), now);
        if (std::holds_alternative<segment_blocked>(verdict)) {
            continue;
        }
        if (std::holds_alternative<trial_due>(verdict)) {
            it.vms[vm]->begin_trial(deadly, now);
            it.tell_changes(now);
        }
        after_fifth += crash - 100 >= 5 ? 1 : 0;
        it.crash(vm, ++crash, prompt({shared, deadly}), now + milliseconds(50));
    }
    BOOST_TEST(after_fifth <= 3U);
}

// Guards against a block that a VM misses because the messages about the crashes were lost, or
// because it has just joined.
BOOST_AUTO_TEST_CASE(a_vm_learns_of_a_block_from_any_later_status) {
    fleet it(3);
    it.vms[0]->on_crash(100, prompt({shared, deadly}), start);
    it.vms[0]->on_crash(101, prompt({shared, deadly}), start + seconds(1));
    segment_quarantine joined;
    joined.on_peer_suspects(fleet::transfer(it.vms[0]->suspects(start + seconds(2))),
                            start + seconds(2));
    BOOST_TEST(std::holds_alternative<segment_blocked>(
        joined.check(prompt({deadly, 7}), start + seconds(2))));
}

// Guards against a stale accusation of one VM that comes back after the answer that disproved it.
BOOST_AUTO_TEST_CASE(an_answer_corrects_a_vm_that_missed_it) {
    fleet it(2);
    it.vms[0]->on_crash(100, prompt({rare}), start);
    it.tell_changes(start);
    it.vms[1]->on_answered(prompt({rare}), start + seconds(1));
    it.vms[1]->take_changes(start + seconds(1));  // lost
    it.vms[1]->on_peer_suspects(it.vms[0]->suspects(start + seconds(2)), start + seconds(2));
    it.tell_changes(start + seconds(2));
    BOOST_TEST(!it.vms[0]->is_suspect(prompt({rare})));
    BOOST_TEST(!it.vms[1]->is_suspect(prompt({rare})));
}

// Guards against a flood of messages where every VM could speak for a segment.
BOOST_AUTO_TEST_CASE(a_vm_is_quiet_once_another_has_spoken_for_a_segment) {
    fleet it(100);
    for (const auto& vm : it.vms) {
        vm->on_answered(prompt({shared}), start);
    }
    it.crash(0, 100, prompt({shared, deadly}), start + seconds(1));
    BOOST_TEST(it.messages <= 3U);
}

// Guards against status messages that carry each accusation of an ordinary crash for long.
BOOST_AUTO_TEST_CASE(a_status_repeats_only_blocks_and_recent_accusations) {
    segment_quarantine it;
    it.on_crash(100, prompt({rare}), start);
    BOOST_TEST(it.suspects(start + seconds(1)).size() == 1U);
    BOOST_TEST(it.suspects(start + seconds(10)).empty());
    it.on_crash(101, prompt({rare}), start + seconds(20));
    BOOST_TEST(it.suspects(start + minutes(2)).size() == 1U);
}

// Guards against state and messages that grow with the number of different segments.
BOOST_AUTO_TEST_CASE(state_and_messages_are_bounded) {
    const quarantine_settings settings;
    segment_quarantine it;
    for (segment_id i = 0; i < 50'000; ++i) {
        it.on_answered(prompt({i}), start);
        it.on_crash(i, prompt({1'000'000 + i, 2'000'000 + i}), start + milliseconds(i));
    }
    const time_point now = start + seconds(60);
    BOOST_TEST(it.suspects(now).size() <= settings.max_suspects_told);
    BOOST_TEST(it.take_changes(now).size() <= settings.max_suspects_told);
    BOOST_TEST(encode({{vm_id("v"), 1}, suspects_update{it.suspects(now)}}).size() < 4'096U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
