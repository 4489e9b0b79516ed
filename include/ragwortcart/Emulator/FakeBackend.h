/// \file
/// Emulates a fleet of backend servers in one process. Each server has its own port, slots, connection limit, snapshots and
/// cold starts. Requests to a control address inject faults and publish snapshots at run time.
#ifndef RAGWORTCART_EMULATOR_FAKEBACKEND_H
#define RAGWORTCART_EMULATOR_FAKEBACKEND_H

#include "ragwortcart/Emulator/FleetPlan.h"
#include "ragwortcart/Wire/BackendCodec.h"
#include "ragwortcart/Wire/EventLoop.h"
#include "ragwortcart/Wire/HttpServer.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace ragwort {

/// Faults injected into one emulated server. All are off by default.
struct BackendFaults
{
    /// Multiplies the service time of every request.
    double slowFactor = 1.0;
    /// Fraction of requests with ten times the service time.
    double stragglerShare = 0.0;
    /// For this number of requests, counted from the next one, the server closes the connection instead of responding.
    int closeAfterRead = 0;
    /// The server sends no further response on connections whose `HttpRequest::connection` is at most this number.
    std::uint64_t silentConnections = 0;
    /// The server accepts connections and reads requests but never responds.
    bool frozen = false;
    /// The server sheds every request, also while it has free slots.
    bool shedAll = false;
    /// The server reports itself as warm and idle regardless of its state. Reset when a cold server becomes warm.
    bool misreportsStatus = false;
    /// The server refuses every request and reports that it is draining.
    bool draining = false;
};

struct BackendCounts
{
    std::uint64_t received = 0;
    std::uint64_t executed = 0;
    std::uint64_t shed = 0;
    /// Requests whose caller disconnected before the response.
    std::uint64_t cancelled = 0;
    std::uint64_t crashes = 0;
    std::uint64_t refusedConnections = 0;
    std::size_t peakConnections = 0;
    /// Peak number of concurrent requests while the server was cold.
    int peakRequestsWhileCold = 0;
    /// Requests received while the server was draining.
    std::uint64_t receivedWhileDraining = 0;
};

/// One emulated server. Runs on a single event loop.
class FakeServer
{
public:
    FakeServer(EventLoop &loop, const PlannedServer &planned, const PlannedGroup &group, std::uint64_t seed);
    ~FakeServer();

    Result<std::uint16_t> start();

    /// Simulates a process crash: closes all connections, stops listening for \p downTime, then restarts cold.
    void crash(Duration downTime);
    void stop();
    /// Makes the server cold. Unless \p announced, it reports itself as warm and idle.
    void resetToCold(bool announced);

    /// Replaces all snapshots that the server holds.
    void setSnapshots(std::vector<ServerSnapshot> held);

    ServerStatus status() const;
    BackendCounts currentCounts() const;
    /// Number of connections accepted by the current incarnation.
    std::uint64_t acceptedConnections() const;

    const PlannedServer planned;
    BackendFaults faults;
    /// Number of executions by action key. More than one is a duplicate execution.
    std::map<std::string, int> actionRuns;

private:
    struct Job
    {
        BackendRequest request;
        std::shared_ptr<HttpExchange> exchange;
        Instant deadline{};
        bool cancelled = false;
    };
    using JobPointer = std::shared_ptr<Job>;

    void handle(const HttpRequest &request, std::shared_ptr<HttpExchange> exchange);
    void accept(const JobPointer &job);
    void startNext();
    void run(const JobPointer &job);
    void finish(const JobPointer &job);
    void refuse(const std::shared_ptr<HttpExchange> &exchange, SubFailure failure);
    Duration serviceTime();
    ServerReport report() const;
    SubAnswer search(const BackendRequest &request, const ServerSnapshot &held) const;
    const ServerSnapshot *findSnapshot(const BackendRequest &request) const;
    std::unique_ptr<HttpServer> makeServer();

    EventLoop &loop;
    const PlannedGroup group;
    pcg32 random;
    std::unique_ptr<HttpServer> server;
    std::vector<ServerSnapshot> snapshots;
    std::deque<JobPointer> queue;
    int running = 0;
    std::uint64_t incarnation = 1;
    /// Number of responses until the server is warm.
    int coldResponsesLeft = 0;
    bool down = false;
    BackendCounts counts;
};

/// The snapshots of one group's index. Assigns a shard of the key space to each service.
class FakeIndex
{
public:
    explicit FakeIndex(const PlannedGroup &group);

    /// Returns the shard of \p snapshot that \p service holds.
    ServerSnapshot shard(SnapshotId snapshot, int service) const;

    /// Creates the next snapshot. If \p repartition is set, its shard boundaries differ from those of the previous one.
    SnapshotId publish(bool repartition);

    SnapshotId newest() const
    {
        return this->lastSnapshot;
    }

private:
    int services;
    std::uint64_t documents;
    SnapshotId lastSnapshot = 1;
    /// Boundary offset of each snapshot, in eighths of a shard's width.
    std::map<SnapshotId, int> shifts{{1, 0}};
};

/// Returns the number of documents in \p range for a snapshot of \p documents evenly spaced documents.
std::uint64_t countDocuments(const KeyRange &range, std::uint64_t documents);

/// All emulated servers of a plan and the HTTP server of their control address.
class FakeBackendFleet
{
public:
    struct Options
    {
        const FleetPlan &plan;
        std::string controlAddress;
        std::uint64_t seed = 1;
    };

    FakeBackendFleet(EventLoop &loop, const Options &options);

    Result<std::uint16_t> start();
    void stop();

private:
    void handleControlRequest(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    std::string applyFaults(const std::string &json);
    std::string publishSnapshot(const std::string &json);
    std::string describeCounts() const;

    EventLoop &loop;
    const FleetPlan plan;
    std::vector<FakeIndex> indexes;
    std::vector<std::unique_ptr<FakeServer>> servers;
    HttpServer control;
};

} // namespace ragwort

#endif
