#include "relay/text_delta.h"

#include <unordered_map>

#include "base/digest.h"
#include "base/overloaded.h"

namespace radishpulley::relay {
namespace {

// Bytes of a run in a message.
constexpr std::size_t run_bytes = 12;

std::vector<std::string_view> split(std::string_view text) {
    std::vector<std::string_view> out;
    while (!text.empty()) {
        const std::size_t brace = text.find('}');
        const std::size_t n = brace == std::string_view::npos ? text.size() : brace + 1;
        out.push_back(text.substr(0, n));
        text.remove_prefix(n);
    }
    return out;
}

// Finds pieces of a base. Prefers the one after the last that was found, so that equal pieces
// don't split runs.
class piece_finder {
public:
    explicit piece_finder(const std::vector<std::string_view>& base) : base_(base) {
        for (std::uint32_t i = 0; i < base.size(); ++i) {
            first_by_piece_.emplace(base[i], i);
        }
    }

    std::optional<std::uint32_t> find(std::string_view piece) {
        std::optional<std::uint32_t> out;
        if (next_ < base_.size() && base_[next_] == piece) {
            out = next_;
        } else if (const auto found = first_by_piece_.find(piece); found != first_by_piece_.end()) {
            out = found->second;
        }
        if (out) {
            next_ = *out + 1;
        }
        return out;
    }

private:
    const std::vector<std::string_view>& base_;
    std::unordered_map<std::string_view, std::uint32_t> first_by_piece_;
    std::uint32_t next_ = 0;
};

void append_run(std::vector<delta_part>& parts, std::uint32_t index) {
    auto* last = parts.empty() ? nullptr : std::get_if<base_run>(&parts.back());
    if (last != nullptr && last->first + last->count == index) {
        ++last->count;
    } else {
        parts.emplace_back(base_run{index, 1});
    }
}

void append_text(std::vector<delta_part>& parts, std::string_view piece) {
    auto* last = parts.empty() ? nullptr : std::get_if<std::string>(&parts.back());
    if (last != nullptr) {
        last->append(piece);
    } else {
        parts.emplace_back(std::string(piece));
    }
}

std::size_t size_of(const delta_part& it) {
    return std::visit(overloaded{[](const base_run&) { return run_bytes; },
                                 [](const std::string& text) { return text.size(); }},
                      it);
}

bool append_pieces(std::string& out, const std::vector<std::string_view>& base,
                   const base_run& it) {
    if (it.first > base.size() || it.count > base.size() - it.first) {
        return false;
    }
    for (std::uint32_t i = 0; i < it.count; ++i) {
        out += base[it.first + i];
    }
    return true;
}

}  // namespace

std::size_t size_of(const text_delta& it) {
    std::size_t out = 0;
    for (const delta_part& part : it.parts) {
        out += size_of(part);
    }
    return out;
}

std::optional<text_delta> make_delta(std::string_view base, std::string_view target,
                                     std::size_t max_bytes) {
    const std::vector<std::string_view> base_pieces = split(base);
    piece_finder finder(base_pieces);
    text_delta out;
    for (const std::string_view piece : split(target)) {
        if (const auto index = finder.find(piece)) {
            append_run(out.parts, *index);
        } else {
            append_text(out.parts, piece);
        }
    }
    if (size_of(out) > max_bytes) {
        return std::nullopt;
    }
    out.target_hash = stable_hash(target);
    return out;
}

std::optional<std::string> apply_delta(std::string_view base, const text_delta& delta) {
    const std::vector<std::string_view> pieces = split(base);
    std::string out;
    out.reserve(base.size());
    for (const delta_part& part : delta.parts) {
        if (const auto* run = std::get_if<base_run>(&part)) {
            if (!append_pieces(out, pieces, *run)) {
                return std::nullopt;
            }
        } else {
            out += std::get<std::string>(part);
        }
    }
    return stable_hash(out) == delta.target_hash ? std::optional<std::string>(std::move(out))
                                                 : std::nullopt;
}

}  // namespace radishpulley::relay
