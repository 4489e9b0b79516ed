#include "ragwortcart/Model/Configuration.h"

#include <gtest/gtest.h>

namespace ragwort {

static TeamConfiguration exampleTeam()
{
    TeamConfiguration team;
    team.name = "turnos";
    team.sequence = 7;
    team.groups.push_back({.name = "g", .services = 2, .serversPerService = 3, .slots = 2, .connections = 25, .coldCapacity = 1});
    team.kinds.push_back({.name = "roster",
                          .group = "g",
                          .urgency = Urgency::urgent,
                          .repeatable = false,
                          .maximumDeadline = std::chrono::seconds(1),
                          .minimumCoverage = 0.5,
                          .onSnapshotLoss = SnapshotLossPolicy::partial});
    return team;
}

TEST(ConfigurationTest, encodedTeamDecodesToTheSameConfiguration)
{
    const Result<TeamConfiguration> decoded = decodeTeam(encodeTeam(exampleTeam()), "test");
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->sequence, 7U);
    ASSERT_NE(decoded->findKind("roster"), nullptr);
    EXPECT_EQ(decoded->findKind("roster")->urgency, Urgency::urgent);
    EXPECT_FALSE(decoded->findKind("roster")->repeatable);
    EXPECT_EQ(decoded->findKind("roster")->onSnapshotLoss, SnapshotLossPolicy::partial);
    EXPECT_EQ(decoded->findGroup("g")->connections, 25);
    EXPECT_EQ(encodeTeam(*decoded), encodeTeam(exampleTeam()));
}

TEST(ConfigurationTest, rejectsInvalidDocumentsWithStepAndPeer)
{
    TeamConfiguration team = exampleTeam();
    team.groups[0].connections = 0;
    const Result<TeamConfiguration> decoded = decodeTeam(encodeTeam(team), "peer-1");
    ASSERT_FALSE(decoded);
    EXPECT_EQ(decoded.error().code, make_error_code(Errc::malformedInput));
    EXPECT_EQ(decoded.error().step, "decode-configuration");
    EXPECT_EQ(decoded.error().peer, "peer-1");
    EXPECT_FALSE(decodeTeam("{", "x"));
    EXPECT_FALSE(decodeTeam("{}", "x"));
    EXPECT_FALSE(decodeTier("{\"sequence\":1}", "x"));
}

TEST(ConfigurationTest, rejectsKindsOfUnknownGroups)
{
    TeamConfiguration team = exampleTeam();
    team.kinds[0].group = "elsewhere";
    EXPECT_FALSE(decodeTeam(encodeTeam(team), "x"));
}

TEST(ConfigurationTest, encodedTierDecodesToTheSameConfiguration)
{
    const TierConfiguration tier{.sequence = 3, .maximumInstances = 9, .domainsOutOfService = {"a"}, .serversOutOfService = {"s-1", "s-2"}};
    const Result<TierConfiguration> decoded = decodeTier(encodeTier(tier), "test");
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->maximumInstances, 9);
    EXPECT_EQ(decoded->domainsOutOfService, tier.domainsOutOfService);
    EXPECT_EQ(decoded->serversOutOfService, tier.serversOutOfService);
}

} // namespace ragwort
