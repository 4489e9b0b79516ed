/// \file
/// Implements the process of an entry instance that serves teams: settings, threads, operator endpoints and graceful shutdown.
///
/// Relies on a `ControlPlane` on the Qt event loop and on several `Worker` threads.
#ifndef RAGWORTCART_RUNTIME_ENTRYPROCESS_H
#define RAGWORTCART_RUNTIME_ENTRYPROCESS_H

#include "ragwortcart/Runtime/ControlPlane.h"
#include "ragwortcart/Runtime/Worker.h"
#include "ragwortcart/Support/Log.h"
#include "ragwortcart/Support/Settings.h"

#include <QTimer>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace ragwort {

struct EntrySettings
{
    std::string instance;
    std::string domain;
    std::string callersAddress;
    /// Listen address of the operator endpoints: liveness, readiness, metrics and state dump.
    std::string operatorsAddress;
    /// Listen address for other entry instances.
    std::string peersAddress;
    /// Address of the platform's key-value store and instance list.
    std::string platformAddress;
    int workerCount = 2;
    std::size_t maximumBodyBytes = 256 * 1024;
    std::size_t maximumConnections = 2000;
    /// Time for which the instance keeps serving after it reports not ready, so that the load balancer can remove it.
    Duration drainDelay{};
    /// Maximum time after `drainDelay` to wait for running queries and pending claims.
    Duration drainTimeout{};
    LogLevel logLevel = LogLevel::info;

    /// Reads and validates all settings. Errors are collected in \p settings.
    static EntrySettings read(Settings &settings);
};

class EntryProcess
{
public:
    explicit EntryProcess(EntrySettings settings);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    /// Starts all threads and returns the port for callers. Must be called on the thread that runs the Qt event loop.
    Result<std::uint16_t> start();

    /// Starts the graceful shutdown. \p done runs once on the Qt event loop when it is complete.
    void shutDown(std::function<void()> done);

private:
    void onOperatorRequest(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    void serveStateDump(const std::shared_ptr<HttpExchange> &exchange);
    void registerGauges();
    void beginDrain();
    void checkIdle();
    void finishShutDown();

    const EntrySettings settings;
    MetricsRegistry metrics;
    RcuValue<Configuration> configuration;
    RcuValue<Topology> topology;
    AdmissionCounters admissionCounters;
    QuarantineList quarantineList;
    CrashEvidence crashEvidence;
    ControlPlane control;
    std::vector<std::unique_ptr<Worker>> workers;
    EventLoop operatorLoop;
    HttpServer operatorServer;
    std::thread operatorThread;
    std::function<void()> shutDownDone;
    Instant drainDeadline{};
    std::atomic<bool> shuttingDown{false};
    QTimer idleTimer;
};

} // namespace ragwort

#endif
