/// \file
/// Open-loop load generator for entry instances. Sends control requests to the emulators at scheduled times and reports
/// statistics per kind of request and time window.
#ifndef RAGWORTCART_EMULATOR_LOADRUN_H
#define RAGWORTCART_EMULATOR_LOADRUN_H

#include "ragwortcart/Support/Metrics.h"
#include "ragwortcart/Support/Settings.h"
#include "ragwortcart/Wire/EventLoop.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ragwort {

/// One kind of request of the workload.
struct LoadKind
{
    std::string team;
    std::string name;
    bool action = false;
    /// Requests per second over all targets.
    double rate = 0.0;
    std::int64_t deadlineMs = 300;
    /// Number of distinct query texts. With a small number, most requests repeat the content of earlier ones.
    int distinctTexts = 1000;
    /// Every request has a text that no earlier request used.
    bool uniqueTexts = false;
};

/// A control request sent to an emulator at a time relative to the start of the run.
struct ScheduledControlRequest
{
    Duration at{};
    std::string address;
    std::string path;
    std::string body;
};

/// A time interval of the run with separate statistics. Contains the requests that are scheduled in it.
struct LoadWindow
{
    std::string name;
    Duration from{};
    Duration to{};
};

struct LoadPlan
{
    /// The addresses for callers of the entry instances under load.
    std::vector<std::string> targets;
    /// Operators' addresses of the targets, in the same order. If set, requests are sent only to targets that report
    /// readiness, as behind a load balancer.
    std::vector<std::string> healthAddresses;
    std::vector<LoadKind> kinds;
    std::vector<ScheduledControlRequest> controlRequests;
    std::vector<LoadWindow> windows;
    Duration length{};
    std::uint64_t seed = 1;

    /// Reads an experiment file. Errors are recorded in \p settings.
    static LoadPlan read(Settings &settings);
};

/// Statistics of one kind in one window. Latency is measured from the scheduled time of the request.
struct LoadStatistics
{
    LatencyHistogram latency;
    std::uint64_t sent = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t notRun = 0;
    std::uint64_t failed = 0;
    std::uint64_t brokenConnections = 0;
    std::uint64_t fullCoverage = 0;
    double coverageSum = 0.0;
    double minimumCoverage = 1.0;
    std::uint64_t subRequests = 0;
    std::uint64_t extraSubRequests = 0;
    /// Number of unsuccessful requests by reason code.
    std::map<std::string, std::uint64_t> reasons;
};

struct LoadRow
{
    std::string window;
    std::string kind;
    std::unique_ptr<LoadStatistics> statistics;
    Duration length{};
};

/// Runs the plan on the calling thread. Returns one row for each window and kind.
std::vector<LoadRow> runLoad(const LoadPlan &plan);

std::string formatTable(const std::vector<LoadRow> &rows);
std::string formatJson(const std::vector<LoadRow> &rows);

} // namespace ragwort

#endif
