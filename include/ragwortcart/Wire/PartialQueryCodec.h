/// \file
/// CBOR codec of the messages of divided queries, which share the links with the messages of PeerCodec.h.
#ifndef RAGWORTCART_WIRE_PARTIALQUERYCODEC_H
#define RAGWORTCART_WIRE_PARTIALQUERYCODEC_H

#include "ragwortcart/Model/PartialQuery.h"
#include "ragwortcart/Support/Error.h"

#include <string>
#include <string_view>

namespace ragwort {

std::string encodePartialQueryMessage(const PartialQueryMessage &message);

/// Returns whether \p bytes begin like a message of this codec. Looks at the type only.
bool isPartialQueryMessage(std::string_view bytes);

/// Decodes a message; \p peer is reported in errors. Fails on malformed CBOR, on missing fields or fields of another type, and on numbers out
/// of their range. Further fields at the end, of later versions, are ignored.
Result<PartialQueryMessage> decodePartialQueryMessage(std::string_view bytes, const std::string &peer);

} // namespace ragwort

#endif
