/// \file
/// Implements query planning: the division of the key space into disjoint parts, and the selection of a snapshot.
#include "ragwortcart/Kernel/Topology.h"

#include <algorithm>
#include <tuple>

namespace ragwort {

std::string groupKey(std::string_view team, std::string_view group)
{
    return std::string(team) + '/' + std::string(group);
}

const GroupTopology *Topology::findGroup(std::string_view team, std::string_view group) const
{
    const auto found = this->groups.find(groupKey(team, group));
    return found == this->groups.end() ? nullptr : &found->second;
}

/// Returns the usable servers of all shards that contain the whole \p range.
static std::vector<ServerPointer> serversHolding(const SnapshotLayout &layout, const KeyRange &range, const UsableServer &usable)
{
    std::vector<ServerPointer> holders;
    for (const Shard &shard : layout.shards) {
        if (shard.range.begin > range.begin) {
            break;
        }
        if (shard.range.end < range.end) {
            continue;
        }
        std::copy_if(
            shard.replicas.begin(), shard.replicas.end(), std::back_inserter(holders), [&usable](const ServerPointer &server) { return usable(*server); });
    }
    return holders;
}

static bool hasUsable(const Shard &shard, const UsableServer &usable)
{
    return std::any_of(shard.replicas.begin(), shard.replicas.end(), [&usable](const ServerPointer &server) { return usable(*server); });
}

/// Returns the shard from which the part that begins at \p position is taken, or null if no usable server holds
/// that key. A shard that begins there ranks before one that began earlier, then one with more replicas, then one that
/// ends later.
static const Shard *shardAt(const SnapshotLayout &layout, DocumentKey position, const UsableServer &usable)
{
    const Shard *best = nullptr;
    const auto rank = [position](const Shard &shard) { return std::tuple(shard.range.begin == position, shard.replicas.size(), shard.range.end); };
    for (const Shard &shard : layout.shards) {
        if (shard.range.begin > position) {
            break;
        }
        if (!shard.range.contains(position) || !hasUsable(shard, usable)) {
            continue;
        }
        if (best == nullptr || rank(shard) > rank(*best)) {
            best = &shard;
        }
    }
    return best;
}

/// Returns the first key after \p position at which a shard with a usable server begins.
static DocumentKey nextCoveredKey(const SnapshotLayout &layout, DocumentKey position, const UsableServer &usable)
{
    for (const Shard &shard : layout.shards) {
        if (shard.range.begin > position && hasUsable(shard, usable)) {
            return shard.range.begin;
        }
    }
    return KEY_SPACE_END;
}

SnapshotPlan planSnapshot(const SnapshotLayout &layout, const UsableServer &usable)
{
    SnapshotPlan plan{.snapshot = layout.id, .totalDocuments = layout.totalDocuments, .parts = {}, .missing = {}};
    DocumentKey position = 0;
    while (position < KEY_SPACE_END) {
        const Shard *shard = shardAt(layout, position, usable);
        if (shard == nullptr) {
            const DocumentKey next = nextCoveredKey(layout, position, usable);
            plan.missing.push_back({.begin = position, .end = next});
            position = next;
            continue;
        }
        const KeyRange range{.begin = position, .end = shard->range.end};
        plan.parts.push_back({.range = range, .replicas = serversHolding(layout, range, usable)});
        position = range.end;
    }
    return plan;
}

std::optional<SnapshotPlan> chooseSnapshot(const GroupTopology &group, const UsableServer &usable, std::span<const SnapshotId> excluded)
{
    std::optional<SnapshotPlan> best;
    std::tuple<DocumentKey, bool> bestRank;
    for (const SnapshotLayout &layout : group.snapshots) {
        if (std::find(excluded.begin(), excluded.end(), layout.id) != excluded.end()) {
            continue;
        }
        SnapshotPlan plan = planSnapshot(layout, usable);
        DocumentKey covered = KEY_SPACE_END;
        for (const KeyRange &gap : plan.missing) {
            covered -= gap.width();
        }
        const bool replicated = std::all_of(plan.parts.begin(), plan.parts.end(), [](const PlannedPart &part) { return part.replicas.size() >= 2; });
        const std::tuple<DocumentKey, bool> rank(covered, replicated);
        if (!best || rank > bestRank) {
            best = std::move(plan);
            bestRank = rank;
        }
    }
    return best;
}

} // namespace ragwort
