/// \file
/// Accusations by content, with expiry.
#include "ragwortcart/Kernel/SuspectList.h"

#include <algorithm>

namespace ragwort {

/// Bounds the memory of the list; the suspect that expires first makes room.
static constexpr std::size_t MAXIMUM_SUSPECTS = 10'000;

int SuspectList::accuse(std::uint64_t fingerprint, const std::string &serverId, Instant now, Duration lifetime)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->suspects.contains(fingerprint) && this->suspects.size() >= MAXIMUM_SUSPECTS) {
        const auto first = std::min_element(
            this->suspects.begin(), this->suspects.end(), [](const auto &left, const auto &right) { return left.second.expiry < right.second.expiry; });
        this->suspects.erase(first);
    }
    Suspect &suspect = this->suspects[fingerprint];
    if (suspect.expiry <= now) {
        suspect.servers.clear();
    }
    const bool added = suspect.servers.insert(serverId).second;
    suspect.expiry = std::max(suspect.expiry, now + lifetime);
    if (added && static_cast<int>(suspect.servers.size()) >= QUARANTINE_SERVERS && lifetime == SINGLE_ACCUSATION_TIME) {
        suspect.expiry = now + QUARANTINE_TIME;
    }
    this->count.store(this->suspects.size(), std::memory_order_release);
    return static_cast<int>(suspect.servers.size());
}

int SuspectList::accusedServers(std::uint64_t fingerprint, Instant now)
{
    if (this->count.load(std::memory_order_acquire) == 0) {
        return 0;
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end()) {
        return 0;
    }
    if (found->second.expiry <= now) {
        this->suspects.erase(found);
        this->count.store(this->suspects.size(), std::memory_order_release);
        return 0;
    }
    return static_cast<int>(found->second.servers.size());
}

std::vector<Accusation> SuspectList::all(Instant now)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<Accusation> accusations;
    for (const auto &[fingerprint, suspect] : this->suspects) {
        if (suspect.expiry <= now) {
            continue;
        }
        for (const std::string &server : suspect.servers) {
            accusations.push_back({.fingerprint = fingerprint, .serverId = server, .remaining = suspect.expiry - now});
        }
    }
    return accusations;
}

} // namespace ragwort
