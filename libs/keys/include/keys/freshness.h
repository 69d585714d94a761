/// Decides whether a daemon's copy of the keys is recent enough to serve by.
///
/// Two facts allow it. Either the copy is fresh: someone heard the object API lately, and this
/// daemon has in force what was heard. Or every VM promised lately to accept no ticket (a hold), so
/// that no key can have been withdrawn. No count of VMs decides anything: each VM speaks only for
/// itself, and one VM that is not accounted for is enough to refuse.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include <gsl/span>

#include "base/clock.h"
#include "base/identifier.h"
#include "model/ticket.h"
#include "object_api/object_store.h"

namespace radishpulley::keys {

/// Message: the latest answer of the object API that the sender knows of.
struct evidence_report {
    /// Number of the head in that answer.
    model::ticket_number number = 0;
    /// Revision from which the next watch can start.
    object_api::store_revision revision = 0;
    /// Time since the call was sent, at most.
    duration age{0};
};

/// Why a VM accepts no ticket.
enum class hold_reason : std::uint8_t {
    /// The VM promised to accept none for the hold time.
    promised,
    /// The VM's peer port refused a connection: no daemon ran, and a new one waits first.
    process_ended
};

/// Message: each of these VMs accepted no ticket above `number`, and accepts none until the hold
/// time has passed since `age` ago.
struct hold_report {
    hold_reason reason = hold_reason::promised;
    model::ticket_number number = 0;
    /// Time since the holds were given, at most.
    duration age{0};
    std::vector<vm_id> vms;
};

/// Times of the rule. All VMs use the same.
struct freshness_settings {
    /// Oldest evidence by which keyed requests are served.
    duration max_evidence_age = std::chrono::milliseconds(2500);
    /// Age of the evidence at which a daemon calls the object API itself.
    duration probe_after = std::chrono::milliseconds(1000);
    /// Spread of that age among VMs, so that not all of them call at once.
    duration probe_spread = std::chrono::milliseconds(400);
    /// Longest wait for an answer; then the call is repeated on a fresh connection.
    duration probe_deadline = std::chrono::milliseconds(400);
    /// Pause between calls that are not answered.
    duration outage_pause = std::chrono::milliseconds(1000);
    /// How long a hold binds the VM that gave it.
    duration hold_duration = std::chrono::seconds(30);
    /// Added by the VM that gave a hold, for clocks that run at different speeds.
    duration hold_margin = std::chrono::milliseconds(500);
    /// Age at which a hold is given anew while the outage lasts.
    duration hold_refresh_interval = std::chrono::seconds(13);
    /// Ages of holds are rounded up to this, so that many VMs share one report.
    duration hold_age_step = std::chrono::milliseconds(500);
    /// Age from which the news of a hold also goes to peers that opened the connection themselves:
    /// nearly always they have told of the hold by then.
    duration inbound_report_delay = std::chrono::milliseconds(2000);
};

/// The copy is fresh.
struct serve_fresh {};

/// No VM can have accepted a ticket that is missing here.
struct serve_on_holds {};

/// Keyed requests are refused as not run; open routes go on.
struct refuse_keyed {
    /// VMs that are not accounted for; empty when this daemon must first copy a newer ticket.
    std::vector<vm_id> missing;
};

using serving_decision = std::variant<serve_fresh, serve_on_holds, refuse_keyed>;

/// A ticket may be committed by this daemon now.
struct may_commit {};

/// A ticket cannot be committed here yet.
struct must_not_commit {
    /// Time after which to ask again; zero when it is not known.
    duration retry_after{0};
    /// VMs that do not know this one yet.
    std::vector<vm_id> unaware;
};

using commit_decision = std::variant<may_commit, must_not_commit>;

/// The rule on one daemon. One thread at a time.
///
/// Example:
///
///     rule.on_api_response(number, revision, sent_at, clock.now());
///     bool open = !std::holds_alternative<refuse_keyed>(rule.serving(in_force, clock.now()));
class freshness {
public:
    /// Position up to which a neighbour has been told; 0 for a new connection.
    using position = std::uint64_t;

