// Limits of client accounts while VMs are cut off from each other.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <numeric>
#include <random>
#include <vector>

#include "partitioned_fleet.h"

namespace radishpulley::routing {
namespace {

using namespace testing;
using std::chrono::milliseconds;

constexpr double rate = 80'000;
constexpr int status_interval_ms = 400;
constexpr int window_ms = 8'000;
// Time after a change of cuts or of demand in which VMs may not have heard of it.
constexpr int settle_ms = 6'000;

limiter_settings platform_settings() {
    limiter_settings out;
    out.overdraft = 72'000 * 0.4;
    return out;
}

// The most units that were admitted in a window.
double most_in_window(const std::vector<double>& admitted) {
    double in_window = 0;
    double most = 0;
    for (std::size_t ms = 0; ms < admitted.size(); ++ms) {
        in_window += admitted[ms] - (ms >= window_ms ? admitted[ms - window_ms] : 0);
        most = std::max(most, in_window);
    }
    return most;
}

// Draws what happens to a fleet, and to which VMs the demand goes.
class drawn_trouble {
public:
    drawn_trouble(partitioned_fleet& fleet, unsigned seed)
        : fleet_(fleet), random_(seed), weights_(fleet.size(), 1.0) {}

    void step(time_point now) {
        switch (draw(7)) {
            case 0:
                cut_in_two();
                break;
            case 1:
                cut_some_ways();
                break;
            case 2:
                fleet_.heal();
                break;
            case 3:
                fleet_.stop(draw(fleet_.size()));
                break;
            case 4:
                for (std::size_t i = 0; i < fleet_.size(); ++i) {
                    if (!fleet_.runs(i)) {
                        fleet_.restart(i, now);
                    }
                }
                break;
            case 5:
                fleet_.restart(draw(fleet_.size()), now);
                break;
            default:
                for (double& it : weights_) {
                    it = draw(3) == 0 ? static_cast<double>(draw(30)) : 0.1;
                }
        }
    }

