/// \file
/// Implements blocking calls: each starts an asynchronous call and runs a local event loop until its callback.
#include "ragwortcart/Operator/BlockingPlatformClient.h"

#include "ragwortcart/Wire/NetworkReply.h"

#include <QEventLoop>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>

namespace ragwort {

static constexpr Duration STORE_TIMEOUT = std::chrono::seconds(2);
static constexpr int FETCH_TIMEOUT_MS = 2000;

BlockingPlatformClient::BlockingPlatformClient(const std::string &platformAddress) : platform({.address = platformAddress, .callTimeout = STORE_TIMEOUT})
{
    this->network.setProxy(QNetworkProxy::NoProxy);
}

Result<KeyValues> BlockingPlatformClient::readAll(const std::string &prefix)
{
    QEventLoop loop;
    std::optional<Result<KeyValues>> result;
    this->platform.read(prefix, true, {.index = std::nullopt}, [&](Result<KeyValues> values) {
        result = std::move(values);
        loop.quit();
    });
    loop.exec();
    return std::move(*result);
}

Result<StoredDocument> BlockingPlatformClient::read(const std::string &key)
{
    QEventLoop loop;
    std::optional<Result<KeyValues>> result;
    this->platform.read(key, false, {.index = std::nullopt}, [&](Result<KeyValues> values) {
        result = std::move(values);
        loop.quit();
    });
    loop.exec();
    if (!*result) {
        return result->error();
    }
    if ((*result)->entries.empty()) {
        return StoredDocument{};
    }
    const KeyValue &entry = (*result)->entries.front();
    return StoredDocument{.json = entry.value, .modifyIndex = entry.modifyIndex};
}

StoreWriteOutcome BlockingPlatformClient::write(const std::string &key, const QByteArray &value, std::uint64_t expectedIndex)
{
    QEventLoop loop;
    StoreWriteOutcome outcome = StoreWriteOutcome::unknown;
    this->platform.write(key, value, expectedIndex, [&](StoreWriteOutcome written) {
        outcome = written;
        loop.quit();
    });
    loop.exec();
    return outcome;
}

Result<PlatformInstances> BlockingPlatformClient::list(const std::string &service)
{
    QEventLoop loop;
    std::optional<Result<PlatformInstances>> result;
    this->platform.list(service, {.index = std::nullopt}, [&](Result<PlatformInstances> listed) {
        result = std::move(listed);
        loop.quit();
    });
    loop.exec();
    return std::move(*result);
}

Result<QByteArray> BlockingPlatformClient::fetch(const std::string &address, const std::string &path)
{
    QNetworkRequest request(QUrl(QString::fromStdString("http://" + address + path)));
    request.setTransferTimeout(FETCH_TIMEOUT_MS);
    QNetworkReply *reply = this->network.get(request);
    QEventLoop loop;
    QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    reply->deleteLater();
    if (!succeeded(*reply)) {
        return Error{.code = Errc::connectionLost, .step = "fetch", .peer = address, .detail = describeFailure(*reply)};
    }
    return reply->readAll();
}

} // namespace ragwort
