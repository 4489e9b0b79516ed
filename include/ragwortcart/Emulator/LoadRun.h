/// \file
/// An open-loop load on entry instances, with orders to the stand-ins at set times and a report per kind and window.
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

/// A kind of request in the mix.
struct LoadKind
{
    std::string team;
    std::string name;
    bool action = false;
    /// Requests a second over all targets.
    double rate = 0.0;
    std::int64_t deadlineMs = 300;
    /// Different query texts; small numbers make contents come again.
    int distinctTexts = 1000;
    /// Every request gets a text that was never used before.
    bool freshTexts = false;
};

/// An HTTP request sent to a stand-in at a time of the run.
struct LoadOrder
{
    Duration at{};
    std::string address;
    std::string path;
    std::string body;
};

/// A part of the run with figures of its own.
struct LoadWindow
{
    std::string name;
    Duration from{};
    Duration to{};
};

struct LoadPlan
{
    std::vector<std::string> targets;
    /// Operators' addresses of the targets, in their order. When given, requests go only to targets that report themselves
    /// as ready, as behind a balancer.
    std::vector<std::string> health;
    std::vector<LoadKind> kinds;
    std::vector<LoadOrder> orders;
    std::vector<LoadWindow> windows;
    Duration length{};
    std::uint64_t seed = 1;

    /// Reads an experiment file; faults stay with \p settings.
    static LoadPlan read(Settings &settings);
};

/// Figures of one kind in one window. Latency counts from the time at which the request was due.
struct LoadFigures
{
    LatencyHistogram latency;
    std::uint64_t sent = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t notRun = 0;
    std::uint64_t failed = 0;
    std::uint64_t broken = 0;
    std::uint64_t fullCoverage = 0;
    double coverageSum = 0.0;
    double leastCoverage = 1.0;
    std::uint64_t subRequests = 0;
    std::uint64_t extraSubRequests = 0;
    /// Reason codes of what did not succeed.
    std::map<std::string, std::uint64_t> reasons;
};

struct LoadRow
{
    std::string window;
    std::string kind;
    std::unique_ptr<LoadFigures> figures;
    Duration length{};
};

/// Runs the plan on one thread and returns a row for each window and kind.
std::vector<LoadRow> runLoad(const LoadPlan &plan);

std::string formatTable(const std::vector<LoadRow> &rows);
std::string formatJson(const std::vector<LoadRow> &rows);

} // namespace ragwort

#endif
