#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "requests/request_machine.h"

using namespace radishpulley;
using namespace radishpulley::requests;
using namespace std::chrono_literals;

namespace {

const endpoint_id first_endpoint("engine-1");
const endpoint_id second_endpoint("engine-2");

// Drives one machine and keeps the decisions that it emits.
class driver {
public:
    explicit driver(repeat_policy repeat)
        : machine(parameters(repeat, clock.now()), request_limits()) {}

    template <typename Event>
    driver& operator()(Event it) {
        for (decision& entry : machine.handle(std::move(it), clock.now())) {
            emitted.push_back(std::move(entry));
        }
        return *this;
    }

    template <typename Decision>
    std::vector<Decision> decisions_of() const {
        std::vector<Decision> matches;
        for (const decision& it : emitted) {
            if (const auto* match = std::get_if<Decision>(&it)) {
                matches.push_back(*match);
            }
        }
        return matches;
    }
    template <typename Decision>
    std::size_t count() const {
        return decisions_of<Decision>().size();
    }
    std::string bytes() const {
        std::string text;
        for (const auto& it : decisions_of<decisions::forward_bytes>()) {
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
        return choose(first_endpoint, true);
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
    decision_list emitted;

private:
    static request_parameters parameters(repeat_policy repeat, time_point now) {
        return {request_id("r1"), repeat, now + 60s, "wedding@2"};
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(request_machine_suite)

BOOST_AUTO_TEST_CASE(a_stream_reaches_the_caller_completely) {
    driver run(repeat_policy::idempotent);
    run.until_streaming()(events::chunk{1, 0, "data: a\n\nda"})(
        events::chunk{1, 1, "ta: [DONE]\n\n"});
    run(events::response_end{1, true});
    BOOST_TEST(run.bytes() == "data: a\n\ndata: [DONE]\n\n");
    BOOST_TEST(run.count<decisions::end_response>() == 1U);
    BOOST_TEST((run.decisions_of<decisions::finished>().at(0).run == run_state::ran));
    BOOST_TEST(run.decisions_of<decisions::finished>().at(0).events_delivered == 1U);
}

// Covers each fault before and after the first byte for each repeat policy.
BOOST_AUTO_TEST_CASE(not_run_is_reported_only_before_the_first_byte) {
    struct row {
        const char* name;
        event fault;
    };
    const std::vector<row> rows = {{"caller key withdrawn", events::key_withdrawn{}},
                                   {"grace ended", events::grace_ended{}},
                                   {"deadline", events::tick{}}};
    for (const repeat_policy repeat : {repeat_policy::idempotent, repeat_policy::once_with_key,
                                       repeat_policy::once_without_key}) {
        for (const row& it : rows) {
            for (const bool sent : {false, true}) {
                BOOST_TEST_CONTEXT(it.name << " policy " << int(repeat) << " sent " << sent) {
                    driver run(repeat);
                    sent ? run.until_sent() : run.until_connecting();
                    if (std::holds_alternative<events::tick>(it.fault)) {
                        run.clock.advance(60s);
                    }
                    run(it.fault);
                    const auto errors = run.decisions_of<decisions::send_error>();
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

BOOST_AUTO_TEST_CASE(a_request_is_not_sent_after_its_deadline) {
    driver run(repeat_policy::once_without_key);
    run.until_connecting();
    run.clock.advance(60s);
    run(events::connected{1});
    BOOST_TEST(run.count<decisions::send_request>() == 0U);
    BOOST_TEST((run.decisions_of<decisions::send_error>().at(0).error.run == run_state::not_run));
}

BOOST_AUTO_TEST_CASE(non_idempotent_requests_are_sent_at_most_once) {
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
    for (const repeat_policy repeat :
         {repeat_policy::once_with_key, repeat_policy::once_without_key}) {
        for (const auto& fault : faults) {
            driver run(repeat);
            run.until_sent();
            fault(run);
            run(events::retry_granted{0s})(events::tick{})
                .choose(second_endpoint, true)(events::connected{2});
            BOOST_TEST(run.count<decisions::send_request>() == 1U);
            BOOST_TEST(run.count<decisions::release_record>() == 0U);
            BOOST_TEST(run.machine.is_finished());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_refused_connection_is_retried_elsewhere_even_if_not_idempotent) {
    driver run(repeat_policy::once_with_key);
    run.until_connecting()(events::attempt_failed{1, false})(events::retry_granted{5ms});
    run.clock.advance(5ms);
    run(events::tick{});
    BOOST_TEST(run.decisions_of<decisions::select_endpoint>().back().avoid ==
                   std::vector<endpoint_id>{first_endpoint},
               boost::test_tools::per_element());
    run.choose(second_endpoint, false)(events::connected{2});
    BOOST_TEST(run.count<decisions::create_record>() == 1U);
    BOOST_TEST(run.count<decisions::send_request>() == 1U);
}

BOOST_AUTO_TEST_CASE(a_503_is_retried_elsewhere_and_forwarded_after_the_last_attempt) {
    driver run(repeat_policy::idempotent);
    run.until_sent();
    for (attempt_number n = 1; n <= 3; ++n) {
        auto head = driver::plain_head(n, 4);
        head.status = 503;
        run(head)(events::chunk{n, 0, "busy"})(events::response_end{n, true});
        run(events::retry_granted{0s})(events::tick{})
            .choose(second_endpoint, false)(events::connected{n + 1});
    }
    BOOST_TEST(run.count<decisions::send_request>() == 3U);
    BOOST_TEST(run.decisions_of<decisions::forward_head>().at(0).status == 503);
    BOOST_TEST(run.bytes() == "busy");
}

BOOST_AUTO_TEST_CASE(a_retry_beyond_the_deadline_fails_at_once) {
    driver run(repeat_policy::idempotent);
    run.until_sent()(events::attempt_failed{1, false})(events::retry_granted{60s});
    BOOST_TEST(run.count<decisions::send_error>() == 1U);
}

BOOST_AUTO_TEST_CASE(a_failed_connect_reports_not_run) {
    driver run(repeat_policy::once_with_key);
    run.until_sent()(events::attempt_failed{1, false, true})(events::retry_granted{0s});
    run(events::tick{}).choose(second_endpoint, false)(events::connected{2});
    BOOST_TEST(run.count<decisions::send_request>() == 2U);
    run(events::attempt_failed{2, false, true})(events::retry_denied{});
    BOOST_TEST((run.decisions_of<decisions::send_error>().at(0).error.run == run_state::not_run));
    BOOST_TEST(run.count<decisions::release_record>() == 1U);

    driver answering(repeat_policy::once_with_key);
    answering.until_sent()(driver::plain_head(1, 4))(events::attempt_failed{1, false, true});
    BOOST_TEST((answering.decisions_of<decisions::send_error>().at(0).error.run ==
                run_state::failed_after_start));
}

BOOST_AUTO_TEST_CASE(a_denied_retry_fails_at_once) {
    driver run(repeat_policy::idempotent);
    run.until_sent()(events::attempt_failed{1, true})(events::retry_denied{});
    BOOST_TEST((run.decisions_of<decisions::send_error>().at(0).error.code ==
                error_code::endpoint_failed));
    BOOST_TEST((run.decisions_of<decisions::finished>().at(0).run == run_state::unknown));
}

BOOST_AUTO_TEST_CASE(a_truncated_plain_response_is_retried_without_mixing_bytes) {
    driver run(repeat_policy::idempotent);
    run.until_sent()(driver::plain_head(1, 4))(events::chunk{1, 0, "ol"});
    run(events::response_end{1, false})(events::retry_granted{0s})(events::tick{});
    run.choose(second_endpoint, false)(events::connected{2})(driver::plain_head(2, 3));
    run(events::chunk{1, 1, "d!"})(events::chunk{2, 0, "new"})(events::response_end{2, true});
    BOOST_TEST(run.bytes() == "new");
    BOOST_TEST(run.machine.dropped() == 1U);
}

BOOST_AUTO_TEST_CASE(a_broken_stream_resumes_at_its_endpoint_after_the_delivered_events) {
    driver run(repeat_policy::idempotent);
    run.until_streaming()(events::chunk{1, 0, "data: a\n\ndata: hal"});
    run(events::attempt_failed{1, true})(events::retry_granted{0s})(events::tick{});
    BOOST_TEST((run.decisions_of<decisions::select_endpoint>().back().resume_at == first_endpoint));
    run.choose(first_endpoint, true)(events::connected{2});
    BOOST_TEST(run.decisions_of<decisions::send_request>().back().resume_from == 1U);
    auto head = driver::stream_head(2);
    head.resumed_from = 1;
    run(head)(events::chunk{2, 0, "data: b\n\ndata: [DONE]\n\n"})(events::response_end{2, true});
    BOOST_TEST(run.bytes() == "data: a\n\ndata: b\n\ndata: [DONE]\n\n");
    BOOST_TEST(run.count<decisions::forward_head>() == 1U);
    BOOST_TEST(run.count<decisions::suspend_attempt>() == 1U);
    BOOST_TEST(run.count<decisions::cancel_attempt>() == 0U);
    BOOST_TEST(run.count<decisions::release_attempt>() == 2U);
}

BOOST_AUTO_TEST_CASE(a_stream_that_cannot_resume_ends_with_an_error_event) {
    const std::vector<std::function<void(driver&)>> faults = {
        [](driver& run) { run(events::retry_denied{}); },
        [](driver& run) {
            run(events::retry_granted{0s})(events::tick{}).choose(second_endpoint, true);
        },
        [](driver& run) {
            run(events::retry_granted{0s})(events::tick{}).choose(first_endpoint, false);
        },
        [](driver& run) {
            run(events::retry_granted{0s})(events::tick{}).choose(first_endpoint, true);
            run(events::connected{2})(driver::stream_head(2));
        }};
    for (const auto& fault : faults) {
        driver run(repeat_policy::idempotent);
        run.until_streaming()(events::chunk{1, 0, "data: a\n\n"})(events::response_end{1, true});
        fault(run);
        BOOST_REQUIRE(run.count<decisions::end_with_error_event>() == 1U);
        BOOST_TEST((run.decisions_of<decisions::end_with_error_event>()[0].error.run ==
                    run_state::failed_after_start));
        BOOST_TEST(run.count<decisions::end_response>() == 0U);
        const std::size_t taken = run.count<decisions::open_connection>();
        BOOST_TEST(run.count<decisions::cancel_attempt>() == taken);
    }
}

BOOST_AUTO_TEST_CASE(responses_of_another_request_or_version_are_not_forwarded) {
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
        BOOST_TEST((run.decisions_of<decisions::send_error>().at(0).error.code ==
                    error_code::wrong_answer));
    }
}

BOOST_AUTO_TEST_CASE(requests_not_yet_sent_to_a_leaving_endpoint_are_rerouted) {
    driver run(repeat_policy::once_without_key);
    run.until_connecting()(events::endpoint_leaving{first_endpoint});
    BOOST_TEST(run.count<decisions::cancel_attempt>() == 1U);
    run(events::connected{1});
    BOOST_TEST(run.count<decisions::send_request>() == 0U);
    run.choose(second_endpoint,
               false)(events::connected{2})(events::endpoint_leaving{second_endpoint});
    BOOST_TEST(run.count<decisions::send_request>() == 1U);
    BOOST_TEST(!run.machine.is_finished());
}

BOOST_AUTO_TEST_CASE(an_attempt_that_the_writer_did_not_send_has_not_run) {
    driver run(repeat_policy::once_with_key);
    run.until_sent()(events::not_sent{1});
    BOOST_TEST((run.machine.run() == run_state::not_run));
    run.choose(second_endpoint, false)(events::connected{2})(events::not_sent{1});
    BOOST_TEST((run.machine.run() == run_state::unknown));
    run(events::not_sent{2})(events::grace_ended{});
    BOOST_TEST((run.decisions_of<decisions::send_error>().at(0).error.run == run_state::not_run));
    BOOST_TEST(run.count<decisions::release_record>() == 1U);

    driver retried(repeat_policy::idempotent);
    retried.until_sent()(events::attempt_failed{1, false})(events::retry_granted{0s});
    retried(events::tick{})
        .choose(second_endpoint, false)(events::connected{2})(events::not_sent{2});
    BOOST_TEST((retried.machine.run() == run_state::unknown));
}

BOOST_AUTO_TEST_CASE(a_disconnected_caller_cancels_its_run_unless_it_has_a_key) {
    driver stream(repeat_policy::idempotent);
    stream.until_streaming()(events::caller_left{});
    BOOST_TEST(stream.count<decisions::cancel_attempt>() == 1U);
    BOOST_TEST(stream.machine.is_finished());

    driver keyed(repeat_policy::once_with_key);
    keyed.until_sent()(events::caller_left{})(driver::plain_head(1, 2));
    keyed(events::chunk{1, 0, "ok"})(events::response_end{1, true});
    BOOST_TEST(keyed.count<decisions::cancel_attempt>() == 0U);
    BOOST_TEST(keyed.bytes().empty());
    BOOST_TEST(keyed.decisions_of<decisions::store_outcome>().at(0).body == "ok");
}

BOOST_AUTO_TEST_CASE(late_admissions_and_endpoint_choices_are_released) {
    driver run(repeat_policy::once_with_key);
    run(events::validated{})(events::authenticated{})(events::caller_left{});
    run(events::admitted{}).choose(first_endpoint, false);
    BOOST_TEST(run.count<decisions::release_admission>() == 1U);
    BOOST_TEST(run.count<decisions::release_endpoint>() == 1U);
}

BOOST_AUTO_TEST_CASE(a_late_record_is_released_and_a_duplicate_one_is_not) {
    driver late(repeat_policy::once_with_key);
    late(events::validated{})(events::authenticated{})(events::admitted{});
    late(events::caller_left{})(events::record_created{});
    BOOST_TEST(late.count<decisions::release_record>() == 1U);

    driver doubled(repeat_policy::once_with_key);
    doubled.until_sent()(events::record_created{})(events::attempt_failed{1, false});
    doubled(events::record_created{});
    BOOST_TEST(doubled.count<decisions::release_record>() == 0U);
}

BOOST_AUTO_TEST_CASE(a_slow_caller_pauses_reading_and_then_times_out) {
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
    BOOST_TEST((run.decisions_of<decisions::end_with_error_event>().at(0).error.code ==
                error_code::caller_too_slow));
}

BOOST_AUTO_TEST_CASE(a_truncated_long_plain_response_aborts_the_connection) {
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
