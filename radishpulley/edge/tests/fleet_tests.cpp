#include <boost/test/unit_test.hpp>

#include <boost/asio/ip/udp.hpp>

#include "edge/account_watcher.h"
#include "edge/fleet_member.h"
#include "edge/load_coordinator.h"
#include "memory_collections.h"

namespace radishpulley::edge::testing {
namespace {

using routing::model_ref;

const endpoint_id engine("e1");
const model_ref plans{"m", "plans"};

// No caller sends anything in these tests.
class no_headers final : public gateway::header_codec {
public:
    routing::request_attributes read_request(const gateway::header_list&) const override { return {}; }
    bool is_forwarded(std::string_view) const override { return true; }
    void append_call_attributes(const gateway::call_attributes&, std::string&) const override {}
    gateway::response_attributes read_response(unsigned, const gateway::header_list&) const override {
        return {};
    }
    std::string_view id_header() const override { return "X-Id"; }
};

// Engines that accept every order, and remember who gave it.
class fake_engines final : public gateway::engine_port {
public:
    explicit fake_engines(boost::asio::io_context& loop) : loop_(loop) {}

    void send_order(const routing::endpoint&, const routing::engine_order& order,
              const gateway::order_authority& by,
              std::function<void(routing::order_outcome)> done) override {
        holders.push_back(by);
        orders.push_back(order);
        boost::asio::post(loop_, [this, done = std::move(done)] { done(outcome); });
    }
    void fetch_report(const routing::endpoint&,
             std::function<void(std::optional<routing::engine_report>)> done) override {
        boost::asio::post(loop_, [done = std::move(done)] {
            routing::engine_report out;
            out.models = {{"m", 1, {}}};
            done(out);
        });
    }

