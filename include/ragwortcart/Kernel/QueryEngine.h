/// \file
/// The decision kernel: the state machines of all queries of one thread. It performs no I/O and has no clock or threads
/// of its own.
///
/// The caller passes in events with the current time and executes the requested actions (`KernelMessages.h`). The same
/// code runs in the entry process and in virtual-time tests.
#ifndef RAGWORTCART_KERNEL_QUERYENGINE_H
#define RAGWORTCART_KERNEL_QUERYENGINE_H

#include "ragwortcart/Kernel/AdmissionQueue.h"
#include "ragwortcart/Kernel/AggregatorHealth.h"
#include "ragwortcart/Kernel/CrashEvidence.h"
#include "ragwortcart/Kernel/KernelMessages.h"
#include "ragwortcart/Kernel/Policies.h"
#include "ragwortcart/Kernel/QuarantineList.h"
#include "ragwortcart/Kernel/Topology.h"
#include "ragwortcart/Support/RcuValue.h"
#include "ragwortcart/Support/TimerService.h"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace ragwort {

struct ActiveQuery;
struct QueryPart;
struct PartAttempt;
struct QueryBranch;
struct Route;
struct ShardSet;

/// State of one group in one engine, for the state dump.
struct GroupStatus
{
    std::string key;
    int admissionLimit = 0;
    std::uint64_t extraSpent = 0;
    std::uint64_t extraRefused = 0;
    Duration meanDuration{};
};

/// State of one engine, for the state dump.
struct EngineStatus
{
    std::size_t activeQueries = 0;
    /// Number of queries that wait for admission.
    std::size_t waitingQueries = 0;
    /// Number of parts of active queries that wait for a permit.
    std::size_t waitingParts = 0;
    std::vector<GroupStatus> groups;
};

/// Each thread has its own engine. The engines of one process share the admission counters, the quarantine list, the crash
/// evidence and the server records.
class QueryEngine
{
public:
    struct Options
    {
        const RcuValue<Configuration> &configuration;
        const RcuValue<Topology> &topology;
        AdmissionCounters &admissionCounters;
        QuarantineList &quarantineList;
        CrashEvidence &crashEvidence;
        std::uint64_t seed = 1;
        /// Set if other engines use the same server records and admission counters. They release permits without an
        /// event in this engine, which therefore polls at short intervals.
        bool sharesPermits = true;
    };

    explicit QueryEngine(const Options &options);
    ~QueryEngine();
    QueryEngine(const QueryEngine &) = delete;
    QueryEngine &operator=(const QueryEngine &) = delete;

    /// Handles one event. An event whose query or attempt has ended changes no query; it only releases what the query
    /// or the attempt still held.
    void handle(const KernelEvent &event, Instant now);

    /// Runs the timers that are due at \p now.
    void advance(Instant now);

    /// Returns the time of the next `advance()`, if a timer is pending.
    std::optional<Instant> nextWakeup() const
    {
        return this->timers.nextDeadline();
    }

    /// Returns the actions requested since the last call, in order.
    std::vector<KernelAction> takeActions();

    /// Returns true if no query runs or waits. After a drain request, an idle engine stays idle.
    bool idle() const;

    EngineStatus status() const;

private:
    using QueryPointer = std::unique_ptr<ActiveQuery>;
    struct GroupState;

    /// The configuration entries that apply to a query.
    struct ResolvedQuery
    {
        const QueryKind *kind = nullptr;
        const BackendGroup *group = nullptr;
        /// Null unless the query is a forwarded request.
        const Route *route = nullptr;
        /// Key of the group state: `groupKey()`, or the group name of a route.
        std::string key;
    };
    enum class ExtraRequestPurpose { hedge, retry };
    struct AttemptPosition
    {
        std::size_t part = 0;
        std::size_t attempt = 0;
    };

