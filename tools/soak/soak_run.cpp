#include "soak_run.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "draw.h"
#include "gateway/http_status.h"
#include "platform_adapter/decoders.h"

namespace radishpulley::soak {
namespace {

using platform_adapter::standins::plain_request;
using platform_adapter::standins::read_run_report;
using platform_adapter::standins::to_document;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Requirements of the platform on undisturbed VMs.
constexpr milliseconds min_undisturbed_time{3'000};
constexpr milliseconds rollback_slack{250};
constexpr unsigned max_truncated_undisturbed = 3;
constexpr seconds recovery_time{12};

constexpr seconds start_timeout{20};
constexpr milliseconds check_after_recovery{3'000};
constexpr milliseconds min_change_interval{200};
constexpr milliseconds max_change_interval{1'500};
constexpr milliseconds burst_interval{40};
constexpr int burst_size = 8;
constexpr milliseconds process_poll{100};
constexpr std::size_t max_routes = 14;
constexpr std::size_t max_keys = 5;
constexpr std::size_t max_recent_names = 10;

const std::string base_route = "base";
const std::string once_route = "once";
const std::string moving_route = "moving";
const std::string base_key = "key-base";

void push_recent(std::deque<std::string>& list, const std::string& name) {
    list.push_back(name);
    if (list.size() > max_recent_names) {
        list.pop_front();
    }
}

}  // namespace

soak_run::soak_run(run_settings settings)
    : settings_(std::move(settings)),
      started_at_(time_.now()),
      random_(settings_.seed * 2 + 1),
      fleet_(loop_, time_, settings_.fleet),
      faults_(loop_, time_, fleet_, settings_.mix, settings_.seed,
              [this](const std::string& it) { log(it); }),
      change_timer_(loop_),
      process_timer_(loop_) {
    fleet_.store().random.seed(settings_.seed);
    subscribe_to_endpoint_events();
}

soak_run::~soak_run() = default;

double soak_run::seconds_of(time_point it) const {
    return std::chrono::duration<double>(it - started_at_).count();
}

void soak_run::log(const std::string& text) {
    std::cout << std::fixed << std::setprecision(3) << seconds_of(time_.now()) << " " << text
              << std::endl;
}

void soak_run::add_finding(const std::string& kind, const sent_request& it,
                           const std::string& text) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(3) << kind << " at " << it.vm->name << ": request "
        << it.id << " for " << it.probe_sent.route << " sent at " << seconds_of(it.probe_sent.sent)
        << ", ended at " << seconds_of(time_.now()) << ": " << text;
    add_finding(out.str());
}

void soak_run::add_finding(const std::string& text) {
    report_.findings.push_back(text);
    std::cout << "FOUND " << text << std::endl;
}

bool soak_run::run_until(seconds limit, const std::function<bool()>& is_met) {
    const time_point until = time_.now() + limit;
    while (!is_met()) {
        if (time_.now() >= until) {
            return false;
        }
        run_for(milliseconds(50));
    }
    return true;
}

void soak_run::run_for(milliseconds time) {
    loop_.restart();
    loop_.run_for(time);
}

run_report soak_run::run() {
    if (!start_fleet()) {
        return report_;
    }
    log("fault injection begins");
    faults_.start();
    run_for(settings_.length);
    faults_.stop();
    configuration_changes_enabled_ = false;
    recover();
    for (const auto& it : callers_) {
        it->stop();
    }
    run_for(milliseconds(500));
    check_runs();
    return report_;
}

bool soak_run::start_fleet() {
    change_configuration();
    for (edge_vm& it : fleet_.vms()) {
        fleet_.start(it);
        served_by_vm_[it.name] = 0;
    }
    start_callers();
    monitor_processes();
    const bool serves = run_until(start_timeout, [this] {
        return std::all_of(served_by_vm_.begin(), served_by_vm_.end(),
                           [](const auto& it) { return it.second > 0; });
    });
    if (!serves) {
        add_finding("RECOVER: the fleet did not serve requests after its start");
        return false;
    }
    schedule_change();
    return true;
}

// Publishes a last configuration, followed by a power failure for even seeds. All VMs must then
// recover without intervention.
void soak_run::recover() {
    change_configuration();
    if (settings_.seed % 2 == 0) {
        faults_.power_off_all();
    }
    if (!run_until(start_timeout, [this] { return faults_.is_idle(); })) {
        add_finding("a fault did not end");
    }
    for (edge_vm& it : fleet_.vms()) {
        if (!it.process) {
            fleet_.start(it);
        }
    }
    run_for(recovery_time);
    for (auto& it : served_by_vm_) {
        it.second = 0;
    }
    run_for(check_after_recovery);
    for (const auto& [name, served] : served_by_vm_) {
        if (served == 0) {
            add_finding("RECOVER: " + name + " serves no requests after the faults");
        }
    }
    for (unsigned i = 0; i < faults_.overdue_stops(); ++i) {
        add_finding("a process did not end within its grace period");
    }
}

void soak_run::monitor_processes() {
    for (edge_vm& it : fleet_.vms()) {
        if (it.process && !it.stopping && it.process->has_ended()) {
            add_finding(it.name + " exited unexpectedly with status " +
                        std::to_string(it.process->wait()));
            fleet_.start(it);
        }
    }
    process_timer_.expires_after(process_poll);
    process_timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec) {
            monitor_processes();
        }
    });
}

