/// \file
/// Tests of servers that hold one instance back, in virtual time: they ask for a pause when they reject a request, or state that they are
/// about to leave.
#include "RouteHarness.h"

#include <gtest/gtest.h>
#include <set>

namespace ragwort {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration STEP = milliseconds(10);
/// Time within which a request that is on its way may still reach a server.
constexpr Duration IN_FLIGHT = milliseconds(500);

/// One instance whose servers respond after `LATENCY`. Paused servers reject what reaches them.
class ServerStatementTest : public testing::Test
{
protected:
    static constexpr Duration LATENCY = milliseconds(20);
    static constexpr Duration PAUSE = seconds(4);

    void run(Duration time, const std::string &route)
    {
        for (Duration elapsed{}; elapsed < time; elapsed += STEP) {
            this->harness.submit(route);
            this->harness.advanceBy(STEP);
            this->serve();
        }
    }

    void serve()
    {
        for (const SubRequest &request : this->harness.takeSends()) {
            this->arrivals.emplace_back(request.serverId, this->harness.now);
            this->running.emplace_back(request, this->harness.now + LATENCY);
        }
        std::vector<std::pair<SubRequest, Instant>> due;
        std::erase_if(this->running, [&](const auto &each) {
            const bool ended = each.second <= this->harness.now;
            if (ended) {
                due.push_back(each);
            }
            return ended;
        });
        for (const auto &[request, at] : due) {
            this->respond(request);
        }
        this->harness.endCancelled();
    }

    void respond(const SubRequest &request)
    {
        ForwardedAnswer answer = RouteHarness::answerTo(request);
        if (this->pausedServers.contains(request.serverId)) {
            answer.status = 503;
            answer.statement.requestedPause = PAUSE;
            this->harness.fail(request, SubFailure::shed, answer);
            return;
        }
        answer.statement.leaving = this->leavingServers.contains(request.serverId);
        this->harness.handle(ForwardAnswered{.query = request.query, .attempt = request.attempt, .answer = answer});
    }

    long arrivalsAt(const std::string &server, Instant from, Instant to) const
    {
        return std::count_if(
            this->arrivals.begin(), this->arrivals.end(), [&](const auto &each) { return each.first == server && each.second >= from && each.second < to; });
    }

    RouteHarness harness;
    std::set<std::string> pausedServers;
    std::set<std::string> leavingServers;
    std::vector<std::pair<std::string, Instant>> arrivals;
    std::vector<std::pair<SubRequest, Instant>> running;
};

} // namespace

/// Guards against a server that is asked on although it wants nothing for a while, by retries and hedges too.
TEST_F(ServerStatementTest, aServerThatAsksForAPauseGetsNothingUntilItsEnd)
{
    this->run(seconds(1), "gather");
    this->pausedServers = {"s0-a"};
    const Instant start = this->harness.now;
    this->run(PAUSE, "gather");
    ASSERT_TRUE(this->harness.reported(Reason::serverPaused));
    EXPECT_EQ(this->arrivalsAt("s0-a", start + IN_FLIGHT, start + PAUSE), 0);
    EXPECT_GT(this->arrivalsAt("s0-b", start + IN_FLIGHT, start + PAUSE), 0);
    const auto failed = std::count_if(this->harness.replies.begin(), this->harness.replies.end(), [](const Answer &answer) { return !answer.success; });
    EXPECT_EQ(failed, 0);
}

/// Guards against a server that gets all work back at once and rejects it again.
TEST_F(ServerStatementTest, workReturnsBitByBitAfterAPause)
{
    ServerRecord server({.id = "a"});
    server.warmShare = 4;
    const Instant now{seconds(100)};
    EXPECT_TRUE(server.startPause(seconds(2), 0.0, now));
    EXPECT_FALSE(server.startPause(seconds(2), 0.0, now));
    EXPECT_FALSE(server.tryAcquire(now + milliseconds(1999)));
    const Instant after = now + seconds(2);
    EXPECT_TRUE(server.tryAcquire(after));
    EXPECT_FALSE(server.tryAcquire(after));
    server.release();
    EXPECT_TRUE(server.recordServedAfterPause(after));
    EXPECT_FALSE(server.recordServedAfterPause(after));
    EXPECT_EQ(server.limit(after), 3);
    EXPECT_FALSE(server.recordServedAfterPause(after));
    EXPECT_FALSE(server.recordServedAfterPause(after));
    EXPECT_EQ(server.limit(after), 4);
}

/// Guards against a herd: all instances return in the same moment.
TEST_F(ServerStatementTest, instancesReturnAtDifferentTimes)
{
    const Instant now{seconds(100)};
    ServerRecord first({.id = "a"});
    ServerRecord last({.id = "a"});
    first.startPause(seconds(4), 0.0, now);
    last.startPause(seconds(4), 1.0, now);
    EXPECT_EQ(first.pauseEnd(), now + seconds(4));
    EXPECT_EQ(last.pauseEnd(), now + seconds(5));
}

