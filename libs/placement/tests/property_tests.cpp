// Seeded simulations of one engine with lost, late and duplicate messages, paused, dead and
// replaced holders and daemons, and engine restarts. The checker observes the engine and not the
// controller.
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <random>

#include "fake_engine.h"
#include "placement/load_budget.h"
#include "placement/response_check.h"
#include "placement/router.h"
#include "placement/slot_controller.h"

using namespace radishpulley;
using namespace radishpulley::placement;
using namespace std::chrono_literals;

namespace {

const endpoint_id engine_id("e1");
constexpr std::size_t adapter_count = 12;
constexpr std::size_t slot_count = 4;
constexpr std::size_t daemon_count = 3;
constexpr duration step = 50ms;
constexpr duration longest_run = 4s;
constexpr duration longest_request = 5s;

adapter_ref adapter_number(std::size_t n) {
    // Each odd number is another version of the adapter with the preceding even number.
    return {adapter_id("a" + std::to_string(n / 2)), version_id("v" + std::to_string(n % 2))};
}

struct scenario {
    std::uint64_t seed = 1;
    bool checks_fencing = false;
    duration length = 10min;
    /// Injected fault: daemons release pins whose requests still run.
    bool release_pins_early = false;
    /// Injected fault: the engine responds with another version.
    bool report_wrong_version = false;
};

struct outcome {
    std::size_t evicted_in_use = 0;
    std::size_t wrong_adapter = 0;
    std::size_t wrong_detected = 0;
    std::size_t sent = 0;
    std::size_t missing = 0;
    std::size_t evictions = 0;
    std::size_t terms = 0;
};

class simulation {
public:
    explicit simulation(scenario scenario_settings)
        : scenario_(scenario_settings),
          random_(scenario_settings.seed),
          engine_(engine_id, slot_count, scenario_settings.checks_fencing) {
        controller_settings_.slots = slot_count;
        controller_settings_.checks_fencing = scenario_settings.checks_fencing;
        controller_settings_.longest_request = longest_request;
        controller_settings_.guaranteed_loads_per_second = 0.2;
        load_budget_settings budget;
        budget.loads_per_second = 3;
        budget_ = std::make_unique<load_budget>(budget, 1, now_);
        for (std::size_t i = 0; i < daemon_count; ++i) {
            start_daemon(i);
        }
        begin_term({1, holder_of(1), {}, true});
    }

    outcome run() {
        const time_point end = now_ + scenario_.length;
        while (now_ < end) {
            now_ += step;
            run_due_events();
            send_client_request();
            if (chance(0.02)) {
                inject_fault();
            }
            tick();
        }
        return result_;
    }

private:
    struct daemon_process {
        vm_incarnation self;
        std::unique_ptr<router> request_router;
        time_point paused_until{};
        double rate = 1;
        duration offset{};
    };
    struct controller_process {
        std::unique_ptr<slot_controller> controller;
        time_point paused_until{};
        bool dead = false;
    };
    struct active_request {
        adapter_ref adapter;
        std::size_t daemon = 0;
        vm_incarnation client;
        bool at_engine = false;
    };

    static vm_incarnation holder_of(fencing_number fence) {
        return {vm_id("h" + std::to_string(fence)), 1};
    }

    bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(random_) < p; }
    duration random_duration(duration max) {
        return duration(std::uniform_int_distribution<duration::rep>(0, max.count())(random_));
    }
    void schedule(time_point when, std::function<void()> action) {
        events_.emplace(when, std::move(action));
    }
    /// Returns the daemon's local time. Its clock has an offset and runs up to 1 % fast or slow.
    time_point clock_of(const daemon_process& it) const {
        const double local = static_cast<double>(now_.time_since_epoch().count()) * it.rate;
        return time_point(duration(static_cast<duration::rep>(local)) + it.offset);
    }

