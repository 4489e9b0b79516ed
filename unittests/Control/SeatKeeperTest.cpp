#include "ragwortcart/Control/SeatKeeper.h"
#include "ragwortcart/Support/Hash.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ragwort {

static Instant at(int second)
{
    return Instant{std::chrono::seconds(second)};
}

TEST(SeatKeeperTest, takesTheLowestFreeSeat)
{
    SeatKeeper keeper("c");
    EXPECT_FALSE(keeper.wantedWrite(4, at(0))) << "nothing is known yet";
    keeper.noteTable({{0, "a"}, {2, "b"}}, 5, at(0));
    keeper.noteLiveInstances({"a", "b", "c"}, at(0));
    const std::optional<SeatWrite> write = keeper.wantedWrite(4, at(0));
    ASSERT_TRUE(write);
    EXPECT_EQ(write->expectedIndex, 5U);
    EXPECT_EQ(decodeSeats(write->value)->at(1), "c");
    EXPECT_EQ(keeper.seat(), -1) << "the seat counts only once it is read back";
    keeper.noteTable(*decodeSeats(write->value), 6, at(0));
    EXPECT_EQ(keeper.seat(), 1);
    EXPECT_FALSE(keeper.wantedWrite(4, at(0)));
}

TEST(SeatKeeperTest, aFullTableGivesNoSeatWhileItsHoldersLive)
{
    SeatKeeper keeper("c");
    keeper.noteTable({{0, "a"}, {1, "b"}}, 5, at(0));
    keeper.noteLiveInstances({"a", "b", "c"}, at(0));
    keeper.noteLiveInstances({"a", "b", "c"}, at(1000));
    EXPECT_FALSE(keeper.wantedWrite(2, at(1000)));
}

TEST(SeatKeeperTest, takesOverTheSeatOfAnInstanceThatThePlatformHasDropped)
{
    SeatKeeper keeper("c");
    keeper.noteTable({{0, "a"}, {1, "b"}}, 5, at(0));
    keeper.noteLiveInstances({"a", "b", "c"}, at(0));
    keeper.noteLiveInstances({"a", "c"}, at(100));
    EXPECT_FALSE(keeper.wantedWrite(2, at(105)));
    keeper.noteLiveInstances({"a", "c"}, at(110));
    const std::optional<SeatWrite> write = keeper.wantedWrite(2, at(110));
    ASSERT_TRUE(write);
    EXPECT_EQ(decodeSeats(write->value)->at(1), "c");
}

TEST(SeatKeeperTest, aHolderThatTheLaggingListHasNotShownYetKeepsItsSeat)
{
    SeatKeeper keeper("c");
    keeper.noteTable({{0, "a"}, {1, "new"}}, 5, at(0));
    keeper.noteLiveInstances({"a", "c"}, at(0));
    keeper.noteLiveInstances({"a", "c"}, at(60));
    EXPECT_FALSE(keeper.wantedWrite(2, at(60)));
    EXPECT_TRUE(keeper.wantedWrite(2, at(130)));
}

TEST(SeatKeeperTest, aStaleReadDoesNotBringBackALostSeat)
{
    SeatKeeper keeper("a");
    keeper.noteTable({{0, "a"}}, 5, at(0));
    EXPECT_EQ(keeper.seat(), 0);
    keeper.noteTable({{0, "b"}}, 7, at(0));
    EXPECT_EQ(keeper.seat(), -1);
    keeper.noteTable({{0, "a"}}, 5, at(0));
    EXPECT_EQ(keeper.seat(), -1);
}

TEST(SeatKeeperTest, releaseFreesOnlyItsOwnSeat)
{
    SeatKeeper keeper("a");
    EXPECT_FALSE(keeper.releaseWrite());
    keeper.noteTable({{0, "a"}, {1, "b"}}, 5, at(0));
    EXPECT_EQ(decodeSeats(keeper.releaseWrite()->value)->size(), 1U);
}

/// Whatever two instances have read of the table, and when, they never both own one server's warm-up.
TEST(SeatKeeperTest, noTwoInstancesOwnOneWarmUp)
{
    const bool holds = rc::check("one owner at most", [] {
        static constexpr int SEATS = 4;
        std::vector<std::string> names{"a", "b", "c", "d"};
        std::map<std::string, SeatKeeper> keepers;
        for (const std::string &name : names) {
            keepers.emplace(name, SeatKeeper(name));
        }
        SeatTable table;
        std::uint64_t index = 1;
        Instant now = at(100);
        for (int step = 0; step < 80; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(1, 1500));
            const std::string &name = names[*rc::gen::inRange<std::size_t>(0, names.size())];
            const bool seated = std::any_of(table.begin(), table.end(), [&name](const auto &entry) { return entry.second == name; });
            if (*rc::gen::inRange(0, 6) == 0 && !seated) {
                // Takes the lowest free seat and reads it back.
                int seat = 0;
                while (table.contains(seat)) {
                    ++seat;
                }
                table[seat] = name;
                keepers.at(name).noteTable(table, ++index, now);
            } else if (*rc::gen::inRange(0, 10) == 0 && seated) {
                // Leaves for good: what it believed does not count any more.
                std::erase_if(table, [&name](const auto &entry) { return entry.second == name; });
                ++index;
                keepers.erase(name);
                keepers.emplace(name, SeatKeeper(name));
            } else {
                keepers.at(name).noteTable(table, index, now);
            }
            for (int server = 0; server < 12; ++server) {
                int owners = 0;
                for (const auto &[holder, keeper] : keepers) {
                    owners += keeper.ownsWarmUpUntil("s" + std::to_string(server), SEATS, now) > now ? 1 : 0;
                }
                RC_ASSERT(owners <= 1);
            }
        }
    });
    EXPECT_TRUE(holds);
}

TEST(SeatKeeperTest, aServerWhoseSeatIsFreeIsOwnedByTheNextWhileTheTableIsRecent)
{
    SeatKeeper keeper("a");
    keeper.noteTable({{0, "a"}}, 1, at(0));
    const std::string server = "s";
    const bool first = stableHash(server) % 2 == 0;
    const Instant until = keeper.ownsWarmUpUntil(server, 2, at(6));
    EXPECT_EQ(until, first ? Instant::max() : at(0) + SEAT_TABLE_LIFETIME);
    keeper.noteTable({{0, "a"}}, 1, at(6));
    EXPECT_GT(keeper.ownsWarmUpUntil(server, 2, at(6)), at(6));
    keeper.noteTable({{0, "a"}, {1, "b"}}, 2, at(7));
    EXPECT_EQ(keeper.ownsWarmUpUntil(server, 2, at(7)) > at(7), first);
}

} // namespace ragwort
