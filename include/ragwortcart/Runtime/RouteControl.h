/// \file
/// Implements the control thread of an instance that serves routes.
///
/// It watches the platform's metadata store directly or receives its changes from peers, maintains this instance's own entry
/// there, and publishes routes and servers to the worker threads. It relies on `StoreChangeFeed` to decide whether to watch the
/// store, and on `ServerRegistry` for the servers' shares.
#ifndef RAGWORTCART_RUNTIME_ROUTECONTROL_H
#define RAGWORTCART_RUNTIME_ROUTECONTROL_H

#include "ragwortcart/Control/MetadataStore.h"
#include "ragwortcart/Control/ServerAttemptAggregator.h"
#include "ragwortcart/Control/ServerRegistry.h"
#include "ragwortcart/Control/StoreChangeFeed.h"
#include "ragwortcart/Control/StoreListing.h"
#include "ragwortcart/Kernel/CrashEvidence.h"
#include "ragwortcart/Kernel/Topology.h"
#include "ragwortcart/Model/Configuration.h"
#include "ragwortcart/Model/Route.h"
#include "ragwortcart/Support/Metrics.h"
#include "ragwortcart/Support/RcuValue.h"
#include "ragwortcart/Wire/PeerLinks.h"

#include <QObject>
#include <QTimer>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ragwort {

/// Limits for hedges and retries of the whole tier at each service.
struct ExtraLoadLimits
{
    /// Extra sub-requests per planned sub-request.
    double ratio = 0.2;
    /// Maximum number of unused extra sub-requests that accumulate.
    double burst = 50.0;
};

/// The control thread is the main thread of the process, which runs the Qt event loop.
class RouteControl : public QObject
{
public:
    struct Options
    {
        std::string instance;
        std::string domain;
        /// Listen address for peers; empty disables peer links.
        std::string peersAddress;
        MetadataStore &store;
        const StoreFormat &format;
        RcuValue<Configuration> &configuration;
        RcuValue<Topology> &topology;
        CrashEvidence &crashEvidence;
        MetricsRegistry &metrics;
        ExtraLoadLimits extraLoad;
        ServerRegistry::Options registry;
        /// Timeout of a watch without events. Bounds the time to detect an unresponsive connection.
        Duration watchWait = std::chrono::seconds(4);
        /// The same for a relay. It is shorter, because a relay's followers receive no changes until it detects that the connection is
        /// lost.
        Duration relayWatchWait = std::chrono::seconds(1);
        /// Processor cores that this instance may use; 0 if unknown.
        double capacity = 0.0;
        /// The whole tier starts for the first time. An instance that restarts later reads the latest contents of the store, or it might use a
        /// server that has left meanwhile.
        bool firstStart = false;
        /// Called on the links' thread with the messages of divided queries, and when a link opens or closes.
        std::function<void(const std::string &peer, const std::string &bytes)> onPartialQueryMessage;
        std::function<void(const std::string &peer, bool up)> onPeerLink;
        /// Called on the main thread when a new version of the routes is applied.
        std::function<void(const RouteTable &)> onRoutes;
    };

    explicit RouteControl(Options controlOptions);

    void start();

    /// Sends a message over the link to \p peer, if there is one. Thread-safe.
    void sendToPeer(const std::string &peer, const std::string &bytes);

    /// Ends the links' thread. No handler of a link runs afterwards.
    void stopLinks();

    /// Stops watching the store and ends the lease of this instance's entry, which deletes the entry.
    void leave();

    /// Returns true once the routes and at least one server are known, and from then on. Thread-safe.
    bool ready() const
    {
        return this->isReady.load(std::memory_order_acquire);
    }

private:
    /// A list of the store that is being read page by page.
    struct Listing
    {
        ReadConsistency consistency = ReadConsistency::latest;
        /// `readNumber` when the list was begun.
        std::uint64_t number = 0;
        StoreListing pages;
        /// When the first page was requested. The list contains all changes made before.
        Instant requestedAt{};
    };

    /// A watch that the store has not answered yet.
    struct PendingWatch
    {
        /// `readNumber` when the watch was begun.
        std::uint64_t number = 0;
        Instant requestedAt{};
        Duration wait{};
    };

    /// What the metrics show of this instance's knowledge of the store. Written by the control thread, read by the operators' thread.
    struct StoreGauges
    {
        std::atomic<std::uint64_t> routesVersion{0};
        std::atomic<std::uint64_t> revision{0};
        std::atomic<StoreEpoch> epoch{0};
        std::atomic<int> distance{STORE_UNREACHABLE};
        /// Time on the monotonic clock, in microseconds; zero before the first confirmation.
        std::atomic<std::int64_t> confirmedAtUs{0};
        /// Numbers of entries that are believed although the store does not confirm them.
        std::atomic<std::size_t> unconfirmedServers{0};
        std::atomic<std::size_t> unconfirmedDomains{0};
        std::atomic<std::size_t> unconfirmedInstances{0};
    };

