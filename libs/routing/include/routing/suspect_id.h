/// Names what may crash an endpoint: a segment that prompts share, or a whole request.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <gsl/span>

#include "base/identifier.h"
#include "routing/request_attributes.h"

namespace radishpulley::routing {

/// Id of a segment, or digest of a request. Equal on every VM.
struct suspect_id {
    /// Zero for a segment.
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool is_request() const { return high != 0; }

    friend bool operator==(const suspect_id& a, const suspect_id& b) {
        return a.high == b.high && a.low == b.low;
    }
    friend bool operator!=(const suspect_id& a, const suspect_id& b) { return !(a == b); }
    /// Segments come before requests.
    friend bool operator<(const suspect_id& a, const suspect_id& b) {
        return std::tie(a.high, a.low) < std::tie(b.high, b.low);
    }
};

/// What makes a request the same when it comes again, with another id and at another time.
struct request_content {
    /// Empty if the request needs no key.
    client_account_id account;
    std::string_view method;
    std::string_view host;
    /// Path and query.
    std::string_view target;
    std::string_view body;
};

/// Returns the suspect for a segment.
inline suspect_id suspect_of(const prompt_segment& it) {
    return {0, it.id};
}

/// Returns the suspect for a request: 128 bits of a cryptographic digest, because callers choose
/// the bytes and must not be able to make theirs equal to another one's.
suspect_id suspect_of(const request_content& it);

/// Returns the suspects for segments.
std::vector<suspect_id> suspects_of(gsl::span<const prompt_segment> segments);

/// Returns an id for a log line, in hexadecimal.
std::string to_text(const suspect_id& it);
/// Returns several ids, separated by commas.
std::string to_text(gsl::span<const suspect_id> ids);

}  // namespace radishpulley::routing
