/// \file
/// Implements the route control thread's communication with peers: links, store events, attempt counts and server warnings.
#include "ragwortcart/Runtime/QueuedLinkHandlers.h"
#include "ragwortcart/Runtime/RouteControl.h"
#include "ragwortcart/Support/Hash.h"
#include "ragwortcart/Support/Log.h"
#include "ragwortcart/Support/Visitor.h"
#include "ragwortcart/Wire/PartialQueryCodec.h"
#include "ragwortcart/Wire/PeerCodec.h"

namespace ragwort {

/// Maximum number of crashes, and of responses, in one message to each peer; the rest follows in the next one.
static constexpr std::size_t MAXIMUM_CRASH_NEWS = 256;

PeerLinks::Handlers RouteControl::makeLinkHandlers()
{
    const auto onLink = [this](const std::string &peer, bool up) {
        logEvent(LogLevel::info, "peer-link", {{.key = "peer", .value = peer}, {.key = "state", .value = up ? "up" : "down"}});
        if (up) {
            this->changeFeed.onLinkUp(peer, steadyNow());
            this->sendAllCrashNews(peer);
        } else {
            this->changeFeed.onLinkDown(peer, steadyNow());
        }
        this->performChangeFeedActions();
    };
    const PeerLinks::Handlers queued
        = queuedLinkHandlers(*this,
                             {.onPeerConnected = [onLink](const std::string &peer) { onLink(peer, true); },
                              .onPeerDisconnected = [onLink](const std::string &peer) { onLink(peer, false); },
                              .onMessage = [this](const std::string &peer, const std::string &bytes) { this->onPeerBytes(peer, bytes); }});
    // Messages of divided queries bypass the control thread.
    return {.onPeerConnected =
                [this, queued](const std::string &peer) {
                    this->options.onPeerLink(peer, true);
                    queued.onPeerConnected(peer);
                },
            .onPeerDisconnected =
                [this, queued](const std::string &peer) {
                    this->options.onPeerLink(peer, false);
                    queued.onPeerDisconnected(peer);
                },
            .onMessage =
                [this, queued](const std::string &peer, const std::string &bytes) {
                    if (isPartialQueryMessage(bytes)) {
                        this->keepLinkOpen(peer);
                        this->options.onPartialQueryMessage(peer, bytes);
                    } else {
                        queued.onMessage(peer, bytes);
                    }
                }};
}

void RouteControl::keepLinkOpen(const std::string &peer)
{
    if (PeerLinks *started = this->startedLinks.load(std::memory_order_acquire)) {
        started->keepOpen(peer);
    }
}

void RouteControl::sendToPeer(const std::string &peer, const std::string &bytes)
{
    if (PeerLinks *started = this->startedLinks.load(std::memory_order_acquire)) {
        started->send(peer, bytes);
    }
}

void RouteControl::stopLinks()
{
    if (this->links) {
        this->links->stop();
    }
}

void RouteControl::startPeerLinks()
{
    if (this->options.peersAddress.empty()) {
        return;
    }
    auto peerLinks
        = std::make_unique<PeerLinks>(PeerLinks::Options{.instance = this->options.instance, .address = this->options.peersAddress}, this->makeLinkHandlers());
    const std::string listenError = peerLinks->start();
    if (!listenError.empty()) {
        // The instance then watches the store directly, at the cost of more calls.
        logEvent(LogLevel::warning, "peer-links-off", {{.key = "address", .value = this->options.peersAddress}, {.key = "error", .value = listenError}});
        return;
    }
    this->links = std::move(peerLinks);
    this->startedLinks.store(this->links.get(), std::memory_order_release);
    connect(&this->changeFeedTimer, &QTimer::timeout, this, [this] {
        this->changeFeed.advance(steadyNow());
        this->performChangeFeedActions();
        this->sendAttemptCounts();
        this->sendCrashNews();
    });
    this->changeFeedTimer.start(static_cast<int>(toMs(STORE_DIGEST_INTERVAL)));
}

void RouteControl::onPeerBytes(const std::string &peer, const std::string &bytes)
{
    const Result<PeerMessage> message = decodePeerMessage(bytes, peer);
    if (!message) {
        logEvent(LogLevel::warning, "peer-message-rejected", {{.key = "error", .value = message.error().describe()}});
        return;
    }
    const Instant now = steadyNow();
    std::visit(Visitor{[&](const PeerStoreDigest &digest) { this->changeFeed.onDigest(peer, digest, now); },
                       [&](const PeerStoreEvents &events) { this->changeFeed.onEvents(peer, events, now); },
                       [&](const PeerStoreSnapshot &snapshot) { this->changeFeed.onSnapshot(peer, snapshot, now); },
                       [&](const PeerAttemptCounts &received) { this->attemptAggregator.addAttemptCounts(received.attemptCounts); },
                       [&](const PeerServerWarnings &received) { applyWarnings(*this->options.topology.load(), received.warnings, now); },
                       [&](const PeerCrashNews &received) { this->onCrashNews(peer, received, now); },
                       [&](const auto &) { logEvent(LogLevel::warning, "peer-message-unexpected", {{.key = "peer", .value = peer}}); }},
               *message);
    this->performChangeFeedActions();
}

void RouteControl::performChangeFeedActions()
{
    for (const StoreFeedAction &action : this->changeFeed.takeActions()) {
        std::visit([this](const auto &typed) { this->perform(typed); }, action);
    }
    this->updateWatchState();
}

void RouteControl::perform(const SendStoreMessage &send)
{
    this->sendTo(send.peer, std::visit([](const auto &typed) { return PeerMessage(typed); }, send.message));
}

void RouteControl::sendTo(const std::string &peer, const PeerMessage &message)
{
    if (this->links) {
        this->links->send(peer, encodePeerMessage(message));
    }
}

void RouteControl::sendAttemptCounts()
{
    const std::shared_ptr<const Topology> current = this->options.topology.load();
    const std::vector<ServerAttemptCounts> attemptCounts = collectAttemptCounts(*current);
    if (!attemptCounts.empty()) {
        for (const std::string &relay : this->changeFeed.linkedRelays()) {
            this->sendTo(relay, PeerAttemptCounts{.attemptCounts = attemptCounts});
        }
    }
    if (!this->changeFeed.isRelay()) {
        return;
    }
    this->attemptAggregator.addAttemptCounts(attemptCounts);
    const std::vector<ServerWarning> warnings = this->attemptAggregator.nextWarnings();
    if (warnings.empty()) {
        return;
    }
    applyWarnings(*current, warnings, steadyNow());
    for (const std::string &peer : this->changeFeed.linkedDomainPeers()) {
        this->sendTo(peer, PeerServerWarnings{.warnings = warnings});
    }
}

static PeerCrashNews toMessage(const CrashNews &news, Instant now)
{
    PeerCrashNews message;
    for (const ContentCrash &crash : news.crashes) {
        message.crashes.push_back({.fingerprint = crash.fingerprint, .serverId = crash.serverId, .sentAge = now - crash.sentAt, .lostAge = now - crash.lostAt});
    }
    for (const ContentServed &served : news.served) {
        message.served.push_back({.fingerprint = served.fingerprint, .age = now - served.servedAt});
    }
    return message;
}

void RouteControl::sendCrashNews()
{
    const Instant now = steadyNow();
    const CrashNews news = this->options.crashEvidence.takeNews(MAXIMUM_CRASH_NEWS, now);
    if (news.empty()) {
        return;
    }
    const PeerMessage message = toMessage(news, now);
    for (const std::string &peer : this->changeFeed.linkedPeers()) {
        this->sendTo(peer, message);
    }
}

void RouteControl::sendAllCrashNews(const std::string &peer)
{
    const Instant now = steadyNow();
    const CrashNews news = this->options.crashEvidence.allNews(now);
    if (!news.empty()) {
        this->sendTo(peer, toMessage(news, now));
    }
}

void RouteControl::onCrashNews(const std::string &peer, const PeerCrashNews &received, Instant now)
{
    CrashEvidence &evidence = this->options.crashEvidence;
    for (const PeerContentCrash &crash : received.crashes) {
        const CrashVerdict verdict = evidence.recordCrash(
            {.fingerprint = crash.fingerprint, .serverId = crash.serverId, .sentAt = now - crash.sentAge, .lostAt = now - crash.lostAge});
        if (verdict.startsQuarantine) {
            logEvent(LogLevel::warning,
                     "content-quarantined",
                     {{.key = "content", .value = toHex(crash.fingerprint)},
                      {.key = "crashes", .value = std::to_string(verdict.crashes)},
                      {.key = "server", .value = crash.serverId},
                      {.key = "lost_ms_ago", .value = std::to_string(toMs(crash.lostAge))},
                      {.key = "peer", .value = peer}});
        }
    }
    for (const PeerContentServed &served : received.served) {
        evidence.recordServed({.fingerprint = served.fingerprint, .servedAt = now - served.age});
    }
}

void RouteControl::perform(const ApplyRelayedEvents &relayed)
{
    this->registry.extendRemovalGrace(relayed.removalGrace, steadyNow());
    this->applyEvents(relayed.events, relayed.upTo);
}

void RouteControl::perform(const ApplyRelayedSnapshot &snapshot)
{
    logEvent(LogLevel::info,
             "store-snapshot-applied",
             {{.key = "peer", .value = snapshot.peer},
              {.key = "position", .value = toText(snapshot.position)},
              {.key = "known", .value = toText(this->position)},
              {.key = "items", .value = std::to_string(snapshot.items.size())}});
    // Ends the outage of the store first: missing servers may only have lapsed during it.
    this->onStoreResponse();
    this->replaceState(snapshot.items, snapshot.position);
}

void RouteControl::perform(const ReportMissingChanges &missing)
{
    logEvent(LogLevel::warning,
             "changes-missing",
             {{.key = "peer", .value = missing.peer},
              {.key = "known", .value = std::to_string(missing.known)},
              {.key = "after", .value = std::to_string(missing.after)}});
    // No peer can be followed until the store has supplied the changes, so there is no relay to wait for.
    this->awaitRelayUntil = steadyNow();
}

void RouteControl::updateDesiredPeers()
{
    if (!this->links) {
        return;
    }
    std::map<std::string, std::string> desired = this->changeFeed.desiredPeers();
    desired.insert(this->registry.aggregatorAddresses().begin(), this->registry.aggregatorAddresses().end());
    this->links->setDesiredPeers(desired);
}

void RouteControl::updateWatchState()
{
    const std::string source = this->changeFeed.sourcePeer().value_or(std::string());
    if (source != this->loggedSource) {
        this->loggedSource = source;
        logEvent(LogLevel::info,
                 "store-followed",
                 {{.key = "through", .value = source.empty() ? "itself" : source},
                  {.key = "position", .value = toText(this->position)},
                  {.key = "confirmed_ms_ago", .value = std::to_string(toMs(steadyNow() - this->changeFeed.confirmedAt().value_or(steadyNow())))}});
    }
    this->updateGauges();
    if (this->changeFeed.latestEpoch() > this->actedOnEpoch) {
        this->onLaterEpoch();
    }
    const bool awaitsPeer = this->changeFeed.followsPeer() || this->changeFeed.awaitsNewEpoch(steadyNow());
    // An instance that has learned that it is a relay itself waits for none.
    const bool awaitsRelayLink = !this->changeFeed.isRelay() && steadyNow() < this->awaitRelayUntil;
    if (this->watchSuspended && !awaitsPeer && !awaitsRelayLink) {
        this->watchSuspended = false;
        if (this->changeFeed.isUnconfirmed()) {
            logEvent(LogLevel::info,
                     "knowledge-unconfirmed",
                     {{.key = "through", .value = source.empty() ? "itself" : source},
                      {.key = "position", .value = toText(this->position)},
                      {.key = "confirmed_ms_ago", .value = std::to_string(toMs(steadyNow() - this->changeFeed.confirmedAt().value_or(steadyNow())))}});
        }
        this->watch();
    }
}

void RouteControl::registerGauges()
{
    MetricsRegistry &metrics = this->options.metrics;
    metrics.gauge("ragwort_routes_version", {}, [this] { return static_cast<double>(this->gauges.routesVersion.load()); });
    metrics.gauge("ragwort_store_revision", {}, [this] { return static_cast<double>(this->gauges.revision.load()); });
    metrics.gauge("ragwort_store_epoch", {}, [this] { return static_cast<double>(this->gauges.epoch.load()); });
    metrics.gauge("ragwort_store_distance", {}, [this] { return static_cast<double>(this->gauges.distance.load()); });
    metrics.gauge("ragwort_unconfirmed_entries", "kind=\"server\"", [this] { return static_cast<double>(this->gauges.unconfirmedServers.load()); });
    metrics.gauge("ragwort_unconfirmed_entries", "kind=\"domain\"", [this] { return static_cast<double>(this->gauges.unconfirmedDomains.load()); });
    metrics.gauge("ragwort_unconfirmed_entries", "kind=\"instance\"", [this] { return static_cast<double>(this->gauges.unconfirmedInstances.load()); });
    metrics.gauge("ragwort_store_confirmed_age_seconds", {}, [this] {
        const std::int64_t confirmedAtUs = this->gauges.confirmedAtUs.load();
        return confirmedAtUs == 0 ? -1.0 : static_cast<double>(steadyNow().time_since_epoch().count() - confirmedAtUs) / 1e6;
    });
}

void RouteControl::updateGauges()
{
    this->gauges.routesVersion.store(this->routes ? this->routes->version : 0);
    this->gauges.revision.store(this->position.revision);
    this->gauges.epoch.store(this->position.epoch);
    this->gauges.distance.store(this->changeFeed.distance());
    if (const std::optional<Instant> confirmedAt = this->changeFeed.confirmedAt()) {
        this->gauges.confirmedAtUs.store(confirmedAt->time_since_epoch().count());
    }
}

} // namespace ragwort
