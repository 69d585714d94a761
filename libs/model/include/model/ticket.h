/// Numbered change tickets and their JSON form.
///
/// Shape: {"number": 7, "set": {"keys": [{...}], ...}, "remove": {"keys": ["old"], ...}}.
/// Each resource in `set` is its whole new state.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/findings.h"
#include "model/resources.h"

namespace radishpulley::model {

/// Orders tickets; an accepted ticket has a higher number than every one accepted before it.
using ticket_number = std::uint64_t;

/// One change of the configuration.
struct ticket {
    ticket_number number = 0;
    std::vector<resource> set;
    std::vector<resource_reference> remove;
};

/// Parses a ticket.
/// Throws invalid_input with every unknown field, wrong type and bad range, each with its place.
ticket parse_ticket(std::string_view text);

/// Returns the ticket as JSON; equal tickets give equal texts.
nlohmann::json to_json(const ticket& it);

/// Returns the digest by which a repeat of the same ticket is recognised.
std::string ticket_digest(const ticket& it);

/// Returns one resource as JSON.
nlohmann::json to_json(const resource& it);

/// Parses one resource of a known kind; faults are added to `found` below `place`.
resource parse_resource(resource_kind kind, const nlohmann::json& value, std::string_view place,
                        findings& found);

}  // namespace radishpulley::model
