#include "process_usage.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

namespace radishpulley::soak {
namespace {

constexpr std::size_t bytes_per_kib = 1'024;
constexpr int hexadecimal = 16;
// Connection state "listen" of the kernel's table; the queue of such a socket counts connections.
constexpr const char* listen_state = "0A";

std::string directory_of(pid_t process) {
    return "/proc/" + std::to_string(process);
}

// Parses the hexadecimal number after the colon of "ADDRESS:PORT" or "SENT:RECEIVED".
std::size_t second_number(const std::string& pair) {
    return std::stoul(pair.substr(pair.find(':') + 1), nullptr, hexadecimal);
}

}  // namespace

resident_memory read_resident_memory(pid_t process) {
    std::ifstream in(directory_of(process) + "/status");
    resident_memory out;
    std::string line;
    while (std::getline(in, line)) {
        std::istringstream fields(line);
        std::string name;
        std::size_t kib = 0;
        fields >> name >> kib;
        if (name == "VmRSS:") {
            out.now = kib * bytes_per_kib;
        } else if (name == "VmHWM:") {
            out.peak = kib * bytes_per_kib;
        }
    }
    return out;
}

std::size_t count_descriptors(pid_t process) {
    std::error_code ec;
    const std::filesystem::directory_iterator first(directory_of(process) + "/fd", ec);
    return ec ? 0 : static_cast<std::size_t>(std::distance(begin(first), end(first)));
}

std::size_t count_unread_bytes(std::uint16_t port) {
    std::ifstream in("/proc/net/tcp");
    std::size_t sum = 0;
    std::string line;
    std::getline(in, line);  // Titles of the columns.
    while (std::getline(in, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        if (state != listen_state && second_number(local) == port) {
            sum += second_number(queues);
        }
    }
    return sum;
}

}  // namespace radishpulley::soak
