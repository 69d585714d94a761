#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

std::function<bool(const peer&)> received_until(const std::string& end) {
    return [end](const peer& it) { return ends_with(it.received, end); };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(gateway_tests)

BOOST_FIXTURE_TEST_CASE(request_and_response_are_forwarded_unchanged_except_for_the_key,
                        gateway_fixture) {
    configure();
    auto& engine = add_endpoint("e1", [](const std::string&, peer& it) {
        it.send(response("201 Made", "r1", "held", "X-Signature: s\r\nX-Other: kept\r\n"));
    });
    const std::string got = round_trip(
        request("POST /once/book?n=1", "r1", "X-Account: forged\r\nX-More: m\r\n", "body"),
        received_until("held"));
    BOOST_TEST(contains(got, "HTTP/1.1 201 Made\r\n"));
    BOOST_TEST(contains(got, "X-Signature: s\r\n"));
    BOOST_TEST(contains(got, "X-Other: kept\r\n"));
    BOOST_REQUIRE_EQUAL(engine.requests.size(), 1U);
    const std::string& sent = engine.requests.front();
    BOOST_TEST(contains(sent, "POST /once/book?n=1 HTTP/1.1\r\n"));
    BOOST_TEST(contains(sent, "X-Expect: e1\r\n"));
    BOOST_TEST(contains(sent, "X-Account: acme\r\n"));
    BOOST_TEST(contains(sent, "X-More: m\r\n"));
    BOOST_TEST(ends_with(sent, "\r\n\r\nbody"));
    BOOST_TEST(!contains(sent, "X-Key"));
    BOOST_TEST(!contains(sent, "forged"));
}

BOOST_FIXTURE_TEST_CASE(requests_without_configuration_get_503, gateway_fixture) {
    BOOST_TEST(contains(round_trip(request("GET /again/x", "r1"), received_until("}")), " 503 "));
}

BOOST_FIXTURE_TEST_CASE(unknown_routes_unknown_keys_and_excess_requests_are_refused,
                        gateway_fixture) {
    configure(1);
    add_endpoint("e1",
                 [](const std::string&, peer& it) { it.send(response("200 OK", "r1", "done")); });
    BOOST_TEST(contains(round_trip(request("GET /none/x", "r1"), received_until("}")), " 404 "));
    BOOST_TEST(
        contains(round_trip("GET /again/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: wrong\r\n\r\n",
                            received_until("}")),
                 " 401 "));
    BOOST_TEST(contains(
        round_trip("GET /open/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n\r\n", received_until("done")),
        " 200 "));
    BOOST_TEST(
        contains(round_trip(request("GET /again/x", "r1"), received_until("done")), " 200 "));
    const std::string limited = round_trip(request("GET /again/x", "r1"), received_until("}"));
    BOOST_TEST(contains(limited, " 429 "));
    BOOST_TEST(contains(limited, "Retry-After: "));
}

BOOST_FIXTURE_TEST_CASE(oversized_and_malformed_requests_are_refused, gateway_fixture) {
    configure();
    auto& engine = add_endpoint("e1", [](const std::string&, peer&) {});
    const std::string long_header = "X-Long: " + std::string(3'000, 'x') + "\r\n";
    BOOST_TEST(contains(
        round_trip(request("GET /again/x", "r1", long_header), received_until("never")), " 431 "));
    BOOST_TEST(contains(round_trip(request("POST /once/x", "r1", "", std::string(20'000, 'x')),
                                   received_until("never")),
                        " 413 "));
    BOOST_TEST(contains(round_trip(request("POST /once/x", "r1",
                                           "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"),
                                   received_until("never")),
                        " 400 "));
    BOOST_TEST(contains(round_trip("nonsense\r\n\r\n", received_until("never")), " 400 "));
    BOOST_TEST(engine.requests.empty());
}

BOOST_FIXTURE_TEST_CASE(a_chunked_body_is_forwarded_complete_and_once, gateway_fixture) {
    configure();
    auto& engine = add_endpoint(
        "e1", [](const std::string&, peer& it) { it.send(response("200 OK", "r1", "done")); });
    round_trip(request("POST /once/x", "r1", "Transfer-Encoding: chunked\r\n") +
                   "4\r\nbook\r\n2\r\ned\r\n0\r\n\r\n",
               received_until("done"));
    BOOST_REQUIRE_EQUAL(engine.requests.size(), 1U);
    BOOST_TEST(ends_with(engine.requests.front(), "\r\n\r\nbooked"));
    BOOST_TEST(!contains(engine.requests.front(), "chunked"));
}

BOOST_FIXTURE_TEST_CASE(a_chunked_response_is_relayed_in_chunks, gateway_fixture) {
    configure();
    add_endpoint("e1", [](const std::string&, peer& it) {
        it.send(
            "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\nTransfer-Encoding: "
            "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    });
    const std::string got = round_trip(request("GET /again/x", "r1"), received_until("0\r\n\r\n"));
    BOOST_TEST(contains(got, "3\r\nabc\r\n"));
}

BOOST_FIXTURE_TEST_CASE(a_truncated_response_never_looks_complete, gateway_fixture) {
    configure();
    add_endpoint("e1", [](const std::string&, peer& it) {
        it.send(
            "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\nTransfer-Encoding: "
            "chunked\r\n\r\n3\r\nabc\r\n");
        it.close();
    });
    const std::string got = round_trip(request("GET /again/x", "r1"), received_until("never"));
    BOOST_TEST(contains(got, "abc"));
    BOOST_TEST(!contains(got, "0\r\n\r\n"));
}

BOOST_FIXTURE_TEST_CASE(a_response_delimited_by_connection_close, gateway_fixture) {
    configure();
    bool resets = false;
    add_endpoint("e1", [&](const std::string&, peer& it) {
        it.send("HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\n\r\nall of it");
        if (resets) {
            it.reset();
        } else {
            it.close();
        }
    });
    BOOST_TEST(ends_with(round_trip(request("POST /once/x", "r1"), received_until("0\r\n\r\n")),
                         "0\r\n\r\n"));
    resets = true;
    BOOST_TEST(!contains(round_trip(request("POST /once/x", "r1"), received_until("0\r\n\r\n")),
                         "0\r\n\r\n"));
}

BOOST_FIXTURE_TEST_CASE(a_non_idempotent_request_that_may_have_run_is_not_retried,
                        gateway_fixture) {
    configure();
    const auto resets_connection = [](const std::string&, peer& it) { it.reset(); };
    auto& first = add_endpoint("e1", resets_connection);
    auto& second = add_endpoint("e2", resets_connection);
    BOOST_TEST(contains(round_trip(request("POST /once/x", "r1"), received_until("}")), " 502 "));
    BOOST_TEST(first.requests.size() + second.requests.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_idempotent_request_is_retried_on_another_endpoint, gateway_fixture) {
    configure();
    int calls = 0;
    const auto resets_once = [&](const std::string&, peer& it) {
        if (++calls == 1) {
            it.reset();
        } else {
            it.send(response("200 OK", "r1", "done"));
        }
    };
    auto& first = add_endpoint("e1", resets_once);
    auto& second = add_endpoint("e2", resets_once);
    BOOST_TEST(
        contains(round_trip(request("GET /again/x", "r1"), received_until("done")), " 200 "));
    BOOST_TEST(first.requests.size() == 1U);
    BOOST_TEST(second.requests.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_request_that_may_have_run_is_never_reported_as_not_run, gateway_fixture) {
    configure();
    add_endpoint("e1", [](const std::string&, peer& it) { it.reset(); });
    // The request may be retried, but there is no other endpoint.
    BOOST_TEST(contains(round_trip(request("GET /again/x", "r1"), received_until("}")), " 502 "));
}

BOOST_FIXTURE_TEST_CASE(a_request_that_was_not_run_is_sent_to_another_endpoint, gateway_fixture) {
    configure();
    int calls = 0;
    const auto rejects_once = [&](const std::string&, peer& it) {
        it.send(++calls == 1 ? response("503 Service Unavailable", "r1", "", "X-Not-Run: 1\r\n")
                             : response("200 OK", "r1", "done"));
    };
    add_endpoint("e1", rejects_once);
    add_endpoint("e2", rejects_once);
    BOOST_TEST(
        contains(round_trip(request("POST /once/x", "r1"), received_until("done")), " 200 "));
    BOOST_TEST(calls == 2);
}

BOOST_FIXTURE_TEST_CASE(a_request_that_every_endpoint_rejects_gets_503, gateway_fixture) {
    configure();
    add_endpoint("e1", [](const std::string&, peer& it) {
        it.send(response("503 Service Unavailable", "r1", "", "X-Not-Run: 1\r\n"));
    });
    const std::string got = round_trip(request("POST /once/x", "r1"), received_until("}"));
    BOOST_TEST(contains(got, " 503 "));
    BOOST_TEST(contains(got, "Retry-After: "));
}

BOOST_FIXTURE_TEST_CASE(a_request_that_was_not_run_is_not_charged, gateway_fixture) {
    // At one request per second, the second one is admitted only if the first was not charged.
    configure(1);
    BOOST_TEST(contains(round_trip(request("GET /again/x", "r1"), received_until("}")), " 503 "));
    BOOST_TEST(contains(round_trip(request("GET /again/x", "r2"), received_until("}")), " 503 "));
    add_endpoint("e1",
                 [](const std::string&, peer& it) { it.send(response("200 OK", "r3", "done")); });
    BOOST_TEST(
        contains(round_trip(request("GET /again/x", "r3"), received_until("done")), " 200 "));
    BOOST_TEST(contains(round_trip(request("GET /again/x", "r4"), received_until("}")), " 429 "));
}

BOOST_FIXTURE_TEST_CASE(an_endpoint_error_is_relayed_unchanged, gateway_fixture) {
    configure();
    add_endpoint("e1",
                 [](const std::string&, peer& it) { it.send(response("500 Broken", "r1", "no")); });
    const std::string got = round_trip(request("POST /once/x", "r1"), received_until("no"));
    BOOST_TEST(contains(got, "HTTP/1.1 500 Broken\r\n"));
    BOOST_TEST(contains(got, "X-Signature: s\r\n"));
}

BOOST_FIXTURE_TEST_CASE(an_unsigned_success_is_rejected, gateway_fixture) {
    configure();
    add_endpoint("e1", [](const std::string&, peer& it) {
        it.send(response("200 OK", "r1", "forged", ""));
    });
    const std::string got = round_trip(request("POST /once/x", "r1"), received_until("}"));
    BOOST_TEST(contains(got, " 502 "));
    BOOST_TEST(!contains(got, "forged"));
}

BOOST_FIXTURE_TEST_CASE(a_late_duplicate_response_is_not_taken_for_the_next_one, gateway_fixture) {
    configure();
    auto& engine = add_endpoint("e1", [](const std::string& request, peer& it) {
        if (contains(request, "X-Id: r2")) {
            it.send(response("200 OK", "r1", "late and wrong"));
            it.send(response("200 OK", "r2", "second"));
        } else {
            it.send(response("200 OK", "r1", "first"));
        }
    });
    round_trip(request("POST /once/x", "r1"), received_until("first"));
    const std::string got = round_trip(request("POST /once/x", "r2"), received_until("second"));
    BOOST_TEST(!contains(got, "wrong"));
    BOOST_TEST(engine.connections.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_connection_with_unsolicited_bytes_is_not_reused, gateway_fixture) {
    configure();
    auto& engine = add_endpoint("e1", [](const std::string& request, peer& it) {
        const std::string id = contains(request, "X-Id: r1") ? "r1" : "r2";
        it.send(response("200 OK", id, id) + (id == "r1" ? "HTTP/1.1 200 OK\r\n" : ""));
    });
    round_trip(request("POST /once/x", "r1"), received_until("r1"));
    BOOST_TEST(
        contains(round_trip(request("POST /once/x", "r2"), received_until("\r\n\r\nr2")), " 200 "));
    BOOST_TEST(engine.connections.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(the_call_is_cancelled_when_the_caller_disconnects, gateway_fixture) {
    configure();
    auto& engine = add_endpoint("e1", [](const std::string&, peer&) {});
    const auto caller = connect();
    caller->send(request("GET /again/x", "r1"));
    run_until([&] { return engine.requests.size() == 1; });
    caller->close();
    run_until([&] { return engine.connections.front()->ended; });
    run_until([&] { return proxy().request_count() == 0; });
}

BOOST_FIXTURE_TEST_CASE(callers_that_do_not_read_use_bounded_memory, gateway_fixture) {
    configure();
    auto& engine = add_endpoint("e1", [](const std::string&, peer& to) {
        to.send(
            "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signature: s\r\nContent-Length: 999999999\r\n\r\n");
    });
    constexpr std::size_t caller_count = 8;
    constexpr int rounds = 300;
    std::vector<std::shared_ptr<peer>> callers;
    for (std::size_t i = 0; i < caller_count; ++i) {
        callers.push_back(connect_without_reading());
        callers.back()->send(request("GET /again/x", "r"));
    }
    run_until([&] { return engine.requests.size() == caller_count; });
    const std::string piece(65'536, 'x');
    for (int i = 0; i < rounds; ++i) {
        for (const auto& it : engine.connections) {
            it->send_some(piece);
        }
        loop.restart();
        loop.poll();
    }
    // Socket buffers hold a part of the bytes; one more read may exceed each caller's share.
    BOOST_TEST(proxy().unsent_bytes() > 0U);
    BOOST_TEST(proxy().unsent_bytes() < 200'000U + caller_count * 65'536U);
    BOOST_TEST(proxy().request_count() == caller_count);
}

// Guards against a crash of a daemon that was destroyed with requests in flight: their ends must be
// reported while the broker still exists.
BOOST_FIXTURE_TEST_CASE(closing_all_callers_ends_their_requests, gateway_fixture) {
    with_engines = true;
    configure();
    auto& engine = add_endpoint("e1", [](const std::string&, peer&) {});
    routing::endpoint entry = *proxy().directory().find(endpoint_id("e1"));
    entry.models = {{"m", 1, {{"a", 1}}}};
    proxy().on_endpoint(entry);
    const auto caller = connect();
    caller->send(request("GET /again/x", "r1", "X-Model: m/a\r\n"));
    run_until([&] { return engine.requests.size() == 1; });
    proxy().close_callers();
    BOOST_TEST(proxy().request_count() == 0U);
    BOOST_TEST(proxy().caller_count() == 0U);
    BOOST_TEST(broker().ended == 1);
}

BOOST_FIXTURE_TEST_CASE(a_stream_resumes_at_another_endpoint_after_its_last_complete_event,
                        gateway_fixture) {
    configure();
    std::vector<std::string> heads;
    const auto stream = [&](const std::string& request, peer& it) {
        heads.push_back(request);
        const std::string head =
            "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\nContent-Type: "
            "text/event-stream\r\n\r\n";
        if (heads.size() == 1) {
            it.send(head + "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
            it.reset();
        } else {
            it.send(head + "id: 3\ndata: c\n\n");
            it.close();
        }
    };
    add_endpoint("e1", stream);
    add_endpoint("e2", stream);
    const std::string got =
        round_trip(request("POST /events/x", "r1"), received_until("0\r\n\r\n"));
    BOOST_REQUIRE_EQUAL(heads.size(), 2U);
    BOOST_TEST(contains(heads[1], "Last-Event-Id: 2\r\n"));
    BOOST_TEST(contains(got, "data: b"));
    BOOST_TEST(contains(got, "data: c"));
    BOOST_TEST(!contains(got, "id: 3\nda\r\n"));
    BOOST_TEST(got.find("id: 3") == got.rfind("id: 3"));
    BOOST_TEST(got.find(" 200 OK") == got.rfind(" 200 OK"));
}

BOOST_FIXTURE_TEST_CASE(a_request_gets_504_at_its_deadline, gateway_fixture) {
    configure();
    auto& engine = add_endpoint("e1", [](const std::string&, peer&) {});
    const std::string got =
        round_trip(request("GET /again/x", "r1", "X-Deadline: 60\r\n"), received_until("}"));
    BOOST_TEST(contains(got, " 504 "));
    run_until([&] { return engine.connections.front()->ended; });
}

BOOST_FIXTURE_TEST_CASE(keep_alive_connections_close_after_the_response_while_stopping,
                        gateway_fixture) {
    configure();
    std::shared_ptr<peer> waiting;
    add_endpoint("e1", [&](const std::string&, peer& it) {
        it.send("HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\nha");
        waiting = it.shared_from_this();
    });
    const auto caller = connect();
    caller->send(request("GET /again/x", "r1"));
    run_until([&] { return contains(caller->received, "\r\n\r\nha"); });
    // The head is sent already, without `Connection: close`.
    proxy().begin_stop(stop_in(std::chrono::seconds(3), std::chrono::seconds(8)));
    waiting->send("lf");
    run_until([&] { return ends_with(caller->received, "half"); });
    // The daemon does this every few hundred milliseconds.
    const time_point begin = time.now();
    run_until([&] {
        proxy().close_idle_callers();
        return caller->ended;
    });
    BOOST_TEST((time.now() - begin < std::chrono::seconds(1)));
    BOOST_TEST(ends_with(caller->received, "half"));
}

// Guards against a daemon that ends between the head and the body of its last response, so that the
// response to a request that has run is truncated.
BOOST_FIXTURE_TEST_CASE(a_stopping_daemon_sends_its_last_response_before_it_ends, gateway_fixture) {
    configure();
    add_endpoint("e1",
                 [](const std::string&, peer& it) { it.send(response("200 OK", "r1", "done")); });
    proxy().begin_stop(stop_in(std::chrono::seconds(3), std::chrono::seconds(8)));
    const auto caller = connect();
    caller->send(request("GET /again/x", "r1"));
    run_until([&] { return proxy().request_count() == 1; });
    run_until([&] {
        return proxy().request_count() == 0 && proxy().caller_count() == 0 &&
               !proxy().is_sending_last_answers();
    });
    // The daemon no longer reads, but all sent bytes still arrive.
    proxy().close_callers();
    loop.stop();
    BOOST_TEST(ends_with(caller->receive_rest(), "done"));
}

// Guards against a partitioned daemon that denies routes and keys which a newer configuration
// contains: callers don't retry after 404 and 401, though other VMs would have served them.
BOOST_FIXTURE_TEST_CASE(unknown_routes_and_keys_are_denied_only_with_a_fresh_configuration,
                        gateway_fixture) {
    configure();
    gateway_settings settings;
    settings.authoritative_age = std::chrono::milliseconds(1'800);
    proxy().reconfigure(settings);
    const std::string no_route = request("GET /added/x", "r1");
    const std::string no_key = "GET /again/x HTTP/1.1\r\nHost: h\r\nX-Id: r2\r\nX-Key: new\r\n\r\n";
    duration age = std::chrono::milliseconds(1'800);
    proxy().set_configuration_age([&] { return age; });
    BOOST_TEST(contains(round_trip(no_route, received_until("no_route")), " 404 "));
    BOOST_TEST(contains(round_trip(no_key, received_until("unknown_key")), " 401 "));
    age += std::chrono::milliseconds(1);
    for (const std::string& it : {no_route, no_key}) {
        const std::string got = round_trip(it, received_until("configuration_stale"));
        BOOST_TEST(contains(got, " 503 "));
        BOOST_TEST(contains(got, "Retry-After: 0.500"));
    }
}

// Guards against a retry on another connection that failed silently together with the first:
// idempotent requests ended with 502 though every endpoint responded on new connections.
BOOST_FIXTURE_TEST_CASE(a_retry_after_a_silent_kept_connection_opens_a_new_one, gateway_fixture) {
    configure();
    bool silent = false;
    std::set<const peer*> kept;
    for (const char* id : {"e1", "e2"}) {
        add_endpoint(id, [&](const std::string& request, peer& it) {
            if (silent && kept.count(&it) != 0) {
                return;
            }
            kept.insert(&it);
            const std::size_t at = request.find("X-Id: ") + 6;
            it.send(response("200 OK", request.substr(at, 2), "done"));
        });
    }
    // Concurrent requests leave several kept connections per endpoint.
    std::vector<std::shared_ptr<peer>> callers;
    for (const char* id : {"a1", "a2", "a3", "a4"}) {
        callers.push_back(connect());
        callers.back()->send(request("GET /again/x", id));
    }
    run_until([&] {
        return std::all_of(callers.begin(), callers.end(),
                           [](const auto& it) { return contains(it->received, "done"); });
    });
    BOOST_REQUIRE(proxy().pool().connections_made() >= 3U);
    silent = true;
    const std::string got = round_trip(request("GET /again/x", "r1"), [](const peer& it) {
        return contains(it.received, "\r\n\r\n");
    });
    BOOST_TEST(contains(got, " 200 "));
}

// Guards against non-idempotent requests that are lost on connections which failed silently, after
// the failure of another connection has been detected.
BOOST_FIXTURE_TEST_CASE(after_close_all_idle_requests_use_new_connections, gateway_fixture) {
    configure();
    add_endpoint("e1", [](const std::string& request, peer& it) {
        it.send(response("200 OK", request.substr(request.find("X-Id: ") + 6, 2), "done"));
    });
    BOOST_TEST(
        ends_with(round_trip(request("POST /once/x", "r1"), received_until("done")), "done"));
    BOOST_TEST(
        ends_with(round_trip(request("POST /once/x", "r2"), received_until("done")), "done"));
    BOOST_TEST(proxy().pool().connections_made() == 1U);
    proxy().pool().close_all_idle();
    BOOST_TEST(
        ends_with(round_trip(request("POST /once/x", "r3"), received_until("done")), "done"));
    BOOST_TEST(proxy().pool().connections_made() == 2U);
}

// Guards against a refusal at startup without a request id, which cannot be traced.
BOOST_FIXTURE_TEST_CASE(a_refusal_without_configuration_carries_the_request_id, gateway_fixture) {
    const std::string got =
        round_trip(request("GET /again/x", "r1"), received_until("no_configuration"));
    BOOST_TEST(contains(got, " 503 "));
    BOOST_TEST(contains(got, "X-Id: r1\r\n"));
    BOOST_TEST(contains(got, "Retry-After: "));
}

BOOST_FIXTURE_TEST_CASE(a_stopping_daemon_sends_connection_close, gateway_fixture) {
    configure();
    add_endpoint("e1",
                 [](const std::string&, peer& it) { it.send(response("200 OK", "r1", "done")); });
    proxy().begin_stop(stop_in(std::chrono::seconds(3), std::chrono::seconds(8)));
    const std::string got = round_trip(request("GET /again/x", "r1"), received_until("never"));
    BOOST_TEST(contains(got, "Connection: close\r\n"));
    BOOST_TEST(ends_with(got, "done"));
    // Its route allows 5 s.
    time.jump(std::chrono::seconds(4));
    BOOST_TEST(
        contains(round_trip(request("GET /again/x", "r1"), received_until("never")), " 503 "));
}

// Guards against requests that are accepted late in a planned stop and cut at its end without a
// response: one that may outlast the daemon reaches no endpoint, also on a kept connection.
BOOST_FIXTURE_TEST_CASE(a_stopping_daemon_accepts_only_what_ends_before_it_does, gateway_fixture) {
    configure();
    auto& engine = add_endpoint("e1", [](const std::string& request, peer& it) {
        it.send(response("200 OK", id_of(request), "done"));
    });
    const auto caller = connect();
    caller->send(request("GET /once/x", "r1"));
    run_until([&] { return contains(caller->received, "done"); });
    proxy().begin_stop(stop_in(std::chrono::seconds(3), std::chrono::seconds(8)));
    time.jump(std::chrono::milliseconds(3'500));
    caller->received.clear();
    caller->send(request("GET /once/x", "r2", "X-Deadline: 5000\r\n"));
    run_until([&] { return caller->ended; });
    BOOST_TEST(contains(caller->received, " 503 "));
    BOOST_TEST(contains(caller->received, "\"stopping\""));
    BOOST_TEST(contains(caller->received, "Retry-After: "));
    BOOST_TEST(contains(caller->received, "Connection: close\r\n"));
    BOOST_TEST(engine.requests.size() == 1U);
    time.jump(std::chrono::milliseconds(2'500));
    const std::string got =
        round_trip(request("GET /once/x", "r3", "X-Deadline: 900\r\n"), received_until("never"));
    BOOST_TEST(ends_with(got, "done"));
}

// Guards against the same for requests that were accepted before.
BOOST_FIXTURE_TEST_CASE(requests_left_at_the_end_of_a_stop_get_a_response, gateway_fixture) {
    configure();
    auto& engine = add_endpoint("e1", [](const std::string& request, peer& it) {
        if (contains(request, "GET /stream/")) {
            it.send("HTTP/1.1 200 OK\r\nX-Id: " + id_of(request) +
                    "\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
        }
    });
    const auto runs = connect();
    runs->send(request("GET /once/x", "r1"));
    const auto streams = connect();
    streams->send(request("GET /stream/x", "r2"));
    run_until([&] { return engine.requests.size() == 2 && contains(streams->received, "abc"); });
    proxy().begin_stop(stop_in(std::chrono::seconds(3), std::chrono::seconds(8)));
    proxy().end_requests();
    run_until([&] { return runs->ended && streams->ended; });
    BOOST_TEST(contains(runs->received, " 504 "));
    BOOST_TEST(contains(runs->received, "\"stopping\""));
    // It must not look complete.
    BOOST_TEST(!ends_with(streams->received, "0\r\n\r\n"));
}

BOOST_FIXTURE_TEST_CASE(callers_that_send_connection_close_get_complete_responses,
                        gateway_fixture) {
    configure();
    const std::string body(300'000, 'x');
    add_endpoint("e1",
                 [&](const std::string&, peer& it) { it.send(response("200 OK", "r1", body)); });
    const std::string got =
        round_trip(request("GET /again/x", "r1", "Connection: close\r\n"), received_until("never"));
    BOOST_TEST(ends_with(got, body));
}

BOOST_FIXTURE_TEST_CASE(pipelined_requests_are_answered_in_order, gateway_fixture) {
    configure();
    add_endpoint("e1", [](const std::string& request, peer& it) {
        const std::string id = contains(request, "X-Id: r1") ? "r1" : "r2";
        it.send(response("200 OK", id, "for " + id));
    });
    const std::string got = round_trip(
        request("GET /again/x", "r1") + request("GET /again/x", "r2"), received_until("for r2"));
    BOOST_TEST(got.find("for r1") < got.find("for r2"));
}

BOOST_FIXTURE_TEST_CASE(a_draining_endpoint_gets_no_request, gateway_fixture) {
    configure();
    auto& engine = add_endpoint("e1", [](const std::string&, peer&) {});
    routing::endpoint_notice leaves;
    leaves.leaving = true;
    proxy().directory().on_notice({endpoint_id("e1"), 0}, leaves, time.now());
    BOOST_TEST(contains(round_trip(request("GET /again/x", "r1"), received_until("}")), " 503 "));
    BOOST_TEST(engine.requests.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
