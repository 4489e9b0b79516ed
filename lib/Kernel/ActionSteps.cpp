/// \file
/// Steps of an at-most-once action: the claim, the send to a single server, and the record of the outcome.
#include "QueryState.h"
#include "ragwortcart/Kernel/QueryEngine.h"
#include "ragwortcart/Support/Hash.h"

namespace ragwort {

void QueryEngine::startAction(ActiveQuery &query, Instant now)
{
    (void)now;
    query.phase = QueryPhase::claiming;
    this->actions.emplace_back(RequestClaim{.query = query.request.id,
                                            .team = query.request.team,
                                            .key = query.request.idempotencyKey,
                                            .fingerprint = query.request.fingerprint,
                                            .deadline = query.request.deadline - REPLY_MARGIN});
}

void QueryEngine::onClaimDecided(const ClaimDecided &event, Instant now)
{
    ActiveQuery *query = this->find(event.query);
    if (query == nullptr || query->phase != QueryPhase::claiming) {
        if (event.verdict == ClaimVerdict::granted) {
            // The query ended while the claim was pending, and nothing was sent. The outcome `notRun` releases the
            // claim.
            this->actions.emplace_back(RecordClaimOutcome{.query = event.query, .state = RunState::notRun, .outcome = {}});
        }
        return;
    }
    query->phase = QueryPhase::running;
    switch (event.verdict) {
    case ClaimVerdict::granted:
        this->sendAction(*query, now);
        return;
    case ClaimVerdict::alreadyRan: {
        this->report(Reason::replayed, event.query);
        Answer answer{.state = RunState::ran, .reason = std::string(toString(Reason::replayed)), .success = true, .outcome = event.recordedOutcome};
        answer.replayed = true;
        this->finish(*query, std::move(answer), now);
        return;
    }
    case ClaimVerdict::heldElsewhere: {
        this->report(Reason::claimHeldElsewhere, event.query);
        Answer answer{.state = RunState::outcomeUnknown, .reason = std::string(toString(Reason::claimHeldElsewhere))};
        this->finish(*query, std::move(answer), now);
        return;
    }
    case ClaimVerdict::contentDiffers: {
        this->report(Reason::claimContentDiffers, event.query);
        Answer answer{.state = RunState::notRun, .reason = std::string(toString(Reason::claimContentDiffers))};
        this->finish(*query, std::move(answer), now);
        return;
    }
    case ClaimVerdict::unavailable: {
        this->report(Reason::claimUnavailable, event.query);
        Answer answer{.state = RunState::notRun, .reason = std::string(toString(Reason::claimUnavailable)), .retryAfter = std::chrono::seconds(1)};
        this->finish(*query, std::move(answer), now);
        return;
    }
    }
}

/// Sends the action to one server of the shard that the hash of its content falls into. Called again if no connection
/// could be established or if the action waited for a permit; the shard then stays the same.
void QueryEngine::sendAction(ActiveQuery &query, Instant now)
{
    if (query.timeLeft(now) <= Duration::zero()) {
        this->finishAction(query, RunState::notRun, Reason::deadlineReached, {}, now);
        return;
    }
    if (query.parts.empty()) {
        const auto usable = [](const ServerRecord &server) { return !server.isExcluded(); };
        const std::shared_ptr<const Topology> current = this->topology.get();
        const auto group = current->groups.find(query.key);
        std::optional<SnapshotPlan> plan;
        if (group != current->groups.end()) {
            plan = chooseSnapshot(group->second, usable, {});
        }
        const DocumentKey key = stableHash(query.request.text) % KEY_SPACE_END;
        for (const PlannedPart &part : plan ? plan->parts : std::vector<PlannedPart>()) {
            if (part.range.contains(key)) {
                query.parts.push_back({.range = part.range, .replicas = part.replicas});
            }
        }
        query.snapshot = plan ? plan->snapshot : 0;
    }
    if (query.parts.empty()) {
        this->finishAction(query, RunState::notRun, Reason::noReplica, {}, now);
        return;
    }
    bool anyUsable = false;
    std::vector<ServerPointer> available = this->candidates(query, query.parts.front(), now, anyUsable);
    while (!available.empty()) {
        const std::size_t chosen = this->groupState(query.key).balance->choose(available, now, this->random);
        if (this->sendAttempt(query, 0, available[chosen], false, now)) {
            return;
        }
        available.erase(available.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    if (anyUsable) {
        this->waitForPermit(query, 0, now);
        return;
    }
    this->finishAction(query, RunState::notRun, Reason::noReplica, {}, now);
}

void QueryEngine::finishAction(ActiveQuery &query, RunState state, Reason reason, const std::string &outcome, Instant now)
{
    // While the claim is pending, there is no claim to record an outcome in.
    if (query.phase == QueryPhase::running) {
        this->actions.emplace_back(RecordClaimOutcome{.query = query.request.id, .state = state, .outcome = outcome});
    }
    this->report(reason, query.request.id);
    Answer answer{.state = state, .reason = std::string(toString(reason)), .success = state == RunState::ran, .outcome = outcome};
    if (state == RunState::notRun) {
        answer.retryAfter = std::chrono::seconds(1);
    }
    this->finish(query, std::move(answer), now);
}

} // namespace ragwort
