/// \file
/// Maintains the backend servers from their entries in the platform's store and determines which servers receive work,
/// and how much.
///
/// Performs no I/O and reads no clock. Entries that disappear around an outage of the store are retained for as long as
/// live servers may need to write them again. Used by instances that serve routes; the others use ServerDirectory.
#ifndef RAGWORTCART_CONTROL_SERVERREGISTRY_H
#define RAGWORTCART_CONTROL_SERVERREGISTRY_H

#include "ragwortcart/Control/AggregatorPool.h"
#include "ragwortcart/Control/PlatformItems.h"
#include "ragwortcart/Kernel/Topology.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace ragwort {

class ServerRegistry
{
public:
    struct Options
    {
        std::string instance;
        /// The failure domain of this instance.
        std::string domain;
        /// How long after the store's recovery a live server may take to rewrite its entry.
        Duration removalGrace = std::chrono::milliseconds(2200);
        /// Maximum requests per second to a cold server over all instances: a multiple of the server's own rate plus a
        /// constant.
        /// Processor cores that this instance may use; 0 if unknown.
        double capacity = 0.0;
        double coldRateFactor = 1.5;
        double coldRateAddition = 5.0;
    };

    explicit ServerRegistry(Options options);

    /// Adds or updates a server's entry. Returns false if nothing has changed.
    bool set(const ServerEntry &entry, Instant now);
    /// Handles the removal of a server's entry. Returns true if the server has been dropped.
    bool remove(const std::string &id, Instant now);
    /// Replaces the complete list; servers that it lacks are removed.
    void replaceAll(std::span<const ServerEntry> entries, Instant now);

    void setDomainOut(const std::string &domain, bool out);
    void setInstance(const InstanceItem &instance);
    void removeInstance(const std::string &name);
    /// Replaces the complete list.
    void replaceInstances(std::span<const InstanceItem> instanceItems);

    /// Called when the store is available again after an outage. Starts the grace period for removals.
    void onStoreRecovered(Instant now);
    /// Extends the grace period: removals within \p grace may be caused by an outage that another instance has
    /// detected.
    void extendRemovalGrace(Duration grace, Instant now);
    /// Returns the rest of the grace period, in which removals may be caused by an outage.
    Duration remainingRemovalGrace(Instant now) const;

    /// Drops the servers whose grace period has expired. Returns true if there were any.
    bool dropExpired(Instant now);
    std::optional<Instant> nextExpiry() const;

    /// Builds the kernel's topology with the current shares of this instance.
    std::shared_ptr<const Topology> build(const RouteTable &routes);

    std::size_t size() const
    {
        return this->servers.size();
    }
    /// Returns the number of live entry instances, this one included.
    int liveInstances() const;
    /// Returns the aggregators that this instance asks, as of the last `build()`: addresses for peer links by instance.
    const std::map<std::string, std::string> &aggregatorAddresses() const
    {
        return this->aggregatorPeers;
    }

private:
    struct Server
    {
        ServerEntry entry;
        ServerPointer record;
        /// Set while the entry is missing and the server may still be alive.
        std::optional<Instant> expiresAt;
    };

    /// A server whose entry has gone. It may come back, also unchanged, and is then still what its record says.
    struct FormerServer
    {
        ServerEntry entry;
        ServerPointer record;
        Instant removedAt{};
    };

    /// Returns whether both entries describe the same server process with the same properties.
    static bool sameProcess(const ServerEntry &left, const ServerEntry &right);
    /// Returns the record for a new or changed entry of a server: the former one of the same process, or a new one.
    ServerPointer makeRecord(const ServerEntry &entry, const Server &previous);
    /// Excludes a server whose entry has gone and keeps its record for `FORMER_SERVER_LIFETIME`.
    void retire(const Server &server, Instant now);
    void updateExclusions(const Server &server) const;
    /// Connections to one server and the instances that share them equally, this one among them.
    struct ConnectionShares
    {
        int connections = 1;
        int sharers = 1;
    };

    /// Divides a server's connections between the aggregators and the other instances, if it holds a shard.
    ConnectionShares sharesOf(const std::string &service, int connections) const;
    /// Returns this instance's fraction of what all instances together may do at the servers of shards.
    double fractionOfTier() const;
    /// Returns the failure domains that have servers of about as many shards as any other.
    std::set<std::string> holdingDomains() const;
    QueryDivision makeDivision();
    void updateShare(const Server &server, const RouteTable &routes) const;
    /// Sets how much faster a replica must be to be preferred: those in other failure domains, and if the connections of a service's servers are
    /// scarce all but one. Sets the idle timeout of scarce connections.
    void updateReplicaAffinity(std::span<const ServerPointer> replicas, const ConnectionShares &shares) const;
    int instancesIn(const std::string &domain) const;
    /// Returns how many of the instances that share connections with this one precede it in the order in which they may hold connections to the
    /// server.
    int connectionRank(const Server &server) const;

    Options options;
    std::map<std::string, Server> servers;
    /// By id. Invariant: contains no server of `servers`.
    std::map<std::string, FormerServer> formerServers;
    std::set<std::string> domainsOutOfService;
    /// By name.
    std::map<std::string, InstanceItem> instances;
    /// As of the last `build()`: the aggregators, those that this instance asks, and the services that hold shards.
    AggregatorPool pool;
    std::map<std::string, std::string> aggregatorPeers;
    std::set<std::string> shardServices;
    std::uint64_t version = 0;
    /// Removals before this time may be caused by the outage and not by the servers.
    Instant graceEnd{};
};

} // namespace ragwort

#endif
