// Measures what a request's life costs and what its bounds give.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <chrono>
#include <deque>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "idempotency/once_guard.h"
#include "requests/admission_queue.h"
#include "requests/request_machine.h"
#include "requests/retry_budget.h"
#include "standins/memory_object_store.h"

ABSL_FLAG(std::uint64_t, seed, 1, "seed of all measurements");
ABSL_FLAG(bool, check, false, "exit with 1 where a target is missed");

namespace {

using namespace radishpulley;
using namespace radishpulley::requests;
using namespace std::chrono_literals;

// Prints one target and remembers whether it was missed.
class targets {
public:
    void at_most(const std::string& name, double value, double bound) {
        const bool met = value <= bound;
        missed_ = missed_ || !met;
        std::cout << (met ? "  met     " : "  MISSED  ") << name << ": " << value << ", at most "
                  << bound << "\n";
    }
    bool missed() const { return missed_; }

private:
    bool missed_ = false;
};

constexpr double writes_per_keyed_call = 2;

void measure_records(targets& all) {
    constexpr int calls = 1000;
    standins::memory_object_store store;
    virtual_clock clock;
    idempotency::guard_limits limits;
    limits.call_burst = 2 * calls;
    idempotency::once_guard guard(store, {vm_id("vm"), 1}, limits);
    const std::string content = idempotency::fingerprint_of("POST", "/payments", "{}");
    std::size_t started_bytes = 0;
    std::size_t finished_bytes = 0;
    for (int i = 0; i < calls; ++i) {
        const idempotency::keyed_call call{client_account_id("a"), std::to_string(i), content,
                                           request_id(std::to_string(i))};
        const auto permit = std::get<idempotency::run_permit>(guard.begin(call, 1, clock.now()));
        started_bytes += idempotency::to_text(permit.content).size();
        guard.finish(permit, {201, "application/json", std::string(200, 'x'), true}, clock.now());
    }
    const auto first = store.counts();
    for (int i = 0; i < calls; ++i) {
        const auto name = idempotency::record_name(client_account_id("a"), std::to_string(i));
        finished_bytes += std::get<object_api::object>(store.get(name)).value.size();
    }
    const auto before_repeats = store.counts();
    for (int i = 0; i < calls; ++i) {
        const idempotency::keyed_call call{client_account_id("a"), std::to_string(i), content,
                                           request_id("again" + std::to_string(i))};
        guard.begin(call, 1, clock.now());
    }
    const auto second = store.counts();
    std::cout << "records: a keyed call makes " << double(first.writes) / calls << " writes and "
              << double(first.reads) / calls << " reads before its expiry, a repeat "
              << double(second.writes - before_repeats.writes) / calls << " writes and "
              << double(second.reads - before_repeats.reads) / calls << " reads\n"
              << "records: " << double(started_bytes) / calls << " bytes when started, "
              << double(finished_bytes) / calls << " with an answer of 200 bytes\n";
    all.at_most("writes of a keyed call", double(first.writes) / calls, writes_per_keyed_call);
}

struct storm {
    std::size_t requests = 0;
    std::size_t retries = 0;
    std::size_t answered = 0;
};

// Endpoints fail each attempt with a probability; a request has three attempts.
storm run_storm(double failing, bool with_budget, std::uint64_t seed) {
    constexpr std::size_t requests = 20'000;
    constexpr attempt_number max_attempts = 3;
    std::mt19937_64 random(seed);
    std::bernoulli_distribution fails(failing);
    retry_budget budget(retry_limits(), seed);
    storm sum;
    for (std::size_t i = 0; i < requests; ++i) {
        ++sum.requests;
        budget.count_request();
        const request_id id(std::to_string(i));
        for (attempt_number n = 1; n <= max_attempts; ++n) {
            if (!fails(random)) {
                ++sum.answered;
                break;
            }
            const bool may_go_on = n < max_attempts && (!with_budget || budget.try_spend(id, n));
            if (!may_go_on) {
                break;
            }
            ++sum.retries;
        }
    }
    return sum;
}

void measure_retries(targets& all, std::uint64_t seed) {
    std::cout << "retries: attempts sent per 1,000 requests, and requests answered\n";
    for (const double failing : {0.01, 0.1, 0.5, 1.0}) {
        const storm bounded = run_storm(failing, true, seed);
        const storm free = run_storm(failing, false, seed);
        const auto per_1000 = [](const storm& it) {
            return 1000.0 * double(it.requests + it.retries) / double(it.requests);
        };
        std::cout << "  failing " << failing << ": with the budget " << per_1000(bounded) << ", "
                  << bounded.answered << " answered; without " << per_1000(free) << ", "
                  << free.answered << " answered\n";
        const retry_limits limits;
        all.at_most("retries", double(bounded.retries),
                    limits.capacity + limits.ratio * double(bounded.requests));
    }
}

struct overload {
    std::size_t offered = 0;
    std::size_t refused_early = 0;
    std::size_t in_time = 0;
    std::size_t too_late = 0;
};

// One account offers `load` times what is served, in bursts; requests have a deadline of 2 s.
overload run_overload(double load, std::size_t burst, bool by_deadline, std::uint64_t seed) {
    constexpr double served_a_second = 50;
    constexpr duration deadline = 2s;
    constexpr duration span = 120s;
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> arrival(served_a_second * load / double(burst));
    virtual_clock clock;
    admission_limits limits;
    limits.max_waiting_per_account = 256;
    admission_queue queue(limits);
    const client_account_id account("account");
    std::deque<std::pair<request_id, time_point>> order;
    overload sum;
    const time_point end = clock.now() + span;
    const auto seconds = [](double s) {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(s));
    };
    time_point next_arrival = clock.now() + seconds(arrival(random));
    time_point next_start = clock.now();
    while (clock.now() < end) {
        clock.advance(std::min(next_arrival, next_start) - clock.now());
        const time_point now = clock.now();
        if (now == next_arrival) {
            next_arrival = now + seconds(arrival(random));
            for (std::size_t i = 0; i < burst; ++i) {
                const request_id id(std::to_string(sum.offered++));
                const time_point asked = by_deadline ? now + deadline : now + span;
                if (std::holds_alternative<enqueue_refused>(
                        queue.try_enqueue(id, account, asked, 1, now))) {
                    ++sum.refused_early;
                } else {
                    order.emplace_back(id, now + deadline);
                }
            }
            continue;
        }
        next_start = now + seconds(1 / served_a_second);
        if (!order.empty()) {
            const auto [id, due] = order.front();
            order.pop_front();
            queue.start(id, now);
            ++(now <= due ? sum.in_time : sum.too_late);
        }
    }
    return sum;
}

