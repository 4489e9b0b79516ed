/// \file
/// Interface for encoding sub-requests to backend servers and decoding their responses: the protocol-specific part of the
/// backend client.
#ifndef RAGWORTCART_WIRE_BACKENDPROTOCOL_H
#define RAGWORTCART_WIRE_BACKENDPROTOCOL_H

#include "ragwortcart/Model/Query.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwort {

/// The sub-request failed.
struct SubFailureReport
{
    SubFailure failure = SubFailure::protocol;
    /// The server's report, if its response to the request or to the subsequent status request contained one.
    std::optional<ServerReport> report;
    /// The server's response to a forwarded request that the server rejected or failed to run.
    std::optional<ForwardedAnswer> answer;
    /// The response belongs to another request; its connection is out of sync and must not be reused.
    bool mismatched = false;
};

/// The sub-request was cancelled and has ended.
struct SubCancelled
{
    /// The server responded despite the cancellation.
    bool answered = false;
    /// What the server stated with that response, if it was a response to a forwarded request.
    std::optional<ServerStatement> statement;
};

/// How a sub-request ended.
using SubOutcome = std::variant<SubAnswer, ForwardedAnswer, SubFailureReport, SubCancelled>;

/// An encoded request.
struct BackendHttpRequest
{
    std::string method;
    std::string target;
    std::vector<HeaderField> headers;
    std::string body;
};

/// A complete response, before decoding.
struct BackendHttpResponse
{
    int status = 0;
    std::vector<HeaderField> headers;
    std::string body;

    /// Returns the value of the first header with that name, ignoring case, or nothing.
    std::optional<std::string_view> header(std::string_view name) const;
};

/// Encodes the requests and decodes the responses of one protocol. Implementations must be thread-safe, because the clients of
/// several threads share one object.
class BackendProtocol
{
public:
    virtual ~BackendProtocol() = default;

    /// Encodes \p request. \p now is used to encode the time left until its deadline.
    virtual BackendHttpRequest encode(const SubRequest &request, Instant now) const = 0;

    /// Decodes the response to \p request. An invalid response yields a `SubFailureReport` with `SubFailure::protocol`, after which
    /// the client closes the connection.
    virtual SubOutcome decode(const SubRequest &request, BackendHttpResponse response) const = 0;

    /// Returns whether servers report their incarnation on request, so that a restart can be detected after a connection
    /// is lost.
    virtual bool supportsStatus() const = 0;
};

/// Returns the default protocol, JSON over HTTP.
const BackendProtocol &jsonBackendProtocol();

/// Returns what a server stated with its response to a forwarded request, or null if \p outcome holds no such response.
const ServerStatement *statementOf(const SubOutcome &outcome);

/// Compares two header names, ignoring case.
bool equalHeaderNames(std::string_view left, std::string_view right);

} // namespace ragwort

#endif
