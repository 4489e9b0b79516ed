/// \file
/// Implements the encoding of peer messages as CBOR arrays: a type number followed by the fields in order.
#include "ragwortcart/Wire/PeerCodec.h"

#include "ragwortcart/Support/Visitor.h"

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>
#include <algorithm>

namespace ragwort {

/// Type numbers on the wire. A number must never be reused for another type.
enum class PeerType {
    hello = 1,
    digest = 2,
    documents = 3,
    statuses = 4,
    crashReport = 5,
    crashReportAck = 6,
    warmUp = 7,
    storeDigest = 8,
    storeEvents = 9,
    attemptCounts = 10,
    serverWarnings = 11,
    storeSnapshot = 12,
    // 13 to 15 are those of PartialQueryCodec.cpp.
    crashNews = 16
};

// The epoch of the store is the last field of messages about its contents, and is left out while it is 0. Instances that know no epochs refuse
// messages of a later one for their number of fields. A digest always ends with it: the field tells that the sender knows epochs, and those that
// know none ignore it.

/// The fields are type, base revision, last revision, removal grace and events.
static constexpr qsizetype STORE_EVENTS_FIELDS = 5;
/// The fields are type, revision and items.
static constexpr qsizetype STORE_SNAPSHOT_FIELDS = 3;
/// The fields are type, revision, distance, subscription, age, both of the snapshot, and both times.
static constexpr qsizetype STORE_DIGEST_FIELDS = 9;
/// The fields are type, crashes and responses.
static constexpr qsizetype CRASH_NEWS_FIELDS = 3;

static QCborValue text(const std::string &value)
{
    return {QString::fromStdString(value)};
}

/// Encodes \p value as a signed integer; `numberOf()` restores values from 2^63 on.
static QCborValue number(std::uint64_t value)
{
    return {static_cast<qint64>(value)};
}

/// Returns an empty string if \p value is missing or not a string.
static std::string textOf(const QCborValue &value)
{
    return value.toString().toStdString();
}

/// Returns 0 if \p value is missing or not an integer.
static std::uint64_t numberOf(const QCborValue &value)
{
    return static_cast<std::uint64_t>(value.toInteger());
}

/// Returns a message without fields.
static QCborArray beginMessage(PeerType type)
{
    return QCborArray{static_cast<int>(type)};
}

static QCborArray encode(const PeerHello &hello)
{
    QCborArray array = beginMessage(PeerType::hello);
    array.append(text(hello.instance));
    array.append(text(hello.domain));
    return array;
}

static QCborArray encode(const PeerDigest &digest)
{
    QCborArray array = beginMessage(PeerType::digest);
    array.append(static_cast<qint64>(digest.configurationAgeUs));
    QCborMap sequences;
    for (const auto &[name, sequence] : digest.sequences) {
        sequences.insert(QString::fromStdString(name), number(sequence));
    }
    array.append(sequences);
    array.append(number(digest.documentsHash));
    array.append(digest.detailed);
    return array;
}

static QCborArray encode(const PeerDocuments &documents)
{
    QCborArray array = beginMessage(PeerType::documents);
    for (const ConfigurationDocument &document : documents.documents) {
        array.append(QCborArray{text(document.name), number(document.sequence), document.json});
    }
    return array;
}

static QCborArray encode(const PeerStatuses &statuses)
{
    QCborArray array = beginMessage(PeerType::statuses);
    for (const PeerStatus &peerStatus : statuses.statuses) {
        const ServerReport &report = peerStatus.status.report;
        QCborArray snapshots;
        for (const ServerSnapshot &snapshot : peerStatus.status.snapshots) {
            snapshots.append(QCborArray{
                number(snapshot.id), number(snapshot.range.begin), number(snapshot.range.end), number(snapshot.documents), number(snapshot.totalDocuments)});
        }
        const int flags = (report.cold ? 1 : 0) | (report.draining ? 2 : 0);
        array.append(
            QCborArray{text(peerStatus.status.serverId), number(report.incarnation), flags, report.load, static_cast<qint64>(peerStatus.ageUs), snapshots});
    }
    return array;
}

static QCborArray encode(const PeerCrashReport &message)
{
    QCborArray array = beginMessage(PeerType::crashReport);
    array.append(number(message.number));
    array.append(number(message.crashReport.fingerprint));
    array.append(text(message.crashReport.serverId));
    array.append(static_cast<qint64>(message.crashReport.remaining.count()));
    return array;
}

static QCborArray encode(const PeerCrashReportAck &ack)
{
    QCborArray array = beginMessage(PeerType::crashReportAck);
    array.append(number(ack.number));
    return array;
}

static QCborArray encode(const PeerWarmUp &warmUp)
{
    QCborArray array = beginMessage(PeerType::warmUp);
    array.append(text(warmUp.serverId));
    array.append(number(warmUp.incarnation));
    array.append(warmUp.level);
    array.append(warmUp.cold);
    return array;
}

static void appendEpoch(QCborArray &array, StoreEpoch epoch)
{
    if (epoch != 0) {
        array.append(number(epoch));
    }
}

/// Returns whether a message has \p fields fields, and perhaps an epoch behind them.
static bool hasFields(const QCborArray &array, qsizetype fields)
{
    return array.size() == fields || (array.size() == fields + 1 && array.at(fields).isInteger());
}

static QCborArray encode(const PeerStoreDigest &digest)
{
    QCborArray array = beginMessage(PeerType::storeDigest);
    array.append(number(digest.position.revision));
    array.append(digest.distance);
    array.append(digest.wantsEvents);
    array.append(static_cast<qint64>(digest.confirmedAge.count()));
    array.append(digest.offersSnapshot);
    array.append(digest.wantsSnapshot);
    array.append(static_cast<qint64>(digest.madeAtUs));
    array.append(static_cast<qint64>(digest.echoedUs));
    if (digest.knowsEpochs) {
        array.append(number(digest.position.epoch));
    }
    return array;
}

/// Encodes an event as key, revision and value. A deletion has no value.
static QCborValue encodeEvent(const StoreEvent &event)
{
    return std::visit(Visitor{[](const StoreItem &item) {
                                  return QCborArray{text(item.key), number(item.revision), item.value};
                              },
                              [](const StoreDeletion &deletion) {
                                  return QCborArray{text(deletion.key), number(deletion.revision)};
                              }},
                      event);
}

static QCborArray encode(const PeerStoreEvents &message)
{
    QCborArray array = beginMessage(PeerType::storeEvents);
    array.append(number(message.after));
    array.append(number(message.position.revision));
    array.append(static_cast<qint64>(message.removalGrace.count()));
    QCborArray events;
    for (const StoreEvent &event : message.events) {
        events.append(encodeEvent(event));
    }
    array.append(events);
    appendEpoch(array, message.position.epoch);
    return array;
}

static QCborArray encode(const PeerStoreSnapshot &message)
{
    QCborArray array = beginMessage(PeerType::storeSnapshot);
    array.append(number(message.position.revision));
    QCborArray items;
    for (const StoreItem &item : message.items) {
        items.append(encodeEvent(item));
    }
    array.append(items);
    appendEpoch(array, message.position.epoch);
    return array;
}

static QCborArray encode(const PeerAttemptCounts &message)
{
    QCborArray array = beginMessage(PeerType::attemptCounts);
    for (const ServerAttemptCounts &counts : message.attemptCounts) {
        array.append(QCborArray{text(counts.serverId), number(counts.ended), number(counts.bad)});
    }
    return array;
}

static QCborArray encode(const PeerServerWarnings &message)
{
    QCborArray array = beginMessage(PeerType::serverWarnings);
    for (const ServerWarning &warning : message.warnings) {
        array.append(QCborArray{text(warning.serverId), warning.badPerMille});
    }
    return array;
}

static QCborArray encode(const PeerCrashNews &message)
{
    QCborArray array = beginMessage(PeerType::crashNews);
    QCborArray crashes;
    for (const PeerContentCrash &crash : message.crashes) {
        crashes.append(QCborArray{
            number(crash.fingerprint), text(crash.serverId), static_cast<qint64>(crash.sentAge.count()), static_cast<qint64>(crash.lostAge.count())});
    }
    QCborArray served;
    for (const PeerContentServed &each : message.served) {
        served.append(QCborArray{number(each.fingerprint), static_cast<qint64>(each.age.count())});
    }
    array.append(crashes);
    array.append(served);
    return array;
}

std::string encodePeerMessage(const PeerMessage &message)
{
    const QCborArray array = std::visit([](const auto &typed) { return encode(typed); }, message);
    return QCborValue(array).toCbor().toStdString();
}

static PeerDigest decodeDigest(const QCborArray &array)
{
    PeerDigest digest{
        .configurationAgeUs = array.at(1).toInteger(-1), .documentsHash = numberOf(array.at(3)), .detailed = array.at(4).toBool(), .sequences = {}};
    const QCborMap sequences = array.at(2).toMap();
    for (auto entry = sequences.begin(); entry != sequences.end(); ++entry) {
        digest.sequences[textOf(entry.key())] = numberOf(entry.value());
    }
    return digest;
}

static PeerDocuments decodeDocuments(const QCborArray &array)
{
    PeerDocuments documents;
    for (qsizetype index = 1; index < array.size(); ++index) {
        const QCborArray document = array.at(index).toArray();
        documents.documents.push_back({.name = textOf(document.at(0)), .sequence = numberOf(document.at(1)), .json = document.at(2).toByteArray()});
    }
    return documents;
}

static PeerStatus decodeStatus(const QCborArray &array)
{
    const qint64 flags = array.at(2).toInteger();
    PeerStatus peerStatus{
        .status
        = {.serverId = textOf(array.at(0)),
           .report
           = {.incarnation = numberOf(array.at(1)), .cold = (flags & 1) != 0, .draining = (flags & 2) != 0, .load = static_cast<int>(array.at(3).toInteger())},
           .snapshots = {}},
        .ageUs = array.at(4).toInteger()};
    const QCborArray snapshots = array.at(5).toArray();
    for (const QCborValue &value : snapshots) {
        const QCborArray snapshot = value.toArray();
        peerStatus.status.snapshots.push_back({.id = numberOf(snapshot.at(0)),
                                               .range = {.begin = numberOf(snapshot.at(1)), .end = std::min(numberOf(snapshot.at(2)), KEY_SPACE_END)},
                                               .documents = numberOf(snapshot.at(3)),
                                               .totalDocuments = numberOf(snapshot.at(4))});
    }
    return peerStatus;
}

static PeerStatuses decodeStatuses(const QCborArray &array)
{
    PeerStatuses statuses;
    for (qsizetype index = 1; index < array.size(); ++index) {
        statuses.statuses.push_back(decodeStatus(array.at(index).toArray()));
    }
    return statuses;
}

static StoreItem decodeItem(const QCborArray &array)
{
    return {.key = textOf(array.at(0)), .value = array.at(2).toByteArray(), .revision = numberOf(array.at(1))};
}

static StoreEvent decodeEvent(const QCborArray &array)
{
    if (array.size() > 2) {
        return decodeItem(array);
    }
    return StoreDeletion{.key = textOf(array.at(0)), .revision = numberOf(array.at(1))};
}

static PeerStoreEvents decodeStoreEvents(const QCborArray &array)
{
    PeerStoreEvents message{.after = numberOf(array.at(1)),
                            .position = {.epoch = numberOf(array.at(STORE_EVENTS_FIELDS)), .revision = numberOf(array.at(2))},
                            .removalGrace = Duration(array.at(3).toInteger()),
                            .events = {}};
    const QCborArray events = array.at(4).toArray();
    for (const QCborValue &event : events) {
        message.events.push_back(decodeEvent(event.toArray()));
    }
    return message;
}

static PeerStoreSnapshot decodeStoreSnapshot(const QCborArray &array)
{
    PeerStoreSnapshot message{.position = {.epoch = numberOf(array.at(STORE_SNAPSHOT_FIELDS)), .revision = numberOf(array.at(1))}, .items = {}};
    const QCborArray items = array.at(2).toArray();
    for (const QCborValue &item : items) {
        message.items.push_back(decodeItem(item.toArray()));
    }
    return message;
}

static PeerAttemptCounts decodeAttemptCounts(const QCborArray &array)
{
    PeerAttemptCounts message;
    for (qsizetype index = 1; index < array.size(); ++index) {
        const QCborArray counts = array.at(index).toArray();
        message.attemptCounts.push_back({.serverId = textOf(counts.at(0)),
                                         .ended = static_cast<std::uint32_t>(numberOf(counts.at(1))),
                                         .bad = static_cast<std::uint32_t>(numberOf(counts.at(2)))});
    }
    return message;
}

static PeerServerWarnings decodeWarnings(const QCborArray &array)
{
    PeerServerWarnings message;
    for (qsizetype index = 1; index < array.size(); ++index) {
        const QCborArray warning = array.at(index).toArray();
        message.warnings.push_back({.serverId = textOf(warning.at(0)), .badPerMille = static_cast<int>(warning.at(1).toInteger())});
    }
    return message;
}

/// Returns an age from zero to the time after which crash news are of no use.
static Duration ageOf(const QCborValue &value)
{
    return std::clamp(Duration(value.toInteger()), Duration::zero(), QUARANTINE_TIME);
}

static PeerCrashNews decodeCrashNews(const QCborArray &array)
{
    PeerCrashNews message;
    const QCborArray crashes = array.at(1).toArray();
    for (const QCborValue &value : crashes) {
        const QCborArray crash = value.toArray();
        const Duration lostAge = ageOf(crash.at(3));
        message.crashes.push_back(
            {.fingerprint = numberOf(crash.at(0)), .serverId = textOf(crash.at(1)), .sentAge = std::max(ageOf(crash.at(2)), lostAge), .lostAge = lostAge});
    }
    const QCborArray served = array.at(2).toArray();
    for (const QCborValue &value : served) {
        const QCborArray each = value.toArray();
        message.served.push_back({.fingerprint = numberOf(each.at(0)), .age = ageOf(each.at(1))});
    }
    return message;
}

Result<PeerMessage> decodePeerMessage(std::string_view bytes, const std::string &peer)
{
    QCborParserError error{};
    const QByteArray data = QByteArray::fromRawData(bytes.data(), static_cast<qsizetype>(bytes.size()));
    const QCborValue value = QCborValue::fromCbor(data, &error);
    const QCborArray array = value.toArray();
    const auto malformed
        = [&peer](const char *detail) { return Error{.code = Errc::protocolViolation, .step = "decode-peer-message", .peer = peer, .detail = detail}; };
    if (error.error != QCborError{QCborError::NoError} || array.isEmpty()) {
        return malformed("not a CBOR array");
    }
    switch (static_cast<PeerType>(array.at(0).toInteger())) {
    case PeerType::hello:
        return PeerMessage(PeerHello{.instance = textOf(array.at(1)), .domain = textOf(array.at(2))});
    case PeerType::digest:
        return PeerMessage(decodeDigest(array));
    case PeerType::documents:
        return PeerMessage(decodeDocuments(array));
    case PeerType::statuses:
        return PeerMessage(decodeStatuses(array));
    case PeerType::crashReport:
        return PeerMessage(PeerCrashReport{
            .number = numberOf(array.at(1)),
            .crashReport = {.fingerprint = numberOf(array.at(2)), .serverId = textOf(array.at(3)), .remaining = Duration(array.at(4).toInteger())}});
    case PeerType::crashReportAck:
        return PeerMessage(PeerCrashReportAck{.number = numberOf(array.at(1))});
    case PeerType::warmUp:
        return PeerMessage(PeerWarmUp{.serverId = textOf(array.at(1)),
                                      .incarnation = numberOf(array.at(2)),
                                      .level = static_cast<int>(array.at(3).toInteger()),
                                      .cold = array.at(4).toBool()});
    case PeerType::storeDigest:
        // Earlier versions send the first three fields only.
        return PeerMessage(PeerStoreDigest{.position = {.epoch = numberOf(array.at(STORE_DIGEST_FIELDS)), .revision = numberOf(array.at(1))},
                                           .distance = static_cast<int>(array.at(2).toInteger(STORE_UNREACHABLE)),
                                           .wantsEvents = array.at(3).toBool(),
                                           .confirmedAge = Duration(array.at(4).toInteger(AGE_UNKNOWN.count())),
                                           .offersSnapshot = array.at(5).toBool(),
                                           .wantsSnapshot = array.at(6).toBool(),
                                           .madeAtUs = array.at(7).toInteger(),
                                           .echoedUs = array.at(8).toInteger(),
                                           .knowsEpochs = array.at(STORE_DIGEST_FIELDS).isInteger()});
    case PeerType::storeEvents:
        // A truncated message must not be mistaken for one without events, which states that no key has changed.
        if (!hasFields(array, STORE_EVENTS_FIELDS) || !array.at(4).isArray()) {
            return malformed("store events message has a wrong number of fields or no list of events");
        }
        return PeerMessage(decodeStoreEvents(array));
    case PeerType::storeSnapshot:
        // A truncated message must not be mistaken for a store without items.
        if (!hasFields(array, STORE_SNAPSHOT_FIELDS) || !array.at(2).isArray()) {
            return malformed("store snapshot message has a wrong number of fields or no list of items");
        }
        return PeerMessage(decodeStoreSnapshot(array));
    case PeerType::attemptCounts:
        return PeerMessage(decodeAttemptCounts(array));
    case PeerType::serverWarnings:
        return PeerMessage(decodeWarnings(array));
    case PeerType::crashNews:
        if (array.size() != CRASH_NEWS_FIELDS || !array.at(1).isArray() || !array.at(2).isArray()) {
            return malformed("crash news message has a wrong number of fields or lacks a list");
        }
        return PeerMessage(decodeCrashNews(array));
    }
    return malformed("unknown message type");
}

} // namespace ragwort
