/// \file
/// The interfaces of the policies. Implementations are plug-ins that register themselves in `PluginRegistry`.
///
/// Policies decide and keep no I/O. One object serves one thread.
#ifndef RAGWORTCART_KERNEL_POLICIES_H
#define RAGWORTCART_KERNEL_POLICIES_H

#include "ragwortcart/Kernel/ExtraLoadBudget.h"
#include "ragwortcart/Kernel/ServerRecord.h"
#include "ragwortcart/Kernel/Topology.h"
#include "ragwortcart/Model/Configuration.h"
#include "ragwortcart/Model/Query.h"
#include "ragwortcart/Support/Metrics.h"
#include "ragwortcart/Support/PluginRegistry.h"

#include <optional>
#include <pcg_random.hpp>
#include <span>

namespace ragwort {

/// Chooses the replica that a sub-request goes to.
class BalancePolicy
{
public:
    virtual ~BalancePolicy() = default;

    /// The index of the chosen candidate; \p candidates is not empty and each holds a free permit.
    virtual std::size_t choose(std::span<const ServerPointer> candidates, Instant now, pcg32 &random) = 0;
};

/// Decides when a second copy of a sub-request is worth its load.
class HedgePolicy
{
public:
    virtual ~HedgePolicy() = default;

    /// The time after which to hedge, or nothing for never.
    virtual std::optional<Duration> delay(const RecentLatency &service, const BackendGroup &group, Urgency urgency) = 0;
};

struct RetryQuestion
{
    SubFailure failure = SubFailure::lost;
    int attemptsOfPart = 0;
    Urgency urgency = Urgency::ordinary;
    Duration timeLeft{};
};

/// Decides whether a failed sub-request is sent again to another replica.
class RetryPolicy
{
public:
    virtual ~RetryPolicy() = default;

    virtual bool retry(const RetryQuestion &question, ExtraLoadBudget &budget) = 0;
};

/// Decides whether a query of unknown content first runs on one server alone, so that a request that crashes servers
/// cannot reach all shards at once.
class CanaryPolicy
{
public:
    virtual ~CanaryPolicy() = default;

    virtual bool needsCanary(std::uint64_t fingerprint) = 0;
    /// Content that was answered without harm.
    virtual void recordHarmless(std::uint64_t fingerprint) = 0;
};

} // namespace ragwort

#endif
