/// \file
/// Chooses the instances that gather queries for others, from the list of live instances. Performs no I/O and reads no clock.
#ifndef RAGWORTCART_CONTROL_AGGREGATORPOOL_H
#define RAGWORTCART_CONTROL_AGGREGATORPOOL_H

#include "ragwortcart/Control/PlatformItems.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ragwort {

/// The aggregators of the tier. All instances that know the same list choose the same ones.
class AggregatorPool
{
public:
    /// An empty pool: no query is divided.
    AggregatorPool() = default;

    /// Chooses in each failure domain the instances with the most capacity, until they have a fixed share of the domain's capacity. The pool is
    /// empty if each instance can gather every query of \p routes in time alone.
    AggregatorPool(const std::map<std::string, InstanceItem> &instances, const RouteTable &routes);

    bool empty() const
    {
        return this->members.empty();
    }
    std::size_t size() const
    {
        return this->members.size();
    }
    bool contains(const std::string &instance) const
    {
        return this->members.contains(instance);
    }
    /// Returns the number of aggregators in a failure domain.
    int countIn(const std::string &domain) const;

    /// Returns the aggregators that an instance asks: those of its own failure domain, if \p holdingDomains contains it, otherwise some of all
    /// these domains. Does not contain the instance itself.
    std::vector<InstanceItem> aggregatorsFor(const std::string &instance, const std::string &domain, const std::set<std::string> &holdingDomains) const;

private:
    /// By name.
    std::map<std::string, InstanceItem> members;
};

} // namespace ragwort

#endif
