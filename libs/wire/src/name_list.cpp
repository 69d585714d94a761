#include "wire/name_list.h"

#include <algorithm>

#include "base/findings.h"

namespace radishpulley::wire {
namespace {

constexpr unsigned bits_per_byte = 7;
constexpr std::uint8_t more_follows = 0x80;
constexpr std::uint8_t value_bits = 0x7f;
constexpr unsigned max_bits = 28;

void append_number(std::vector<std::uint8_t>& out, std::size_t value) {
    while (value > value_bits) {
        out.push_back(static_cast<std::uint8_t>(more_follows | (value & value_bits)));
        value >>= bits_per_byte;
    }
    out.push_back(static_cast<std::uint8_t>(value));
}

std::size_t shared_bytes(const std::string& a, const std::string& b) {
    const std::size_t most = std::min(a.size(), b.size());
    std::size_t n = 0;
    while (n < most && a[n] == b[n]) {
        ++n;
    }
    return n;
}

// Takes numbers and texts off the front of the bytes.
class name_reader {
public:
    explicit name_reader(gsl::span<const std::uint8_t> bytes) : bytes_(bytes) {}

    bool is_at_end() const { return at_ == static_cast<std::size_t>(bytes_.size()); }

    std::size_t number() {
        std::size_t value = 0;
        for (unsigned shift = 0; shift < max_bits; shift += bits_per_byte) {
            const std::uint8_t byte = next();
            value |= static_cast<std::size_t>(byte & value_bits) << shift;
            if ((byte & more_follows) == 0) {
                return value;
            }
        }
        fail("holds a number that is too large");
    }

    std::string text(std::size_t size) {
        std::string out;
        for (std::size_t i = 0; i < size; ++i) {
            out += static_cast<char>(next());
        }
        return out;
    }

    [[noreturn]] static void fail(const char* what) {
        findings found;
        found.add("names", what);
        throw invalid_input(std::move(found));
    }

private:
    std::uint8_t next() {
        if (is_at_end()) {
            fail("ends too early");
        }
        return bytes_[at_++];
    }

    gsl::span<const std::uint8_t> bytes_;
    std::size_t at_ = 0;
};

}  // namespace

std::vector<std::uint8_t> pack_names(std::vector<vm_id> names) {
    std::sort(names.begin(), names.end());
    std::vector<std::uint8_t> out;
    std::string before;
    for (const vm_id& it : names) {
        const std::string& name = it.str();
        const std::size_t shared = shared_bytes(before, name);
        append_number(out, shared);
        append_number(out, name.size() - shared);
        out.insert(out.end(), name.begin() + static_cast<std::ptrdiff_t>(shared), name.end());
        before = name;
    }
    return out;
}

std::vector<vm_id> unpack_names(gsl::span<const std::uint8_t> packed) {
    std::vector<vm_id> names;
    std::string before;
    for (name_reader in(packed); !in.is_at_end();) {
        const std::size_t shared = in.number();
        if (shared > before.size()) {
            name_reader::fail("shares more bytes than the name before it has");
        }
        before = before.substr(0, shared) + in.text(in.number());
        names.emplace_back(before);
    }
    return names;
}

}  // namespace radishpulley::wire