    /// Decoded items of a complete listing. They replace the previous state.
    struct ListedItems
    {
        std::vector<ServerEntry> servers;
        /// Those that may come from the older copy from which the store was restored.
        std::vector<ServerEntry> copiedServers;
        std::vector<std::string> domainsOut;
        std::vector<InstanceItem> instances;
    };

    // Watching the store (RouteControl.cpp), and applying its contents (RouteControlItems.cpp).
    void listStore(ReadConsistency consistency = ReadConsistency::latest);
    /// Lists the store, unless a peer is expected to send the contents of the later epoch: at once, or after a pause if that has happened just
    /// before. What is pending or scheduled of the reads before has no effect any more.
    void restartReading();
    /// Calls \p next after \p pause, unless the reading is restarted meanwhile.
    void continueAfter(Duration pause, std::function<void()> next);
    /// After the first list, waits for a relay to forward the changes since, so that most instances start without a watch of their own. At the
    /// first start, lists the store again if no relay is known yet. Watches the store if no relay forwards changes in time.
    void awaitRelay();
    /// Reads the next page. Begins a new list after a pause if the pages do not advance.
    void listPage(const std::shared_ptr<Listing> &listing);
    /// Replaces the previous state by a listing. Returns false if a later position is known.
    bool applyListing(const Listing &listing);
    void replaceState(std::span<const StoreItem> items, StorePosition itemsPosition);
    /// Handles the store's statement of its epoch in an answer.
    void onStoreEpoch(StoreEpoch epoch);
    /// Returns the position that an answer names. A store that states no epochs counts as in the latest one.
    StorePosition positionOf(StorePosition named) const;
    /// Returns the time before which all changes are part of a list.
    static Instant coveredUntil(const Listing &listing);
    /// Returns whether a list cannot be what the store holds: it is of an earlier epoch than the latest, or follows what is known with a lower
    /// revision of the same epoch.
    bool contradictsKnown(const Listing &listing) const;
    void reportOutdatedList(const Listing &listing, StorePosition listPosition);
    /// A list that may not be stale names a revision before one that was known when it was asked for. A store that states no epochs must have been
    /// restored from an older copy.
    void onRevisionDecreased(const Listing &listing);
    /// The store has begun a later epoch, as it or a peer has stated, and has lost what this instance last wrote.
    void onLaterEpoch();
    void watch();
    /// Returns for how long the next watch is to wait for events.
    Duration nextWatchWait() const;
    void onEvents(const PendingWatch &answered, const Result<StoreEvents> &result);
    /// Applies the events that are newer than `position`, in whose epoch they are, and publishes the resulting topology.
    void applyEvents(std::span<const StoreEvent> events, StorePosition upTo);
    void applyEvent(const StoreEvent &event);
    /// Applies an item. If \p listed is not null, the item belongs to a listing: all but the routes is only added to \p listed.
    void applyItem(const StoreItem &item, ListedItems *listed);
    void applyRemoval(const std::string &key);
    void applyRoutes(const RoutesItem &routesItem, StoreRevision storeRevision);
    void rebuild();
    /// Drops what was not written again in time after an outage or a restore of the store, and publishes the rest.
    void dropExpired();
    void scheduleExpiry();
    /// Updates the gauges of what the store does not confirm. Logs when all that an older copy lacked has been confirmed or dropped.
    void updateUnconfirmed();
    /// Handles a failed watch or listing and schedules the next one. \p relist requires a listing.
    void onStoreFailure(const Error &error, bool relist);
    /// Resets the failure count and ends an outage of the store.
    void onStoreResponse();

    // This instance's own entry in the store (RouteControlEntry.cpp).
    void grantLease();
    void renewLease();
    /// Gets a new lease and writes the entry again, after the store has lost both.
    void renewOwnEntry();
    void publishInstanceEntry();

