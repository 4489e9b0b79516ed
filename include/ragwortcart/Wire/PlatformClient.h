/// \file
/// Client for the platform's key-value store and instance list, which use Consul's HTTP API. Based on
/// QNetworkAccessManager.
#ifndef RAGWORTCART_WIRE_PLATFORMCLIENT_H
#define RAGWORTCART_WIRE_PLATFORMCLIENT_H

#include "ragwortcart/Support/Clock.h"
#include "ragwortcart/Support/Error.h"

#include <QByteArray>
#include <QNetworkAccessManager>
#include <QObject>
#include <QString>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

class QNetworkReply;

namespace ragwort {

struct KeyValue
{
    std::string key;
    QByteArray value;
    /// Changes with each write of the key.
    std::uint64_t modifyIndex = 0;
};

struct KeyValues
{
    std::vector<KeyValue> entries;
    /// The modify index to pass to the next watch of the same keys.
    std::uint64_t index = 0;
};

/// An entry of the platform's instance list.
struct PlatformInstance
{
    std::string id;
    std::string address;
    std::map<std::string, std::string> meta;

    /// Returns an empty string if the instance has no such metadata.
    std::string metaValue(const std::string &key) const;
};

struct PlatformInstances
{
    std::vector<PlatformInstance> instances;
    /// The index to pass to the next watch of the list.
    std::uint64_t index = 0;
};

enum class StoreWriteOutcome {
    written,
    /// Nothing was written: the modify index was not the expected one.
    conflict,
    /// No successful response was received; the write may have been applied or may still be applied later.
    unknown,
};

/// Whether a call returns at once or waits for a change.
struct WatchOptions
{
    /// If set, the call returns when a newer index is available, or after `wait`; if empty, it returns at once.
    std::optional<std::uint64_t> index;
    Duration wait = std::chrono::seconds(1);
};

/// Requires a thread with a Qt event loop, on which all callbacks run. Never retries a write: a conflict after a write with
/// an unknown outcome may be caused by that write itself, so callers must read the key back.
class PlatformClient : public QObject
{
public:
    struct Options
    {
        /// Numeric IP address and port.
        std::string address;
        /// Timeout of all calls except watches, whose timeout depends on `WatchOptions::wait`.
        Duration callTimeout = std::chrono::milliseconds(500);
    };

    explicit PlatformClient(Options options);

    using ReadCallback = std::function<void(Result<KeyValues>)>;
    using ListCallback = std::function<void(Result<PlatformInstances>)>;
    using WriteCallback = std::function<void(StoreWriteOutcome)>;

    /// Reads a key, or all keys that start with \p key if \p recurse is set. Missing keys are not an error.
    void read(const std::string &key, bool recurse, const WatchOptions &watch, const ReadCallback &callback);
    /// Lists the instances of a service.
    void list(const std::string &service, const WatchOptions &watch, const ListCallback &callback);
    /// Writes the key if its modify index equals \p expectedIndex; 0 requires that the key does not exist.
    void write(const std::string &key, const QByteArray &value, std::uint64_t expectedIndex, const WriteCallback &callback);

    /// Returns the number of calls made so far.
    std::uint64_t calls() const
    {
        return this->callCount;
    }

private:
    QNetworkReply *get(const std::string &path, const WatchOptions &watch);

    Options options;
    /// Watches occupy their connections for long, so other calls use a separate manager.
    QNetworkAccessManager watchManager;
    QNetworkAccessManager callManager;
    std::uint64_t callCount = 0;
};

} // namespace ragwort

#endif
