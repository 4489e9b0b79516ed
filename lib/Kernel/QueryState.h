/// \file
/// Internal state of the query engine: active queries, their parts and attempts, and per-group estimates.
#ifndef RAGWORTCART_LIB_KERNEL_QUERYSTATE_H
#define RAGWORTCART_LIB_KERNEL_QUERYSTATE_H

#include "ragwortcart/Kernel/QueryEngine.h"
#include "ragwortcart/Model/Route.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace ragwort {

/// Part of the deadline kept for the way of the answer back to the caller.
inline constexpr Duration REPLY_MARGIN = std::chrono::milliseconds(4);

/// When a caller whose query can't be served should come back at the earliest.
inline constexpr Duration MINIMUM_RETRY_AFTER = std::chrono::seconds(1);

enum class PartState { idle, waiting, inFlight, accusing, done, failed };

struct PartAttempt
{
    AttemptId id = 0;
    ServerPointer server;
    Instant sentAt{};
    TimerId timeout = 0;
    bool hedge = false;
    /// Invariant: an open attempt holds one permit of its server.
    bool open = true;
};

/// One range of the key space within a query.
struct QueryPart
{
    KeyRange range;
    std::vector<ServerPointer> replicas;
    std::vector<PartAttempt> attempts;
    PartState state = PartState::idle;
    TimerId hedgeTimer = 0;
    /// Set when every failure so far said that the snapshot is gone.
    bool snapshotGone = false;
    /// The service of a part of a forwarded request.
    std::string service;
    /// Attempts that a server may have run.
    int exposed = 0;
    /// The answer to a forwarded request, once the part is done.
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

enum class QueryPhase { claiming, running };

struct ActiveQuery
{
    QueryRequest request;
    /// Keeps the kind and the group alive while the query runs.
    std::shared_ptr<const Configuration> configuration;
    const Kind *kind = nullptr;
    const BackendGroup *group = nullptr;
    /// Set for forwarded requests only; `kind` and `group` are the route's.
    const Route *route = nullptr;
    std::string key;
    Instant startedAt{};
    QueryPhase phase = QueryPhase::running;

    SnapshotId snapshot = 0;
    std::uint64_t totalDocuments = 0;
    std::vector<SnapshotId> lostSnapshots;
    std::vector<QueryPart> parts;
    /// Invariant: the union of the ranges of all merged answers, which are disjoint.
    RangeSet covered;
    std::uint64_t documents = 0;
    std::vector<Document> results;

    /// While set, only the first part is sent.
    bool canaryPending = false;
    /// Servers that may have run this content while it was unknown.
    int canaryExposure = 0;
    TimerId deadlineTimer = 0;
    TimerId objectiveTimer = 0;
    bool pastObjective = false;
    /// The failure that a server answered last, to be passed on if nothing better comes.
    std::optional<ForwardedAnswer> serverFailure;
    AttemptId lastAttempt = 0;
    int sent = 0;
    int hedges = 0;
    int retries = 0;

    Duration timeLeft(Instant now) const
    {
        return std::max(this->request.deadline - REPLY_MARGIN - now, Duration::zero());
    }
};

/// Where the latencies of an attempt are kept: by service, or by route as the shards of one route are alike.
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
    /// By service, and of all services of the group for those that have too few samples of their own.
    std::map<std::string, RecentLatency, std::less<>> latencies;
    RecentLatency groupLatency;

    const RecentLatency &latencyFor(const std::string &service);
    AdmissionGate::Count running;
    Duration meanDuration = std::chrono::milliseconds(20);
    int limit = 1;
    std::uint64_t limitVersion = 0;

    /// Makes the policies that the configuration names, if they have changed.
    void applyPolicies(const BackendGroup &group);
};

} // namespace ragwort

#endif
