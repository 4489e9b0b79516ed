/// \file
/// Requests a server's status over a dedicated connection, which is closed after the response.
#ifndef RAGWORTCART_LIB_WIRE_STATUSFETCH_H
#define RAGWORTCART_LIB_WIRE_STATUSFETCH_H

#include "ragwortcart/Wire/BackendClient.h"

#include <string>

namespace ragwort {

/// Sends a status request to \p address. \p completion runs once, on the loop's thread, with an error if no valid status arrives
/// within \p timeout.
void fetchServerStatus(EventLoop &loop, const std::string &address, Duration timeout, BackendClient::StatusCompletion completion);

} // namespace ragwort

#endif
