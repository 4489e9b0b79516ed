#include "ragwortcart/Control/Freshness.h"

#include <gtest/gtest.h>

namespace ragwort {

using std::chrono::seconds;

static Instant at(int second)
{
    return Instant{seconds(second)};
}

TEST(FreshnessTest, isFreshForALimitedTimeAfterAStoreRead)
{
    Freshness freshness("a");
    freshness.setDomains({"a", "b"});
    EXPECT_FALSE(freshness.isFresh(at(100)));
    freshness.recordStoreRead(at(100));
    EXPECT_TRUE(freshness.isFresh(at(102)));
    EXPECT_FALSE(freshness.isFresh(at(103)));
}

TEST(FreshnessTest, isFreshIfAPeerIsFresh)
{
    Freshness freshness("a");
    freshness.setDomains({"a", "b"});
    freshness.recordStoreRead(at(1));
    freshness.recordPeerAge("b", seconds(1), at(100));
    EXPECT_EQ(freshness.age(at(100)), seconds(1));
    EXPECT_TRUE(freshness.mayCrossDomains(at(101)));
}

TEST(FreshnessTest, aStaleInstanceDoesNotCrossDomainsIfOneIsUnreachable)
{
    Freshness freshness("a");
    freshness.setDomains({"a", "b", "c"});
    freshness.recordStoreRead(at(90));
    freshness.recordPeerAge("b", seconds(10), at(100));
    EXPECT_FALSE(freshness.mayCrossDomains(at(100))) << "domain c is unreachable and may have a newer configuration";
}

TEST(FreshnessTest, aStaleInstanceCrossesDomainsIfTheStoreIsUnavailableToAll)
{
    Freshness freshness("a");
    freshness.setDomains({"a", "b", "c"});
    freshness.recordStoreRead(at(90));
    freshness.recordPeerAge("b", seconds(10), at(100));
    freshness.recordPeerAge("c", seconds(10), at(100));
    EXPECT_FALSE(freshness.isFresh(at(100)));
    EXPECT_TRUE(freshness.mayCrossDomains(at(100)));
    EXPECT_FALSE(freshness.mayCrossDomains(at(103))) << "the other domains have become unreachable";
}

} // namespace ragwort
