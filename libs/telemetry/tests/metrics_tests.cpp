#include "telemetry/metrics.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <numeric>
#include <random>
#include <thread>

#include "telemetry/request_metrics.h"

using namespace radishpulley;
using namespace radishpulley::telemetry;
using std::chrono::milliseconds;

namespace {

bool holds_line(const std::string& text, const std::string& line) {
    return text.find("\n" + line + "\n") != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_CASE(metrics_are_written_in_the_exposition_format) {
    registry metrics;
    request_metrics requests(metrics);
    requests.count_refusal(client_account_id("a\"b\\c\n"), "rate", "not_run");
    metrics.add_gauges("queue_length", "Queued requests.", {}).with({}).set(2.5);
    histogram& times =
        requests.times(request_stage::queue_wait, client_account_id("acme"), "model");
    times.record(milliseconds(3));
    times.record(milliseconds(1000));
    times.record(std::chrono::hours(1));
    const std::string text = metrics.to_text();
    const std::string labels = "{account=\"acme\",class=\"model\"";
    for (const std::string& line :
         {std::string("# HELP radishpulley_queue_length Queued requests."),
          std::string("# TYPE radishpulley_queue_length gauge"),
          std::string("radishpulley_queue_length 2.5"),
          std::string("radishpulley_refusals_total{account=\"a\\\"b\\\\c\\n\",cause=\"rate\","
                      "outcome=\"not_run\"} 1"),
          std::string("# TYPE radishpulley_queue_wait_seconds histogram"),
          "radishpulley_queue_wait_seconds_bucket" + labels + ",le=\"0.0025\"} 0",
          "radishpulley_queue_wait_seconds_bucket" + labels + ",le=\"0.005\"} 1",
          "radishpulley_queue_wait_seconds_bucket" + labels + ",le=\"1\"} 2",
          "radishpulley_queue_wait_seconds_bucket" + labels + ",le=\"+Inf\"} 3",
          "radishpulley_queue_wait_seconds_sum" + labels + "} 3601.003",
          "radishpulley_queue_wait_seconds_count" + labels + "} 3"}) {
        BOOST_TEST(holds_line(text, line), line << " is not in\n" << text);
    }
}

BOOST_AUTO_TEST_CASE(quantiles_are_near_the_exact_ones) {
    constexpr unsigned seed = 1;
    std::vector<int> values(10'000);
    std::iota(values.begin(), values.end(), 1);
    std::shuffle(values.begin(), values.end(), std::mt19937(seed));
    histogram it;
    for (const int value : values) {
        it.record(milliseconds(value));
    }
    const auto quantiles = it.summary().quantiles;
    BOOST_REQUIRE_EQUAL(quantiles.size(), 3);
    BOOST_TEST_CONTEXT("seed " << seed) {
        BOOST_CHECK_CLOSE(quantiles[0], 5.0, 2);
        BOOST_CHECK_CLOSE(quantiles[1], 9.5, 2);
        BOOST_CHECK_CLOSE(quantiles[2], 9.9, 2);
    }
}

BOOST_AUTO_TEST_CASE(labels_past_the_bound_share_one_series) {
    registry metrics;
    auto& family = metrics.add_counters("requests_total", "Requests.", {"account"});
    for (std::size_t i = 0; i < max_label_values + 10; ++i) {
        family.with({"a" + std::to_string(i)}).add();
    }
    family.with({"a0"}).add();
    const std::string text = metrics.to_text();
    BOOST_TEST(holds_line(text, "radishpulley_requests_total{account=\"a0\"} 2"));
    BOOST_TEST(holds_line(text, "radishpulley_requests_total{account=\"other\"} 10"));
    BOOST_TEST(text.find("a256") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(wrong_names_and_label_counts_are_refused) {
    registry metrics;
    auto& family = metrics.add_counters("requests_total", "Requests.", {"account"});
    BOOST_CHECK_THROW(metrics.add_gauges("requests_total", "", {}), std::logic_error);
    BOOST_CHECK_THROW(metrics.add_gauges("Requests", "", {}), std::logic_error);
    BOOST_CHECK_THROW(family.with({"a", "b"}), std::logic_error);
}

BOOST_AUTO_TEST_CASE(no_record_is_lost_between_threads) {
    constexpr int thread_count = 4;
    constexpr int record_count = 1000;
    registry metrics;
    auto& counters = metrics.add_counters("requests_total", "Requests.", {"account"});
    auto& histograms = metrics.add_histograms("wait_seconds", "Waits.", {"account"});
    std::vector<std::thread> threads;
    for (int i = 0; i < thread_count; ++i) {
        threads.emplace_back([&] {
            for (int n = 0; n < record_count; ++n) {
                const std::string account = "a" + std::to_string(n % 7);
                counters.with({account}).add();
                histograms.with({"one"}).record(milliseconds(n));
            }
        });
    }
    for (std::thread& it : threads) {
        it.join();
    }
    std::uint64_t sum = 0;
    for (int n = 0; n < 7; ++n) {
        sum += counters.with({"a" + std::to_string(n)}).value();
    }
    BOOST_TEST(sum == thread_count * record_count);
    BOOST_TEST(histograms.with({"one"}).summary().count == thread_count * record_count);
}
