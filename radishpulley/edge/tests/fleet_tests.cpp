#include <boost/test/unit_test.hpp>

#include <boost/asio/ip/udp.hpp>

#include "../src/fleet_relays.h"
#include "edge/account_watcher.h"
#include "edge/fleet_member.h"
#include "edge/load_coordinator.h"
#include "memory_collections.h"
#include "null_codec.h"

namespace radishpulley::edge::testing {
namespace {

using routing::model_ref;

const endpoint_id engine("e1");
const model_ref adapter{"m", "plans"};

// Engines that record every order with its sender and answer with a set outcome.
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

std::string unused_udp_address(boost::asio::io_context& loop) {
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

// A daemon without callers.
struct test_daemon {
    test_daemon(boost::asio::io_context& loop, memory_collections& store, fake_engines& engines,
                const std::string& name)
        : name(name),
          data_path(loop, time, codec, metrics, {}),
          member(loop, time, store, settings(loop, name),
                 [this](const routing::hint_message& it) { on_hint(it); }),
          loads(loop, time, store, engines, member, data_path, true),
          accounts(loop, time, vm_id(name), member, data_path) {
        data_path.set_broker(loads);
        routing::configuration_content content;
        content.version = 1;
        routing::service service;
        service.id = service_id("s");
        service.engine.emplace();
        service.engine->max_adapters = 4;
        service.engine->models = {{"m", 0, 0, std::chrono::milliseconds(10)}};
        content.services = {service};
        content.accounts = {account};
        data_path.on_configuration(std::make_shared<routing::configuration>(content));
        routing::endpoint entry;
        entry.id = engine;
        entry.service = service.id;
        entry.models = {{"m", 1, {}}};
        data_path.on_endpoint(entry);
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
        out.address = unused_udp_address(loop);
        return out;
    }

    std::string name;
    jumping_clock time;
    null_codec codec;
    telemetry::registry metrics;
    gateway::gateway data_path;
    int hints = 0;
    fleet_member member;
    load_coordinator loads;
    account_watcher accounts;
};

struct fixture {
    fixture() : store(loop), engines(loop) {}

    test_daemon& add(const std::string& name) {
        daemons.push_back(std::make_unique<test_daemon>(loop, store, engines, name));
        return *daemons.back();
    }

    // Runs the loop until `done()`, while all daemons broadcast their status.
    void run_until(const std::function<bool()>& done) {
        constexpr int max_steps = 3'000;
        for (int i = 0; i < max_steps && !done(); ++i) {
            loop.restart();
            loop.run_for(std::chrono::milliseconds(3));
            for (const auto& it : daemons) {
                it->member.broadcast(routing::vm_status{});
            }
        }
        BOOST_REQUIRE(done());
    }

    // Adds the daemons a, b and c, which have heard each other.
    void add_three() {
        for (const char* name : {"a", "b", "c"}) {
            add(name);
        }
        run_until([&] {
            return std::all_of(daemons.begin(), daemons.end(),
                               [](const auto& it) { return it->hints > 3; });
        });
    }

    // Lets time pass in which all but one daemon hear each other and do what is periodic.
    void let_pass_without(const std::string& silent, duration step) {
        for (const auto& it : daemons) {
            it->time.jump(step);
            if (it->name != silent) {
                it->member.broadcast(routing::vm_status{});
                it->member.mark_gone_vms();
            }
        }
        loop.restart();
        loop.run_for(std::chrono::milliseconds(3));
    }

    // Whether the daemon can request a load of the adapter.
    bool can_load(test_daemon& daemon, const routing::model_ref& wanted) {
        const auto result = daemon.loads.request_load(engine, wanted, std::chrono::seconds(1));
        return std::holds_alternative<gateway::load_requested>(result);
    }

    test_daemon* holder() {
        for (const auto& it : daemons) {
            if (it->loads.engines_held() == 1) {
                return it.get();
            }
        }
        return nullptr;
    }

    boost::asio::io_context loop;
    memory_collections store;
    fake_engines engines;
    std::vector<std::unique_ptr<test_daemon>> daemons;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_tests)

BOOST_FIXTURE_TEST_CASE(daemons_register_and_exchange_hints, fixture) {
    test_daemon& a = add("a");
    test_daemon& b = add("b");
    run_until([&] { return a.hints > 0 && b.hints > 0; });
    BOOST_TEST(a.member.self()->incarnation == 1U);
    BOOST_TEST(a.member.serving(a.time.now()).size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(status_is_sent_once_per_interval_and_immediately_to_nearby_peers, fixture) {
    test_daemon& a = add("a");
    test_daemon& b = add("b");
    run_until([&] { return a.hints > 0 && b.hints > 0; });
    // Drains the hints of earlier broadcasts from the sockets.
    loop.restart();
    loop.poll();
    const int hints_before = b.hints;
    a.member.send_status(routing::vm_status{});
    a.member.send_status(routing::vm_status{});
    a.member.send_status_nearby(routing::vm_status{});
    a.member.send(vm_id("b"), routing::load_refusal{engine, adapter});
    loop.restart();
    loop.poll();
    BOOST_TEST(b.hints == hints_before + 3);
}

BOOST_FIXTURE_TEST_CASE(a_restarted_daemon_registers_a_higher_incarnation, fixture) {
    add("a");
    run_until([&] { return daemons[0]->member.self().has_value(); });
    daemons.clear();
    add("a");
    run_until([&] { return daemons[0]->member.self().has_value(); });
    BOOST_TEST(daemons[0]->member.self()->incarnation == 2U);
}

// Guards against entries, holders and the secret of hints that stay lost after the store came back
// from a copy without them.
BOOST_FIXTURE_TEST_CASE(what_a_restored_store_lacks_is_written_again, fixture) {
    add("a");
    store.back_up();
    add("b");
    run_until(
        [&] { return holder() != nullptr && daemons[0]->hints > 0 && daemons[1]->hints > 0; });
    const test_daemon* holder_before = holder();
    const auto a_before = *daemons[0]->member.self();
    const std::string secret = store.contents("fleet-secrets", "hints");
    store.restore();
    run_until([&] {
        return !store.contents("entry-vms", "a").empty() &&
               !store.contents("entry-vms", "b").empty() &&
               !store.contents("fleet-secrets", "hints").empty();
    });
    BOOST_TEST(store.contents("fleet-secrets", "hints") == secret);
    BOOST_TEST((*daemons[0]->member.self() == a_before));
    const int hints_before = daemons[0]->hints;
    run_until([&] { return daemons[0]->hints > hints_before; });
    run_until([&] { return can_load(*holder(), {"m", "other"}) && !engines.orders.empty(); });
    BOOST_TEST(holder() == holder_before);
}

// Guards against an engine's fencing number that is given out twice, because the store came back
// from a copy in which the holder that got it first is missing.
BOOST_FIXTURE_TEST_CASE(fencing_numbers_grow_over_a_restore_of_the_store, fixture) {
    store.back_up();
    add("a");
    run_until([&] {
        return holder() != nullptr && can_load(*daemons[0], adapter) && !engines.holders.empty();
    });
    const auto fence_before = engines.holders.back().fencing_number;
    daemons.clear();
    store.restore();
    add("b");
    const std::size_t orders_before = engines.holders.size();
    run_until([&] {
        return holder() != nullptr && can_load(*daemons[0], adapter) &&
               engines.holders.size() > orders_before;
    });
    BOOST_TEST(engines.holders.back().holder == "b");
    BOOST_TEST(engines.holders.back().fencing_number > fence_before);
}

// Guards against an incarnation that two starts of a VM share, because the store lost the first.
BOOST_FIXTURE_TEST_CASE(incarnations_grow_over_a_restore_of_the_store, fixture) {
    store.back_up();
    add("a");
    run_until([&] { return daemons[0]->member.self().has_value(); });
    const auto before = daemons[0]->member.self()->incarnation;
    daemons.clear();
    store.restore();
    add("a");
    run_until([&] { return daemons[0]->member.self().has_value(); });
    BOOST_TEST(daemons[0]->member.self()->incarnation > before);
}

BOOST_FIXTURE_TEST_CASE(the_holder_loads_adapters_for_the_other_daemon, fixture) {
    add("a");
    add("b");
    run_until(
        [&] { return holder() != nullptr && daemons[0]->hints > 0 && daemons[1]->hints > 0; });
    test_daemon& other = holder() == daemons[0].get() ? *daemons[1] : *daemons[0];
    run_until([&] { return can_load(other, adapter); });
    run_until([&] {
        return other.data_path.adapters().view(engine, adapter, other.time.now()).state ==
               routing::adapter_state::loaded;
    });
    BOOST_REQUIRE(!engines.orders.empty());
    BOOST_TEST(engines.orders.back().target.adapter == "plans");
    BOOST_TEST(engines.holders.back().holder == holder()->member.self()->vm.str());
    BOOST_TEST(engines.holders.back().fencing_number >= 1U);
}

// Guards against a VM that just joined and whose load requests are not answered, because the holder
// has not read the new list of VMs yet.
BOOST_FIXTURE_TEST_CASE(a_holder_answers_a_vm_that_its_list_lacks, fixture) {
    test_daemon& a = add("a");
    run_until([&] { return a.loads.engines_held() == 1; });
    store.withholds_changes = true;
    test_daemon& b = add("b");
    run_until([&] { return b.member.self().has_value() && can_load(b, adapter); });
    run_until([&] {
        return b.data_path.adapters().view(engine, adapter, b.time.now()).state ==
               routing::adapter_state::loaded;
    });
    BOOST_TEST(a.member.serving(a.time.now()).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_superseded_holder_sends_no_more_orders, fixture) {
    test_daemon& a = add("a");
    run_until([&] { return a.loads.engines_held() == 1; });
    engines.outcome = routing::order_outcome::superseded;
    BOOST_TEST(can_load(a, adapter));
    run_until([&] { return !engines.orders.empty() && a.loads.engines_held() == 0; });
    const std::size_t order_count = engines.orders.size();
    BOOST_TEST(!can_load(a, adapter));
    for (int i = 0; i < 100; ++i) {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(3));
    }
    BOOST_TEST(engines.orders.size() == order_count);
}

BOOST_FIXTURE_TEST_CASE(a_leaving_daemon_hands_over_its_engine, fixture) {
    add("a");
    add("b");
    run_until(
        [&] { return holder() != nullptr && daemons[0]->hints > 0 && daemons[1]->hints > 0; });
    test_daemon* first_holder = holder();
    first_holder->loads.leave();
    BOOST_TEST(first_holder->loads.engines_held() == 0U);
    run_until([&] { return holder() != nullptr && holder() != first_holder; });
}

// Guards against engines that load nothing while only their holder is cut off from them.
BOOST_FIXTURE_TEST_CASE(a_daemon_that_is_cut_off_from_engines_hands_them_over, fixture) {
    add_three();
    run_until([&] { return holder() != nullptr; });
    test_daemon* first_holder = holder();
    for (const auto& it : daemons) {
        it->loads.set_cut_off_vms({{service_id("s"), {vm_id(first_holder->name)}}});
    }
    run_until([&] { return holder() != nullptr && holder() != first_holder; });
    test_daemon* next_holder = holder();
    run_until([&] { return can_load(*first_holder, adapter); });
    run_until([&] { return !engines.orders.empty(); });
    for (const auto& it : daemons) {
        it->loads.set_cut_off_vms({});
    }
    run_until([&] { return holder() != nullptr; });
    BOOST_TEST(holder() == next_holder);
}

BOOST_FIXTURE_TEST_CASE(holders_send_orders_while_the_store_is_unavailable, fixture) {
    test_daemon& a = add("a");
    run_until([&] { return a.loads.engines_held() == 1; });
    store.is_unavailable = true;
    run_until([&] { return can_load(a, adapter); });
    run_until([&] { return !engines.orders.empty(); });
    BOOST_TEST(a.loads.engines_held() == 1U);
}

// Guards against orders to an engine that requested a pause from this VM.
BOOST_FIXTURE_TEST_CASE(a_holder_sends_no_orders_during_a_pause_requested_by_the_engine, fixture) {
    test_daemon& a = add("a");
    run_until([&] { return a.loads.engines_held() == 1; });
    // The first order is sent only after the engine's first report was read.
    run_until([&] { return can_load(a, adapter); });
    run_until([&] { return !engines.orders.empty(); });
    routing::endpoint_notice busy;
    busy.pause = std::chrono::seconds(1);
    a.data_path.on_notice({engine, 0}, busy);
    const std::size_t order_count = engines.orders.size();
    BOOST_TEST(!can_load(a, {"m", "other"}));
    BOOST_TEST(engines.orders.size() == order_count);
    a.time.jump(std::chrono::milliseconds(1'000));
    run_until([&] { return can_load(a, {"m", "other"}); });
    run_until([&] { return engines.orders.size() > order_count; });
}

// Guards against an engine without an active holder: a holder that was paused for less time than
// its replacement takes sent no orders until another VM changed its shard.
BOOST_FIXTURE_TEST_CASE(a_paused_holder_rereads_the_holders_and_resumes, fixture) {
    test_daemon& a = add("a");
    run_until([&] { return a.loads.engines_held() == 1; });
    a.time.jump(std::chrono::seconds(2));
    run_until([&] { return a.loads.engines_held() == 0; });
    run_until([&] { return a.loads.engines_held() == 1; });
}

// Guards against a holder that sends ten reads a second to an unavailable store after a pause.
BOOST_FIXTURE_TEST_CASE(a_paused_holder_limits_its_reads_of_an_unavailable_store, fixture) {
    test_daemon& a = add("a");
    run_until([&] { return a.loads.engines_held() == 1; });
    store.is_unavailable = true;
    store.list_calls = 0;
    a.time.jump(std::chrono::seconds(2));
    for (int i = 0; i < 40; ++i) {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(10));
    }
    BOOST_TEST(store.list_calls == 1U);
}

// Guards against orders that a paused holder sends on the basis of a response whose read started
// before the pause.
BOOST_FIXTURE_TEST_CASE(a_response_read_before_a_pause_does_not_permit_orders, fixture) {
    test_daemon& a = add("a");
    run_until([&] { return a.loads.engines_held() == 1; });
    store.drop_list_calls = true;
    a.time.jump(std::chrono::seconds(2));
    store.rewrite_all("engine-holders");
    run_until([&] { return a.loads.engines_held() == 0; });
    for (int i = 0; i < 40; ++i) {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(1));
        BOOST_TEST(a.loads.engines_held() == 0U);
    }
    store.drop_list_calls = false;
}

BOOST_FIXTURE_TEST_CASE(an_unregistered_daemon_holds_no_engines, fixture) {
    store.is_unavailable = true;
    test_daemon& a = add("a");
    for (int i = 0; i < 100; ++i) {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(3));
    }
    BOOST_TEST(!a.member.self().has_value());
    BOOST_TEST(!can_load(a, adapter));
    store.is_unavailable = false;
    run_until([&] { return a.loads.engines_held() == 1; });
}

// Guards against both sides of a cut that mark each other as gone, and against a VM that goes on
// using its part of a limit after the others have taken it.
BOOST_FIXTURE_TEST_CASE(only_vms_that_hear_most_others_mark_those_that_are_gone, fixture) {
    add_three();
    test_daemon& a = *daemons[0];
    test_daemon& b = *daemons[1];
    test_daemon& c = *daemons[2];
    // What was sent before must not arrive later.
    loop.restart();
    loop.run_for(std::chrono::milliseconds(10));
    constexpr duration fresh = std::chrono::seconds(1);
    constexpr duration stale = std::chrono::seconds(10);
    BOOST_TEST(!a.member.may_be_marked_gone(stale));
    const std::string before = store.contents("entry-vms", "b");
    // a hears neither b nor c, which hear each other.
    a.time.jump(std::chrono::seconds(20));
    a.member.mark_gone_vms();
    loop.restart();
    loop.run_for(std::chrono::milliseconds(30));
    BOOST_TEST(store.contents("entry-vms", "b") == before);
    BOOST_TEST(a.member.may_be_marked_gone(stale));
    BOOST_TEST(!a.member.may_be_marked_gone(fresh));
    BOOST_TEST(!b.member.may_be_marked_gone(stale));
    BOOST_TEST(!c.member.may_be_marked_gone(stale));
}

// Guards against a VM that is only cut off from the others and whose part of a limit they take: it
// stays a member, as it takes the mark of a VM that is gone back.
BOOST_FIXTURE_TEST_CASE(a_vm_that_is_only_cut_off_stays_a_member, fixture) {
    add_three();
    // b hears nobody and is not heard, but reaches the store.
    for (int i = 0; i < 1'200; ++i) {
        let_pass_without("b", std::chrono::milliseconds(20));
        BOOST_TEST(daemons[0]->member.members(daemons[0]->time.now()).size() == 3U);
    }
    BOOST_TEST(store.has_held("entry-vms", "b", "\"gone\":true"));
}

// Guards against a VM that is gone for good and whose part of each limit nobody can use.
BOOST_FIXTURE_TEST_CASE(a_vm_that_is_gone_is_no_member_after_a_while, fixture) {
    add_three();
    test_daemon& a = *daemons[0];
    const auto members = [&] { return a.member.members(a.time.now()).size(); };
    daemons.erase(daemons.begin() + 1);
    for (int i = 0; i < 90; ++i) {
        BOOST_TEST(members() == 3U);
        let_pass_without("b", std::chrono::milliseconds(200));
    }
    for (int i = 0; i < 30; ++i) {
        let_pass_without("b", std::chrono::milliseconds(200));
    }
    BOOST_TEST(members() == 2U);
    test_daemon& again = add("b");
    run_until([&] { return again.hints > 0 && members() == 3U; });
    BOOST_TEST(again.member.self()->incarnation == 2U);
}

// Guards against a long cut after which no VM sends to the others any more.
BOOST_FIXTURE_TEST_CASE(vms_hear_each_other_again_after_a_long_cut, fixture) {
    test_daemon& a = add("a");
    test_daemon& b = add("b");
    run_until([&] { return a.hints > 0 && b.hints > 0; });
    a.time.jump(std::chrono::minutes(5));
    b.time.jump(std::chrono::minutes(5));
    const int a_before = a.hints;
    const int b_before = b.hints;
    run_until([&] { return a.hints > a_before + 1 && b.hints > b_before + 1; });
}

// Guards against requests that are passed on to a VM that leaves, is silent, is cut off itself or
// was tried.
BOOST_FIXTURE_TEST_CASE(requests_are_passed_on_to_vms_that_can_serve, fixture) {
    add_three();
    test_daemon& a = *daemons[0];
    fleet_relays relays(a.time, {vm_id("a"), {}, {}, {}}, a.member);
    std::set<vm_id> excluded;
    const auto choice = [&] {
        const auto it = relays.choose(service_id("s"), {}, request_id("r"), excluded);
        return it ? it->vm.str() : "";
    };
    BOOST_TEST(relays.secret() == daemons[1]->member.secret());
    BOOST_TEST(!relays.secret().empty());

    excluded = {vm_id("b")};
    BOOST_TEST(choice() == "c");
    excluded.clear();
    relays.set_is_cut_off([](const vm_id& vm, const service_id&) { return vm.str() == "c"; });
    BOOST_TEST(choice() == "b");

    routing::vm_status last;
    last.leaving = true;
    daemons[1]->member.broadcast(last);
    loop.restart();
    loop.run_for(std::chrono::milliseconds(3));
    BOOST_TEST(choice().empty());

    relays.set_is_cut_off([](const vm_id&, const service_id&) { return false; });
    BOOST_TEST(choice() == "c");
    a.time.jump(std::chrono::seconds(30));
    BOOST_TEST(choice().empty());
}

// Guards against outdated shares of an account on the other VMs after its demand rises at one VM.
BOOST_FIXTURE_TEST_CASE(the_watcher_announces_a_saturated_account_to_all_vms, fixture) {
    add("a");
    add("b");
    run_until([&] { return daemons[0]->hints > 0 && daemons[1]->hints > 0; });
    for (const auto& it : daemons) {
        const std::vector<vm_id> serving = {vm_id("a"), vm_id("b")};
        it->data_path.set_members(it->member.self()->vm, serving);
        it->accounts.set_serving(serving);
    }
    routing::account_limiter& idle_limiter = daemons[1]->data_path.limiter();
    BOOST_TEST(idle_limiter.share(account.id, daemons[1]->time.now()) == 0.5,
               boost::test_tools::tolerance(0.01));
    daemons[0]->data_path.limiter().admit(account.id, 50'000, daemons[0]->time.now());
    run_until([&] { return idle_limiter.share(account.id, daemons[1]->time.now()) < 0.1; });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::edge::testing
