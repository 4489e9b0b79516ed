/// \file
/// Implements the registry of backend servers and the calculation of this instance's shares.
#include "ragwortcart/Control/ServerRegistry.h"

#include "ragwortcart/Support/Hash.h"

#include <algorithm>
#include <cmath>

namespace ragwort {

/// Window over which requests to a cold server are counted, with a margin for clock granularity.
static constexpr Duration COLD_WINDOW = std::chrono::milliseconds(1020);
/// Interval for instances that may not send to a cold server at all.
static constexpr Duration BLOCKED_INTERVAL = std::chrono::hours(24);
/// Percentage of a server's connections that are assigned to instances if there are fewer connections than instances.
/// The rest is reserved for instances with a different view of the list and for those without another replica.
static constexpr int ASSIGNED_CONNECTIONS_PERCENT = 85;
/// After a power failure a server still holds the connections of the previous entry processes beside those of the new
/// ones.
static constexpr int CONNECTION_GENERATIONS = 2;
/// Affinity penalty per rank in an instance's order of replicas: the latency advantage that a replica needs over the
/// one before it, more than the cost of a new connection.
static constexpr Duration AFFINITY_PENALTY_STEP = std::chrono::milliseconds(6);
/// Latency advantage that a replica in another failure domain needs over one in the own domain, beyond what the way there costs: responses that
/// cross domains share narrower links.
static constexpr Duration CROSS_DOMAIN_PENALTY = std::chrono::milliseconds(8);
/// The same where queries are divided. An aggregator asks many shards at once, so that its latencies depend more on its own processor than on the
/// server, and an advantage must be larger to mean anything.
static constexpr Duration AGGREGATED_CROSS_DOMAIN_PENALTY = std::chrono::milliseconds(25);
/// Scarce connections are closed after this idle time. Those to replicas other than the preferred one are closed to
/// leave room for instances that restart while the servers still hold the connections of their previous processes. All
/// are closed if there are connections for fewer than half of the instances, which then have to take turns.
static constexpr Duration SCARCE_IDLE_TIMEOUT = std::chrono::seconds(1);
/// How long the record of a server is kept after its entry has gone: much longer than a leaving server serves on.
static constexpr Duration FORMER_SERVER_LIFETIME = std::chrono::minutes(10);
/// Percentage of what all instances together may do at the servers of shards that is reserved for the aggregators. The others need the rest if
/// no aggregator is left to them.
static constexpr int AGGREGATORS_PERCENT = 50;
/// Interval at which a deadline that has passed is checked again while the store's contents are not known as of it.
static constexpr Duration DEADLINE_CHECK_INTERVAL = std::chrono::milliseconds(250);
/// Headroom for instances that start before the others know about them.
static constexpr int JOINING_INSTANCES = 1;

ServerRegistry::ServerRegistry(Options registryOptions) : options(std::move(registryOptions))
{
}

bool ServerRegistry::sameProcess(const ServerEntry &left, const ServerEntry &right)
{
    return left.startedMs == right.startedMs && left.address == right.address && left.service == right.service && left.domain == right.domain
        && left.slots == right.slots;
}

bool ServerRegistry::startedBefore(const ServerEntry &left, const ServerEntry &right)
{
    return left.startedMs != 0 && left.startedMs < right.startedMs;
}

bool ServerRegistry::hasPassed(Deadline &deadline, Instant now, Instant storeKnownAt)
{
    if (now < deadline.nextCheck) {
        return false;
    }
    deadline.nextCheck = now + DEADLINE_CHECK_INTERVAL;
    return storeKnownAt >= deadline.due;
}

ServerPointer ServerRegistry::makeRecord(const ServerEntry &entry, const Server &previous, bool isWithheld)
{
    const auto former = this->formerServers.find(entry.id);
    ServerPointer known = previous.record;
    std::int64_t knownStartedMs = previous.entry.startedMs;
    if (former != this->formerServers.end()) {
        known = former->second.record;
        knownStartedMs = former->second.entry.startedMs;
        const bool same = sameProcess(entry, former->second.entry);
        this->formerServers.erase(former);
        if (same) {
            known->setExclusion(ServerRecord::gone, isWithheld);
            return known;
        }
    }
    auto record = std::make_shared<ServerRecord>(ServerIdentity{
        .id = entry.id, .address = entry.address, .team = {}, .group = {}, .service = entry.service, .domain = entry.domain, .slots = entry.slots});
    record->inOtherDomain.store(entry.domain != this->options.domain);
    record->setExclusion(ServerRecord::gone, isWithheld);
    if (known && knownStartedMs == entry.startedMs) {
        record->inheritStatement(*known);
    }
    return record;
}

void ServerRegistry::retire(const Server &server, Instant now)
{
    server.record->setExclusion(ServerRecord::gone, true);
    std::erase_if(this->formerServers, [now](const auto &each) { return now - each.second.removedAt > FORMER_SERVER_LIFETIME; });
    this->formerServers[server.entry.id] = {.entry = server.entry, .record = server.record, .removedAt = now};
}

bool ServerRegistry::set(const ServerEntry &entry, Instant now)
{
    const auto found = this->servers.find(entry.id);
    if (found != this->servers.end()) {
        const Server &server = found->second;
        const bool isConfirmed = !server.expiresAt && !server.withheld && !server.drainingUnconfirmed;
        if (isConfirmed && sameProcess(server.entry, entry) && server.entry.draining == entry.draining && entry.warmUpLeft == Duration::zero()) {
            return false;
        }
    }
    this->apply(entry, false, now);
    return true;
}

ServerRegistry::Server &ServerRegistry::apply(const ServerEntry &entry, bool isWithheld, Instant now)
{
    Server &server = this->servers[entry.id];
    if (!server.record || !sameProcess(server.entry, entry)) {
        const ServerPointer next = this->makeRecord(entry, server, isWithheld);
        if (server.record) {
            server.record->setExclusion(ServerRecord::gone, true);
        }
        server.record = next;
    } else if (server.withheld && !isWithheld) {
        server.record->setExclusion(ServerRecord::gone, false);
    }
    server.entry = entry;
    server.expiresAt.reset();
    server.withheld.reset();
    if (isWithheld) {
        server.withheld = deadlineAt(now + this->options.serverSilence);
    }
    server.drainingUnconfirmed = false;
    if (entry.warmUpLeft > Duration::zero()) {
        server.record->announcedColdUntilUs.store((now + entry.warmUpLeft).time_since_epoch().count());
    }
    this->updateExclusions(server);
    return server;
}

bool ServerRegistry::applyCopied(const ServerEntry &entry, const std::map<std::string, std::int64_t> &newestAt, Instant now)
{
    const auto known = this->servers.find(entry.id);
    const auto former = this->formerServers.find(entry.id);
    const ServerEntry *before = nullptr;
    if (known != this->servers.end()) {
        before = &known->second.entry;
    } else if (former != this->formerServers.end()) {
        before = &former->second.entry;
    }
    if (before != nullptr && startedBefore(entry, *before)) {
        return false;
    }
    const bool isNewProcess = before == nullptr || startedBefore(*before, entry);
    if (known != this->servers.end() && known->second.withheld && !isNewProcess) {
        return true;
    }
    ServerEntry believed = entry;
    if (!isNewProcess) {
        believed.draining = entry.draining || before->draining;
        // How long the server is still cold was said when the entry was written, and is known.
        believed.warmUpLeft = sameProcess(entry, *before) ? Duration::zero() : entry.warmUpLeft;
    }
    const auto newest = newestAt.find(entry.address);
    const bool addressTaken = newest != newestAt.end() && entry.startedMs != 0 && entry.startedMs < newest->second;
    const bool hadGone = known == this->servers.end() && !isNewProcess;
    const bool isWithheld = hadGone || (isNewProcess && addressTaken);
    this->apply(believed, isWithheld, now).drainingUnconfirmed = believed.draining && !entry.draining;
    return true;
}

bool ServerRegistry::isAddressTaken(const ServerEntry &entry) const
{
    return std::any_of(this->servers.begin(), this->servers.end(), [&entry](const auto &each) {
        const Server &other = each.second;
        return !other.withheld && other.entry.address == entry.address && startedBefore(entry, other.entry);
    });
}

bool ServerRegistry::remove(const std::string &id, Instant now)
{
    const auto found = this->servers.find(id);
    if (found == this->servers.end() || found->second.expiresAt) {
        return false;
    }
    if (now < this->graceEnd && !found->second.withheld) {
        found->second.expiresAt = this->graceEnd;
        return false;
    }
    this->retire(found->second, now);
    this->servers.erase(found);
    return true;
}

void ServerRegistry::replaceAll(std::span<const ServerEntry> entries, Instant now, std::span<const ServerEntry> copied)
{
    std::set<std::string> listed;
    for (const ServerEntry &entry : entries) {
        listed.insert(entry.id);
        this->set(entry, now);
    }
    std::map<std::string, std::int64_t> newestAt;
    if (!copied.empty()) {
        for (const auto &[id, server] : this->servers) {
            std::int64_t &newest = newestAt[server.entry.address];
            newest = server.withheld ? newest : std::max(newest, server.entry.startedMs);
        }
    }
    for (const ServerEntry &entry : copied) {
        if (this->applyCopied(entry, newestAt, now)) {
            listed.insert(entry.id);
        }
    }
    std::vector<std::string> missing;
    for (const auto &[id, server] : this->servers) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const std::string &id : missing) {
        this->remove(id, now);
    }
}

