/// \file
/// String conversion and predicates of the query types.
#include "ragwortcart/Model/Query.h"

#include <string_view>

namespace ragwort {

std::string_view toString(SubFailure failure)
{
    switch (failure) {
    case SubFailure::connectFailed:
        return "connect-failed";
    case SubFailure::expired:
        return "deadline-passed";
    case SubFailure::unsendable:
        return "unsendable";
    case SubFailure::lost:
        return "server-lost";
    case SubFailure::closed:
        return "connection-closed";
    case SubFailure::timeout:
        return "timeout";
    case SubFailure::shed:
        return "shed";
    case SubFailure::draining:
        return "draining";
    case SubFailure::snapshotGone:
        return "snapshot-gone";
    case SubFailure::protocol:
        return "protocol-violation";
    case SubFailure::misdirected:
        return "misdirected";
    case SubFailure::serverError:
        return "server-error";
    }
    return "unknown";
}

bool provesNotRun(SubFailure failure)
{
    switch (failure) {
    case SubFailure::connectFailed:
    case SubFailure::expired:
    case SubFailure::unsendable:
    case SubFailure::shed:
    case SubFailure::draining:
    case SubFailure::snapshotGone:
    case SubFailure::misdirected:
        return true;
    case SubFailure::lost:
    case SubFailure::closed:
    case SubFailure::timeout:
    case SubFailure::protocol:
    case SubFailure::serverError:
        return false;
    }
    return false;
}

std::string_view toString(RunState state)
{
    switch (state) {
    case RunState::ran:
        return "ran";
    case RunState::notRun:
        return "not-run";
    case RunState::outcomeUnknown:
        return "outcome-unknown";
    }
    return "outcome-unknown";
}

double Coverage::fraction() const
{
    if (this->totalDocuments == 0) {
        return this->missing.empty() ? 1.0 : 0.0;
    }
    return static_cast<double>(this->documents) / static_cast<double>(this->totalDocuments);
}

} // namespace ragwort
