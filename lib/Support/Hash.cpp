/// \file
/// Implementation of the hash functions with xxHash.
#include "ragwortcart/Support/Hash.h"

#include <array>
#include <cassert>
#include <cstdio>
#include <xxhash.h>

namespace ragwort {

std::uint64_t stableHash(std::string_view data, std::uint64_t seed)
{
    return XXH64(data.data(), data.size(), seed);
}

std::size_t rendezvousSelect(std::string_view item, std::span<const std::string> candidates)
{
    assert(!candidates.empty() && "rendezvous hashing requires at least one candidate");
    const std::uint64_t itemHash = stableHash(item);
    std::size_t selected = 0;
    std::uint64_t highestWeight = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const std::uint64_t weight = stableHash(candidates[index], itemHash);
        if (index == 0 || weight > highestWeight) {
            highestWeight = weight;
            selected = index;
        }
    }
    return selected;
}

std::string toHex(std::uint64_t value)
{
    std::array<char, 17> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%016llx", static_cast<unsigned long long>(value));
    return buffer.data();
}

} // namespace ragwort
