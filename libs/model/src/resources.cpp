#include "model/resources.h"

#include <array>

namespace radishpulley::model {
namespace {

struct reference_visitor {
    resource_reference operator()(const service& it) const {
        return {resource_kind::service, it.id.str()};
    }
    resource_reference operator()(const client_account& it) const {
        return {resource_kind::client_account, it.id.str()};
    }
    resource_reference operator()(const key& it) const { return {resource_kind::key, it.id.str()}; }
    resource_reference operator()(const adapter& it) const {
        return {resource_kind::adapter, it.id.str()};
    }
    resource_reference operator()(const adapter_version& it) const {
        return {resource_kind::adapter_version, version_name(it.adapter, it.version)};
    }
    resource_reference operator()(const endpoint& it) const {
        return {resource_kind::endpoint, it.id.str()};
    }
};

}  // namespace

std::string version_name(const adapter_id& adapter, const version_id& version) {
    return adapter.str() + "@" + version.str();
}

resource_reference reference_to(const resource& it) {
    return std::visit(reference_visitor{}, it);
}

std::string_view plural_name(resource_kind kind) {
    static constexpr std::array<std::string_view, resource_kind_count> names = {
        "services", "client_accounts", "keys", "adapters", "adapter_versions", "endpoints"};
    return names[static_cast<std::size_t>(kind)];
}

}  // namespace radishpulley::model
