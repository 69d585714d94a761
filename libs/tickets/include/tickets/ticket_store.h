/// Accepts tickets and reads the configuration through the object API.
#pragma once

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/findings.h"
#include "object_api/object_store.h"
#include "tickets/head.h"

namespace radishpulley::tickets {

/// This call committed the ticket.
struct accepted {
    committed_configuration after;
};

/// The same ticket, number and content, was committed before; the answer is as good as `accepted`.
struct accepted_before {};

/// A ticket with a higher or the same number was accepted before; nothing was changed.
struct refused_as_older {
    model::ticket_number newest = 0;
};

/// The number was accepted with another content; nothing was changed.
struct refused_as_different {
    std::string accepted_digest;
};

/// The ticket does not fit the configuration; nothing was changed.
struct refused_with_findings {
    findings found;
};

/// The object API did not answer in time; nothing was changed.
struct not_accepted {};

/// The ticket may or may not be accepted, now or later; the same ticket may be sent again.
struct acceptance_unknown {};

using accept_result =
    std::variant<accepted, accepted_before, refused_as_older, refused_as_different,
                 refused_with_findings, not_accepted, acceptance_unknown>;

using load_result = std::variant<committed_configuration, object_api::unreachable>;
using head_result = std::variant<head, object_api::unreachable>;
using shard_result = std::variant<std::string, object_api::not_found, object_api::unreachable>;

/// How long a call may take.
struct ticket_store_settings {
    /// Longest time of one accept or load.
    duration deadline = std::chrono::seconds(3);
    /// Pause between two attempts.
    duration pause = std::chrono::milliseconds(50);
};

/// Blocking client of the configuration. Safe to call from several threads at once.
///
/// Example:
///
///     ticket_store store(api, clock, [](duration d) { std::this_thread::sleep_for(d); });
///     accept_result result = store.accept(model::parse_ticket(text));
class ticket_store {
public:
    using pause_function = std::function<void(duration)>;

    ticket_store(object_api::object_store& api, const clock& time, pause_function pause,
                 ticket_store_settings settings = {});

    /// Accepts one ticket. `known` saves the reads of the shards that it shares with the head.
    /// Cost on a known configuration: one read, one write a changed shard, one write of the head.
    accept_result accept(const model::ticket& it, const committed_configuration& known = {});

    /// Reads the head and the shards that `known` does not have.
    load_result load(const committed_configuration& known = {});

    /// Reads the head only; a head with number 0 when no ticket was ever accepted.
    head_result load_head();

    /// Reads the text of one shard.
    shard_result load_shard(std::size_t i, const shard_name& name);

    /// Deletes at most `limit` shard objects that no head can refer to, and returns how many.
    std::size_t remove_unused_shards(std::size_t limit);

private:
    struct versioned_head;
    using read_result = std::variant<versioned_head, object_api::unreachable>;

    read_result read_head();
    load_result complete(const head& at, const committed_configuration& known, time_point until);
    bool write_shards(const committed_configuration& before, const committed_configuration& after,
                      time_point until);
    bool write_shard(std::string_view name, std::string_view text, time_point until);
    bool wait_before(time_point until);

    object_api::object_store& api_;
    const clock& clock_;
    pause_function pause_;
    const ticket_store_settings settings_;
};

}  // namespace radishpulley::tickets
