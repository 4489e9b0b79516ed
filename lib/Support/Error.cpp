/// \file
/// Implementation of the error category and of error formatting.
#include "ragwortcart/Support/Error.h"

namespace ragwort {

namespace {

class RagwortCategory final : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "ragwort";
    }

    std::string message(int condition) const override
    {
        switch (static_cast<Errc>(condition)) {
        case Errc::ok:
            return "ok";
        case Errc::malformedInput:
            return "malformed input";
        case Errc::unknownTeam:
            return "unknown team";
        case Errc::unknownKind:
            return "unknown kind of search";
        case Errc::invalidDeadline:
            return "invalid deadline";
        case Errc::missingIdempotencyKey:
            return "missing idempotency key";
        case Errc::refusedByAdmission:
            return "refused by admission control";
        case Errc::storeUnavailable:
            return "store unavailable";
        case Errc::conflict:
            return "conflict";
        case Errc::notFound:
            return "not found";
        case Errc::connectFailed:
            return "connect failed";
        case Errc::connectionLost:
            return "connection lost";
        case Errc::timeout:
            return "timeout";
        case Errc::refusedByServer:
            return "refused by server";
        case Errc::snapshotGone:
            return "snapshot gone";
        case Errc::shuttingDown:
            return "shutting down";
        case Errc::protocolViolation:
            return "protocol violation";
        case Errc::historyGone:
            return "history gone";
        }
        return "unknown condition";
    }
};

} // namespace

const std::error_category &ragwortCategory()
{
    static const RagwortCategory CATEGORY;
    return CATEGORY;
}

std::string Error::describe() const
{
    std::string text = this->code.message();
    if (!this->step.empty()) {
        text += " step=" + this->step;
    }
    if (!this->peer.empty()) {
        text += " peer=" + this->peer;
    }
    if (!this->detail.empty()) {
        text += " detail=" + this->detail;
    }
    return text;
}

} // namespace ragwort
