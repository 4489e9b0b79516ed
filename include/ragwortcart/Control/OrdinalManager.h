/// \file
/// Acquires and holds this instance's ordinal, its number in the tier. Performs no I/O.
///
/// The ordinal determines the instance's shares of the servers' limits and the servers whose warm-up it owns.
///
/// The holders of all ordinals are stored in a single table in the platform's store, modified only by compare-and-swap.
/// An ordinal has no lease, which could expire while its holder is paused or the store is unavailable. It is taken over
/// only when the platform no longer lists its holder.
#ifndef RAGWORTCART_CONTROL_ORDINALMANAGER_H
#define RAGWORTCART_CONTROL_ORDINALMANAGER_H

#include "ragwortcart/Support/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort {

/// Names of the holding instances by ordinal.
using OrdinalTable = std::map<int, std::string>;

std::string encodeOrdinals(const OrdinalTable &table);
/// Returns nullopt if \p json cannot be parsed: only an absent table counts as empty, not an unreadable one.
std::optional<OrdinalTable> decodeOrdinals(const std::string &json);

/// How long a holder must be missing from the platform's list before its ordinal becomes free.
inline constexpr Duration ORDINAL_TAKEOVER_DELAY = std::chrono::seconds(10);
/// The same for a holder that has never been listed: the list may lag behind the holder's start.
inline constexpr Duration ORDINAL_UNLISTED_DELAY = std::chrono::seconds(120);

/// How long after reading the table an instance may own the warm-ups that belong to a free ordinal.
inline constexpr Duration ORDINAL_TABLE_VALIDITY = std::chrono::milliseconds(2500);
/// How long a new holder waits before it owns warm-ups; longer than any earlier copy of the table stays valid.
inline constexpr Duration ORDINAL_SETTLE_TIME = std::chrono::seconds(5);

/// How long the store must state an older table than the one known before that counts as the store's latest, as after its return from an older
/// copy. Until then it may be a stale read. Longer than every instance with access to the store needs to read the table.
inline constexpr Duration ORDINAL_RESTORE_DELAY = std::chrono::milliseconds(2500);

struct OrdinalWrite
{
    std::string value;
    /// Modify index that the table must still have; 0 if it must be absent.
    std::uint64_t expectedIndex = 0;
};

class OrdinalManager
{
public:
    explicit OrdinalManager(std::string ownInstance);

    /// Updates the table from a read requested at \p requestedAt; \p index is its modify index, 0 if no table exists
    /// yet.
    ///
    /// An index that went back may be a stale read or a store that was restored from an older copy. Such a table ends the own ordinal at once if it
    /// does not name it, and is taken, with all that it gives, once reads have stated one for `ORDINAL_RESTORE_DELAY`.
    void updateTable(const OrdinalTable &newTable, std::uint64_t index, Instant requestedAt);

    /// Updates the platform's instance list.
    void updateLiveInstances(const std::set<std::string> &live, Instant now);

    /// Returns the write with which this instance acquires an ordinal below \p ordinalCount. Returns nullopt if it
    /// holds one, if none is free, while an older table is in doubt, or before both the table and the instance list are known.
    std::optional<OrdinalWrite> acquireWrite(int ordinalCount, Instant now) const;

    /// Returns the write that releases the ordinal at the end of a graceful shutdown, or nullopt if this instance holds
    /// none.
    std::optional<OrdinalWrite> releaseWrite() const;

    /// Returns this instance's ordinal, or -1 if it holds none.
    int ordinal() const
    {
        return this->ownOrdinal;
    }

    /// Returns whether the last read stated an older table than the known one, so that the store may have been restored.
    bool inDoubt() const
    {
        return this->olderSince.has_value();
    }

    /// Returns the time until which this instance owns the warm-up of a server, or the clock's epoch if it does not.
    ///
    /// The owner is the holder of the ordinal to which the server's hash maps, without a time limit. If that ordinal is
    /// free, the holder of the next occupied ordinal substitutes, but only while its copy of the table is recent. A new
    /// holder waits until every possible substitute must have read the updated table. Two instances therefore never own
    /// the same server at the same time.
    Instant ownsWarmUpUntil(std::string_view serverId, int ordinalCount, Instant now) const;

private:
    /// Returns whether a table with a lower index than the known one counts as the store's latest. Ends the own ordinal if the table does not
    /// name it.
    bool takesOlderTable(const OrdinalTable &older, Instant requestedAt);
    std::optional<int> findFreeOrdinal(int ordinalCount, Instant now) const;

    std::string instance;
    OrdinalTable table;
    std::uint64_t tableIndex = 0;
    bool tableKnown = false;
    bool listKnown = false;
    int ownOrdinal = -1;
    Instant ordinalAcquiredAt{};
    Instant tableRequestedAt{};
    /// When a table with a lower index was first read; nothing if the last read was not one.
    std::optional<Instant> olderSince;
    /// When a holder of an ordinal was first missing from the list.
    std::map<std::string, Instant> missingSince;
    std::set<std::string> everListed;
};

} // namespace ragwort

#endif
