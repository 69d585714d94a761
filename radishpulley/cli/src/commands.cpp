#include "cli/commands.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <ostream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "base/findings.h"
#include "details/table.h"
#include "model/configuration.h"
#include "settings/settings.h"

namespace radishpulley::cli {
namespace {

using http::request;
using http::response;
using nlohmann::json;
using words_span = gsl::span<const std::string>;

constexpr duration poll_interval = std::chrono::milliseconds(100);
constexpr int status_unavailable = 503;
constexpr int status_unknown = 504;

json body_of(const response& it) {
    json value = json::parse(it.body, nullptr, false);
    return value.is_object() ? value : json::object();
}

exit_code report_unavailable(const command_context& with, const response& it) {
    with.errors << (it.status == 0 ? "no VM answered"
                                   : "the VM answered with status " + std::to_string(it.status))
                << "\n";
    return exit_code::unavailable;
}

void print_findings(const command_context& with, const json& body) {
    for (const json& it : body.value("findings", json::array())) {
        with.errors << it.value("place", "") << ": " << it.value("message", "") << "\n";
    }
}

exit_code report_refusal(const command_context& with, const response& it) {
    const json body = body_of(it);
    const std::string state = body.value("state", "");
    if (it.status == status_unknown) {
        with.errors << "it is not known whether the ticket was accepted; send the same ticket "
                       "again\n";
        return exit_code::not_in_time;
    }
    if (it.status == 0 || it.status >= 500) {
        return report_unavailable(with, it);
    }
    if (state == "older_than_newest") {
        with.errors << "ticket number is not above the newest accepted one, "
                    << body.value("newest", std::uint64_t{0}) << "; number it anew\n";
    } else if (state == "number_taken") {
        with.errors << "another ticket was accepted under this number; number it anew\n";
    } else if (state == "unauthenticated") {
        with.errors << "the operators' token was not accepted; see --token_file\n";
    } else {
        with.errors << "refused; nothing was changed\n";
        print_findings(with, body);
    }
    return exit_code::refused;
}

// Sends a change, again while no VM can commit it yet.
response send_change(command_context& with, const request& it) {
    duration waited(0);
    response answer = with.call(it);
    while (answer.status == status_unavailable && waited < with.timeout) {
        with.pause(poll_interval);
        waited += poll_interval;
        answer = with.call(it);
    }
    return answer;
}

exit_code report_accepted(command_context& with, const response& answer) {
    if (answer.status != 200) {
        return report_refusal(with, answer);
    }
    const json body = body_of(answer);
    if (with.form == output_form::json) {
        with.out << body.dump() << "\n";
        return exit_code::done;
    }
    with.out << "ticket " << body.value("number", std::uint64_t{0}) << " is accepted\n";
    if (body.contains("key")) {
        with.out << "key, shown only now: " << body["key"].get<std::string>() << "\n";
    }
    return exit_code::done;
}

exit_code apply_ticket(command_context& with, const std::string& text) {
    return report_accepted(with, send_change(with, {"POST", "/v1/tickets", {}, text}));
}

// Returns the number for a new ticket, or 0 when no VM answered.
std::uint64_t next_number(command_context& with) {
    if (with.number != 0) {
        return with.number;
    }
    const response answer = with.call({"GET", "/v1/status", {}, {}});
    return answer.status == 200 ? body_of(answer).value("ticket", std::uint64_t{0}) + 1 : 0;
}

std::string read_file(const std::string& path) {
    std::ifstream in(path);
    if (!in) {
        throw std::runtime_error("cannot read file \"" + path + "\"");
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

exit_code apply_file(words_span words, command_context& with) {
    const std::string text = read_file(words[0]);
    try {
        model::parse_ticket(text);
    } catch (const invalid_input& e) {
        with.errors << e.what();
        return exit_code::refused;
    }
    return apply_ticket(with, text);
}

exit_code check_file(words_span words, command_context& with) {
    try {
        model::parse_ticket(read_file(words[0]));
    } catch (const invalid_input& e) {
        with.errors << e.what();
        return exit_code::refused;
    }
    with.out << "the ticket is well formed\n";
    return exit_code::done;
}

exit_code check_settings(words_span words, command_context& with) {
    try {
        settings::load_settings(words[0]);
    } catch (const invalid_input& e) {
        with.errors << e.what();
        return exit_code::refused;
    }
    with.out << "the settings are valid\n";
    return exit_code::done;
}

exit_code show(words_span words, command_context& with) {
    std::string path = "/v1/resources/" + words[0];
    if (words.size() > 1) {
        path += "/" + words[1];
    }
    const response answer = with.call({"GET", path, {}, {}});
    if (answer.status == 404) {
        with.errors << "\"" << path.substr(path.find(words[0])) << "\" does not exist\n";
        return exit_code::refused;
    }
    if (answer.status != 200) {
        return report_refusal(with, answer);
    }
    if (with.form == output_form::json) {
        with.out << answer.body << "\n";
        return exit_code::done;
    }
    const json body = body_of(answer);
    with.out << detail::to_table(words.size() > 1 ? json::array({body})
                                                  : body.value(words[0], json::array()));
    return exit_code::done;
}

exit_code show_status(words_span, command_context& with) {
    const response answer = with.call({"GET", "/v1/status", {}, {}});
    if (answer.status != 200) {
        return report_refusal(with, answer);
    }
    if (with.form == output_form::json) {
        with.out << answer.body << "\n";
        return exit_code::done;
    }
    json body = body_of(answer);
    const json members = body.value("members", json::array());
    const json holdings = body.value("holdings", json::array());
    body.erase("members");
    body.erase("holdings");
    with.out << detail::to_table(json::array({body})) << "\n"
             << detail::to_table(members) << "\n"
             << detail::to_table(holdings);
    return exit_code::done;
}

exit_code wait_in_force(std::uint64_t number, command_context& with) {
    const std::string path = "/v1/tickets/" + std::to_string(number);
    json last;
    for (duration waited(0);; waited += poll_interval) {
        const response answer = with.call({"GET", path, {}, {}});
        last = body_of(answer);
        if (last.value("state", "") == "in_force") {
            with.out << "ticket " << number << " is in force on all " << last["in_force"].size()
                     << " VMs\n";
            return exit_code::done;
        }
        if (waited >= with.timeout) {
            break;
        }
        with.pause(poll_interval);
    }
    with.errors << "ticket " << number << " is not in force everywhere; missing:";
    for (const json& vm : last.value("missing", json::array())) {
        with.errors << " " << vm.get<std::string>();
    }
    with.errors << "\n";
    return exit_code::not_in_time;
}

exit_code wait_for_ticket(words_span words, command_context& with) {
    if (words[0].find_first_not_of("0123456789") != std::string::npos) {
        with.errors << "\"" << words[0] << "\" is not a ticket number\n";
        return exit_code::usage;
    }
    return wait_in_force(std::stoull(words[0]), with);
}

exit_code create_key(words_span words, command_context& with) {
    const std::uint64_t number = next_number(with);
    const json body = {{"id", words[0]}, {"account", words[1]}, {"number", number}};
    return report_accepted(with, send_change(with, {"POST", "/v1/keys", {}, body.dump()}));
}

exit_code withdraw_key(words_span words, command_context& with) {
    const std::uint64_t number = next_number(with);
    const json ticket = {{"number", number}, {"remove", {{"keys", {words[0]}}}}};
    const exit_code code = apply_ticket(with, ticket.dump());
    return code == exit_code::done ? wait_in_force(number, with) : code;
}

exit_code drain(words_span words, command_context& with) {
    const response answer = with.call({"GET", "/v1/resources/endpoints/" + words[0], {}, {}});
    if (answer.status == 404) {
        with.errors << "endpoint \"" << words[0] << "\" does not exist\n";
        return exit_code::refused;
    }
    if (answer.status != 200) {
        return report_refusal(with, answer);
    }
    json endpoint = body_of(answer);
    endpoint["draining"] = true;
    const std::uint64_t number = next_number(with);
    const json ticket = {{"number", number}, {"set", {{"endpoints", {endpoint}}}}};
    const exit_code code = apply_ticket(with, ticket.dump());
    return code == exit_code::done ? wait_in_force(number, with) : code;
}

struct command {
    std::size_t least_words;
    std::size_t most_words;
    std::string_view usage;
    exit_code (*run)(words_span, command_context&);
};

const std::map<std::string, command>& command_table() {
    static const std::map<std::string, command> table = {
        {"apply", {1, 1, "apply FILE", apply_file}},
        {"check", {1, 1, "check FILE", check_file}},
        {"check-settings", {1, 1, "check-settings FILE", check_settings}},
        {"show", {1, 2, "show KIND [NAME]", show}},
        {"status", {0, 0, "status", show_status}},
        {"wait", {1, 1, "wait NUMBER", wait_for_ticket}},
        {"key-create", {2, 2, "key-create ID ACCOUNT", create_key}},
        {"key-withdraw", {1, 1, "key-withdraw ID", withdraw_key}},
        {"drain", {1, 1, "drain ENDPOINT", drain}}};
    return table;
}

}  // namespace

exit_code run_command(words_span words, command_context& with) {
    if (words.empty()) {
        with.errors << help_text();
        return exit_code::usage;
    }
    const auto it = command_table().find(words[0]);
    if (it == command_table().end()) {
        with.errors << "command \"" << words[0] << "\" does not exist; see --help\n";
        return exit_code::usage;
    }
    const words_span rest = words.subspan(1);
    if (rest.size() < it->second.least_words || rest.size() > it->second.most_words) {
        with.errors << "usage: radishpulley " << it->second.usage << "\n";
        return exit_code::usage;
    }
    try {
        return it->second.run(rest, with);
    } catch (const std::exception& e) {
        with.errors << e.what() << "\n";
        return exit_code::unavailable;
    }
}

std::string_view help_text() {
    return R"(usage: radishpulley [flags] COMMAND [ARGUMENTS]

Changes of the configuration
  apply FILE               send a ticket; done once it is accepted, which is durable
  wait NUMBER              wait until a ticket is in force on every VM; names those missing
  key-create ID ACCOUNT    make a key for a client account and print it, this once
  key-withdraw ID          withdraw a key and wait until every VM refuses it
  drain ENDPOINT           give an endpoint no new work, on every VM

Looking
  show KIND [NAME]         services, client_accounts, keys, adapters, adapter_versions, endpoints
  status                   the VM asked: its members, holdings and configuration
  explain ID [FILE...]     tell from logs what became of a request, and why
  losses [FILE...]         add up from logs where requests are late, refused or failed
  check FILE               check a ticket's form without sending it
  check-settings FILE      check a daemon's settings file

Flags
  --servers=A,B            administration addresses; the first that answers is used
  --token_file=FILE        file with the operators' token
  --number=N               number for tickets that a command makes; default: newest plus one
  --timeout=30s            longest wait
  --output=table|json

Exit status: 0 done; 1 no VM could do it, try again; 2 wrong usage; 3 refused, nothing changed;
4 not in time or outcome unknown.

A ticket carries the whole new state of what it touches:
  {"number": 8, "set": {"client_accounts": [{"id": "acme", "rate": 100, "burst": 4000}]},
   "remove": {"keys": ["old-key"]}}
)";
}

}  // namespace radishpulley::cli
