/// \file
/// Merging of opaque fixed-size records, greatest first.
#ifndef RAGWORTCART_MODEL_RECORDMERGE_H
#define RAGWORTCART_MODEL_RECORDMERGE_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace ragwort {

/// Bytes of one record in a shard's answer.
inline constexpr std::size_t RECORD_BYTES = 16;

/// The \p count greatest records of all \p shards, greatest first, compared byte by byte as unsigned numbers. Equal records
/// all count. A remainder shorter than a record is ignored.
std::string mergeGreatestRecords(std::span<const std::string_view> shards, std::size_t count);

} // namespace ragwort

#endif
