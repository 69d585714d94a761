/// The VM list over HTTP: GET /v1/vms, answered {"vms": [{id, availability_zone, region,
/// peer_address, state}]} with state "live" or "leaving".
#pragma once

#include <chrono>
#include <string>

#include "http/client.h"
#include "object_api/vm_list.h"

namespace radishpulley::object_api {

/// Client of one VM list address. Safe to call from several threads at once.
class http_vm_list final : public vm_list {
public:
    http_vm_list(std::string address, std::chrono::milliseconds timeout);

    vm_list_result read() override;

private:
    http::client client_;
};

}  // namespace radishpulley::object_api
