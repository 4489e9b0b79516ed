/// \file
/// Implements how the route control thread applies the contents of the metadata store and publishes the resulting routes and servers.
#include "ragwortcart/Runtime/RouteControl.h"

#include "ControlTimers.h"
#include "ragwortcart/Support/Log.h"
#include "ragwortcart/Support/Visitor.h"

#include <cassert>

namespace ragwort {

/// Fraction of the extra load budget available to hedges. The rest is reserved for retries.
static constexpr double HEDGE_SHARE = 0.5;
/// Concurrently admitted queries of a route per slot of its shard with the fewest slots. Above 1, because the other shards are
/// idle while one shard delays a query.
static constexpr int ADMISSION_PER_SLOT = 6;
/// Minimum number of concurrently admitted queries of a route.
static constexpr int MINIMUM_ADMISSION = 4;

void RouteControl::replaceState(std::span<const StoreItem> items, StorePosition itemsPosition)
{
    const bool beginsEpoch = this->position.revision > 0 && itemsPosition.epoch != this->position.epoch;
    const Instant now = steadyNow();
    if (beginsEpoch) {
        // What is missing may have to be written again, and what stands there may have been taken back.
        this->registry.beginEpoch(now);
        this->copiedUpTo = itemsPosition.revision;
        this->epochContentsSince = now;
    }
    ListedItems listed;
    for (const StoreItem &item : items) {
        this->applyItem(item, &listed);
    }
    this->registry.replaceAll(listed.servers, now, listed.copiedServers);
    this->registry.replaceDomainsOut(listed.domainsOut);
    this->registry.replaceInstances(listed.instances);
    this->changeFeed.replaceInstances(this->registry.knownInstances());
    const StorePosition before = std::exchange(this->position, itemsPosition);
    this->rebuild();
    this->updateDesiredPeers();
    if (beginsEpoch) {
        const UnconfirmedEntries kept = this->registry.unconfirmed();
        const Duration catchUp = steadyNow() - this->epochKnownSince;
        this->epochCatchUp.record(catchUp);
        logEvent(LogLevel::info,
                 "store-epoch-applied",
                 {{.key = "position", .value = toText(this->position)},
                  {.key = "before", .value = toText(before)},
                  {.key = "known_ms_ago", .value = std::to_string(toMs(catchUp))},
                  {.key = "unconfirmed_servers", .value = std::to_string(kept.servers)},
                  {.key = "unconfirmed_domains", .value = std::to_string(kept.domains)},
                  {.key = "unconfirmed_instances", .value = std::to_string(kept.instances)}});
    }
    this->scheduleExpiry();
}

void RouteControl::applyEvents(std::span<const StoreEvent> events, StorePosition upTo)
{
    assert(upTo.epoch == this->position.epoch && "changes of another epoch do not follow the contents");
    for (const StoreEvent &event : events) {
        const StoreRevision changed = std::visit([](const auto &typed) { return typed.revision; }, event);
        if (changed > this->position.revision) {
            this->applyEvent(event);
        }
    }
    this->position = std::max(this->position, upTo);
    if (this->rebuildNeeded) {
        this->rebuild();
    }
    this->scheduleExpiry();
}

void RouteControl::applyEvent(const StoreEvent &event)
{
    std::visit(
        Visitor{[this](const StoreItem &item) { this->applyItem(item, nullptr); }, [this](const StoreDeletion &deletion) { this->applyRemoval(deletion.key); }},
        event);
}

void RouteControl::applyItem(const StoreItem &item, ListedItems *listed)
{
    const Instant now = steadyNow();
    std::visit(
        Visitor{[](const UnrelatedItem &) {},
                [&](const RoutesItem &decoded) { this->applyRoutes(decoded, item.revision); },
                [&](const ServerItem &decoded) {
                    if (listed != nullptr) {
                        (item.revision <= this->copiedUpTo ? listed->copiedServers : listed->servers).push_back(decoded.entry);
                    } else if (this->registry.set(decoded.entry, now)) {
                        this->rebuildNeeded = true;
                        logEvent(LogLevel::info,
                                 "server-entry",
                                 {{.key = "server", .value = decoded.entry.id},
                                  {.key = "service", .value = decoded.entry.service},
                                  {.key = "domain", .value = decoded.entry.domain},
                                  {.key = "draining", .value = decoded.entry.draining ? "true" : "false"},
                                  {.key = "warm_up_left_ms", .value = std::to_string(toMs(decoded.entry.warmUpLeft))},
                                  {.key = "revision", .value = std::to_string(item.revision)}});
                    }
                },
                [&](const DomainOutItem &decoded) {
                    if (listed != nullptr) {
                        listed->domainsOut.push_back(decoded.domain);
                    } else {
                        this->registry.setDomainOut(decoded.domain, true);
                    }
                    this->rebuildNeeded = true;
                    logEvent(LogLevel::info,
                             "domain-out",
                             {{.key = "domain", .value = decoded.domain}, {.key = "revision", .value = std::to_string(item.revision)}});
                },
                [&](const InstanceItem &decoded) {
                    if (listed != nullptr) {
                        listed->instances.push_back(decoded);
                        return;
                    }
                    this->registry.setInstance(decoded);
                    this->changeFeed.setInstance(decoded);
                    this->updateDesiredPeers();
                    this->rebuildNeeded = true;
                },
                [&](const UnreadableItem &decoded) {
                    logEvent(LogLevel::warning, "entry-unreadable", {{.key = "key", .value = item.key}, {.key = "error", .value = decoded.error.describe()}});
                }},
        this->options.format.decode(item.key, item.value));
}

void RouteControl::applyRemoval(const std::string &key)
{
    const Instant now = steadyNow();
    std::visit(Visitor{[](const UnrelatedItem &) {},
                       [&](const ServerRemoved &removed) {
                           const bool gone = this->registry.remove(removed.id, now);
                           this->rebuildNeeded = this->rebuildNeeded || gone;
                           logEvent(LogLevel::info, gone ? "server-gone" : "server-missing", {{.key = "server", .value = removed.id}});
                       },
                       [&](const DomainRestored &back) {
                           this->registry.setDomainOut(back.domain, false);
                           this->rebuildNeeded = true;
                           logEvent(LogLevel::info, "domain-back", {{.key = "domain", .value = back.domain}});
                       },
                       [&](const InstanceRemoved &removed) {
                           // The store has deleted this instance's own entry although the instance is alive, for example because its lease
                           // expired during a pause: write the entry again.
                           if (removed.name == this->options.instance && !this->leaving) {
                               this->grantLease();
                               return;
                           }
                           this->registry.removeInstance(removed.name);
                           this->changeFeed.removeInstance(removed.name);
                           this->updateDesiredPeers();
                           this->rebuildNeeded = true;
                       }},
               this->options.format.decodeRemoval(key));
}

void RouteControl::applyRoutes(const RoutesItem &routesItem, StoreRevision storeRevision)
{
    if (this->routes && routesItem.table->version <= this->routes->version) {
        if (routesItem.table->version < this->routes->version) {
            logEvent(
                LogLevel::warning,
                "routes-older-ignored",
                {{.key = "version", .value = std::to_string(routesItem.table->version)}, {.key = "in_force", .value = std::to_string(this->routes->version)}});
        }
        return;
    }
    auto table = std::make_shared<RouteTable>(*routesItem.table);
    for (Route &route : table->routes) {
        route.group.extraLoad = this->options.extraLoad.ratio;
        route.group.extraLoadBurst = this->options.extraLoad.burst;
        route.group.hedgeShare = this->options.extraLoad.ratio * HEDGE_SHARE;
        route.group.admissionPerSlot = ADMISSION_PER_SLOT;
        route.group.minimumAdmission = MINIMUM_ADMISSION;
    }
    this->routes = table;
    auto next = std::make_shared<Configuration>(*this->options.configuration.load());
    next->routes = table;
    this->options.configuration.publish(next);
    this->options.onRoutes(*table);
    this->rebuildNeeded = true;
    logEvent(LogLevel::info,
             "routes-in-force",
             {{.key = "version", .value = std::to_string(table->version)},
              {.key = "routes", .value = std::to_string(table->routes.size())},
              {.key = "revision", .value = std::to_string(storeRevision)}});
}

void RouteControl::rebuild()
{
    this->rebuildNeeded = false;
    if (!this->routes) {
        return;
    }
    this->options.topology.publish(this->registry.build(*this->routes));
    this->updateDesiredPeers();
    const bool nowReady = this->registry.size() > 0;
    if (nowReady && !this->isReady.exchange(true)) {
        logEvent(LogLevel::info,
                 "ready",
                 {{.key = "version", .value = std::to_string(this->routes->version)}, {.key = "servers", .value = std::to_string(this->registry.size())}});
    }
}

void RouteControl::dropExpired()
{
    const ExpiredEntries expired = this->registry.dropExpired(steadyNow(), this->changeFeed.confirmedAt().value_or(Instant()));
    if (expired) {
        logEvent(LogLevel::info,
                 "entries-not-written-again",
                 {{.key = "servers", .value = std::to_string(expired.servers.size())},
                  {.key = "servers_trusted", .value = std::to_string(expired.trustedServers.size())},
                  {.key = "domains", .value = std::to_string(expired.domains.size())},
                  {.key = "instances", .value = std::to_string(expired.instances.size())}});
        for (const std::string &domain : expired.domains) {
            logEvent(LogLevel::warning, "domain-back", {{.key = "domain", .value = domain}, {.key = "cause", .value = "not ordered again"}});
        }
        if (!expired.instances.empty()) {
            this->changeFeed.replaceInstances(this->registry.knownInstances());
        }
        this->rebuild();
    }
    this->scheduleExpiry();
}

void RouteControl::updateUnconfirmed()
{
    const UnconfirmedEntries unconfirmed = this->registry.unconfirmed();
    this->gauges.unconfirmedServers.store(unconfirmed.servers);
    this->gauges.unconfirmedDomains.store(unconfirmed.domains);
    this->gauges.unconfirmedInstances.store(unconfirmed.instances);
    if (this->epochContentsSince && !unconfirmed.any()) {
        logEvent(LogLevel::info,
                 "store-epoch-confirmed",
                 {{.key = "position", .value = toText(this->position)},
                  {.key = "after_ms", .value = std::to_string(toMs(steadyNow() - *this->epochContentsSince))}});
        this->epochContentsSince.reset();
    }
}

void RouteControl::scheduleExpiry()
{
    this->updateUnconfirmed();
    if (const std::optional<Instant> next = this->registry.nextExpiry()) {
        this->expiryTimer.start(toTimerMs(std::max(*next - steadyNow(), Duration::zero()) + std::chrono::milliseconds(1)));
    }
}

} // namespace ragwort
