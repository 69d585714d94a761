/// Quarantine of requests that crash endpoints: of prompt segments whose requests crash engines,
/// and of single requests that come again.
///
/// A crash accuses the suspects of the requests that the endpoint had not begun to answer: the
/// segments that others share, and the request itself. A request that is answered frees its
/// suspects. A suspect that is accused of several crashes and freed by no request in between is
/// blocked: no request with it is sent, apart from single trials at growing intervals. VMs tell
/// each other what accuses and frees a suspect, because the requests with it arrive at any of them;
/// each VM decides by itself from the union. Pure; not thread-safe.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include <gsl/span>

#include "base/clock.h"
#include "base/identifier.h"
#include "routing/endpoint.h"
#include "routing/suspect_id.h"

namespace radishpulley::routing {

/// One crash of one endpoint; every VM computes the same number.
using crash_id = std::uint64_t;

/// Returns the number of the crash that ends this start of the endpoint.
crash_id crash_of(const endpoint_incarnation& it);

/// What a VM knows of a suspect, sent to the other VMs.
struct suspect {
    struct accusation {
        crash_id crash = 0;
        /// Time since the crash, in milliseconds.
        std::uint32_t age_ms = 0;
    };

    suspect_id id;
    std::vector<accusation> accusations;
    /// Time since a request with the suspect was last answered, in milliseconds, if known.
    std::optional<std::uint32_t> answered_age_ms;
    /// Time since the last trial began, in milliseconds.
    std::optional<std::uint32_t> trial_age_ms;
};

/// Thresholds, retention times and bounds of the state.
struct quarantine_settings {
    /// Crashes that block a suspect of which no answered request is known.
    std::size_t max_crashes = 2;
    /// Crashes that block a suspect whose requests were answered shortly before.
    std::size_t max_crashes_after_answers = 4;
    /// Crashes that follow each other faster count as one: they may have one cause, such as a rack
    /// that lost power.
    duration crash_interval = std::chrono::milliseconds(100);
    /// The same for a single request, which is at one endpoint after the other.
    duration request_crash_interval = std::chrono::milliseconds(30);
    /// Time for which an answered request speaks for its suspects.
    duration answer_lifetime = std::chrono::seconds(30);
    /// Time from the crash that blocks a suspect to its first trial; grows with each crash after.
    duration first_trial_delay = std::chrono::seconds(5);
    unsigned trial_delay_factor = 8;
    /// Time after which another VM may begin the trial that is due.
    duration trial_stagger = std::chrono::milliseconds(300);
    /// Time after which a trial without a result counts as lost.
    duration trial_timeout = std::chrono::seconds(10);
    /// Time for which an accusation is repeated with each status, in case its message was lost.
    duration repetition_time = std::chrono::seconds(5);
    /// Minimum time for which an accusation is kept.
    duration accusation_retention = std::chrono::minutes(10);
    std::size_t max_suspects = 2'048;
    std::size_t max_answered_segments = 8'192;
    /// Suspects of one request that are taken as evidence; prompts have few segments.
    std::size_t max_suspects_of_request = 33;
    /// Suspects in one message about changes.
    std::size_t max_changes_told = 64;
    /// Suspects that a status repeats, those with most crashes first.
    std::size_t max_suspects_repeated = 16;
};

struct request_allowed {};

/// The request may be sent as the one trial of a blocked suspect.
struct trial_due {
    suspect_id id;
};

/// No request with this suspect may be sent.
struct request_blocked {
    suspect_id id;
    std::size_t crashes = 0;
};

using quarantine_verdict = std::variant<request_allowed, trial_due, request_blocked>;

/// Accused suspects, and the segments that were answered lately.
class request_quarantine {
public:
    explicit request_quarantine(quarantine_settings settings = {}) : settings_(settings) {}

    /// Sets the VMs that serve callers, including this one; they take turns with trials.
    void set_vms(const vm_id& self, gsl::span<const vm_id> serving);
    /// An endpoint crashed before it answered a request with these suspects. Returns those that
    /// are blocked since.
    std::vector<suspect_id> on_crash(crash_id crash, gsl::span<const suspect_id> suspects,
                                     time_point now);
    /// An endpoint began to answer a request with these suspects, and went on.
    void on_answered(gsl::span<const suspect_id> suspects, time_point now);
    /// A request is sent as the trial of a blocked suspect.
    void begin_trial(const suspect_id& id, time_point now);
    /// Applies what another VM knows. Returns the suspects that are blocked since.
    std::vector<suspect_id> on_peer_suspects(gsl::span<const suspect> suspects, time_point now);
    /// Drops accusations that are too old to count.
    void drop_expired(time_point now);
    /// Returns what other VMs should hear at once, each change once.
    std::vector<suspect> take_changes(time_point now);

    /// Whether a request with these suspects may be sent.
    quarantine_verdict check(gsl::span<const suspect_id> suspects, time_point now) const;
    /// Whether a request that broke off must not be sent on: a crash accuses one of its segments
    /// and nothing speaks for it, or several accuse the request.
    bool is_suspect(gsl::span<const suspect_id> suspects) const;
    /// Whether any crash accuses a single request, so that requests need to be compared.
    bool knows_requests() const;
    /// Whether take_changes() would return anything.
    bool has_changes() const;
    /// Returns what each status repeats: the blocked suspects, and those accused a moment ago.
    std::vector<suspect> suspects(time_point now) const;
    /// Returns how many segments, or requests, are blocked.
    std::size_t blocked_count(bool requests) const;

private:
    struct record {
        /// Crashes since the last answer, with their times.
        std::map<crash_id, time_point> crashes;
        time_point answered_at = time_point::min();
        time_point trial_at = time_point::min();
        bool is_changed = false;
    };
    struct answered_segment {
        suspect_id id;
        time_point at{};
    };

    record& record_for(const suspect_id& id);
    static record decode(const suspect& it, time_point now);
    /// Whether the VM that sent `theirs` lacks an answer that `own` has.
    bool speaks_against(const record& own, const record& theirs) const;
    /// Returns whether the crash is a new accusation.
    static bool accuse(record& it, crash_id crash, time_point at);
    static void note_answer(record& it, time_point at);
    void remember_answer(const suspect_id& id, time_point now);
    std::optional<time_point> answered_at(const suspect_id& id) const;
    bool is_trusted(const record& it) const;
    bool is_blocked(const suspect_id& id, const record& it) const;
    /// Number of crashes, of which those that follow each other fast count as one.
    std::size_t crash_count(const suspect_id& id, const record& it) const;
    std::size_t max_crashes(const record& it) const;
    /// Time from the last crash to the next trial.
    duration trial_delay(const suspect_id& id, const record& it) const;
    bool is_trial_due(const suspect_id& id, const record& it, time_point now) const;
    bool is_expired(const suspect_id& id, const record& it, time_point now) const;
    static suspect describe(const suspect_id& id, const record& it, time_point now);

    quarantine_settings settings_;
    vm_id self_;
    std::vector<vm_id> vms_;
    std::map<suspect_id, record> records_;
    /// The segments answered last, oldest first.
    std::list<answered_segment> answered_;
    std::map<suspect_id, std::list<answered_segment>::iterator> answered_by_id_;
};

}  // namespace radishpulley::routing
