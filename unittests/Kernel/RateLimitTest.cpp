/// \file
/// Tests of servers that limit the requests that they accept from all instances together, in virtual time.
#include "RouteHarness.h"

#include <deque>
#include <gtest/gtest.h>
#include <memory>

namespace ragwort {

using std::chrono::milliseconds;

namespace {

constexpr Duration STEP = milliseconds(10);
/// Window in which the requests to a server are counted.
constexpr Duration WINDOW = std::chrono::seconds(4);

/// Several instances whose callers query the same servers. Servers respond after `LATENCY` and state their limit.
class RateLimitTest : public testing::Test
{
protected:
    static constexpr Duration LATENCY = milliseconds(20);

    void addInstances(int count)
    {
        for (int instance = 0; instance < count; ++instance) {
            this->instances.push_back(std::make_unique<RouteHarness>());
            RouteHarness &harness = *this->instances.back();
            harness.instances = count;
            harness.publishServers();
            for (const auto &[id, server] : harness.servers) {
                // One more than there are, as the registry assumes.
                server->rateSharers = count + 1;
            }
        }
    }

    struct Running
    {
        SubRequest request;
        Instant endsAt;
    };

    void run(Duration time, const std::string &route, int queriesPerStep)
    {
        for (Duration elapsed{}; elapsed < time; elapsed += STEP) {
            for (std::size_t index = 0; index < this->instances.size(); ++index) {
                RouteHarness &harness = *this->instances[index];
                for (int query = 0; query < queriesPerStep; ++query) {
                    harness.submit(route);
                }
                harness.advanceBy(STEP);
                this->serve(index);
            }
        }
    }

    void serve(std::size_t index)
    {
        RouteHarness &harness = *this->instances[index];
        std::deque<Running> &running = this->running[index];
        for (const SubRequest &request : harness.takeSends()) {
            this->arrivals[request.serverId].push_back(harness.now);
            running.push_back({.request = request, .endsAt = harness.now + LATENCY});
        }
        while (!running.empty() && running.front().endsAt <= harness.now) {
            const SubRequest request = running.front().request;
            running.pop_front();
            ForwardedAnswer answer = RouteHarness::answerTo(request);
            if (const auto limit = this->limits.find(request.serverId); limit != this->limits.end()) {
                answer.statement.acceptedRate = limit->second;
            }
            harness.handle(ForwardAnswered{.query = request.query, .attempt = request.attempt, .answer = answer});
        }
        harness.endCancelled();
    }

    /// Returns the largest number of requests that reached the server within `WINDOW`, from \p from on.
    std::size_t mostInWindow(const std::string &server, Instant from)
    {
        std::vector<Instant> &times = this->arrivals[server];
        std::sort(times.begin(), times.end());
        std::size_t most = 0;
        for (auto first = std::lower_bound(times.begin(), times.end(), from); first != times.end(); ++first) {
            most = std::max(most, static_cast<std::size_t>(std::lower_bound(first, times.end(), *first + WINDOW) - first));
        }
        return most;
    }

    /// The requests that a server that accepts \p perSecond may get within `WINDOW`.
    static double allowed(double perSecond)
    {
        return perSecond * 1.5 * 4.0 + 5.0;
    }

