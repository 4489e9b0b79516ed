/// \file
/// Contents whose requests are suspected of crashing backend servers.
#ifndef RAGWORTCART_KERNEL_SUSPECTLIST_H
#define RAGWORTCART_KERNEL_SUSPECTLIST_H

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

/// From this number of servers lost on, a content is not run any more.
inline constexpr int QUARANTINE_SERVERS = 2;
/// After this time without a new loss an accusation is forgotten, as the server may have died for another reason.
inline constexpr Duration SINGLE_ACCUSATION_TIME = std::chrono::seconds(60);
/// A content that lost as many servers as are tolerated stays barred for longer.
inline constexpr Duration QUARANTINE_TIME = std::chrono::minutes(30);

struct Accusation
{
    std::uint64_t fingerprint = 0;
    std::string serverId;
    /// Time left until it expires, relative so that it can be sent to peers.
    Duration remaining{};
};

/// Shared by all threads; the check on a request's path is one atomic load while there are no suspects.
class SuspectList
{
public:
    /// Adds an accusation and returns how many servers this content has lost.
    int accuse(std::uint64_t fingerprint, const std::string &serverId, Instant now, Duration lifetime = SINGLE_ACCUSATION_TIME);

    int accusedServers(std::uint64_t fingerprint, Instant now);

    bool isQuarantined(std::uint64_t fingerprint, Instant now)
    {
        return this->accusedServers(fingerprint, now) >= QUARANTINE_SERVERS;
    }

    /// All accusations in force, to send to peers.
    std::vector<Accusation> all(Instant now);

private:
    struct Suspect
    {
        std::set<std::string> servers;
        Instant expiry{};
    };

    std::mutex mutex;
    std::map<std::uint64_t, Suspect> suspects;
    /// Invariant: the size of `suspects`.
    std::atomic<std::size_t> count{0};
};

} // namespace ragwort

#endif
