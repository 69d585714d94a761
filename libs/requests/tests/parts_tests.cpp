#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/findings.h"
#include "requests/admission_queue.h"
#include "requests/connection_monitor.h"
#include "requests/endpoint_gate.h"
#include "requests/retry_budget.h"
#include "requests/shutdown_sequence.h"
#include "requests/state_freshness.h"
#include "requests/stream_assembler.h"

using namespace radishpulley;
using namespace radishpulley::requests;
using namespace std::chrono_literals;

namespace {

const client_account_id account("care-home");

template <typename Action, typename List>
std::size_t count(const List& list) {
    std::size_t n = 0;
    for (const auto& it : list) {
        n += std::holds_alternative<Action>(it) ? 1 : 0;
    }
    return n;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_parts_suite)

BOOST_AUTO_TEST_CASE(error_body_has_all_fields_and_retry_after_is_rounded_up) {
    request_error it;
    it.code = error_code::queue_full;
    it.request = request_id("r1");
    it.retry_after = 1200ms;
    const auto value = nlohmann::json::parse(to_json_text(it)).at("error");
    BOOST_TEST(value.at("code") == "queue_full");
    BOOST_TEST(value.at("run_state") == "not_run");
    BOOST_TEST(value.at("retry_after_ms") == 1200);
    BOOST_TEST(retry_after_seconds(it).value() == 2);
    BOOST_TEST(http_status(it.code) == 503);
}

// A stream that is cut at any byte before the end of its terminator must count as incomplete.
BOOST_AUTO_TEST_CASE(stream_cut_at_any_byte_is_incomplete) {
    for (const std::string text : {"data: a\n\n: ping\n\ndata: b\n\ndata: [DONE]\n\n",
                                   "data: a\r\n\r\ndata: [DONE]\r\n\r\n"}) {
        for (std::size_t n = 0; n <= text.size(); ++n) {
            stream_assembler body;
            body.begin_attempt(1, body_framing::server_sent_events, std::nullopt);
            std::string out;
            for (std::size_t i = 0; i < n; ++i) {
                out += body.take(1, i, text.substr(i, 1)).ready;
            }
            BOOST_TEST(body.is_complete(true) == (n == text.size()));
            BOOST_TEST(text.compare(0, out.size(), out) == 0);
        }
    }
}

BOOST_AUTO_TEST_CASE(chunks_out_of_order_get_distinct_verdicts) {
    stream_assembler body;
    body.begin_attempt(2, body_framing::content_length, 4);
    BOOST_TEST((body.take(1, 0, "x").verdict == chunk_verdict::stale));
    BOOST_TEST((body.take(2, 1, "x").verdict == chunk_verdict::gap));
    BOOST_TEST((body.take(2, 0, "ab").verdict == chunk_verdict::accepted));
    BOOST_TEST((body.take(2, 0, "ab").verdict == chunk_verdict::duplicate));
    BOOST_TEST(!body.is_complete(true));
    BOOST_TEST((body.take(2, 1, "cde").verdict == chunk_verdict::overrun));
}

BOOST_AUTO_TEST_CASE(data_after_the_terminator_is_an_overrun) {
    stream_assembler body;
    body.begin_attempt(1, body_framing::server_sent_events, std::nullopt);
    body.take(1, 0, "data: [DONE]\n\n");
    BOOST_TEST((body.take(1, 1, "data: b\n\n").verdict == chunk_verdict::overrun));
}

BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_and_have_jitter) {
    retry_budget budget(retry_limits(), 7);
    std::size_t granted = 0;
    duration shortest = 1h;
    duration longest{0};
    for (int i = 0; i < 1000; ++i) {
        budget.count_request();
        const request_id id(std::to_string(i));
        if (const auto delay = budget.try_spend(id, 1)) {
            ++granted;
            shortest = std::min(shortest, *delay);
            longest = std::max(longest, *delay);
        }
    }
    BOOST_TEST(granted <= 110U);
    BOOST_TEST(granted >= 100U);
    BOOST_TEST((longest <= 25ms && longest - shortest > 20ms));
}

BOOST_AUTO_TEST_CASE(an_account_cannot_fill_the_queue_of_another_account) {
    admission_limits limits;
    limits.max_waiting_per_account = 2;
    admission_queue queue(limits);
    virtual_clock clock;
    const auto deadline = clock.now() + 60s;
    queue.try_enqueue(request_id("a"), account, deadline, 1, clock.now());
    queue.try_enqueue(request_id("b"), account, deadline, 1, clock.now());
    const auto third = queue.try_enqueue(request_id("c"), account, deadline, 1, clock.now());
    BOOST_TEST((std::get<enqueue_refused>(third).code == error_code::queue_full));
    BOOST_TEST(!std::get<enqueue_refused>(third).retry_after.has_value());
    const client_account_id other("other");
    BOOST_TEST(count<enqueued>(std::vector<admission>{
                   queue.try_enqueue(request_id("d"), other, deadline, 1, clock.now())}) == 1U);
}

