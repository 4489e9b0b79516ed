/// \file
/// Implements the default protocol for backend servers, JSON over HTTP.
#include "ragwortcart/Wire/BackendProtocol.h"

#include "ragwortcart/Wire/BackendCodec.h"

#include <strings.h>

namespace ragwort {

static constexpr int HTTP_OK = 200;

bool equalHeaderNames(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::optional<std::string_view> BackendHttpResponse::header(std::string_view name) const
{
    for (const HeaderField &field : this->headers) {
        if (equalHeaderNames(field.name, name)) {
            return field.value;
        }
    }
    return std::nullopt;
}

const ServerStatement *statementOf(const SubOutcome &outcome)
{
    if (const auto *answer = std::get_if<ForwardedAnswer>(&outcome)) {
        return &answer->statement;
    }
    const auto *failure = std::get_if<SubFailureReport>(&outcome);
    return failure != nullptr && failure->answer ? &failure->answer->statement : nullptr;
}

namespace {

class JsonBackendProtocol final : public BackendProtocol
{
public:
    BackendHttpRequest encode(const SubRequest &request, Instant now) const override
    {
        BackendHttpRequest encoded{.method = "POST",
                                   .target = "/v1/search",
                                   .headers = {{.name = "Host", .value = request.address}, {.name = "Content-Type", .value = "application/json"}},
                                   .body = encodeBackendRequest(request, now)};
        if (!request.traceParent.empty()) {
            encoded.headers.push_back({.name = "traceparent", .value = request.traceParent});
        }
        return encoded;
    }

    SubOutcome decode(const SubRequest &request, BackendHttpResponse response) const override
    {
        if (response.status != HTTP_OK) {
            const Result<BackendRefusal> refusal = decodeBackendRefusal(response.body, request.address);
            return refusal ? SubFailureReport{.failure = refusal->failure, .report = refusal->report, .answer = std::nullopt} : SubFailureReport{};
        }
        Result<BackendReply> reply = decodeBackendReply(response.body, request.address);
        if (!reply) {
            return SubFailureReport{};
        }
        if (reply->query != request.query || reply->attempt != request.attempt) {
            return SubFailureReport{.failure = SubFailure::protocol, .report = std::nullopt, .answer = std::nullopt, .mismatched = true};
        }
        return std::move(reply->answer);
    }

    bool supportsStatus() const override
    {
        return true;
    }
};

} // namespace

const BackendProtocol &jsonBackendProtocol()
{
    static const JsonBackendProtocol PROTOCOL;
    return PROTOCOL;
}

} // namespace ragwort
