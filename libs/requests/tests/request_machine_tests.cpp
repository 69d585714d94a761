#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "requests/request_machine.h"

using namespace radishpulley;
using namespace radishpulley::requests;
using namespace std::chrono_literals;

namespace {

const endpoint_id first("engine-1");
const endpoint_id second("engine-2");

// Drives one machine and keeps what it decided.
class driver {
public:
    explicit driver(repeat_policy repeat) : machine(terms(repeat, clock.now()), request_limits()) {}

    template <typename Event>
    driver& operator()(Event it) {
        for (decision& entry : machine.handle(std::move(it), clock.now())) {
            decided.push_back(std::move(entry));
        }
        return *this;
    }

    template <typename Decision>
    std::vector<Decision> all() const {
        std::vector<Decision> found;
        for (const decision& it : decided) {
            if (const auto* held = std::get_if<Decision>(&it)) {
                found.push_back(*held);
            }
        }
        return found;
    }
    template <typename Decision>
    std::size_t count() const {
        return all<Decision>().size();
    }
    std::string bytes() const {
        std::string text;
        for (const auto& it : all<decisions::forward_bytes>()) {
            text += it.data;
        }
        return text;
    }

    driver& until_connecting() {
        (*this)(events::validated{})(events::authenticated{})(events::queued{});
        (*this)(events::admitted{});
        if (count<decisions::create_record>() == 1) {
            (*this)(events::record_created{});
        }
        return choose(first, true);
    }
    driver& until_sent() { return until_connecting()(events::connected{1}); }
    driver& until_streaming() { return until_sent()(stream_head(1)); }
    driver& choose(const endpoint_id& endpoint, bool can_resume) {
        return (*this)(events::endpoint_chosen{endpoint, can_resume});
    }
    static events::response_head stream_head(attempt_number attempt) {
        events::response_head it;
        it.attempt = attempt;
        it.status = 200;
        it.framing = body_framing::server_sent_events;
        return it;
    }
    static events::response_head plain_head(attempt_number attempt, std::uint64_t length) {
        events::response_head it;
        it.attempt = attempt;
        it.status = 200;
        it.framing = body_framing::content_length;
        it.content_length = length;
        return it;
    }

