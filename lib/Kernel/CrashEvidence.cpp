/// \file
/// Implements the evidence against contents: chains of crashes, their expiry, and the news for other instances.
#include "ragwortcart/Kernel/CrashEvidence.h"

#include <algorithm>

namespace ragwort {

/// Maximum number of suspected contents; bounds the memory. The entry that expires first is evicted.
static constexpr std::size_t MAXIMUM_CONTENTS = 4096;
/// Maximum number of crashes of one content that are kept; more than a quarantine needs.
static constexpr std::size_t MAXIMUM_CRASHES_PER_CONTENT = 16;
/// Maximum number of responses that wait to be sent to other instances.
static constexpr std::size_t MAXIMUM_UNSENT_SERVED = 1024;
/// Losses at one server within this time are due to one crash, and a response within this time is that of the process that lost the requests:
/// a process takes longer to start again.
static constexpr Duration SAME_CRASH_TIME = std::chrono::seconds(1);

CrashEvidence::Entry *CrashEvidence::find(std::uint64_t fingerprint, Instant now)
{
    const auto found = this->entries.find(fingerprint);
    if (found == this->entries.end()) {
        return nullptr;
    }
    if (found->second.expiry <= now) {
        this->entries.erase(found);
        this->updateCount();
        return nullptr;
    }
    return &found->second;
}

void CrashEvidence::updateCount()
{
    this->count.store(this->entries.size(), std::memory_order_release);
}

void CrashEvidence::evictIfFull()
{
    if (this->entries.size() < MAXIMUM_CONTENTS) {
        return;
    }
    this->entries.erase(std::min_element(
        this->entries.begin(), this->entries.end(), [](const auto &left, const auto &right) { return left.second.expiry < right.second.expiry; }));
}

void CrashEvidence::removeOldLosses(Instant now)
{
    std::erase_if(this->lastLosses, [now](const auto &each) { return now - each.second >= SAME_CRASH_TIME; });
}

int CrashEvidence::longestChain(const Entry &entry)
{
    int length = 0;
    Instant lastCrash = Instant::min();
    for (const KnownCrash &known : entry.crashes) {
        if (known.crash.sentAt >= lastCrash) {
            ++length;
            lastCrash = known.crash.lostAt;
        }
    }
    return length;
}

CrashVerdict CrashEvidence::recordCrash(const ContentCrash &crash)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    Entry *entry = this->find(crash.fingerprint, crash.lostAt);
    if (entry == nullptr) {
        this->evictIfFull();
        entry = &this->entries[crash.fingerprint];
        this->updateCount();
    }
    const auto isSame = [&crash](const KnownCrash &known) {
        const Duration apart = crash.lostAt - known.crash.lostAt;
        return known.crash.serverId == crash.serverId && apart < SAME_CRASH_TIME && apart > -SAME_CRASH_TIME;
    };
    const int chainBefore = longestChain(*entry);
    const auto known = std::find_if(entry->crashes.begin(), entry->crashes.end(), isSame);
    const bool isKnown = known != entry->crashes.end();
    if (isKnown) {
        // Delays of messages make the times of peers late, never early.
        known->crash = crash.lostAt < known->crash.lostAt ? crash : known->crash;
    } else if (entry->crashes.size() < MAXIMUM_CRASHES_PER_CONTENT) {
        entry->crashes.push_back(KnownCrash{.crash = crash});
        this->recordLoss(crash);
    }
    std::sort(
        entry->crashes.begin(), entry->crashes.end(), [](const KnownCrash &left, const KnownCrash &right) { return left.crash.lostAt < right.crash.lostAt; });
    const int chain = longestChain(*entry);
    if (chain == chainBefore && !isKnown) {
        // Many servers may crash together; one of these crashes is enough.
        std::erase_if(entry->crashes, isSame);
    }
    if (chain > chainBefore) {
        entry->expiry = std::max(entry->expiry, crash.lostAt + CRASH_EVIDENCE_LIFETIME);
    }
    if (chain > chainBefore && chain >= CRASHES_BEFORE_QUARANTINE) {
        entry->quarantinedUntil = std::max(entry->quarantinedUntil, crash.lostAt + QUARANTINE_TIME);
        entry->expiry = std::max(entry->expiry, entry->quarantinedUntil);
    }
    return {.crashes = chain, .startsQuarantine = chain >= CRASHES_BEFORE_QUARANTINE && chainBefore < CRASHES_BEFORE_QUARANTINE};
}

