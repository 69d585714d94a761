// Simulates holders on a store whose writes take effect late or whose responses are lost, whose
// reads are stale, and which rejects some VMs, while VMs freeze, are partitioned and restart.
// Runs in virtual time with seeded random faults.
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
constexpr int defective_store_seed_count = 40;
constexpr duration time_step = 50ms;
constexpr duration fault_phase = 40s;
constexpr duration recovery_phase = 20s;
constexpr duration default_lag = 20ms;
const time_point start(1h);

holding_id engine(std::size_t i) {
    return holding_id("engine/" + std::to_string(i));
}

// One object with conditional writes, delayed writes and stale reads.
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
        : self(who), detector(who, suspicion_settings()), policy(who, settings), guard(who, 1s) {
        std::vector<holding_spec> specs;
        for (std::size_t i = 0; i < engine_count; ++i) {
            // Every other engine ignores fencing numbers.
            specs.push_back({engine(i), i % 2 == 0 ? replacement_rule::on_suspicion
                                                   : replacement_rule::on_confirmed_end});
        }
        policy.configure(std::move(specs));
    }

    static failure_detector_settings suspicion_settings() {
        failure_detector_settings it;
        it.suspicion_timeout = 2s;
        return it;
    }

    vm_incarnation self;
    failure_detector detector;
    ownership_policy policy;
    holder_guard guard;
    shard known{0, 0, {}};
    time_point write_until{};
};

// Faults of one VM, each with the time at which it ends.
struct vm_faults {
    time_point frozen_until{};
    time_point partitioned_until{};
    time_point rejected_until{};
    duration lag = default_lag;
};

class simulation {
public:
    simulation(std::uint64_t seed, bool is_conditional) : random_(seed), store_(is_conditional) {
        settings_.shards = 1;
        settings_.max_order_lifetime = 1s;
        settings_.rank_delay = 400ms;
        settings_.balance_interval = 24h;
        for (std::size_t i = 0; i < vm_count; ++i) {
            start_daemon(i);
        }
    }

    // Returns the number of forbidden actions.
    std::size_t run() {
        for (now_ = start; now_ < start + fault_phase + recovery_phase; now_ += time_step) {
            store_.advance(now_);
            if (now_ < start + fault_phase) {
                inject_faults();
            } else {
                faults_ = {};
            }
            for (std::size_t i = 0; i < vm_count; ++i) {
                if (now_ >= faults_[i].frozen_until) {
                    step(i);
                }
            }
        }
        return violations_;
    }

    // Counts the engines for which the number of VMs that may act is not one.
    std::size_t engines_without_one_holder() {
        std::size_t engines = 0;
        for (std::size_t i = 0; i < engine_count; ++i) {
            std::size_t holders = 0;
            for (const auto& it : daemons_) {
                holders += it->guard.may_act(engine(i), now_).has_value() ? 1 : 0;
            }
            engines += holders == 1 ? 0 : 1;
        }
        return engines;
    }

private:
    void start_daemon(std::size_t i) {
        const incarnation_number incarnation = ++incarnations_[i];
        daemons_[i] = std::make_unique<daemon>(
            vm_incarnation{vm_id("vm" + std::to_string(i)), incarnation}, settings_);
    }

    bool chance(double probability) {
        return std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }
    duration random_duration(duration limit) {
        return duration(std::uniform_int_distribution<duration::rep>(0, limit.count())(random_));
    }

    void inject_faults() {
        for (std::size_t i = 0; i < vm_count; ++i) {
            vm_faults& it = faults_[i];
            if (chance(0.004)) {
                it.frozen_until = now_ + random_duration(6s);
            }
            if (chance(0.004)) {
                it.partitioned_until = now_ + random_duration(6s);
            }
            if (chance(0.004)) {
                it.rejected_until = now_ + random_duration(6s);
            }
            if (chance(0.01)) {
                it.lag = chance(0.5) ? default_lag : random_duration(3s);
            }
            if (chance(0.002)) {
                start_daemon(i);
            }
        }
    }

