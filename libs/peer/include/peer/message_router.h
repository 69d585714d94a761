/// Hands each message to the package that knows its type.
///
/// Example:
///     message_router router;
///     router.add("quota.loan", decode_loan, [&](const vm_incarnation& from, loan it) { ... });
///     router.dispatch(message);
#pragma once

#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

#include "peer/message.h"

namespace radishpulley::peer {

/// What became of a message.
enum class dispatch_result { handled, unknown_type, malformed_body };

/// Counts of messages by result.
struct dispatch_counters {
    std::uint64_t handled = 0;
    std::uint64_t unknown_type = 0;
    std::uint64_t malformed_body = 0;
};

/// Table from type names to decoders and handlers. Not synchronised: fill it before the transport
/// starts, and dispatch from the transport's thread.
class message_router {
public:
    /// Registers a type. `decode` takes the body as JSON and throws when it is malformed.
    /// Throws std::logic_error when the type is registered already.
    template <typename Decode, typename Handle>
    void add(const std::string& type, Decode decode, Handle handle) {
        auto route = [decode = std::move(decode),
                      handle = std::move(handle)](const peer_message& message) mutable {
            using body_type = decltype(decode(message.body));
            std::unique_ptr<body_type> body;
            try {
                body = std::make_unique<body_type>(decode(message.body));
            } catch (const std::exception&) {
                return dispatch_result::malformed_body;
            }
            handle(message.sender, std::move(*body));
            return dispatch_result::handled;
        };
        if (!routes_.emplace(type, std::move(route)).second) {
            throw std::logic_error("peer message type " + type + " is registered already");
        }
    }

    /// Calls the handler of the message's type. Types that nobody registered are skipped.
    dispatch_result dispatch(const peer_message& message);

    const dispatch_counters& counters() const { return counters_; }

private:
    std::map<std::string, std::function<dispatch_result(const peer_message&)>> routes_;
    dispatch_counters counters_;
};

}  // namespace radishpulley::peer
