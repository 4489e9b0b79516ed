/// \file
/// Defines a position in the history of the platform's metadata store: an epoch and a revision.
///
/// A store that has been restored from an older copy has lost its latest changes and gives out their revisions again. It then begins a new
/// epoch. Revisions can therefore only be compared within one epoch.
#ifndef RAGWORTCART_CONTROL_STOREPOSITION_H
#define RAGWORTCART_CONTROL_STOREPOSITION_H

#include <cstdint>
#include <string>

namespace ragwort {

/// Number of the store's restores from an older copy; never decreases. 0 if the store does not state it.
using StoreEpoch = std::uint64_t;

/// Number of a change in the store; increases with each change of any item within one epoch.
using StoreRevision = std::uint64_t;

/// Everything up to `revision` in `epoch`. A position in a later epoch is later, whatever its revision.
struct StorePosition
{
    StoreEpoch epoch = 0;
    /// 0 before the first contents are known.
    StoreRevision revision = 0;

    friend bool operator==(const StorePosition &, const StorePosition &) = default;
    friend bool operator<(const StorePosition &left, const StorePosition &right)
    {
        return left.epoch != right.epoch ? left.epoch < right.epoch : left.revision < right.revision;
    }
    friend bool operator>(const StorePosition &left, const StorePosition &right)
    {
        return right < left;
    }
    friend bool operator<=(const StorePosition &left, const StorePosition &right)
    {
        return !(right < left);
    }
    friend bool operator>=(const StorePosition &left, const StorePosition &right)
    {
        return !(left < right);
    }
};

/// Returns \p position for a log line, in the form EPOCH:REVISION.
inline std::string toText(const StorePosition &position)
{
    return std::to_string(position.epoch) + ':' + std::to_string(position.revision);
}

} // namespace ragwort

#endif
