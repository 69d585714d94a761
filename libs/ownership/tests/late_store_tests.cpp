// Holders under a store whose writes take effect late or without an answer, whose reads lag, and
// that turns some VMs away, while VMs freeze, are cut off and start again. Virtual time, seeds.
#include <boost/test/unit_test.hpp>

#include <memory>
#include <random>

#include "ownership/holder_guard.h"
#include "ownership/ownership_policy.h"
#include "ownership/ownership_store.h"

using namespace radishpulley;
using namespace radishpulley::ownership;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t vm_count = 5;
constexpr std::size_t engine_count = 6;
constexpr int seed_count = 200;
constexpr int planted_seed_count = 40;
constexpr duration step_time = 50ms;
constexpr duration troubled_time = 40s;
constexpr duration calm_time = 20s;
constexpr duration usual_lag = 20ms;
const time_point start(1h);

holding_id engine(std::size_t i) {
    return holding_id("engine/" + std::to_string(i));
}

// One object with conditional writes, as readers see it that lag behind.
class late_store {
public:
    explicit late_store(bool is_conditional) : is_conditional_(is_conditional) {
        history_.emplace_back(start, shard{0, 0, {}});
    }

    void write(const shard& next, time_point takes_effect) { pending_.emplace(takes_effect, next); }

    void advance(time_point now) {
        while (!pending_.empty() && pending_.begin()->first <= now) {
            const auto [at, next] = *pending_.begin();
            pending_.erase(pending_.begin());
            const shard& newest = history_.back().second;
            if (!is_conditional_ || next.version == newest.version) {
                shard stored = next;
                stored.version = newest.version + 1;
                history_.emplace_back(at, stored);
            }
        }
    }

    const shard& as_of(time_point when) const {
        for (auto it = history_.rbegin(); it != history_.rend(); ++it) {
            if (it->first <= when) {
                return it->second;
            }
        }
        return history_.front().second;
    }

private:
    bool is_conditional_;
    std::multimap<time_point, shard> pending_;
    std::vector<std::pair<time_point, shard>> history_;
};

struct daemon {
    daemon(vm_incarnation who, ownership_settings settings)
        : self(who), vms(who, knowledge()), policy(who, settings), guard(who, 1s) {
        std::vector<holding_spec> specs;
        for (std::size_t i = 0; i < engine_count; ++i) {
            // Every second engine ignores fencing numbers.
            specs.push_back(
                {engine(i), i % 2 == 0 ? replacement_rule::on_suspicion : replacement_rule::on_confirmed_end});
        }
        policy.configure(std::move(specs));
    }

    static failure_detector_settings knowledge() {
        failure_detector_settings it;
        it.suspicion = 2s;
        return it;
    }

    vm_incarnation self;
    failure_detector vms;
    ownership_policy policy;
    holder_guard guard;
    shard known{0, 0, {}};
    time_point write_until{};
};

// What goes wrong at one VM, each until a moment.
struct trouble {
    time_point frozen_until{};
    time_point cut_until{};
    time_point turned_away_until{};
    duration lag = usual_lag;
};

class simulation {
public:
    simulation(std::uint64_t seed, bool is_conditional) : random_(seed), store_(is_conditional) {
        settings_.shards = 1;
        settings_.order_silence = 1s;
        settings_.rank_delay = 400ms;
        settings_.balance_interval = 24h;
        for (std::size_t i = 0; i < vm_count; ++i) {
            boot(i);
        }
    }

    // Returns the number of acts that a holder must not have done.
    std::size_t run() {
        for (now_ = start; now_ < start + troubled_time + calm_time; now_ += step_time) {
            store_.advance(now_);
            if (now_ < start + troubled_time) {
                make_trouble();
            } else {
                trouble_ = {};
            }
            for (std::size_t i = 0; i < vm_count; ++i) {
                if (now_ >= trouble_[i].frozen_until) {
                    step(i);
                }
            }
        }
        return violations_;
    }

    // Engines for which not exactly one VM may act now.
    std::size_t engines_without_one_holder() {
        std::size_t n = 0;
        for (std::size_t i = 0; i < engine_count; ++i) {
            std::size_t holders = 0;
            for (const auto& it : daemons_) {
                holders += it->guard.may_act(engine(i), now_).has_value() ? 1 : 0;
            }
            n += holders == 1 ? 0 : 1;
        }
        return n;
    }

private:
    void boot(std::size_t i) {
        const incarnation_number incarnation = ++incarnations_[i];
        daemons_[i] = std::make_unique<daemon>(
            vm_incarnation{vm_id("vm" + std::to_string(i)), incarnation}, settings_);
    }

