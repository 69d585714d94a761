// Load pattern: 40 adapters are used at random at one engine with 8 places, by more requests than
// it can load adapters for, of two classes and of all sizes.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <list>
#include <map>
#include <random>

#include "routing/engine_controller.h"

namespace radishpulley::routing {
namespace {

using namespace std::chrono_literals;

constexpr duration step = 10ms;
constexpr duration played = 120s;
constexpr duration patience = 2s;
constexpr duration longest_wait = 1'500ms;
constexpr duration report_interval = 400ms;
constexpr int adapter_count = 40;
// Requests per second.
constexpr double overload = 30;
constexpr double heavy_overload = 90;
constexpr int high_class = 0;
constexpr int low_class = 2;
constexpr duration large_work = 460ms;

struct request {
    request_number number = 0;
    model_ref adapter;
    int priority = high_class;
    duration work{};
    time_point arrived{};
    time_point ends{};
    time_point stated_end{};
};

struct tally {
    int asked = 0;
    int served = 0;

    double share() const { return static_cast<double>(served) / std::max(1, asked); }
};

// What the load requests of a play state of their requests.
enum class stated { rank, nothing };

// What the usage reports of a play state of the ends of uses: the true ends, ends that are wrong by
// up to a factor of four in both directions, or none.
enum class stated_ends { right, wrong, none };

class overloaded_engine {
public:
    overloaded_engine(double rate, stated by, stated_ends ends)
        : rate_(rate),
          by_(by),
          ends_(ends),
          controller_(endpoint_id("e"), capacity(), load_times_) {
        engine_report report;
        report.models = {{"m", 1, {}}};
        controller_.on_report(report, now_);
    }

    void play() {
        const time_point end = now_ + played;
        for (; now_ < end; now_ += step) {
            arrive();
            give_orders();
            start_runs();
            end_runs();
        }
    }

    const tally& of_class(int priority) { return by_class_[priority]; }
    const tally& all() const { return all_; }
    const tally& large() const { return large_; }

private:
    static engine_capacity capacity() {
        engine_capacity out;
        out.max_adapters = 8;
        out.weights_mb = 1'000;
        out.models = {{"m", 500, 10, std::chrono::milliseconds(600)}};
        return out;
    }

    void count(const request& it, int tally::*what) {
        ++(by_class_[it.priority].*what);
        ++(all_.*what);
        if (it.work >= large_work) {
            ++(large_.*what);
        }
    }

    void arrive() {
        const double per_step = rate_ * std::chrono::duration<double>(step).count();
        if (std::uniform_real_distribution<>(0, 1)(random_) >= per_step) {
            return;
        }
        const int adapter = std::uniform_int_distribution<>(1, adapter_count)(random_);
        const int work_ms = std::uniform_int_distribution<>(10, 510)(random_);
        const bool is_high = std::bernoulli_distribution(0.3)(random_);
        const request it{++last_number_,
                         {"m", std::to_string(adapter)},
                         is_high ? high_class : low_class,
                         std::chrono::milliseconds(work_ms),
                         now_,
                         {}};
        count(it, &tally::asked);
        load_applicant applicant;
        if (by_ == stated::rank) {
            applicant = {vm_id("v"), it.number, {it.priority, patience, it.work, 0s}};
        }
        const auto response =
            controller_.on_load_request(it.adapter, 0, now_, longest_wait, applicant);
        if (std::holds_alternative<load_granted>(response)) {
            waiting_.push_back(it);
        }
    }

    void give_orders() {
        while (const auto order = controller_.next_order(now_)) {
            const bool is_load = order->kind == order_kind::load;
            const auto change = controller_.on_outcome(
                is_load ? order_outcome::accepted : order_outcome::already_holds, 0, now_);
            usable_at_.erase(order->target);
            if (is_load) {
                usable_at_[order->target] = now_ + change->ready_in;
            }
        }
        controller_.advance(now_);
    }

