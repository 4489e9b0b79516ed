/// \file
/// Holds this instance's numbered seat in the tier. Without I/O.
///
/// The seats are one table in the platform's store, changed by compare-and-swap only. A seat has no lease that could lapse
/// while its holder is paused or the store is down: it is taken over only when the platform no longer lists its holder.
#ifndef RAGWORTCART_CONTROL_SEATKEEPER_H
#define RAGWORTCART_CONTROL_SEATKEEPER_H

#include "ragwortcart/Support/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort {

/// Holders by seat number.
using SeatTable = std::map<int, std::string>;

std::string encodeSeats(const SeatTable &table);
/// An unreadable table counts as empty only if it is absent; otherwise nothing is returned.
std::optional<SeatTable> decodeSeats(const std::string &json);

/// How long the platform must have left a holder off its list before its seat is free.
inline constexpr Duration SEAT_TAKEOVER_DELAY = std::chrono::seconds(10);
/// The same for a holder that was never seen on the list: the list may lag behind its start.
inline constexpr Duration SEAT_UNLISTED_DELAY = std::chrono::seconds(120);

/// For how long after reading the table its holder may stand in for a free seat.
inline constexpr Duration SEAT_TABLE_LIFETIME = std::chrono::milliseconds(2500);
/// How long a new holder waits before it owns warm-ups; longer than any table can still be relied on.
inline constexpr Duration SEAT_SETTLE_TIME = std::chrono::seconds(5);

struct SeatWrite
{
    std::string value;
    std::uint64_t expectedIndex = 0;
};

class SeatKeeper
{
public:
    explicit SeatKeeper(std::string ownInstance);

    /// The table as the store has it, asked at \p askedAt; \p index is its modify index, 0 when there is none yet.
    void noteTable(const SeatTable &newTable, std::uint64_t index, Instant askedAt);

    /// The platform's instance list.
    void noteLiveInstances(const std::set<std::string> &live, Instant now);

    /// The write that this instance should try now, if any.
    std::optional<SeatWrite> wantedWrite(int seats, Instant now) const;

    /// The write that gives the seat back, at the end of a graceful shutdown.
    std::optional<SeatWrite> releaseWrite() const;

    /// This instance's seat, or -1.
    int seat() const
    {
        return this->ownSeat;
    }

    /// Until when this instance owns the warm-up of a server; the clock's zero when it does not.
    ///
    /// The owner is the seat that the server's hash falls on, for good. Where that seat is free the next occupied one
    /// stands in, but only while its holder knows the table to be recent, and a new holder waits until all who stood in
    /// for it must have read of it. So no two instances can both believe that they own a server.
    Instant ownsWarmUpUntil(std::string_view serverId, int seats, Instant now) const;

private:
    std::optional<int> freeSeat(int seats, Instant now) const;

    std::string instance;
    SeatTable table;
    std::uint64_t tableIndex = 0;
    bool tableKnown = false;
    bool listKnown = false;
    int ownSeat = -1;
    Instant seatedAt{};
    Instant tableAskedAt{};
    /// When the list first lacked a holder of a seat.
    std::map<std::string, Instant> missingSince;
    std::set<std::string> everListed;
};

} // namespace ragwort

#endif
