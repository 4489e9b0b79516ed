/// \file
/// Tests of queries that are divided among instances, in virtual time: the choice of the aggregators, their answers, refusals and silence, and
/// an instance that gathers for another one.
#include "RouteHarness.h"

#include <gtest/gtest.h>

namespace ragwort {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Capacity with which an instance gathers the shards of the harness alone, and one with which it does not.
constexpr double STRONG = 1.0;
constexpr double WEAK = 0.02;

/// An instance that may ask two aggregators, "strong-1" and "strong-2", which are linked.
class DivisionStepsTest : public testing::Test
{
protected:
    DivisionStepsTest()
    {
        this->harness.instances = 10;
        this->divide({.aggregators = {{.instance = "strong-1", .capacity = STRONG}, {.instance = "strong-2", .capacity = STRONG}},
                      .ownCapacity = WEAK,
                      .aggregates = false,
                      .domainHoldsShards = true});
        this->link("strong-1", true);
        this->link("strong-2", true);
    }

    void divide(const QueryDivision &division)
    {
        this->harness.division = division;
        this->harness.publishServers();
    }

    void link(const std::string &peer, bool up)
    {
        this->harness.handle(PeerLinkChanged{.peer = peer, .up = up});
    }

    /// Returns the only branch sent since the last call.
    SendPartialQuery takeBranch()
    {
        const std::vector<SendPartialQuery> branches = std::exchange(this->harness.branches, {});
        EXPECT_EQ(branches.size(), 1U);
        return branches.empty() ? SendPartialQuery{} : branches.front();
    }

    /// Returns an answer with all shards of the branch but \p missing.
    static PartialQueryReply replyTo(const PartialQueryRequest &request, const std::vector<std::uint32_t> &missing = {})
    {
        PartialQueryReply reply{.query = request.query, .branch = request.branch, .success = true, .state = RunState::ran, .reason = "completed"};
        reply.records.body = std::string(16, static_cast<char>('a' + request.firstShard));
        reply.records.missingShards = missing;
        for (std::uint32_t shard = 0; shard < request.shardCount; ++shard) {
            if (std::find(missing.begin(), missing.end(), request.firstShard + shard) == missing.end()) {
                reply.records.signatures.push_back("sig-" + std::to_string(request.firstShard + shard));
            }
        }
        return reply;
    }

    static PartialQueryReply refusalOf(const PartialQueryRequest &request, const std::string &reason)
    {
        return {.query = request.query, .branch = request.branch, .success = false, .state = RunState::notRun, .reason = reason};
    }

    void answer(const SendPartialQuery &branch, const PartialQueryReply &reply)
    {
        this->harness.handle(PartialQueryAnswered{.aggregator = branch.aggregator, .reply = reply});
    }

    /// Gathers all shards of the route for a coordinator.
    QueryId submitFor(ShardSelection selection)
    {
        selection.routeRevision = selection.routeRevision == 0 ? this->harness.configuration.load()->routes->find("gather")->revision : selection.routeRevision;
        return this->harness.submit("gather", milliseconds(1500), selection);
    }

    RouteHarness harness;
};

} // namespace

/// Guards against parts that are left out because the instance's processor takes longer than the caller waits.
TEST_F(DivisionStepsTest, aWeakInstanceHandsItsQueryToAnAggregatorAndPassesTheAnswerOn)
{
    this->harness.submit();
    EXPECT_TRUE(this->harness.takeSends().empty());
    const SendPartialQuery branch = this->takeBranch();
    EXPECT_EQ(branch.request.firstShard, 0U);
    EXPECT_EQ(branch.request.shardCount, 10U);
    EXPECT_EQ(branch.request.minimumShards, 9U);
    EXPECT_EQ(branch.request.route, "gather");
    EXPECT_LT(branch.request.answerWithin, milliseconds(120));
    EXPECT_GT(branch.request.answerWithin, milliseconds(60));
    EXPECT_LE(branch.request.timeLeft, milliseconds(1500));
    this->harness.advanceBy(milliseconds(30));
    this->answer(branch, replyTo(branch.request, {4}));
    ASSERT_EQ(this->harness.replies.size(), 1U);
    EXPECT_TRUE(this->harness.replies[0].success);
    const auto &merged = std::get<MergedRecords>(this->harness.replies[0].forwarded);
    EXPECT_EQ(merged.signatures.size(), 9U);
    EXPECT_EQ(merged.missingShards, (std::vector<std::uint32_t>{4}));
    EXPECT_EQ(merged.body, std::string(16, 'a'));
}

