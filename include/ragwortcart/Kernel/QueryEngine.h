/// \file
/// The decision kernel: the state machines of all queries of one thread, without I/O, clock or threads of its own.
///
/// A shell feeds it events with the time and carries out the actions it asks for. The same code runs in the entry
/// process and in virtual-time tests.
#ifndef RAGWORTCART_KERNEL_QUERYENGINE_H
#define RAGWORTCART_KERNEL_QUERYENGINE_H

#include "ragwortcart/Kernel/AdmissionQueue.h"
#include "ragwortcart/Kernel/KernelMessages.h"
#include "ragwortcart/Kernel/Policies.h"
#include "ragwortcart/Kernel/SuspectList.h"
#include "ragwortcart/Kernel/Topology.h"
#include "ragwortcart/Support/Published.h"
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
struct Route;

/// What a state dump shows of one group in one engine.
struct GroupStatus
{
    std::string key;
    int admissionLimit = 0;
    std::uint64_t extraSpent = 0;
    std::uint64_t extraRefused = 0;
    Duration meanDuration{};
};

struct EngineStatus
{
    std::size_t activeQueries = 0;
    std::size_t waitingQueries = 0;
    std::size_t waitingParts = 0;
    std::vector<GroupStatus> groups;
};

/// One engine serves one thread. Engines of one process share the gate, the suspects and the server records.
class QueryEngine
{
public:
    struct Options
    {
        const Published<Configuration> &configuration;
        const Published<Topology> &topology;
        AdmissionGate &gate;
        SuspectList &suspects;
        std::uint64_t seed = 1;
        /// Other engines take permits and admission places of the same records, so that freed ones must be looked for.
        bool sharesPermits = true;
    };

    explicit QueryEngine(const Options &options);
    ~QueryEngine();
    QueryEngine(const QueryEngine &) = delete;
    QueryEngine &operator=(const QueryEngine &) = delete;

    /// Handles one event. Events that belong to nothing that runs are dropped with a reason code.
    void handle(const KernelEvent &event, Instant now);

    /// Fires what is due at \p now.
    void advance(Instant now);

    std::optional<Instant> nextWakeup() const
    {
        return this->timers.nextDeadline();
    }

    /// The actions decided since the last call, in order.
    std::vector<KernelAction> takeActions();

    /// True when no query runs or waits; after a drain request it stays true.
    bool idle() const;

    EngineStatus status() const;

private:
    using QueryPointer = std::unique_ptr<ActiveQuery>;
    struct GroupState;

    /// What the configuration says of a query.
    struct Resolved
    {
        const Kind *kind = nullptr;
        const BackendGroup *group = nullptr;
        /// Null unless the query is a forwarded request.
        const Route *route = nullptr;
        std::string key;
    };
    enum class ExtraPurpose { hedge, retry };
    struct FoundAttempt
    {
        std::size_t part = 0;
        std::size_t attempt = 0;
    };

    // Lifecycle and admission (QueryEngine.cpp).
    void onQueryArrived(const QueryArrived &event, Instant now);
    void onCallerGone(const CallerGone &event, Instant now);
    void onClaimDecided(const ClaimDecided &event, Instant now);
    void onAccusationSpread(const AccusationSpread &event, Instant now);
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
    static std::optional<Resolved> resolve(const QueryRequest &request, const Configuration &configured);
    void startForward(ActiveQuery &query, Instant now);
    void addServicePart(ActiveQuery &query, const std::string &service);
    ExtraLoadBudget &serviceBudget(const BackendGroup &group, const std::string &service);
    ExtraLoadBudget &budgetOf(const ActiveQuery &query, const QueryPart &part);
    void armObjective(ActiveQuery &query);
    void onForwardAnswered(const ForwardAnswered &event, Instant now);
    static void noteLoad(ServerRecord &server, const ForwardedAnswer &answer);
    /// Whether an extra sub-request for \p part leaves enough of the allowance for queries that would fail without one.
    bool mayCostExtra(const ActiveQuery &query, const QueryPart &part, ExtraPurpose purpose);
    static bool mayAttempt(const ActiveQuery &query, const QueryPart &part);
    void finishForwardIfDone(ActiveQuery &query, Instant now);
    void finishForward(ActiveQuery &query, Reason reason, Instant now);
    Duration returnTime(const QueryRequest &request, Duration expectedWait);

