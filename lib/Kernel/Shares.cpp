/// \file
/// Arithmetic of the shares.
#include "ragwortcart/Kernel/Shares.h"

#include "ragwortcart/Support/Hash.h"

#include <algorithm>
#include <cassert>

namespace ragwort {

static constexpr int MAXIMUM_WARM_UP_LEVEL = 16;

int shareOfSeat(int limit, int seat, int seats, std::string_view serverId)
{
    if (seat < 0 || seat >= seats || limit <= 0) {
        return 0;
    }
    const int offset = static_cast<int>(stableHash(serverId) % static_cast<std::uint64_t>(seats));
    const int position = (seat + offset) % seats;
    return limit / seats + (position < limit % seats ? 1 : 0);
}

int coldShareAtLevel(const BackendGroup &group, int level, const ShareInputs &inputs, std::string_view serverId)
{
    const int clamped = std::clamp(level, 0, MAXIMUM_WARM_UP_LEVEL);
    const int atLevel = std::min(group.coldCapacity << clamped, group.connections);
    const int own = inputs.coldOwner && inputs.seat >= 0 ? std::min(group.coldCapacity, group.connections) : 0;
    return own + shareOfSeat(atLevel - group.coldCapacity, inputs.seat, inputs.seats, serverId);
}

void updateShares(ServerRecord &record, const BackendGroup &group, const ShareInputs &inputs)
{
    record.warmShare.store(shareOfSeat(group.connections, inputs.seat, inputs.seats, record.identity.id));
    record.coldOwner.store(inputs.coldOwner && inputs.seat >= 0);
    record.coldShare.store(coldShareAtLevel(group, record.warmUpLevel.load(), inputs, record.identity.id));
}

} // namespace ragwort