    void start_runs() {
        for (auto it = waiting_.begin(); it != waiting_.end();) {
            const auto usable = usable_at_.find(it->adapter);
            if (usable != usable_at_.end() && usable->second <= now_) {
                count(*it, &tally::served);
                it->ends = now_ + it->work;
                it->stated_end = now_ + stated_duration(*it);
                controller_.on_use(it->adapter, now_);
                running_.push_back(*it);
                report();
                it = waiting_.erase(it);
            } else {
                it = now_ - it->arrived > longest_wait ? waiting_.erase(it) : std::next(it);
            }
        }
    }

    duration stated_duration(const request& it) {
        if (ends_ != stated_ends::wrong) {
            return it.work;
        }
        const double factor = std::exp2(std::uniform_real_distribution<>(-2, 2)(errors_));
        return std::chrono::duration_cast<duration>(it.work * factor);
    }

    void end_runs() {
        running_.remove_if([&](const request& it) { return it.ends <= now_; });
        if (now_ - reported_at_ >= report_interval) {
            report();
        }
    }

    void report() {
        std::map<model_ref, duration> ends;
        for (const request& it : running_) {
            ends[it.adapter] = std::max(ends[it.adapter], it.stated_end - now_);
        }
        std::vector<running_adapter> out;
        for (const auto& [adapter, ends_in] : ends) {
            const bool has_end = ends_ != stated_ends::none;
            out.push_back({adapter, has_end ? std::optional<duration>(ends_in) : std::nullopt});
        }
        controller_.on_running(vm_id("v"), out, now_);
        reported_at_ = now_;
    }

    double rate_;
    stated by_;
    stated_ends ends_;
    adapter_load_times load_times_;
    time_point now_{std::chrono::hours(1)};
    engine_controller controller_;
    std::mt19937 random_{7};
    std::mt19937 errors_{11};
    request_number last_number_ = 0;
    std::map<model_ref, time_point> usable_at_;
    std::list<request> waiting_;
    std::list<request> running_;
    time_point reported_at_{};
    std::map<int, tally> by_class_;
    tally all_;
    tally large_;
};

void print(const std::string& name, overloaded_engine& it) {
    BOOST_TEST_MESSAGE(name << ": all " << it.all().share() << ", high "
                            << it.of_class(high_class).share() << ", low "
                            << it.of_class(low_class).share() << ", large " << it.large().share()
                            << " of " << it.all().asked);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(adapter_overload_tests)

// Guards against a class of the highest value that is refused as often as the cheapest one, against
// large requests that are served less than small ones, and against refusals while places end soon.
BOOST_AUTO_TEST_CASE(two_classes_and_all_sizes_at_an_engine_with_too_few_places) {
    for (const double rate : {overload, heavy_overload}) {
        overloaded_engine ranked(rate, stated::rank, stated_ends::right);
        ranked.play();
        print("ranked", ranked);
        overloaded_engine equal(rate, stated::nothing, stated_ends::right);
        equal.play();
        print("equal", equal);
        overloaded_engine without_ends(rate, stated::nothing, stated_ends::none);
        without_ends.play();
        print("equal, without ends", without_ends);
        BOOST_TEST(ranked.of_class(high_class).share() >= ranked.of_class(low_class).share());
        BOOST_TEST(ranked.large().share() >= 0.8 * ranked.all().share());
        BOOST_TEST(ranked.of_class(high_class).share() > equal.of_class(high_class).share());
        BOOST_TEST(ranked.all().share() > without_ends.all().share());
    }
}

// Guards against expected ends that do more harm than good because callers' estimates of their
// output are often far off.
BOOST_AUTO_TEST_CASE(expected_ends_that_are_wrong_by_a_factor_of_four) {
    for (const double rate : {overload, heavy_overload}) {
        overloaded_engine wrong(rate, stated::rank, stated_ends::wrong);
        wrong.play();
        print("wrong ends", wrong);
        overloaded_engine without_ends(rate, stated::rank, stated_ends::none);
        without_ends.play();
        print("no ends", without_ends);
        BOOST_TEST(wrong.all().share() > without_ends.all().share());
        BOOST_TEST(wrong.of_class(high_class).share() >= wrong.of_class(low_class).share());
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
