/// Joins lambdas into one visitor for std::visit.
///
/// Example: `std::visit(overloaded{[](int) {}, [](const std::string&) {}}, value);`
#pragma once

namespace radishpulley {

/// A visitor with the calls of all `Visitors`.
template <typename... Visitors>
struct overloaded : Visitors... {
    using Visitors::operator()...;
};
template <typename... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

}  // namespace radishpulley
