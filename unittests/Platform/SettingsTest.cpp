#include "platform/Settings.h"

#include <gtest/gtest.h>

namespace ragwort::platform {

static const std::string GOOD = "node=n1\nzone=a\nip=10.0.0.1\nlisten.front=10.0.0.1:80\nlisten.ready=10.0.0.1:81\nplatform.addr=10.0.0.9:82\n"
                                "limits.max_fds=4100\nbounds.contact_ms=4000\nbounds.apply_ms=3000\nbounds.grace_s=6\nbounds.retry_ratio=0.2\n"
                                "bounds.retry_slack=54\nsome.new.name=1\n";

TEST(PlatformSettingsTest, whatIsUsedIsReadAndTheRestIgnored)
{
    const ReadSettings read = readSettings(GOOD, 9464);
    EXPECT_TRUE(read.faults.empty());
    EXPECT_EQ(read.settings.instance, "n1");
    EXPECT_EQ(read.settings.metricsAddress, "10.0.0.1:9464");
    EXPECT_EQ(read.settings.stopTime, std::chrono::seconds(6));
    EXPECT_DOUBLE_EQ(read.settings.extraLoad.burst, 54.0);
}

TEST(PlatformSettingsTest, aWatchEndsBeforeTheStoreCountsAsCalmAgain)
{
    for (const int contactMs : {3000, 4000, 5000, 10000}) {
        const ReadSettings read = readSettings(GOOD + "bounds.contact_ms=" + std::to_string(contactMs) + '\n', 9464);
        EXPECT_LE(read.settings.watchWait, std::chrono::milliseconds(contactMs - 1500));
        EXPECT_GE(read.settings.watchWait, std::chrono::milliseconds(1000));
    }
}

TEST(PlatformSettingsTest, whoReliesOnARelayStillHearsOfAChangeInTime)
{
    for (const int boundMs : {2000, 3000, 5000}) {
        const std::string bound = std::to_string(boundMs);
        const ReadSettings read = readSettings(GOOD + "bounds.apply_ms=" + bound + "\nbounds.drain_ms=" + bound + '\n', 9464);
        // The relay's watch, the time after which it counts as lost, and as much again for asking the store oneself.
        EXPECT_LE(read.settings.relayWatchWait + std::chrono::milliseconds(700), std::chrono::milliseconds(boundMs / 2));
        EXPECT_LE(read.settings.relayWatchWait, read.settings.watchWait);
    }
}

TEST(PlatformSettingsTest, peersConnectToTheFirstFreePort)
{
    EXPECT_EQ(readSettings(GOOD + "port_range=7740,7755\n", 9464).settings.peersAddress, "10.0.0.1:7740");
    EXPECT_EQ(readSettings(GOOD, 9464).settings.peersAddress, "");
}

TEST(PlatformSettingsTest, faultsAreNamed)
{
    EXPECT_EQ(readSettings("", 9464).faults.size(), 6U);
    const ReadSettings spoilt = readSettings(GOOD + "bounds.retry_slack=much\n", 9464);
    ASSERT_EQ(spoilt.faults.size(), 1U);
    EXPECT_NE(spoilt.faults[0].find("bounds.retry_slack"), std::string::npos);
}

} // namespace ragwort::platform
