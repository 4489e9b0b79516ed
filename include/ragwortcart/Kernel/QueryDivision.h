/// \file
/// How an instance divides its queries among instances: which aggregators it may ask, and how many shards an instance can gather in time.
#ifndef RAGWORTCART_KERNEL_QUERYDIVISION_H
#define RAGWORTCART_KERNEL_QUERYDIVISION_H

#include "ragwortcart/Support/Clock.h"

#include <cstddef>
#include <string>
#include <vector>

namespace ragwort {

/// An instance that gathers shards for others.
struct Aggregator
{
    std::string instance;
    /// Processor cores of the instance.
    double capacity = 0.0;
};

/// Empty if the instances answer their callers' queries alone. Immutable; part of the topology.
struct QueryDivision
{
    /// The aggregators that this instance may ask. Does not contain this instance.
    std::vector<Aggregator> aggregators;
    /// Processor cores of this instance.
    double ownCapacity = 0.0;
    /// This instance is an aggregator itself.
    bool aggregates = false;
    /// The failure domain of this instance has servers of about as many shards as any other.
    bool domainHoldsShards = true;
};

/// Returns how many shards an instance with \p capacity cores can ask within a query of that latency objective, leaving most of the time to the
/// servers. At least one.
std::size_t gatherableShards(double capacity, Duration latencyObjective);

} // namespace ragwort

#endif
