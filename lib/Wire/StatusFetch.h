/// \file
/// One question for a server's status, on a connection of its own that ends with the answer.
#ifndef RAGWORTCART_LIB_WIRE_STATUSFETCH_H
#define RAGWORTCART_LIB_WIRE_STATUSFETCH_H

#include "ragwortcart/Wire/BackendClient.h"

#include <string>

namespace ragwort {

/// \p completion runs once, on the loop's thread.
void fetchServerStatus(EventLoop &loop, const std::string &address, Duration timeout, BackendClient::StatusCompletion completion);

} // namespace ragwort

#endif
