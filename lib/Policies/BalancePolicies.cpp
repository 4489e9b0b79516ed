/// \file
/// Plug-ins that choose the replica: at random (the baseline) and by expected wait.
#include "ragwortcart/Kernel/Policies.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace ragwort {

namespace {

/// Any replica with equal probability.
class RandomBalance final : public BalancePolicy
{
public:
    std::size_t choose(std::span<const ServerPointer> candidates, Instant /*now*/, pcg32 &random) override
    {
        assert(!candidates.empty() && "balance needs a candidate");
        return random(static_cast<std::uint32_t>(candidates.size()));
    }
};

/// Latency assumed for a server that has not answered yet, so that it is tried.
constexpr std::int64_t UNKNOWN_LATENCY_US = 1000;
/// After this time without news of a server, half of what was held against it is forgotten.
constexpr Duration MEMORY_HALF_LIFE = std::chrono::seconds(1);
/// What a certain failure would cost: the time for another attempt, and a part of the allowance for extra load.
constexpr Duration FAILURE_COST = std::chrono::milliseconds(150);
/// What each attempt without an answer so far adds.
constexpr Duration SILENCE_COST = std::chrono::milliseconds(30);
constexpr Duration NEGLIGIBLE_WARNING = std::chrono::milliseconds(1);
constexpr int MOST_REPORTED_LOAD = 16;
constexpr double LOAD_PREFERENCE = 0.05;
/// One choice in this many ignores the estimates, so that a server that was slow is seen to recover.
constexpr std::uint32_t EXPLORE_ONE_IN = 200;

/// The replica with the lowest expected wait: its mean latency times the requests that this instance has there already.
class LeastLoadedBalance final : public BalancePolicy
{
public:
    std::size_t choose(std::span<const ServerPointer> candidates, Instant now, pcg32 &random) override
    {
        assert(!candidates.empty() && "balance needs a candidate");
        const auto size = static_cast<std::uint32_t>(candidates.size());
        if (random(EXPLORE_ONE_IN) == 0) {
            return random(size);
        }
        const std::int64_t fastest = fastestLatency(candidates);
        const std::uint32_t start = random(size);
        std::size_t best = start;
        double lowest = expectedWait(*candidates[start], fastest, now);
        for (std::uint32_t step = 1; step < size; ++step) {
            const std::size_t index = (start + step) % size;
            const double wait = expectedWait(*candidates[index], fastest, now);
            if (wait < lowest) {
                lowest = wait;
                best = index;
            }
        }
        return best;
    }

private:
    static std::int64_t knownLatency(const ServerRecord &server)
    {
        return server.meanLatencyUs() == 0 ? UNKNOWN_LATENCY_US : server.meanLatencyUs();
    }

    static std::int64_t fastestLatency(std::span<const ServerPointer> candidates)
    {
        std::int64_t fastest = knownLatency(*candidates.front());
        for (const ServerPointer &server : candidates) {
            fastest = std::min(fastest, knownLatency(*server));
        }
        return fastest;
    }

    /// What was seen long ago counts less.
    static double freshness(const std::atomic<std::int64_t> &seenAtUs, Instant now)
    {
        const std::int64_t age = now.time_since_epoch().count() - seenAtUs.load(std::memory_order_relaxed);
        return std::exp2(-static_cast<double>(std::max<std::int64_t>(age, 0)) / static_cast<double>(MEMORY_HALF_LIFE.count()));
    }

    /// A request waits only when the slots are taken. Reported load lags and may be wrong, so that it is bounded.
    static double expectedWait(const ServerRecord &server, std::int64_t fastest, Instant now)
    {
        const double fresh = freshness(server.latencyAtUs, now);
        const double latency = static_cast<double>(fastest) + static_cast<double>(knownLatency(server) - fastest) * fresh;
        const int reported = std::clamp(server.reportedLoad.load(std::memory_order_relaxed), 0, MOST_REPORTED_LOAD);
        const int load = std::max(server.inFlight.load(std::memory_order_relaxed), reported);
        const int slots = std::max(server.identity.slots, 1);
        const double queue = static_cast<double>(std::max(load + 1 - slots, 0)) / slots;
        const double failures = server.failurePerMille.load(std::memory_order_relaxed) / 1000.0 * fresh * static_cast<double>(FAILURE_COST.count());
        const double silence = server.silentAttempts.load(std::memory_order_relaxed) * fresh * static_cast<double>(SILENCE_COST.count());
        const double warning
            = server.warnedPerMille.load(std::memory_order_relaxed) / 1000.0 * freshness(server.warnedAtUs, now) * static_cast<double>(FAILURE_COST.count());
        // What is left of an old warning must not decide between servers that are otherwise equal.
        const double warned = warning < static_cast<double>(NEGLIGIBLE_WARNING.count()) ? 0.0 : warning;
        const auto detour = static_cast<double>(server.detourUs.load(std::memory_order_relaxed));
        // Equal waits are told apart by the load, so that idle servers share the work.
        return latency * (1.0 + queue + LOAD_PREFERENCE * load) + failures + silence + warned + detour;
    }
};

} // namespace

static const PluginRegistration<BalancePolicy, RandomBalance> RANDOM_BALANCE("random");
static const PluginRegistration<BalancePolicy, LeastLoadedBalance> LEAST_LOADED_BALANCE("least-loaded");

} // namespace ragwort
