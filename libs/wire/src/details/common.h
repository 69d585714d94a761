// JSON forms of the types that all messages share.
#pragma once

#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <utility>
#include <variant>

#include "base/clock.h"
#include "base/identifier.h"

namespace nlohmann {

template <typename Tag>
struct adl_serializer<radishpulley::identifier<Tag>> {
    static void to_json(json& out, const radishpulley::identifier<Tag>& it) { out = it.str(); }
    static void from_json(const json& in, radishpulley::identifier<Tag>& it) {
        it = radishpulley::identifier<Tag>(in.get<std::string>());
    }
};

template <>
struct adl_serializer<radishpulley::duration> {
    static void to_json(json& out, const radishpulley::duration& it) { out = it.count(); }
    static void from_json(const json& in, radishpulley::duration& it) {
        it = radishpulley::duration(in.get<radishpulley::duration::rep>());
    }
};

template <typename T>
struct adl_serializer<std::optional<T>> {
    static void to_json(json& out, const std::optional<T>& it) {
        out = it ? json(*it) : json(nullptr);
    }
    static void from_json(const json& in, std::optional<T>& it) {
        it = in.is_null() ? std::optional<T>() : std::optional<T>(in.get<T>());
    }
};

}  // namespace nlohmann

namespace radishpulley {
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(vm_incarnation, vm, incarnation)
}  // namespace radishpulley

namespace radishpulley::wire::detail {

// Wraps the alternative of a variant as {"k": index name, "v": body}.
template <typename Variant, std::size_t N>
nlohmann::json encode_variant(const Variant& it, const std::array<const char*, N>& names) {
    static_assert(N == std::variant_size_v<Variant>, "each alternative needs a name");
    nlohmann::json out;
    out["k"] = names[it.index()];
    out["v"] = std::visit([](const auto& body) { return nlohmann::json(body); }, it);
    return out;
}

template <typename Variant, std::size_t I = 0, std::size_t N>
Variant decode_variant(const nlohmann::json& in, const std::array<const char*, N>& names) {
    if constexpr (I == N) {
        throw std::invalid_argument("message kind is not known");
    } else {
        if (in.at("k").get_ref<const std::string&>() == names[I]) {
            return in.at("v").get<std::variant_alternative_t<I, Variant>>();
        }
        return decode_variant<Variant, I + 1>(in, names);
    }
}

}  // namespace radishpulley::wire::detail
