/// A header codec for tests without requests.
#pragma once

#include "gateway/header_codec.h"

namespace radishpulley::edge::testing {

/// Reads and writes nothing.
class null_codec final : public gateway::header_codec {
public:
    routing::request_attributes read_request(const gateway::header_list&) const override {
        return {};
    }
    bool is_forwarded(std::string_view) const override { return true; }
    void append_call_attributes(const gateway::call_attributes&, std::string&) const override {}
    gateway::response_attributes read_response(unsigned,
                                               const gateway::header_list&) const override {
        return {};
    }
    std::string_view id_header() const override { return "X-Id"; }
};

}  // namespace radishpulley::edge::testing
