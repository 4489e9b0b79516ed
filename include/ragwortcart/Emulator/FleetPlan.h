/// \file
/// Describes an emulated deployment: its backend servers and entry instances with their addresses and limits.
#ifndef RAGWORTCART_EMULATOR_FLEETPLAN_H
#define RAGWORTCART_EMULATOR_FLEETPLAN_H

#include "ragwortcart/Support/Clock.h"
#include "ragwortcart/Support/Settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwort {

struct PlannedGroup
{
    std::string name;
    int services = 0;
    int serversPerService = 0;
    int slots = 0;
    int connections = 0;
    int coldCapacity = 0;
    Duration connectTime{};
    /// Median time that a warm server takes to run a request.
    Duration serviceTime{};
    /// Port of the group's first server. The other servers have the following ports.
    int basePort = 0;
    /// Number of documents in the group's index.
    std::uint64_t documents = 0;
};

struct PlannedServer
{
    std::string id;
    std::string team;
    std::string group;
    std::string service;
    std::string domain;
    std::string address;
    /// Index into the plan's groups.
    std::size_t groupIndex = 0;
    int serviceIndex = 0;
};

/// An entry instance with its addresses for callers, operators and peers.
struct PlannedEntryInstance
{
    std::string id;
    std::string domain;
    std::string callerAddress;
    std::string operatorAddress;
    std::string peerAddress;
};

struct FleetPlan
{
    std::string team;
    std::vector<std::string> domains;
    std::vector<PlannedGroup> groups;
    std::vector<PlannedServer> servers;
    std::vector<PlannedEntryInstance> entryInstances;

    /// Reads the `[fleet]`, `[entry]` and `[group.*]` sections. Errors are recorded in \p settings.
    static FleetPlan read(Settings &settings);
};

} // namespace ragwort

#endif
