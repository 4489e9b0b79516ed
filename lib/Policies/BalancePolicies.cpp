/// \file
/// Plug-ins that choose the replica: at random (the baseline) and by expected wait.
#include "ragwortcart/Kernel/Policies.h"

#include <algorithm>
#include <cassert>

namespace ragwort {

namespace {

/// Any replica with equal probability.
class RandomBalance final : public BalancePolicy
{
public:
    std::size_t choose(std::span<const ServerPointer> candidates, pcg32 &random) override
    {
        assert(!candidates.empty() && "balance needs a candidate");
        return random(static_cast<std::uint32_t>(candidates.size()));
    }
};

/// Latency assumed for a server that has not answered yet, so that it is tried.
constexpr std::int64_t UNKNOWN_LATENCY_US = 1000;
/// One choice in this many ignores the estimates, so that a server that was slow is seen to recover.
constexpr std::uint32_t EXPLORE_ONE_IN = 200;

/// The replica with the lowest expected wait: its mean latency times the requests that this instance has there already.
class LeastLoadedBalance final : public BalancePolicy
{
public:
    std::size_t choose(std::span<const ServerPointer> candidates, pcg32 &random) override
    {
        assert(!candidates.empty() && "balance needs a candidate");
        const auto size = static_cast<std::uint32_t>(candidates.size());
        if (random(EXPLORE_ONE_IN) == 0) {
            return random(size);
        }
        const std::uint32_t start = random(size);
        std::size_t best = start;
        std::int64_t lowest = expectedWait(*candidates[start]);
        for (std::uint32_t step = 1; step < size; ++step) {
            const std::size_t index = (start + step) % size;
            const std::int64_t wait = expectedWait(*candidates[index]);
            if (wait < lowest) {
                lowest = wait;
                best = index;
            }
        }
        return best;
    }

private:
    /// Reported load lags and may be wrong, so that it counts only as a part of what the instance sees itself.
    static std::int64_t expectedWait(const ServerRecord &server)
    {
        const std::int64_t latency = server.meanLatencyUs() == 0 ? UNKNOWN_LATENCY_US : server.meanLatencyUs();
        const std::int64_t seen = 4 + 4 * server.inFlight.load(std::memory_order_relaxed);
        const std::int64_t reported = std::clamp(server.reportedLoad.load(std::memory_order_relaxed), 0, 16);
        return latency * (seen + reported);
    }
};

} // namespace

static const PluginRegistration<BalancePolicy, RandomBalance> RANDOM_BALANCE("random");
static const PluginRegistration<BalancePolicy, LeastLoadedBalance> LEAST_LOADED_BALANCE("least-loaded");

} // namespace ragwort
