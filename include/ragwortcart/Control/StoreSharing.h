/// \file
/// Decides which instances follow the platform's metadata store themselves and which hear of its changes from peers.
///
/// In each failure domain a few instances, the relays, watch the store and push what changes to the others. An instance
/// that hears from nobody watches the store itself, and a relay that the store refuses hears from relays of other domains.
/// Without I/O: link events, messages and the store's answers go in with the time, actions come out.
#ifndef RAGWORTCART_CONTROL_STORESHARING_H
#define RAGWORTCART_CONTROL_STORESHARING_H

#include "ragwortcart/Control/MetadataStore.h"
#include "ragwortcart/Control/PeerMessages.h"
#include "ragwortcart/Control/PlatformFacts.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace ragwort {

/// How often each instance tells its linked peers how it hears of the store's changes.
inline constexpr Duration SHARING_DIGEST_INTERVAL = std::chrono::milliseconds(500);

struct SendSharing
{
    std::string peer;
    std::variant<PeerStoreDigest, PeerStoreEvents> message;
};

/// Changes that a peer has passed on, in order, none of them seen before.
struct ApplySharedEvents
{
    std::string peer;
    std::vector<StoreEvent> events;
    /// Everything up to this revision is known with them.
    StoreRevision upTo = 0;
    /// Removals within this time may stem from an outage of the store.
    Duration lapseGrace{};
};

using SharingAction = std::variant<SendSharing, ApplySharedEvents>;

class StoreSharing
{
public:
    struct Options
    {
        std::string instance;
        std::string domain;
        /// Instances of each failure domain that watch the store for the others at least: one may be lost without a gap.
        std::size_t fewestRelays = 2;
        /// A relay sends each change to that many instances at most, as a small machine's processor and link allow.
        std::size_t instancesPerRelay = 25;
        /// A peer that has said nothing for this long is not relied on.
        Duration silenceLimit = std::chrono::milliseconds(1600);
        /// What is kept for peers that have fallen behind; 256 KiB is a few configurations and some hundred servers.
        std::size_t historyBytes = 256 * 1024;
    };

    explicit StoreSharing(Options sharingOptions);

    void setInstance(const InstanceFact &fact);
    void removeInstance(const std::string &name);
    /// The whole list as it stands.
    void replaceInstances(std::span<const InstanceFact> facts);

    /// The peers to be linked with: addresses by instance.
    std::map<std::string, std::string> wantedLinks() const;

    void onLinkUp(const std::string &peer, Instant now);
    void onLinkDown(const std::string &peer, Instant now);
    void onDigest(const std::string &peer, const PeerStoreDigest &digest, Instant now);
    void onEvents(const std::string &peer, const PeerStoreEvents &message, Instant now);

    /// The store was listed; everything up to \p listed is known.
    void onListed(StoreRevision listed, Instant now);
    /// The store answered a watch with what changed after the revision known so far.
    void onStoreEvents(std::span<const StoreEvent> events, StoreRevision upTo, Duration lapseGrace, Instant now);
    /// This instance no longer watches the store, or the store failed to answer.
    void onStoreSilent(Instant now);
    /// The instance is about to end and no longer relays.
    void leave(Instant now);

    /// Sends digests that are due and notices silent peers.
    void advance(Instant now);

    /// True while this instance need not watch the store: a peer tells it all changes.
    bool followsPeer() const
    {
        return this->source.has_value() && !this->relay;
    }
    const std::optional<std::string> &followed() const
    {
        return this->source;
    }
    /// True if this instance is among those of its failure domain that watch the store for the others.
    bool isRelay() const
    {
        return this->relay;
    }

    /// Whether a peer hears of the store's changes from this instance.
    bool hasSubscribers() const;

    /// The linked relays of this failure domain, and all its linked instances.
    std::vector<std::string> linkedRelays() const;
    std::vector<std::string> linkedNeighbours() const;

    std::vector<SharingAction> takeActions();

private:
    struct Peer
    {
        Instant lastHeard{};
        int distance = STORE_UNHEARD;
        /// Invariant: while set, the peer has been sent everything up to `sentUpTo`.
        bool subscribed = false;
        StoreRevision sentUpTo = 0;
    };
    /// The lowest is listened to: near ones first, else each instance to another one.
    struct Preference
    {
        int distance = 0;
        std::uint64_t order = 0;

        bool operator<(const Preference &other) const
        {
            return std::pair(this->distance, this->order) < std::pair(other.distance, other.order);
        }
    };
    struct Remembered
    {
        StoreEvent event;
        StoreRevision revision = 0;
        std::size_t bytes = 0;
    };

    /// The names of the instances in \p domain that relay, in order of rank.
    std::vector<std::string> relaysOf(const std::string &domain) const;
    /// The relays of this failure domain that this instance is to be linked with.
    std::vector<std::string> ownRelays() const;
    void updateRole();
    int distance() const;
    Preference preference(const std::string &name, const Peer &peer) const;
    bool isUsable(const Peer &peer, Instant now) const;
    void chooseSource(Instant now);
    void remember(const StoreEvent &event);
    void pushTo(const std::string &name, Peer &peer, Duration lapseGrace);
    void pushToAll(Duration lapseGrace);
    void sendDigest(const std::string &name);
    void sendDigests(Instant now);

    const Options options;
    /// All live instances that can be linked with, this one included, by name.
    std::map<std::string, InstanceFact> instances;
    std::map<std::string, Peer> peers;
    /// The peer whose events are applied here. Invariant: linked, and nearer to the store than this instance.
    std::optional<std::string> source;
    /// The store's last answer to this instance was a good one, and it goes on watching.
    bool hearsStore = false;
    /// Changes are missing between what is known here and what peers still hold. Until the store has told them, peers are not
    /// listened to.
    bool missedChanges = false;
    bool leaving = false;
    /// Among the instances of its domain that watch the store for the others.
    bool relay = false;
    /// Everything up to this revision is known; 0 before the first list.
    StoreRevision revision = 0;
    /// Invariant: holds every change after `historyBegin` up to `revision`, in order.
    std::deque<Remembered> history;
    StoreRevision historyBegin = 0;
    std::size_t historySize = 0;
    Instant nextDigests{};
    std::vector<SharingAction> actions;
};

} // namespace ragwort

#endif
