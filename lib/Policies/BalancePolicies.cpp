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
/// After this time without a new sample, half of the excess of a server's latency is forgotten.
constexpr Duration LATENCY_HALF_LIFE = std::chrono::seconds(1);
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
        std::int64_t lowest = expectedWait(*candidates[start], fastest, now);
        for (std::uint32_t step = 1; step < size; ++step) {
            const std::size_t index = (start + step) % size;
            const std::int64_t wait = expectedWait(*candidates[index], fastest, now);
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

    /// What was seen long ago counts less: the excess over the fastest candidate is forgotten with time.
    static std::int64_t presentLatency(const ServerRecord &server, std::int64_t fastest, Instant now)
    {
        const std::int64_t age = now.time_since_epoch().count() - server.latencyAtUs.load(std::memory_order_relaxed);
        const auto excess = static_cast<double>(knownLatency(server) - fastest);
        const double kept = std::exp2(-static_cast<double>(std::max<std::int64_t>(age, 0)) / static_cast<double>(LATENCY_HALF_LIFE.count()));
        return fastest + static_cast<std::int64_t>(excess * kept);
    }

    /// Reported load lags and may be wrong, so that it counts only as a part of what the instance sees itself.
    static std::int64_t expectedWait(const ServerRecord &server, std::int64_t fastest, Instant now)
    {
        const std::int64_t latency = presentLatency(server, fastest, now);
        const std::int64_t seen = 4 + 4 * server.inFlight.load(std::memory_order_relaxed);
        const std::int64_t reported = std::clamp(server.reportedLoad.load(std::memory_order_relaxed), 0, 16);
        return latency * (seen + reported);
    }
};

} // namespace

static const PluginRegistration<BalancePolicy, RandomBalance> RANDOM_BALANCE("random");
static const PluginRegistration<BalancePolicy, LeastLoadedBalance> LEAST_LOADED_BALANCE("least-loaded");

} // namespace ragwort
