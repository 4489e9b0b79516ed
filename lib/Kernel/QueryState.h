/// \file
/// Internal state of the query engine: active queries, their parts and attempts, and the estimates and policies of each
/// backend group.
#ifndef RAGWORTCART_LIB_KERNEL_QUERYSTATE_H
#define RAGWORTCART_LIB_KERNEL_QUERYSTATE_H

#include "ragwortcart/Kernel/QueryEngine.h"
#include "ragwortcart/Model/Route.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace ragwort {

/// Time before the deadline that is reserved for returning the response to the caller.
inline constexpr Duration REPLY_MARGIN = std::chrono::milliseconds(4);
/// Time reserved for returning the response to the caller before the latency objective expires.
inline constexpr Duration OBJECTIVE_MARGIN = std::chrono::milliseconds(16);

/// Minimum retry delay for a caller whose query cannot be served.
inline constexpr Duration MINIMUM_RETRY_AFTER = std::chrono::seconds(1);

enum class PartState {
    /// Not sent yet; the other parts of a query remain in this state while its canary runs.
    idle,
    /// Waits for a permit of one of its replicas.
    waiting,
    inFlight,
    /// Another instance gathers the part.
    handedOver,
    /// The canary crashed a server; the part waits until the crash report is completed.
    awaitingCrashReport,
    /// A response was accepted.
    done,
    failed
};

/// One request to a server for a part.
struct PartAttempt
{
    AttemptId id = 0;
    ServerPointer server;
    Instant sentAt{};
    /// Timer of the attempt's timeout.
    TimerId timeout = 0;
    bool hedge = false;
    /// Invariant: an open attempt holds one permit of its server.
    bool open = true;
};

/// One key range of a search, or one service of a forwarded request.
struct QueryPart
{
    KeyRange range;
    /// The servers that can answer the part, usable or not.
    std::vector<ServerPointer> replicas;
    std::vector<PartAttempt> attempts;
    PartState state = PartState::idle;
    TimerId hedgeTimer = 0;
    /// Set if the last failure reported that the snapshot is gone.
    bool snapshotGone = false;
    /// The service, for a part of a forwarded request.
    std::string service;
    /// The part has earned its credit for the extra-load budget.
    bool creditEarned = false;
    /// Number of attempts that a server may have run.
    int possibleRuns = 0;
    /// The response to a forwarded request, once the part is done.
    std::optional<ForwardedAnswer> answer;

    bool hasOpenAttempt() const
    {
        return std::any_of(this->attempts.begin(), this->attempts.end(), [](const PartAttempt &attempt) { return attempt.open; });
    }
    bool settled() const
    {
        return this->state == PartState::done || this->state == PartState::failed;
    }
};

enum class QueryPhase {
    /// An action waits for its claim.
    claiming,
    running
};

/// Parts of a forwarded request that another instance gathers.
struct QueryBranch
{
    AttemptId id = 0;
    std::string aggregator;
    /// The parts are adjacent.
    std::size_t firstPart = 0;
    std::size_t partCount = 0;
    Instant sentAt{};
    TimerId timeout = 0;
    /// The aggregator may still answer.
    bool open = true;
    /// The merged records of the parts that are done.
    std::optional<MergedRecords> records;
};

struct ActiveQuery
{
    QueryRequest request;
    /// Keeps the kind, the group and the route alive while the query runs.
    std::shared_ptr<const Configuration> configuration;
    const QueryKind *kind = nullptr;
    const BackendGroup *group = nullptr;
    /// Set for forwarded requests only; `kind` and `group` are the route's.
    const Route *route = nullptr;
    /// Key of the group state: `groupKey()`, or the group name of a route.
    std::string key;
    /// Time of admission.
    Instant startedAt{};
    QueryPhase phase = QueryPhase::running;

