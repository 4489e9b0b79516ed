/// \file
/// Maintains the backend servers from their entries in the platform's store and determines which servers receive work,
/// and how much.
///
/// Performs no I/O and reads no clock. Entries that disappear around an outage of the store are retained for as long as
/// live servers may need to write them again. After a restore of the store from an older copy, what was known before is believed rather than the copy
/// until it is written again or a time has passed. Used by instances that serve routes; the others use ServerDirectory.
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
#include <vector>

namespace ragwort {

/// Numbers of entries about which an instance believes something that the store does not confirm.
struct UnconfirmedEntries
{
    /// Servers that are missing from the store, that it says are ready although they drained, or whose entries may be those of the dead.
    std::size_t servers = 0;
    /// Failure domains that stay out of service although the store does not say so.
    std::size_t domains = 0;
    /// Entry instances that are missing from the store.
    std::size_t instances = 0;

    bool any() const
    {
        return this->servers + this->domains + this->instances > 0;
    }
};

/// What is no longer believed, because it was not written again in time.
struct ExpiredEntries
{
    /// Servers that count as gone.
    std::vector<std::string> servers;
    /// Servers that get work again, because their entries have stood for longer than those of the dead would.
    std::vector<std::string> trustedServers;
    /// Failure domains that are in service again.
    std::vector<std::string> domains;
    std::vector<std::string> instances;

    explicit operator bool() const
    {
        return !this->servers.empty() || !this->trustedServers.empty() || !this->domains.empty() || !this->instances.empty();
    }
};

class ServerRegistry
{
public:
    struct Options
    {
        std::string instance;
        /// The failure domain of this instance.
        std::string domain;
        /// How long after the store's recovery a live server may take to rewrite its entry. After a restore from an older copy, the operator may take
        /// as long to order again that a domain is out of service.
        Duration removalGrace = std::chrono::milliseconds(2200);
        /// How long the entry of a server that has died may stand in the store: three heartbeats.
        Duration serverSilence = std::chrono::milliseconds(3600);
        /// How long after a restore of the store a live instance may take to rewrite its entry: the interval at which it renews its lease, if it hears
        /// of the restore by nothing else, and some retries.
        Duration instanceGrace = std::chrono::seconds(12);
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
    /// Replaces the complete list; servers that it lacks are removed. The entries in \p copied may come from the older copy from which the store was
    /// restored: what was known of these servers before counts more.
    void replaceAll(std::span<const ServerEntry> entries, Instant now, std::span<const ServerEntry> copied = {});

    void setDomainOut(const std::string &domain, bool out);
    /// Replaces the complete list of the domains that are out of service.
    void replaceDomainsOut(std::span<const std::string> domains);
    void setInstance(const InstanceItem &instance);
    void removeInstance(const std::string &name);
    /// Replaces the complete list.
    void replaceInstances(std::span<const InstanceItem> instanceItems);
    /// Returns the instances that count as alive, also if the store's list lacks them.
    std::vector<InstanceItem> knownInstances() const;

    /// The store has come back from an older copy. To be called before its contents replace what is known: what they lack is kept for the times in
    /// the options.
    void beginEpoch(Instant now);

    /// Called when the store has become unavailable. Servers that are missing are kept, because nobody would learn that they are back.
    void onStoreLost();
    /// Called when the store is available again after an outage. Starts the grace period for removals, also of servers that were missing before.
    void onStoreRecovered(Instant now);
    /// Extends the grace period: removals within \p grace may be caused by an outage that another instance has
    /// detected.
    void extendRemovalGrace(Duration grace, Instant now);
    /// Returns the rest of the grace period, in which removals may be caused by an outage.
    Duration remainingRemovalGrace(Instant now) const;

    /// Drops what was not written again in time, and trusts entries that have stood long enough. What would bring work to servers waits until the
    /// contents of the store are known as of that time: \p storeKnownAt is the latest time as of which they are.
    ExpiredEntries dropExpired(Instant now, Instant storeKnownAt = Instant::max());
    std::optional<Instant> nextExpiry() const;
    UnconfirmedEntries unconfirmed() const;

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
    /// A time after which something counts if the store has said nothing else until then.
    struct Deadline
    {
        Instant due{};
        /// Not before `due`.
        Instant nextCheck{};
    };

    struct Server
    {
        ServerEntry entry;
        ServerPointer record;
        /// Set while the entry is missing and the server may still be alive.
        std::optional<Instant> expiresAt;
        /// Set while the entry may be one that the store's older copy has brought back. The server gets no work.
        std::optional<Deadline> withheld;
        /// `entry` says that the server is draining, as was known before, and the store's older copy does not.
        bool drainingUnconfirmed = false;
    };

    /// A server whose entry has gone. It may come back, also unchanged, and is then still what its record says.
    struct FormerServer
    {
        ServerEntry entry;
        ServerPointer record;
        Instant removedAt{};
    };

    static Deadline deadlineAt(Instant due)
    {
        return {.due = due, .nextCheck = due};
    }
    /// Returns whether the deadline has passed with the store's contents known as of that time. Otherwise sets the time of the next check.
    static bool hasPassed(Deadline &deadline, Instant now, Instant storeKnownAt);
    /// Returns whether both entries describe the same server process with the same properties.
    static bool sameProcess(const ServerEntry &left, const ServerEntry &right);
    /// Returns whether \p left describes a process that started before that of \p right.
    static bool startedBefore(const ServerEntry &left, const ServerEntry &right);
    /// Adds or updates an entry. The server gets no work if \p isWithheld is set.
    Server &apply(const ServerEntry &entry, bool isWithheld, Instant now);
    /// Adds or updates an entry that may come from an older copy. \p newestAt are the latest start times of the known servers by address. Returns
    /// false if the entry is one of a process that has been followed by another under its id, and means nothing.
    bool applyCopied(const ServerEntry &entry, const std::map<std::string, std::int64_t> &newestAt, Instant now);
    /// Returns whether a process that started later is known at the address of a server.
    bool isAddressTaken(const ServerEntry &entry) const;
    /// Returns the record for a new or changed entry of a server: the former one of the same process, or a new one.
    /// The record is excluded as `gone` if \p isWithheld is set.
    ServerPointer makeRecord(const ServerEntry &entry, const Server &previous, bool isWithheld);
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
    /// Those of `domainsOutOfService` that the contents of a restored store lack.
    std::map<std::string, Deadline> unconfirmedDomains;
    /// By name.
    std::map<std::string, InstanceItem> instances;
    /// The names of those of `instances` that the contents of a restored store lack, and when they are dropped.
    std::map<std::string, Instant> unconfirmedInstances;
    /// As of the last `build()`: the aggregators, those that this instance asks, and the services that hold shards.
    AggregatorPool pool;
    std::map<std::string, std::string> aggregatorPeers;
    std::set<std::string> shardServices;
    std::uint64_t version = 0;
    /// Removals before this time may be caused by the outage and not by the servers.
    Instant graceEnd{};
    bool storeLost = false;
};

} // namespace ragwort

#endif
