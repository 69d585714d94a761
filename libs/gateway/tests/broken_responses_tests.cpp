// Endpoints that break off, repeat or truncate their responses, and what callers get of it.
#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

constexpr const char* last_chunk = "0\r\n\r\n";
constexpr const char* whole_event = "id: 1\ndata: a\n\n";

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

// Returns the head of a response that ends with its connection.
std::string unframed_head(const std::string& id) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id +
           "\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n";
}

// Sends a request to one endpoint, which sends `bytes` and closes; returns what the caller gets.
std::string received_of(const std::string& route, const std::string& bytes, bool by_reset = false) {
    gateway_fixture fixture;
    fixture.configure();
    fixture.add_endpoint("e1", [&](const std::string&, peer& it) {
        it.send(bytes);
        by_reset ? it.reset() : it.close();
    });
    return fixture.round_trip(request("POST /" + route + "/x", "r1", "", "x"), [](const peer& it) {
        return ends_with(it.received, last_chunk) || ends_with(it.received, "}");
    });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(broken_responses_tests)

// Guards against a stream that broke off inside an event, without a length or chunks, and reaches
// its caller as complete.
BOOST_AUTO_TEST_CASE(an_unframed_stream_that_ends_inside_an_event_is_cut) {
    for (const std::string route : {"stream", "events"}) {
        for (const std::string end : {"id: 2\ndata: b\n", "id: 2\nda", "id: 2\ndata: b\n\nid"}) {
            BOOST_TEST_CONTEXT(route << " " << end) {
                const std::string got = received_of(route, unframed_head("r1") + whole_event + end);
                BOOST_TEST(contains(got, " 200 "));
                BOOST_TEST(!ends_with(got, last_chunk));
            }
        }
    }
}

// Guards against streams that are cut although they end as they should.
BOOST_AUTO_TEST_CASE(an_unframed_stream_that_ends_after_an_event_is_complete) {
    for (const std::string route : {"stream", "events"}) {
        for (const std::string end : {"", "id: 2\ndata: b\n\n", "id: 2\r\ndata: b\r\n\r\n"}) {
            BOOST_TEST_CONTEXT(route << " " << end) {
                const std::string got = received_of(route, unframed_head("r1") + whole_event + end);
                BOOST_TEST(contains(got, whole_event));
                BOOST_TEST(ends_with(got, last_chunk));
            }
        }
    }
    const std::string plain = received_of("once", unframed_head("r1") + "no event");
    BOOST_TEST(contains(plain, "no event"));
    BOOST_TEST(ends_with(plain, last_chunk));
}

// Guards against a stream whose endpoint ended right after the head and that looks complete.
BOOST_AUTO_TEST_CASE(an_unframed_stream_without_an_event_is_cut) {
    for (const std::string route : {"stream", "events"}) {
        BOOST_TEST(!ends_with(received_of(route, unframed_head("r1")), last_chunk));
    }
}

// Guards against a resumable stream that broke off inside an event and is not resumed.
BOOST_FIXTURE_TEST_CASE(an_unframed_stream_resumes_after_its_last_whole_event, gateway_fixture) {
    configure();
    int calls = 0;
    for (const char* id : {"e1", "e2"}) {
        add_endpoint(id, [&calls](const std::string& request, peer& it) {
            const bool is_first = ++calls == 1;
            BOOST_TEST(contains(request, "Last-Event-Id: 1\r\n") == !is_first);
            it.send(unframed_head("r1") + (is_first ? std::string(whole_event) + "id: 2\ndata: b\n"
                                                    : "id: 2\ndata: b\n\n"));
            it.close();
        });
    }
    const std::string got =
        round_trip(request("POST /events/x", "r1", "", "x"),
                   [](const peer& it) { return ends_with(it.received, last_chunk); });
    BOOST_TEST(calls == 2);
    BOOST_TEST(contains(got, "data: a\n\n"));
    BOOST_TEST(contains(got, "data: b\n\n"));
    BOOST_TEST(ends_with(got, last_chunk));
}

// Guards against the text or head of an endpoint's error in the middle of a resumed stream, and
// against a stream that an error ends as if it were complete.
BOOST_AUTO_TEST_CASE(an_error_of_the_next_endpoint_never_enters_a_broken_stream) {
    const std::vector<std::string> errors = {
        response("500 Error", "r1", "error text"), response("404 None", "r1", "error text"),
        response("503 Busy", "r1", "error text", "X-Not-Run: 1\r\n"),
        response("200 OK", "r1", "error text", ""),
        "HTTP/1.1 500 Error\r\nX-Id: r1\r\nX-Signature: s\r\n\r\nerror text"};
    for (const std::string& error : errors) {
        gateway_fixture fixture;
        fixture.configure();
        int calls = 0;
        for (const char* id : {"e1", "e2"}) {
            fixture.add_endpoint(id, [&](const std::string&, peer& it) {
                it.send(++calls == 1 ? unframed_head("r1") + whole_event + "id: 2\nda" : error);
                it.close();
            });
        }
        const auto caller = fixture.connect();
        caller->send(request("POST /events/x", "r1", "", "x"));
        fixture.run_until([&] { return caller->ended; });
        BOOST_TEST_CONTEXT(error) {
            BOOST_TEST(contains(caller->received, whole_event));
            BOOST_TEST(!contains(caller->received, "error text"));
            BOOST_TEST(caller->received.find("HTTP/1.1", 1) == std::string::npos);
            BOOST_TEST(!ends_with(caller->received, last_chunk));
        }
    }
}

// Guards against a success with an empty or short body made of a head that was never finished.
BOOST_AUTO_TEST_CASE(a_head_that_breaks_off_is_never_a_success) {
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\n";
    for (const std::string route : {"once", "stream", "events"}) {
        for (std::size_t n = 1; n < head.size(); n += 3) {
            for (const bool by_reset : {false, true}) {
                BOOST_TEST_CONTEXT(route << " " << n) {
                    const std::string got = received_of(route, head.substr(0, n), by_reset);
                    BOOST_TEST(contains(got, " 502 "));
                }
            }
        }
    }
}

// Guards against a caller that is told "not run" for a request that an endpoint runs, because the
// endpoint wrote an earlier rejection once more on a kept connection.
BOOST_AUTO_TEST_CASE(a_repeated_rejection_of_an_earlier_request_rejects_no_other) {
    for (const std::string id_of_copy : {"r1", ""}) {
        gateway_fixture fixture;
        fixture.configure();
        int runs = 0;
        auto& engine = fixture.add_endpoint("e1", [&](const std::string& request, peer& it) {
            const std::string id = id_of(request);
            const std::string rejection =
                id_of_copy.empty()
                    ? "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                    : response("503 Busy", id_of_copy, "", "X-Not-Run: 1\r\n");
            if (id == "r1") {
                it.send(response("503 Busy", id, "", "X-Not-Run: 1\r\n"));
                return;
            }
            ++runs;
            it.send(rejection);
            it.send(response("200 OK", id, "done"));
        });
        const auto finished = [](const peer& it) {
            return ends_with(it.received, "done") || ends_with(it.received, "}");
        };
        fixture.round_trip(request("POST /once/x", "r1", "", "x"), finished);
        const std::string got =
            fixture.round_trip(request("POST /once/x", "r2", "", "x"), finished);
        BOOST_TEST(runs == 1);
        BOOST_TEST(!contains(got, " 503 "));
        BOOST_TEST(!contains(got, " 429 "));
        BOOST_TEST(engine.requests.size() >= 2U);
    }
}

// Guards against sound requests that fail beside repeated rejections: a copy without a request id
// was taken for an invalid response to the request that runs.
BOOST_AUTO_TEST_CASE(a_repeated_rejection_without_an_id_costs_no_other_request) {
    for (const std::string route : {"once", "again", "stream"}) {
        gateway_fixture fixture;
        fixture.configure();
        int runs = 0;
        const auto& engine = fixture.add_endpoint("e1", [&](const std::string& request, peer& it) {
            const std::string id = id_of(request);
            if (id == "r1") {
                it.send(response("503 Busy", id, "", "X-Not-Run: 1\r\n"));
                return;
            }
            ++runs;
            it.send("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" +
                    response("200 OK", id, "done"));
        });
        const auto is_answered = [](const peer& it) {
            return ends_with(it.received, "done") || ends_with(it.received, "}");
        };
        for (const std::string id : {"r1", "r2", "r3", "r4"}) {
            const std::string got =
                fixture.round_trip(request("POST /" + route + "/x", id, "", "x"), is_answered);
            BOOST_TEST_CONTEXT(route << " " << id) {
                BOOST_TEST(ends_with(got, id == "r1" ? "}" : "done"));
            }
        }
        BOOST_TEST(runs == 3);
        BOOST_TEST(engine.connections.size() == 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