void soak_run::schedule_change() {
    if (changes_left_in_burst_ == 0 && random_() % 20 == 0) {
        changes_left_in_burst_ = burst_size;
    }
    const milliseconds interval =
        changes_left_in_burst_ > 0
            ? burst_interval
            : random_duration(random_, min_change_interval, max_change_interval);
    changes_left_in_burst_ = std::max(0, changes_left_in_burst_ - 1);
    change_timer_.expires_after(interval);
    change_timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec && configuration_changes_enabled_) {
            change_configuration();
            schedule_change();
        }
    });
}

plain_configuration soak_run::next_configuration() {
    if (history_.empty()) {
        plain_configuration first;
        first.services = {"a", "b"};
        first.keys = {base_key};
        first.routes = {
            {base_route, {"a", true}}, {once_route, {"a", false}}, {moving_route, {"a", true}}};
        return first;
    }
    plain_configuration it = history_.newest();
    it.version += 1 + random_() % 4;
    const std::string number = std::to_string(it.version);
    if (random_() % 4 == 0) {
        auto& moving = it.routes[moving_route];
        moving.service = moving.service == "a" ? "b" : "a";
    }
    if (random_() % 3 == 0) {
        it.keys.insert("key-" + number);
        push_recent(recent_keys_, "key-" + number);
    }
    if (it.keys.size() > max_keys) {
        const std::string gone = *it.keys.begin();
        it.keys.erase(gone);
    }
    it.routes["r" + number] = {random_() % 2 == 0 ? "a" : "b", true};
    push_recent(recent_routes_, "r" + number);
    if (it.routes.size() > max_routes || random_() % 2 == 0) {
        const std::string& gone = recent_routes_[random_() % recent_routes_.size()];
        it.routes.erase(gone);
    }
    return it;
}

void soak_run::change_configuration() {
    const plain_configuration it = next_configuration();
    ++report_.versions;
    history_.on_sent(it, time_.now());
    fleet_.store().put(platform_adapter::configuration_kind, platform_adapter::configuration_name,
                       to_document(it));
    history_.on_acknowledged(it.version, time_.now());
}

void soak_run::start_callers() {
    for (edge_vm& vm : fleet_.vms()) {
        for (std::size_t i = 0; i < settings_.callers_per_vm; ++i) {
            auto request = std::make_shared<sent_request>();
            callers_.push_back(std::make_unique<probe_caller>(
                loop_, time_, vm.callers_address, settings_.pause_between_requests,
                [this, &vm, request] { return next_request(vm, *request); },
                [this, request](const call_outcome& call) { on_call_end(*request, call); }));
            callers_.back()->start();
        }
    }
}

std::string soak_run::pick_route() {
    const auto n = random_() % 100;
    if (n < 20) {
        return base_route;
    }
    if (n < 35) {
        return once_route;
    }
    if (n < 50) {
        return moving_route;
    }
    if (n < 53 || recent_routes_.empty()) {
        return "never";
    }
    return recent_routes_[random_() % recent_routes_.size()];
}

plain_request soak_run::next_request(edge_vm& vm, sent_request& out) {
    out.vm = &vm;
    out.incarnation = vm.incarnation;
    out.id = std::to_string(settings_.seed) + "-" + std::to_string(++last_request_);
    out.probe_sent = {pick_route(), base_key, time_.now()};
    if (!recent_keys_.empty() && random_() % 8 == 0) {
        out.probe_sent.key = recent_keys_[random_() % recent_keys_.size()];
    }
    out.is_idempotent = out.probe_sent.route != once_route;
    sent_requests_[out.id] = out;
    plain_request it;
    it.id = out.id;
    it.host = platform_adapter::standins::route_host;
    it.path = "/" + out.probe_sent.route + "/x";
    it.key = out.probe_sent.key;
    return it;
}