    void start_daemon(std::size_t i) {
        router_settings settings;
        settings.longest_request = longest_request;
        settings.max_waiting = 60;
        daemon_process& it = fleet_[i];
        it.self = {vm_id("d" + std::to_string(i)), it.self.incarnation + 1};
        it.request_router =
            std::make_unique<router>(it.self, zone_id("z"), region_id("r"), settings);
        it.rate = 0.99 + 0.01 * static_cast<double>(i);
        it.offset = std::chrono::minutes(i);
        it.request_router->configure({{engine_id, zone_id("z"), region_id("r"), 8, false}},
                                     clock_of(it));
        it.request_router->on_holder(engine_id, holder_of(fence_), fence_, clock_of(it));
    }

    void begin_term(const controller_term& term) {
        ++result_.terms;
        fence_ = term.fence;
        controller_process& it = controllers_[fence_];
        it.controller =
            std::make_unique<slot_controller>(engine_id, controller_settings_, term, now_);
        for (std::size_t i = 0; i < daemon_count; ++i) {
            schedule(now_ + random_duration(5s), [this, i, fence = fence_] {
                daemon_process& daemon = fleet_[i];
                carry_out(i, daemon.request_router->on_holder(engine_id, holder_of(fence), fence,
                                                              clock_of(daemon)));
            });
        }
    }

