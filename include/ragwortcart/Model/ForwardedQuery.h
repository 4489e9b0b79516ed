/// \file
/// Requests that are passed on as they came, and the answers to them: their content is opaque to the tier.
#ifndef RAGWORTCART_MODEL_FORWARDEDQUERY_H
#define RAGWORTCART_MODEL_FORWARDEDQUERY_H

#include "ragwortcart/Support/Clock.h"

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

/// A caller's request without the headers that concern its connection only.
struct ForwardedRequest
{
    std::string method;
    /// Path and query string.
    std::string target;
    std::vector<HeaderField> headers;
    std::string body;
    /// The caller's own identifier of this request; servers echo it.
    std::string callerRequestId;
};

/// What is forwarded, and the route that names the services it may go to.
struct ForwardedCall
{
    std::shared_ptr<const ForwardedRequest> request;
    std::string route;
};

/// Load that a server reports of itself.
struct ServerLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/// A server's own answer, whole, with its signature.
struct ForwardedAnswer
{
    int status = 0;
    std::vector<HeaderField> headers;
    std::string body;
    /// Proves to callers which server answered which request.
    std::string signature;
    std::optional<ServerLoad> load;

    bool success() const
    {
        return this->status >= 200 && this->status < 300;
    }
};

/// The greatest records out of the answers of several shards.
struct MergedRecords
{
    std::string body;
    /// One for each answer that was merged.
    std::vector<std::string> signatures;
    std::size_t missingShards = 0;
};

/// What a caller of a forwarded request gets; nothing when the tier itself has to explain a failure.
using ForwardedReply = std::variant<std::monostate, ForwardedAnswer, MergedRecords>;

} // namespace ragwort

#endif
