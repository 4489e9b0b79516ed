/// \file
/// Implements the accumulation of the pages of a list.
#include "ragwortcart/Control/StoreListing.h"

#include <iterator>

namespace ragwort {

Result<bool> StoreListing::add(StorePage page)
{
    if (this->firstPosition == StorePosition{}) {
        this->firstPosition = page.position;
    }
    if (page.position.epoch != this->firstPosition.epoch) {
        return Error{.code = Errc::protocolViolation,
                     .step = "store-range",
                     .peer = {},
                     .detail = "a page of another epoch, at " + toText(page.position) + " after " + toText(this->firstPosition)};
    }
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

} // namespace ragwort
