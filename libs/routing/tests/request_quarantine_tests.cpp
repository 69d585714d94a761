#include "routing/request_quarantine.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <random>

#include "routing/hints.h"

namespace radishpulley::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const time_point start{std::chrono::hours(1)};
constexpr suspect_id shared{0, 1};
constexpr suspect_id deadly{0, 0xdead};
constexpr suspect_id rare{0, 0xbeef};
constexpr suspect_id once_more{0xfeed, 0xdead};

std::vector<suspect_id> prompt(std::initializer_list<suspect_id> ids) {
    return ids;
}

// VMs that tell each other of suspects through encoded messages.
struct fleet {
    explicit fleet(std::size_t n) {
        for (std::size_t i = 0; i < n; ++i) {
            ids.push_back(vm_id("v" + std::to_string(i)));
            vms.push_back(std::make_unique<request_quarantine>());
        }
        for (std::size_t i = 0; i < n; ++i) {
            vms[i]->set_vms(ids[i], ids);
        }
    }

    static std::vector<suspect> transfer(const std::vector<suspect>& it) {
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

    void crash(std::size_t vm, crash_id crash, const std::vector<suspect_id>& suspects,
               time_point now) {
        vms[vm]->on_crash(crash, suspects, now);
        tell_changes(now + milliseconds(10));
    }

    void answer(std::size_t vm, const std::vector<suspect_id>& suspects, time_point now) {
        vms[vm]->on_answered(suspects, now);
        tell_changes(now + milliseconds(10));
    }

    std::size_t blocking(const suspect_id& id, time_point now) const {
        return static_cast<std::size_t>(std::count_if(vms.begin(), vms.end(), [&](const auto& it) {
            return std::holds_alternative<request_blocked>(it->check(prompt({id}), now));
        }));
    }

    std::vector<vm_id> ids;
    std::vector<std::unique_ptr<request_quarantine>> vms;
    std::size_t messages = 0;
};

// Requests with the suspect come for half an hour, and each that is sent crashes an endpoint.
// Returns how many are sent after that many crashes.
std::size_t sent_after_crashes(
    std::size_t crashes, const suspect_id& suspect,
    const std::function<void(fleet&, std::size_t vm, time_point now)>& after_each) {
    fleet it(9);
    const crash_id first = 100;
    crash_id crash = first;
    std::size_t out = 0;
    for (time_point now = start; now < start + minutes(30); now += milliseconds(100)) {
        const std::size_t vm = static_cast<std::size_t>((now - start) / milliseconds(100)) % 9;
        const auto verdict = it.vms[vm]->check(prompt({shared, suspect}), now);
        if (std::holds_alternative<request_blocked>(verdict)) {
            continue;
        }
        if (std::holds_alternative<trial_due>(verdict)) {
            it.vms[vm]->begin_trial(suspect, now);
            it.tell_changes(now);
        }
        out += crash - first >= crashes ? 1 : 0;
        it.crash(vm, ++crash, prompt({shared, suspect}), now + milliseconds(50));
        after_each(it, vm, now);
    }
    return out;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_quarantine_tests)

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
    BOOST_TEST(sent_after_crashes(5, deadly, [](fleet&, std::size_t, time_point) {}) <= 3U);
}

// Guards against a block that a VM misses because the messages about the crashes were lost, or
// because it has just joined.
BOOST_AUTO_TEST_CASE(a_vm_learns_of_a_block_from_any_later_status) {
    fleet it(3);
    it.vms[0]->on_crash(100, prompt({shared, deadly}), start);
    it.vms[0]->on_crash(101, prompt({shared, deadly}), start + seconds(1));
    request_quarantine joined;
    joined.on_peer_suspects(fleet::transfer(it.vms[0]->suspects(start + seconds(2))),
                            start + seconds(2));
    BOOST_TEST(std::holds_alternative<request_blocked>(
        joined.check(prompt({deadly, {0, 7}}), start + seconds(2))));
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
    request_quarantine it;
    it.on_crash(100, prompt({rare}), start);
    BOOST_TEST(it.suspects(start + seconds(1)).size() == 1U);
    BOOST_TEST(it.suspects(start + seconds(10)).empty());
    it.on_crash(101, prompt({rare}), start + seconds(20));
    BOOST_TEST(it.suspects(start + minutes(2)).size() == 1U);
}

