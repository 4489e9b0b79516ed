/// \file
/// The state of the emulated key-value service: compare-and-swap by modify index, leases, watches. Without I/O or clock.
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
    /// The lease that holds the key; empty when none does.
    std::string lease;
};

/// Values up to this size are taken.
inline constexpr std::size_t STORE_MAXIMUM_VALUE_BYTES = 1024 * 1024;

class FakeStore
{
public:
    std::optional<StoredEntry> get(const std::string &key) const;
    std::vector<StoredEntry> list(std::string_view prefix) const;

    /// Writes unless \p expected is given and differs from the key's modify index; 0 stands for an absent key.
    bool put(const std::string &key, const std::string &value, std::optional<std::uint64_t> expected);
    bool remove(const std::string &key, std::optional<std::uint64_t> expected);

    std::string createLease(Duration lifetime, Instant now);
    bool renewLease(const std::string &lease, Instant now);
    void destroyLease(const std::string &lease);
    /// Takes the key for a lease; false when another lease holds it or the lease has lapsed.
    bool acquire(const std::string &key, const std::string &value, const std::string &lease, Instant now);
    /// Ends lapsed leases and frees their keys.
    void expireLeases(Instant now);

    /// The highest modify index under \p prefix, or the index of the last removal there.
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
    std::map<std::string, std::uint64_t, std::less<>> removals;
    std::map<std::string, Lease> leases;
    std::uint64_t index = 1;
    std::uint64_t leaseCount = 0;
};

} // namespace ragwort

#endif
