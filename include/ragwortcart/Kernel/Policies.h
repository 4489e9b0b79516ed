/// \file
/// Interfaces of the scheduling policies. Implementations are plug-ins that register themselves in `PluginRegistry`.
///
/// `BackendGroup` names the plug-ins of each group. Policies perform no I/O. Each object is used by one thread.
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

/// Selects the replica that receives a sub-request.
class BalancePolicy
{
public:
    virtual ~BalancePolicy() = default;

    /// Returns the index of the selected candidate. \p candidates is not empty, and each has a free permit.
    virtual std::size_t choose(std::span<const ServerPointer> candidates, Instant now, pcg32 &random) = 0;
};

/// Decides when to send a second copy of a sub-request.
class HedgePolicy
{
public:
    virtual ~HedgePolicy() = default;

    /// Returns the delay before the hedge is sent, or nothing if the sub-request is not hedged. \p latencies holds the
    /// recent latencies of comparable sub-requests.
    virtual std::optional<Duration> delay(const RecentLatency &latencies, const BackendGroup &group, Urgency urgency) = 0;
};

struct RetryContext
{
    SubFailure failure = SubFailure::lost;
    /// Number of attempts of the part so far.
    int partAttempts = 0;
    Urgency urgency = Urgency::ordinary;
    /// Time until the answer must be returned to the caller.
    Duration timeLeft{};
};

/// Decides whether a failed sub-request is sent to another replica.
class RetryPolicy
{
public:
    virtual ~RetryPolicy() = default;

    /// Returns whether to retry. Withdraws the credit for the retry from \p budget if the policy charges for it.
    virtual bool retry(const RetryContext &context, ExtraLoadBudget &budget) = 0;
};

/// Decides whether one part of a query first runs alone, as the canary, so that content that crashes servers cannot
/// reach all shards at once.
class CanaryPolicy
{
public:
    virtual ~CanaryPolicy() = default;

    /// \p fingerprint identifies the content of the query.
    virtual bool needsCanary(std::uint64_t fingerprint) = 0;
    /// Records that a request with this content completed without crashing a server.
    virtual void recordSuccess(std::uint64_t fingerprint) = 0;
};

} // namespace ragwort

#endif
