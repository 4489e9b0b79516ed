/// \file
/// Implements the encoding of divided queries' messages as CBOR arrays: a type number followed by the fields in order.
#include "ragwortcart/Wire/PartialQueryCodec.h"

#include "ragwortcart/Support/Visitor.h"

#include <QByteArray>
#include <QCborStreamReader>
#include <QCborStreamWriter>
#include <limits>

namespace ragwort {

/// Type numbers on the wire, which continue those of PeerCodec.cpp. A number must never be reused for another type.
enum class PartialQueryType : std::uint8_t { request = 13, reply = 14, cancel = 15 };

/// Numbers of fields, with the type. Fewer than 24, as are the type numbers, so that both take one byte each.
static constexpr quint64 REQUEST_FIELDS = 17;
static constexpr quint64 REPLY_FIELDS = 14;
static constexpr quint64 CANCEL_FIELDS = 3;
/// The first byte of an array with fewer than 24 elements, less their number.
static constexpr unsigned SHORT_ARRAY = 0x80U;
static constexpr unsigned MAJOR_TYPE_MASK = 0xe0U;

/// Limits for decoded numbers.
static constexpr std::uint64_t MAXIMUM_SHARDS = 100'000;
static constexpr std::uint64_t MAXIMUM_COUNT = 10'000'000;
static constexpr std::uint64_t MAXIMUM_DURATION_US = std::uint64_t{24} * 3600 * 1'000'000;
static constexpr std::uint64_t MAXIMUM_HEADERS = 1000;

static void appendBytes(QCborStreamWriter &writer, std::string_view bytes)
{
    writer.appendByteString(bytes.data(), static_cast<qsizetype>(bytes.size()));
}

static void appendDuration(QCborStreamWriter &writer, Duration duration)
{
    writer.append(static_cast<quint64>(std::max<std::int64_t>(duration.count(), 0)));
}

static void beginMessage(QCborStreamWriter &writer, PartialQueryType type, quint64 fields)
{
    writer.startArray(fields);
    writer.append(static_cast<quint64>(type));
}

static void write(QCborStreamWriter &writer, const PartialQueryRequest &request)
{
    beginMessage(writer, PartialQueryType::request, REQUEST_FIELDS);
    writer.append(quint64{request.query});
    writer.append(quint64{request.branch});
    appendBytes(writer, request.route);
    writer.append(quint64{request.routeRevision});
    writer.append(quint64{request.firstShard});
    writer.append(quint64{request.shardCount});
    writer.append(quint64{request.minimumShards});
    appendDuration(writer, request.answerWithin);
    appendDuration(writer, request.timeLeft);
    writer.append(qint64{request.sentAtUs});
    appendBytes(writer, request.forwarded->method);
    appendBytes(writer, request.forwarded->target);
    writer.startArray(request.forwarded->headers.size() * 2);
    for (const HeaderField &field : request.forwarded->headers) {
        appendBytes(writer, field.name);
        appendBytes(writer, field.value);
    }
    writer.endArray();
    appendBytes(writer, request.forwarded->body);
    appendBytes(writer, request.forwarded->callerRequestId);
    writer.append(quint64{request.contentFingerprint});
    writer.endArray();
}

static void write(QCborStreamWriter &writer, const PartialQueryReply &reply)
{
    beginMessage(writer, PartialQueryType::reply, REPLY_FIELDS);
    writer.append(quint64{reply.query});
    writer.append(quint64{reply.branch});
    writer.append(reply.success);
    writer.append(static_cast<quint64>(reply.state));
    appendBytes(writer, reply.reason);
    appendBytes(writer, reply.records.body);
    writer.startArray(reply.records.signatures.size());
    for (const std::string &signature : reply.records.signatures) {
        appendBytes(writer, signature);
    }
    writer.endArray();
    writer.startArray(reply.records.missingShards.size());
    for (const std::uint32_t shard : reply.records.missingShards) {
        writer.append(quint64{shard});
    }
    writer.endArray();
    appendDuration(writer, reply.retryAfter);
    for (const int count : {reply.attempts, reply.hedges, reply.retries}) {
        writer.append(static_cast<quint64>(std::max(count, 0)));
    }
    appendDuration(writer, reply.heldFor);
    writer.endArray();
}

static void write(QCborStreamWriter &writer, const PartialQueryCancel &cancel)
{
    beginMessage(writer, PartialQueryType::cancel, CANCEL_FIELDS);
    writer.append(quint64{cancel.query});
    writer.append(quint64{cancel.branch});
    writer.endArray();
}

std::string encodePartialQueryMessage(const PartialQueryMessage &message)
{
    QByteArray bytes;
    QCborStreamWriter writer(&bytes);
    std::visit([&writer](const auto &typed) { write(writer, typed); }, message);
    return bytes.toStdString();
}

bool isPartialQueryMessage(std::string_view bytes)
{
    if (bytes.size() < 2 || (static_cast<unsigned char>(bytes[0]) & MAJOR_TYPE_MASK) != SHORT_ARRAY) {
        return false;
    }
    const auto type = static_cast<unsigned char>(bytes[1]);
    return type >= static_cast<unsigned char>(PartialQueryType::request) && type <= static_cast<unsigned char>(PartialQueryType::cancel);
}

namespace {

/// Reads the fields of a message in order. After the first field that is missing or invalid, all further ones read as empty.
class FieldReader
{
public:
    explicit FieldReader(std::string_view bytes) : reader(bytes.data(), static_cast<qsizetype>(bytes.size()))
    {
        this->isValid = this->reader.isArray() && this->reader.isLengthKnown();
        this->fieldCount = this->isValid ? this->reader.length() : 0;
        this->isValid = this->isValid && this->reader.enterContainer();
    }

