/// \file
/// Implements the lifecycle of queries: arrival, admission, waiting and completion. The steps of running queries are in
/// the other files of this folder.
#include "ragwortcart/Kernel/QueryEngine.h"

#include "QueryState.h"
#include "ragwortcart/Support/Hash.h"
#include "ragwortcart/Support/Visitor.h"

#include <cassert>
#include <cmath>

namespace ragwort {

/// Polling interval of the admission queue while other engines may release admission slots.
static constexpr Duration QUEUE_CHECK_INTERVAL = std::chrono::milliseconds(2);
/// Polling interval of a single engine. Only its own events release admission slots, so only expiry needs polling.
static constexpr Duration SINGLE_ENGINE_QUEUE_CHECK_INTERVAL = std::chrono::milliseconds(10);
/// Retry delay for callers that are refused because the instance drains.
static constexpr Duration DRAIN_RETRY_AFTER = std::chrono::seconds(1);
/// Divisor of the moving average of query durations.
static constexpr int DURATION_AVERAGE_DIVISOR = 8;
/// Number of recent samples that a service or route needs for its own latencies to be used instead of those of its
/// group.
static constexpr std::uint64_t MINIMUM_OWN_LATENCY_SAMPLES = 200;

/// Creates the policy \p wanted unless it is the current one. An unknown name selects \p fallback.
template <typename Policy>
static void replacePolicy(std::unique_ptr<Policy> &policy, std::string &current, const std::string &wanted, std::string_view fallback)
{
    if (policy && current == wanted) {
        return;
    }
    policy = PluginRegistry<Policy>::instance().create(wanted);
    if (!policy) {
        policy = PluginRegistry<Policy>::instance().create(fallback);
    }
    assert(policy && "the fallback policy is always linked in");
    current = wanted;
}

void QueryEngine::GroupState::applyPolicies(const BackendGroup &group)
{
    replacePolicy(this->balance, this->balanceName, group.balancePolicy, "least-loaded");
    replacePolicy(this->hedge, this->hedgeName, group.hedgePolicy, "quantile");
    replacePolicy(this->retry, this->retryName, group.retryPolicy, "budgeted");
    replacePolicy(this->canary, this->canaryName, group.canaryPolicy, "unknown-content");
}

const RecentLatency &QueryEngine::GroupState::latencyFor(const std::string &latencyKey)
{
    const RecentLatency &own = this->latencies[latencyKey];
    return own.quantile(0.5, MINIMUM_OWN_LATENCY_SAMPLES) ? own : this->groupLatency;
}

QueryEngine::QueryEngine(const Options &options)
    : configuration(options.configuration)
    , topology(options.topology)
    , admissionCounters(options.admissionCounters)
    , quarantineList(options.quarantineList)
    , crashEvidence(options.crashEvidence)
    , random(options.seed)
    , sharesPermits(options.sharesPermits)
{
}

QueryEngine::~QueryEngine() = default;

void QueryEngine::handle(const KernelEvent &event, Instant now)
{
    std::visit(Visitor{[&](const QueryArrived &arrived) { this->onQueryArrived(arrived, now); },
                       [&](const CallerDisconnected &disconnected) { this->onCallerDisconnected(disconnected, now); },
                       [&](const SubRequestAnswered &answered) { this->onSubRequestAnswered(answered, now); },
                       [&](const ForwardAnswered &answered) { this->onForwardAnswered(answered, now); },
                       [&](const SubRequestFailed &failed) { this->onSubRequestFailed(failed, now); },
                       [&](const SubRequestEnded &ended) { this->onSubRequestEnded(ended, now); },
                       [&](const ClaimDecided &decided) { this->onClaimDecided(decided, now); },
                       [&](const CrashReportCompleted &completed) { this->onCrashReportCompleted(completed, now); },
                       [&](const PartialQueryAnswered &answered) { this->onPartialQueryAnswered(answered, now); },
                       [&](const PeerLinkChanged &changed) { this->onPeerLinkChanged(changed, now); },
                       [&](const DrainRequested &) { this->draining = true; }},
               event);
}

void QueryEngine::advance(Instant now)
{
    this->timers.advance(now);
}

std::vector<KernelAction> QueryEngine::takeActions()
{
    return std::exchange(this->actions, {});
}

bool QueryEngine::idle() const
{
    return this->queries.empty() && this->queue.size() == 0;
}

EngineStatus QueryEngine::status() const
{
    EngineStatus status{.activeQueries = this->queries.size(), .waitingQueries = this->queue.size(), .waitingParts = this->waitingParts.size(), .groups = {}};
    for (const auto &[key, group] : this->groups) {
        status.groups.push_back({.key = key,
                                 .admissionLimit = group->limit,
                                 .extraSpent = group->budget.spent(),
                                 .extraRefused = group->budget.refused(),
                                 .meanDuration = group->meanDuration});
    }
    return status;
}

void QueryEngine::report(Reason reason, QueryId query, std::string server, std::string detail)
{
    this->actions.emplace_back(ReportDecision{.reason = reason, .query = query, .server = std::move(server), .detail = std::move(detail)});
}

ActiveQuery *QueryEngine::find(QueryId id)
{
    const auto found = this->queries.find(id);
    return found == this->queries.end() ? nullptr : found->second.get();
}

QueryEngine::GroupState &QueryEngine::groupState(const std::string &key)
{
    std::unique_ptr<GroupState> &state = this->groups[key];
    if (!state) {
        state = std::make_unique<GroupState>();
        state->key = key;
        state->running = this->admissionCounters.counterFor(key);
    }
    return *state;
}

void QueryEngine::refuse(const QueryRequest &request, Reason reason, Duration retryAfter, std::string detail)
{
    this->report(reason, request.id, {}, std::move(detail));
    Answer answer{.query = request.id, .state = RunState::notRun, .reason = std::string(toString(reason)), .retryAfter = retryAfter};
    answer.coverage.missing.push_back({.begin = 0, .end = KEY_SPACE_END});
    this->actions.emplace_back(ReplyToCaller{.answer = std::move(answer)});
}

/// Returns the sum of the slots of the servers that are not excluded.
static int usableSlots(std::span<const ServerPointer> servers)
{
    int slots = 0;
    for (const ServerPointer &server : servers) {
        slots += server->isExcluded() ? 0 : server->identity.slots;
    }
    return slots;
}

/// Returns the slots that limit the queries of a route: the fewest of any service of a `ShardSet`, or the sum
/// over the services of a `ServiceChoice`. Services without usable slots are ignored.
static int routeSlots(const Topology &topology, const Route &route)
{
    const bool merges = std::holds_alternative<ShardSet>(route.target);
    int fewest = 0;
    int total = 0;
    for (const std::string &service : servicesOf(route.target)) {
        const auto servers = topology.services.find(service);
        const int slots = servers == topology.services.end() ? 0 : usableSlots(servers->second);
        total += slots;
        if (slots > 0 && (fewest == 0 || slots < fewest)) {
            fewest = slots;
        }
    }
    return merges ? fewest : total;
}

/// Returns the slots of the service of group \p key that has the fewest on its usable servers, with \p slots on each
/// server. Services without usable servers are ignored.
static int minimumServiceSlots(const Topology &topology, std::string_view key, int slots)
{
    const auto group = topology.groups.find(key);
    if (group == topology.groups.end()) {
        return 0;
    }
    std::map<std::string_view, int> usable;
    for (const ServerPointer &server : group->second.servers) {
        usable.try_emplace(server->identity.service, 0);
        if (!server->isExcluded()) {
            usable[server->identity.service] += slots;
        }
    }
    int fewest = 0;
    for (const auto &[service, count] : usable) {
        if (count > 0 && (fewest == 0 || count < fewest)) {
            fewest = count;
        }
    }
    return fewest;
}

int QueryEngine::admissionLimit(GroupState &group, const QueryRequest &request)
{
    const std::shared_ptr<const Topology> current = this->topology.get();
    if (group.limitVersion == current->version && group.limit > 0) {
        return group.limit;
    }
    const std::shared_ptr<const Configuration> configured = this->configuration.get();
    const std::optional<ResolvedQuery> resolved = resolve(request, *configured);
    if (!resolved) {
        return 1;
    }
    const bool forwarded = resolved->route != nullptr;
    const int slots = forwarded ? routeSlots(*current, *resolved->route) : minimumServiceSlots(*current, resolved->key, resolved->group->slots);
    const double tierLimit = static_cast<double>(slots) * resolved->group->admissionPerSlot;
    group.limit = std::max(resolved->group->minimumAdmission, static_cast<int>(std::ceil(tierLimit * current->fractionOfTier(mergesShards(resolved->route)))));
    group.limitVersion = current->version;
    return group.limit;
}

Duration QueryEngine::expectedWait(GroupState &group, Urgency urgency, const QueryRequest &request)
{
    const auto ahead = static_cast<std::int64_t>(this->queue.sizeAhead(urgency, group.key));
    return group.meanDuration * (ahead + 1) / std::max(this->admissionLimit(group, request), 1);
}

void QueryEngine::onQueryArrived(const QueryArrived &event, Instant now)
{
    const QueryRequest &request = event.request;
    const std::shared_ptr<const Configuration> configured = this->configuration.get();
    const std::optional<ResolvedQuery> resolved = resolve(request, *configured);
    if (!resolved) {
        this->refuse(request, Reason::refusedNoTopology, MINIMUM_RETRY_AFTER);
        return;
    }
    const QueryKind *kind = resolved->kind;
    const auto *call = std::get_if<ForwardedCall>(&request.work);
    const bool forCoordinator = call != nullptr && call->selection.has_value();
    if (forCoordinator && call->selection->routeRevision != resolved->route->revision) {
        this->refuse(request, Reason::refusedRouteDiffers, MINIMUM_RETRY_AFTER);
        return;
    }
    if (this->draining) {
        this->refuse(request, Reason::refusedDraining, DRAIN_RETRY_AFTER);
        return;
    }
    if (this->quarantineList.isQuarantined(request.fingerprint, now)) {
        this->refuse(request, Reason::refusedQuarantined, QUARANTINE_TIME);
        return;
    }
    if (const Duration left = this->crashEvidence.quarantineLeft(request.fingerprint, now); left > Duration::zero()) {
        this->refuse(request, Reason::refusedQuarantined, left, "content " + toHex(request.fingerprint));
        return;
    }
    const std::string &key = resolved->key;
    GroupState &group = this->groupState(key);
    const int limit = this->admissionLimit(group, request);
    const bool noQueryAhead = this->queue.sizeAhead(kind->urgency, key) == 0;
    if (noQueryAhead && tryAcquireAdmission(*group.running, limit)) {
        this->admit(request, key, now);
        return;
    }
    const Duration wait = this->expectedWait(group, kind->urgency, request);
    if (forCoordinator) {
        // The coordinator asks another instance at once.
        this->refuse(request, Reason::refusedOverload, wait, "limit " + std::to_string(limit));
        return;
    }
    // A response to a forwarded request is of little use after its latency objective.
    const std::optional<Instant> objective = resolved->route == nullptr ? std::nullopt : std::optional(request.arrival + resolved->route->latencyObjective);
    const Instant usefulUntil = std::min(request.deadline, objective.value_or(request.deadline));
    const std::optional<Instant> queueDeadline = objective ? std::optional(request.arrival + resolved->route->latencyObjective / 2) : std::nullopt;
    const bool inTime = now + wait + group.meanDuration < usefulUntil;
    if (!inTime || !this->queue.push({.request = request, .groupKey = key, .urgency = kind->urgency, .queueDeadline = queueDeadline})) {
        const std::string detail = "limit " + std::to_string(limit) + " queued " + std::to_string(this->queue.sizeAhead(kind->urgency, key)) + " wait_us "
            + std::to_string(wait.count()) + " mean_us " + std::to_string(group.meanDuration.count());
        this->refuse(request, Reason::refusedOverload, this->retryAfterFor(request, wait), detail);
        return;
    }
    this->report(Reason::queued, request.id);
    this->expireWaiting(now);
}

void QueryEngine::expireWaiting(Instant now)
{
    for (const WaitingQuery &expired : this->queue.popExpired(now + REPLY_MARGIN)) {
        this->refuse(expired.request, Reason::refusedOverload, this->retryAfterFor(expired.request, Duration::zero()), "expired in the admission queue");
    }
    if (this->queue.size() == 0 || this->queueTimerArmed) {
        return;
    }
    this->queueTimerArmed = true;
    this->timers.subscribe(now + (this->sharesPermits ? QUEUE_CHECK_INTERVAL : SINGLE_ENGINE_QUEUE_CHECK_INTERVAL), [this](Instant due) {
        this->queueTimerArmed = false;
        this->admitWaiting(due);
        this->expireWaiting(due);
    });
}

void QueryEngine::admitWaiting(Instant now)
{
    const auto admits = [this](const WaitingQuery &waiting) {
        GroupState &group = this->groupState(waiting.groupKey);
        return tryAcquireAdmission(*group.running, this->admissionLimit(group, waiting.request));
    };
    while (std::optional<WaitingQuery> next = this->queue.popAdmissible(admits)) {
        this->admit(next->request, next->groupKey, now);
    }
}

void QueryEngine::admit(const QueryRequest &request, const std::string &key, Instant now)
{
    auto query = std::make_unique<ActiveQuery>();
    query->request = request;
    query->key = key;
    query->startedAt = now;
    query->configuration = this->configuration.get();
    const std::optional<ResolvedQuery> resolved = resolve(request, *query->configuration);
    if (!resolved) {
        // The configuration changed while the query waited, and no longer contains its kind or route.
        this->groupState(key).running->fetch_sub(1, std::memory_order_acq_rel);
        this->refuse(request, Reason::refusedNoTopology, MINIMUM_RETRY_AFTER);
        return;
    }
    query->kind = resolved->kind;
    query->group = resolved->group;
    query->route = resolved->route;
    ActiveQuery &active = *query;
    this->queries.emplace(request.id, std::move(query));
    this->groupState(key).applyPolicies(*active.group);
    active.deadlineTimer = this->timers.subscribe(request.deadline - REPLY_MARGIN, [this, id = request.id](Instant due) { this->onDeadline(id, due); });
    this->begin(active, now);
}

void QueryEngine::begin(ActiveQuery &query, Instant now)
{
    std::visit(Visitor{[&](const ForwardedCall &) { this->startForward(query, now); },
                       [&](const TeamQuery &) {
                           if (query.kind->repeatable) {
                               this->startSearch(query, now);
                           } else {
                               this->startAction(query, now);
                           }
                       }},
               query.request.work);
}

void QueryEngine::onCallerDisconnected(const CallerDisconnected &event, Instant now)
{
    if (this->queue.remove(event.query)) {
        this->report(Reason::callerGone, event.query);
        return;
    }
    ActiveQuery *query = this->find(event.query);
    if (query == nullptr) {
        return;
    }
    if (!query->kind->repeatable && (query->route == nullptr || query->sent > 0)) {
        // An action continues, so that its outcome is recorded for the caller's next request with the same key. A
        // non-repeatable forwarded request also continues once it has been sent.
        return;
    }
    if (!query->kind->repeatable) {
        this->finishForward(*query, Reason::callerGone, now);
        return;
    }
    this->report(Reason::callerGone, event.query);
    this->remove(*query, now);
}

void QueryEngine::finish(ActiveQuery &query, Answer answer, Instant now)
{
    answer.query = query.request.id;
    answer.attempts = query.sent;
    answer.hedges = query.hedges;
    answer.retries = query.retries;
    GroupState &group = this->groupState(query.key);
    // The duration of a search or an action includes its wait for admission; that of a forwarded request does not.
    const Instant measuredFrom = query.route == nullptr ? query.request.arrival : query.startedAt;
    group.meanDuration += (now - measuredFrom - group.meanDuration) / DURATION_AVERAGE_DIVISOR;
    this->actions.emplace_back(ReplyToCaller{.answer = std::move(answer)});
    this->remove(query, now);
}

void QueryEngine::remove(ActiveQuery &query, Instant now)
{
    const QueryId id = query.request.id;
    for (QueryPart &part : query.parts) {
        this->cancelOpenAttempts(query, part, now);
    }
    this->cancelBranches(query);
    this->timers.cancel(query.deadlineTimer);
    this->timers.cancel(query.objectiveTimer);
    this->timers.cancel(query.ownPartsTimer);
    this->groupState(query.key).running->fetch_sub(1, std::memory_order_acq_rel);
    std::erase_if(this->waitingParts, [id](const auto &waiting) { return waiting.first == id; });
    const bool wasCanary = query.canaryPending;
    const std::uint64_t fingerprint = query.request.fingerprint;
    this->queries.erase(id);
    if (wasCanary) {
        // The first waiting query with the same content becomes the canary; the others wait for it.
        const auto canaryQueue = this->waitingForCanary.find(fingerprint);
        if (canaryQueue != this->waitingForCanary.end()) {
            const std::vector<QueryId> waiting = std::move(canaryQueue->second);
            this->waitingForCanary.erase(canaryQueue);
            for (const QueryId next : waiting) {
                if (ActiveQuery *successor = this->find(next)) {
                    this->startSearch(*successor, now);
                }
            }
        }
    }
    this->admitWaiting(now);
    this->dispatchWaiting(now);
}

void QueryEngine::onCrashReportCompleted(const CrashReportCompleted &event, Instant now)
{
    ActiveQuery *query = this->find(event.query);
    if (query == nullptr) {
        return;
    }
    if (event.crashedServers >= QUARANTINE_SERVERS) {
        this->report(Reason::contentQuarantined, event.query);
        this->finishSearch(*query, Reason::contentQuarantined, now);
        return;
    }
    for (std::size_t index = 0; index < query->parts.size(); ++index) {
        if (query->parts[index].state == PartState::awaitingCrashReport) {
            query->parts[index].state = PartState::idle;
            this->retryOrGiveUp(*query, index, SubFailure::lost, now);
            query = this->find(event.query);
            if (query == nullptr) {
                return;
            }
        }
    }
}

} // namespace ragwort
