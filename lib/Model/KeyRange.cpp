/// \file
/// Implementation of the set of key ranges.
#include "ragwortcart/Model/KeyRange.h"

#include <algorithm>

namespace ragwort {

void RangeSet::add(const KeyRange &range)
{
    if (range.empty()) {
        return;
    }
    KeyRange merged = range;
    std::vector<KeyRange> next;
    for (const KeyRange &existing : this->sortedRanges) {
        const bool touchesRange = existing.begin <= merged.end && merged.begin <= existing.end;
        if (!touchesRange) {
            next.push_back(existing);
            continue;
        }
        merged.begin = std::min(merged.begin, existing.begin);
        merged.end = std::max(merged.end, existing.end);
    }
    const auto position = std::find_if(next.begin(), next.end(), [&merged](const KeyRange &existing) { return existing.begin > merged.begin; });
    next.insert(position, merged);
    this->sortedRanges = std::move(next);
}

bool RangeSet::overlaps(const KeyRange &range) const
{
    return std::any_of(this->sortedRanges.begin(), this->sortedRanges.end(), [&range](const KeyRange &existing) { return existing.overlaps(range); });
}

std::vector<KeyRange> RangeSet::missing(const KeyRange &within) const
{
    std::vector<KeyRange> gaps;
    DocumentKey position = within.begin;
    for (const KeyRange &existing : this->sortedRanges) {
        if (existing.end <= position) {
            continue;
        }
        if (existing.begin >= within.end) {
            break;
        }
        if (existing.begin > position) {
            gaps.push_back({.begin = position, .end = existing.begin});
        }
        position = existing.end;
    }
    if (position < within.end) {
        gaps.push_back({.begin = position, .end = within.end});
    }
    return gaps;
}

DocumentKey RangeSet::width() const
{
    DocumentKey total = 0;
    for (const KeyRange &existing : this->sortedRanges) {
        total += existing.width();
    }
    return total;
}

} // namespace ragwort
