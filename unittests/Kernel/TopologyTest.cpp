/// \file
/// Tests of query planning: the parts are disjoint and, together with the missing ranges, cover the key space.
#include "ragwortcart/Kernel/Topology.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ragwort {

static ServerPointer server(const std::string &id)
{
    return std::make_shared<ServerRecord>(ServerIdentity{.id = id});
}

static bool usable(const ServerRecord &record)
{
    return !record.isExcluded();
}

TEST(TopologyTest, tilesOverlappingShardsWithoutOverlap)
{
    // During repartitioning, an old server holds the whole key space, and a new one already holds its first half.
    const DocumentKey half = KEY_SPACE_END / 2;
    SnapshotLayout layout{.id = 1, .totalDocuments = 10, .shards = {}};
    layout.shards.push_back({.range = {.begin = 0, .end = half}, .documents = 5, .replicas = {server("new-0")}});
    layout.shards.push_back({.range = {.begin = 0, .end = KEY_SPACE_END}, .documents = 10, .replicas = {server("old")}});
    const SnapshotPlan plan = planSnapshot(layout, usable);
    EXPECT_TRUE(plan.missing.empty());
    DocumentKey position = 0;
    for (const PlannedPart &part : plan.parts) {
        EXPECT_EQ(part.range.begin, position);
        position = part.range.end;
    }
    EXPECT_EQ(position, KEY_SPACE_END);
}

TEST(TopologyTest, reportsUncoveredRange)
{
    SnapshotLayout layout{.id = 1, .totalDocuments = 10, .shards = {}};
    const ServerPointer lost = server("lost");
    lost->setExclusion(ServerRecord::gone, true);
    layout.shards.push_back({.range = {.begin = 0, .end = 100}, .documents = 1, .replicas = {server("a")}});
    layout.shards.push_back({.range = {.begin = 100, .end = 200}, .documents = 1, .replicas = {lost}});
    layout.shards.push_back({.range = {.begin = 200, .end = KEY_SPACE_END}, .documents = 8, .replicas = {server("c")}});
    const SnapshotPlan plan = planSnapshot(layout, usable);
    ASSERT_EQ(plan.missing.size(), 1U);
    EXPECT_EQ(plan.missing[0], (KeyRange{.begin = 100, .end = 200}));
    EXPECT_EQ(plan.parts.size(), 2U);
}

/// For any set of shards, the parts and the gaps cover each key of the key space exactly once.
TEST(TopologyTest, partsAndGapsPartitionTheKeySpace)
{
    const bool holds = rc::check("tiling is a partition", [] {
        const auto edges = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 16), rc::gen::inRange(1, 17)));
        SnapshotLayout layout{.id = 1, .totalDocuments = 1, .shards = {}};
        const DocumentKey unit = KEY_SPACE_END / 16;
        for (const auto &[begin, end] : edges) {
            if (begin < end) {
                layout.shards.push_back({.range = {.begin = unit * static_cast<DocumentKey>(begin), .end = unit * static_cast<DocumentKey>(end)},
                                         .documents = 1,
                                         .replicas = {server("s")}});
            }
        }
        std::sort(layout.shards.begin(), layout.shards.end(), [](const Shard &left, const Shard &right) { return left.range.begin < right.range.begin; });
        const SnapshotPlan plan = planSnapshot(layout, usable);
        RangeSet all;
        DocumentKey width = 0;
        for (const PlannedPart &part : plan.parts) {
            RC_ASSERT(!all.overlaps(part.range));
            RC_ASSERT(!part.replicas.empty());
            all.add(part.range);
            width += part.range.width();
        }
        for (const KeyRange &gap : plan.missing) {
            RC_ASSERT(!all.overlaps(gap));
            all.add(gap);
            width += gap.width();
        }
        RC_ASSERT(width == KEY_SPACE_END);
        RC_ASSERT(all.width() == KEY_SPACE_END);
    });
    EXPECT_TRUE(holds);
}

} // namespace ragwort
