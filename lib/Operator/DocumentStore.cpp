/// \file
/// Implements document changes by compare-and-swap, and the comparison of documents.
#include "ragwortcart/Operator/DocumentStore.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <map>

namespace ragwort {

static constexpr const char *DOCUMENT_PREFIX = "ragwort/config/";
static constexpr const char *HISTORY_PREFIX = "ragwort/history/";
static constexpr int MAXIMUM_ATTEMPTS = 8;

static QJsonObject parse(const QByteArray &json)
{
    return QJsonDocument::fromJson(json).object();
}

std::uint64_t sequenceOf(const QByteArray &json)
{
    return static_cast<std::uint64_t>(parse(json).value("sequence").toInteger(0));
}

QByteArray withSequence(const QByteArray &json, std::uint64_t sequence, const std::string &changeId)
{
    QJsonObject object = parse(json);
    object.insert("sequence", static_cast<qint64>(sequence));
    object.insert("change", QString::fromStdString(changeId));
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

/// Adds the leaf values of \p value to \p out by path. Array elements are identified by their "name" member if they have one, so that
/// reordering them does not appear in a diff.
static void flatten(const QString &path, const QJsonValue &value, std::map<QString, QString> &out)
{
    if (value.isObject()) {
        const QJsonObject object = value.toObject();
        for (auto entry = object.begin(); entry != object.end(); ++entry) {
            flatten(path.isEmpty() ? entry.key() : path + '.' + entry.key(), entry.value(), out);
        }
        return;
    }
    if (value.isArray()) {
        const QJsonArray array = value.toArray();
        for (qsizetype index = 0; index < array.size(); ++index) {
            const QString name = array.at(index).toObject().value("name").toString(array.at(index).toString(QString::number(index)));
            flatten(path + '[' + name + ']', array.at(index), out);
        }
        return;
    }
    out[path] = value.toVariant().toString();
}

std::vector<std::string> diffDocuments(const QByteArray &before, const QByteArray &after)
{
    std::map<QString, QString> old;
    std::map<QString, QString> next;
    flatten({}, parse(before), old);
    flatten({}, parse(after), next);
    for (const char *metadataKey : {"sequence", "change"}) {
        old.erase(metadataKey);
        next.erase(metadataKey);
    }
    std::vector<std::string> lines;
    for (const auto &[path, value] : old) {
        const auto found = next.find(path);
        if (found == next.end() || found->second != value) {
            lines.push_back("- " + (path + " = " + value).toStdString());
        }
        if (found != next.end() && found->second != value) {
            lines.push_back("+ " + (path + " = " + found->second).toStdString());
        }
    }
    for (const auto &[path, value] : next) {
        if (!old.contains(path)) {
            lines.push_back("+ " + (path + " = " + value).toStdString());
        }
    }
    return lines;
}

DocumentStore::DocumentStore(KeyValueStore &underlyingStore, std::string writerName) : keyValueStore(underlyingStore), writer(std::move(writerName))
{
}

Result<StoredDocument> DocumentStore::read(const std::string &document)
{
    return this->keyValueStore.read(DOCUMENT_PREFIX + document);
}

Result<StoredDocument> DocumentStore::readHistory(const std::string &document, std::uint64_t sequence)
{
    return this->keyValueStore.read(HISTORY_PREFIX + document + '/' + std::to_string(sequence));
}

void DocumentStore::setSequencesInForce(std::map<std::string, std::uint64_t> sequences)
{
    this->sequencesInForce = std::move(sequences);
}

ApplyReport DocumentStore::writeAndResolve(const std::string &document, const QByteArray &wanted, const StoredDocument &before)
{
    // A write whose answer was lost may still take effect later. It is therefore safe only to repeat it with the same expected index:
    // at most one of the writes can succeed, and all have the same content.
    for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; ++attempt) {
        const StoreWriteOutcome outcome = this->keyValueStore.write(DOCUMENT_PREFIX + document, wanted, before.modifyIndex);
        if (outcome == StoreWriteOutcome::written) {
            return {.outcome = ApplyOutcome::applied, .sequence = sequenceOf(wanted), .current = {}, .resolvedByReadBack = false};
        }
        const Result<StoredDocument> current = this->read(document);
        if (!current) {
            continue;
        }
        if (current->json == wanted) {
            return {.outcome = ApplyOutcome::applied, .sequence = sequenceOf(wanted), .current = {}, .resolvedByReadBack = true};
        }
        if (current->modifyIndex == before.modifyIndex) {
            continue;
        }
        // A later change may be based on this one. In that case the history contains this one.
        const Result<StoredDocument> historyEntry = this->readHistory(document, sequenceOf(wanted));
        const bool wasApplied = historyEntry && historyEntry->json == wanted;
        return {.outcome = wasApplied ? ApplyOutcome::applied : ApplyOutcome::conflict,
                .sequence = sequenceOf(current->json),
                .current = current->json,
                .resolvedByReadBack = true};
    }
    return {.outcome = ApplyOutcome::unknown, .sequence = 0, .current = {}, .resolvedByReadBack = false};
}

ApplyReport DocumentStore::apply(const std::string &document, const QByteArray &json, std::uint64_t base)
{
    const Result<StoredDocument> before = this->read(document);
    if (!before) {
        return {.outcome = ApplyOutcome::unavailable, .sequence = 0, .current = {}, .resolvedByReadBack = false};
    }
    const std::uint64_t current = sequenceOf(before->json);
    const auto found = this->sequencesInForce.find(document);
    const std::uint64_t inForce = found == this->sequencesInForce.end() ? 0 : found->second;
    if (current != 0 && current >= inForce && diffDocuments(before->json, json).empty()) {
        return {.outcome = ApplyOutcome::unchanged, .sequence = current, .current = before->json, .resolvedByReadBack = false};
    }
    if (current != base) {
        return {.outcome = ApplyOutcome::conflict, .sequence = current, .current = before->json, .resolvedByReadBack = false};
    }
    if (current != 0) {
        // The current document is copied to the history before it is replaced. The content of a sequence number never changes, so
        // that a second copy is harmless.
        const std::string key = HISTORY_PREFIX + document + '/' + std::to_string(current);
        if (this->keyValueStore.write(key, before->json, 0) == StoreWriteOutcome::unknown) {
            const Result<StoredDocument> historyEntry = this->readHistory(document, current);
            if (!historyEntry || historyEntry->modifyIndex == 0) {
                return {.outcome = ApplyOutcome::unavailable, .sequence = current, .current = {}, .resolvedByReadBack = false};
            }
        }
    }
    const std::uint64_t next = std::max(current, inForce) + 1;
    return this->writeAndResolve(document, withSequence(json, next, this->writer + ':' + std::to_string(++this->changeCount)), *before);
}

ApplyReport DocumentStore::update(const std::string &document, const std::function<QByteArray(const QByteArray &current)> &change)
{
    ApplyReport report;
    for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; ++attempt) {
        const Result<StoredDocument> before = this->read(document);
        if (!before) {
            continue;
        }
        report = this->apply(document, change(before->json), sequenceOf(before->json));
        if (report.outcome != ApplyOutcome::conflict) {
            return report;
        }
    }
    return report;
}

} // namespace ragwort
