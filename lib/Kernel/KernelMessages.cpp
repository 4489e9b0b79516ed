/// \file
/// Maps the reasons for decisions to their published codes.
#include "ragwortcart/Kernel/KernelMessages.h"

#include <string_view>

namespace ragwort {

std::string_view toString(Reason reason)
{
    switch (reason) {
    case Reason::admitted:
        return "admitted";
    case Reason::queued:
        return "queued";
    case Reason::refusedOverload:
        return "refused-overload";
    case Reason::refusedDraining:
        return "refused-draining";
    case Reason::refusedQuarantined:
        return "refused-quarantined";
    case Reason::refusedNoTopology:
        return "refused-no-topology";
    case Reason::claimHeldElsewhere:
        return "claim-held-elsewhere";
    case Reason::claimContentDiffers:
        return "claim-content-differs";
    case Reason::claimUnavailable:
        return "claim-unavailable";
    case Reason::replayed:
        return "replayed";
    case Reason::hedged:
        return "hedged";
    case Reason::hedgeBudgetSpent:
        return "hedge-budget-spent";
    case Reason::retried:
        return "retried";
    case Reason::retryBudgetSpent:
        return "retry-budget-spent";
    case Reason::attemptTimedOut:
        return "attempt-timed-out";
    case Reason::attemptFailed:
        return "attempt-failed";
    case Reason::lateAnswerDropped:
        return "late-answer-dropped";
    case Reason::wrongSnapshotDropped:
        return "wrong-snapshot-dropped";
    case Reason::overlappingAnswerDropped:
        return "overlapping-answer-dropped";
    case Reason::snapshotRerun:
        return "snapshot-rerun";
    case Reason::snapshotLost:
        return "snapshot-lost";
    case Reason::noReplica:
        return "no-replica";
    case Reason::deadlineReached:
        return "deadline-reached";
    case Reason::callerGone:
        return "caller-gone";
    case Reason::serverEjected:
        return "server-ejected";
    case Reason::serverCold:
        return "server-cold";
    case Reason::serverWarmer:
        return "server-warmer";
    // The published code differs from the name of the enumerator.
    case Reason::crashReported:
        return "content-accused";
    case Reason::contentQuarantined:
        return "content-quarantined";
    case Reason::canarySent:
        return "canary-sent";
    case Reason::unknownOutcome:
        return "unknown-outcome";
    case Reason::objectiveReached:
        return "objective-reached";
    case Reason::shareOutOfReach:
        return "share-out-of-reach";
    case Reason::serverFailurePassed:
        return "server-failure-passed";
    case Reason::serverLimited:
        return "server-limited";
    case Reason::serverLimitEnded:
        return "server-limit-ended";
    case Reason::serverPaused:
        return "server-paused";
    case Reason::serverPauseEnded:
        return "server-pause-ended";
    case Reason::serverLeaving:
        return "server-leaving";
    case Reason::handedOver:
        return "handed-over";
    case Reason::aggregatorRefused:
        return "aggregator-refused";
    case Reason::aggregatorSilent:
        return "aggregator-silent";
    case Reason::refusedRouteDiffers:
        return "refused-route-differs";
    case Reason::heldBackByServers:
        return "held-back-by-servers";
    case Reason::completed:
        return "ok";
    }
    return "unknown";
}

} // namespace ragwort
