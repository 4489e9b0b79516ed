/// \file
/// Implements the estimate of how many shards an instance can gather in time.
#include "ragwortcart/Kernel/QueryDivision.h"

#include <algorithm>

namespace ragwort {

/// Processor time for one shard of a query: its request, its answer and its share of the merge.
static constexpr Duration PROCESSOR_TIME_PER_SHARD = std::chrono::microseconds(120);
/// Part of the latency objective that the processor of the gathering instance may take. The servers need the rest.
static constexpr double PROCESSOR_SHARE_OF_OBJECTIVE = 0.25;

std::size_t gatherableShards(double capacity, Duration latencyObjective)
{
    const double processorUs = static_cast<double>(latencyObjective.count()) * PROCESSOR_SHARE_OF_OBJECTIVE * capacity;
    return std::max<std::size_t>(1, static_cast<std::size_t>(processorUs / static_cast<double>(PROCESSOR_TIME_PER_SHARD.count())));
}

} // namespace ragwort