void ServerRegistry::setDomainOut(const std::string &domain, bool out)
{
    if (out) {
        this->domainsOutOfService.insert(domain);
    } else {
        this->domainsOutOfService.erase(domain);
    }
    this->unconfirmedDomains.erase(domain);
    for (const auto &[id, server] : this->servers) {
        this->updateExclusions(server);
    }
}

void ServerRegistry::replaceDomainsOut(std::span<const std::string> domains)
{
    for (const std::string &domain : domains) {
        this->setDomainOut(domain, true);
    }
    std::vector<std::string> restored;
    for (const std::string &domain : this->domainsOutOfService) {
        if (!this->unconfirmedDomains.contains(domain) && std::find(domains.begin(), domains.end(), domain) == domains.end()) {
            restored.push_back(domain);
        }
    }
    for (const std::string &domain : restored) {
        this->setDomainOut(domain, false);
    }
}

void ServerRegistry::setInstance(const InstanceItem &instance)
{
    this->instances[instance.name] = instance;
    this->unconfirmedInstances.erase(instance.name);
}

void ServerRegistry::removeInstance(const std::string &name)
{
    this->instances.erase(name);
    this->unconfirmedInstances.erase(name);
}

void ServerRegistry::replaceInstances(std::span<const InstanceItem> instanceItems)
{
    std::erase_if(this->instances, [this](const auto &each) { return !this->unconfirmedInstances.contains(each.first); });
    for (const InstanceItem &instanceItem : instanceItems) {
        this->setInstance(instanceItem);
    }
}

