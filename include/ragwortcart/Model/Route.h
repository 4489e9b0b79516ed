/// \file
/// Routes: which requests of callers go to which backend services, and with what promises.
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
    /// Share of the requests, relative to the other services of the choice.
    double weight = 1.0;
};

/// One server of one of these services answers.
struct ServiceChoice
{
    std::vector<WeightedService> services;
};

/// One server of each of these services answers, and the greatest records of all answers are merged.
struct ShardSet
{
    std::vector<std::string> services;
    std::size_t greatestRecords = 0;
};

using RouteTarget = std::variant<ServiceChoice, ShardSet>;

struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteTarget target;
    /// Urgency, repeatability, least coverage (a fraction of the shards) and longest time, as for the kinds of a team.
    Kind kind;
    /// Limits and policies of the services behind the route. `name` is the same for all routes to the same services.
    BackendGroup group;
    /// Rank of the route's requests; 0 goes first.
    int priority = 0;
    /// Within it an answer is worth most to the caller.
    Duration latencyObjective{};
    /// The most servers that may run one request, for each shard.
    int maximumAttempts = 1;
};

struct ServiceSettings
{
    /// Connections that one server accepts from all callers together.
    int connections = 1;
    Duration warmUp{};
    /// Requests a second that a cold server bears.
    double coldRate = 0.0;
};

/// What callers may use up.
struct CallerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 256 * 1024;
    Duration headerTimeout = std::chrono::seconds(5);
    Duration idleTimeout = std::chrono::seconds(75);
};

/// One version of all routes; immutable once published.
struct RouteTable
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, ServiceSettings, std::less<>> services;
    CallerLimits limits;

    /// The route of that host with the longest prefix of \p path, or nothing.
    const Route *match(std::string_view host, std::string_view path) const;
    const Route *find(std::string_view routeName) const;
};

/// Completes what follows from the table as a whole: groups of routes to the same services and their urgencies.
/// Among the routes to the same services those with the lowest priority number are urgent, the others ordinary.
void completeRoutes(RouteTable &table);

/// The names of all services that a target may use, in order.
std::vector<std::string> servicesOf(const RouteTarget &target);

} // namespace ragwort

#endif
