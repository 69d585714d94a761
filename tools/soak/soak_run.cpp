#include "soak_run.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "draw.h"
#include "gateway/http_status.h"

namespace radishpulley::soak {
namespace {

using platform_adapter::standins::plain_request;
using platform_adapter::standins::read_run_report;
using platform_adapter::standins::to_document;
using std::chrono::milliseconds;
using std::chrono::seconds;

// What the platform asks of VMs that are in touch.
constexpr milliseconds contact_time{3'000};
constexpr milliseconds rollback_slack{250};
constexpr unsigned most_cuts_in_touch = 3;
constexpr seconds recovery_time{12};

constexpr seconds start_limit{20};
constexpr milliseconds check_after_recovery{3'000};
constexpr milliseconds least_change_gap{200};
constexpr milliseconds most_change_gap{1'500};
constexpr milliseconds storm_gap{40};
constexpr int storm_changes = 8;
constexpr milliseconds process_poll{100};
constexpr std::size_t most_routes = 14;
constexpr std::size_t most_keys = 5;
constexpr std::size_t most_recent = 10;

const std::string base_route = "base";
const std::string once_route = "once";
const std::string moving_route = "moving";
const std::string base_key = "key-base";

void push_recent(std::deque<std::string>& list, const std::string& name) {
    list.push_back(name);
    if (list.size() > most_recent) {
        list.pop_front();
    }
}

}  // namespace

soak_run::soak_run(run_settings settings)
    : settings_(std::move(settings)),
      began_(time_.now()),
      random_(settings_.seed * 2 + 1),
      fleet_(loop_, time_, settings_.fleet),
      faults_(loop_, time_, fleet_, settings_.mix, settings_.seed,
              [this](const std::string& it) { note(it); }),
      change_timer_(loop_),
      process_timer_(loop_) {
    fleet_.store().random.seed(settings_.seed);
    watch_notices();
}

soak_run::~soak_run() = default;

double soak_run::seconds_of(time_point it) const {
    return std::chrono::duration<double>(it - began_).count();
}

void soak_run::note(const std::string& text) {
    std::cout << std::fixed << std::setprecision(3) << seconds_of(time_.now()) << " " << text
              << std::endl;
}

void soak_run::find(const std::string& kind, const sent_request& it, const std::string& text) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(3) << kind << " at " << it.vm->name << ": request "
        << it.id << " for " << it.asked.route << " sent at " << seconds_of(it.asked.sent)
        << ", ended at " << seconds_of(time_.now()) << ": " << text;
    find(out.str());
}

void soak_run::find(const std::string& text) {
    report_.findings.push_back(text);
    std::cout << "FOUND " << text << std::endl;
}

bool soak_run::run_until(seconds limit, const std::function<bool()>& holds) {
    const time_point until = time_.now() + limit;
    while (!holds()) {
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
    note("the faults begin");
    faults_.start();
    run_for(settings_.length);
    faults_.stop();
    changing_ = false;
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
    watch_processes();
    const bool serves = run_until(start_limit, [this] {
        return std::all_of(served_by_vm_.begin(), served_by_vm_.end(),
                           [](const auto& it) { return it.second > 0; });
    });
    if (!serves) {
        find("RECOVER: the fleet did not serve after its start");
        return false;
    }
    change_later();
    return true;
}

// The last change is followed by a loss of power on some seeds; then all must come back by itself.
void soak_run::recover() {
    change_configuration();
    if (settings_.seed % 2 == 0) {
        faults_.lose_power_everywhere();
    }
    if (!run_until(start_limit, [this] { return faults_.is_quiet(); })) {
        find("a fault did not end");
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
            find("RECOVER: " + name + " serves nothing after the faults");
        }
    }
    for (unsigned i = 0; i < faults_.overdue_stops(); ++i) {
        find("a process did not end within its grace");
    }
}

void soak_run::watch_processes() {
    for (edge_vm& it : fleet_.vms()) {
        if (it.process && !it.stopping && it.process->has_ended()) {
            find(it.name + " ended by itself with status " + std::to_string(it.process->wait()));
            fleet_.start(it);
        }
    }
    process_timer_.expires_after(process_poll);
    process_timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec) {
            watch_processes();
        }
    });
}

void soak_run::change_later() {
    if (storm_ == 0 && random_() % 20 == 0) {
        storm_ = storm_changes;
    }
    const milliseconds gap =
        storm_ > 0 ? storm_gap : draw_time(random_, least_change_gap, most_change_gap);
    storm_ = std::max(0, storm_ - 1);
    change_timer_.expires_after(gap);
    change_timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec && changing_) {
            change_configuration();
            change_later();
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
    if (it.keys.size() > most_keys) {
        const std::string gone = *it.keys.begin();
        it.keys.erase(gone);
    }
    it.routes["r" + number] = {random_() % 2 == 0 ? "a" : "b", true};
    push_recent(recent_routes_, "r" + number);
    if (it.routes.size() > most_routes || random_() % 2 == 0) {
        const std::string& gone = recent_routes_[random_() % recent_routes_.size()];
        it.routes.erase(gone);
    }
    return it;
}

