/// \file
/// Implements the default protocol for callers, JSON over HTTP.
#include "ragwortcart/Wire/CallerProtocol.h"

namespace ragwort {

namespace {

class JsonCallerProtocol final : public CallerProtocol
{
public:
    std::variant<QueryRequest, HttpResponse> decode(const HttpRequest &http, const Configuration &configuration, Instant now) const override
    {
        return decodeCallerRequest(http, configuration, now);
    }

    HttpResponse encode(const Answer &answer, const AnswerContext &context) const override
    {
        return encodeAnswer(answer, context);
    }
};

} // namespace

const CallerProtocol &jsonCallerProtocol()
{
    static const JsonCallerProtocol PROTOCOL;
    return PROTOCOL;
}

} // namespace ragwort
