/// \file
/// The events that the decision kernel (`QueryEngine`) handles and the actions that it requests, as typed values.
#ifndef RAGWORTCART_KERNEL_KERNELMESSAGES_H
#define RAGWORTCART_KERNEL_KERNELMESSAGES_H

#include "ragwortcart/Model/PartialQuery.h"
#include "ragwortcart/Model/Query.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwort {

// Events.

struct QueryArrived
{
    QueryRequest request;
};

/// The caller has closed its connection; its query is cancelled.
struct CallerDisconnected
{
    QueryId query = 0;
};

struct SubRequestAnswered
{
    QueryId query = 0;
    AttemptId attempt = 0;
    SubAnswer answer;
};

/// The complete response of a server to a forwarded request, other than a failure.
struct ForwardAnswered
{
    QueryId query = 0;
    AttemptId attempt = 0;
    ForwardedAnswer answer;
};

struct SubRequestFailed
{
    QueryId query = 0;
    AttemptId attempt = 0;
    SubFailure failure = SubFailure::lost;
    std::optional<ServerReport> report;
    /// The response of the server, if it answered a forwarded request with an error or a rejection.
    std::optional<ForwardedAnswer> answer;
};

/// A cancelled sub-request no longer occupies its server: a late response arrived, or its connection is closed.
struct SubRequestEnded
{
    QueryId query = 0;
    AttemptId attempt = 0;
    /// The server sent a late response.
    bool answered = false;
    /// What the server stated with the late response to a forwarded request.
    std::optional<ServerStatement> statement;
};

enum class ClaimVerdict {
    /// The claim is stored for this query; the action may be sent and run once.
    granted,
    /// The action ran before; `ClaimDecided::recordedOutcome` is its outcome.
    alreadyRan,
    /// Another request holds the claim and has not recorded an outcome.
    heldElsewhere,
    /// The idempotency key was used before with different content.
    contentDiffers,
    /// The claim was not obtained before the deadline, or the store has no room for it. Nothing was sent; if a late
    /// write of the claim takes effect, it is released.
    unavailable,
};

/// The reply to `RequestClaim`.
struct ClaimDecided
{
    QueryId query = 0;
    ClaimVerdict verdict = ClaimVerdict::unavailable;
    /// Set for `ClaimVerdict::alreadyRan` only.
    std::string recordedOutcome;
};

/// All linked peers have acknowledged the crash report of this query, or the wait for their acknowledgements has timed
/// out.
struct CrashReportCompleted
{
    QueryId query = 0;
    std::uint64_t fingerprint = 0;
    /// Number of distinct servers that are known to have crashed on requests with this content.
    int crashedServers = 0;
};

/// An aggregator has answered a branch of a query.
struct PartialQueryAnswered
{
    std::string aggregator;
    PartialQueryReply reply;
};

/// The link to another instance has opened or closed.
struct PeerLinkChanged
{
    std::string peer;
    bool up = false;
};

/// Stops accepting new queries; waiting and running queries are completed.
struct DrainRequested
{
};

using KernelEvent = std::variant<QueryArrived,
                                 CallerDisconnected,
                                 SubRequestAnswered,
                                 ForwardAnswered,
                                 SubRequestFailed,
                                 SubRequestEnded,
                                 ClaimDecided,
                                 CrashReportCompleted,
                                 PartialQueryAnswered,
                                 PeerLinkChanged,
                                 DrainRequested>;

// Actions.

/// Sends a sub-request. Answered by `SubRequestAnswered`, `ForwardAnswered` or `SubRequestFailed`.
struct SendSubRequest
{
    SubRequest request;
};

/// Cancels a sub-request. Answered by `SubRequestEnded`, unless a response or a failure arrives first.
struct CancelSubRequest
{
    QueryId query = 0;
    AttemptId attempt = 0;
    std::string serverId;
};

/// Hands shards of a query over to an aggregator. Answered by `PartialQueryAnswered`, unless the link closes.
struct SendPartialQuery
{
    std::string aggregator;
    PartialQueryRequest request;
};

/// Cancels a branch. Not answered.
struct CancelPartialQuery
{
    std::string aggregator;
    PartialQueryCancel cancel;
};

/// Answers the caller, or the coordinator if the query has a `ShardSelection`.
struct ReplyToCaller
{
    Answer answer;
};

