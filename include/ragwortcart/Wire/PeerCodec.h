/// \file
/// CBOR codec of the messages exchanged between entry instances.
#ifndef RAGWORTCART_WIRE_PEERCODEC_H
#define RAGWORTCART_WIRE_PEERCODEC_H

#include "ragwortcart/Control/PeerMessages.h"
#include "ragwortcart/Support/Error.h"

#include <string>
#include <string_view>

namespace ragwort {

std::string encodePeerMessage(const PeerMessage &message);

/// Decodes a message; \p peer is reported in errors. Fails on malformed CBOR, unknown message types and truncated store
/// events. Other missing or invalid fields get default values.
Result<PeerMessage> decodePeerMessage(std::string_view bytes, const std::string &peer);

} // namespace ragwort

#endif