    std::vector<std::unique_ptr<RouteHarness>> instances;
    std::map<std::size_t, std::deque<Running>> running;
    std::map<std::string, std::vector<Instant>> arrivals;
    /// Stated requests per second, by server.
    std::map<std::string, double> limits;
};

} // namespace

/// Guards against a server that gets far more requests than the limit that it stated: no instance read it.
TEST_F(RateLimitTest, allInstancesTogetherKeepToTheLimitOfAServer)
{
    for (const int count : {1, 6, 60}) {
        this->instances.clear();
        this->running.clear();
        this->arrivals.clear();
        this->addInstances(count);
        this->limits = {{"s0-a", 30.0}, {"s0-b", 12.5}};
        const Instant start = this->instances.front()->now;
        this->run(std::chrono::seconds(14), "gather", 1);
        const Instant judgedFrom = start + std::chrono::seconds(4);
        EXPECT_LE(this->mostInWindow("s0-a", judgedFrom), allowed(30.0)) << count;
        EXPECT_LE(this->mostInWindow("s0-b", judgedFrom), allowed(12.5)) << count;
        // Servers without a limit serve on.
        EXPECT_GT(this->mostInWindow("s1-a", judgedFrom), this->mostInWindow("s0-a", judgedFrom)) << count;
    }
}

/// A limit is to be used: where all servers of a shard state one, they get most of it.
TEST_F(RateLimitTest, theLimitIsUsedWhereNoOtherServerIsLeft)
{
    this->addInstances(6);
    this->limits = {{"s0-a", 30.0}, {"s0-b", 12.5}, {"s0-c", 20.0}};
    const Instant start = this->instances.front()->now;
    this->run(std::chrono::seconds(12), "gather", 1);
    for (const auto &[server, limit] : this->limits) {
        const std::size_t most = this->mostInWindow(server, start + std::chrono::seconds(4));
        EXPECT_LE(most, allowed(limit)) << server;
        EXPECT_GE(static_cast<double>(most), limit * 4.0 * 0.6) << server;
    }
    // Nine of ten shards are the minimum share, so that queries succeed without the limited one.
    for (const std::unique_ptr<RouteHarness> &harness : this->instances) {
        const auto failed = std::count_if(harness->replies.begin(), harness->replies.end(), [](const Answer &answer) { return !answer.success; });
        EXPECT_EQ(failed, 0);
    }
}

/// Guards against queries that run on some shards and wait for others until they fail: what cannot be served is refused before anything
/// is sent.
TEST_F(RateLimitTest, refusesAQueryWhoseServersHoldBackTooManyShards)
{
    this->addInstances(1);
    for (int shard = 0; shard < 3; ++shard) {
        for (const char *suffix : {"-a", "-b", "-c"}) {
            this->limits["s" + std::to_string(shard) + suffix] = 1.0;
        }
    }
    this->run(std::chrono::seconds(6), "gather", 1);
    RouteHarness &harness = *this->instances.front();
    harness.replies.clear();
    const std::uint64_t sentBefore = this->arrivals["s5-a"].size() + this->arrivals["s5-b"].size() + this->arrivals["s5-c"].size();
    this->run(milliseconds(100), "gather", 1);
    ASSERT_FALSE(harness.replies.empty());
    const auto refused = std::count_if(harness.replies.begin(), harness.replies.end(), [](const Answer &answer) {
        return answer.state == RunState::notRun && answer.reason == "held-back-by-servers" && answer.retryAfter > Duration::zero();
    });
    EXPECT_GE(refused, 8);
    const std::uint64_t sent = this->arrivals["s5-a"].size() + this->arrivals["s5-b"].size() + this->arrivals["s5-c"].size();
    EXPECT_LE(sent - sentBefore, 2U);
}

TEST_F(RateLimitTest, aSingleRouteWaitsForItsServersUpToTheDeadline)
{
    this->addInstances(1);
    this->limits = {{"one-a", 4.0}, {"one-b", 4.0}, {"one-c", 4.0}};
    const Instant start = this->instances.front()->now;
    this->run(std::chrono::seconds(10), "single", 1);
    for (const auto &[server, limit] : this->limits) {
        EXPECT_LE(this->mostInWindow(server, start + std::chrono::seconds(4)), allowed(limit)) << server;
    }
    const RouteHarness &harness = *this->instances.front();
    for (const Answer &answer : harness.replies) {
        EXPECT_TRUE(answer.success || (answer.state == RunState::notRun && answer.retryAfter > Duration::zero()))
            << answer.reason << ' ' << toString(answer.state);
    }
}

TEST_F(RateLimitTest, theLimitEndsWhenTheServerNoLongerStatesIt)
{
    this->addInstances(1);
    RouteHarness &harness = *this->instances.front();
    this->limits = {{"s0-a", 5.0}};
    this->run(std::chrono::seconds(3), "gather", 1);
    EXPECT_TRUE(harness.servers["s0-a"]->isRateLimited());
    EXPECT_TRUE(harness.reported(Reason::serverLimited));
    this->limits.clear();
    this->run(std::chrono::seconds(3), "gather", 1);
    EXPECT_FALSE(harness.servers["s0-a"]->isRateLimited());
    EXPECT_TRUE(harness.reported(Reason::serverLimitEnded));
}

/// A response to a request that is older than the statement says nothing about the limit.
TEST(ServerRecordTest, anOlderResponseDoesNotEndALimit)
{
    ServerRecord server({.id = "a"});
    const Instant now{std::chrono::seconds(100)};
    EXPECT_TRUE(server.limitRate(2.0, 0.5, now));
    EXPECT_FALSE(server.limitRate(3.0, 0.5, now + milliseconds(10)));
    EXPECT_FALSE(server.endRateLimit(now));
    EXPECT_TRUE(server.isRateLimited());
    EXPECT_TRUE(server.endRateLimit(now + milliseconds(20)));
    EXPECT_FALSE(server.isRateLimited());
}

/// Guards against an instance that waits for minutes under a limit that the server has raised since.
TEST(ServerRecordTest, aHigherLimitBringsTheNextRequestForward)
{
    ServerRecord server({.id = "a"});
    server.warmShare = 8;
    server.rateSharers = 60;
    const Instant now{std::chrono::seconds(100)};
    server.limitRate(0.5, 0.0, now);
    EXPECT_TRUE(server.tryAcquire(now));
    EXPECT_FALSE(server.tryAcquire(now + std::chrono::seconds(100)));
    server.limitRate(60.0, 0.0, now + std::chrono::seconds(100));
    EXPECT_FALSE(server.tryAcquire(now + std::chrono::seconds(100)));
    EXPECT_TRUE(server.tryAcquire(now + std::chrono::seconds(101)));
}

/// A server that accepts nothing is still asked now and then, or the end of its limit would never be seen.
TEST(ServerRecordTest, aLimitOfZeroLeavesARequestNowAndThen)
{
    ServerRecord server({.id = "a"});
    server.warmShare = 1;
    const Instant now{std::chrono::seconds(100)};
    server.limitRate(0.0, 1.0, now);
    EXPECT_FALSE(server.tryAcquire(now + std::chrono::seconds(4)));
    EXPECT_TRUE(server.tryAcquire(now + std::chrono::seconds(5)));
}

} // namespace ragwort
