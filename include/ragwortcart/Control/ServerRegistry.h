/// \file
/// The backend servers by their own entries in the platform's store: who may be sent work, and how much.
///
/// Without I/O and clock. Entries that vanish around an outage of the store are kept for as long as live servers may need
/// to write them again.
#ifndef RAGWORTCART_CONTROL_SERVERREGISTRY_H
#define RAGWORTCART_CONTROL_SERVERREGISTRY_H

#include "ragwortcart/Control/PlatformFacts.h"
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
        /// How long after the store's return a live server may take to write its entry again.
        Duration lapseGrace = std::chrono::milliseconds(2200);
        /// Requests a second that a cold server may get over all instances: a multiple of its own rate, and an addition.
        double coldRateFactor = 1.5;
        double coldRateAddition = 5.0;
    };

    explicit ServerRegistry(Options options);

    /// A server has written its entry. Returns false when nothing has changed.
    bool set(const ServerEntry &entry, Instant now);
    /// A server's entry has gone.
    bool remove(const std::string &id, Instant now);
    /// The whole list as it stands; whoever is not in it has gone.
    void replaceAll(std::span<const ServerEntry> entries, Instant now);

    void setDomainOut(const std::string &domain, bool out);
    void setInstance(const InstanceFact &instance);
    void removeInstance(const std::string &name);
    /// The whole list as it stands.
    void replaceInstances(std::span<const InstanceFact> facts);

    /// The store answers again after an outage.
    void storeReturned(Instant now);
    /// Entries that go within \p grace may still stem from an outage, as another instance says that noticed it.
    void extendLapseGrace(Duration grace, Instant now);
    /// How long entries that go may still stem from an outage.
    Duration lapseGraceLeft(Instant now) const;

    /// Drops the servers whose time to come back has passed; true when there were any.
    bool dropLapsed(Instant now);
    std::optional<Instant> nextLapse() const;

    /// What the kernel plans on, with the shares of this instance brought up to date.
    std::shared_ptr<const Topology> build(const RouteTable &routes);

    std::size_t size() const
    {
        return this->servers.size();
    }
    /// Entry instances alive, this one included.
    int liveInstances() const;

private:
    struct Server
    {
        ServerEntry entry;
        ServerPointer record;
        /// Set while the entry is missing and the server may still be alive.
        std::optional<Instant> lapsesAt;
    };

    void updateBarriers(const Server &server) const;
    void updateShare(const Server &server, const RouteTable &routes) const;
    /// Where the connections of a service's servers are scarce: orders the replicas, the own failure domain's first, and bounds how
    /// long connections are held.
    void updateUse(std::span<const ServerPointer> replicas, int connections) const;
    int instancesIn(const std::string &domain) const;
    /// How many instances come before this one in the order in which they may hold connections to the server.
    int ownerRank(const Server &server) const;

    Options options;
    std::map<std::string, Server> servers;
    std::set<std::string> domainsOut;
    /// By name; the value is the failure domain.
    std::map<std::string, std::string> instances;
    std::uint64_t version = 0;
    /// Removals up to then may come from the outage and not from the servers.
    Instant graceEnd{};
};

} // namespace ragwort

#endif