    std::size_t draw(std::size_t n) {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
    }
    double draw_size() { return std::uniform_real_distribution<double>(200, 12'000)(random_); }
    std::size_t draw_vm() {
        return std::discrete_distribution<std::size_t>(weights_.begin(), weights_.end())(random_);
    }

private:
    void cut_in_two() {
        const std::size_t side = 1 + draw(fleet_.size() - 1);
        for (std::size_t a = 0; a < side; ++a) {
            for (std::size_t b = side; b < fleet_.size(); ++b) {
                fleet_.set_cut_both_ways(a, b, true);
            }
        }
    }
    void cut_some_ways() {
        for (int i = 0; i < 6; ++i) {
            fleet_.set_cut(draw(fleet_.size()), draw(fleet_.size()), true);
        }
    }

    partitioned_fleet& fleet_;
    std::mt19937 random_;
    std::vector<double> weights_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(partitions_tests)

// Guards against a limit that is handed out twice: two of seven VMs are cut off from the others,
// and then the account's demand grows on both sides of the cut.
BOOST_AUTO_TEST_CASE(both_sides_of_a_cut_stay_within_the_limit_together) {
    for (const std::size_t cut_off : {1U, 2U, 3U}) {
        for (const double times_the_rate : {2.0, 6.0}) {
            partitioned_fleet fleet(7, rate, platform_settings());
            std::mt19937 random(7);
            std::uniform_real_distribution<double> size(200, 12'000);
            std::vector<double> admitted(30'000, 0);
            double demand = 0;
            for (int ms = 0; ms < 30'000; ++ms) {
                const time_point now = start + milliseconds(ms);
                if (ms == 6'000) {
                    for (std::size_t a = 0; a < cut_off; ++a) {
                        for (std::size_t b = cut_off; b < fleet.size(); ++b) {
                            fleet.set_cut_both_ways(a, b, true);
                        }
                    }
                }
                if (ms % status_interval_ms == 0) {
                    fleet.exchange(now);
                }
                const bool is_hot = ms >= 7'000 && ms < 25'000;
                demand += rate / 1'000 * (is_hot ? times_the_rate : 0.6);
                while (demand > 0) {
                    const double units = size(random);
                    demand -= units;
                    if (fleet.admit(random() % fleet.size(), units, now)) {
                        admitted[ms] += units;
                    }
                }
            }
            BOOST_TEST_CONTEXT(cut_off << " cut off, " << times_the_rate << " times the rate") {
                BOOST_TEST(most_in_window(admitted) <= platform_bound(rate));
                // What a cut costs stays bounded: most of the limit is still handed out.
                const double late =
                    std::accumulate(admitted.begin() + 14'000, admitted.begin() + 22'000, 0.0);
                BOOST_TEST(late >= rate * 8 * 0.85);
            }
        }
    }
}

// Guards against the same beside cuts of single ways, restarts and VMs that go, whatever the
// demand: in no window is more admitted than the platform allows.
BOOST_AUTO_TEST_CASE(drawn_cuts_and_restarts_never_exceed_the_limit) {
    for (unsigned seed = 1; seed <= 30; ++seed) {
        partitioned_fleet fleet(3 + seed % 6, rate, platform_settings());
        drawn_trouble trouble(fleet, seed);
        std::vector<double> admitted(60'000, 0);
        for (int ms = 0; ms < 60'000; ++ms) {
            const time_point now = start + milliseconds(ms);
            if (ms > 5'000 && ms % 2'500 == 0) {
                trouble.step(now);
            }
            if (ms % status_interval_ms == 0) {
                fleet.exchange(now);
            }
            if (ms % 15 == 0) {
                const std::size_t vm = trouble.draw_vm();
                const double units = trouble.draw_size();
                if (fleet.runs(vm) && fleet.admit(vm, units, now)) {
                    admitted[ms] += units;
                }
            }
        }
        BOOST_TEST_CONTEXT("seed " << seed) {
            BOOST_TEST(most_in_window(admitted) <= platform_bound(rate));
        }
    }
}

// Guards against shares that sum to more than the limit once all VMs have noticed who hears whom.
BOOST_AUTO_TEST_CASE(the_shares_of_all_vms_sum_to_at_most_the_limit_during_any_cut) {
    constexpr double tolerance = 0.02;
    for (unsigned seed = 1; seed <= 60; ++seed) {
        partitioned_fleet fleet(3 + seed % 6, rate, platform_settings());
        drawn_trouble trouble(fleet, seed);
        double most = 0;
        int changed_ms = 0;
        for (int ms = 0; ms < 60'000; ms += 20) {
            const time_point now = start + milliseconds(ms);
            if (ms % 10'000 == 0 && ms > 0) {
                trouble.step(now);
                changed_ms = ms;
            }
            if (ms % status_interval_ms == 0) {
                fleet.exchange(now);
            }
            for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
                if (fleet.runs(vm)) {
                    fleet.admit(vm, 100.0 * static_cast<double>(vm * seed % 7), now);
                }
            }
            if (ms - changed_ms > settle_ms) {
                most = std::max(most, fleet.sum_of_shares(now));
            }
        }
        BOOST_TEST_CONTEXT("seed " << seed) {
            BOOST_TEST(most <= 1 + tolerance);
        }
    }
}

// Guards against a large fleet whose VMs start together and take each other for lost for good: none
// could list all VMs that it had not heard yet.
BOOST_AUTO_TEST_CASE(vms_of_a_large_fleet_that_start_together_find_contact) {
    partitioned_fleet fleet(100, rate, platform_settings());
    for (int ms = 0; ms <= 4'000; ms += status_interval_ms) {
        fleet.exchange(start + milliseconds(ms));
    }
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        BOOST_TEST(fleet.lost_contacts(vm, start + milliseconds(4'000)) == 0U);
    }
}

// Guards against a VM that is refused its part for as long as another one is gone.
BOOST_AUTO_TEST_CASE(a_vm_that_all_others_lost_costs_no_more_than_an_equal_part) {
    partitioned_fleet fleet(7, rate, platform_settings());
    for (int ms = 0; ms < 20'000; ms += 10) {
        const time_point now = start + milliseconds(ms);
        if (ms == 6'000) {
            fleet.stop(3);
        }
        if (ms % status_interval_ms == 0) {
            fleet.exchange(now);
        }
        fleet.admit(0, 500, now);
        if (ms > 8'000) {
            BOOST_TEST(fleet.share(0, now) > 0.6);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
