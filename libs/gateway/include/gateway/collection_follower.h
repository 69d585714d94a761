/// Keeps a copy of one collection current: lists it, watches it, lists it again after a gap.
///
/// Where other VMs near follow the collection too, only some watch it, and the others learn from
/// their reports (libs/relay).
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "gateway/object_collections.h"
#include "relay/change_log.h"
#include "relay/copy_schedule.h"

namespace radishpulley::gateway {

/// Pace of a follower.
struct follower_settings {
    /// Longest wait of one watch.
    std::chrono::milliseconds watch_wait{4'000};
    /// Pause after changes before the next watch, so that changes come in groups.
    std::chrono::milliseconds pause{0};
    /// Of the watches; the list is always the newest.
    read_freshness freshness = read_freshness::newest;
    /// Time beyond a watch's wait after which its connection counts as silent.
    std::chrono::milliseconds response_timeout{1'500};
    std::chrono::milliseconds initial_backoff{100};
    std::chrono::milliseconds max_backoff{1'000};
    /// Whether reports list changes with their contents; otherwise readers ask the store for them.
    bool reports_contents = true;
    /// Time after a report of unlisted changes until they are asked for: another VM's report may
    /// list them.
    std::chrono::milliseconds unlisted_fetch_delay{200};
};

/// Returns `with`, waiting so briefly that a change is known within `bound` of its moment, even
/// where the connection of the watch under way went silent just before it.
follower_settings pace_for_staleness(duration bound, follower_settings with);

/// The same for a collection that changes all the time: the pause is as long as the wait, so that
/// the store is asked as seldom while it changes as while it does not.
follower_settings pace_for_staleness_when_busy(duration bound, follower_settings with);

/// What a follower tells.
struct follower_events {
    /// The whole collection, at first and after a gap.
    std::function<void(const object_list&)> on_list;
    std::function<void(const object_change&)> on_change;
    /// The store answered after it had not, or failed after it had answered.
    std::function<void(bool reachable)> on_reachable;
    /// The store answered after it had been away: after several calls without a result. One such
    /// call alone may have lost its connection while the store was well.
    std::function<void()> on_outage_over = [] {};
    /// Whether VMs that learn from reports need this change; asked once before each is told.
    std::function<bool(const object_change&)> matters = [](const object_change&) { return true; };
    /// The store itself confirmed the copy: time to report it.
    std::function<void()> on_confirmed = [] {};
};

/// Follows one collection until it is destroyed.
class collection_follower {
public:
    collection_follower(boost::asio::io_context& loop, const clock& time, object_collections& store,
                        std::string kind, follower_settings settings, follower_events events);
    ~collection_follower();
    collection_follower(const collection_follower&) = delete;
    collection_follower& operator=(const collection_follower&) = delete;

    void start();
    /// Begins a new watch beside the one under way: something showed that its connection may be
    /// dead. The first answer of them counts. A reader asks the store. Does nothing where the last
    /// watch is younger than the longest retry delay.
    void renew();
    /// Sets the place of this VM among those of its zone, from 0, and how many there are.
    void set_rank(std::size_t rank, std::size_t vms);
    /// Takes another VM's report about this collection.
    void on_report(const relay::copy_report& it);
    /// Returns what this VM can tell others, or nothing without a copy.
    std::optional<relay::copy_report> report();
    /// Takes another pace for the watches that follow.
    void set_pace(follower_settings pace) { settings_ = pace; }
    /// Time since the store last answered; the copy is at least as new as that.
    duration age() const;
    /// Time for which a change that is told now may have been there already: none while a watch
    /// waited for it, else the time since the store had answered before.
    duration max_change_age() const { return gap_; }
    /// Beginning of the call whose answer was taken last. The answer may have waited to be handled
    /// for as long as this process was paused, so only what holds since then is certain.
    time_point read_began() const { return read_began_; }
    /// Whether there is a copy, however old.
    bool has_list() const { return has_list_; }
    store_revision revision() const { return revision_; }
    const std::string& kind() const { return kind_; }
    relay::copy_role role() const { return schedule_.role(); }

private:
    void list();
    void watch();
    void on_list(const list_result& result);
    void on_watch_end(std::uint64_t number, const changes_result& result);
    void on_changes(const changes_result& result);
    void take_changes(const object_changes& it);
    void note_for_reports(relay::reported_change it);
    std::chrono::milliseconds pause_after(const object_changes& it) const;
    /// Plans the next read after an answer.
    void read_on(std::chrono::milliseconds pause);
    /// Age at which a reader asks the store itself.
    std::chrono::milliseconds reader_interval() const;
    /// A reader's copy may be too old by now.
    void ask_if_due();
    /// Whether a report told of changes that this copy lacks.
    bool lacks_changes() const { return revision_ < unlisted_; }
    void ask_for_unlisted();
    void note_answer();
    void fail(read_failure why);
    void after(std::chrono::milliseconds wait, void (collection_follower::*next)());

    boost::asio::steady_timer timer_;
    boost::asio::steady_timer report_timer_;
    bool is_asking_for_unlisted_ = false;
    const clock& time_;
    object_collections& store_;
    std::string kind_;
    follower_settings settings_;
    follower_events events_;
    std::chrono::milliseconds retry_;
    /// Counts the watches.
    std::uint64_t watch_number_ = 0;
    /// The newest watch when one was answered; answers to older ones are of no use.
    std::uint64_t answered_number_ = 0;
    bool is_watching_ = false;
    time_point watch_began_{};
    /// Beginning of the watch before the one under way, which may still be answered.
    time_point earlier_watch_began_{};
    time_point read_began_{};
    store_revision revision_ = 0;
    /// Newest revision of changes that some report told of without listing them.
    store_revision unlisted_ = 0;
    relay::copy_schedule schedule_;
    relay::change_log log_;
    bool has_list_ = false;
    /// Whether the copy has to be read whole before changes can be followed.
    bool needs_list_ = true;
    /// Calls without a result since the last answer.
    unsigned failures_in_a_row_ = 0;
    time_point answered_at_;
    /// Whether a watch has failed or was doubted since the last answer.
    bool was_interrupted_ = false;
    duration gap_{0};
    /// Callbacks that outlive the follower see that it is gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace radishpulley::gateway
