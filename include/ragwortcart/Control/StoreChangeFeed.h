/// \file
/// Decides which instances watch the platform's metadata store directly and which receive its changes from peers.
///
/// In each failure domain a few instances, the relays, watch the store and push its changes to the others. An instance
/// without a source among its peers watches the store itself. A relay to which the store is unavailable receives
/// changes from relays of other domains. An instance to which the store is unavailable and that lacks changes which its
/// peers no longer hold gets all items from a peer. Changes count within one epoch of the store: when an instance hears of a later one, its contents
/// are out of date as a whole until a list of the store, or all items of a peer, replace them. Performs no I/O: inputs are timestamped link events, messages
/// and store replies; outputs are actions.
#ifndef RAGWORTCART_CONTROL_STORECHANGEFEED_H
#define RAGWORTCART_CONTROL_STORECHANGEFEED_H

#include "ragwortcart/Control/MetadataStore.h"
#include "ragwortcart/Control/PeerMessages.h"
#include "ragwortcart/Control/PlatformItems.h"
#include "ragwortcart/Control/StoreContents.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace ragwort {

/// Interval at which each instance sends its revision and its distance from the store to its linked peers.
inline constexpr Duration STORE_DIGEST_INTERVAL = std::chrono::milliseconds(500);

/// How long an instance that is no relay waits for a peer to send the contents of a new epoch.
inline constexpr Duration NEW_EPOCH_WAIT = std::chrono::milliseconds(1000);

struct SendStoreMessage
{
    std::string peer;
    std::variant<PeerStoreDigest, PeerStoreEvents, PeerStoreSnapshot> message;
};

/// Changes forwarded by a peer, in order, none of them known before.
struct ApplyRelayedEvents
{
    std::string peer;
    std::vector<StoreEvent> events;
    /// All changes up to this position are known once the events are applied. Invariant: in the epoch of what was known before.
    StorePosition upTo;
    /// Removals within this time may be caused by an outage of the store.
    Duration removalGrace{};
};

/// All items of the store, received from a peer. They replace the previous state.
struct ApplyRelayedSnapshot
{
    std::string peer;
    StorePosition position;
    std::vector<StoreItem> items;
};

/// The source lacks changes that this instance has not received, so they have to come from elsewhere.
struct ReportMissingChanges
{
    std::string peer;
    /// The changes after `known` up to `after` are missing.
    StoreRevision known = 0;
    StoreRevision after = 0;
};

using StoreFeedAction = std::variant<SendStoreMessage, ApplyRelayedEvents, ApplyRelayedSnapshot, ReportMissingChanges>;

class StoreChangeFeed
{
public:
    struct Options
    {
        std::string instance;
        std::string domain;
        /// Minimum number of instances of each failure domain that watch the store for the others: the loss of one
        /// causes no gap.
        std::size_t minRelays = 2;
        /// Instances of a failure domain per relay: a relay sends each change to about this many, as many as the processor and network link
        /// of the weakest instance allow. Relays with more capacity serve proportionally more.
        std::size_t instancesPerRelay = 25;
        /// A peer that has been silent for this long is not used as a source.
        Duration peerTimeout = std::chrono::milliseconds(1600);
        /// An instance whose knowledge the store has not confirmed for this long, directly or through peers, reads the store itself.
        /// Bounds the delay of a change at an instance that reaches the store, whatever its peers do.
        Duration confirmationTimeout = std::chrono::milliseconds(3000);
        /// Size of the history kept for peers that have fallen behind; 256 KiB holds a few configurations and some
        /// hundred servers.
        std::size_t historyBytes = 256 * 1024;
        /// A peer that asks again for a snapshot of the same epoch gets the next one after this time.
        Duration snapshotInterval = std::chrono::seconds(2);
        /// How long an instance that is no relay waits for a peer's snapshot of a new epoch before it lists the store itself.
        Duration newEpochWait = NEW_EPOCH_WAIT;
    };

    explicit StoreChangeFeed(Options feedOptions);

    void setInstance(const InstanceItem &instanceItem);
    void removeInstance(const std::string &name);
    /// Replaces the complete list.
    void replaceInstances(std::span<const InstanceItem> instanceItems);

    /// Returns the peers to link with: addresses by instance.
    std::map<std::string, std::string> desiredPeers() const;

    void onLinkUp(const std::string &peer, Instant now);
    void onLinkDown(const std::string &peer, Instant now);
    void onDigest(const std::string &peer, const PeerStoreDigest &digest, Instant now);
    void onEvents(const std::string &peer, const PeerStoreEvents &message, Instant now);
    void onSnapshot(const std::string &peer, const PeerStoreSnapshot &snapshot, Instant now);

