/// \file
/// Ranges of the document key space and sets of them; coverage is computed on these.
#ifndef RAGWORTCART_MODEL_KEYRANGE_H
#define RAGWORTCART_MODEL_KEYRANGE_H

#include <cstdint>
#include <vector>

namespace ragwort {

using DocumentKey = std::uint64_t;

/// Keys run from 0 up to, not including, this bound. It is exactly representable as a JSON number.
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

/// A set of keys as disjoint, sorted, maximal ranges.
class RangeSet
{
public:
    /// Adds \p range, joining it with its neighbours.
    void add(const KeyRange &range);

    bool overlaps(const KeyRange &range) const;

    /// The parts of \p within that are not in the set, in order.
    std::vector<KeyRange> missing(const KeyRange &within) const;

    DocumentKey width() const;

    const std::vector<KeyRange> &ranges() const
    {
        return this->parts;
    }

private:
    /// Invariant: sorted, not empty, not touching one another.
    std::vector<KeyRange> parts;
};

} // namespace ragwort

#endif
