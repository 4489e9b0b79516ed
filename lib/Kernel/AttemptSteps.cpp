/// \file
/// Steps of the attempts of one part: replica selection, permit, hedge, timeout, response, failure and retry.
#include "QueryState.h"
#include "ragwortcart/Kernel/QueryEngine.h"

#include <QScopedValueRollback>
#include <cassert>

namespace ragwort {

/// Timeout of the first attempt in percent of the time left, so that a second attempt still fits.
static constexpr int FIRST_ATTEMPT_TIMEOUT_PERCENT = 50;
/// Polling interval while other engines may release permits.
static constexpr Duration PERMIT_CHECK_INTERVAL = std::chrono::milliseconds(1);
/// Polling interval of a single engine. Without an event, its permits become available only while a server warms up.
static constexpr Duration SINGLE_ENGINE_PERMIT_CHECK_INTERVAL = std::chrono::milliseconds(25);

std::vector<ServerPointer> QueryEngine::usableReplicas(const QueryPart &part, Instant now)
{
    const auto tried = [&part](const ServerPointer &server) {
        return std::any_of(part.attempts.begin(), part.attempts.end(), [&server](const PartAttempt &attempt) { return attempt.server == server; });
    };
    std::vector<ServerPointer> usable;
    std::vector<ServerPointer> avoided;
    std::vector<ServerPointer> unassigned;
    std::vector<ServerPointer> paused;
    const bool crossDomains = this->topology.get()->mayCrossDomains(now);
    for (const ServerPointer &server : part.replicas) {
        const bool outsideAllowedDomains = server->inOtherDomain.load(std::memory_order_relaxed) && !crossDomains;
        if (server->isExcluded() || outsideAllowedDomains || tried(server)) {
            continue;
        }
        if (server->isPaused(now)) {
            paused.push_back(server);
            continue;
        }
        const bool isAvoided = server->isEjected(now) || server->isAnnouncedCold(now);
        if (!server->connectionAssigned.load(std::memory_order_relaxed)) {
            unassigned.push_back(server);
            continue;
        }
        (isAvoided ? avoided : usable).push_back(server);
    }
    if (usable.empty()) {
        // An ejected or cold replica is better than none.
        usable = std::move(avoided);
    }
    if (usable.empty()) {
        usable = std::move(unassigned);
    }
    if (usable.empty()) {
        usable = std::move(paused);
    }
    return usable;
}

std::vector<ServerPointer> QueryEngine::candidates(const ActiveQuery &query, const QueryPart &part, Instant now, bool &anyUsable)
{
    (void)query;
    std::vector<ServerPointer> usable = this->usableReplicas(part, now);
    anyUsable = !usable.empty();
    std::erase_if(usable, [now](const ServerPointer &server) { return !server->hasPermit(now); });
    return usable;
}

void QueryEngine::dispatch(ActiveQuery &query, std::size_t partIndex, Instant now)
{
    QueryPart &part = query.parts[partIndex];
    if (query.route != nullptr && !this->mayRunContent(query, partIndex, now)) {
        return;
    }
    bool anyUsable = false;
    std::vector<ServerPointer> available = this->candidates(query, part, now, anyUsable);
    if (!anyUsable) {
        part.state = PartState::failed;
        this->report(Reason::noReplica, query.request.id);
        this->continueAfterFailedPart(query, now);
        return;
    }
    while (!available.empty()) {
        const std::size_t chosen = this->groupState(query.key).balance->choose(available, now, this->random);
        if (this->sendAttempt(query, partIndex, available[chosen], false, now)) {
            this->armHedgeTimer(query, partIndex, now);
            return;
        }
        available.erase(available.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    if (query.route != nullptr && this->failIfHeldBack(query, part, now)) {
        this->continueAfterFailedPart(query, now);
        return;
    }
    this->waitForPermit(query, partIndex, now);
}

void QueryEngine::waitForPermit(ActiveQuery &query, std::size_t partIndex, Instant now)
{
    query.parts[partIndex].state = PartState::waiting;
    this->waitingParts.emplace_back(query.request.id, partIndex);
    if (this->permitTimerArmed) {
        return;
    }
    // Permits may become available without an event in this engine, so the engine polls.
    this->permitTimerArmed = true;
    this->timers.subscribe(now + (this->sharesPermits ? PERMIT_CHECK_INTERVAL : SINGLE_ENGINE_PERMIT_CHECK_INTERVAL), [this](Instant due) {
        this->permitTimerArmed = false;
        this->dispatchWaiting(due);
    });
}

void QueryEngine::dispatchWaiting(Instant now)
{
    if (this->dispatchingWaiting || this->waitingParts.empty()) {
        return;
    }
    const QScopedValueRollback<bool> dispatching(this->dispatchingWaiting, true);
    std::vector<std::pair<QueryId, std::size_t>> waiting = std::exchange(this->waitingParts, {});
    const auto urgencyOf = [this](const std::pair<QueryId, std::size_t> &entry) {
        const ActiveQuery *query = this->find(entry.first);
        return query == nullptr ? Urgency::batch : query->kind->urgency;
    };
    std::stable_sort(waiting.begin(), waiting.end(), [&urgencyOf](const auto &left, const auto &right) { return urgencyOf(left) < urgencyOf(right); });
    for (const auto &[id, partIndex] : waiting) {
        ActiveQuery *query = this->find(id);
        if (query != nullptr && partIndex < query->parts.size() && query->parts[partIndex].state == PartState::waiting) {
            if (query->kind->repeatable || query->route != nullptr) {
                this->dispatch(*query, partIndex, now);
            } else {
                this->sendAction(*query, now);
            }
        }
    }
}

bool QueryEngine::sendAttempt(ActiveQuery &query, std::size_t partIndex, const ServerPointer &server, bool hedge, Instant now)
{
    if (!server->tryAcquire(now)) {
        return false;
    }
    QueryPart &part = query.parts[partIndex];
    const AttemptId id = ++query.lastAttempt;
    const Duration left = query.timeLeft(now);
    const Duration attemptTime = part.attempts.empty() && query.kind->repeatable ? left * FIRST_ATTEMPT_TIMEOUT_PERCENT / 100 : left;
    const TimerId timeout
        = this->timers.subscribe(now + attemptTime, [this, queryId = query.request.id, id](Instant due) { this->onAttemptTimeout(queryId, id, due); });
    part.attempts.push_back({.id = id, .server = server, .sentAt = now, .timeout = timeout, .hedge = hedge});
    part.state = PartState::inFlight;
    ++query.sent;
    ++part.possibleRuns;
    query.canaryExposure += query.canaryPending ? 1 : 0;
    SubRequest request{.query = query.request.id,
                       .attempt = id,
                       .serverId = server->identity.id,
                       .address = server->identity.address,
                       .kind = query.request.kind,
                       .text = query.request.text,
                       .limit = query.request.limit,
                       .snapshot = query.snapshot,
                       .range = part.range,
                       .deadline = query.request.deadline - REPLY_MARGIN,
                       .traceParent = query.request.traceParent,
                       .actionKey = query.kind->repeatable || query.route != nullptr ? std::string() : query.request.team + '/' + query.request.idempotencyKey,
                       .forwarded = nullptr};
    if (const auto *call = std::get_if<ForwardedCall>(&query.request.work)) {
        request.forwarded = call->request;
    }
    this->actions.emplace_back(SendSubRequest{.request = std::move(request)});
    return true;
}

void QueryEngine::armHedgeTimer(ActiveQuery &query, std::size_t partIndex, Instant now)
{
    QueryPart &part = query.parts[partIndex];
    GroupState &state = this->groupState(query.key);
    const std::string &latencyKey = latencyKeyOf(query, *part.attempts.back().server);
    const std::optional<Duration> delay = state.hedge->delay(state.latencyFor(latencyKey), *query.group, query.kind->urgency);
    if (!delay || now + *delay >= query.request.deadline - REPLY_MARGIN) {
        return;
    }
    part.hedgeTimer = this->timers.subscribe(now + *delay, [this, id = query.request.id, partIndex](Instant due) { this->onHedgeDue(id, partIndex, due); });
}

void QueryEngine::onHedgeDue(QueryId id, std::size_t partIndex, Instant now)
{
    ActiveQuery *query = this->find(id);
    if (query == nullptr || partIndex >= query->parts.size() || query->parts[partIndex].state != PartState::inFlight) {
        return;
    }
    bool anyUsable = false;
    for (const PartAttempt &attempt : query->parts[partIndex].attempts) {
        if (attempt.open) {
            recordPendingLatency(attempt, now);
        }
    }
    const std::vector<ServerPointer> available = this->candidates(*query, query->parts[partIndex], now, anyUsable);
    if (!query->kind->repeatable || available.empty() || !mayAttempt(*query, query->parts[partIndex]) || !this->mayExposeAnotherServer(*query, now)
        || this->isSuspectedContent(*query, now)) {
        return;
    }
    GroupState &state = this->groupState(query->key);
    if (!this->allowsExtraRequest(*query, query->parts[partIndex], ExtraRequestPurpose::hedge) || !this->budgetOf(*query, query->parts[partIndex]).spend()) {
        this->report(Reason::hedgeBudgetSpent, id);
        return;
    }
    const std::size_t chosen = state.balance->choose(available, now, this->random);
    if (this->sendAttempt(*query, partIndex, available[chosen], true, now)) {
        ++query->hedges;
        this->report(Reason::hedged, id, available[chosen]->identity.id);
    }
}

void QueryEngine::closeAttempt(PartAttempt &attempt)
{
    assert(attempt.open && "an attempt is closed once");
    attempt.open = false;
    this->timers.cancel(attempt.timeout);
    attempt.server->release();
}

/// Records the time that a server has left an attempt unanswered. Its latency is at least that long.
void QueryEngine::recordPendingLatency(const PartAttempt &attempt, Instant now)
{
    const Duration waited = now - attempt.sentAt;
    attempt.server->unansweredAttempts.fetch_add(1, std::memory_order_relaxed);
    if (waited.count() > attempt.server->meanLatencyUs()) {
        attempt.server->recordLatency(waited, now);
    }
}

void QueryEngine::cancelAttempt(const ActiveQuery &query, PartAttempt &attempt, Instant now)
{
    assert(attempt.open && "an attempt is closed once");
    attempt.open = false;
    this->timers.cancel(attempt.timeout);
    recordPendingLatency(attempt, now);
    if (this->isBadLatency(query, *attempt.server, now - attempt.sentAt)) {
        attempt.server->recordAttemptEnd(true);
    }
    // The server may still run the request, so the permit is released only by `SubRequestEnded`.
    this->cancelling.emplace(std::pair(query.request.id, attempt.id), attempt.server);
    this->actions.emplace_back(CancelSubRequest{.query = query.request.id, .attempt = attempt.id, .serverId = attempt.server->identity.id});
}

void QueryEngine::onSubRequestEnded(const SubRequestEnded &event, Instant now)
{
    const auto found = this->cancelling.find({event.query, event.attempt});
    if (found == this->cancelling.end()) {
        return;
    }
    found->second->release();
    if (event.answered) {
        found->second->recordResponseSeen();
    }
    if (event.statement) {
        this->recordServerStatement(event.query, *found->second, *event.statement, std::nullopt, now);
    }
    this->cancelling.erase(found);
    this->dispatchWaiting(now);
}

void QueryEngine::cancelOpenAttempts(ActiveQuery &query, QueryPart &part, Instant now)
{
    this->timers.cancel(part.hedgeTimer);
    for (PartAttempt &attempt : part.attempts) {
        if (attempt.open) {
            this->cancelAttempt(query, attempt, now);
        }
    }
}

std::optional<QueryEngine::AttemptPosition> QueryEngine::findOpenAttempt(const ActiveQuery &query, AttemptId id)
{
    for (std::size_t part = 0; part < query.parts.size(); ++part) {
        const std::vector<PartAttempt> &attempts = query.parts[part].attempts;
        for (std::size_t index = 0; index < attempts.size(); ++index) {
            if (attempts[index].id == id && attempts[index].open) {
                return AttemptPosition{.part = part, .attempt = index};
            }
        }
    }
    return std::nullopt;
}

std::optional<QueryEngine::AttemptPosition>
QueryEngine::findAnsweredAttempt(QueryId id, AttemptId attempt, const std::optional<ServerStatement> &statement, Instant now)
{
    const ActiveQuery *query = this->find(id);
    const std::optional<AttemptPosition> found = query == nullptr ? std::nullopt : findOpenAttempt(*query, attempt);
    if (!found) {
        this->onSubRequestEnded({.query = id, .attempt = attempt, .answered = true, .statement = statement}, now);
        this->report(Reason::lateAnswerDropped, id);
    }
    return found;
}

void QueryEngine::onSubRequestAnswered(const SubRequestAnswered &event, Instant now)
{
    const std::optional<AttemptPosition> found = this->findAnsweredAttempt(event.query, event.attempt, std::nullopt, now);
    if (!found) {
        return;
    }
    ActiveQuery *query = this->find(event.query);
    QueryPart &part = query->parts[found->part];
    PartAttempt &attempt = part.attempts[found->attempt];
    const ServerPointer server = attempt.server;
    const bool action = !query->kind->repeatable;
    const bool matches = action
        || (event.answer.snapshot == query->snapshot && !event.answer.range.empty() && event.answer.range.begin >= part.range.begin
            && event.answer.range.end <= part.range.end);
    if (!matches) {
        this->report(Reason::wrongSnapshotDropped, event.query, server->identity.id);
        this->onSubRequestFailed(
            {.query = event.query, .attempt = event.attempt, .failure = SubFailure::protocol, .report = event.answer.report, .answer = std::nullopt}, now);
        return;
    }
    const Duration latency = now - attempt.sentAt;
    this->closeAttempt(attempt);
    this->applyReport(*server, event.answer.report, now);
    this->recordSuccessfulAttempt(*query, *server, latency, event.answer.report.cold, now);
    if (action) {
        const std::string outcome = event.answer.results.empty() ? std::string() : event.answer.results.front().text;
        this->finishAction(*query, RunState::ran, Reason::completed, outcome, now);
        return;
    }
    this->cancelOpenAttempts(*query, part, now);
    if (query->covered.overlaps(event.answer.range)) {
        this->report(Reason::overlappingAnswerDropped, event.query, server->identity.id);
        part.state = PartState::failed;
    } else {
        this->mergeAnswer(*query, part, event.answer, now);
    }
    const KeyRange requestedRange = part.range;
    const std::size_t plannedParts = query->parts.size();
    if (event.answer.range != requestedRange) {
        this->planRemainder(*query, requestedRange);
    }
    if (query->canaryPending) {
        this->releaseCanary(*query, now);
    } else {
        for (std::size_t index = plannedParts; index < query->parts.size(); ++index) {
            this->dispatch(*query, index, now);
            query = this->find(event.query);
            if (query == nullptr) {
                return;
            }
        }
    }
    query = this->find(event.query);
    if (query != nullptr) {
        this->finishIfDone(*query, now);
    }
    this->dispatchWaiting(now);
}

void QueryEngine::onAttemptTimeout(QueryId id, AttemptId attempt, Instant now)
{
    ActiveQuery *query = this->find(id);
    const std::optional<AttemptPosition> found = query == nullptr ? std::nullopt : findOpenAttempt(*query, attempt);
    if (!found) {
        return;
    }
    PartAttempt &timedOut = query->parts[found->part].attempts[found->attempt];
    const ServerPointer server = timedOut.server;
    this->report(Reason::attemptTimedOut, id, server->identity.id);
    this->cancelAttempt(*query, timedOut, now);
    this->handleFailure(
        *query, found->part, server, {.query = id, .attempt = attempt, .failure = SubFailure::timeout, .report = std::nullopt, .answer = std::nullopt}, now);
}

void QueryEngine::onSubRequestFailed(const SubRequestFailed &event, Instant now)
{
    ActiveQuery *query = this->find(event.query);
    const std::optional<AttemptPosition> found = query == nullptr ? std::nullopt : findOpenAttempt(*query, event.attempt);
    if (!found) {
        const std::optional<ServerStatement> statement = event.answer ? std::optional(event.answer->statement) : std::nullopt;
        this->onSubRequestEnded({.query = event.query, .attempt = event.attempt, .answered = event.answer.has_value(), .statement = statement}, now);
        return;
    }
    PartAttempt &attempt = query->parts[found->part].attempts[found->attempt];
    const ServerPointer server = attempt.server;
    this->closeAttempt(attempt);
    this->handleFailure(*query, found->part, server, event, now);
}

void QueryEngine::handleFailure(ActiveQuery &query, std::size_t partIndex, const ServerPointer &server, const SubRequestFailed &event, Instant now)
{
    QueryPart &part = query.parts[partIndex];
    if (event.report) {
        this->applyReport(*server, *event.report, now);
    }
    if (event.answer) {
        this->recordServerStatement(event.query, *server, event.answer->statement, std::nullopt, now);
    }
    const std::string status = event.answer ? " status " + std::to_string(event.answer->status) : std::string();
    this->report(Reason::attemptFailed, event.query, server->identity.id, std::string(toString(event.failure)) + status);
    this->recordFailure(query, *server, event.failure, now);
    if (provesNotRun(event.failure)) {
        --part.possibleRuns;
    }
    if (event.failure == SubFailure::serverError) {
        query.serverFailure = event.answer;
        this->recordServedContent(query, now);
    }
    const auto ended = std::find_if(part.attempts.begin(), part.attempts.end(), [&event](const PartAttempt &each) { return each.id == event.attempt; });
    assert(ended != part.attempts.end() && "a failed attempt belongs to its part");
    if (event.answer) {
        this->recordServerAlive(query, *ended, now);
    } else if (event.failure == SubFailure::lost) {
        this->recordPossibleCrash(query, *ended, now);
    }
    const bool serverSurvived = provesNotRun(event.failure) || event.failure == SubFailure::closed;
    if (query.canaryPending && serverSurvived) {
        --query.canaryExposure;
    }
    part.snapshotGone = event.failure == SubFailure::snapshotGone;
    if (!query.kind->repeatable && query.route != nullptr && !provesNotRun(event.failure)) {
        this->finishForward(query, Reason::unknownOutcome, now);
        return;
    }
    if (!query.kind->repeatable && query.route == nullptr) {
        if (event.failure == SubFailure::connectFailed) {
            // No byte was sent, so the action cannot have run, and another server is tried.
            this->sendAction(query, now);
            return;
        }
        const bool notRun = provesNotRun(event.failure);
        this->finishAction(query, notRun ? RunState::notRun : RunState::outcomeUnknown, notRun ? Reason::noReplica : Reason::unknownOutcome, {}, now);
        return;
    }
    if (event.failure == SubFailure::lost && query.canaryPending) {
        // Crashes are reported only while the content is unknown: content that has completed before does not crash
        // every server that runs it. The part is retried when the report has reached the other instances.
        this->report(Reason::crashReported, event.query, server->identity.id);
        this->actions.emplace_back(ReportCrash{.query = event.query, .fingerprint = query.request.fingerprint, .serverId = server->identity.id});
        part.state = PartState::awaitingCrashReport;
        this->timers.cancel(part.hedgeTimer);
        return;
    }
    if (part.hasOpenAttempt()) {
        return;
    }
    this->retryOrGiveUp(query, partIndex, event.failure, now);
    this->dispatchWaiting(now);
}

void QueryEngine::retryOrGiveUp(ActiveQuery &query, std::size_t partIndex, SubFailure failure, Instant now)
{
    QueryPart &part = query.parts[partIndex];
    if (part.hasOpenAttempt()) {
        part.state = PartState::inFlight;
        return;
    }
    if (query.route != nullptr && this->failIfHeldBack(query, part, now)) {
        this->continueAfterFailedPart(query, now);
        return;
    }
    GroupState &state = this->groupState(query.key);
    const RetryContext context{
        .failure = failure, .partAttempts = static_cast<int>(part.attempts.size()), .urgency = query.kind->urgency, .timeLeft = query.timeLeft(now)};
    bool anyUsable = false;
    this->candidates(query, part, now, anyUsable);
    // An attempt without a connection added no load to a server, so its retry needs no budget.
    const bool withinAllowance = failure == SubFailure::connectFailed || this->allowsExtraRequest(query, part, ExtraRequestPurpose::retry);
    const bool mayHelp = failure != SubFailure::expired && failure != SubFailure::unsendable;
    const bool allowed = mayHelp && anyUsable && mayAttempt(query, part) && this->mayExposeAnotherServer(query, now) && withinAllowance;
    if (allowed && state.retry->retry(context, this->budgetOf(query, part))) {
        ++query.retries;
        this->report(Reason::retried, query.request.id);
        this->dispatch(query, partIndex, now);
        return;
    }
    if (!anyUsable && failure == SubFailure::snapshotGone && this->rerunOnNextSnapshot(query, now)) {
        return;
    }
    part.state = PartState::failed;
    query.expectedWait = std::max(query.expectedWait, statedWait(part, now));
    this->report(anyUsable ? Reason::retryBudgetSpent : Reason::noReplica, query.request.id);
    this->continueAfterFailedPart(query, now);
}

bool QueryEngine::mayExposeAnotherServer(const ActiveQuery &query, Instant now)
{
    if (!query.canaryPending) {
        return true;
    }
    // A server that crashed on this query may be counted in both numbers, so they are not added.
    const int crashed = this->quarantineList.crashedServers(query.request.fingerprint, now);
    return std::max(query.canaryExposure, crashed) < QUARANTINE_SERVERS;
}

void QueryEngine::continueAfterFailedPart(ActiveQuery &query, Instant now)
{
    if (!query.canaryPending) {
        this->finishIfDone(query, now);
        return;
    }
    // Another part becomes the canary, unless this content may already have crashed the tolerated number of servers.
    const auto next = std::find_if(query.parts.begin(), query.parts.end(), [](const QueryPart &part) { return part.state == PartState::idle; });
    if (next == query.parts.end() || !this->mayExposeAnotherServer(query, now)) {
        this->finishSearch(query, Reason::noReplica, now);
        return;
    }
    this->dispatch(query, static_cast<std::size_t>(next - query.parts.begin()), now);
}

} // namespace ragwort
