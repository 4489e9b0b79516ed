/// \file
/// Decides which messages are sent to which peer to propagate configuration, statuses, crash reports and warm-ups.
/// Performs no I/O.
///
/// In a large tier an instance has links to a few peers only. It forwards what is new to it to its other peers;
/// periodic digests and refreshes repair lost updates. Instances that serve routes use StoreChangeFeed instead.
#ifndef RAGWORTCART_CONTROL_PEEREXCHANGE_H
#define RAGWORTCART_CONTROL_PEEREXCHANGE_H

#include "ragwortcart/Control/Freshness.h"
#include "ragwortcart/Control/PeerMessages.h"
#include "ragwortcart/Control/ServerDirectory.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ragwort {

inline constexpr Duration PEER_DIGEST_INTERVAL = std::chrono::milliseconds(500);
/// Interval at which all statuses polled by this instance are sent again. This repairs lost updates and renews the
/// confirmation of the servers' incarnations at the peers, which lasts for `CONFIRMATION_LIFETIME`.
inline constexpr Duration PEER_STATUS_REFRESH_INTERVAL = std::chrono::seconds(1);
/// A crash report is completed once all linked peers have acknowledged it, or after this time.
inline constexpr Duration CRASH_REPORT_ACK_TIMEOUT = std::chrono::milliseconds(100);

struct SendToPeer
{
    std::string peer;
    PeerMessage message;
};

/// A configuration document received from a peer, to be offered to the ConfigurationManager.
struct OfferDocument
{
    ConfigurationDocument document;
    std::string peer;
};

/// The topology must be rebuilt.
struct TopologyChanged
{
};

/// Delivers `CrashReportCompleted` to the query engine whose query waits for the crash report.
struct CompleteCrashReport
{
    QueryId query = 0;
    std::uint64_t fingerprint = 0;
    int crashedServers = 0;
};

/// A server whose status has not been refreshed for this long is polled by every instance directly.
inline constexpr Duration STATUS_STALE_TIMEOUT = std::chrono::milliseconds(1600);

using PeerAction = std::variant<SendToPeer, OfferDocument, TopologyChanged, CompleteCrashReport>;

class PeerExchange
{
public:
    struct Options
    {
        std::string instance;
        std::string domain;
        ConfigurationManager &configurationManager;
        ServerDirectory &directory;
        Freshness &freshness;
        QuarantineList &quarantineList;
    };

    explicit PeerExchange(const Options &options);

    /// Handles a new link. Both sides send the state that the other may lack.
    void onLinkUp(const std::string &peer, Instant now);
    void onLinkDown(const std::string &peer);
    void onMessage(const std::string &peer, const PeerMessage &message, Instant now);
    /// Sends due digests and statuses, and completes crash reports whose acknowledgement timeout has passed.
    void advance(Instant now);

    /// Called when a document has come into force. Sends it to all linked peers except \p source, the peer or the store
    /// that it came from.
    void onDocumentApplied(const ConfigurationDocument &document, const std::string &source);

    /// Records the status of a server that this instance has polled itself. If \p changed, the next `advance` sends it
    /// to the peers, otherwise the next refresh.
    void onPolledStatus(const ServerStatus &status, Instant observedAt, bool changed);

    /// Reports that server \p serverId crashed while it ran \p query, whose content has \p fingerprint. A
    /// CompleteCrashReport action follows once it is completed.
    void recordCrash(QueryId query, std::uint64_t fingerprint, const std::string &serverId, Instant now);

    /// Sends the level of a server's warm-up to all linked peers except \p excludedPeer.
    void announceWarmUp(const PeerWarmUp &warmUp, const std::string &excludedPeer = {});

    std::vector<PeerAction> takeActions();

    const std::set<std::string> &links() const
    {
        return this->peers;
    }

private:
    struct PendingCrashReport
    {
        QueryId query = 0;
        std::uint64_t fingerprint = 0;
        std::set<std::string> unacknowledged;
        Instant deadline{};
    };

    void handle(const std::string &peer, const PeerHello &hello, Instant now);
    void handle(const std::string &peer, const PeerDigest &digest, Instant now);
    void handle(const std::string &peer, const PeerDocuments &documents, Instant now);
    void handle(const std::string &peer, const PeerStatuses &statuses, Instant now);
    void handle(const std::string &peer, const PeerCrashReport &received, Instant now);
    void handle(const std::string &peer, const PeerCrashReportAck &ack, Instant now);
    void handle(const std::string &peer, const PeerWarmUp &warmUp, Instant now);
    // These messages are exchanged only by instances that serve routes.
    void handle(const std::string &, const PeerStoreDigest &, Instant)
    {
    }
    void handle(const std::string &, const PeerStoreEvents &, Instant)
    {
    }
    void handle(const std::string &, const PeerStoreSnapshot &, Instant)
    {
    }
    void handle(const std::string &, const PeerAttemptCounts &, Instant)
    {
    }
    void handle(const std::string &, const PeerServerWarnings &, Instant)
    {
    }
    void handle(const std::string &, const PeerCrashNews &, Instant)
    {
    }
    void send(const std::string &peer, PeerMessage message);
    void sendToAll(const PeerMessage &message, const std::string &excludedPeer = {});
    PeerDigest makeDigest(Instant now, bool withSequences) const;
    void sendPolledStatuses(Instant now);
    void completeCrashReports(Instant now);

    Options options;
    std::set<std::string> peers;
    std::map<std::string, std::string> peerDomains;
    /// The latest statuses of the servers that this instance polls.
    std::map<std::string, ObservedStatus> polledStatuses;
    std::set<std::string> changedStatuses;
    std::map<std::uint64_t, PendingCrashReport> pendingCrashReports;
    std::uint64_t crashReportCount = 0;
    Instant nextDigest{};
    Instant nextRefresh{};
    std::vector<PeerAction> actions;
};

/// Returns the peers to which an instance opens links: a full mesh in a small tier; otherwise some peers in its own
/// failure domain and some in others, selected by rendezvous hashing so that the selection is stable.
std::vector<ListedEntryInstance> choosePeers(const std::string &instance, const std::string &domain, const std::vector<ListedEntryInstance> &listedInstances);

/// Returns true for the few instances of each failure domain that watch the store directly.
bool isStoreWatcher(const std::string &instance, const std::string &domain, const std::vector<ListedEntryInstance> &listedInstances);

} // namespace ragwort

#endif