/// Requests the exclusive right to run an action. Answered by `ClaimDecided`.
struct RequestClaim
{
    QueryId query = 0;
    std::string team;
    /// The idempotency key of the caller's request.
    std::string key;
    std::uint64_t fingerprint = 0;
    /// Latest time at which a decision is still useful.
    Instant deadline{};
};

/// Records the outcome of an action in its claim, or releases the claim if the action did not run. If the outcome is
/// unknown, the claim is kept, so that the action cannot run again.
struct RecordClaimOutcome
{
    QueryId query = 0;
    RunState state = RunState::outcomeUnknown;
    std::string outcome;
};

/// Reports that a server crashed while it ran a request with this content. Answered by `CrashReportCompleted`.
struct ReportCrash
{
    QueryId query = 0;
    std::uint64_t fingerprint = 0;
    std::string serverId;
};

/// Announces to the other instances that a server was detected as cold, or that the owner of its warm-up has completed
/// a warm-up level.
struct AnnounceWarmUp
{
    std::string serverId;
    std::uint64_t incarnation = 0;
    int level = 0;
    /// False if the server is now warm.
    bool cold = false;
};

/// The reason for a decision of the kernel; appears in the log, the metrics and the state dump.
enum class Reason {
    admitted,
    queued,
    /// The admission queue is full, or the query could not be answered in time.
    refusedOverload,
    refusedDraining,
    refusedQuarantined,
    /// The kind, the group or the route of the query is unknown, or no snapshot of the group can be queried.
    refusedNoTopology,
    claimHeldElsewhere,
    claimContentDiffers,
    claimUnavailable,
    /// The outcome of an earlier run of the same action was returned.
    replayed,
    hedged,
    /// The extra-load budget is spent, or its remainder is reserved for other parts.
    hedgeBudgetSpent,
    retried,
    /// A replica was left, but the budget, the number of attempts or the remaining time did not allow a retry.
    retryBudgetSpent,
    attemptTimedOut,
    attemptFailed,
    /// The attempt had been cancelled, or its query had ended.
    lateAnswerDropped,
    /// The response is from another snapshot, or its range is not part of the requested one.
    wrongSnapshotDropped,
    /// The range of the response overlaps a range that was merged before.
    overlappingAnswerDropped,
    snapshotRerun,
    snapshotLost,
    /// No usable server was left for a part.
    noReplica,
    deadlineReached,
    callerGone,
    serverEjected,
    serverCold,
    /// The server has completed a warm-up level.
    serverWarmer,
    crashReported,
    contentQuarantined,
    canarySent,
    /// A request that must not run twice may have run.
    unknownOutcome,
    /// The latency objective expired and enough shards have answered.
    objectiveReached,
    /// So many shards have failed that the minimum share cannot be reached.
    shareOutOfReach,
    /// The error response of a server was returned to the caller.
    serverFailurePassed,
    /// The server states a limit of the requests that it accepts from all instances together.
    serverLimited,
    serverLimitEnded,
    /// The server rejected a request and states for how long it wants no others from this instance.
    serverPaused,
    /// The server has served a request after such a pause.
    serverPauseEnded,
    /// The server states that it is about to leave.
    serverLeaving,
    /// Shards of the query were handed over to an aggregator.
    handedOver,
    /// The aggregator has refused its shards. Nothing was sent to servers.
    aggregatorRefused,
    /// The aggregator has not answered in time, or its link has closed.
    aggregatorSilent,
    /// The coordinator's version of the route names other shards than this instance's.
    refusedRouteDiffers,
    /// All usable servers of a part limit their requests or have asked for a pause, and none accepts this one in time.
    heldBackByServers,
    completed,
};

/// Returns the code that appears in logs, in metrics and in the replies to callers, for example "refused-overload".
std::string_view toString(Reason reason);

struct ReportDecision
{
    Reason reason = Reason::admitted;
    QueryId query = 0;
    std::string server;
    /// The inputs of the decision, formatted for the log; may be empty.
    std::string detail;
};

using KernelAction = std::variant<SendSubRequest,
                                  CancelSubRequest,
                                  SendPartialQuery,
                                  CancelPartialQuery,
                                  ReplyToCaller,
                                  RequestClaim,
                                  RecordClaimOutcome,
                                  ReportCrash,
                                  AnnounceWarmUp,
                                  ReportDecision>;

} // namespace ragwort

#endif
