/// \file
/// Lifecycle of queries in the kernel: arrival, admission, waiting, end.
#include "ragwortcart/Kernel/QueryEngine.h"

#include "QueryState.h"
#include "ragwortcart/Support/Visitor.h"

#include <cassert>

namespace ragwort {

/// Queries run at once per slot of the scarcest service, so that slots do not idle while answers travel.
static constexpr int ADMISSION_PER_SLOT = 2;
static constexpr Duration QUEUE_CHECK_INTERVAL = std::chrono::milliseconds(2);
static constexpr Duration DRAIN_RETRY_AFTER = std::chrono::seconds(1);
static constexpr Duration MINIMUM_RETRY_AFTER = std::chrono::seconds(1);
static constexpr int DURATION_AVERAGE_DIVISOR = 8;
/// From this many recent samples on, a service's own latencies are used instead of its group's.
static constexpr std::uint64_t OWN_LATENCY_SAMPLES = 200;

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

const RecentLatency &QueryEngine::GroupState::latencyFor(const std::string &service)
{
    const RecentLatency &own = this->latencies[service];
    return own.quantile(0.5, OWN_LATENCY_SAMPLES) ? own : this->groupLatency;
}

QueryEngine::QueryEngine(const Options &options)
    : configuration(options.configuration), topology(options.topology), gate(options.gate), suspects(options.suspects), random(options.seed)
{
}

QueryEngine::~QueryEngine() = default;

void QueryEngine::handle(const KernelEvent &event, Instant now)
{
    std::visit(Visitor{[&](const QueryArrived &arrived) { this->onQueryArrived(arrived, now); },
                       [&](const CallerGone &gone) { this->onCallerGone(gone, now); },
                       [&](const SubAnswered &answered) { this->onSubAnswered(answered, now); },
                       [&](const SubFailed &failed) { this->onSubFailed(failed, now); },
                       [&](const SubEnded &ended) { this->onSubEnded(ended, now); },
                       [&](const ClaimDecided &decided) { this->onClaimDecided(decided, now); },
                       [&](const AccusationSpread &spread) { this->onAccusationSpread(spread, now); },
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

void QueryEngine::report(Reason reason, QueryId query, std::string server)
{
    this->actions.emplace_back(ReportDecision{.reason = reason, .query = query, .server = std::move(server)});
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
        state->running = this->gate.countOf(key);
    }
    return *state;
}

void QueryEngine::refuse(const QueryRequest &request, Reason reason, Duration retryAfter)
{
    this->report(reason, request.id);
    Answer answer{.query = request.id, .state = RunState::notRun, .reason = std::string(toString(reason)), .retryAfter = retryAfter};
    answer.coverage.missing.push_back({.begin = 0, .end = KEY_SPACE_END});
    this->actions.emplace_back(ReplyToCaller{.answer = std::move(answer)});
}

/// The slots of the service that has the fewest among its usable servers.
static int scarcestSlots(const GroupTopology &group, int slots)
{
    std::map<std::string_view, int> usable;
    for (const ServerPointer &server : group.servers) {
        usable.try_emplace(server->identity.service, 0);
        if (!server->hasBarrier()) {
            usable[server->identity.service] += slots;
        }
    }
    int scarcest = 0;
    for (const auto &[service, count] : usable) {
        if (count > 0 && (scarcest == 0 || count < scarcest)) {
            scarcest = count;
        }
    }
    return scarcest;
}

int QueryEngine::admissionLimit(GroupState &group, const std::string &key)
{
    const std::shared_ptr<const Topology> current = this->topology.get();
    if (group.limitVersion == current->version && group.limit > 0) {
        return group.limit;
    }
    const auto found = current->groups.find(key);
    if (found == current->groups.end()) {
        return 1;
    }
    const std::shared_ptr<const Configuration> configured = this->configuration.get();
    const TeamConfiguration *team = configured->findTeam(found->second.team);
    const BackendGroup *settings = team == nullptr ? nullptr : team->findGroup(found->second.group);
    const int slots = settings == nullptr ? 1 : scarcestSlots(found->second, settings->slots);
    const int instances = std::max(current->liveInstances, 1);
    group.limit = std::max(1, (slots * ADMISSION_PER_SLOT + instances - 1) / instances);
    group.limitVersion = current->version;
    return group.limit;
}

Duration QueryEngine::expectedWait(GroupState &group, Urgency urgency, const std::string &key)
{
    const auto ahead = static_cast<std::int64_t>(this->queue.sizeAhead(urgency, key));
    return group.meanDuration * (ahead + 1) / std::max(this->admissionLimit(group, key), 1);
}

void QueryEngine::onQueryArrived(const QueryArrived &event, Instant now)
{
    const QueryRequest &request = event.request;
    const std::shared_ptr<const Configuration> configured = this->configuration.get();
    const TeamConfiguration *team = configured->findTeam(request.team);
    const Kind *kind = team == nullptr ? nullptr : team->findKind(request.kind);
    if (kind == nullptr) {
        this->refuse(request, Reason::refusedNoTopology, MINIMUM_RETRY_AFTER);
        return;
    }
    if (this->draining) {
        this->refuse(request, Reason::refusedDraining, DRAIN_RETRY_AFTER);
        return;
    }
    if (this->suspects.isQuarantined(request.fingerprint, now)) {
        this->refuse(request, Reason::refusedQuarantined, QUARANTINE_TIME);
        return;
    }
    const std::string key = groupKey(request.team, kind->group);
    GroupState &group = this->groupState(key);
    const int limit = this->admissionLimit(group, key);
    const bool lineIsEmpty = this->queue.sizeAhead(kind->urgency, key) == 0;
    if (lineIsEmpty && tryEnter(*group.running, limit)) {
        this->admit(request, key, now);
        return;
    }
    const Duration wait = this->expectedWait(group, kind->urgency, key);
    const bool inTime = now + wait + group.meanDuration < request.deadline;
    if (!inTime || !this->queue.push({.request = request, .groupKey = key, .urgency = kind->urgency})) {
        this->refuse(request, Reason::refusedOverload, std::max(wait, MINIMUM_RETRY_AFTER));
        return;
    }
    this->report(Reason::queued, request.id);
    this->expireWaiting(now);
}

void QueryEngine::expireWaiting(Instant now)
{
    for (const WaitingQuery &expired : this->queue.popExpired(now + REPLY_MARGIN)) {
        this->refuse(expired.request, Reason::refusedOverload, MINIMUM_RETRY_AFTER);
    }
    if (this->queue.size() == 0 || this->queueTimerArmed) {
        return;
    }
    this->queueTimerArmed = true;
    this->timers.subscribe(now + QUEUE_CHECK_INTERVAL, [this](Instant due) {
        this->queueTimerArmed = false;
        this->admitWaiting(due);
        this->expireWaiting(due);
    });
}

void QueryEngine::admitWaiting(Instant now)
{
    const auto mayEnter = [this](const WaitingQuery &waiting) {
        GroupState &group = this->groupState(waiting.groupKey);
        return tryEnter(*group.running, this->admissionLimit(group, waiting.groupKey));
    };
    while (std::optional<WaitingQuery> next = this->queue.popAdmissible(mayEnter)) {
        this->admit(next->request, next->groupKey, now);
    }
}

void QueryEngine::admit(const QueryRequest &request, const std::string &key, Instant now)
{
    auto query = std::make_unique<ActiveQuery>();
    query->request = request;
    query->key = key;
    query->configuration = this->configuration.get();
    const TeamConfiguration *team = query->configuration->findTeam(request.team);
    query->kind = team == nullptr ? nullptr : team->findKind(request.kind);
    query->group = query->kind == nullptr ? nullptr : team->findGroup(query->kind->group);
    if (query->group == nullptr) {
        // The configuration changed while the query waited.
        this->groupState(key).running->fetch_sub(1, std::memory_order_acq_rel);
        this->refuse(request, Reason::refusedNoTopology, MINIMUM_RETRY_AFTER);
        return;
    }
    ActiveQuery &active = *query;
    this->queries.emplace(request.id, std::move(query));
    this->groupState(key).applyPolicies(*active.group);
    active.deadlineTimer = this->timers.subscribe(request.deadline - REPLY_MARGIN, [this, id = request.id](Instant due) { this->onDeadline(id, due); });
    this->begin(active, now);
}

void QueryEngine::begin(ActiveQuery &query, Instant now)
{
    if (query.kind->repeatable) {
        this->startSearch(query, now);
        return;
    }
    this->startAction(query, now);
}

void QueryEngine::onCallerGone(const CallerGone &event, Instant now)
{
    if (this->queue.remove(event.query)) {
        this->report(Reason::callerGone, event.query);
        return;
    }
    ActiveQuery *query = this->find(event.query);
    if (query == nullptr) {
        return;
    }
    if (!query->kind->repeatable) {
        // The action goes on, so that its outcome is recorded for the caller's next request with the same key.
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
    group.meanDuration += (now - query.request.arrival - group.meanDuration) / DURATION_AVERAGE_DIVISOR;
    this->actions.emplace_back(ReplyToCaller{.answer = std::move(answer)});
    this->remove(query, now);
}

void QueryEngine::remove(ActiveQuery &query, Instant now)
{
    const QueryId id = query.request.id;
    for (QueryPart &part : query.parts) {
        this->cancelOpenAttempts(query, part);
    }
    this->timers.cancel(query.deadlineTimer);
    this->groupState(query.key).running->fetch_sub(1, std::memory_order_acq_rel);
    std::erase_if(this->waitingParts, [id](const auto &waiting) { return waiting.first == id; });
    const bool wasCanary = query.canaryPending;
    const std::uint64_t fingerprint = query.request.fingerprint;
    this->queries.erase(id);
    if (wasCanary) {
        // The next query of the same content becomes the canary.
        const auto parked = this->parkedBehindCanary.find(fingerprint);
        if (parked != this->parkedBehindCanary.end()) {
            const std::vector<QueryId> waiting = std::move(parked->second);
            this->parkedBehindCanary.erase(parked);
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

void QueryEngine::onAccusationSpread(const AccusationSpread &event, Instant now)
{
    ActiveQuery *query = this->find(event.query);
    if (query == nullptr) {
        return;
    }
    if (event.accusedServers >= QUARANTINE_SERVERS) {
        this->report(Reason::contentQuarantined, event.query);
        this->finishSearch(*query, Reason::contentQuarantined, now);
        return;
    }
    for (std::size_t index = 0; index < query->parts.size(); ++index) {
        if (query->parts[index].state == PartState::accusing) {
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
