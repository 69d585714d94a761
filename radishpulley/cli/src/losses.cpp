#include "cli/losses.h"

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <istream>
#include <ostream>
#include <vector>

namespace radishpulley::cli {
namespace {

constexpr std::size_t worst_shown = 5;
constexpr int name_width = 28;
constexpr int number_width = 10;
constexpr double first_failure = 400;
// Length of "2026-01-01T00:00:00".
constexpr std::size_t second_length = 19;

enum class outcome { in_time, late, refused, failed };

double number(const log_line& it, const char* name) {
    return std::strtod(std::string(it.field(name)).c_str(), nullptr);
}

// Statuses that promise that the request has not run.
bool is_refusal(double status) {
    return status == 429 || status == 503 || status == 401 || status == 404 || status == 400;
}

outcome outcome_of(const log_line& it) {
    const double status = number(it, "status");
    if (is_refusal(status)) {
        return outcome::refused;
    }
    if (status >= first_failure || it.field("reason") != "answered") {
        return outcome::failed;
    }
    const double target = number(it, "target_ms");
    return target > 0 && number(it, "first_byte_ms") > target ? outcome::late : outcome::in_time;
}

void count(outcome_counts& into, outcome it) {
    switch (it) {
        case outcome::in_time:
            ++into.in_time;
            break;
        case outcome::late:
            ++into.late;
            break;
        case outcome::refused:
            ++into.refused;
            break;
        case outcome::failed:
            ++into.failed;
            break;
    }
}

void print_head(const char* title, std::ostream& out) {
    out << std::left << std::setw(name_width) << title << std::right;
    for (const char* it : {"requests", "in time", "late", "refused", "failed"}) {
        out << std::setw(number_width) << it;
    }
    out << '\n';
}

void print_row(const std::string& name, const outcome_counts& it, std::ostream& out) {
    out << std::left << std::setw(name_width) << name << std::right;
    for (const std::size_t n : {it.total(), it.in_time, it.late, it.refused, it.failed}) {
        out << std::setw(number_width) << n;
    }
    out << '\n';
}

}  // namespace

void loss_account::add(const log_line& it) {
    // A caller that left lost nothing by what the daemons did.
    if (it.event != "request_finished" || it.field("reason") == "caller_left") {
        return;
    }
    const std::string route(it.field("route"));
    const outcome ended = outcome_of(it);
    count(by_route_[route], ended);
    count(by_account_[std::string(it.field("account"))], ended);
    count(by_second_[it.time.substr(0, second_length)], ended);
    if (!it.field("endpoint").empty()) {
        count(by_endpoint_[std::string(it.field("endpoint"))], ended);
    }
    if (ended == outcome::refused || ended == outcome::failed) {
        ++by_reason_[route + " " + std::string(it.field("status")) + " " +
                     std::string(it.field("reason"))];
    } else if (ended == outcome::late) {
        time_parts& parts = late_time_[route];
        const double load = number(it, "load_wait_ms");
        const double sent = number(it, "sent_after_ms");
        parts.load_wait += load;
        parts.before_sending += std::max(0.0, sent - load);
        parts.at_endpoint += std::max(0.0, number(it, "first_byte_ms") - sent);
    }
}

void loss_account::print_worst(const outcome_groups& groups, const char* title, std::ostream& out) {
    std::vector<std::pair<std::string, outcome_counts>> rows(groups.begin(), groups.end());
    std::stable_sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) {
        return a.second.lost() > b.second.lost();
    });
    rows.resize(std::min(rows.size(), worst_shown));
    out << '\n';
    print_head(title, out);
    for (const auto& [name, it] : rows) {
        print_row(name, it, out);
    }
}

void loss_account::print(std::ostream& out) const {
    print_head("route", out);
    for (const auto& [name, it] : by_route_) {
        print_row(name, it, out);
    }
    out << "\nlate answers, mean ms       adapter load  before sending  at the endpoint\n";
    for (const auto& [name, it] : late_time_) {
        const auto n = static_cast<double>(by_route_.at(name).late);
        out << std::left << std::setw(name_width) << name << std::right << std::fixed
            << std::setprecision(0) << std::setw(12) << it.load_wait / n << std::setw(16)
            << it.before_sending / n << std::setw(17) << it.at_endpoint / n << '\n';
    }
    out << "\nrefused and failed (route, status, reason)\n";
    for (const auto& [name, n] : by_reason_) {
        out << std::setw(number_width) << n << "  " << name << '\n';
    }
    print_worst(by_account_, "client accounts, worst", out);
    print_worst(by_endpoint_, "endpoints, worst", out);
    print_worst(by_second_, "seconds, worst", out);
}

bool print_losses(std::istream& log, std::ostream& out) {
    loss_account account;
    std::string text;
    while (std::getline(log, text)) {
        account.add(parse_log_line(text));
    }
    if (account.by_route().empty()) {
        return false;
    }
    account.print(out);
    return true;
}

}  // namespace radishpulley::cli
