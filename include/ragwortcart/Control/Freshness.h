/// \file
/// Decides whether an instance may send work to other failure domains. Performs no I/O.
///
/// An instance whose configuration is older than a few seconds cannot know whether operators have taken another domain
/// out of service. docs/design/partitions.md discusses the rule.
#ifndef RAGWORTCART_CONTROL_FRESHNESS_H
#define RAGWORTCART_CONTROL_FRESHNESS_H

#include "ragwortcart/Support/Clock.h"

#include <map>
#include <set>
#include <string>

namespace ragwort {

/// Maximum age of a fresh configuration. It is below 3 s, the time within which a change must be in force at all
/// instances.
inline constexpr Duration FRESHNESS_LIMIT = std::chrono::milliseconds(2500);
/// A domain with no contact for this long is unreachable.
inline constexpr Duration DOMAIN_CONTACT_TIMEOUT = std::chrono::milliseconds(2500);

class Freshness
{
public:
    explicit Freshness(std::string ownDomain);

    /// Records that the store replied with its current configuration to a request sent at \p requestedAt.
    void recordStoreRead(Instant requestedAt);
    /// Records a digest of a peer in \p domain. \p peerAge is the maximum age of the peer's own configuration, or
    /// `Duration::max()` if the peer has never had a current one.
    void recordPeerAge(const std::string &domain, Duration peerAge, Instant now);
    /// Sets the failure domains that have live entry instances.
    void setDomains(std::set<std::string> known);

    /// Returns the maximum age of the configuration in force, or `Duration::max()` if it was never current.
    Duration age(Instant now) const;

    bool isFresh(Instant now) const
    {
        return this->age(now) <= FRESHNESS_LIMIT;
    }

    /// Returns true if the configuration is fresh, or if every other domain is reachable and none of them is fresh. In
    /// the latter case the store is unavailable to all instances, so no change can have been accepted that any instance
    /// could know of.
    bool mayCrossDomains(Instant now) const
    {
        return now <= this->crossDomainsUntil();
    }

    /// Returns the time until which work may cross domains if no further contact is made.
    Instant crossDomainsUntil() const;

private:
    std::string domain;
    std::set<std::string> domains;
    /// The latest time at which the configuration was known to be current.
    Instant currentAt{};
    bool everCurrent = false;
    std::map<std::string, Instant> lastContact;
};

} // namespace ragwort

#endif
