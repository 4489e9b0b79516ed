/// \file
/// Keeps the configuration documents in force and their order. Without I/O.
#ifndef RAGWORTCART_CONTROL_CONFIGURATIONKEEPER_H
#define RAGWORTCART_CONTROL_CONFIGURATIONKEEPER_H

#include "ragwortcart/Model/Configuration.h"

#include <QByteArray>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ragwort {

/// One configuration document as it is stored and sent.
struct ConfigurationDocument
{
    std::string name;
    std::uint64_t sequence = 0;
    QByteArray json;
};

using DocumentSequences = std::map<std::string, std::uint64_t>;

enum class OfferResult {
    applied,
    /// The same or an older sequence than the one in force.
    notNewer,
    rejected,
};

/// A document's sequence number only grows: it is raised by compare-and-swap on the store, so that two documents with one
/// name and one sequence are the same.
class ConfigurationKeeper
{
public:
    ConfigurationKeeper();

    /// Takes a document from the store or a peer; \p source is named in \p fault when the document is rejected.
    OfferResult offer(const std::string &name, const QByteArray &json, const std::string &source, Error *fault = nullptr);

    const std::shared_ptr<const Configuration> &current() const
    {
        return this->configuration;
    }

    DocumentSequences sequences() const;

    /// Equal for equal sequences of equal documents.
    std::uint64_t sequencesHash() const;

    /// The documents that someone with the sequences \p theirs lacks.
    std::vector<ConfigurationDocument> newerThan(const DocumentSequences &theirs) const;

    /// True when \p theirs has a document that is newer than ours.
    bool lacksAny(const DocumentSequences &theirs) const;

private:
    OfferResult offerTier(const QByteArray &json, const std::string &source, Error *fault);
    OfferResult offerTeam(const std::string &name, const QByteArray &json, const std::string &source, Error *fault);
    OfferResult store(const std::string &name, std::uint64_t sequence, const QByteArray &json);

    std::shared_ptr<const Configuration> configuration;
    /// Invariant: holds exactly the documents that make up `configuration`.
    std::map<std::string, ConfigurationDocument> documents;
};

} // namespace ragwort

#endif
