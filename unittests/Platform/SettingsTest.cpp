#include "platform/Settings.h"

#include <gtest/gtest.h>

namespace ragwort::platform {

static const std::string VALID_SETTINGS = "node=n1\nzone=a\nip=10.0.0.1\nlisten.front=10.0.0.1:80\nlisten.ready=10.0.0.1:81\nplatform.addr=10.0.0.9:82\n"
                                          "limits.max_fds=4100\nbounds.contact_ms=4000\nbounds.apply_ms=3000\nbounds.grace_s=6\nbounds.retry_ratio=0.2\n"
                                          "bounds.retry_slack=54\nsome.new.name=1\n";

TEST(PlatformSettingsTest, parsesKnownSettingsAndIgnoresOthers)
{
    const ParsedSettings parsed = parseSettings(VALID_SETTINGS, 9464);
    EXPECT_TRUE(parsed.errors.empty());
    EXPECT_EQ(parsed.settings.instance, "n1");
    EXPECT_EQ(parsed.settings.metricsAddress, "10.0.0.1:9464");
    EXPECT_EQ(parsed.settings.stopTimeout, std::chrono::seconds(6));
    EXPECT_DOUBLE_EQ(parsed.settings.extraLoad.burst, 54.0);
}

TEST(PlatformSettingsTest, watchEndsWithinContactBound)
{
    for (const int contactMs : {3000, 4000, 5000, 10000}) {
        const ParsedSettings parsed = parseSettings(VALID_SETTINGS + "bounds.contact_ms=" + std::to_string(contactMs) + '\n', 9464);
        EXPECT_LE(parsed.settings.watchWait, std::chrono::milliseconds(contactMs - 1500));
        EXPECT_GE(parsed.settings.watchWait, std::chrono::milliseconds(1000));
    }
}

TEST(PlatformSettingsTest, relayWatchLeavesTimeForFollowersToReadStore)
{
    for (const int boundMs : {2000, 3000, 5000}) {
        const std::string bound = std::to_string(boundMs);
        const ParsedSettings parsed = parseSettings(VALID_SETTINGS + "bounds.apply_ms=" + bound + "\nbounds.drain_ms=" + bound + '\n', 9464);
        // The relay's watch and the detection of its loss take at most half of the bound; the rest is for reading the store directly.
        EXPECT_LE(parsed.settings.relayWatchWait + std::chrono::milliseconds(700), std::chrono::milliseconds(boundMs / 2));
        EXPECT_LE(parsed.settings.relayWatchWait, parsed.settings.watchWait);
    }
}

/// Guards against trust in the entries of dead servers on a platform that removes them later than by default.
TEST(PlatformSettingsTest, serversAreSilentForThreeHeartbeats)
{
    EXPECT_EQ(parseSettings(VALID_SETTINGS, 9464).settings.serverSilence, std::chrono::milliseconds(3600));
    EXPECT_EQ(parseSettings(VALID_SETTINGS + "heartbeat_ms=2500\n", 9464).settings.serverSilence, std::chrono::milliseconds(7500));
}

TEST(PlatformSettingsTest, peerAddressUsesFirstPortOfRange)
{
    EXPECT_EQ(parseSettings(VALID_SETTINGS + "port_range=7740,7755\n", 9464).settings.peersAddress, "10.0.0.1:7740");
    EXPECT_EQ(parseSettings(VALID_SETTINGS, 9464).settings.peersAddress, "");
}

TEST(PlatformSettingsTest, reportsMissingAndInvalidSettings)
{
    EXPECT_EQ(parseSettings("", 9464).errors.size(), 6U);
    const ParsedSettings invalid = parseSettings(VALID_SETTINGS + "bounds.retry_slack=much\n", 9464);
    ASSERT_EQ(invalid.errors.size(), 1U);
    EXPECT_NE(invalid.errors[0].find("bounds.retry_slack"), std::string::npos);
}

} // namespace ragwort::platform
