/// Decides whether a daemon's copy of the keys is recent enough to serve requests.
///
/// There are two sufficient conditions. Either the copy is fresh: some VM recently received an
/// answer of the object API, and this daemon has applied the state in that answer. Or every VM
/// recently promised to accept no ticket (a hold), so that no key can have been withdrawn. This is
/// not a quorum: each VM makes promises only for itself, and one VM that is not accounted for is
/// enough to refuse requests.
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

/// Message: the latest answer of the object API known to the sender.
struct evidence_report {
    /// Ticket number of the head in that answer.
    model::ticket_number number = 0;
    /// Revision from which the next watch can start.
    object_api::store_revision revision = 0;
    /// Upper bound of the time since the call was sent.
    duration age{0};
};

/// Reason why a VM accepts no ticket.
enum class hold_reason : std::uint8_t {
    /// The VM promised to accept none for the duration of the hold.
    promised,
    /// The VM's peer port refused a connection: no daemon was running, and a new one first waits.
    process_ended
};

/// Message: each of these VMs has accepted no ticket above `number` and accepts none until the hold
/// duration, which began `age` ago, has passed.
struct hold_report {
    hold_reason reason = hold_reason::promised;
    model::ticket_number number = 0;
    /// Upper bound of the time since the holds were given.
    duration age{0};
    std::vector<vm_id> vms;
};

/// Timing parameters. All VMs use the same values.
struct freshness_settings {
    /// Maximum age of the evidence with which keyed requests are served.
    duration max_evidence_age = std::chrono::milliseconds(2500);
    /// Age of the evidence after which a daemon calls the object API itself.
    duration probe_after = std::chrono::milliseconds(1000);
    /// Jitter of that age between VMs, so that they do not all call at once.
    duration probe_jitter = std::chrono::milliseconds(400);
    /// Timeout of a call, after which it is retried on a new connection.
    duration probe_deadline = std::chrono::milliseconds(400);
    /// Interval between calls while they fail.
    duration outage_probe_interval = std::chrono::milliseconds(1000);
    /// Time for which a hold binds the VM that gave it.
    duration hold_duration = std::chrono::seconds(30);
    /// Margin that the VM adds to its own hold, for clocks that run at different speeds.
    duration hold_margin = std::chrono::milliseconds(500);
    /// Age at which a hold is renewed during an outage.
    duration hold_refresh_interval = std::chrono::seconds(13);
    /// Ages of holds are rounded up to a multiple of this, so that many VMs share one report.
    duration hold_age_step = std::chrono::milliseconds(500);
    /// Age from which a hold is also reported to peers that opened the connection themselves. By
    /// then they have nearly always reported the hold themselves.
    duration inbound_report_delay = std::chrono::milliseconds(2000);
};

/// Requests are served because the copy is fresh.
struct serve_fresh {};

/// Requests are served because no VM can have accepted a ticket that is missing here.
struct serve_on_holds {};

/// Keyed requests are refused as not run. Open routes are still served.
struct refuse_keyed {
    /// VMs that are not accounted for; empty if this daemon first has to copy a newer ticket.
    std::vector<vm_id> missing;
};

using serving_decision = std::variant<serve_fresh, serve_on_holds, refuse_keyed>;

/// This daemon may commit a ticket now.
struct may_commit {};

/// This daemon must not commit a ticket yet.
struct must_not_commit {
    /// Time after which to retry; zero if it is unknown.
    duration retry_after{0};
    /// VMs that do not have this one in their member tables yet.
    std::vector<vm_id> unaware;
};

using commit_decision = std::variant<may_commit, must_not_commit>;

/// Freshness state of one daemon. Not thread-safe.
///
/// Example:
///
///     rule.on_api_response(number, revision, sent_at, clock.now());
///     bool open = !std::holds_alternative<refuse_keyed>(rule.decide_serving(in_force,
///     clock.now()));
class freshness {
public:
    /// Position up to which holds were reported to a neighbour; 0 for a new connection.
    using hold_cursor = std::uint64_t;

    freshness(vm_incarnation self, freshness_settings settings, time_point started);

    /// Sets the VMs of the last known VM list together with all VMs discovered since. Not called
    /// before any list is known.
    void set_roster(std::vector<vm_id> vms);

