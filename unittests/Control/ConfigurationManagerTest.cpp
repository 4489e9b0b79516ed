#include "ragwortcart/Control/ConfigurationManager.h"

#include <gtest/gtest.h>

namespace ragwort {

static QByteArray tier(std::uint64_t sequence, const std::string &domainOut = {})
{
    TierConfiguration configuration{.sequence = sequence};
    if (!domainOut.empty()) {
        configuration.domainsOutOfService.insert(domainOut);
    }
    return encodeTier(configuration);
}

TEST(ConfigurationManagerTest, appliesNewerDocumentsAndIgnoresOlderOnes)
{
    ConfigurationManager manager;
    EXPECT_EQ(manager.offer("tier", tier(2, "a"), "store"), OfferResult::applied);
    EXPECT_EQ(manager.offer("tier", tier(1), "old peer"), OfferResult::notNewer);
    EXPECT_EQ(manager.offer("tier", tier(2), "peer"), OfferResult::notNewer);
    EXPECT_TRUE(manager.current()->tier.domainsOutOfService.contains("a"));
    EXPECT_EQ(manager.offer("tier", tier(3), "store"), OfferResult::applied);
    EXPECT_TRUE(manager.current()->tier.domainsOutOfService.empty());
}

TEST(ConfigurationManagerTest, rejectsUnreadableDocumentsAndKeepsTheCurrentOnes)
{
    ConfigurationManager manager;
    manager.offer("tier", tier(2, "a"), "store");
    Error error;
    EXPECT_EQ(manager.offer("tier", "nonsense", "peer-9", &error), OfferResult::rejected);
    EXPECT_EQ(error.peer, "peer-9");
    EXPECT_EQ(manager.offer("team.x", encodeTeam({.name = "y", .sequence = 1}), "peer"), OfferResult::rejected);
    EXPECT_EQ(manager.current()->tier.sequence, 2U);
}

TEST(ConfigurationManagerTest, returnsTheDocumentsThatAPeerLacks)
{
    ConfigurationManager manager;
    manager.offer("tier", tier(4), "store");
    manager.offer("team.x", encodeTeam({.name = "x", .sequence = 2}), "store");
    EXPECT_EQ(manager.documentsNewerThan({{"tier", 4}, {"team.x", 1}}).size(), 1U);
    EXPECT_EQ(manager.documentsNewerThan({}).size(), 2U);
    EXPECT_FALSE(manager.isBehind({{"tier", 4}}));
    EXPECT_TRUE(manager.isBehind({{"tier", 5}}));
    EXPECT_TRUE(manager.isBehind({{"team.new", 1}}));
}

} // namespace ragwort
