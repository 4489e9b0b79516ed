/// \file
/// Routes, which map callers' requests to backend services and set limits and objectives for the requests.
#ifndef RAGWORTCART_MODEL_ROUTE_H
#define RAGWORTCART_MODEL_ROUTE_H

#include "ragwortcart/Model/Configuration.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwort {

struct WeightedService
{
    std::string service;
    /// Share of the requests, relative to the weights of the other services.
    double weight = 1.0;
};

/// A request is answered by one server of one of these services.
struct ServiceChoice
{
    std::vector<WeightedService> services;
};

/// A request is answered by one server of each of these services, and the top records of all answers are merged.
struct ShardSet
{
    std::vector<std::string> services;
    std::size_t topRecordCount = 0;
};

using RouteTarget = std::variant<ServiceChoice, ShardSet>;

struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteTarget target;
    /// Urgency, repeatability, minimum coverage (a fraction of the shards) and maximum deadline, as for the kinds of a team.
    QueryKind kind;
    /// Limits and policies of the services of the route. `name` is equal for all routes to the same services.
    BackendGroup group;
    /// Priority of the route's requests; 0 is served first.
    int priority = 0;
    /// The latency within which an answer has its full value to the caller.
    Duration latencyObjective{};
    /// Limit for the servers that may run one request, per shard.
    int maximumAttempts = 1;
    /// Identifies the services and limits that decide what an answer consists of: equal in two versions if these are.
    std::uint64_t revision = 0;
};

struct ServiceSettings
{
    /// Connections that one server accepts, over all its clients.
    int connections = 1;
    /// Duration of a server's warm-up after its start.
    Duration warmUp{};
    /// Requests per second that a cold server can handle.
    double coldRate = 0.0;
};

/// Resource limits for callers.
struct CallerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 256 * 1024;
    Duration headerTimeout = std::chrono::seconds(5);
    Duration idleTimeout = std::chrono::seconds(75);
};

/// One version of all routes. Immutable once published.
struct RouteTable
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, ServiceSettings, std::less<>> services;
    CallerLimits limits;

    /// Returns the route of \p host with the longest matching prefix of \p path, or null.
    const Route *match(std::string_view host, std::string_view path) const;
    /// Returns the route \p routeName, or null.
    const Route *find(std::string_view routeName) const;
};

/// Derives the group name, the revision and the urgency of each route from the whole table. Routes to the same services share one group; among
/// them, the routes with the lowest priority number are urgent and the others are ordinary.
void deriveRouteGroups(RouteTable &table);

/// Returns the names of all services of \p target, in the order of the target.
std::vector<std::string> servicesOf(const RouteTarget &target);

} // namespace ragwort

#endif
