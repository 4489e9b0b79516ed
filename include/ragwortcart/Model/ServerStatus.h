/// \file
/// What a backend server reports of itself and of the snapshots that it holds.
#ifndef RAGWORTCART_MODEL_SERVERSTATUS_H
#define RAGWORTCART_MODEL_SERVERSTATUS_H

#include "ragwortcart/Model/Query.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwort {

/// What a backend server knows of one snapshot that it holds.
struct HeldSnapshot
{
    SnapshotId id = 0;
    KeyRange range;
    std::uint64_t documents = 0;
    std::uint64_t totalDocuments = 0;
};

/// A backend server's report on itself.
struct ServerStatus
{
    std::string serverId;
    ServerReport report;
    std::vector<HeldSnapshot> snapshots;
};

} // namespace ragwort

#endif
