/// \file
/// Interface for decoding callers' requests into queries and encoding answers as responses.
#ifndef RAGWORTCART_WIRE_CALLERPROTOCOL_H
#define RAGWORTCART_WIRE_CALLERPROTOCOL_H

#include "ragwortcart/Wire/CallerCodec.h"

#include <variant>

namespace ragwort {

/// Decodes the requests and encodes the responses of one protocol. Implementations must be thread-safe, because several threads
/// share one object.
class CallerProtocol
{
public:
    virtual ~CallerProtocol() = default;

    /// Returns a query without an id, or a response to be sent immediately.
    virtual std::variant<QueryRequest, HttpResponse> decode(const HttpRequest &http, const Configuration &configuration, Instant now) const = 0;

    virtual HttpResponse encode(const Answer &answer, const AnswerContext &context) const = 0;
};

/// Returns the default protocol, JSON over HTTP.
const CallerProtocol &jsonCallerProtocol();

} // namespace ragwort

#endif
