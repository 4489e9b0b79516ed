/// \file
/// Defines the messages exchanged between entry instances.
#ifndef RAGWORTCART_CONTROL_PEERMESSAGES_H
#define RAGWORTCART_CONTROL_PEERMESSAGES_H

#include "ragwortcart/Control/ConfigurationManager.h"
#include "ragwortcart/Control/MetadataStore.h"
#include "ragwortcart/Kernel/CrashEvidence.h"
#include "ragwortcart/Kernel/QuarantineList.h"
#include "ragwortcart/Model/ServerStatus.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ragwort {

/// The first message on a link, sent by both sides.
struct PeerHello
{
    std::string instance;
    std::string domain;
};

/// Sent periodically: the documents in force and their maximum age.
struct PeerDigest
{
    /// Microseconds; negative if the instance has never had a current configuration.
    std::int64_t configurationAgeUs = -1;
    /// Hash of all names and sequences. Keeps the size of the periodic digest independent of the number of documents.
    std::uint64_t documentsHash = 0;
    /// True in the reply to a digest whose hash differs, and on a new link. `sequences` is then set.
    bool detailed = false;
    DocumentSequences sequences;
};

/// Documents that the receiver lacks, or that have just come into force.
struct PeerDocuments
{
    std::vector<ConfigurationDocument> documents;
};

struct PeerStatus
{
    ServerStatus status;
    /// Time since the observation. Relative, because clocks are not synchronized between instances.
    std::int64_t ageUs = 0;
};

struct PeerStatuses
{
    std::vector<PeerStatus> statuses;
};

struct PeerCrashReport
{
    /// Number under which the receiver acknowledges the report; 0 if the sender needs no acknowledgement.
    std::uint64_t number = 0;
    CrashReport crashReport;
};

struct PeerCrashReportAck
{
    /// Number of the acknowledged report, assigned by its sender.
    std::uint64_t number = 0;
};

/// The level of a server's warm-up, sent by the instance that owns the warm-up or that has detected the server as cold.
struct PeerWarmUp
{
    std::string serverId;
    std::uint64_t incarnation = 0;
    int level = 0;
    /// False once the warm-up is complete.
    bool cold = false;
};

/// The distance of an instance that receives the store's changes neither from the store nor from a peer.
inline constexpr int STORE_UNREACHABLE = -1;

/// The age of a confirmation that an instance does not have or does not send.
inline constexpr Duration AGE_UNKNOWN{-1};

/// Sent periodically: the sender's distance from the platform's metadata store.
struct PeerStoreDigest
{
    /// The sender has all changes up to this position.
    StorePosition position;
    /// 0 if the sender watches the store itself, 1 if its source does, and so on.
    int distance = STORE_UNREACHABLE;
    /// The sender subscribes to the receiver, which is to forward changes as they arrive.
    bool wantsEvents = false;
    /// Time since the store is known to have held no change after `position`. Negative if unknown.
    Duration confirmedAge = AGE_UNKNOWN;
    /// The sender can send a `PeerStoreSnapshot`.
    bool offersSnapshot = false;
    /// The sender lacks changes that it cannot read from the store, and asks the receiver for a `PeerStoreSnapshot`.
    bool wantsSnapshot = false;
    /// When the message was made, in microseconds on the sender's monotonic clock.
    std::int64_t madeAtUs = 0;
    /// `madeAtUs` of the receiver's last digest, 0 before the first. Bounds the age of this message by the receiver's own clock, however
    /// slow the sender and the link are.
    std::int64_t echoedUs = 0;
    /// The sender's version compares epochs and reads messages that name one.
    bool knowsEpochs = true;
};

/// All items of the metadata store. Sent to an instance that lacks changes which no history contains any more.
struct PeerStoreSnapshot
{
    /// Invariant: `items` are the contents of the store at this position.
    StorePosition position;
    std::vector<StoreItem> items;
};

/// Changes of the metadata store, in order.
struct PeerStoreEvents
{
    /// Invariant: `events` contains all changes of the epoch of `position` after the revision `after` up to `position`.
    StoreRevision after = 0;
    StorePosition position;
    /// How long removals may still be caused by an outage of the store.
    Duration removalGrace{};
    std::vector<StoreEvent> events;
};

/// The results of one instance's attempts at one server within one interval.
struct ServerAttemptCounts
{
    std::string serverId;
    std::uint32_t ended = 0;
    /// The number of these attempts that failed or took much longer than usual.
    std::uint32_t bad = 0;
};

/// Sent periodically to the relays of the sender's failure domain.
struct PeerAttemptCounts
{
    std::vector<ServerAttemptCounts> attemptCounts;
};

/// A server at which a large share of a failure domain's attempts are bad.
struct ServerWarning
{
    std::string serverId;
    /// The share of bad attempts in thousandths.
    int badPerMille = 0;
};

/// Sent by a relay to the instances of its failure domain.
struct PeerServerWarnings
{
    std::vector<ServerWarning> warnings;
};

/// A `ContentCrash`, with ages in place of times, because the clocks of the instances differ.
struct PeerContentCrash
{
    std::uint64_t fingerprint = 0;
    std::string serverId;
    /// Time since the lost request was sent, and since it was lost.
    Duration sentAge{};
    Duration lostAge{};
};

/// A `ContentServed`.
struct PeerContentServed
{
    std::uint64_t fingerprint = 0;
    Duration age{};
};

/// Sent periodically to all linked peers: crashes of servers that ran forwarded requests, and responses to contents that were suspected.
/// The receiver passes on what it did not know.
struct PeerCrashNews
{
    std::vector<PeerContentCrash> crashes;
    std::vector<PeerContentServed> served;
};

using PeerMessage = std::variant<PeerHello,
                                 PeerDigest,
                                 PeerDocuments,
                                 PeerStatuses,
                                 PeerCrashReport,
                                 PeerCrashReportAck,
                                 PeerWarmUp,
                                 PeerStoreDigest,
                                 PeerStoreEvents,
                                 PeerStoreSnapshot,
                                 PeerAttemptCounts,
                                 PeerServerWarnings,
                                 PeerCrashNews>;

} // namespace ragwort

#endif
