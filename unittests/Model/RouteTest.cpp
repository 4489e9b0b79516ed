#include "ragwortcart/Model/Route.h"
#include "ragwortcart/Model/RecordMerge.h"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <pcg_random.hpp>

namespace ragwort {

static Route makeRoute(const std::string &name, const std::string &host, const std::string &prefix, const std::string &service, int priority = 0)
{
    Route route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    route.target = ServiceChoice{.services = {{.service = service}}};
    route.priority = priority;
    return route;
}

TEST(RouteTest, matchSelectsTheLongestPrefixForTheHost)
{
    RouteTable table;
    table.routes = {makeRoute("short", "h", "/a/", "x"), makeRoute("long", "h", "/a/b/", "x"), makeRoute("other", "g", "/a/b/c/", "x")};
    EXPECT_EQ(table.match("h", "/a/b/c/d")->name, "long");
    EXPECT_EQ(table.match("h", "/a/c")->name, "short");
    EXPECT_EQ(table.match("h", "/a"), nullptr);
    EXPECT_EQ(table.match("i", "/a/b/"), nullptr);
}

TEST(RouteTest, routesToTheSameServicesShareAGroupAndTheLowestPriorityIsUrgent)
{
    RouteTable table;
    table.routes = {makeRoute("a", "h", "/a/", "x", 1), makeRoute("b", "h", "/b/", "x", 2), makeRoute("c", "h", "/c/", "y", 2)};
    deriveRouteGroups(table);
    EXPECT_EQ(table.routes[0].group.name, table.routes[1].group.name);
    EXPECT_NE(table.routes[0].group.name, table.routes[2].group.name);
    EXPECT_EQ(table.routes[0].kind.urgency, Urgency::urgent);
    EXPECT_EQ(table.routes[1].kind.urgency, Urgency::ordinary);
    EXPECT_EQ(table.routes[2].kind.urgency, Urgency::urgent);
}

TEST(RecordMergeTest, returnsTheGreatestRecordsInDescendingUnsignedByteOrder)
{
    const std::string low(16, '\x01');
    const std::string middle(16, '\x7f');
    const std::string high(16, '\xff');
    const std::string first = low + high;
    const std::string second = middle + middle + "rest";
    const std::vector<std::string_view> shards = {first, second};
    EXPECT_EQ(mergeTopRecords(shards, 3), high + middle + middle);
    EXPECT_EQ(mergeTopRecords(shards, 9), high + middle + middle + low);
    EXPECT_EQ(mergeTopRecords({}, 9), "");
}

/// Guards against an order of records that differs from that of their bytes, with repeated records and each count up to more than there are.
TEST(RecordMergeTest, agreesWithASortOfAllRecords)
{
    pcg32 random(7);
    for (std::size_t count = 0; count < 70; ++count) {
        std::vector<std::string> bodies(5);
        std::vector<std::string> records;
        for (std::string &body : bodies) {
            for (int record = 0; record < 12; ++record) {
                std::string bytes(RECORD_BYTES, '\0');
                for (char &byte : bytes) {
                    byte = random(8) == 0 ? '\xff' : '\0';
                }
                body += bytes;
                records.push_back(bytes);
            }
        }
        std::sort(records.begin(), records.end(), std::greater<>());
        std::string expected;
        for (std::size_t index = 0; index < std::min(count, records.size()); ++index) {
            expected += records[index];
        }
        const std::vector<std::string_view> shards(bodies.begin(), bodies.end());
        EXPECT_EQ(mergeTopRecords(shards, count), expected) << count;
    }
}

} // namespace ragwort
