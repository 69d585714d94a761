// A server states an absurd length of one answer, while other callers wait for their deposits.
#include <cstdio>

#include "small_fleet.h"

namespace {

constexpr int callers_per_vm = 6;
constexpr std::chrono::milliseconds deposit_time{400};
// Closed connections that the rule allows.
constexpr int allowed_losses = 3;

constexpr const char* spoilt_answer =
    "HTTP/1.1 200 OK\r\nRadishpulley-Attempt-Id: %ID%\r\n"
    "Radishpulley-Response-Signature: stand-in\r\nContent-Length: 4000000000000000000\r\n\r\nabc";
constexpr const char* sound_answer =
    "HTTP/1.1 200 OK\r\nRadishpulley-Attempt-Id: %ID%\r\n"
    "Radishpulley-Response-Signature: stand-in\r\nContent-Length: 3\r\n\r\nabc";

int run(review::small_fleet& fleet, std::FILE* record) {
    using namespace review;
    if (!fleet.wait_until_settled()) {
        std::fprintf(record, "the daemons did not become ready\n");
        return 2;
    }
    std::vector<std::unique_ptr<caller>> callers;
    std::vector<std::string> ids;
    for (const vm& it : fleet.vms()) {
        for (int n = 0; n < callers_per_vm; ++n) {
            callers.push_back(std::make_unique<caller>(it.callers));
            ids.push_back(it.name + "-deposit-" + std::to_string(n));
        }
    }
    check_stock(fleet, answers_per_spoilt_one - 1, record);
    // The first request makes each connection a kept one.
    for (std::size_t i = 0; i < callers.size(); ++i) {
        callers[i]->send(request_text("POST", "/deposit/1", ids[i] + "-a"));
    }
    for (std::size_t i = 0; i < callers.size(); ++i) {
        const std::string line = first_line(callers[i]->receive());
        std::fprintf(record, "%s-a: answered \"%s\"\n", ids[i].c_str(), line.c_str());
        if (line.rfind("HTTP/1.1 200", 0) != 0) {
            return 2;
        }
    }
    for (std::size_t i = 0; i < callers.size(); ++i) {
        callers[i]->send(request_text("POST", "/deposit/1", ids[i] + "-b"));
    }
    std::this_thread::sleep_for(deposit_time / 4);
    check_stock(fleet, answers_per_spoilt_one, record);
    if (fleet.stock_answers() < answers_per_spoilt_one) {
        std::fprintf(record, "the server's answer %d was not asked for\n", answers_per_spoilt_one);
        return 2;
    }
    int lost = 0;
    for (std::size_t i = 0; i < callers.size(); ++i) {
        const std::string line = first_line(callers[i]->receive());
        const unsigned runs = fleet.runs(ids[i] + "-b");
        const bool is_lost = line.empty() && callers[i]->is_closed() && runs > 0;
        lost += is_lost ? 1 : 0;
        std::fprintf(record, "%s-b: ran %u times, %s\n", ids[i].c_str(), runs,
                     is_lost ? "connection closed without an answer" : line.c_str());
    }
    for (const vm& it : fleet.vms()) {
        const bool has_ended = it.process->has_ended();
        std::fprintf(record, "%s: process %s\n", it.name.c_str(),
                     has_ended ? "has ended by itself" : "runs");
        std::ifstream log(it.log);
        for (std::string line; has_ended && std::getline(log, line);) {
            if (line.rfind("radishpulleyd:", 0) == 0) {
                std::fprintf(record, "%s: its last words: %s\n", it.name.c_str(), line.c_str());
            }
        }
    }
    const bool is_broken = lost > allowed_losses;
    std::fprintf(record, "requests that ran and were lost: %d; the rule %s\n", lost,
                 is_broken ? "was broken" : "held");
    return is_broken ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
    std::FILE* const record = argc == 4 ? std::fopen(argv[3], "w") : nullptr;
    if (record == nullptr) {
        return 2;
    }
    review::small_fleet fleet(argv[1], argv[2],
                              review::has_trouble() ? spoilt_answer : sound_answer, deposit_time);
    const int status = run(fleet, record);
    std::fclose(record);
    return status;
}
