/// \file
/// Order and replacement of configuration documents.
#include "ragwortcart/Control/ConfigurationKeeper.h"

#include "ragwortcart/Support/Hash.h"

namespace ragwort {

ConfigurationKeeper::ConfigurationKeeper() : configuration(std::make_shared<const Configuration>())
{
}

OfferResult ConfigurationKeeper::offer(const std::string &name, const QByteArray &json, const std::string &source, Error *fault)
{
    if (name == TIER_DOCUMENT) {
        return this->offerTier(json, source, fault);
    }
    return this->offerTeam(name, json, source, fault);
}

OfferResult ConfigurationKeeper::store(const std::string &name, std::uint64_t sequence, const QByteArray &json)
{
    this->documents[name] = {.name = name, .sequence = sequence, .json = json};
    return OfferResult::applied;
}

OfferResult ConfigurationKeeper::offerTier(const QByteArray &json, const std::string &source, Error *fault)
{
    const Result<TierConfiguration> tier = decodeTier(json, source);
    if (!tier) {
        if (fault != nullptr) {
            *fault = tier.error();
        }
        return OfferResult::rejected;
    }
    if (tier->sequence <= this->configuration->tier.sequence) {
        return OfferResult::notNewer;
    }
    auto next = std::make_shared<Configuration>(*this->configuration);
    next->tier = *tier;
    this->configuration = std::move(next);
    return this->store(std::string(TIER_DOCUMENT), tier->sequence, json);
}

OfferResult ConfigurationKeeper::offerTeam(const std::string &name, const QByteArray &json, const std::string &source, Error *fault)
{
    const Result<TeamConfiguration> team = decodeTeam(json, source);
    if (!team || teamDocument(team->name) != name) {
        if (fault != nullptr) {
            *fault = team
                ? Error{.code = Errc::malformedInput, .step = "offer-configuration", .peer = source, .detail = "document '" + name + "' holds another team"}
                : team.error();
        }
        return OfferResult::rejected;
    }
    const TeamConfiguration *present = this->configuration->findTeam(team->name);
    if (present != nullptr && team->sequence <= present->sequence) {
        return OfferResult::notNewer;
    }
    auto next = std::make_shared<Configuration>(*this->configuration);
    next->teams[team->name] = *team;
    this->configuration = std::move(next);
    return this->store(name, team->sequence, json);
}

DocumentSequences ConfigurationKeeper::sequences() const
{
    DocumentSequences result;
    for (const auto &[name, document] : this->documents) {
        result[name] = document.sequence;
    }
    return result;
}

std::uint64_t ConfigurationKeeper::sequencesHash() const
{
    std::uint64_t hash = 0;
    for (const auto &[name, document] : this->documents) {
        hash = stableHash(name, hash ^ document.sequence);
    }
    return hash;
}

std::vector<ConfigurationDocument> ConfigurationKeeper::newerThan(const DocumentSequences &theirs) const
{
    std::vector<ConfigurationDocument> newer;
    for (const auto &[name, document] : this->documents) {
        const auto found = theirs.find(name);
        if (found == theirs.end() || found->second < document.sequence) {
            newer.push_back(document);
        }
    }
    return newer;
}

bool ConfigurationKeeper::lacksAny(const DocumentSequences &theirs) const
{
    for (const auto &[name, sequence] : theirs) {
        const auto found = this->documents.find(name);
        if (found == this->documents.end() || found->second.sequence < sequence) {
            return true;
        }
    }
    return false;
}

} // namespace ragwort
