/// \file
/// The placement of shards and snapshots on servers, and the planning of queries on that placement.
///
/// Shards refer to the shared server records (`ServerRecord.h`), whose state changes while a topology is in use.
#ifndef RAGWORTCART_KERNEL_TOPOLOGY_H
#define RAGWORTCART_KERNEL_TOPOLOGY_H

#include "ragwortcart/Kernel/QueryDivision.h"
#include "ragwortcart/Kernel/ServerRecord.h"
#include "ragwortcart/Kernel/Shares.h"
#include "ragwortcart/Model/KeyRange.h"
#include "ragwortcart/Model/Query.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort {

using ServerPointer = std::shared_ptr<ServerRecord>;

/// A key range and the servers that hold a replica of it.
struct Shard
{
    KeyRange range;
    std::uint64_t documents = 0;
    std::vector<ServerPointer> replicas;
};

/// The placement of one snapshot of a group's index.
struct SnapshotLayout
{
    SnapshotId id = 0;
    std::uint64_t totalDocuments = 0;
    /// Sorted by begin, then by descending number of replicas. Shards may overlap while the index is repartitioned.
    std::vector<Shard> shards;
};

struct GroupTopology
{
    std::string team;
    std::string group;
    /// Newest first.
    std::vector<SnapshotLayout> snapshots;
    std::vector<ServerPointer> servers;
};

/// A part of the key space that is queried on one of several servers.
struct PlannedPart
{
    KeyRange range;
    std::vector<ServerPointer> replicas;
};

/// The division of one query over a snapshot into parts.
struct SnapshotPlan
{
    SnapshotId snapshot = 0;
    std::uint64_t totalDocuments = 0;
    /// Disjoint, in key order.
    std::vector<PlannedPart> parts;
    /// Ranges that no usable server holds.
    std::vector<KeyRange> missing;
};

/// The servers of the tier and their placement. Immutable; replaced as a whole when statuses or the instance list
/// change.
struct Topology
{
    std::uint64_t version = 0;
    /// Keyed by `groupKey()`.
    std::map<std::string, GroupTopology, std::less<>> groups;
    std::map<std::string, ServerPointer, std::less<>> servers;
    /// The servers of each service that routes refer to.
    std::map<std::string, std::vector<ServerPointer>, std::less<>> services;
    /// Number of live entry instances, including this one; admission divides the servers' slots by it.
    int liveInstances = 1;
    /// This instance's fraction of what all instances together may do at the servers of shards: retries, hedges and admitted queries. Zero: an equal
    /// share for each live instance.
    double gatherFraction = 0.0;
    QueryDivision division;
    ShareInputs shareInputs;
    /// Time until which requests may be sent to other failure domains, in microseconds on the monotonic clock. Checked
    /// for each request, so that an instance that was paused does not act on stale state. Null: no limit.
    std::shared_ptr<const std::atomic<std::int64_t>> crossDomainUntilUs;

    bool mayCrossDomains(Instant now) const
    {
        return !this->crossDomainUntilUs || now.time_since_epoch().count() <= this->crossDomainUntilUs->load(std::memory_order_acquire);
    }

    /// Returns this instance's fraction of what all instances together may do at the servers of a route that merges shards or does not.
    double fractionOfTier(bool mergesShards) const
    {
        return mergesShards && this->gatherFraction > 0.0 ? this->gatherFraction : 1.0 / std::max(this->liveInstances, 1);
    }

    const GroupTopology *findGroup(std::string_view team, std::string_view group) const;
};

/// Returns "team/group".
std::string groupKey(std::string_view team, std::string_view group);

/// Returns whether a server may receive new requests.
using UsableServer = std::function<bool(const ServerRecord &)>;

/// Covers the key space with disjoint parts of one snapshot, each with the usable servers that hold the whole part.
SnapshotPlan planSnapshot(const SnapshotLayout &layout, const UsableServer &usable);

/// Selects the snapshot to query and returns its plan. Snapshots that cover more of the key space rank first, then
/// those with at least two usable replicas of each part, then newer ones. Returns nothing if \p excluded lists all
/// snapshots.
std::optional<SnapshotPlan> chooseSnapshot(const GroupTopology &group, const UsableServer &usable, std::span<const SnapshotId> excluded);

} // namespace ragwort

#endif
