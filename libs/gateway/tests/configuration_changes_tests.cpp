// Requests that are in progress or arriving while the configuration changes: each gets one complete
// response or refusal, whatever it is doing.
#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

using routing::configuration_content;
using std::chrono::milliseconds;

constexpr milliseconds request_time{500};
// How late a response may be on a machine with other work.
constexpr milliseconds tolerance{250};
const std::string body(3'000, 'b');

enum class outcome {
    /// Nothing, or not a whole head.
    none,
    /// A part of a response.
    part,
    complete,
    /// More than one response.
    several
};

std::ostream& operator<<(std::ostream& out, outcome it) {
    constexpr const char* names[] = {"none", "part", "complete", "several"};
    return out << names[static_cast<int>(it)];
}

// Returns what a caller received in response to its one request.
outcome outcome_of(std::string got) {
    while (got.compare(0, 10, "HTTP/1.1 1") == 0) {
        got.erase(0, got.find("\r\n\r\n") + 4);
    }
    const std::size_t end = got.find("\r\n\r\n");
    if (end == std::string::npos) {
        return outcome::none;
    }
    const std::size_t length_at = got.find("Content-Length: ");
    std::size_t whole = 0;
    if (length_at < end) {
        whole = end + 4 + std::stoul(got.substr(length_at + 16));
    } else {
        const std::size_t last_chunk = got.find("0\r\n\r\n", end);
        whole = last_chunk == std::string::npos ? got.size() + 1 : last_chunk + 5;
    }
    if (got.size() < whole) {
        return outcome::part;
    }
    return got.size() == whole ? outcome::complete : outcome::several;
}

struct change {
    std::string name;
    std::function<void(configuration_content&)> apply;
};

const std::vector<change>& all_changes() {
    static const std::vector<change> out = {
        {"the route is gone", [](auto& it) { it.routes.clear(); }},
        {"the key is gone", [](auto& it) { it.accounts[0].keys = {"another"}; }},
        {"the account is gone", [](auto& it) { it.accounts.clear(); }},
        {"the service is replaced",
         [](auto& it) {
             it.services[0].id = service_id("t");
             for (routing::route& each : it.routes) {
                 each.services = {{service_id("t"), 1}};
             }
         }},
        {"the service is gone", [](auto& it) { it.services.clear(); }},
        {"times are shorter",
         [](auto& it) {
             for (routing::route& each : it.routes) {
                 each.timeout = milliseconds(100);
             }
             it.limits.header_timeout = milliseconds(50);
             it.limits.idle_timeout = milliseconds(50);
         }},
        {"times are longer",
         [](auto& it) {
             for (routing::route& each : it.routes) {
                 each.timeout = milliseconds(60'000);
             }
             it.limits.header_timeout = milliseconds(60'000);
             it.limits.idle_timeout = milliseconds(60'000);
         }},
        {"limits are smaller",
         [](auto& it) {
             it.limits.max_header_bytes = 20;
             it.limits.max_body_bytes = 10;
         }},
        {"limits are larger",
         [](auto& it) {
             it.limits.max_header_bytes = 200'000;
             it.limits.max_body_bytes = 4'000'000;
         }},
        {"nothing changes", [](auto&) {}},
    };
    return out;
}

// A gateway with one request, which a test brings into a phase and lets go on.
struct fixture : gateway_fixture {
    fixture() { start(); }

    void start() {
        configure();
        add_endpoint("e1", [this](const std::string& it, peer& from) { play(it, from); });
        add_endpoint("e2", [this](const std::string& it, peer& from) { play(it, from); });
        add_endpoint("e3", [this](const std::string& it, peer& from) { play(it, from); });
        add_endpoint("other", answer);
        announce("other", [](routing::endpoint& it) { it.service = service_id("t"); });
    }

    // A script may replace itself.
    void play(const std::string& request, peer& from) {
        const auto script = on_request;
        script(request, from);
    }

    static void answer(const std::string& request, peer& it) {
        it.send(response("200 OK", id_of(request), "done"));
    }

    void announce(const std::string& id, const std::function<void(routing::endpoint&)>& edit) {
        routing::endpoint entry = *proxy().directory().find(endpoint_id(id));
        ++entry.heartbeat;
        edit(entry);
        proxy().on_endpoint(entry);
    }

    // Makes the endpoints engines that can load adapters.
    void use_engines() {
        with_engines = true;
        configure();
        for (const char* id : {"e1", "e2", "e3"}) {
            announce(id, [](routing::endpoint& it) { it.models = {{"m", 1, {}}}; });
        }
    }

    void apply_change(const change& it) {
        configuration_content next = content();
        next.version = ++version;
        it.apply(next);
        apply(next);
    }

    void send(const std::string& line, const std::string& more = "", const std::string& of = "") {
        caller = connect();
        began = time.now();
        caller->send(whole(line, more, of));
    }

    static std::string whole(const std::string& line, const std::string& more = "",
                             const std::string& of = "") {
        return request(line, "r1",
                       more + "X-Deadline: " + std::to_string(request_time.count()) + "\r\n", of);
    }

    void run_for(milliseconds time) {
        loop.restart();
        loop.run_for(time);
    }

    void hold_adapter(routing::adapter_state state, duration ready_in) {
        proxy().on_adapter(asked, {"m", "a"}, {state, time.now() + ready_in, 1, true});
    }

    // Requires the response, and that nothing follows it.
    void check(const std::string& of, bool may_be_cut) {
        BOOST_TEST_CONTEXT(of) {
            const auto is_over = [&] {
                return caller->ended || outcome_of(caller->received) >= outcome::complete ||
                       time.now() - began > request_time * 2;
            };
            run_until(is_over);
            const duration taken = time.now() - began;
            BOOST_TEST((taken <= request_time + tolerance));
            run_for(milliseconds(2));
            const outcome got = outcome_of(caller->received);
            if (may_be_cut && got == outcome::part) {
                BOOST_TEST(caller->was_reset);
            } else {
                BOOST_TEST(got == outcome::complete);
                BOOST_TEST(!caller->was_reset);
            }
            BOOST_TEST(proxy().request_count() == 0U);
        }
    }

    std::function<void(const std::string&, peer&)> on_request = answer;
    std::shared_ptr<peer> caller;
    // Connection to the endpoint that holds the request.
    std::shared_ptr<peer> held;
    endpoint_id asked;
    int count = 0;
    std::uint64_t version = 1;
    time_point began{};
};

struct phase_case {
    std::string name;
    std::function<void(fixture&)> enter;
    std::function<void(fixture&)> leave = [](fixture&) {};
    bool may_be_cut = false;
};

// Lets the endpoint send `first` and hold what follows.
void hold_after(fixture& it, const std::string& first) {
    it.on_request = [&it, first](const std::string&, peer& from) {
        it.held = from.shared_from_this();
        from.send(first);
    };
}

void wait_for_budget(fixture& it) {
    gateway_settings settings;
    settings.retry_ratio = 0;
    settings.retry_reserve = 0;
    it.proxy().reconfigure(settings);
    it.on_request = [&it](const std::string& request, peer& from) {
        ++it.count;
        from.send(response("503 Busy", id_of(request), "", "X-Not-Run: 1\r\n"));
    };
    it.send("GET /again/x");
    it.run_until([&] { return it.count == 2; });
    it.run_for(milliseconds(5));
    it.on_request = fixture::answer;
}

void grant_budget(fixture& it) {
    it.proxy().reconfigure(gateway_settings());
}

void wait_for_evidence(fixture& it) {
    it.on_request = [&it](const std::string& request, peer&) {
        const auto took = [&](std::size_t i) {
            const auto& all = it.endpoint(i).requests;
            return !all.empty() && all.back() == request;
        };
        const std::size_t crashed = took(0) ? 0 : took(1) ? 1 : 2;
        it.on_request = fixture::answer;
        boost::asio::post(it.loop, [&it, crashed] {
            it.endpoint(crashed).crash();
            ++it.count;
        });
    };
    it.send("GET /again/x", "X-Segments: a,b,c\r\n");
    it.run_until([&] { return it.count == 1; });
    it.run_for(milliseconds(20));
}

void ask_for_load(fixture& it, const std::function<void()>& on_asked) {
    it.use_engines();
    it.broker().on_load_request = [&it, on_asked](const endpoint_id& id, const auto&,
                                                  duration) -> load_request_result {
        it.asked = id;
        on_asked();
        return load_requested{};
    };
    it.send("GET /again/x", "X-Model: m/a\r\n");
    it.run_until([&] { return !it.asked.empty(); });
}

void send_head_part(fixture& it) {
    it.caller = it.connect();
    it.began = it.time.now();
    it.caller->send(fixture::whole("POST /again/x", "", body).substr(0, 40));
    it.run_for(milliseconds(5));
}

void send_body_part(fixture& it, const std::string& more = "") {
    const std::string all = fixture::whole("POST /again/x", more, body);
    it.caller = it.connect();
    it.began = it.time.now();
    it.caller->send(all.substr(0, all.size() - body.size() + 100));
    it.run_for(milliseconds(5));
}

const std::vector<phase_case>& all_phases() {
    const auto send_rest_of_body = [](fixture& it) { it.caller->send(body.substr(100)); };
    static const std::vector<phase_case> out = {
        {"accepted, not read", [](fixture& it) { it.send("GET /again/x"); }},
        {"held after a pause, confirmed",
         [](fixture& it) {
             it.proxy().note_running();
             it.time.jump(std::chrono::seconds(3));
             it.send("GET /again/x");
             it.run_until([&] { return it.proxy().request_count() == 1; });
         },
         [](fixture& it) { it.proxy().on_configuration_confirmed(it.time.now()); }},
        {"held after a pause, not confirmed",
         [](fixture& it) {
             it.proxy().note_running();
             it.time.jump(std::chrono::seconds(3));
             it.send("GET /again/x");
             it.run_until([&] { return it.proxy().request_count() == 1; });
         }},
        {"queued",
         [](fixture& it) {
             it.send("GET /again/x");
             it.run_until([&] { return it.proxy().queued_count() == 1; });
         }},
        {"asking for a load that is granted", [](fixture& it) { ask_for_load(it, [] {}); },
         [](fixture& it) { it.hold_adapter(routing::adapter_state::loaded, {}); }},
        {"asking for a load that is refused", [](fixture& it) { ask_for_load(it, [] {}); },
         [](fixture& it) {
             it.proxy().on_load_refused(it.asked, {"m", "a"}, milliseconds(10));
         }},
        {"asking for a load without a reply", [](fixture& it) { ask_for_load(it, [] {}); }},
        {"waiting for a load",
         [](fixture& it) {
             ask_for_load(
                 it, [&it] { it.hold_adapter(routing::adapter_state::loading, milliseconds(60)); });
         },
         [](fixture& it) { it.hold_adapter(routing::adapter_state::loaded, {}); }},
        {"waiting for a load that is late",
         [](fixture& it) {
             ask_for_load(
                 it, [&it] { it.hold_adapter(routing::adapter_state::loading, milliseconds(60)); });
         }},
        {"waiting for a retry that is granted", wait_for_budget, grant_budget},
        {"waiting for a retry until the deadline", wait_for_budget},
        {"waiting for evidence", wait_for_evidence},
        {"connecting",
         [](fixture& it) {
             it.send("GET /again/x");
             it.run_until([&] { return it.proxy().pool().connections_made() == 1; });
         }},
        {"sent",
         [](fixture& it) {
             hold_after(it, "");
             it.send("POST /once/x", "", body);
             it.run_until([&] { return it.held != nullptr; });
         },
         [](fixture& it) { it.held->send(response("200 OK", "r1", "done")); }},
        {"sent, never answered",
         [](fixture& it) {
             hold_after(it, "");
             it.send("POST /once/x", "", body);
             it.run_until([&] { return it.held != nullptr; });
         }},
        {"sent, broken off",
         [](fixture& it) {
             hold_after(it, "");
             it.send("POST /once/x", "", body);
             it.run_until([&] { return it.held != nullptr; });
         },
         [](fixture& it) { it.held->reset(); }},
        {"relaying",
         [](fixture& it) {
             const std::string all = response("200 OK", "r1", "done");
             hold_after(it, all.substr(0, all.size() - 2));
             it.send("POST /once/x", "", body);
             it.run_until([&] { return ends_with(it.caller->received, "do"); });
         },
         [](fixture& it) { it.held->send("ne"); }},
        {"relaying what breaks off",
         [](fixture& it) {
             const std::string all = response("200 OK", "r1", "done");
             hold_after(it, all.substr(0, all.size() - 2));
             it.send("POST /once/x", "", body);
             it.run_until([&] { return ends_with(it.caller->received, "do"); });
         },
         [](fixture& it) { it.held->reset(); }, true},
        {"relaying a stream that is resumed",
         [](fixture& it) {
             hold_after(it,
                        "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n9\r\nid: 1\ndo\n\r\n1\r\n\n\r\n");
             it.send("GET /events/x");
             it.run_until([&] { return it.caller->received.find("id: 1") != std::string::npos; });
             it.on_request = fixture::answer;
         },
         [](fixture& it) { it.held->reset(); }, true},
        {"a head arriving", send_head_part,
         [](fixture& it) {
             it.caller->send(fixture::whole("POST /again/x", "", body).substr(40));
         }},
        {"a body arriving", [](fixture& it) { send_body_part(it); }, send_rest_of_body},
        {"a body arriving slowly", [](fixture& it) { send_body_part(it); },
         [send_rest_of_body](fixture& it) {
             it.caller->send(body.substr(100, 100));
             it.run_for(milliseconds(20));
             it.caller->send(body.substr(200, 100));
             it.run_for(milliseconds(100));
             it.caller->send(body.substr(300));
         }},
        {"a body that was asked for",
         [](fixture& it) { send_body_part(it, "Expect: 100-continue\r\n"); }, send_rest_of_body},
    };
    return out;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_changes_tests)

// Guards against a phase of a request that a change of the configuration ends without a response.
BOOST_AUTO_TEST_CASE(a_change_in_any_phase_leaves_one_response) {
    for (const phase_case& phase : all_phases()) {
        for (const change& each : all_changes()) {
            fixture it;
            phase.enter(it);
            it.apply_change(each);
            it.run_for(milliseconds(5));
            phase.leave(it);
            it.check(phase.name + ", " + each.name, phase.may_be_cut);
        }
    }
}

// Guards against the same where one change follows the other before any event is handled.
BOOST_AUTO_TEST_CASE(changes_in_a_row_leave_one_response) {
    for (const phase_case& phase : all_phases()) {
        fixture it;
        phase.enter(it);
        for (int i = 0; i < 3; ++i) {
            for (const change& each : all_changes()) {
                it.apply_change(each);
            }
        }
        phase.leave(it);
        it.check(phase.name, phase.may_be_cut);
    }
}

// Guards against the same at a moment that no phase's name tells: the change comes before the nth
// event after the request began to arrive.
BOOST_AUTO_TEST_CASE(a_change_before_any_event_leaves_one_response) {
    constexpr int max_events = 24;
    const std::vector<std::string> requests = {
        fixture::whole("GET /again/x"),
        fixture::whole("POST /once/x", "", std::string(9'000, 'b')),
        fixture::whole("GET /events/x"),
    };
    for (const std::string& whole : requests) {
        for (const change& each : all_changes()) {
            for (int n = 0; n < max_events; ++n) {
                fixture it;
                it.caller = it.connect();
                it.began = it.time.now();
                it.caller->send(whole);
                for (int i = 0; i < n; ++i) {
                    it.loop.restart();
                    it.loop.run_one_for(milliseconds(1));
                }
                it.apply_change(each);
                it.check(whole.substr(0, 12) + ", " + each.name + ", " + std::to_string(n), false);
            }
        }
    }
}

// Guards against the same where changes come and go between all events.
BOOST_AUTO_TEST_CASE(changes_between_all_events_leave_one_response) {
    for (const phase_case& phase : all_phases()) {
        for (const change& each : all_changes()) {
            fixture it;
            phase.enter(it);
            const auto run_with_changes = [&] {
                for (int i = 0; i < 20; ++i) {
                    it.apply_change(i % 2 == 0 ? each : all_changes().back());
                    it.loop.restart();
                    it.loop.run_one_for(milliseconds(1));
                }
            };
            run_with_changes();
            phase.leave(it);
            run_with_changes();
            it.check(phase.name + ", " + each.name, phase.may_be_cut);
        }
    }
}

// Guards against requests that are held for a confirmation past their deadlines, by which time
// their callers are gone.
BOOST_FIXTURE_TEST_CASE(a_request_held_past_its_deadline_is_refused_then, fixture) {
    gateway_settings settings;
    settings.confirmation_wait = request_time * 4;
    proxy().reconfigure(settings);
    proxy().note_running();
    time.jump(std::chrono::seconds(3));
    send("GET /again/x");
    run_until([&] { return proxy().request_count() == 1; });
    apply_change(all_changes().front());
    check("held", false);
    BOOST_TEST(caller->received.find(" 503 ") != std::string::npos);
    BOOST_TEST(caller->received.find("X-Id: r1") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
