/// \file
/// Implements the counts of attempts at servers and the warnings derived from them.
#include "ragwortcart/Control/ServerAttemptAggregator.h"

namespace ragwort {

/// Factor applied to the counts after each interval.
static constexpr double COUNT_DECAY = 0.5;
/// Minimum number of attempts for a warning.
static constexpr double MIN_ATTEMPTS = 3.0;
static constexpr double NEGLIGIBLE_ATTEMPTS = 0.1;
/// A server that pauses occasionally, for a small part of an interval, stays below this share of bad attempts.
static constexpr double BAD_SHARE_THRESHOLD = 0.4;

std::vector<ServerAttemptCounts> collectAttemptCounts(const Topology &topology)
{
    std::vector<ServerAttemptCounts> attemptCounts;
    for (const auto &[id, server] : topology.servers) {
        const std::uint32_t ended = server->endedAttempts.exchange(0, std::memory_order_relaxed);
        const std::uint32_t bad = server->badAttempts.exchange(0, std::memory_order_relaxed);
        if (ended > 0) {
            attemptCounts.push_back({.serverId = id, .ended = ended, .bad = bad});
        }
    }
    return attemptCounts;
}

void applyWarnings(const Topology &topology, std::span<const ServerWarning> warnings, Instant now)
{
    for (const ServerWarning &warning : warnings) {
        if (const auto found = topology.servers.find(warning.serverId); found != topology.servers.end()) {
            found->second->recordPeerWarning(warning.badPerMille, now);
        }
    }
}

void ServerAttemptAggregator::addAttemptCounts(std::span<const ServerAttemptCounts> attemptCounts)
{
    for (const ServerAttemptCounts &reported : attemptCounts) {
        Count &count = this->counts[reported.serverId];
        count.attempts += reported.ended;
        count.bad += std::min(reported.bad, reported.ended);
    }
}

std::vector<ServerWarning> ServerAttemptAggregator::nextWarnings()
{
    std::vector<ServerWarning> warnings;
    for (auto entry = this->counts.begin(); entry != this->counts.end();) {
        Count &count = entry->second;
        const double share = count.attempts > 0.0 ? count.bad / count.attempts : 0.0;
        if (count.attempts >= MIN_ATTEMPTS && share >= BAD_SHARE_THRESHOLD) {
            warnings.push_back({.serverId = entry->first, .badPerMille = static_cast<int>(share * 1000.0)});
        }
        count.attempts *= COUNT_DECAY;
        count.bad *= COUNT_DECAY;
        entry = count.attempts < NEGLIGIBLE_ATTEMPTS ? this->counts.erase(entry) : std::next(entry);
    }
    return warnings;
}

} // namespace ragwort
