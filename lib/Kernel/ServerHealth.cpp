/// \file
/// Updates the server records from responses and failures: latency, ejection, cold starts and warm-up.
#include "QueryState.h"
#include "ragwortcart/Kernel/QueryEngine.h"
#include "ragwortcart/Kernel/Shares.h"

namespace ragwort {

static constexpr int EJECT_AFTER_CONSECUTIVE_FAILURES = 3;
static constexpr Duration EJECTION_TIME = std::chrono::seconds(2);
/// A response slower than this multiple of the median of its service or route counts as slow.
static constexpr int SLOW_FACTOR = 5;
/// An attempt slower than this multiple is reported to peers as bad. The factor is lower, because peers only avoid the
/// server for a while.
static constexpr double BAD_LATENCY_FACTOR = 2.5;
/// Number of recent samples below which no attempt counts as slow or bad.
static constexpr std::uint64_t SLOW_MINIMUM_SAMPLES = 50;
/// Number of consecutive slow responses after which a server is treated as cold, whatever it reports.
static constexpr int COLD_AFTER_SLOW_ANSWERS = 6;
/// Number of successful responses that complete a warm-up level. More are needed while the server reports itself as
/// cold.
static constexpr int WARM_UP_ANSWERS = 8;
static constexpr int WARM_UP_ANSWERS_WHILE_REPORTED_COLD = 64;

/// Returns the time until which this instance owns the warm-up of \p server.
static Instant ownerUntil(const ServerRecord &server)
{
    return Instant(Duration(server.coldOwnerUntilUs.load(std::memory_order_acquire)));
}

void QueryEngine::applyReport(ServerRecord &server, const ServerReport &report, Instant now)
{
    server.reportedLoad.store(report.load, std::memory_order_relaxed);
    server.setExclusion(ServerRecord::draining, report.draining);
    if (report.incarnation == 0) {
        return;
    }
    const std::uint64_t before = server.incarnation.exchange(report.incarnation);
    const bool restarted = before != 0 && before != report.incarnation;
    server.coldSuspected.store(false, std::memory_order_release);
    server.confirm(now);
    if (!restarted && !(report.cold && !server.cold.load())) {
        return;
    }
    const std::shared_ptr<const Configuration> configured = this->configuration.get();
    const TeamConfiguration *team = configured->findTeam(server.identity.team);
    const BackendGroup *group = team == nullptr ? nullptr : team->findGroup(server.identity.group);
    if (group != nullptr) {
        this->markCold(server, *group);
    }
}

void QueryEngine::suspectCold(ServerRecord &server, const BackendGroup &group)
{
    if (server.cold.load() || server.coldSuspected.exchange(true)) {
        return;
    }
    server.warmUpLevel.store(0);
    updateShares(server, group, this->topology.get()->shareInputs.forServer(ownerUntil(server)));
}

void QueryEngine::markCold(ServerRecord &server, const BackendGroup &group)
{
    server.warmUpLevel.store(0);
    server.warmUpAnswers.store(0);
    server.consecutiveSlow.store(0);
    updateShares(server, group, this->topology.get()->shareInputs.forServer(ownerUntil(server)));
    server.cold.store(true, std::memory_order_release);
    this->report(Reason::serverCold, 0, server.identity.id);
    this->actions.emplace_back(AnnounceWarmUp{.serverId = server.identity.id, .incarnation = server.incarnation.load(), .level = 0, .cold = true});
}

bool QueryEngine::isBadLatency(const ActiveQuery &query, const ServerRecord &server, Duration latency)
{
    const std::optional<Duration> median = this->groupState(query.key).latencyFor(latencyKeyOf(query, server)).quantile(0.5, SLOW_MINIMUM_SAMPLES);
    return median && static_cast<double>(latency.count()) > static_cast<double>(median->count()) * BAD_LATENCY_FACTOR;
}

void QueryEngine::recordSuccessfulAttempt(ActiveQuery &query, ServerRecord &server, Duration latency, bool reportedCold, Instant now)
{
    server.consecutiveFailures.store(0, std::memory_order_relaxed);
    server.recordResponseSeen();
    server.recordServed(true, now);
    if (server.recordServedAfterPause(now)) {
        this->report(Reason::serverPauseEnded, query.request.id, server.identity.id, "over_ms " + std::to_string(toMs(now - server.pauseEnd())));
    }
    server.recordLatency(latency, now);
    server.recordAttemptEnd(this->isBadLatency(query, server, latency));
    GroupState &state = this->groupState(query.key);
    const std::string &latencyKey = latencyKeyOf(query, server);
    // A restart of such a server creates a new record, so that a slow response does not indicate an unnoticed restart.
    if (query.group->newServerIdPerStart) {
        state.latencies[latencyKey].record(latency, now);
        state.groupLatency.record(latency, now);
        return;
    }
    const std::optional<Duration> median = state.latencyFor(latencyKey).quantile(0.5, SLOW_MINIMUM_SAMPLES);
    const bool slow = median && latency > *median * SLOW_FACTOR;
    if (!server.cold.load(std::memory_order_acquire)) {
        state.latencies[latencyKey].record(latency, now);
        state.groupLatency.record(latency, now);
        const int slowInRow = slow ? server.consecutiveSlow.fetch_add(1) + 1 : 0;
        if (!slow) {
            server.consecutiveSlow.store(0);
        }
        if (slowInRow >= COLD_AFTER_SLOW_ANSWERS) {
            this->markCold(server, *query.group);
        }
        return;
    }
    if (slow || !server.ownsWarmUp(now)) {
        return;
    }
    const int needed = reportedCold ? WARM_UP_ANSWERS_WHILE_REPORTED_COLD : WARM_UP_ANSWERS;
    if (server.warmUpAnswers.fetch_add(1) + 1 < needed) {
        return;
    }
    server.warmUpAnswers.store(0);
    const int level = server.warmUpLevel.fetch_add(1) + 1;
    updateShares(server, *query.group, this->topology.get()->shareInputs.forServer(ownerUntil(server)));
    const bool warm = (static_cast<std::int64_t>(query.group->coldCapacity) << level) >= query.group->connections;
    if (warm) {
        server.cold.store(false, std::memory_order_release);
    }
    this->report(Reason::serverWarmer, query.request.id, server.identity.id);
    this->actions.emplace_back(AnnounceWarmUp{.serverId = server.identity.id, .incarnation = server.incarnation.load(), .level = level, .cold = !warm});
}

void QueryEngine::recordFailure(ActiveQuery &query, ServerRecord &server, SubFailure failure, Instant now)
{
    if (failure == SubFailure::expired || failure == SubFailure::unsendable) {
        // The server has not seen the request.
        return;
    }
    server.failed.fetch_add(1, std::memory_order_relaxed);
    server.recordServed(false, now);
    // A server that sheds load is not necessarily slow. A timed-out attempt was already counted when it was cancelled,
    // if it was slow.
    if (failure != SubFailure::shed && failure != SubFailure::timeout) {
        server.recordAttemptEnd(true);
    }
    switch (failure) {
    case SubFailure::draining:
        server.setExclusion(ServerRecord::draining, true);
        return;
    case SubFailure::expired:
    case SubFailure::unsendable:
    case SubFailure::shed:
    case SubFailure::snapshotGone:
        return;
    case SubFailure::misdirected:
        server.setExclusion(ServerRecord::gone, true);
        return;
    case SubFailure::connectFailed:
    case SubFailure::lost:
        if (!query.group->newServerIdPerStart) {
            this->suspectCold(server, *query.group);
        }
        break;
    case SubFailure::closed:
    case SubFailure::timeout:
    case SubFailure::protocol:
    case SubFailure::serverError:
        break;
    }
    if (server.consecutiveFailures.fetch_add(1) + 1 >= EJECT_AFTER_CONSECUTIVE_FAILURES) {
        server.consecutiveFailures.store(0);
        server.ejectedUntilUs.store((now + EJECTION_TIME).time_since_epoch().count(), std::memory_order_relaxed);
        this->report(Reason::serverEjected, query.request.id, server.identity.id);
    }
}

} // namespace ragwort