    /// The store has stated its epoch in an answer. A lower one than before belongs to an answer that has been overtaken, and is ignored.
    void onStoreEpoch(StoreEpoch epoch, Instant now);
    /// The store has been listed; all changes up to \p listPosition are known, among them all that were made before \p asOf. Returns false
    /// if a later position has become known meanwhile; the caller must then ignore the list. A list of an earlier epoch that was asked for after
    /// the later one became known refutes that one.
    [[nodiscard]] bool onListed(std::span<const StoreItem> items, StorePosition listPosition, Instant asOf, Instant now);
    /// The store has answered a watch with the changes after the last known position, among them all that were made before \p asOf. \p upTo must
    /// be in the epoch of that position.
    void onStoreEvents(std::span<const StoreEvent> events, StorePosition upTo, Duration removalGrace, Instant asOf, Instant now);
    /// The store failed to reply.
    void onStoreUnavailable(Instant now);
    /// This instance no longer watches the store, because a peer forwards all changes.
    void onWatchSuspended(Instant now);
    /// Stops relaying before the instance shuts down.
    void leave(Instant now);

    /// Sends due digests and detects silent peers.
    void advance(Instant now);

    /// Returns true while this instance need not watch the store because a peer forwards all changes.
    bool followsPeer() const
    {
        return this->source.has_value() && !this->relay && !this->unconfirmed;
    }
    /// Returns true if the store has begun a later epoch than that of the contents, so that they must be replaced as a whole. False before
    /// the first list.
    bool isBehindEpoch() const
    {
        return this->position.revision > 0 && this->position.epoch < this->newestEpoch;
    }
    /// Returns true while a peer is expected to send the contents of the later epoch, so that this instance need not list the store.
    bool awaitsNewEpoch(Instant now) const;
    /// Returns whether an answer of the store in \p epoch, which covers \p asOf, shows that the latest epoch is not the store's.
    bool refutesEpoch(StoreEpoch epoch, Instant asOf) const
    {
        return epoch < this->newestEpoch && asOf > this->newestEpochSince;
    }
    /// Returns whether an answer that the store gave at \p answered, and that covers \p asOf, is of an earlier time of the same epoch than what is
    /// known, although it was asked for later.
    bool isContradictedBy(StorePosition answered, Instant asOf) const
    {
        return answered.epoch == this->position.epoch && answered < this->position && asOf > this->positionKnownSince;
    }
    /// Returns the latest epoch that the store or a peer has stated.
    StoreEpoch latestEpoch() const
    {
        return this->newestEpoch;
    }
    /// Returns true if the store has not confirmed this instance's knowledge within the confirmation timeout.
    bool isUnconfirmed() const
    {
        return this->unconfirmed;
    }
    /// Returns whether the list names instances that watch the store for this one.
    bool hasRelays() const
    {
        return !this->relay && !this->relaysOf(this->options.domain).empty();
    }
    const std::optional<std::string> &sourcePeer() const
    {
        return this->source;
    }
    /// Returns the latest time at which the store is known to have held no change that this instance lacks, or nothing before the
    /// first list.
    std::optional<Instant> confirmedAt() const
    {
        return this->lastConfirmed;
    }
    /// Returns the number of hops to the store: 0 if this instance watches it, `STORE_UNREACHABLE` without the store and a source.
    int distance() const;
    /// Returns true if this instance is among those of its failure domain that watch the store for the others.
    bool isRelay() const
    {
        return this->relay;
    }

    /// Returns true if a peer receives the store's changes from this instance.
    bool hasSubscribers() const;

    /// Returns all linked instances.
    std::vector<std::string> linkedPeers() const;
    /// Returns the linked relays of this failure domain.
    std::vector<std::string> linkedRelays() const;
    /// Returns all linked instances of this failure domain.
    std::vector<std::string> linkedDomainPeers() const;

    std::vector<StoreFeedAction> takeActions();

private:
    struct Peer
    {
        Instant lastContact{};
        /// When the store last confirmed the peer's knowledge. Nothing if the peer does not tell.
        std::optional<Instant> confirmedAt;
        /// `madeAtUs` of the peer's last digest.
        std::int64_t lastDigestUs = 0;
        int distance = STORE_UNREACHABLE;
        /// The position of the peer's last digest.
        StorePosition position;
        /// Invariant: while set, the peer has been sent all changes of its epoch up to `sentUpTo`, or a message that shows the gap. Nothing is
        /// sent while `sentUpTo` is in another epoch than this instance.
        bool subscribed = false;
        StorePosition sentUpTo;
        bool offersSnapshot = false;
        /// The peer's version compares epochs. True before its first digest.
        bool knowsEpochs = true;
        /// When the peer was last sent a snapshot.
        std::optional<Instant> snapshotSentAt;
        /// Epoch of that snapshot. Valid if `snapshotSentAt` is set.
        StoreEpoch snapshotEpoch = 0;
    };
    /// The peer with the lowest value is the preferred source: nearest to the store first, then in an order that
    /// differs between instances.
    struct Preference
    {
        int distance = 0;
        std::uint64_t order = 0;

