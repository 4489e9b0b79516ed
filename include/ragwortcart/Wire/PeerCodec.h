/// \file
/// CBOR codec of the messages between entry instances.
#ifndef RAGWORTCART_WIRE_PEERCODEC_H
#define RAGWORTCART_WIRE_PEERCODEC_H

#include "ragwortcart/Control/PeerMessages.h"
#include "ragwortcart/Support/Error.h"

#include <string>
#include <string_view>

namespace ragwort {

std::string encodePeerMessage(const PeerMessage &message);

/// Rejects anything that is not a whole, known message.
Result<PeerMessage> decodePeerMessage(std::string_view bytes, const std::string &peer);

} // namespace ragwort

#endif
