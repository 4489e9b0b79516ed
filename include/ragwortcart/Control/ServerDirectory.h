/// \file
/// Builds the topology from the platform's instance list, the servers' reports, the configuration and the seat. Without I/O.
#ifndef RAGWORTCART_CONTROL_SERVERDIRECTORY_H
#define RAGWORTCART_CONTROL_SERVERDIRECTORY_H

#include "ragwortcart/Control/SeatKeeper.h"
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
struct ListedEntry
{
    std::string id;
    std::string domain;
    std::string peerAddress;
    std::string operatorAddress;
    bool leaving = false;
};

/// A status with the time at which it was observed, by this instance or a peer.
struct ObservedStatus
{
    ServerStatus status;
    Instant observedAt{};
};

class ServerDirectory
{
public:
    ServerDirectory(std::string ownInstance, std::string ownDomain);

    /// Each returns true when the topology has to be built anew.
    bool setServers(std::vector<ListedServer> listed);
    bool setEntries(std::vector<ListedEntry> listed);
    bool setConfiguration(std::shared_ptr<const Configuration> next);
    bool setCrossDomainAllowed(bool allowed);
    /// Takes effect at once, also in topologies built before.
    void setCrossDomainUntil(Instant until)
    {
        this->crossDomainUntilUs->store(until.time_since_epoch().count(), std::memory_order_release);
    }
    /// Keeps the newer of two statuses; an older one than known is ignored.
    bool noteStatus(const ServerStatus &status, Instant observedAt);

    /// Makes the topology of everything known now, with the shares that go with this instance's seat.
    std::shared_ptr<const Topology> build(const SeatKeeper &seats, Instant now);

    const std::vector<ListedEntry> &entries() const
    {
        return this->listedEntries;
    }
    const std::map<std::string, ObservedStatus> &statuses() const
    {
        return this->observed;
    }
    std::shared_ptr<ServerRecord> findServer(std::string_view id) const;

    /// The servers whose status this instance has to poll: each server is polled by one live instance of its own failure
    /// domain, or of the whole tier where its domain has none.
    std::vector<std::shared_ptr<ServerRecord>> serversToPoll() const;

private:
    void applyBarriers(ServerRecord &record, const ListedServer &listed) const;
    void addSnapshots(GroupTopology &group, const std::shared_ptr<ServerRecord> &record) const;

    std::string instance;
    std::string domain;
    std::vector<ListedServer> listedServers;
    std::vector<ListedEntry> listedEntries;
    std::map<std::string, std::shared_ptr<ServerRecord>, std::less<>> records;
    std::map<std::string, ObservedStatus> observed;
    std::shared_ptr<const Configuration> configuration = std::make_shared<const Configuration>();
    bool crossDomainAllowed = true;
    std::shared_ptr<std::atomic<std::int64_t>> crossDomainUntilUs = std::make_shared<std::atomic<std::int64_t>>(INT64_MAX);
    std::uint64_t version = 0;
};

} // namespace ragwort

#endif
