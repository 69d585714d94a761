// Seeded histories of one engine under lost, late and doubled messages, paused, dead and replaced
// holders and daemons, and engine restarts. The checker watches the engine, not the keeper.
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <random>

#include "fake_engine.h"
#include "placement/response_check.h"
#include "placement/load_budget.h"
#include "placement/router.h"
#include "placement/slot_controller.h"

using namespace radishpulley;
using namespace radishpulley::placement;
using namespace std::chrono_literals;

namespace {

const endpoint_id engine_id("e1");
constexpr std::size_t adapters = 12;
constexpr std::size_t slots = 4;
constexpr std::size_t daemons = 3;
constexpr duration step = 50ms;
constexpr duration longest_run = 4s;
constexpr duration longest_request = 5s;

adapter_ref adapter_number(std::size_t n) {
    // Every second one is a further version of the adapter before it.
    return {adapter_id("a" + std::to_string(n / 2)), version_id("v" + std::to_string(n % 2))};
}

struct scenario {
    std::uint64_t seed = 1;
    bool checks_fencing = false;
    duration length = 10min;
    /// Planted fault: daemons release pins whose requests still run.
    bool early_release = false;
    /// Planted fault: the engine answers with another version.
    bool wrong_answers = false;
};

struct outcome {
    std::size_t evicted_in_use = 0;
    std::size_t wrong_adapter = 0;
    std::size_t wrong_found = 0;
    std::size_t sent = 0;
    std::size_t missing = 0;
    std::size_t evictions = 0;
    std::size_t terms = 0;
};

class history {
public:
    explicit history(scenario what)
        : what_(what), random_(what.seed), engine_(engine_id, slots, what.checks_fencing) {
        keeper_settings_.slots = slots;
        keeper_settings_.checks_fencing = what.checks_fencing;
        keeper_settings_.longest_request = longest_request;
        keeper_settings_.guaranteed_loads_per_second = 0.2;
        load_budget_settings budget;
        budget.loads_per_second = 3;
        budget_ = std::make_unique<load_budget>(budget, 1, now_);
        for (std::size_t i = 0; i < daemons; ++i) {
            start_daemon(i);
        }
        begin_term({1, holder_name(1), {}, true});
    }

    outcome run() {
        const time_point end = now_ + what_.length;
        while (now_ < end) {
            now_ += step;
            deliver();
            ask();
            if (chance(0.02)) {
                break_something();
            }
            tick();
        }
        return result_;
    }

private:
    struct hosted_daemon {
        vm_incarnation self;
        std::unique_ptr<router> routes;
        time_point paused_until{};
        double rate = 1;
        duration offset{};
    };
    struct hosted_keeper {
        std::unique_ptr<slot_controller> keeper;
        time_point paused_until{};
        bool dead = false;
    };
    struct in_use {
        adapter_ref adapter;
        std::size_t daemon = 0;
        vm_incarnation by;
        bool at_engine = false;
    };

    static vm_incarnation holder_name(fencing_number fence) {
        return {vm_id("h" + std::to_string(fence)), 1};
    }

    bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(random_) < p; }
    duration up_to(duration most) {
        return duration(std::uniform_int_distribution<duration::rep>(0, most.count())(random_));
    }
    void at(time_point when, std::function<void()> what) { events_.emplace(when, std::move(what)); }
    /// The daemon's clock has an offset and runs up to 1 % fast or slow.
    time_point clock_of(const hosted_daemon& it) const {
        const double local = static_cast<double>(now_.time_since_epoch().count()) * it.rate;
        return time_point(duration(static_cast<duration::rep>(local)) + it.offset);
    }

    void start_daemon(std::size_t i) {
        router_settings settings;
        settings.longest_request = longest_request;
        settings.most_waiting = 60;
        hosted_daemon& it = fleet_[i];
        it.self = {vm_id("d" + std::to_string(i)), it.self.incarnation + 1};
        it.routes = std::make_unique<router>(it.self, zone_id("z"), region_id("r"), settings);
        it.rate = 0.99 + 0.01 * static_cast<double>(i);
        it.offset = std::chrono::minutes(i);
        it.routes->configure({{engine_id, zone_id("z"), region_id("r"), 8, false}}, clock_of(it));
        it.routes->on_holder(engine_id, holder_name(fence_), fence_, clock_of(it));
    }

    void begin_term(const controller_term& term) {
        ++result_.terms;
        fence_ = term.fence;
        hosted_keeper& it = keepers_[fence_];
        it.keeper = std::make_unique<slot_controller>(engine_id, keeper_settings_, term, now_);
        for (std::size_t i = 0; i < daemons; ++i) {
            at(now_ + up_to(5s), [this, i, fence = fence_] {
                hosted_daemon& one = fleet_[i];
                carry_out(
                    i, one.routes->on_holder(engine_id, holder_name(fence), fence, clock_of(one)));
            });
        }
    }

