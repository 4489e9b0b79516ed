/// \file
/// Tests of the shares: together they never exceed the limit of a server, also during its warm-up.
#include "ragwortcart/Kernel/Shares.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ragwort {

TEST(SharesTest, sharesOfAllOrdinalsSumToTheLimit)
{
    const bool holds = rc::check("sum of shares is the limit", [] {
        const int limit = *rc::gen::inRange(0, 200);
        const int ordinalCount = *rc::gen::inRange(1, 40);
        const std::string id = *rc::gen::arbitrary<std::string>();
        int total = 0;
        for (int ordinal = 0; ordinal < ordinalCount; ++ordinal) {
            total += shareOfOrdinal(limit, ordinal, ordinalCount, id);
        }
        RC_ASSERT(total == limit);
    });
    EXPECT_TRUE(holds);
}

/// Instances may be at different warm-up levels while an announcement propagates; the highest level still bounds the
/// sum.
TEST(SharesTest, mixedWarmUpLevelsStayWithinTheHighestLevel)
{
    const bool holds = rc::check("mixed levels stay within the highest", [] {
        const BackendGroup group{.name = "g", .connections = *rc::gen::inRange(1, 120), .coldCapacity = *rc::gen::inRange(1, 8)};
        const int ordinalCount = *rc::gen::inRange(1, 12);
        const int owner = *rc::gen::inRange(0, ordinalCount);
        int total = 0;
        int highest = 0;
        for (int ordinal = 0; ordinal < ordinalCount; ++ordinal) {
            const int level = *rc::gen::inRange(0, 8);
            highest = std::max(highest, level);
            total += coldOrdinalShare(group, level, {.ordinal = ordinal, .ordinalCount = ordinalCount}, "server")
                + (ordinal == owner ? coldOwnerShare(group) : 0);
        }
        RC_ASSERT(total <= std::max(std::min(group.coldCapacity << highest, group.connections), std::min(group.coldCapacity, group.connections)));
    });
    EXPECT_TRUE(holds);
}

TEST(SharesTest, instanceWithoutOrdinalHasNoShare)
{
    EXPECT_EQ(shareOfOrdinal(100, -1, 8, "s"), 0);
    EXPECT_EQ(shareOfOrdinal(100, 8, 8, "s"), 0);
    EXPECT_EQ(coldOrdinalShare({.connections = 10, .coldCapacity = 2}, 3, {.ordinal = -1, .ordinalCount = 8}, "s"), 0);
}

} // namespace ragwort
