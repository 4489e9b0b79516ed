/// \file
/// Holds the configuration documents in force and orders updates by sequence number. Performs no I/O.
///
/// There is one document for the tier and one for each team; each is versioned and replaced on its own.
#ifndef RAGWORTCART_CONTROL_CONFIGURATIONMANAGER_H
#define RAGWORTCART_CONTROL_CONFIGURATIONMANAGER_H

#include "ragwortcart/Model/Configuration.h"

#include <QByteArray>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ragwort {

/// A configuration document in its stored and transmitted form.
struct ConfigurationDocument
{
    std::string name;
    std::uint64_t sequence = 0;
    QByteArray json;
};

using DocumentSequences = std::map<std::string, std::uint64_t>;

enum class OfferResult {
    applied,
    /// The sequence is not newer than the one in force.
    notNewer,
    rejected,
};

/// The sequence number of a document only increases. It is raised by compare-and-swap on the store, and above what the instances have in force, since a
/// restored store may hold less. So two documents with the same name and sequence are identical.
class ConfigurationManager
{
public:
    ConfigurationManager();

    /// Offers a document received from the store or a peer. If the document is rejected, \p error names \p source.
    OfferResult offer(const std::string &name, const QByteArray &json, const std::string &source, Error *error = nullptr);

    const std::shared_ptr<const Configuration> &current() const
    {
        return this->configuration;
    }

    DocumentSequences sequences() const;

    /// Equal for equal sequences of the same documents.
    std::uint64_t sequencesHash() const;

    /// Returns the documents that are missing or older at a peer that holds \p peerSequences.
    std::vector<ConfigurationDocument> documentsNewerThan(const DocumentSequences &peerSequences) const;

    /// Returns true if \p peerSequences contains a document newer than the local one.
    bool isBehind(const DocumentSequences &peerSequences) const;

private:
    OfferResult offerTier(const QByteArray &json, const std::string &source, Error *error);
    OfferResult offerTeam(const std::string &name, const QByteArray &json, const std::string &source, Error *error);
    OfferResult store(const std::string &name, std::uint64_t sequence, const QByteArray &json);

    std::shared_ptr<const Configuration> configuration;
    /// Invariant: holds exactly the documents that make up `configuration`.
    std::map<std::string, ConfigurationDocument> documents;
};

} // namespace ragwort

#endif
