/// \file
/// Accumulates the pages of a list of the metadata store and decides whether the list goes on.
///
/// The store says whether there is another page, and the last key of a page, which any writer may have named, says where that one begins. A list
/// therefore ends with an error when it stops advancing, whatever the cause. Performs no I/O.
#ifndef RAGWORTCART_CONTROL_STORELISTING_H
#define RAGWORTCART_CONTROL_STORELISTING_H

#include "ragwortcart/Control/MetadataStore.h"

#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace ragwort {

class StoreListing
{
public:
    /// Adds the page that follows those added before. Returns whether there are more; the next one begins after `lastKey()`. Fails with
    /// `Errc::protocolViolation` if the page is of another epoch than the first one, or if it names more but does not advance the list: if it
    /// is empty, or ends with the same key as an earlier page. The list is then incomplete and must not be used.
    Result<bool> add(StorePage page);

    std::span<const StoreItem> items() const
    {
        return this->allItems;
    }
    /// Returns the key of the last item, or an empty string before the first one.
    std::string lastKey() const
    {
        return this->allItems.empty() ? std::string() : this->allItems.back().key;
    }
    /// Returns the store's position when the first page was read. Pages are not a consistent snapshot: they may contain later changes, and a
    /// watch from this position returns those and all others made meanwhile.
    StorePosition position() const
    {
        return this->firstPosition;
    }
    /// Returns a position up to which the items contain all changes, whatever the pages were read from: a page may come from an older copy than
    /// the position that it names, but at least from one that held its latest item. A watch from there returns what is missing. Only valid
    /// after the first page.
    StorePosition provenPosition() const;

private:
    std::vector<StoreItem> allItems;
    StorePosition firstPosition;
    /// The lowest among the revisions of the latest item of each page.
    std::optional<StoreRevision> leastPageRevision;
    /// The last key of each page that had more behind it. No order of keys is assumed.
    std::set<std::string> pageEnds;
};

} // namespace ragwort

#endif