    // Attempts (AttemptSteps.cpp).
    /// The open attempt that an answer belongs to. Without one the answer crossed a cancel and is the end of that request.
    std::optional<FoundAttempt> findAnswered(QueryId id, AttemptId attempt, Instant now);
    static std::optional<FoundAttempt> findOpenAttempt(const ActiveQuery &query, AttemptId id);
    void dispatch(ActiveQuery &query, std::size_t partIndex, Instant now);
    bool sendAttempt(ActiveQuery &query, std::size_t partIndex, const ServerPointer &server, bool hedge, Instant now);
    std::vector<ServerPointer> candidates(const ActiveQuery &query, const QueryPart &part, Instant now, bool &anyUsable);
    void armHedge(ActiveQuery &query, std::size_t partIndex, Instant now);
    void onHedgeDue(QueryId id, std::size_t partIndex, Instant now);
    void onAttemptTimeout(QueryId id, AttemptId attempt, Instant now);
    void onSubAnswered(const SubAnswered &event, Instant now);
    void onSubFailed(const SubFailed &event, Instant now);
    void retryOrGiveUp(ActiveQuery &query, std::size_t partIndex, SubFailure failure, Instant now);
    bool mayExposeAnother(const ActiveQuery &query, Instant now);
    void continueAfterFailedPart(ActiveQuery &query, Instant now);
    void closeAttempt(PartAttempt &attempt);
    void cancelAttempt(const ActiveQuery &query, PartAttempt &attempt, Instant now);
    static void noteSlow(const PartAttempt &attempt, Instant now);
    void onSubEnded(const SubEnded &event, Instant now);
    void settleFailure(ActiveQuery &query, std::size_t partIndex, const ServerPointer &server, const SubFailed &event, Instant now);
    void cancelOpenAttempts(ActiveQuery &query, QueryPart &part, Instant now);
    void dispatchWaiting(Instant now);
    void waitForPermit(ActiveQuery &query, std::size_t partIndex, Instant now);

    // Servers' health (ServerHealth.cpp).
    void applyReport(ServerRecord &server, const ServerReport &report, Instant now);
    /// Whether an attempt that has taken \p latency was much slower than usual for its kind.
    bool isSlow(const ActiveQuery &query, const ServerRecord &server, Duration latency);
    void recordGoodAnswer(ActiveQuery &query, ServerRecord &server, Duration latency, bool reportedCold, Instant now);
    void recordFailure(ActiveQuery &query, ServerRecord &server, SubFailure failure, Instant now);
    void suspectCold(ServerRecord &server, const BackendGroup &group);
    void markCold(ServerRecord &server, const BackendGroup &group);

    // Actions that may run at most once (ActionSteps.cpp).
    void startAction(ActiveQuery &query, Instant now);
    void sendAction(ActiveQuery &query, Instant now);
    void finishAction(ActiveQuery &query, RunState state, Reason reason, const std::string &outcome, Instant now);

    GroupState &groupState(const std::string &key);
    void report(Reason reason, QueryId query, std::string server = {}, std::string detail = {});
    ActiveQuery *find(QueryId id);

    Published<Configuration>::Reader configuration;
    Published<Topology>::Reader topology;
    AdmissionGate &gate;
    SuspectList &suspects;
    pcg32 random;
    TimerService timers;
    std::vector<KernelAction> actions;
    std::unordered_map<QueryId, QueryPointer> queries;
    std::unordered_map<std::string, std::unique_ptr<GroupState>> groups;
    AdmissionQueue queue;
    /// By service that routes name.
    std::map<std::string, ExtraLoadBudget, std::less<>> serviceBudgets;
    const bool sharesPermits;
    /// Parts that wait for a permit, in order of arrival.
    std::vector<std::pair<QueryId, std::size_t>> waitingParts;
    /// Queries parked behind the canary of the same content.
    std::unordered_map<std::uint64_t, std::vector<QueryId>> parkedBehindCanary;
    /// Servers of cancelled attempts that have not ended yet. Invariant: each entry holds one permit of its server.
    std::map<std::pair<QueryId, AttemptId>, ServerPointer> cancelling;
    bool waitTimerArmed = false;
    bool queueTimerArmed = false;
    bool draining = false;
    /// Guards against handling the waiting lines from within themselves.
    bool dispatchingWaiting = false;
};

} // namespace ragwort

#endif
