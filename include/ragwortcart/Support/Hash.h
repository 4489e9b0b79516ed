/// \file
/// Hash functions based on xxHash whose results must agree between processes: content fingerprints and rendezvous hashing.
#ifndef RAGWORTCART_SUPPORT_HASH_H
#define RAGWORTCART_SUPPORT_HASH_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace ragwort {

/// Returns a 64-bit hash of \p data. The result does not depend on the machine or the process.
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

/// Returns the index of the candidate with the highest rendezvous weight for \p item, the first one if several have it.
/// \p candidates must not be empty.
std::size_t rendezvousSelect(std::string_view item, std::span<const std::string> candidates);

/// Formats \p value as sixteen hexadecimal digits.
std::string toHex(std::uint64_t value);

} // namespace ragwort

#endif