/// With a few equal instances nothing changes: each gathers its callers' queries alone.
TEST_F(DivisionStepsTest, anInstanceThatGathersInTimeAsksTheServersItself)
{
    this->harness.division.ownCapacity = STRONG;
    this->harness.publishServers();
    this->harness.submit();
    EXPECT_EQ(this->harness.takeSends().size(), 10U);
    EXPECT_TRUE(this->harness.branches.empty());
}

/// Guards against a request that may run once and is sent by two instances.
TEST_F(DivisionStepsTest, aQueryToOneServiceIsNeverHandedOver)
{
    this->harness.submit("single");
    this->harness.submit("action");
    EXPECT_EQ(this->harness.takeSends().size(), 2U);
    EXPECT_TRUE(this->harness.branches.empty());
}

/// Guards against answers that cross failure domains one by one: a domain without servers hands its queries to one that has them.
TEST_F(DivisionStepsTest, aStrongInstanceFarFromTheServersHandsItsQueryOver)
{
    this->harness.division.ownCapacity = STRONG;
    this->harness.division.domainHoldsShards = false;
    this->harness.publishServers();
    this->harness.submit();
    EXPECT_TRUE(this->harness.takeSends().empty());
    EXPECT_EQ(this->takeBranch().request.shardCount, 10U);
}

/// Guards against a query that is too wide for one aggregator, and against records that are merged twice.
TEST_F(DivisionStepsTest, aWideQueryIsDividedAmongSeveralAggregatorsAndMergedOnce)
{
    for (Aggregator &aggregator : this->harness.division.aggregators) {
        aggregator.capacity = 0.025;
    }
    this->harness.publishServers();
    ASSERT_EQ(gatherableShards(0.025, milliseconds(120)), 6U);
    this->harness.submit();
    const std::vector<SendPartialQuery> branches = std::exchange(this->harness.branches, {});
    ASSERT_EQ(branches.size(), 2U);
    EXPECT_NE(branches[0].aggregator, branches[1].aggregator);
    EXPECT_EQ(branches[1].request.firstShard, 5U);
    EXPECT_EQ(branches[0].request.minimumShards, 4U);
    this->answer(branches[1], replyTo(branches[1].request));
    EXPECT_TRUE(this->harness.replies.empty());
    this->answer(branches[0], replyTo(branches[0].request));
    ASSERT_EQ(this->harness.replies.size(), 1U);
    const auto &merged = std::get<MergedRecords>(this->harness.replies[0].forwarded);
    EXPECT_EQ(merged.signatures.size(), 10U);
    EXPECT_EQ(merged.body, std::string(16, 'f') + std::string(16, 'a'));
}

/// Guards against a detour of the shards that the coordinator can gather itself.
TEST_F(DivisionStepsTest, anAggregatorGathersItsGroupOfAWideQueryItself)
{
    this->harness.division.aggregates = true;
    this->harness.division.ownCapacity = 0.025;
    this->harness.publishServers();
    this->harness.submit();
    EXPECT_TRUE(this->harness.takeSends().empty()) << "the branch must leave before the own parts are prepared";
    EXPECT_EQ(this->harness.branches.size(), 1U);
    this->harness.advanceBy(milliseconds(0));
    const std::vector<SubRequest> sends = this->harness.takeSends();
    EXPECT_EQ(sends.size(), 5U);
    const SendPartialQuery branch = this->takeBranch();
    EXPECT_EQ(branch.request.firstShard, 5U);
    for (const SubRequest &request : sends) {
        this->harness.answer(request);
    }
    this->answer(branch, replyTo(branch.request));
    ASSERT_EQ(this->harness.replies.size(), 1U);
    EXPECT_EQ(std::get<MergedRecords>(this->harness.replies[0].forwarded).signatures.size(), 10U);
}