BOOST_AUTO_TEST_CASE(an_unreachable_deadline_is_refused_early_with_retry_after) {
    admission_queue queue{admission_limits()};
    virtual_clock clock;
    const auto try_enqueue = [&](const std::string& id, duration time_left) {
        return queue.try_enqueue(request_id(id), account, clock.now() + time_left, 0.5,
                                 clock.now());
    };
    for (int i = 0; i < 11; ++i) {
        try_enqueue("s" + std::to_string(i), 60s);
    }
    for (int i = 0; i < 10; ++i) {
        queue.start(request_id("s" + std::to_string(i)), clock.now());
        clock.advance(i < 9 ? 500ms : 0ms);
    }
    BOOST_TEST(queue.start_rate(clock.now()).value() == 2.0, boost::test_tools::tolerance(0.01));
    const auto refused = try_enqueue("late", 1500ms);
    BOOST_REQUIRE(std::holds_alternative<enqueue_refused>(refused));
    BOOST_TEST((std::get<enqueue_refused>(refused).code == error_code::deadline_unreachable));
    BOOST_TEST((std::get<enqueue_refused>(refused).retry_after.value() == 500ms));
    BOOST_TEST(std::holds_alternative<enqueued>(try_enqueue("ok", 2s)));
    clock.advance(2s);
    BOOST_TEST(queue.start_rate(clock.now()).value() < 1.5);
    BOOST_TEST(queue.expire(clock.now()).size() == 1U);
    BOOST_TEST(queue.waiting(account).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_burst_after_an_idle_period_is_not_refused) {
    admission_queue queue{admission_limits()};
    virtual_clock clock;
    for (int i = 0; i < 10; ++i) {
        const request_id id(std::to_string(i));
        queue.try_enqueue(id, account, clock.now() + 2s, 1, clock.now());
        queue.start(id, clock.now());
        clock.advance(1s);
    }
    for (int i = 0; i < 10; ++i) {
        const request_id id("burst" + std::to_string(i));
        BOOST_TEST(std::holds_alternative<enqueued>(
            queue.try_enqueue(id, account, clock.now() + 2s, 1, clock.now())));
    }
}

BOOST_AUTO_TEST_CASE(a_silent_connection_is_replaced_and_never_reused) {
    connection_monitor monitor{connection_limits()};
    virtual_clock clock;
    monitor.opened(1, "peer", clock.now());
    std::size_t heartbeats = 0;
    while (clock.now() < virtual_clock().now() + 6s) {
        heartbeats += count<send_heartbeat>(monitor.poll(clock.now()));
        clock.advance(1s);
    }
    BOOST_TEST(heartbeats == 2U);
    const auto actions = monitor.poll(clock.now());
    BOOST_TEST(std::get<discard_connection>(actions.at(0)).connection == 1U);
    BOOST_TEST(count<open_replacement>(actions) == 1U);
    monitor.received(1, clock.now());
    BOOST_TEST(monitor.poll(clock.now()).empty());
    monitor.opened(2, "peer", clock.now());
    clock.advance(2s);
    BOOST_TEST(std::get<send_heartbeat>(monitor.poll(clock.now()).at(0)).connection == 2U);
}

BOOST_AUTO_TEST_CASE(a_pause_of_the_daemon_does_not_count_as_silence) {
    connection_monitor monitor{connection_limits()};
    virtual_clock clock;
    monitor.opened(1, "peer", clock.now());
    monitor.poll(clock.now());
    clock.advance(60s);
    const auto after_pause = monitor.poll(clock.now());
    BOOST_TEST(count<discard_connection>(after_pause) == 0U);
    BOOST_TEST(count<send_heartbeat>(after_pause) == 1U);
    clock.advance(2s);
    BOOST_TEST(count<discard_connection>(monitor.poll(clock.now())) == 0U);
    clock.advance(2s);
    BOOST_TEST(count<discard_connection>(monitor.poll(clock.now())) == 1U);
}

BOOST_AUTO_TEST_CASE(state_age_counts_from_the_confirming_query) {
    state_freshness state(1s);
    virtual_clock clock;
    BOOST_TEST(!state.is_fresh(clock.now()));
    const time_point queried_at = clock.now();
    clock.advance(10s);
    state.confirm(queried_at);
    BOOST_TEST(!state.is_fresh(clock.now()));
    state.confirm(clock.now());
    state.confirm(queried_at);
    BOOST_TEST(state.is_fresh(clock.now() + 1s));
    BOOST_TEST(!state.is_fresh(clock.now() + 1001ms));
}

BOOST_AUTO_TEST_CASE(a_flapping_remote_is_reopened_with_backoff) {
    connection_monitor monitor{connection_limits()};
    virtual_clock clock;
    monitor.opened(1, "peer", clock.now());
    connection_number next = 1;
    std::size_t opened = 0;
    for (int i = 0; i < 600; ++i) {
        monitor.lost(next, "peer", clock.now());
        if (count<open_replacement>(monitor.poll(clock.now())) != 0) {
            monitor.opened(++next, "peer", clock.now());
            ++opened;
        }
        clock.advance(100ms);
    }
    BOOST_TEST(opened <= 10U);
    BOOST_TEST(opened >= 6U);
}

BOOST_AUTO_TEST_CASE(a_stable_connection_resets_the_backoff) {
    connection_monitor monitor{connection_limits()};
    virtual_clock clock;
    monitor.opened(1, "peer", clock.now());
    monitor.lost(1, "peer", clock.now());
    monitor.poll(clock.now());
    monitor.opened(2, "peer", clock.now());
    clock.advance(30s);
    monitor.received(2, clock.now());
    monitor.lost(2, "peer", clock.now());
    BOOST_TEST(count<open_replacement>(monitor.poll(clock.now())) == 1U);
}

BOOST_AUTO_TEST_CASE(an_endpoint_reopens_only_when_every_reason_is_withdrawn) {
    endpoint_gate gate;
    const endpoint_id it("engine-1");
    BOOST_TEST(gate.close(it, leaving_reason::configured));
    BOOST_TEST(!gate.close(it, leaving_reason::announced));
    gate.reopen(it, leaving_reason::configured);
    BOOST_TEST(!gate.may_start(it));
    gate.reopen(it, leaving_reason::announced);
    BOOST_TEST(gate.may_start(it));
    gate.started(it);
    gate.started(it);
    gate.ended(it);
    BOOST_TEST(gate.running(it) == 1U);
}

BOOST_AUTO_TEST_CASE(shutdown_steps_follow_in_order) {
    shutdown_sequence shutdown{shutdown_settings()};
    virtual_clock clock;
    BOOST_TEST(count<report_not_ready>(shutdown.begin(clock.now())) == 1U);
    BOOST_TEST(shutdown.begin(clock.now()).empty());
    BOOST_TEST(!shutdown.is_ready());
    BOOST_TEST(shutdown.poll(0, 1, clock.now()).empty());
    BOOST_TEST(shutdown.accepts_new());
    clock.advance(10s);
    BOOST_TEST(count<refuse_new_requests>(shutdown.poll(2, 1, clock.now())) == 1U);
    BOOST_TEST(!shutdown.accepts_new());
    clock.advance(319s);
    BOOST_TEST(shutdown.poll(1, 1, clock.now()).empty());
    BOOST_TEST(count<return_holdings>(shutdown.poll(0, 1, clock.now())) == 1U);
    BOOST_TEST(shutdown.poll(0, 1, clock.now()).empty());
    BOOST_TEST(shutdown.poll(1, 0, clock.now()).empty());
    BOOST_TEST(std::get<exit_process>(shutdown.poll(0, 0, clock.now()).at(0)).status == 0);
}

BOOST_AUTO_TEST_CASE(shutdown_ends_the_grace_once_and_reports_unreturned_holdings) {
    shutdown_sequence shutdown{shutdown_settings()};
    virtual_clock clock;
    shutdown.begin(clock.now());
    clock.advance(10s);
    shutdown.poll(1, 1, clock.now());
    clock.advance(320s);
    BOOST_TEST(count<end_grace_period>(shutdown.poll(1, 1, clock.now())) == 1U);
    BOOST_TEST(shutdown.poll(1, 1, clock.now()).empty());
    shutdown.poll(0, 1, clock.now());
    clock.advance(10s);
    BOOST_TEST(std::get<exit_process>(shutdown.poll(0, 1, clock.now()).at(0)).status == 1);
}

BOOST_AUTO_TEST_CASE(a_grace_shorter_than_the_longest_request_needs_may_cut) {
    auto builder = shutdown_settings_builder().grace(10s).longest_request(60s);
    BOOST_CHECK_THROW(builder.build(), invalid_input);
    BOOST_TEST((builder.may_cut(true).build().grace == duration(10s)));
}

BOOST_AUTO_TEST_SUITE_END()
