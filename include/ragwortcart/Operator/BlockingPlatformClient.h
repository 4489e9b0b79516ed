/// \file
/// A blocking client of the platform and of entry instances, for `ragwortctl`. Requires a `QCoreApplication`.
#ifndef RAGWORTCART_OPERATOR_BLOCKINGPLATFORMCLIENT_H
#define RAGWORTCART_OPERATOR_BLOCKINGPLATFORMCLIENT_H

#include "ragwortcart/Wire/PlatformClient.h"

#include <QByteArray>
#include <QNetworkAccessManager>
#include <optional>
#include <string>

namespace ragwort {

/// The value of one key in the store.
struct StoredDocument
{
    QByteArray json;
    /// 0 if the key is absent.
    std::uint64_t modifyIndex = 0;
};

class BlockingPlatformClient
{
public:
    explicit BlockingPlatformClient(const std::string &platformAddress);

    /// Reads one key. An absent key yields an empty document.
    Result<StoredDocument> read(const std::string &key);
    Result<KeyValues> readAll(const std::string &prefix);
    /// Writes the key if its modify index equals \p expectedIndex; 0 requires that the key does not exist.
    StoreWriteOutcome write(const std::string &key, const QByteArray &value, std::uint64_t expectedIndex);
    /// Returns the entries of \p service in the platform's instance list.
    Result<PlatformInstances> list(const std::string &service);
    /// Sends a GET request to the operators' address of an entry instance.
    Result<QByteArray> fetch(const std::string &address, const std::string &path);

private:
    PlatformClient platform;
    QNetworkAccessManager network;
};

} // namespace ragwort

#endif
