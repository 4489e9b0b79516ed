/// \file
/// Collects evidence on which contents of forwarded requests crash the servers that run them.
///
/// Forwarded requests have no canary. When a server crashes, all requests that ran there are lost, and most of them are harmless. What
/// tells a harmful content from the others is that it never completes: evidence against a content is a chain of crashes in which each lost
/// request was sent after the crash before it, without a complete response to the same content in between. Servers that crash together
/// therefore count once, and a single response ends the suspicion. Contents are identified by the fingerprint of the request, as the
/// caller's request id differs in each repetition.
#ifndef RAGWORTCART_KERNEL_CRASHEVIDENCE_H
#define RAGWORTCART_KERNEL_CRASHEVIDENCE_H

#include "ragwortcart/Kernel/QuarantineList.h"
#include "ragwortcart/Support/Clock.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace ragwort {

/// Length of the chain of crashes after which a content is quarantined.
inline constexpr int CRASHES_BEFORE_QUARANTINE = 3;
/// Time after which a crash no longer counts.
inline constexpr Duration CRASH_EVIDENCE_LIFETIME = std::chrono::minutes(10);

/// A forwarded request that was lost with its server, on this or on another instance.
struct ContentCrash
{
    std::uint64_t fingerprint = 0;
    std::string serverId;
    Instant sentAt{};
    Instant lostAt{};
};

/// A complete response to a content that was suspected.
struct ContentServed
{
    std::uint64_t fingerprint = 0;
    Instant servedAt{};
};

/// What other instances need to reach the same verdicts.
struct CrashNews
{
    std::vector<ContentCrash> crashes;
    std::vector<ContentServed> served;

    bool empty() const
    {
        return this->crashes.empty() && this->served.empty();
    }
};

/// What the crashes of a content amount to.
struct CrashVerdict
{
    /// Length of the chain of crashes.
    int crashes = 0;
    /// The content is quarantined, and was not before.
    bool startsQuarantine = false;
};

/// Shared by all threads. The checks on the request path are one atomic load while no content is suspected.
class CrashEvidence
{
public:
    /// Adds a crash. One that does not lengthen the chain of crashes of its content, for example because it is known already, is not kept.
    CrashVerdict recordCrash(const ContentCrash &crash);

    /// Records a complete response: the crashes before it no longer count, and a quarantine ends.
    void recordServed(const ContentServed &served);

    /// Records that a server has answered a request that was sent at \p sentAt: requests that it lost shortly before were lost with their
    /// connections, not with the server.
    void recordAlive(const std::string &serverId, Instant sentAt, Instant now);

    /// Returns the length of the chain of crashes of this content.
    int crashes(std::uint64_t fingerprint, Instant now);

    /// Returns how much longer this content is quarantined, or zero.
    Duration quarantineLeft(std::uint64_t fingerprint, Instant now);

    /// Returns the number of quarantined contents.
    std::size_t quarantinedContents(Instant now);

    /// Returns whether one more crash quarantines this content. Until it has been served, it is then to run on one server at a time.
    bool isSuspected(std::uint64_t fingerprint, Instant now)
    {
        return this->crashes(fingerprint, now) >= CRASHES_BEFORE_QUARANTINE - 1;
    }

    /// Returns the responses, and the crashes of the contents, that have been recorded since the last call. After \p maximum of either, the rest
    /// follows with the next call.
    CrashNews takeNews(std::size_t maximum, Instant now);

    /// Returns all crashes that have not expired, for an instance that may know none.
    CrashNews allNews(Instant now);

private:
    struct KnownCrash
    {
        ContentCrash crash;
        bool unsent = true;
    };
    struct Entry
    {
        /// Invariant: ordered by `lostAt`, and each one has lengthened the chain when it was added.
        std::vector<KnownCrash> crashes;
        Instant quarantinedUntil{};
        Instant expiry{};
    };

    /// Returns the entry if it exists and has not expired. The mutex must be locked.
    Entry *find(std::uint64_t fingerprint, Instant now);
    /// Removes the crashes for which \p refutes returns true, then the entry if none is left. Returns whether there were any.
    template <typename Predicate>
    bool removeCrashes(std::uint64_t fingerprint, Entry &entry, Predicate refutes);
    void evictIfFull();
    void recordLoss(const ContentCrash &crash);
    void removeOldLosses(Instant now);
    void updateCount();
    /// Returns the largest number of crashes in which each lost request was sent after the crash before it.
    static int longestChain(const Entry &entry);

    std::mutex mutex;
    std::map<std::uint64_t, Entry> entries;
    /// When each server last lost a request, for the servers that may still turn out to be alive. Older losses are removed from time to time.
    std::map<std::string, Instant> lastLosses;
    std::vector<ContentServed> unsentServed;
    /// Invariant: the size of `entries`.
    std::atomic<std::size_t> count{0};
};

} // namespace ragwort

#endif