    /// Loses, delays and doubles.
    void post(const std::function<void()>& arrival) {
        const int copies = chance(0.1) ? 0 : chance(0.1) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            at(now_ + (chance(0.1) ? up_to(12s) : up_to(100ms)), arrival);
        }
    }

    void post_to_keeper(fencing_number fence, const message& body) {
        post([this, fence, body] { arrive_at_keeper(fence, body); });
    }

    void arrive_at_keeper(fencing_number fence, const message& body) {
        const auto it = keepers_.find(fence);
        if (it == keepers_.end() || it->second.dead) {
            return;
        }
        if (now_ < it->second.paused_until) {
            at(it->second.paused_until, [this, fence, body] { arrive_at_keeper(fence, body); });
            return;
        }
        slot_controller& keeper = *it->second.keeper;
        if (const auto* asked = std::get_if<pin_request>(&body)) {
            carry_out(fence, keeper.on_pin_request(*asked, now_));
        } else if (const auto* released = std::get_if<pin_release>(&body)) {
            carry_out(fence, keeper.on_pin_release(*released, now_));
        } else if (const auto* permit = std::get_if<load_permit>(&body)) {
            carry_out(fence, keeper.on_permit(*permit, now_));
        } else if (const auto* handoff = std::get_if<keeper_handoff>(&body)) {
            carry_out(fence, keeper.on_handoff(*handoff, now_));
        }
    }

    void arrive_at_daemon(const vm_incarnation& who, const message& body) {
        for (std::size_t i = 0; i < daemons; ++i) {
            hosted_daemon& it = fleet_[i];
            if (it.self != who) {
                continue;
            }
            if (now_ < it.paused_until) {
                at(it.paused_until, [this, who, body] { arrive_at_daemon(who, body); });
                return;
            }
            carry_out(i, it.routes->on_message(body, clock_of(it)));
        }
    }

    void carry_out(fencing_number fence, const slot_controller_decisions& list) {
        for (const slot_controller_decision& it : list) {
            if (const auto* sent = std::get_if<send_to_daemon>(&it)) {
                post([this, to = sent->to, body = sent->body] { arrive_at_daemon(to, body); });
            } else if (const auto* store = std::get_if<send_to_weight_store>(&it)) {
                arrive_at_store(store->body);
            } else {
                send_order(fence, std::get<send_engine_order>(it).order);
            }
        }
    }

    void arrive_at_store(const message& body) {
        if (const auto* asked = std::get_if<permit_request>(&body)) {
            budget_->on_request(*asked, now_);
        } else if (const auto* done = std::get_if<permit_done>(&body)) {
            budget_->on_done(*done);
        }
    }

    void send_order(fencing_number fence, const engine_order& order) {
        const bool lost = chance(0.15);
        const duration delay = lost && chance(0.5) ? up_to(9s) : up_to(300ms);
        const bool never = lost && chance(0.3);
        const std::string run = engine_.incarnation();
        if (!never) {
            at(now_ + delay, [this, fence, order, lost, run] {
                // The connection of a late order ends with the engine's process.
                if (run != engine_.incarnation()) {
                    answer(fence, {order, order_outcome::unknown, ""});
                    return;
                }
                const order_outcome how = apply(order);
                if (!lost) {
                    answer(fence, {order, how, run});
                }
            });
        }
        if (lost) {
            at(now_ + 1s, [this, fence, order] {
                answer(fence, {order, order_outcome::unknown, ""});
            });
        }
    }

    order_outcome apply(const engine_order& order) {
        if (order.kind == order_kind::load && chance(0.1)) {
            return order_outcome::failed;
        }
        const bool had = engine_.has(order.adapter);
        const order_outcome how = engine_.apply(order);
        if (order.kind == order_kind::evict && had && how == order_outcome::done) {
            ++result_.evictions;
            for (const auto& [id, use] : uses_) {
                result_.evicted_in_use += use.adapter == order.adapter ? 1 : 0;
            }
        }
        return how;
    }

    void answer(fencing_number fence, const order_result& it) {
        const auto where = keepers_.find(fence);
        if (where == keepers_.end() || where->second.dead) {
            return;
        }
        if (now_ < where->second.paused_until) {
            at(where->second.paused_until, [this, fence, it] { answer(fence, it); });
            return;
        }
        carry_out(fence, where->second.keeper->on_order_result(it, now_));
    }

    void carry_out(std::size_t i, const router_decisions& list) {
        for (const router_decision& it : list) {
            if (const auto* to_holder = std::get_if<send_to_holder>(&it)) {
                const std::string& name = to_holder->to.vm.str();
                post_to_keeper(std::stoull(name.substr(1)), to_holder->body);
            } else if (const auto* sent = std::get_if<send_request>(&it)) {
                send(i, *sent);
            } else {
                asked_.erase(std::get<refuse_request>(it).request);
            }
        }
    }

    void send(std::size_t i, const send_request& it) {
        ++result_.sent;
        result_.wrong_adapter += asked_.at(it.request) == it.adapter ? 0 : 1;
        uses_[it.request] = {it.adapter, i, fleet_[i].self, false};
        at(now_ + up_to(100ms), [this, it] { begin(it); });
        if (what_.early_release) {
            constexpr message_number beyond_all = 1'000'000;
            arrive_at_keeper(fence_,
                             pin_release{fleet_[i].self, engine_id, it.adapter, beyond_all});
        }
    }

    void begin(const send_request& it) {
        const auto use = uses_.find(it.request);
        if (use == uses_.end()) {
            return;
        }
        const std::size_t i = use->second.daemon;
        if (!engine_.has(it.adapter)) {
            ++result_.missing;
            uses_.erase(use);
            carry_out(i, fleet_[i].routes->on_adapter_missing(engine_id, it.adapter,
                                                              clock_of(fleet_[i])));
            carry_out(i, fleet_[i].routes->on_not_sent(it.request, clock_of(fleet_[i])));
            return;
        }
        use->second.at_engine = true;
        engine_.begin(it.adapter);
        at(now_ + up_to(longest_run), [this, it, run = engine_.incarnation()] { end(it, run); });
    }

    void end(const send_request& it, const std::string& run) {
        const auto use = uses_.find(it.request);
        if (use == uses_.end()) {
            return;
        }
        const in_use ended = use->second;
        uses_.erase(use);
        if (run == engine_.incarnation()) {
            engine_.end(it.adapter);
        }
        check_word(it.adapter);
        hosted_daemon& by = fleet_[ended.daemon];
        if (by.self == ended.by) {
            carry_out(ended.daemon, by.routes->on_request_ended(it.request, clock_of(by)));
        }
    }

    void check_word(const adapter_ref& asked) {
        adapter_ref ran = asked;
        if (what_.wrong_answers && chance(0.01)) {
            ran.version = version_id("other");
        }
        const bool found = check_answer(asked, engine_name(ran)) == response_verdict::wrong_adapter;
        result_.wrong_found += found ? 1 : 0;
    }

    void ask() {
        if (!chance(0.15)) {
            return;
        }
        const std::size_t i = random_() % daemons;
        hosted_daemon& it = fleet_[i];
        if (now_ < it.paused_until) {
            return;
        }
        placement_request request;
        request.id = request_id("q" + std::to_string(++last_request_));
        request.account = client_account_id("c" + std::to_string(random_() % 3));
        const std::size_t n = std::min(random_() % adapters, random_() % adapters);
        request.adapter = adapter_number(n);
        request.deadline = clock_of(it) + 20s;
        asked_[request.id] = request.adapter;
        carry_out(i, it.routes->on_request(request, clock_of(it)));
    }

    void deliver() {
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto what = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            what();
        }
    }

    void tick() {
        for (const load_permit& it : budget_->grant(now_)) {
            post_to_keeper(std::stoull(it.holder.vm.str().substr(1)), it);
        }
        for (std::size_t i = 0; i < daemons; ++i) {
            if (now_ >= fleet_[i].paused_until) {
                carry_out(i, fleet_[i].routes->tick(clock_of(fleet_[i])));
            }
        }
        for (auto& [fence, it] : keepers_) {
            if (!it.dead && now_ >= it.paused_until) {
                carry_out(fence, it.keeper->tick(now_));
            }
        }
        if (chance(0.05)) {
            const engine_report it = engine_.report();
            for (const auto& [fence, keeper] : keepers_) {
                const duration lag = up_to(4s);
                at(now_ + lag, [this, fence = fence, it] { report(fence, it); });
                if (chance(0.2)) {
                    at(now_ + lag, [this, fence = fence, it] { report(fence, it); });
                }
            }
        }
    }

    void report(fencing_number fence, const engine_report& it) {
        const auto where = keepers_.find(fence);
        if (where != keepers_.end() && !where->second.dead && now_ >= where->second.paused_until) {
            carry_out(fence, where->second.keeper->on_report(it, now_));
        }
    }

    void break_something() {
        switch (random_() % 40) {
            case 0:
                restart_engine();
                break;
            case 1:
                fleet_[random_() % daemons].paused_until = now_ + up_to(20s);
                break;
            case 2:
                kill_daemon(random_() % daemons);
                break;
            case 3:
                keepers_.at(fence_).paused_until = now_ + up_to(15s);
                break;
            case 4:
                hand_over();
                break;
            case 5:
                kill_holder();
                break;
            case 6:
                suspect_holder();
                break;
            default:
                break;
        }
    }

    void restart_engine() {
        engine_.restart();
        for (auto it = uses_.begin(); it != uses_.end();) {
            const in_use use = it->second;
            const request_id id = it->first;
            it = use.at_engine ? uses_.erase(it) : std::next(it);
            hosted_daemon& by = fleet_[use.daemon];
            if (use.at_engine && by.self == use.by) {
                by.routes->on_request_ended(id, clock_of(by));
            }
        }
    }

    void kill_daemon(std::size_t i) {
        const vm_incarnation dead = fleet_[i].self;
        start_daemon(i);
        at(now_ + up_to(5s), [this, dead] { tell_ended(dead); });
    }

    void tell_ended(const vm_incarnation& who) {
        for (auto& [fence, it] : keepers_) {
            if (!it.dead) {
                carry_out(fence, it.keeper->on_daemon_ended(who, now_));
            }
        }
    }

    bool changing() const { return now_ < changing_until_; }

    void hand_over() {
        hosted_keeper& old = keepers_.at(fence_);
        const bool suspects_left = keepers_.size() > 1;
        if (changing() || old.dead || suspects_left || now_ < old.paused_until ||
            old.keeper->orders_outstanding(now_)) {
            return;
        }
        const keeper_handoff body = old.keeper->hand_off(now_);
        keepers_.erase(fence_);
        begin_term({fence_ + 2, holder_name(fence_ + 2), {}, false});
        post_to_keeper(fence_, body);
    }

    void kill_holder() {
        if (changing() || keepers_.size() > 1) {
            return;
        }
        keepers_.at(fence_).dead = true;
        changing_until_ = now_ + keeper_settings_.order_silence + step;
        at(now_ + keeper_settings_.order_silence, [this] {
            const fencing_number next = fence_ + 1;
            keepers_.erase(fence_);
            begin_term({next, holder_name(next), {}, false});
        });
    }

    /// The old holder goes on until it dies or an engine refuses it.
    void suspect_holder() {
        if (!what_.checks_fencing || changing() || keepers_.size() > 1) {
            return;
        }
        const fencing_number old = fence_;
        changing_until_ = now_ + 30s;
        begin_term({old + 1, holder_name(old + 1), {holder_name(old)}, false});
        at(now_ + up_to(25s), [this, old] {
            if (chance(0.5)) {
                post_to_keeper(old + 1, keepers_.at(old).keeper->hand_off(now_));
            }
            keepers_.erase(old);
            at(now_ + 1s, [this, old] { tell_ended(holder_name(old)); });
        });
    }

    scenario what_;
    std::mt19937_64 random_;
    time_point now_{1h};
    testing::fake_engine engine_;
    slot_controller_settings keeper_settings_;
    std::unique_ptr<load_budget> budget_;
    hosted_daemon fleet_[daemons];
    fencing_number fence_ = 1;
    std::map<fencing_number, hosted_keeper> keepers_;
    std::multimap<time_point, std::function<void()>> events_;
    std::map<request_id, adapter_ref> asked_;
    std::map<request_id, in_use> uses_;
    std::uint64_t last_request_ = 0;
    time_point changing_until_{};
    outcome result_;
};

