/// \file
/// Which server holds which part of which snapshot: the map that queries are planned on.
#ifndef RAGWORTCART_KERNEL_TOPOLOGY_H
#define RAGWORTCART_KERNEL_TOPOLOGY_H

#include "ragwortcart/Kernel/ServerRecord.h"
#include "ragwortcart/Kernel/Shares.h"
#include "ragwortcart/Model/KeyRange.h"
#include "ragwortcart/Model/Query.h"

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

/// A range that a number of servers hold alike.
struct Shard
{
    KeyRange range;
    std::uint64_t documents = 0;
    std::vector<ServerPointer> replicas;
};

/// One snapshot of a group's index.
struct SnapshotLayout
{
    SnapshotId id = 0;
    std::uint64_t totalDocuments = 0;
    /// Sorted by begin, then by falling number of replicas; shards may overlap while the index is repartitioned.
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

/// A part of the key space to be asked of one of several servers.
struct PlannedPart
{
    KeyRange range;
    std::vector<ServerPointer> replicas;
};

struct SnapshotPlan
{
    SnapshotId snapshot = 0;
    std::uint64_t totalDocuments = 0;
    /// Disjoint, in order of the key space.
    std::vector<PlannedPart> parts;
    /// What no usable server holds.
    std::vector<KeyRange> missing;
};

/// Immutable; replaced as a whole when reports or the instance list change.
struct Topology
{
    std::uint64_t version = 0;
    /// By "team/group".
    std::map<std::string, GroupTopology, std::less<>> groups;
    std::map<std::string, ServerPointer, std::less<>> servers;
    /// The servers of each service that routes name.
    std::map<std::string, std::vector<ServerPointer>, std::less<>> services;
    /// Live entry instances, this one included; admission divides the servers' slots by it.
    int liveInstances = 1;
    ShareInputs shares;
    /// Until when work may go to other failure domains, in microseconds on the monotonic axis. Looked at with each send, so
    /// that an instance that was paused does not act on what it knew before. Absent: without bound.
    std::shared_ptr<const std::atomic<std::int64_t>> crossDomainUntilUs;

    bool mayCrossDomains(Instant now) const
    {
        return !this->crossDomainUntilUs || now.time_since_epoch().count() <= this->crossDomainUntilUs->load(std::memory_order_acquire);
    }

    const GroupTopology *findGroup(std::string_view team, std::string_view group) const;
};

std::string groupKey(std::string_view team, std::string_view group);

/// Tells whether a server may receive new work.
using UsableServer = std::function<bool(const ServerRecord &)>;

/// Covers the key space with disjoint parts of one snapshot, each with the usable servers that hold the whole part.
SnapshotPlan planSnapshot(const SnapshotLayout &layout, const UsableServer &usable);

/// Chooses the snapshot to query: complete before incomplete, then with a second replica of each part before without,
/// then the newest. Snapshots with an id in \p excluded are left out.
std::optional<SnapshotPlan> chooseSnapshot(const GroupTopology &group, const UsableServer &usable, std::span<const SnapshotId> excluded);

} // namespace ragwort

#endif
