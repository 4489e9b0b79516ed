/// \file
/// Implements the acquisition and takeover of ordinals and the ownership of warm-ups that follows from them.
#include "ragwortcart/Control/OrdinalManager.h"

#include "ragwortcart/Support/Hash.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <utility>

namespace ragwort {

std::string encodeOrdinals(const OrdinalTable &table)
{
    QJsonObject object;
    for (const auto &[ordinal, holder] : table) {
        object.insert(QString::number(ordinal), QString::fromStdString(holder));
    }
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

std::optional<OrdinalTable> decodeOrdinals(const std::string &json)
{
    QJsonParseError error{};
    const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(json), &error);
    if (error.error != QJsonParseError::NoError || !document.isObject()) {
        return std::nullopt;
    }
    OrdinalTable table;
    const QJsonObject object = document.object();
    for (auto entry = object.begin(); entry != object.end(); ++entry) {
        table[entry.key().toInt()] = entry.value().toString().toStdString();
    }
    return table;
}

OrdinalManager::OrdinalManager(std::string ownInstance) : instance(std::move(ownInstance))
{
}

void OrdinalManager::updateTable(const OrdinalTable &newTable, std::uint64_t index, Instant requestedAt)
{
    if (this->tableKnown && index < this->tableIndex && !this->takesOlderTable(newTable, requestedAt)) {
        return;
    }
    this->olderSince.reset();
    this->table = newTable;
    this->tableIndex = index;
    this->tableKnown = true;
    this->tableRequestedAt = std::max(this->tableRequestedAt, requestedAt);
    const int before = std::exchange(this->ownOrdinal, -1);
    for (const auto &[ordinal, holder] : this->table) {
        if (holder == this->instance) {
            this->ownOrdinal = ordinal;
        }
    }
    if (this->ownOrdinal != before) {
        this->ordinalAcquiredAt = requestedAt;
    }
}

bool OrdinalManager::takesOlderTable(const OrdinalTable &older, Instant requestedAt)
{
    if (requestedAt <= this->tableRequestedAt) {
        // A late answer.
        return false;
    }
    if (!this->olderSince) {
        this->olderSince = requestedAt;
    }
    if (requestedAt - *this->olderSince >= ORDINAL_RESTORE_DELAY) {
        return true;
    }
    // A stale read must not restore an ordinal that has been reassigned; a restored store may assign the own one again.
    const auto own = older.find(this->ownOrdinal);
    if (own == older.end() || own->second != this->instance) {
        this->ownOrdinal = -1;
    }
    return false;
}

void OrdinalManager::updateLiveInstances(const std::set<std::string> &live, Instant now)
{
    this->listKnown = true;
    this->everListed.insert(live.begin(), live.end());
    std::map<std::string, Instant> missing;
    for (const auto &[ordinal, holder] : this->table) {
        if (live.contains(holder)) {
            continue;
        }
        const auto before = this->missingSince.find(holder);
        missing[holder] = before == this->missingSince.end() ? now : before->second;
    }
    this->missingSince = std::move(missing);
}

std::optional<int> OrdinalManager::findFreeOrdinal(int ordinalCount, Instant now) const
{
    for (int ordinal = 0; ordinal < ordinalCount; ++ordinal) {
        if (!this->table.contains(ordinal)) {
            return ordinal;
        }
    }
    for (const auto &[ordinal, holder] : this->table) {
        const auto missing = this->missingSince.find(holder);
        const Duration delay = this->everListed.contains(holder) ? ORDINAL_TAKEOVER_DELAY : ORDINAL_UNLISTED_DELAY;
        if (ordinal < ordinalCount && missing != this->missingSince.end() && now - missing->second >= delay) {
            return ordinal;
        }
    }
    return std::nullopt;
}

std::optional<OrdinalWrite> OrdinalManager::acquireWrite(int ordinalCount, Instant now) const
{
    if (!this->tableKnown || !this->listKnown || this->ownOrdinal >= 0 || this->olderSince) {
        return std::nullopt;
    }
    const std::optional<int> ordinal = this->findFreeOrdinal(ordinalCount, now);
    if (!ordinal) {
        return std::nullopt;
    }
    OrdinalTable next = this->table;
    next[*ordinal] = this->instance;
    return OrdinalWrite{.value = encodeOrdinals(next), .expectedIndex = this->tableIndex};
}

std::optional<OrdinalWrite> OrdinalManager::releaseWrite() const
{
    if (this->ownOrdinal < 0) {
        return std::nullopt;
    }
    OrdinalTable next = this->table;
    next.erase(this->ownOrdinal);
    return OrdinalWrite{.value = encodeOrdinals(next), .expectedIndex = this->tableIndex};
}

Instant OrdinalManager::ownsWarmUpUntil(std::string_view serverId, int ordinalCount, Instant now) const
{
    const bool settled = this->ownOrdinal >= 0 && this->ownOrdinal < ordinalCount && now - this->ordinalAcquiredAt >= ORDINAL_SETTLE_TIME;
    if (!settled) {
        return Instant{};
    }
    const int homeOrdinal = static_cast<int>(stableHash(serverId) % static_cast<std::uint64_t>(ordinalCount));
    if (homeOrdinal == this->ownOrdinal) {
        return Instant::max();
    }
    for (int step = 0; step < ordinalCount; ++step) {
        const int ordinal = (homeOrdinal + step) % ordinalCount;
        if (ordinal == this->ownOrdinal) {
            return this->tableRequestedAt + ORDINAL_TABLE_VALIDITY;
        }
        if (this->table.contains(ordinal)) {
            return Instant{};
        }
    }
    return Instant{};
}

} // namespace ragwort
