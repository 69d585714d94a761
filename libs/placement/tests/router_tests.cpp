#include <boost/test/unit_test.hpp>

#include "placement/router.h"

using namespace radishpulley;
using namespace radishpulley::placement;
using namespace std::chrono_literals;

namespace {

const time_point start_time(1h);
const vm_incarnation self{vm_id("d"), 1};
const vm_incarnation holder{vm_id("h"), 1};
const adapter_ref red{adapter_id("red"), version_id("1")};

template <typename T>
std::vector<T> decisions_of(const router_decisions& list) {
    std::vector<T> result;
    for (const router_decision& it : list) {
        if (const auto* found = std::get_if<T>(&it)) {
            result.push_back(*found);
        }
    }
    return result;
}

template <typename T>
std::vector<T> messages_of(const router_decisions& list) {
    std::vector<T> result;
    for (const send_to_holder& it : decisions_of<send_to_holder>(list)) {
        if (const auto* body = std::get_if<T>(&it.body)) {
            result.push_back(*body);
        }
    }
    return result;
}

/// A router with `n` engines, two in each region, all with the same holder.
struct router_fixture {
    explicit router_fixture(int n = 1, router_settings settings = {})
        : routes(self, zone_id("z0"), region_id("r0"), settings) {
        for (int i = 0; i < n; ++i) {
            const std::string region = std::to_string(i / 2);
            infos.push_back({endpoint_id("e" + std::to_string(i)), zone_id("z" + region),
                             region_id("r" + region), 4, false});
        }
        routes.configure(infos, now);
        for (const engine_info& it : infos) {
            routes.on_holder(it.endpoint, holder, 1, now);
        }
    }

    router_decisions request(const std::string& id, const std::string& account = "c",
                             const adapter_ref& adapter = red) {
        placement_request it;
        it.id = request_id(id);
        it.account = client_account_id(account);
        it.adapter = adapter;
        it.deadline = now + 60s;
        return routes.on_request(it, now);
    }

    router_decisions grant(const pin_request& pin_requested, std::uint32_t window = 10,
                           fencing_number fence = 1) {
        pin_grant it{pin_requested.endpoint,
                     pin_requested.adapter,
                     self,
                     pin_requested.number,
                     fence,
                     10s,
                     window,
                     {}};
        return routes.on_message(it, now);
    }