probe_outcome soak_run::outcome_of(const call_outcome& call) {
    if (call.status == gateway::status_not_found && !call.marks.is_signed) {
        return route_not_found{};
    }
    if (call.status == gateway::status_unauthorized && !call.marks.is_signed) {
        return key_rejected{};
    }
    if (call.status / 100 == 2) {
        if (const auto statement = read_run_report(call.body)) {
            return served_by{statement->service};
        }
    }
    return inconclusive{};
}

bool soak_run::is_undisturbed(const sent_request& it) {
    return it.vm->incarnation == it.incarnation &&
           it.vm->disturbances.none_since(it.probe_sent.sent, min_undisturbed_time) &&
           fleet_.store_disturbances().none_since(it.probe_sent.sent, min_undisturbed_time);
}

void soak_run::on_call_end(const sent_request& it, const call_outcome& call) {
    ++report_.requests;
    if (call.status / 100 == 2) {
        ++report_.served;
        ++served_by_vm_[it.vm->name];
    }
    record_forwarded_notices(it, call);
    const probe_outcome outcome = outcome_of(call);
    check_response(it, call);
    check_denial(it, call);
    check_truncation(it, call);
    check_drain(it);
    check_version(it, outcome);
    const bool promised_not_run = call.status == gateway::status_unavailable ||
                                  call.status == gateway::status_too_many ||
                                  call.status == gateway::status_misdirected ||
                                  call.status == gateway::status_request_timeout;
    if (promised_not_run && !it.is_idempotent) {
        refused_requests_.emplace(it.id, it);
    }
}

void soak_run::check_response(const sent_request& it, const call_outcome& call) {
    if (call.status / 100 != 2) {
        return;
    }
    const auto statement = read_run_report(call.body);
    if (!statement || !call.marks.is_signed || call.marks.request != it.id ||
        statement->request != it.id) {
        add_finding("MIXED", it,
                    "the response is not the complete response to this request: " + call.body);
    } else if (statement->account != history_.newest().account) {
        add_finding("UNASKED", it, "the endpoint received the account " + statement->account);
    }
}

void soak_run::check_denial(const sent_request& it, const call_outcome& call) {
    const bool is_own_response = !call.marks.is_signed;
    const bool denied = call.status / 100 == 3 || call.status == gateway::status_bad_request ||
                        call.status == gateway::status_unauthorized ||
                        call.status == gateway::status_not_found;
    const bool always_allowed =
        it.probe_sent.key == base_key &&
        (it.probe_sent.route == base_route || it.probe_sent.route == once_route ||
         it.probe_sent.route == moving_route);
    if (is_own_response && denied && always_allowed) {
        add_finding("DENIED", it,
                    "all versions allow it, but the response was " + std::to_string(call.status));
    }
}

void soak_run::check_truncation(const sent_request& it, const call_outcome& call) {
    const auto ran = fleet_.runs().runs.find(it.id);
    if (!call.was_truncated || ran == fleet_.runs().runs.end() ||
        !fleet_.endpoint_disturbances().none_since(it.probe_sent.sent, min_undisturbed_time)) {
        return;
    }
    const bool calm =
        it.vm->unplanned_disturbances.none_since(it.probe_sent.sent, min_undisturbed_time) &&
        it.vm->incarnation == it.incarnation;
    if (calm && it.vm->stopping) {
        add_finding("LOST", it, "it ran, and its response was truncated during a planned stop");
    } else if (calm && ++truncated_undisturbed_ > max_truncated_undisturbed) {
        add_finding("LOST", it, "it ran, and an undisturbed VM truncated its response");
    }
}

void soak_run::check_drain(const sent_request& it) {
    const auto ran = fleet_.runs().runs.find(it.id);
    if (ran == fleet_.runs().runs.end() || !is_undisturbed(it)) {
        return;
    }
    for (const edge_endpoint& endpoint : fleet_.endpoints()) {
        if (endpoint.standin->id() == ran->second.endpoint && endpoint.leaving_since &&
            ran->second.began > *endpoint.leaving_since + drain_bound) {
            add_finding("DRAIN", it,
                        "it reached " + ran->second.endpoint + ", which had been leaving since " +
                            std::to_string(seconds_of(*endpoint.leaving_since)));
        }
    }
}