std::vector<InstanceItem> ServerRegistry::knownInstances() const
{
    std::vector<InstanceItem> known;
    known.reserve(this->instances.size());
    for (const auto &[name, instance] : this->instances) {
        known.push_back(instance);
    }
    return known;
}

void ServerRegistry::beginEpoch(Instant now)
{
    this->onStoreRecovered(now);
    for (auto &[id, server] : this->servers) {
        if (server.withheld) {
            server.withheld = deadlineAt(now + this->options.serverSilence);
        }
    }
    for (const std::string &domain : this->domainsOutOfService) {
        this->unconfirmedDomains[domain] = deadlineAt(this->graceEnd);
    }
    for (const auto &[name, instance] : this->instances) {
        this->unconfirmedInstances[name] = now + this->options.instanceGrace;
    }
}

void ServerRegistry::onStoreLost()
{
    this->storeLost = true;
}

void ServerRegistry::onStoreRecovered(Instant now)
{
    this->storeLost = false;
    this->graceEnd = now + this->options.removalGrace;
    for (auto &[id, server] : this->servers) {
        if (server.expiresAt) {
            server.expiresAt = this->graceEnd;
        }
    }
}

void ServerRegistry::extendRemovalGrace(Duration grace, Instant now)
{
    if (grace > Duration::zero()) {
        this->graceEnd = std::max(this->graceEnd, now + std::min(grace, this->options.removalGrace));
    }
}

