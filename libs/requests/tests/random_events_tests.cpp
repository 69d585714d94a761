#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <string>

#include "requests/request_machine.h"

using namespace radishpulley;
using namespace radishpulley::requests;
using namespace std::chrono_literals;

namespace {

constexpr int sequence_count = 20'000;
constexpr int events_in_sequence = 60;

// Tallies the decisions of a machine to check invariants that hold for any sequence of events.
struct decision_tally {
    int sends = 0;
    int response_ends = 0;
    int finish_count = 0;
    int open_attempts = 0;
    attempt_number attempt = 0;
    bool head_forwarded = false;
    bool claimed_not_run_after_send = false;
    bool wrote_after_end = false;

    void operator()(const decisions::open_connection& it) {
        ++open_attempts;
        attempt = it.attempt;
    }
    void operator()(const decisions::cancel_attempt&) { --open_attempts; }
    void operator()(const decisions::release_attempt&) { --open_attempts; }
    void operator()(const decisions::send_request&) { ++sends; }
    void operator()(const decisions::forward_bytes&) { wrote_after_end |= response_ends > 0; }
    void operator()(const decisions::forward_head&) {
        wrote_after_end |= response_ends > 0 || head_forwarded;
        head_forwarded = true;
    }
    void operator()(const decisions::send_error& it) {
        wrote_after_end |= head_forwarded;
        end(it.error);
    }
    void operator()(const decisions::end_with_error_event& it) { end(it.error); }
    void operator()(const decisions::abort_response& it) { end(it.error); }
    void operator()(const decisions::end_response&) { ++response_ends; }
    void operator()(const decisions::finished&) { ++finish_count; }
    template <typename Other>
    void operator()(const Other&) {}

    void end(const request_error& error) {
        ++response_ends;
        claimed_not_run_after_send |= error.run == run_state::not_run && sends > 0;
    }
};

events::response_head draw_head(std::mt19937_64& random, attempt_number attempt) {
    events::response_head head;
    head.attempt = attempt;
    head.status = random() % 4 == 0 ? 503 : 200;
    head.framing = random() % 2 == 0 ? body_framing::server_sent_events : body_framing::chunked;
    head.resumed_from = random() % 2 == 0 ? 0 : random() % 4;
    return head;
}

// Draws an event that the machine expects in its current state.
event draw_expected_event(std::mt19937_64& random, const request_machine& machine,
                          attempt_number attempt, std::uint64_t sequence) {
    const std::string_view state = name_of(machine.state());
    if (state == "recording") {
        return events::record_created{};
    }
    if (state == "routing") {
        return events::endpoint_chosen{endpoint_id("e"), true};
    }
    if (state == "connecting") {
        return events::connected{attempt};
    }
    if (state == "sent") {
        return draw_head(random, attempt);
    }
    if (state == "asking_retry") {
        return events::retry_granted{0s};
    }
    if (state == "answering" && random() % 4 == 0) {
        return events::response_end{attempt, true};
    }
    if (state == "answering") {
        return events::chunk{attempt, sequence,
                             random() % 4 == 0 ? "data: [DONE]\n\n" : "data: x\n\n"};
    }
    return events::tick{};
}

// Draws any event but `not_sent`, which would turn a sent request into an unsent one.
event draw_event(std::mt19937_64& random, attempt_number attempt, std::uint64_t sequence) {
    const attempt_number attempt_of_event = random() % 8 == 0 ? attempt + 1 : attempt;
    const events::response_head head = draw_head(random, attempt_of_event);
    const std::string data = random() % 4 == 0 ? "data: [DONE]\n\n" : "data: x\n\n";
    switch (random() % 20) {
        case 0:
            return events::validated{};
        case 1:
            return events::authenticated{};
        case 2:
            return events::admitted{};
        case 3:
            return events::record_created{};
        case 4:
        case 5:
            return events::endpoint_chosen{endpoint_id("e"), true};
        case 6:
        case 7:
            return events::connected{attempt_of_event};
        case 8:
        case 9:
            return head;
        case 10:
        case 11:
        case 12:
            return events::chunk{attempt_of_event, sequence, data};
        case 13:
            return events::response_end{attempt_of_event, random() % 2 == 0};
        case 14:
            return events::attempt_failed{attempt_of_event, false};
        case 15:
        case 16:
            return events::retry_granted{0s};
        case 17:
            return events::tick{};
        case 18:
            return events::endpoint_leaving{endpoint_id("e")};
        default:
            break;
    }
    switch (random() % 8) {
        case 0:
            return events::caller_left{};
        case 1:
            return events::key_withdrawn{};
        case 2:
            return events::grace_ended{};
        case 3:
            return events::refused{};
        case 4:
            return events::retry_denied{};
        default:
            return events::caller_backlog{random() % 2 == 0 ? std::size_t{0} : 300'000};
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(random_events_suite)

BOOST_AUTO_TEST_CASE(invariants_hold_for_random_events) {
    std::map<int, int> sends_seen;
    int answered = 0;
    for (std::uint64_t seed = 1; seed <= sequence_count; ++seed) {
        std::mt19937_64 random(seed);
        const virtual_clock clock;
        const auto repeat = static_cast<repeat_policy>(seed % 3);
        request_machine machine({request_id("r"), repeat, clock.now() + 60s, ""}, request_limits());
        decision_tally tally;
        std::uint64_t sequence = 0;
        const auto apply = [&](const event& it) {
            for (const decision& entry : machine.handle(it, clock.now())) {
                std::visit(tally, entry);
                const bool is_new_attempt = std::holds_alternative<decisions::send_request>(entry);
                sequence = is_new_attempt ? 0 : sequence;
            }
        };
        apply(events::validated{});
        apply(events::authenticated{});
        apply(events::admitted{});
        for (int n = 0; n < events_in_sequence; ++n) {
            const event it = random() % 2 == 0
                                 ? draw_event(random, tally.attempt, sequence)
                                 : draw_expected_event(random, machine, tally.attempt, sequence);
            apply(it);
            sequence += std::holds_alternative<events::chunk>(it) ? 1 : 0;
        }
        apply(events::grace_ended{});
        BOOST_TEST_CONTEXT("seed " << seed) {
            BOOST_REQUIRE(machine.is_finished());
            BOOST_REQUIRE(tally.finish_count == 1);
            BOOST_REQUIRE(tally.response_ends <= 1);
            BOOST_REQUIRE(tally.open_attempts == 0);
            BOOST_REQUIRE(!tally.claimed_not_run_after_send);
            BOOST_REQUIRE(!tally.wrote_after_end);
            BOOST_REQUIRE((repeat == repeat_policy::idempotent || tally.sends <= 1));
        }
        ++sends_seen[tally.sends];
        answered += tally.head_forwarded ? 1 : 0;
    }
    // The random events must lead enough requests to a send, a retry and a response.
    BOOST_TEST(sends_seen[1] > sequence_count / 10);
    BOOST_TEST(sends_seen[2] > 100);
    BOOST_TEST(answered > sequence_count / 20);
}

BOOST_AUTO_TEST_SUITE_END()
