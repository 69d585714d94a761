#include <random>
#include <string>

#include "placement/load_budget.h"
#include "placement/router.h"
#include "placement/slot_controller.h"
#include "policy.h"

namespace radishpulley::measure {
namespace {

using namespace placement;

constexpr std::uint32_t daemons_per_region = 3;
constexpr std::uint32_t daemon_count = daemons_per_region * region_count;
constexpr duration tick_interval = std::chrono::milliseconds(100);
constexpr duration report_interval = std::chrono::seconds(1);
constexpr duration report_lag = std::chrono::milliseconds(500);
constexpr std::uint64_t message_bytes = 120;
/// Part of the weight store's rate that the engines hold as a fixed split.
constexpr double fixed_split = 0.1;

adapter_ref ref_of(std::uint32_t adapter) {
    return {adapter_id("a" + std::to_string(adapter)), version_id("1")};
}
std::uint32_t number_in(const std::string& name) {
    return static_cast<std::uint32_t>(std::stoul(name.substr(1)));
}
endpoint_id engine_name(std::uint32_t n) {
    return endpoint_id("e" + std::to_string(n));
}
vm_incarnation daemon_name(std::uint32_t n) {
    return {vm_id("d" + std::to_string(n)), 1};
}
region_id region_name(std::uint32_t n) {
    return region_id("r" + std::to_string(n));
}
std::uint32_t region_of_daemon(std::uint32_t n) {
    return n % region_count;
}

/// Daemon n holds engine n; daemon 0 holds the weight store.
class fleet_policy final : public policy {
public:
    fleet_policy(world& where, std::uint64_t seed, bool regions_known)
        : world_(where), random_(seed), regions_known_(regions_known) {
        load_budget_settings budget;
        budget.loads_per_second = loads_per_second * (1 - fixed_split);
        budget.in_flight = loads_at_full_speed;
        budget_ = std::make_unique<load_budget>(budget, 1, now());
        for (std::uint32_t n = 0; n < engine_count; ++n) {
            start_keeper(n);
        }
        for (std::uint32_t n = 0; n < daemon_count; ++n) {
            start_router(n);
        }
        tick();
        report();
    }

    void place(job& it) override {
        const std::uint32_t n = it.what.region + region_count * (random_() % daemons_per_region);
        const std::string id = "q" + std::to_string(jobs_.size());
        jobs_.push_back(&it);
        daemon_of_.push_back(n);
        placement_request request;
        request.id = request_id(id);
        request.account = client_account_id("c" + std::to_string(it.what.account));
        request.adapter = ref_of(it.what.adapter);
        request.prefix = it.what.prefix;
        request.deadline = now() + caller_patience;
        if (regions_known_) {
            request.home_region = region_name(it.what.account % region_count);
        }
        carry_out(n, routers_[n]->on_request(request, now()));
    }

    std::uint64_t control_bytes() const override { return control_bytes_; }
    std::uint64_t control_messages() const override { return control_messages_; }

private:
    time_point now() const { return world_.events.now(); }

    void start_keeper(std::uint32_t n) {
        slot_controller_settings settings;
        settings.slots = slots_per_engine;
        settings.concurrency = engine_concurrency;
        settings.guaranteed_loads_per_second = loads_per_second * fixed_split / engine_count;
        const controller_term term{1, daemon_name(n), {}, true};
        keepers_.push_back(
            std::make_unique<slot_controller>(engine_name(n), settings, term, now()));
        world_.engines[n]->on_ended = [this](job& it) { ended(it); };
    }

    void start_router(std::uint32_t n) {
        const std::uint32_t region = region_of_daemon(n);
        router_settings settings;
        routers_.push_back(std::make_unique<router>(
            daemon_name(n), zone_id("z" + std::to_string(region)), region_name(region), settings));
        std::vector<engine_info> infos;
        for (std::uint32_t e = 0; e < engine_count; ++e) {
            const std::uint32_t where = world_.engines[e]->region();
            infos.push_back({engine_name(e), zone_id("z" + std::to_string(where)),
                             region_name(where), engine_concurrency, false});
        }
        routers_.back()->configure(infos, now());
        for (std::uint32_t e = 0; e < engine_count; ++e) {
            routers_.back()->on_holder(engine_name(e), daemon_name(e), 1, now());
        }
    }

    void post(std::uint32_t from, std::uint32_t to, std::function<void()> arrival) {
        const bool crosses = region_of_daemon(from) != region_of_daemon(to);
        control_messages_ += from == to ? 0 : 1;
        control_bytes_ += crosses ? message_bytes : 0;
        const duration delay = from == to ? duration::zero() : crosses ? region_delay : zone_delay;
        world_.events.after(delay, std::move(arrival));
    }

    void carry_out(std::uint32_t n, const router_decisions& list) {
        for (const router_decision& it : list) {
            if (const auto* to_holder = std::get_if<send_to_holder>(&it)) {
                const std::uint32_t e = number_in(to_holder->endpoint.str());
                post(n, e, [this, e, body = to_holder->body] { at_keeper(e, body); });
            } else if (const auto* sent = std::get_if<send_request>(&it)) {
                send(n, *sent);
            } else {
                jobs_[number_in(std::get<refuse_request>(it).request.str())]->refused = true;
            }
        }
    }

