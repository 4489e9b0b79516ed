/// \file
/// Tests of the choice of the aggregators and of the shares of servers' connections that follow from it.
#include "ragwortcart/Control/AggregatorPool.h"
#include "ragwortcart/Control/ServerRegistry.h"

#include <gtest/gtest.h>

namespace ragwort {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double STRONG = 0.5;
constexpr double WEAK = 0.12;

RouteTable makeRoutes(int shards, int connections)
{
    RouteTable routes;
    ShardSet set{.services = {}, .topRecordCount = 5};
    for (int shard = 0; shard < shards; ++shard) {
        set.services.push_back("s" + std::to_string(shard));
        routes.services[set.services.back()] = {.connections = connections};
    }
    routes.services["one"] = {.connections = connections};
    Route gather;
    gather.name = "gather";
    gather.target = set;
    gather.latencyObjective = milliseconds(120);
    Route single;
    single.name = "single";
    single.target = ServiceChoice{.services = {{.service = "one"}}};
    single.latencyObjective = milliseconds(400);
    routes.routes = {gather, single};
    return routes;
}

/// Instances in failure domains "a" to "e", the first \p strong of each with more capacity.
std::map<std::string, InstanceItem> makeInstances(int perDomain, int strong)
{
    std::map<std::string, InstanceItem> instances;
    for (const char *domain : {"a", "b", "c", "d", "e"}) {
        for (int index = 0; index < perDomain; ++index) {
            const std::string name = std::string(domain) + std::to_string(index);
            instances[name] = {.name = name, .domain = domain, .peerAddress = "10.0.0.1:1", .capacity = index < strong ? STRONG : WEAK};
        }
    }
    return instances;
}

} // namespace

/// Guards against divided queries on small fleets, which gain nothing by them.
TEST(AggregatorPoolTest, isEmptyWhereEachInstanceGathersEachQueryInTime)
{
    EXPECT_TRUE(AggregatorPool(makeInstances(2, 0), makeRoutes(10, 26)).empty());
    EXPECT_FALSE(AggregatorPool(makeInstances(2, 0), makeRoutes(90, 26)).empty());
    EXPECT_TRUE(AggregatorPool({}, makeRoutes(90, 26)).empty());
}

/// Guards against weak aggregators, and against a domain without any.
TEST(AggregatorPoolTest, consistsOfTheStrongestInstancesOfEachDomain)
{
    const AggregatorPool pool(makeInstances(59, 3), makeRoutes(90, 195));
    EXPECT_EQ(pool.size(), 15U);
    EXPECT_EQ(pool.countIn("a"), 3);
    EXPECT_TRUE(pool.contains("a0"));
    EXPECT_FALSE(pool.contains("a3"));
}

/// Guards against a fleet of weak instances without aggregators.
TEST(AggregatorPoolTest, isAShareOfEqualInstances)
{
    const AggregatorPool pool(makeInstances(60, 0), makeRoutes(90, 195));
    EXPECT_EQ(pool.countIn("a"), 9);
    const AggregatorPool small(makeInstances(3, 0), makeRoutes(90, 195));
    EXPECT_EQ(small.countIn("a"), 2) << "the loss of one leaves another";
}

/// Instances of an older version state no capacity. They cannot gather for others.
TEST(AggregatorPoolTest, leavesOutInstancesThatStateNoCapacityOrHaveNoLinks)
{
    std::map<std::string, InstanceItem> instances = makeInstances(10, 2);
    instances["a0"].capacity = 0.0;
    instances["b0"].peerAddress.clear();
    const AggregatorPool pool(instances, makeRoutes(90, 195));
    EXPECT_FALSE(pool.contains("a0"));
    EXPECT_FALSE(pool.contains("b0"));
    EXPECT_TRUE(pool.contains("a1"));
}

