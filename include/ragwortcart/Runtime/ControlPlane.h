/// \file
/// Implements the control thread of an entry instance that serves teams.
///
/// It watches the platform's store and instance list through `PlatformClient`, manages idempotency claims and the instance's
/// ordinal, exchanges state with peers, and publishes configuration and topology to the worker threads.
#ifndef RAGWORTCART_RUNTIME_CONTROLPLANE_H
#define RAGWORTCART_RUNTIME_CONTROLPLANE_H

#include "ragwortcart/Control/ClaimManager.h"
#include "ragwortcart/Control/ConfigurationManager.h"
#include "ragwortcart/Control/Freshness.h"
#include "ragwortcart/Control/OrdinalManager.h"
#include "ragwortcart/Control/PeerExchange.h"
#include "ragwortcart/Control/ServerDirectory.h"
#include "ragwortcart/Runtime/Worker.h"
#include "ragwortcart/Wire/PeerLinks.h"
#include "ragwortcart/Wire/PlatformClient.h"

#include <QJsonObject>
#include <QObject>
#include <QTimer>
#include <atomic>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace ragwort {

// Keys that the tier uses in the platform's store.
/// Followed by the name of a configuration document.
inline constexpr std::string_view CONFIGURATION_PREFIX = "ragwort/config/";
/// The table of all ordinals and their holders.
inline constexpr std::string_view ORDINALS_KEY = "ragwort/seats";
/// Followed by the number of a bucket of claims.
inline constexpr std::string_view CLAIMS_PREFIX = "ragwort/claims/";

/// The control thread is the main thread of the process, which runs the Qt event loop. Workers send requests through `submit()`.
class ControlPlane : public QObject
{
public:
    struct Options
    {
        std::string instance;
        std::string domain;
        std::string platformAddress;
        /// Listen address for peers.
        std::string peersAddress;
        RcuValue<Configuration> &configuration;
        RcuValue<Topology> &topology;
        QuarantineList &quarantineList;
        MetricsRegistry &metrics;
    };

    explicit ControlPlane(const Options &options);

    /// Sets all workers of the process, ordered by index. Must be called before `start()`.
    void setWorkers(const std::vector<Worker *> &all);
    /// Listens for peer connections and starts to watch the platform.
    Result<bool> start();

    /// Closes all peer links.
    void stop()
    {
        this->links.stop();
    }

    /// Queues a worker's request on the control thread. Thread-safe.
    void submit(ControlRequest request);

    /// Returns true once configuration, instance list and ordinal are known and every group has a complete snapshot, and from then
    /// on. Thread-safe.
    bool ready() const
    {
        return this->isReady.load(std::memory_order_acquire);
    }

    /// Releases the ordinal, so that another instance can acquire it at once. Must be called after the last query has ended.
    /// \p done runs once, also if the ordinal could not be released after a few attempts.
    void releaseOrdinal(const std::function<void()> &done);

    bool claimsIdle() const
    {
        return this->claims.idle();
    }

    /// Returns the control thread's part of the state dump. Must be called on the control thread.
    QJsonObject dump() const;

private:
    void watchConfiguration(std::uint64_t index);
    void onConfiguration(const Result<KeyValues> &values, Instant requestedAt, std::uint64_t index);
    void watchInstances(const std::string &service, std::uint64_t index);
    void onServers(const PlatformInstances &listed);
    void onEntryInstances(const PlatformInstances &listed);
    void refreshOrdinals();
    void fetchOrdinals(const std::function<void()> &next);
    void onOrdinals(const KeyValues &values, Instant requestedAt);
    void tryReleaseOrdinal(int attemptsLeft, const std::function<void()> &done);
    void tryAcquireOrdinal();
    bool watchesStore() const;
    void pollServers();
    void pollServer(const ServerRecord &record);
    void onStatus(const ServerStatus &status, Instant observedAt);
    void offerDocument(const std::string &name, const QByteArray &json, const std::string &source);
    void rebuild();
    void scheduleRebuild();
    void tick();
    void updateReadiness();
    void handle(const ControlRequest &request);
    void performClaimActions();
    void readBucket(int bucket);
    void writeBucket(const WriteBucket &write);
    void recordCrash(const ReportCrash &crashReport);
    void announce(const AnnounceWarmUp &warmUp);
    PeerLinks::Handlers makeLinkHandlers();
    void onLink(const std::string &peer, bool up);
    void onPeerBytes(const std::string &peer, const std::string &bytes);
    void performPeerActions();
    void updateDesiredPeers();
    void postToQueryOwner(QueryId query, KernelEvent event);

    Options options;
    PlatformClient platform;
    ConfigurationManager configurationManager;
    ServerDirectory directory;
    OrdinalManager ordinals;
    ClaimManager claims;
    Freshness freshness;
    PeerExchange exchange;
    PeerLinks links;
    std::vector<Worker *> workers;
    QTimer tickTimer;
    QTimer claimTimer;
    bool serversListed = false;
    bool entryInstancesListed = false;
    bool ordinalCallPending = false;
    bool rebuildScheduled = false;
    Instant nextStatusPoll{};
    std::uint64_t tickCount = 0;
    std::atomic<bool> isReady{false};
};

} // namespace ragwort

#endif
