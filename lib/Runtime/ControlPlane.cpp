/// \file
/// Implements the core of the control thread: start-up, status polls, topology rebuilds, readiness and worker requests.
#include "ragwortcart/Runtime/ControlPlane.h"

#include "ControlTimers.h"
#include "ragwortcart/Support/Hash.h"
#include "ragwortcart/Support/Log.h"

#include <algorithm>
#include <unistd.h>

namespace ragwort {

ControlPlane::ControlPlane(const Options &controlOptions)
    : options(controlOptions)
    , platform({.address = controlOptions.platformAddress})
    , directory(controlOptions.instance, controlOptions.domain)
    , ordinals(controlOptions.instance)
    // The name must be unique among all processes that ever run, also after a restart of the instance.
    , claims(controlOptions.instance + '/' + std::to_string(wallClockMs()) + '/' + std::to_string(::getpid()))
    , freshness(controlOptions.domain)
    , exchange({.instance = controlOptions.instance,
                .domain = controlOptions.domain,
                .configurationManager = this->configurationManager,
                .directory = this->directory,
                .freshness = this->freshness,
                .quarantineList = controlOptions.quarantineList})
    , links({controlOptions.instance, controlOptions.peersAddress}, this->makeLinkHandlers())
{
    this->claimTimer.setSingleShot(true);
    connect(&this->claimTimer, &QTimer::timeout, this, [this] {
        this->claims.advance(steadyNow(), wallClockMs());
        this->performClaimActions();
    });
    connect(&this->tickTimer, &QTimer::timeout, this, [this] { this->tick(); });
}

void ControlPlane::setWorkers(const std::vector<Worker *> &all)
{
    this->workers = all;
}

Result<bool> ControlPlane::start()
{
    const std::string listenError = this->links.start();
    if (!listenError.empty()) {
        return Error{.code = Errc::connectFailed, .step = "listen", .peer = this->options.peersAddress, .detail = listenError};
    }
    this->watchConfiguration(0);
    this->watchInstances("ragwort-backend", 0);
    this->watchInstances("ragwort-entry", 0);
    this->refreshOrdinals();
    this->tickTimer.start(toTimerMs(TICK_INTERVAL));
    return true;
}

void ControlPlane::submit(ControlRequest request)
{
    QMetaObject::invokeMethod(
        this, [this, request = std::move(request)] { this->handle(request); }, Qt::QueuedConnection);
}

void ControlPlane::postToQueryOwner(QueryId query, KernelEvent event)
{
    this->workers[query % this->workers.size()]->postEvent(std::move(event));
}

void ControlPlane::pollServers()
{
    const Instant now = steadyNow();
    if (now < this->nextStatusPoll || this->workers.empty()) {
        return;
    }
    this->nextStatusPoll = now + STATUS_POLL_INTERVAL;
    for (const std::shared_ptr<ServerRecord> &record : this->directory.serversToPoll()) {
        this->pollServer(*record);
    }
    // The statuses of the other servers come from peers; a server whose status is out of date is polled directly.
    for (const auto &[id, record] : this->options.topology.load()->servers) {
        const auto observed = this->directory.statuses().find(id);
        if (observed == this->directory.statuses().end() || now - observed->second.observedAt > STATUS_STALE_TIMEOUT) {
            this->pollServer(*record);
        }
    }
}

void ControlPlane::pollServer(const ServerRecord &record)
{
    Worker *worker = this->workers[stableHash(record.identity.id) % this->workers.size()];
    worker->post([this, worker, address = record.identity.address] {
        const Instant requestedAt = steadyNow();
        worker->fetchStatus(address, STATUS_TIMEOUT, [this, requestedAt](const Result<ServerStatus> &status) {
            if (status) {
                QMetaObject::invokeMethod(
                    this, [this, requestedAt, polled = *status] { this->onStatus(polled, requestedAt); }, Qt::QueuedConnection);
            }
        });
    });
}

void ControlPlane::onStatus(const ServerStatus &status, Instant observedAt)
{
    const bool changed = this->directory.recordStatus(status, observedAt);
    this->exchange.onPolledStatus(status, observedAt, changed);
    if (changed) {
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
    this->options.topology.publish(this->directory.build(this->ordinals, steadyNow()));
    this->updateReadiness();
}

void ControlPlane::updateReadiness()
{
    const std::shared_ptr<const Topology> topology = this->options.topology.load();
    const std::shared_ptr<const Configuration> &configuration = this->configurationManager.current();
    bool complete = this->serversListed && this->entryInstancesListed && this->ordinals.ordinal() >= 0 && !configuration->teams.empty();
    for (const auto &[name, team] : configuration->teams) {
        for (const BackendGroup &group : team.groups) {
            const GroupTopology *known = topology->findGroup(name, group.name);
            const auto usable = [](const ServerRecord &server) { return !server.isExcluded(); };
            const std::optional<SnapshotPlan> plan = known == nullptr ? std::nullopt : chooseSnapshot(*known, usable, {});
            complete = complete && plan && plan->missing.empty();
        }
    }
    // Readiness is never revoked: with incomplete data the instance still serves partial results.
    if (complete && !this->isReady.exchange(true)) {
        logEvent(LogLevel::info, "ready", {{.key = "seat", .value = std::to_string(this->ordinals.ordinal())}});
    }
}

void ControlPlane::tick()
{
    const Instant now = steadyNow();
    this->directory.setCrossDomainUntil(this->freshness.crossDomainsUntil());
    if (this->directory.setCrossDomainAllowed(this->freshness.mayCrossDomains(now))) {
        logEvent(LogLevel::warning,
                 "cross-domain-work",
                 {{.key = "allowed", .value = this->freshness.mayCrossDomains(now) ? "true" : "false"},
                  {.key = "configuration_age_ms", .value = std::to_string(toMs(std::min(this->freshness.age(now), Duration(std::chrono::hours(24)))))}});
        this->rebuild();
    }
    this->pollServers();
    this->exchange.advance(now);
    this->performPeerActions();
    static constexpr std::uint64_t TICKS_PER_ORDINAL_READ = 10;
    if (++this->tickCount % TICKS_PER_ORDINAL_READ == 0 || this->ordinals.ordinal() < 0) {
        this->refreshOrdinals();
    }
}

void ControlPlane::handle(const ControlRequest &request)
{
    const Instant now = steadyNow();
    if (const auto *claim = std::get_if<RequestClaim>(&request)) {
        this->claims.request(*claim, now, wallClockMs());
    } else if (const auto *outcome = std::get_if<RecordClaimOutcome>(&request)) {
        this->claims.recordOutcome(*outcome, now, wallClockMs());
    } else if (const auto *crashReport = std::get_if<ReportCrash>(&request)) {
        this->recordCrash(*crashReport);
    } else {
        this->announce(std::get<AnnounceWarmUp>(request));
    }
    this->performClaimActions();
}

} // namespace ragwort
