#include "ragwortcart/Control/ServerRegistry.h"

#include <gtest/gtest.h>

namespace ragwort {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class ServerRegistryTest : public testing::Test
{
protected:
    ServerRegistryTest() : registry({.instance = "i1", .domain = "a"})
    {
        this->routes.services["x"] = {.connections = 26, .warmUp = seconds(3), .coldRate = 0.0};
        this->registry.setInstance({.name = "i1", .domain = "a"});
    }

    static ServerEntry entry(const std::string &id, const std::string &domain = "a")
    {
        return {.id = id, .service = "x", .address = "10.0.0.1:80", .domain = domain, .slots = 2, .startedMs = 5};
    }

    ServerPointer find(const std::string &id)
    {
        const std::shared_ptr<const Topology> topology = this->registry.build(this->routes);
        const auto found = topology->servers.find(id);
        return found == topology->servers.end() ? nullptr : found->second;
    }

    ServerRegistry registry;
    RouteTable routes;
    Instant now{seconds(100)};
};

} // namespace

TEST_F(ServerRegistryTest, aDrainingServerReceivesNoNewWork)
{
    this->registry.set(entry("s"), this->now);
    const ServerPointer server = this->find("s");
    ServerEntry drainingEntry = entry("s");
    drainingEntry.draining = true;
    this->registry.set(drainingEntry, this->now);
    EXPECT_TRUE(server->isExcluded());
    EXPECT_EQ(this->find("s"), server);
}

TEST_F(ServerRegistryTest, dropsARemovedServerImmediatelyWithoutAnOutage)
{
    this->registry.set(entry("s"), this->now);
    const ServerPointer server = this->find("s");
    EXPECT_TRUE(this->registry.remove("s", this->now));
    EXPECT_TRUE(server->isExcluded());
    EXPECT_EQ(this->find("s"), nullptr);
}

TEST_F(ServerRegistryTest, keepsServersAfterAStoreOutageUntilTheGracePeriodExpires)
{
    this->registry.set(entry("alive"), this->now);
    this->registry.set(entry("dead"), this->now);
    this->registry.onStoreRecovered(this->now);
    this->registry.replaceAll({}, this->now);
    EXPECT_FALSE(this->find("alive")->isExcluded());
    EXPECT_FALSE(this->find("dead")->isExcluded());
    this->registry.set(entry("alive"), this->now + seconds(1));
    ASSERT_TRUE(this->registry.nextExpiry());
    EXPECT_TRUE(this->registry.dropExpired(*this->registry.nextExpiry()));
    EXPECT_NE(this->find("alive"), nullptr);
    EXPECT_EQ(this->find("dead"), nullptr);
}

/// Guards against servers that are dropped although nobody can learn that they are back: the store was away again before their grace period ended.
TEST_F(ServerRegistryTest, missingServersAreKeptWhileTheStoreIsAwayAgain)
{
    this->registry.set(entry("s"), this->now);
    this->registry.onStoreRecovered(this->now);
    this->registry.replaceAll({}, this->now);
    this->registry.onStoreLost();
    EXPECT_EQ(this->registry.nextExpiry(), std::nullopt);
    EXPECT_FALSE(this->registry.dropExpired(this->now + seconds(60)));
    this->registry.onStoreRecovered(this->now + seconds(60));
    EXPECT_FALSE(this->registry.dropExpired(this->now + seconds(61)));
    EXPECT_TRUE(this->registry.dropExpired(this->now + seconds(63)));
    EXPECT_EQ(this->find("s"), nullptr);
}

TEST_F(ServerRegistryTest, aRestartedServerGetsANewRecord)
{
    this->registry.set(entry("s"), this->now);
    const ServerPointer before = this->find("s");
    before->recordLatency(seconds(1), this->now);
    ServerEntry restarted = entry("s");
    restarted.startedMs = 6;
    this->registry.set(restarted, this->now);
    EXPECT_NE(this->find("s"), before);
    EXPECT_TRUE(before->isExcluded());
    EXPECT_EQ(this->find("s")->meanLatencyUs(), 0);
}