    SnapshotId snapshot = 0;
    std::uint64_t totalDocuments = 0;
    /// Snapshots that became unavailable during the query; a rerun skips them.
    std::vector<SnapshotId> lostSnapshots;
    std::vector<QueryPart> parts;
    /// Invariant: the union of the ranges of all merged answers, which are disjoint.
    RangeSet covered;
    /// Number of documents in `covered`.
    std::uint64_t documents = 0;
    /// The best results of all merged answers, in their final order.
    std::vector<Document> results;

    /// While set, only the canary part is sent.
    bool canaryPending = false;
    /// Number of servers that may have run this content while it was unknown.
    int canaryExposure = 0;
    TimerId deadlineTimer = 0;
    TimerId objectiveTimer = 0;
    /// Set while the parts that this instance gathers itself wait until the branches have been sent.
    TimerId ownPartsTimer = 0;
    /// The latency objective has expired; a forwarded request finishes as soon as the minimum share is reached.
    bool pastObjective = false;
    /// Time after which the servers that held a part back accept it.
    Duration expectedWait{};
    std::vector<QueryBranch> branches;
    /// The last error response of a server; returned to the caller if no attempt succeeds.
    std::optional<ForwardedAnswer> serverFailure;
    AttemptId lastAttempt = 0;
    /// Number of attempts that were lost with their servers.
    int lostAttempts = 0;
    /// Set while parts stay idle until another one shows whether its server survives the content.
    bool onTrial = false;
    /// Number of attempts sent, including hedges and retries.
    int sent = 0;
    int hedges = 0;
    int retries = 0;

    /// Returns the shards that this instance gathers for a coordinator, or null if the query comes from a caller.
    const ShardSelection *selection() const
    {
        const auto *call = std::get_if<ForwardedCall>(&this->request.work);
        return call != nullptr && call->selection ? &*call->selection : nullptr;
    }

    /// Returns the time until the answer must be returned to the caller.
    Duration timeLeft(Instant now) const
    {
        return std::max(this->request.deadline - REPLY_MARGIN - now, Duration::zero());
    }
};

/// Returns whether a route, if there is one, merges the answers of shards.
inline bool mergesShards(const Route *route)
{
    return route != nullptr && std::holds_alternative<ShardSet>(route->target);
}

/// Returns the key under which latencies are recorded: the service, or the route, because the shards of one route are
/// alike.
inline const std::string &latencyKeyOf(const ActiveQuery &query, const ServerRecord &server)
{
    return query.route != nullptr ? query.route->name : server.identity.service;
}

/// Estimates and policies of one backend group in one engine.
struct QueryEngine::GroupState
{
    std::string key;
    std::string balanceName;
    std::string hedgeName;
    std::string retryName;
    std::string canaryName;
    std::unique_ptr<BalancePolicy> balance;
    std::unique_ptr<HedgePolicy> hedge;
    std::unique_ptr<RetryPolicy> retry;
    std::unique_ptr<CanaryPolicy> canary;
    ExtraLoadBudget budget;
    /// Latencies per service or route (`latencyKeyOf()`), and of the whole group for those with too few samples.
    std::map<std::string, RecentLatency, std::less<>> latencies;
    RecentLatency groupLatency;

    /// Returns the latencies recorded under \p latencyKey, or those of the group if they are too few.
    const RecentLatency &latencyFor(const std::string &latencyKey);
    /// Number of admitted queries of the group, over all threads of the instance.
    AdmissionCounters::CountPointer running;
    /// Moving average of the duration of a query, from an assumed initial value.
    Duration meanDuration = std::chrono::milliseconds(20);
    /// The admission limit, and the version of the topology for which it was computed.
    int limit = 1;
    std::uint64_t limitVersion = 0;

    /// Replaces the policies for which \p group names other plug-ins than before.
    void applyPolicies(const BackendGroup &group);
};

/// Returns whether responses from \p shards of \p all shards reach the minimum share, which is the minimum coverage of the route.
bool meetsMinimumShare(const ActiveQuery &query, std::size_t shards, std::size_t all);

} // namespace ragwort

#endif
