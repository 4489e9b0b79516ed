/// \file
/// How sub-requests are written to backend servers and what their answers mean: the part of the backend client that
/// differs between the protocols of servers.
#ifndef RAGWORTCART_WIRE_BACKENDPROTOCOL_H
#define RAGWORTCART_WIRE_BACKENDPROTOCOL_H

#include "ragwortcart/Model/Query.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwort {

struct SubFailureReport
{
    SubFailure failure = SubFailure::protocol;
    std::optional<ServerReport> report;
    /// What the server said, if it answered a forwarded request with a failure or a refusal.
    std::optional<ForwardedAnswer> answer;
    /// The answer belongs to another request, so that nothing more on its connection can be trusted.
    bool crossed = false;
};

/// The request was cancelled and has ended.
struct SubCancelled
{
    /// The server answered after all.
    bool answered = false;
};

using SubOutcome = std::variant<SubAnswer, ForwardedAnswer, SubFailureReport, SubCancelled>;

/// A request as it goes out.
struct BackendCall
{
    std::string method;
    std::string target;
    std::vector<HeaderField> headers;
    std::string body;
};

/// An answer as it came in, whole.
struct BackendResponse
{
    int status = 0;
    std::vector<HeaderField> headers;
    std::string body;

    /// The first header of that name in any case, or nothing.
    std::optional<std::string_view> header(std::string_view name) const;
};

class BackendProtocol
{
public:
    virtual ~BackendProtocol() = default;

    virtual BackendCall encode(const SubRequest &request, Instant now) const = 0;

    virtual SubOutcome decode(const SubRequest &request, BackendResponse response) const = 0;

    /// Whether a server whose connection broke can be asked which process it is.
    virtual bool hasStatus() const = 0;
};

/// This project's own protocol: JSON over HTTP.
const BackendProtocol &ownBackendProtocol();

/// Compares names of headers, which ignore case.
bool equalHeaderNames(std::string_view left, std::string_view right);

} // namespace ragwort

#endif
