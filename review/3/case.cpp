// One answer of a server has a spoilt status line; its caller must get an answer of the protocol.
#include <cctype>
#include <cstdio>

#include "small_fleet.h"

namespace {

constexpr const char* spoilt_answer =
    "HTTP/1.1 042 OK\r\nRadishpulley-Attempt-Id: %ID%\r\n"
    "Radishpulley-Response-Signature: stand-in\r\nContent-Length: 3\r\n\r\nabc";
constexpr const char* sound_answer =
    "HTTP/1.1 200 OK\r\nRadishpulley-Attempt-Id: %ID%\r\n"
    "Radishpulley-Response-Signature: stand-in\r\nContent-Length: 3\r\n\r\nabc";

// Whether the line is a status line of HTTP/1.1: three digits, of which the first is 1 to 5.
bool is_status_line(const std::string& line) {
    const std::string version = "HTTP/1.1 ";
    const std::string status = line.substr(std::min(line.size(), version.size()), 4);
    const auto is_digit = [&](std::size_t i) {
        return std::isdigit(static_cast<unsigned char>(status[i])) != 0;
    };
    return line.compare(0, version.size(), version) == 0 && status.size() == 4 &&
           status[3] == ' ' && status[0] >= '1' && status[0] <= '5' && is_digit(1) && is_digit(2);
}

int run(review::small_fleet& fleet, std::FILE* record) {
    using namespace review;
    if (!fleet.wait_until_settled()) {
        std::fprintf(record, "the daemons did not become ready\n");
        return 2;
    }
    const std::string line = first_line(check_stock(fleet, answers_per_spoilt_one, record));
    if (line.empty() || fleet.stock_answers() < answers_per_spoilt_one) {
        std::fprintf(record, "the server's answer %d was not asked for, or brought none\n",
                     answers_per_spoilt_one);
        return 2;
    }
    const bool is_broken = !is_status_line(line);
    std::fprintf(record, "the server's answer %d begins \"%s\", the caller's \"%s\"; the rule %s\n",
                 answers_per_spoilt_one,
                 first_line(has_trouble() ? spoilt_answer : sound_answer).c_str(), line.c_str(),
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
                              review::has_trouble() ? spoilt_answer : sound_answer,
                              std::chrono::milliseconds(20));
    const int status = run(fleet, record);
    std::fclose(record);
    return status;
}