/// Guards against new work for a server that leaves: its entry lapses with an outage of the store and comes back unchanged.
TEST_F(ServerRegistryTest, aServerThatToldThatItLeavesStaysExcludedWhenItsEntryComesBack)
{
    this->registry.set(entry("s"), this->now);
    this->find("s")->setExclusion(ServerRecord::statedLeaving, true);
    EXPECT_TRUE(this->registry.remove("s", this->now));
    this->registry.set(entry("s"), this->now + seconds(20));
    EXPECT_TRUE(this->find("s")->isExcluded());
    ServerEntry changed = entry("s");
    changed.slots = 3;
    this->registry.set(changed, this->now + seconds(21));
    EXPECT_TRUE(this->find("s")->isExcluded());
}

TEST_F(ServerRegistryTest, aPauseOutlivesTheEntryOfAServer)
{
    this->registry.set(entry("s"), this->now);
    this->find("s")->startPause(seconds(30), 0.0, this->now);
    EXPECT_TRUE(this->registry.remove("s", this->now));
    this->registry.set(entry("s"), this->now + seconds(2));
    EXPECT_TRUE(this->find("s")->isPaused(this->now + seconds(29)));
}

TEST_F(ServerRegistryTest, aServerThatReturnsServesAgainAndANewProcessDoesNotLeave)
{
    this->registry.set(entry("s"), this->now);
    EXPECT_TRUE(this->registry.remove("s", this->now));
    this->registry.set(entry("s"), this->now + seconds(1));
    EXPECT_FALSE(this->find("s")->isExcluded());
    this->find("s")->setExclusion(ServerRecord::statedLeaving, true);
    ServerEntry restarted = entry("s");
    restarted.startedMs = 6;
    EXPECT_TRUE(this->registry.remove("s", this->now + seconds(2)));
    this->registry.set(restarted, this->now + seconds(3));
    EXPECT_FALSE(this->find("s")->isExcluded());
    // Another process at the address of a leaving one.
    this->registry.set(entry("t"), this->now + seconds(4));
    EXPECT_FALSE(this->find("t")->isExcluded());
}

TEST_F(ServerRegistryTest, aDomainTakenOutReceivesNoNewWorkUntilRestored)
{
    this->registry.set(entry("s", "b"), this->now);
    this->registry.setDomainOut("b", true);
    EXPECT_TRUE(this->find("s")->isExcluded());
    this->registry.set(entry("late", "b"), this->now);
    EXPECT_TRUE(this->find("late")->isExcluded());
    this->registry.setDomainOut("b", false);
    EXPECT_FALSE(this->find("s")->isExcluded());
    EXPECT_FALSE(this->find("late")->isExcluded());
}

TEST_F(ServerRegistryTest, sharesOfAllInstancesDoNotExceedAServersConnections)
{
    this->registry.set(entry("s"), this->now);
    for (int instances = 1; instances <= 12; ++instances) {
        this->registry.setInstance({.name = "i" + std::to_string(instances), .domain = "a"});
        EXPECT_LE(this->find("s")->warmShare * instances, 26);
        EXPECT_GE(this->find("s")->warmShare, 1);
    }
}

TEST_F(ServerRegistryTest, allInstancesAndOneMoreShareTheRequestsThatAServerAccepts)
{
    this->routes.services["x"] = {.connections = 12};
    for (const char *name : {"i1", "i2", "i3", "i4", "i5"}) {
        this->registry.setInstance({.name = name, .domain = "a"});
    }
    this->registry.set(entry("s"), this->now);
    const ServerPointer server = this->find("s");
    const int live = this->registry.liveInstances();
    EXPECT_EQ(server->rateSharers, live + 1);
    // A limit that was stated before the list changed is divided anew.
    server->limitRate(10.0, 0.0, this->now);
    const Duration before = server->limitedInterval();
    this->registry.setInstance({.name = "i6", .domain = "b"});
    this->find("s");
    EXPECT_EQ(server->rateSharers, live + 2);
    EXPECT_GT(server->limitedInterval(), before);
}

