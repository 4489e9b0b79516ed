/// \file
/// Implements the division of a server's limits into the shares of the entry instances.
#include "ragwortcart/Kernel/Shares.h"

#include "ragwortcart/Support/Hash.h"

#include <algorithm>
#include <cassert>

namespace ragwort {

/// Bounds the shift that computes the capacity of a level.
static constexpr int MAXIMUM_WARM_UP_LEVEL = 16;

int shareOfOrdinal(int limit, int ordinal, int ordinalCount, std::string_view serverId)
{
    if (ordinal < 0 || ordinal >= ordinalCount || limit <= 0) {
        return 0;
    }
    const int offset = static_cast<int>(stableHash(serverId) % static_cast<std::uint64_t>(ordinalCount));
    const int position = (ordinal + offset) % ordinalCount;
    return limit / ordinalCount + (position < limit % ordinalCount ? 1 : 0);
}

int coldOwnerShare(const BackendGroup &group)
{
    return std::min(group.coldCapacity, group.connections);
}

int coldOrdinalShare(const BackendGroup &group, int level, const ShareInputs &inputs, std::string_view serverId)
{
    const int clamped = std::clamp(level, 0, MAXIMUM_WARM_UP_LEVEL);
    const int atLevel = std::min(group.coldCapacity << clamped, group.connections);
    return shareOfOrdinal(atLevel - group.coldCapacity, inputs.ordinal, inputs.ordinalCount, serverId);
}

void updateShares(ServerRecord &record, const BackendGroup &group, const ShareInputs &inputs)
{
    const bool holdsOrdinal = inputs.ordinal >= 0;
    record.warmShare.store(shareOfOrdinal(group.connections, inputs.ordinal, inputs.ordinalCount, record.identity.id));
    record.coldShare.store(coldOrdinalShare(group, record.warmUpLevel.load(), inputs, record.identity.id));
    record.coldOwnerShare.store(coldOwnerShare(group));
    record.coldOwnerUntilUs.store(holdsOrdinal ? inputs.coldOwnerUntil.time_since_epoch().count() : 0, std::memory_order_release);
}

} // namespace ragwort
