/// What a caller states about its request, in the product's own words.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/identifier.h"

namespace radishpulley::routing {

/// One part of a prompt; requests share parts.
struct prompt_segment {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Base model and adapter that a request asks for.
struct model_ref {
    std::string model;
    /// Empty for the base model itself.
    std::string adapter;

    bool empty() const { return model.empty(); }
    friend bool operator==(const model_ref& a, const model_ref& b) {
        return a.model == b.model && a.adapter == b.adapter;
    }
    friend bool operator<(const model_ref& a, const model_ref& b) {
        return a.model != b.model ? a.model < b.model : a.adapter < b.adapter;
    }
};

/// The statements of one request.
struct request_attributes {
    request_id id;
    std::string key;
    /// How long the caller waits.
    std::optional<std::chrono::milliseconds> deadline;
    model_ref target;
    bool has_token_counts = false;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    /// The caller's own estimate of its output, often far off.
    std::optional<std::uint32_t> output_estimate;
    std::vector<prompt_segment> segments;
    /// The caller resumes a stream after this event.
    std::optional<std::string> last_event;
};

}  // namespace radishpulley::routing