TEST_F(ServerRegistryTest, replacingTheInstanceListRemovesMissingInstances)
{
    this->registry.setInstance({.name = "i2", .domain = "a"});
    this->registry.setInstance({.name = "i3", .domain = "a"});
    EXPECT_EQ(this->registry.liveInstances(), 3);
    const std::vector<InstanceItem> listed = {{.name = "i3", .domain = "a"}};
    this->registry.replaceInstances(listed);
    EXPECT_EQ(this->registry.liveInstances(), 2);
}

TEST_F(ServerRegistryTest, keepsRemovedServersDuringAnOutageReportedByAPeer)
{
    this->registry.set(entry("s"), this->now);
    EXPECT_EQ(this->registry.remainingRemovalGrace(this->now), Duration::zero());
    this->registry.extendRemovalGrace(milliseconds(1500), this->now);
    EXPECT_EQ(this->registry.remainingRemovalGrace(this->now), milliseconds(1500));
    EXPECT_FALSE(this->registry.remove("s", this->now + milliseconds(1000)));
    EXPECT_FALSE(this->registry.dropExpired(this->now + milliseconds(1400)));
    EXPECT_TRUE(this->registry.dropExpired(this->now + milliseconds(1600)));
}

TEST_F(ServerRegistryTest, onlyInstancesOfAColdServersDomainShareItsCapacity)
{
    ServerEntry cold = entry("s");
    cold.warmUpLeft = seconds(3);
    this->registry.set(cold, this->now);
    this->registry.setInstance({.name = "i2", .domain = "a"});
    this->registry.setInstance({.name = "i3", .domain = "b"});
    const ServerPointer server = this->find("s");
    int started = 0;
    for (Instant at = this->now; at < this->now + seconds(1); at += milliseconds(10)) {
        started += server->tryAcquire(at) ? 1 : 0;
    }
    // Five requests per second over two instances.
    EXPECT_LE(started * 2, 5);
    EXPECT_GE(started, 1);

    ServerEntry otherDomainServer = entry("f", "b");
    otherDomainServer.warmUpLeft = seconds(3);
    this->registry.set(otherDomainServer, this->now);
    EXPECT_FALSE(this->find("f")->tryAcquire(this->now + seconds(1)));
    EXPECT_TRUE(this->find("f")->tryAcquire(this->now + seconds(4)));
}

TEST(ServerRegistryConnectionsTest, withFewerConnectionsThanInstancesEveryInstanceIsAssignedAReplicaOfEachShard)
{
    static constexpr int INSTANCES = 74;
    static constexpr int CONNECTIONS = 69;
    static const std::vector<std::string> DOMAINS = {"a", "b", "c"};
    RouteTable routes;
    std::map<std::string, int> held;
    for (int self = 0; self < INSTANCES; ++self) {
        ServerRegistry registry({.instance = "i" + std::to_string(self), .domain = DOMAINS[self % 3]});
        for (int other = 0; other < INSTANCES; ++other) {
            registry.setInstance({.name = "i" + std::to_string(other), .domain = DOMAINS[other % 3]});
        }
        for (int shard = 0; shard < 36; ++shard) {
            const std::string service = "s" + std::to_string(shard);
            routes.services[service] = {.connections = CONNECTIONS};
            for (const std::string &domain : DOMAINS) {
                registry.set({.id = service + domain, .service = service, .address = "10.0.0.1:80", .domain = domain, .slots = 4}, Instant(seconds(1)));
            }
        }
        const std::shared_ptr<const Topology> topology = registry.build(routes);
        for (const auto &[service, servers] : topology->services) {
            int assigned = 0;
            for (const ServerPointer &server : servers) {
                if (server->connectionAssigned) {
                    ++assigned;
                    held[server->identity.id] += server->warmShare;
                    EXPECT_EQ(server->warmShare, 1);
                } else {
                    EXPECT_TRUE(server->inOtherDomain);
                }
            }
            EXPECT_GE(assigned, 1) << service;
        }
    }
    for (const auto &[server, connections] : held) {
        EXPECT_LE(connections, CONNECTIONS) << server;
    }
}

