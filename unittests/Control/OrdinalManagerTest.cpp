#include "ragwortcart/Control/OrdinalManager.h"
#include "ragwortcart/Support/Hash.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ragwort {

static Instant at(int second)
{
    return Instant{std::chrono::seconds(second)};
}

TEST(OrdinalManagerTest, acquiresTheLowestFreeOrdinal)
{
    OrdinalManager manager("c");
    EXPECT_FALSE(manager.acquireWrite(4, at(0))) << "neither table nor list is known";
    manager.updateTable({{0, "a"}, {2, "b"}}, 5, at(0));
    manager.updateLiveInstances({"a", "b", "c"}, at(0));
    const std::optional<OrdinalWrite> write = manager.acquireWrite(4, at(0));
    ASSERT_TRUE(write);
    EXPECT_EQ(write->expectedIndex, 5U);
    EXPECT_EQ(decodeOrdinals(write->value)->at(1), "c");
    EXPECT_EQ(manager.ordinal(), -1) << "the ordinal is held only after the table has been read back";
    manager.updateTable(*decodeOrdinals(write->value), 6, at(0));
    EXPECT_EQ(manager.ordinal(), 1);
    EXPECT_FALSE(manager.acquireWrite(4, at(0)));
}

TEST(OrdinalManagerTest, acquiresNoOrdinalInAFullTableOfLiveHolders)
{
    OrdinalManager manager("c");
    manager.updateTable({{0, "a"}, {1, "b"}}, 5, at(0));
    manager.updateLiveInstances({"a", "b", "c"}, at(0));
    manager.updateLiveInstances({"a", "b", "c"}, at(1000));
    EXPECT_FALSE(manager.acquireWrite(2, at(1000)));
}

TEST(OrdinalManagerTest, takesOverTheOrdinalOfAnInstanceMissingFromThePlatformList)
{
    OrdinalManager manager("c");
    manager.updateTable({{0, "a"}, {1, "b"}}, 5, at(0));
    manager.updateLiveInstances({"a", "b", "c"}, at(0));
    manager.updateLiveInstances({"a", "c"}, at(100));
    EXPECT_FALSE(manager.acquireWrite(2, at(105)));
    manager.updateLiveInstances({"a", "c"}, at(110));
    const std::optional<OrdinalWrite> write = manager.acquireWrite(2, at(110));
    ASSERT_TRUE(write);
    EXPECT_EQ(decodeOrdinals(write->value)->at(1), "c");
}

TEST(OrdinalManagerTest, waitsLongerForAHolderThatWasNeverListed)
{
    OrdinalManager manager("c");
    manager.updateTable({{0, "a"}, {1, "new"}}, 5, at(0));
    manager.updateLiveInstances({"a", "c"}, at(0));
    manager.updateLiveInstances({"a", "c"}, at(60));
    EXPECT_FALSE(manager.acquireWrite(2, at(60)));
    EXPECT_TRUE(manager.acquireWrite(2, at(130)));
}

TEST(OrdinalManagerTest, aStaleReadDoesNotRestoreALostOrdinal)
{
    OrdinalManager manager("a");
    manager.updateTable({{0, "a"}}, 5, at(0));
    EXPECT_EQ(manager.ordinal(), 0);
    manager.updateTable({{0, "b"}}, 7, at(0));
    EXPECT_EQ(manager.ordinal(), -1);
    manager.updateTable({{0, "a"}}, 5, at(0));
    EXPECT_EQ(manager.ordinal(), -1);
}

/// Guards against a store that comes back from an older copy: the table without this instance was taken for a stale read for ever, so that the
/// instance went on with an ordinal that another one had been given since.
TEST(OrdinalManagerTest, anOlderTableWithoutTheOwnOrdinalEndsItAtOnce)
{
    OrdinalManager manager("a");
    manager.updateTable({{0, "a"}, {1, "b"}}, 7, at(10));
    ASSERT_EQ(manager.ordinal(), 0);
    manager.updateTable({{1, "b"}}, 5, at(11));
    EXPECT_EQ(manager.ordinal(), -1);
    EXPECT_FALSE(manager.releaseWrite());
}

/// Guards against the same: an instance whose ordinal was lost with the changes since the copy never acquired one again, because each of its writes
/// expected an index that the store had no longer.
TEST(OrdinalManagerTest, anOlderTableThatLastsIsTaken)
{
    OrdinalManager manager("a");
    manager.updateLiveInstances({"a", "b"}, at(10));
    manager.updateTable({{0, "a"}, {1, "b"}}, 7, at(10));
    manager.updateTable({{1, "b"}}, 5, at(11));
    EXPECT_FALSE(manager.acquireWrite(2, at(11))) << "it is not known whether the table is the store's latest";
    manager.updateTable({{1, "b"}}, 5, at(11) + ORDINAL_RESTORE_DELAY);
    const std::optional<OrdinalWrite> write = manager.acquireWrite(2, at(14));
    ASSERT_TRUE(write);
    EXPECT_EQ(write->expectedIndex, 5U);
    manager.updateTable(*decodeOrdinals(write->value), 6, at(14));
    EXPECT_EQ(manager.ordinal(), 0);
}

