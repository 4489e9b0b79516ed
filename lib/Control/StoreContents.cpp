/// \file
/// Implements the copy of the metadata store's items.
#include "ragwortcart/Control/StoreContents.h"

#include "ragwortcart/Support/Visitor.h"

namespace ragwort {

void StoreContents::replace(std::span<const StoreItem> items)
{
    this->itemsByKey.clear();
    for (const StoreItem &item : items) {
        this->itemsByKey[item.key] = item;
    }
}

void StoreContents::apply(const StoreEvent &event)
{
    const auto &[key, revision] = std::visit([](const auto &typed) { return std::pair(typed.key, typed.revision); }, event);
    const auto found = this->itemsByKey.find(key);
    if (found != this->itemsByKey.end() && found->second.revision > revision) {
        return;
    }
    std::visit(Visitor{[this](const StoreItem &item) { this->itemsByKey[item.key] = item; },
                       [this](const StoreDeletion &deletion) { this->itemsByKey.erase(deletion.key); }},
               event);
}

std::vector<StoreItem> StoreContents::items() const
{
    std::vector<StoreItem> all;
    all.reserve(this->itemsByKey.size());
    for (const auto &[key, item] : this->itemsByKey) {
        all.push_back(item);
    }
    return all;
}

} // namespace ragwort
