/// \file
/// Steps of a forwarded request: service selection, gathering of the responses, latency objective and completion.
#include "QueryState.h"
#include "ragwortcart/Kernel/QueryEngine.h"
#include "ragwortcart/Model/RecordMerge.h"
#include "ragwortcart/Support/Visitor.h"

#include <cassert>

namespace ragwort {

/// Fill ratio of the budget below which required parts are not hedged, so that credit is left for retries of failed
/// ones.
static constexpr double HEDGE_RESERVE = 0.25;
/// Fill ratio of the budget below which optional parts get no extra sub-requests.
static constexpr double OPTIONAL_PART_RESERVE = 0.5;

/// Selects a random service in proportion to the weights.
static const std::string &chooseService(const ServiceChoice &choice, pcg32 &random)
{
    assert(!choice.services.empty() && "a choice names at least one service");
    double total = 0.0;
    for (const WeightedService &weighted : choice.services) {
        total += weighted.weight;
    }
    // The generator is uniform in [0, 2^32).
    double drawn = total * static_cast<double>(random()) / 4294967296.0;
    for (const WeightedService &weighted : choice.services) {
        drawn -= weighted.weight;
        if (drawn < 0.0) {
            return weighted.service;
        }
    }
    return choice.services.back().service;
}

void QueryEngine::addServicePart(ActiveQuery &query, const std::string &service)
{
    const std::shared_ptr<const Topology> current = this->topology.get();
    QueryPart part;
    part.service = service;
    if (const auto servers = current->services.find(service); servers != current->services.end()) {
        part.replicas = servers->second;
    }
    query.parts.push_back(std::move(part));
}

void QueryEngine::addShardParts(ActiveQuery &query, const ShardSet &shards)
{
    const ShardSelection *selection = query.selection();
    const std::size_t first = selection != nullptr ? std::min(selection->first, shards.services.size()) : 0;
    const std::size_t count = selection != nullptr ? std::min(selection->count, shards.services.size() - first) : shards.services.size();
    for (std::size_t position = first; position < first + count; ++position) {
        this->addServicePart(query, shards.services[position]);
    }
}

ExtraLoadBudget &QueryEngine::serviceBudget(const ActiveQuery &query, const std::string &service)
{
    const auto found = this->serviceBudgets.find(service);
    ExtraLoadBudget &budget = found != this->serviceBudgets.end() ? found->second : this->serviceBudgets[service];
    budget.setMaximum(query.group->extraLoadBurst * this->topology.get()->fractionOfTier(mergesShards(query.route)));
    return budget;
}

ExtraLoadBudget &QueryEngine::budgetOf(const ActiveQuery &query, const QueryPart &part)
{
    return query.route == nullptr ? this->groupState(query.key).budget : this->serviceBudget(query, part.service);
}

void QueryEngine::startForward(ActiveQuery &query, Instant now)
{
    std::visit(Visitor{[&](const ServiceChoice &choice) { this->addServicePart(query, chooseService(choice, this->random)); },
                       [&](const ShardSet &shards) {
                           this->addShardParts(query, shards);
                           this->armObjectiveTimer(query);
                       }},
               query.route->target);
    if (const std::optional<Duration> wait = this->minimumShareWait(query, now)) {
        query.expectedWait = *wait;
        this->finishForward(query, Reason::heldBackByServers, now);
        return;
    }
    if (query.selection() == nullptr) {
        this->handOver(query, now);
    }
    if (query.branches.empty()) {
        this->dispatchIdle(query, 0, query.parts.size(), now);
        return;
    }
    // The aggregators' messages leave before the requests to servers are prepared, which takes a weak instance much longer.
    query.ownPartsTimer = this->timers.subscribe(now, [this, id = query.request.id](Instant due) {
        if (ActiveQuery *started = this->find(id)) {
            this->dispatchIdle(*started, 0, started->parts.size(), due);
        }
    });
}

void QueryEngine::armObjectiveTimer(ActiveQuery &query)
{
    const ShardSelection *selection = query.selection();
    const Instant objective = selection != nullptr ? selection->answerBy : query.request.arrival + query.route->latencyObjective - OBJECTIVE_MARGIN;
    query.objectiveTimer = this->timers.subscribe(objective, [this, id = query.request.id](Instant due) {
        if (ActiveQuery *lateQuery = this->find(id)) {
            lateQuery->pastObjective = true;
            this->finishForwardIfDone(*lateQuery, due);
        }
    });
}

void QueryEngine::onForwardAnswered(const ForwardAnswered &event, Instant now)
{
    const std::optional<AttemptPosition> found = this->findAnsweredAttempt(event.query, event.attempt, event.answer.statement, now);
    if (!found) {
        return;
    }
    ActiveQuery *query = this->find(event.query);
    QueryPart &part = query->parts[found->part];
    PartAttempt &attempt = part.attempts[found->attempt];
    const bool merges = std::holds_alternative<ShardSet>(query->route->target);
    if (merges && !event.answer.success()) {
        // An error response is never part of a merged answer, whatever its status.
        this->onSubRequestFailed(
            {.query = event.query, .attempt = event.attempt, .failure = SubFailure::serverError, .report = std::nullopt, .answer = event.answer}, now);
        return;
    }
    if (merges && !event.answer.mergeable) {
        // It would make the parts of all other servers unreadable for the caller.
        this->onSubRequestFailed(
            {.query = event.query, .attempt = event.attempt, .failure = SubFailure::protocol, .report = std::nullopt, .answer = std::nullopt}, now);
        return;
    }
    const ServerPointer server = attempt.server;
    const Duration latency = now - attempt.sentAt;
    this->closeAttempt(attempt);
    this->recordServerStatement(event.query, *server, event.answer.statement, attempt.sentAt, now);
    this->recordSuccessfulAttempt(*query, *server, latency, false, now);
    this->cancelOpenAttempts(*query, part, now);
    part.state = PartState::done;
    part.answer = event.answer;
    this->recordServedContent(*query, now);
    this->recordServerAlive(*query, attempt, now);
    this->finishForwardIfDone(*query, now);
    this->dispatchWaiting(now);
}

bool QueryEngine::mayAttempt(const ActiveQuery &query, const QueryPart &part)
{
    return query.route == nullptr || part.possibleRuns < query.route->maximumAttempts;
}

/// Tolerance for rounding errors in comparisons of shares.
static constexpr double SHARE_TOLERANCE = 1e-9;

bool meetsMinimumShare(const ActiveQuery &query, std::size_t shards, std::size_t all)
{
    if (const ShardSelection *selection = query.selection()) {
        return shards >= selection->minimum;
    }
    return shards > 0 && static_cast<double>(shards) + SHARE_TOLERANCE >= query.kind->minimumCoverage * static_cast<double>(all);
}

static std::size_t countParts(const ActiveQuery &query, PartState state)
{
    return static_cast<std::size_t>(std::count_if(query.parts.begin(), query.parts.end(), [state](const QueryPart &part) { return part.state == state; }));
}

bool QueryEngine::allowsExtraRequest(const ActiveQuery &query, const QueryPart &part, ExtraRequestPurpose purpose)
{
    if (query.route == nullptr) {
        return true;
    }
    // A failed part is required if the others cannot reach the minimum share without it; a slow part is required if the
    // completed ones do not reach it.
    const std::size_t all = query.parts.size();
    const std::size_t others = purpose == ExtraRequestPurpose::retry ? all - countParts(query, PartState::failed) - 1 : countParts(query, PartState::done);
    const bool required = !meetsMinimumShare(query, others, all);
    if (purpose == ExtraRequestPurpose::retry && required) {
        return true;
    }
    return this->budgetOf(query, part).fillRatio() >= (required ? HEDGE_RESERVE : OPTIONAL_PART_RESERVE);
}

void QueryEngine::finishForwardIfDone(ActiveQuery &query, Instant now)
{
    const std::size_t all = query.parts.size();
    const std::size_t done = countParts(query, PartState::done);
    const std::size_t failed = countParts(query, PartState::failed);
    if (done + failed == all) {
        this->finishForward(query, failed == 0 ? Reason::completed : Reason::noReplica, now);
    } else if (!meetsMinimumShare(query, all - failed, all)) {
        this->finishForward(query, Reason::shareOutOfReach, now);
    } else if (query.pastObjective && meetsMinimumShare(query, done, all)) {
        this->finishForward(query, Reason::objectiveReached, now);
    } else {
        this->continueTrial(query, now);
    }
}

/// Merges the top records of the responses so far.
static MergedRecords mergeParts(const ActiveQuery &query, const ShardSet &shards)
{
    MergedRecords merged;
    std::vector<std::string_view> bodies;
    const std::size_t firstShard = query.selection() != nullptr ? query.selection()->first : 0;
    for (std::size_t index = 0; index < query.parts.size(); ++index) {
        const QueryPart &part = query.parts[index];
        if (part.answer) {
            bodies.push_back(part.answer->body);
            merged.signatures.push_back(part.answer->signature);
        }
        if (part.state != PartState::done) {
            merged.missingShards.push_back(static_cast<std::uint32_t>(firstShard + index));
        }
    }
    for (const QueryBranch &branch : query.branches) {
        if (branch.records) {
            bodies.push_back(branch.records->body);
            merged.signatures.insert(merged.signatures.end(), branch.records->signatures.begin(), branch.records->signatures.end());
        }
    }
    merged.body = mergeTopRecords(bodies, shards.topRecordCount);
    return merged;
}

/// Returns the reply built from the responses so far, or `std::monostate` if they do not suffice for one.
static ForwardedReply buildReply(const ActiveQuery &query)
{
    return std::visit(Visitor{[&query](const ServiceChoice &) -> ForwardedReply {
                                  if (!query.parts.empty() && query.parts.front().answer) {
                                      return *query.parts.front().answer;
                                  }
                                  return std::monostate();
                              },
                              [&query](const ShardSet &shards) -> ForwardedReply {
                                  if (!meetsMinimumShare(query, countParts(query, PartState::done), query.parts.size())) {
                                      return std::monostate();
                                  }
                                  return mergeParts(query, shards);
                              }},
                      query.route->target);
}

void QueryEngine::finishForward(ActiveQuery &query, Reason reason, Instant now)
{
    Answer answer{.reason = std::string(toString(reason)), .forwarded = buildReply(query)};
    const bool mayHaveRun = std::any_of(query.parts.begin(), query.parts.end(), [](const QueryPart &part) { return part.possibleRuns > 0; })
        || std::any_of(query.branches.begin(), query.branches.end(), [](const QueryBranch &branch) { return branch.open; });
    if (!std::holds_alternative<std::monostate>(answer.forwarded)) {
        answer.success = true;
        answer.state = RunState::ran;
    } else if (query.serverFailure && std::holds_alternative<ServiceChoice>(query.route->target)) {
        reason = Reason::serverFailurePassed;
        answer.reason = std::string(toString(reason));
        answer.state = RunState::ran;
        answer.forwarded = *query.serverFailure;
    } else if (mayHaveRun) {
        answer.state = RunState::outcomeUnknown;
    } else {
        answer.state = RunState::notRun;
        answer.retryAfter = this->retryAfterFor(query.request, query.expectedWait);
    }
    answer.routesVersion = query.configuration->routes->version;
    answer.shardsAnswered = static_cast<int>(countParts(query, PartState::done));
    answer.shardsAsked = static_cast<int>(query.parts.size());
    this->report(reason, query.request.id);
    this->finish(query, std::move(answer), now);
}

Duration QueryEngine::retryAfterFor(const QueryRequest &request, Duration expectedWait)
{
    const std::shared_ptr<const Configuration> configured = this->configuration.get();
    const std::optional<ResolvedQuery> resolved = resolve(request, *configured);
    if (!resolved || resolved->route == nullptr) {
        return std::max(expectedWait, MINIMUM_RETRY_AFTER);
    }
    // Retry times are randomized, so that refused callers do not return at the same time.
    const Duration earliest = std::max(expectedWait, resolved->route->latencyObjective / 4);
    return earliest + Duration(static_cast<std::int64_t>(this->random(static_cast<std::uint32_t>(earliest.count() + 1))));
}

std::optional<QueryEngine::ResolvedQuery> QueryEngine::resolve(const QueryRequest &request, const Configuration &configured)
{
    return std::visit(Visitor{[&](const TeamQuery &) -> std::optional<ResolvedQuery> {
                                  const TeamConfiguration *team = configured.findTeam(request.team);
                                  const QueryKind *kind = team == nullptr ? nullptr : team->findKind(request.kind);
                                  const BackendGroup *group = kind == nullptr ? nullptr : team->findGroup(kind->group);
                                  if (group == nullptr) {
                                      return std::nullopt;
                                  }
                                  return ResolvedQuery{.kind = kind, .group = group, .route = nullptr, .key = groupKey(request.team, kind->group)};
                              },
                              [&](const ForwardedCall &call) -> std::optional<ResolvedQuery> {
                                  const Route *route = configured.routes ? configured.routes->find(call.route) : nullptr;
                                  if (route == nullptr) {
                                      return std::nullopt;
                                  }
                                  return ResolvedQuery{.kind = &route->kind, .group = &route->group, .route = route, .key = route->group.name};
                              }},
                      request.work);
}

} // namespace ragwort
