/// \file
/// Implements the control thread's communication with the platform: configuration, instance list and ordinals.
#include "ragwortcart/Runtime/ControlPlane.h"

#include "ControlTimers.h"
#include "ragwortcart/Support/Log.h"

namespace ragwort {

bool ControlPlane::watchesStore() const
{
    const bool watcher = isStoreWatcher(this->options.instance, this->options.domain, this->directory.entryInstances());
    return watcher || this->freshness.age(steadyNow()) > DIRECT_WATCH_AGE;
}

void ControlPlane::watchConfiguration(std::uint64_t index)
{
    if (!this->watchesStore()) {
        QTimer::singleShot(toTimerMs(WATCH_RETRY_INTERVAL), this, [this, index] { this->watchConfiguration(index); });
        return;
    }
    const Instant requestedAt = steadyNow();
    const WatchOptions watch{.index = index == 0 ? std::nullopt : std::optional(index), .wait = CONFIGURATION_WATCH_WAIT};
    this->platform.read(std::string(CONFIGURATION_PREFIX), true, watch, [this, requestedAt, index](const Result<KeyValues> &values) {
        this->onConfiguration(values, requestedAt, index);
    });
}

void ControlPlane::onConfiguration(const Result<KeyValues> &values, Instant requestedAt, std::uint64_t index)
{
    if (!values) {
        logEvent(LogLevel::debug, "configuration-watch-failed", {{.key = "error", .value = values.error().describe()}});
        QTimer::singleShot(toTimerMs(WATCH_RETRY_INTERVAL), this, [this, index] { this->watchConfiguration(index); });
        return;
    }
    // A watch returns the state at its end, which is at least as recent as the time of the request.
    this->freshness.recordStoreRead(requestedAt);
    for (const KeyValue &entry : values->entries) {
        this->offerDocument(entry.key.substr(CONFIGURATION_PREFIX.size()), entry.value, this->options.platformAddress);
    }
    if (values->entries.empty()) {
        QTimer::singleShot(toTimerMs(WATCH_RETRY_INTERVAL), this, [this] { this->watchConfiguration(0); });
        return;
    }
    this->watchConfiguration(values->index);
}

void ControlPlane::offerDocument(const std::string &name, const QByteArray &json, const std::string &source)
{
    Error error;
    const OfferResult result = this->configurationManager.offer(name, json, source, &error);
    if (result == OfferResult::rejected) {
        logEvent(LogLevel::error, "configuration-rejected", {{.key = "document", .value = name}, {.key = "error", .value = error.describe()}});
        return;
    }
    if (result != OfferResult::applied) {
        return;
    }
    logEvent(LogLevel::info,
             "configuration-applied",
             {{.key = "document", .value = name},
              {.key = "sequence", .value = std::to_string(this->configurationManager.sequences()[name])},
              {.key = "source", .value = source}});
    const std::uint64_t sequence = this->configurationManager.sequences()[name];
    this->exchange.onDocumentApplied({.name = name, .sequence = sequence, .json = json}, source);
    this->options.configuration.publish(this->configurationManager.current());
    this->directory.setConfiguration(this->configurationManager.current());
    this->rebuild();
}

void ControlPlane::watchInstances(const std::string &service, std::uint64_t index)
{
    const WatchOptions watch{.index = index == 0 ? std::nullopt : std::optional(index), .wait = LIST_WATCH_WAIT};
    this->platform.list(service, watch, [this, service, index](const Result<PlatformInstances> &listed) {
        if (!listed) {
            QTimer::singleShot(toTimerMs(WATCH_RETRY_INTERVAL), this, [this, service, index] { this->watchInstances(service, index); });
            return;
        }
        if (service == "ragwort-backend") {
            this->onServers(*listed);
        } else {
            this->onEntryInstances(*listed);
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
    this->serversListed = true;
    if (this->directory.setServers(std::move(servers))) {
        this->nextStatusPoll = {};
        this->rebuild();
    }
}

void ControlPlane::onEntryInstances(const PlatformInstances &listed)
{
    std::vector<ListedEntryInstance> entries;
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
    this->entryInstancesListed = true;
    this->freshness.setDomains(std::move(domains));
    this->ordinals.updateLiveInstances(live, steadyNow());
    if (this->directory.setEntryInstances(std::move(entries))) {
        this->updateDesiredPeers();
        this->rebuild();
    }
    this->tryAcquireOrdinal();
}

void ControlPlane::refreshOrdinals()
{
    if (this->ordinalCallPending) {
        return;
    }
    this->ordinalCallPending = true;
    this->fetchOrdinals([this] {
        this->ordinalCallPending = false;
        this->tryAcquireOrdinal();
    });
}

void ControlPlane::fetchOrdinals(const std::function<void()> &next)
{
    const Instant requestedAt = steadyNow();
    this->platform.read(std::string(ORDINALS_KEY), false, {.index = std::nullopt}, [this, requestedAt, next](const Result<KeyValues> &values) {
        if (values) {
            this->onOrdinals(*values, requestedAt);
        }
        next();
    });
}

void ControlPlane::onOrdinals(const KeyValues &values, Instant requestedAt)
{
    const bool absent = values.entries.empty();
    const std::optional<OrdinalTable> table = absent ? OrdinalTable() : decodeOrdinals(values.entries.front().value.toStdString());
    if (!table) {
        logEvent(LogLevel::error, "seat-table-unreadable", {{.key = "peer", .value = this->options.platformAddress}});
        return;
    }
    const int before = this->ordinals.ordinal();
    const bool inDoubtBefore = this->ordinals.inDoubt();
    const std::uint64_t index = absent ? 0 : values.entries.front().modifyIndex;
    this->ordinals.updateTable(*table, index, requestedAt);
    if (this->ordinals.inDoubt() != inDoubtBefore) {
        logEvent(LogLevel::warning,
                 this->ordinals.inDoubt() ? "seat-table-older" : "seat-table-settled",
                 {{.key = "index", .value = std::to_string(index)}, {.key = "number", .value = std::to_string(this->ordinals.ordinal())}});
    }
    if (this->ordinals.ordinal() != before) {
        logEvent(LogLevel::info, "seat", {{.key = "number", .value = std::to_string(this->ordinals.ordinal())}});
    }
    this->rebuild();
}

void ControlPlane::tryAcquireOrdinal()
{
    const std::optional<OrdinalWrite> write = this->ordinals.acquireWrite(this->configurationManager.current()->tier.maximumInstances, steadyNow());
    if (!write || this->ordinalCallPending || this->configurationManager.current()->tier.sequence == 0) {
        return;
    }
    this->ordinalCallPending = true;
    this->platform.write(std::string(ORDINALS_KEY), QByteArray::fromStdString(write->value), write->expectedIndex, [this](StoreWriteOutcome) {
        // The outcome is ignored: the next read of the table shows the holder of each ordinal.
        this->ordinalCallPending = false;
        this->refreshOrdinals();
    });
}

void ControlPlane::releaseOrdinal(const std::function<void()> &done)
{
    static constexpr int RELEASE_ATTEMPTS = 5;
    this->tryReleaseOrdinal(RELEASE_ATTEMPTS, done);
}

void ControlPlane::tryReleaseOrdinal(int attemptsLeft, const std::function<void()> &done)
{
    const std::optional<OrdinalWrite> write = this->ordinals.releaseWrite();
    if (!write || attemptsLeft == 0) {
        done();
        return;
    }
    const auto onWritten = [this, attemptsLeft, done](StoreWriteOutcome outcome) {
        if (outcome == StoreWriteOutcome::written) {
            done();
            return;
        }
        // The table was changed concurrently, or the outcome of the write is unknown: read the table again and release the ordinal if
        // this instance still holds it.
        this->fetchOrdinals([this, attemptsLeft, done] { this->tryReleaseOrdinal(attemptsLeft - 1, done); });
    };
    this->platform.write(std::string(ORDINALS_KEY), QByteArray::fromStdString(write->value), write->expectedIndex, onWritten);
}

} // namespace ragwort
