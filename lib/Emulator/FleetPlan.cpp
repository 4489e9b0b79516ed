/// \file
/// Reads fleet plans. Assigns the servers of each service, and the entry instances, to the failure domains in round-robin order.
#include "ragwortcart/Emulator/FleetPlan.h"

namespace ragwort {

static constexpr std::int64_t MAXIMUM_PORT = 65535;
static constexpr int PEER_PORT_OFFSET = 200;
static constexpr int OPERATOR_PORT_OFFSET = 100;

static PlannedGroup readGroup(Settings &settings, const std::string &section, const std::string &name)
{
    using std::chrono::milliseconds;
    return {.name = name,
            .services = static_cast<int>(settings.integer(section, "services", {.minimum = 1, .maximum = 1000})),
            .serversPerService = static_cast<int>(settings.integer(section, "servers_per_service", {.minimum = 1, .maximum = 100})),
            .slots = static_cast<int>(settings.integer(section, "slots", {.minimum = 1, .maximum = 1000})),
            .connections = static_cast<int>(settings.integer(section, "connections", {.minimum = 1, .maximum = 10'000})),
            .coldCapacity = static_cast<int>(settings.integer(section, "cold_capacity", {.minimum = 1, .maximum = 1000, .fallback = 1})),
            .connectTime = settings.duration(section, "connect_time", {.minimum = Duration(0), .maximum = std::chrono::seconds(1)}),
            .serviceTime
            = settings.duration(section, "service_time", {.minimum = Duration(1), .maximum = std::chrono::seconds(1), .fallback = milliseconds(4)}),
            .basePort = static_cast<int>(settings.integer(section, "base_port", {.minimum = 1024, .maximum = MAXIMUM_PORT})),
            .documents = static_cast<std::uint64_t>(settings.integer(section, "documents", {.minimum = 1, .maximum = 10'000'000, .fallback = 10'000}))};
}

FleetPlan FleetPlan::read(Settings &settings)
{
    FleetPlan plan;
    plan.team = settings.text("fleet", "team");
    plan.domains = settings.list("fleet", "domains");
    const std::string host = settings.text("fleet", "host", {.fallback = "127.0.0.1"});
    if (plan.domains.empty()) {
        settings.addError("fleet", "domains", "nothing", "a comma-separated list of failure domains");
        plan.domains.emplace_back("unknown");
    }
    static const std::string PREFIX = "group.";
    for (const std::string &section : settings.sectionsWithPrefix(PREFIX)) {
        const PlannedGroup group = readGroup(settings, section, section.substr(PREFIX.size()));
        const std::size_t groupIndex = plan.groups.size();
        plan.groups.push_back(group);
        int port = group.basePort;
        for (int service = 0; service < group.services; ++service) {
            for (int replica = 0; replica < group.serversPerService; ++replica) {
                const std::string serviceName = group.name + '-' + std::to_string(service);
                plan.servers.push_back({.id = serviceName + '-' + std::to_string(replica),
                                        .team = plan.team,
                                        .group = group.name,
                                        .service = serviceName,
                                        .domain = plan.domains.at(static_cast<std::size_t>(service + replica) % plan.domains.size()),
                                        .address = host + ':' + std::to_string(port),
                                        .groupIndex = groupIndex,
                                        .serviceIndex = service});
                ++port;
            }
        }
    }
    // The maximum of `base_port` leaves room for the highest peer port of 100 instances.
    const auto entryInstanceCount = settings.integer("entry", "instances", {.minimum = 1, .maximum = 100, .fallback = 6});
    const auto basePort = static_cast<int>(settings.integer("entry", "base_port", {.minimum = 1024, .maximum = MAXIMUM_PORT - 300, .fallback = 20000}));
    for (int index = 0; index < entryInstanceCount; ++index) {
        const auto at = [&host, index](int base) { return host + ':' + std::to_string(base + index); };
        plan.entryInstances.push_back({.id = "entry-" + std::to_string(index),
                                       .domain = plan.domains.at(static_cast<std::size_t>(index) % plan.domains.size()),
                                       .callerAddress = at(basePort),
                                       .operatorAddress = at(basePort + OPERATOR_PORT_OFFSET),
                                       .peerAddress = at(basePort + PEER_PORT_OFFSET)});
    }
    return plan;
}

} // namespace ragwort