    bool happens(double probability) {
        return std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }
    duration some_time(duration most) {
        return duration(std::uniform_int_distribution<duration::rep>(0, most.count())(random_));
    }

    void make_trouble() {
        for (std::size_t i = 0; i < vm_count; ++i) {
            trouble& it = trouble_[i];
            if (happens(0.004)) {
                it.frozen_until = now_ + some_time(6s);
            }
            if (happens(0.004)) {
                it.cut_until = now_ + some_time(6s);
            }
            if (happens(0.004)) {
                it.turned_away_until = now_ + some_time(6s);
            }
            if (happens(0.01)) {
                it.lag = happens(0.5) ? usual_lag : some_time(3s);
            }
            if (happens(0.002)) {
                boot(i);
            }
        }
    }

    void step(std::size_t i) {
        daemon& it = *daemons_[i];
        it.guard.on_running(now_);
        tell_others(i);
        read(i);
        if (now_ >= it.write_until) {
            for (const shard_update& update : it.policy.plan(it.vms, now_)) {
                write(i, update);
            }
        }
        act(it);
    }

    void tell_others(std::size_t from) {
        std::vector<object_api::vm_entry> list;
        for (std::size_t i = 0; i < vm_count; ++i) {
            list.push_back({vm_id("vm" + std::to_string(i)), zone_id("z"), region_id("r"), "",
                            object_api::vm_state::live});
            const bool is_cut =
                now_ < trouble_[from].cut_until || now_ < trouble_[i].cut_until || happens(0.02);
            if (i != from && !is_cut && now_ >= trouble_[i].frozen_until) {
                daemons_[i]->vms.on_alive(daemons_[from]->self, now_);
            }
        }
        daemons_[from]->vms.on_list(list, now_);
    }

    void read(std::size_t i) {
        if (now_ < trouble_[i].turned_away_until) {
            return;
        }
        const shard& seen = store_.as_of(now_ - trouble_[i].lag);
        daemon& it = *daemons_[i];
        if (seen.version < it.known.version) {
            return;
        }
        it.known = seen;
        it.policy.on_shard(seen, now_);
        for (const holding& entry : seen.holdings) {
            it.guard.on_entry(entry, now_ - trouble_[i].lag);
            if (!entry.vacant()) {
                it.vms.on_incarnation_seen(entry.holder, now_);
            }
        }
    }

    void write(std::size_t i, const shard_update& update) {
        daemon& it = *daemons_[i];
        const auto next = try_apply(it.known, update);
        if (!next || now_ < trouble_[i].turned_away_until || happens(0.1)) {
            return;
        }
        // Its answer may be lost; the writer then asks again while this one is still on its way.
        const bool is_late = happens(0.2);
        store_.write(*next, now_ + (is_late ? 1s + some_time(5s) : some_time(50ms)));
        it.write_until = now_ + some_time(500ms);
    }

    void act(daemon& it) {
        for (std::size_t i = 0; i < engine_count; ++i) {
            if (const auto fence = it.guard.may_act(engine(i), now_)) {
                note_act(i, it.self, *fence);
            }
        }
    }

    void note_act(std::size_t i, const vm_incarnation& by, fencing_number fence) {
        const auto known = actors_.emplace(std::make_pair(i, fence), by).first;
        // Two holders with one number are never allowed, a lower number after a higher one not at
        // engines that ignore the numbers.
        const bool ignores_fences = i % 2 == 1;
        const bool is_old = fence < highest_[i];
        if (known->second != by || (ignores_fences && is_old)) {
            ++violations_;
        }
        highest_[i] = std::max(highest_[i], fence);
    }

    std::mt19937_64 random_;
    late_store store_;
    ownership_settings settings_;
    time_point now_ = start;
    std::array<std::unique_ptr<daemon>, vm_count> daemons_;
    std::array<incarnation_number, vm_count> incarnations_{};
    std::array<trouble, vm_count> trouble_{};
    std::map<std::pair<std::size_t, fencing_number>, vm_incarnation> actors_;
    std::array<fencing_number, engine_count> highest_{};
    std::size_t violations_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(late_store_suite)

BOOST_AUTO_TEST_CASE(no_two_holders_whatever_the_store_does_late) {
    for (int seed = 1; seed <= seed_count; ++seed) {
        simulation it(static_cast<std::uint64_t>(seed), true);
        BOOST_TEST(it.run() == 0U, "seed " << seed);
        BOOST_TEST(it.engines_without_one_holder() == 0U, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(a_store_that_ignores_conditions_is_found_out) {
    std::size_t found = 0;
    for (int seed = 1; seed <= planted_seed_count; ++seed) {
        found += simulation(static_cast<std::uint64_t>(seed), false).run() > 0 ? 1 : 0;
    }
    BOOST_TEST(found > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