Duration ServerRegistry::remainingRemovalGrace(Instant now) const
{
    return std::max(this->graceEnd - now, Duration::zero());
}

ExpiredEntries ServerRegistry::dropExpired(Instant now, Instant storeKnownAt)
{
    ExpiredEntries expired;
    for (auto &[id, server] : this->servers) {
        if (server.expiresAt && now >= *server.expiresAt && !this->storeLost) {
            this->retire(server, now);
            expired.servers.push_back(id);
        }
    }
    for (const std::string &id : expired.servers) {
        this->servers.erase(id);
    }
    for (auto &[id, server] : this->servers) {
        if (!server.withheld || !hasPassed(*server.withheld, now, storeKnownAt)) {
            continue;
        }
        if (this->isAddressTaken(server.entry)) {
            server.withheld = deadlineAt(now + this->options.serverSilence);
            continue;
        }
        server.withheld.reset();
        server.record->setExclusion(ServerRecord::gone, false);
        expired.trustedServers.push_back(id);
    }
    for (auto &[domain, deadline] : this->unconfirmedDomains) {
        if (hasPassed(deadline, now, storeKnownAt)) {
            expired.domains.push_back(domain);
        }
    }
    for (const std::string &domain : expired.domains) {
        this->setDomainOut(domain, false);
    }
    for (const auto &[name, dropAt] : this->unconfirmedInstances) {
        if (now >= dropAt) {
            expired.instances.push_back(name);
        }
    }
    for (const std::string &name : expired.instances) {
        this->removeInstance(name);
    }
    return expired;
}

std::optional<Instant> ServerRegistry::nextExpiry() const
{
    std::optional<Instant> next;
    const auto consider = [&next](Instant when) { next = std::min(next.value_or(when), when); };
    for (const auto &[id, server] : this->servers) {
        if (server.expiresAt && !this->storeLost) {
            consider(*server.expiresAt);
        }
        if (server.withheld) {
            consider(server.withheld->nextCheck);
        }
    }
    for (const auto &[domain, deadline] : this->unconfirmedDomains) {
        consider(deadline.nextCheck);
    }
    for (const auto &[name, dropAt] : this->unconfirmedInstances) {
        consider(dropAt);
    }
    return next;
}

UnconfirmedEntries ServerRegistry::unconfirmed() const
{
    const auto isUnconfirmed = [](const auto &each) {
        const Server &server = each.second;
        return server.expiresAt || server.withheld || server.drainingUnconfirmed;
    };
    return {.servers = static_cast<std::size_t>(std::count_if(this->servers.begin(), this->servers.end(), isUnconfirmed)),
            .domains = this->unconfirmedDomains.size(),
            .instances = this->unconfirmedInstances.size()};
}

int ServerRegistry::liveInstances() const
{
    const bool listed = this->instances.contains(this->options.instance);
    return std::max(1, static_cast<int>(this->instances.size()) + (listed ? 0 : 1));
}

int ServerRegistry::instancesIn(const std::string &domain) const
{
    const auto inDomain = [&domain](const auto &instance) { return instance.second.domain == domain; };
    return static_cast<int>(std::count_if(this->instances.begin(), this->instances.end(), inDomain));
}

int ServerRegistry::connectionRank(const Server &server) const
{
    const std::uint64_t seed = stableHash(server.entry.id);
    const bool near = server.entry.domain == this->options.domain;
    const std::uint64_t own = stableHash(this->options.instance, seed);
    int preceding = 0;
    const bool aggregates = this->pool.contains(this->options.instance);
    const bool divided = !this->pool.empty() && this->shardServices.contains(server.entry.service);
    for (const auto &[name, instance] : this->instances) {
        if (divided && this->pool.contains(name) != aggregates) {
            continue;
        }
        const bool otherNear = instance.domain == server.entry.domain;
        const bool closer = otherNear && !near;
        const bool equallyClose = otherNear == near;
        if (name != this->options.instance && (closer || (equallyClose && stableHash(name, seed) < own))) {
            ++preceding;
        }
    }
    return preceding;
}

