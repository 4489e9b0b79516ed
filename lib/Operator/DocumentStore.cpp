/// \file
/// Compare-and-swap of documents with settlement by reading back.
#include "ragwortcart/Operator/DocumentStore.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <map>

namespace ragwort {

static constexpr const char *DOCUMENT_PREFIX = "ragwort/config/";
static constexpr const char *HISTORY_PREFIX = "ragwort/history/";
static constexpr int MAXIMUM_TRIES = 8;

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

/// The members of arrays of objects are named by their "name", so that a diff survives a change of order.
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
    for (const char *bookkeeping : {"sequence", "change"}) {
        old.erase(bookkeeping);
        next.erase(bookkeeping);
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

DocumentStore::DocumentStore(DocumentBackend &storeBackend, std::string writerName) : backend(storeBackend), writer(std::move(writerName))
{
}

Result<StoredDocument> DocumentStore::read(const std::string &document)
{
    return this->backend.read(DOCUMENT_PREFIX + document);
}

Result<StoredDocument> DocumentStore::readHistory(const std::string &document, std::uint64_t sequence)
{
    return this->backend.read(HISTORY_PREFIX + document + '/' + std::to_string(sequence));
}

ApplyReport DocumentStore::settle(const std::string &document, const QByteArray &wanted, const StoredDocument &before)
{
    // A write whose answer was lost may still take effect later. Writing again with the same expected index decides it:
    // of the two at most one can succeed, and both carry the same content.
    for (int attempt = 0; attempt < MAXIMUM_TRIES; ++attempt) {
        const StoreWriteOutcome outcome = this->backend.write(DOCUMENT_PREFIX + document, wanted, before.modifyIndex);
        if (outcome == StoreWriteOutcome::written) {
            return {.outcome = ApplyOutcome::applied, .sequence = sequenceOf(wanted), .present = {}, .settledByReading = false};
        }
        const Result<StoredDocument> present = this->read(document);
        if (!present) {
            continue;
        }
        if (present->json == wanted) {
            return {.outcome = ApplyOutcome::applied, .sequence = sequenceOf(wanted), .present = {}, .settledByReading = true};
        }
        if (present->modifyIndex == before.modifyIndex) {
            continue;
        }
        // Someone's later change may rest on ours: then ours is in the history.
        const Result<StoredDocument> kept = this->readHistory(document, sequenceOf(wanted));
        const bool stoodBefore = kept && kept->json == wanted;
        return {.outcome = stoodBefore ? ApplyOutcome::applied : ApplyOutcome::conflict,
                .sequence = sequenceOf(present->json),
                .present = present->json,
                .settledByReading = true};
    }
    return {.outcome = ApplyOutcome::unknown, .sequence = 0, .present = {}, .settledByReading = false};
}

ApplyReport DocumentStore::apply(const std::string &document, const QByteArray &json, std::uint64_t base)
{
    const Result<StoredDocument> before = this->read(document);
    if (!before) {
        return {.outcome = ApplyOutcome::unavailable, .sequence = 0, .present = {}, .settledByReading = false};
    }
    const std::uint64_t present = sequenceOf(before->json);
    if (present != 0 && diffDocuments(before->json, json).empty()) {
        return {.outcome = ApplyOutcome::unchanged, .sequence = present, .present = before->json, .settledByReading = false};
    }
    if (present != base) {
        return {.outcome = ApplyOutcome::conflict, .sequence = present, .present = before->json, .settledByReading = false};
    }
    if (present != 0) {
        // What is to be replaced goes into the history first; the content of a sequence never changes, so that a second
        // copy of it does no harm.
        const std::string key = HISTORY_PREFIX + document + '/' + std::to_string(present);
        if (this->backend.write(key, before->json, 0) == StoreWriteOutcome::unknown) {
            const Result<StoredDocument> kept = this->readHistory(document, present);
            if (!kept || kept->modifyIndex == 0) {
                return {.outcome = ApplyOutcome::unavailable, .sequence = present, .present = {}, .settledByReading = false};
            }
        }
    }
    return this->settle(document, withSequence(json, present + 1, this->writer + ':' + std::to_string(++this->changes)), *before);
}

ApplyReport DocumentStore::update(const std::string &document, const std::function<QByteArray(const QByteArray &present)> &change)
{
    ApplyReport report;
    for (int attempt = 0; attempt < MAXIMUM_TRIES; ++attempt) {
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
