/// \file
/// Tests of the admission queue: order of service, fairness between teams, fill limits and expiry.
#include "ragwortcart/Kernel/AdmissionQueue.h"

#include <gtest/gtest.h>

namespace ragwort {

static WaitingQuery waiting(QueryId id, const std::string &team, Urgency urgency, int deadlineMs = 1000)
{
    WaitingQuery query{.request = {.id = id, .team = team}, .groupKey = team + "/g", .urgency = urgency};
    query.request.deadline = Instant{std::chrono::milliseconds(deadlineMs)};
    return query;
}

static const auto ANY = [](const WaitingQuery &) { return true; };

TEST(AdmissionQueueTest, servesUrgentBeforeOrdinaryBeforeBatch)
{
    AdmissionQueue queue;
    queue.push(waiting(1, "a", Urgency::batch));
    queue.push(waiting(2, "a", Urgency::ordinary));
    queue.push(waiting(3, "a", Urgency::urgent));
    EXPECT_EQ(queue.popAdmissible(ANY)->request.id, 3U);
    EXPECT_EQ(queue.popAdmissible(ANY)->request.id, 2U);
    EXPECT_EQ(queue.popAdmissible(ANY)->request.id, 1U);
    EXPECT_FALSE(queue.popAdmissible(ANY));
}

TEST(AdmissionQueueTest, alternatesTeamsRegardlessOfQueueLength)
{
    AdmissionQueue queue;
    for (QueryId id = 0; id < 100; ++id) {
        queue.push(waiting(id, "loud", Urgency::urgent));
    }
    for (QueryId id = 200; id < 205; ++id) {
        queue.push(waiting(id, "quiet", Urgency::urgent));
    }
    int quiet = 0;
    for (int turn = 0; turn < 10; ++turn) {
        quiet += queue.popAdmissible(ANY)->request.team == "quiet" ? 1 : 0;
    }
    EXPECT_EQ(quiet, 5);
}

/// With the count of an idle team left at zero, a new team would be served alone until it reached the count of the busy
/// one.
TEST(AdmissionQueueTest, idleTeamAccumulatesNoCredit)
{
    AdmissionQueue queue;
    for (QueryId id = 0; id < 50; ++id) {
        queue.push(waiting(id, "busy", Urgency::urgent));
        queue.popAdmissible(ANY);
    }
    for (QueryId id = 100; id < 110; ++id) {
        queue.push(waiting(id, "busy", Urgency::urgent));
        queue.push(waiting(id + 100, "new", Urgency::urgent));
    }
    int busy = 0;
    for (int turn = 0; turn < 10; ++turn) {
        busy += queue.popAdmissible(ANY)->request.team == "busy" ? 1 : 0;
    }
    EXPECT_GE(busy, 4);
}

TEST(AdmissionQueueTest, saturatedGroupDoesNotBlockOtherGroups)
{
    AdmissionQueue queue;
    queue.push(waiting(1, "full", Urgency::urgent));
    queue.push(waiting(2, "free", Urgency::batch));
    const auto next = queue.popAdmissible([](const WaitingQuery &query) { return query.request.team == "free"; });
    ASSERT_TRUE(next);
    EXPECT_EQ(next->request.id, 2U);
    EXPECT_EQ(queue.size(), 1U);
}

TEST(AdmissionQueueTest, rejectsLowerUrgencyAtLowerFillLevel)
{
    AdmissionQueue queue;
    QueryId id = 0;
    while (queue.push(waiting(++id, "a", Urgency::batch))) { }
    EXPECT_TRUE(queue.push(waiting(++id, "a", Urgency::ordinary)));
    while (queue.push(waiting(++id, "a", Urgency::ordinary))) { }
    EXPECT_TRUE(queue.push(waiting(++id, "a", Urgency::urgent)));
}

TEST(AdmissionQueueTest, removesExpiredQueries)
{
    AdmissionQueue queue;
    queue.push(waiting(1, "a", Urgency::urgent, 10));
    queue.push(waiting(2, "a", Urgency::urgent, 30));
    const auto expired = queue.popExpired(Instant{std::chrono::milliseconds(20)});
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired.front().request.id, 1U);
    EXPECT_TRUE(queue.remove(2));
    EXPECT_FALSE(queue.remove(2));
    EXPECT_EQ(queue.size(), 0U);
}

} // namespace ragwort
