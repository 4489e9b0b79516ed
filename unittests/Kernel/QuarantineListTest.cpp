/// \file
/// Tests of the quarantine list: counting of crashed servers, and the lifetimes of reports and quarantines.
#include "ragwortcart/Kernel/QuarantineList.h"

#include <gtest/gtest.h>

namespace ragwort {

static Instant at(int second)
{
    return Instant{std::chrono::seconds(second)};
}

TEST(QuarantineListTest, countsDistinctServers)
{
    QuarantineList list;
    EXPECT_EQ(list.recordCrash(1, "s1", at(0)), 1);
    EXPECT_EQ(list.recordCrash(1, "s1", at(1)), 1);
    EXPECT_FALSE(list.isQuarantined(1, at(1)));
    EXPECT_EQ(list.recordCrash(1, "s2", at(2)), 2);
    EXPECT_TRUE(list.isQuarantined(1, at(2)));
    EXPECT_FALSE(list.isQuarantined(2, at(2)));
}

TEST(QuarantineListTest, singleCrashReportExpires)
{
    QuarantineList list;
    list.recordCrash(1, "s1", at(0));
    EXPECT_EQ(list.crashedServers(1, at(59)), 1);
    EXPECT_EQ(list.crashedServers(1, at(61)), 0);
    EXPECT_EQ(list.recordCrash(1, "s2", at(62)), 1) << "the expired report does not count";
}

TEST(QuarantineListTest, quarantineOutlastsASingleCrashReport)
{
    QuarantineList list;
    list.recordCrash(1, "s1", at(0));
    list.recordCrash(1, "s2", at(1));
    EXPECT_TRUE(list.isQuarantined(1, at(600)));
    EXPECT_FALSE(list.isQuarantined(1, at(3600)));
}

TEST(QuarantineListTest, peersReceiveTheRemainingLifetime)
{
    QuarantineList list;
    list.recordCrash(1, "s1", at(0));
    QuarantineList peer;
    for (const CrashReport &crashReport : list.unexpiredReports(at(20))) {
        peer.recordCrash(crashReport.fingerprint, crashReport.serverId, at(1000), crashReport.remaining);
    }
    EXPECT_EQ(peer.crashedServers(1, at(1039)), 1);
    EXPECT_EQ(peer.crashedServers(1, at(1041)), 0);
}

} // namespace ragwort
