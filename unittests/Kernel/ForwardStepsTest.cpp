/// \file
/// Tests of forwarded requests: gathering, latency objectives, error responses and run states after failures.
#include "RouteHarness.h"

#include <gtest/gtest.h>

namespace ragwort {

using std::chrono::milliseconds;

static const MergedRecords *mergedOf(const Answer &answer)
{
    return std::get_if<MergedRecords>(&answer.forwarded);
}

TEST(ForwardStepsTest, mergesOneResponsePerShard)
{
    RouteHarness harness;
    harness.submit();
    const std::vector<SubRequest> sends = harness.takeSends();
    ASSERT_EQ(sends.size(), 10U);
    for (const SubRequest &request : sends) {
        EXPECT_TRUE(harness.replies.empty());
        harness.answer(request);
    }
    ASSERT_EQ(harness.replies.size(), 1U);
    const MergedRecords *merged = mergedOf(harness.replies[0]);
    ASSERT_NE(merged, nullptr);
    EXPECT_EQ(merged->signatures.size(), 10U);
    EXPECT_EQ(merged->missingShards.size(), 0U);
    EXPECT_EQ(merged->body.size(), 3U * 16U);
    EXPECT_EQ(harness.permitsInUse(), 0);
    EXPECT_TRUE(harness.engine.idle());
}

TEST(ForwardStepsTest, returnsPartialResponseAtTheLatencyObjective)
{
    RouteHarness harness;
    harness.submit();
    const std::vector<SubRequest> sends = harness.takeSends();
    harness.advanceBy(milliseconds(20));
    for (std::size_t index = 1; index < sends.size(); ++index) {
        harness.answer(sends[index]);
    }
    EXPECT_TRUE(harness.replies.empty());
    harness.advanceBy(milliseconds(100));
    ASSERT_EQ(harness.replies.size(), 1U);
    EXPECT_EQ(harness.replies[0].reason, "objective-reached");
    ASSERT_NE(mergedOf(harness.replies[0]), nullptr);
    EXPECT_EQ(mergedOf(harness.replies[0])->missingShards.size(), 1U);
    harness.endCancelled();
    EXPECT_EQ(harness.permitsInUse(), 0);
}

TEST(ForwardStepsTest, waitsPastTheObjectiveBelowTheMinimumShare)
{
    RouteHarness harness;
    harness.submit();
    const std::vector<SubRequest> sends = harness.takeSends();
    for (std::size_t index = 2; index < sends.size(); ++index) {
        harness.answer(sends[index]);
    }
    harness.advanceBy(milliseconds(200));
    EXPECT_TRUE(harness.replies.empty());
    harness.answer(sends[1]);
    ASSERT_EQ(harness.replies.size(), 1U);
    EXPECT_TRUE(harness.replies[0].success);
}

TEST(ForwardStepsTest, failsImmediatelyWhenTheMinimumShareIsUnreachable)
{
    RouteHarness harness;
    for (const char *id : {"s0-a", "s0-b", "s0-c", "s1-a", "s1-b", "s1-c"}) {
        harness.servers[id]->setExclusion(ServerRecord::gone, true);
    }
    harness.submit();
    ASSERT_EQ(harness.replies.size(), 1U);
    EXPECT_FALSE(harness.replies[0].success);
    EXPECT_EQ(harness.replies[0].state, RunState::notRun);
    EXPECT_GT(harness.replies[0].retryAfter, Duration::zero());
    EXPECT_TRUE(harness.takeSends().empty());
}

TEST(ForwardStepsTest, retriesErrorResponseInsteadOfMergingIt)
{
    RouteHarness harness;
    harness.submit();
    const std::vector<SubRequest> sends = harness.takeSends();
    ForwardedAnswer failure = RouteHarness::answerTo(sends[0]);
    failure.status = 404;
    harness.handle(ForwardAnswered{.query = sends[0].query, .attempt = sends[0].attempt, .answer = failure});
    const std::vector<SubRequest> again = harness.takeSends();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_NE(again[0].serverId, sends[0].serverId);
}

/// Guards against the cause of issue 38 in an answer: a part whose signature would spoil the list of all signatures is asked of another replica.
TEST(ForwardStepsTest, retriesAnswerThatCanNotBeMerged)
{
    RouteHarness harness;
    harness.submit();
    const std::vector<SubRequest> sends = harness.takeSends();
    ForwardedAnswer unmergeable = RouteHarness::answerTo(sends[0]);
    unmergeable.mergeable = false;
    harness.handle(ForwardAnswered{.query = sends[0].query, .attempt = sends[0].attempt, .answer = unmergeable});
    const std::vector<SubRequest> again = harness.takeSends();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_NE(again[0].serverId, sends[0].serverId);
    for (std::size_t index = 1; index < sends.size(); ++index) {
        harness.answer(sends[index]);
    }
    harness.answer(again[0]);
    ASSERT_EQ(harness.replies.size(), 1U);
    ASSERT_NE(mergedOf(harness.replies[0]), nullptr);
    EXPECT_EQ(mergedOf(harness.replies[0])->signatures.size(), 10U);
    EXPECT_TRUE(mergedOf(harness.replies[0])->missingShards.empty());
}

TEST(ForwardStepsTest, limitsAttemptsToTheMaximumOfTheRoute)
{
    RouteHarness harness;
    harness.submit("single");
    for (int attempt = 0; attempt < 2; ++attempt) {
        const std::vector<SubRequest> sends = harness.takeSends();
        ASSERT_EQ(sends.size(), 1U);
        harness.fail(sends[0], SubFailure::lost);
    }
    EXPECT_TRUE(harness.takeSends().empty());
    ASSERT_EQ(harness.replies.size(), 1U);
    EXPECT_EQ(harness.replies[0].state, RunState::outcomeUnknown);
}

TEST(ForwardStepsTest, returnsErrorResponseOfServerWhenAllAttemptsFail)
{
    RouteHarness harness;
    harness.submit("single");
    for (int attempt = 0; attempt < 2; ++attempt) {
        const std::vector<SubRequest> sends = harness.takeSends();
        ASSERT_EQ(sends.size(), 1U);
        ForwardedAnswer failure = RouteHarness::answerTo(sends[0]);
        failure.status = 500;
        harness.fail(sends[0], SubFailure::serverError, failure);
    }
    ASSERT_EQ(harness.replies.size(), 1U);
    const auto *passed = std::get_if<ForwardedAnswer>(&harness.replies[0].forwarded);
    ASSERT_NE(passed, nullptr);
    EXPECT_EQ(passed->status, 500);
}

TEST(ForwardStepsTest, reportsNotRunOnlyIfAllServersRejected)
{
    RouteHarness harness;
    harness.submit("action");
    harness.fail(harness.takeSends().at(0), SubFailure::shed);
    harness.fail(harness.takeSends().at(0), SubFailure::connectFailed);
    harness.fail(harness.takeSends().at(0), SubFailure::misdirected);
    ASSERT_EQ(harness.replies.size(), 1U);
    EXPECT_EQ(harness.replies[0].state, RunState::notRun);
}

TEST(ForwardStepsTest, doesNotRetryNonRepeatableRequestThatMayHaveRun)
{
    for (const SubFailure failure : {SubFailure::lost, SubFailure::protocol, SubFailure::closed}) {
        RouteHarness harness;
        harness.recordLatencies(milliseconds(5));
        harness.submit("action");
        harness.fail(harness.takeSends().at(0), failure);
        harness.advanceBy(milliseconds(2000));
        EXPECT_TRUE(harness.takeSends().empty());
        ASSERT_EQ(harness.replies.size(), 1U);
        EXPECT_EQ(harness.replies[0].state, RunState::outcomeUnknown);
    }
}

TEST(ForwardStepsTest, doesNotHedgeNonRepeatableRequest)
{
    RouteHarness harness;
    harness.recordLatencies(milliseconds(5));
    harness.submit("action");
    EXPECT_EQ(harness.takeSends().size(), 1U);
    harness.advanceBy(milliseconds(500));
    EXPECT_TRUE(harness.takeSends().empty());
}

TEST(ForwardStepsTest, callerDisconnectCancelsSubRequests)
{
    RouteHarness harness;
    const QueryId query = harness.submit();
    harness.takeSends();
    harness.handle(CallerDisconnected{.query = query});
    EXPECT_EQ(harness.cancelled.size(), 10U);
    harness.endCancelled();
    EXPECT_EQ(harness.permitsInUse(), 0);
    EXPECT_TRUE(harness.engine.idle());
}

/// An attempt that loses to its hedge yields no response. Without its elapsed time as a sample, a slow server would
/// keep its low estimate.
TEST(ForwardStepsTest, pendingHedgedAttemptRaisesLatencyEstimate)
{
    RouteHarness harness;
    harness.recordLatencies(milliseconds(5), 40);
    harness.submit();
    const std::vector<SubRequest> sends = harness.takeSends();
    const std::int64_t before = harness.servers[sends[0].serverId]->meanLatencyUs();
    for (std::size_t index = 1; index < sends.size(); ++index) {
        harness.answer(sends[index]);
    }
    harness.advanceBy(milliseconds(60));
    const std::vector<SubRequest> hedge = harness.takeSends();
    ASSERT_EQ(hedge.size(), 1U);
    harness.answer(hedge[0]);
    EXPECT_GT(harness.servers[sends[0].serverId]->meanLatencyUs(), 2 * before);
}

TEST(ForwardStepsTest, extraLoadOfServiceStaysWithinItsBudget)
{
    RouteHarness harness;
    harness.instances = 10;
    harness.publishServers();
    int extra = 0;
    for (int query = 0; query < 100; ++query) {
        harness.submit();
        for (const SubRequest &request : harness.takeSends()) {
            if (request.serverId.starts_with("s0-")) {
                harness.fail(request, SubFailure::shed);
            } else {
                harness.answer(request);
            }
        }
        for (std::vector<SubRequest> again = harness.takeSends(); !again.empty(); again = harness.takeSends()) {
            for (const SubRequest &request : again) {
                extra += request.serverId.starts_with("s0-") ? 1 : 0;
                harness.fail(request, SubFailure::shed);
            }
        }
    }
    // A fifth of the 100 planned sub-requests, and a tenth of the tier's burst of 50.
    EXPECT_LE(extra, 20 + 5);
    EXPECT_GT(extra, 10);
}

TEST(ForwardStepsTest, limitsRequestRateOfColdServers)
{
    RouteHarness harness;
    for (const char *id : {"one-a", "one-b", "one-c"}) {
        harness.servers[id]->announcedColdUntilUs = (harness.now + std::chrono::seconds(3)).time_since_epoch().count();
        harness.servers[id]->announcedColdIntervalUs = Duration(milliseconds(500)).count();
    }
    for (int query = 0; query < 20; ++query) {
        harness.submit("single");
    }
    std::size_t sent = harness.takeSends().size();
    harness.advanceBy(milliseconds(990));
    sent += harness.takeSends().size();
    EXPECT_LE(sent, 2U * 3U);
    EXPECT_GE(sent, 3U);
}

TEST(ForwardStepsTest, prefersWarmReplica)
{
    RouteHarness harness;
    harness.servers["one-a"]->announcedColdUntilUs = (harness.now + std::chrono::seconds(3)).time_since_epoch().count();
    for (int query = 0; query < 8; ++query) {
        harness.submit("single");
    }
    for (const SubRequest &request : harness.takeSends()) {
        EXPECT_NE(request.serverId, "one-a");
    }
}

TEST(ForwardStepsTest, selectsServicesInProportionToWeights)
{
    RouteHarness harness;
    harness.route("single").target = ServiceChoice{.services = {{.service = "one", .weight = 3.0}, {.service = "s0", .weight = 1.0}}};
    harness.publish();
    int toServiceOne = 0;
    for (int query = 0; query < 1000; ++query) {
        harness.submit("single");
        const SubRequest request = harness.takeSends().at(0);
        toServiceOne += request.serverId.starts_with("one-") ? 1 : 0;
        harness.answer(request);
    }
    EXPECT_NEAR(toServiceOne, 750, 50);
}

/// With equal retry times, all refused callers would return at once and be refused again.
TEST(ForwardStepsTest, randomizesRetryTimesOfRefusedCallers)
{
    RouteHarness harness;
    for (int query = 0; query < 300; ++query) {
        harness.submit("gather");
    }
    std::vector<Duration> times;
    for (const Answer &answer : harness.replies) {
        EXPECT_EQ(answer.reason, "refused-overload");
        EXPECT_EQ(answer.state, RunState::notRun);
        times.push_back(answer.retryAfter);
    }
    ASSERT_GT(times.size(), 2U);
    std::sort(times.begin(), times.end());
    EXPECT_LT(times.front(), times.back());
    EXPECT_LE(times.back(), milliseconds(500));
}

TEST(ForwardStepsTest, avoidsServersThatShedLoad)
{
    RouteHarness harness;
    int attempts = 0;
    int shed = 0;
    for (int query = 0; query < 200; ++query) {
        harness.submit();
        harness.advanceBy(milliseconds(5));
        for (std::vector<SubRequest> sends = harness.takeSends(); !sends.empty(); sends = harness.takeSends()) {
            for (const SubRequest &request : sends) {
                const bool sheds = !request.serverId.ends_with("-c") && query % 5 < 3;
                attempts += query >= 50 ? 1 : 0;
                shed += query >= 50 && sheds ? 1 : 0;
                if (sheds) {
                    harness.fail(request, SubFailure::shed);
                } else {
                    harness.answer(request);
                }
            }
        }
    }
    // Two of the three servers of each shard shed the requests of three fifths of the queries: with uniform selection,
    // 0.4 of all attempts would be shed.
    EXPECT_LT(static_cast<double>(shed) / attempts, 0.1);
}

/// A paused process keeps its connections, so that its attempts neither fail nor complete. Only their elapsed time
/// shows that it does not respond.
TEST(ForwardStepsTest, avoidsPausedServerUntilItResponds)
{
    RouteHarness harness;
    harness.recordLatencies(milliseconds(5), 40);
    std::vector<SubRequest> unanswered;
    for (int query = 0; query < 3; ++query) {
        harness.submit();
        for (const SubRequest &request : harness.takeSends()) {
            if (request.serverId == "s0-a" || (unanswered.empty() && request.serverId.starts_with("s0-"))) {
                unanswered.push_back(request);
            } else {
                harness.answer(request);
            }
        }
    }
    ASSERT_FALSE(unanswered.empty());
    const std::string paused = unanswered.front().serverId;
    harness.advanceBy(milliseconds(60));
    for (const SubRequest &request : harness.takeSends()) {
        harness.answer(request);
    }
    int toPaused = 0;
    for (int query = 0; query < 20; ++query) {
        harness.submit();
        for (const SubRequest &request : harness.takeSends()) {
            toPaused += request.serverId == paused ? 1 : 0;
            harness.answer(request);
        }
    }
    EXPECT_LE(toPaused, 2);
    for (const CancelSubRequest &cancel : std::exchange(harness.cancelled, {})) {
        harness.handle(SubRequestEnded{.query = cancel.query, .attempt = cancel.attempt, .answered = true});
    }
    EXPECT_EQ(harness.servers[paused]->unansweredAttempts, 0);
}

TEST(ForwardStepsTest, lowBudgetIsReservedForRequiredRetries)
{
    RouteHarness harness;
    // The maximum credit of each instance is four extra sub-requests per service.
    harness.instances = 12;
    harness.publishServers();
    bool retried = true;
    for (int query = 0; retried && query < 20; ++query) {
        harness.submit();
        for (const SubRequest &request : harness.takeSends()) {
            if (request.serverId.starts_with("s0-")) {
                harness.fail(request, SubFailure::shed);
            } else {
                harness.answer(request);
            }
        }
        const std::vector<SubRequest> again = harness.takeSends();
        retried = !again.empty();
        for (const SubRequest &request : again) {
            harness.answer(request);
        }
    }
    // Nine of ten shards are enough, so the tenth does not use the remaining budget.
    ASSERT_FALSE(retried);
    EXPECT_TRUE(harness.replies.back().success);
    for (const char *id : {"s1-a", "s1-b", "s1-c"}) {
        harness.servers[id]->setExclusion(ServerRecord::gone, true);
    }
    harness.submit();
    for (const SubRequest &request : harness.takeSends()) {
        if (request.serverId.starts_with("s0-")) {
            harness.fail(request, SubFailure::shed);
        }
    }
    EXPECT_EQ(harness.takeSends().size(), 1U);
}

TEST(ForwardStepsTest, usesServerWithoutAssignedConnectionOnlyAsLastReplica)
{
    RouteHarness harness;
    harness.servers["one-c"]->connectionAssigned = false;
    for (int query = 0; query < 6; ++query) {
        harness.submit("single");
    }
    for (const SubRequest &request : harness.takeSends()) {
        EXPECT_NE(request.serverId, "one-c");
    }
    harness.servers["one-a"]->setExclusion(ServerRecord::gone, true);
    harness.servers["one-b"]->setExclusion(ServerRecord::gone, true);
    harness.submit("single");
    EXPECT_EQ(harness.takeSends().at(0).serverId, "one-c");
}

TEST(ForwardStepsTest, admitsMinimumQueriesPerInstance)
{
    RouteHarness harness;
    harness.route("gather").group.minimumAdmission = 4;
    harness.instances = 74;
    harness.publish();
    for (int query = 0; query < 4; ++query) {
        harness.submit("gather");
        EXPECT_EQ(harness.takeSends().size(), 10U);
    }
    EXPECT_TRUE(harness.replies.empty());
}

TEST(ForwardStepsTest, lowBudgetHedgesOnlyRequiredParts)
{
    RouteHarness harness;
    harness.recordLatencies(milliseconds(5), 40);
    // The hedges of the following queries use up most of the credit of one of ten instances.
    harness.instances = 10;
    harness.publishServers();
    const auto hedgesWithSlowParts = [&harness](std::size_t slow) {
        harness.submit();
        std::vector<SubRequest> sends = harness.takeSends();
        std::sort(sends.begin(), sends.end(), [](const SubRequest &left, const SubRequest &right) { return left.serverId < right.serverId; });
        for (std::size_t index = slow; index < sends.size(); ++index) {
            harness.answer(sends[index]);
        }
        harness.advanceBy(milliseconds(60));
        const std::vector<SubRequest> hedges = harness.takeSends();
        for (const SubRequest &request : hedges) {
            harness.answer(request);
        }
        harness.advanceBy(milliseconds(3000));
        harness.endCancelled();
        return hedges.size();
    };
    std::size_t hedged = 1;
    for (int query = 0; hedged == 1 && query < 10; ++query) {
        hedged = hedgesWithSlowParts(1);
    }
    EXPECT_EQ(hedged, 0U);
    EXPECT_EQ(hedgesWithSlowParts(2), 2U);
}

TEST(ForwardStepsTest, retriesFailedConnectWithoutBudget)
{
    RouteHarness harness;
    for (Route &route : harness.table.routes) {
        route.group.extraLoadBurst = 0.0;
        route.group.extraLoad = 0.0;
    }
    harness.publish();
    harness.submit();
    const std::vector<SubRequest> sends = harness.takeSends();
    // Servers without free connections refuse connects, for example after a power failure. The part is optional, so a
    // retry that needs credit would not be sent.
    harness.fail(sends[0], SubFailure::connectFailed);
    ASSERT_EQ(harness.sends.size(), 1U);
    EXPECT_NE(harness.sends[0].serverId, sends[0].serverId);
    EXPECT_EQ(harness.sends[0].serverId.substr(0, 2), sends[0].serverId.substr(0, 2));
}

TEST(ForwardStepsTest, avoidsServerWhilePeerWarningIsRecent)
{
    RouteHarness harness;
    harness.recordLatencies(milliseconds(20), 60);
    harness.servers.at("s0-a")->recordPeerWarning(900, harness.now);
    int chosen = 0;
    for (int query = 0; query < 20; ++query) {
        harness.submit();
        harness.advanceBy(milliseconds(20));
        for (const SubRequest &request : harness.takeSends()) {
            chosen += request.serverId == "s0-a" ? 1 : 0;
            harness.answer(request);
        }
    }
    EXPECT_LE(chosen, 1) << "only random exploration selects it";
    harness.advanceBy(std::chrono::seconds(30));
    chosen = 0;
    for (int query = 0; query < 60; ++query) {
        harness.submit();
        harness.advanceBy(milliseconds(20));
        for (const SubRequest &request : harness.takeSends()) {
            chosen += request.serverId == "s0-a" ? 1 : 0;
            harness.answer(request);
        }
    }
    EXPECT_GE(chosen, 5);
}

TEST(ForwardStepsTest, scarceConnectionsKeepReplicaUnlessAnotherIsMuchFaster)
{
    RouteHarness harness;
    harness.recordLatencies(milliseconds(20), 60);
    harness.servers.at("s0-a")->affinityPenaltyUs = 12000;
    harness.servers.at("s0-c")->affinityPenaltyUs = 6000;
    std::map<std::string, int> chosen;
    const auto submitRepeatedly = [&](Duration usual) {
        chosen.clear();
        for (int query = 0; query < 40; ++query) {
            harness.submit();
            harness.advanceBy(milliseconds(20));
            for (const SubRequest &request : harness.takeSends()) {
                if (request.serverId != "s0-b") {
                    harness.answer(request);
                }
                chosen[request.serverId] += 1;
            }
            harness.advanceBy(usual - milliseconds(20));
            for (const SubRequest &request : harness.takeSends()) {
                harness.answer(request);
            }
            harness.endCancelled();
        }
    };
    for (int query = 0; query < 40; ++query) {
        harness.submit();
        harness.advanceBy(milliseconds(20));
        for (const SubRequest &request : harness.takeSends()) {
            chosen[request.serverId] += 1;
            harness.answer(request);
        }
    }
    EXPECT_GE(chosen["s0-b"], 38);
    // The preferred replica stops responding in time.
    submitRepeatedly(milliseconds(200));
    EXPECT_LE(chosen["s0-b"], 20);
    EXPECT_GE(chosen["s0-c"], 10);
}

TEST(ForwardStepsTest, countsSlowAndFailedAttemptsAsBad)
{
    RouteHarness harness;
    harness.recordLatencies(milliseconds(20), 20);
    for (const auto &[id, server] : harness.servers) {
        server->endedAttempts = 0;
        server->badAttempts = 0;
    }
    harness.submit();
    const std::vector<SubRequest> sends = harness.takeSends();
    harness.fail(sends[1], SubFailure::lost);
    harness.fail(sends[2], SubFailure::shed);
    harness.advanceBy(milliseconds(20));
    harness.answer(sends[3]);
    harness.advanceBy(milliseconds(60));
    harness.answer(sends[0]);
    EXPECT_EQ(harness.servers.at(sends[0].serverId)->badAttempts, 1U);
    EXPECT_EQ(harness.servers.at(sends[1].serverId)->badAttempts, 1U);
    EXPECT_EQ(harness.servers.at(sends[2].serverId)->endedAttempts, 0U) << "shedding is not counted as slow";
    EXPECT_EQ(harness.servers.at(sends[3].serverId)->endedAttempts, 1U);
    EXPECT_EQ(harness.servers.at(sends[3].serverId)->badAttempts, 0U);
}

/// Non-repeatable requests are not hedged, so that nothing else shows that a server does not respond: the time at which
/// a hedge would be due must still record the attempt as unanswered.
TEST(ForwardStepsTest, nonRepeatableRequestsAvoidUnresponsiveServer)
{
    RouteHarness harness;
    for (int query = 0; query < 250; ++query) {
        harness.submit("action");
        harness.advanceBy(milliseconds(5));
        harness.answer(harness.takeSends().at(0));
    }
    harness.submit("action", std::chrono::seconds(10));
    const std::string unresponsive = harness.takeSends().at(0).serverId;
    harness.advanceBy(milliseconds(100));
    EXPECT_TRUE(harness.takeSends().empty());
    EXPECT_EQ(harness.servers[unresponsive]->unansweredAttempts, 1);
    int toUnresponsive = 0;
    for (int query = 0; query < 20; ++query) {
        harness.submit("action");
        const SubRequest request = harness.takeSends().at(0);
        toUnresponsive += request.serverId == unresponsive ? 1 : 0;
        harness.answer(request);
    }
    EXPECT_LE(toUnresponsive, 1);
}

/// A merge of responses from the shards of both versions of a route would miss some records and repeat others.
TEST(ForwardStepsTest, repartitionDuringQueryDoesNotMixShardSets)
{
    RouteHarness harness;
    harness.submit();
    const std::vector<SubRequest> before = harness.takeSends();
    harness.answer(before[0]);
    harness.route("gather").target = ShardSet{.services = {"s0", "s1", "one"}, .topRecordCount = 3};
    harness.table.version = 2;
    harness.publish();
    harness.submit();
    const std::vector<SubRequest> after = harness.takeSends();
    ASSERT_EQ(after.size(), 3U);
    // A failed part of the running query is retried on its own shard.
    harness.fail(before[1], SubFailure::lost);
    const std::vector<SubRequest> again = harness.takeSends();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].serverId.substr(0, 2), before[1].serverId.substr(0, 2));
    harness.answer(again[0]);
    for (std::size_t index = 2; index < before.size(); ++index) {
        harness.answer(before[index]);
    }
    ASSERT_EQ(harness.replies.size(), 1U);
    EXPECT_EQ(harness.replies[0].routesVersion, 1U);
    EXPECT_EQ(mergedOf(harness.replies[0])->signatures.size(), 10U);
    for (const SubRequest &request : after) {
        harness.answer(request);
    }
    ASSERT_EQ(harness.replies.size(), 2U);
    EXPECT_EQ(harness.replies[1].routesVersion, 2U);
    EXPECT_EQ(mergedOf(harness.replies[1])->signatures.size(), 3U);
    EXPECT_EQ(mergedOf(harness.replies[1])->missingShards.size(), 0U);
}

} // namespace ragwort
