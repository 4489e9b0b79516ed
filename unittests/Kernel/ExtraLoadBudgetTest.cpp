/// \file
/// Tests of the bounds of the extra-load budget, with random and with extreme sequences.
#include "ragwortcart/Kernel/ExtraLoadBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ragwort {

TEST(ExtraLoadBudgetTest, spendsAtMostInitialAndEarnedCredit)
{
    const bool holds = rc::check("spent <= initial credit + earned", [](const std::vector<bool> &steps) {
        ExtraLoadBudget budget;
        double earned = 0.0;
        for (const bool earn : steps) {
            if (earn) {
                budget.earn(0.25);
                earned += 0.25;
            } else {
                budget.spend();
            }
            RC_ASSERT(static_cast<double>(budget.spent()) <= INITIAL_EXTRA_CREDIT + earned);
        }
    });
    EXPECT_TRUE(holds);
}

TEST(ExtraLoadBudgetTest, accumulatedCreditIsBounded)
{
    ExtraLoadBudget budget;
    for (int index = 0; index < 100'000; ++index) {
        budget.earn(1.0);
    }
    int burst = 0;
    while (budget.spend()) {
        ++burst;
    }
    EXPECT_LE(burst, 20);
    EXPECT_EQ(budget.refused(), 1U);
}

} // namespace ragwort
