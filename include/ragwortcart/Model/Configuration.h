/// \file
/// The configuration in force: one document per team and one for the tier, each with its own sequence number.
///
/// Documents are separate so that a change spreads as one small document, whatever the number of teams.
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

/// How soon people need the answer; lower values go first.
enum class Urgency { urgent, ordinary, batch };

inline constexpr int URGENCY_COUNT = 3;

std::string_view toString(Urgency urgency);

/// What a query does when its snapshot disappears while it runs.
enum class SnapshotLoss {
    /// Start again on the next snapshot with the time that is left.
    rerun,
    /// Answer with what has been gathered.
    partial,
};

/// A kind of search or action that a team offers to its people.
struct Kind
{
    std::string name;
    /// The backend group that answers it.
    std::string group;
    Urgency urgency = Urgency::ordinary;
    /// False for actions that may run at most once.
    bool repeatable = true;
    Duration maximumDeadline{};
    /// Below this fraction of the snapshot's documents an answer is reported as failed.
    double minimumCoverage = 0.0;
    SnapshotLoss onSnapshotLoss = SnapshotLoss::rerun;
};

/// A set of backend services that together hold an index, with the limits of their servers.
struct BackendGroup
{
    std::string name;
    int services = 1;
    int serversPerService = 1;
    int slots = 1;
    int connections = 1;
    /// Requests in flight that a server in cold start can bear, over the whole tier.
    int coldCapacity = 1;
    Duration connectTime{};
    /// Hedges and retries allowed per planned sub-request.
    double extraLoad = 0.02;
    /// The part of planned sub-requests that hedges may repeat; zero stands for `extraLoad`.
    double hedgeShare = 0.0;
    /// Credit for extra sub-requests that the tier as a whole may save up for each service.
    double extraBurst = 60.0;
    /// Queries admitted at once per slot of the scarcest service.
    int admissionPerSlot = 2;
    /// Queries that each instance admits at once, however many instances there are: callers do not spread evenly.
    int minimumAdmission = 1;
    /// Each start of a server comes with a new identity in its instance list, so that none can be restarted unnoticed.
    bool startsAnnounced = false;
    std::string balancePolicy = "least-loaded";
    std::string hedgePolicy = "quantile";
    std::string retryPolicy = "budgeted";
    std::string canaryPolicy = "unknown-content";
};

struct TeamConfiguration
{
    std::string name;
    std::uint64_t sequence = 0;
    std::vector<Kind> kinds;
    std::vector<BackendGroup> groups;

    const Kind *findKind(std::string_view kindName) const;
    const BackendGroup *findGroup(std::string_view groupName) const;
};

/// What concerns every team: which failure domains and instances are out of service.
struct TierConfiguration
{
    std::uint64_t sequence = 0;
    /// The most entry instances that may run at once, old and new ones together during a replacement.
    int maximumInstances = 8;
    std::set<std::string> domainsOut;
    std::set<std::string> instancesOut;
};

/// Name of the tier document; the documents of teams are called `team.NAME`.
inline constexpr std::string_view TIER_DOCUMENT = "tier";
std::string teamDocument(std::string_view team);

struct RouteTable;

/// All documents in force at one moment.
struct Configuration
{
    TierConfiguration tier;
    std::map<std::string, TeamConfiguration, std::less<>> teams;
    /// Never null once a version of the routes is known; a tier without routes has none.
    std::shared_ptr<const RouteTable> routes;

    const TeamConfiguration *findTeam(std::string_view team) const;
};

QByteArray encodeTeam(const TeamConfiguration &team);
QByteArray encodeTier(const TierConfiguration &tier);
/// Rejects documents with missing or senseless fields; \p peer names the source for the error.
Result<TeamConfiguration> decodeTeam(const QByteArray &json, const std::string &peer);
Result<TierConfiguration> decodeTier(const QByteArray &json, const std::string &peer);

} // namespace ragwort

#endif
