/// \file
/// Top-k merge of opaque fixed-size records.
#ifndef RAGWORTCART_MODEL_RECORDMERGE_H
#define RAGWORTCART_MODEL_RECORDMERGE_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace ragwort {

/// Size of one record in a shard's answer.
inline constexpr std::size_t RECORD_BYTES = 16;

/// Returns the \p count greatest records of all \p shards in descending order. Records are compared bytewise as unsigned numbers.
/// Duplicates are kept. A trailing partial record is ignored.
std::string mergeTopRecords(std::span<const std::string_view> shards, std::size_t count);

} // namespace ragwort

#endif
