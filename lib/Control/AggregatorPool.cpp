/// \file
/// Implements the choice of the aggregators.
#include "ragwortcart/Control/AggregatorPool.h"

#include "ragwortcart/Kernel/QueryDivision.h"
#include "ragwortcart/Support/Hash.h"

#include <algorithm>
#include <tuple>

namespace ragwort {

/// Percentage of a failure domain's capacity that its aggregators have at least.
static constexpr double POOL_CAPACITY_PERCENT = 15.0;
/// Tolerance for rounding errors in sums of capacities.
static constexpr double ROUNDING_TOLERANCE = 1e-9;
/// Minimum number of aggregators in a failure domain, so that the loss of one leaves another.
static constexpr std::size_t MINIMUM_PER_DOMAIN = 2;
/// Maximum number of aggregators that an instance links with.
static constexpr std::size_t MAXIMUM_LINKS = 4;

/// Returns whether an instance of \p capacity cores gathers every query of \p routes in time.
static bool gathersAll(double capacity, const RouteTable &routes)
{
    return std::all_of(routes.routes.begin(), routes.routes.end(), [capacity](const Route &route) {
        const auto *shards = std::get_if<ShardSet>(&route.target);
        return shards == nullptr || shards->services.size() <= gatherableShards(capacity, route.latencyObjective);
    });
}

AggregatorPool::AggregatorPool(const std::map<std::string, InstanceItem> &instances, const RouteTable &routes)
{
    std::map<std::string, std::vector<InstanceItem>> byDomain;
    double leastCapacity = 0.0;
    for (const auto &[name, instance] : instances) {
        if (instance.capacity > 0.0 && !instance.peerAddress.empty()) {
            byDomain[instance.domain].push_back(instance);
            leastCapacity = leastCapacity > 0.0 ? std::min(leastCapacity, instance.capacity) : instance.capacity;
        }
    }
    if (byDomain.empty() || gathersAll(leastCapacity, routes)) {
        return;
    }
    for (auto &[domain, candidates] : byDomain) {
        std::sort(candidates.begin(), candidates.end(), [](const InstanceItem &left, const InstanceItem &right) {
            return std::tuple(-left.capacity, stableHash(left.name), left.name) < std::tuple(-right.capacity, stableHash(right.name), right.name);
        });
        double capacity = 0.0;
        for (const InstanceItem &candidate : candidates) {
            capacity += candidate.capacity;
        }
        double chosen = 0.0;
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            if (index >= MINIMUM_PER_DOMAIN && chosen + ROUNDING_TOLERANCE >= capacity * POOL_CAPACITY_PERCENT / 100.0) {
                break;
            }
            chosen += candidates[index].capacity;
            this->members[candidates[index].name] = candidates[index];
        }
    }
}

int AggregatorPool::countIn(const std::string &domain) const
{
    return static_cast<int>(std::count_if(this->members.begin(), this->members.end(), [&domain](const auto &each) { return each.second.domain == domain; }));
}

std::vector<InstanceItem>
AggregatorPool::aggregatorsFor(const std::string &instance, const std::string &domain, const std::set<std::string> &holdingDomains) const
{
    const bool domainHolds = holdingDomains.contains(domain);
    std::vector<InstanceItem> chosen;
    for (const auto &[name, member] : this->members) {
        if (name != instance && (domainHolds ? member.domain == domain : holdingDomains.contains(member.domain))) {
            chosen.push_back(member);
        }
    }
    // Rendezvous hashing spreads the instances over the aggregators and moves few of them when the pool changes.
    std::sort(chosen.begin(), chosen.end(), [seed = stableHash(instance)](const InstanceItem &left, const InstanceItem &right) {
        return std::pair(stableHash(left.name, seed), left.name) < std::pair(stableHash(right.name, seed), right.name);
    });
    chosen.resize(std::min(chosen.size(), MAXIMUM_LINKS));
    return chosen;
}

} // namespace ragwort
