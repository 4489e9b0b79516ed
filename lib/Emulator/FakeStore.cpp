/// \file
/// Implements the state of the emulated key-value store.
#include "ragwortcart/Emulator/FakeStore.h"

#include <algorithm>

namespace ragwort {

std::optional<StoredEntry> FakeStore::get(const std::string &key) const
{
    const auto found = this->entries.find(key);
    return found == this->entries.end() ? std::nullopt : std::optional(found->second);
}

std::vector<StoredEntry> FakeStore::list(std::string_view prefix) const
{
    std::vector<StoredEntry> result;
    for (auto entry = this->entries.lower_bound(prefix); entry != this->entries.end() && std::string_view(entry->first).starts_with(prefix); ++entry) {
        result.push_back(entry->second);
    }
    return result;
}

bool FakeStore::put(const std::string &key, const std::string &value, std::optional<std::uint64_t> expected)
{
    const auto found = this->entries.find(key);
    const std::uint64_t current = found == this->entries.end() ? 0 : found->second.modifyIndex;
    if ((expected && *expected != current) || value.size() > STORE_MAXIMUM_VALUE_BYTES) {
        return false;
    }
    ++this->index;
    StoredEntry &entry = this->entries[key];
    entry.key = key;
    entry.value = value;
    entry.modifyIndex = this->index;
    entry.createIndex = current == 0 ? this->index : entry.createIndex;
    return true;
}

bool FakeStore::remove(const std::string &key, std::optional<std::uint64_t> expected)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end()) {
        return !expected;
    }
    if (expected && *expected != found->second.modifyIndex) {
        return false;
    }
    this->entries.erase(found);
    this->removalIndexes[key] = ++this->index;
    return true;
}

std::string FakeStore::createLease(Duration lifetime, Instant now)
{
    const std::string id = "lease-" + std::to_string(++this->leaseCount);
    this->leases[id] = {.lifetime = lifetime, .expiry = now + lifetime};
    return id;
}

bool FakeStore::renewLease(const std::string &lease, Instant now)
{
    this->expireLeases(now);
    const auto found = this->leases.find(lease);
    if (found == this->leases.end()) {
        return false;
    }
    found->second.expiry = now + found->second.lifetime;
    return true;
}

void FakeStore::destroyLease(const std::string &lease)
{
    this->leases.erase(lease);
    for (auto &[key, entry] : this->entries) {
        if (entry.lease == lease) {
            entry.lease.clear();
            entry.modifyIndex = ++this->index;
        }
    }
}

bool FakeStore::acquire(const std::string &key, const std::string &value, const std::string &lease, Instant now)
{
    this->expireLeases(now);
    if (!this->leases.contains(lease)) {
        return false;
    }
    const auto found = this->entries.find(key);
    if (found != this->entries.end() && !found->second.lease.empty() && found->second.lease != lease) {
        return false;
    }
    if (!this->put(key, value, std::nullopt)) {
        return false;
    }
    this->entries[key].lease = lease;
    return true;
}

void FakeStore::expireLeases(Instant now)
{
    std::vector<std::string> expired;
    for (const auto &[id, lease] : this->leases) {
        if (lease.expiry <= now) {
            expired.push_back(id);
        }
    }
    for (const std::string &id : expired) {
        this->destroyLease(id);
    }
}

std::uint64_t FakeStore::indexOf(std::string_view prefix) const
{
    std::uint64_t highest = 0;
    for (auto entry = this->entries.lower_bound(prefix); entry != this->entries.end() && std::string_view(entry->first).starts_with(prefix); ++entry) {
        highest = std::max(highest, entry->second.modifyIndex);
    }
    for (auto removal = this->removalIndexes.lower_bound(prefix); removal != this->removalIndexes.end() && std::string_view(removal->first).starts_with(prefix);
         ++removal) {
        highest = std::max(highest, removal->second);
    }
    return std::max<std::uint64_t>(highest, 1);
}

} // namespace ragwort
