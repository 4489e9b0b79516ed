/// \file
/// Implements the route control thread's lists and watches of the metadata store.
#include "ragwortcart/Runtime/RouteControl.h"

#include "ControlTimers.h"
#include "ragwortcart/Support/Log.h"

namespace ragwort {

/// Timeout of a watch after a failure. It is short so that a request on a broken connection does not delay the detection of recovery.
static constexpr Duration PROBE_WATCH_WAIT = std::chrono::milliseconds(300);
/// Pause between the events of one watch and the next watch, which batches a series of changes. It grows with the number of
/// instances that may watch the store, because each change costs one call per watching instance, up to the limit that the
/// propagation bounds allow.
static constexpr Duration MINIMUM_EVENT_PAUSE = std::chrono::milliseconds(250);
static constexpr Duration EVENT_PAUSE_PER_INSTANCE = std::chrono::milliseconds(20);
static constexpr Duration MAXIMUM_EVENT_PAUSE = std::chrono::milliseconds(1400);
/// Time beyond a relay's watch within which its followers know that the watch has ended: the pause after events, the interval of the digests
/// that the relay echoes, and the transfer.
static constexpr Duration CONFIRMATION_MARGIN = MINIMUM_EVENT_PAUSE + STORE_DIGEST_INTERVAL + std::chrono::milliseconds(450);
static constexpr Duration INITIAL_RETRY_DELAY = std::chrono::milliseconds(100);
static constexpr Duration MAXIMUM_RETRY_DELAY = std::chrono::milliseconds(800);
/// Interval between the lists of an instance that has started and knows no relay, and their number before it watches the store itself.
static constexpr Duration START_LIST_INTERVAL = std::chrono::milliseconds(400);
static constexpr int MAXIMUM_START_LISTS = 5;
/// Time for the link to a relay and the first two digests. An instance that has started receives changes this late at most.
static constexpr Duration RELAY_WAIT = std::chrono::milliseconds(2500);
/// Age that the contents of a possibly stale list are taken to have.
static constexpr Duration STALE_LIST_AGE = std::chrono::seconds(10);
static constexpr const char *STORE_CALLS = "ragwort_store_calls_total";

RouteControl::RouteControl(Options controlOptions)
    : options(std::move(controlOptions))
    , registry(this->options.registry)
    , changeFeed(
          {.instance = this->options.instance, .domain = this->options.domain, .confirmationTimeout = this->options.relayWatchWait + CONFIRMATION_MARGIN})
    , storeCalls({.lists = this->options.metrics.counter(STORE_CALLS, "kind=\"list\""),
                  .staleLists = this->options.metrics.counter(STORE_CALLS, "kind=\"stale-list\""),
                  .watches = this->options.metrics.counter(STORE_CALLS, "kind=\"watch\""),
                  .grants = this->options.metrics.counter(STORE_CALLS, "kind=\"grant-lease\""),
                  .renewals = this->options.metrics.counter(STORE_CALLS, "kind=\"renew-lease\""),
                  .writes = this->options.metrics.counter(STORE_CALLS, "kind=\"write\""),
                  .outdatedLists = this->options.metrics.counter("ragwort_store_lists_outdated_total")})
    , epochChanges(this->options.metrics.counter("ragwort_store_epochs_total"))
    , epochCatchUp(this->options.metrics.histogram("ragwort_store_epoch_catch_up_seconds"))
{
    this->registerGauges();
    this->expiryTimer.setSingleShot(true);
    connect(&this->expiryTimer, &QTimer::timeout, this, [this] { this->dropExpired(); });
}

void RouteControl::start()
{
    this->options.store.setEpochObserver([this](StoreEpoch epoch) { this->onStoreEpoch(epoch); });
    this->startPeerLinks();
    this->awaitsRelay = this->links != nullptr;
    this->listStore(this->awaitsRelay && this->options.firstStart ? ReadConsistency::possiblyStale : ReadConsistency::latest);
    this->grantLease();
}

void RouteControl::onStoreEpoch(StoreEpoch epoch)
{
    const StoreEpoch before = std::exchange(this->statedEpoch, epoch).value_or(epoch);
    if (epoch < before) {
        logEvent(LogLevel::warning,
                 "store-epoch-decreased",
                 {{.key = "stated", .value = std::to_string(epoch)}, {.key = "before", .value = std::to_string(before)}});
    }
    this->changeFeed.onStoreEpoch(epoch, steadyNow());
    this->performChangeFeedActions();
}

StorePosition RouteControl::positionOf(StorePosition named) const
{
    return this->statedEpoch ? named : StorePosition{.epoch = this->changeFeed.latestEpoch(), .revision = named.revision};
}

Instant RouteControl::coveredUntil(const Listing &listing)
{
    return listing.consistency == ReadConsistency::latest ? listing.requestedAt : listing.requestedAt - STALE_LIST_AGE;
}

bool RouteControl::contradictsKnown(const Listing &listing) const
{
    const StorePosition listPosition = this->positionOf(listing.pages.position());
    if (listPosition.epoch < this->changeFeed.latestEpoch() && !this->changeFeed.refutesEpoch(listPosition.epoch, coveredUntil(listing))) {
        return true;
    }
    return this->statedEpoch && this->changeFeed.isContradictedBy(listPosition, coveredUntil(listing));
}

void RouteControl::reportOutdatedList(const Listing &listing, StorePosition listPosition)
{
    this->storeCalls.outdatedLists.add();
    logEvent(LogLevel::warning,
             "store-list-outdated",
             {{.key = "position", .value = toText(listPosition)},
              {.key = "known", .value = toText(this->position)},
              {.key = "asked_ms_ago", .value = std::to_string(toMs(steadyNow() - listing.requestedAt))}});
}

void RouteControl::onRevisionDecreased(const Listing &listing)
{
    const StorePosition listPosition = this->positionOf(listing.pages.position());
    const bool goneBack = this->changeFeed.isContradictedBy(listPosition, coveredUntil(listing));
    if (goneBack && !this->statedEpoch && !this->changeFeed.isBehindEpoch()) {
        this->changeFeed.onStoreEpoch(this->position.epoch + 1, steadyNow());
        this->performChangeFeedActions();
    }
}

void RouteControl::onLaterEpoch()
{
    const StoreEpoch before = std::exchange(this->actedOnEpoch, this->changeFeed.latestEpoch());
    if (this->position.revision == 0) {
        // Nothing has been read in an earlier epoch, but the own entry may have been written in one.
        if (this->statedEpoch && this->leaseEpoch < this->actedOnEpoch) {
            this->renewOwnEntry();
        }
        return;
    }
    this->epochKnownSince = steadyNow();
    this->epochChanges.add();
    logEvent(LogLevel::warning,
             "store-epoch-begun",
             {{.key = "epoch", .value = std::to_string(this->actedOnEpoch)},
              {.key = "before", .value = std::to_string(before)},
              {.key = "known", .value = toText(this->position)}});
    this->renewOwnEntry();
    this->awaitRelayUntil = {};
    // A peer that is expected to send the contents may fail to.
    QTimer::singleShot(toTimerMs(NEW_EPOCH_WAIT) + 1, this, [this] { this->performChangeFeedActions(); });
    if (!this->watchSuspended) {
        this->restartReading();
    }
}

void RouteControl::leave()
{
    this->leaving = true;
    this->changeFeed.leave(steadyNow());
    this->performChangeFeedActions();
    if (this->lease != 0) {
        this->options.store.endLease(this->lease);
    }
}

void RouteControl::listStore(ReadConsistency consistency)
{
    auto listing = std::make_shared<Listing>();
    listing->consistency = consistency;
    this->watchSuspended = false;
    listing->number = this->readNumber;
    listing->requestedAt = steadyNow();
    this->listPage(listing);
}

void RouteControl::restartReading()
{
    ++this->readNumber;
    const Duration pause = std::max(this->restartedAt + MAXIMUM_RETRY_DELAY - steadyNow(), Duration::zero());
    if (pause > Duration::zero()) {
        this->continueAfter(pause, [this] { this->restartReading(); });
        return;
    }
    this->watch();
    this->restartedAt = steadyNow();
}

void RouteControl::continueAfter(Duration pause, std::function<void()> next)
{
    QTimer::singleShot(toTimerMs(pause), this, [this, number = this->readNumber, next = std::move(next)] {
        if (number == this->readNumber) {
            next();
        }
    });
}

void RouteControl::listPage(const std::shared_ptr<Listing> &listing)
{
    const bool possiblyStale = listing->consistency == ReadConsistency::possiblyStale;
    (possiblyStale ? this->storeCalls.staleLists : this->storeCalls.lists).add();
    this->options.store.readRange({}, listing->pages.lastKey(), listing->consistency, [this, listing](Result<StorePage> page) {
        if (listing->number != this->readNumber) {
            return;
        }
        if (!page) {
            this->onStoreFailure(page.error(), true);
            return;
        }
        const Result<bool> hasMore = listing->pages.add(std::move(*page));
        if (!hasMore) {
            logEvent(LogLevel::warning,
                     "store-list-stuck",
                     {{.key = "error", .value = hasMore.error().describe()}, {.key = "items", .value = std::to_string(listing->pages.items().size())}});
            this->onStoreFailure(hasMore.error(), true);
            return;
        }
        if (*hasMore) {
            this->listPage(listing);
            return;
        }
        if (this->contradictsKnown(*listing)) {
            this->reportOutdatedList(*listing, listing->pages.position());
            this->onStoreFailure(
                {.code = Errc::protocolViolation, .step = "store-range", .peer = {}, .detail = "an earlier list, at " + toText(listing->pages.position())},
                true);
            return;
        }
        this->onStoreResponse();
        this->lastListIgnored = !this->applyListing(*listing);
        if (listing->number != this->readNumber) {
            return;
        }
        if (this->awaitsRelay) {
            this->awaitRelay();
        } else {
            this->watch();
        }
    });
}

void RouteControl::awaitRelay()
{
    const bool mayList = this->options.firstStart && this->listsWithoutRelay < MAXIMUM_START_LISTS;
    if (this->changeFeed.isRelay() || (!this->changeFeed.hasRelays() && !mayList)) {
        this->awaitsRelay = false;
        this->watch();
        return;
    }
    const Instant now = steadyNow();
    this->watchSuspended = true;
    this->changeFeed.onWatchSuspended(now);
    if (this->changeFeed.hasRelays()) {
        this->awaitsRelay = false;
        this->awaitRelayUntil = now + RELAY_WAIT;
        QTimer::singleShot(toTimerMs(RELAY_WAIT), this, [this] { this->performChangeFeedActions(); });
    } else {
        ++this->listsWithoutRelay;
        this->awaitRelayUntil = now + START_LIST_INTERVAL + RELAY_WAIT;
        this->continueAfter(START_LIST_INTERVAL, [this] {
            if (this->watchSuspended && !this->changeFeed.followsPeer() && !this->leaving) {
                // One of the pages was older than those of the lists before, and may be so again.
                this->listStore(this->lastListIgnored ? ReadConsistency::latest : ReadConsistency::possiblyStale);
            }
        });
    }
    this->performChangeFeedActions();
}

bool RouteControl::applyListing(const Listing &listing)
{
    const std::span<const StoreItem> items = listing.pages.items();
    const bool possiblyStale = listing.consistency == ReadConsistency::possiblyStale;
    const StorePosition listPosition = this->positionOf(possiblyStale ? listing.pages.provenPosition() : listing.pages.position());
    if (!this->changeFeed.onListed(items, listPosition, coveredUntil(listing), steadyNow())) {
        this->reportOutdatedList(listing, listPosition);
        this->onRevisionDecreased(listing);
        return false;
    }
    if (const StoreEpoch refuted = this->actedOnEpoch; this->changeFeed.latestEpoch() < refuted) {
        this->actedOnEpoch = this->changeFeed.latestEpoch();
        logEvent(LogLevel::warning,
                 "store-epoch-refuted",
                 {{.key = "epoch", .value = std::to_string(this->actedOnEpoch)}, {.key = "refuted", .value = std::to_string(refuted)}});
    }
    logEvent(LogLevel::info,
             "store-listed",
             {{.key = "position", .value = toText(listPosition)},
              {.key = "proven", .value = toText(listing.pages.provenPosition())},
              {.key = "items", .value = std::to_string(items.size())},
              {.key = "consistency", .value = possiblyStale ? "stale" : "latest"}});
    this->replaceState(items, listPosition);
    this->performChangeFeedActions();
    return true;
}

void RouteControl::watch()
{
    if (this->leaving) {
        return;
    }
    if (this->changeFeed.followsPeer()) {
        // The events now arrive from the peer, which ends an outage in the same way as a response of the store. This instance itself
        // no longer watches the store.
        this->watchSuspended = true;
        this->onStoreResponse();
        this->changeFeed.onWatchSuspended(steadyNow());
        this->performChangeFeedActions();
        return;
    }
    if (this->changeFeed.awaitsNewEpoch(steadyNow())) {
        this->watchSuspended = true;
        this->changeFeed.onWatchSuspended(steadyNow());
        this->performChangeFeedActions();
        return;
    }
    this->watchSuspended = false;
    if (this->changeFeed.isBehindEpoch()) {
        this->listStore();
        return;
    }
    this->storeCalls.watches.add();
    const PendingWatch pending{.number = this->readNumber, .requestedAt = steadyNow(), .wait = this->nextWatchWait()};
    this->options.store.watch({}, this->position, pending.wait, [this, pending](const Result<StoreEvents> &events) { this->onEvents(pending, events); });
}

Duration RouteControl::nextWatchWait() const
{
    if (this->consecutiveFailures > 0 || this->changeFeed.isUnconfirmed()) {
        return PROBE_WATCH_WAIT;
    }
    if (!this->changeFeed.hasSubscribers()) {
        return this->options.watchWait;
    }
    // Followers need a confirmation within each relay watch wait, also if events end a watch early.
    const Instant confirmationDue = this->changeFeed.confirmedAt().value_or(steadyNow()) + this->options.relayWatchWait;
    return std::clamp(confirmationDue - steadyNow(), std::min(PROBE_WATCH_WAIT, this->options.relayWatchWait), this->options.relayWatchWait);
}

/// Returns a time before which all changes are part of the answer. An answer without events was made after the wait, any other at some time
/// after the request.
static Instant watchCoversUntil(Instant requestedAt, Duration wait, const StoreEvents &answer)
{
    const bool waited = answer.events.empty() && steadyNow() - requestedAt >= wait;
    return waited ? requestedAt + wait : requestedAt;
}

void RouteControl::onEvents(const PendingWatch &answered, const Result<StoreEvents> &result)
{
    if (answered.number != this->readNumber) {
        return;
    }
    if (!result) {
        this->onStoreFailure(result.error(), result.error().code == Errc::historyGone);
        return;
    }
    this->onStoreResponse();
    if (this->changeFeed.isBehindEpoch()) {
        this->watch();
        return;
    }
    const StorePosition upTo = this->positionOf(result->position);
    if (upTo < this->position) {
        // The answer does not follow what is known: its revision means another change, or the store has gone back.
        logEvent(LogLevel::warning,
                 "store-position-decreased",
                 {{.key = "position", .value = toText(upTo)},
                  {.key = "known", .value = toText(this->position)},
                  {.key = "events", .value = std::to_string(result->events.size())}});
        this->onStoreFailure({.code = Errc::protocolViolation, .step = "store-watch", .peer = {}, .detail = "an earlier position, " + toText(upTo)}, true);
        return;
    }
    this->watchesWithoutHistory = 0;
    const Instant now = steadyNow();
    const Instant asOf = watchCoversUntil(answered.requestedAt, answered.wait, *result);
    this->changeFeed.onStoreEvents(result->events, upTo, this->registry.remainingRemovalGrace(now), asOf, now);
    this->applyEvents(result->events, upTo);
    this->performChangeFeedActions();
    // Only a few instances are relays, so a relay uses the minimum pause.
    const int watcherCount = this->changeFeed.isRelay() ? 1 : this->registry.liveInstances();
    const Duration eventPause = std::clamp(EVENT_PAUSE_PER_INSTANCE * watcherCount, MINIMUM_EVENT_PAUSE, MAXIMUM_EVENT_PAUSE);
    const Duration pause = result->events.empty() ? Duration::zero() : eventPause;
    this->continueAfter(pause, [this] { this->watch(); });
}

void RouteControl::onStoreFailure(const Error &error, bool relist)
{
    ++this->consecutiveFailures;
    if (error.code != Errc::historyGone) {
        this->changeFeed.onStoreUnavailable(steadyNow());
        this->performChangeFeedActions();
    }
    // A single failed watch is not treated as an outage.
    if (this->consecutiveFailures == 2 && !this->storeLost) {
        this->storeLost = true;
        this->registry.onStoreLost();
        this->lostSince = steadyNow();
        logEvent(LogLevel::warning, "dependency-lost", {{.key = "dependency", .value = "store"}, {.key = "error", .value = error.describe()}});
    }
    // A store that has compacted its history is reachable, so the listing starts without delay, unless it does not help.
    this->watchesWithoutHistory += error.code == Errc::historyGone ? 1 : 0;
    const bool storeResponds = error.code == Errc::historyGone && this->consecutiveFailures == 1 && this->watchesWithoutHistory == 1;
    const int failures = std::max(this->consecutiveFailures, this->watchesWithoutHistory);
    const Duration pause = storeResponds ? Duration::zero() : std::min(INITIAL_RETRY_DELAY * failures, MAXIMUM_RETRY_DELAY);
    const bool listAgain = relist || this->position.revision == 0;
    this->continueAfter(pause, [this, listAgain] {
        if (listAgain) {
            this->listStore();
        } else {
            this->watch();
        }
    });
}

void RouteControl::onStoreResponse()
{
    this->consecutiveFailures = 0;
    if (!this->storeLost) {
        return;
    }
    this->storeLost = false;
    this->registry.onStoreRecovered(steadyNow());
    logEvent(LogLevel::info,
             "dependency-regained",
             {{.key = "dependency", .value = "store"}, {.key = "away_ms", .value = std::to_string(toMs(steadyNow() - this->lostSince))}});
}

} // namespace ragwort
