/// \file
/// Implements the assembly of the topology and the selection of the servers to poll.
#include "ragwortcart/Control/ServerDirectory.h"

#include "ragwortcart/Support/Hash.h"

#include <algorithm>

namespace ragwort {

ServerDirectory::ServerDirectory(std::string ownInstance, std::string ownDomain) : instance(std::move(ownInstance)), domain(std::move(ownDomain))
{
}

static bool sameServer(const ListedServer &left, const ListedServer &right)
{
    return left.leaving == right.leaving && left.identity.id == right.identity.id && left.identity.address == right.identity.address
        && left.identity.domain == right.identity.domain && left.identity.service == right.identity.service;
}

static bool sameInstance(const ListedEntryInstance &left, const ListedEntryInstance &right)
{
    return left.id == right.id && left.domain == right.domain && left.peerAddress == right.peerAddress && left.leaving == right.leaving;
}

bool ServerDirectory::setServers(std::vector<ListedServer> listed)
{
    if (std::equal(listed.begin(), listed.end(), this->listedServers.begin(), this->listedServers.end(), sameServer)) {
        return false;
    }
    this->listedServers = std::move(listed);
    std::map<std::string, std::shared_ptr<ServerRecord>, std::less<>> kept;
    for (const ListedServer &server : this->listedServers) {
        const auto found = this->records.find(server.identity.id);
        const bool same = found != this->records.end() && found->second->identity.address == server.identity.address;
        kept[server.identity.id] = same ? found->second : std::make_shared<ServerRecord>(server.identity);
    }
    for (const auto &[id, record] : this->records) {
        const auto found = kept.find(id);
        if (found == kept.end() || found->second != record) {
            record->setExclusion(ServerRecord::gone, true);
            this->observed.erase(id);
        }
    }
    this->records = std::move(kept);
    return true;
}

bool ServerDirectory::setEntryInstances(std::vector<ListedEntryInstance> listed)
{
    if (std::equal(listed.begin(), listed.end(), this->listedInstances.begin(), this->listedInstances.end(), sameInstance)) {
        return false;
    }
    this->listedInstances = std::move(listed);
    return true;
}

bool ServerDirectory::setConfiguration(std::shared_ptr<const Configuration> next)
{
    const bool changed = next != this->configuration;
    this->configuration = std::move(next);
    return changed;
}

bool ServerDirectory::setCrossDomainAllowed(bool allowed)
{
    const bool changed = allowed != this->crossDomainAllowed;
    this->crossDomainAllowed = allowed;
    return changed;
}

static bool sameSnapshots(const std::vector<ServerSnapshot> &left, const std::vector<ServerSnapshot> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const ServerSnapshot &one, const ServerSnapshot &other) {
        return one.id == other.id && one.range == other.range && one.documents == other.documents && one.totalDocuments == other.totalDocuments;
    });
}

bool ServerDirectory::recordStatus(const ServerStatus &status, Instant observedAt)
{
    const auto record = this->records.find(status.serverId);
    if (record == this->records.end()) {
        return false;
    }
    const auto found = this->observed.find(status.serverId);
    if (found != this->observed.end() && found->second.observedAt >= observedAt) {
        return false;
    }
    const bool changed = found == this->observed.end() || !sameSnapshots(found->second.status.snapshots, status.snapshots);
    this->observed[status.serverId] = {.status = status, .observedAt = observedAt};
    ServerRecord &server = *record->second;
    server.setExclusion(ServerRecord::draining, status.report.draining);
    server.reportedLoad.store(status.report.load, std::memory_order_relaxed);
    const std::uint64_t before = server.incarnation.exchange(status.report.incarnation);
    const bool restarted = before != 0 && before != status.report.incarnation;
    server.coldSuspected.store(false, std::memory_order_release);
    server.confirm(observedAt);
    if (restarted || (status.report.cold && !server.cold.load())) {
        server.warmUpLevel.store(0);
        server.warmUpAnswers.store(0);
        server.cold.store(true, std::memory_order_release);
        return true;
    }
    return changed;
}

