/// \file
/// The control thread's work: watches, seat, claims, topology.
#include "ragwortcart/Runtime/ControlPlane.h"

#include "ragwortcart/Support/Hash.h"
#include "ragwortcart/Support/Log.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <unistd.h>

namespace ragwort {

static constexpr Duration TICK_INTERVAL = std::chrono::milliseconds(100);
static constexpr Duration STATUS_POLL_INTERVAL = std::chrono::milliseconds(500);
static constexpr Duration STATUS_TIMEOUT = std::chrono::milliseconds(400);
static constexpr Duration WATCH_RETRY_INTERVAL = std::chrono::milliseconds(250);
static constexpr Duration REBUILD_DELAY = std::chrono::milliseconds(5);
static constexpr Duration SEAT_RETRY_INTERVAL = std::chrono::milliseconds(200);

static int toTimerMs(Duration duration)
{
    return static_cast<int>(std::max<std::int64_t>(toMs(duration), 0));
}

ControlPlane::ControlPlane(const Options &planeOptions)
    : options(planeOptions)
    , platform({.address = planeOptions.platformAddress})
    , directory(planeOptions.instance, planeOptions.domain)
    , seats(planeOptions.instance)
    , claims(planeOptions.instance + '/' + std::to_string(wallClockMs()) + '/' + std::to_string(::getpid()))
    , freshness(planeOptions.domain)
{
    this->claimTimer.setSingleShot(true);
    connect(&this->claimTimer, &QTimer::timeout, this, [this] {
        this->claims.advance(steadyNow(), wallClockMs());
        this->performClaimActions();
    });
    connect(&this->ticker, &QTimer::timeout, this, [this] { this->tick(); });
}

void ControlPlane::setWorkers(const std::vector<Worker *> &all)
{
    this->workers = all;
}

void ControlPlane::start()
{
    this->watchConfiguration(0);
    this->watchInstances("ragwort-backend", 0);
    this->watchInstances("ragwort-entry", 0);
    this->readSeats();
    this->ticker.start(toTimerMs(TICK_INTERVAL));
}

void ControlPlane::submit(ControlRequest request)
{
    QMetaObject::invokeMethod(
        this, [this, request = std::move(request)] { this->handle(request); }, Qt::QueuedConnection);
}

void ControlPlane::toWorkerOf(QueryId query, KernelEvent event)
{
    this->workers[query % this->workers.size()]->postEvent(std::move(event));
}

void ControlPlane::watchConfiguration(std::uint64_t index)
{
    const Instant askedAt = steadyNow();
    const WatchOptions watch{.index = index == 0 ? std::nullopt : std::optional(index)};
    this->platform.read(std::string(CONFIGURATION_PREFIX), true, watch, [this, askedAt, index](const Result<KeyValues> &values) {
        this->onConfiguration(values, askedAt, index);
    });
}

void ControlPlane::onConfiguration(const Result<KeyValues> &values, Instant askedAt, std::uint64_t index)
{
    if (!values) {
        logEvent(LogLevel::debug, "configuration-watch-failed", {{.key = "error", .value = values.error().describe()}});
        QTimer::singleShot(toTimerMs(WATCH_RETRY_INTERVAL), this, [this, index] { this->watchConfiguration(index); });
        return;
    }
    // A watch answers with the state at its end; what it says was current at least when it was asked.
    this->freshness.noteStore(askedAt);
    for (const KeyValue &entry : values->entries) {
        this->offer(entry.key.substr(CONFIGURATION_PREFIX.size()), entry.value, this->options.platformAddress);
    }
    if (values->entries.empty()) {
        QTimer::singleShot(toTimerMs(WATCH_RETRY_INTERVAL), this, [this] { this->watchConfiguration(0); });
        return;
    }
    this->watchConfiguration(values->index);
}

void ControlPlane::offer(const std::string &name, const QByteArray &json, const std::string &source)
{
    Error fault;
    const OfferResult result = this->keeper.offer(name, json, source, &fault);
    if (result == OfferResult::rejected) {
        logEvent(LogLevel::error, "configuration-rejected", {{.key = "document", .value = name}, {.key = "error", .value = fault.describe()}});
        return;
    }
    if (result != OfferResult::applied) {
        return;
    }
    logEvent(
        LogLevel::info,
        "configuration-applied",
        {{.key = "document", .value = name}, {.key = "sequence", .value = std::to_string(this->keeper.sequences()[name])}, {.key = "source", .value = source}});
    this->options.configuration.publish(this->keeper.current());
    this->directory.setConfiguration(this->keeper.current());
    this->rebuild();
}

void ControlPlane::watchInstances(const std::string &service, std::uint64_t index)
{
    const WatchOptions watch{.index = index == 0 ? std::nullopt : std::optional(index), .wait = std::chrono::seconds(5)};
    this->platform.list(service, watch, [this, service, index](const Result<PlatformInstances> &listed) {
        if (!listed) {
            QTimer::singleShot(toTimerMs(WATCH_RETRY_INTERVAL), this, [this, service, index] { this->watchInstances(service, index); });
            return;
        }
        if (service == "ragwort-backend") {
            this->onServers(*listed);
        } else {
            this->onEntries(*listed);
        }
        this->watchInstances(service, listed->index);
    });
}

void ControlPlane::onServers(const PlatformInstances &listed)
{
    std::vector<ListedServer> servers;
    for (const PlatformInstance &instance : listed.instances) {
        servers.push_back({.identity = {.id = instance.id,
                                        .address = instance.address,
                                        .team = instance.metaValue("team"),
                                        .group = instance.metaValue("group"),
                                        .service = instance.metaValue("service"),
                                        .domain = instance.metaValue("domain")},
                           .leaving = instance.metaValue("state") == "leaving"});
    }
    this->listedServers = true;
    if (this->directory.setServers(std::move(servers))) {
        this->nextPoll = {};
        this->rebuild();
    }
}

void ControlPlane::onEntries(const PlatformInstances &listed)
{
    std::vector<ListedEntry> entries;
    std::set<std::string> live;
    std::set<std::string> domains;
    for (const PlatformInstance &instance : listed.instances) {
        entries.push_back({.id = instance.id,
                           .domain = instance.metaValue("domain"),
                           .peerAddress = instance.address,
                           .operatorAddress = instance.metaValue("operators"),
                           .leaving = instance.metaValue("state") == "leaving"});
        live.insert(instance.id);
        domains.insert(instance.metaValue("domain"));
    }
    this->listedEntries = true;
    this->freshness.setDomains(std::move(domains));
    this->seats.noteLiveInstances(live, steadyNow());
    if (this->directory.setEntries(std::move(entries))) {
        this->rebuild();
    }
    this->tryTakeSeat();
}

void ControlPlane::readSeats()
{
    if (this->seatCallRunning) {
        return;
    }
    this->seatCallRunning = true;
    this->platform.read(std::string(SEATS_KEY), false, {.index = std::nullopt}, [this](const Result<KeyValues> &values) {
        this->seatCallRunning = false;
        if (!values) {
            return;
        }
        const bool absent = values->entries.empty();
        const std::optional<SeatTable> table = absent ? SeatTable() : decodeSeats(values->entries.front().value.toStdString());
        if (!table) {
            logEvent(LogLevel::error, "seat-table-unreadable", {{.key = "peer", .value = this->options.platformAddress}});
            return;
        }
        const int before = this->seats.seat();
        this->seats.noteTable(*table, absent ? 0 : values->entries.front().modifyIndex);
        if (this->seats.seat() != before) {
            logEvent(LogLevel::info, "seat", {{.key = "number", .value = std::to_string(this->seats.seat())}});
        }
        this->rebuild();
        this->tryTakeSeat();
    });
}

void ControlPlane::tryTakeSeat()
{
    const std::optional<SeatWrite> write = this->seats.wantedWrite(this->keeper.current()->tier.maximumInstances, steadyNow());
    if (!write || this->seatCallRunning || this->keeper.current()->tier.sequence == 0) {
        return;
    }
    this->seatCallRunning = true;
    this->platform.write(std::string(SEATS_KEY), QByteArray::fromStdString(write->value), write->expectedIndex, [this](StoreWriteOutcome) {
        // Whatever the outcome, the table tells who holds which seat.
        this->seatCallRunning = false;
        this->readSeats();
    });
}

void ControlPlane::release(const std::function<void()> &done)
{
    const std::optional<SeatWrite> write = this->seats.releaseWrite();
    if (!write) {
        done();
        return;
    }
    this->platform.write(std::string(SEATS_KEY), QByteArray::fromStdString(write->value), write->expectedIndex, [done](StoreWriteOutcome) { done(); });
}

void ControlPlane::pollServers()
{
    const Instant now = steadyNow();
    if (now < this->nextPoll || this->workers.empty()) {
        return;
    }
    this->nextPoll = now + STATUS_POLL_INTERVAL;
    for (const auto &[id, record] : this->options.topology.load()->servers) {
        Worker *worker = this->workers[stableHash(id) % this->workers.size()];
        worker->post([this, worker, address = record->identity.address] {
            const Instant askedAt = steadyNow();
            worker->fetchStatus(address, STATUS_TIMEOUT, [this, askedAt](const Result<ServerStatus> &status) {
                if (status) {
                    QMetaObject::invokeMethod(
                        this, [this, askedAt, known = *status] { this->onStatus(known, askedAt); }, Qt::QueuedConnection);
                }
            });
        });
    }
}

void ControlPlane::onStatus(const ServerStatus &status, Instant observedAt)
{
    if (this->directory.noteStatus(status, observedAt)) {
        this->scheduleRebuild();
    }
}

void ControlPlane::scheduleRebuild()
{
    if (this->rebuildScheduled) {
        return;
    }
    this->rebuildScheduled = true;
    QTimer::singleShot(toTimerMs(REBUILD_DELAY), this, [this] {
        this->rebuildScheduled = false;
        this->rebuild();
    });
}

void ControlPlane::rebuild()
{
    this->directory.setSeat(this->seats.seat(), this->keeper.current()->tier.maximumInstances);
    this->directory.setSeatHolders(this->seats.holders());
    this->options.topology.publish(this->directory.build());
    this->updateReadiness();
}

void ControlPlane::updateReadiness()
{
    const std::shared_ptr<const Topology> topology = this->options.topology.load();
    const std::shared_ptr<const Configuration> &configuration = this->keeper.current();
    bool complete = this->listedServers && this->listedEntries && this->seats.seat() >= 0 && !configuration->teams.empty();
    for (const auto &[name, team] : configuration->teams) {
        for (const BackendGroup &group : team.groups) {
            const GroupTopology *known = topology->findGroup(name, group.name);
            const auto usable = [](const ServerRecord &server) { return !server.hasBarrier(); };
            const std::optional<SnapshotPlan> plan = known == nullptr ? std::nullopt : chooseSnapshot(*known, usable, {});
            complete = complete && plan && plan->missing.empty();
        }
    }
    // Once ready, an instance stays so: with less than all data it still serves what it can.
    if (complete && !this->isReady.exchange(true)) {
        logEvent(LogLevel::info, "ready", {{.key = "seat", .value = std::to_string(this->seats.seat())}});
    }
}

void ControlPlane::tick()
{
    const Instant now = steadyNow();
    if (this->directory.setCrossDomainAllowed(this->freshness.mayCrossDomains(now))) {
        logEvent(LogLevel::warning,
                 "cross-domain-work",
                 {{.key = "allowed", .value = this->freshness.mayCrossDomains(now) ? "true" : "false"},
                  {.key = "configuration_age_ms", .value = std::to_string(toMs(std::min(this->freshness.age(now), Duration(std::chrono::hours(24)))))}});
        this->rebuild();
    }
    this->pollServers();
    static constexpr int TICKS_PER_SEAT_READ = 20;
    static_assert(TICKS_PER_SEAT_READ * TICK_INTERVAL >= SEAT_RETRY_INTERVAL);
    if (++this->tickCount % TICKS_PER_SEAT_READ == 0 || this->seats.seat() < 0) {
        this->readSeats();
    }
}

void ControlPlane::handle(const ControlRequest &request)
{
    const Instant now = steadyNow();
    if (const auto *claim = std::get_if<RequestClaim>(&request)) {
        this->claims.request(*claim, now, wallClockMs());
    } else if (const auto *outcome = std::get_if<RecordClaimOutcome>(&request)) {
        this->claims.recordOutcome(*outcome, now, wallClockMs());
    } else if (const auto *accusation = std::get_if<AccuseContent>(&request)) {
        this->accuse(*accusation);
        return;
    } else {
        return;
    }
    this->performClaimActions();
}

void ControlPlane::accuse(const AccuseContent &accusation)
{
    const int accused = this->options.suspects.accuse(accusation.fingerprint, accusation.serverId, steadyNow());
    logEvent(LogLevel::warning,
             "content-accused",
             {{.key = "fingerprint", .value = toHex(accusation.fingerprint)},
              {.key = "server", .value = accusation.serverId},
              {.key = "servers_lost", .value = std::to_string(accused)}});
    this->toWorkerOf(accusation.query, AccusationSpread{.query = accusation.query, .fingerprint = accusation.fingerprint, .accusedServers = accused});
}

void ControlPlane::performClaimActions()
{
    for (const ClaimAction &action : this->claims.takeActions()) {
        if (const auto *read = std::get_if<ReadBucket>(&action)) {
            this->readBucket(read->bucket);
        } else if (const auto *write = std::get_if<WriteBucket>(&action)) {
            this->writeBucket(*write);
        } else {
            const ClaimDecided &decided = std::get<DeliverClaim>(action).decided;
            this->toWorkerOf(decided.query, decided);
        }
    }
    if (const std::optional<Instant> next = this->claims.nextWakeup()) {
        this->claimTimer.start(toTimerMs(*next - steadyNow()) + 1);
    }
}

static std::string bucketKey(int bucket)
{
    return std::string(CLAIMS_PREFIX) + std::to_string(bucket);
}

void ControlPlane::readBucket(int bucket)
{
    this->platform.read(bucketKey(bucket), false, {.index = std::nullopt}, [this, bucket](const Result<KeyValues> &values) {
        std::optional<ClaimBook::BucketContent> content;
        if (values) {
            const bool absent = values->entries.empty();
            content = absent ? ClaimBook::BucketContent{}
                             : ClaimBook::BucketContent{.json = values->entries.front().value.toStdString(), .index = values->entries.front().modifyIndex};
        }
        this->claims.onBucketRead(bucket, content, steadyNow(), wallClockMs());
        this->performClaimActions();
    });
}

void ControlPlane::writeBucket(const WriteBucket &write)
{
    const auto onWritten = [this, bucket = write.bucket](StoreWriteOutcome outcome) {
        BucketWriteOutcome translated = BucketWriteOutcome::unknown;
        if (outcome == StoreWriteOutcome::written) {
            translated = BucketWriteOutcome::written;
        } else if (outcome == StoreWriteOutcome::conflict) {
            translated = BucketWriteOutcome::conflict;
        }
        this->claims.onBucketWritten(bucket, translated, steadyNow(), wallClockMs());
        this->performClaimActions();
    };
    this->platform.write(bucketKey(write.bucket), QByteArray::fromStdString(write.value), write.expectedIndex, onWritten);
}

static QJsonObject dumpServer(const ServerRecord &record, Instant now)
{
    return {{"domain", QString::fromStdString(record.identity.domain)},
            {"barriers", static_cast<int>(record.barriers.load())},
            {"in_flight", record.inFlight.load()},
            {"share", record.warmShare.load()},
            {"cold", record.cold.load()},
            {"cold_share", record.coldShare.load()},
            {"cold_owner", record.coldOwner.load()},
            {"warm_up_level", record.warmUpLevel.load()},
            {"latency_us", static_cast<qint64>(record.latencyUs.load())},
            {"ejected", record.isEjected(now)},
            {"sent", static_cast<qint64>(record.sent.load())},
            {"failed", static_cast<qint64>(record.failed.load())}};
}

QJsonObject ControlPlane::dump() const
{
    const Instant now = steadyNow();
    QJsonObject documents;
    for (const auto &[name, sequence] : this->keeper.sequences()) {
        documents.insert(QString::fromStdString(name), static_cast<qint64>(sequence));
    }
    QJsonObject servers;
    for (const auto &[id, record] : this->options.topology.load()->servers) {
        servers.insert(QString::fromStdString(id), dumpServer(*record, now));
    }
    const ClaimBookStatus claimStatus = this->claims.status();
    const QJsonObject claimObject{{"granted", static_cast<qint64>(claimStatus.granted)},
                                  {"refused", static_cast<qint64>(claimStatus.refused)},
                                  {"writes", static_cast<qint64>(claimStatus.writes)},
                                  {"reads", static_cast<qint64>(claimStatus.reads)},
                                  {"conflicts", static_cast<qint64>(claimStatus.conflicts)},
                                  {"unknown_writes", static_cast<qint64>(claimStatus.unknownWrites)},
                                  {"open", static_cast<qint64>(claimStatus.open)}};
    const Duration age = std::min(this->freshness.age(now), Duration(std::chrono::hours(24)));
    return {{"instance", QString::fromStdString(this->options.instance)},
            {"domain", QString::fromStdString(this->options.domain)},
            {"ready", this->ready()},
            {"seat", this->seats.seat()},
            {"documents", documents},
            {"configuration_age_ms", static_cast<qint64>(toMs(age))},
            {"cross_domain_work", this->freshness.mayCrossDomains(now)},
            {"store_calls", static_cast<qint64>(this->platform.calls())},
            {"claims", claimObject},
            {"servers", servers}};
}

} // namespace ragwort