/// Guards against queries that fail because their aggregators are full although the servers are not.
TEST_F(DivisionStepsTest, aRefusedQueryGoesToAnotherAggregatorAndThenToTheServers)
{
    this->harness.submit();
    const SendPartialQuery first = this->takeBranch();
    this->answer(first, refusalOf(first.request, "refused-overload"));
    const SendPartialQuery second = this->takeBranch();
    EXPECT_NE(first.aggregator, second.aggregator);
    this->answer(second, refusalOf(second.request, "refused-route-differs"));
    const std::vector<SubRequest> sends = this->harness.takeSends();
    EXPECT_EQ(sends.size(), 10U);
    for (const SubRequest &request : sends) {
        this->harness.answer(request);
    }
    ASSERT_EQ(this->harness.replies.size(), 1U);
    EXPECT_TRUE(this->harness.replies[0].success);
    // Both are avoided for a while.
    this->harness.submit();
    EXPECT_TRUE(this->harness.branches.empty());
}

/// Guards against a query that goes from one aggregator to the next although the servers refuse it.
TEST_F(DivisionStepsTest, whatServersHoldBackIsRefusedWithTheirTime)
{
    this->harness.submit();
    const SendPartialQuery branch = this->takeBranch();
    PartialQueryReply reply = refusalOf(branch.request, "held-back-by-servers");
    reply.retryAfter = seconds(3);
    this->answer(branch, reply);
    ASSERT_EQ(this->harness.replies.size(), 1U);
    EXPECT_EQ(this->harness.replies[0].state, RunState::notRun);
    EXPECT_GE(this->harness.replies[0].retryAfter, seconds(3));
    EXPECT_TRUE(this->harness.takeSends().empty());
}

/// Guards against a caller that is told that its query did not run although another aggregator is gathering its share of it: the share that the
/// servers held back was enough to end the query.
TEST_F(DivisionStepsTest, aQueryOfWhichOneBranchIsRefusedMayHaveRunInAnother)
{
    for (Aggregator &aggregator : this->harness.division.aggregators) {
        aggregator.capacity = 0.025;
    }
    this->harness.publishServers();
    this->harness.submit();
    const std::vector<SendPartialQuery> branches = std::exchange(this->harness.branches, {});
    ASSERT_EQ(branches.size(), 2U);
    this->answer(branches[0], refusalOf(branches[0].request, "held-back-by-servers"));
    ASSERT_EQ(this->harness.replies.size(), 1U);
    EXPECT_EQ(this->harness.replies[0].state, RunState::outcomeUnknown);
}

/// A silent aggregator may have sent the requests, and each server may run them once more only within the route's attempts: the caller is told
/// at once, instead of at its deadline.
TEST_F(DivisionStepsTest, aSilentAggregatorCostsOneQueryAndIsThenAvoided)
{
    this->harness.submit();
    const SendPartialQuery first = this->takeBranch();
    this->harness.advanceBy(milliseconds(300));
    ASSERT_EQ(this->harness.replies.size(), 1U);
    EXPECT_FALSE(this->harness.replies[0].success);
    EXPECT_EQ(this->harness.replies[0].state, RunState::outcomeUnknown);
    ASSERT_EQ(this->harness.cancelledBranches.size(), 1U);
    EXPECT_EQ(this->harness.cancelledBranches[0].aggregator, first.aggregator);
    EXPECT_TRUE(this->harness.takeSends().empty());
    for (int query = 0; query < 8; ++query) {
        this->harness.submit();
        const SendPartialQuery next = this->takeBranch();
        EXPECT_NE(next.aggregator, first.aggregator);
        this->answer(next, replyTo(next.request));
    }
    // A late answer is dropped.
    this->harness.replies.clear();
    this->answer(first, replyTo(first.request));
    EXPECT_TRUE(this->harness.replies.empty());
}

/// Guards against callers that wait for an aggregator that is known to be gone.
TEST_F(DivisionStepsTest, aClosedLinkEndsItsBranchesAtOnce)
{
    this->harness.submit();
    const SendPartialQuery branch = this->takeBranch();
    this->link(branch.aggregator, false);
    ASSERT_EQ(this->harness.replies.size(), 1U);
    EXPECT_EQ(this->harness.replies[0].state, RunState::outcomeUnknown);
    this->harness.submit();
    EXPECT_NE(this->takeBranch().aggregator, branch.aggregator);
}

/// Guards against an outage of all callers of an instance that reaches servers but no aggregator.
TEST_F(DivisionStepsTest, withoutALinkedAggregatorAnInstanceAsksTheServersItself)
{
    this->link("strong-1", false);
    this->link("strong-2", false);
    this->harness.submit();
    EXPECT_EQ(this->harness.takeSends().size(), 10U);
}