void soak_run::change_configuration() {
    const plain_configuration it = next_configuration();
    ++report_.versions;
    history_.on_sent(it, time_.now());
    fleet_.store().put("config", "main", to_document(it));
    history_.on_acknowledged(it.version, time_.now());
}

void soak_run::start_callers() {
    for (edge_vm& vm : fleet_.vms()) {
        for (std::size_t i = 0; i < settings_.callers_per_vm; ++i) {
            auto request = std::make_shared<sent_request>();
            callers_.push_back(std::make_unique<probe_caller>(
                loop_, time_, vm.callers, settings_.pause_between_requests,
                [this, &vm, request] { return next_request(vm, *request); },
                [this, request](const call_end& end) { on_end(*request, end); }));
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
    out.asked = {pick_route(), base_key, time_.now()};
    if (!recent_keys_.empty() && random_() % 8 == 0) {
        out.asked.key = recent_keys_[random_() % recent_keys_.size()];
    }
    out.is_idempotent = out.asked.route != once_route;
    sent_[out.id] = out;
    plain_request it;
    it.id = out.id;
    it.host = platform_adapter::standins::route_host;
    it.path = "/" + out.asked.route + "/x";
    it.key = out.asked.key;
    return it;
}

probe_end soak_run::meaning_of(const call_end& end) {
    if (end.status == gateway::status_not_found && !end.marks.is_signed) {
        return refused_route{};
    }
    if (end.status == gateway::status_unauthorized && !end.marks.is_signed) {
        return refused_key{};
    }
    if (end.status / 100 == 2) {
        if (const auto said = read_run_report(end.body)) {
            return ran_at{said->service};
        }
    }
    return other_end{};
}

bool soak_run::is_in_touch(const sent_request& it) {
    return it.vm->incarnation == it.incarnation && it.vm->calm.holds(it.asked.sent, contact_time) &&
           fleet_.store_calm().holds(it.asked.sent, contact_time);
}

void soak_run::on_end(const sent_request& it, const call_end& end) {
    ++report_.requests;
    if (end.status / 100 == 2) {
        ++report_.served;
        ++served_by_vm_[it.vm->name];
    }
    take_notices(it, end);
    const probe_end meaning = meaning_of(end);
    check_whole(it, end);
    check_denial(it, end);
    check_cut(it, end);
    check_drain(it);
    check_version(it, meaning);
    const bool promised_not_run =
        end.status == gateway::status_unavailable || end.status == gateway::status_too_many ||
        end.status == gateway::status_misdirected || end.status == gateway::status_request_timeout;
    if (promised_not_run && !it.is_idempotent) {
        refused_.emplace(it.id, it);
    }
}

void soak_run::check_whole(const sent_request& it, const call_end& end) {
    if (end.status / 100 != 2) {
        return;
    }
    const auto said = read_run_report(end.body);
    if (!said || !end.marks.is_signed || end.marks.request != it.id || said->request != it.id) {
        find("MIXED", it, "the answer is not this request's whole answer: " + end.body);
    } else if (said->account != history_.newest().account) {
        find("UNASKED", it, "the endpoint was told the account " + said->account);
    }
}

void soak_run::check_denial(const sent_request& it, const call_end& end) {
    const bool is_own = !end.marks.is_signed;
    const bool denied = end.status / 100 == 3 || end.status == gateway::status_bad_request ||
                        end.status == gateway::status_unauthorized ||
                        end.status == gateway::status_not_found;
    const bool always_allowed =
        it.asked.key == base_key && (it.asked.route == base_route || it.asked.route == once_route ||
                                     it.asked.route == moving_route);
    if (is_own && denied && always_allowed) {
        find("DENIED", it, "all versions allow it; answered " + std::to_string(end.status));
    }
}

void soak_run::check_cut(const sent_request& it, const call_end& end) {
    const auto ran = fleet_.runs().runs.find(it.id);
    if (!end.was_cut || ran == fleet_.runs().runs.end() ||
        !fleet_.endpoints_calm().holds(it.asked.sent, contact_time)) {
        return;
    }
    const bool calm = it.vm->calm_but_for_stops.holds(it.asked.sent, contact_time) &&
                      it.vm->incarnation == it.incarnation;
    if (calm && it.vm->stopping) {
        find("LOST", it, "it ran and was cut around a planned stop");
    } else if (calm && ++cut_in_touch_ > most_cuts_in_touch) {
        find("LOST", it, "it ran and was cut by a VM in touch");
    }
}

void soak_run::check_drain(const sent_request& it) {
    const auto ran = fleet_.runs().runs.find(it.id);
    if (ran == fleet_.runs().runs.end() || !is_in_touch(it)) {
        return;
    }
    for (const edge_endpoint& each : fleet_.endpoints()) {
        if (each.standin->id() == ran->second.endpoint && each.leaving_since &&
            ran->second.began > *each.leaving_since + drain_bound) {
            find("DRAIN", it,
                 "it reached " + ran->second.endpoint + ", which had been leaving since " +
                     std::to_string(seconds_of(*each.leaving_since)));
        }
    }
}

void soak_run::check_version(const sent_request& it, const probe_end& end) {
    if (std::holds_alternative<other_end>(end)) {
        return;
    }
    const time_point now = time_.now();
    const auto why = history_.explain(it.asked, end, now);
    if (!why) {
        find("CONFIG", it, "no version allows this answer");
        return;
    }
    const std::uint64_t due = history_.acknowledged_at(it.asked.sent - apply_bound);
    if (is_in_touch(it)) {
        ++report_.judged;
        if (why->highest < due) {
            find("CONFIG", it,
                 "handled as only version " + std::to_string(why->highest) +
                     " or older allows; version " + std::to_string(due) +
                     " was acknowledged in time");
        }
    }
    proof& known = proofs_[it.vm->name];
    if (it.vm->incarnation != it.incarnation) {
        return;
    }
    if (known.incarnation != it.incarnation) {
        known = {it.incarnation, 0, now};
    }
    if (why->highest < known.version && it.asked.sent > known.since + rollback_slack) {
        find("CONFIG", it,
             "went back to version " + std::to_string(why->highest) + " after version " +
                 std::to_string(known.version) + " was seen");
    }
    if (why->lowest > known.version) {
        known.version = why->lowest;
        known.since = now;
    }
}

void soak_run::watch_notices() {
    auto& runs = fleet_.runs();
    runs.on_request = [this](const std::string& endpoint, const std::string& request) {
        const auto sent = sent_.find(request);
        if (sent == sent_.end()) {
            return;
        }
        const arrival it{endpoint, period_of(*sent->second.vm), sent->second.asked.sent,
                         time_.now()};
        for (const std::string& text : notices_.on_arrival(it)) {
            find(text + ", with request " + request);
        }
    };
    runs.on_pause = [this](const std::string& endpoint, const std::string& request) {
        const auto sent = sent_.find(request);
        for (const edge_endpoint& it : fleet_.endpoints()) {
            if (it.standin->id() == endpoint && sent != sent_.end()) {
                notices_.on_pause(endpoint, period_of(*sent->second.vm), time_.now(),
                                  *it.standin->pause);
            }
        }
    };
    faults_.set_on_notice([this](const edge_endpoint& it) {
        if (it.standin->rate_limit) {
            notices_.on_limit(it.standin->id(), it.standin->rate_limit, time_.now());
        } else {
            notices_.on_restart(it.standin->id());
        }
    });
}

void soak_run::take_notices(const sent_request& it, const call_end& end) {
    const auto ran = fleet_.runs().runs.find(it.id);
    if (ran == fleet_.runs().runs.end() || !end.marks.is_signed) {
        return;
    }
    // What was under way when an endpoint changed says nothing about it now.
    const auto is_meant = [&](const edge_endpoint& each) {
        return each.standin->id() == ran->second.endpoint;
    };
    const auto& all = fleet_.endpoints();
    const auto& endpoint = *std::find_if(all.begin(), all.end(), is_meant)->standin;
    if (end.marks.limited && endpoint.rate_limit) {
        notices_.on_limit_passed_on(endpoint.id(), period_of(*it.vm), time_.now());
    }
    if (end.marks.leaving && endpoint.announces_leaving) {
        notices_.on_leaving_passed_on(endpoint.id(), period_of(*it.vm), time_.now());
    }
}

void soak_run::check_runs() {
    for (const auto& [id, it] : refused_) {
        if (fleet_.runs().runs.count(id) != 0) {
            find("REFUSED", it, "it was refused as not run and ran");
        }
    }
    for (const auto& [id, runs] : fleet_.runs().runs) {
        const auto sent = sent_.find(id);
        if (sent == sent_.end()) {
            find("UNASKED: nobody sent " + id);
        }
        if (runs.count > 1 && sent != sent_.end() && !sent->second.is_idempotent) {
            find("TWICE: " + id + " ran " + std::to_string(runs.count) + " times");
        }
    }
    for (const std::string& id : fleet_.runs().requests_with_key) {
        find("UNASKED: an endpoint got the key of " + id);
    }
}

}  // namespace radishpulley::soak
