#include "gateway/collection_follower.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "base/overloaded.h"
#include "telemetry/event_log.h"
#include "telemetry/guarded.h"

namespace radishpulley::gateway {
namespace {

// Returns the last change of each object. After an outage a watch returns all changes since then,
// and the intermediate states of an object no longer matter.
std::vector<const object_change*> latest_changes(const std::vector<object_change>& changes) {
    std::map<std::string_view, const object_change*> newest;
    for (const object_change& it : changes) {
        newest[it.object.name] = &it;
    }
    std::vector<const object_change*> out;
    for (const object_change& it : changes) {
        if (newest[it.object.name] == &it) {
            out.push_back(&it);
        }
    }
    return out;
}

// Covers processing time and late timers.
constexpr std::chrono::milliseconds pace_margin{100};
constexpr std::chrono::milliseconds min_watch_wait{200};
constexpr std::chrono::milliseconds max_watch_wait{10'000};
// Wait of the first watch after a failure, which only probes whether the store responds.
constexpr std::chrono::milliseconds probe_wait{1};
constexpr unsigned outage_failure_count = 2;
constexpr std::chrono::milliseconds min_reader_wait{10};
// Estimated bytes of an object in a list beside its name and contents.
constexpr std::size_t bytes_around_object = 256;
// Lists that a watch's changes may be as large as, and what they may be in any case.
constexpr std::size_t lists_per_changes = 2;
constexpr std::size_t min_change_bytes = 65'536;

std::size_t estimate_list_bytes(const object_list& all) {
    std::size_t out = 0;
    for (const stored_object& it : all.objects) {
        out += it.name.size() + it.contents.size() + bytes_around_object;
    }
    return out;
}

}  // namespace

follower_settings pace_for_staleness(duration bound, follower_settings with) {
    // A silent watch is closed after its wait and the response timeout; the next one is answered
    // within the response timeout.
    const std::chrono::milliseconds after_the_wait = with.response_timeout + with.initial_backoff +
                                                     with.response_timeout + with.pause +
                                                     pace_margin;
    with.watch_wait =
        std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(bound) - after_the_wait,
                   min_watch_wait, max_watch_wait);
    return with;
}

follower_settings pace_for_staleness_when_busy(duration bound, follower_settings with) {
    with.pause = std::chrono::milliseconds(0);
    with.pause = pace_for_staleness(bound, with).watch_wait / 2;
    return pace_for_staleness(bound, with);
}

collection_follower::collection_follower(boost::asio::io_context& loop, const clock& time,
                                         object_collections& store, std::string kind,
                                         follower_settings settings, follower_events events)
    : timer_(loop),
      report_timer_(loop),
      confirmation_timer_(loop),
      time_(time),
      store_(store),
      kind_(std::move(kind)),
      settings_(settings),
      events_(std::move(events)),
      backoff_(settings.initial_backoff),
      confirmed_at_(time.now()) {}

collection_follower::~collection_follower() {
    *alive_ = false;
}

void collection_follower::start() {
    list();
}

duration collection_follower::age() const {
    return time_.now() - confirmed_at_;
}

void collection_follower::run_after(std::chrono::milliseconds wait,
                                    void (collection_follower::*next)()) {
    timer_.expires_after(wait);
    timer_.async_wait([this, next, alive = alive_](const boost::system::error_code& ec) {
        if (!ec && *alive) {
            (this->*next)();
        }
    });
}

void collection_follower::list() {
    store_.list(kind_, [this, alive = alive_, began = time_.now()](const list_result& it) {
        if (*alive) {
            read_began_ = began;
            on_list(it);
        }
    });
}

void collection_follower::watch() {
    const std::uint64_t number = ++watch_number_;
    is_watching_ = true;
    timer_.cancel();
    watch_began_ = time_.now();
    const bool probes = std::exchange(confirms_next_, false) || failures_in_a_row_ > 0 ||
                        schedule_.role() == relay::copy_role::reader;
    const auto wait = probes ? probe_wait
                             : std::chrono::duration_cast<std::chrono::milliseconds>(
                                   schedule_.watch_wait(settings_.watch_wait));
    watch_terms terms;
    terms.wait = wait;
    terms.response_timeout = settings_.response_timeout;
    terms.freshness = settings_.freshness;
    terms.max_bytes = max_change_bytes();
    terms.on_progress = [this, alive = alive_] {
        if (*alive) {
            progress_at_ = time_.now();
        }
    };
    store_.watch(kind_, revision_, terms,
                 [this, number, began = watch_began_, alive = alive_](const changes_result& it) {
                     if (*alive) {
                         on_watch_end(number, began, it);
                     }
                 });
}

void collection_follower::on_watch_end(std::uint64_t number, time_point began,
                                       const changes_result& result) {
    const bool is_answer = std::holds_alternative<object_changes>(result);
    // Of concurrent watches, the first response is used; only the newest one's failure counts.
    const bool counts = is_answer ? number > answered_watch_number_ : number == watch_number_;
    if (!counts || !is_watching_) {
        return;
    }
    is_watching_ = false;
    answered_watch_number_ = watch_number_;
    read_began_ = began;
    on_changes(result);
}

std::size_t collection_follower::max_change_bytes() const {
    return list_bytes_ * lists_per_changes + min_change_bytes;
}

bool collection_follower::is_receiving() const {
    return progress_at_ >= watch_began_ && time_.now() - progress_at_ < settings_.response_timeout;
}

void collection_follower::renew() {
    // A second call would take its part of the link from a response that is arriving.
    if (time_.now() - watch_began_ < settings_.max_backoff || is_receiving()) {
        return;
    }
    if (!is_watching_ && has_list_ && schedule_.role() == relay::copy_role::reader) {
        watch();
    } else if (is_watching_) {
        telemetry::log_event(telemetry::severity::info, "store_watch_renewed",
                             {{"kind", kind_},
                              {"revision", revision_},
                              {"waited", time_.now() - watch_began_},
                              {"age", age()}});
        was_interrupted_ = true;
        watch();
    }
}

void collection_follower::confirm() {
    if (is_confirmation_scheduled_) {
        return;
    }
    is_confirmation_scheduled_ = true;
    const bool is_first = confirmation_began_ == time_point::min();
    const duration left =
        is_first ? duration::zero()
                 : settings_.confirmation_interval - (time_.now() - confirmation_began_);
    confirmation_timer_.expires_after(std::max(duration::zero(), left));
    confirmation_timer_.async_wait([this, alive = alive_](const boost::system::error_code& ec) {
        if (!ec && *alive) {
            is_confirmation_scheduled_ = false;
            begin_confirmation();
        }
    });
}

void collection_follower::begin_confirmation() {
    // A list that is under way or a response that is arriving leads to another request if it began
    // too early.
    if (has_list_ && !needs_list_ && !is_receiving()) {
        confirmation_began_ = time_.now();
        was_interrupted_ = was_interrupted_ || is_watching_;
        confirms_next_ = true;
        watch();
    }
}

void collection_follower::record_response() {
    const bool has_waited = schedule_.role() != relay::copy_role::reader;
    max_change_age_ = was_interrupted_ || (has_list_ && !has_waited) ? age() : duration::zero();
    was_interrupted_ = false;
    // If a call took longer than its timeout, this process paused after the response had arrived.
    const duration lasted = time_.now() - read_began_;
    const bool paused_meanwhile =
        has_list_ && lasted > settings_.watch_wait + settings_.response_timeout;
    confirmed_at_ = paused_meanwhile ? std::max(confirmed_at_, read_began_) : time_.now();
    backoff_ = settings_.initial_backoff;
    const unsigned failures = std::exchange(failures_in_a_row_, 0);
    if (failures > 0) {
        telemetry::log_event(telemetry::severity::info, "store_regained",
                             {{"kind", kind_}, {"failures", failures}, {"gap", max_change_age_}});
        events_.on_reachable(true);
    }
    if (failures >= outage_failure_count) {
        events_.on_outage_over();
    }
}

void collection_follower::on_list(const list_result& result) {
    std::visit(overloaded{[this](const object_list& it) {
                              const duration gap = has_list_ ? age() : duration::zero();
                              record_response();
                              // A list also brings what changed unnoticed since the last response.
                              max_change_age_ = std::max(max_change_age_, gap);
                              if (has_list_ && era_of(it.revision) != era_of(revision_)) {
                                  // Entries may be missing until their writers write them again.
                                  events_.on_outage_over();
                              }
                              has_list_ = true;
                              needs_list_ = false;
                              revision_ = it.revision;
                              list_bytes_ = estimate_list_bytes(it);
                              log_.restart(it.revision);
                              keep_bases(it);
                              telemetry::run_guarded("store list", [&] { events_.on_list(it); });
                              schedule_next_read(std::chrono::milliseconds(0));
                          },
                          [this](read_failure why) { fail(why); }},
               result);
}

void collection_follower::on_changes(const changes_result& result) {
    std::visit(overloaded{[this](const object_changes& it) {
                              record_response();
                              take_changes(it);
                              schedule_next_read(delay_after(it));
                              events_.on_confirmed();
                          },
                          [this](read_failure why) { fail(why); }},
               result);
}

void collection_follower::take_changes(const object_changes& it) {
    if (it.revision < revision_) {
        // Reports have advanced the copy beyond this response in the meantime.
        return;
    }
    revision_ = it.revision;
    for (const object_change* each : latest_changes(it.changes)) {
        if (events_.is_reportable(*each)) {
            // A removal has no revision of its own.
            const store_revision revision = each->removed ? it.revision : each->object.revision;
            if (auto described = describe(*each, revision)) {
                log_.add(std::move(*described), time_.now());
            } else {
                log_.restart(revision);
            }
        }
        apply(*each);
    }
}

std::optional<relay::reported_change> collection_follower::describe(const object_change& it,
                                                                    store_revision revision) const {
    if (settings_.reports == report_contents::none) {
        return std::nullopt;
    }
    relay::reported_change out{revision, it.object.name, it.removed, ""};
    if (it.removed || settings_.reports == report_contents::whole) {
        out.contents = it.removed ? "" : it.object.contents;
        return out;
    }
    const auto base = bases_.find(it.object.name);
    if (base == bases_.end()) {
        return std::nullopt;
    }
    auto delta =
        relay::make_delta(base->second.contents, it.object.contents, settings_.max_delta_bytes);
    if (!delta) {
        return std::nullopt;
    }
    out.delta = relay::object_delta{base->second.revision, std::move(*delta)};
    return out;
}

void collection_follower::apply(const object_change& it) {
    if (settings_.reports == report_contents::deltas) {
        if (it.removed) {
            bases_.erase(it.object.name);
        } else {
            bases_[it.object.name] = it.object;
        }
    }
    telemetry::run_guarded("store change", [&] { events_.on_change(it); });
}

void collection_follower::keep_bases(const object_list& all) {
    bases_.clear();
    if (settings_.reports != report_contents::deltas) {
        return;
    }
    for (const stored_object& it : all.objects) {
        bases_[it.name] = it;
    }
}

std::optional<relay::copy_report> collection_follower::report() {
    if (!has_list_ || needs_list_) {
        return std::nullopt;
    }
    log_.advance(time_.now());
    const auto age_ms = std::chrono::duration_cast<std::chrono::milliseconds>(age()).count();
    return relay::copy_report{kind_, revision_, log_.complete_after(),
                              static_cast<std::uint32_t>(age_ms), log_.changes()};
}

std::optional<relay::copy_report> collection_follower::full_report(std::size_t max_bytes) {
    auto out = report();
    std::size_t bytes = 0;
    for (const auto& [name, it] : bases_) {
        bytes += name.size() + it.contents.size();
    }
    if (out && bytes <= max_bytes) {
        out->complete_after = 0;
        out->changes.clear();
        for (const auto& [name, it] : bases_) {
            out->changes.push_back({it.revision, name, false, it.contents});
        }
    }
    return out;
}

void collection_follower::on_report(const relay::copy_report& it) {
    if (!has_list_ || needs_list_) {
        return;
    }
    const time_point confirmed = time_.now() - std::chrono::milliseconds(it.age_ms);
    if (revision_ < it.complete_after) {
        unlisted_revision_ = std::max(unlisted_revision_, it.complete_after);
        schedule_unlisted_fetch();
        return;
    }
    const store_revision previous_revision = revision_;
    max_change_age_ = std::chrono::milliseconds(it.age_ms);
    for (const relay::reported_change& change : it.changes) {
        if (change.revision > previous_revision && !apply_reported(change)) {
            unlisted_revision_ = std::max(unlisted_revision_, it.as_of);
            schedule_unlisted_fetch();
            return;
        }
    }
    revision_ = std::max(revision_, it.as_of);
    confirmed_at_ = std::max(confirmed_at_, confirmed);
}

bool collection_follower::apply_reported(const relay::reported_change& it) {
    object_change change{{it.name, it.revision, it.contents}, it.removed};
    if (it.delta) {
        const auto base = bases_.find(it.name);
        const bool has_base =
            base != bases_.end() && base->second.revision == it.delta->base_revision;
        auto contents = has_base ? relay::apply_delta(base->second.contents, it.delta->to_contents)
                                 : std::nullopt;
        if (!contents) {
            return false;
        }
        change.object.contents = std::move(*contents);
    }
    log_.add(it, time_.now());
    revision_ = std::max(revision_, it.revision);
    events_.is_reportable(change);
    apply(change);
    return true;
}

void collection_follower::schedule_unlisted_fetch() {
    if (unlisted_fetch_scheduled_ || schedule_.role() != relay::copy_role::reader) {
        // A watcher receives the changes from the store.
        return;
    }
    unlisted_fetch_scheduled_ = true;
    report_timer_.expires_after(std::max(settings_.unlisted_fetch_delay, settings_.pause));
    report_timer_.async_wait([this, alive = alive_](const boost::system::error_code& ec) {
        if (ec || !*alive) {
            return;
        }
        unlisted_fetch_scheduled_ = false;
        // After a failure the next retry is scheduled already.
        if (misses_changes() && !is_watching_ && failures_in_a_row_ == 0) {
            watch();
        }
    });
}

void collection_follower::set_rank(std::size_t rank, std::size_t vms) {
    const relay::copy_role before = schedule_.role();
    schedule_.set_rank(rank, vms);
    const bool stops_reading =
        before == relay::copy_role::reader && schedule_.role() != relay::copy_role::reader;
    if (stops_reading && has_list_ && !is_watching_ && failures_in_a_row_ == 0) {
        watch();
    }
}

void collection_follower::schedule_next_read(std::chrono::milliseconds pause) {
    if (schedule_.role() == relay::copy_role::reader) {
        read_if_due();
    } else if (pause.count() > 0) {
        run_after(pause, &collection_follower::watch);
    } else {
        watch();
    }
}

std::chrono::milliseconds collection_follower::reader_interval() const {
    const duration longest_age = settings_.watch_wait + settings_.pause;
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        schedule_.direct_read_age(longest_age));
}