/// Guards against work for a caller that has left.
TEST_F(DivisionStepsTest, aCallerThatLeavesCancelsTheBranch)
{
    const QueryId query = this->harness.submit();
    const SendPartialQuery branch = this->takeBranch();
    this->harness.handle(CallerDisconnected{.query = query});
    ASSERT_EQ(this->harness.cancelledBranches.size(), 1U);
    EXPECT_EQ(this->harness.cancelledBranches[0].cancel.branch, branch.request.branch);
    EXPECT_TRUE(this->harness.engine.idle());
}

/// Guards against answers that name shards twice or none: each shard of the branch is either answered or missing.
TEST_F(DivisionStepsTest, aReplyThatDoesNotFitItsBranchIsNotPassedOn)
{
    const auto spoil = [this](const std::function<void(PartialQueryReply &)> &change) {
        this->link("strong-1", true);
        this->link("strong-2", true);
        this->harness.replies.clear();
        this->harness.submit();
        const SendPartialQuery branch = this->takeBranch();
        PartialQueryReply reply = replyTo(branch.request);
        change(reply);
        this->answer(branch, reply);
        ASSERT_EQ(this->harness.replies.size(), 1U);
        EXPECT_FALSE(this->harness.replies[0].success);
    };
    spoil([](PartialQueryReply &reply) { reply.records.signatures.pop_back(); });
    spoil([](PartialQueryReply &reply) { reply.records.signatures.emplace_back("one-more"); });
    spoil([](PartialQueryReply &reply) { reply.records.missingShards = {3}; });
    spoil([](PartialQueryReply &reply) {
        reply.records.signatures.resize(8);
        reply.records.missingShards = {5, 5};
    });
    spoil([](PartialQueryReply &reply) {
        reply.records.signatures.pop_back();
        reply.records.missingShards = {10};
    });
}

/// Guards against a branch that is handed over again, and against one that waits for its last shard beyond its time.
TEST_F(DivisionStepsTest, gathersTheSelectedShardsForACoordinator)
{
    this->submitFor({.first = 4, .count = 5, .minimum = 4, .answerBy = this->harness.now + milliseconds(90)});
    std::vector<SubRequest> sends = this->harness.takeSends();
    ASSERT_EQ(sends.size(), 5U);
    EXPECT_TRUE(sends[0].serverId.starts_with("s4-"));
    EXPECT_TRUE(this->harness.branches.empty()) << "what is handed over is not handed over again";
    sends.erase(sends.begin() + 1);
    for (const SubRequest &request : sends) {
        this->harness.answer(request);
    }
    EXPECT_TRUE(this->harness.replies.empty());
    this->harness.advanceBy(milliseconds(91));
    ASSERT_EQ(this->harness.replies.size(), 1U);
    const auto &merged = std::get<MergedRecords>(this->harness.replies[0].forwarded);
    EXPECT_EQ(merged.signatures.size(), 4U);
    EXPECT_EQ(merged.missingShards, (std::vector<std::uint32_t>{5}));
}

/// Guards against answers whose parts come from two versions of the configuration.
TEST_F(DivisionStepsTest, refusesACoordinatorWithAnotherVersionOfTheRoute)
{
    this->submitFor({.first = 0, .count = 10, .minimum = 9, .routeRevision = 1, .answerBy = this->harness.now + milliseconds(90)});
    ASSERT_EQ(this->harness.replies.size(), 1U);
    EXPECT_EQ(this->harness.replies[0].state, RunState::notRun);
    EXPECT_EQ(this->harness.replies[0].reason, "refused-route-differs");
    EXPECT_TRUE(this->harness.takeSends().empty());
}

/// A busy aggregator refuses at once, so that the coordinator can ask another one in time.
TEST_F(DivisionStepsTest, aFullAggregatorRefusesInsteadOfQueueing)
{
    const ShardSelection selection{.first = 0, .count = 10, .minimum = 9, .answerBy = this->harness.now + milliseconds(90)};
    int refused = 0;
    for (int query = 0; query < 100; ++query) {
        this->submitFor(selection);
    }
    for (const Answer &answer : this->harness.replies) {
        EXPECT_EQ(answer.state, RunState::notRun);
        EXPECT_EQ(answer.reason, "refused-overload");
        ++refused;
    }
    EXPECT_GT(refused, 50);
    EXPECT_LT(refused, 100);
}