    virtual_clock clock;
    request_machine machine;
    decision_list decided;

private:
    static request_parameters terms(repeat_policy repeat, time_point now) {
        return {request_id("r1"), repeat, now + 60s, "wedding@2"};
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(request_machine_suite)

BOOST_AUTO_TEST_CASE(a_stream_reaches_the_caller_whole) {
    driver run(repeat_policy::idempotent);
    run.until_streaming()(events::chunk{1, 0, "data: a\n\nda"})(
        events::chunk{1, 1, "ta: [DONE]\n\n"});
    run(events::response_end{1, true});
    BOOST_TEST(run.bytes() == "data: a\n\ndata: [DONE]\n\n");
    BOOST_TEST(run.count<decisions::end_response>() == 1U);
    BOOST_TEST((run.all<decisions::finished>().at(0).run == run_state::ran));
    BOOST_TEST(run.all<decisions::finished>().at(0).events_delivered == 1U);
}

// Every fault before and after the first byte, for each rule.
BOOST_AUTO_TEST_CASE(not_run_is_said_only_before_the_first_byte) {
    struct row {
        const char* name;
        event fault;
    };
    const std::vector<row> rows = {{"caller key withdrawn", events::key_withdrawn{}},
                                   {"grace ended", events::grace_ended{}},
                                   {"deadline", events::tick{}}};
    for (const repeat_policy repeat :
         {repeat_policy::idempotent, repeat_policy::once_with_key, repeat_policy::once_without_key}) {
        for (const row& it : rows) {
            for (const bool sent : {false, true}) {
                BOOST_TEST_CONTEXT(it.name << " rule " << int(repeat) << " sent " << sent) {
                    driver run(repeat);
                    sent ? run.until_sent() : run.until_connecting();
                    if (std::holds_alternative<events::tick>(it.fault)) {
                        run.clock.advance(60s);
                    }
                    run(it.fault);
                    const auto errors = run.all<decisions::send_error>();
                    BOOST_REQUIRE(errors.size() == 1U);
                    BOOST_TEST(
                        (errors[0].error.run == (sent ? run_state::unknown : run_state::not_run)));
                    BOOST_TEST(run.count<decisions::cancel_attempt>() +
                                   (run.machine.is_finished() ? 0U : 1U) ==
                               1U);
                    const bool releases = repeat == repeat_policy::once_with_key && !sent;
                    BOOST_TEST(run.count<decisions::release_record>() == (releases ? 1U : 0U));
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_request_that_was_not_sent_in_time_is_not_sent) {
    driver run(repeat_policy::once_without_key);
    run.until_connecting();
    run.clock.advance(60s);
    run(events::connected{1});
    BOOST_TEST(run.count<decisions::send_request>() == 0U);
    BOOST_TEST((run.all<decisions::send_error>().at(0).error.run == run_state::not_run));
}

BOOST_AUTO_TEST_CASE(non_idempotent_requests_are_sent_once_whatever_fails) {
    const std::vector<std::function<void(driver&)>> faults = {
        [](driver& run) {
            run(events::attempt_failed{1, false});
        },
        [](driver& run) {
            run(events::attempt_failed{1, true});
        },
        [](driver& run) {
            run(events::response_end{1, true});
        },
        [](driver& run) {
            auto head = driver::plain_head(1, 0);
            head.status = 503;
            run(head)(events::response_end{1, true});
        },
        [](driver& run) {
            run(driver::plain_head(1, 4))(events::response_end{1, false});
        }};
    for (const repeat_policy repeat : {repeat_policy::once_with_key, repeat_policy::once_without_key}) {
        for (const auto& fault : faults) {
            driver run(repeat);
            run.until_sent();
            fault(run);
            run(events::retry_granted{0s})(events::tick{})
                .choose(second, true)(events::connected{2});
            BOOST_TEST(run.count<decisions::send_request>() == 1U);
            BOOST_TEST(run.count<decisions::release_record>() == 0U);
            BOOST_TEST(run.machine.is_finished());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_refused_connection_is_tried_elsewhere_even_when_not_idempotent) {
    driver run(repeat_policy::once_with_key);
    run.until_connecting()(events::attempt_failed{1, false})(events::retry_granted{5ms});
    run.clock.advance(5ms);
    run(events::tick{});
    BOOST_TEST(run.all<decisions::select_endpoint>().back().avoid == std::vector<endpoint_id>{first},
               boost::test_tools::per_element());
    run.choose(second, false)(events::connected{2});
    BOOST_TEST(run.count<decisions::create_record>() == 1U);
    BOOST_TEST(run.count<decisions::send_request>() == 1U);
}

BOOST_AUTO_TEST_CASE(an_unable_endpoint_is_left_and_at_the_last_attempt_its_answer_is_passed_on) {
    driver run(repeat_policy::idempotent);
    run.until_sent();
    for (attempt_number n = 1; n <= 3; ++n) {
        auto head = driver::plain_head(n, 4);
        head.status = 503;
        run(head)(events::chunk{n, 0, "busy"})(events::response_end{n, true});
        run(events::retry_granted{0s})(events::tick{})
            .choose(second, false)(events::connected{n + 1});
    }
    BOOST_TEST(run.count<decisions::send_request>() == 3U);
    BOOST_TEST(run.all<decisions::forward_head>().at(0).status == 503);
    BOOST_TEST(run.bytes() == "busy");
}

BOOST_AUTO_TEST_CASE(a_retry_that_would_come_after_the_deadline_is_answered_now) {
    driver run(repeat_policy::idempotent);
    run.until_sent()(events::attempt_failed{1, false})(events::retry_granted{60s});
    BOOST_TEST(run.count<decisions::send_error>() == 1U);
}

BOOST_AUTO_TEST_CASE(a_client_that_could_not_connect_has_not_run_the_request) {
    driver run(repeat_policy::once_with_key);
    run.until_sent()(events::attempt_failed{1, false, true})(events::retry_granted{0s});
    run(events::tick{}).choose(second, false)(events::connected{2});
    BOOST_TEST(run.count<decisions::send_request>() == 2U);
    run(events::attempt_failed{2, false, true})(events::retry_denied{});
    BOOST_TEST((run.all<decisions::send_error>().at(0).error.run == run_state::not_run));
    BOOST_TEST(run.count<decisions::release_record>() == 1U);

    driver answering(repeat_policy::once_with_key);
    answering.until_sent()(driver::plain_head(1, 4))(events::attempt_failed{1, false, true});
    BOOST_TEST((answering.all<decisions::send_error>().at(0).error.run ==
                run_state::failed_after_start));
}

BOOST_AUTO_TEST_CASE(a_denied_retry_answers_at_once) {
    driver run(repeat_policy::idempotent);
    run.until_sent()(events::attempt_failed{1, true})(events::retry_denied{});
    BOOST_TEST(
        (run.all<decisions::send_error>().at(0).error.code == error_code::endpoint_failed));
    BOOST_TEST((run.all<decisions::finished>().at(0).run == run_state::unknown));
}

BOOST_AUTO_TEST_CASE(a_cut_plain_answer_is_retried_and_its_bytes_do_not_mix) {
    driver run(repeat_policy::idempotent);
    run.until_sent()(driver::plain_head(1, 4))(events::chunk{1, 0, "ol"});
    run(events::response_end{1, false})(events::retry_granted{0s})(events::tick{});
    run.choose(second, false)(events::connected{2})(driver::plain_head(2, 3));
    run(events::chunk{1, 1, "d!"})(events::chunk{2, 0, "new"})(events::response_end{2, true});
    BOOST_TEST(run.bytes() == "new");
    BOOST_TEST(run.machine.dropped() == 1U);
}

BOOST_AUTO_TEST_CASE(a_cut_stream_resumes_at_its_endpoint_after_the_delivered_events) {
    driver run(repeat_policy::idempotent);
    run.until_streaming()(events::chunk{1, 0, "data: a\n\ndata: hal"});
    run(events::attempt_failed{1, true})(events::retry_granted{0s})(events::tick{});
    BOOST_TEST((run.all<decisions::select_endpoint>().back().resume_at == first));
    run.choose(first, true)(events::connected{2});
    BOOST_TEST(run.all<decisions::send_request>().back().resume_from == 1U);
    auto head = driver::stream_head(2);
    head.resumed_from = 1;
    run(head)(events::chunk{2, 0, "data: b\n\ndata: [DONE]\n\n"})(events::response_end{2, true});
    BOOST_TEST(run.bytes() == "data: a\n\ndata: b\n\ndata: [DONE]\n\n");
    BOOST_TEST(run.count<decisions::forward_head>() == 1U);
    BOOST_TEST(run.count<decisions::suspend_attempt>() == 1U);
    BOOST_TEST(run.count<decisions::cancel_attempt>() == 0U);
    BOOST_TEST(run.count<decisions::release_attempt>() == 2U);
}

BOOST_AUTO_TEST_CASE(a_stream_that_does_not_resume_ends_with_an_error_event) {
    const std::vector<std::function<void(driver&)>> faults = {
        [](driver& run) { run(events::retry_denied{}); },
        [](driver& run) { run(events::retry_granted{0s})(events::tick{}).choose(second, true); },
        [](driver& run) { run(events::retry_granted{0s})(events::tick{}).choose(first, false); },
        [](driver& run) {
            run(events::retry_granted{0s})(events::tick{}).choose(first, true);
            run(events::connected{2})(driver::stream_head(2));
        }};
    for (const auto& fault : faults) {
        driver run(repeat_policy::idempotent);
        run.until_streaming()(events::chunk{1, 0, "data: a\n\n"})(events::response_end{1, true});
        fault(run);
        BOOST_REQUIRE(run.count<decisions::end_with_error_event>() == 1U);
        BOOST_TEST((run.all<decisions::end_with_error_event>()[0].error.run ==
                    run_state::failed_after_start));
        BOOST_TEST(run.count<decisions::end_response>() == 0U);
        const std::size_t taken = run.count<decisions::open_connection>();
        BOOST_TEST(run.count<decisions::cancel_attempt>() == taken);
    }
}

BOOST_AUTO_TEST_CASE(answers_of_another_request_or_version_are_not_passed_on) {
    for (const bool echo : {true, false}) {
        driver run(repeat_policy::idempotent);
        run.until_sent();
        auto head = driver::stream_head(1);
        if (echo) {
            head.echoed_id = request_id("r2");
        } else {
            head.served_version = "wedding@1";
        }
        run(head)(events::chunk{1, 0, "data: not mine\n\n"})(events::retry_denied{});
        BOOST_TEST(run.bytes().empty());
        BOOST_TEST(
            (run.all<decisions::send_error>().at(0).error.code == error_code::wrong_answer));
    }
}

BOOST_AUTO_TEST_CASE(a_leaving_endpoint_loses_requests_that_are_not_yet_sent) {
    driver run(repeat_policy::once_without_key);
    run.until_connecting()(events::endpoint_leaving{first});
    BOOST_TEST(run.count<decisions::cancel_attempt>() == 1U);
    run(events::connected{1});
    BOOST_TEST(run.count<decisions::send_request>() == 0U);
    run.choose(second, false)(events::connected{2})(events::endpoint_leaving{second});
    BOOST_TEST(run.count<decisions::send_request>() == 1U);
    BOOST_TEST(!run.machine.is_finished());
}

BOOST_AUTO_TEST_CASE(what_the_writer_gave_back_has_not_run) {
    driver run(repeat_policy::once_with_key);
    run.until_sent()(events::not_sent{1});
    BOOST_TEST((run.machine.run() == run_state::not_run));
    run.choose(second, false)(events::connected{2})(events::not_sent{1});
    BOOST_TEST((run.machine.run() == run_state::unknown));
    run(events::not_sent{2})(events::grace_ended{});
    BOOST_TEST((run.all<decisions::send_error>().at(0).error.run == run_state::not_run));
    BOOST_TEST(run.count<decisions::release_record>() == 1U);

    driver retried(repeat_policy::idempotent);
    retried.until_sent()(events::attempt_failed{1, false})(events::retry_granted{0s});
    retried(events::tick{}).choose(second, false)(events::connected{2})(events::not_sent{2});
    BOOST_TEST((retried.machine.run() == run_state::unknown));
}

BOOST_AUTO_TEST_CASE(a_caller_that_left_cancels_its_run_but_not_a_keyed_one) {
    driver stream(repeat_policy::idempotent);
    stream.until_streaming()(events::caller_left{});
    BOOST_TEST(stream.count<decisions::cancel_attempt>() == 1U);
    BOOST_TEST(stream.machine.is_finished());

    driver keyed(repeat_policy::once_with_key);
    keyed.until_sent()(events::caller_left{})(driver::plain_head(1, 2));
    keyed(events::chunk{1, 0, "ok"})(events::response_end{1, true});
    BOOST_TEST(keyed.count<decisions::cancel_attempt>() == 0U);
    BOOST_TEST(keyed.bytes().empty());
    BOOST_TEST(keyed.all<decisions::store_outcome>().at(0).body == "ok");
}

BOOST_AUTO_TEST_CASE(choices_that_come_too_late_are_given_back) {
    driver run(repeat_policy::once_with_key);
    run(events::validated{})(events::authenticated{})(events::caller_left{});
    run(events::admitted{}).choose(first, false);
    BOOST_TEST(run.count<decisions::release_admission>() == 1U);
    BOOST_TEST(run.count<decisions::release_endpoint>() == 1U);
}

BOOST_AUTO_TEST_CASE(a_record_that_comes_too_late_is_released_and_a_doubled_one_is_not) {
    driver late(repeat_policy::once_with_key);
    late(events::validated{})(events::authenticated{})(events::admitted{});
    late(events::caller_left{})(events::record_created{});
    BOOST_TEST(late.count<decisions::release_record>() == 1U);

    driver doubled(repeat_policy::once_with_key);
    doubled.until_sent()(events::record_created{})(events::attempt_failed{1, false});
    doubled(events::record_created{});
    BOOST_TEST(doubled.count<decisions::release_record>() == 0U);
}

BOOST_AUTO_TEST_CASE(a_slow_caller_stops_the_reading_and_then_ends) {
    driver run(repeat_policy::idempotent);
    run.until_streaming()(events::chunk{1, 0, "data: a\n\n"})(events::caller_backlog{300'000});
    BOOST_TEST(run.count<decisions::pause_reading>() == 1U);
    run.clock.advance(19s);
    run(events::tick{});
    BOOST_TEST(!run.machine.is_finished());
    run(events::caller_backlog{10})(events::caller_backlog{300'000});
    BOOST_TEST(run.count<decisions::resume_reading>() == 1U);
    run.clock.advance(20s);
    run(events::tick{});
    BOOST_TEST((run.all<decisions::end_with_error_event>().at(0).error.code ==
                error_code::caller_too_slow));
}

BOOST_AUTO_TEST_CASE(a_long_plain_answer_that_is_cut_breaks_the_connection) {
    for (const repeat_policy repeat : {repeat_policy::idempotent, repeat_policy::once_with_key}) {
        driver run(repeat);
        run.until_sent()(driver::plain_head(1, 100'000));
        run(events::chunk{1, 0, std::string(70'000, 'x')});
        BOOST_TEST(run.bytes().size() == 70'000U);
        run(events::response_end{1, false});
        BOOST_TEST(run.count<decisions::abort_response>() == 1U);
        BOOST_TEST(run.count<decisions::acquire_retry>() == 0U);
        BOOST_TEST(run.count<decisions::store_outcome>() == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
