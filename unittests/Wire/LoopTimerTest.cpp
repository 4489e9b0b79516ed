/// \file
/// The re-armable timer of a loop: what was armed last runs once, never early.
#include "LoopThread.h"

#include <gtest/gtest.h>

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
                this->ran.push_back(number);
            });
        });
    }

    std::vector<int> seen()
    {
        return this->thread.call([this] { return this->ran; });
    }

    LoopThread thread;
    std::unique_ptr<LoopTimer> timer = std::make_unique<LoopTimer>(this->thread.loop);
    std::vector<int> ran;
};

TEST_F(LoopTimerTest, whatIsArmedLaterReplacesWhatWasDueEarlier)
{
    this->arm(milliseconds(5), 1);
    this->arm(milliseconds(40), 2);
    ASSERT_TRUE(eventually([this] { return !this->seen().empty(); }));
    EXPECT_EQ(this->seen(), std::vector<int>{2});
}

TEST_F(LoopTimerTest, whatIsArmedEarlierReplacesWhatWasDueLater)
{
    this->arm(std::chrono::seconds(60), 1);
    this->arm(milliseconds(5), 2);
    ASSERT_TRUE(eventually([this] { return !this->seen().empty(); }));
    EXPECT_EQ(this->seen(), std::vector<int>{2});
}

TEST_F(LoopTimerTest, whatWasCancelledDoesNotRunAndTheTimerCanBeArmedAgain)
{
    this->arm(milliseconds(5), 1);
    this->thread.call([this] { this->timer->cancel(); });
    this->arm(milliseconds(30), 2);
    ASSERT_TRUE(eventually([this] { return !this->seen().empty(); }));
    EXPECT_EQ(this->seen(), std::vector<int>{2});
    this->arm(milliseconds(1), 3);
    ASSERT_TRUE(eventually([this] { return this->seen().size() == 2; }));
}

TEST_F(LoopTimerTest, aTimerThatIsGoneRunsNothing)
{
    this->arm(milliseconds(5), 1);
    this->thread.call([this] { this->timer.reset(); });
    std::this_thread::sleep_for(milliseconds(30));
    EXPECT_TRUE(this->seen().empty());
}

} // namespace ragwort
