#include <boost/test/unit_test.hpp>

#include "world.h"

namespace radishpulley::gateway::testing {
namespace {

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

std::function<bool(const peer&)> until(const std::string& end) {
    return [end](const peer& it) { return ends_with(it.received, end); };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(gateway_tests)

BOOST_FIXTURE_TEST_CASE(request_and_answer_pass_unchanged_but_for_the_key, world) {
    configure();
    auto& engine = add_endpoint("e1", [](const std::string&, peer& it) {
        it.send(answer("201 Made", "r1", "held", "X-Signature: s\r\nX-Other: kept\r\n"));
    });
    const std::string got =
        ask(request("POST /once/book?n=1", "r1", "X-Account: forged\r\nX-More: m\r\n", "body"),
            until("held"));
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

BOOST_FIXTURE_TEST_CASE(a_daemon_without_configuration_says_not_run, world) {
    BOOST_TEST(contains(ask(request("GET /again/x", "r1"), until("}")), " 503 "));
}

BOOST_FIXTURE_TEST_CASE(refusals_of_its_own, world) {
    configure(1);
    add_endpoint("e1",
                 [](const std::string&, peer& it) { it.send(answer("200 OK", "r1", "done")); });
    BOOST_TEST(contains(ask(request("GET /none/x", "r1"), until("}")), " 404 "));
    BOOST_TEST(contains(
        ask("GET /again/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: wrong\r\n\r\n", until("}")),
        " 401 "));
    BOOST_TEST(contains(ask("GET /open/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n\r\n", until("done")),
                        " 200 "));
    BOOST_TEST(contains(ask(request("GET /again/x", "r1"), until("done")), " 200 "));
    const std::string limited = ask(request("GET /again/x", "r1"), until("}"));
    BOOST_TEST(contains(limited, " 429 "));
    BOOST_TEST(contains(limited, "Retry-After: "));
}

BOOST_FIXTURE_TEST_CASE(bounds_on_what_callers_send, world) {
    configure();
    auto& engine = add_endpoint("e1", [](const std::string&, peer&) {});
    const std::string long_header = "X-Long: " + std::string(3'000, 'x') + "\r\n";
    BOOST_TEST(contains(ask(request("GET /again/x", "r1", long_header), until("never")), " 431 "));
    BOOST_TEST(contains(
        ask(request("POST /once/x", "r1", "", std::string(20'000, 'x')), until("never")), " 413 "));
    BOOST_TEST(contains(
        ask(request("POST /once/x", "r1", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"),
            until("never")),
        " 400 "));
    BOOST_TEST(contains(ask("nonsense\r\n\r\n", until("never")), " 400 "));
    BOOST_TEST(engine.requests.empty());
}

BOOST_FIXTURE_TEST_CASE(a_chunked_body_arrives_whole_and_only_once, world) {
    configure();
    auto& engine = add_endpoint(
        "e1", [](const std::string&, peer& it) { it.send(answer("200 OK", "r1", "done")); });
    ask(request("POST /once/x", "r1", "Transfer-Encoding: chunked\r\n") +
            "4\r\nbook\r\n2\r\ned\r\n0\r\n\r\n",
        until("done"));
    BOOST_REQUIRE_EQUAL(engine.requests.size(), 1U);
    BOOST_TEST(ends_with(engine.requests.front(), "\r\n\r\nbooked"));
    BOOST_TEST(!contains(engine.requests.front(), "chunked"));
}

BOOST_FIXTURE_TEST_CASE(a_chunked_answer_is_relayed_in_chunks, world) {
    configure();
    add_endpoint("e1", [](const std::string&, peer& it) {
        it.send(
            "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\nTransfer-Encoding: "
            "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    });
    const std::string got = ask(request("GET /again/x", "r1"), until("0\r\n\r\n"));
    BOOST_TEST(contains(got, "3\r\nabc\r\n"));
}

BOOST_FIXTURE_TEST_CASE(an_answer_that_breaks_off_never_looks_complete, world) {
    configure();
    add_endpoint("e1", [](const std::string&, peer& it) {
        it.send(
            "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\nTransfer-Encoding: "
            "chunked\r\n\r\n3\r\nabc\r\n");
        it.close();
    });
    const std::string got = ask(request("GET /again/x", "r1"), until("never"));
    BOOST_TEST(contains(got, "abc"));
    BOOST_TEST(!contains(got, "0\r\n\r\n"));
}

BOOST_FIXTURE_TEST_CASE(an_answer_to_the_end_of_its_connection, world) {
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
    BOOST_TEST(ends_with(ask(request("POST /once/x", "r1"), until("0\r\n\r\n")), "0\r\n\r\n"));
    resets = true;
    BOOST_TEST(!contains(ask(request("POST /once/x", "r1"), until("0\r\n\r\n")), "0\r\n\r\n"));
}

BOOST_FIXTURE_TEST_CASE(a_non_idempotent_request_that_may_have_run_is_not_repeated, world) {
    configure();
    const auto breaks = [](const std::string&, peer& it) { it.reset(); };
    auto& first = add_endpoint("e1", breaks);
    auto& second = add_endpoint("e2", breaks);
    BOOST_TEST(contains(ask(request("POST /once/x", "r1"), until("}")), " 502 "));
    BOOST_TEST(first.requests.size() + second.requests.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_idempotent_request_is_repeated_elsewhere, world) {
    configure();
    int calls = 0;
    const auto breaks_once = [&](const std::string&, peer& it) {
        if (++calls == 1) {
            it.reset();
        } else {
            it.send(answer("200 OK", "r1", "done"));
        }
    };
    auto& first = add_endpoint("e1", breaks_once);
    auto& second = add_endpoint("e2", breaks_once);
    BOOST_TEST(contains(ask(request("GET /again/x", "r1"), until("done")), " 200 "));
    BOOST_TEST(first.requests.size() == 1U);
    BOOST_TEST(second.requests.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_request_that_may_have_run_is_never_said_not_to_have_run, world) {
    configure();
    add_endpoint("e1", [](const std::string&, peer& it) { it.reset(); });
    // It may be repeated, but there is nowhere else to go.
    BOOST_TEST(contains(ask(request("GET /again/x", "r1"), until("}")), " 502 "));
}

BOOST_FIXTURE_TEST_CASE(a_request_that_was_not_run_may_go_elsewhere, world) {
    configure();
    int calls = 0;
    const auto full_once = [&](const std::string&, peer& it) {
        it.send(++calls == 1 ? answer("503 Service Unavailable", "r1", "", "X-Not-Run: 1\r\n")
                             : answer("200 OK", "r1", "done"));
    };
    add_endpoint("e1", full_once);
    add_endpoint("e2", full_once);
    BOOST_TEST(contains(ask(request("POST /once/x", "r1"), until("done")), " 200 "));
    BOOST_TEST(calls == 2);
}

BOOST_FIXTURE_TEST_CASE(a_refusal_everywhere_says_not_run, world) {
    configure();
    add_endpoint("e1", [](const std::string&, peer& it) {
        it.send(answer("503 Service Unavailable", "r1", "", "X-Not-Run: 1\r\n"));
    });
    const std::string got = ask(request("POST /once/x", "r1"), until("}"));
    BOOST_TEST(contains(got, " 503 "));
    BOOST_TEST(contains(got, "Retry-After: "));
}

BOOST_FIXTURE_TEST_CASE(a_request_that_was_not_run_is_not_charged, world) {
    // One request a second: a second one is admitted only if the first was not charged.
    configure(1);
    BOOST_TEST(contains(ask(request("GET /again/x", "r1"), until("}")), " 503 "));
    BOOST_TEST(contains(ask(request("GET /again/x", "r2"), until("}")), " 503 "));
    add_endpoint("e1",
                 [](const std::string&, peer& it) { it.send(answer("200 OK", "r3", "done")); });
    BOOST_TEST(contains(ask(request("GET /again/x", "r3"), until("done")), " 200 "));
    BOOST_TEST(contains(ask(request("GET /again/x", "r4"), until("}")), " 429 "));
}

BOOST_FIXTURE_TEST_CASE(a_failure_of_the_endpoint_passes_unchanged, world) {
    configure();
    add_endpoint("e1",
                 [](const std::string&, peer& it) { it.send(answer("500 Broken", "r1", "no")); });
    const std::string got = ask(request("POST /once/x", "r1"), until("no"));
    BOOST_TEST(contains(got, "HTTP/1.1 500 Broken\r\n"));
    BOOST_TEST(contains(got, "X-Signature: s\r\n"));
}

BOOST_FIXTURE_TEST_CASE(a_success_without_signature_is_no_answer, world) {
    configure();
    add_endpoint(
        "e1", [](const std::string&, peer& it) { it.send(answer("200 OK", "r1", "forged", "")); });
    const std::string got = ask(request("POST /once/x", "r1"), until("}"));
    BOOST_TEST(contains(got, " 502 "));
    BOOST_TEST(!contains(got, "forged"));
}

BOOST_FIXTURE_TEST_CASE(a_late_second_answer_is_not_taken_for_the_next_one, world) {
    configure();
    auto& engine = add_endpoint("e1", [](const std::string& request, peer& it) {
        if (contains(request, "X-Id: r2")) {
            it.send(answer("200 OK", "r1", "late and wrong"));
            it.send(answer("200 OK", "r2", "second"));
        } else {
            it.send(answer("200 OK", "r1", "first"));
        }
    });
    ask(request("POST /once/x", "r1"), until("first"));
    const std::string got = ask(request("POST /once/x", "r2"), until("second"));
    BOOST_TEST(!contains(got, "wrong"));
    BOOST_TEST(engine.connections.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_connection_with_bytes_that_nobody_asked_for_is_not_used_again, world) {
    configure();
    auto& engine = add_endpoint("e1", [](const std::string& request, peer& it) {
        const std::string id = contains(request, "X-Id: r1") ? "r1" : "r2";
        it.send(answer("200 OK", id, id) + (id == "r1" ? "HTTP/1.1 200 OK\r\n" : ""));
    });
    ask(request("POST /once/x", "r1"), until("r1"));
    BOOST_TEST(contains(ask(request("POST /once/x", "r2"), until("\r\n\r\nr2")), " 200 "));
    BOOST_TEST(engine.connections.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(work_ends_when_its_caller_leaves, world) {
    configure();
    auto& engine = add_endpoint("e1", [](const std::string&, peer&) {});
    const auto caller = connect();
    caller->send(request("GET /again/x", "r1"));
    run_until([&] { return engine.requests.size() == 1; });
    caller->close();
    run_until([&] { return engine.connections.front()->ended; });
    run_until([&] { return paths().request_count() == 0; });
}

BOOST_FIXTURE_TEST_CASE(callers_that_do_not_read_take_a_bounded_part_of_memory, world) {
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
    // The sockets took what they could; one more read may lie beyond each caller's part.
    BOOST_TEST(paths().unsent_bytes() > 0U);
    BOOST_TEST(paths().unsent_bytes() < 200'000U + caller_count * 65'536U);
    BOOST_TEST(paths().request_count() == caller_count);
}

// The requests' ends are told while there is somebody to tell: a daemon that ended with requests
// under way crashed.
BOOST_FIXTURE_TEST_CASE(closing_all_callers_ends_their_requests, world) {
    with_engines = true;
    configure();
    auto& engine = add_endpoint("e1", [](const std::string&, peer&) {});
    routing::endpoint entry = *paths().directory().find(endpoint_id("e1"));
    entry.models = {{"m", 1, {{"a", 1}}}};
    paths().on_endpoint(entry);
    const auto caller = connect();
    caller->send(request("GET /again/x", "r1", "X-Model: m/a\r\n"));
    run_until([&] { return engine.requests.size() == 1; });
    paths().close_callers();
    BOOST_TEST(paths().request_count() == 0U);
    BOOST_TEST(paths().caller_count() == 0U);
    BOOST_TEST(broker().ended == 1);
}

BOOST_FIXTURE_TEST_CASE(a_stream_goes_on_elsewhere_after_its_last_whole_event, world) {
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
    const std::string got = ask(request("POST /events/x", "r1"), until("0\r\n\r\n"));
    BOOST_REQUIRE_EQUAL(heads.size(), 2U);
    BOOST_TEST(contains(heads[1], "Last-Event-Id: 2\r\n"));
    BOOST_TEST(contains(got, "data: b"));
    BOOST_TEST(contains(got, "data: c"));
    BOOST_TEST(!contains(got, "id: 3\nda\r\n"));
    BOOST_TEST(got.find("id: 3") == got.rfind("id: 3"));
    BOOST_TEST(got.find(" 200 OK") == got.rfind(" 200 OK"));
}

BOOST_FIXTURE_TEST_CASE(a_request_is_given_up_at_its_deadline_with_an_answer, world) {
    configure();
    auto& engine = add_endpoint("e1", [](const std::string&, peer&) {});
    const std::string got = ask(request("GET /again/x", "r1", "X-Deadline: 60\r\n"), until("}"));
    BOOST_TEST(contains(got, " 504 "));
    run_until([&] { return engine.connections.front()->ended; });
}

BOOST_FIXTURE_TEST_CASE(kept_connections_close_after_the_answer_while_stopping, world) {
    configure();
    std::shared_ptr<peer> waiting;
    add_endpoint("e1", [&](const std::string&, peer& it) {
        it.send("HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\nha");
        waiting = it.shared_from_this();
    });
    const auto caller = connect();
    caller->send(request("GET /again/x", "r1"));
    run_until([&] { return contains(caller->received, "\r\n\r\nha"); });
    // The head is out already and did not announce the end.
    paths().begin_stop();
    waiting->send("lf");
    run_until([&] { return caller->ended; });
    BOOST_TEST(ends_with(caller->received, "half"));
}

// Guards against a daemon that ends between the head and the body of its last answer: the caller's
// request had run and its answer was cut.
BOOST_FIXTURE_TEST_CASE(a_stopping_daemon_has_sent_its_last_answer_before_it_may_end, world) {
    configure();
    add_endpoint("e1",
                 [](const std::string&, peer& it) { it.send(answer("200 OK", "r1", "done")); });
    paths().begin_stop();
    const auto caller = connect();
    caller->send(request("GET /again/x", "r1"));
    run_until([&] { return paths().request_count() == 1; });
    run_until([&] {
        return paths().request_count() == 0 && paths().caller_count() == 0 &&
               !paths().is_sending_last_answers();
    });
    // What the daemon's end would close is not read any more, but what was sent arrives.
    paths().close_callers();
    loop.stop();
    BOOST_TEST(ends_with(caller->receive_rest(), "done"));
}

// Guards against a daemon that is cut off and denies what a newer configuration has: callers do not
// come back after 404 and 401, elsewhere they would have been served.
BOOST_FIXTURE_TEST_CASE(unknown_routes_and_keys_are_denied_only_on_fresh_knowledge, world) {
    configure();
    gateway_settings with;
    with.authoritative_age = std::chrono::milliseconds(1'800);
    paths().reconfigure(with);
    const std::string no_route = request("GET /added/x", "r1");
    const std::string no_key = "GET /again/x HTTP/1.1\r\nHost: h\r\nX-Id: r2\r\nX-Key: new\r\n\r\n";
    duration age = std::chrono::milliseconds(1'800);
    paths().set_configuration_age([&] { return age; });
    BOOST_TEST(contains(ask(no_route, until("no_route")), " 404 "));
    BOOST_TEST(contains(ask(no_key, until("unknown_key")), " 401 "));
    age += std::chrono::milliseconds(1);
    for (const std::string& it : {no_route, no_key}) {
        const std::string got = ask(it, until("configuration_stale"));
        BOOST_TEST(contains(got, " 503 "));
        BOOST_TEST(contains(got, "Retry-After: 0.500"));
    }
}

// Guards against a repeat that goes onto another connection which went silent with the first:
// idempotent requests ended with 502 though every endpoint answered on new connections.
BOOST_FIXTURE_TEST_CASE(a_repeat_after_a_silent_kept_connection_takes_a_new_one, world) {
    configure();
    bool silent = false;
    std::set<const peer*> kept;
    for (const char* id : {"e1", "e2"}) {
        add_endpoint(id, [&](const std::string& asked, peer& it) {
            if (silent && kept.count(&it) != 0) {
                return;
            }
            kept.insert(&it);
            const std::size_t at = asked.find("X-Id: ") + 6;
            it.send(answer("200 OK", asked.substr(at, 2), "done"));
        });
    }
    // Requests at once, so that each endpoint has kept connections.
    std::vector<std::shared_ptr<peer>> callers;
    for (const char* id : {"a1", "a2", "a3", "a4"}) {
        callers.push_back(connect());
        callers.back()->send(request("GET /again/x", id));
    }
    run_until([&] {
        return std::all_of(callers.begin(), callers.end(),
                           [](const auto& it) { return contains(it->received, "done"); });
    });
    BOOST_REQUIRE(paths().pool().connections_made() >= 3U);
    silent = true;
    const std::string got = ask(request("GET /again/x", "r1"),
                                [](const peer& it) { return contains(it.received, "\r\n\r\n"); });
    BOOST_TEST(contains(got, " 200 "));
}

// Guards against requests that may run once and are lost on connections which went silent unseen,
// after the silence of another connection has shown it.
BOOST_FIXTURE_TEST_CASE(after_a_known_silence_requests_go_on_new_connections, world) {
    configure();
    add_endpoint("e1", [](const std::string& asked, peer& it) {
        it.send(answer("200 OK", asked.substr(asked.find("X-Id: ") + 6, 2), "done"));
    });
    BOOST_TEST(ends_with(ask(request("POST /once/x", "r1"), until("done")), "done"));
    BOOST_TEST(ends_with(ask(request("POST /once/x", "r2"), until("done")), "done"));
    BOOST_TEST(paths().pool().connections_made() == 1U);
    paths().pool().close_all_idle();
    BOOST_TEST(ends_with(ask(request("POST /once/x", "r3"), until("done")), "done"));
    BOOST_TEST(paths().pool().connections_made() == 2U);
}

// Guards against a refusal at the start that names no request, so that nobody can trace it.
BOOST_FIXTURE_TEST_CASE(a_daemon_without_a_configuration_names_the_request_it_refuses, world) {
    const std::string got = ask(request("GET /again/x", "r1"), until("no_configuration"));
    BOOST_TEST(contains(got, " 503 "));
    BOOST_TEST(contains(got, "X-Id: r1\r\n"));
    BOOST_TEST(contains(got, "Retry-After: "));
}

BOOST_FIXTURE_TEST_CASE(a_stopping_daemon_announces_the_end_of_connections, world) {
    configure();
    add_endpoint("e1",
                 [](const std::string&, peer& it) { it.send(answer("200 OK", "r1", "done")); });
    paths().begin_stop();
    const std::string got = ask(request("GET /again/x", "r1"), until("never"));
    BOOST_TEST(contains(got, "Connection: close\r\n"));
    BOOST_TEST(ends_with(got, "done"));
    paths().refuse_requests();
    BOOST_TEST(contains(ask(request("GET /again/x", "r1"), until("never")), " 503 "));
}

BOOST_FIXTURE_TEST_CASE(callers_that_ask_for_the_end_get_whole_answers, world) {
    configure();
    const std::string body(300'000, 'x');
    add_endpoint("e1",
                 [&](const std::string&, peer& it) { it.send(answer("200 OK", "r1", body)); });
    const std::string got =
        ask(request("GET /again/x", "r1", "Connection: close\r\n"), until("never"));
    BOOST_TEST(ends_with(got, body));
}

BOOST_FIXTURE_TEST_CASE(requests_on_one_connection_are_answered_in_order, world) {
    configure();
    add_endpoint("e1", [](const std::string& request, peer& it) {
        const std::string id = contains(request, "X-Id: r1") ? "r1" : "r2";
        it.send(answer("200 OK", id, "for " + id));
    });
    const std::string got =
        ask(request("GET /again/x", "r1") + request("GET /again/x", "r2"), until("for r2"));
    BOOST_TEST(got.find("for r1") < got.find("for r2"));
}

BOOST_FIXTURE_TEST_CASE(a_draining_endpoint_gets_no_request, world) {
    configure();
    auto& engine = add_endpoint("e1", [](const std::string&, peer&) {});
    routing::endpoint_notice leaves;
    leaves.leaving = true;
    paths().directory().on_notice({endpoint_id("e1"), 0}, leaves, time.now());
    BOOST_TEST(contains(ask(request("GET /again/x", "r1"), until("}")), " 503 "));
    BOOST_TEST(engine.requests.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
