/// \file
/// Implements the fleet of emulated servers and its control requests.
#include "ragwortcart/Emulator/FakeBackend.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

namespace ragwort {

/// Number of snapshots that a server retains, including the newest.
static constexpr std::size_t KEPT_SNAPSHOTS = 2;
/// Number of steps into which the width of a shard is divided when the shard boundaries move.
static constexpr int SHIFT_STEPS = 8;

FakeIndex::FakeIndex(const PlannedGroup &group) : services(group.services), documents(group.documents)
{
}

ServerSnapshot FakeIndex::shard(SnapshotId snapshot, int service) const
{
    const auto found = this->shifts.find(snapshot);
    const int shift = found == this->shifts.end() ? 0 : found->second;
    const DocumentKey width = KEY_SPACE_END / static_cast<DocumentKey>(this->services);
    const auto boundary = [this, width, shift](int index) {
        if (index <= 0) {
            return DocumentKey{0};
        }
        if (index >= this->services) {
            return KEY_SPACE_END;
        }
        return width * static_cast<DocumentKey>(index) + width / SHIFT_STEPS * static_cast<DocumentKey>(shift);
    };
    const KeyRange range{.begin = boundary(service), .end = boundary(service + 1)};
    return {.id = snapshot, .range = range, .documents = countDocuments(range, this->documents), .totalDocuments = this->documents};
}

SnapshotId FakeIndex::publish(bool repartition)
{
    const int previous = this->shifts[this->lastSnapshot];
    ++this->lastSnapshot;
    this->shifts[this->lastSnapshot] = repartition ? (previous + 1) % (SHIFT_STEPS / 2) : previous;
    return this->lastSnapshot;
}

FakeBackendFleet::FakeBackendFleet(EventLoop &eventLoop, const Options &options)
    : loop(eventLoop)
    , plan(options.plan)
    , control(eventLoop, {.address = options.controlAddress}, [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
        this->handleControlRequest(request, exchange);
    })
{
    for (const PlannedGroup &group : this->plan.groups) {
        this->indexes.emplace_back(group);
    }
    std::uint64_t seed = options.seed;
    for (const PlannedServer &planned : this->plan.servers) {
        auto server = std::make_unique<FakeServer>(this->loop, planned, this->plan.groups[planned.groupIndex], ++seed);
        server->setSnapshots({this->indexes[planned.groupIndex].shard(1, planned.serviceIndex)});
        this->servers.push_back(std::move(server));
    }
}

Result<std::uint16_t> FakeBackendFleet::start()
{
    for (const auto &server : this->servers) {
        const Result<std::uint16_t> port = server->start();
        if (!port) {
            return port;
        }
    }
    return this->control.listen();
}

void FakeBackendFleet::stop()
{
    for (const auto &server : this->servers) {
        server->stop();
    }
    this->control.abort();
}

/// Returns whether \p pattern is "*" or the name of the server, its failure domain, its service or its group.
static bool matches(const PlannedServer &server, const std::string &pattern)
{
    return pattern == "*" || server.id == pattern || server.domain == pattern || server.service == pattern || server.group == pattern;
}

static void applyFaultsToServer(FakeServer &server, const QJsonObject &parameters)
{
    BackendFaults &faults = server.faults;
    faults.slowFactor = parameters.value("slow_factor").toDouble(faults.slowFactor);
    faults.stragglerShare = parameters.value("straggler_share").toDouble(faults.stragglerShare);
    faults.closeAfterRead = parameters.value("close_after_read").toInt(faults.closeAfterRead);
    faults.frozen = parameters.value("frozen").toBool(faults.frozen);
    faults.shedAll = parameters.value("shed").toBool(faults.shedAll);
    faults.misreportsStatus = parameters.value("lying").toBool(faults.misreportsStatus);
    faults.draining = parameters.value("draining").toBool(faults.draining);
    if (parameters.value("silence").toBool()) {
        faults.silentConnections = server.acceptedConnections();
    }
    if (parameters.contains("crash_ms")) {
        server.crash(std::chrono::milliseconds(parameters.value("crash_ms").toInt()));
    }
    if (parameters.contains("cold")) {
        server.resetToCold(parameters.value("cold").toString() != "unannounced");
    }
}

std::string FakeBackendFleet::applyFaults(const std::string &json)
{
    const QJsonObject parameters = QJsonDocument::fromJson(QByteArray::fromStdString(json)).object();
    const std::string pattern = parameters.value("match").toString().toStdString();
    // Selects every n-th matching server, so that a fault affects only a fraction of the fleet.
    const int every = std::max(parameters.value("every").toInt(1), 1);
    int matched = 0;
    int applied = 0;
    for (const auto &server : this->servers) {
        if (matches(server->planned, pattern) && matched++ % every == 0) {
            applyFaultsToServer(*server, parameters);
            ++applied;
        }
    }
    return R"({"servers":)" + std::to_string(applied) + '}';
}

std::string FakeBackendFleet::publishSnapshot(const std::string &json)
{
    const QJsonObject parameters = QJsonDocument::fromJson(QByteArray::fromStdString(json)).object();
    const std::string name = parameters.value("group").toString().toStdString();
    const bool repartition = parameters.value("repartition").toBool();
    // Limit for the servers per shard that hold the new snapshot after this request. A request with "continue" creates no snapshot
    // and publishes the newest one to more servers.
    const int replicas = parameters.value("replicas").toInt(1000);
    SnapshotId published = 0;
    for (std::size_t index = 0; index < this->indexes.size(); ++index) {
        if (this->plan.groups[index].name != name) {
            continue;
        }
        FakeIndex &fakeIndex = this->indexes[index];
        published = parameters.value("continue").toBool() ? fakeIndex.newest() : fakeIndex.publish(repartition);
        std::map<int, int> served;
        for (const auto &server : this->servers) {
            if (server->planned.groupIndex != index || served[server->planned.serviceIndex]++ >= replicas) {
                continue;
            }
            std::vector<ServerSnapshot> held = server->status().snapshots;
            if (!held.empty() && held.back().id == published) {
                continue;
            }
            held.push_back(fakeIndex.shard(published, server->planned.serviceIndex));
            if (held.size() > KEPT_SNAPSHOTS) {
                held.erase(held.begin());
            }
            server->setSnapshots(std::move(held));
        }
    }
    return R"({"snapshot":)" + std::to_string(published) + '}';
}

std::string FakeBackendFleet::describeCounts() const
{
    QJsonArray array;
    for (const auto &server : this->servers) {
        const BackendCounts counts = server->currentCounts();
        int duplicates = 0;
        for (const auto &[key, runs] : server->actionRuns) {
            duplicates += runs - 1;
        }
        array.append(QJsonObject{{"server", QString::fromStdString(server->planned.id)},
                                 {"domain", QString::fromStdString(server->planned.domain)},
                                 {"group", QString::fromStdString(server->planned.group)},
                                 {"received", static_cast<qint64>(counts.received)},
                                 {"executed", static_cast<qint64>(counts.executed)},
                                 {"shed", static_cast<qint64>(counts.shed)},
                                 {"cancelled", static_cast<qint64>(counts.cancelled)},
                                 {"crashes", static_cast<qint64>(counts.crashes)},
                                 {"refused_connections", static_cast<qint64>(counts.refusedConnections)},
                                 {"most_connections", static_cast<qint64>(counts.peakConnections)},
                                 {"most_while_cold", counts.peakRequestsWhileCold},
                                 {"received_while_draining", static_cast<qint64>(counts.receivedWhileDraining)},
                                 {"actions", static_cast<qint64>(server->actionRuns.size())},
                                 {"duplicate_actions", duplicates}});
    }
    return QJsonDocument(array).toJson(QJsonDocument::Compact).toStdString();
}

void FakeBackendFleet::handleControlRequest(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    if (request.target == "/fake/counts") {
        exchange->respond({.status = 200, .headers = {}, .body = this->describeCounts()});
        return;
    }
    if (request.target == "/fake/faults") {
        exchange->respond({.status = 200, .headers = {}, .body = this->applyFaults(request.body)});
        return;
    }
    if (request.target == "/fake/snapshot") {
        exchange->respond({.status = 200, .headers = {}, .body = this->publishSnapshot(request.body)});
        return;
    }
    if (request.target == "/fake/actions") {
        QJsonObject runs;
        for (const auto &server : this->servers) {
            for (const auto &[key, count] : server->actionRuns) {
                const QString name = QString::fromStdString(key);
                runs.insert(name, runs.value(name).toInt() + count);
            }
        }
        exchange->respond({.status = 200, .headers = {}, .body = QJsonDocument(runs).toJson(QJsonDocument::Compact).toStdString()});
        return;
    }
    exchange->respond({.status = 404, .headers = {}, .body = "{}"});
}

} // namespace ragwort