std::shared_ptr<ServerRecord> ServerDirectory::findServer(std::string_view id) const
{
    const auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<ServerRecord>> ServerDirectory::serversToPoll() const
{
    std::vector<std::string> allInstances;
    std::map<std::string, std::vector<std::string>> byDomain;
    for (const ListedEntryInstance &entry : this->listedInstances) {
        if (!entry.leaving) {
            allInstances.push_back(entry.id);
            byDomain[entry.domain].push_back(entry.id);
        }
    }
    std::vector<std::shared_ptr<ServerRecord>> chosen;
    for (const auto &[id, record] : this->records) {
        const std::vector<std::string> &local = byDomain[record->identity.domain];
        const std::vector<std::string> &pollers = local.empty() ? allInstances : local;
        if (pollers.empty() || pollers[rendezvousSelect(id, pollers)] == this->instance) {
            chosen.push_back(record);
        }
    }
    return chosen;
}

void ServerDirectory::applyExclusions(ServerRecord &record, const ListedServer &listed) const
{
    const TierConfiguration &tier = this->configuration->tier;
    record.inOtherDomain.store(record.identity.domain != this->domain, std::memory_order_relaxed);
    record.setExclusion(ServerRecord::leaving, listed.leaving);
    record.setExclusion(ServerRecord::domainOut, tier.domainsOutOfService.contains(record.identity.domain));
    record.setExclusion(ServerRecord::serverOut, tier.serversOutOfService.contains(record.identity.id));
    record.setExclusion(ServerRecord::staleConfiguration, !this->crossDomainAllowed && record.identity.domain != this->domain);
}

void ServerDirectory::addSnapshots(GroupTopology &group, const std::shared_ptr<ServerRecord> &record) const
{
    const auto found = this->observed.find(record->identity.id);
    if (found == this->observed.end()) {
        return;
    }
    for (const ServerSnapshot &snapshot : found->second.status.snapshots) {
        auto layout = std::find_if(
            group.snapshots.begin(), group.snapshots.end(), [&snapshot](const SnapshotLayout &candidate) { return candidate.id == snapshot.id; });
        if (layout == group.snapshots.end()) {
            layout = group.snapshots.insert(group.snapshots.end(), SnapshotLayout{.id = snapshot.id});
        }
        layout->totalDocuments = std::max(layout->totalDocuments, snapshot.totalDocuments);
        auto shard
            = std::find_if(layout->shards.begin(), layout->shards.end(), [&snapshot](const Shard &candidate) { return candidate.range == snapshot.range; });
        if (shard == layout->shards.end()) {
            shard = layout->shards.insert(layout->shards.end(), Shard{.range = snapshot.range, .documents = snapshot.documents, .replicas = {}});
        }
        shard->replicas.push_back(record);
    }
}

static void sortLayouts(GroupTopology &group)
{
    std::sort(group.snapshots.begin(), group.snapshots.end(), [](const SnapshotLayout &left, const SnapshotLayout &right) { return left.id > right.id; });
    for (SnapshotLayout &layout : group.snapshots) {
        std::sort(layout.shards.begin(), layout.shards.end(), [](const Shard &left, const Shard &right) {
            return left.range.begin != right.range.begin ? left.range.begin < right.range.begin : left.replicas.size() > right.replicas.size();
        });
    }
}

std::shared_ptr<const Topology> ServerDirectory::build(const OrdinalManager &ordinals, Instant now)
{
    auto topology = std::make_shared<Topology>();
    topology->version = ++this->version;
    topology->crossDomainUntilUs = this->crossDomainUntilUs;
    topology->shareInputs = {.ordinal = ordinals.ordinal(), .ordinalCount = this->configuration->tier.maximumInstances};
    const auto live
        = std::count_if(this->listedInstances.begin(), this->listedInstances.end(), [](const ListedEntryInstance &entry) { return !entry.leaving; });
    topology->liveInstances = std::max(1, static_cast<int>(live));
    for (const ListedServer &listed : this->listedServers) {
        const std::shared_ptr<ServerRecord> &record = this->records[listed.identity.id];
        this->applyExclusions(*record, listed);
        const TeamConfiguration *team = this->configuration->findTeam(listed.identity.team);
        const BackendGroup *settings = team == nullptr ? nullptr : team->findGroup(listed.identity.group);
        if (settings == nullptr) {
            continue;
        }
        const Instant ownerUntil = ordinals.ownsWarmUpUntil(listed.identity.id, topology->shareInputs.ordinalCount, now);
        updateShares(*record, *settings, topology->shareInputs.forServer(ownerUntil));
        GroupTopology &group = topology->groups[groupKey(listed.identity.team, listed.identity.group)];
        group.team = listed.identity.team;
        group.group = listed.identity.group;
        group.servers.push_back(record);
        topology->servers[listed.identity.id] = record;
        this->addSnapshots(group, record);
    }
    for (auto &[key, group] : topology->groups) {
        sortLayouts(group);
    }
    return topology;
}

} // namespace ragwort
