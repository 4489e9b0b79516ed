/// \file
/// Route matching and the derivation of route groups.
#include "ragwortcart/Model/Route.h"

#include "ragwortcart/Support/Hash.h"
#include "ragwortcart/Support/Visitor.h"

#include <algorithm>

namespace ragwort {

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const Route *best = nullptr;
    for (const Route &route : this->routes) {
        const bool longer = best == nullptr || route.pathPrefix.size() > best->pathPrefix.size();
        if (longer && route.host == host && path.starts_with(route.pathPrefix)) {
            best = &route;
        }
    }
    return best;
}

const Route *RouteTable::find(std::string_view routeName) const
{
    const auto found = std::find_if(this->routes.begin(), this->routes.end(), [routeName](const Route &route) { return route.name == routeName; });
    return found == this->routes.end() ? nullptr : &*found;
}

std::vector<std::string> servicesOf(const RouteTarget &target)
{
    return std::visit(Visitor{[](const ServiceChoice &choice) {
                                  std::vector<std::string> names;
                                  for (const WeightedService &weighted : choice.services) {
                                      names.push_back(weighted.service);
                                  }
                                  return names;
                              },
                              [](const ShardSet &shards) { return shards.services; }},
                      target);
}

static std::uint64_t revisionOf(const Route &route)
{
    std::uint64_t revision = stableHash(route.name);
    for (const std::string &service : servicesOf(route.target)) {
        revision = stableHash(service, revision);
    }
    if (const auto *shards = std::get_if<ShardSet>(&route.target)) {
        revision = stableHash(std::to_string(shards->topRecordCount), revision);
    }
    return stableHash(std::to_string(route.kind.minimumCoverage), revision);
}

void deriveRouteGroups(RouteTable &table)
{
    std::map<std::string, int> lowestPriority;
    for (Route &route : table.routes) {
        std::vector<std::string> names = servicesOf(route.target);
        std::sort(names.begin(), names.end());
        std::string key = "services";
        for (const std::string &name : names) {
            key += '/' + name;
        }
        route.group.name = key;
        route.revision = revisionOf(route);
        route.kind.name = route.name;
        route.kind.group = key;
        const auto [lowest, inserted] = lowestPriority.try_emplace(key, route.priority);
        lowest->second = std::min(lowest->second, route.priority);
    }
    for (Route &route : table.routes) {
        const bool isUrgent = route.priority == lowestPriority[route.group.name];
        route.kind.urgency = isUrgent ? Urgency::urgent : Urgency::ordinary;
    }
}

} // namespace ragwort
