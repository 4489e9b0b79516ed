/// \file
/// Defines the typed items of the platform's metadata store and the interface that decodes them.
#ifndef RAGWORTCART_CONTROL_PLATFORMITEMS_H
#define RAGWORTCART_CONTROL_PLATFORMITEMS_H

#include "ragwortcart/Model/Route.h"
#include "ragwortcart/Support/Error.h"

#include <QByteArray>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace ragwort {

/// A backend server's own entry in the store.
struct ServerEntry
{
    std::string id;
    std::string service;
    /// IP address and port.
    std::string address;
    std::string domain;
    int slots = 1;
    bool draining = false;
    /// Remaining warm-up time.
    Duration warmUpLeft{};
    /// Wall-clock start time of the server in milliseconds. Changes when a server restarts under the same id. 0 if
    /// unknown.
    std::int64_t startedMs = 0;
};

struct RoutesItem
{
    std::shared_ptr<const RouteTable> table;
};
struct ServerItem
{
    ServerEntry entry;
};
/// The operator has taken the failure domain out of service; its servers receive no new work.
struct DomainOutItem
{
    std::string domain;
};
/// A live entry instance.
struct InstanceItem
{
    std::string name;
    std::string domain;
    /// IP address and port for links from peers; empty if the instance accepts no links.
    std::string peerAddress;
    /// Processor cores that the instance may use; 0 if unknown.
    double capacity = 0.0;
};
/// An item that does not concern the tier.
struct UnrelatedItem
{
};
/// An item whose value cannot be decoded.
struct UnreadableItem
{
    Error error;
};
using PlatformItem = std::variant<UnrelatedItem, RoutesItem, ServerItem, DomainOutItem, InstanceItem, UnreadableItem>;

// Removals of items, decoded from their keys.

struct ServerRemoved
{
    std::string id;
};
struct DomainRestored
{
    std::string domain;
};
struct InstanceRemoved
{
    std::string name;
};
using PlatformRemoval = std::variant<UnrelatedItem, ServerRemoved, DomainRestored, InstanceRemoved>;

/// Translates between items of the store and typed items. Knows keys and formats, and makes no decisions.
class StoreFormat
{
public:
    virtual ~StoreFormat() = default;

    virtual PlatformItem decode(std::string_view key, const QByteArray &value) const = 0;
    virtual PlatformRemoval decodeRemoval(std::string_view key) const = 0;
    virtual std::string instanceKey(std::string_view instance) const = 0;
    virtual QByteArray encodeInstance(const InstanceItem &instance) const = 0;
};

} // namespace ragwort

#endif
