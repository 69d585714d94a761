#pragma once

#include <cstddef>
#include <string_view>

namespace radishpulley::peer::detail {

// True where `data` is one CBOR item of definite lengths and without tags, nested at most
// `max_depth` deep. The decoder recurses for each level and for each chunk of an indefinite
// string, so other bytes could exhaust its stack.
bool has_bounded_shape(std::string_view data, std::size_t max_depth);

}  // namespace radishpulley::peer::detail
