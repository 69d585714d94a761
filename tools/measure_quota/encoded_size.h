#pragma once

#include <cstddef>

#include "quota/messages.h"

namespace radishpulley::measure {

// Bytes of a message as a CBOR array of its fields.
std::size_t encoded_size(const quota::outgoing_message& message);

}  // namespace radishpulley::measure