    std::vector<engine_info> infos;
    router routes;
    time_point now = start_time;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(router_suite)

BOOST_AUTO_TEST_CASE(requests_wait_for_the_grant_and_are_then_sent) {
    router_fixture it;
    const auto first = it.request("1");
    BOOST_TEST(decisions_of<send_request>(first).empty());
    it.request("2");
    const auto out = decisions_of<send_request>(it.grant(messages_of<pin_request>(first).front()));
    BOOST_REQUIRE(out.size() == 2U);
    BOOST_TEST((out.front().adapter == red));
    BOOST_TEST((out.front().send_by == start_time + 9s));
    BOOST_TEST(decisions_of<send_request>(it.request("3")).size() == 1U);
}

BOOST_AUTO_TEST_CASE(validity_counts_from_the_sending_of_the_pin_request) {
    router_fixture it;
    const auto pin_requested = messages_of<pin_request>(it.request("1")).front();
    it.now += 9s;
    BOOST_TEST(decisions_of<send_request>(it.grant(pin_requested)).empty());
    const auto again = messages_of<pin_request>(it.routes.tick(it.now)).front();
    BOOST_TEST(decisions_of<send_request>(it.grant(again)).size() == 1U);
    it.now += 9s;
    BOOST_TEST(decisions_of<send_request>(it.request("2")).empty());
}

BOOST_AUTO_TEST_CASE(duplicate_grants_and_grants_of_an_old_holder_are_ignored) {
    router_fixture it;
    const auto pin_requested = messages_of<pin_request>(it.request("1")).front();
    it.grant(pin_requested);
    it.routes.on_request_ended(request_id("1"), it.now);
    const auto out = it.routes.on_holder(endpoint_id("e0"), {vm_id("h2"), 1}, 3, it.now);
    BOOST_TEST(out.empty());
    it.now += 9s;
    const auto next = messages_of<pin_request>(it.request("2")).front();
    BOOST_TEST(decisions_of<send_request>(it.grant(pin_requested, 10, 3)).empty());
    BOOST_TEST(decisions_of<send_request>(it.grant(next, 10, 1)).empty());
    BOOST_TEST(decisions_of<send_request>(it.grant(next, 10, 3)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(pins_in_use_are_requested_from_a_new_holder) {
    router_fixture it;
    it.grant(messages_of<pin_request>(it.request("1")).front());
    const auto out = it.routes.on_holder(endpoint_id("e0"), {vm_id("h2"), 1}, 3, it.now);
    BOOST_REQUIRE(messages_of<pin_request>(out).size() == 1U);
    BOOST_TEST(messages_of<pin_request>(out).front().running == 1U);
}

BOOST_AUTO_TEST_CASE(new_version_needs_its_own_pin) {
    router_fixture it;
    it.grant(messages_of<pin_request>(it.request("1")).front());
    const adapter_ref next{red.adapter, version_id("2")};
    const auto out = it.request("2", "c", next);
    BOOST_TEST(decisions_of<send_request>(out).empty());
    BOOST_TEST(messages_of<pin_request>(out).size() == 1U);
}

BOOST_AUTO_TEST_CASE(window_limits_requests_and_accounts_alternate) {
    router_fixture it;
    const auto pin_requested = messages_of<pin_request>(it.request("big-0", "big")).front();
    for (int i = 1; i < 20; ++i) {
        it.request("big-" + std::to_string(i), "big");
    }
    it.request("small-0", "small");
    it.request("small-1", "small");
    const auto out = decisions_of<send_request>(it.grant(pin_requested, 4));
    BOOST_REQUIRE(out.size() == 4U);
    int small = 0;
    for (const send_request& sent : out) {
        small += sent.request.str().front() == 's' ? 1 : 0;
    }
    BOOST_TEST(small == 2);
    BOOST_TEST(
        decisions_of<send_request>(it.routes.on_request_ended(out[0].request, it.now)).size() ==
        1U);
}

BOOST_AUTO_TEST_CASE(pin_is_renewed_for_new_requests_and_released_after_the_last_one) {
    router_fixture it;
    it.grant(messages_of<pin_request>(it.request("1")).front());
    it.request("2");
    it.now += 6s;
    const auto renewal = messages_of<pin_request>(it.routes.tick(it.now));
    BOOST_REQUIRE(renewal.size() == 1U);
    BOOST_TEST(renewal.front().running == 2U);
    it.grant(renewal.front());
    it.now += 6s;
    BOOST_TEST(messages_of<pin_request>(it.routes.tick(it.now)).empty());
    it.now += 10s;
    BOOST_TEST(messages_of<pin_release>(it.routes.tick(it.now)).empty());
    it.routes.on_request_ended(request_id("1"), it.now);
    BOOST_TEST(messages_of<pin_release>(it.routes.tick(it.now)).empty());
    const auto out = it.routes.on_request_ended(request_id("2"), it.now);
    BOOST_TEST(messages_of<pin_release>(out).size() == 1U);
}

BOOST_AUTO_TEST_CASE(drained_pin_gets_no_new_requests_and_is_released_after_the_running_ones) {
    router_fixture it;
    it.grant(messages_of<pin_request>(it.request("1")).front());
    it.routes.on_message(pin_recall{endpoint_id("e0"), red, self, 1, true}, it.now);
    BOOST_TEST(decisions_of<send_request>(it.request("2")).empty());
    const auto out = it.routes.on_request_ended(request_id("1"), it.now);
    BOOST_REQUIRE(messages_of<pin_release>(out).size() == 1U);
    // The waiting request causes a new pin request with a higher number than the release.
    BOOST_REQUIRE(messages_of<pin_request>(out).size() == 1U);
    BOOST_TEST(messages_of<pin_request>(out).front().number >
               messages_of<pin_release>(out).front().number);
}

BOOST_AUTO_TEST_CASE(requests_go_to_another_engine_after_a_failed_load) {
    router_fixture it(2);
    const auto pin_requested = messages_of<pin_request>(it.request("1")).front();
    pin_refusal body;
    body.endpoint = pin_requested.endpoint;
    body.adapter = red;
    body.daemon = self;
    body.number = pin_requested.number;
    body.fence = 1;
    body.reason = pin_refusal_reason::load_failed;
    const auto out = messages_of<pin_request>(it.routes.on_message(body, it.now));
    BOOST_REQUIRE(out.size() == 1U);
    BOOST_TEST(out.front().endpoint != pin_requested.endpoint);
}

BOOST_AUTO_TEST_CASE(draining_engine_gets_no_new_requests_and_its_waiting_ones_move) {
    router_fixture it(2);
    const auto pin_requested = messages_of<pin_request>(it.request("1")).front();
    for (engine_info& info : it.infos) {
        info.draining = info.endpoint == pin_requested.endpoint;
    }
    const auto out = messages_of<pin_request>(it.routes.configure(it.infos, it.now));
    BOOST_REQUIRE(out.size() == 1U);
    BOOST_TEST(out.front().endpoint != pin_requested.endpoint);
    BOOST_TEST(decisions_of<send_request>(it.grant(pin_requested)).empty());
}

BOOST_AUTO_TEST_CASE(missing_adapter_invalidates_the_pin_at_once) {
    router_fixture it;
    it.grant(messages_of<pin_request>(it.request("1")).front());
    it.routes.on_adapter_missing(endpoint_id("e0"), red, it.now);
    const auto out = it.routes.on_not_sent(request_id("1"), it.now);
    BOOST_TEST(decisions_of<send_request>(out).empty());
    BOOST_TEST(it.routes.waiting() == 1U);
}

BOOST_AUTO_TEST_CASE(a_waiting_request_is_refused_at_its_deadline_and_a_sent_one_is_not) {
    router_fixture it;
    it.request("1");
    it.now += 61s;
    const auto out = decisions_of<refuse_request>(it.routes.tick(it.now));
    BOOST_REQUIRE(out.size() == 1U);
    BOOST_TEST((out.front().retry_after >= 1s));
    BOOST_TEST(it.routes.waiting() == 0U);
    it.grant(messages_of<pin_request>(it.request("2")).front());
    it.now += 61s;
    BOOST_TEST(decisions_of<refuse_request>(it.routes.tick(it.now)).empty());
}

BOOST_AUTO_TEST_CASE(one_account_cannot_fill_the_queue) {
    router_settings settings;
    settings.max_waiting = 10;
    router_fixture it(1, settings);
    it.request("s0", "small");
    std::size_t refused = 0;
    for (int i = 0; i < 20; ++i) {
        refused += decisions_of<refuse_request>(it.request("b" + std::to_string(i), "big")).size();
    }
    BOOST_TEST(refused == 15U);
    BOOST_TEST(decisions_of<refuse_request>(it.request("s1", "small")).empty());
}

BOOST_AUTO_TEST_CASE(candidates_prefer_the_home_region_and_stay_stable) {
    router_fixture it(6);
    const auto near = it.routes.candidates_for(red, region_id("r2"));
    BOOST_TEST((near[0] == endpoint_id("e4") || near[0] == endpoint_id("e5")));
    const auto before = it.routes.candidates_for(red, region_id());
    it.infos.erase(std::find_if(it.infos.begin(), it.infos.end(), [&](const engine_info& info) {
        return info.endpoint == before[1];
    }));
    it.routes.configure(it.infos, it.now);
    BOOST_TEST(it.routes.candidates_for(red, region_id()).front() == before.front());
}

BOOST_AUTO_TEST_CASE(rare_adapter_stays_on_its_busy_engine_and_a_popular_one_is_copied) {
    router_fixture it(2);
    const auto place_on_busy_engine = [&](const adapter_ref& adapter, double rate) {
        const std::string name = adapter.adapter.str();
        const auto pin_requested = messages_of<pin_request>(it.request(name, "c", adapter)).front();
        pin_grant body{pin_requested.endpoint, adapter, self, pin_requested.number, 1, 10s, 4,
                       {4, 4, 4, 0},           rate};
        it.routes.on_message(body, it.now);
        std::set<endpoint_id> used;
        for (int i = 0; i < 20; ++i) {
            it.now += 1s;
            const auto out = it.request(name + std::to_string(i), "c", adapter);
            for (const pin_request& next : messages_of<pin_request>(out)) {
                used.insert(next.endpoint);
            }
        }
        used.erase(pin_requested.endpoint);
        return used.size();
    };
    BOOST_TEST(place_on_busy_engine(red, 5.0) == 1U);
    router_fixture other(2);
    it.routes = std::move(other.routes);
    BOOST_TEST(place_on_busy_engine({adapter_id("rare"), version_id("1")}, 0.001) == 0U);
}

BOOST_AUTO_TEST_CASE(requests_are_refused_if_the_load_takes_too_long) {
    router_fixture it;
    pin_refusal body;
    body.endpoint = endpoint_id("e0");
    body.adapter = red;
    body.daemon = self;
    body.fence = 1;
    body.number = messages_of<pin_request>(it.request("1")).front().number;
    body.expected_wait = 5s;
    BOOST_TEST(decisions_of<refuse_request>(it.routes.on_message(body, it.now)).empty());
    // A request that was accepted continues to wait, even if the estimate grows.
    body.expected_wait = 20s;
    BOOST_TEST(decisions_of<refuse_request>(it.routes.on_message(body, it.now)).empty());
    router_fixture other;
    body.number = messages_of<pin_request>(other.request("2")).front().number;
    const auto out = decisions_of<refuse_request>(other.routes.on_message(body, other.now));
    BOOST_REQUIRE(out.size() == 1U);
    BOOST_TEST((out.front().retry_after == 20s));
}

BOOST_AUTO_TEST_SUITE_END()
