/// \file
/// Steps for servers that hold instances back: they limit the requests that they accept from all instances together, ask one instance for a
/// pause, or are about to leave. Records what they state and decides whether a part or a query can still be served in time.
#include "QueryState.h"
#include "ragwortcart/Kernel/QueryEngine.h"

#include <algorithm>
#include <cassert>

namespace ragwort {

double QueryEngine::randomFraction()
{
    // The generator is uniform in [0, 2^32).
    return static_cast<double>(this->random()) / 4294967296.0;
}

void QueryEngine::recordServerStatement(QueryId query, ServerRecord &server, const ServerStatement &statement, std::optional<Instant> sentAt, Instant now)
{
    if (statement.load) {
        server.reportedLoad.store(statement.load->running + statement.load->waiting, std::memory_order_relaxed);
    }
    if (statement.leaving && (server.exclusions.load(std::memory_order_acquire) & ServerRecord::statedLeaving) == 0) {
        server.setExclusion(ServerRecord::statedLeaving, true);
        this->report(Reason::serverLeaving, query, server.identity.id, "service " + server.identity.service + " domain " + server.identity.domain);
    }
    if (statement.requestedPause && server.startPause(*statement.requestedPause, this->randomFraction(), now)) {
        this->report(Reason::serverPaused, query, server.identity.id, "pause_ms " + std::to_string(toMs(*statement.requestedPause)));
    }
    if (!statement.acceptedRate) {
        if (sentAt && server.endRateLimit(*sentAt)) {
            this->report(Reason::serverLimitEnded, query, server.identity.id);
        }
        return;
    }
    if (server.limitRate(*statement.acceptedRate, this->randomFraction(), now)) {
        this->report(Reason::serverLimited,
                     query,
                     server.identity.id,
                     "per_s " + std::to_string(*statement.acceptedRate) + " sharers " + std::to_string(server.rateSharers.load(std::memory_order_relaxed)));
    }
}

/// Returns how many requests per microsecond the server accepts from this instance. A server that states no limit is taken to accept one.
static double acceptedPerUs(const ServerRecord &server)
{
    return server.isRateLimited() ? 1.0 / static_cast<double>(std::max<std::int64_t>(server.limitedInterval().count(), 1)) : 1.0;
}

std::optional<Duration> QueryEngine::heldBackWait(const QueryPart &part, Instant now)
{
    const std::vector<ServerPointer> usable = this->usableReplicas(part, now);
    const auto holdsBack = [now](const ServerPointer &server) { return server->holdsBack(now); };
    if (usable.empty() || !std::all_of(usable.begin(), usable.end(), holdsBack)) {
        return std::nullopt;
    }
    Instant earliest = Instant::max();
    double requestsPerUs = 0.0;
    for (const ServerPointer &server : usable) {
        earliest = std::min(earliest, server->nextAcceptedRequest());
        requestsPerUs += acceptedPerUs(*server);
    }
    const auto ahead = std::count_if(this->waitingParts.begin(), this->waitingParts.end(), [this, &part](const auto &waiting) {
        const ActiveQuery *query = this->find(waiting.first);
        return query != nullptr && waiting.second < query->parts.size() && query->parts[waiting.second].service == part.service;
    });
    const Duration untilEarliest = std::max(earliest - now, Duration::zero());
    return untilEarliest + Duration(static_cast<std::int64_t>(static_cast<double>(ahead) / requestsPerUs));
}

bool QueryEngine::failIfHeldBack(ActiveQuery &query, QueryPart &part, Instant now)
{
    const std::optional<Duration> wait = this->heldBackWait(part, now);
    if (!wait || !this->isHeldBack(query, *wait, now)) {
        return false;
    }
    part.state = PartState::failed;
    query.expectedWait = std::max(query.expectedWait, *wait);
    this->report(Reason::heldBackByServers, query.request.id, part.service, "wait_us " + std::to_string(wait->count()));
    return true;
}

Duration QueryEngine::statedWait(const QueryPart &part, Instant now)
{
    Instant earliest = Instant::max();
    for (const ServerPointer &server : part.replicas) {
        if (!server->isExcluded()) {
            earliest = std::min(earliest, server->holdsBack(now) ? server->nextAcceptedRequest() : now);
        }
    }
    return earliest == Instant::max() ? Duration::zero() : std::max(earliest - now, Duration::zero());
}

bool QueryEngine::isHeldBack(const ActiveQuery &query, Duration wait, Instant now)
{
    assert(query.route != nullptr && "only servers of routes state limits");
    Instant latestStart = query.request.deadline - REPLY_MARGIN;
    if (std::holds_alternative<ShardSet>(query.route->target) && !query.pastObjective) {
        const ShardSelection *selection = query.selection();
        const Instant objective = selection != nullptr ? selection->answerBy : query.request.arrival + query.route->latencyObjective - OBJECTIVE_MARGIN;
        latestStart = std::min(latestStart, objective);
    }
    // A request that starts later could not be answered in time.
    return now + wait + this->groupState(query.key).meanDuration >= latestStart;
}

std::optional<Duration> QueryEngine::minimumShareWait(const ActiveQuery &query, Instant now)
{
    const auto held = [this, &query, now](const QueryPart &part) -> std::optional<Duration> {
        const std::optional<Duration> wait = this->heldBackWait(part, now);
        return wait && this->isHeldBack(query, *wait, now) ? wait : std::nullopt;
    };
    std::vector<Duration> waits;
    for (const QueryPart &part : query.parts) {
        if (const std::optional<Duration> wait = held(part)) {
            waits.push_back(*wait);
        }
    }
    const std::size_t all = query.parts.size();
    if (waits.empty() || meetsMinimumShare(query, all - waits.size(), all)) {
        return std::nullopt;
    }
    std::sort(waits.begin(), waits.end());
    std::size_t needed = 1;
    while (needed < waits.size() && !meetsMinimumShare(query, all - waits.size() + needed, all)) {
        ++needed;
    }
    return waits[needed - 1];
}

} // namespace ragwort
