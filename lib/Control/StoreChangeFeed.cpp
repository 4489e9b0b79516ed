/// \file
/// Implements the selection of relays and sources, and the forwarding of changes.
#include "ragwortcart/Control/StoreChangeFeed.h"

#include "ragwortcart/Support/Hash.h"
#include "ragwortcart/Support/Visitor.h"

#include <algorithm>
#include <cassert>

namespace ragwort {

/// Relays, and instances that watch the store, use only sources that watch the store themselves. Other instances also use relays
/// whose source watches it.
static constexpr int RELAY_MAX_SOURCE_DISTANCE = 0;
static constexpr int FOLLOWER_MAX_SOURCE_DISTANCE = 1;

static StoreRevision revisionOf(const StoreEvent &event)
{
    return std::visit([](const auto &typed) { return typed.revision; }, event);
}

static std::size_t bytesOf(const StoreEvent &event)
{
    return std::visit(Visitor{[](const StoreItem &item) { return item.key.size() + static_cast<std::size_t>(item.value.size()); },
                              [](const StoreDeletion &deletion) { return deletion.key.size(); }},
                      event);
}

/// The order in which the instances of a domain become its relays.
static bool precedes(const std::string &left, const std::string &right)
{
    return std::pair(stableHash(left), left) < std::pair(stableHash(right), right);
}

StoreChangeFeed::StoreChangeFeed(Options feedOptions) : options(std::move(feedOptions))
{
}

void StoreChangeFeed::setInstance(const InstanceItem &instanceItem)
{
    if (!instanceItem.peerAddress.empty()) {
        this->instances[instanceItem.name] = instanceItem;
        this->updateRole();
    }
}

void StoreChangeFeed::removeInstance(const std::string &name)
{
    this->instances.erase(name);
    this->updateRole();
}

void StoreChangeFeed::replaceInstances(std::span<const InstanceItem> instanceItems)
{
    this->instances.clear();
    for (const InstanceItem &instanceItem : instanceItems) {
        this->setInstance(instanceItem);
    }
    this->updateRole();
}

std::vector<std::string> StoreChangeFeed::relaysOf(const std::string &domain) const
{
    std::vector<const InstanceItem *> candidates;
    double leastCapacity = 0.0;
    for (const auto &[name, instanceItem] : this->instances) {
        if (instanceItem.domain == domain) {
            candidates.push_back(&instanceItem);
            const bool least = instanceItem.capacity > 0.0 && (leastCapacity == 0.0 || instanceItem.capacity < leastCapacity);
            leastCapacity = least ? instanceItem.capacity : leastCapacity;
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const InstanceItem *left, const InstanceItem *right) {
        return left->capacity != right->capacity ? left->capacity > right->capacity : precedes(left->name, right->name);
    });
    std::vector<std::string> names;
    double served = 0.0;
    for (const InstanceItem *candidate : candidates) {
        if (names.size() >= this->options.minRelays && served >= static_cast<double>(candidates.size())) {
            break;
        }
        const double strength = leastCapacity > 0.0 ? std::max(candidate->capacity / leastCapacity, 1.0) : 1.0;
        served += strength * static_cast<double>(this->options.instancesPerRelay);
        names.push_back(candidate->name);
    }
    return names;
}

std::vector<std::string> StoreChangeFeed::ownRelays() const
{
    std::vector<std::string> relays = this->relaysOf(this->options.domain);
    if (this->relay || relays.size() <= this->options.minRelays) {
        return relays;
    }
    // Each follower links with only a few of the relays, selected by its own name.
    const std::uint64_t seed = stableHash(this->options.instance);
    std::sort(
        relays.begin(), relays.end(), [seed](const std::string &left, const std::string &right) { return stableHash(left, seed) < stableHash(right, seed); });
    relays.resize(this->options.minRelays);
    return relays;
}

void StoreChangeFeed::updateRole()
{
    const std::vector<std::string> relays = this->relaysOf(this->options.domain);
    this->relay = !this->leaving && std::find(relays.begin(), relays.end(), this->options.instance) != relays.end();
}

std::map<std::string, std::string> StoreChangeFeed::desiredPeers() const
{
    std::map<std::string, std::string> desired;
    const auto add = [&](const std::string &name) {
        if (name != this->options.instance) {
            desired[name] = this->instances.at(name).peerAddress;
        }
    };
    for (const std::string &name : this->ownRelays()) {
        add(name);
    }
    if (!this->relay) {
        return desired;
    }
    std::map<std::string, bool> domains;
    for (const auto &[name, instanceItem] : this->instances) {
        domains[instanceItem.domain] = true;
    }
    domains.erase(this->options.domain);
    for (const auto &[domain, known] : domains) {
        add(this->relaysOf(domain).front());
    }
    return desired;
}

int StoreChangeFeed::distance() const
{
    if (this->leaving) {
        return STORE_UNREACHABLE;
    }
    if (this->storeAvailable) {
        return 0;
    }
    return this->source ? this->peers.at(*this->source).distance + 1 : STORE_UNREACHABLE;
}

bool StoreChangeFeed::isUsable(const std::string &name, const Peer &peer, Instant now) const
{
    if (this->storeAvailable && !precedes(name, this->options.instance)) {
        return false;
    }
    if (peer.confirmedAt && now - *peer.confirmedAt >= this->options.confirmationTimeout) {
        return false;
    }
    const bool needsNearest = this->relay || this->storeAvailable;
    const int maxDistance = needsNearest ? RELAY_MAX_SOURCE_DISTANCE : FOLLOWER_MAX_SOURCE_DISTANCE;
    return peer.distance >= 0 && peer.distance <= maxDistance && now - peer.lastContact < this->options.peerTimeout;
}

StoreChangeFeed::Preference StoreChangeFeed::preference(const std::string &name, const Peer &peer) const
{
    return {.distance = peer.distance, .order = stableHash(name, stableHash(this->options.instance))};
}

std::optional<std::string> StoreChangeFeed::preferredPeer(bool withSnapshot, Instant now) const
{
    std::optional<std::string> best;
    for (const auto &[name, peer] : this->peers) {
        const bool suitable = withSnapshot ? peer.offersSnapshot && peer.position.epoch == this->newestEpoch : peer.position.epoch == this->position.epoch;
        if (!suitable || !this->isUsable(name, peer, now)) {
            continue;
        }
        if (!best || this->preference(name, peer) < this->preference(*best, this->peers.at(*best))) {
            best = name;
        }
    }
    return best;
}

void StoreChangeFeed::chooseSource(Instant now)
{
    this->chooseSnapshotSource(now);
    const std::optional<std::string> previous = this->source;
    const bool needsSource = this->position.revision > 0 && !this->hasGap && !this->leaving && !(this->relay && this->storeAvailable);
    const std::optional<std::string> best = needsSource ? this->preferredPeer(false, now) : std::nullopt;
    if (best == previous) {
        return;
    }
    this->source = best;
    for (const std::optional<std::string> &changed : {previous, best}) {
        if (changed && this->peers.contains(*changed)) {
            this->sendDigest(*changed, now);
        }
    }
}

void StoreChangeFeed::chooseSnapshotSource(Instant now)
{
    const std::optional<std::string> previous = this->snapshotSource;
    const bool listsItself = !this->storeFailed && (this->relay || !this->isBehindEpoch());
    const bool needsSnapshot = this->hasGap && !listsItself && !this->leaving;
    this->snapshotSource = needsSnapshot ? this->preferredPeer(true, now) : std::nullopt;
    if (this->snapshotSource && this->snapshotSource != previous) {
        this->sendDigest(*this->snapshotSource, now);
    }
}

bool StoreChangeFeed::awaitsNewEpoch(Instant now) const
{
    const auto isHeard = [&](const auto &peer) { return now - peer.second.lastContact < this->options.peerTimeout; };
    const bool waits = this->isBehindEpoch() && !this->relay && now - this->newestEpochSince < this->options.newEpochWait;
    return waits && std::any_of(this->peers.begin(), this->peers.end(), isHeard);
}

void StoreChangeFeed::onStoreEpoch(StoreEpoch epoch, Instant now)
{
    if (epoch <= this->newestEpoch) {
        return;
    }
    this->newestEpoch = epoch;
    this->newestEpochSince = now;
    if (this->isBehindEpoch()) {
        this->hasGap = true;
        this->chooseSource(now);
    }
}

void StoreChangeFeed::onPeerEpoch(StoreEpoch epoch, Instant now)
{
    if (epoch != this->refutedEpoch) {
        this->onStoreEpoch(epoch, now);
    }
}

void StoreChangeFeed::onLinkUp(const std::string &peer, Instant now)
{
    this->peers[peer] = {.lastContact = now};
    this->sendDigest(peer, now);
}

void StoreChangeFeed::onLinkDown(const std::string &peer, Instant now)
{
    this->peers.erase(peer);
    if (this->source == peer) {
        this->source.reset();
        this->chooseSource(now);
        this->sendDigests(now);
    }
}

/// Returns when the store confirmed the sender's knowledge, by the receiver's clock, or nothing if the digest does not tell. The digest was
/// made after the receiver's own digest that it echoes, so the time is never too late.
static std::optional<Instant> confirmationTime(const PeerStoreDigest &digest)
{
    if (digest.confirmedAge < Duration::zero() || digest.echoedUs == 0) {
        return std::nullopt;
    }
    return Instant(Duration(digest.echoedUs)) - digest.confirmedAge;
}

void StoreChangeFeed::onDigest(const std::string &peer, const PeerStoreDigest &digest, Instant now)
{
    const auto found = this->peers.find(peer);
    if (found == this->peers.end()) {
        return;
    }
    const int previousDistance = this->distance();
    Peer &state = found->second;
    state.lastContact = now;
    state.distance = digest.distance;
    const bool changedEpoch = std::exchange(state.position, digest.position).epoch != digest.position.epoch;
    this->onPeerEpoch(digest.position.epoch, now);
    const bool changedVersion = std::exchange(state.knowsEpochs, digest.knowsEpochs) != digest.knowsEpochs;
    state.offersSnapshot = digest.offersSnapshot;
    state.lastDigestUs = digest.madeAtUs;
    state.confirmedAt = confirmationTime(digest);
    const std::optional<Instant> confirmedBefore = this->lastConfirmed;
    if (state.confirmedAt && digest.position.epoch == this->position.epoch && digest.position <= this->position) {
        this->confirm(*state.confirmedAt, now);
    }
    if (digest.wantsEvents && (changedEpoch || !state.subscribed)) {
        state.sentUpTo = digest.position;
    }
    state.subscribed = digest.wantsEvents;
    this->chooseSource(now);
    if (state.subscribed) {
        this->pushTo(peer, state, Duration::zero());
    }
    if (digest.wantsSnapshot) {
        this->sendSnapshot(peer, state, now);
    }
    if (this->distance() != previousDistance) {
        this->sendDigests(now);
    } else if (this->source == peer && this->lastConfirmed > confirmedBefore) {
        this->sendDigestsToSubscribers(now);
    } else if (changedVersion) {
        this->sendDigest(peer, now);
    }
}

void StoreChangeFeed::onEvents(const std::string &peer, const PeerStoreEvents &message, Instant now)
{
    const auto found = this->peers.find(peer);
    if (found == this->peers.end() || this->source != peer) {
        return;
    }
    found->second.lastContact = now;
    if (message.position.epoch != this->position.epoch) {
        this->onPeerEpoch(message.position.epoch, now);
        return;
    }
    if (message.after > this->position.revision) {
        this->actions.emplace_back(ReportMissingChanges{.peer = peer, .known = this->position.revision, .after = message.after});
        this->hasGap = true;
        this->chooseSource(now);
        return;
    }
    ApplyRelayedEvents apply{.peer = peer, .events = {}, .upTo = message.position, .removalGrace = message.removalGrace};
    for (const StoreEvent &event : message.events) {
        if (revisionOf(event) > this->position.revision) {
            this->appendHistory(event);
            apply.events.push_back(event);
        }
    }
    this->advanceTo(message.position, now);
    if (!apply.events.empty()) {
        this->actions.emplace_back(std::move(apply));
        this->pushToAll(message.removalGrace);
    }
}

void StoreChangeFeed::onSnapshot(const std::string &peer, const PeerStoreSnapshot &snapshot, Instant now)
{
    this->onPeerEpoch(snapshot.position.epoch, now);
    const bool outdated = snapshot.position.epoch < this->newestEpoch || snapshot.position < this->position;
    if (!this->peers.contains(peer) || !this->hasGap || outdated) {
        return;
    }
    this->restartHistory(snapshot.position, now);
    this->contents.replace(snapshot.items);
    this->hasGap = false;
    this->actions.emplace_back(ApplyRelayedSnapshot{.peer = peer, .position = snapshot.position, .items = snapshot.items});
    this->chooseSource(now);
    this->pushToAll(Duration::zero());
    this->sendDigests(now);
}

bool StoreChangeFeed::onListed(std::span<const StoreItem> items, StorePosition listPosition, Instant asOf, Instant now)
{
    this->onStoreEpoch(listPosition.epoch, now);
    this->storeAvailable = true;
    this->storeFailed = false;
    if (this->refutesEpoch(listPosition.epoch, asOf)) {
        this->refutedEpoch = std::exchange(this->newestEpoch, listPosition.epoch);
        this->newestEpochSince = now;
    } else if (listPosition.epoch < this->newestEpoch || listPosition < this->position) {
        return false;
    }
    this->restartHistory(listPosition, now);
    this->contents.replace(items);
    this->confirm(asOf, now);
    this->hasGap = false;
    this->chooseSource(now);
    this->pushToAll(Duration::zero());
    this->sendDigests(now);
    return true;
}

void StoreChangeFeed::onStoreEvents(std::span<const StoreEvent> events, StorePosition upTo, Duration removalGrace, Instant asOf, Instant now)
{
    assert(upTo.epoch == this->position.epoch && !this->isBehindEpoch() && "changes of another epoch do not follow the contents");
    const bool availableBefore = std::exchange(this->storeAvailable, true);
    this->storeFailed = false;
    this->hasGap = false;
    for (const StoreEvent &event : events) {
        if (revisionOf(event) > this->position.revision) {
            this->appendHistory(event);
        }
    }
    this->advanceTo(upTo, now);
    this->confirm(asOf, now);
    this->chooseSource(now);
    this->pushToAll(removalGrace);
    if (availableBefore) {
        this->sendDigestsToSubscribers(now);
    } else {
        this->sendDigests(now);
    }
}

void StoreChangeFeed::onStoreUnavailable(Instant now)
{
    const bool availableBefore = std::exchange(this->storeAvailable, false);
    const bool failedBefore = std::exchange(this->storeFailed, true);
    if (availableBefore || !failedBefore) {
        this->chooseSource(now);
        this->sendDigests(now);
    }
}

void StoreChangeFeed::onWatchSuspended(Instant now)
{
    if (std::exchange(this->storeAvailable, false)) {
        this->chooseSource(now);
        this->sendDigests(now);
    }
}

void StoreChangeFeed::leave(Instant now)
{
    this->leaving = true;
    this->updateRole();
    this->chooseSource(now);
    this->sendDigests(now);
}

void StoreChangeFeed::advance(Instant now)
{
    const int previousDistance = this->distance();
    this->updateUnconfirmed(now);
    this->chooseSource(now);
    if (now >= this->nextDigests || this->distance() != previousDistance) {
        this->sendDigests(now);
    }
}

bool StoreChangeFeed::hasSubscribers() const
{
    return std::any_of(this->peers.begin(), this->peers.end(), [](const auto &peer) { return peer.second.subscribed; });
}

std::vector<std::string> StoreChangeFeed::linkedRelays() const
{
    std::vector<std::string> linked = this->relaysOf(this->options.domain);
    std::erase_if(linked, [this](const std::string &name) { return !this->peers.contains(name); });
    return linked;
}

std::vector<std::string> StoreChangeFeed::linkedPeers() const
{
    std::vector<std::string> linked;
    for (const auto &[name, peer] : this->peers) {
        linked.push_back(name);
    }
    return linked;
}

std::vector<std::string> StoreChangeFeed::linkedDomainPeers() const
{
    std::vector<std::string> linked;
    for (const auto &[name, peer] : this->peers) {
        const auto instanceItem = this->instances.find(name);
        if (instanceItem != this->instances.end() && instanceItem->second.domain == this->options.domain) {
            linked.push_back(name);
        }
    }
    return linked;
}

std::vector<StoreFeedAction> StoreChangeFeed::takeActions()
{
    return std::exchange(this->actions, {});
}

void StoreChangeFeed::appendHistory(const StoreEvent &event)
{
    this->contents.apply(event);
    const std::size_t bytes = bytesOf(event);
    this->history.push_back({.event = event, .revision = revisionOf(event), .bytes = bytes});
    this->historySize += bytes;
    // An instance that is not a relay keeps only the last change, because peers normally do not subscribe to it. One
    // that does is nearly up to date, or reads the missing changes from the store.
    const std::size_t limit = this->relay ? this->options.historyBytes : 0;
    while (this->historySize > limit && this->history.size() > 1) {
        this->historyBegin = this->history.front().revision;
        this->historySize -= this->history.front().bytes;
        this->history.pop_front();
    }
}

void StoreChangeFeed::pushTo(const std::string &name, Peer &peer, Duration removalGrace)
{
    if (peer.sentUpTo.epoch != this->position.epoch || peer.sentUpTo >= this->position) {
        return;
    }
    // If the history no longer contains all changes that the peer lacks, `after` exceeds the peer's revision, and the
    // peer reads the missing changes from the store.
    PeerStoreEvents message{
        .after = std::max(peer.sentUpTo.revision, this->historyBegin), .position = this->position, .removalGrace = removalGrace, .events = {}};
    for (const HistoryEntry &entry : this->history) {
        if (entry.revision > peer.sentUpTo.revision) {
            message.events.push_back(entry.event);
        }
    }
    peer.sentUpTo = this->position;
    this->actions.emplace_back(SendStoreMessage{.peer = name, .message = std::move(message)});
}

void StoreChangeFeed::pushToAll(Duration removalGrace)
{
    for (auto &[name, peer] : this->peers) {
        if (peer.subscribed) {
            this->pushTo(name, peer, removalGrace);
        }
    }
}

void StoreChangeFeed::sendSnapshot(const std::string &name, Peer &peer, Instant now)
{
    const bool sentRecently = peer.snapshotSentAt && peer.snapshotEpoch == this->position.epoch && now - *peer.snapshotSentAt < this->options.snapshotInterval;
    if (sentRecently || this->hasGap || this->position.revision == 0 || !this->canRead(peer)) {
        return;
    }
    peer.snapshotSentAt = now;
    peer.snapshotEpoch = this->position.epoch;
    this->actions.emplace_back(SendStoreMessage{.peer = name, .message = PeerStoreSnapshot{.position = this->position, .items = this->contents.items()}});
}

void StoreChangeFeed::restartHistory(StorePosition base, Instant now)
{
    this->history.clear();
    this->historySize = 0;
    this->historyBegin = base.revision;
    this->position = base;
    this->positionKnownSince = now;
}

void StoreChangeFeed::advanceTo(StorePosition reached, Instant now)
{
    if (reached > this->position) {
        this->position = reached;
        this->positionKnownSince = now;
    }
}

void StoreChangeFeed::confirm(Instant when, Instant now)
{
    this->lastConfirmed = std::max(this->lastConfirmed.value_or(when), when);
    this->updateUnconfirmed(now);
}

void StoreChangeFeed::updateUnconfirmed(Instant now)
{
    this->unconfirmed = this->lastConfirmed && now - *this->lastConfirmed >= this->options.confirmationTimeout;
}

bool StoreChangeFeed::canRead(const Peer &peer) const
{
    return peer.knowsEpochs || this->position.epoch == 0;
}

void StoreChangeFeed::sendDigestsToSubscribers(Instant now)
{
    for (const auto &[name, peer] : this->peers) {
        if (peer.subscribed) {
            this->sendDigest(name, now);
        }
    }
}

void StoreChangeFeed::sendDigest(const std::string &name, Instant now)
{
    const bool isSource = this->source == name;
    const auto peer = this->peers.find(name);
    const bool readable = peer == this->peers.end() || this->canRead(peer->second);
    this->actions.emplace_back(
        SendStoreMessage{.peer = name,
                         // The source must not use this instance as its own source, nor must a peer that could not
                         // read the changes, or would compare revisions of different epochs.
                         .message = PeerStoreDigest{.position = this->position,
                                                    .distance = isSource || !readable ? STORE_UNREACHABLE : this->distance(),
                                                    .wantsEvents = isSource,
                                                    .confirmedAge = this->lastConfirmed && readable ? now - *this->lastConfirmed : AGE_UNKNOWN,
                                                    .offersSnapshot = this->position.revision > 0 && !this->hasGap && readable,
                                                    .wantsSnapshot = this->snapshotSource == name,
                                                    .madeAtUs = now.time_since_epoch().count(),
                                                    .echoedUs = peer == this->peers.end() ? 0 : peer->second.lastDigestUs}});
}

void StoreChangeFeed::sendDigests(Instant now)
{
    for (const auto &[name, peer] : this->peers) {
        this->sendDigest(name, now);
    }
    this->nextDigests = now + STORE_DIGEST_INTERVAL;
}

} // namespace ragwort
