/// \file
/// Client of the platform's key-value service and instance list, in the format of Consul's HTTP API, on Qt's network access.
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
    std::uint64_t modifyIndex = 0;
};

struct KeyValues
{
    std::vector<KeyValue> entries;
    /// To be given to the next watch of the same keys.
    std::uint64_t index = 0;
};

/// An instance of the platform's list.
struct PlatformInstance
{
    std::string id;
    std::string address;
    std::map<std::string, std::string> meta;

    std::string metaValue(const std::string &key) const;
};

struct PlatformInstances
{
    std::vector<PlatformInstance> instances;
    std::uint64_t index = 0;
};

enum class StoreWriteOutcome {
    written,
    conflict,
    /// No answer: the write may have taken effect, now or later.
    unknown,
};

struct WatchOptions
{
    /// With an index the call returns when something newer is there, or after \p wait.
    std::optional<std::uint64_t> index;
    Duration wait = std::chrono::seconds(1);
};

/// Lives in a thread with a Qt event loop; callbacks run there. Never resends a write: a conflict after a doubtful write
/// may be one's own, so that callers read back.
class PlatformClient : public QObject
{
public:
    struct Options
    {
        /// IP number and port.
        std::string address;
        Duration callTimeout = std::chrono::milliseconds(500);
    };

    explicit PlatformClient(Options options);

    using ReadCallback = std::function<void(Result<KeyValues>)>;
    using ListCallback = std::function<void(Result<PlatformInstances>)>;
    using WriteCallback = std::function<void(StoreWriteOutcome)>;

    void read(const std::string &key, bool recurse, const WatchOptions &watch, const ReadCallback &callback);
    void list(const std::string &service, const WatchOptions &watch, const ListCallback &callback);
    /// Compare-and-swap on the modify index; 0 stands for an absent key.
    void write(const std::string &key, const QByteArray &value, std::uint64_t expectedIndex, const WriteCallback &callback);

    std::uint64_t calls() const
    {
        return this->callCount;
    }

private:
    QNetworkReply *get(const std::string &path, const WatchOptions &watch);

    Options options;
    /// Watches hold their connections for long, so that other calls have a manager of their own.
    QNetworkAccessManager watches;
    QNetworkAccessManager calling;
    std::uint64_t callCount = 0;
};

} // namespace ragwort

#endif
