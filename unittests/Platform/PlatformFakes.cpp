/// \file
/// Implements the platform fakes.
#include "PlatformFakes.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <cctype>

namespace ragwort::platform {

static std::string queryValue(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

FakeMetadataStore::FakeMetadataStore(EventLoop &eventLoop)
    : loop(eventLoop), server(eventLoop, {.address = "127.0.0.1:0"}, [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
        this->handle(request, exchange);
    })
{
}

void FakeMetadataStore::answer(HttpExchange &exchange, int status, const QJsonObject &object) const
{
    HttpResponse response{.status = status, .headers = {}, .body = QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString()};
    if (!this->statedEpoch.empty()) {
        response.headers.push_back({.name = "Store-Era", .value = this->statedEpoch});
    }
    exchange.respond(response);
}

void FakeMetadataStore::keepCopy()
{
    this->copy = {.items = this->items, .changes = this->changes, .leases = this->leases, .revision = this->revision, .lastLease = this->lastLease};
}

void FakeMetadataStore::restoreCopy()
{
    this->items = this->copy.items;
    this->changes = this->copy.changes;
    this->leases = this->copy.leases;
    this->revision = this->copy.revision;
    this->lastLease = this->copy.lastLease;
    if (!this->statedEpoch.empty()) {
        this->statedEpoch = std::to_string(std::stoull(this->statedEpoch) + 1);
    }
    for (const Watch &watch : std::exchange(this->watches, {})) {
        watch.exchange->drop();
    }
}

void FakeMetadataStore::put(const std::string &key, const std::string &value, std::uint64_t lease)
{
    this->items[key] = {.value = value, .revision = ++this->revision, .lease = lease};
    this->changes.push_back({.revision = this->revision, .key = key});
    this->notifyWatches();
}

void FakeMetadataStore::remove(const std::string &key)
{
    if (this->items.erase(key) == 0) {
        return;
    }
    this->changes.push_back({.revision = ++this->revision, .key = key, .deleted = true});
    this->notifyWatches();
}

void FakeMetadataStore::compact()
{
    this->changes.clear();
    this->oldestRevision = this->revision;
    for (const Watch &watch : std::exchange(this->watches, {})) {
        watch.exchange->drop();
    }
}

std::size_t FakeMetadataStore::count(const std::string &prefix) const
{
    return static_cast<std::size_t>(
        std::count_if(this->items.begin(), this->items.end(), [&prefix](const auto &item) { return item.first.starts_with(prefix); }));
}

QJsonObject FakeMetadataStore::itemObject(const std::string &key, const Item &item) const
{
    return {{"key", QString::fromStdString(key)},
            {"value", QString::fromLatin1(QByteArray::fromStdString(item.value).toBase64())},
            {"revision", static_cast<qint64>(item.revision)},
            {"created", static_cast<qint64>(item.revision)},
            {"lease", static_cast<qint64>(item.lease)}};
}

std::optional<std::string> FakeMetadataStore::decodeQueryText(std::string_view text) const
{
    std::string decoded;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char octet = text[position];
        if (octet == '+' && this->queryDecoding == QueryDecoding::form) {
            decoded += ' ';
            continue;
        }
        if (octet != '%') {
            decoded += octet;
            continue;
        }
        const std::string digits(text.substr(position + 1, 2));
        if (digits.size() < 2 || std::isxdigit(static_cast<unsigned char>(digits[0])) == 0 || std::isxdigit(static_cast<unsigned char>(digits[1])) == 0) {
            return std::nullopt;
        }
        decoded += static_cast<char>(std::stoi(digits, nullptr, 16));
        position += 2;
    }
    return decoded;
}

std::optional<FakeMetadataStore::Query> FakeMetadataStore::parseQuery(const std::string &target) const
{
    Query query;
    const std::size_t questionMark = target.find('?');
    std::string_view rest = questionMark == std::string::npos ? std::string_view() : std::string_view(target).substr(questionMark + 1);
    while (!rest.empty()) {
        const std::string_view field = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(field.size() + 1, rest.size()));
        const std::size_t equals = std::min(field.find('='), field.size());
        const std::optional<std::string> name = this->decodeQueryText(field.substr(0, equals));
        const std::optional<std::string> value = this->decodeQueryText(field.substr(std::min(equals + 1, field.size())));
        if (!name || !value) {
            return std::nullopt;
        }
        query[*name] = *value;
    }
    return query;
}

