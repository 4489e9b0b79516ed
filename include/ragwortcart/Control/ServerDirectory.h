/// \file
/// Builds the topology from the platform's instance list, the servers' statuses, the configuration and this instance's
/// ordinal. Performs no I/O.
///
/// Instances that serve routes use ServerRegistry instead.
#ifndef RAGWORTCART_CONTROL_SERVERDIRECTORY_H
#define RAGWORTCART_CONTROL_SERVERDIRECTORY_H

#include "ragwortcart/Control/OrdinalManager.h"
#include "ragwortcart/Kernel/Topology.h"
#include "ragwortcart/Model/Configuration.h"
#include "ragwortcart/Model/ServerStatus.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort {

/// A backend server in the platform's instance list.
struct ListedServer
{
    ServerIdentity identity;
    bool leaving = false;
};

/// An entry instance in the platform's instance list.
struct ListedEntryInstance
{
    std::string id;
    std::string domain;
    std::string peerAddress;
    std::string operatorAddress;
    bool leaving = false;
};

/// A status and the time at which this instance or a peer observed it.
struct ObservedStatus
{
    ServerStatus status;
    Instant observedAt{};
};

class ServerDirectory
{
public:
    ServerDirectory(std::string ownInstance, std::string ownDomain);

    // Each of these returns true if the topology must be rebuilt. The lists are complete and replace the previous ones.
    bool setServers(std::vector<ListedServer> listed);
    bool setEntryInstances(std::vector<ListedEntryInstance> listed);
    bool setConfiguration(std::shared_ptr<const Configuration> next);
    bool setCrossDomainAllowed(bool allowed);
    /// Sets the time until which requests may be sent to other failure domains. Takes effect immediately, also in
    /// existing topologies.
    void setCrossDomainUntil(Instant until)
    {
        this->crossDomainUntilUs->store(until.time_since_epoch().count(), std::memory_order_release);
    }
    /// Applies \p status to its server's record. Ignores a status that is not newer than the known one, and one of a
    /// server that is not listed. Returns true if the topology must be rebuilt.
    bool recordStatus(const ServerStatus &status, Instant observedAt);

    /// Builds the topology from the current state, with the shares that belong to this instance's ordinal.
    std::shared_ptr<const Topology> build(const OrdinalManager &ordinals, Instant now);

    const std::vector<ListedEntryInstance> &entryInstances() const
    {
        return this->listedInstances;
    }
    const std::map<std::string, ObservedStatus> &statuses() const
    {
        return this->observed;
    }
    std::shared_ptr<ServerRecord> findServer(std::string_view id) const;

    /// Returns the servers that this instance polls. Each server is polled by one live instance of its own failure
    /// domain, or of the whole tier if its domain has none.
    std::vector<std::shared_ptr<ServerRecord>> serversToPoll() const;

private:
    void applyExclusions(ServerRecord &record, const ListedServer &listed) const;
    void addSnapshots(GroupTopology &group, const std::shared_ptr<ServerRecord> &record) const;

    std::string instance;
    std::string domain;
    std::vector<ListedServer> listedServers;
    std::vector<ListedEntryInstance> listedInstances;
    std::map<std::string, std::shared_ptr<ServerRecord>, std::less<>> records;
    std::map<std::string, ObservedStatus> observed;
    std::shared_ptr<const Configuration> configuration = std::make_shared<const Configuration>();
    bool crossDomainAllowed = true;
    std::shared_ptr<std::atomic<std::int64_t>> crossDomainUntilUs = std::make_shared<std::atomic<std::int64_t>>(INT64_MAX);
    std::uint64_t version = 0;
};

} // namespace ragwort

#endif
