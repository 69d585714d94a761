#include <algorithm>
#include <random>

#include "policy.h"

namespace radishpulley::measure {
namespace {

class plain_policy final : public policy {
public:
    plain_policy(world& where, plain_kind kind, std::uint64_t seed)
        : world_(where), kind_(kind), random_(seed), slots_(engine_count) {
        for (auto& engine : world_.engines) {
            engine->on_ended = [this](job& it) { ended(it); };
        }
    }

    void place(job& it) override {
        const std::uint32_t n = choose(it);
        slots_[n].last_use[it.what.adapter] = world_.events.now();
        world_.engines[n]->submit(it);
        want(n, it.what.adapter);
    }

private:
    struct engine_slots {
        std::map<std::uint32_t, time_point> last_use;
        std::set<std::uint32_t> loading;
        std::deque<std::uint32_t> wanted;
    };

    std::uint32_t load_of(std::uint32_t n) const {
        return world_.engines[n]->running() + world_.engines[n]->queued();
    }

    std::uint32_t choose(const job& it) {
        if (kind_ == plain_kind::random) {
            return std::uniform_int_distribution<std::uint32_t>(0, engine_count - 1)(random_);
        }
        std::uint32_t best = engine_count;
        for (std::uint32_t n = 0; n < engine_count; ++n) {
            const bool present = world_.engines[n]->has(it.what.adapter) ||
                                 slots_[n].loading.count(it.what.adapter) != 0;
            const bool usable = kind_ == plain_kind::least_loaded || present;
            if (usable && (best == engine_count || load_of(n) < load_of(best))) {
                best = n;
            }
        }
        return best == engine_count ? least_loaded() : best;
    }

    std::uint32_t least_loaded() const {
        std::uint32_t best = 0;
        for (std::uint32_t n = 1; n < engine_count; ++n) {
            best = load_of(n) < load_of(best) ? n : best;
        }
        return best;
    }

    void want(std::uint32_t n, std::uint32_t adapter) {
        engine_slots& it = slots_[n];
        const bool known =
            world_.engines[n]->has(adapter) || it.loading.count(adapter) != 0 ||
            std::find(it.wanted.begin(), it.wanted.end(), adapter) != it.wanted.end();
        if (!known) {
            it.wanted.push_back(adapter);
        }
        load_some(n);
    }

    void load_some(std::uint32_t n) {
        engine_slots& it = slots_[n];
        while (!it.wanted.empty() && make_room(n)) {
            const std::uint32_t adapter = it.wanted.front();
            it.wanted.pop_front();
            it.loading.insert(adapter);
            world_.store.load([this, n, adapter] {
                slots_[n].loading.erase(adapter);
                world_.engines[n]->add_adapter(adapter);
                load_some(n);
            });
        }
    }

    bool make_room(std::uint32_t n) {
        engine_model& engine = *world_.engines[n];
        engine_slots& it = slots_[n];
        if (engine.loaded() + it.loading.size() < slots_per_engine) {
            return true;
        }
        std::uint32_t victim = adapter_count;
        for (const auto& [adapter, since] : engine.loaded_at()) {
            const bool older =
                victim == adapter_count || it.last_use[adapter] < it.last_use[victim];
            if (older && engine.active(adapter) == 0) {
                victim = adapter;
            }
        }
        if (victim == adapter_count) {
            return false;
        }
        engine.drop_adapter(victim);
        return true;
    }

    void ended(job& it) {
        slots_[it.engine].last_use[it.what.adapter] = world_.events.now();
        // Not at once: the engine is in the middle of a step.
        world_.events.after(duration(1), [this, n = it.engine] { load_some(n); });
    }

    world& world_;
    plain_kind kind_;
    std::mt19937_64 random_;
    std::vector<engine_slots> slots_;
};

}  // namespace

world::world() {
    for (std::uint32_t n = 0; n < engine_count; ++n) {
        engines.push_back(std::make_unique<engine_model>(events, n));
    }
}

std::unique_ptr<policy> make_plain_policy(world& where, plain_kind kind, std::uint64_t seed) {
    return std::make_unique<plain_policy>(where, kind, seed);
}

}  // namespace radishpulley::measure