    std::vector<routing::engine_order> orders;
    std::vector<gateway::order_authority> holders;
    routing::order_outcome outcome = routing::order_outcome::accepted;

private:
    boost::asio::io_context& loop_;
};

std::string free_udp_address(boost::asio::io_context& loop) {
    boost::asio::ip::udp::socket probe(loop, {boost::asio::ip::address_v4::loopback(), 0});
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

routing::client_account make_account() {
    routing::client_account out;
    out.id = client_account_id("acme");
    out.rate = 1'000;
    out.burst = 1'000;
    return out;
}

const routing::client_account account = make_account();

// One daemon without callers.
struct node {
    node(boost::asio::io_context& loop, memory_collections& store, fake_engines& engines,
         const std::string& name)
        : paths(loop, time, codec, metrics, {}),
          member(loop, time, store, settings(loop, name),
                 [this](const routing::hint_message& it) { on_hint(it); }),
          loads(loop, time, store, engines, member, paths, true),
          accounts(loop, time, vm_id(name), member, paths) {
        paths.set_broker(loads);
        routing::configuration_content content;
        content.version = 1;
        routing::service service;
        service.id = service_id("s");
        service.engine.emplace();
        service.engine->max_adapters = 4;
        service.engine->models = {{"m", 0, 0, std::chrono::milliseconds(10)}};
        content.services = {service};
        content.accounts = {account};
        paths.on_configuration(std::make_shared<routing::configuration>(content));
        routing::endpoint entry;
        entry.id = engine;
        entry.service = service.id;
        entry.models = {{"m", 1, {}}};
        paths.on_endpoint(entry);
        member.start();
        loads.start();
        accounts.start();
    }

    void on_hint(const routing::hint_message& it) {
        ++hints;
        if (const auto* uses = std::get_if<routing::account_usage_report>(&it.body)) {
            accounts.on_hint(it.from, *uses);
        } else if (const auto* saturated = std::get_if<routing::saturated_accounts>(&it.body)) {
            accounts.on_hint(it.from.vm, *saturated);
        } else {
            loads.on_hint(it);
        }
    }

    static member_settings settings(boost::asio::io_context& loop, const std::string& name) {
        member_settings out;
        out.vm = vm_id(name);
        out.address = free_udp_address(loop);
        return out;
    }

    jumping_clock time;
    no_headers codec;
    telemetry::registry metrics;
    gateway::gateway paths;
    int hints = 0;
    fleet_member member;
    load_coordinator loads;
    account_watcher accounts;
};

struct fixture {
    fixture() : store(loop), engines(loop) {}

    node& add(const std::string& name) {
        nodes.push_back(std::make_unique<node>(loop, store, engines, name));
        return *nodes.back();
    }

    // Runs the loop until `done`; daemons that are there tell each other that they live.
    void run_until(const std::function<bool()>& done) {
        constexpr int most_steps = 3'000;
        for (int i = 0; i < most_steps && !done(); ++i) {
            loop.restart();
            loop.run_for(std::chrono::milliseconds(3));
            for (const auto& it : nodes) {
                it->member.broadcast(routing::vm_status{});
            }
        }
        BOOST_REQUIRE(done());
    }

    node* holder() {
        for (const auto& it : nodes) {
            if (it->loads.engines_held() == 1) {
                return it.get();
            }
        }
        return nullptr;
    }

    boost::asio::io_context loop;
    memory_collections store;
    fake_engines engines;
    std::vector<std::unique_ptr<node>> nodes;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_tests)

BOOST_FIXTURE_TEST_CASE(daemons_register_and_hear_each_other, fixture) {
    node& a = add("a");
    node& b = add("b");
    run_until([&] { return a.hints > 0 && b.hints > 0; });
    BOOST_TEST(a.member.self()->incarnation == 1U);
    BOOST_TEST(a.member.serving(a.time.now()).size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_peer_is_told_once_an_interval_and_at_once_where_it_is_near, fixture) {
    node& a = add("a");
    node& b = add("b");
    run_until([&] { return a.hints > 0 && b.hints > 0; });
    // What was broadcast is in the socket already.
    loop.restart();
    loop.poll();
    const int before = b.hints;
    a.member.tell(routing::vm_status{});
    a.member.tell(routing::vm_status{});
    a.member.tell_near(routing::vm_status{});
    a.member.send(vm_id("b"), routing::load_refusal{engine, plans});
    loop.restart();
    loop.poll();
    BOOST_TEST(b.hints == before + 3);
}

BOOST_FIXTURE_TEST_CASE(a_daemon_that_starts_again_has_a_higher_incarnation, fixture) {
    add("a");
    run_until([&] { return nodes[0]->member.self().has_value(); });
    nodes.clear();
    add("a");
    run_until([&] { return nodes[0]->member.self().has_value(); });
    BOOST_TEST(nodes[0]->member.self()->incarnation == 2U);
}

BOOST_FIXTURE_TEST_CASE(one_of_them_holds_the_engine_and_loads_for_the_other, fixture) {
    add("a");
    add("b");
    run_until([&] { return holder() != nullptr && nodes[0]->hints > 0 && nodes[1]->hints > 0; });
    node& other = holder() == nodes[0].get() ? *nodes[1] : *nodes[0];
    run_until([&] { return other.loads.request_load(engine, plans, std::chrono::seconds(1)); });
    run_until([&] {
        return other.paths.adapters().view(engine, plans, other.time.now()).state ==
               routing::adapter_state::loaded;
    });
    BOOST_REQUIRE(!engines.orders.empty());
    BOOST_TEST(engines.orders.back().target.adapter == "plans");
    BOOST_TEST(engines.holders.back().holder == holder()->member.self()->vm.str());
    BOOST_TEST(engines.holders.back().fencing_number >= 1U);
}

BOOST_FIXTURE_TEST_CASE(a_holder_whose_number_is_old_gives_no_more_orders, fixture) {
    node& a = add("a");
    run_until([&] { return a.loads.engines_held() == 1; });
    engines.outcome = routing::order_outcome::superseded;
    BOOST_TEST(a.loads.request_load(engine, plans, std::chrono::seconds(1)));
    run_until([&] { return !engines.orders.empty() && a.loads.engines_held() == 0; });
    const std::size_t given = engines.orders.size();
    BOOST_TEST(!a.loads.request_load(engine, plans, std::chrono::seconds(1)));
    for (int i = 0; i < 100; ++i) {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(3));
    }
    BOOST_TEST(engines.orders.size() == given);
}

BOOST_FIXTURE_TEST_CASE(a_leaving_daemon_hands_its_engine_over, fixture) {
    add("a");
    add("b");
    run_until([&] { return holder() != nullptr && nodes[0]->hints > 0 && nodes[1]->hints > 0; });
    node* first = holder();
    first->loads.leave();
    BOOST_TEST(first->loads.engines_held() == 0U);
    run_until([&] { return holder() != nullptr && holder() != first; });
}

BOOST_FIXTURE_TEST_CASE(holders_go_on_while_the_store_is_away, fixture) {
    node& a = add("a");
    run_until([&] { return a.loads.engines_held() == 1; });
    store.away = true;
    run_until([&] { return a.loads.request_load(engine, plans, std::chrono::seconds(1)); });
    run_until([&] { return !engines.orders.empty(); });
    BOOST_TEST(a.loads.engines_held() == 1U);
}

// Guards against orders to an engine that asked this VM for a pause.
BOOST_FIXTURE_TEST_CASE(a_holder_gives_no_orders_in_a_pause_that_its_engine_asked_for, fixture) {
    node& a = add("a");
    run_until([&] { return a.loads.engines_held() == 1; });
    // The engine's first state is read before.
    run_until([&] { return a.loads.request_load(engine, plans, std::chrono::seconds(1)); });
    run_until([&] { return !engines.orders.empty(); });
    routing::endpoint_notice busy;
    busy.pause = std::chrono::seconds(1);
    a.paths.on_notice({engine, 0}, busy);
    const std::size_t given = engines.orders.size();
    BOOST_TEST(!a.loads.request_load(engine, {"m", "other"}, std::chrono::seconds(1)));
    BOOST_TEST(engines.orders.size() == given);
    a.time.jump(std::chrono::milliseconds(1'000));
    run_until([&] { return a.loads.request_load(engine, {"m", "other"}, std::chrono::seconds(1)); });
    run_until([&] { return engines.orders.size() > given; });
}

// Guards against an engine without a holder: one that was paused for less than it takes to be
// replaced gave no orders until somebody else changed its shard.
BOOST_FIXTURE_TEST_CASE(a_holder_that_was_paused_reads_its_entry_and_goes_on, fixture) {
    node& a = add("a");
    run_until([&] { return a.loads.engines_held() == 1; });
    a.time.jump(std::chrono::seconds(2));
    run_until([&] { return a.loads.engines_held() == 0; });
    run_until([&] { return a.loads.engines_held() == 1; });
}

// Guards against a holder that was paused and asks a store that turns it away ten times a second.
BOOST_FIXTURE_TEST_CASE(a_paused_holder_asks_a_store_that_is_away_now_and_then, fixture) {
    node& a = add("a");
    run_until([&] { return a.loads.engines_held() == 1; });
    store.away = true;
    store.lists = 0;
    a.time.jump(std::chrono::seconds(2));
    for (int i = 0; i < 40; ++i) {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(10));
    }
    BOOST_TEST(store.lists == 1U);
}

// Guards against orders by a holder that was paused and acts on an answer from before the pause.
BOOST_FIXTURE_TEST_CASE(an_answer_from_before_a_pause_does_not_let_a_holder_act, fixture) {
    node& a = add("a");
    run_until([&] { return a.loads.engines_held() == 1; });
    store.hold_lists = true;
    a.time.jump(std::chrono::seconds(2));
    store.touch_all("engine-holders");
    run_until([&] { return a.loads.engines_held() == 0; });
    for (int i = 0; i < 40; ++i) {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(1));
        BOOST_TEST(a.loads.engines_held() == 0U);
    }
    store.hold_lists = false;
}

BOOST_FIXTURE_TEST_CASE(a_daemon_that_can_not_register_holds_nothing, fixture) {
    store.away = true;
    node& a = add("a");
    for (int i = 0; i < 100; ++i) {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(3));
    }
    BOOST_TEST(!a.member.self().has_value());
    BOOST_TEST(!a.loads.request_load(engine, plans, std::chrono::seconds(1)));
    store.away = false;
    run_until([&] { return a.loads.engines_held() == 1; });
}

// Guards against an account that turns hot at one VM while the others go on with old shares.
BOOST_FIXTURE_TEST_CASE(all_vms_hear_of_an_account_at_its_limit_from_its_watcher, fixture) {
    add("a");
    add("b");
    run_until([&] { return nodes[0]->hints > 0 && nodes[1]->hints > 0; });
    for (const auto& it : nodes) {
        const std::vector<vm_id> serving = {vm_id("a"), vm_id("b")};
        it->paths.set_serving(it->member.self()->vm, serving);
        it->accounts.set_serving(serving);
    }
    routing::account_limiter& idle = nodes[1]->paths.limiter();
    BOOST_TEST(idle.share(account.id, nodes[1]->time.now()) == 0.5,
               boost::test_tools::tolerance(0.01));
    nodes[0]->paths.limiter().admit(account.id, 50'000, nodes[0]->time.now());
    run_until([&] { return idle.share(account.id, nodes[1]->time.now()) < 0.1; });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::edge::testing
