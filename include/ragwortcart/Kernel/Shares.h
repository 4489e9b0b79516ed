/// \file
/// Divides the limits of a backend server between the entry instances.
///
/// Every instance holds one ordinal, unique in the tier, and computes its share from that number alone. The shares of
/// all ordinals therefore never sum to more than the limit, even if the instances disagree about the membership of the
/// tier.
#ifndef RAGWORTCART_KERNEL_SHARES_H
#define RAGWORTCART_KERNEL_SHARES_H

#include "ragwortcart/Kernel/ServerRecord.h"
#include "ragwortcart/Model/Configuration.h"

#include <string_view>

namespace ragwort {

/// Returns the share of \p ordinal out of \p ordinalCount in \p limit. The shares of all ordinals sum to \p limit, and
/// a share is monotonic in \p limit. The hash of \p serverId determines which ordinals receive the remainder, so that
/// it does not go to the same ones for every server.
int shareOfOrdinal(int limit, int ordinal, int ordinalCount, std::string_view serverId);

/// The state of this instance that determines its shares.
struct ShareInputs
{
    /// Negative while the instance holds no ordinal; it then sends no requests.
    int ordinal = -1;
    /// Number of ordinals in the tier: the maximum number of instances.
    int ordinalCount = 1;
    /// Time until which this instance owns the warm-up of the server; the epoch if it does not own it.
    Instant coldOwnerUntil{};

    /// Returns the same ordinal with the warm-up ownership of one server.
    ShareInputs forServer(Instant ownerUntil) const
    {
        return {.ordinal = this->ordinal, .ordinalCount = this->ordinalCount, .coldOwnerUntil = ownerUntil};
    }
};

/// Recomputes the shares of this instance in \p record from the limits of its group.
void updateShares(ServerRecord &record, const BackendGroup &group, const ShareInputs &inputs);

/// Returns the share that only the warm-up owner has: the whole capacity of level zero.
int coldOwnerShare(const BackendGroup &group);

/// Returns the share of an ordinal in the capacity that \p level of a server's warm-up adds to level zero.
int coldOrdinalShare(const BackendGroup &group, int level, const ShareInputs &inputs, std::string_view serverId);

} // namespace ragwort

#endif