    /// Delivers a message that may be lost, delayed or duplicated.
    void send_unreliably(const std::function<void()>& arrival) {
        const int copies = chance(0.1) ? 0 : chance(0.1) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            schedule(now_ + (chance(0.1) ? random_duration(12s) : random_duration(100ms)), arrival);
        }
    }

    void send_to_controller(fencing_number fence, const message& body) {
        send_unreliably([this, fence, body] { deliver_to_controller(fence, body); });
    }

    void deliver_to_controller(fencing_number fence, const message& body) {
        const auto it = controllers_.find(fence);
        if (it == controllers_.end() || it->second.dead) {
            return;
        }
        if (now_ < it->second.paused_until) {
            schedule(it->second.paused_until,
                     [this, fence, body] { deliver_to_controller(fence, body); });
            return;
        }
        slot_controller& controller = *it->second.controller;
        if (const auto* asked = std::get_if<pin_request>(&body)) {
            carry_out(fence, controller.on_pin_request(*asked, now_));
        } else if (const auto* released = std::get_if<pin_release>(&body)) {
            carry_out(fence, controller.on_pin_release(*released, now_));
        } else if (const auto* permit = std::get_if<load_permit>(&body)) {
            carry_out(fence, controller.on_permit(*permit, now_));
        } else if (const auto* handoff = std::get_if<keeper_handoff>(&body)) {
            carry_out(fence, controller.on_handoff(*handoff, now_));
        }
    }

    void deliver_to_daemon(const vm_incarnation& who, const message& body) {
        for (std::size_t i = 0; i < daemon_count; ++i) {
            daemon_process& it = fleet_[i];
            if (it.self != who) {
                continue;
            }
            if (now_ < it.paused_until) {
                schedule(it.paused_until, [this, who, body] { deliver_to_daemon(who, body); });
                return;
            }
            carry_out(i, it.request_router->on_message(body, clock_of(it)));
        }
    }

    void carry_out(fencing_number fence, const slot_controller_decisions& list) {
        for (const slot_controller_decision& it : list) {
            if (const auto* sent = std::get_if<send_to_daemon>(&it)) {
                send_unreliably(
                    [this, to = sent->to, body = sent->body] { deliver_to_daemon(to, body); });
            } else if (const auto* store = std::get_if<send_to_weight_store>(&it)) {
                deliver_to_weight_store(store->body);
            } else {
                send_order(fence, std::get<send_engine_order>(it).order);
            }
        }
    }

    void deliver_to_weight_store(const message& body) {
        if (const auto* asked = std::get_if<permit_request>(&body)) {
            budget_->on_request(*asked, now_);
        } else if (const auto* done = std::get_if<permit_done>(&body)) {
            budget_->on_done(*done);
        }
    }

    void send_order(fencing_number fence, const engine_order& order) {
        const bool lost = chance(0.15);
        const duration delay = lost && chance(0.5) ? random_duration(9s) : random_duration(300ms);
        const bool not_delivered = lost && chance(0.3);
        const std::string run = engine_.incarnation();
        if (!not_delivered) {
            schedule(now_ + delay, [this, fence, order, lost, run] {
                // The connection of a late order breaks when the engine's process ends.
                if (run != engine_.incarnation()) {
                    deliver_result(fence, {order, order_outcome::unknown, ""});
                    return;
                }
                const order_outcome result = apply(order);
                if (!lost) {
                    deliver_result(fence, {order, result, run});
                }
            });
        }
        if (lost) {
            schedule(now_ + 1s, [this, fence, order] {
                deliver_result(fence, {order, order_outcome::unknown, ""});
            });
        }
    }

    order_outcome apply(const engine_order& order) {
        if (order.kind == order_kind::load && chance(0.1)) {
            return order_outcome::failed;
        }
        const bool had = engine_.has(order.adapter);
        const order_outcome result = engine_.apply(order);
        if (order.kind == order_kind::evict && had && result == order_outcome::done) {
            ++result_.evictions;
            for (const auto& [id, use] : active_requests_) {
                result_.evicted_in_use += use.adapter == order.adapter ? 1 : 0;
            }
        }
        return result;
    }

    void deliver_result(fencing_number fence, const order_result& it) {
        const auto where = controllers_.find(fence);
        if (where == controllers_.end() || where->second.dead) {
            return;
        }
        if (now_ < where->second.paused_until) {
            schedule(where->second.paused_until, [this, fence, it] { deliver_result(fence, it); });
            return;
        }
        carry_out(fence, where->second.controller->on_order_result(it, now_));
    }

    void carry_out(std::size_t i, const router_decisions& list) {
        for (const router_decision& it : list) {
            if (const auto* to_holder = std::get_if<send_to_holder>(&it)) {
                const std::string& name = to_holder->to.vm.str();
                send_to_controller(std::stoull(name.substr(1)), to_holder->body);
            } else if (const auto* sent = std::get_if<send_request>(&it)) {
                send(i, *sent);
            } else {
                requested_adapters_.erase(std::get<refuse_request>(it).request);
            }
        }
    }

    void send(std::size_t i, const send_request& it) {
        ++result_.sent;
        result_.wrong_adapter += requested_adapters_.at(it.request) == it.adapter ? 0 : 1;
        active_requests_[it.request] = {it.adapter, i, fleet_[i].self, false};
        schedule(now_ + random_duration(100ms), [this, it] { begin(it); });
        if (scenario_.release_pins_early) {
            constexpr message_number beyond_all = 1'000'000;
            deliver_to_controller(fence_,
                                  pin_release{fleet_[i].self, engine_id, it.adapter, beyond_all});
        }
    }

    void begin(const send_request& it) {
        const auto use = active_requests_.find(it.request);
        if (use == active_requests_.end()) {
            return;
        }
        const std::size_t i = use->second.daemon;
        if (!engine_.has(it.adapter)) {
            ++result_.missing;
            active_requests_.erase(use);
            carry_out(i, fleet_[i].request_router->on_adapter_missing(engine_id, it.adapter,
                                                                      clock_of(fleet_[i])));
            carry_out(i, fleet_[i].request_router->on_not_sent(it.request, clock_of(fleet_[i])));
            return;
        }
        use->second.at_engine = true;
        engine_.begin(it.adapter);
        schedule(now_ + random_duration(longest_run),
                 [this, it, run = engine_.incarnation()] { end(it, run); });
    }

    void end(const send_request& it, const std::string& run) {
        const auto use = active_requests_.find(it.request);
        if (use == active_requests_.end()) {
            return;
        }
        const active_request ended = use->second;
        active_requests_.erase(use);
        if (run == engine_.incarnation()) {
            engine_.end(it.adapter);
        }
        check_response(it.adapter);
        daemon_process& client = fleet_[ended.daemon];
        if (client.self == ended.client) {
            carry_out(ended.daemon,
                      client.request_router->on_request_ended(it.request, clock_of(client)));
        }
    }

    void check_response(const adapter_ref& asked) {
        adapter_ref ran = asked;
        if (scenario_.report_wrong_version && chance(0.01)) {
            ran.version = version_id("other");
        }
        const bool found =
            check_response_model(asked, engine_name(ran)) == response_verdict::wrong_adapter;
        result_.wrong_detected += found ? 1 : 0;
    }

    void send_client_request() {
        if (!chance(0.15)) {
            return;
        }
        const std::size_t i = random_() % daemon_count;
        daemon_process& it = fleet_[i];
        if (now_ < it.paused_until) {
            return;
        }
        placement_request request;
        request.id = request_id("q" + std::to_string(++last_request_));
        request.account = client_account_id("c" + std::to_string(random_() % 3));
        const std::size_t n = std::min(random_() % adapter_count, random_() % adapter_count);
        request.adapter = adapter_number(n);
        request.deadline = clock_of(it) + 20s;
        requested_adapters_[request.id] = request.adapter;
        carry_out(i, it.request_router->on_request(request, clock_of(it)));
    }

    void run_due_events() {
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
    }

    void tick() {
        for (const load_permit& it : budget_->grant(now_)) {
            send_to_controller(std::stoull(it.holder.vm.str().substr(1)), it);
        }
        for (std::size_t i = 0; i < daemon_count; ++i) {
            if (now_ >= fleet_[i].paused_until) {
                carry_out(i, fleet_[i].request_router->tick(clock_of(fleet_[i])));
            }
        }
        for (auto& [fence, it] : controllers_) {
            if (!it.dead && now_ >= it.paused_until) {
                carry_out(fence, it.controller->tick(now_));
            }
        }
        if (chance(0.05)) {
            const engine_report it = engine_.report();
            for (const auto& [fence, controller] : controllers_) {
                const duration lag = random_duration(4s);
                schedule(now_ + lag, [this, fence = fence, it] { report(fence, it); });
                if (chance(0.2)) {
                    schedule(now_ + lag, [this, fence = fence, it] { report(fence, it); });
                }
            }
        }
    }

    void report(fencing_number fence, const engine_report& it) {
        const auto where = controllers_.find(fence);
        if (where != controllers_.end() && !where->second.dead &&
            now_ >= where->second.paused_until) {
            carry_out(fence, where->second.controller->on_report(it, now_));
        }
    }

    void inject_fault() {
        switch (random_() % 40) {
            case 0:
                restart_engine();
                break;
            case 1:
                fleet_[random_() % daemon_count].paused_until = now_ + random_duration(20s);
                break;
            case 2:
                kill_daemon(random_() % daemon_count);
                break;
            case 3:
                controllers_.at(fence_).paused_until = now_ + random_duration(15s);
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
        for (auto it = active_requests_.begin(); it != active_requests_.end();) {
            const active_request use = it->second;
            const request_id id = it->first;
            it = use.at_engine ? active_requests_.erase(it) : std::next(it);
            daemon_process& client = fleet_[use.daemon];
            if (use.at_engine && client.self == use.client) {
                client.request_router->on_request_ended(id, clock_of(client));
            }
        }
    }

    void kill_daemon(std::size_t i) {
        const vm_incarnation dead = fleet_[i].self;
        start_daemon(i);
        schedule(now_ + random_duration(5s), [this, dead] { report_ended(dead); });
    }

    void report_ended(const vm_incarnation& who) {
        for (auto& [fence, it] : controllers_) {
            if (!it.dead) {
                carry_out(fence, it.controller->on_daemon_ended(who, now_));
            }
        }
    }

    bool term_change_pending() const { return now_ < term_change_until_; }

    void hand_over() {
        controller_process& old = controllers_.at(fence_);
        const bool suspects_left = controllers_.size() > 1;
        if (term_change_pending() || old.dead || suspects_left || now_ < old.paused_until ||
            old.controller->orders_outstanding(now_)) {
            return;
        }
        const keeper_handoff body = old.controller->hand_off(now_);
        controllers_.erase(fence_);
        begin_term({fence_ + 2, holder_of(fence_ + 2), {}, false});
        send_to_controller(fence_, body);
    }

    void kill_holder() {
        if (term_change_pending() || controllers_.size() > 1) {
            return;
        }
        controllers_.at(fence_).dead = true;
        term_change_until_ = now_ + controller_settings_.max_order_lifetime + step;
        schedule(now_ + controller_settings_.max_order_lifetime, [this] {
            const fencing_number next = fence_ + 1;
            controllers_.erase(fence_);
            begin_term({next, holder_of(next), {}, false});
        });
    }

    /// The previous holder continues until it dies or an engine refuses its orders.
    void suspect_holder() {
        if (!scenario_.checks_fencing || term_change_pending() || controllers_.size() > 1) {
            return;
        }
        const fencing_number old = fence_;
        term_change_until_ = now_ + 30s;
        begin_term({old + 1, holder_of(old + 1), {holder_of(old)}, false});
        schedule(now_ + random_duration(25s), [this, old] {
            if (chance(0.5)) {
                send_to_controller(old + 1, controllers_.at(old).controller->hand_off(now_));
            }
            controllers_.erase(old);
            schedule(now_ + 1s, [this, old] { report_ended(holder_of(old)); });
        });
    }

    scenario scenario_;
    std::mt19937_64 random_;
    time_point now_{1h};
    testing::fake_engine engine_;
    slot_controller_settings controller_settings_;
    std::unique_ptr<load_budget> budget_;
    daemon_process fleet_[daemon_count];
    fencing_number fence_ = 1;
    std::map<fencing_number, controller_process> controllers_;
    std::multimap<time_point, std::function<void()>> events_;
    std::map<request_id, adapter_ref> requested_adapters_;
    std::map<request_id, active_request> active_requests_;
    std::uint64_t last_request_ = 0;
    time_point term_change_until_{};
    outcome result_;
};

