#include "ragwortcart/Support/TimerService.h"

#include <gtest/gtest.h>
#include <string>

namespace ragwort {

static Instant at(int ms)
{
    return Instant{std::chrono::milliseconds(ms)};
}

TEST(TimerServiceTest, firesInOrderOfTimeThenSubscription)
{
    TimerService timers;
    std::string order;
    timers.subscribe(at(20), [&order](Instant) { order += 'c'; });
    timers.subscribe(at(10), [&order](Instant) { order += 'a'; });
    timers.subscribe(at(10), [&order](Instant) { order += 'b'; });
    timers.advance(at(9));
    EXPECT_EQ(order, "");
    timers.advance(at(30));
    EXPECT_EQ(order, "abc");
    EXPECT_FALSE(timers.nextDeadline());
}

TEST(TimerServiceTest, callbacksCanSubscribeAndCancelTimers)
{
    TimerService timers;
    int fired = 0;
    const TimerId canceled = timers.subscribe(at(11), [&fired](Instant) { fired += 100; });
    timers.subscribe(at(10), [&](Instant now) {
        timers.cancel(canceled);
        timers.subscribe(now, [&fired](Instant) { ++fired; });
    });
    timers.advance(at(20));
    EXPECT_EQ(fired, 1);
    timers.cancel(canceled);
    EXPECT_EQ(timers.size(), 0U);
}

} // namespace ragwort