void CrashEvidence::recordLoss(const ContentCrash &crash)
{
    if (this->lastLosses.size() >= MAXIMUM_CONTENTS) {
        this->removeOldLosses(crash.lostAt);
    }
    Instant &lastLoss = this->lastLosses[crash.serverId];
    lastLoss = std::max(lastLoss, crash.lostAt);
}

void CrashEvidence::recordServed(const ContentServed &served)
{
    if (this->count.load(std::memory_order_acquire) == 0) {
        return;
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    Entry *entry = this->find(served.fingerprint, served.servedAt);
    if (entry == nullptr) {
        return;
    }
    const auto isRefuted = [&served](const KnownCrash &known) { return known.crash.lostAt <= served.servedAt; };
    if (this->removeCrashes(served.fingerprint, *entry, isRefuted) && this->unsentServed.size() < MAXIMUM_UNSENT_SERVED) {
        this->unsentServed.push_back(served);
    }
}

template <typename Predicate>
bool CrashEvidence::removeCrashes(std::uint64_t fingerprint, Entry &entry, Predicate refutes)
{
    if (std::erase_if(entry.crashes, refutes) == 0) {
        return false;
    }
    if (longestChain(entry) < CRASHES_BEFORE_QUARANTINE) {
        entry.quarantinedUntil = Instant{};
    }
    if (entry.crashes.empty()) {
        this->entries.erase(fingerprint);
        this->updateCount();
    }
    return true;
}

void CrashEvidence::recordAlive(const std::string &serverId, Instant sentAt, Instant now)
{
    if (this->count.load(std::memory_order_acquire) == 0) {
        return;
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto lastLoss = this->lastLosses.find(serverId);
    if (lastLoss == this->lastLosses.end() || lastLoss->second > sentAt) {
        return;
    }
    this->lastLosses.erase(lastLoss);
    const auto isRefuted = [&serverId, now](const KnownCrash &known) { return known.crash.serverId == serverId && now - known.crash.lostAt < SAME_CRASH_TIME; };
    for (auto each = this->entries.begin(); each != this->entries.end();) {
        // The removal may end the entry.
        const auto current = each++;
        this->removeCrashes(current->first, current->second, isRefuted);
    }
}

int CrashEvidence::crashes(std::uint64_t fingerprint, Instant now)
{
    if (this->count.load(std::memory_order_acquire) == 0) {
        return 0;
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    const Entry *entry = this->find(fingerprint, now);
    return entry == nullptr ? 0 : longestChain(*entry);
}

Duration CrashEvidence::quarantineLeft(std::uint64_t fingerprint, Instant now)
{
    if (this->count.load(std::memory_order_acquire) == 0) {
        return Duration::zero();
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    const Entry *entry = this->find(fingerprint, now);
    return entry == nullptr ? Duration::zero() : std::max(entry->quarantinedUntil - now, Duration::zero());
}

std::size_t CrashEvidence::quarantinedContents(Instant now)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(), [now](const auto &each) { return each.second.quarantinedUntil > now; }));
}

CrashNews CrashEvidence::takeNews(std::size_t maximum, Instant now)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    CrashNews news;
    const std::size_t servedCount = std::min(maximum, this->unsentServed.size());
    const auto servedEnd = this->unsentServed.begin() + static_cast<std::ptrdiff_t>(servedCount);
    news.served.assign(this->unsentServed.begin(), servedEnd);
    this->unsentServed.erase(this->unsentServed.begin(), servedEnd);
    std::erase_if(this->entries, [now](const auto &each) { return each.second.expiry <= now; });
    this->removeOldLosses(now);
    this->updateCount();
    for (auto &[fingerprint, entry] : this->entries) {
        const bool isNews = std::any_of(entry.crashes.begin(), entry.crashes.end(), [](const KnownCrash &known) { return known.unsent; });
        if (!isNews || news.crashes.size() >= maximum) {
            continue;
        }
        // All crashes of the content, so that their order does not depend on the delays of different messages.
        for (KnownCrash &known : entry.crashes) {
            known.unsent = false;
            news.crashes.push_back(known.crash);
        }
    }
    return news;
}

CrashNews CrashEvidence::allNews(Instant now)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    CrashNews news;
    for (const auto &[fingerprint, entry] : this->entries) {
        if (entry.expiry <= now) {
            continue;
        }
        for (const KnownCrash &known : entry.crashes) {
            news.crashes.push_back(known.crash);
        }
    }
    return news;
}

} // namespace ragwort
