/// \file
/// Tests of forwarded requests at whose servers processes crash: which contents are quarantined, and which are still served.
#include "RouteHarness.h"

#include <gtest/gtest.h>

namespace ragwort {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr std::uint64_t CRASHING_CONTENT = 4711;
static constexpr std::uint64_t HARMLESS_CONTENT = 4712;

namespace {

/// Adds what the tests need of servers that crash.
class CrashHarness : public RouteHarness
{
public:
    CrashHarness()
    {
        // Enough servers, so that a request always finds one that it has not crashed.
        for (int number = 0; number < 30; ++number) {
            this->addServer("one", "one-" + std::to_string(number));
        }
        this->publishServers();
    }

    /// Crashes each server that runs a request that has been sent and not answered, until nothing more is sent. Returns the number of
    /// crashes.
    int crashAll()
    {
        int crashes = 0;
        for (std::vector<SubRequest> sent = this->takeSends(); !sent.empty(); sent = this->takeSends()) {
            for (const SubRequest &request : sent) {
                this->crash(request);
                ++crashes;
            }
        }
        return crashes;
    }

    /// Ends a request by the crash of its server, a moment later. The server does not come back.
    void crash(const SubRequest &request)
    {
        this->advanceBy(std::chrono::microseconds(100));
        this->servers[request.serverId]->setExclusion(ServerRecord::gone, true);
        SubRequestFailed lost;
        lost.query = request.query;
        lost.attempt = request.attempt;
        lost.failure = SubFailure::lost;
        this->handle(lost);
    }

