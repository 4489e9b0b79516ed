/// \file
/// Tests of the evidence against contents: chains of crashes, responses that refute them, expiry and the exchange with other instances.
#include "ragwortcart/Kernel/CrashEvidence.h"

#include <gtest/gtest.h>

namespace ragwort {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

static constexpr std::uint64_t CONTENT = 17;
static constexpr Instant BEGIN{std::chrono::hours(1)};

/// Returns a request that was sent and lost some seconds after the beginning.
static ContentCrash crashBetween(const std::string &server, int sentSecond, int lostSecond)
{
    return {.fingerprint = CONTENT, .serverId = server, .sentAt = BEGIN + seconds(sentSecond), .lostAt = BEGIN + seconds(lostSecond)};
}

TEST(CrashEvidenceTest, crashesOneAfterTheOtherQuarantineAContent)
{
    CrashEvidence evidence;
    EXPECT_EQ(evidence.recordCrash(crashBetween("a", 0, 1)).crashes, 1);
    EXPECT_FALSE(evidence.isSuspected(CONTENT, BEGIN + seconds(1)));
    EXPECT_FALSE(evidence.recordCrash(crashBetween("b", 1, 2)).startsQuarantine);
    EXPECT_TRUE(evidence.isSuspected(CONTENT, BEGIN + seconds(2)));
    EXPECT_TRUE(evidence.recordCrash(crashBetween("c", 5, 6)).startsQuarantine);
    EXPECT_EQ(evidence.quarantineLeft(CONTENT, BEGIN + seconds(6)), QUARANTINE_TIME);
    EXPECT_EQ(evidence.quarantineLeft(CONTENT + 1, BEGIN + seconds(6)), Duration::zero());
    EXPECT_EQ(evidence.crashes(CONTENT, BEGIN + seconds(6) + QUARANTINE_TIME), 0);
}

/// Guards against the refusal of popular contents after a power loss, when many servers crash at once.
TEST(CrashEvidenceTest, crashesAtTheSameTimeCountOnce)
{
    CrashEvidence evidence;
    for (int server = 0; server < 100; ++server) {
        EXPECT_EQ(evidence.recordCrash(crashBetween("s" + std::to_string(server), server % 7, 10 + server % 3)).crashes, 1);
    }
    EXPECT_EQ(evidence.recordCrash(crashBetween("later", 13, 14)).crashes, 2) << "the many do not hide one that comes after them";
}

TEST(CrashEvidenceTest, theCrashOfOneServerCountsOnce)
{
    CrashEvidence evidence;
    evidence.recordCrash({.fingerprint = CONTENT, .serverId = "a", .sentAt = BEGIN, .lostAt = BEGIN + milliseconds(10)});
    const CrashVerdict again
        = evidence.recordCrash({.fingerprint = CONTENT, .serverId = "a", .sentAt = BEGIN + milliseconds(10), .lostAt = BEGIN + milliseconds(11)});
    EXPECT_EQ(again.crashes, 1) << "reset connections of one process";
    EXPECT_EQ(evidence.recordCrash(crashBetween("a", 4, 5)).crashes, 2) << "the process has started again under its id";
}

/// Guards against the refusal of harmless contents while servers reset connections, for example those over their limit.
TEST(CrashEvidenceTest, aServerThatAnswersHasNotCrashed)
{
    CrashEvidence evidence;
    const Instant lostAt = BEGIN + seconds(1);
    evidence.recordCrash(crashBetween("a", 0, 1));
    evidence.recordAlive("a", lostAt - milliseconds(1), lostAt + milliseconds(1));
    EXPECT_EQ(evidence.crashes(CONTENT, lostAt), 1) << "the response may be older than the loss";
    evidence.recordAlive("b", lostAt, lostAt + milliseconds(1));
    EXPECT_EQ(evidence.crashes(CONTENT, lostAt), 1) << "another server";
    evidence.recordAlive("a", lostAt, lostAt + milliseconds(1));
    EXPECT_EQ(evidence.crashes(CONTENT, lostAt), 0);
    EXPECT_TRUE(evidence.takeNews(10, lostAt + milliseconds(2)).crashes.empty());
}

TEST(CrashEvidenceTest, aServerThatAnswersAfterItsRestartHasCrashed)
{
    CrashEvidence evidence;
    evidence.recordCrash(crashBetween("a", 0, 1));
    evidence.recordAlive("a", BEGIN + seconds(4), BEGIN + seconds(5));
    EXPECT_EQ(evidence.crashes(CONTENT, BEGIN + seconds(5)), 1);
}

TEST(CrashEvidenceTest, aResponseRefutesTheCrashesBeforeIt)
{
    CrashEvidence evidence;
    evidence.recordCrash(crashBetween("a", 0, 1));
    evidence.recordCrash(crashBetween("b", 2, 3));
    evidence.recordServed({.fingerprint = CONTENT, .servedAt = BEGIN + seconds(2)});
    EXPECT_EQ(evidence.crashes(CONTENT, BEGIN + seconds(3)), 1);
    evidence.recordServed({.fingerprint = CONTENT, .servedAt = BEGIN + seconds(4)});
    EXPECT_EQ(evidence.crashes(CONTENT, BEGIN + seconds(4)), 0);
}

TEST(CrashEvidenceTest, aResponseEndsAQuarantine)
{
    CrashEvidence evidence;
    for (int number = 0; number < 3; ++number) {
        evidence.recordCrash(crashBetween("s" + std::to_string(number), number, number + 1));
    }
    ASSERT_GT(evidence.quarantineLeft(CONTENT, BEGIN + seconds(3)), Duration::zero());
    evidence.recordServed({.fingerprint = CONTENT, .servedAt = BEGIN + seconds(2)});
    EXPECT_EQ(evidence.quarantineLeft(CONTENT, BEGIN + seconds(3)), Duration::zero());
}

TEST(CrashEvidenceTest, crashesExpire)
{
    CrashEvidence evidence;
    evidence.recordCrash(crashBetween("a", 0, 1));
    evidence.recordCrash(crashBetween("b", 1, 2));
    EXPECT_EQ(evidence.crashes(CONTENT, BEGIN + minutes(9)), 2);
    EXPECT_EQ(evidence.crashes(CONTENT, BEGIN + minutes(11)), 0);
    EXPECT_EQ(evidence.recordCrash(crashBetween("c", 660, 661)).crashes, 1);
}

/// Guards against an instance that a repeated request reaches first after crashes elsewhere, and against news that circulate for ever.
TEST(CrashEvidenceTest, newsLeadToTheSameVerdictElsewhereAndAreSentOnce)
{
    CrashEvidence first;
    first.recordCrash(crashBetween("a", 0, 1));
    first.recordCrash(crashBetween("b", 1, 2));
    CrashEvidence second;
    const CrashNews news = first.takeNews(10, BEGIN + seconds(2));
    ASSERT_EQ(news.crashes.size(), 2U);
    EXPECT_TRUE(first.takeNews(10, BEGIN + seconds(2)).empty());
    for (const ContentCrash &crash : news.crashes) {
        second.recordCrash(crash);
    }
    EXPECT_TRUE(second.recordCrash(crashBetween("c", 3, 4)).startsQuarantine);
    // The second instance passes on what it has learned, its own crash included; the first knows two of them.
    for (const ContentCrash &crash : second.takeNews(10, BEGIN + seconds(4)).crashes) {
        first.recordCrash(crash);
    }
    EXPECT_GT(first.quarantineLeft(CONTENT, BEGIN + seconds(4)), Duration::zero());
    EXPECT_EQ(first.takeNews(10, BEGIN + seconds(4)).crashes.size(), 3U) << "the whole chain";
    EXPECT_TRUE(first.takeNews(10, BEGIN + seconds(4)).empty());
}

/// Guards against a chain that breaks at a peer, because the message about its second crash took less time than the one about its first.
TEST(CrashEvidenceTest, newsWithDifferentDelaysKeepTheOrderOfCrashes)
{
    CrashEvidence first;
    CrashEvidence second;
    const auto deliver = [&](Duration delay) {
        for (ContentCrash crash : first.takeNews(10, BEGIN + seconds(9)).crashes) {
            crash.sentAt += delay;
            crash.lostAt += delay;
            second.recordCrash(crash);
        }
    };
    first.recordCrash(crashBetween("a", 0, 1));
    deliver(milliseconds(50));
    first.recordCrash(crashBetween("b", 1, 2));
    deliver(milliseconds(10));
    first.recordCrash(crashBetween("c", 2, 3));
    deliver(milliseconds(1));
    EXPECT_EQ(second.crashes(CONTENT, BEGIN + seconds(9)), 3);
    EXPECT_GT(second.quarantineLeft(CONTENT, BEGIN + seconds(9)), Duration::zero());
}

TEST(CrashEvidenceTest, newsTellOfResponsesThatEndASuspicion)
{
    CrashEvidence first;
    CrashEvidence second;
    first.recordCrash(crashBetween("a", 0, 1));
    second.recordCrash(crashBetween("a", 0, 1));
    first.recordServed({.fingerprint = CONTENT, .servedAt = BEGIN + seconds(3)});
    const CrashNews news = first.takeNews(10, BEGIN + seconds(3));
    EXPECT_TRUE(news.crashes.empty()) << "a crash that was refuted before it was sent is no news";
    ASSERT_EQ(news.served.size(), 1U);
    second.recordServed(news.served.front());
    EXPECT_EQ(second.crashes(CONTENT, BEGIN + seconds(3)), 0);
    first.recordServed({.fingerprint = CONTENT, .servedAt = BEGIN + seconds(4)});
    EXPECT_TRUE(first.takeNews(10, BEGIN + seconds(4)).empty()) << "responses to contents that are not suspected are no news";
}

TEST(CrashEvidenceTest, newsAreBoundedAndTheRestFollows)
{
    CrashEvidence evidence;
    for (std::uint64_t content = 1; content <= 25; ++content) {
        evidence.recordCrash({.fingerprint = content, .serverId = "s", .sentAt = BEGIN, .lostAt = BEGIN + seconds(1)});
    }
    EXPECT_EQ(evidence.takeNews(10, BEGIN + seconds(1)).crashes.size(), 10U);
    EXPECT_EQ(evidence.takeNews(10, BEGIN + seconds(1)).crashes.size(), 10U);
    EXPECT_EQ(evidence.takeNews(10, BEGIN + seconds(1)).crashes.size(), 5U);
    EXPECT_EQ(evidence.allNews(BEGIN + seconds(1)).crashes.size(), 25U);
}

/// Guards against memory that grows with the number of contents that were lost with servers.
TEST(CrashEvidenceTest, theNumberOfContentsIsBounded)
{
    CrashEvidence evidence;
    for (std::uint64_t content = 1; content <= 5000; ++content) {
        evidence.recordCrash({.fingerprint = content, .serverId = "s", .sentAt = BEGIN, .lostAt = BEGIN + milliseconds(content)});
    }
    EXPECT_EQ(evidence.allNews(BEGIN + seconds(5)).crashes.size(), 4096U);
    EXPECT_EQ(evidence.crashes(1, BEGIN + seconds(5)), 0) << "the oldest is evicted";
    EXPECT_EQ(evidence.crashes(5000, BEGIN + seconds(5)), 1);
}

} // namespace ragwort