/// Guards against branches that cross domains without need, and against a few aggregators that get them all.
TEST(AggregatorPoolTest, asksTheOwnDomainIfItHoldsShardsAndOtherwiseSomeOfThoseThatDo)
{
    const AggregatorPool pool(makeInstances(59, 3), makeRoutes(90, 195));
    const std::set<std::string> holding = {"a", "b", "c"};
    for (const InstanceItem &aggregator : pool.aggregatorsFor("a7", "a", holding)) {
        EXPECT_EQ(aggregator.domain, "a");
    }
    EXPECT_EQ(pool.aggregatorsFor("a7", "a", holding).size(), 3U);
    EXPECT_EQ(pool.aggregatorsFor("a0", "a", holding).size(), 2U) << "not itself";
    std::map<std::string, int> asked;
    for (int index = 3; index < 59; ++index) {
        for (const InstanceItem &aggregator : pool.aggregatorsFor("e" + std::to_string(index), "e", holding)) {
            EXPECT_TRUE(holding.contains(aggregator.domain));
            ++asked[aggregator.name];
        }
    }
    EXPECT_EQ(asked.size(), 9U) << "spread over all aggregators near the servers";
}

/// Guards against more connections than a server accepts: all instances together, each with the larger of its shares under the whole list and under
/// one that lacks an aggregator, so that weaker instances take themselves for aggregators in its place.
TEST(AggregatorPoolTest, theConnectionsOfAllInstancesStayWithinAServersLimit)
{
    static constexpr int CONNECTIONS = 195;
    for (const int strong : {0, 3}) {
        const std::map<std::string, InstanceItem> instances = makeInstances(59, strong);
        const RouteTable routes = makeRoutes(90, CONNECTIONS);
        int total = 0;
        int ofAggregators = 0;
        double fraction = 0.0;
        for (const auto &[name, instance] : instances) {
            ServerRegistry registry({.instance = name, .domain = instance.domain, .capacity = instance.capacity});
            std::vector<InstanceItem> items;
            for (const auto &[otherName, other] : instances) {
                items.push_back(other);
            }
            registry.replaceInstances(items);
            registry.set({.id = "x", .service = "s0", .address = "10.0.0.1:80", .domain = "a", .slots = 7}, Instant(seconds(1)));
            const std::shared_ptr<const Topology> topology = registry.build(routes);
            const auto shareOfServer = [&registry, &routes] {
                const ServerPointer server = registry.build(routes)->servers.at("x");
                return server->connectionAssigned ? server->warmShare.load() : 0;
            };
            const int share = shareOfServer();
            if (name != "a0") {
                registry.removeInstance("a0");
            }
            total += std::max(share, shareOfServer());
            ofAggregators += topology->division.aggregates ? share : 0;
            fraction += topology->fractionOfTier(true);
            if (topology->division.aggregates) {
                EXPECT_GT(share, 0) << name;
            }
        }
        EXPECT_LE(total, CONNECTIONS);
        EXPECT_GT(ofAggregators, CONNECTIONS / 4);
        EXPECT_LE(fraction, 1.0);
    }
}

/// A cold server tolerates few requests in all. Its domain's aggregators, which send it the queries of all, share them.
TEST(AggregatorPoolTest, theAggregatorsOfADomainWarmItsServersUp)
{
    const std::map<std::string, InstanceItem> instances = makeInstances(59, 3);
    const RouteTable routes = makeRoutes(90, 195);
    double perSecond = 0.0;
    for (const auto &[name, instance] : instances) {
        ServerRegistry registry({.instance = name, .domain = instance.domain, .capacity = instance.capacity});
        std::vector<InstanceItem> items;
        for (const auto &[otherName, other] : instances) {
            items.push_back(other);
        }
        registry.replaceInstances(items);
        registry.set({.id = "x", .service = "s0", .address = "10.0.0.1:80", .domain = "a", .slots = 7, .warmUpLeft = seconds(3)}, Instant(seconds(1)));
        const std::shared_ptr<const Topology> topology = registry.build(routes);
        const double interval = static_cast<double>(topology->servers.at("x")->announcedColdIntervalUs.load()) / 1e6;
        perSecond += interval < 3600.0 ? 1.0 / interval : 0.0;
    }
    EXPECT_GT(perSecond, 1.0);
    EXPECT_LE(perSecond, 5.0);
}

} // namespace ragwort
