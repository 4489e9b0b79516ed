/// \file
/// Who follows the metadata store, and who hears of its changes from whom.
#include "ragwortcart/Control/StoreSharing.h"

#include "ragwortcart/Support/Hash.h"
#include "ragwortcart/Support/Visitor.h"

#include <algorithm>
#include <cassert>

namespace ragwort {

/// Relays listen to peers that hear the store themselves; other instances also to relays that listen to such a peer.
static constexpr int RELAY_SOURCE_DISTANCE = 0;
static constexpr int FOLLOWER_SOURCE_DISTANCE = 1;

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

StoreSharing::StoreSharing(Options sharingOptions) : options(std::move(sharingOptions))
{
}

void StoreSharing::setInstance(const InstanceFact &fact)
{
    if (!fact.peerAddress.empty()) {
        this->instances[fact.name] = fact;
        this->updateRole();
    }
}

void StoreSharing::removeInstance(const std::string &name)
{
    this->instances.erase(name);
    this->updateRole();
}

void StoreSharing::replaceInstances(std::span<const InstanceFact> facts)
{
    this->instances.clear();
    for (const InstanceFact &fact : facts) {
        this->setInstance(fact);
    }
    this->updateRole();
}

std::vector<std::string> StoreSharing::relaysOf(const std::string &domain) const
{
    std::vector<std::string> names;
    for (const auto &[name, fact] : this->instances) {
        if (fact.domain == domain) {
            names.push_back(name);
        }
    }
    std::sort(names.begin(), names.end(), [](const std::string &left, const std::string &right) {
        return std::pair(stableHash(left), left) < std::pair(stableHash(right), right);
    });
    const std::size_t wanted = std::max(this->options.fewestRelays, (names.size() + this->options.instancesPerRelay - 1) / this->options.instancesPerRelay);
    names.resize(std::min(names.size(), wanted));
    return names;
}

std::vector<std::string> StoreSharing::ownRelays() const
{
    std::vector<std::string> relays = this->relaysOf(this->options.domain);
    if (this->relay || relays.size() <= this->options.fewestRelays) {
        return relays;
    }
    // Others listen to a few of many, each to its own.
    const std::uint64_t seed = stableHash(this->options.instance);
    std::sort(
        relays.begin(), relays.end(), [seed](const std::string &left, const std::string &right) { return stableHash(left, seed) < stableHash(right, seed); });
    relays.resize(this->options.fewestRelays);
    return relays;
}

void StoreSharing::updateRole()
{
    const std::vector<std::string> relays = this->relaysOf(this->options.domain);
    this->relay = !this->leaving && std::find(relays.begin(), relays.end(), this->options.instance) != relays.end();
}

std::map<std::string, std::string> StoreSharing::wantedLinks() const
{
    std::map<std::string, std::string> wanted;
    const auto add = [&](const std::string &name) {
        if (name != this->options.instance) {
            wanted[name] = this->instances.at(name).peerAddress;
        }
    };
    for (const std::string &name : this->ownRelays()) {
        add(name);
    }
    if (!this->relay) {
        return wanted;
    }
    std::map<std::string, bool> domains;
    for (const auto &[name, fact] : this->instances) {
        domains[fact.domain] = true;
    }
    domains.erase(this->options.domain);
    for (const auto &[domain, known] : domains) {
        add(this->relaysOf(domain).front());
    }
    return wanted;
}

int StoreSharing::distance() const
{
    if (this->leaving) {
        return STORE_UNHEARD;
    }
    if (this->hearsStore) {
        return 0;
    }
    return this->source ? this->peers.at(*this->source).distance + 1 : STORE_UNHEARD;
}

bool StoreSharing::isUsable(const Peer &peer, Instant now) const
{
    const int farthest = this->relay ? RELAY_SOURCE_DISTANCE : FOLLOWER_SOURCE_DISTANCE;
    return peer.distance >= 0 && peer.distance <= farthest && now - peer.lastHeard < this->options.silenceLimit;
}

StoreSharing::Preference StoreSharing::preference(const std::string &name, const Peer &peer) const
{
    return {.distance = peer.distance, .order = stableHash(name, stableHash(this->options.instance))};
}

void StoreSharing::chooseSource(Instant now)
{
    const std::optional<std::string> before = this->source;
    std::optional<std::string> best;
    const bool needsSource = this->revision > 0 && !this->missedChanges && !this->leaving && !(this->relay && this->hearsStore);
    if (needsSource) {
        for (const auto &[name, peer] : this->peers) {
            if (!this->isUsable(peer, now)) {
                continue;
            }
            if (!best || this->preference(name, peer) < this->preference(*best, this->peers.at(*best))) {
                best = name;
            }
        }
    }
    if (best == before) {
        return;
    }
    this->source = best;
    for (const std::optional<std::string> &changed : {before, best}) {
        if (changed && this->peers.contains(*changed)) {
            this->sendDigest(*changed);
        }
    }
}

void StoreSharing::onLinkUp(const std::string &peer, Instant now)
{
    this->peers[peer] = {.lastHeard = now};
    this->sendDigest(peer);
}

void StoreSharing::onLinkDown(const std::string &peer, Instant now)
{
    this->peers.erase(peer);
    if (this->source == peer) {
        this->source.reset();
        this->chooseSource(now);
        this->sendDigests(now);
    }
}

void StoreSharing::onDigest(const std::string &peer, const PeerStoreDigest &digest, Instant now)
{
    const auto found = this->peers.find(peer);
    if (found == this->peers.end()) {
        return;
    }
    const int distanceBefore = this->distance();
    Peer &state = found->second;
    state.lastHeard = now;
    state.distance = digest.distance;
    if (digest.wantsEvents && !state.subscribed) {
        state.sentUpTo = digest.revision;
    }
    state.subscribed = digest.wantsEvents;
    this->chooseSource(now);
    if (state.subscribed) {
        this->pushTo(peer, state, Duration::zero());
    }
    if (this->distance() != distanceBefore) {
        this->sendDigests(now);
    }
}

void StoreSharing::onEvents(const std::string &peer, const PeerStoreEvents &message, Instant now)
{
    const auto found = this->peers.find(peer);
    if (found == this->peers.end() || this->source != peer) {
        return;
    }
    found->second.lastHeard = now;
    if (message.after > this->revision) {
        this->missedChanges = true;
        this->chooseSource(now);
        return;
    }
    ApplySharedEvents apply{.peer = peer, .events = {}, .upTo = message.revision, .lapseGrace = message.lapseGrace};
    for (const StoreEvent &event : message.events) {
        if (revisionOf(event) > this->revision) {
            this->remember(event);
            apply.events.push_back(event);
        }
    }
    this->revision = std::max(this->revision, message.revision);
    if (!apply.events.empty()) {
        this->actions.emplace_back(std::move(apply));
        this->pushToAll(message.lapseGrace);
    }
}

void StoreSharing::onListed(StoreRevision listed, Instant now)
{
    // What happened between the revision known before and the list is not in the history.
    this->history.clear();
    this->historySize = 0;
    this->historyBegin = listed;
    this->revision = listed;
    this->hearsStore = true;
    this->missedChanges = false;
    this->chooseSource(now);
    this->pushToAll(Duration::zero());
    this->sendDigests(now);
}

void StoreSharing::onStoreEvents(std::span<const StoreEvent> events, StoreRevision upTo, Duration lapseGrace, Instant now)
{
    const bool heardBefore = std::exchange(this->hearsStore, true);
    this->missedChanges = false;
    for (const StoreEvent &event : events) {
        if (revisionOf(event) > this->revision) {
            this->remember(event);
        }
    }
    this->revision = std::max(this->revision, upTo);
    this->chooseSource(now);
    this->pushToAll(lapseGrace);
    if (!heardBefore) {
        this->sendDigests(now);
    }
}

void StoreSharing::onStoreSilent(Instant now)
{
    if (std::exchange(this->hearsStore, false)) {
        this->chooseSource(now);
        this->sendDigests(now);
    }
}

void StoreSharing::leave(Instant now)
{
    this->leaving = true;
    this->updateRole();
    this->chooseSource(now);
    this->sendDigests(now);
}

void StoreSharing::advance(Instant now)
{
    const int distanceBefore = this->distance();
    this->chooseSource(now);
    if (now >= this->nextDigests || this->distance() != distanceBefore) {
        this->sendDigests(now);
    }
}

bool StoreSharing::hasSubscribers() const
{
    return std::any_of(this->peers.begin(), this->peers.end(), [](const auto &peer) { return peer.second.subscribed; });
}

std::vector<std::string> StoreSharing::linkedRelays() const
{
    std::vector<std::string> linked = this->relaysOf(this->options.domain);
    std::erase_if(linked, [this](const std::string &name) { return !this->peers.contains(name); });
    return linked;
}

std::vector<std::string> StoreSharing::linkedNeighbours() const
{
    std::vector<std::string> linked;
    for (const auto &[name, peer] : this->peers) {
        const auto fact = this->instances.find(name);
        if (fact != this->instances.end() && fact->second.domain == this->options.domain) {
            linked.push_back(name);
        }
    }
    return linked;
}

std::vector<SharingAction> StoreSharing::takeActions()
{
    return std::exchange(this->actions, {});
}

void StoreSharing::remember(const StoreEvent &event)
{
    const std::size_t bytes = bytesOf(event);
    this->history.push_back({.event = event, .revision = revisionOf(event), .bytes = bytes});
    this->historySize += bytes;
    // Without subscribers there is nobody to keep a history for; one that comes later lists the store or is near enough.
    const std::size_t limit = this->relay ? this->options.historyBytes : 0;
    while (this->historySize > limit && this->history.size() > 1) {
        this->historyBegin = this->history.front().revision;
        this->historySize -= this->history.front().bytes;
        this->history.pop_front();
    }
}

void StoreSharing::pushTo(const std::string &name, Peer &peer, Duration lapseGrace)
{
    if (peer.sentUpTo >= this->revision) {
        return;
    }
    PeerStoreEvents message{.after = std::max(peer.sentUpTo, this->historyBegin), .revision = this->revision, .lapseGrace = lapseGrace, .events = {}};
    for (const Remembered &each : this->history) {
        if (each.revision > peer.sentUpTo) {
            message.events.push_back(each.event);
        }
    }
    peer.sentUpTo = this->revision;
    this->actions.emplace_back(SendSharing{.peer = name, .message = std::move(message)});
}

void StoreSharing::pushToAll(Duration lapseGrace)
{
    for (auto &[name, peer] : this->peers) {
        if (peer.subscribed) {
            this->pushTo(name, peer, lapseGrace);
        }
    }
}

void StoreSharing::sendDigest(const std::string &name)
{
    const bool isSource = this->source == name;
    this->actions.emplace_back(
        SendSharing{.peer = name,
                    // Who is listened to must not listen to us.
                    .message = PeerStoreDigest{.revision = this->revision, .distance = isSource ? STORE_UNHEARD : this->distance(), .wantsEvents = isSource}});
}

void StoreSharing::sendDigests(Instant now)
{
    for (const auto &[name, peer] : this->peers) {
        this->sendDigest(name);
    }
    this->nextDigests = now + SHARING_DIGEST_INTERVAL;
}

} // namespace ragwort