void soak_run::check_version(const sent_request& it, const probe_outcome& outcome) {
    if (std::holds_alternative<inconclusive>(outcome)) {
        return;
    }
    const time_point now = time_.now();
    const auto versions = history_.matching_versions(it.probe_sent, outcome, now);
    if (!versions) {
        add_finding("CONFIG", it, "no version is consistent with this response");
        return;
    }
    const std::uint64_t due_version = history_.acknowledged_at(it.probe_sent.sent - apply_bound);
    if (is_undisturbed(it)) {
        ++report_.checked_requests;
        if (versions->highest < due_version) {
            add_finding("CONFIG", it,
                        "only version " + std::to_string(versions->highest) +
                            " or older is consistent with the response; version " +
                            std::to_string(due_version) + " was acknowledged in time");
        }
    }
    observed_version& observed = observed_versions_[it.vm->name];
    if (it.vm->incarnation != it.incarnation) {
        return;
    }
    if (observed.incarnation != it.incarnation) {
        observed = {it.incarnation, 0, now};
    }
    if (versions->highest < observed.version &&
        it.probe_sent.sent > observed.since + rollback_slack) {
        add_finding("CONFIG", it,
                    "the VM went back to version " + std::to_string(versions->highest) +
                        " after version " + std::to_string(observed.version) + " was observed");
    }
    if (versions->lowest > observed.version) {
        observed.version = versions->lowest;
        observed.since = now;
    }
}

void soak_run::subscribe_to_endpoint_events() {
    auto& runs = fleet_.runs();
    runs.on_request = [this](const std::string& endpoint, const std::string& request) {
        const auto sent = sent_requests_.find(request);
        if (sent == sent_requests_.end()) {
            return;
        }
        const request_arrival it{endpoint, epoch_of(*sent->second.vm), sent->second.probe_sent.sent,
                                 time_.now()};
        for (const std::string& text : notices_.on_arrival(it)) {
            add_finding(text + ", with request " + request);
        }
    };
    runs.on_pause = [this](const std::string& endpoint, const std::string& request) {
        const auto sent = sent_requests_.find(request);
        for (const edge_endpoint& it : fleet_.endpoints()) {
            if (it.standin->id() == endpoint && sent != sent_requests_.end()) {
                notices_.on_pause(endpoint, epoch_of(*sent->second.vm), time_.now(),
                                  *it.standin->pause);
            }
        }
    };
    faults_.set_on_announcement([this](const edge_endpoint& it) {
        if (it.standin->rate_limit) {
            notices_.on_limit_announced(it.standin->id(), it.standin->rate_limit, time_.now());
        } else {
            notices_.on_restart(it.standin->id());
        }
    });
}

void soak_run::record_forwarded_notices(const sent_request& it, const call_outcome& call) {
    const auto ran = fleet_.runs().runs.find(it.id);
    if (ran == fleet_.runs().runs.end() || !call.marks.is_signed) {
        return;
    }
    // A response that was in flight when the endpoint changed its announcements does not count.
    const auto ran_the_request = [&](const edge_endpoint& endpoint) {
        return endpoint.standin->id() == ran->second.endpoint;
    };
    const auto& all = fleet_.endpoints();
    const auto& endpoint = *std::find_if(all.begin(), all.end(), ran_the_request)->standin;
    if (call.marks.limited && endpoint.rate_limit) {
        notices_.on_limit_forwarded(endpoint.id(), epoch_of(*it.vm), time_.now());
    }
    if (call.marks.leaving && endpoint.announces_leaving) {
        notices_.on_leaving_forwarded(endpoint.id(), epoch_of(*it.vm), time_.now());
    }
}

void soak_run::check_runs() {
    for (const auto& [id, it] : refused_requests_) {
        if (fleet_.runs().runs.count(id) != 0) {
            add_finding("REFUSED", it, "it was refused as not run, but it ran");
        }
    }
    for (const auto& [id, runs] : fleet_.runs().runs) {
        const auto sent = sent_requests_.find(id);
        if (sent == sent_requests_.end()) {
            add_finding("UNASKED: an endpoint ran a request that no caller sent: " + id);
        }
        if (runs.count > 1 && sent != sent_requests_.end() && !sent->second.is_idempotent) {
            add_finding("TWICE: " + id + " ran " + std::to_string(runs.count) + " times");
        }
    }
    for (const std::string& id : fleet_.runs().requests_with_key) {
        add_finding("UNASKED: an endpoint received the API key of " + id);
    }
}

}  // namespace radishpulley::soak
