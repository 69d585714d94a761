/// The regions in which a request may be processed.
///
/// Routes and client accounts may each restrict them; a request is bound by both. Pure.
#pragma once

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/identifier.h"

namespace radishpulley::routing {

/// A set of regions, or all of them.
class allowed_regions {
public:
    /// Allows every region.
    allowed_regions() = default;
    /// Allows these regions only; none if there is none.
    explicit allowed_regions(std::set<region_id> only) : only_(std::move(only)) {}

    bool is_restricted() const { return only_.has_value(); }
    bool allows_none() const { return only_ && only_->empty(); }
    bool allows(const region_id& region) const { return !only_ || only_->count(region) != 0; }

    /// The regions joined by commas, or "any", for logs.
    std::string to_text() const {
        if (!only_) {
            return "any";
        }
        std::string out;
        for (const region_id& it : *only_) {
            out += (out.empty() ? "" : ",") + it.str();
        }
        return out;
    }

    /// Returns the regions that both allow.
    friend allowed_regions intersection(const allowed_regions& a, const allowed_regions& b) {
        if (!a.only_ || !b.only_) {
            return a.only_ ? a : b;
        }
        std::set<region_id> both;
        std::set_intersection(a.only_->begin(), a.only_->end(), b.only_->begin(), b.only_->end(),
                              std::inserter(both, both.end()));
        return allowed_regions(std::move(both));
    }
    friend bool operator==(const allowed_regions& a, const allowed_regions& b) {
        return a.only_ == b.only_;
    }
    friend bool operator!=(const allowed_regions& a, const allowed_regions& b) { return !(a == b); }

private:
    std::optional<std::set<region_id>> only_;
};

}  // namespace radishpulley::routing