constexpr std::uint64_t seeds = 20;

}  // namespace

BOOST_AUTO_TEST_SUITE(placement_property_suite)

BOOST_AUTO_TEST_CASE(no_adapter_in_use_is_evicted_and_each_request_gets_its_own) {
    outcome total;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const bool checks : {false, true}) {
            scenario what;
            what.seed = seed;
            what.checks_fencing = checks;
            const outcome it = history(what).run();
            BOOST_TEST(it.evicted_in_use == 0U, "seed " << seed << " checks " << checks << ": "
                                                        << it.evicted_in_use << " in use");
            BOOST_TEST(it.wrong_adapter == 0U, "seed " << seed);
            total.sent += it.sent;
            total.evictions += it.evictions;
            total.terms += it.terms;
        }
    }
    BOOST_TEST_MESSAGE("sent " << total.sent << " evictions " << total.evictions << " terms "
                               << total.terms);
    // The histories must exercise what they check.
    BOOST_TEST(total.sent > 10000U);
    BOOST_TEST(total.evictions > 500U);
    BOOST_TEST(total.terms > 200U);
}

BOOST_AUTO_TEST_CASE(checker_finds_pins_released_too_early) {
    std::size_t found = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        scenario what;
        what.seed = seed;
        what.early_release = true;
        found += history(what).run().evicted_in_use;
    }
    BOOST_TEST(found > 0U);
}

BOOST_AUTO_TEST_CASE(checker_finds_answers_of_another_version) {
    scenario what;
    what.wrong_answers = true;
    BOOST_TEST(history(what).run().wrong_found > 0U);
    what.wrong_answers = false;
    BOOST_TEST(history(what).run().wrong_found == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
