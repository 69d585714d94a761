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

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

// Other VMs that remember no stream, and what this VM has learned of earlier ones.
class stub_peers final : public stream_peers {
public:
    std::size_t ask(routing::stream_key stream) override {
        last_asked = stream;
        ++queries;
        return 0;
    }
    origin_knowledge knowledge() const override {
        ++looks;
        return known;
    }
    void announce_soon() override {}

    origin_knowledge known = origin_knowledge::incomplete;
    std::optional<routing::stream_key> last_asked;
    int queries = 0;
    mutable int looks = 0;
};

// Endpoints that log the software version at which each call arrives, and break off or answer in
// turn.
struct fixture : gateway_fixture {
    explicit fixture(bool knows_past = true) : gateway_fixture(knows_past) { configure(); }

    // Adds an endpoint whose calls break off while `breaking` is positive.
    void add(const std::string& id, const std::string& software) {
        add_endpoint(
            id,
            [this, id, software](const std::string& request, peer& it) {
                called.push_back(software);
                last_called = id;
                const bool goes_on = request.find("Last-Event-Id: ") != std::string::npos;
                if (holds_back) {
                    it.send(stream_head(id_of(request)) + chunk(first_event));
                } else if (breaking > 0) {
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

    // Begins a stream whose caller leaves after the first event, and returns its software.
    std::string begin_and_leave(const std::string& id) {
        holds_back = true;
        const auto caller = connect();
        caller->send(request("POST /events/x", id, "", "x"));
        run_until([&] { return contains(caller->received, first_event); });
        caller->close();
        run_until([&] { return proxy().request_count() == 0; });
        holds_back = false;
        const std::string software = called.back();
        called.clear();
        return software;
    }

    void remove(const std::string& id) {
        proxy().directory().on_removed(endpoint_id(id), time.now());
        proxy().on_endpoint_removed(endpoint_id(id));
    }

    // Resumes a stream behind its first event and returns what the caller gets.
    std::string resume(const std::string& id, const std::string& first) {
        return stream(id, "Last-Event-Id: 1\r\nX-Resumes: " + first + "\r\n");
    }

    // From now on, the list of endpoints counts as current only as far as the store confirms it.
    void require_confirmed_endpoints() {
        proxy().set_confirm_endpoints([this] { ++confirmations_asked; });
        proxy().on_endpoints_confirmed(time.now());
        time.jump(std::chrono::milliseconds(1));
    }

    // Resumes a stream, calls `meanwhile` once the store is asked to confirm the endpoints, and
    // returns what the caller gets.
    std::string resume_unconfirmed(const std::function<void()>& meanwhile) {
        const int asked_before = confirmations_asked;
        const auto caller = connect();
        caller->send(request("POST /events/x", "r2", "Last-Event-Id: 1\r\nX-Resumes: r1\r\n", "x"));
        const auto has_ended = [&] {
            return caller->ended || ends_with(caller->received, last_chunk) ||
                   ends_with(caller->received, "}");
        };
        run_until([&] { return confirmations_asked > asked_before || has_ended(); });
        BOOST_TEST(called.empty());
        meanwhile();
        run_until(has_ended);
        return caller->received;
    }

    // Number of resumed streams that ended in this way.
    std::uint64_t ended(const std::string& outcome, const std::string& went_on) {
        const std::string name = "radishpulley_stream_resumptions_total{outcome=\"" + outcome +
                                 "\",went_on=\"" + went_on + "\"} ";
        const std::string text = metrics.to_text();
        const std::size_t at = text.find(name);
        return at == std::string::npos ? 0 : std::stoull(text.substr(at + name.size()));
    }

    // Number of resumed streams that ended at all.
    std::uint64_t all_ended() {
        constexpr const char* name = "radishpulley_stream_resumptions_total{";
        std::stringstream lines(metrics.to_text());
        std::uint64_t sum = 0;
        for (std::string line; std::getline(lines, line);) {
            if (line.compare(0, std::string(name).size(), name) == 0) {
                sum += std::stoull(line.substr(line.rfind(' ')));
            }
        }
        return sum;
    }

    int breaking = 0;
    int confirmations_asked = 0;
    // Whether endpoints send no more than the first event.
    bool holds_back = false;
    bool breaks_before_head = false;
    // The software, and last the endpoint, at which calls arrived.
    std::vector<std::string> called;
    std::string last_called;
};

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

// Guards against a stream that its caller resumes and that goes on at other software.
BOOST_AUTO_TEST_CASE(a_resumed_stream_goes_on_only_at_the_software_that_began_it) {
    for (int i = 0; i < 12; ++i) {
        fixture it;
        for (const char* software : {"v1", "v2", "v3"}) {
            it.add("a" + std::to_string(i) + software, software);
            it.add("b" + std::to_string(i) + software, software);
        }
        const std::string software = it.begin_and_leave("r1");
        it.remove(it.last_called);
        const std::string got = it.resume("r2", "r1");
        BOOST_REQUIRE_EQUAL(it.called.size(), 1U);
        BOOST_TEST(it.called[0] == software);
        BOOST_TEST(contains(got, last_event));
    }
}

// Guards against the same where nobody knows at which software the stream began, for example as all
// VMs were killed: it is refused at once, and never sent.
BOOST_FIXTURE_TEST_CASE(a_resumed_stream_of_unknown_software_is_refused, fixture) {
    add("e1", "v1");
    add("e2", "v2");
    for (const std::string first : {"r1", ""}) {
        const std::string got = resume("r2", first);
        BOOST_TEST(contains(got, " 503 "));
        BOOST_TEST(!contains(got, "Retry-After"));
        BOOST_TEST(called.empty());
    }
}

// Guards against the same where the endpoints of that software have left.
BOOST_FIXTURE_TEST_CASE(a_resumed_stream_whose_software_is_gone_is_refused, fixture) {
    add("e1", "v1");
    BOOST_TEST(begin_and_leave("r1") == "v1");
    add("e2", "v2");
    remove("e1");
    const std::string got = resume("r2", "r1");
    BOOST_TEST(contains(got, " 503 "));
    BOOST_TEST(called.empty());
}

// Guards against streams that are not resumed though only one software has served.
BOOST_FIXTURE_TEST_CASE(an_unknown_stream_is_resumed_while_one_software_serves, fixture) {
    add("e1", "v1");
    add("e2", "v1");
    BOOST_TEST(contains(resume("r2", "r1"), last_event));
    BOOST_TEST(called.size() == 1U);
}

// Guards against a stream that began at a newer software, and is joined with the older one by a VM
// that has not learned of the newer one yet: cut off, standing still or without news of the store.
BOOST_FIXTURE_TEST_CASE(a_vm_out_of_step_does_not_take_its_old_software_for_the_only_one, fixture) {
    add("e1", "v1");
    require_confirmed_endpoints();
    const std::string got = resume_unconfirmed([this] {
        add("e2", "v2");
        proxy().on_endpoints_confirmed(time.now());
    });
    BOOST_TEST(contains(got, " 503 "));
    BOOST_TEST(contains(got, "stream_software_unknown"));
    BOOST_TEST(called.empty());
}

// Guards against the same where the store's answer is older than the request, having waited while
// this process stood still.
BOOST_FIXTURE_TEST_CASE(an_answer_to_an_earlier_read_confirms_no_endpoints, fixture) {
    add("e1", "v1");
    require_confirmed_endpoints();
    const std::string got = resume_unconfirmed([this] {
        proxy().on_endpoints_confirmed(time.now() - std::chrono::seconds(2));
        BOOST_TEST(confirmations_asked == 2);
        add("e2", "v2");
        proxy().on_endpoints_confirmed(time.now());
    });
    BOOST_TEST(contains(got, " 503 "));
    BOOST_TEST(called.empty());
}

// Guards against the same where the store says nothing at all: the request is refused in time for
// its caller to try another VM.
BOOST_FIXTURE_TEST_CASE(without_the_store_a_stream_of_unknown_software_is_refused, fixture) {
    add("e1", "v1");
    require_confirmed_endpoints();
    const std::string got = resume_unconfirmed([] {});
    BOOST_TEST(contains(got, " 503 "));
    BOOST_TEST(contains(got, "endpoints_unconfirmed"));
    BOOST_TEST(contains(got, "Retry-After"));
    BOOST_TEST(called.empty());
}

// Guards against streams that are not resumed though the store confirms that one software serves.
BOOST_FIXTURE_TEST_CASE(a_stream_is_resumed_once_the_only_software_is_confirmed, fixture) {
    add("e1", "v1");
    require_confirmed_endpoints();
    const std::string got =
        resume_unconfirmed([this] { proxy().on_endpoints_confirmed(time.now()); });
    BOOST_TEST(contains(got, last_event));
    BOOST_TEST(called.size() == 1U);
}

// Guards against a refusal as gone of a stream whose software this VM has not learned of yet.
BOOST_FIXTURE_TEST_CASE(software_counts_as_gone_only_once_the_endpoints_are_confirmed, fixture) {
    add("e1", "v1");
    require_confirmed_endpoints();
    proxy().on_streams_announced(
        {{service_id("s"), "v2"},
         {routing::stream_key_of(client_account_id("acme"), request_id("r1"))}});
    const std::string got = resume_unconfirmed([this] {
        add("e2", "v2");
        proxy().on_endpoints_confirmed(time.now());
    });
    BOOST_TEST(contains(got, last_event));
    BOOST_TEST((called == std::vector<std::string>{"v2"}));
}

// Guards against a call to the store for each stream that this VM knows.
BOOST_FIXTURE_TEST_CASE(a_known_stream_is_resumed_without_a_confirmation, fixture) {
    add("e1", "v1");
    BOOST_TEST(begin_and_leave("r1") == "v1");
    require_confirmed_endpoints();
    BOOST_TEST(contains(resume("r2", "r1"), last_event));
    BOOST_TEST(confirmations_asked == 0);
}

// Guards against streams that are refused as unknown right after a start of the VM, before it has
// read the archive that knows them.
BOOST_FIXTURE_TEST_CASE(a_resumption_waits_until_the_archive_is_read, fixture) {
    stub_peers peers;
    proxy().set_stream_peers(peers);
    add("e1", "v1");
    add("e2", "v2");
    const auto caller = connect();
    caller->send(request("POST /events/x", "r2", "Last-Event-Id: 1\r\nX-Resumes: r1\r\n", "x"));
    run_until([&] { return peers.last_asked.has_value(); });
    BOOST_TEST(caller->received.empty());
    proxy().on_streams_announced({{service_id("s"), "v2"}, {*peers.last_asked}});
    peers.known = origin_knowledge::complete;
    run_until([&] { return ends_with(caller->received, last_chunk); });
    BOOST_TEST(called == std::vector<std::string>{"v2"}, boost::test_tools::per_element());
}

// Guards against the same where the record of software is read last, and one software alone serves.
BOOST_AUTO_TEST_CASE(a_resumption_waits_until_the_record_of_software_is_read) {
    fixture it(false);
    stub_peers peers;
    peers.known = origin_knowledge::complete;
    it.proxy().set_stream_peers(peers);
    it.add("e1", "v1");
    const auto caller = it.connect();
    caller->send(request("POST /events/x", "r2", "Last-Event-Id: 1\r\n", "x"));
    it.run_until([&] { return peers.looks > 0; });
    BOOST_TEST(caller->received.empty());
    it.proxy().on_software_record({});
    it.run_until([&] { return ends_with(caller->received, last_chunk); });
}

// Guards against resumptions that wait for nothing: once the archive is read or the store does not
// answer, an unknown stream is refused at once. Only the latter may become known later.
BOOST_FIXTURE_TEST_CASE(a_waiting_resumption_is_refused_once_nobody_can_know, fixture) {
    for (const auto known : {origin_knowledge::complete, origin_knowledge::unavailable}) {
        stub_peers peers;
        proxy().set_stream_peers(peers);
        add("e1", "v1");
        add("e2", "v2");
        const auto caller = connect();
        caller->send(request("POST /events/x", "r2", "Last-Event-Id: 1\r\nX-Resumes: r1\r\n", "x"));
        run_until([&] { return peers.last_asked.has_value(); });
        peers.known = known;
        run_until([&] { return ends_with(caller->received, "}"); });
        BOOST_TEST(contains(caller->received, "stream_software_unknown"));
        const bool may_return = contains(caller->received, "Retry-After: ");
        BOOST_TEST(may_return == (known == origin_knowledge::unavailable));
        BOOST_TEST(called.empty());
        peers.queries = 0;
        BOOST_TEST(contains(resume("r3", "r1"), "stream_software_unknown"));
        BOOST_TEST(peers.queries == 1);
    }
}

// Guards against a resumption that waits for the archive beyond its caller's patience.
BOOST_FIXTURE_TEST_CASE(a_resumption_waits_only_for_a_part_of_its_time, fixture) {
    stub_peers peers;
    proxy().set_stream_peers(peers);
    add("e1", "v1");
    add("e2", "v2");
    const std::string got =
        stream("r2", "Last-Event-Id: 1\r\nX-Resumes: r1\r\nX-Deadline: 400\r\n");
    BOOST_TEST(contains(got, "stream_software_unknown"));
    BOOST_TEST(contains(got, "Retry-After: "));
}

// Guards against resumed streams that end without a trace because they are refused before anyone
// looks for their software: at the account's limit, without a route, without a configuration.
BOOST_FIXTURE_TEST_CASE(each_resumption_is_counted_once_by_its_outcome, fixture) {
    add("e1", "v1");
    BOOST_TEST(contains(resume("r2", "r1"), last_event));
    BOOST_TEST(ended("answered", "yes") == 1U);
    BOOST_TEST(contains(stream("r3"), last_event));
    BOOST_TEST(all_ended() == 1U);

    configure(0.001);
    for (int i = 0; i < 20 && ended("over_limit", "no") == 0; ++i) {
        resume("r4-" + std::to_string(i), "r1");
    }
    BOOST_TEST(ended("over_limit", "no") == 1U);
    configure();
    const std::uint64_t so_far = all_ended();

    const auto caller = connect();
    caller->send(request("POST /nowhere/x", "r5", "Last-Event-Id: 1\r\nX-Resumes: r1\r\n", "x"));
    run_until([&] { return ends_with(caller->received, "}"); });
    BOOST_TEST(ended("no_route", "no") == 1U);

    add("e2", "v2");
    resume("r6", "r0");
    BOOST_TEST(ended("stream_software_unknown", "no") == 1U);
    BOOST_TEST(all_ended() == so_far + 2);
}

// Guards against a resumption that counts as one that went on though its endpoint broke off before
// the first event.
BOOST_FIXTURE_TEST_CASE(a_resumption_that_no_endpoint_answers_did_not_go_on, fixture) {
    add("e1", "v1");
    breaks_before_head = true;
    breaking = 1;
    resume("r2", "r1");
    BOOST_TEST(ended("no_endpoint", "no") == 1U);
    BOOST_TEST(all_ended() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
