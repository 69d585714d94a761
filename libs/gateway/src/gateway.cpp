#include "gateway/gateway.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include <boost/asio/post.hpp>

#include "crash_detector.h"
#include "exchange.h"
#include "reachability_monitor.h"
#include "relay_service.h"
#include "telemetry/event_log.h"
#include "timers.h"

namespace radishpulley::gateway {
namespace {

// Longest wait stated for an endpoint of whose limit this VM has no share; another VM may accept
// the request.
constexpr duration max_limit_wait = std::chrono::seconds(1);
// Length of a turn of the loop from which it is logged.
constexpr duration late_turn = std::chrono::milliseconds(250);
// Reasons for turning a caller away.
constexpr std::string_view memory_limit = "memory_limit";
constexpr std::string_view connection_limit = "connection_limit";
constexpr std::string_view stopping = "stopping";
// The response to a request that was not read.
constexpr std::string_view overloaded_response =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.250\r\nContent-Length: 0\r\n"
    "Connection: close\r\n\r\n";
// Bytes of a caller that the operating system keeps while nothing is read. More would hold memory
// outside of the budget; less would slow large bodies on long links.
constexpr int caller_receive_buffer = 65'536;
// Part of what callers may hold that their unread responses may be.
constexpr std::size_t unsent_part_of_budget = 4;
// Time without a request after which a stop closes a connection. Earlier, the first request of a
// new connection or the next one behind a response is likely to be on its way.
constexpr duration quiet_time = std::chrono::milliseconds(500);
// Interval at which the loads of all engines are counted.
constexpr duration fleet_loads_interval = std::chrono::milliseconds(50);

}  // namespace

gateway::gateway(boost::asio::io_context& loop, const clock& time, const header_codec& codec,
                 telemetry::registry& metrics, gateway_settings settings)
    : loop_(loop),
      time_(time),
      codec_(codec),
      settings_(std::move(settings)),
      budget_(std::make_shared<memory_budget>(settings_.max_held_bytes)),
      relay_service_(std::make_unique<relay_service>(*this)),
      chooser_(directory_, limits_, cold_limits_, adapters_, load_times_, prompts_, work_,
               settings_.location),
      limiter_(settings_.limiter),
      reachability_(std::make_unique<reachability_monitor>(loop, time, directory_, pool_)),
      pool_(loop, time),
      peer_pool_(loop, time),
      crashes_(std::make_unique<crash_detector>(
          loop, pool_,
          [this](const auto& crashed, const auto& requests) { on_crash(crashed, requests); })),
      responses_(metrics.add_counters("answers_total", "Answers by account, route and status.",
                                      {"account", "route", "status"})),
      turn_aways_(metrics.add_counters("callers_turned_away_total",
                                       "Callers turned away to free memory or a connection.",
                                       {"reason"})),
      closures_(metrics.add_counters("caller_connections_closed_total",
                                     "Closed connections of callers by what they were doing.",
                                     {"phase", "reason"})),
      resumptions_(metrics.add_counters("stream_resumptions_total",
                                        "Streams that callers resumed, by outcome.",
                                        {"outcome", "went_on"})),
      passed_on_(metrics.add_counters("requests_passed_on_total",
                                      "Requests passed on to other VMs, by outcome.", {"outcome"})),
      relayed_(metrics.add_counters("requests_relayed_total",
                                    "Requests of other VMs' callers, by status.", {"status"})),
      discarded_bytes_(metrics.add_counters("caller_bytes_discarded_total",
                                            "Input that arrived on closed connections of callers.",
                                            {"reason"})),
      undelivered_responses_(
          metrics.add_counters("caller_responses_undelivered_total",
                               "Last responses of connections that were closed before their "
                               "callers had received them.",
                               {"reason"})),
      latencies_(metrics.add_histograms("request_seconds", "Time to the end of an answer.",
                                        {"account", "route"})),
      unread_times_(
          metrics
              .add_histograms("request_unread_seconds", "Time for which requests lay unread.", {})
              .with({})),
      turn_times_(metrics
                      .add_histograms("loop_turn_seconds",
                                      "Time of a turn of the event loop that handled input.", {})
                      .with({})),
      turns_(loop, time, [this](duration it) { on_turn(it); }),
      pauses_(settings_.pause_limit),
      confirmation_timer_(loop) {
    pool_.set_observer(*reachability_);
}

gateway::~gateway() = default;

void gateway::on_configuration(routing::configuration_ptr it) {
    const bool is_change = configuration_ != nullptr;
    configuration_ = std::move(it);
    limiter_.configure(configuration_->accounts(), time_.now());
    cold_limits_.configure(configuration_->services(), time_.now());
    for (const routing::service& service : configuration_->services()) {
        if (service.engine && service.engine->max_adapters > 0) {
            adapters_.set_cache_size(service.engine->cached_adapters());
        }
    }
    shared_services_ = routing::services_of_split_streams(*configuration_);
    if (is_change) {
        move_waiting_requests();
    }
}

void gateway::on_software_record(const std::vector<routing::software>& seen) {
    software_.on_record(seen, time_.now());
}

void gateway::on_streams_announced(const routing::stream_group& it) {
    origins_.on_announced(it, time_.now());
}

std::optional<routing::software> gateway::origin_of(routing::stream_key stream) const {
    const routing::software* found = origins_.find(stream);
    return found == nullptr ? std::nullopt : std::make_optional(*found);
}

void gateway::on_stream_origin(routing::stream_key stream,
                               const std::optional<routing::software>& began_at) {
    if (began_at) {
        on_streams_announced({*began_at, {stream}});
    }
    std::vector<std::shared_ptr<exchange>> waiters;
    const auto [begin, end] = origin_waiters_.equal_range(stream);
    for (auto it = begin; it != end; ++it) {
        if (auto held = it->second.lock()) {
            waiters.push_back(std::move(held));
        }
    }
    if (began_at) {
        origin_waiters_.erase(stream);
    }
    for (const auto& it : waiters) {
        it->on_origin_told(began_at);
    }
}

void gateway::wait_for_origin(routing::stream_key stream, const std::shared_ptr<exchange>& it) {
    origin_waiters_.emplace(stream, it);
}

std::size_t gateway::ask_for_origin(routing::stream_key stream) {
    return stream_peers_ == nullptr ? 0 : stream_peers_->ask(stream);
}

origin_knowledge gateway::knowledge_of_origins() const {
    if (stream_peers_ == nullptr) {
        return origin_knowledge::complete;
    }
    const origin_knowledge streams = stream_peers_->knowledge();
    const bool awaits_record = streams == origin_knowledge::complete && !software_.knows_past();
    return awaits_record ? origin_knowledge::incomplete : streams;
}

bool gateway::is_ambiguous(const service_id& service) const {
    return shared_services_.count(service) != 0 ||
           software_.recent(service, time_.now()).size() > 1;
}

bool gateway::is_announced(const service_id& service) const {
    return are_endpoints_old() || is_ambiguous(service);
}

bool gateway::are_endpoints_old() const {
    return endpoints_age_() > settings_.max_endpoints_age;
}

void gateway::note_stream(routing::stream_key stream, const routing::software& at) {
    origins_.on_begin(stream, at, time_.now());
    if (stream_peers_ != nullptr && is_announced(at.service)) {
        stream_peers_->announce_soon();
    }
}

std::vector<routing::stream_group> gateway::take_unannounced_streams() {
    return origins_.take_unannounced(
        [this](const routing::software& it) { return is_announced(it.service); });
}

std::optional<routing::software> gateway::only_software(const routing::route& it) const {
    std::vector<routing::software> all;
    for (const routing::weighted_service& each : it.services) {
        const auto recent = software_.recent(each.service, time_.now());
        all.insert(all.end(), recent.begin(), recent.end());
    }
    const bool is_known = software_.knows_past() && all.size() == 1;
    return is_known ? std::make_optional(all.front()) : std::nullopt;
}

bool gateway::is_serving(const routing::software& it) const {
    const auto usable = directory_.usable(it.service);
    return std::any_of(usable.begin(), usable.end(), [&](const routing::endpoint* each) {
        return routing::software_of(*each) == it;
    });
}

void gateway::wait_for_endpoints(const std::shared_ptr<exchange>& it) {
    endpoints_waiters_.push_back(it);
    confirm_endpoints_();
}

void gateway::on_endpoints_confirmed(time_point read_began) {
    endpoints_read_began_ = std::max(endpoints_read_began_, read_began);
    const auto waiters = std::exchange(endpoints_waiters_, {});
    for (const auto& it : waiters) {
        if (const auto held = it.lock()) {
            held->on_endpoints_confirmed();
        }
    }
}

void gateway::note_serving_software() {
    const time_point now = time_.now();
    for (const routing::endpoint* it : directory_.all()) {
        software_.on_seen(routing::software_of(*it), now);
    }
    origins_.drop_expired(now);
    for (auto it = origin_waiters_.begin(); it != origin_waiters_.end();) {
        it = it->second.expired() ? origin_waiters_.erase(it) : std::next(it);
    }
    endpoints_waiters_.erase(std::remove_if(endpoints_waiters_.begin(), endpoints_waiters_.end(),
                                            [](const auto& waiter) { return waiter.expired(); }),
                             endpoints_waiters_.end());
}

routing::evacuation_changes gateway::on_evacuations(gsl::span<const zone_id> zones) {
    are_evacuations_known_ = true;
    routing::evacuation_changes changes = evacuations_.on_list(zones);
    apply_evacuations(changes);
    return changes;
}

routing::evacuation_changes gateway::on_evacuation(const zone_id& zone, bool begun) {
    routing::evacuation_changes changes =
        begun ? evacuations_.on_begin(zone) : evacuations_.on_end(zone);
    apply_evacuations(changes);
    return changes;
}

void gateway::apply_evacuations(const routing::evacuation_changes& changes) {
    if (!changes.begun.empty()) {
        move_waiting_requests();
    }
    const auto& ended = changes.ended;
    if (ended.empty()) {
        return;
    }
    for (const routing::endpoint* it : directory_.all()) {
        if (std::find(ended.begin(), ended.end(), it->zone) != ended.end()) {
            cold_limits_.on_evacuation_ended(it->id, time_.now());
        }
    }
}

void gateway::move_waiting_requests() {
    for (const auto& it : requests_in_progress()) {
        it->on_zones_changed();
    }
}

void gateway::note_running() {
    turns_.note_input();
    const time_point now = time_.now();
    if (!pauses_.on_running(now)) {
        return;
    }
    telemetry::log_event(
        telemetry::severity::warning, "was_paused",
        {{"configuration_age", configuration_age_()}, {"requests", exchanges_.size()}});
    awaits_confirmation_ = true;
    pause_ended_ = now;
    confirmation_timer_.expires_after(settings_.confirmation_wait);
    confirmation_timer_.async_wait([this](const boost::system::error_code& ec) {
        // Another pause may have ended since this handler was queued.
        if (!ec && is_due(confirmation_timer_)) {
            release_held_requests();
        }
    });
    on_pause_();
}

void gateway::on_configuration_confirmed(time_point read_began) {
    if (awaits_confirmation_ && read_began >= pause_ended_) {
        confirmation_timer_.cancel();
        release_held_requests();
    }
}

void gateway::release_held_requests() {
    awaits_confirmation_ = false;
    const auto held = std::exchange(held_requests_, {});
    for (const auto& it : held) {
        if (const auto request = it.lock()) {
            request->on_configuration_confirmed();
        }
    }
}

void gateway::set_serving(const vm_id& self, gsl::span<const vm_id> vms) {
    quarantine_.set_vms(self, vms);
}

void gateway::set_members(const vm_id& self, gsl::span<const vm_id> vms, bool is_counted) {
    fleet_size_ = std::max<std::size_t>(1, vms.size());
    reachability_->set_vm(self);
    std::vector<vm_id> others(vms.begin(), vms.end());
    others.erase(std::remove(others.begin(), others.end(), self), others.end());
    limiter_.set_members(others);
    limits_.set_vms(self, vms, time_.now());
    cold_limits_.set_vms(self, is_counted ? vms : gsl::span<const vm_id>(), time_.now());
    log_cold_changes();
}

void gateway::on_notice(const routing::endpoint_incarnation& from,
                        const routing::endpoint_notice& it) {
    const time_point now = time_.now();
    if (it.rate_limit) {
        on_stated_limit(from, {it.rate_limit, now, now, false});
    }
    on_cold_notice(from, it);
    if (directory_.on_notice(from, it, now)) {
        telemetry::log_event(telemetry::severity::info, "endpoint_notice",
                             {{"endpoint", from.id},
                              {"leaving", it.leaving},
                              {"pause", it.pause.value_or(duration::zero())}});
    }
}

void gateway::on_version(const routing::model_ref& adapter, std::uint64_t version, time_point at) {
    if (version <= adapters_.newest_version(adapter)) {
        return;
    }
    adapters_.on_version(adapter, version, at);
    const auto wait = std::chrono::duration_cast<duration>(settings_.version_apply *
                                                           settings_.version_wait_share);
    const duration left = std::max(duration::zero(), wait - (time_.now() - at));
    version_timers_.emplace_front(loop_, left);
    const auto timer = version_timers_.begin();
    timer->async_wait([this, timer, adapter, version](const boost::system::error_code& ec) {
        if (ec) {
            return;
        }
        version_timers_.erase(timer);
        for (const auto& it : requests_in_progress()) {
            it->on_version_in_force(adapter, version);
        }
    });
}

void gateway::on_stated_limit(const routing::endpoint_incarnation& from,
                              const routing::limit_observation& observation) {
    if (limits_.on_response(from, observation)) {
        log_limit(from.id, vm_id());
        on_limit_change_();
    }
}

void gateway::on_peer_limit(const vm_id& by, const routing::advertised_limit& it) {
    const routing::endpoint* known = directory_.find(it.endpoint);
    const bool is_of_older_incarnation =
        known != nullptr && it.started_at_ms < known->started_at_ms;
    if (!is_of_older_incarnation && limits_.on_peer_limit(it, time_.now())) {
        log_limit(it.endpoint, by);
    }
}

void gateway::log_limit(const endpoint_id& id, const vm_id& by) const {
    telemetry::log_event(telemetry::severity::info, "endpoint_limit",
                         {{"endpoint", id},
                          {"rate_limit", limits_.rate(id).value_or(-1)},
                          {"told_by", by},
                          {"vms", fleet_size_},
                          {"part", limits_.share(id)}});
}

void gateway::on_cold_notice(const routing::endpoint_incarnation& asked,
                             const routing::endpoint_notice& it) {
    if (!it.cold_left) {
        return;
    }
    if (!it.answered_by || *it.answered_by == asked.id) {
        cold_limits_.on_response(asked, *it.cold_left, time_.now());
    } else if (const routing::endpoint* other = directory_.find(*it.answered_by)) {
        cold_limits_.on_response(routing::incarnation_of(*other), *it.cold_left, time_.now());
    }
}

void gateway::log_cold_changes() {
    const time_point now = time_.now();
    for (const routing::cold_change& it : cold_limits_.take_changes(now)) {
        telemetry::log_event(telemetry::severity::info, "endpoint_cold",
                             {{"endpoint", it.endpoint},
                              {"cold", it.is_cold},
                              {"left", it.left},
                              {"age", it.age},
                              {"rate_limit", cold_limits_.rate(it.endpoint, now).value_or(-1)},
                              {"part", cold_limits_.share(it.endpoint, now)},
                              {"vms", fleet_size_}});
    }
}

void gateway::on_unanswered(const routing::endpoint_incarnation& at,
                            gsl::span<const routing::suspect_id> suspects) {
    const routing::endpoint* known = directory_.find(at.id);
    // An endpoint that leaves breaks off what it has not finished.
    const bool may_have_crashed =
        known != nullptr && !known->draining && known->started_at_ms == at.started_at_ms;
    if (may_have_crashed) {
        crashes_->check(at, known->address, reachability_->controls_for(*known),
                        {suspects.begin(), suspects.end()});
    }
}

void gateway::on_crash(const routing::endpoint_incarnation& crashed,
                       const std::vector<std::vector<routing::suspect_id>>& requests) {
    const time_point now = time_.now();
    std::vector<routing::suspect_id> blocked;
    for (const auto& suspects : requests) {
        telemetry::log_event(telemetry::severity::warning, "suspects_accused",
                             {{"endpoint", crashed.id}, {"suspects", routing::to_text(suspects)}});
        const auto added = quarantine_.on_crash(routing::crash_of(crashed), suspects, now);
        blocked.insert(blocked.end(), added.begin(), added.end());
    }
    on_suspects_change_();
    end_requests_with(blocked, vm_id());
}

void gateway::on_answered(gsl::span<const routing::suspect_id> suspects) {
    quarantine_.on_answered(suspects, time_.now());
    if (quarantine_.has_changes()) {
        on_suspects_change_();
    }
}

bool gateway::reaches(const service_id& it) const {
    return reachability_->reaches(it);
}

std::vector<service_id> gateway::unreached_services() const {
    return reachability_->unreached();
}

void gateway::set_on_reachability_change(
    std::function<void(const service_id& service, bool reached)> call) {
    reachability_->set_on_change(std::move(call));
}

void gateway::on_peer_unreached(const vm_id& by, const std::vector<service_id>& services,
                                duration lifetime) {
    peer_reachability_.on_status(by, services, time_.now(), lifetime);
}

void gateway::begin_trial(const routing::suspect_id& id, const request_id& request) {
    telemetry::log_event(telemetry::severity::warning, "suspect_trial",
                         {{"suspect", routing::to_text(id)}, {"request", request}});
    quarantine_.begin_trial(id, time_.now());
    on_suspects_change_();
}

void gateway::on_peer_suspects(const vm_id& by, gsl::span<const routing::suspect> suspects) {
    const auto blocked = quarantine_.on_peer_suspects(suspects, time_.now());
    if (quarantine_.has_changes()) {
        on_suspects_change_();
    }
    end_requests_with(blocked, by);
}

void gateway::end_requests_with(gsl::span<const routing::suspect_id> blocked, const vm_id& by) {
    if (blocked.empty()) {
        return;
    }
    for (const routing::suspect_id& it : blocked) {
        telemetry::log_event(
            telemetry::severity::warning, "suspect_blocked",
            {{"suspect", routing::to_text(it)}, {"is_request", it.is_request()}, {"told_by", by}});
    }
    for (const auto& it : requests_in_progress()) {
        it->on_suspects_blocked();
    }
}

std::vector<std::shared_ptr<exchange>> gateway::requests_in_progress() const {
    std::vector<std::shared_ptr<exchange>> out;
    for (exchange* it : exchanges_) {
        out.push_back(it->shared_from_this());
    }
    return out;
}

duration gateway::wait_for(const endpoint_id& id) const {
    const time_point now = time_.now();
    const duration for_limits = std::max(limits_.wait(id, now), cold_limits_.wait(id, now));
    return std::max(std::min(for_limits, max_limit_wait), directory_.pause_left(id, now));
}

std::optional<duration> gateway::wait_for_any(const service_id& id,
                                              const routing::zone_filter& zones) const {
    std::optional<duration> least;
    for (const routing::endpoint* it : directory_.usable(id)) {
        if (zones.permits(it->zone)) {
            least = std::min(least.value_or(duration::max()), wait_for(it->id));
        }
    }
    return least == duration::zero() ? std::nullopt : least;
}

bool gateway::are_all_evacuated(const service_id& id, const routing::zone_filter& zones) const {
    bool is_any_evacuated = false;
    for (const routing::endpoint* it : directory_.usable(id)) {
        if (!zones.is_allowed(it->zone)) {
            continue;
        }
        if (!zones.is_evacuated(it->zone)) {
            return false;
        }
        is_any_evacuated = true;
    }
    return is_any_evacuated;
}

void gateway::reconfigure(gateway_settings settings) {
    const bool same_retries = settings.retry_ratio == settings_.retry_ratio &&
                              settings.retry_reserve == settings_.retry_reserve;
    if (!same_retries) {
        budgets_.clear();
    }
    settings_ = std::move(settings);
    budget_->set_limit(settings_.max_held_bytes);
    chooser_.set_location(settings_.location);
    limiter_.set_overdraft(settings_.limiter.overdraft);
}

void gateway::on_endpoint(const routing::endpoint& it) {
    const auto change = directory_.on_entry(it, time_.now());
    software_.on_seen(routing::software_of(it), time_.now());
    if (change == routing::directory_change::none) {
        return;
    }
    if (change == routing::directory_change::restarted) {
        adapters_.on_removed(it.id);
        prompts_.forget(it.id);
        pool_.close_idle(it.id);
        reachability_->forget(it.id);
    }
    limits_.on_entry(it);
    cold_limits_.on_entry(it, time_.now());
    adapters_.on_entry(it, time_.now());
}

void gateway::on_endpoint_removed(const endpoint_id& id) {
    cold_limits_.on_entry_removed(id, time_.now());
    adapters_.on_removed(id);
    reachability_->forget(id);
    pool_.close_idle(id);
}

std::size_t gateway::fleet_loads() const {
    const time_point now = time_.now();
    if (fleet_loads_at_ == time_point::min() || now - fleet_loads_at_ >= fleet_loads_interval) {
        fleet_loads_ = adapters_.loads_under_way(now);
        fleet_loads_at_ = now;
    }
    return fleet_loads_;
}

std::string_view gateway::software_version_of(const endpoint_id& id) const {
    const routing::endpoint* known = directory_.find(id);
    return known == nullptr ? std::string_view() : std::string_view(known->software_version);
}

void gateway::wait_for_load(const load_key& key, const std::shared_ptr<exchange>& it) {
    load_waiters_[key].push_back(it);
}

void gateway::on_adapter(const endpoint_id& engine, const routing::model_ref& adapter,
                         const routing::adapter_view& view) {
    adapters_.on_hint(engine, adapter, view, time_.now());
    const auto found = load_waiters_.find({engine, adapter});
    if (found == load_waiters_.end() || view.state == routing::adapter_state::absent) {
        return;
    }
    const auto waiters = std::move(found->second);
    load_waiters_.erase(found);
    for (const auto& it : waiters) {
        if (const auto held = it.lock()) {
            held->on_load_granted(engine, view.ready_at);
        }
    }
}

void gateway::on_load_refused(const endpoint_id& engine, const routing::model_ref& adapter,
                              std::optional<duration> ready_in) {
    const auto found = load_waiters_.find({engine, adapter});
    if (found == load_waiters_.end()) {
        return;
    }
    const auto waiters = std::move(found->second);
    load_waiters_.erase(found);
    for (const auto& it : waiters) {
        if (const auto held = it.lock()) {
            held->on_load_refused(engine, ready_in);
        }
    }
}

void gateway::sweep() {
    peer_pool_.sweep();
    note_serving_software();
    peer_reachability_.drop_expired(time_.now());
    finishing_.erase(std::remove_if(finishing_.begin(), finishing_.end(),
                                    [](const auto& it) { return !it->is_sending(); }),
                     finishing_.end());
    for (const auto& it : callers_) {
        it->charge_unread();
    }
    log_turned_away();
    const auto is_closed = [](const std::weak_ptr<link>& it) {
        const auto open = it.lock();
        return !open || !open->is_open();
    };
    lingering_.erase(std::remove_if(lingering_.begin(), lingering_.end(), is_closed),
                     lingering_.end());
    for (auto it = load_waiters_.begin(); it != load_waiters_.end();) {
        auto& waiters = it->second;
        waiters.erase(std::remove_if(waiters.begin(), waiters.end(),
                                     [](const auto& waiter) { return waiter.expired(); }),
                      waiters.end());
        it = waiters.empty() ? load_waiters_.erase(it) : std::next(it);
    }
}

requests::retry_budget& gateway::budget_of(const service_id& id) {
    const auto found = budgets_.find(id);
    if (found != budgets_.end()) {
        return found->second;
    }
    requests::retry_limits limits;
    limits.ratio = settings_.retry_ratio;
    limits.capacity = std::max(1.0, settings_.retry_reserve / static_cast<double>(fleet_size_));
    // Many daemons may start at the same time, for example after a power failure.
    limits.initial = 1;
    return budgets_.emplace(id, requests::retry_budget(limits, 1)).first->second;
}

void gateway::on_turn(duration length) {
    turn_times_.record(length);
    if (length > late_turn) {
        telemetry::log_event(telemetry::severity::warning, "loop_late",
                             {{"turn", length},
                              {"callers", callers_.size()},
                              {"requests", exchanges_.size()},
                              {"queued", queue_.size()}});
    }
}

void gateway::queue_start(const std::shared_ptr<exchange>& it) {
    queue_.add(it, it->start_terms());
    schedule_new_work();
}

void gateway::schedule_new_work() {
    if (!is_new_work_scheduled_) {
        is_new_work_scheduled_ = true;
        boost::asio::post(loop_, [this] { do_new_work(); });
    }
}

void gateway::do_new_work() {
    is_new_work_scheduled_ = false;
    for (std::size_t i = 0; i < settings_.new_work_per_turn && start_next(); ++i) {
    }
    if (queue_.empty() && accepted_.empty()) {
        left_over_since_.reset();
        return;
    }
    const time_point now = time_.now();
    left_over_since_ = left_over_since_.value_or(now);
    if (is_overloaded(now)) {
        refuse_expired(now);
    }
    schedule_new_work();
}

bool gateway::start_next() {
    if (const auto next = queue_.take()) {
        if (const auto request = next->lock()) {
            request->on_turn_to_start();
        }
        return true;
    }
    return read_newest();
}

bool gateway::read_newest() {
    while (!accepted_.empty()) {
        accepted_connection it = std::move(accepted_.back());
        accepted_.pop_back();
        if (!has_caller_left(it)) {
            start_reading(std::move(it));
            return true;
        }
    }
    return false;
}

bool gateway::is_overloaded(time_point now) const {
    return left_over_since_ && now - *left_over_since_ >= settings_.max_unread;
}

void gateway::refuse_expired(time_point now) {
    for (const auto& it : queue_.take_expired(now, settings_.refusals_per_turn)) {
        if (const auto request = it.lock()) {
            request->refuse_overloaded();
        }
    }
    const std::uint64_t refused_before = refused_unread_;
    const time_point oldest = now - settings_.max_unread;
    while (!accepted_.empty() && accepted_.front().established < oldest &&
           refused_unread_ - refused_before < settings_.refusals_per_turn) {
        accepted_connection it = std::move(accepted_.front());
        accepted_.pop_front();
        if (!has_caller_left(it)) {
            refuse_unread(std::move(it));
        }
    }
    if (refused_unread_ != refused_before) {
        telemetry::log_event(telemetry::severity::warning, "refused_unread",
                             {{"requests", refused_unread_ - refused_before},
                              {"reason", "overloaded"},
                              {"overloaded_for", now - *left_over_since_},
                              {"left_unread", accepted_.size()},
                              {"queued", queue_.size()}});
    }
}

void gateway::refuse_unread(accepted_connection it) {
    if (!it.connection->has_unread()) {
        start_reading(std::move(it));
        return;
    }
    ++refused_unread_;
    it.connection->start();
    it.connection->write(std::string(overloaded_response));
    it.connection->finish(
        [this](const finish_outcome& how) { on_finished(close_reason::refused_early, how); },
        linger_for_rest(caller_limits()));
    lingering_.push_back(it.connection);
    closures_.with({to_text(caller_phase::accepted), to_text(close_reason::refused_early)}).add();
}

void gateway::close_unread(const accepted_connection& it, close_reason why) {
    const caller_closure how{caller_phase::accepted, why, it.connection->unread_bytes(), 0,
                             time_.now() - it.established};
    closures_.with({to_text(how.phase), to_text(how.reason)}).add();
    if (how.unread > 0) {
        log_cut(how);
    }
    it.connection->close();
}

bool gateway::has_caller_left(const accepted_connection& it) {
    const bool has_left = it.connection->receiving().has_ended;
    if (has_left) {
        ++callers_left_unread_;
        closures_.with({to_text(caller_phase::accepted), to_text(close_reason::by_caller)}).add();
    }
    return has_left;
}

void gateway::accept(link::socket socket) {
    turns_.note_input();
    if (connection_count() >= settings_.max_connections && !free_connection()) {
        // The new connection is closed with its socket.
        note_turned_away(connection_limit);
        closures_.with({to_text(caller_phase::accepted), to_text(close_reason::turned_away)}).add();
        return;
    }
    link_options options;
    options.receive_buffer = caller_receive_buffer;
    options.lease = connections_;
    accepted_.push_back(
        {std::make_shared<link>(std::move(socket), options), time_.now() - turns_.max_unread()});
    schedule_new_work();
}

void gateway::start_reading(accepted_connection accepted) {
    auto it = std::make_shared<caller_link>(std::move(accepted.connection), loop_, time_, *this);
    callers_.insert(it);
    it->start(accepted.established);
}

void gateway::close_idle_callers() {
    const std::vector<std::shared_ptr<caller_link>> all(callers_.begin(), callers_.end());
    const time_point now = time_.now();
    std::size_t closed = 0;
    duration least_idle = duration::max();
    for (const auto& it : all) {
        if (it->is_busy()) {
            it->note_in_use(now);
        } else if (it->idle_time(now) >= quiet_time) {
            ++closed;
            least_idle = std::min(least_idle, it->idle_time(now));
            it->close(close_reason::stopping);
        }
    }
    if (closed > 0) {
        telemetry::log_event(telemetry::severity::info, "idle_callers_closed",
                             {{"callers", closed}, {"least_idle", least_idle}});
    }
}

void gateway::end_requests() {
    for (const auto& it : requests_in_progress()) {
        it->on_stop();
    }
    const std::vector<std::shared_ptr<caller_link>> all(callers_.begin(), callers_.end());
    for (const auto& it : all) {
        if (it->phase() == caller_phase::arriving) {
            it->turn_away(stopping);
        }
    }
    for (accepted_connection& it : std::exchange(accepted_, {})) {
        if (!has_caller_left(it)) {
            refuse_unread(std::move(it));
        }
    }
}

void gateway::close_callers() {
    for (const accepted_connection& it : accepted_) {
        close_unread(it, close_reason::stopping);
    }
    accepted_.clear();
    const std::vector<std::shared_ptr<caller_link>> all(callers_.begin(), callers_.end());
    for (const auto& it : all) {
        it->close(close_reason::stopping);
    }
    for (const std::weak_ptr<link>& it : lingering_) {
        if (const auto open = it.lock()) {
            open->close();
        }
    }
}

bool gateway::is_drained() const {
    // The end of the process resets a connection whose caller still sends, with what it has not
    // received.
    return request_count() == 0 && connection_count() == 0;
}

bool gateway::is_sending_last_answers() const {
    return std::any_of(finishing_.begin(), finishing_.end(),
                       [](const auto& it) { return it->is_sending(); });
}

std::size_t gateway::unsent_bytes() const {
    std::size_t sum = 0;
    for (const auto& it : callers_) {
        sum += it->unsent();
    }
    for (const auto& it : finishing_) {
        sum += it->is_sending() ? it->unsent() : 0;
    }
    return sum;
}

std::size_t gateway::unsent_limit() const {
    const std::size_t total =
        std::min(settings_.max_total_unsent, budget_->limit() / unsent_part_of_budget);
    const std::size_t share = total / std::max<std::size_t>(1, exchanges_.size());
    return std::clamp(share, settings_.min_unsent, settings_.max_unsent);
}

caller_service::limits gateway::caller_limits() const {
    caller_service::limits out;
    if (configuration_) {
        const routing::caller_limits& it = configuration_->limits();
        out = {it.max_header_bytes, it.max_body_bytes, it.header_timeout, it.idle_timeout};
    }
    return out;
}

std::shared_ptr<request_work> gateway::start(caller_request request, response_writer& out) {
    note_running();
    unread_times_.record(time_.now() - request.received);
    auto it = std::make_shared<exchange>(*this, std::move(request), out);
    if (awaits_confirmation_) {
        held_requests_.push_back(it);
        it->hold();
    } else {
        it->start();
    }
    return it;
}

bool gateway::refuse_early(caller_request head, response_writer& out) {
    note_running();
    if (awaits_confirmation_) {
        return false;
    }
    return std::make_shared<exchange>(*this, std::move(head), out)->refuse_early();
}

void gateway::refuse(caller_request head, std::string_view reason, response_writer& out) {
    std::make_shared<exchange>(*this, std::move(head), out)->refuse_incomplete(reason);
}

std::shared_ptr<caller_link> gateway::find_caller(memory_budget::holder_id id) const {
    const auto is_holder = [id](const auto& it) { return it->holder() == id; };
    const auto open = std::find_if(callers_.begin(), callers_.end(), is_holder);
    if (open != callers_.end()) {
        return *open;
    }
    const auto finishing = std::find_if(finishing_.begin(), finishing_.end(), is_holder);
    return finishing == finishing_.end() ? nullptr : *finishing;
}

void gateway::note_turned_away(std::string_view reason) {
    ++turned_away_;
    turn_aways_.with({reason}).add();
}

bool gateway::free_connection() {
    for (const std::weak_ptr<link>& it : lingering_) {
        const auto open = it.lock();
        // A last response that its caller still receives is not cut.
        if (open && open->is_open() && open->undelivered() == 0) {
            open->close();
            return true;
        }
    }
    const auto id = budget_->connection_to_close(time_.now());
    if (id) {
        turn_away(*id, connection_limit);
    }
    return id.has_value();
}

void gateway::turn_away(memory_budget::holder_id id, std::string_view reason) {
    note_turned_away(reason);
    if (const auto it = find_caller(id)) {
        it->turn_away(reason);
    } else {
        // A closed connection that is kept alive only by a pending callback.
        budget_->remove(id);
    }
}

void gateway::relieve_memory() {
    const time_point now = time_.now();
    while (budget_->is_short()) {
        const auto id = budget_->holder_to_turn_away(now);
        if (!id) {
            return;
        }
        const std::size_t held = budget_->held();
        turn_away(*id, memory_limit);
        if (budget_->held() >= held) {
            // The responses themselves are all that is left.
            return;
        }
    }
}

void gateway::schedule_relief() {
    if (!is_relief_scheduled_) {
        is_relief_scheduled_ = true;
        boost::asio::post(loop_, [this] {
            is_relief_scheduled_ = false;
            relieve_memory();
        });
    }
}

void gateway::log_turned_away() {
    if (turned_away_ == 0) {
        return;
    }
    telemetry::log_event(telemetry::severity::warning, "callers_turned_away",
                         {{"callers", turned_away_},
                          {"held", budget_->held()},
                          {"limit", budget_->limit()},
                          {"connections", connection_count()},
                          {"max_connections", settings_.max_connections}});
    turned_away_ = 0;
}

void gateway::log_cut(const caller_closure& how) const {
    telemetry::log_event(telemetry::severity::warning, "caller_cut",
                         {{"phase", to_text(how.phase)},
                          {"reason", to_text(how.reason)},
                          {"unread", how.unread},
                          {"undelivered", how.undelivered},
                          {"phase_age", how.phase_age},
                          {"idle_timeout_ms", caller_limits().idle_timeout.count()},
                          {"configuration", configuration_ ? configuration_->version() : 0},
                          {"configuration_age", configuration_age_()}});
}

void gateway::on_finished(close_reason why, const finish_outcome& it) {
    if (it.discarded > 0) {
        discarded_bytes_.with({to_text(why)}).add(it.discarded);
    }
    // What arrives behind a request that was refused early is its own rest.
    const bool is_request_lost = it.discarded > 0 && why != close_reason::refused_early;
    if (is_request_lost) {
        telemetry::log_event(telemetry::severity::warning, "caller_input_discarded",
                             {{"reason", to_text(why)}, {"bytes", it.discarded}});
    }
    if (it.undelivered > 0) {
        undelivered_responses_.with({to_text(why)}).add();
        telemetry::log_event(telemetry::severity::warning, "caller_response_undelivered",
                             {{"reason", to_text(why)},
                              {"bytes", it.undelivered},
                              {"discarded", it.discarded},
                              {"stopping", is_stopping()}});
    }
}

void gateway::on_closed(const std::shared_ptr<caller_link>& it, const caller_closure& how) {
    closures_.with({to_text(how.phase), to_text(how.reason)}).add();
    // What arrives after the last response was announced needs no response.
    const bool is_expected = how.reason == close_reason::by_caller ||
                             how.reason == close_reason::last_response ||
                             how.reason == close_reason::refused_early;
    const bool is_unanswered =
        how.phase != caller_phase::idle || how.unread > 0 || how.undelivered > 0;
    if (!is_expected && is_unanswered) {
        log_cut(how);
    }
    callers_.erase(it);
    if (it->connection()->is_open()) {
        lingering_.push_back(it->connection());
    }
    if (it->is_sending()) {
        finishing_.push_back(it);
    }
}

}  // namespace radishpulley::gateway
