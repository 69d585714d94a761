/// The platform's list of VMs. It lags behind the truth.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/identifier.h"
#include "object_api/object_store.h"

namespace radishpulley::object_api {

/// Whether the platform means to keep a VM.
enum class vm_state { live, leaving };

/// One entry VM of the fleet.
struct vm_entry {
    vm_id vm;
    zone_id zone;
    region_id region;
    /// Address of the daemon's peer port, such as ws://127.0.0.1:9100.
    std::string peer_address;
    vm_state state = vm_state::live;
};

using vm_list_result = std::variant<std::vector<vm_entry>, unreachable>;

/// Client of the VM list. Safe to call from several threads at once.
class vm_list {
public:
    virtual ~vm_list() = default;

    /// Reads the list as the platform has it now.
    virtual vm_list_result read() = 0;
};

}  // namespace radishpulley::object_api
