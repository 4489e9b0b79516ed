/// \file
/// Implements the JSON codec of the backend protocol with Qt's JSON classes.
#include "ragwortcart/Wire/BackendCodec.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

namespace ragwort {

static QString toQt(std::string_view text)
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

static std::string toText(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

static QJsonValue number(std::uint64_t value)
{
    return {static_cast<qint64>(value)};
}

/// Returns 0 for a member that is missing, negative or not an integer.
static std::uint64_t unsignedOf(const QJsonObject &object, const char *key)
{
    return static_cast<std::uint64_t>(std::max<qint64>(object.value(QLatin1String(key)).toInteger(0), 0));
}

static Result<QJsonObject> parseObject(std::string_view json, const std::string &peer)
{
    QJsonParseError error{};
    const QByteArray bytes = QByteArray::fromRawData(json.data(), static_cast<qsizetype>(json.size()));
    const QJsonDocument document = QJsonDocument::fromJson(bytes, &error);
    if (error.error != QJsonParseError::NoError || !document.isObject()) {
        return Error{.code = Errc::malformedInput, .step = "decode-backend", .peer = peer, .detail = "not a JSON object"};
    }
    return document.object();
}

std::string encodeBackendRequest(const SubRequest &request, Instant now)
{
    return toText({{"query", number(request.query)},
                   {"attempt", static_cast<qint64>(request.attempt)},
                   {"kind", toQt(request.kind)},
                   {"text", toQt(request.text)},
                   {"limit", request.limit},
                   {"snapshot", number(request.snapshot)},
                   {"begin", number(request.range.begin)},
                   {"end", number(request.range.end)},
                   {"time_left_us", static_cast<qint64>(std::max(request.deadline - now, Duration::zero()).count())},
                   {"action_key", toQt(request.actionKey)}});
}

Result<BackendRequest> decodeBackendRequest(std::string_view json, const std::string &peer)
{
    const Result<QJsonObject> object = parseObject(json, peer);
    if (!object) {
        return object.error();
    }
    return BackendRequest{.query = unsignedOf(*object, "query"),
                          .attempt = static_cast<AttemptId>(unsignedOf(*object, "attempt")),
                          .kind = object->value("kind").toString().toStdString(),
                          .text = object->value("text").toString().toStdString(),
                          .limit = object->value("limit").toInt(),
                          .snapshot = unsignedOf(*object, "snapshot"),
                          .range = {.begin = unsignedOf(*object, "begin"), .end = unsignedOf(*object, "end")},
                          .timeLeft = Duration(object->value("time_left_us").toInteger()),
                          .actionKey = object->value("action_key").toString().toStdString()};
}

static QJsonObject encodeReport(const ServerReport &report)
{
    return {{"incarnation", number(report.incarnation)}, {"cold", report.cold}, {"draining", report.draining}, {"load", report.load}};
}

static ServerReport decodeReport(const QJsonObject &object)
{
    return {.incarnation = unsignedOf(object, "incarnation"),
            .cold = object.value("cold").toBool(),
            .draining = object.value("draining").toBool(),
            .load = object.value("load").toInt()};
}

std::string encodeBackendReply(const BackendReply &reply)
{
    QJsonArray results;
    for (const Document &document : reply.answer.results) {
        results.append(QJsonObject{{"key", number(document.key)}, {"score", static_cast<qint64>(document.score)}, {"text", toQt(document.text)}});
    }
    return toText({{"query", number(reply.query)},
                   {"attempt", static_cast<qint64>(reply.attempt)},
                   {"snapshot", number(reply.answer.snapshot)},
                   {"begin", number(reply.answer.range.begin)},
                   {"end", number(reply.answer.range.end)},
                   {"documents", number(reply.answer.documents)},
                   {"total_documents", number(reply.answer.totalDocuments)},
                   {"results", results},
                   {"report", encodeReport(reply.answer.report)}});
}

Result<BackendReply> decodeBackendReply(std::string_view json, const std::string &peer)
{
    const Result<QJsonObject> object = parseObject(json, peer);
    if (!object) {
        return object.error();
    }
    BackendReply reply{.query = unsignedOf(*object, "query"), .attempt = static_cast<AttemptId>(unsignedOf(*object, "attempt")), .answer = {}};
    reply.answer.snapshot = unsignedOf(*object, "snapshot");
    reply.answer.range = {.begin = unsignedOf(*object, "begin"), .end = std::min(unsignedOf(*object, "end"), KEY_SPACE_END)};
    reply.answer.documents = unsignedOf(*object, "documents");
    reply.answer.totalDocuments = unsignedOf(*object, "total_documents");
    reply.answer.report = decodeReport(object->value("report").toObject());
    for (const QJsonValue &value : object->value("results").toArray()) {
        const QJsonObject result = value.toObject();
        reply.answer.results.push_back({.key = unsignedOf(result, "key"),
                                        .score = static_cast<std::int64_t>(result.value("score").toInteger()),
                                        .text = result.value("text").toString().toStdString()});
    }
    return reply;
}

std::string encodeBackendRefusal(const BackendRefusal &refusal)
{
    return toText({{"ran", false}, {"why", toQt(toString(refusal.failure))}, {"report", encodeReport(refusal.report)}});
}

Result<BackendRefusal> decodeBackendRefusal(std::string_view json, const std::string &peer)
{
    const Result<QJsonObject> object = parseObject(json, peer);
    if (!object) {
        return object.error();
    }
    const std::string why = object->value("why").toString().toStdString();
    const bool ranIsFalse = object->value("ran").isBool() && !object->value("ran").toBool();
    for (const SubFailure failure : {SubFailure::shed, SubFailure::draining, SubFailure::snapshotGone}) {
        if (ranIsFalse && toString(failure) == why) {
            return BackendRefusal{.failure = failure, .report = decodeReport(object->value("report").toObject())};
        }
    }
    return Error{.code = Errc::protocolViolation, .step = "decode-refusal", .peer = peer, .detail = "unknown refusal reason '" + why + "'"};
}

std::string encodeServerStatus(const ServerStatus &status)
{
    QJsonArray snapshots;
    for (const ServerSnapshot &snapshot : status.snapshots) {
        snapshots.append(QJsonObject{{"id", number(snapshot.id)},
                                     {"begin", number(snapshot.range.begin)},
                                     {"end", number(snapshot.range.end)},
                                     {"documents", number(snapshot.documents)},
                                     {"total_documents", number(snapshot.totalDocuments)}});
    }
    return toText({{"server", toQt(status.serverId)}, {"report", encodeReport(status.report)}, {"snapshots", snapshots}});
}

Result<ServerStatus> decodeServerStatus(std::string_view json, const std::string &peer)
{
    const Result<QJsonObject> object = parseObject(json, peer);
    if (!object) {
        return object.error();
    }
    ServerStatus status{
        .serverId = object->value("server").toString().toStdString(), .report = decodeReport(object->value("report").toObject()), .snapshots = {}};
    for (const QJsonValue &value : object->value("snapshots").toArray()) {
        const QJsonObject snapshot = value.toObject();
        status.snapshots.push_back({.id = unsignedOf(snapshot, "id"),
                                    .range = {.begin = unsignedOf(snapshot, "begin"), .end = std::min(unsignedOf(snapshot, "end"), KEY_SPACE_END)},
                                    .documents = unsignedOf(snapshot, "documents"),
                                    .totalDocuments = unsignedOf(snapshot, "total_documents")});
    }
    if (status.serverId.empty()) {
        return Error{.code = Errc::protocolViolation, .step = "decode-status", .peer = peer, .detail = "status has no server identifier"};
    }
    return status;
}

} // namespace ragwort
