#include "cli/explain.h"

#include <algorithm>
#include <istream>
#include <ostream>
#include <set>

namespace radishpulley::cli {
namespace {

// Events that tell what a daemon believes of an endpoint.
const std::set<std::string, std::less<>> endpoint_events = {
    "endpoint",     "endpoint_gone", "endpoint_unreached", "endpoint_reached",
    "engine_order", "load_refused",  "holds_engine"};
// Events that concern every request of a VM.
const std::set<std::string, std::less<>> vm_events = {"started", "stopping", "store_lost",
                                                      "store_regained", "configuration_in_force"};

// Events that concern every request of a VM to a service.
const std::set<std::string, std::less<>> service_events = {"service_unreached", "service_reached"};

constexpr std::size_t most_beliefs = 20;

struct cause {
    std::string_view reason;
    std::string_view sentence;
};

constexpr cause causes[] = {
    {"over_limit",
     "The client account had used its rate and burst: see rate, share and fill in the line "
     "over_limit."},
    {"unknown_key", "No configuration in force on that VM holds the key."},
    {"no_route", "No route of the configuration in force takes that host and path."},
    {"no_endpoint",
     "No endpoint could take it: all were draining, excluded, or had no place for the adapter; "
     "see the lines load_refused."},
    {"would_be_late", "Its first event was expected after the caller's deadline."},
    {"rejected",
     "The endpoints that it was sent to did not run it: see the lines request_not_run."},
    {"connection_broken",
     "The endpoint broke the connection after the request was sent. It may have run; a request "
     "that may not run twice is not repeated."},
    {"malformed_answer", "The endpoint sent something that is no whole answer of its own."},
    {"deadline", "The caller's deadline or the route's timeout came before the answer."},
    {"deadline_before_sending", "Its time ran out before it was sent; it has not run."},
    {"endpoints_unreachable", "No connection to an endpoint could be made."},
    {"no_configuration", "The VM had no configuration yet."},
    {"stopping", "The VM was shutting down."},
    {"stream_software_unknown",
     "It resumes a stream, and neither this VM nor those asked know which version of the "
     "endpoints' software began it: see the line stream_resumption."},
    {"stream_software_gone",
     "It resumes a stream, and no endpoint with the version of the software that began it is left: "
     "see the line stream_resumption."},
    {"endpoints_unconfirmed",
     "It resumes a stream, and the store did not confirm in time that this VM knows all versions "
     "of "
     "the endpoints' software: see the line stream_resumption."},
    {"caller_left", "The caller closed its connection before the answer's end."},
};

std::string sentence_for(const log_line& end) {
    const std::string_view reason = end.field("reason");
    const auto found = std::find_if(std::begin(causes), std::end(causes),
                                    [reason](const cause& it) { return it.reason == reason; });
    if (found != std::end(causes)) {
        return std::string(found->sentence);
    }
    if (reason != "answered") {
        return "Ended with reason " + std::string(reason) + ".";
    }
    std::string out = "It was answered by " + std::string(end.field("endpoint")) + " with status " +
                      std::string(end.field("status")) + ".";
    if (!end.field("load_wait_ms").empty() && end.field("load_wait_ms") != "0") {
        out += " It waited " + std::string(end.field("load_wait_ms")) +
               " ms for its adapter to be loaded.";
    }
    return out + " Its first byte came after " + std::string(end.field("first_byte_ms")) + " ms.";
}

bool is_belief(const log_line& it, const log_line& end, const std::string& vm) {
    if (vm_events.count(it.event) != 0) {
        return !vm.empty() && it.text.find(vm) != std::string::npos;
    }
    if (service_events.count(it.event) != 0) {
        return !vm.empty() && it.text.find(vm) != std::string::npos &&
               it.field("service") == end.field("service");
    }
    const std::string_view adapter = end.field("adapter");
    if (it.event == "adapter_version" || it.event == "load_refused") {
        return !adapter.empty() && it.field("adapter") == adapter;
    }
    if (endpoint_events.count(it.event) == 0) {
        return false;
    }
    const std::string_view at =
        it.field("engine").empty() ? it.field("endpoint") : it.field("engine");
    const bool same_endpoint = !end.field("endpoint").empty() && at == end.field("endpoint");
    const bool same_adapter = it.field("adapter").empty() || it.field("adapter") == adapter;
    return same_endpoint && same_adapter;
}

// Returns what stands before `time=`: the VM's name where a collector of logs wrote it.
std::string prefix_of(const std::string& text) {
    const std::size_t at = text.find("time=");
    std::string prefix = at == std::string::npos ? "" : text.substr(0, at);
    while (!prefix.empty() && prefix.back() == ' ') {
        prefix.pop_back();
    }
    return prefix.substr(prefix.rfind(' ') + 1);
}

}  // namespace

std::string_view log_line::field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string_view() : std::string_view(found->second);
}

log_line parse_log_line(std::string_view text) {
    log_line out;
    out.text = std::string(text);
    std::size_t at = 0;
    while (at < text.size()) {
        const std::size_t equals = text.find('=', at);
        if (equals == std::string_view::npos) {
            break;
        }
        const std::size_t space = text.rfind(' ', equals);
        const std::size_t begin = space == std::string_view::npos || space < at ? at : space + 1;
        const std::string name(text.substr(begin, equals - begin));
        std::string value;
        std::size_t end = equals + 1;
        if (end < text.size() && text[end] == '"') {
            const std::size_t close = text.find('"', end + 1);
            value = std::string(text.substr(end + 1, close - end - 1));
            end = close == std::string_view::npos ? text.size() : close + 1;
        } else {
            const std::size_t stop = std::min(text.find(' ', end), text.size());
            value = std::string(text.substr(end, stop - end));
            end = stop;
        }
        if (name == "time") {
            out.time = value;
        } else if (name == "event") {
            out.event = value;
        } else {
            out.fields[name] = value;
        }
        at = end;
    }
    return out;
}

bool explain_request(std::string_view id, std::istream& log, std::ostream& out) {
    std::vector<log_line> about;
    std::vector<log_line> others;
    std::string text;
    while (std::getline(log, text)) {
        log_line it = parse_log_line(text);
        if (it.event.empty()) {
            continue;
        }
        (it.field("request") == id ? about : others).push_back(std::move(it));
    }
    if (about.empty()) {
        return false;
    }
    const auto by_time = [](const log_line& a, const log_line& b) { return a.time < b.time; };
    std::stable_sort(about.begin(), about.end(), by_time);
    std::stable_sort(others.begin(), others.end(), by_time);
    const log_line& end = about.back();
    out << "Decisions on request " << id << ":\n";
    for (const log_line& it : about) {
        out << "  " << it.text << '\n';
    }
    std::vector<const log_line*> beliefs;
    for (const log_line& it : others) {
        if (it.time <= end.time && is_belief(it, end, prefix_of(end.text))) {
            beliefs.push_back(&it);
        }
    }
    const std::size_t skipped = beliefs.size() > most_beliefs ? beliefs.size() - most_beliefs : 0;
    out << "What was believed before its end" << (skipped > 0 ? ", the latest:\n" : ":\n");
    for (std::size_t i = skipped; i < beliefs.size(); ++i) {
        out << "  " << beliefs[i]->text << '\n';
    }
    out << "Cause: "
        << (end.event == "request_finished" ? sentence_for(end)
                                            : "no end is in these logs; its VM may have been lost.")
        << '\n';
    return true;
}

}  // namespace radishpulley::cli