    bool valid() const
    {
        return this->isValid;
    }

    /// Returns the number of fields that the message states, with the type.
    std::uint64_t statedFields() const
    {
        return this->fieldCount;
    }

    std::uint64_t number(std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max())
    {
        if (!this->expect([this] { return this->reader.isUnsignedInteger(); })) {
            return 0;
        }
        const std::uint64_t value = this->reader.toUnsignedInteger();
        return this->expect([&] { return value <= maximum && this->reader.next(); }) ? value : 0;
    }

    std::int64_t signedNumber()
    {
        if (!this->expect([this] { return this->reader.isInteger(); })) {
            return 0;
        }
        const std::int64_t value = this->reader.toInteger();
        return this->expect([this] { return this->reader.next(); }) ? value : 0;
    }

    bool boolean()
    {
        if (!this->expect([this] { return this->reader.isBool(); })) {
            return false;
        }
        const bool value = this->reader.toBool();
        return this->expect([this] { return this->reader.next(); }) && value;
    }

    Duration duration()
    {
        return Duration(static_cast<std::int64_t>(this->number(MAXIMUM_DURATION_US)));
    }

    std::string bytes()
    {
        std::string value;
        if (!this->expect([this] { return this->reader.isByteArray(); })) {
            return value;
        }
        auto chunk = this->reader.readByteArray();
        for (; chunk.status == QCborStreamReader::Ok; chunk = this->reader.readByteArray()) {
            value.append(chunk.data.constData(), static_cast<std::size_t>(chunk.data.size()));
        }
        return this->expect([&chunk] { return chunk.status == QCborStreamReader::EndOfString; }) ? value : std::string();
    }

    /// Reads a list with at most \p maximum elements, each with \p readElement.
    template <typename ReadElement>
    auto list(std::uint64_t maximum, ReadElement readElement)
    {
        std::vector<decltype(readElement())> elements;
        if (!this->expect([this] { return this->reader.isArray() && this->reader.enterContainer(); })) {
            return elements;
        }
        while (this->isValid && this->reader.hasNext()) {
            elements.push_back(readElement());
            this->expect([&] { return elements.size() <= maximum; });
        }
        this->expect([this] { return this->reader.leaveContainer(); });
        return elements;
    }

private:
    /// Marks the message as invalid unless \p condition holds. Does not evaluate it for a message that is invalid already: after an error the
    /// reader may be past the end of the message and must not be used.
    template <typename Condition>
    bool expect(Condition condition)
    {
        this->isValid = this->isValid && condition();
        return this->isValid;
    }

