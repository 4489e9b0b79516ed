/// \file
/// The configuration of the tier: one document per team and one for the tier, each with its own sequence number.
///
/// The documents are separate so that a change is distributed as one small document, regardless of the number of teams.
#ifndef RAGWORTCART_MODEL_CONFIGURATION_H
#define RAGWORTCART_MODEL_CONFIGURATION_H

#include "ragwortcart/Support/Clock.h"
#include "ragwortcart/Support/Error.h"

#include <QByteArray>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort {

/// Priority class of a kind of query. Lower values are served first.
enum class Urgency { urgent, ordinary, batch };

inline constexpr int URGENCY_COUNT = 3;

std::string_view toString(Urgency urgency);

/// What a running query does when its snapshot becomes unavailable.
enum class SnapshotLossPolicy {
    /// Restart on the next snapshot within the remaining time.
    rerun,
    /// Answer with the results received so far.
    partial,
};

/// A kind of search or action that a team offers to its users.
struct QueryKind
{
    std::string name;
    /// The backend group that serves it.
    std::string group;
    Urgency urgency = Urgency::ordinary;
    /// False for actions, which may run at most once.
    bool repeatable = true;
    Duration maximumDeadline{};
    /// An answer that covers a smaller fraction of the snapshot's documents is reported as failed.
    double minimumCoverage = 0.0;
    SnapshotLossPolicy onSnapshotLoss = SnapshotLossPolicy::rerun;
};

/// A set of backend services that together hold one index, with the limits of their servers.
///
/// Team documents do not contain `hedgeShare`, `extraLoadBurst`, `admissionPerSlot`, `minimumAdmission` and `newServerIdPerStart`.
/// The groups of teams have the defaults; only the groups of routes set these members.
struct BackendGroup
{
    std::string name;
    /// Number of services. Each holds one shard of the index.
    int services = 1;
    /// Number of servers of one service. All hold the same shard.
    int serversPerService = 1;
    /// Requests that one server runs concurrently.
    int slots = 1;
    /// Connections that one server accepts. Limits the requests in flight to it over the whole tier, because each of them occupies a
    /// connection.
    int connections = 1;
    /// Limit for requests in flight to a server at the start of its warm-up, over the whole tier.
    int coldCapacity = 1;
    /// Time to establish a connection to a server.
    Duration connectTime{};
    /// Allowed ratio of hedges and retries to planned sub-requests.
    double extraLoad = 0.02;
    /// Allowed ratio of hedges to planned sub-requests; zero selects `extraLoad`.
    double hedgeShare = 0.0;
    /// Burst size of the budget for extra sub-requests, per service and over the whole tier.
    double extraLoadBurst = 60.0;
    /// Concurrent queries that the whole tier admits per available slot. If a query needs all services, only the slots of the service
    /// with the fewest available ones count; if any one service can answer it, those of all services count.
    int admissionPerSlot = 2;
    /// Lower bound of the concurrent queries that each instance admits, regardless of the number of instances, because callers do
    /// not distribute their load evenly over the instances.
    int minimumAdmission = 1;
    /// True if a server registers a new identity in the instance list at each start. Its restarts are then detected from the list
    /// and not inferred from failures and slow responses.
    bool newServerIdPerStart = false;
    std::string balancePolicy = "least-loaded";
    std::string hedgePolicy = "quantile";
    std::string retryPolicy = "budgeted";
    std::string canaryPolicy = "unknown-content";
};

struct TeamConfiguration
{
    std::string name;
    std::uint64_t sequence = 0;
    std::vector<QueryKind> kinds;
    std::vector<BackendGroup> groups;

    const QueryKind *findKind(std::string_view kindName) const;
    const BackendGroup *findGroup(std::string_view groupName) const;
};

/// Configuration that applies to all teams: the limit for entry instances, and the failure domains and backend servers that are out
/// of service.
struct TierConfiguration
{
    std::uint64_t sequence = 0;
    /// Limit for concurrently running entry instances, including old and new ones during a rolling replacement.
    int maximumInstances = 8;
    std::set<std::string> domainsOutOfService;
    std::set<std::string> serversOutOfService;
};

/// Name of the tier document. Team documents are named `team.NAME`.
inline constexpr std::string_view TIER_DOCUMENT = "tier";
std::string teamDocument(std::string_view team);

struct RouteTable;

/// A consistent view of all documents in force.
struct Configuration
{
    TierConfiguration tier;
    std::map<std::string, TeamConfiguration, std::less<>> teams;
    /// Null until the first version of the routes is known, and always in a tier without routes.
    std::shared_ptr<const RouteTable> routes;

    const TeamConfiguration *findTeam(std::string_view team) const;
};

QByteArray encodeTeam(const TeamConfiguration &team);
QByteArray encodeTier(const TierConfiguration &tier);

/// Rejects a document without a name, with a limit that is missing or out of range, or with a kind whose urgency or group is unknown.
/// Other missing fields have defaults. \p peer names the source of the document in the error.
Result<TeamConfiguration> decodeTeam(const QByteArray &json, const std::string &peer);
/// Rejects a document without a valid limit for entry instances; other missing fields are empty.
Result<TierConfiguration> decodeTier(const QByteArray &json, const std::string &peer);

} // namespace ragwort

#endif