    void send(std::uint32_t n, const send_request& it) {
        const std::uint32_t e = number_in(it.endpoint.str());
        job& what = *jobs_[number_in(it.request.str())];
        numbers_[&what] = it.request;
        const bool crosses = region_of_daemon(n) != world_.engines[e]->region();
        world_.events.after(crosses ? region_delay : zone_delay,
                            [this, e, &what] { world_.engines[e]->submit(what); });
    }

    void ended(job& it) {
        const auto number = numbers_.find(&it);
        const request_id id = number->second;
        numbers_.erase(number);
        const std::uint32_t n = daemon_of_[number_in(id.str())];
        world_.events.after(it.crossed_region ? region_delay : zone_delay, [this, n, id] {
            carry_out(n, routers_[n]->on_request_ended(id, now()));
        });
    }

    void at_keeper(std::uint32_t e, const message& body) {
        slot_controller& keeper = *keepers_[e];
        if (const auto* asked = std::get_if<pin_request>(&body)) {
            carry_out(e, keeper.on_pin_request(*asked, now()));
        } else if (const auto* released = std::get_if<pin_release>(&body)) {
            carry_out(e, keeper.on_pin_release(*released, now()));
        }
    }

    void carry_out(std::uint32_t e, const slot_controller_decisions& list) {
        for (const slot_controller_decision& it : list) {
            if (const auto* sent = std::get_if<send_to_daemon>(&it)) {
                const std::uint32_t n = number_in(sent->to.vm.str());
                post(e, n, [this, n, body = sent->body] {
                    carry_out(n, routers_[n]->on_message(body, now()));
                });
            } else if (const auto* store = std::get_if<send_to_weight_store>(&it)) {
                post(e, 0, [this, body = store->body] { at_budget(body); });
            } else {
                order(e, std::get<send_engine_order>(it).order);
            }
        }
    }

    void order(std::uint32_t e, const engine_order& it) {
        const std::uint32_t adapter = number_in(it.adapter.adapter.str());
        const auto answer = [this, e, it] {
            const order_result done{it, order_outcome::done, "run-1"};
            carry_out(e, keepers_[e]->on_order_result(done, now()));
        };
        if (it.kind == order_kind::load) {
            world_.store.load([this, e, adapter, answer] {
                world_.engines[e]->add_adapter(adapter);
                answer();
            });
            return;
        }
        world_.events.after(zone_delay, [this, e, adapter, answer] {
            world_.engines[e]->drop_adapter(adapter);
            answer();
        });
    }

    void at_budget(const message& body) {
        if (const auto* asked = std::get_if<permit_request>(&body)) {
            budget_->on_request(*asked, now());
        } else if (const auto* done = std::get_if<permit_done>(&body)) {
            budget_->on_done(*done);
        }
        grant();
    }

    void grant() {
        for (const load_permit& it : budget_->grant(now())) {
            const std::uint32_t e = number_in(it.endpoint.str());
            post(0, e, [this, e, it] { carry_out(e, keepers_[e]->on_permit(it, now())); });
        }
    }

    void tick() {
        grant();
        for (std::uint32_t n = 0; n < daemon_count; ++n) {
            carry_out(n, routers_[n]->tick(now()));
        }
        for (std::uint32_t e = 0; e < engine_count; ++e) {
            carry_out(e, keepers_[e]->tick(now()));
        }
        world_.events.after(tick_interval, [this] { tick(); });
    }

    void report() {
        ++sequence_;
        for (std::uint32_t e = 0; e < engine_count; ++e) {
            const engine_model& engine = *world_.engines[e];
            engine_report it{engine_name(e),   "run-1",         sequence_,
                             engine.running(), engine.queued(), {}};
            for (const auto& [adapter, since] : engine.loaded_at()) {
                it.adapters.push_back(
                    {ref_of(adapter), reported_state::loaded, engine.active(adapter)});
            }
            world_.events.after(report_lag,
                                [this, e, it] { carry_out(e, keepers_[e]->on_report(it, now())); });
        }
        world_.events.after(report_interval, [this] { report(); });
    }

    world& world_;
    std::mt19937_64 random_;
    bool regions_known_;
    std::unique_ptr<load_budget> budget_;
    std::vector<std::unique_ptr<slot_controller>> keepers_;
    std::vector<std::unique_ptr<router>> routers_;
    std::vector<job*> jobs_;
    std::vector<std::uint32_t> daemon_of_;
    std::map<const job*, request_id> numbers_;
    std::uint64_t sequence_ = 0;
    std::uint64_t control_bytes_ = 0;
    std::uint64_t control_messages_ = 0;
};

}  // namespace

std::unique_ptr<policy> make_fleet_policy(world& where, std::uint64_t seed, bool regions_known) {
    return std::make_unique<fleet_policy>(where, seed, regions_known);
}

}  // namespace radishpulley::measure