    // Lifecycle and admission (QueryEngine.cpp).
    void onQueryArrived(const QueryArrived &event, Instant now);
    void onCallerDisconnected(const CallerDisconnected &event, Instant now);
    void onClaimDecided(const ClaimDecided &event, Instant now);
    void onCrashReportCompleted(const CrashReportCompleted &event, Instant now);
    void refuse(const QueryRequest &request, Reason reason, Duration retryAfter, std::string detail = {});
    void admit(const QueryRequest &request, const std::string &key, Instant now);
    void begin(ActiveQuery &query, Instant now);
    void admitWaiting(Instant now);
    void expireWaiting(Instant now);
    int admissionLimit(GroupState &group, const QueryRequest &request);
    Duration expectedWait(GroupState &group, Urgency urgency, const QueryRequest &request);
    void finish(ActiveQuery &query, Answer answer, Instant now);
    void remove(ActiveQuery &query, Instant now);

    // Searches (SearchSteps.cpp).
    void startSearch(ActiveQuery &query, Instant now);
    void releaseCanary(ActiveQuery &query, Instant now);
    void addParts(ActiveQuery &query, std::span<const PlannedPart> planned);
    void mergeAnswer(ActiveQuery &query, QueryPart &part, const SubAnswer &answer, Instant now);
    bool rerunOnNextSnapshot(ActiveQuery &query, Instant now);
    void finishIfDone(ActiveQuery &query, Instant now);
    void finishSearch(ActiveQuery &query, Reason reason, Instant now);
    void planRemainder(ActiveQuery &query, const KeyRange &range);
    void onDeadline(QueryId id, Instant now);

    // Forwarded requests (ForwardSteps.cpp).
    static std::optional<ResolvedQuery> resolve(const QueryRequest &request, const Configuration &configured);
    void startForward(ActiveQuery &query, Instant now);
    /// Adds the parts of a merged query: all shards of the route, or those that the coordinator selects.
    void addShardParts(ActiveQuery &query, const ShardSet &shards);
    /// Adds the part that \p service answers.
    void addServicePart(ActiveQuery &query, const std::string &service);
    ExtraLoadBudget &serviceBudget(const ActiveQuery &query, const std::string &service);
    ExtraLoadBudget &budgetOf(const ActiveQuery &query, const QueryPart &part);
    void armObjectiveTimer(ActiveQuery &query);
    void onForwardAnswered(const ForwardAnswered &event, Instant now);
    /// Records what a server states in its response. Without \p sentAt, the time of the attempt, a response that states no limit does not
    /// end one.
    void recordServerStatement(QueryId query, ServerRecord &server, const ServerStatement &statement, std::optional<Instant> sentAt, Instant now);
    /// Returns a random fraction, uniform from 0 to 1.
    double randomFraction();
    /// Returns how long a part has to wait for its servers, all of which hold this instance back, or nothing if one of its usable servers does
    /// not or none is usable.
    std::optional<Duration> heldBackWait(const QueryPart &part, Instant now);
    /// Fails a part that has to wait too long for its servers, and returns whether it did.
    bool failIfHeldBack(ActiveQuery &query, QueryPart &part, Instant now);
    /// Returns the time after which the first server of \p part accepts a request, whether the part has tried it or not, if all hold this
    /// instance back; otherwise zero.
    static Duration statedWait(const QueryPart &part, Instant now);
    /// Returns whether a part of the query that has to wait for \p wait is answered too late.
    bool isHeldBack(const ActiveQuery &query, Duration wait, Instant now);
    /// Returns the time after which enough shards can be asked for the minimum share, if the servers hold back so many that it is out of reach
    /// now, or nothing.
    std::optional<Duration> minimumShareWait(const ActiveQuery &query, Instant now);
    /// Returns whether the budget allows an extra sub-request for \p part while leaving a reserve for queries that
    /// would fail without one.
    bool allowsExtraRequest(const ActiveQuery &query, const QueryPart &part, ExtraRequestPurpose purpose);
    /// Returns whether \p part is below the maximum number of attempts of its route.
    static bool mayAttempt(const ActiveQuery &query, const QueryPart &part);
    void finishForwardIfDone(ActiveQuery &query, Instant now);
    void finishForward(ActiveQuery &query, Reason reason, Instant now);
    Duration retryAfterFor(const QueryRequest &request, Duration expectedWait);

