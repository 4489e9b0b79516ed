/// \file
/// Declares the interface through which the control thread uses the platform's metadata store: paged reads, watches
/// from a revision, and leases with the items that are bound to them.
#ifndef RAGWORTCART_CONTROL_METADATASTORE_H
#define RAGWORTCART_CONTROL_METADATASTORE_H

#include "ragwortcart/Control/StorePosition.h"
#include "ragwortcart/Support/Clock.h"
#include "ragwortcart/Support/Error.h"

#include <QByteArray>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace ragwort {

using LeaseId = std::uint64_t;

struct StoreItem
{
    std::string key;
    QByteArray value;
    /// The store's revision at the item's last change.
    StoreRevision revision = 0;
};

struct StoreDeletion
{
    std::string key;
    /// The store's revision at the deletion.
    StoreRevision revision = 0;
};

/// A change of the store.
using StoreEvent = std::variant<StoreItem, StoreDeletion>;

struct StorePage
{
    std::vector<StoreItem> items;
    bool hasMore = false;
    /// The store's position when the page was read.
    StorePosition position;
};

struct StoreEvents
{
    std::vector<StoreEvent> events;
    /// The position from which the next watch continues.
    StorePosition position;
};

struct StoreLease
{
    LeaseId id = 0;
    Duration lifetime{};
    /// The epoch of the store's answer.
    StoreEpoch epoch = 0;
};

/// Whether a read returns the latest contents or may return older ones, at a lower cost to the store.
enum class ReadConsistency { latest, possiblyStale };

/// All calls are asynchronous; callbacks run in the caller's thread. The store client does not retry calls. Errors:
/// `Errc::historyGone` for a watch from a revision that is no longer retained, `Errc::notFound` for a lease that has
/// ended, `Errc::conflict` for a condition that does not hold, `Errc::timeout` and `Errc::storeUnavailable` otherwise.
class MetadataStore
{
public:
    virtual ~MetadataStore() = default;

    /// \p observer is called with the store's epoch for each answer that states it, errors included, before the callback of the call.
    virtual void setEpochObserver(std::function<void(StoreEpoch)> observer) = 0;

    /// Reads the items whose keys begin with \p prefix and sort after \p afterKey.
    virtual void readRange(const std::string &prefix, const std::string &afterKey, ReadConsistency consistency, std::function<void(Result<StorePage>)> callback)
        = 0;
    /// Completes when an item under \p prefix has changed after \p position, or after \p wait without events. The answer may be of another epoch.
    virtual void watch(const std::string &prefix, StorePosition position, Duration wait, std::function<void(Result<StoreEvents>)> callback) = 0;
    virtual void grantLease(Duration lifetime, std::function<void(Result<StoreLease>)> callback) = 0;
    virtual void renewLease(LeaseId lease, std::function<void(Result<StoreLease>)> callback) = 0;
    virtual void endLease(LeaseId lease) = 0;
    /// Writes an item that is deleted when \p lease ends.
    virtual void put(const std::string &key, const QByteArray &value, LeaseId lease, std::function<void(Result<StorePosition>)> callback) = 0;
};

} // namespace ragwort

#endif
