#include "gateway/collection_follower.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "base/overloaded.h"
#include "telemetry/event_log.h"

namespace radishpulley::gateway {
namespace {

// Returns the last change of each object. After an outage a watch tells all that happened since,
// and what an object was in between is past.
std::vector<const object_change*> newest_of_each(const std::vector<object_change>& changes) {
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

// Processing and timers that fire late.
constexpr std::chrono::milliseconds pace_reserve{100};
constexpr std::chrono::milliseconds least_watch_wait{200};
constexpr std::chrono::milliseconds longest_watch_wait{10'000};
// Of the first watch after a failure: it asks whether the store answers.
constexpr std::chrono::milliseconds probe_wait{1};
constexpr unsigned failures_of_an_outage = 2;
constexpr std::chrono::milliseconds least_reader_wait{10};

}  // namespace

follower_settings pace_for_staleness(duration bound, follower_settings with) {
    // The watch is given up after its wait and patience; the next one is answered within patience.
    const std::chrono::milliseconds after_the_wait =
        with.response_timeout + with.initial_backoff + with.response_timeout + with.pause + pace_reserve;
    with.watch_wait =
        std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(bound) - after_the_wait,
                   least_watch_wait, longest_watch_wait);
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
      time_(time),
      store_(store),
      kind_(std::move(kind)),
      settings_(settings),
      events_(std::move(events)),
      retry_(settings.initial_backoff),
      answered_at_(time.now()) {}

collection_follower::~collection_follower() {
    *alive_ = false;
}

void collection_follower::start() {
    list();
}

duration collection_follower::age() const {
    return time_.now() - answered_at_;
}

void collection_follower::after(std::chrono::milliseconds wait,
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
    earlier_watch_began_ = std::exchange(watch_began_, time_.now());
    const bool probes = failures_in_a_row_ > 0 || schedule_.role() == relay::copy_role::reader;
    const auto wait = probes ? probe_wait
                             : std::chrono::duration_cast<std::chrono::milliseconds>(
                                   schedule_.watch_wait(settings_.watch_wait));
    store_.watch(kind_, revision_, {wait, settings_.response_timeout, settings_.freshness},
                 [this, number, alive = alive_](const changes_result& it) {
                     if (*alive) {
                         on_watch_end(number, it);
                     }
                 });
}

void collection_follower::on_watch_end(std::uint64_t number, const changes_result& result) {
    const bool is_answer = std::holds_alternative<object_changes>(result);
    // Of several watches the first answer counts, and only the newest one's failure.
    const bool counts = is_answer ? number > answered_number_ : number == watch_number_;
    if (!counts || !is_watching_) {
        return;
    }
    is_watching_ = false;
    answered_number_ = watch_number_;
    read_began_ = number == watch_number_ ? watch_began_ : earlier_watch_began_;
    on_changes(result);
}

void collection_follower::renew() {
    if (time_.now() - watch_began_ < settings_.max_backoff) {
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

void collection_follower::note_answer() {
    const bool has_waited = schedule_.role() != relay::copy_role::reader;
    gap_ = was_interrupted_ || (has_list_ && !has_waited) ? age() : duration::zero();
    was_interrupted_ = false;
    // A call that lasted longer than its patience was answered before a pause of this process.
    const duration lasted = time_.now() - read_began_;
    const bool was_paused = has_list_ && lasted > settings_.watch_wait + settings_.response_timeout;
    answered_at_ = was_paused ? std::max(answered_at_, read_began_) : time_.now();
    retry_ = settings_.initial_backoff;
    const unsigned failures = std::exchange(failures_in_a_row_, 0);
    if (failures > 0) {
        telemetry::log_event(telemetry::severity::info, "store_regained",
                             {{"kind", kind_}, {"failures", failures}, {"gap", gap_}});
        events_.on_reachable(true);
    }
    if (failures >= failures_of_an_outage) {
        events_.on_outage_over();
    }
}

void collection_follower::on_list(const list_result& result) {
    std::visit(overloaded{[this](const object_list& it) {
                              note_answer();
                              has_list_ = true;
                              needs_list_ = false;
                              revision_ = it.revision;
                              log_.restart(it.revision);
                              events_.on_list(it);
                              read_on(std::chrono::milliseconds(0));
                          },
                          [this](read_failure why) { fail(why); }},
               result);
}

void collection_follower::on_changes(const changes_result& result) {
    std::visit(overloaded{[this](const object_changes& it) {
                              note_answer();
                              take_changes(it);
                              read_on(pause_after(it));
                              events_.on_confirmed();
                          },
                          [this](read_failure why) { fail(why); }},
               result);
}

void collection_follower::take_changes(const object_changes& it) {
    if (it.revision < revision_) {
        // Reports told more meanwhile.
        return;
    }
    revision_ = it.revision;
    for (const object_change* each : newest_of_each(it.changes)) {
        if (events_.matters(*each)) {
            // A removal has no revision of its own.
            const store_revision revision = each->removed ? it.revision : each->object.revision;
            note_for_reports({revision, each->object.name, each->removed,
                              each->removed ? "" : each->object.contents});
        }
        events_.on_change(*each);
    }
}

void collection_follower::note_for_reports(relay::reported_change it) {
    if (settings_.reports_contents) {
        log_.add(std::move(it), time_.now());
    } else {
        log_.restart(it.revision);
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

void collection_follower::on_report(const relay::copy_report& it) {
    if (!has_list_ || needs_list_) {
        return;
    }
    const time_point confirmed = time_.now() - std::chrono::milliseconds(it.age_ms);
    if (revision_ < it.complete_after) {
        unlisted_ = std::max(unlisted_, it.complete_after);
        ask_for_unlisted();
        return;
    }
    const store_revision known = revision_;
    revision_ = std::max(revision_, it.as_of);
    gap_ = std::chrono::milliseconds(it.age_ms);
    for (const relay::reported_change& change : it.changes) {
        if (change.revision <= known) {
            continue;
        }
        const object_change told{{change.name, change.revision, change.contents}, change.removed};
        note_for_reports(change);
        events_.matters(told);
        events_.on_change(told);
    }
    answered_at_ = std::max(answered_at_, confirmed);
}

void collection_follower::ask_for_unlisted() {
    if (is_asking_for_unlisted_ || schedule_.role() != relay::copy_role::reader) {
        // A watcher hears of it from the store.
        return;
    }
    is_asking_for_unlisted_ = true;
    report_timer_.expires_after(std::max(settings_.unlisted_fetch_delay, settings_.pause));
    report_timer_.async_wait([this, alive = alive_](const boost::system::error_code& ec) {
        if (ec || !*alive) {
            return;
        }
        is_asking_for_unlisted_ = false;
        // After a failure the next try is planned already.
        if (lacks_changes() && !is_watching_ && failures_in_a_row_ == 0) {
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

void collection_follower::read_on(std::chrono::milliseconds pause) {
    if (schedule_.role() == relay::copy_role::reader) {
        ask_if_due();
    } else if (pause.count() > 0) {
        after(pause, &collection_follower::watch);
    } else {
        watch();
    }
}

std::chrono::milliseconds collection_follower::reader_interval() const {
    const duration longest_age = settings_.watch_wait + settings_.pause;
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        schedule_.direct_read_age(longest_age));
}

void collection_follower::ask_if_due() {
    const duration left = reader_interval() - age();
    if (left <= duration::zero() || lacks_changes()) {
        watch();
        return;
    }
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(left);
    after(std::max(wait, least_reader_wait), &collection_follower::ask_if_due);
}

std::chrono::milliseconds collection_follower::pause_after(const object_changes& it) const {
    if (!it.changes.empty()) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            schedule_.watch_wait(settings_.pause));
    }
    // A store that answers without waiting is not asked again at once.
    const bool waited = time_.now() - watch_began_ >= settings_.initial_backoff;
    return waited ? std::chrono::milliseconds(0) : settings_.initial_backoff;
}

void collection_follower::fail(read_failure why) {
    was_interrupted_ = has_list_;
    if (why == read_failure::history_gone) {
        telemetry::log_event(telemetry::severity::info, "store_history_gone",
                             {{"kind", kind_}, {"revision", revision_}});
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
        after(retry_, &collection_follower::list);
    } else if (schedule_.role() == relay::copy_role::reader) {
        // One call may have lost its connection. Of a store that is away, watchers ask often and
        // report when it answers again.
        const bool is_away = failures_in_a_row_ >= failures_of_an_outage;
        after(is_away ? std::max(retry_, reader_interval()) : retry_,
              &collection_follower::ask_if_due);
    } else {
        after(retry_, &collection_follower::watch);
    }
    retry_ = std::min(retry_ * 2, settings_.max_backoff);
}

}  // namespace radishpulley::gateway
