/// \file
/// Steps of a query that is divided among instances: the choice of the aggregators, their answers, and what happens if they refuse or are silent.
///
/// The requests that an aggregator sends to servers draw on its own budgets. A branch that an aggregator has refused is gathered in another
/// way. One that an aggregator may have run is not, because its servers must not run the request more often than the route allows.
#include "QueryState.h"
#include "ragwortcart/Kernel/QueryEngine.h"

#include <cassert>
#include <cmath>

namespace ragwort {

/// Time reserved for an aggregator's answer to reach the coordinator and to be merged.
static constexpr Duration RETURN_MARGIN = std::chrono::milliseconds(8);
/// An aggregator is silent if it has not answered after this multiple of the latency objective.
static constexpr int SILENCE_OBJECTIVES = 2;
/// Maximum number of branches of a query, including those that replace refused ones.
static constexpr std::size_t MAXIMUM_BRANCHES = 16;
/// Refusal of an aggregator whose servers do not accept the requests in time. Another instance would be refused as well.
static constexpr std::string_view HELD_BACK = "held-back-by-servers";
/// Reason of an aggregator whose evidence forbids the content. Another one would refuse it as well, or lose servers.
static constexpr std::string_view QUARANTINED = "refused-quarantined";

std::size_t QueryEngine::branchCount(const ActiveQuery &query, std::span<const Aggregator> available)
{
    const QueryDivision &division = this->topology.get()->division;
    const std::size_t shards = query.parts.size();
    const Duration objective = query.route->latencyObjective;
    const std::size_t own = gatherableShards(division.ownCapacity, objective);
    if (available.empty() || (division.domainHoldsShards && shards <= own)) {
        return 0;
    }
    const bool gathersPart = division.aggregates && division.domainHoldsShards;
    const std::size_t each = gathersPart ? own : gatherableShards(available.front().capacity, objective);
    const std::size_t groups = (shards + each - 1) / each;
    return std::min({gathersPart ? groups - 1 : groups, available.size(), shards});
}

void QueryEngine::handOver(ActiveQuery &query, Instant now)
{
    const std::shared_ptr<const Topology> current = this->topology.get();
    const QueryDivision &division = current->division;
    if (!std::holds_alternative<ShardSet>(query.route->target) || division.aggregators.empty()) {
        return;
    }
    const std::vector<Aggregator> available = this->aggregatorHealth.rank(division.aggregators, {}, now, this->random);
    const std::size_t branches = this->branchCount(query, available);
    if (branches == 0) {
        return;
    }
    const std::size_t shards = query.parts.size();
    // An aggregator near the servers gathers the first group itself.
    const bool gathersPart = division.aggregates && division.domainHoldsShards;
    std::size_t first = gathersPart ? shards / (branches + 1) : 0;
    for (std::size_t branch = 0; branch < branches; ++branch) {
        const std::size_t count = (shards - first) / (branches - branch);
        this->sendBranch(query, first, count, available[branch].instance, now);
        first += count;
    }
}

/// Returns the fewest shards out of \p selected with which a query over \p all shards can reach its minimum share.
static std::size_t minimumOf(const ActiveQuery &query, std::size_t selected)
{
    const std::size_t all = query.parts.size();
    std::size_t needed = 1;
    while (needed < all && !meetsMinimumShare(query, needed, all)) {
        ++needed;
    }
    const std::size_t others = all - selected;
    return needed > others ? needed - others : 0;
}

void QueryEngine::sendBranch(ActiveQuery &query, std::size_t firstPart, std::size_t partCount, const std::string &aggregator, Instant now)
{
    const AttemptId id = ++query.lastAttempt;
    const Duration timeLeft = query.timeLeft(now);
    const Duration objective = query.route->latencyObjective;
    const Instant answerBy = query.request.arrival + objective - OBJECTIVE_MARGIN - this->aggregatorHealth.transferTime(aggregator);
    const Instant silentAt = now + std::min(timeLeft / 2, objective * SILENCE_OBJECTIVES);
    const TimerId timeout = this->timers.subscribe(silentAt, [this, queryId = query.request.id, id](Instant due) { this->onBranchTimeout(queryId, id, due); });
    query.branches.push_back(
        {.id = id, .aggregator = aggregator, .firstPart = firstPart, .partCount = partCount, .sentAt = now, .timeout = timeout, .open = true, .records = {}});
    for (std::size_t index = firstPart; index < firstPart + partCount; ++index) {
        query.parts[index].state = PartState::handedOver;
    }
    this->aggregatorHealth.onSent(aggregator);
    this->report(Reason::handedOver,
                 query.request.id,
                 aggregator,
                 "first_shard " + std::to_string(firstPart) + " shards " + std::to_string(partCount) + " of " + std::to_string(query.parts.size()));
    this->actions.emplace_back(SendPartialQuery{.aggregator = aggregator,
                                                .request = {.query = query.request.id,
                                                            .branch = id,
                                                            .route = query.route->name,
                                                            .routeRevision = query.route->revision,
                                                            .firstShard = static_cast<std::uint32_t>(firstPart),
                                                            .shardCount = static_cast<std::uint32_t>(partCount),
                                                            .minimumShards = static_cast<std::uint32_t>(minimumOf(query, partCount)),
                                                            .answerWithin = std::max(answerBy - now, Duration::zero()),
                                                            .timeLeft = std::max(timeLeft - RETURN_MARGIN, Duration::zero()),
                                                            .sentAtUs = now.time_since_epoch().count(),
                                                            .forwarded = std::get<ForwardedCall>(query.request.work).request,
                                                            .contentFingerprint = query.request.fingerprint}});
}

void QueryEngine::dispatchIdle(ActiveQuery &query, std::size_t first, std::size_t count, Instant now)
{
    const QueryId id = query.request.id;
    for (std::size_t index = first; index < first + count; ++index) {
        QueryPart &part = query.parts[index];
        if (part.state != PartState::idle) {
            continue;
        }
        if (!std::exchange(part.creditEarned, true)) {
            this->serviceBudget(query, part.service).earn(query.group->extraLoad);
        }
        this->dispatch(query, index, now);
        if (this->find(id) == nullptr) {
            return;
        }
    }
}

/// Returns whether the reply accounts for each shard of the branch once.
static bool fitsBranch(const QueryBranch &branch, const MergedRecords &records)
{
    std::uint32_t next = static_cast<std::uint32_t>(branch.firstPart);
    for (const std::uint32_t shard : records.missingShards) {
        if (shard < next || shard >= branch.firstPart + branch.partCount) {
            return false;
        }
        next = shard + 1;
    }
    return records.missingShards.size() + records.signatures.size() == branch.partCount;
}

void QueryEngine::onPartialQueryAnswered(const PartialQueryAnswered &event, Instant now)
{
    const PartialQueryReply &reply = event.reply;
    ActiveQuery *query = this->find(reply.query);
    const auto isAnswered = [&](const QueryBranch &each) { return each.open && each.id == reply.branch && each.aggregator == event.aggregator; };
    const auto found = query == nullptr ? std::vector<QueryBranch>::iterator() : std::find_if(query->branches.begin(), query->branches.end(), isAnswered);
    if (query == nullptr || found == query->branches.end()) {
        this->report(Reason::lateAnswerDropped, reply.query, event.aggregator);
        return;
    }
    QueryBranch &branch = *found;
    branch.open = false;
    this->timers.cancel(branch.timeout);
    query->sent += reply.attempts;
    query->hedges += reply.hedges;
    query->retries += reply.retries;
    if (reply.success && fitsBranch(branch, reply.records)) {
        this->aggregatorHealth.onAnswered(branch.aggregator, now - branch.sentAt, reply.heldFor, now);
        this->acceptBranch(*query, branch, reply, now);
        return;
    }
    const bool concernsServers = reply.reason == HELD_BACK || reply.reason == QUARANTINED;
    if (!reply.success && reply.state == RunState::notRun && !concernsServers) {
        this->aggregatorHealth.onRefused(branch.aggregator, now);
        this->report(Reason::aggregatorRefused, reply.query, branch.aggregator, reply.reason);
        this->replaceBranch(*query, static_cast<std::size_t>(found - query->branches.begin()), now);
        return;
    }
    if (reply.success) {
        this->aggregatorHealth.onSilent(branch.aggregator, now);
        this->report(Reason::aggregatorSilent, reply.query, branch.aggregator, "its reply does not fit the branch");
    } else {
        this->aggregatorHealth.onAnswered(branch.aggregator, now - branch.sentAt, reply.heldFor, now);
    }
    query->expectedWait = std::max(query->expectedWait, reply.retryAfter);
    if (!reply.success && reply.state == RunState::notRun) {
        for (std::size_t index = branch.firstPart; index < branch.firstPart + branch.partCount; ++index) {
            query->parts[index].state = PartState::failed;
        }
        this->finishForwardIfDone(*query, now);
        return;
    }
    this->failBranch(*query, branch, now);
}

void QueryEngine::acceptBranch(ActiveQuery &query, QueryBranch &branch, const PartialQueryReply &reply, Instant now)
{
    for (std::size_t index = branch.firstPart; index < branch.firstPart + branch.partCount; ++index) {
        query.parts[index].state = PartState::done;
        query.parts[index].possibleRuns = 1;
    }
    for (const std::uint32_t shard : reply.records.missingShards) {
        query.parts[shard].state = PartState::failed;
    }
    branch.records = reply.records;
    this->recordServedContent(query, now);
    this->finishForwardIfDone(query, now);
}

void QueryEngine::failBranch(ActiveQuery &query, const QueryBranch &branch, Instant now)
{
    for (std::size_t index = branch.firstPart; index < branch.firstPart + branch.partCount; ++index) {
        query.parts[index].state = PartState::failed;
        query.parts[index].possibleRuns = 1;
    }
    this->finishForwardIfDone(query, now);
}

void QueryEngine::replaceBranch(ActiveQuery &query, std::size_t branchIndex, Instant now)
{
    const std::size_t first = query.branches[branchIndex].firstPart;
    const std::size_t count = query.branches[branchIndex].partCount;
    std::vector<std::string> tried;
    for (const QueryBranch &branch : query.branches) {
        tried.push_back(branch.aggregator);
    }
    for (std::size_t index = first; index < first + count; ++index) {
        query.parts[index].state = PartState::idle;
    }
    const std::shared_ptr<const Topology> current = this->topology.get();
    const std::vector<Aggregator> available = this->aggregatorHealth.rank(current->division.aggregators, tried, now, this->random);
    if (!available.empty() && query.branches.size() < MAXIMUM_BRANCHES) {
        this->sendBranch(query, first, count, available.front().instance, now);
        return;
    }
    this->dispatchIdle(query, first, count, now);
}

void QueryEngine::onBranchTimeout(QueryId id, AttemptId branch, Instant now)
{
    ActiveQuery *query = this->find(id);
    assert(query != nullptr && "the timers of a query end with it");
    const auto found = std::find_if(query->branches.begin(), query->branches.end(), [branch](const QueryBranch &each) { return each.id == branch; });
    assert(found != query->branches.end() && found->open && "the timer of a branch ends with it");
    found->open = false;
    this->aggregatorHealth.onSilent(found->aggregator, now);
    this->report(Reason::aggregatorSilent, id, found->aggregator, "after_us " + std::to_string((now - found->sentAt).count()));
    this->actions.emplace_back(CancelPartialQuery{.aggregator = found->aggregator, .cancel = {.query = id, .branch = branch}});
    this->failBranch(*query, *found, now);
}

void QueryEngine::onPeerLinkChanged(const PeerLinkChanged &event, Instant now)
{
    this->aggregatorHealth.setLinked(event.peer, event.up);
    std::vector<QueryId> ids;
    for (const auto &[id, query] : this->queries) {
        ids.push_back(id);
    }
    for (const QueryId id : ids) {
        ActiveQuery *query = this->find(id);
        const auto isLost = [&event](const QueryBranch &branch) { return branch.open && branch.aggregator == event.peer; };
        for (std::size_t index = 0; query != nullptr && index < query->branches.size(); ++index) {
            if (!isLost(query->branches[index])) {
                continue;
            }
            QueryBranch &branch = query->branches[index];
            branch.open = false;
            this->timers.cancel(branch.timeout);
            this->aggregatorHealth.onCancelled(branch.aggregator);
            this->report(Reason::aggregatorSilent, id, branch.aggregator, "its link has closed");
            this->failBranch(*query, branch, now);
            query = this->find(id);
        }
    }
}

void QueryEngine::cancelBranches(ActiveQuery &query)
{
    for (QueryBranch &branch : query.branches) {
        if (!branch.open) {
            continue;
        }
        branch.open = false;
        this->timers.cancel(branch.timeout);
        this->aggregatorHealth.onCancelled(branch.aggregator);
        this->actions.emplace_back(CancelPartialQuery{.aggregator = branch.aggregator, .cancel = {.query = query.request.id, .branch = branch.id}});
    }
}

} // namespace ragwort