    QCborStreamReader reader;
    std::uint64_t fieldCount = 0;
    bool isValid = true;
};

} // namespace

static PartialQueryRequest readRequest(FieldReader &fields)
{
    PartialQueryRequest request;
    request.query = fields.number();
    request.branch = static_cast<AttemptId>(fields.number(std::numeric_limits<AttemptId>::max()));
    request.route = fields.bytes();
    request.routeRevision = fields.number();
    request.firstShard = static_cast<std::uint32_t>(fields.number(MAXIMUM_SHARDS));
    request.shardCount = static_cast<std::uint32_t>(fields.number(MAXIMUM_SHARDS));
    request.minimumShards = static_cast<std::uint32_t>(fields.number(MAXIMUM_SHARDS));
    request.answerWithin = fields.duration();
    request.timeLeft = fields.duration();
    request.sentAtUs = fields.signedNumber();
    auto forwarded = std::make_shared<ForwardedRequest>();
    forwarded->method = fields.bytes();
    forwarded->target = fields.bytes();
    const std::vector<std::string> headers = fields.list(MAXIMUM_HEADERS * 2, [&fields] { return fields.bytes(); });
    for (std::size_t index = 0; index + 1 < headers.size(); index += 2) {
        forwarded->headers.push_back({.name = headers[index], .value = headers[index + 1]});
    }
    forwarded->body = fields.bytes();
    forwarded->callerRequestId = fields.bytes();
    // Earlier versions end here.
    request.contentFingerprint = fields.statedFields() >= REQUEST_FIELDS ? fields.number() : 0;
    request.forwarded = std::move(forwarded);
    return request;
}

static PartialQueryReply readReply(FieldReader &fields)
{
    PartialQueryReply reply;
    reply.query = fields.number();
    reply.branch = static_cast<AttemptId>(fields.number(std::numeric_limits<AttemptId>::max()));
    reply.success = fields.boolean();
    reply.state = static_cast<RunState>(fields.number(static_cast<std::uint64_t>(RunState::outcomeUnknown)));
    reply.reason = fields.bytes();
    reply.records.body = fields.bytes();
    reply.records.signatures = fields.list(MAXIMUM_SHARDS, [&fields] { return fields.bytes(); });
    reply.records.missingShards = fields.list(MAXIMUM_SHARDS, [&fields] { return static_cast<std::uint32_t>(fields.number(MAXIMUM_SHARDS)); });
    reply.retryAfter = fields.duration();
    reply.attempts = static_cast<int>(fields.number(MAXIMUM_COUNT));
    reply.hedges = static_cast<int>(fields.number(MAXIMUM_COUNT));
    reply.retries = static_cast<int>(fields.number(MAXIMUM_COUNT));
    reply.heldFor = fields.duration();
    return reply;
}

static PartialQueryCancel readCancel(FieldReader &fields)
{
    PartialQueryCancel cancel;
    cancel.query = fields.number();
    cancel.branch = static_cast<AttemptId>(fields.number(std::numeric_limits<AttemptId>::max()));
    return cancel;
}

Result<PartialQueryMessage> decodePartialQueryMessage(std::string_view bytes, const std::string &peer)
{
    FieldReader fields(bytes);
    const std::uint64_t type = fields.number();
    std::optional<PartialQueryMessage> message;
    if (type == static_cast<std::uint64_t>(PartialQueryType::request)) {
        message = readRequest(fields);
    } else if (type == static_cast<std::uint64_t>(PartialQueryType::reply)) {
        message = readReply(fields);
    } else if (type == static_cast<std::uint64_t>(PartialQueryType::cancel)) {
        message = readCancel(fields);
    }
    if (!message || !fields.valid()) {
        return Error{.code = Errc::protocolViolation,
                     .step = "decode-partial-query",
                     .peer = peer,
                     .detail = message ? "a field is missing or out of range" : "unknown message type"};
    }
    return *message;
}

} // namespace ragwort