    freshness(vm_incarnation self, freshness_settings settings, time_point started);

    /// The VMs of the last known VM list together with all that were heard of since. Not called
    /// while no list is known at all.
    void set_roster(std::vector<vm_id> vms);

    /// Sets the incarnation when it could not be had at the start.
    void set_incarnation(incarnation_number it) { self_.incarnation = it; }

    /// `vm` showed that it knows this daemon, by a heartbeat of its own.
    void on_listed_by(const vm_id& vm);

    /// A call of the object API was answered. `number` is the head's and `sent` when it was called.
    /// Returns true when neighbours should be told at once.
    bool on_api_response(model::ticket_number number, object_api::store_revision revision,
                      time_point sent);

    /// A call of the object API was given up.
    void on_api_failure(time_point now);

    /// A peer's reports. `proven` is when the token was sent that the peer's message echoes.
    /// They return true when neighbours should be told at once.
    bool on_peer_evidence(const evidence_report& it, time_point proven);
    bool on_peer_holds(const vm_id& peer, gsl::span<const hold_report> reports, time_point proven,
                    time_point now);

    /// A connection to the peer port of `vm` was refused at `at`. It counts as a hold when nothing
    /// that the VM accepted before it ended can be unknown: it had given a hold, or the object API
    /// was heard after the VM's end.
    void process_ended(const vm_id& vm, time_point at);

    /// True from before a ticket's commit is tried until its outcome is known or given up.
    void set_committing(bool committing) { committing_ = committing; }

    /// Gives or renews this VM's own hold when it is due; returns true when neighbours should be
    /// told at once.
    bool renew_hold(model::ticket_number in_force, time_point now);

    /// Gives this VM's hold now, because it leaves.
    void give_hold(model::ticket_number in_force, time_point now);

    /// Returns how long to wait before the object API is called; zero when it is due.
    duration time_until_probe(time_point now) const;
    /// Tells that a call is made now.
    void on_probe_started(time_point now);

    serving_decision serving(model::ticket_number in_force, time_point now) const;
    commit_decision committing(model::ticket_number in_force, time_point now) const;

    /// What to tell a peer about the object API; nothing when it was never heard.
    std::optional<evidence_report> evidence(time_point now) const;
    /// Holds that changed after `told`, and not after `until`, and did not come from `peer`; moves
    /// `told` past them.
    std::vector<hold_report> hold_reports_for(const vm_id& peer, position& told, time_point until,
                                       time_point now) const;
    /// VMs that are to be told of this one by a short connection.
    std::vector<vm_id> unaware() const;

private:
    struct known_evidence {
        object_api::store_revision revision = 0;
        time_point heard;
    };
    struct known_hold {
        hold_reason reason = hold_reason::promised;
        model::ticket_number number = 0;
        time_point given;
        /// Neighbours that told of it, or of one hardly older, and need not be told.
        std::vector<vm_id> sources;
        /// Value of `given` when neighbours were last to be told.
        time_point announced;
        position changed = 0;
        time_point changed_at;
    };

    // Refused connections to one VM, each within the hold time of the one before.
    struct refusals {
        time_point first;
        time_point last;
    };

    bool is_fresh(model::ticket_number in_force, time_point now) const;
    bool holds(const vm_id& vm, model::ticket_number in_force, time_point now) const;
    bool take_evidence(model::ticket_number number, known_evidence it);
    bool take_hold(const vm_id& vm, known_hold it, time_point now);
    std::optional<time_point> last_heard() const;
    duration own_spread() const;

    vm_incarnation self_;
    const freshness_settings settings_;
    const time_point started_;
    std::optional<std::vector<vm_id>> roster_;
    std::set<vm_id> knows_us_;
    /// The latest evidence for each number, for the last few numbers.
    std::map<model::ticket_number, known_evidence> evidence_;
    std::map<vm_id, known_hold> holds_;
    std::map<vm_id, refusals> refusals_;
    std::optional<time_point> own_hold_;
    std::optional<time_point> last_probe_;
    position last_ = 0;
    bool api_failing_ = false;
    bool committing_ = false;
};

}  // namespace radishpulley::keys
