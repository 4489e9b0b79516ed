/// \file
/// Blocking access to the platform and to entry instances for the operators' tool.
#ifndef RAGWORTCART_OPERATOR_STORESESSION_H
#define RAGWORTCART_OPERATOR_STORESESSION_H

#include "ragwortcart/Wire/PlatformClient.h"

#include <QByteArray>
#include <QNetworkAccessManager>
#include <optional>
#include <string>

namespace ragwort {

/// What the store holds under one key.
struct StoredDocument
{
    QByteArray json;
    /// 0 when the key is absent.
    std::uint64_t modifyIndex = 0;
};

class StoreSession
{
public:
    explicit StoreSession(const std::string &platformAddress);

    Result<StoredDocument> read(const std::string &key);
    Result<KeyValues> readAll(const std::string &prefix);
    StoreWriteOutcome write(const std::string &key, const QByteArray &value, std::uint64_t expectedIndex);
    Result<PlatformInstances> list(const std::string &service);
    /// GET of an entry instance's operators' address.
    Result<QByteArray> fetch(const std::string &address, const std::string &path);

private:
    PlatformClient platform;
    QNetworkAccessManager network;
};

} // namespace ragwort

#endif
