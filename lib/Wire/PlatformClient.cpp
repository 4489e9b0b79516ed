/// \file
/// Implements the platform client on QNetworkAccessManager.
#include "ragwortcart/Wire/PlatformClient.h"

#include "ragwortcart/Support/Log.h"
#include "ragwortcart/Wire/NetworkReply.h"

#include <QBuffer>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

namespace ragwort {

/// Time allowed for the response after the wait time of a watch.
static constexpr Duration WATCH_TIMEOUT_MARGIN = std::chrono::milliseconds(700);
static constexpr int HTTP_NOT_FOUND = 404;
static constexpr const char *KEY_PATH = "/v1/kv/";
static constexpr const char *LIST_PATH = "/v1/health/service/";

std::string PlatformInstance::metaValue(const std::string &key) const
{
    const auto found = this->meta.find(key);
    return found == this->meta.end() ? std::string() : found->second;
}

PlatformClient::PlatformClient(Options clientOptions) : options(std::move(clientOptions))
{
    this->watchManager.setProxy(QNetworkProxy::NoProxy);
    this->callManager.setProxy(QNetworkProxy::NoProxy);
}

/// Returns the path of an item below \p parent. The name, a key or a service, may hold any characters; a slash stays one.
static std::string pathOf(const char *parent, const std::string &name)
{
    return parent + QUrl::toPercentEncoding(QString::fromStdString(name), "/").toStdString();
}

static QUrl urlOf(const std::string &address, const std::string &path)
{
    return QUrl(QString::fromStdString("http://" + address + path));
}

QNetworkReply *PlatformClient::get(const std::string &path, const WatchOptions &watch)
{
    ++this->callCount;
    std::string target = path;
    Duration timeout = this->options.callTimeout;
    if (watch.index) {
        target += (target.find('?') == std::string::npos ? '?' : '&');
        target += "index=" + std::to_string(*watch.index) + "&wait=" + std::to_string(toMs(watch.wait)) + "ms";
        timeout = watch.wait + WATCH_TIMEOUT_MARGIN;
    }
    QNetworkRequest request(urlOf(this->options.address, target));
    request.setTransferTimeout(static_cast<int>(toMs(timeout)));
    return watch.index ? this->watchManager.get(request) : this->callManager.get(request);
}

static Error replyError(const QNetworkReply &reply, const char *step, const std::string &peer)
{
    return {.code = Errc::storeUnavailable, .step = step, .peer = peer, .detail = describeFailure(reply)};
}

static std::uint64_t indexOf(const QNetworkReply &reply)
{
    return reply.rawHeader("X-Consul-Index").toULongLong();
}

/// A response with status 404 means that no key matches, if it states an index as the store does. Another one may be of whatever else answers at
/// the address, and tells nothing of the key.
static Result<KeyValues> parseKeys(QNetworkReply &reply, const std::string &peer)
{
    if (statusOf(reply) == HTTP_NOT_FOUND && indexOf(reply) != 0) {
        return KeyValues{.entries = {}, .index = indexOf(reply)};
    }
    if (!succeeded(reply)) {
        return replyError(reply, "store-read", peer);
    }
    KeyValues values{.entries = {}, .index = indexOf(reply)};
    const QJsonDocument document = QJsonDocument::fromJson(reply.readAll());
    if (!document.isArray()) {
        return Error{.code = Errc::protocolViolation, .step = "store-read", .peer = peer, .detail = "not a JSON array"};
    }
    for (const QJsonValue &value : document.array()) {
        const QJsonObject object = value.toObject();
        values.entries.push_back({.key = object.value("Key").toString().toStdString(),
                                  .value = QByteArray::fromBase64(object.value("Value").toString().toLatin1()),
                                  .modifyIndex = static_cast<std::uint64_t>(object.value("ModifyIndex").toInteger())});
    }
    return values;
}

static Result<PlatformInstances> parseInstances(QNetworkReply &reply, const std::string &peer)
{
    if (!succeeded(reply)) {
        return replyError(reply, "instance-list", peer);
    }
    const QJsonDocument document = QJsonDocument::fromJson(reply.readAll());
    if (!document.isArray()) {
        return Error{.code = Errc::protocolViolation, .step = "instance-list", .peer = peer, .detail = "not a JSON array"};
    }
    PlatformInstances listed{.instances = {}, .index = indexOf(reply)};
    for (const QJsonValue &value : document.array()) {
        const QJsonObject service = value.toObject().value("Service").toObject();
        PlatformInstance instance{.id = service.value("ID").toString().toStdString(),
                                  .address = service.value("Address").toString().toStdString() + ':' + std::to_string(service.value("Port").toInt()),
                                  .meta = {}};
        const QJsonObject meta = service.value("Meta").toObject();
        for (auto entry = meta.begin(); entry != meta.end(); ++entry) {
            instance.meta[entry.key().toStdString()] = entry.value().toString().toStdString();
        }
        listed.instances.push_back(std::move(instance));
    }
    return listed;
}

void PlatformClient::read(const std::string &key, bool recurse, const WatchOptions &watch, const ReadCallback &callback)
{
    QNetworkReply *reply = this->get(pathOf(KEY_PATH, key) + (recurse ? "?recurse=true" : ""), watch);
    connect(reply, &QNetworkReply::finished, this, [reply, callback, peer = this->options.address] {
        reply->deleteLater();
        callback(parseKeys(*reply, peer));
    });
}

void PlatformClient::list(const std::string &service, const WatchOptions &watch, const ListCallback &callback)
{
    QNetworkReply *reply = this->get(pathOf(LIST_PATH, service), watch);
    connect(reply, &QNetworkReply::finished, this, [reply, callback, peer = this->options.address] {
        reply->deleteLater();
        callback(parseInstances(*reply, peer));
    });
}

/// Only the store's own words are an outcome. A response that is damaged tells nothing of the write.
static StoreWriteOutcome parseWriteOutcome(QNetworkReply &reply)
{
    const QByteArray body = reply.readAll().trimmed();
    if (succeeded(reply) && body == "true") {
        return StoreWriteOutcome::written;
    }
    if (succeeded(reply) && body == "false") {
        return StoreWriteOutcome::conflict;
    }
    const std::string detail = succeeded(reply) ? "body of " + std::to_string(body.size()) + " bytes, neither true nor false" : describeFailure(reply);
    logEvent(LogLevel::info, "store-write-unknown", {{.key = "store", .value = reply.url().authority().toStdString()}, {.key = "detail", .value = detail}});
    return StoreWriteOutcome::unknown;
}

namespace {

/// A request body that cannot be rewound. Qt silently resends a request whose persistent connection was closed in the
/// meantime, unless its body cannot be read a second time.
class SequentialBuffer final : public QIODevice
{
public:
    explicit SequentialBuffer(QByteArray content, QObject *parent) : QIODevice(parent), data(std::move(content))
    {
        this->open(QIODevice::ReadOnly);
    }

