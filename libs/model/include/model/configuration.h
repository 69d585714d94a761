/// The configuration in force: an immutable value whose copies share what did not change.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/findings.h"
#include "model/ticket.h"

namespace radishpulley::model {

/// Shards in which the configuration is stored and copied. 29,000 adapters with two versions each
/// come to about 100 KB a shard, well under the 1 MB limit of the object API.
constexpr std::size_t shard_count = 64;

/// Returns the shard that holds a resource.
std::size_t shard_of(const resource_reference& name);

/// Resources of one shard, by reference.
using shard = std::map<resource_reference, resource>;

/// All resources after one accepted ticket.
///
/// Copying costs `shard_count` pointers. Example:
///
///     configuration next = apply(now, parse_ticket(text));
///     const model::adapter* it = next.find_adapter(adapter_id("wedding"));
class configuration {
public:
    configuration();
    configuration(ticket_number number,
                  std::array<std::shared_ptr<const shard>, shard_count> shards);

    /// Number of the last ticket applied; 0 when none was.
    ticket_number number() const { return number_; }
    const std::shared_ptr<const shard>& shard_at(std::size_t i) const { return shards_[i]; }

    /// Returns the resource or nullptr; valid as long as this value or a copy of it.
    const resource* find(const resource_reference& name) const;
    const service* find_service(const service_id& id) const;
    const client_account* find_account(const client_account_id& id) const;
    const key* find_key(const key_id& id) const;
    const adapter* find_adapter(const adapter_id& id) const;
    const adapter_version* find_version(const adapter_id& id, const version_id& version) const;
    const endpoint* find_endpoint(const endpoint_id& id) const;

    /// Returns all resources of a kind in the order of their names. Cost: one pass over them.
    std::vector<const resource*> list(resource_kind kind) const;

private:
    template <typename T>
    const T* find_as(resource_kind kind, const std::string& name) const;

    ticket_number number_ = 0;
    std::array<std::shared_ptr<const shard>, shard_count> shards_;
};

/// Returns what is wrong with applying `it` on `before`: references to resources that would not
/// exist, resources removed while others refer to them, and clashes.
findings check(const configuration& before, const ticket& it);

/// Returns `before` with the ticket applied. Throws invalid_input where check() has findings.
configuration apply(const configuration& before, const ticket& it);

/// Returns a shard as JSON text and back; `parse_shard` throws invalid_input.
std::string to_text(const shard& it);
shard parse_shard(std::string_view text);

}  // namespace radishpulley::model
