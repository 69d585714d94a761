/// The head object: the single commit point of the configuration.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "model/configuration.h"

namespace radishpulley::tickets {

/// Name of the object whose conditional update accepts a ticket.
constexpr std::string_view head_object = "config/head";

/// Prefix of the shard objects.
constexpr std::string_view shard_prefix = "config/shards/";

/// Accepted tickets that the head remembers, to recognise a repeat.
constexpr std::size_t history_length = 128;

/// One accepted ticket.
struct accepted_ticket {
    model::ticket_number number = 0;
    /// Digest of the ticket's content.
    std::string digest;
};

/// Names one immutable shard object.
///
/// `writer` is the number of the ticket that wrote it. An object that no head refers to and whose
/// writer is not above the head's number can never be referred to again, so it can be deleted.
struct shard_name {
    model::ticket_number writer = 0;
    /// SHA-256 of the shard's text; empty for a shard without resources.
    std::string digest;

    friend bool operator==(const shard_name& a, const shard_name& b) {
        return a.writer == b.writer && a.digest == b.digest;
    }
    friend bool operator!=(const shard_name& a, const shard_name& b) { return !(a == b); }
};

/// What `config/head` holds.
struct head {
    model::ticket_number number = 0;
    /// Number before this one.
    model::ticket_number previous = 0;
    std::array<shard_name, model::shard_count> shards;
    /// The last accepted tickets in ascending order; the last one made this head.
    std::vector<accepted_ticket> history;
};

/// A configuration together with the head that commits it.
struct committed_configuration {
    head at;
    model::configuration value;
};

/// Returns the head as JSON text and back; `parse_head` throws invalid_input.
std::string to_text(const head& it);
head parse_head(std::string_view text);

/// Returns the name of the object that holds shard `i`.
std::string object_name(std::size_t i, const shard_name& it);

/// Returns a digest over the number and all shards; equal only for equal configurations.
std::string fingerprint(const head& it);

/// Returns `before` with the ticket applied, and the head that would commit it. Costs the text and
/// digest of each changed shard. Throws invalid_input where model::check has findings.
committed_configuration apply(const committed_configuration& before, const model::ticket& it);

/// Parses a shard's text after comparing it with its digest; throws invalid_input.
model::shard parse_verified(const shard_name& name, std::string_view text);

}  // namespace radishpulley::tickets
