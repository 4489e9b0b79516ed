/// \file
/// Division of a backend server's limits between the entry instances.
///
/// Every instance holds one numbered seat, unique in the tier. From its seat alone it computes its share, so that the sum
/// over all seats never exceeds the limit, whatever the instances believe of one another.
#ifndef RAGWORTCART_KERNEL_SHARES_H
#define RAGWORTCART_KERNEL_SHARES_H

#include "ragwortcart/Kernel/ServerRecord.h"
#include "ragwortcart/Model/Configuration.h"

#include <string_view>

namespace ragwort {

/// The part of \p limit that belongs to \p seat out of \p seats. Summed over all seats it is \p limit; it never falls
/// when \p limit grows. \p serverId spreads the remainders over the seats.
int shareOfSeat(int limit, int seat, int seats, std::string_view serverId);

struct ShareInputs
{
    /// Negative while the instance holds no seat; it then may not send at all.
    int seat = -1;
    int seats = 1;
    /// Until when this instance owns the warm-up of the server in question; the clock's zero when it does not.
    Instant coldOwnerUntil{};

    /// The same seat, with the ownership of one server.
    ShareInputs forServer(Instant ownerUntil) const
    {
        return {.seat = this->seat, .seats = this->seats, .coldOwnerUntil = ownerUntil};
    }
};

/// Recomputes the shares in \p record from the limits of its group.
void updateShares(ServerRecord &record, const BackendGroup &group, const ShareInputs &inputs);

/// What the owner of a warm-up alone may send: the capacity of level zero.
int coldOwnerShare(const BackendGroup &group);

/// The part of what the tier may send above that at \p level, divided between all seats.
int coldSeatShare(const BackendGroup &group, int level, const ShareInputs &inputs, std::string_view serverId);

} // namespace ragwort

#endif
