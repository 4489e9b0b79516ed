/// \file
/// Ranges of document keys and sets of such ranges, from which the coverage of an answer is computed.
#ifndef RAGWORTCART_MODEL_KEYRANGE_H
#define RAGWORTCART_MODEL_KEYRANGE_H

#include <cstdint>
#include <vector>

namespace ragwort {

using DocumentKey = std::uint64_t;

/// Exclusive upper bound of the document keys. Exactly representable as a JSON number.
inline constexpr DocumentKey KEY_SPACE_END = DocumentKey{1} << 40;

/// The half-open range [begin, end).
struct KeyRange
{
    DocumentKey begin = 0;
    DocumentKey end = 0;

    bool empty() const
    {
        return this->begin >= this->end;
    }
    DocumentKey width() const
    {
        return this->empty() ? 0 : this->end - this->begin;
    }
    bool contains(DocumentKey key) const
    {
        return key >= this->begin && key < this->end;
    }
    bool overlaps(const KeyRange &other) const
    {
        return this->begin < other.end && other.begin < this->end;
    }
    bool operator==(const KeyRange &) const = default;
};

/// A set of keys, stored as sorted, disjoint, maximal ranges.
class RangeSet
{
public:
    /// Adds \p range and merges it with overlapping and adjacent ranges.
    void add(const KeyRange &range);

    bool overlaps(const KeyRange &range) const;

    /// Returns the subranges of \p within that are not in the set, in ascending order.
    std::vector<KeyRange> missing(const KeyRange &within) const;

    /// Returns the number of keys in the set.
    DocumentKey width() const;

    const std::vector<KeyRange> &ranges() const
    {
        return this->sortedRanges;
    }

private:
    /// Invariant: sorted; no range is empty, and no two ranges overlap or are adjacent.
    std::vector<KeyRange> sortedRanges;
};

} // namespace ragwort

#endif
