/// \file
/// State of the emulated key-value store: compare-and-swap by modify index, leases, and the indexes that watches compare.
/// Performs no I/O and reads no clock.
#ifndef RAGWORTCART_EMULATOR_FAKESTORE_H
#define RAGWORTCART_EMULATOR_FAKESTORE_H

#include "ragwortcart/Support/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort {

struct StoredEntry
{
    std::string key;
    std::string value;
    std::uint64_t createIndex = 0;
    std::uint64_t modifyIndex = 0;
    /// Lease that holds the key; empty if none.
    std::string lease;
};

/// Writes of larger values fail.
inline constexpr std::size_t STORE_MAXIMUM_VALUE_BYTES = 1024 * 1024;

class FakeStore
{
public:
    std::optional<StoredEntry> get(const std::string &key) const;
    std::vector<StoredEntry> list(std::string_view prefix) const;

    /// Writes the value. Fails if \p expected is set and differs from the modify index of the key; 0 denotes an absent key.
    bool put(const std::string &key, const std::string &value, std::optional<std::uint64_t> expected);
    /// Removes the key. Fails if \p expected is set and the key is absent or has another modify index. Without \p expected, the
    /// removal of an absent key succeeds.
    bool remove(const std::string &key, std::optional<std::uint64_t> expected);

    std::string createLease(Duration lifetime, Instant now);
    bool renewLease(const std::string &lease, Instant now);
    /// Removes the lease and releases its keys. The keys keep their values.
    void destroyLease(const std::string &lease);
    /// Writes the value and makes \p lease the holder of the key. Returns false if another lease holds the key or \p lease has expired.
    bool acquire(const std::string &key, const std::string &value, const std::string &lease, Instant now);
    /// Removes expired leases and releases their keys.
    void expireLeases(Instant now);

    /// Returns the highest modify index or removal index under \p prefix, or 1 if there is none.
    std::uint64_t indexOf(std::string_view prefix) const;
    std::uint64_t lastIndex() const
    {
        return this->index;
    }

private:
    struct Lease
    {
        Duration lifetime{};
        Instant expiry{};
    };

    std::map<std::string, StoredEntry, std::less<>> entries;
    /// Index of the last removal of each removed key, so that watches notice removals.
    std::map<std::string, std::uint64_t, std::less<>> removalIndexes;
    std::map<std::string, Lease> leases;
    std::uint64_t index = 1;
    std::uint64_t leaseCount = 0;
};

} // namespace ragwort

#endif
