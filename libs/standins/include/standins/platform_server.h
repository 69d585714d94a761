/// Serves a memory_object_store and a VM list over HTTP, as the platform does.
#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http/server.h"
#include "object_api/vm_list.h"
#include "standins/memory_object_store.h"

namespace radishpulley::standins {

/// Listens from construction to destruction. Watches are answered by a thread each.
class platform_server {
public:
    explicit platform_server(std::string address);
    ~platform_server();

    const std::string& address() const;
    memory_object_store& store();
    /// Replaces the VM list; calls see it from now on.
    void set_vms(std::vector<object_api::vm_entry> vms);

private:
    struct details;
    std::unique_ptr<details> details_;
};

}  // namespace radishpulley::standins
