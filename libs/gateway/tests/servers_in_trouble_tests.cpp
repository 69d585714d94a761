// Endpoints and callers that misbehave in the ways that operators of similar systems reported.
#include <boost/test/unit_test.hpp>

#include "world.h"

namespace radishpulley::gateway::testing {
namespace {

using std::chrono::milliseconds;

const std::string signed_head = "X-Signature: s\r\n";
constexpr std::size_t flood_size = 16'384;

std::string head_of(const std::string& id, const std::string& more) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + signed_head + more + "\r\n";
}

bool has_status(const peer& it, const std::string& status) {
    return it.received.compare(0, 12, "HTTP/1.1 " + status) == 0;
}

// Asks twice over one endpoint, which answers the first request rightly and says `late` before it
// answers the second; returns what the second caller got.
std::string second_answer(world& all, const std::string& late) {
    all.configure();
    all.add_endpoint("e1", [&](const std::string& request, peer& it) {
        if (request.find("X-Id: r1") != std::string::npos) {
            it.send(answer("200 OK", "r1", "first"));
        } else {
            it.send(late + answer("200 OK", "r2", "second"));
        }
    });
    const auto whole = [](const peer& it) { return ends_with(it.received, "first"); };
    all.ask(request("POST /once/a", "r1", "", "x"), whole);
    return all.ask(request("POST /once/a", "r2", "X-Deadline: 400\r\n", "y"), [](const peer& it) {
        return it.received.find("\r\n\r\n") != std::string::npos && it.received.size() > 60;
    });
}

// Bytes that are no answer, and come until the connection is closed. `begin` comes first.
struct endless {
    const char* what;
    std::string begin;
    std::string more;
};

std::vector<endless> endless_answers() {
    const std::string filler(flood_size, 'x');
    const std::string chunked = head_of("r1", "Transfer-Encoding: chunked\r\n");
    std::string lines;
    while (lines.size() < flood_size) {
        lines += "X-More: and more\r\n";
    }
    std::string informational;
    while (informational.size() < flood_size) {
        informational += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    std::string foreign;
    while (foreign.size() < flood_size) {
        foreign += answer("200 OK", "other", "theirs");
    }
    return {{"no protocol at all", "", filler},
            {"a status line without end", "HTTP/1.1 200 ", filler},
            {"a header without end", "HTTP/1.1 200 OK\r\nX-Long: ", filler},
            {"headers without end", "HTTP/1.1 200 OK\r\n", lines},
            {"informational answers without end", "", informational},
            {"answers to others without end", "", foreign},
            {"a foreign answer's body without end",
             "HTTP/1.1 200 OK\r\nX-Id: other\r\n" + signed_head + "\r\n", filler},
            {"a chunk's length without end", chunked, std::string(flood_size, '0')},
            {"a chunk's extension without end", chunked + "5;x=", filler},
            {"trailers without end", chunked + "0\r\n", lines},
            {"a rejection's body without end",
             "HTTP/1.1 503 Full\r\nX-Id: r1\r\nX-Not-Run: 1\r\n\r\n", filler}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(servers_in_trouble_tests)

// Guards against an answer to an earlier request that reaches the next caller: late copies on a
// connection in use again.
BOOST_AUTO_TEST_CASE(a_late_copy_of_an_answer_never_reaches_the_next_caller) {
    const std::string copy = answer("200 OK", "r1", "first");
    const std::string chunked_copy =
        head_of("r1", "Transfer-Encoding: chunked\r\n") + "5\r\nfirst\r\n0\r\n\r\n";
    const std::string without_id =
        "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nfirst";
    const std::vector<std::string> all = {copy,
                                          copy + copy,
                                          chunked_copy,
                                          without_id,
                                          copy.substr(0, 20),
                                          copy.substr(0, copy.size() - 2),
                                          copy.substr(30),
                                          "first",
                                          "HTTP/1.1 100 Continue\r\n\r\n" + copy};
    for (const std::string& late : all) {
        world it;
        const std::string got = second_answer(it, late);
        BOOST_TEST_CONTEXT("late bytes: " << late) {
            BOOST_TEST(got.find("first") == std::string::npos);
            const bool is_own = ends_with(got, "second");
            const bool is_failure = got.compare(0, 10, "HTTP/1.1 5") == 0;
            BOOST_TEST((is_own || is_failure));
        }
    }
}

// Guards against a request that runs while its caller hears that it has not: the second copy of a
// rejection, taken for the answer to the same request sent again.
BOOST_FIXTURE_TEST_CASE(a_late_copy_of_a_rejection_does_not_reject_the_request_sent_again, world) {
    with_engines = true;
    configure();
    int tries = 0;
    auto& engine = add_endpoint("e1", [&](const std::string&, peer& it) {
        const std::string rejection = answer("421 Other", "r1", "", "X-Not-Run: 1\r\n");
        it.send(++tries == 1 ? rejection : answer("200 OK", "r1", "done"));
    });
    const routing::model_ref adapter{"m", "a"};
    routing::endpoint entry = *paths().directory().find(endpoint_id("e1"));
    entry.heartbeat = 1;
    entry.models = {{"m", 1, {{"a", 1}}}};
    paths().on_endpoint(entry);
    broker().on_wish = [&](const endpoint_id& id, const routing::model_ref& it) {
        paths().on_adapter(id, it, {routing::adapter_state::loading, time.now(), 1});
        return true;
    };
    const std::string got = ask(request("POST /once/a", "r1", "X-Model: m/a\r\n", "x"),
                                [](const peer& it) { return ends_with(it.received, "done"); });
    BOOST_TEST(ends_with(got, "done"));
    BOOST_TEST(engine.connections.size() == 2U);
}

// Guards against endpoints whose bytes never end and are no answer: the caller hears of the failure
// at once, memory stays bounded, the connection ends, and other callers get their answers.
BOOST_AUTO_TEST_CASE(bytes_without_end_that_are_no_answer_end_the_call) {
    for (const endless& it : endless_answers()) {
        world all;
        all.configure();
        auto& bad = all.add_endpoint("e1", [&](const std::string&, peer& to) {
            to.send(it.begin);
            to.flood(it.more);
        });
        const auto caller = all.connect();
        caller->send(request("POST /once/a", "r1", "X-Deadline: 60000\r\n", "x"));
        BOOST_TEST_CONTEXT(it.what) {
            // An answer whose head looked sound is cut; the others are refused.
            all.run_until([&] {
                return caller->ended || has_status(*caller, "502") || has_status(*caller, "503");
            });
            BOOST_TEST(!ends_with(caller->received, "0\r\n\r\n"));
            all.run_until([&] { return bad.connections[0]->ended; });
            all.run_until([&] { return all.paths().unsent_bytes() == 0U; });
            BOOST_TEST(all.paths().request_count() == 0U);
        }
    }
}

// Guards against the rest of a body that is longer than its head said: it belongs to nobody.
BOOST_FIXTURE_TEST_CASE(a_body_past_its_length_reaches_nobody, world) {
    configure();
    auto& endpoint = add_endpoint("e1", [](const std::string&, peer& it) {
        it.send(answer("200 OK", "r1", "whole"));
        it.flood(std::string(flood_size, 'x'));
    });
    const std::string got = ask(request("POST /once/a", "r1", "", "x"),
                                [](const peer& it) { return ends_with(it.received, "whole"); });
    BOOST_TEST(ends_with(got, "\r\n\r\nwhole"));
    run_until([&] { return endpoint.connections[0]->ended; });
}

// Guards against a body without a length that never ends: it is bounded by the caller's deadline
// and by what the caller reads.
BOOST_FIXTURE_TEST_CASE(a_success_that_never_ends_is_cut_at_the_deadline, world) {
    configure();
    auto& endpoint = add_endpoint("e1", [](const std::string&, peer& it) {
        it.send(head_of("r1", "Transfer-Encoding: chunked\r\n"));
        it.flood("4\r\nmore\r\n");
    });
    const auto caller = connect();
    caller->send(request("POST /once/a", "r1", "X-Deadline: 100\r\n", "x"));
    constexpr int most_steps = 200'000;
    for (int i = 0; i < most_steps && !caller->ended; ++i) {
        loop.restart();
        loop.run_one_for(milliseconds(10));
    }
    BOOST_TEST(caller->ended);
    BOOST_TEST(!ends_with(caller->received, "0\r\n\r\n"));
    run_until([&] { return endpoint.connections[0]->ended; });
}

// Guards against an answer that breaks off halfway and looks complete to a caller for whom only the
// connection's end tells the answer's end.
BOOST_FIXTURE_TEST_CASE(a_broken_answer_without_a_length_is_reset_towards_old_callers, world) {
    configure();
    add_endpoint("e1", [](const std::string&, peer& it) {
        it.send(head_of("r1", "Transfer-Encoding: chunked\r\n") + "4\r\nhalf\r\n");
        it.close();
    });
    const auto caller = connect();
    caller->send("POST /once/a HTTP/1.0\r\nHost: h\r\nX-Id: r1\r\nX-Key: k\r\n" +
                 std::string("Content-Length: 1\r\n\r\nx"));
    run_until([&] { return caller->ended; });
    BOOST_TEST(caller->was_reset);
}

// Guards against answers that break off halfway and reach the caller as a success, in every form.
BOOST_AUTO_TEST_CASE(an_answer_that_breaks_off_is_never_a_complete_success) {
    const std::vector<std::string> broken = {
        head_of("r1", "Content-Length: 10\r\n") + "half",
        head_of("r1", "Transfer-Encoding: chunked\r\n") + "4\r\nhalf\r\n",
        head_of("r1", "Transfer-Encoding: chunked\r\n") + "8\r\nhalf",
        head_of("r1", "Transfer-Encoding: chunked\r\n") + "4\r\nhalf\r\n0\r\n"};
    for (const std::string& bytes : broken) {
        for (const bool with_reset : {false, true}) {
            world all;
            all.configure();
            all.add_endpoint("e1", [&](const std::string&, peer& it) {
                it.send(bytes);
                with_reset ? it.reset() : it.close();
            });
            const auto caller = all.connect();
            caller->send(request("POST /once/a", "r1", "", "x"));
            all.run_until([&] { return caller->ended || has_status(*caller, "502"); });
            BOOST_TEST_CONTEXT(bytes) {
                BOOST_TEST(!ends_with(caller->received, "0\r\n\r\n"));
                BOOST_TEST(caller->received.find("Content-Length: 4\r\n") == std::string::npos);
            }
        }
    }
}

// Guards against work that runs again, or is said not to have run, after its answer was lost.
BOOST_AUTO_TEST_CASE(an_answer_lost_at_any_point_is_neither_repeated_nor_said_not_to_have_run) {
    const std::string whole = answer("200 OK", "r1", "done");
    for (const std::size_t n :
         {std::size_t{0}, std::size_t{5}, std::size_t{20}, whole.size() - 2}) {
        for (const bool with_reset : {false, true}) {
            world all;
            all.configure();
            const auto lose = [&](const std::string&, peer& it) {
                it.send(whole.substr(0, n));
                with_reset ? it.reset() : it.close();
            };
            auto& one = all.add_endpoint("e1", lose);
            auto& other = all.add_endpoint("e2", lose);
            const auto caller = all.connect();
            caller->send(request("POST /once/a", "r1", "", "x"));
            all.run_until([&] { return caller->ended || has_status(*caller, "502"); });
            BOOST_TEST(one.requests.size() + other.requests.size() == 1U);
            for (const char* not_run : {"503", "429", "408", "421"}) {
                BOOST_TEST(!has_status(*caller, not_run));
            }
        }
    }
}

// Guards against slow but sound streams that are cut.
BOOST_FIXTURE_TEST_CASE(a_slow_stream_goes_on_to_its_end, world) {
    configure();
    boost::asio::steady_timer timer(loop);
    add_endpoint("e1", [&](const std::string&, peer& it) {
        it.send(head_of("r1", "Transfer-Encoding: chunked\r\n") + "4\r\n: a\n\r\n");
        timer.expires_after(milliseconds(700));
        timer.async_wait(
            [to = it.shared_from_this()](auto) { to->send("4\r\nlast\r\n0\r\n\r\n"); });
    });
    const std::string got = ask(request("POST /events/a", "r1", "", "x"),
                                [](const peer& it) { return ends_with(it.received, "0\r\n\r\n"); });
    BOOST_TEST(got.find("last") != std::string::npos);
}

// Guards against stalled streams that send a byte now and then and never end.
BOOST_FIXTURE_TEST_CASE(a_stalled_stream_ends_at_the_deadline_whatever_it_trickles, world) {
    configure();
    boost::asio::steady_timer timer(loop);
    std::function<void(std::shared_ptr<peer>)> trickle = [&](std::shared_ptr<peer> to) {
        to->send("1\r\n:\r\n");
        timer.expires_after(milliseconds(20));
        timer.async_wait([&, to](auto ec) {
            if (!ec && !to->ended) {
                trickle(to);
            }
        });
    };
    auto& endpoint = add_endpoint("e1", [&](const std::string&, peer& it) {
        it.send(head_of("r1", "Transfer-Encoding: chunked\r\n"));
        trickle(it.shared_from_this());
    });
    const auto caller = connect();
    caller->send(request("POST /once/a", "r1", "X-Deadline: 200\r\n", "x"));
    run_until([&] { return caller->ended && endpoint.connections[0]->ended; });
    BOOST_TEST(!ends_with(caller->received, "0\r\n\r\n"));
}

// Guards against a body that arrives slowly and is refused, though every part of it comes in time.
BOOST_FIXTURE_TEST_CASE(a_body_that_arrives_slowly_is_waited_for, world) {
    idle_timeout = milliseconds(200);
    configure();
    add_endpoint("e1",
                 [](const std::string&, peer& it) { it.send(answer("200 OK", "r1", "done")); });
    const auto caller = connect();
    caller->send("POST /once/a HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: k\r\n" +
                 std::string("Content-Length: 4\r\n\r\n"));
    for (int i = 0; i < 4; ++i) {
        loop.restart();
        loop.run_for(milliseconds(90));
        caller->send("x");
    }
    run_until([&] { return caller->received.find("\r\n\r\n") != std::string::npos; });
    BOOST_TEST(has_status(*caller, "200"));
}

// Guards against a caller that sends a byte of its body now and then for ever.
BOOST_FIXTURE_TEST_CASE(a_body_that_trickles_is_not_waited_for_without_end, world) {
    idle_timeout = milliseconds(60);
    configure();
    const auto caller = connect();
    caller->send("POST /once/a HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: k\r\n" +
                 std::string("Content-Length: 9000\r\n\r\n"));
    for (int i = 0; i < 200 && caller->received.empty(); ++i) {
        loop.restart();
        loop.run_for(milliseconds(20));
        caller->send("x");
    }
    BOOST_TEST(has_status(*caller, "408"));
}

// Guards against requests that a planned stop cuts because their bytes were not read yet.
BOOST_FIXTURE_TEST_CASE(a_request_that_has_arrived_unread_is_answered_during_a_stop, world) {
    configure();
    add_endpoint("e1",
                 [](const std::string&, peer& it) { it.send(answer("200 OK", "r1", "done")); });
    const auto caller = connect();
    run_until([&] { return paths().caller_count() == 1; });
    paths().begin_stop();
    caller->send(request("POST /once/a", "r1", "", "x"));
    paths().close_idle_callers();
    run_until([&] { return caller->ended; });
    BOOST_TEST(ends_with(caller->received, "done"));
}

// Guards against keys that were withdrawn while this process was paused: it served them until it
// happened to hear of it.
BOOST_FIXTURE_TEST_CASE(after_a_pause_requests_wait_for_the_configuration, world) {
    configure();
    auto& endpoint = add_endpoint(
        "e1", [](const std::string&, peer& it) { it.send(answer("200 OK", "r1", "done")); });
    paths().note_running();
    int pauses = 0;
    paths().set_on_pause([&] { ++pauses; });
    time.jump(std::chrono::seconds(3));
    const auto caller = connect();
    caller->send(request("POST /once/a", "r1", "", "x"));
    run_until([&] { return pauses == 1; });
    // The answer to a call that began before the pause proves nothing.
    paths().on_configuration_confirmed(time.now() - std::chrono::seconds(2));
    BOOST_TEST(paths().awaits_confirmation());
    routing::configuration_content next;
    next.version = 2;
    next.routes.push_back({});
    next.routes.back().name = "once";
    next.routes.back().host = "h";
    next.routes.back().path_prefix = "/once/";
    next.routes.back().services = {{service_id("s"), 1}};
    next.services.push_back({service_id("s"), std::nullopt});
    next.accounts.push_back({});
    next.accounts.back().id = client_account_id("acme");
    next.accounts.back().keys = {"another"};
    paths().on_configuration(std::make_shared<routing::configuration>(next));
    paths().on_configuration_confirmed(time.now());
    run_until([&] { return !caller->received.empty(); });
    BOOST_TEST(has_status(*caller, "401"));
    BOOST_TEST(endpoint.requests.empty());
}

// Guards against a VM that serves nobody after a pause because the store is away.
BOOST_FIXTURE_TEST_CASE(after_a_pause_without_a_store_what_is_known_goes_on_serving, world) {
    configure();
    add_endpoint("e1",
                 [](const std::string&, peer& it) { it.send(answer("200 OK", "r1", "done")); });
    paths().note_running();
    time.jump(std::chrono::seconds(3));
    const std::string got = ask(request("POST /once/a", "r1", "", "x"),
                                [](const peer& it) { return ends_with(it.received, "done"); });
    BOOST_TEST(ends_with(got, "done"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
