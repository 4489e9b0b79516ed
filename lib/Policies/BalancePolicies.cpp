/// \file
/// Replica selection plug-ins: random (the baseline) and lowest expected wait.
#include "ragwortcart/Kernel/Policies.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace ragwort {

namespace {

/// Selects any replica with equal probability.
class RandomBalance final : public BalancePolicy
{
public:
    std::size_t choose(std::span<const ServerPointer> candidates, Instant /*now*/, pcg32 &random) override
    {
        assert(!candidates.empty() && "balance needs a candidate");
        return random(static_cast<std::uint32_t>(candidates.size()));
    }
};

/// Latency assumed for a server without samples, so that it is tried.
constexpr std::int64_t UNKNOWN_LATENCY_US = 1000;
/// Half-life of the weight of an observation. An estimate without new observations thus fades, and the server is tried
/// again.
constexpr Duration OBSERVATION_HALF_LIFE = std::chrono::seconds(1);
/// Cost of an attempt that is sure to fail: the time of another attempt and credit of the extra-load budget.
constexpr Duration FAILURE_COST = std::chrono::milliseconds(150);
/// Cost of each attempt that the server has left unanswered since its last response.
constexpr Duration UNANSWERED_COST = std::chrono::milliseconds(30);
/// Cost of a peer warning below which the warning is ignored.
constexpr Duration NEGLIGIBLE_PEER_COST = std::chrono::milliseconds(1);
/// Bound of the load that a server reports, since the report lags and may be wrong.
constexpr int MAXIMUM_REPORTED_LOAD = 16;
/// Cost of each request at a server, relative to the latency. Breaks ties between equal waits, so that idle servers
/// share the work.
constexpr double LOAD_PREFERENCE = 0.05;
/// One selection in this many ignores the estimates, so that the recovery of a slow server is detected.
constexpr std::uint32_t EXPLORATION_PERIOD = 200;

/// Selects the replica with the lowest expected wait: its mean latency, scaled by its load, plus the costs of failures.
class LeastLoadedBalance final : public BalancePolicy
{
public:
    std::size_t choose(std::span<const ServerPointer> candidates, Instant now, pcg32 &random) override
    {
        assert(!candidates.empty() && "balance needs a candidate");
        const auto size = static_cast<std::uint32_t>(candidates.size());
        if (random(EXPLORATION_PERIOD) == 0) {
            return random(size);
        }
        const std::int64_t lowestLatency = lowestLatencyUs(candidates);
        const std::uint32_t start = random(size);
        std::size_t best = start;
        double lowestWait = expectedWait(*candidates[start], lowestLatency, now);
        for (std::uint32_t step = 1; step < size; ++step) {
            const std::size_t index = (start + step) % size;
            const double wait = expectedWait(*candidates[index], lowestLatency, now);
            if (wait < lowestWait) {
                lowestWait = wait;
                best = index;
            }
        }
        return best;
    }

private:
    static std::int64_t estimatedLatencyUs(const ServerRecord &server)
    {
        return server.meanLatencyUs() == 0 ? UNKNOWN_LATENCY_US : server.meanLatencyUs();
    }

    static std::int64_t lowestLatencyUs(std::span<const ServerPointer> candidates)
    {
        std::int64_t lowest = estimatedLatencyUs(*candidates.front());
        for (const ServerPointer &server : candidates) {
            lowest = std::min(lowest, estimatedLatencyUs(*server));
        }
        return lowest;
    }

    /// Returns the weight of an observation, which decays with its age.
    static double recencyWeight(const std::atomic<std::int64_t> &observedAtUs, Instant now)
    {
        const std::int64_t age = now.time_since_epoch().count() - observedAtUs.load(std::memory_order_relaxed);
        return std::exp2(-static_cast<double>(std::max<std::int64_t>(age, 0)) / static_cast<double>(OBSERVATION_HALF_LIFE.count()));
    }

    /// Returns the expected wait for a response of \p server in microseconds, including the costs of failures. An
    /// estimate decays towards \p lowestLatency, the lowest latency of all candidates.
    static double expectedWait(const ServerRecord &server, std::int64_t lowestLatency, Instant now)
    {
        const double weight = recencyWeight(server.latencyAtUs, now);
        const double latency = static_cast<double>(lowestLatency) + static_cast<double>(estimatedLatencyUs(server) - lowestLatency) * weight;
        const int reported = std::clamp(server.reportedLoad.load(std::memory_order_relaxed), 0, MAXIMUM_REPORTED_LOAD);
        const int load = std::max(server.inFlight.load(std::memory_order_relaxed), reported);
        const int slots = std::max(server.identity.slots, 1);
        // Requests queue only when all slots are in use.
        const double queue = static_cast<double>(std::max(load + 1 - slots, 0)) / slots;
        const double failures = server.failurePerMille.load(std::memory_order_relaxed) / 1000.0 * weight * static_cast<double>(FAILURE_COST.count());
        const double unanswered = server.unansweredAttempts.load(std::memory_order_relaxed) * weight * static_cast<double>(UNANSWERED_COST.count());
        const double peerCost = server.peerBadPerMille.load(std::memory_order_relaxed) / 1000.0 * recencyWeight(server.peerWarnedAtUs, now)
            * static_cast<double>(FAILURE_COST.count());
        // The remainder of an old peer warning must not decide between otherwise equal servers.
        const double appliedPeerCost = peerCost < static_cast<double>(NEGLIGIBLE_PEER_COST.count()) ? 0.0 : peerCost;
        const auto affinityPenalty = static_cast<double>(server.affinityPenaltyUs.load(std::memory_order_relaxed));
        return latency * (1.0 + queue + LOAD_PREFERENCE * load) + failures + unanswered + appliedPeerCost + affinityPenalty;
    }
};

} // namespace

static const PluginRegistration<BalancePolicy, RandomBalance> RANDOM_BALANCE("random");
static const PluginRegistration<BalancePolicy, LeastLoadedBalance> LEAST_LOADED_BALANCE("least-loaded");

} // namespace ragwort
