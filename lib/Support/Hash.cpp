/// \file
/// Implementation of the shared hashes on xxHash.
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

std::size_t rendezvousWinner(std::string_view item, std::span<const std::string> candidates)
{
    assert(!candidates.empty() && "a rendezvous choice needs a candidate");
    const std::uint64_t itemHash = stableHash(item);
    std::size_t winner = 0;
    std::uint64_t highest = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const std::uint64_t weight = stableHash(candidates[index], itemHash);
        if (index == 0 || weight > highest) {
            highest = weight;
            winner = index;
        }
    }
    return winner;
}

std::string toHex(std::uint64_t value)
{
    std::array<char, 17> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%016llx", static_cast<unsigned long long>(value));
    return buffer.data();
}

} // namespace ragwort