        bool operator<(const Preference &other) const
        {
            return std::pair(this->distance, this->order) < std::pair(other.distance, other.order);
        }
    };
    struct HistoryEntry
    {
        StoreEvent event;
        StoreRevision revision = 0;
        std::size_t bytes = 0;
    };

    /// Returns the names of the relays in \p domain, in order of rank.
    std::vector<std::string> relaysOf(const std::string &domain) const;
    /// Returns the relays of this failure domain with which this instance is to be linked.
    std::vector<std::string> ownRelays() const;
    void updateRole();
    Preference preference(const std::string &name, const Peer &peer) const;
    /// Returns whether the peer may be the source. An instance that watches the store uses only peers that watch it too and that
    /// precede it in the order of relays, so that no two instances choose each other.
    bool isUsable(const std::string &name, const Peer &peer, Instant now) const;
    /// Returns the usable peer that ranks first among those in the epoch of the contents, or nothing. With \p withSnapshot: among those that
    /// offer a snapshot of the latest epoch.
    std::optional<std::string> preferredPeer(bool withSnapshot, Instant now) const;
    /// A peer has stated an epoch. The one that the store itself has refuted is not believed.
    void onPeerEpoch(StoreEpoch epoch, Instant now);
    void chooseSource(Instant now);
    void chooseSnapshotSource(Instant now);
    void appendHistory(const StoreEvent &event);
    void pushTo(const std::string &name, Peer &peer, Duration removalGrace);
    void pushToAll(Duration removalGrace);
    /// Sends all items to a peer that asked for them, unless it was sent those of this epoch a short time ago.
    void sendSnapshot(const std::string &name, Peer &peer, Instant now);
    /// Makes \p base the beginning of an empty history.
    void restartHistory(StorePosition base, Instant now);
    void advanceTo(StorePosition reached, Instant now);
    void confirm(Instant when, Instant now);
    void updateUnconfirmed(Instant now);
    /// Returns whether the peer reads what this instance sends it of its contents.
    bool canRead(const Peer &peer) const;
    void sendDigestsToSubscribers(Instant now);
    void sendDigest(const std::string &name, Instant now);
    void sendDigests(Instant now);

    const Options options;
    /// All live instances that accept links, this one included, by name.
    std::map<std::string, InstanceItem> instances;
    std::map<std::string, Peer> peers;
    /// The peer whose events are applied locally. Invariant: linked, and nearer to the store than this instance.
    std::optional<std::string> source;
    /// The peer that is asked for all items. Only set while `hasGap` is.
    std::optional<std::string> snapshotSource;
    /// The store failed to reply to this instance's last call.
    bool storeFailed = false;
    /// The store's last reply to this instance was successful, and the instance continues to watch it.
    bool storeAvailable = false;
    /// Changes are missing between the local position and the history that peers retain, or the store has begun a later epoch. Peers are not
    /// used as sources until the store or a snapshot has supplied what is missing.
    bool hasGap = false;
    bool leaving = false;
    /// Among the instances of its domain that watch the store for the others.
    bool relay = false;
    /// All changes up to this position are known.
    StorePosition position;
    /// When `position` last changed.
    Instant positionKnownSince{};
    /// Invariant: not lower than the epoch of `position`. Goes down only when the store refutes it.
    StoreEpoch newestEpoch = 0;
    /// An epoch that was stated although the store's own is lower. Another instance may not know that yet. 0 if there is none.
    StoreEpoch refutedEpoch = 0;
    /// When `newestEpoch` became known.
    Instant newestEpochSince{};
    /// At this time the store held no change after `position`.
    std::optional<Instant> lastConfirmed;
    /// `lastConfirmed` was further back than the confirmation timeout when it was last checked.
    bool unconfirmed = false;
    /// Invariant: holds every change after `historyBegin` up to `position`, in order, all of its epoch.
    std::deque<HistoryEntry> history;
    StoreRevision historyBegin = 0;
    std::size_t historySize = 0;
    /// Invariant: after the first list, the items of the store at `position`.
    StoreContents contents;
    Instant nextDigests{};
    std::vector<StoreFeedAction> actions;
};

} // namespace ragwort

#endif
