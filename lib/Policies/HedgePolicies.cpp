/// \file
/// Hedging plug-ins: never (the baseline), and after a high quantile of the recent latencies.
#include "ragwortcart/Kernel/Policies.h"

#include <algorithm>

namespace ragwort {

namespace {

class NoHedge final : public HedgePolicy
{
public:
    std::optional<Duration> delay(const RecentLatency & /*latencies*/, const BackendGroup & /*group*/, Urgency /*urgency*/) override
    {
        return std::nullopt;
    }
};

/// Number of recent latencies below which sub-requests are not hedged.
constexpr std::uint64_t MINIMUM_HEDGE_SAMPLES = 50;
constexpr Duration MINIMUM_HEDGE_DELAY = std::chrono::milliseconds(1);

/// Hedges a sub-request that takes longer than all but a fraction of the recent ones: the hedge share of the group, or
/// else the rate at which its extra-load budget earns credit. Batch queries are never hedged.
class QuantileHedge final : public HedgePolicy
{
public:
    std::optional<Duration> delay(const RecentLatency &latencies, const BackendGroup &group, Urgency urgency) override
    {
        if (urgency == Urgency::batch) {
            return std::nullopt;
        }
        const double share = group.hedgeShare > 0.0 ? group.hedgeShare : group.extraLoad;
        const double quantile = std::clamp(1.0 - share, 0.5, 0.999);
        const std::optional<Duration> delay = latencies.quantile(quantile, MINIMUM_HEDGE_SAMPLES);
        if (!delay) {
            return std::nullopt;
        }
        return std::max(*delay, MINIMUM_HEDGE_DELAY);
    }
};

} // namespace

static const PluginRegistration<HedgePolicy, NoHedge> NO_HEDGE("none");
static const PluginRegistration<HedgePolicy, QuantileHedge> QUANTILE_HEDGE("quantile");

} // namespace ragwort