    // Contents that crash servers, on routes (CrashSteps.cpp).
    /// Records that a forwarded request was lost with its server, unless the content is known to be harmless.
    void recordPossibleCrash(ActiveQuery &query, const PartAttempt &lost, Instant now);
    /// Records that a server has run a forwarded request and survived.
    void recordServedContent(const ActiveQuery &query, Instant now);
    /// Records that a server has answered an attempt of a forwarded request, with whatever status.
    void recordServerAlive(const ActiveQuery &query, const PartAttempt &attempt, Instant now);
    /// Fails a part whose content is quarantined, or leaves it idle while another part shows whether its server survives the content.
    /// Returns whether the part may be sent.
    bool mayRunContent(ActiveQuery &query, std::size_t partIndex, Instant now);
    /// Returns whether the content of a forwarded request is to run on one server at a time.
    bool isSuspectedContent(const ActiveQuery &query, Instant now);
    /// Sends the parts that have waited for a response to a suspected content, or the next one of them if none is being tried.
    void continueTrial(ActiveQuery &query, Instant now);

    // Division of a query among instances (DivisionSteps.cpp).
    /// Hands the shards of a query over to aggregators if they gather them in less time. The parts of the other shards stay idle.
    void handOver(ActiveQuery &query, Instant now);
    /// Returns into how many branches a query is divided, at most one for each of \p available, or 0 if this instance gathers it alone.
    std::size_t branchCount(const ActiveQuery &query, std::span<const Aggregator> available);
    void sendBranch(ActiveQuery &query, std::size_t firstPart, std::size_t partCount, const std::string &aggregator, Instant now);
    void onPartialQueryAnswered(const PartialQueryAnswered &event, Instant now);
    void acceptBranch(ActiveQuery &query, QueryBranch &branch, const PartialQueryReply &reply, Instant now);
    void onBranchTimeout(QueryId id, AttemptId branch, Instant now);
    void onPeerLinkChanged(const PeerLinkChanged &event, Instant now);
    /// Gathers the shards of a refused branch, for which nothing was sent, through another aggregator or by this instance.
    void replaceBranch(ActiveQuery &query, std::size_t branchIndex, Instant now);
    /// Fails the parts of a branch, which may have run.
    void failBranch(ActiveQuery &query, const QueryBranch &branch, Instant now);
    /// Sends the first requests of the idle parts among \p count parts from \p first on.
    void dispatchIdle(ActiveQuery &query, std::size_t first, std::size_t count, Instant now);
    void cancelBranches(ActiveQuery &query);

    // Attempts (AttemptSteps.cpp).
    /// Returns the open attempt that a response belongs to. If there is none, the attempt was cancelled: the response
    /// is dropped, and the permit that the attempt may still hold is released.
    std::optional<AttemptPosition> findAnsweredAttempt(QueryId id, AttemptId attempt, const std::optional<ServerStatement> &statement, Instant now);
    /// Returns the position of the open attempt \p id, if there is one.
    static std::optional<AttemptPosition> findOpenAttempt(const ActiveQuery &query, AttemptId id);
    void dispatch(ActiveQuery &query, std::size_t partIndex, Instant now);
    bool sendAttempt(ActiveQuery &query, std::size_t partIndex, const ServerPointer &server, bool hedge, Instant now);
    /// Returns the usable replicas of \p part that have a free permit. Servers that the part has tried are left out.
    /// Ejected and announced cold servers are usable only if there are no others, servers whose connections are
    /// assigned to other instances only if there are none of these either, and servers that have asked for a pause, which
    /// have no permit, only if nothing else is left. \p anyUsable receives whether there are usable replicas at all, with
    /// or without a free permit.
    /// Returns the replicas to choose from, whether they have a permit or not.
    std::vector<ServerPointer> usableReplicas(const QueryPart &part, Instant now);
    std::vector<ServerPointer> candidates(const ActiveQuery &query, const QueryPart &part, Instant now, bool &anyUsable);
    void armHedgeTimer(ActiveQuery &query, std::size_t partIndex, Instant now);
    void onHedgeDue(QueryId id, std::size_t partIndex, Instant now);
    void onAttemptTimeout(QueryId id, AttemptId attempt, Instant now);
    void onSubRequestAnswered(const SubRequestAnswered &event, Instant now);
    void onSubRequestFailed(const SubRequestFailed &event, Instant now);
    void retryOrGiveUp(ActiveQuery &query, std::size_t partIndex, SubFailure failure, Instant now);
    /// Returns whether one more server may run the query. While the content is unknown, at most `QUARANTINE_SERVERS`
    /// servers may, because each of them may crash.
    bool mayExposeAnotherServer(const ActiveQuery &query, Instant now);
    void continueAfterFailedPart(ActiveQuery &query, Instant now);
    void closeAttempt(PartAttempt &attempt);
    void cancelAttempt(const ActiveQuery &query, PartAttempt &attempt, Instant now);
    static void recordPendingLatency(const PartAttempt &attempt, Instant now);
    void onSubRequestEnded(const SubRequestEnded &event, Instant now);
    void handleFailure(ActiveQuery &query, std::size_t partIndex, const ServerPointer &server, const SubRequestFailed &event, Instant now);
    void cancelOpenAttempts(ActiveQuery &query, QueryPart &part, Instant now);
    void dispatchWaiting(Instant now);
    void waitForPermit(ActiveQuery &query, std::size_t partIndex, Instant now);

