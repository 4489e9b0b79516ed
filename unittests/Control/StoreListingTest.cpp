#include "ragwortcart/Control/StoreListing.h"

#include <gtest/gtest.h>

namespace ragwort {

static StorePage page(const std::vector<std::string> &keys, bool hasMore, StoreRevision revision = 7)
{
    StorePage made{.items = {}, .hasMore = hasMore, .position = {.revision = revision}};
    for (const std::string &key : keys) {
        made.items.push_back({.key = key, .value = {}, .revision = 1});
    }
    return made;
}

TEST(StoreListingTest, accumulatesPagesAtTheRevisionOfTheFirst)
{
    StoreListing listing;
    Result<bool> more = listing.add(page({"a", "b"}, true, 7));
    ASSERT_TRUE(more);
    EXPECT_TRUE(*more);
    EXPECT_EQ(listing.lastKey(), "b");
    more = listing.add(page({"c"}, false, 9));
    ASSERT_TRUE(more);
    EXPECT_FALSE(*more);
    EXPECT_EQ(listing.items().size(), 3U);
    EXPECT_EQ(listing.position().revision, 7U);
}

TEST(StoreListingTest, anEmptyStoreIsAListOfOneEmptyPage)
{
    StoreListing listing;
    const Result<bool> more = listing.add(page({}, false));
    ASSERT_TRUE(more);
    EXPECT_FALSE(*more);
    EXPECT_EQ(listing.lastKey(), "");
}

/// Guards against issue 38: a list that stands still was continued for ever.
TEST(StoreListingTest, aPageThatDoesNotAdvanceTheListIsAnError)
{
    StoreListing repeated;
    ASSERT_TRUE(repeated.add(page({"a", "b"}, true)));
    EXPECT_EQ(repeated.add(page({"a", "b"}, true)).error().code, Errc::protocolViolation);
    StoreListing alternating;
    ASSERT_TRUE(alternating.add(page({"a", "b"}, true)));
    ASSERT_TRUE(alternating.add(page({"b", "c"}, true)));
    EXPECT_EQ(alternating.add(page({"a", "b"}, true)).error().code, Errc::protocolViolation);
}

/// Guards against issue 38: a list whose next page was empty was taken for complete, or continued for ever.
TEST(StoreListingTest, anEmptyPageWithMoreBehindItIsAnError)
{
    StoreListing first;
    EXPECT_EQ(first.add(page({}, true)).error().code, Errc::protocolViolation);
    StoreListing later;
    ASSERT_TRUE(later.add(page({"a"}, true)));
    EXPECT_EQ(later.add(page({}, true)).error().code, Errc::protocolViolation);
}

/// A store may repeat items at the edge of a page, as pages are no snapshot. The list goes on as long as it advances.
TEST(StoreListingTest, pagesMayOverlap)
{
    StoreListing listing;
    ASSERT_TRUE(listing.add(page({"a", "b"}, true)));
    ASSERT_TRUE(listing.add(page({"b", "c"}, true)));
    const Result<bool> more = listing.add(page({"c"}, false));
    ASSERT_TRUE(more);
    EXPECT_FALSE(*more);
}

/// Guards against a list of older contents that names the latest revision: a watch from there does not return the changes between.
TEST(StoreListingTest, theItemsProveAPositionWhateverThePagesName)
{
    StoreListing listing;
    ASSERT_TRUE(listing.add({.items = {{.key = "a", .revision = 40}, {.key = "b", .revision = 7}}, .hasMore = true, .position = {.epoch = 2, .revision = 90}}));
    EXPECT_EQ(listing.provenPosition(), (StorePosition{.epoch = 2, .revision = 40}));
    // The second page is of an older copy than the first one.
    ASSERT_TRUE(listing.add({.items = {{.key = "c", .revision = 30}}, .hasMore = false, .position = {.epoch = 2, .revision = 95}}));
    EXPECT_EQ(listing.provenPosition(), (StorePosition{.epoch = 2, .revision = 30}));
}

TEST(StoreListingTest, aPageWithoutItemsProvesNoChange)
{
    StoreListing listing;
    ASSERT_TRUE(listing.add({.items = {}, .hasMore = false, .position = {.epoch = 2, .revision = 90}}));
    EXPECT_EQ(listing.provenPosition(), (StorePosition{.epoch = 2, .revision = 1}));
}

/// Guards against a list of which one part was read before and another after the store came back from an older copy.
TEST(StoreListingTest, pagesOfTwoEpochsAreNoList)
{
    StoreListing listing;
    ASSERT_TRUE(listing.add({.items = {{.key = "a", .revision = 40}}, .hasMore = true, .position = {.epoch = 2, .revision = 90}}));
    const Result<bool> added = listing.add({.items = {{.key = "b", .revision = 41}}, .hasMore = false, .position = {.epoch = 3, .revision = 85}});
    ASSERT_FALSE(added);
    EXPECT_EQ(added.error().code, Errc::protocolViolation);
}

} // namespace ragwort