void FakeMetadataStore::handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    ++this->calls;
    if (this->faultMode == FaultMode::unresponsive) {
        return;
    }
    if (this->faultMode == FaultMode::refusesRequests) {
        this->answer(*exchange, 503, {});
        return;
    }
    const std::string path = request.target.substr(0, request.target.find('?'));
    const std::optional<Query> query = this->parseQuery(request.target);
    if (!query) {
        this->answer(*exchange, 400, {});
    } else if (path == "/kv-range") {
        this->answerRange(*query, exchange);
    } else if (path == "/kv-watch") {
        this->answerWatch(*query, exchange);
    } else if (path == "/kv-txn") {
        this->answerTransaction(request.body, exchange);
    } else if (path == "/kv-lease") {
        this->leases.insert(++this->lastLease);
        this->answer(*exchange, 200, {{"lease", static_cast<qint64>(this->lastLease)}, {"ttl_ms", 10000}});
    } else if (path.starts_with("/kv-keep/")) {
        const bool leaseExists = this->leases.contains(std::stoull(path.substr(9)));
        this->answer(*exchange, leaseExists ? 200 : 404, {{"ttl_ms", 10000}});
    } else if (path.starts_with("/kv-lease-end/")) {
        const std::uint64_t lease = std::stoull(path.substr(14));
        this->leases.erase(lease);
        std::vector<std::string> ended;
        for (const auto &[key, item] : this->items) {
            if (item.lease == lease) {
                ended.push_back(key);
            }
        }
        for (const std::string &key : ended) {
            this->remove(key);
        }
        this->answer(*exchange, 200, {});
    } else {
        this->answer(*exchange, 404, {});
    }
}

void FakeMetadataStore::answerRange(const Query &query, const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string prefix = queryValue(query, "prefix");
    const bool repeats = this->faultMode == FaultMode::repeatsFirstPage;
    const std::string after = queryValue(query, "after");
    this->lists += after.empty() ? 1 : 0;
    const bool stale = this->staleReads && queryValue(query, "serializable") == "1";
    const std::map<std::string, Item> &contents = stale ? this->copy.items : this->items;
    QJsonArray page;
    bool more = repeats;
    for (auto item = contents.upper_bound(repeats ? std::string() : after); item != contents.end(); ++item) {
        if (!item->first.starts_with(prefix)) {
            continue;
        }
        if (page.size() == this->pageSize) {
            more = true;
            break;
        }
        page.append(this->itemObject(item->first, item->second));
    }
    this->answer(*exchange, 200, {{"items", page}, {"has_more", more}, {"current_rev", static_cast<qint64>(this->revision)}});
}

void FakeMetadataStore::answerWatch(const Query &query, const std::shared_ptr<HttpExchange> &exchange)
{
    const Watch watch{
        .prefix = queryValue(query, "prefix"), .after = std::stoull(queryValue(query, "after")), .exchange = exchange, .number = ++this->lastWatchNumber};
    if (watch.after < this->oldestRevision || watch.after > this->revision) {
        this->answer(*exchange, 410, {});
        return;
    }
    if (this->tryAnswerWatch(watch)) {
        return;
    }
    this->watches.push_back(watch);
    const Duration wait = std::chrono::milliseconds(std::stoll(queryValue(query, "wait_ms")));
    // The store may be destroyed before the wait is over.
    this->loop.callAfter(wait, [this, lifetime = std::weak_ptr<const bool>(this->alive), number = watch.number] {
        if (lifetime.expired()) {
            return;
        }
        const auto found = std::find_if(this->watches.begin(), this->watches.end(), [number](const Watch &each) { return each.number == number; });
        if (found != this->watches.end()) {
            this->answer(*found->exchange, 200, {{"events", QJsonArray()}, {"current_rev", static_cast<qint64>(this->revision)}});
            this->watches.erase(found);
        }
    });
}