    // Server health (ServerHealth.cpp).
    /// Applies the state that a server reported for itself. A new incarnation or a report of a cold server starts a
    /// warm-up.
    void applyReport(ServerRecord &server, const ServerReport &report, Instant now);
    /// Returns whether \p latency is so much higher than the median of the service or route that the attempt is
    /// counted as bad.
    bool isBadLatency(const ActiveQuery &query, const ServerRecord &server, Duration latency);
    void recordSuccessfulAttempt(ActiveQuery &query, ServerRecord &server, Duration latency, bool reportedCold, Instant now);
    void recordFailure(ActiveQuery &query, ServerRecord &server, SubFailure failure, Instant now);
    /// Limits the server to its warm-up share until a report shows whether it has restarted.
    void suspectCold(ServerRecord &server, const BackendGroup &group);
    /// Starts the warm-up of a server that has restarted or is slow.
    void markCold(ServerRecord &server, const BackendGroup &group);

    // At-most-once actions (ActionSteps.cpp).
    void startAction(ActiveQuery &query, Instant now);
    void sendAction(ActiveQuery &query, Instant now);
    void finishAction(ActiveQuery &query, RunState state, Reason reason, const std::string &outcome, Instant now);

    GroupState &groupState(const std::string &key);
    void report(Reason reason, QueryId query, std::string server = {}, std::string detail = {});
    ActiveQuery *find(QueryId id);

    RcuValue<Configuration>::Reader configuration;
    RcuValue<Topology>::Reader topology;
    AdmissionCounters &admissionCounters;
    QuarantineList &quarantineList;
    CrashEvidence &crashEvidence;
    pcg32 random;
    TimerService timers;
    std::vector<KernelAction> actions;
    std::unordered_map<QueryId, QueryPointer> queries;
    std::unordered_map<std::string, std::unique_ptr<GroupState>> groups;
    AdmissionQueue queue;
    AggregatorHealth aggregatorHealth;
    /// The budgets of forwarded requests, keyed by service.
    std::map<std::string, ExtraLoadBudget, std::less<>> serviceBudgets;
    const bool sharesPermits;
    /// Parts that wait for a permit, in FIFO order.
    std::vector<std::pair<QueryId, std::size_t>> waitingParts;
    /// Queries that wait for the canary of the same content.
    std::unordered_map<std::uint64_t, std::vector<QueryId>> waitingForCanary;
    /// Servers that may still run a cancelled attempt. Invariant: each entry holds one permit of its server.
    std::map<std::pair<QueryId, AttemptId>, ServerPointer> cancelling;
    bool permitTimerArmed = false;
    bool queueTimerArmed = false;
    bool draining = false;
    /// Prevents re-entry of dispatchWaiting().
    bool dispatchingWaiting = false;
};

} // namespace ragwort

#endif