    /// Sets the incarnation if it was not available at the start.
    void set_incarnation(incarnation_number it) { self_.incarnation = it; }

    /// Records that `vm` has this daemon in its member table, as a heartbeat of `vm` shows.
    void on_listed_by(const vm_id& vm);

    /// Records an answer of the object API. `number` is the ticket number of the head and `sent`
    /// the time of the call. Returns true if it has to be reported to the neighbours at once.
    bool on_api_response(model::ticket_number number, object_api::store_revision revision,
                         time_point sent);

    /// Records that a call of the object API failed or timed out.
    void on_api_failure(time_point now);

    /// Processes reports of a peer. `token_sent_at` is the time at which the token was sent that
    /// the message echoes. Returns true if the reports have to be forwarded to the neighbours at
    /// once.
    bool on_peer_evidence(const evidence_report& it, time_point token_sent_at);
    bool on_peer_holds(const vm_id& peer, gsl::span<const hold_report> reports,
                       time_point token_sent_at, time_point now);

    /// Records that the peer port of `vm` refused a connection at `at`. This counts as a hold if
    /// everything that the VM accepted before its end must be known: the VM had given a hold, or
    /// the object API answered after the end of the VM.
    void process_ended(const vm_id& vm, time_point at);

    /// Set to true before the commit of a ticket is attempted, and to false once its outcome is
    /// known or no longer awaited.
    void set_committing(bool committing) { committing_ = committing; }

    /// Gives or renews the hold of this VM when it is due. Returns true if it has to be reported to
    /// the neighbours at once.
    bool renew_hold(model::ticket_number in_force, time_point now);

    /// Gives the hold of this VM at once, because the VM is leaving.
    void give_hold(model::ticket_number in_force, time_point now);

    /// Returns the time until the next call of the object API; zero if it is due.
    duration time_until_probe(time_point now) const;
    /// Records that a call is being made.
    void on_probe_started(time_point now);

    serving_decision decide_serving(model::ticket_number in_force, time_point now) const;
    commit_decision decide_commit(model::ticket_number in_force, time_point now) const;

    /// Returns the evidence to report to a peer, or nothing if the object API never answered.
    std::optional<evidence_report> evidence(time_point now) const;
    /// Returns the holds that changed after `cursor` and not after `until`, and that `peer` did not
    /// report itself. Advances `cursor` past them.
    std::vector<hold_report> hold_reports_for(const vm_id& peer, hold_cursor& cursor,
                                              time_point until, time_point now) const;
    /// Returns the VMs that do not have this one in their member tables yet. A short connection
    /// introduces it to them.
    std::vector<vm_id> unaware() const;

private:
    struct known_evidence {
        object_api::store_revision revision = 0;
        time_point call_sent;
    };
    struct known_hold {
        hold_reason reason = hold_reason::promised;
        model::ticket_number number = 0;
        time_point given_at;
        /// Neighbours that reported this hold, or one that is hardly older, and need no report of
        /// it.
        std::vector<vm_id> sources;
        /// Value of `given_at` when the hold last had to be reported to the neighbours.
        time_point announced_at;
        hold_cursor changed = 0;
        time_point changed_at;
    };

    // Refused connections to one VM, each within the hold duration after the previous one.
    struct refusals {
        time_point first;
        time_point last;
    };

    bool is_fresh(model::ticket_number in_force, time_point now) const;
    bool has_hold(const vm_id& vm, model::ticket_number in_force, time_point now) const;
    bool record_evidence(model::ticket_number number, known_evidence it);
    bool record_hold(const vm_id& vm, known_hold it, time_point now);
    std::optional<time_point> last_answered_call() const;
    duration own_jitter() const;

    vm_incarnation self_;
    const freshness_settings settings_;
    const time_point started_;
    std::optional<std::vector<vm_id>> roster_;
    std::set<vm_id> listed_by_;
    /// The latest evidence for each of the last few ticket numbers.
    std::map<model::ticket_number, known_evidence> evidence_;
    std::map<vm_id, known_hold> holds_;
    std::map<vm_id, refusals> refusals_;
    std::optional<time_point> own_hold_;
    std::optional<time_point> last_probe_;
    hold_cursor last_change_ = 0;
    bool api_failing_ = false;
    bool committing_ = false;
};

}  // namespace radishpulley::keys