/// Guards against a share of an aggregator that is taken for requests to one service, whose servers all instances use alike.
TEST_F(DivisionStepsTest, theShareOfAnAggregatorAppliesToMergedQueriesOnly)
{
    Topology topology;
    topology.liveInstances = 10;
    EXPECT_DOUBLE_EQ(topology.fractionOfTier(true), 0.1);
    topology.gatherFraction = 0.25;
    EXPECT_DOUBLE_EQ(topology.fractionOfTier(true), 0.25);
    EXPECT_DOUBLE_EQ(topology.fractionOfTier(false), 0.1);
}

/// Guards against branches that go to a slow or silent aggregator while another one answers sooner.
TEST(AggregatorHealthTest, prefersTheAggregatorThatAnswersSooner)
{
    AggregatorHealth health;
    pcg32 random(1);
    const std::vector<Aggregator> aggregators = {{.instance = "a", .capacity = 0.5}, {.instance = "b", .capacity = 0.5}};
    const Instant now{seconds(10)};
    EXPECT_TRUE(health.rank(aggregators, {}, now, random).empty());
    health.setLinked("a", true);
    health.setLinked("b", true);
    health.onSent("a");
    health.onAnswered("a", milliseconds(80), milliseconds(70), now);
    health.onSent("b");
    health.onAnswered("b", milliseconds(40), milliseconds(30), now);
    EXPECT_EQ(health.rank(aggregators, {}, now, random).front().instance, "b");
    health.onSent("b");
    health.onSent("b");
    EXPECT_EQ(health.rank(aggregators, {}, now, random).front().instance, "a");
    EXPECT_EQ(health.rank(aggregators, std::vector<std::string>{"a"}, now, random).size(), 1U);
    health.onSilent("a", now);
    EXPECT_EQ(health.rank(aggregators, {}, now + seconds(1), random).size(), 1U);
    EXPECT_EQ(health.rank(aggregators, {}, now + seconds(3), random).size(), 2U);
}

/// Guards against answers that miss the latency objective because the processors of both instances are weak: what a branch and its answer spend
/// on their way is learned, and the aggregator is asked to answer that much sooner.
TEST_F(DivisionStepsTest, anAggregatorIsAskedToAnswerSoonerByTheTimeOnTheWay)
{
    this->link("strong-2", false);
    this->harness.submit();
    const SendPartialQuery first = this->takeBranch();
    this->harness.advanceBy(milliseconds(70));
    PartialQueryReply reply = replyTo(first.request);
    reply.heldFor = milliseconds(40);
    this->answer(first, reply);
    ASSERT_EQ(this->harness.replies.size(), 1U);
    this->harness.submit();
    const SendPartialQuery second = this->takeBranch();
    EXPECT_LE(second.request.answerWithin, first.request.answerWithin - milliseconds(20));
    EXPECT_GT(second.request.answerWithin, milliseconds(0));
}

/// Guards against a time on the way that outlives its cause or the process that it was learned from.
TEST(AggregatorHealthTest, theTimeOnTheWayFollowsTheAnswers)
{
    AggregatorHealth health;
    const Instant now{seconds(10)};
    health.setLinked("a", true);
    const Duration assumed = health.transferTime("a");
    EXPECT_GT(assumed, Duration::zero());
    EXPECT_EQ(health.transferTime("unknown"), assumed);
    for (int answer = 0; answer < 50; ++answer) {
        health.onSent("a");
        health.onAnswered("a", milliseconds(70), milliseconds(40), now);
    }
    EXPECT_GE(health.transferTime("a"), milliseconds(29));
    EXPECT_LE(health.transferTime("a"), milliseconds(31));
    for (int answer = 0; answer < 50; ++answer) {
        health.onSent("a");
        health.onAnswered("a", milliseconds(70), milliseconds(90), now);
    }
    EXPECT_EQ(health.transferTime("a"), assumed);
    health.onSent("a");
    health.onAnswered("a", milliseconds(70), milliseconds(0), now);
    EXPECT_GT(health.transferTime("a"), assumed);
    health.setLinked("a", false);
    health.setLinked("a", true);
    EXPECT_EQ(health.transferTime("a"), assumed);
}

} // namespace ragwort
