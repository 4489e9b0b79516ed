/// \file
/// Checks of HTTP responses beyond those of the parser. Internal to this library.
#ifndef RAGWORTCART_LIB_WIRE_RESPONSECHECK_H
#define RAGWORTCART_LIB_WIRE_RESPONSECHECK_H

#include <boost/beast/http/message.hpp>

namespace ragwort {

/// Returns what makes a response invalid although the parser accepts it, or null. An invalid response tells nothing of its request, not even
/// that it did not run.
const char *findResponseFault(const boost::beast::http::response_header<> &head);

} // namespace ragwort

#endif