constexpr std::uint64_t seed_count = 20;

}  // namespace

BOOST_AUTO_TEST_SUITE(placement_property_suite)

BOOST_AUTO_TEST_CASE(no_adapter_in_use_is_evicted_and_each_request_gets_its_adapter) {
    outcome total;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        for (const bool checks : {false, true}) {
            scenario scenario_settings;
            scenario_settings.seed = seed;
            scenario_settings.checks_fencing = checks;
            const outcome it = simulation(scenario_settings).run();
            BOOST_TEST(it.evicted_in_use == 0U, "seed " << seed << " checks " << checks << ": "
                                                        << it.evicted_in_use << " evicted in use");
            BOOST_TEST(it.wrong_adapter == 0U, "seed " << seed);
            total.sent += it.sent;
            total.evictions += it.evictions;
            total.terms += it.terms;
        }
    }
    BOOST_TEST_MESSAGE("sent " << total.sent << " evictions " << total.evictions << " terms "
                               << total.terms);
    // The simulations must exercise what they check.
    BOOST_TEST(total.sent > 10000U);
    BOOST_TEST(total.evictions > 500U);
    BOOST_TEST(total.terms > 200U);
}

BOOST_AUTO_TEST_CASE(checker_detects_pins_released_too_early) {
    std::size_t found = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        scenario scenario_settings;
        scenario_settings.seed = seed;
        scenario_settings.release_pins_early = true;
        found += simulation(scenario_settings).run().evicted_in_use;
    }
    BOOST_TEST(found > 0U);
}

BOOST_AUTO_TEST_CASE(checker_detects_responses_of_another_version) {
    scenario scenario_settings;
    scenario_settings.report_wrong_version = true;
    BOOST_TEST(simulation(scenario_settings).run().wrong_detected > 0U);
    scenario_settings.report_wrong_version = false;
    BOOST_TEST(simulation(scenario_settings).run().wrong_detected == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