void ServerRegistry::updateExclusions(const Server &server) const
{
    server.record->setExclusion(ServerRecord::draining, server.entry.draining);
    server.record->setExclusion(ServerRecord::domainOut, this->domainsOutOfService.contains(server.entry.domain));
}

void ServerRegistry::updateShare(const Server &server, const RouteTable &routes) const
{
    const auto service = routes.services.find(server.entry.service);
    if (service == routes.services.end()) {
        return;
    }
    const ConnectionShares shares = this->sharesOf(server.entry.service, service->second.connections);
    const bool holdsShard = this->shardServices.contains(server.entry.service);
    const int sharingInstances = this->liveInstances() + JOINING_INSTANCES;
    server.record->warmShare.store(std::max(1, shares.connections / shares.sharers));
    server.record->rateSharers.store(holdsShard ? static_cast<int>(std::ceil(1.0 / this->fractionOfTier())) : sharingInstances);
    server.record->connectionAssigned.store(shares.connections >= shares.sharers
                                            || this->connectionRank(server) < shares.connections * ASSIGNED_CONNECTIONS_PERCENT / 100);
    // The instances in a cold server's own failure domain share its capacity, or only the aggregators there, which send it most requests. The
    // others send it no requests, unless that domain has no instances.
    const int domainInstances = this->instancesIn(server.entry.domain);
    const int domainAggregators = holdsShard ? this->pool.countIn(server.entry.domain) : 0;
    const bool inDomain = server.entry.domain == this->options.domain;
    const bool sharesCold = domainAggregators > 0 ? inDomain && this->pool.contains(this->options.instance) : domainInstances == 0 || inDomain;
    const int coldSharers = domainAggregators > 0 ? domainAggregators + JOINING_INSTANCES : domainInstances == 0 ? sharingInstances : domainInstances;
    const double coldCapacity = service->second.coldRate * this->options.coldRateFactor + this->options.coldRateAddition;
    const auto perWindow = static_cast<int>(coldCapacity / std::max(coldSharers, 1));
    server.record->announcedColdIntervalUs.store(sharesCold && perWindow > 0 ? COLD_WINDOW.count() / perWindow : Duration(BLOCKED_INTERVAL).count());
    if (!sharesCold || perWindow == 0) {
        server.record->announcedColdNextRequestUs.store(server.record->announcedColdUntilUs.load());
    }
}

void ServerRegistry::updateReplicaAffinity(std::span<const ServerPointer> replicas, const ConnectionShares &shares) const
{
    const bool scarce = shares.connections < shares.sharers * CONNECTION_GENERATIONS;
    const bool timeShared = shares.connections * CONNECTION_GENERATIONS < shares.sharers;
    std::vector<ServerPointer> ordered(replicas.begin(), replicas.end());
    const auto order = [this](const ServerPointer &server) {
        return std::pair(server->inOtherDomain.load(std::memory_order_relaxed), stableHash(this->options.instance, stableHash(server->identity.id)));
    };
    std::sort(ordered.begin(), ordered.end(), [&order](const ServerPointer &left, const ServerPointer &right) { return order(left) < order(right); });
    const bool hasNearReplica = std::any_of(ordered.begin(), ordered.end(), [](const ServerPointer &server) {
        return !server->inOtherDomain.load(std::memory_order_relaxed) && !server->isExcluded();
    });
    const Duration crossDomainPenalty = this->pool.empty() ? CROSS_DOMAIN_PENALTY : AGGREGATED_CROSS_DOMAIN_PENALTY;
    std::int64_t penalty = 0;
    for (const ServerPointer &server : ordered) {
        const bool far = hasNearReplica && server->inOtherDomain.load(std::memory_order_relaxed);
        const std::int64_t distancePenalty = far ? crossDomainPenalty.count() : 0;
        server->affinityPenaltyUs.store((scarce ? penalty : 0) + distancePenalty, std::memory_order_relaxed);
        const bool shortensIdleTimeout = timeShared || (scarce && penalty > 0);
        server->idleTimeoutUs.store(shortensIdleTimeout ? SCARCE_IDLE_TIMEOUT.count() : 0, std::memory_order_relaxed);
        // A replica that accepts no new work occupies no rank.
        penalty += server->isExcluded() ? 0 : AFFINITY_PENALTY_STEP.count();
    }
}

