/// \file
/// A visitor for `std::variant` composed of lambdas.
#ifndef RAGWORTCART_SUPPORT_VISITOR_H
#define RAGWORTCART_SUPPORT_VISITOR_H

namespace ragwort {

/// Overload set of \p Handlers. Usage: `std::visit(Visitor{[](const A &) {}, [](const B &) {}}, variant)`.
template <typename... Handlers>
struct Visitor : Handlers...
{
    using Handlers::operator()...;
};
template <typename... Handlers>
Visitor(Handlers...) -> Visitor<Handlers...>;

} // namespace ragwort

#endif