    /// Submits a query and lets its servers answer.
    void serve(const std::string &route, std::uint64_t content)
    {
        this->submitContent(route, content);
        for (const SubRequest &request : this->takeSends()) {
            this->answer(request);
        }
    }
};

} // namespace

/// Guards against review/3: on a route, a request that crashed its servers was passed on for as long as its caller repeated it.
TEST(CrashStepsTest, aRequestThatCrashesServersIsRefusedAfterTheThirdCrash)
{
    CrashHarness harness;
    int crashes = 0;
    for (int repetition = 0; repetition < 10; ++repetition) {
        harness.submitContent("single", CRASHING_CONTENT);
        crashes += harness.crashAll();
        harness.advanceBy(seconds(1));
    }
    EXPECT_EQ(crashes, 3);
    ASSERT_EQ(harness.replies.size(), 10U);
    EXPECT_EQ(harness.replies.back().state, RunState::notRun);
    EXPECT_EQ(harness.replies.back().reason, "refused-quarantined");
    EXPECT_GT(harness.replies.back().retryAfter, seconds(60));
    EXPECT_EQ(harness.permitsInUse(), 0);
}

/// The same for a request that may run once: each repetition crashes one server.
TEST(CrashStepsTest, aRequestThatMayRunOnceAndCrashesServersIsRefusedAfterTheThirdCrash)
{
    CrashHarness harness;
    int crashes = 0;
    for (int repetition = 0; repetition < 10; ++repetition) {
        harness.submitContent("action", CRASHING_CONTENT);
        crashes += harness.crashAll();
        harness.advanceBy(seconds(1));
    }
    EXPECT_EQ(crashes, 3);
    ASSERT_EQ(harness.replies.size(), 10U);
    EXPECT_EQ(harness.replies[2].state, RunState::outcomeUnknown) << "it may have run";
    EXPECT_EQ(harness.replies[3].state, RunState::notRun);
}

/// Guards against a merged query that crashes a server of every shard, and another one of every shard with each retry.
TEST(CrashStepsTest, aMergedQueryThatCrashesServersIsTriedOnOneServerAtATime)
{
    CrashHarness harness;
    harness.submitContent("gather", CRASHING_CONTENT);
    const int crashes = harness.crashAll();
    // One server of each shard, one retry before the second loss shows a pattern, one more that completes the chain.
    EXPECT_EQ(crashes, RouteHarness::SHARDS + 2);
    ASSERT_EQ(harness.replies.size(), 1U);
    EXPECT_EQ(harness.replies[0].state, RunState::outcomeUnknown);
    harness.advanceBy(seconds(1));
    harness.submitContent("gather", CRASHING_CONTENT);
    EXPECT_EQ(harness.crashAll(), 0);
    EXPECT_EQ(harness.replies.back().state, RunState::notRun);
    EXPECT_EQ(harness.permitsInUse(), 0);
    EXPECT_TRUE(harness.engine.idle());
}

/// A merged query whose content is suspected first runs at one shard; the response of that shard releases the others.
TEST(CrashStepsTest, aResponseReleasesTheOtherShardsOfASuspectedQuery)
{
    CrashHarness harness;
    for (int number = 0; number < 2; ++number) {
        harness.crashEvidence.recordCrash(
            {.fingerprint = HARMLESS_CONTENT, .serverId = "x" + std::to_string(number), .sentAt = harness.now, .lostAt = harness.now});
        harness.advanceBy(seconds(2));
    }
    harness.submitContent("gather", HARMLESS_CONTENT);
    const std::vector<SubRequest> trial = harness.takeSends();
    ASSERT_EQ(trial.size(), 1U);
    harness.answer(trial.front());
    const std::vector<SubRequest> released = harness.takeSends();
    ASSERT_EQ(released.size(), RouteHarness::SHARDS - 1U);
    for (const SubRequest &request : released) {
        harness.answer(request);
    }
    ASSERT_EQ(harness.replies.size(), 1U);
    EXPECT_TRUE(harness.replies[0].success);
    EXPECT_EQ(harness.crashEvidence.crashes(HARMLESS_CONTENT, harness.now), 0);
}

/// A server that turns the trial away proves nothing; the next shard is tried instead of waiting for the deadline.
TEST(CrashStepsTest, aRejectedTrialIsFollowedByAnother)
{
    CrashHarness harness;
    for (int number = 0; number < 2; ++number) {
        harness.crashEvidence.recordCrash(
            {.fingerprint = HARMLESS_CONTENT, .serverId = "x" + std::to_string(number), .sentAt = harness.now, .lostAt = harness.now});
        harness.advanceBy(seconds(2));
    }
    harness.route("gather").kind.minimumCoverage = 0.5;
    harness.publish();
    harness.submitContent("gather", HARMLESS_CONTENT);
    std::vector<SubRequest> trial = harness.takeSends();
    for (int rejections = 0; rejections < 3 && trial.size() == 1; ++rejections) {
        harness.fail(trial.front(), SubFailure::shed);
        trial = harness.takeSends();
    }
    ASSERT_EQ(trial.size(), 1U) << "one trial at a time";
    harness.answer(trial.front());
    EXPECT_GT(harness.takeSends().size(), 5U);
}

/// Guards against the refusal of harmless requests that happen to run on servers that another request crashes.
TEST(CrashStepsTest, requestsBesideTheCrashingOneAreServed)
{
    CrashHarness harness;
    int served = 0;
    for (int round = 0; round < 20; ++round) {
        harness.submitContent("single", HARMLESS_CONTENT);
        const std::vector<SubRequest> sent = harness.takeSends();
        ASSERT_EQ(sent.size(), 1U) << "round " << round;
        // Every second time, the server crashes on another request.
        if (round % 2 == 0) {
            harness.crash(sent.front());
        } else {
            harness.answer(sent.front());
        }
        for (const SubRequest &retry : harness.takeSends()) {
            harness.answer(retry);
        }
        served += harness.replies.back().success ? 1 : 0;
        harness.advanceBy(seconds(1));
    }
    EXPECT_EQ(served, 20);
}

/// The same beside servers that reset connections and go on: a rejection already shows that the server is alive.
TEST(CrashStepsTest, connectionsThatAServerResetsAreNoEvidence)
{
    CrashHarness harness;
    for (int round = 0; round < 10; ++round) {
        harness.submitContent("action", HARMLESS_CONTENT);
        const SubRequest reset = harness.takeSends().at(0);
        harness.advanceBy(milliseconds(1));
        harness.fail(reset, SubFailure::lost);
        EXPECT_EQ(harness.crashEvidence.crashes(HARMLESS_CONTENT, harness.now), 1) << "round " << round;
        // Another request reaches each of the servers.
        while (harness.crashEvidence.crashes(HARMLESS_CONTENT, harness.now) > 0) {
            harness.submit("action");
            const SubRequest next = harness.takeSends().at(0);
            harness.advanceBy(milliseconds(1));
            harness.fail(next, SubFailure::shed, RouteHarness::answerTo(next));
            for (const SubRequest &retry : harness.takeSends()) {
                harness.answer(retry);
            }
            harness.advanceBy(milliseconds(1));
            ASSERT_LT(harness.replies.size(), 1000U);
        }
    }
}

/// Guards against the refusal of a popular content after many servers have crashed at once.
TEST(CrashStepsTest, aPopularContentIsServedAfterManyServersCrashAtOnce)
{
    CrashHarness harness;
    for (int query = 0; query < 12; ++query) {
        harness.submitContent("action", HARMLESS_CONTENT);
    }
    for (const SubRequest &request : harness.takeSends()) {
        harness.crash(request);
    }
    harness.advanceBy(seconds(1));
    harness.serve("action", HARMLESS_CONTENT);
    EXPECT_TRUE(harness.replies.back().success);
    EXPECT_FALSE(harness.reported(Reason::contentQuarantined));
}

/// A merged query that loses a server of one shard has been survived by those of the others.
TEST(CrashStepsTest, aLostShardIsNoEvidenceOnceAnotherHasAnswered)
{
    CrashHarness harness;
    harness.submitContent("gather", HARMLESS_CONTENT);
    const std::vector<SubRequest> sent = harness.takeSends();
    harness.answer(sent[0]);
    harness.crash(sent[1]);
    EXPECT_EQ(harness.crashEvidence.crashes(HARMLESS_CONTENT, harness.now), 0);
    EXPECT_EQ(harness.takeSends().size(), 1U) << "the lost shard is asked again at once";
}

/// A hedge of a suspected content would lose two servers instead of one.
TEST(CrashStepsTest, aSuspectedContentIsNotHedged)
{
    CrashHarness harness;
    // Enough samples for the hedge delay.
    for (int query = 0; query < 300; ++query) {
        harness.submit("single");
        harness.advanceBy(milliseconds(5));
        for (const SubRequest &request : harness.takeSends()) {
            harness.answer(request);
        }
    }
    for (int number = 0; number < 2; ++number) {
        harness.crashEvidence.recordCrash(
            {.fingerprint = CRASHING_CONTENT, .serverId = "x" + std::to_string(number), .sentAt = harness.now, .lostAt = harness.now});
        harness.advanceBy(seconds(2));
    }
    harness.submitContent("single", HARMLESS_CONTENT);
    harness.advanceBy(milliseconds(200));
    ASSERT_EQ(harness.takeSends().size(), 2U) << "another content is hedged";
    harness.submitContent("single", CRASHING_CONTENT);
    harness.advanceBy(milliseconds(200));
    EXPECT_EQ(harness.takeSends().size(), 1U);
}

/// A quarantine that begins while a request waits for its turn holds for that request.
TEST(CrashStepsTest, aRetryIsNotSentOnceAnotherInstanceHasCompletedTheEvidence)
{
    CrashHarness harness;
    harness.submitContent("single", CRASHING_CONTENT);
    const std::vector<SubRequest> sent = harness.takeSends();
    ASSERT_EQ(sent.size(), 1U);
    for (int number = 0; number < 3; ++number) {
        const Instant sentAt = harness.now - seconds(10 - 2 * number);
        harness.crashEvidence.recordCrash(
            {.fingerprint = CRASHING_CONTENT, .serverId = "x" + std::to_string(number), .sentAt = sentAt, .lostAt = sentAt + seconds(1)});
    }
    harness.crash(sent.front());
    EXPECT_TRUE(harness.takeSends().empty());
    ASSERT_EQ(harness.replies.size(), 1U);
    EXPECT_EQ(harness.replies[0].state, RunState::outcomeUnknown) << "its first attempt may have run";
}

} // namespace ragwort
