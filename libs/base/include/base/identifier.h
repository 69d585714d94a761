/// Typed identifiers: an id of one kind cannot be passed for an id of another kind.
#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace radishpulley {

/// A name of one kind of thing; `Tag` is never defined.
template <typename Tag>
class identifier {
public:
    identifier() = default;
    explicit identifier(std::string text) : text_(std::move(text)) {}
    explicit identifier(std::string_view text) : text_(text) {}
    explicit identifier(const char* text) : text_(text) {}

    const std::string& str() const { return text_; }
    bool empty() const { return text_.empty(); }

    friend bool operator==(const identifier& a, const identifier& b) { return a.text_ == b.text_; }
    friend bool operator!=(const identifier& a, const identifier& b) { return a.text_ != b.text_; }
    friend bool operator<(const identifier& a, const identifier& b) { return a.text_ < b.text_; }
    friend std::ostream& operator<<(std::ostream& out, const identifier& id) {
        return out << id.text_;
    }

private:
    std::string text_;
};

using vm_id = identifier<struct vm_tag>;
using zone_id = identifier<struct zone_tag>;
using region_id = identifier<struct region_tag>;
using service_id = identifier<struct service_tag>;
using client_account_id = identifier<struct client_account_tag>;
using key_id = identifier<struct key_tag>;
using adapter_id = identifier<struct adapter_tag>;
using version_id = identifier<struct version_tag>;
using endpoint_id = identifier<struct endpoint_tag>;
using request_id = identifier<struct request_tag>;

/// Counts the starts of the daemon on one VM; a higher number proves that every lower one ended.
using incarnation_number = std::uint64_t;

/// One start of the daemon on one VM.
struct vm_incarnation {
    vm_id vm;
    incarnation_number incarnation = 0;

    friend bool operator==(const vm_incarnation& a, const vm_incarnation& b) {
        return a.vm == b.vm && a.incarnation == b.incarnation;
    }
    friend bool operator!=(const vm_incarnation& a, const vm_incarnation& b) { return !(a == b); }
    friend bool operator<(const vm_incarnation& a, const vm_incarnation& b) {
        return a.vm == b.vm ? a.incarnation < b.incarnation : a.vm < b.vm;
    }
};

}  // namespace radishpulley

namespace std {
template <typename Tag>
struct hash<radishpulley::identifier<Tag>> {
    size_t operator()(const radishpulley::identifier<Tag>& id) const {
        return hash<string>()(id.str());
    }
};
template <>
struct hash<radishpulley::vm_incarnation> {
    size_t operator()(const radishpulley::vm_incarnation& it) const {
        return hash<radishpulley::vm_id>()(it.vm) * 31 + it.incarnation;
    }
};
}  // namespace std
