/// \file
/// Decides whether an instance may still send work to other failure domains. Without I/O.
///
/// An instance that hears nothing newer than a few seconds cannot know whether operators have taken another domain out.
/// docs/design/partitions.md weighs the rule.
#ifndef RAGWORTCART_CONTROL_FRESHNESS_H
#define RAGWORTCART_CONTROL_FRESHNESS_H

#include "ragwortcart/Support/Clock.h"

#include <map>
#include <set>
#include <string>

namespace ragwort {

/// Beyond this age of its configuration an instance counts as not fresh. Below the 3 s within which a change is in force.
inline constexpr Duration FRESHNESS_LIMIT = std::chrono::milliseconds(2500);
/// A domain not heard from for this long is silent.
inline constexpr Duration DOMAIN_SILENCE_LIMIT = std::chrono::milliseconds(2500);

class Freshness
{
public:
    explicit Freshness(std::string ownDomain);

    /// The store answered with its current configuration, asked at \p askedAt.
    void noteStore(Instant askedAt);
    /// A peer's digest: how old its own configuration is at most.
    void notePeer(const std::string &domain, Duration peerAge, Instant now);
    /// The failure domains that have live entry instances.
    void setDomains(std::set<std::string> known);

    /// The greatest age that the configuration in force can have.
    Duration age(Instant now) const;

    bool isFresh(Instant now) const
    {
        return this->age(now) <= FRESHNESS_LIMIT;
    }

    /// Fresh, or else every other domain is heard from and none of them is fresh: then the store is out for all, and no
    /// change can have been accepted that any instance could know of.
    bool mayCrossDomains(Instant now) const
    {
        return now <= this->crossDomainsUntil();
    }

    /// Until when that holds if nothing more is heard.
    Instant crossDomainsUntil() const;

private:
    std::string domain;
    std::set<std::string> domains;
    /// The latest instant at which the configuration was known to be current.
    Instant currentAt{};
    bool everFresh = false;
    std::map<std::string, Instant> heardFrom;
};

} // namespace ragwort

#endif
