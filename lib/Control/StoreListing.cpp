/// \file
/// Implements the accumulation of the pages of a list.
#include "ragwortcart/Control/StoreListing.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace ragwort {

/// The store's revision before its first change is at least this.
static constexpr StoreRevision FIRST_REVISION = 1;

static StoreRevision latestItemRevision(std::span<const StoreItem> items)
{
    StoreRevision latest = FIRST_REVISION;
    for (const StoreItem &item : items) {
        latest = std::max(latest, item.revision);
    }
    return latest;
}

Result<bool> StoreListing::add(StorePage page)
{
    if (!this->leastPageRevision) {
        this->firstPosition = page.position;
    }
    if (page.position.epoch != this->firstPosition.epoch) {
        return Error{.code = Errc::protocolViolation,
                     .step = "store-range",
                     .peer = {},
                     .detail = "a page of another epoch, at " + toText(page.position) + " after " + toText(this->firstPosition)};
    }
    const StoreRevision latest = latestItemRevision(page.items);
    this->leastPageRevision = std::min(this->leastPageRevision.value_or(latest), latest);
    const bool empty = page.items.empty();
    this->allItems.insert(this->allItems.end(), std::make_move_iterator(page.items.begin()), std::make_move_iterator(page.items.end()));
    if (!page.hasMore) {
        return false;
    }
    if (empty || !this->pageEnds.insert(this->lastKey()).second) {
        return Error{.code = Errc::protocolViolation,
                     .step = "store-range",
                     .peer = {},
                     .detail = (empty ? "an empty page, with more after " : "a second page that ends with ") + this->lastKey()};
    }
    return true;
}

StorePosition StoreListing::provenPosition() const
{
    assert(this->leastPageRevision && "a list without pages");
    return {.epoch = this->firstPosition.epoch, .revision = std::min(*this->leastPageRevision, this->firstPosition.revision)};
}

} // namespace ragwort
