/// \file
/// Checks of HTTP responses beyond those of the parser. Internal to this library.
#ifndef RAGWORTCART_LIB_WIRE_RESPONSECHECK_H
#define RAGWORTCART_LIB_WIRE_RESPONSECHECK_H

#include <boost/beast/http/message.hpp>
#include <string_view>

namespace ragwort {

/// Returns what makes a response invalid although the parser accepts it, or null. An invalid response tells nothing of its request, not even
/// that it did not run.
const char *findResponseFault(const boost::beast::http::response_header<> &head);

/// Returns whether a line of a response's head begins with a blank. The parser appends such a line to the value of the field before it (obsolete
/// line folding), while other readers take it for a field of its own. \p received starts at the beginning of a line and may end anywhere.
bool hasFoldedLine(std::string_view received);

} // namespace ragwort

#endif
