/// \file
/// Implements validation, ordering and replacement of configuration documents.
#include "ragwortcart/Control/ConfigurationManager.h"

#include "ragwortcart/Support/Hash.h"

namespace ragwort {

ConfigurationManager::ConfigurationManager() : configuration(std::make_shared<const Configuration>())
{
}

OfferResult ConfigurationManager::offer(const std::string &name, const QByteArray &json, const std::string &source, Error *error)
{
    if (name == TIER_DOCUMENT) {
        return this->offerTier(json, source, error);
    }
    return this->offerTeam(name, json, source, error);
}

OfferResult ConfigurationManager::store(const std::string &name, std::uint64_t sequence, const QByteArray &json)
{
    this->documents[name] = {.name = name, .sequence = sequence, .json = json};
    return OfferResult::applied;
}

OfferResult ConfigurationManager::offerTier(const QByteArray &json, const std::string &source, Error *error)
{
    const Result<TierConfiguration> tier = decodeTier(json, source);
    if (!tier) {
        if (error != nullptr) {
            *error = tier.error();
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

OfferResult ConfigurationManager::offerTeam(const std::string &name, const QByteArray &json, const std::string &source, Error *error)
{
    const Result<TeamConfiguration> team = decodeTeam(json, source);
    if (!team || teamDocument(team->name) != name) {
        if (error != nullptr) {
            *error = team ? Error{.code = Errc::malformedInput,
                                  .step = "offer-configuration",
                                  .peer = source,
                                  .detail = "document '" + name + "' contains the configuration of another team"}
                          : team.error();
        }
        return OfferResult::rejected;
    }
    const TeamConfiguration *existing = this->configuration->findTeam(team->name);
    if (existing != nullptr && team->sequence <= existing->sequence) {
        return OfferResult::notNewer;
    }
    auto next = std::make_shared<Configuration>(*this->configuration);
    next->teams[team->name] = *team;
    this->configuration = std::move(next);
    return this->store(name, team->sequence, json);
}

DocumentSequences ConfigurationManager::sequences() const
{
    DocumentSequences result;
    for (const auto &[name, document] : this->documents) {
        result[name] = document.sequence;
    }
    return result;
}

std::uint64_t ConfigurationManager::sequencesHash() const
{
    std::uint64_t hash = 0;
    for (const auto &[name, document] : this->documents) {
        hash = stableHash(name, hash ^ document.sequence);
    }
    return hash;
}

std::vector<ConfigurationDocument> ConfigurationManager::documentsNewerThan(const DocumentSequences &peerSequences) const
{
    std::vector<ConfigurationDocument> newer;
    for (const auto &[name, document] : this->documents) {
        const auto found = peerSequences.find(name);
        if (found == peerSequences.end() || found->second < document.sequence) {
            newer.push_back(document);
        }
    }
    return newer;
}

bool ConfigurationManager::isBehind(const DocumentSequences &peerSequences) const
{
    for (const auto &[name, sequence] : peerSequences) {
        const auto found = this->documents.find(name);
        if (found == this->documents.end() || found->second.sequence < sequence) {
            return true;
        }
    }
    return false;
}

} // namespace ragwort
