/// \file
/// What the platform's metadata store tells an entry instance, as typed facts.
#ifndef RAGWORTCART_CONTROL_PLATFORMFACTS_H
#define RAGWORTCART_CONTROL_PLATFORMFACTS_H

#include "ragwortcart/Model/Route.h"
#include "ragwortcart/Support/Error.h"

#include <QByteArray>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace ragwort {

/// A backend server as it describes itself.
struct ServerEntry
{
    std::string id;
    std::string service;
    /// IP number and port.
    std::string address;
    std::string domain;
    int slots = 1;
    bool draining = false;
    /// How much longer the server is cold.
    Duration warmUpLeft{};
    /// Wall-clock milliseconds of the server's start; changes when a server starts again under the same id. 0 if not told.
    std::int64_t startedMs = 0;
};

struct RoutesFact
{
    std::shared_ptr<const RouteTable> table;
};
struct ServerFact
{
    ServerEntry entry;
};
/// The operator wants nothing more to be sent to the servers of the failure domain.
struct DomainOutFact
{
    std::string domain;
};
/// An entry instance that is alive.
struct InstanceFact
{
    std::string name;
    std::string domain;
    /// Where peers connect, IP number and port; empty if the instance takes no links.
    std::string peerAddress;
};
/// Something that does not concern the tier.
struct UnrelatedFact
{
};
struct UnreadableFact
{
    Error error;
};
using PlatformFact = std::variant<UnrelatedFact, RoutesFact, ServerFact, DomainOutFact, InstanceFact, UnreadableFact>;

/// What it means that a key has gone.
struct ServerRemoved
{
    std::string id;
};
struct DomainBack
{
    std::string domain;
};
struct InstanceRemoved
{
    std::string name;
};
using PlatformRemoval = std::variant<UnrelatedFact, ServerRemoved, DomainBack, InstanceRemoved>;

/// Translates between items of the store and facts; knows keys and formats, decides nothing.
class StoreFormat
{
public:
    virtual ~StoreFormat() = default;

    virtual PlatformFact decode(std::string_view key, const QByteArray &value) const = 0;
    virtual PlatformRemoval decodeRemoval(std::string_view key) const = 0;
    virtual std::string instanceKey(std::string_view instance) const = 0;
    virtual QByteArray encodeInstance(const InstanceFact &instance) const = 0;
};

} // namespace ragwort

#endif