    // Exchanging store events, attempt counts, server warnings and crash news with peers (RouteControlPeers.cpp).
    PeerLinks::Handlers makeLinkHandlers();
    /// Keeps the link to a coordinator or an aggregator open while it is in use, whoever has opened it. Thread-safe.
    void keepLinkOpen(const std::string &peer);
    void startPeerLinks();
    void onPeerBytes(const std::string &peer, const std::string &bytes);
    void performChangeFeedActions();
    void perform(const SendStoreMessage &send);
    void perform(const ApplyRelayedEvents &relayed);
    void perform(const ApplyRelayedSnapshot &snapshot);
    void perform(const ReportMissingChanges &missing);
    void updateDesiredPeers();
    /// Sends this instance's attempt counts to the relays. A relay also sends warnings about servers that perform badly to its domain.
    void sendAttemptCounts();
    /// Sends what was recorded about contents that crash servers since the last call to all linked peers, which pass it on.
    void sendCrashNews();
    /// Sends a peer whose link has opened all crashes that count.
    void sendAllCrashNews(const std::string &peer);
    void onCrashNews(const std::string &peer, const PeerCrashNews &received, Instant now);
    void sendTo(const std::string &peer, const PeerMessage &message);
    /// Logs a change of the source of store events and resumes the store watch when no peer forwards all events.
    void updateWatchState();
    void registerGauges();
    void updateGauges();

    Options options;
    ServerRegistry registry;
    StoreChangeFeed changeFeed;
    ServerAttemptAggregator attemptAggregator;
    /// Current routes. The version never decreases. Null before the first version.
    std::shared_ptr<const RouteTable> routes;
    /// All events up to this position have been applied.
    StorePosition position;
    /// Items up to this revision may come from the older copy from which the store was restored. 0 if it was not.
    StoreRevision copiedUpTo = 0;
    /// When the first contents of the epoch were applied, until all that they lacked has been confirmed or dropped.
    std::optional<Instant> epochContentsSince;
    /// The latest epoch of the store that has been acted upon, and when it became known.
    StoreEpoch actedOnEpoch = 0;
    /// The epoch that the store has stated last, also if it is lower than before. Nothing if it has stated none.
    std::optional<StoreEpoch> statedEpoch;
    Instant epochKnownSince{};
    /// Lease of this instance's own entry. 0 before the first lease is granted, and while a new one is.
    LeaseId lease = 0;
    /// Incremented whenever `lease` is granted or lost. Tells leases apart whose numbers a restored store has given out twice.
    std::uint64_t leaseNumber = 0;
    /// Epoch in which the lease was granted last.
    StoreEpoch leaseEpoch = 0;
    /// A lease is being granted, or will be asked for again after a failure.
    bool awaitsLease = false;
    bool leaving = false;
    /// True while a peer forwards the events and no watch or listing of the store is pending or scheduled, and while a relay is awaited.
    bool watchSuspended = false;
    /// The instance has not completed its first list, or no list has named a relay yet.
    bool awaitsRelay = false;
    /// Until then, a relay is awaited after the start.
    Instant awaitRelayUntil{};
    /// The last list was ignored because a later position was known.
    bool lastListIgnored = false;
    /// Number of lists after the start that named no relay.
    int listsWithoutRelay = 0;
    /// Source of store events that was logged last. Empty if this instance watches the store.
    std::string loggedSource;
    /// Set by the second consecutive failure. Cleared by the next response of the store or when a peer forwards the events.
    bool storeLost = false;
    /// Valid while `storeLost` is set.
    Instant lostSince{};
    /// Number of restarts of the reading. Only one watch or listing with this number is pending or scheduled.
    std::uint64_t readNumber = 0;
    /// When the reading was last restarted.
    Instant restartedAt{};
    /// Number of watches and listings that failed since the last successful one.
    int consecutiveFailures = 0;
    /// Number of watches whose revision the store no longer had since the last one that it answered.
    int watchesWithoutHistory = 0;
    /// Set if applied events are not yet part of the published topology.
    bool rebuildNeeded = false;
    QTimer expiryTimer;
    QTimer changeFeedTimer;
    std::atomic<bool> isReady{false};
    StoreGauges gauges;
    /// Calls of the store, by kind.
    struct StoreCalls
    {
        Counter &lists;
        Counter &staleLists;
        Counter &watches;
        Counter &grants;
        Counter &renewals;
        Counter &writes;
        /// Lists that were ignored because later changes were known.
        Counter &outdatedLists;
    };
    StoreCalls storeCalls;
    /// Restores of the store from an older copy that this instance has noticed.
    Counter &epochChanges;
    /// Time from hearing of an epoch until its contents are applied.
    LatencyHistogram &epochCatchUp;
    /// Declared last, so that its thread ends before the members that it calls are destroyed. Null without peer links.
    std::unique_ptr<PeerLinks> links;
    /// `links` once they are started, for other threads.
    std::atomic<PeerLinks *> startedLinks{nullptr};
};

} // namespace ragwort

#endif
