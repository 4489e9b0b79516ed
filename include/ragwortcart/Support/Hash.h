/// \file
/// Hashes (xxHash) that must agree between processes: content fingerprints and rendezvous choice.
#ifndef RAGWORTCART_SUPPORT_HASH_H
#define RAGWORTCART_SUPPORT_HASH_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace ragwort {

/// A 64-bit hash of \p data, the same on every machine.
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

/// The index of the candidate with the highest rendezvous weight for \p item; \p candidates must not be empty.
std::size_t rendezvousWinner(std::string_view item, std::span<const std::string> candidates);

/// Sixteen hexadecimal digits.
std::string toHex(std::uint64_t value);

} // namespace ragwort

#endif
