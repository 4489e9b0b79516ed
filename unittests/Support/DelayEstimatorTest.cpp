#include "ragwortcart/Support/DelayEstimator.h"

#include <gtest/gtest.h>

namespace ragwort {

using std::chrono::milliseconds;
using std::chrono::seconds;

static std::int64_t microseconds(Duration duration)
{
    return duration.count();
}

TEST(DelayEstimatorTest, findsTheDelayWhateverTheClocksShow)
{
    DelayEstimator estimator;
    const Instant start{seconds(1000)};
    const std::int64_t peerStart = microseconds(seconds(-77));
    EXPECT_EQ(estimator.delayOf(peerStart, start), Duration::zero());
    EXPECT_EQ(estimator.delayOf(peerStart + microseconds(seconds(1)), start + seconds(1) + milliseconds(300)), milliseconds(300));
    EXPECT_EQ(estimator.delayOf(peerStart + microseconds(seconds(2)), start + seconds(2)), Duration::zero());
}

/// The clock of a suspended peer stands still, so that all its later messages seem delayed at first.
TEST(DelayEstimatorTest, followsAClockThatHasStoodStill)
{
    DelayEstimator estimator;
    const Instant start{seconds(1000)};
    estimator.delayOf(0, start);
    const Duration lost = seconds(2);
    EXPECT_EQ(estimator.delayOf(microseconds(seconds(1)), start + seconds(1) + lost), lost);
    Duration delay = lost;
    for (int second = 2; second < 15; ++second) {
        delay = estimator.delayOf(microseconds(seconds(second)), start + seconds(second) + lost);
    }
    EXPECT_EQ(delay, Duration::zero());
}

} // namespace ragwort
