/// \file
/// Value types for callers' requests that are forwarded to backend servers unchanged, and for the responses to them. Their content is
/// opaque to the tier.
#ifndef RAGWORTCART_MODEL_FORWARDEDQUERY_H
#define RAGWORTCART_MODEL_FORWARDEDQUERY_H

#include "ragwortcart/Support/Clock.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwort {

struct HeaderField
{
    std::string name;
    std::string value;
};

/// A caller's request without its hop-by-hop headers.
struct ForwardedRequest
{
    std::string method;
    /// Path and query string.
    std::string target;
    std::vector<HeaderField> headers;
    std::string body;
    /// The request identifier assigned by the caller; servers echo it.
    std::string callerRequestId;
};

/// The shards of a route that an instance gathers for another one, the coordinator of the query.
struct ShardSelection
{
    /// Positions of the shards in the route's `ShardSet`.
    std::size_t first = 0;
    std::size_t count = 0;
    /// The fewest shards that are of use to the coordinator.
    std::size_t minimum = 0;
    /// `Route::revision` at the coordinator.
    std::uint64_t routeRevision = 0;
    /// When an answer with the minimum is to be returned, although it leaves shards out.
    Instant answerBy{};
};

/// A request to forward, and the name of the route that determines the eligible services.
struct ForwardedCall
{
    std::shared_ptr<const ForwardedRequest> request;
    std::string route;
    /// Nothing if the request comes from a caller.
    std::optional<ShardSelection> selection;
};

/// The load that a server reports for itself.
struct ServerLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/// What a server states about itself in the headers of a response, whatever the response is.
struct ServerStatement
{
    std::optional<ServerLoad> load;
    /// Requests per second that the server accepts from all instances together. Nothing if the server states no limit.
    std::optional<double> acceptedRate;
    /// The server is about to leave and accepts no new requests.
    bool leaving = false;
    /// The time for which the server wants no requests from this instance. Stated with the rejection of a request only.
    std::optional<Duration> requestedPause;
};

/// The complete response of one server, with its signature.
struct ForwardedAnswer
{
    int status = 0;
    std::vector<HeaderField> headers;
    std::string body;
    /// Lets callers verify which server responded to which request.
    std::string signature;
    /// Whether the signature keeps its meaning in the list of signatures of a merged response.
    bool mergeable = true;
    ServerStatement statement;

    bool success() const
    {
        return this->status >= 200 && this->status < 300;
    }
};

/// The top records of the answers of several shards.
struct MergedRecords
{
    std::string body;
    /// One per merged answer.
    std::vector<std::string> signatures;
    /// Positions of the other shards in the route's `ShardSet`, ascending.
    std::vector<std::uint32_t> missingShards;
};

/// The reply to a forwarded request. Holds `std::monostate` if the tier itself reports a failure, and for queries that are not
/// forwarded.
using ForwardedReply = std::variant<std::monostate, ForwardedAnswer, MergedRecords>;

} // namespace ragwort

#endif
