/// \file
/// What callers speak: from a request to a query, from an answer to a response.
#ifndef RAGWORTCART_WIRE_CALLERPROTOCOL_H
#define RAGWORTCART_WIRE_CALLERPROTOCOL_H

#include "ragwortcart/Wire/CallerCodec.h"

#include <variant>

namespace ragwort {

class CallerProtocol
{
public:
    virtual ~CallerProtocol() = default;

    /// A query without an id yet, or the response that the request gets at once.
    virtual std::variant<QueryRequest, HttpResponse> decode(const HttpRequest &http, const Configuration &configuration, Instant now) const = 0;

    virtual HttpResponse encode(const Answer &answer, const AnswerContext &context) const = 0;
};

/// This project's own interface for callers.
const CallerProtocol &ownCallerProtocol();

} // namespace ragwort

#endif
