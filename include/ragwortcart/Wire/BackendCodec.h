/// \file
/// JSON codec of the messages exchanged with backend servers.
#ifndef RAGWORTCART_WIRE_BACKENDCODEC_H
#define RAGWORTCART_WIRE_BACKENDCODEC_H

#include "ragwortcart/Model/Query.h"
#include "ragwortcart/Model/ServerStatus.h"
#include "ragwortcart/Support/Error.h"

#include <string>
#include <string_view>
#include <vector>

namespace ragwort {

/// A sub-request as decoded by a backend server.
struct BackendRequest
{
    QueryId query = 0;
    AttemptId attempt = 0;
    std::string kind;
    std::string text;
    int limit = 0;
    SnapshotId snapshot = 0;
    KeyRange range;
    Duration timeLeft{};
    std::string actionKey;
};

/// A reply and the identifiers of the request that it refers to.
struct BackendReply
{
    QueryId query = 0;
    AttemptId attempt = 0;
    SubAnswer answer;
};

std::string encodeBackendRequest(const SubRequest &request, Instant now);
Result<BackendRequest> decodeBackendRequest(std::string_view json, const std::string &peer);

std::string encodeBackendReply(const BackendReply &reply);
Result<BackendReply> decodeBackendReply(std::string_view json, const std::string &peer);

/// The body of the response to a request that the server rejected without running it: the reason and the server's report.
struct BackendRefusal
{
    SubFailure failure = SubFailure::protocol;
    ServerReport report;
};

std::string encodeBackendRefusal(const BackendRefusal &refusal);
Result<BackendRefusal> decodeBackendRefusal(std::string_view json, const std::string &peer);

std::string encodeServerStatus(const ServerStatus &status);
Result<ServerStatus> decodeServerStatus(std::string_view json, const std::string &peer);

} // namespace ragwort

#endif
