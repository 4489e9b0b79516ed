/// \file
/// Implementation of the top-k record merge.
#include "ragwortcart/Model/RecordMerge.h"

#include <algorithm>
#include <array>
#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <functional>
#include <vector>

namespace ragwort {

namespace {

/// A record as two numbers, which compare as its bytes do.
struct RecordKey
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    static RecordKey read(const char *bytes)
    {
        const auto *data = reinterpret_cast<const unsigned char *>(bytes);
        return {.high = boost::endian::load_big_u64(data), .low = boost::endian::load_big_u64(data + sizeof(std::uint64_t))};
    }

    void appendTo(std::string &bytes) const
    {
        std::array<unsigned char, RECORD_BYTES> data{};
        boost::endian::store_big_u64(data.data(), this->high);
        boost::endian::store_big_u64(data.data() + sizeof(std::uint64_t), this->low);
        bytes.append(reinterpret_cast<const char *>(data.data()), data.size());
    }

    bool operator>(const RecordKey &other) const
    {
        return this->high != other.high ? this->high > other.high : this->low > other.low;
    }
};

static_assert(sizeof(RecordKey) == RECORD_BYTES, "a key holds a whole record");

} // namespace

std::string mergeTopRecords(std::span<const std::string_view> shards, std::size_t count)
{
    if (count == 0) {
        return {};
    }
    // The greatest records so far, as a heap with the least of them in front: most records are rejected by one comparison.
    std::vector<RecordKey> greatest;
    for (const std::string_view shard : shards) {
        for (std::size_t begin = 0; begin + RECORD_BYTES <= shard.size(); begin += RECORD_BYTES) {
            const RecordKey key = RecordKey::read(shard.data() + begin);
            if (greatest.size() < count) {
                greatest.push_back(key);
                std::push_heap(greatest.begin(), greatest.end(), std::greater<>());
            } else if (key > greatest.front()) {
                std::pop_heap(greatest.begin(), greatest.end(), std::greater<>());
                greatest.back() = key;
                std::push_heap(greatest.begin(), greatest.end(), std::greater<>());
            }
        }
    }
    std::sort_heap(greatest.begin(), greatest.end(), std::greater<>());
    std::string merged;
    merged.reserve(greatest.size() * RECORD_BYTES);
    for (const RecordKey &key : greatest) {
        key.appendTo(merged);
    }
    return merged;
}

} // namespace ragwort
