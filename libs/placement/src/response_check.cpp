#include "placement/response_check.h"

namespace radishpulley::placement {

std::string engine_name(const adapter_ref& it) {
    return it.adapter.str() + '@' + it.version.str();
}

response_verdict check_response_model(const adapter_ref& asked, std::string_view stated) {
    if (stated.empty()) {
        return response_verdict::not_stated;
    }
    const bool same = stated == engine_name(asked);
    return same ? response_verdict::confirmed : response_verdict::wrong_adapter;
}

}  // namespace radishpulley::placement
