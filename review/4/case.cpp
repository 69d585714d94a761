// A server's answer has a status line that is none; its caller must get an answer of the protocol.
#include <cctype>
#include <cstdio>

#include "small_fleet.h"

namespace {

// Over the platform's contactMs, so that all daemons are in touch.
constexpr std::chrono::seconds settle_time{5};

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

}  // namespace

int main(int argc, char** argv) {
    if (argc != 4) {
        return 2;
    }
    using namespace review;
    const char* const trouble_text = std::getenv("TROUBLE");
    const bool trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
    std::FILE* const record = std::fopen(argv[3], "w");
    const std::string status = trouble ? "042" : "200";
    small_fleet fleet(
        argv[1], argv[2], std::chrono::milliseconds(20),
        "HTTP/1.1 " + status +
            " OK\r\nRadishpulley-Attempt-Id: %ID%\r\n"
            "Radishpulley-Response-Signature: stand-in\r\nContent-Length: 3\r\n\r\nabc");
    if (!fleet.wait_until_ready()) {
        std::fprintf(record, "the daemons did not become ready\n");
        return 2;
    }
    std::this_thread::sleep_for(settle_time);
    int broken = 0;
    for (const vm& it : fleet.vms()) {
        caller from(it.callers);
        const std::string id = "stock-" + it.name;
        from.send(request_text("GET", "/stock/1", id));
        const std::string head = from.receive_head();
        const std::string line = head.substr(0, head.find("\r\n"));
        broken += !line.empty() && !is_status_line(line) ? 1 : 0;
        std::fprintf(record,
                     "%s: the server's answer begins \"HTTP/1.1 %s OK\", the caller's \"%s\"\n",
                     id.c_str(), status.c_str(), line.c_str());
        if (line.empty()) {
            return 2;
        }
    }
    std::fprintf(record, "answers that are none: %d; the rule %s\n", broken,
                 broken > 0 ? "was broken" : "held");
    std::fclose(record);
    return broken > 0 ? 1 : 0;
}