/// Guards against an ordinal that comes back with an older table while its holder of the lost table may still use it.
TEST(OrdinalManagerTest, anOlderTableGivesNoOrdinalBeforeOthersMustHaveReadIt)
{
    OrdinalManager manager("a");
    manager.updateTable({{0, "b"}}, 7, at(10));
    manager.updateTable({{0, "a"}}, 5, at(11));
    EXPECT_EQ(manager.ordinal(), -1);
    manager.updateTable({{0, "a"}}, 5, at(11) + ORDINAL_RESTORE_DELAY - std::chrono::milliseconds(1));
    EXPECT_EQ(manager.ordinal(), -1);
    manager.updateTable({{0, "a"}}, 5, at(11) + ORDINAL_RESTORE_DELAY);
    EXPECT_EQ(manager.ordinal(), 0);
}

/// A read from a copy that lags costs no ordinal that it also names, and is forgotten with the next read of the latest table.
TEST(OrdinalManagerTest, staleReadsThatDoNotLastAreNotTaken)
{
    OrdinalManager manager("a");
    manager.updateTable({{0, "a"}, {1, "b"}}, 7, at(10));
    manager.updateTable({{0, "a"}}, 5, at(11));
    EXPECT_EQ(manager.ordinal(), 0);
    manager.updateTable({{0, "a"}, {1, "b"}}, 7, at(12));
    manager.updateTable({{0, "a"}}, 5, at(14));
    EXPECT_EQ(manager.ordinal(), 0);
    EXPECT_EQ(decodeOrdinals(manager.releaseWrite()->value)->size(), 1U) << "the latest table is still the one with two holders";
}

TEST(OrdinalManagerTest, releaseRemovesOnlyTheOwnOrdinal)
{
    OrdinalManager manager("a");
    EXPECT_FALSE(manager.releaseWrite());
    manager.updateTable({{0, "a"}, {1, "b"}}, 5, at(0));
    EXPECT_EQ(decodeOrdinals(manager.releaseWrite()->value)->size(), 1U);
}

/// No two instances own the warm-up of one server at the same time, whatever versions of the table they have read and
/// when.
TEST(OrdinalManagerTest, noTwoInstancesOwnTheSameWarmUp)
{
    const bool holds = rc::check("one owner at most", [] {
        static constexpr int ORDINAL_COUNT = 4;
        std::vector<std::string> names{"a", "b", "c", "d"};
        std::map<std::string, OrdinalManager> managers;
        for (const std::string &name : names) {
            managers.emplace(name, OrdinalManager(name));
        }
        OrdinalTable table;
        std::uint64_t index = 1;
        Instant now = at(100);
        for (int step = 0; step < 80; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(1, 1500));
            const std::string &name = names[*rc::gen::inRange<std::size_t>(0, names.size())];
            const bool holdsOrdinal = std::any_of(table.begin(), table.end(), [&name](const auto &entry) { return entry.second == name; });
            if (*rc::gen::inRange(0, 6) == 0 && !holdsOrdinal) {
                // Acquires the lowest free ordinal and reads it back.
                int ordinal = 0;
                while (table.contains(ordinal)) {
                    ++ordinal;
                }
                table[ordinal] = name;
                managers.at(name).updateTable(table, ++index, now);
            } else if (*rc::gen::inRange(0, 10) == 0 && holdsOrdinal) {
                // Leaves permanently; its view of the table no longer matters.
                std::erase_if(table, [&name](const auto &entry) { return entry.second == name; });
                ++index;
                managers.erase(name);
                managers.emplace(name, OrdinalManager(name));
            } else {
                managers.at(name).updateTable(table, index, now);
            }
            for (int server = 0; server < 12; ++server) {
                int owners = 0;
                for (const auto &[holder, manager] : managers) {
                    owners += manager.ownsWarmUpUntil("s" + std::to_string(server), ORDINAL_COUNT, now) > now ? 1 : 0;
                }
                RC_ASSERT(owners <= 1);
            }
        }
    });
    EXPECT_TRUE(holds);
}

TEST(OrdinalManagerTest, theNextOrdinalOwnsTheWarmUpsOfAFreeOrdinalWhileTheTableIsRecent)
{
    OrdinalManager manager("a");
    manager.updateTable({{0, "a"}}, 1, at(0));
    const std::string server = "s";
    const bool isHomeOrdinal = stableHash(server) % 2 == 0;
    const Instant until = manager.ownsWarmUpUntil(server, 2, at(6));
    EXPECT_EQ(until, isHomeOrdinal ? Instant::max() : at(0) + ORDINAL_TABLE_VALIDITY);
    manager.updateTable({{0, "a"}}, 1, at(6));
    EXPECT_GT(manager.ownsWarmUpUntil(server, 2, at(6)), at(6));
    manager.updateTable({{0, "a"}, {1, "b"}}, 2, at(7));
    EXPECT_EQ(manager.ownsWarmUpUntil(server, 2, at(7)) > at(7), isHomeOrdinal);
}

} // namespace ragwort
