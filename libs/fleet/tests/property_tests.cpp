#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

#include "base/digest.h"
#include "fleet_standins/agent_network.h"
#include "keys/key_authenticator.h"

using namespace radishpulley;
using namespace radishpulley::fleet_standins;
using namespace std::chrono_literals;

namespace {

constexpr duration withdrawal_limit = 3s;
constexpr std::uint64_t seed_count = 150;
constexpr int steps_per_seed = 60;
constexpr std::size_t vm_count = 7;

// Odd seeds run with short holds, under which more tickets are accepted between the faults.
fleet::fleet_settings settings_for(std::uint64_t seed) {
    fleet::fleet_settings it;
    if (seed % 2 == 1) {
        it.freshness.hold_duration = 5s;
        it.freshness.hold_refresh_interval = 1500ms;
    }
    return it;
}

// What an operator was told, or what was seen in force.
struct told_ticket {
    model::ticket_number number = 0;
    time_point when;
};

// Watches a fleet and collects every breach of what must hold.
class invariants {
public:
    // An operator was told that the ticket is accepted.
    void accepted(model::ticket_number number, time_point now) { told_.push_back({number, now}); }

    // A process has a configuration, and serves keyed requests by it or not.
    void saw(const vm_id& vm, incarnation_number process, model::ticket_number number,
             bool is_serving, time_point now) {
        model::ticket_number& last = last_seen_[{vm, process}];
        if (number < last) {
            breaches_.insert("reverted");
        }
        last = number;
        for (const told_ticket& it : told_) {
            if (is_serving && number < it.number && now - it.when > withdrawal_limit) {
                breaches_.insert("served by a withdrawn key");
            }
        }
    }

    // All faults have ended for long enough.
    void settled(const std::vector<model::ticket_number>& in_force, const tickets::head& at) {
        for (const model::ticket_number number : in_force) {
            if (number != at.number) {
                breaches_.insert("did not converge");
            }
        }
        for (const told_ticket& it : told_) {
            const bool kept = std::any_of(
                at.history.begin(), at.history.end(),
                [&](const tickets::accepted_ticket& entry) { return entry.number == it.number; });
            if (!kept) {
                breaches_.insert("lost an accepted ticket");
            }
        }
    }

    const std::set<std::string>& breaches() const { return breaches_; }
    std::size_t accepted_count() const { return told_.size(); }

private:
    std::vector<told_ticket> told_;
    std::map<vm_incarnation, model::ticket_number> last_seen_;
    std::set<std::string> breaches_;
};

model::ticket next_ticket(model::ticket_number number, std::uint64_t author) {
    model::ticket it;
    it.number = number;
    it.set.emplace_back(model::client_account{client_account_id("care-home"), 1, 100, 1});
    const std::string digest = keys::key_digest("secret", std::to_string(author));
    it.set.emplace_back(model::key{key_id("k" + std::to_string(author % 3)),
                                   client_account_id("care-home"), digest});
    return it;
}

// One random schedule of changes and faults.
class schedule {
public:
    schedule(std::uint64_t seed, fleet::fleet_settings settings)
        : random_(seed), net_(settings, with_seed(seed)) {
        net_.on_tick([this] { watch(); });
        net_.add_vms(make_vms(vm_count, 3, 2));
        net_.run_for(settings.freshness.hold_duration + 2s);
    }

    void run() {
        for (int n = 0; n < steps_per_seed; ++n) {
            step();
            net_.run_for(std::chrono::milliseconds(pick(3000)));
        }
        heal();
        net_.run_for(15s);
        std::vector<model::ticket_number> numbers;
        for (const node* it : net_.running()) {
            numbers.push_back(it->agent->in_force().at.number);
        }
        const auto held = net_.api().get(tickets::head_object);
        const auto* found = std::get_if<object_api::object>(&held);
        seen_.settled(numbers,
                      found == nullptr ? tickets::head{} : tickets::parse_head(found->value));
    }

    const invariants& seen() const { return seen_; }

private:
    static network_settings with_seed(std::uint64_t seed) {
        network_settings it;
        it.seed = seed;
        it.loss = 0.01;
        return it;
    }

    std::uint64_t pick(std::uint64_t n) { return random_() % n; }
    vm_id any_vm() {
        auto it = net_.nodes().begin();
        std::advance(it, pick(net_.nodes().size()));
        return it->first;
    }

    void watch() {
        for (const node* it : net_.running()) {
            if (it->is_paused) {
                continue;
            }
            const bool is_serving =
                !std::holds_alternative<keys::refuse_keyed>(it->agent->serving(net_.now()));
            seen_.saw(it->entry.vm, it->incarnation, it->agent->in_force().at.number, is_serving,
                      net_.now());
        }
    }

    // Two operators at once, who at times use the same number, and one who repeats a ticket.
    void offer() {
        const model::ticket first = next_ticket(++number_, pick(1000));
        const model::ticket second = next_ticket(number_ + pick(2), pick(1000));
        number_ = std::max(number_, second.number);
        if (pick(4) == 0) {
            net_.api().inject({standins::store_fault::none, standins::store_fault::none,
                               standins::store_fault::lost_answer});
        }
        offer_through(first);
        offer_through(second);
        offer_through(pick(3) == 0 ? next_ticket(pick(number_) + 1, 1) : first);
    }