bool FakeMetadataStore::tryAnswerWatch(const Watch &watch) const
{
    QJsonArray events;
    for (const Change &change : this->changes) {
        if (change.revision <= watch.after || !change.key.starts_with(watch.prefix)) {
            continue;
        }
        const auto item = this->items.find(change.key);
        if (change.deleted) {
            events.append(QJsonObject{{"key", QString::fromStdString(change.key)}, {"revision", static_cast<qint64>(change.revision)}, {"deleted", true}});
        } else if (item != this->items.end() && item->second.revision == change.revision) {
            events.append(this->itemObject(change.key, item->second));
        }
    }
    if (events.isEmpty()) {
        return false;
    }
    this->answer(*watch.exchange, 200, {{"events", events}, {"current_rev", static_cast<qint64>(this->revision)}});
    return true;
}

void FakeMetadataStore::notifyWatches()
{
    if (this->faultMode == FaultMode::none) {
        std::erase_if(this->watches, [this](const Watch &watch) { return this->tryAnswerWatch(watch); });
    }
}

void FakeMetadataStore::answerTransaction(const std::string &body, const std::shared_ptr<HttpExchange> &exchange)
{
    const QJsonObject transaction = QJsonDocument::fromJson(QByteArray::fromStdString(body)).object();
    for (const QJsonValue &each : transaction.value("puts").toArray()) {
        const QJsonObject item = each.toObject();
        const std::string key = item.value("key").toString().toStdString();
        const auto lease = static_cast<std::uint64_t>(item.value("lease").toInteger());
        if (key.starts_with("op/") || key.starts_with("servers/")) {
            this->answer(*exchange, 403, {});
            return;
        }
        if (lease != 0 && !this->leases.contains(lease)) {
            this->answer(*exchange, 404, {});
            return;
        }
        this->put(key, QByteArray::fromBase64(item.value("value").toString().toLatin1()).toStdString(), lease);
    }
    this->answer(*exchange, 200, {{"revision", static_cast<qint64>(this->revision)}});
}

FakeBackendServer::FakeBackendServer(EventLoop &eventLoop, std::string serverId)
    : id(std::move(serverId)), server(eventLoop, {.address = "127.0.0.1:0"}, [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
        this->handle(request, exchange);
    })
{
}

void FakeBackendServer::handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    this->lastRequest = request;
    HttpResponse response{.status = 200, .contentType = "application/octet-stream", .headers = {}, .body = std::string(16, this->id.back())};
    const std::string requestId(request.header("X-Request-Id"));
    response.headers.push_back({.name = "X-Request-Id", .value = this->faultMode == FaultMode::mismatchedRequestId ? "another" : requestId});
    if (this->faultMode != FaultMode::missingSignature) {
        const char *suffix = this->faultMode == FaultMode::signatureWithComma ? ", another" : "";
        response.headers.push_back({.name = "X-Server-Stamp", .value = this->id + "." + requestId + suffix});
    }
    response.headers.push_back({.name = "X-Server-Load", .value = "1,0,2"});
    switch (this->faultMode) {
    case FaultMode::shedsLoad:
        exchange->respond({.status = 503, .headers = {{.name = "X-Not-Run", .value = "1"}}, .body = {}});
        return;
    case FaultMode::misdirected:
        exchange->respond({.status = 421, .headers = {{.name = "X-Instance-Id", .value = "other"}}, .body = {}});
        return;
    case FaultMode::unresponsive:
        ++this->runs;
        exchange->onCallerDisconnect([this] { ++this->abandoned; });
        this->heldExchanges.push_back(exchange);
        return;
    case FaultMode::dropsConnection:
        ++this->runs;
        exchange->drop();
        return;
    case FaultMode::serverError:
        response.status = 500;
        break;
    default:
        break;
    }
    ++this->runs;
    exchange->respond(response);
}

} // namespace ragwort::platform
