#include <boost/test/unit_test.hpp>

#include <deque>
#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "cli/commands.h"

using namespace radishpulley;
using namespace radishpulley::cli;

namespace {

// Answers the calls from a list and keeps the requests.
struct fake_fleet {
    std::deque<http::response> answers;
    std::vector<http::request> requests;
    std::ostringstream out;
    std::ostringstream errors;
    int pauses = 0;

    exit_code run(const std::vector<std::string>& words, std::uint64_t number = 0) {
        command_context context{[this](const http::request& it) {
                                    requests.push_back(it);
                                    if (answers.empty()) {
                                        return http::response{0, {}, {}};
                                    }
                                    const http::response answer = answers.front();
                                    answers.pop_front();
                                    return answer;
                                },
                                out,
                                errors,
                                output_form::table,
                                number,
                                std::chrono::milliseconds(300),
                                [this](duration) { ++pauses; }};
        return run_command(words, context);
    }
};

http::response json_answer(int status, const std::string& body) {
    return http::json_response(status, body);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(commands)

BOOST_AUTO_TEST_CASE(wrong_words_are_wrong_usage) {
    fake_fleet fleet;
    BOOST_TEST((fleet.run({}) == exit_code::usage));
    BOOST_TEST((fleet.run({"aply", "x"}) == exit_code::usage));
    BOOST_TEST((fleet.run({"apply"}) == exit_code::usage));
    BOOST_TEST((fleet.run({"wait", "seven"}) == exit_code::usage));
    BOOST_TEST(fleet.requests.empty());
}

BOOST_AUTO_TEST_CASE(apply_checks_the_ticket_before_it_is_sent) {
    fake_fleet fleet;
    const std::string path = "commands_tests_ticket.json";
    std::ofstream(path) << R"({"number": 0, "sett": {}})";
    BOOST_TEST((fleet.run({"apply", path}) == exit_code::refused));
    BOOST_TEST(fleet.requests.empty());
    BOOST_TEST(fleet.errors.str().find("sett: is not a known field") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(findings_of_the_fleet_are_printed_with_their_places) {
    fake_fleet fleet;
    fleet.answers = {json_answer(422, R"({"state": "refused", "findings":
        [{"place": "keys/k", "message": "does not exist"}]})")};
    BOOST_TEST((fleet.run({"key-create", "k", "a"}, 5) == exit_code::refused));
    BOOST_TEST(fleet.errors.str().find("keys/k: does not exist") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(change_is_sent_again_while_no_vm_can_commit) {
    fake_fleet fleet;
    fleet.answers = {json_answer(200, R"({"ticket": 6})"),
                     json_answer(503, R"({"state": "not_accepted"})"),
                     json_answer(200, R"({"state": "accepted", "number": 7})"),
                     json_answer(200, R"({"state": "rolling_out", "missing": ["vm2"]})"),
                     json_answer(200, R"({"state": "in_force", "in_force": ["vm1", "vm2"]})")};
    BOOST_TEST((fleet.run({"key-withdraw", "k"}) == exit_code::done));
    BOOST_TEST(fleet.requests[1].body == fleet.requests[2].body);
    BOOST_TEST(nlohmann::json::parse(fleet.requests[1].body)["number"] == 7);
    BOOST_TEST(fleet.out.str().find("in force on all 2 VMs") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(wait_names_the_missing_vms) {
    fake_fleet fleet;
    for (int i = 0; i < 10; ++i) {
        fleet.answers.push_back(
            json_answer(200, R"({"state": "rolling_out", "missing": ["vm2"]})"));
    }
    BOOST_TEST((fleet.run({"wait", "7"}) == exit_code::not_in_time));
    BOOST_TEST(fleet.errors.str().find("missing: vm2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(unknown_outcome_is_told_as_unknown) {
    fake_fleet fleet;
    fleet.answers = {json_answer(504, R"({"state": "unknown"})")};
    BOOST_TEST((fleet.run({"key-create", "k", "a"}, 5) == exit_code::not_in_time));
    BOOST_TEST(fleet.errors.str().find("not known") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(no_answer_is_not_a_refusal) {
    fake_fleet fleet;
    BOOST_TEST((fleet.run({"status"}) == exit_code::unavailable));
}

BOOST_AUTO_TEST_SUITE_END()