    void offer_through(const model::ticket& it) {
        for (int n = 0; n < 3; ++n) {
            const bool taken =
                net_.offer(any_vm(), it, [this, number = it.number](const auto& result) {
                    if (std::holds_alternative<tickets::accepted>(result)) {
                        seen_.accepted(number, net_.now());
                    }
                });
            if (taken) {
                return;
            }
        }
    }

    // Ends a fault more often than it begins one, so that tickets are accepted in between.
    void flip(bool& fault) { fault = fault ? pick(3) == 0 : pick(3) != 0; }

    void step() {
        node& it = net_.nodes().at(any_vm());
        const vm_id vm = it.entry.vm;
        if (it.is_replaced) {
            return offer();
        }
        if (is_down_ && pick(4) == 0) {
            is_down_ = false;
            net_.set_api_down(false);
        }
        switch (pick(16)) {
            case 0:
                is_down_ = true;
                net_.set_api_down(true);
                return;
            case 1:
                return flip(it.is_cut_from_api);
            case 2:
                return flip(it.is_cut_from_peers);
            case 3:
                return net_.silence(vm, any_vm());
            case 4:
                it.is_paused ? net_.resume(vm) : net_.pause(vm);
                return;
            case 5:
                it.agent ? net_.stop(vm) : net_.start(vm);
                return;
            case 6:
                it.agent ? net_.vanish(vm) : net_.start(vm);
                return;
            case 7:
                return net_.api().forget_changes();
            case 8:
                return repair_one();
            case 9:
                return replace(it);
            default:
                offer();
        }
    }

    // Another VM takes the place of one; the others learn of both when they read the list.
    void replace(node& old) {
        const vm_id gone = old.entry.vm;
        object_api::vm_entry entry = old.entry;
        entry.vm = vm_id("vm-r" + std::to_string(++replaced_));
        net_.vanish(gone);
        net_.unlist(gone);
        net_.nodes().at(gone).is_replaced = true;
        net_.add_vms({entry});
        net_.read_vm_list(any_vm());
    }

    void repair_one() {
        for (auto& [vm, it] : net_.nodes()) {
            if (it.is_replaced) {
                continue;
            }
            if (!it.agent) {
                return net_.start(vm);
            }
            if (it.is_paused) {
                return net_.resume(vm);
            }
            it.is_cut_from_api = false;
            it.is_cut_from_peers = false;
        }
    }

    void heal() {
        net_.set_api_down(false);
        net_.api().inject({});
        for (auto& entry : net_.nodes()) {
            node& it = entry.second;
            it.is_cut_from_api = false;
            it.is_cut_from_peers = false;
            if (it.is_replaced) {
                continue;
            }
            if (!it.agent) {
                net_.start(entry.first);
            } else if (it.is_paused) {
                net_.resume(entry.first);
            }
            net_.read_vm_list(entry.first);
        }
    }

    std::mt19937_64 random_;
    agent_network net_;
    invariants seen_;
    model::ticket_number number_ = 0;
    std::size_t replaced_ = 0;
    bool is_down_ = false;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(property_suite)

BOOST_AUTO_TEST_CASE(random_faults_break_no_promise) {
    std::size_t accepted = 0;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        schedule it(seed, settings_for(seed));
        it.run();
        accepted += it.seen().accepted_count();
        for (const std::string& breach : it.seen().breaches()) {
            BOOST_ERROR("seed " << seed << ": " << breach);
        }
    }
    BOOST_TEST_MESSAGE("tickets accepted in all: " << accepted);
    BOOST_TEST(accepted > seed_count);
}

// The checker must find rules that are too weak.
BOOST_AUTO_TEST_CASE(weakened_rules_are_found_out) {
    const auto finds = [](const auto& weaken) {
        for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
            fleet::fleet_settings settings = settings_for(seed);
            weaken(settings.freshness);
            schedule it(seed, settings);
            it.run();
            if (it.seen().breaches().count("served by a withdrawn key") != 0) {
                return true;
            }
        }
        return false;
    };
    BOOST_TEST(finds([](keys::freshness_settings& it) { it.max_evidence_age = 20s; }));
    // A VM that commits at once although others still count on its hold.
    BOOST_TEST(finds([](keys::freshness_settings& it) { it.hold_margin = -it.hold_duration; }));
}

BOOST_AUTO_TEST_CASE(planted_breaches_are_found_out) {
    const time_point now(1h);
    invariants reverted;
    reverted.saw(vm_id("a"), 1, 5, true, now);
    reverted.saw(vm_id("a"), 1, 4, true, now);
    BOOST_TEST(reverted.breaches().count("reverted") == 1);
    invariants lost;
    lost.accepted(5, now);
    lost.settled({4}, tickets::head{});
    BOOST_TEST(lost.breaches().count("lost an accepted ticket") == 1);
    BOOST_TEST(lost.breaches().count("did not converge") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
