/// \file
/// Implements the age of the configuration and the rule for work that crosses failure domains.
#include "ragwortcart/Control/Freshness.h"

#include <algorithm>

namespace ragwort {

Freshness::Freshness(std::string ownDomain) : domain(std::move(ownDomain))
{
}

void Freshness::recordStoreRead(Instant requestedAt)
{
    this->currentAt = this->everCurrent ? std::max(this->currentAt, requestedAt) : requestedAt;
    this->everCurrent = true;
}

void Freshness::recordPeerAge(const std::string &peerDomain, Duration peerAge, Instant now)
{
    this->lastContact[peerDomain] = now;
    if (peerAge < Duration::max() / 2) {
        this->recordStoreRead(now - peerAge);
    }
}

void Freshness::setDomains(std::set<std::string> known)
{
    this->domains = std::move(known);
}

Duration Freshness::age(Instant now) const
{
    return this->everCurrent ? now - this->currentAt : Duration::max();
}

Instant Freshness::crossDomainsUntil() const
{
    const Instant freshUntil = this->everCurrent ? this->currentAt + FRESHNESS_LIMIT : Instant{};
    Instant allContactedUntil = Instant::max();
    for (const std::string &other : this->domains) {
        if (other == this->domain) {
            continue;
        }
        const auto contact = this->lastContact.find(other);
        allContactedUntil = std::min(allContactedUntil, contact == this->lastContact.end() ? Instant{} : contact->second + DOMAIN_CONTACT_TIMEOUT);
    }
    return std::max(freshUntil, allContactedUntil);
}

} // namespace ragwort
