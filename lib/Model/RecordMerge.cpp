/// \file
/// Selection of the greatest records.
#include "ragwortcart/Model/RecordMerge.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace ragwort {

std::string mergeGreatestRecords(std::span<const std::string_view> shards, std::size_t count)
{
    // std::string_view compares its bytes as unsigned numbers.
    std::vector<std::string_view> records;
    for (const std::string_view shard : shards) {
        for (std::size_t begin = 0; begin + RECORD_BYTES <= shard.size(); begin += RECORD_BYTES) {
            records.push_back(shard.substr(begin, RECORD_BYTES));
        }
    }
    const std::size_t kept = std::min(count, records.size());
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(), std::greater<>());
    std::string merged;
    merged.reserve(kept * RECORD_BYTES);
    for (std::size_t index = 0; index < kept; ++index) {
        merged += records[index];
    }
    return merged;
}

} // namespace ragwort
