/// \file
/// Tests of the re-armable timer: the task armed last runs once and never early.
#include "LoopThread.h"

#include <gtest/gtest.h>
#include <stdexcept>

namespace ragwort {

using std::chrono::milliseconds;

class LoopTimerTest : public ::testing::Test
{
protected:
    void TearDown() override
    {
        this->thread.call([this] { this->timer.reset(); });
    }

    void arm(Duration delay, int number)
    {
        this->thread.call([&] {
            const Instant at = steadyNow() + delay;
            this->timer->arm(at, [this, at, number] {
                EXPECT_GE(steadyNow(), at);
                this->executed.push_back(number);
            });
        });
    }

    std::vector<int> executedTasks()
    {
        return this->thread.call([this] { return this->executed; });
    }

    LoopThread thread;
    std::unique_ptr<LoopTimer> timer = std::make_unique<LoopTimer>(this->thread.loop);
    std::vector<int> executed;
};

/// Guards against review/1: an exception from one task ended the process and with it the work of all others.
TEST(EventLoopTest, goesOnAfterATaskThatEndsWithAnException)
{
    LoopThread thread;
    thread.loop.post([] { throw std::invalid_argument("of this task only"); });
    EXPECT_EQ(thread.call([] { return 7; }), 7);
    EXPECT_EQ(thread.loop.failedTasks(), 1U);
}

TEST_F(LoopTimerTest, rearmingForLaterReplacesPendingTask)
{
    this->arm(milliseconds(5), 1);
    this->arm(milliseconds(40), 2);
    ASSERT_TRUE(eventually([this] { return !this->executedTasks().empty(); }));
    EXPECT_EQ(this->executedTasks(), std::vector<int>{2});
}

TEST_F(LoopTimerTest, rearmingForEarlierReplacesPendingTask)
{
    this->arm(std::chrono::seconds(60), 1);
    this->arm(milliseconds(5), 2);
    ASSERT_TRUE(eventually([this] { return !this->executedTasks().empty(); }));
    EXPECT_EQ(this->executedTasks(), std::vector<int>{2});
}

TEST_F(LoopTimerTest, cancelledTaskDoesNotRunAndTimerCanBeRearmed)
{
    this->arm(milliseconds(5), 1);
    this->thread.call([this] { this->timer->cancel(); });
    this->arm(milliseconds(30), 2);
    ASSERT_TRUE(eventually([this] { return !this->executedTasks().empty(); }));
    EXPECT_EQ(this->executedTasks(), std::vector<int>{2});
    this->arm(milliseconds(1), 3);
    ASSERT_TRUE(eventually([this] { return this->executedTasks().size() == 2; }));
}

TEST_F(LoopTimerTest, destroyedTimerDoesNotRunItsTask)
{
    this->arm(milliseconds(5), 1);
    this->thread.call([this] { this->timer.reset(); });
    std::this_thread::sleep_for(milliseconds(30));
    EXPECT_TRUE(this->executedTasks().empty());
}

} // namespace ragwort
