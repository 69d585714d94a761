#include "details/cbor_shape.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace radishpulley::peer::detail {
namespace {

enum major_type : std::uint8_t { byte_string = 2, text_string = 3, array = 4, map = 5, tag = 6 };

struct item_head {
    std::uint8_t major = 0;
    std::uint64_t argument = 0;
};

class head_reader {
public:
    explicit head_reader(std::string_view data) : rest_(data) {}

    std::optional<item_head> next() {
        if (rest_.empty()) {
            return std::nullopt;
        }
        const auto first = take_byte();
        item_head head{static_cast<std::uint8_t>(first >> 5), first & 31U};
        if (head.argument < 24) {
            return head;
        }
        if (head.argument > 27) {
            return std::nullopt;
        }
        const std::size_t length = std::size_t{1} << (head.argument - 24);
        if (rest_.size() < length) {
            return std::nullopt;
        }
        head.argument = 0;
        for (std::size_t i = 0; i < length; ++i) {
            head.argument = head.argument << 8 | take_byte();
        }
        return head;
    }

    bool skip(std::uint64_t n) {
        if (n > rest_.size()) {
            return false;
        }
        rest_.remove_prefix(static_cast<std::size_t>(n));
        return true;
    }

    std::size_t left() const { return rest_.size(); }

private:
    std::uint8_t take_byte() {
        const auto byte = static_cast<std::uint8_t>(rest_.front());
        rest_.remove_prefix(1);
        return byte;
    }

    std::string_view rest_;
};

}  // namespace

bool has_bounded_shape(std::string_view data, std::size_t max_depth) {
    head_reader in(data);
    std::vector<std::uint64_t> items_left = {1};
    while (!items_left.empty()) {
        if (items_left.back() == 0) {
            items_left.pop_back();
            continue;
        }
        --items_left.back();
        const auto head = in.next();
        if (!head || head->major == tag) {
            return false;
        }
        if ((head->major == byte_string || head->major == text_string) &&
            !in.skip(head->argument)) {
            return false;
        }
        if (head->major == array || head->major == map) {
            if (head->argument > in.left() || items_left.size() > max_depth) {
                return false;
            }
            items_left.push_back(head->major == map ? head->argument * 2 : head->argument);
        }
    }
    return in.left() == 0;
}

}  // namespace radishpulley::peer::detail