    void step(std::size_t i) {
        daemon& it = *daemons_[i];
        it.guard.on_running(now_);
        send_heartbeats(i);
        read(i);
        if (now_ >= it.write_until) {
            for (const shard_update& update : it.policy.plan(it.detector, now_)) {
                write(i, update);
            }
        }
        act(it);
    }

    void send_heartbeats(std::size_t from) {
        std::vector<object_api::vm_entry> list;
        for (std::size_t i = 0; i < vm_count; ++i) {
            list.push_back({vm_id("vm" + std::to_string(i)), zone_id("z"), region_id("r"), "",
                            object_api::vm_state::live});
            const bool is_partitioned = now_ < faults_[from].partitioned_until ||
                                        now_ < faults_[i].partitioned_until || chance(0.02);
            if (i != from && !is_partitioned && now_ >= faults_[i].frozen_until) {
                daemons_[i]->detector.on_alive(daemons_[from]->self, now_);
            }
        }
        daemons_[from]->detector.on_list(list, now_);
    }

    void read(std::size_t i) {
        if (now_ < faults_[i].rejected_until) {
            return;
        }
        const shard& seen = store_.as_of(now_ - faults_[i].lag);
        daemon& it = *daemons_[i];
        if (seen.version < it.known.version) {
            return;
        }
        it.known = seen;
        it.policy.on_shard(seen, now_);
        for (const holding& entry : seen.holdings) {
            it.guard.on_entry(entry, now_ - faults_[i].lag);
            if (!entry.vacant()) {
                it.detector.on_incarnation_seen(entry.holder, now_);
            }
        }
    }

    void write(std::size_t i, const shard_update& update) {
        daemon& it = *daemons_[i];
        const auto next = try_apply(it.known, update);
        if (!next || now_ < faults_[i].rejected_until || chance(0.1)) {
            return;
        }
        // The response may be lost; the writer then retries while this write is still in flight.
        const bool is_late = chance(0.2);
        store_.write(*next, now_ + (is_late ? 1s + random_duration(5s) : random_duration(50ms)));
        it.write_until = now_ + random_duration(500ms);
    }

    void act(daemon& it) {
        for (std::size_t i = 0; i < engine_count; ++i) {
            if (const auto fence = it.guard.may_act(engine(i), now_)) {
                record_action(i, it.self, *fence);
            }
        }
    }

    void record_action(std::size_t i, const vm_incarnation& by, fencing_number fence) {
        const auto known = actors_.emplace(std::make_pair(i, fence), by).first;
        // Two holders must never act under the same number. At engines that ignore fencing numbers,
        // a lower number must not follow a higher one either.
        const bool ignores_fences = i % 2 == 1;
        const bool is_lower = fence < highest_[i];
        if (known->second != by || (ignores_fences && is_lower)) {
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
    std::array<vm_faults, vm_count> faults_{};
    std::map<std::pair<std::size_t, fencing_number>, vm_incarnation> actors_;
    std::array<fencing_number, engine_count> highest_{};
    std::size_t violations_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(late_store_suite)

BOOST_AUTO_TEST_CASE(at_most_one_holder_with_late_writes_and_stale_reads) {
    for (int seed = 1; seed <= seed_count; ++seed) {
        simulation it(static_cast<std::uint64_t>(seed), true);
        BOOST_TEST(it.run() == 0U, "seed " << seed);
        BOOST_TEST(it.engines_without_one_holder() == 0U, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(a_store_that_ignores_write_conditions_is_detected) {
    std::size_t detected = 0;
    for (int seed = 1; seed <= defective_store_seed_count; ++seed) {
        detected += simulation(static_cast<std::uint64_t>(seed), false).run() > 0 ? 1 : 0;
    }
    BOOST_TEST(detected > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
