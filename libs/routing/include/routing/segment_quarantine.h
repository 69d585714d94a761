/// Quarantine of prompt segments whose requests crash engines.
///
/// A crash accuses the segments of the requests that the engine had not begun to answer. A request
/// that is answered frees its segments. A segment that is accused of several crashes and freed by
/// no request in between is blocked: no request with it is sent, apart from single trials at
/// growing intervals. VMs tell each other what accuses and frees a segment, because the requests
/// with it arrive at any of them; each VM decides by itself from the union. Pure; not thread-safe.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include <gsl/span>

#include "base/clock.h"
#include "base/identifier.h"
#include "routing/endpoint.h"
#include "routing/request_attributes.h"

namespace radishpulley::routing {

using segment_id = std::uint64_t;

/// One crash of one endpoint; every VM computes the same number.
using crash_id = std::uint64_t;

/// Returns the number of the crash that ends this start of the endpoint.
crash_id crash_of(const endpoint_incarnation& it);

/// What a VM knows of an accused segment, sent to the other VMs.
struct suspect_segment {
    struct accusation {
        crash_id crash = 0;
        /// Time since the crash, in milliseconds.
        std::uint32_t age_ms = 0;
    };

    segment_id segment = 0;
    std::vector<accusation> accusations;
    /// Time since a request with the segment was last answered, in milliseconds, if known.
    std::optional<std::uint32_t> answered_age_ms;
    /// Time since the last trial began, in milliseconds.
    std::optional<std::uint32_t> trial_age_ms;
};

/// Thresholds, retention times and bounds of the state.
struct quarantine_settings {
    /// Crashes that block a segment of which no answered request is known.
    std::size_t max_crashes = 2;
    /// Crashes that block a segment whose requests were answered shortly before.
    std::size_t max_crashes_after_answers = 4;
    /// Crashes that follow each other faster count as one: they may have one cause, such as a rack
    /// that lost power.
    duration crash_interval = std::chrono::milliseconds(100);
    /// Time for which an answered request speaks for its segments.
    duration answer_lifetime = std::chrono::seconds(30);
    /// Time from the crash that blocks a segment to its first trial; grows with each crash after.
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
    std::size_t max_suspects = 512;
    std::size_t max_answered_segments = 8'192;
    /// Segments of one request that are taken as evidence; prompts have few.
    std::size_t max_segments_of_request = 32;
    /// Suspects in one message, those with most crashes first.
    std::size_t max_suspects_told = 16;
};

struct segments_allowed {};

/// The request may be sent as the one trial of a blocked segment.
struct trial_due {
    segment_id segment = 0;
};

/// No request with this segment may be sent.
struct segment_blocked {
    segment_id segment = 0;
    std::size_t crashes = 0;
};

using segment_verdict = std::variant<segments_allowed, trial_due, segment_blocked>;

/// Accused segments, and those that were answered lately.
class segment_quarantine {
public:
    explicit segment_quarantine(quarantine_settings settings = {}) : settings_(settings) {}

    /// Sets the VMs that serve callers, including this one; they take turns with trials.
    void set_vms(const vm_id& self, gsl::span<const vm_id> serving);
    /// An engine crashed before it answered a request with these segments. Returns the segments
    /// that are blocked since.
    std::vector<segment_id> on_crash(crash_id crash, gsl::span<const prompt_segment> segments,
                                     time_point now);
    /// An engine began to answer a request with these segments, and went on.
    void on_answered(gsl::span<const prompt_segment> segments, time_point now);
    /// A request is sent as the trial of a blocked segment.
    void begin_trial(segment_id segment, time_point now);
    /// Applies what another VM knows. Returns the segments that are blocked since.
    std::vector<segment_id> on_peer_suspects(gsl::span<const suspect_segment> suspects,
                                             time_point now);
    /// Drops accusations that are too old to count.
    void drop_expired(time_point now);
    /// Returns what other VMs should hear at once, each change once.
    std::vector<suspect_segment> take_changes(time_point now);

    /// Whether a request with these segments may be sent.
    segment_verdict check(gsl::span<const prompt_segment> segments, time_point now) const;
    /// Whether a crash accuses one of these segments and nothing speaks for it.
    bool is_suspect(gsl::span<const prompt_segment> segments) const;
    /// Whether take_changes() would return anything.
    bool has_changes() const;
    /// Returns what each status repeats: the blocked segments, and those accused a moment ago.
    std::vector<suspect_segment> suspects(time_point now) const;
    std::size_t blocked_count() const;

private:
    struct record {
        /// Crashes since the last answer, with their times.
        std::map<crash_id, time_point> crashes;
        time_point answered_at = time_point::min();
        time_point trial_at = time_point::min();
        bool is_changed = false;
    };
    struct answered_segment {
        segment_id segment = 0;
        time_point at{};
    };

    record& record_for(segment_id segment);
    static record decode(const suspect_segment& it, time_point now);
    /// Whether the VM that sent `theirs` lacks an answer that `own` has.
    bool speaks_against(const record& own, const record& theirs) const;
    /// Returns whether the crash is a new accusation.
    static bool accuse(record& it, crash_id crash, time_point at);
    static void note_answer(record& it, time_point at);
    void remember_answer(segment_id segment, time_point now);
    std::optional<time_point> answered_at(segment_id segment) const;
    bool is_trusted(const record& it) const;
    bool is_blocked(const record& it) const;
    /// Number of crashes, of which those that follow each other fast count as one.
    std::size_t crash_count(const record& it) const;
    std::size_t max_crashes(const record& it) const;
    /// Time from the last crash to the next trial.
    duration trial_delay(const record& it) const;
    bool is_trial_due(segment_id segment, const record& it, time_point now) const;
    bool is_expired(const record& it, time_point now) const;
    static suspect_segment describe(segment_id segment, const record& it, time_point now);

    quarantine_settings settings_;
    vm_id self_;
    std::vector<vm_id> vms_;
    std::map<segment_id, record> records_;
    /// The segments answered last, oldest first.
    std::list<answered_segment> answered_;
    std::unordered_map<segment_id, std::list<answered_segment>::iterator> answered_by_id_;
};

}  // namespace radishpulley::routing
