// Streams that go on at another endpoint while endpoints of several software versions serve.
#include <map>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

constexpr const char* last_chunk = "0\r\n\r\n";
constexpr const char* first_event = "id: 1\ndata: a\n\n";
constexpr const char* last_event = "id: 2\ndata: b\n\n";

std::string stream_head(const std::string& id) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id +
           "\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string& text) {
    std::stringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

// Endpoints that log the software version at which each call arrives, and break off or answer in
// turn.
struct fixture : gateway_fixture {
    fixture() { configure(); }

    // Adds an endpoint whose calls break off while `breaking` is positive.
    void add(const std::string& id, const std::string& software) {
        add_endpoint(
            id,
            [this, software](const std::string& request, peer& it) {
                called.push_back(software);
                const bool goes_on = request.find("Last-Event-Id: ") != std::string::npos;
                if (breaking > 0) {
                    --breaking;
                    it.send(break_off_with(id_of(request)));
                    it.reset();
                } else {
                    it.send(stream_head(id_of(request)) + (goes_on ? "" : chunk(first_event)) +
                            chunk(last_event) + last_chunk);
                }
            },
            software);
    }

    std::string break_off_with(const std::string& id) const {
        return breaks_before_head ? "" : stream_head(id) + chunk(first_event) + chunk("id: 2\nda");
    }

    // Sends a request for a stream and returns what its caller gets.
    std::string stream(const std::string& id, const std::string& headers = "") {
        const auto caller = connect();
        caller->send(request("POST /events/x", id, headers, "x"));
        run_until([&] {
            return caller->ended || ends_with(caller->received, last_chunk) ||
                   ends_with(caller->received, "}");
        });
        return caller->received;
    }

    int breaking = 0;
    bool breaks_before_head = false;
    std::vector<std::string> called;
};

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(software_versions_tests)

// Guards against a stream that goes on, within one response, at endpoints of another software
// version than the one that began it.
BOOST_AUTO_TEST_CASE(a_broken_stream_goes_on_only_at_the_software_that_began_it) {
    for (int i = 0; i < 12; ++i) {
        fixture it;
        // The order in which endpoints are preferred differs from round to round.
        for (const char* software : {"v1", "v2", "v3"}) {
            it.add("a" + std::to_string(i) + software, software);
            it.add("b" + std::to_string(i) + software, software);
        }
        it.breaking = 1;
        const std::string got = it.stream("r1");
        BOOST_REQUIRE_EQUAL(it.called.size(), 2U);
        BOOST_TEST(it.called[0] == it.called[1]);
        BOOST_TEST(contains(got, first_event));
        BOOST_TEST(contains(got, last_event));
        BOOST_TEST(ends_with(got, last_chunk));
    }
}

// Guards against the same where no other endpoint of that software is left: the stream is cut, so
// that its caller sees that it is not complete.
BOOST_AUTO_TEST_CASE(a_broken_stream_is_cut_where_no_endpoint_of_its_software_is_left) {
    for (int i = 0; i < 12; ++i) {
        fixture it;
        for (const char* software : {"v1", "v2", "v3"}) {
            it.add("a" + std::to_string(i) + software, software);
        }
        it.breaking = 1;
        const std::string got = it.stream("r1");
        BOOST_TEST(it.called.size() == 1U);
        BOOST_TEST(contains(got, first_event));
        BOOST_TEST(!contains(got, last_event));
        BOOST_TEST(!ends_with(got, last_chunk));
    }
}

// Guards against requests that are not sent again because of a software version, though no event
// binds them to it.
BOOST_FIXTURE_TEST_CASE(a_stream_that_has_not_begun_may_begin_at_any_software, fixture) {
    add("e1", "v1");
    add("e2", "v2");
    breaking = 1;
    breaks_before_head = true;
    const std::string got = stream("r1");
    BOOST_REQUIRE_EQUAL(called.size(), 2U);
    BOOST_TEST(called[0] != called[1]);
    BOOST_TEST(ends_with(got, last_chunk));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