ServerRegistry::ConnectionShares ServerRegistry::sharesOf(const std::string &service, int connections) const
{
    const int all = this->liveInstances() + JOINING_INSTANCES;
    if (this->pool.empty() || !this->shardServices.contains(service)) {
        return {.connections = connections, .sharers = all};
    }
    const int aggregators = static_cast<int>(this->pool.size());
    const int reserved = connections * AGGREGATORS_PERCENT / 100;
    if (this->pool.contains(this->options.instance)) {
        return {.connections = reserved, .sharers = aggregators + JOINING_INSTANCES};
    }
    return {.connections = connections - reserved, .sharers = std::max(all - aggregators, 1)};
}

double ServerRegistry::fractionOfTier() const
{
    const double all = this->liveInstances() + JOINING_INSTANCES;
    if (this->pool.empty()) {
        return 1.0 / all;
    }
    const double aggregators = static_cast<double>(this->pool.size());
    const double reserved = AGGREGATORS_PERCENT / 100.0;
    return this->pool.contains(this->options.instance) ? reserved / (aggregators + JOINING_INSTANCES) : (1.0 - reserved) / std::max(all - aggregators, 1.0);
}

std::set<std::string> ServerRegistry::holdingDomains() const
{
    std::map<std::string, int> servers;
    int most = 0;
    for (const auto &[id, server] : this->servers) {
        if (this->shardServices.contains(server.entry.service) && !server.record->isExcluded()) {
            most = std::max(most, ++servers[server.entry.domain]);
        }
    }
    std::set<std::string> holding;
    for (const auto &[domain, count] : servers) {
        if (count * 2 >= most) {
            holding.insert(domain);
        }
    }
    return holding;
}

/// Returns the services that hold shards under \p routes.
static std::set<std::string> shardServicesOf(const RouteTable &routes)
{
    std::set<std::string> services;
    for (const Route &route : routes.routes) {
        if (const auto *shards = std::get_if<ShardSet>(&route.target)) {
            services.insert(shards->services.begin(), shards->services.end());
        }
    }
    return services;
}

QueryDivision ServerRegistry::makeDivision()
{
    this->aggregatorPeers.clear();
    if (this->pool.empty()) {
        return {};
    }
    const std::set<std::string> holding = this->holdingDomains();
    QueryDivision division{.aggregators = {},
                           .ownCapacity = this->options.capacity,
                           .aggregates = this->pool.contains(this->options.instance),
                           .domainHoldsShards = holding.contains(this->options.domain)};
    for (const InstanceItem &aggregator : this->pool.aggregatorsFor(this->options.instance, this->options.domain, holding)) {
        division.aggregators.push_back({.instance = aggregator.name, .capacity = aggregator.capacity});
        this->aggregatorPeers[aggregator.name] = aggregator.peerAddress;
    }
    return division;
}

std::shared_ptr<const Topology> ServerRegistry::build(const RouteTable &routes)
{
    this->shardServices = shardServicesOf(routes);
    this->pool = AggregatorPool(this->instances, routes);
    auto topology = std::make_shared<Topology>();
    topology->version = ++this->version;
    topology->liveInstances = this->liveInstances();
    topology->division = this->makeDivision();
    if (!this->pool.empty()) {
        topology->gatherFraction = this->fractionOfTier();
    }
    for (const auto &[id, server] : this->servers) {
        this->updateShare(server, routes);
        topology->servers[id] = server.record;
        topology->services[server.entry.service].push_back(server.record);
    }
    for (const auto &[service, replicas] : topology->services) {
        if (const auto known = routes.services.find(service); known != routes.services.end()) {
            this->updateReplicaAffinity(replicas, this->sharesOf(service, known->second.connections));
        }
    }
    return topology;
}

} // namespace ragwort
