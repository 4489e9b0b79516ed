/// \file
/// Tests the aggregation of the attempts of a failure domain's instances.
#include "ragwortcart/Control/ServerAttemptAggregator.h"

#include <gtest/gtest.h>

namespace ragwort {

static std::vector<std::string> serverIdsOf(const std::vector<ServerWarning> &warnings)
{
    std::vector<std::string> ids;
    for (const ServerWarning &warning : warnings) {
        ids.push_back(warning.serverId);
    }
    return ids;
}

TEST(ServerAttemptAggregatorTest, warnsOfASlowServerThatManyInstancesUsedOnceEach)
{
    ServerAttemptAggregator aggregator;
    for (int instance = 0; instance < 5; ++instance) {
        aggregator.addAttemptCounts(std::vector<ServerAttemptCounts>{{.serverId = "slow", .ended = 1, .bad = 1}, {.serverId = "sound", .ended = 1, .bad = 0}});
    }
    const std::vector<ServerWarning> warnings = aggregator.nextWarnings();
    ASSERT_EQ(serverIdsOf(warnings), std::vector<std::string>{"slow"});
    EXPECT_EQ(warnings[0].badPerMille, 1000);
}

TEST(ServerAttemptAggregatorTest, doesNotWarnOfAServerThatPausesForPartOfAnInterval)
{
    ServerAttemptAggregator aggregator;
    // A pause of a quarter of the half-second interval.
    aggregator.addAttemptCounts(std::vector<ServerAttemptCounts>{{.serverId = "pausing", .ended = 8, .bad = 2}});
    EXPECT_TRUE(aggregator.nextWarnings().empty());
}

TEST(ServerAttemptAggregatorTest, requiresSeveralBadAttemptsAndDecaysOldOnes)
{
    ServerAttemptAggregator aggregator;
    aggregator.addAttemptCounts(std::vector<ServerAttemptCounts>{{.serverId = "s", .ended = 2, .bad = 2}});
    EXPECT_TRUE(aggregator.nextWarnings().empty());
    aggregator.addAttemptCounts(std::vector<ServerAttemptCounts>{{.serverId = "s", .ended = 6, .bad = 6}});
    EXPECT_EQ(aggregator.nextWarnings().size(), 1U);
    aggregator.addAttemptCounts(std::vector<ServerAttemptCounts>{{.serverId = "s", .ended = 10, .bad = 0}});
    EXPECT_TRUE(aggregator.nextWarnings().empty()) << "the server has recovered";
}

TEST(ServerAttemptAggregatorTest, collectsCountsOnceAndAppliesWarningsToServerRecords)
{
    Topology topology;
    const auto server = std::make_shared<ServerRecord>(
        ServerIdentity{.id = "s", .address = "10.0.0.1:1", .team = {}, .group = {}, .service = "x", .domain = "a", .slots = 2});
    topology.servers["s"] = server;
    server->recordAttemptEnd(true);
    server->recordAttemptEnd(false);
    const std::vector<ServerAttemptCounts> attemptCounts = collectAttemptCounts(topology);
    ASSERT_EQ(attemptCounts.size(), 1U);
    EXPECT_EQ(attemptCounts[0].ended, 2U);
    EXPECT_EQ(attemptCounts[0].bad, 1U);
    EXPECT_TRUE(collectAttemptCounts(topology).empty());
    applyWarnings(topology, std::vector<ServerWarning>{{.serverId = "s", .badPerMille = 700}, {.serverId = "gone", .badPerMille = 700}}, Instant(Duration(5)));
    EXPECT_EQ(server->peerBadPerMille, 700);
    EXPECT_EQ(server->peerWarnedAtUs, 5);
}

} // namespace ragwort
