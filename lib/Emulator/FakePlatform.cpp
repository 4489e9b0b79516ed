/// \file
/// Implements the HTTP interface of the emulated platform.
#include "ragwortcart/Emulator/FakePlatform.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>
#include <QUrlQuery>

namespace ragwort {

static constexpr std::string_view KEY_PATH = "/v1/kv/";
static constexpr std::string_view LIST_PATH = "/v1/health/service/";
static constexpr std::string_view LEASE_PATH = "/v1/session/";
/// Interval at which watches whose deadline has passed are answered.
static constexpr Duration WATCH_POLL_INTERVAL = std::chrono::milliseconds(200);
static constexpr Duration DEFAULT_WATCH_TIMEOUT = std::chrono::seconds(60);

static HttpResponse jsonResponse(const QJsonDocument &document)
{
    return {.status = 200, .contentType = "application/json", .headers = {}, .body = document.toJson(QJsonDocument::Compact).toStdString()};
}

static HttpResponse plainTextResponse(int status, const std::string &body)
{
    return {.status = status, .contentType = "text/plain", .headers = {}, .body = body};
}

FakePlatform::FakePlatform(EventLoop &eventLoop, const std::string &address, const FleetPlan &plan)
    : loop(eventLoop)
    , server(eventLoop,
             {.address = address,
              .requestLimits = {.maximumBodyBytes = STORE_MAXIMUM_VALUE_BYTES + 1024},
              .maximumConnections = 5000,
              .maximumConnectionsPerAddress = 5000},
             [this](HttpRequest request, const std::shared_ptr<HttpExchange> &exchange) { this->handle(std::move(request), exchange); })
    , watchTimer(eventLoop)
{
    for (const PlannedServer &planned : plan.servers) {
        this->instances.push_back({.service = "ragwort-backend",
                                   .id = planned.id,
                                   .address = planned.address,
                                   .meta = {{"team", planned.team}, {"group", planned.group}, {"service", planned.service}, {"domain", planned.domain}}});
    }
    for (const PlannedEntryInstance &planned : plan.entryInstances) {
        this->instances.push_back({.service = "ragwort-entry",
                                   .id = planned.id,
                                   .address = planned.peerAddress,
                                   .meta = {{"domain", planned.domain}, {"operators", planned.operatorAddress}, {"callers", planned.callerAddress}}});
    }
}

Result<std::uint16_t> FakePlatform::listen()
{
    const Result<std::uint16_t> port = this->server.listen();
    if (port) {
        this->pollWatches();
    }
    return port;
}

FakePlatform::Target FakePlatform::parseTarget(const std::string &target)
{
    const QUrl url = QUrl::fromEncoded(QByteArray::fromStdString(target), QUrl::StrictMode);
    Target parsed{.path = url.path().toStdString(), .query = {}};
    const QUrlQuery query(url);
    for (const auto &[key, value] : query.queryItems(QUrl::FullyDecoded)) {
        parsed.query[key.toStdString()] = value.toStdString();
    }
    return parsed;
}

void FakePlatform::handle(HttpRequest request, const std::shared_ptr<HttpExchange> &exchange)
{
    if (request.target.starts_with("/fake/")) {
        this->serveControlRequest(request, parseTarget(request.target), exchange);
        return;
    }
    if (this->faults.outage) {
        ++this->counts.refusedByOutage;
        // The callback keeps the exchange alive without a response until the client times out and disconnects.
        exchange->onCallerDisconnect([exchange] {});
        return;
    }
    if (this->faults.delay > Duration::zero()) {
        this->loop.callAfter(this->faults.delay, [this, request = std::move(request), exchange] { this->serve(request, exchange); });
        return;
    }
    this->serve(request, exchange);
}

void FakePlatform::serve(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    this->store.expireLeases(steadyNow());
    const Target target = parseTarget(request.target);
    if (target.path.starts_with(LEASE_PATH)) {
        this->serveLease(request, target, exchange);
    } else if (request.method == "GET") {
        this->serveRead(request, target, exchange);
    } else {
        this->serveWrite(request, target, exchange);
    }
}

std::uint64_t FakePlatform::watchedIndex(const Target &target) const
{
    if (target.path.starts_with(LIST_PATH)) {
        return this->listIndex;
    }
    return this->store.indexOf(target.path.substr(KEY_PATH.size()));
}

void FakePlatform::serveRead(const HttpRequest &request, const Target &target, const std::shared_ptr<HttpExchange> &exchange)
{
    ++this->counts.reads;
    // The leading zero makes an empty index zero instead of an exception.
    const auto index = target.query.find("index");
    if (index != target.query.end() && std::stoull('0' + index->second) >= this->watchedIndex(target)) {
        const auto wait = target.query.find("wait");
        const std::optional<Duration> time = wait == target.query.end() ? std::nullopt : parseDuration(wait->second);
        ++this->counts.watches;
        this->watches.push_back({.request = request,
                                 .exchange = exchange,
                                 .index = std::stoull('0' + index->second),
                                 .deadline = steadyNow() + time.value_or(DEFAULT_WATCH_TIMEOUT)});
        return;
    }
    HttpResponse response = plainTextResponse(404, "");
    if (target.path.starts_with(LIST_PATH)) {
        response = this->readInstances(target.path.substr(LIST_PATH.size()));
    } else if (target.path.starts_with(KEY_PATH)) {
        response = this->readKeys(target);
    }
    response.headers.push_back({.name = "X-Consul-Index", .value = std::to_string(this->watchedIndex(target))});
    exchange->respond(std::move(response));
}

HttpResponse FakePlatform::readKeys(const Target &target) const
{
    const std::string key = target.path.substr(KEY_PATH.size());
    std::vector<StoredEntry> found;
    if (target.query.contains("recurse")) {
        found = this->store.list(key);
    } else if (const std::optional<StoredEntry> entry = this->store.get(key)) {
        found.push_back(*entry);
    }
    if (found.empty()) {
        return plainTextResponse(404, "");
    }
    QJsonArray array;
    for (const StoredEntry &entry : found) {
        array.append(QJsonObject{{"Key", QString::fromStdString(entry.key)},
                                 {"Value", QString::fromLatin1(QByteArray::fromStdString(entry.value).toBase64())},
                                 {"CreateIndex", static_cast<qint64>(entry.createIndex)},
                                 {"ModifyIndex", static_cast<qint64>(entry.modifyIndex)},
                                 {"Session", QString::fromStdString(entry.lease)}});
    }
    return jsonResponse(QJsonDocument(array));
}

HttpResponse FakePlatform::readInstances(const std::string &service) const
{
    QJsonArray array;
    for (const ListedInstance &instance : this->instances) {
        if (instance.service != service || instance.state == "gone") {
            continue;
        }
        QJsonObject meta{{"state", QString::fromStdString(instance.state)}};
        for (const auto &[key, value] : instance.meta) {
            meta.insert(QString::fromStdString(key), QString::fromStdString(value));
        }
        const std::size_t colon = instance.address.rfind(':');
        const QJsonObject described{{"ID", QString::fromStdString(instance.id)},
                                    {"Service", QString::fromStdString(instance.service)},
                                    {"Address", QString::fromStdString(instance.address.substr(0, colon))},
                                    {"Port", std::stoi(instance.address.substr(colon + 1))},
                                    {"Meta", meta}};
        array.append(QJsonObject{{"Service", described}});
    }
    return jsonResponse(QJsonDocument(array));
}

void FakePlatform::serveWrite(const HttpRequest &request, const Target &target, const std::shared_ptr<HttpExchange> &exchange)
{
    if (!target.path.starts_with(KEY_PATH)) {
        exchange->respond(plainTextResponse(404, ""));
        return;
    }
    ++this->counts.writes;
    const std::string key = target.path.substr(KEY_PATH.size());
    std::optional<std::uint64_t> expected;
    if (const auto cas = target.query.find("cas"); cas != target.query.end()) {
        expected = std::stoull('0' + cas->second);
    }
    bool written = false;
    if (request.method == "DELETE") {
        written = this->store.remove(key, expected);
    } else if (const auto lease = target.query.find("acquire"); lease != target.query.end()) {
        written = this->store.acquire(key, request.body, lease->second, steadyNow());
    } else {
        written = this->store.put(key, request.body, expected);
    }
    this->respondToWrite(exchange, written);
    this->completeWatches();
}

void FakePlatform::respondToWrite(const std::shared_ptr<HttpExchange> &exchange, bool written)
{
    if (this->faults.writeResponsesToLose > 0) {
        --this->faults.writeResponsesToLose;
        exchange->drop();
        return;
    }
    exchange->respond(plainTextResponse(200, written ? "true" : "false"));
}

void FakePlatform::serveLease(const HttpRequest &request, const Target &target, const std::shared_ptr<HttpExchange> &exchange)
{
    ++this->counts.writes;
    const std::string operation = target.path.substr(LEASE_PATH.size());
    if (operation == "create") {
        const QJsonObject body = QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
        const Duration lifetime = parseDuration(body.value("TTL").toString("10s").toStdString()).value_or(std::chrono::seconds(10));
        const std::string id = this->store.createLease(lifetime, steadyNow());
        exchange->respond(jsonResponse(QJsonDocument(QJsonObject{{"ID", QString::fromStdString(id)}})));
        return;
    }
    const std::size_t slash = operation.find('/');
    const std::string id = slash == std::string::npos ? std::string() : operation.substr(slash + 1);
    if (operation.starts_with("renew/")) {
        exchange->respond(this->store.renewLease(id, steadyNow()) ? plainTextResponse(200, "[]") : plainTextResponse(404, "lapsed"));
        return;
    }
    if (operation.starts_with("destroy/")) {
        this->store.destroyLease(id);
        this->respondToWrite(exchange, true);
        this->completeWatches();
        return;
    }
    exchange->respond(plainTextResponse(404, ""));
}

void FakePlatform::completeWatches()
{
    const Instant now = steadyNow();
    std::list<Watch> ready;
    for (auto watch = this->watches.begin(); watch != this->watches.end();) {
        const bool changed = this->watchedIndex(parseTarget(watch->request.target)) > watch->index;
        const auto current = watch++;
        if (changed || current->deadline <= now) {
            ready.splice(ready.end(), this->watches, current);
        }
    }
    for (Watch &watch : ready) {
        Target target = parseTarget(watch.request.target);
        target.query.erase("index");
        this->serveRead(watch.request, target, watch.exchange);
    }
}

void FakePlatform::pollWatches()
{
    this->completeWatches();
    this->watchTimer.arm(steadyNow() + WATCH_POLL_INTERVAL, [this] { this->pollWatches(); });
}

void FakePlatform::changeInstance(const std::string &id, const std::string &state)
{
    this->loop.callAfter(this->faults.listUpdateDelay, [this, id, state] {
        for (ListedInstance &instance : this->instances) {
            if (instance.id == id) {
                instance.state = state;
            }
        }
        ++this->listIndex;
        this->completeWatches();
    });
}

HttpResponse FakePlatform::reportCounts() const
{
    return jsonResponse(QJsonDocument(QJsonObject{{"reads", static_cast<qint64>(this->counts.reads)},
                                                  {"writes", static_cast<qint64>(this->counts.writes)},
                                                  {"watches", static_cast<qint64>(this->counts.watches)},
                                                  {"refused_by_outage", static_cast<qint64>(this->counts.refusedByOutage)}}));
}

void FakePlatform::serveControlRequest(const HttpRequest &request, const Target &target, const std::shared_ptr<HttpExchange> &exchange)
{
    if (target.path == "/fake/counts") {
        exchange->respond(this->reportCounts());
        return;
    }
    const QJsonObject body = QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
    if (target.path == "/fake/faults") {
        this->faults.outage = body.value("outage").toBool(this->faults.outage);
        this->faults.delay = std::chrono::milliseconds(body.value("delay_ms").toInt(static_cast<int>(toMs(this->faults.delay))));
        this->faults.listUpdateDelay = std::chrono::milliseconds(body.value("list_lag_ms").toInt(static_cast<int>(toMs(this->faults.listUpdateDelay))));
        this->faults.writeResponsesToLose = body.value("lose_write_answers").toInt(this->faults.writeResponsesToLose);
        exchange->respond(plainTextResponse(200, "ok"));
        return;
    }
    if (target.path == "/fake/instance") {
        this->changeInstance(body.value("id").toString().toStdString(), body.value("state").toString().toStdString());
        exchange->respond(plainTextResponse(200, "ok"));
        return;
    }
    exchange->respond(plainTextResponse(404, "unknown control request"));
}

} // namespace ragwort