TEST(ServerRegistryConnectionsTest, idleTimeoutsDependOnTheNumberOfInstances)
{
    const auto idleTimeoutsUs = [](int instances) {
        ServerRegistry registry({.instance = "i0", .domain = "a"});
        for (int other = 0; other < instances; ++other) {
            registry.setInstance({.name = "i" + std::to_string(other), .domain = "a"});
        }
        RouteTable routes;
        routes.services["s"] = {.connections = 69};
        for (const char *domain : {"a", "b"}) {
            registry.set({.id = domain, .service = "s", .address = "10.0.0.1:80", .domain = domain, .slots = 4}, Instant(seconds(1)));
        }
        const std::shared_ptr<const Topology> topology = registry.build(routes);
        return std::pair(topology->servers.at("a")->idleTimeoutUs.load(), topology->servers.at("b")->idleTimeoutUs.load());
    };
    EXPECT_EQ(idleTimeoutsUs(7), std::pair(std::int64_t{0}, std::int64_t{0})) << "enough connections for all instances twice";
    EXPECT_EQ(idleTimeoutsUs(74).first, 0) << "connections to the preferred replica are kept";
    EXPECT_GT(idleTimeoutsUs(74).second, 0);
    // Only one in four instances can hold a connection at a time, and needs it once in several seconds. Idle
    // connections to the preferred replica are therefore closed, too.
    EXPECT_GT(idleTimeoutsUs(300).first, 0);
    EXPECT_LE(idleTimeoutsUs(300).first, Duration(seconds(1)).count());
}

/// Guards against parts that cross failure domains although a replica of the own domain is as good.
TEST_F(ServerRegistryTest, prefersTheReplicasOfTheOwnDomainAlsoIfConnectionsAreNotScarce)
{
    this->registry.set(entry("near"), this->now);
    this->registry.set(entry("far", "b"), this->now);
    EXPECT_EQ(this->find("near")->affinityPenaltyUs, 0);
    EXPECT_GT(this->find("far")->affinityPenaltyUs, 0);
    ServerEntry leaving = entry("near");
    leaving.draining = true;
    this->registry.set(leaving, this->now);
    EXPECT_EQ(this->find("far")->affinityPenaltyUs, 0) << "no replica is left in the own domain";
}

/// After a power failure of all machines, the servers still hold the connections of the previous processes. All
/// instances can connect again only if they use less than half of a server's connections.
TEST(ServerRegistryConnectionsTest, scarceConnectionsGiveEachInstanceOnePreferredReplicaAndUseLessThanHalfOfThem)
{
    static constexpr int INSTANCES = 61;
    static constexpr int CONNECTIONS = 62;
    static const std::vector<std::string> DOMAINS = {"a", "b", "c", "d", "e"};
    RouteTable routes;
    std::map<std::string, int> preferredBy;
    for (int self = 0; self < INSTANCES; ++self) {
        const std::string domain = DOMAINS[self % 5];
        ServerRegistry registry({.instance = "i" + std::to_string(self), .domain = domain});
        for (int other = 0; other < INSTANCES; ++other) {
            registry.setInstance({.name = "i" + std::to_string(other), .domain = DOMAINS[other % 5]});
        }
        for (int shard = 0; shard < 36; ++shard) {
            const std::string service = "s" + std::to_string(shard);
            routes.services[service] = {.connections = CONNECTIONS};
            for (int replica = 0; replica < 3; ++replica) {
                const std::string &replicaDomain = DOMAINS[(shard + replica) % 5];
                registry.set({.id = service + replicaDomain, .service = service, .address = "10.0.0.1:80", .domain = replicaDomain, .slots = 4},
                             Instant(seconds(1)));
            }
        }
        const std::shared_ptr<const Topology> topology = registry.build(routes);
        for (const auto &[service, servers] : topology->services) {
            int preferred = 0;
            bool localPreferred = false;
            bool local = false;
            for (const ServerPointer &server : servers) {
                local = local || server->identity.domain == domain;
                if (server->affinityPenaltyUs == 0) {
                    ++preferred;
                    ++preferredBy[server->identity.id];
                    localPreferred = server->identity.domain == domain;
                }
            }
            EXPECT_EQ(preferred, 1) << service;
            EXPECT_EQ(localPreferred, local) << service;
        }
    }
    for (const auto &[server, instances] : preferredBy) {
        EXPECT_LT(instances, CONNECTIONS / 2) << server;
    }
}

} // namespace ragwort
