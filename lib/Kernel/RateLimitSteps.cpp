/// \file
/// Steps for servers that limit the requests that they accept from all instances together: recording a limit, and the decision that a part
/// or a query cannot be served in time under the limits of its servers.
#include "QueryState.h"
#include "ragwortcart/Kernel/QueryEngine.h"

#include <algorithm>
#include <cassert>

namespace ragwort {

void QueryEngine::recordServerStatement(QueryId query, ServerRecord &server, const ForwardedAnswer &answer, std::optional<Instant> sentAt, Instant now)
{
    if (answer.load) {
        server.reportedLoad.store(answer.load->running + answer.load->waiting, std::memory_order_relaxed);
    }
    if (!answer.acceptedRate) {
        if (sentAt && server.endRateLimit(*sentAt)) {
            this->report(Reason::serverLimitEnded, query, server.identity.id);
        }
        return;
    }
    // The generator is uniform in [0, 2^32).
    const double phase = static_cast<double>(this->random()) / 4294967296.0;
    if (server.limitRate(*answer.acceptedRate, phase, now)) {
        this->report(Reason::serverLimited,
                     query,
                     server.identity.id,
                     "per_s " + std::to_string(*answer.acceptedRate) + " sharers " + std::to_string(server.rateSharers.load(std::memory_order_relaxed)));
    }
}

std::optional<Duration> QueryEngine::rateLimitedWait(const QueryPart &part, Instant now)
{
    const std::vector<ServerPointer> usable = this->usableReplicas(part, now);
    const auto limited = [](const ServerPointer &server) { return server->isRateLimited(); };
    if (usable.empty() || !std::all_of(usable.begin(), usable.end(), limited)) {
        return std::nullopt;
    }
    Instant earliest = Instant::max();
    double requestsPerUs = 0.0;
    for (const ServerPointer &server : usable) {
        earliest = std::min(earliest, server->nextLimitedRequest());
        requestsPerUs += 1.0 / static_cast<double>(std::max<std::int64_t>(server->limitedInterval().count(), 1));
    }
    const auto ahead = std::count_if(this->waitingParts.begin(), this->waitingParts.end(), [this, &part](const auto &waiting) {
        const ActiveQuery *query = this->find(waiting.first);
        return query != nullptr && waiting.second < query->parts.size() && query->parts[waiting.second].service == part.service;
    });
    const Duration untilEarliest = std::max(earliest - now, Duration::zero());
    return untilEarliest + Duration(static_cast<std::int64_t>(static_cast<double>(ahead) / requestsPerUs));
}

bool QueryEngine::isHeldBack(const ActiveQuery &query, Duration wait, Instant now)
{
    assert(query.route != nullptr && "only servers of routes state limits");
    Instant latestStart = query.request.deadline - REPLY_MARGIN;
    if (std::holds_alternative<ShardSet>(query.route->target) && !query.pastObjective) {
        latestStart = std::min(latestStart, query.request.arrival + query.route->latencyObjective - OBJECTIVE_MARGIN);
    }
    // A request that starts later could not be answered in time.
    return now + wait + this->groupState(query.key).meanDuration >= latestStart;
}

std::optional<Duration> QueryEngine::minimumShareWait(const ActiveQuery &query, Instant now)
{
    const auto held = [this, &query, now](const QueryPart &part) -> std::optional<Duration> {
        const std::optional<Duration> wait = this->rateLimitedWait(part, now);
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
