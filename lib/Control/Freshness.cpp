/// \file
/// The rule on work across failure domains.
#include "ragwortcart/Control/Freshness.h"

#include <algorithm>

namespace ragwort {

Freshness::Freshness(std::string ownDomain) : domain(std::move(ownDomain))
{
}

void Freshness::noteStore(Instant askedAt)
{
    this->currentAt = this->everFresh ? std::max(this->currentAt, askedAt) : askedAt;
    this->everFresh = true;
}

void Freshness::notePeer(const std::string &peerDomain, Duration peerAge, Instant now)
{
    this->heardFrom[peerDomain] = now;
    if (peerAge < Duration::max() / 2) {
        this->noteStore(now - peerAge);
    }
}

void Freshness::setDomains(std::set<std::string> known)
{
    this->domains = std::move(known);
}

Duration Freshness::age(Instant now) const
{
    return this->everFresh ? now - this->currentAt : Duration::max();
}

Instant Freshness::crossDomainsUntil() const
{
    const Instant freshUntil = this->everFresh ? this->currentAt + FRESHNESS_LIMIT : Instant{};
    Instant allHeardUntil = Instant::max();
    for (const std::string &other : this->domains) {
        if (other == this->domain) {
            continue;
        }
        const auto heard = this->heardFrom.find(other);
        allHeardUntil = std::min(allHeardUntil, heard == this->heardFrom.end() ? Instant{} : heard->second + DOMAIN_SILENCE_LIMIT);
    }
    return std::max(freshUntil, allHeardUntil);
}

} // namespace ragwort
