/// \file
/// Implements the list of crash reports per content, their expiry and the quarantine.
#include "ragwortcart/Kernel/QuarantineList.h"

#include <algorithm>

namespace ragwort {

/// Maximum number of entries; bounds the memory of the list. The entry that expires first is evicted.
static constexpr std::size_t MAXIMUM_ENTRIES = 10'000;

int QuarantineList::recordCrash(std::uint64_t fingerprint, const std::string &serverId, Instant now, Duration lifetime)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->entries.contains(fingerprint) && this->entries.size() >= MAXIMUM_ENTRIES) {
        const auto first = std::min_element(
            this->entries.begin(), this->entries.end(), [](const auto &left, const auto &right) { return left.second.expiry < right.second.expiry; });
        this->entries.erase(first);
    }
    Entry &entry = this->entries[fingerprint];
    if (entry.expiry <= now) {
        entry.servers.clear();
    }
    const bool added = entry.servers.insert(serverId).second;
    entry.expiry = std::max(entry.expiry, now + lifetime);
    // Only a new report starts the quarantine. A known report that a peer sends again carries its remaining lifetime.
    if (added && static_cast<int>(entry.servers.size()) >= QUARANTINE_SERVERS && lifetime == CRASH_REPORT_LIFETIME) {
        entry.expiry = now + QUARANTINE_TIME;
    }
    this->count.store(this->entries.size(), std::memory_order_release);
    return static_cast<int>(entry.servers.size());
}

int QuarantineList::crashedServers(std::uint64_t fingerprint, Instant now)
{
    if (this->count.load(std::memory_order_acquire) == 0) {
        return 0;
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->entries.find(fingerprint);
    if (found == this->entries.end()) {
        return 0;
    }
    if (found->second.expiry <= now) {
        this->entries.erase(found);
        this->count.store(this->entries.size(), std::memory_order_release);
        return 0;
    }
    return static_cast<int>(found->second.servers.size());
}

std::vector<CrashReport> QuarantineList::unexpiredReports(Instant now)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<CrashReport> crashReports;
    for (const auto &[fingerprint, entry] : this->entries) {
        if (entry.expiry <= now) {
            continue;
        }
        for (const std::string &server : entry.servers) {
            crashReports.push_back({.fingerprint = fingerprint, .serverId = server, .remaining = entry.expiry - now});
        }
    }
    return crashReports;
}

} // namespace ragwort