void collection_follower::read_if_due() {
    const duration left = reader_interval() - age();
    if (left <= duration::zero() || misses_changes()) {
        watch();
        return;
    }
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(left);
    run_after(std::max(wait, min_reader_wait), &collection_follower::read_if_due);
}

std::chrono::milliseconds collection_follower::delay_after(const object_changes& it) const {
    if (!it.changes.empty()) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            schedule_.watch_wait(settings_.pause));
    }
    // Keeps from polling a store that responds without waiting.
    const bool waited = time_.now() - watch_began_ >= settings_.initial_backoff;
    return waited ? std::chrono::milliseconds(0) : settings_.initial_backoff;
}

void collection_follower::fail(read_failure why) {
    was_interrupted_ = has_list_;
    if (why != read_failure::unavailable) {
        const bool is_gone = why == read_failure::history_gone;
        telemetry::log_event(
            telemetry::severity::info, is_gone ? "store_history_gone" : "store_changes_too_large",
            {{"kind", kind_}, {"revision", revision_}, {"limit", max_change_bytes()}});
        needs_list_ = true;
        list();
        return;
    }
    if (++failures_in_a_row_ == 1) {
        telemetry::log_event(telemetry::severity::warning, "store_lost",
                             {{"kind", kind_}, {"revision", revision_}, {"age", age()}});
        events_.on_reachable(false);
    }
    if (needs_list_) {
        run_after(backoff_, &collection_follower::list);
    } else if (schedule_.role() == relay::copy_role::reader) {
        // A single call may have lost its connection. During an outage the watchers retry often and
        // report when the store responds again, so readers retry rarely.
        const bool is_away = failures_in_a_row_ >= outage_failure_count;
        run_after(is_away ? std::max(backoff_, reader_interval()) : backoff_,
                  &collection_follower::read_if_due);
    } else {
        run_after(backoff_, &collection_follower::watch);
    }
    backoff_ = std::min(backoff_ * 2, settings_.max_backoff);
}

}  // namespace radishpulley::gateway
