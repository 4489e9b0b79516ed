#include "ragwortcart/Model/KeyRange.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ragwort {

TEST(RangeSetTest, mergesAdjacentRanges)
{
    RangeSet set;
    set.add({.begin = 10, .end = 20});
    set.add({.begin = 30, .end = 40});
    set.add({.begin = 20, .end = 30});
    ASSERT_EQ(set.ranges().size(), 1U);
    EXPECT_EQ(set.ranges()[0], (KeyRange{.begin = 10, .end = 40}));
    EXPECT_EQ(set.width(), 30U);
}

TEST(RangeSetTest, missingReturnsTheGapsInOrder)
{
    RangeSet set;
    set.add({.begin = 10, .end = 20});
    const std::vector<KeyRange> gaps = set.missing({.begin = 0, .end = 30});
    ASSERT_EQ(gaps.size(), 2U);
    EXPECT_EQ(gaps[0], (KeyRange{.begin = 0, .end = 10}));
    EXPECT_EQ(gaps[1], (KeyRange{.begin = 20, .end = 30}));
}

/// Compares membership, width and gaps with a bit per key, for random ranges in random order.
TEST(RangeSetTest, matchesAModelSetForRandomRanges)
{
    const bool holds = rc::check("range set equals a set of keys", [] {
        static constexpr DocumentKey END = 64;
        const auto pairs = *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(rc::gen::pair(rc::gen::inRange(0U, 64U), rc::gen::inRange(0U, 65U)));
        RangeSet set;
        std::vector<bool> model(END, false);
        for (const auto &[begin, end] : pairs) {
            set.add({.begin = begin, .end = end});
            for (DocumentKey key = begin; key < end; ++key) {
                model[key] = true;
            }
        }
        std::vector<bool> rebuilt(END, true);
        for (const KeyRange &gap : set.missing({.begin = 0, .end = END})) {
            for (DocumentKey key = gap.begin; key < gap.end; ++key) {
                rebuilt[key] = false;
            }
        }
        RC_ASSERT(rebuilt == model);
        RC_ASSERT(set.width() == static_cast<DocumentKey>(std::count(model.begin(), model.end(), true)));
        for (DocumentKey key = 0; key < END; ++key) {
            RC_ASSERT(set.overlaps({.begin = key, .end = key + 1}) == model[key]);
        }
    });
    EXPECT_TRUE(holds);
}

} // namespace ragwort
