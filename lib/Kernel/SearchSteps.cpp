/// \file
/// Steps of a search: snapshot selection, canary, scatter, merge, rerun on another snapshot and completion.
#include "QueryState.h"
#include "ragwortcart/Kernel/QueryEngine.h"

#include <cassert>

namespace ragwort {

/// Number of reruns after which the loss of a snapshot ends the query with a partial answer.
static constexpr std::size_t MAXIMUM_RERUNS = 3;
/// Time left below which a rerun cannot produce an answer.
static constexpr Duration MINIMUM_RERUN_TIME = std::chrono::milliseconds(5);

void QueryEngine::startSearch(ActiveQuery &query, Instant now)
{
    const auto usable = [](const ServerRecord &server) { return !server.isExcluded(); };
    const std::shared_ptr<const Topology> current = this->topology.get();
    const auto group = current->groups.find(query.key);
    std::optional<SnapshotPlan> plan;
    if (group != current->groups.end()) {
        plan = chooseSnapshot(group->second, usable, query.lostSnapshots);
    }
    if (!plan || plan->parts.empty()) {
        this->finishSearch(query, query.lostSnapshots.empty() ? Reason::refusedNoTopology : Reason::snapshotLost, now);
        return;
    }
    GroupState &state = this->groupState(query.key);
    // One query at a time is the canary of an unknown content; the others with the same content wait for it.
    const bool canary = state.canary->needsCanary(query.request.fingerprint);
    if (canary) {
        const auto canaryQueue = this->waitingForCanary.find(query.request.fingerprint);
        if (canaryQueue != this->waitingForCanary.end() && !query.canaryPending) {
            canaryQueue->second.push_back(query.request.id);
            return;
        }
        this->waitingForCanary.try_emplace(query.request.fingerprint);
    }
    query.canaryPending = canary;
    query.snapshot = plan->snapshot;
    query.totalDocuments = plan->totalDocuments;
    this->addParts(query, plan->parts);
    if (canary) {
        this->report(Reason::canarySent, query.request.id);
        const std::size_t first = this->random(static_cast<std::uint32_t>(query.parts.size()));
        std::swap(query.parts.front(), query.parts[first]);
        this->dispatch(query, 0, now);
        return;
    }
    const QueryId id = query.request.id;
    for (std::size_t index = 0; index < query.parts.size(); ++index) {
        this->dispatch(query, index, now);
        if (this->find(id) == nullptr) {
            return;
        }
    }
}

/// Adds the planned parts to the query and the credit that they earn to the extra-load budget.
void QueryEngine::addParts(ActiveQuery &query, std::span<const PlannedPart> planned)
{
    const double rate = query.group->extraLoad;
    GroupState &state = this->groupState(query.key);
    for (const PlannedPart &part : planned) {
        query.parts.push_back({.range = part.range, .replicas = part.replicas});
        state.budget.earn(rate);
    }
}

/// Sends the remaining parts after the canary has completed, and starts the queries that waited for it.
void QueryEngine::releaseCanary(ActiveQuery &query, Instant now)
{
    query.canaryPending = false;
    GroupState &state = this->groupState(query.key);
    state.canary->recordSuccess(query.request.fingerprint);
    const QueryId id = query.request.id;
    const std::uint64_t fingerprint = query.request.fingerprint;
    for (std::size_t index = 0; index < query.parts.size(); ++index) {
        if (query.parts[index].state == PartState::idle) {
            this->dispatch(query, index, now);
            if (this->find(id) == nullptr) {
                break;
            }
        }
    }
    const auto canaryQueue = this->waitingForCanary.find(fingerprint);
    if (canaryQueue == this->waitingForCanary.end()) {
        return;
    }
    const std::vector<QueryId> waiting = std::move(canaryQueue->second);
    this->waitingForCanary.erase(canaryQueue);
    for (const QueryId next : waiting) {
        if (ActiveQuery *successor = this->find(next)) {
            this->startSearch(*successor, now);
        }
    }
}

void QueryEngine::mergeAnswer(ActiveQuery &query, QueryPart &part, const SubAnswer &answer, Instant now)
{
    (void)now;
    assert(!query.covered.overlaps(answer.range) && "only disjoint answers are merged");
    query.covered.add(answer.range);
    query.documents += answer.documents;
    // The size reported by the servers is newer than the topology that the query was planned on.
    query.totalDocuments = std::max(query.totalDocuments, answer.totalDocuments);
    for (const Document &document : answer.results) {
        if (answer.range.contains(document.key)) {
            query.results.push_back(document);
        }
    }
    std::sort(query.results.begin(), query.results.end());
    const auto limit = static_cast<std::size_t>(std::max(query.request.limit, 0));
    if (query.results.size() > limit) {
        query.results.resize(limit);
    }
    part.state = PartState::done;
}

/// Plans parts for the keys in \p range that the merged answers do not cover.
void QueryEngine::planRemainder(ActiveQuery &query, const KeyRange &range)
{
    const auto usable = [](const ServerRecord &server) { return !server.isExcluded(); };
    const std::shared_ptr<const Topology> current = this->topology.get();
    const auto group = current->groups.find(query.key);
    const SnapshotLayout *layout = nullptr;
    if (group != current->groups.end()) {
        for (const SnapshotLayout &candidate : group->second.snapshots) {
            if (candidate.id == query.snapshot) {
                layout = &candidate;
            }
        }
    }
    for (const KeyRange &gap : query.covered.missing(range)) {
        std::vector<PlannedPart> pieces;
        if (layout != nullptr) {
            for (const PlannedPart &part : planSnapshot(*layout, usable).parts) {
                const KeyRange piece{.begin = std::max(part.range.begin, gap.begin), .end = std::min(part.range.end, gap.end)};
                if (!piece.empty()) {
                    pieces.push_back({.range = piece, .replicas = part.replicas});
                }
            }
        }
        this->addParts(query, pieces);
    }
}

bool QueryEngine::rerunOnNextSnapshot(ActiveQuery &query, Instant now)
{
    const bool wanted = query.kind->onSnapshotLoss == SnapshotLossPolicy::rerun;
    if (!wanted || query.timeLeft(now) < MINIMUM_RERUN_TIME || query.lostSnapshots.size() >= MAXIMUM_RERUNS) {
        return false;
    }
    std::vector<SnapshotId> excluded = query.lostSnapshots;
    excluded.push_back(query.snapshot);
    const auto usable = [](const ServerRecord &server) { return !server.isExcluded(); };
    const std::shared_ptr<const Topology> current = this->topology.get();
    const auto group = current->groups.find(query.key);
    if (group == current->groups.end() || !chooseSnapshot(group->second, usable, excluded)) {
        return false;
    }
    this->report(Reason::snapshotRerun, query.request.id);
    for (QueryPart &part : query.parts) {
        this->cancelOpenAttempts(query, part, now);
    }
    const QueryId id = query.request.id;
    std::erase_if(this->waitingParts, [id](const auto &waiting) { return waiting.first == id; });
    query.lostSnapshots = std::move(excluded);
    query.parts.clear();
    query.covered = RangeSet();
    query.documents = 0;
    query.totalDocuments = 0;
    query.results.clear();
    this->startSearch(query, now);
    return true;
}

void QueryEngine::finishIfDone(ActiveQuery &query, Instant now)
{
    if (query.route != nullptr) {
        this->finishForwardIfDone(query, now);
        return;
    }
    const bool settled = std::all_of(query.parts.begin(), query.parts.end(), [](const QueryPart &part) { return part.settled(); });
    if (settled) {
        const bool complete = query.covered.missing({.begin = 0, .end = KEY_SPACE_END}).empty();
        const bool lost = std::any_of(query.parts.begin(), query.parts.end(), [](const QueryPart &part) { return part.snapshotGone; });
        const Reason shortfall = lost ? Reason::snapshotLost : Reason::noReplica;
        this->finishSearch(query, complete ? Reason::completed : shortfall, now);
    }
}

void QueryEngine::finishSearch(ActiveQuery &query, Reason reason, Instant now)
{
    Answer answer{.reason = std::string(toString(reason)), .snapshot = query.snapshot};
    answer.coverage.documents = query.documents;
    answer.coverage.totalDocuments = query.totalDocuments;
    answer.coverage.missing = query.covered.missing({.begin = 0, .end = KEY_SPACE_END});
    const bool enough = query.covered.width() > 0 && answer.coverage.fraction() >= query.kind->minimumCoverage;
    answer.success = enough && reason != Reason::contentQuarantined;
    if (query.sent == 0) {
        answer.state = RunState::notRun;
    } else {
        answer.state = answer.success ? RunState::ran : RunState::outcomeUnknown;
    }
    if (!answer.success) {
        answer.retryAfter = std::chrono::seconds(1);
    }
    answer.results = std::move(query.results);
    this->report(reason, query.request.id);
    this->finish(query, std::move(answer), now);
}

void QueryEngine::onDeadline(QueryId id, Instant now)
{
    ActiveQuery *query = this->find(id);
    if (query == nullptr) {
        return;
    }
    if (query->route != nullptr) {
        this->finishForward(*query, Reason::deadlineReached, now);
        return;
    }
    if (query->kind->repeatable) {
        this->finishSearch(*query, Reason::deadlineReached, now);
        return;
    }
    const bool sent = !query->parts.empty() && query->parts.front().hasOpenAttempt();
    this->finishAction(*query, sent ? RunState::outcomeUnknown : RunState::notRun, sent ? Reason::unknownOutcome : Reason::deadlineReached, {}, now);
}

} // namespace ragwort
