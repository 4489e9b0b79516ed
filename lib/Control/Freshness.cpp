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

bool Freshness::mayCrossDomains(Instant now) const
{
    if (this->isFresh(now)) {
        return true;
    }
    return std::all_of(this->domains.begin(), this->domains.end(), [this, now](const std::string &other) {
        if (other == this->domain) {
            return true;
        }
        const auto heard = this->heardFrom.find(other);
        return heard != this->heardFrom.end() && now - heard->second <= DOMAIN_SILENCE_LIMIT;
    });
}

} // namespace ragwort
