/// \file
/// A copy of the items of the platform's metadata store, kept up to date by the store's events.
#ifndef RAGWORTCART_CONTROL_STORECONTENTS_H
#define RAGWORTCART_CONTROL_STORECONTENTS_H

#include "ragwortcart/Control/MetadataStore.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace ragwort {

class StoreContents
{
public:
    /// Replaces all items.
    void replace(std::span<const StoreItem> items);
    /// Applies one event, unless the item is newer: the pages of a list may contain later changes, whose events follow.
    void apply(const StoreEvent &event);

    /// Returns all items in the order of their keys.
    std::vector<StoreItem> items() const;

private:
    std::map<std::string, StoreItem> itemsByKey;
};

} // namespace ragwort

#endif
