/// \file
/// This project's own interface for callers.
#include "ragwortcart/Wire/CallerProtocol.h"

namespace ragwort {

namespace {

class OwnCallerProtocol final : public CallerProtocol
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

const CallerProtocol &ownCallerProtocol()
{
    static const OwnCallerProtocol PROTOCOL;
    return PROTOCOL;
}

} // namespace ragwort
