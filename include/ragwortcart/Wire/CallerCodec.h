/// \file
/// Codec of the callers' HTTP interface: decodes requests into queries and encodes answers as responses.
#ifndef RAGWORTCART_WIRE_CALLERCODEC_H
#define RAGWORTCART_WIRE_CALLERCODEC_H

#include "ragwortcart/Model/Configuration.h"
#include "ragwortcart/Model/Query.h"
#include "ragwortcart/Wire/HttpServer.h"

#include <string>
#include <string_view>
#include <variant>

namespace ragwort {

/// Limits on a caller's request.
inline constexpr int MAXIMUM_RESULT_LIMIT = 1000;
inline constexpr std::size_t MAXIMUM_QUERY_BYTES = 4096;
inline constexpr std::size_t MAXIMUM_IDEMPOTENCY_KEY_BYTES = 200;

/// RFC 9457 problem details with the extension members `run`, `reason` and `query_id`.
struct Problem
{
    int status = 400;
    std::string title;
    std::string detail;
    RunState run = RunState::notRun;
    std::string reason;
    /// Sent as Retry-After header; zero if the response has none.
    Duration retryAfter{};
    /// Empty if the request was rejected before it got a query id.
    std::string queryId;
};

HttpResponse encodeProblem(const Problem &problem);

/// Validates a caller's request against the configuration. Returns a query without an id, or the error response.
std::variant<QueryRequest, HttpResponse> decodeCallerRequest(const HttpRequest &http, const Configuration &configuration, Instant now);

/// The data of a response that does not belong to the answer.
struct AnswerContext
{
    /// Name of the instance that sends the response.
    std::string instance;
    /// True for searches, whose responses contain results and coverage; false for actions, whose responses contain the outcome.
    bool repeatable = true;
    /// Time since the arrival of the request.
    Duration elapsed{};
};

HttpResponse encodeAnswer(const Answer &answer, const AnswerContext &context);

} // namespace ragwort

#endif