void print(const char* name, const overload& it) {
    std::cout << "    " << name << ": offered " << it.offered << ", refused early "
              << it.refused_early << ", started in time " << it.in_time << ", too late "
              << it.too_late << "\n";
}

void measure_overload(targets& all, std::uint64_t seed) {
    constexpr double late_bound = 0.01;
    std::cout << "overload: requests of 120 s by how they ended\n";
    struct row {
        double load;
        std::size_t burst;
    };
    for (const row& at : {row{0.02, 20}, row{0.3, 20}, row{0.6, 1}, row{0.9, 1}, row{1.2, 1},
                          row{2.0, 1}, row{2.0, 20}}) {
        const overload bounded = run_overload(at.load, at.burst, true, seed);
        const overload plain = run_overload(at.load, at.burst, false, seed);
        std::cout << "  load " << at.load << " in bursts of " << at.burst << "\n";
        print("by deadline", bounded);
        print("by length  ", plain);
        all.at_most("part started too late", double(bounded.too_late) / double(bounded.offered),
                    late_bound);
        all.at_most("refused or too late, against by length",
                    double(bounded.refused_early + bounded.too_late),
                    double(plain.refused_early + plain.too_late));
    }
}

// The control work of a whole stream of 200 events.
void measure_machine() {
    constexpr int requests = 2000;
    constexpr int pieces = 200;
    const virtual_clock clock;
    const auto begun = std::chrono::steady_clock::now();
    std::size_t decided = 0;
    for (int i = 0; i < requests; ++i) {
        request_machine machine({request_id("r"), repeat_policy::idempotent, clock.now() + 60s, ""},
                                request_limits());
        const auto tell = [&](event it) { decided += machine.handle(it, clock.now()).size(); };
        tell(events::validated{});
        tell(events::authenticated{});
        tell(events::admitted{});
        tell(events::endpoint_chosen{endpoint_id("e"), true});
        tell(events::connected{1});
        events::response_head head;
        head.attempt = 1;
        head.status = 200;
        head.framing = body_framing::server_sent_events;
        tell(head);
        for (int n = 0; n < pieces; ++n) {
            tell(events::chunk{1, static_cast<std::uint64_t>(n), "data: {\"token\": \"a\"}\n\n"});
        }
        tell(events::chunk{1, pieces, "data: [DONE]\n\n"});
        tell(events::response_end{1, true});
    }
    const std::chrono::duration<double, std::micro> spent =
        std::chrono::steady_clock::now() - begun;
    std::cout << "machine: " << spent.count() / requests << " us a stream of " << pieces
              << " events, " << spent.count() / requests / pieces << " us an event, "
              << sizeof(request_machine) << " bytes a request, " << decided / requests
              << " decisions a stream\n";
}

}  // namespace

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage("Measures the life of requests.");
    absl::ParseCommandLine(argc, argv);
    const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
    std::cout << "seed " << seed << "\n";
    targets all;
    measure_records(all);
    measure_retries(all, seed);
    measure_overload(all, seed);
    measure_machine();
    return absl::GetFlag(FLAGS_check) && all.missed() ? 1 : 0;
}