    bool isSequential() const override
    {
        return true;
    }

    qint64 bytesAvailable() const override
    {
        return this->data.size() - this->position + QIODevice::bytesAvailable();
    }

protected:
    qint64 readData(char *target, qint64 maximum) override
    {
        const qint64 count = std::min<qint64>(maximum, this->data.size() - this->position);
        if (count <= 0) {
            return -1;
        }
        std::copy_n(this->data.constData() + this->position, count, target);
        this->position += count;
        return count;
    }

    qint64 writeData(const char * /*source*/, qint64 /*maximum*/) override
    {
        return -1;
    }

private:
    QByteArray data;
    qint64 position = 0;
};

} // namespace

void PlatformClient::write(const std::string &key, const QByteArray &value, std::uint64_t expectedIndex, const WriteCallback &callback)
{
    ++this->callCount;
    QNetworkRequest request(urlOf(this->options.address, pathOf(KEY_PATH, key) + "?cas=" + std::to_string(expectedIndex)));
    request.setTransferTimeout(static_cast<int>(toMs(this->options.callTimeout)));
    request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    request.setHeader(QNetworkRequest::ContentLengthHeader, value.size());
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/octet-stream");
    auto *body = new SequentialBuffer(value, nullptr);
    QNetworkReply *reply = this->callManager.put(request, body);
    body->setParent(reply);
    connect(reply, &QNetworkReply::finished, this, [reply, callback] {
        reply->deleteLater();
        callback(parseWriteOutcome(*reply));
    });
}

} // namespace ragwort
