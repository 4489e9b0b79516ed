/// \file
/// Changes configuration documents in the platform's store by compare-and-swap, keeps their history, and resolves writes with an
/// unknown outcome.
#ifndef RAGWORTCART_OPERATOR_DOCUMENTSTORE_H
#define RAGWORTCART_OPERATOR_DOCUMENTSTORE_H

#include "ragwortcart/Model/Configuration.h"
#include "ragwortcart/Operator/BlockingPlatformClient.h"

#include <QJsonObject>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ragwort {

/// The operations of the platform's store that `DocumentStore` uses. Tests substitute a fake.
class KeyValueStore
{
public:
    virtual ~KeyValueStore() = default;
    virtual Result<StoredDocument> read(const std::string &key) = 0;
    virtual StoreWriteOutcome write(const std::string &key, const QByteArray &value, std::uint64_t expectedIndex) = 0;
};

enum class ApplyOutcome {
    applied,
    /// The document already has the requested content.
    unchanged,
    /// The document has changed since the base sequence; nothing was written.
    conflict,
    /// The store did not respond; the change may or may not have been written.
    unknown,
    /// The document could not be read or copied to the history; it was not changed.
    unavailable,
};

struct ApplyReport
{
    ApplyOutcome outcome = ApplyOutcome::unavailable;
    /// Sequence number in the store after the call; 0 if it is not known.
    std::uint64_t sequence = 0;
    /// Content of the document in the store. Always set on a conflict.
    QByteArray current;
    /// True if the store did not confirm the write and the outcome was determined by reading the document back.
    bool resolvedByReadBack = false;
};

/// Returns the sequence number of a document, or 0 if it has none.
std::uint64_t sequenceOf(const QByteArray &json);

/// Returns \p json with \p sequence and \p changeId set. If the answer to a write is lost, the change id shows whether the stored
/// document is from this write or from an equal change of another operator.
QByteArray withSequence(const QByteArray &json, std::uint64_t sequence, const std::string &changeId);

/// Returns the lines "- old" and "+ new" for each value that differs, sorted by path.
std::vector<std::string> diffDocuments(const QByteArray &before, const QByteArray &after);

class DocumentStore
{
public:
    /// \p writerName must be unique for each run of the tool, because the change ids start with it.
    DocumentStore(KeyValueStore &underlyingStore, std::string writerName);

    Result<StoredDocument> read(const std::string &document);

    /// Tells the highest sequence of each document that entry instances report to be in force. It is above the stored one if the store was restored
    /// from an older copy. Instances never go back, so that `apply()` exceeds both.
    void setSequencesInForce(std::map<std::string, std::uint64_t> sequences);

    /// Replaces \p document with \p json under the next sequence number if its stored sequence number is \p base.
    ApplyReport apply(const std::string &document, const QByteArray &json, std::uint64_t base);

    /// Applies \p change to the current content and retries on conflicts and failed reads. Intended for changes that commute, such as
    /// taking a domain out of service.
    ApplyReport update(const std::string &document, const std::function<QByteArray(const QByteArray &current)> &change);

    /// Reads the content of a document at an earlier sequence number.
    Result<StoredDocument> readHistory(const std::string &document, std::uint64_t sequence);

private:
    /// Writes \p wanted if the document is still \p before, and resolves unknown outcomes by reading the document back.
    ApplyReport writeAndResolve(const std::string &document, const QByteArray &wanted, const StoredDocument &before);

    KeyValueStore &keyValueStore;
    std::string writer;
    std::map<std::string, std::uint64_t> sequencesInForce;
    int changeCount = 0;
};

} // namespace ragwort

#endif
