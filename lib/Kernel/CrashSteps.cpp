/// \file
/// Steps of forwarded requests whose servers crash: evidence against their content, trials of suspected contents and quarantine.
#include "QueryState.h"
#include "ragwortcart/Kernel/QueryEngine.h"
#include "ragwortcart/Support/Hash.h"

namespace ragwort {

/// Number of attempts of a query lost with their servers from which on its parts run one at a time.
static constexpr int LOST_ATTEMPTS_BEFORE_TRIAL = 2;

static bool hasPart(const ActiveQuery &query, PartState state)
{
    return std::any_of(query.parts.begin(), query.parts.end(), [state](const QueryPart &part) { return part.state == state; });
}

void QueryEngine::recordPossibleCrash(ActiveQuery &query, const PartAttempt &lost, Instant now)
{
    if (query.route == nullptr) {
        return;
    }
    ++query.lostAttempts;
    if (hasPart(query, PartState::done)) {
        // Servers of other shards have survived the same request.
        return;
    }
    const std::string &serverId = lost.server->identity.id;
    const CrashVerdict verdict
        = this->crashEvidence.recordCrash({.fingerprint = query.request.fingerprint, .serverId = serverId, .sentAt = lost.sentAt, .lostAt = now});
    const std::string detail = "content " + toHex(query.request.fingerprint) + " crashes " + std::to_string(verdict.crashes);
    this->report(Reason::crashReported, query.request.id, serverId, detail);
    if (verdict.startsQuarantine) {
        this->report(Reason::contentQuarantined, query.request.id, serverId, detail);
    }
}

void QueryEngine::recordServedContent(const ActiveQuery &query, Instant now)
{
    if (query.route != nullptr) {
        this->crashEvidence.recordServed({.fingerprint = query.request.fingerprint, .servedAt = now});
    }
}

void QueryEngine::recordServerAlive(const ActiveQuery &query, const PartAttempt &attempt, Instant now)
{
    if (query.route != nullptr) {
        this->crashEvidence.recordAlive(attempt.server->identity.id, attempt.sentAt, now);
    }
}

bool QueryEngine::isSuspectedContent(const ActiveQuery &query, Instant now)
{
    return query.route != nullptr && this->crashEvidence.isSuspected(query.request.fingerprint, now);
}

bool QueryEngine::mayRunContent(ActiveQuery &query, std::size_t partIndex, Instant now)
{
    QueryPart &part = query.parts[partIndex];
    const Duration quarantineLeft = this->crashEvidence.quarantineLeft(query.request.fingerprint, now);
    if (quarantineLeft > Duration::zero()) {
        part.state = PartState::failed;
        query.expectedWait = std::max(query.expectedWait, quarantineLeft);
        this->report(Reason::refusedQuarantined, query.request.id, {}, "content " + toHex(query.request.fingerprint));
        this->continueAfterFailedPart(query, now);
        return false;
    }
    const bool suspected = query.lostAttempts >= LOST_ATTEMPTS_BEFORE_TRIAL || this->isSuspectedContent(query, now);
    if (!suspected || hasPart(query, PartState::done)) {
        return true;
    }
    const bool othersRun = std::any_of(query.parts.begin(), query.parts.end(), [](const QueryPart &each) { return each.hasOpenAttempt(); });
    if (!othersRun) {
        return true;
    }
    part.state = PartState::idle;
    query.onTrial = true;
    return false;
}

void QueryEngine::continueTrial(ActiveQuery &query, Instant now)
{
    const bool trialRuns = std::any_of(
        query.parts.begin(), query.parts.end(), [](const QueryPart &part) { return part.state == PartState::inFlight || part.state == PartState::waiting; });
    const bool survived = hasPart(query, PartState::done);
    if (!query.onTrial || (trialRuns && !survived)) {
        return;
    }
    query.onTrial = false;
    // Dispatching sets the flag again for the parts that still have to wait.
    this->dispatchIdle(query, 0, query.parts.size(), now);
}

} // namespace ragwort
