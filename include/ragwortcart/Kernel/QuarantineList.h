/// \file
/// Tracks the contents of requests on which backend servers crashed, identified by their fingerprints.
#ifndef RAGWORTCART_KERNEL_QUARANTINELIST_H
#define RAGWORTCART_KERNEL_QUARANTINELIST_H

#include "ragwortcart/Support/Clock.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace ragwort {

/// Number of distinct servers that must crash on a content before it is quarantined.
inline constexpr int QUARANTINE_SERVERS = 2;
/// Lifetime of a crash report that is not followed by another one for the same content; limited, since the server may
/// have crashed for another reason.
inline constexpr Duration CRASH_REPORT_LIFETIME = std::chrono::seconds(60);
/// Time for which a content is quarantined after `QUARANTINE_SERVERS` servers have crashed on it.
inline constexpr Duration QUARANTINE_TIME = std::chrono::minutes(30);

/// The report that a server crashed on a content, as exchanged between instances.
struct CrashReport
{
    std::uint64_t fingerprint = 0;
    std::string serverId;
    /// Remaining lifetime. A duration, because the clocks of the instances differ.
    Duration remaining{};
};

/// Shared by all threads. The check on the request path is one atomic load while the list is empty.
class QuarantineList
{
public:
    /// Adds a crash report and returns the number of distinct servers that crashed on this content. \p lifetime is the
    /// remaining lifetime of a report from a peer.
    int recordCrash(std::uint64_t fingerprint, const std::string &serverId, Instant now, Duration lifetime = CRASH_REPORT_LIFETIME);

    /// Returns the number of distinct servers that crashed on this content, according to the reports that have not
    /// expired.
    int crashedServers(std::uint64_t fingerprint, Instant now);

    bool isQuarantined(std::uint64_t fingerprint, Instant now)
    {
        return this->crashedServers(fingerprint, now) >= QUARANTINE_SERVERS;
    }

    /// Returns all reports that have not expired, to be sent to peers.
    std::vector<CrashReport> unexpiredReports(Instant now);

private:
    struct Entry
    {
        std::set<std::string> servers;
        Instant expiry{};
    };

    std::mutex mutex;
    std::map<std::uint64_t, Entry> entries;
    /// Invariant: the size of `entries`.
    std::atomic<std::size_t> count{0};
};

} // namespace ragwort

#endif
