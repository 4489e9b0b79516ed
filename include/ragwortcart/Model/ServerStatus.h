/// \file
/// The status of a backend server.
#ifndef RAGWORTCART_MODEL_SERVERSTATUS_H
#define RAGWORTCART_MODEL_SERVERSTATUS_H

#include "ragwortcart/Model/Query.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwort {

/// A snapshot held by a backend server.
struct ServerSnapshot
{
    SnapshotId id = 0;
    KeyRange range;
    std::uint64_t documents = 0;
    std::uint64_t totalDocuments = 0;
};

/// The status that a backend server reports for itself and for its snapshots.
struct ServerStatus
{
    std::string serverId;
    ServerReport report;
    std::vector<ServerSnapshot> snapshots;
};

} // namespace ragwort

#endif