/// Guards against logs that show the begin of a pause only.
TEST_F(ServerStatementTest, reportsTheEndOfAPause)
{
    this->pausedServers = {"one-a", "one-b", "one-c"};
    this->run(milliseconds(200), "single");
    this->pausedServers.clear();
    this->run(seconds(7), "single");
    EXPECT_TRUE(this->harness.reported(Reason::serverPauseEnded));
}

/// All replicas of one shard want a pause, and the others are the minimum share.
TEST_F(ServerStatementTest, aQueryLeavesOutAShardWhoseServersAllAskForAPause)
{
    this->pausedServers = {"s0-a", "s0-b", "s0-c"};
    this->run(seconds(1), "gather");
    const Instant start = this->harness.now;
    this->harness.replies.clear();
    this->run(seconds(2), "gather");
    EXPECT_EQ(this->arrivalsAt("s0-a", start, this->harness.now), 0);
    for (const Answer &answer : this->harness.replies) {
        EXPECT_TRUE(answer.success);
        EXPECT_EQ(answer.shardsAnswered, RouteHarness::SHARDS - 1);
    }
}

/// Guards against queries that run on most shards although they must fail: they are refused before anything is sent, and the callers are
/// told to return when the servers accept requests again.
TEST_F(ServerStatementTest, aQueryThatCannotReachItsShareDuringAPauseIsRefusedAtOnce)
{
    for (int shard = 0; shard < 3; ++shard) {
        for (const char *suffix : {"-a", "-b", "-c"}) {
            this->pausedServers.insert("s" + std::to_string(shard) + suffix);
        }
    }
    this->run(seconds(1), "gather");
    this->harness.replies.clear();
    const Instant start = this->harness.now;
    this->run(milliseconds(500), "gather");
    ASSERT_FALSE(this->harness.replies.empty());
    for (const Answer &answer : this->harness.replies) {
        EXPECT_EQ(answer.state, RunState::notRun);
        EXPECT_EQ(answer.reason, "held-back-by-servers");
        EXPECT_GE(answer.retryAfter, seconds(2));
        EXPECT_LE(answer.retryAfter, seconds(10));
    }
    EXPECT_EQ(this->arrivalsAt("s5-a", start, this->harness.now) + this->arrivalsAt("s5-b", start, this->harness.now), 0);
}

/// Guards against callers that come back before the servers accept requests.
TEST_F(ServerStatementTest, aRequestThatAllServersRejectNamesTheTimeThatTheyAskFor)
{
    this->harness.route("single").maximumAttempts = 3;
    this->harness.publish();
    this->pausedServers = {"one-a", "one-b", "one-c"};
    this->harness.submit("single");
    for (int step = 0; step < 10; ++step) {
        this->harness.advanceBy(STEP);
        this->serve();
    }
    ASSERT_EQ(this->harness.replies.size(), 1U);
    EXPECT_EQ(this->harness.replies[0].state, RunState::notRun);
    EXPECT_GE(this->harness.replies[0].retryAfter, seconds(3));
}

/// Guards against requests to a server that has told that it leaves, whatever its entry says.
TEST_F(ServerStatementTest, aLeavingServerGetsNoNewRequests)
{
    this->run(seconds(1), "gather");
    this->leavingServers = {"s0-a", "s0-b"};
    this->run(seconds(2), "gather");
    ASSERT_TRUE(this->harness.reported(Reason::serverLeaving));
    const Instant start = this->harness.now;
    this->harness.replies.clear();
    this->run(seconds(2), "gather");
    EXPECT_EQ(this->arrivalsAt("s0-a", start, this->harness.now), 0);
    EXPECT_GT(this->arrivalsAt("s0-c", start, this->harness.now), 0);
    for (const Answer &answer : this->harness.replies) {
        EXPECT_TRUE(answer.success);
    }
}

/// Guards against a statement that is lost because another server was faster.
TEST_F(ServerStatementTest, aLateResponseToACancelledRequestAlsoTellsThatAServerLeaves)
{
    this->harness.submit("single");
    const SubRequest request = this->harness.takeSends().at(0);
    this->harness.handle(CallerDisconnected{.query = request.query});
    ServerStatement statement;
    statement.leaving = true;
    this->harness.handle(SubRequestEnded{.query = request.query, .attempt = request.attempt, .answered = true, .statement = statement});
    EXPECT_TRUE(this->harness.servers[request.serverId]->isExcluded());
    EXPECT_EQ(this->harness.permitsInUse(), 0);
}

/// A request that may run once is not lost with a server that rejects it with a request for a pause.
TEST_F(ServerStatementTest, aRejectedActionIsSentToAServerThatAcceptsIt)
{
    this->pausedServers = {"one-a"};
    for (int query = 0; query < 20; ++query) {
        this->run(milliseconds(100), "action");
    }
    EXPECT_LE(this->arrivalsAt("one-a", Instant{}, this->harness.now), 1);
    for (const Answer &answer : this->harness.replies) {
        EXPECT_TRUE(answer.success) << answer.reason;
    }
}

} // namespace ragwort