// Guards against state and messages that grow with the number of different segments.
BOOST_AUTO_TEST_CASE(state_and_messages_are_bounded) {
    const quarantine_settings settings;
    request_quarantine it;
    for (crash_id i = 0; i < 50'000; ++i) {
        it.on_answered(prompt({{0, i}}), start);
        it.on_crash(i, prompt({{0, 1'000'000 + i}, {7, 2'000'000 + i}}), start + milliseconds(i));
    }
    const time_point now = start + seconds(60);
    BOOST_TEST(it.suspects(now).size() <= settings.max_suspects_repeated);
    BOOST_TEST(it.take_changes(now).size() <= settings.max_changes_told);
    BOOST_TEST(encode({{vm_id("v"), 1}, suspects_update{it.suspects(now)}}).size() < 4'096U);
}

// Guards against a request of an application service, which no part of a prompt stands for, that
// crashes one endpoint after the other.
BOOST_AUTO_TEST_CASE(vms_add_up_the_crashes_by_a_request_that_comes_again) {
    fleet it(9);
    it.crash(0, 100, prompt({once_more}), start);
    BOOST_TEST(it.blocking(once_more, start) == 0U);
    BOOST_TEST(!it.vms[0]->is_suspect(prompt({once_more})));
    it.crash(4, 101, prompt({once_more, shared}), start + milliseconds(60));
    BOOST_TEST(it.blocking(once_more, start + seconds(1)) == 9U);
    BOOST_TEST(it.vms[0]->is_suspect(prompt({once_more})));
}

// Guards against trials that go on crashing endpoints: after the third crash at most three requests
// may reach them.
BOOST_AUTO_TEST_CASE(trials_of_a_deadly_request_grow_rare) {
    const auto free_shared = [](fleet& it, std::size_t vm, time_point now) {
        it.answer(vm, prompt({shared}), now + milliseconds(60));
    };
    BOOST_TEST(sent_after_crashes(3, once_more, free_shared) <= 3U);
}

// Guards against a block of a request that many callers repeat, such as one for a status page: it
// is in flight at every crash.
BOOST_AUTO_TEST_CASE(an_answer_frees_a_request_that_was_in_flight_at_crashes_of_other_causes) {
    fleet it(9);
    for (int i = 0; i < 20; ++i) {
        const time_point now = start + seconds(i);
        it.crash(static_cast<std::size_t>(i) % 9, 100 + static_cast<crash_id>(i),
                 prompt({once_more}), now);
        BOOST_TEST(it.blocking(once_more, now) == 0U);
        it.answer(4, prompt({once_more}), now + milliseconds(20));
    }
}

// Guards against messages that grow with the requests in flight at a crash, and against one of them
// that no VM hears of.
BOOST_AUTO_TEST_CASE(all_requests_in_flight_at_a_crash_are_told_in_several_messages) {
    fleet it(2);
    for (std::uint64_t i = 0; i < 200; ++i) {
        it.vms[0]->on_crash(100, prompt({{9, i}}), start);
    }
    std::size_t messages = 0;
    while (it.vms[0]->has_changes()) {
        it.vms[1]->on_peer_suspects(fleet::transfer(it.vms[0]->take_changes(start)), start);
        ++messages;
    }
    BOOST_TEST(messages == 4U);
    it.crash(1, 101, prompt({{9, 199}}), start + seconds(1));
    BOOST_TEST(it.blocking({9, 199}, start + seconds(1)) == 2U);
}

// Guards against a sound request that is taken for a deadly one, and against a deadly one that is
// not recognised because its id is new each time.
BOOST_AUTO_TEST_CASE(requests_are_told_apart_by_caller_path_and_body) {
    const client_account_id acme("acme");
    const request_content content{acme, "POST", "h", "/a/b?c", "body"};
    const suspect_id id = suspect_of(content);
    BOOST_TEST(id.is_request());
    BOOST_TEST((id == suspect_of(content)));
    const std::vector<request_content> others{
        {client_account_id("other"), "POST", "h", "/a/b?c", "body"},
        {acme, "PUT", "h", "/a/b?c", "body"},
        {acme, "POST", "g", "/a/b?c", "body"},
        {acme, "POST", "h", "/a/b?d", "body"},
        {acme, "POST", "h", "/a/b?", "cbody"},
        {acme, "POST", "h", "/a/b?c", "bodies"}};
    for (const request_content& it : others) {
        BOOST_TEST((id != suspect_of(it)));
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
