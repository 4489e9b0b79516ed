/// \file
/// Implements the process of an entry instance that serves routes: settings, threads, readiness and graceful shutdown.
///
/// Relies on a `RouteControl` on the Qt event loop and on a single `Worker` thread. Independent of the platform: the store, its
/// format and the HTTP protocols are passed in.
#ifndef RAGWORTCART_RUNTIME_ROUTEPROCESS_H
#define RAGWORTCART_RUNTIME_ROUTEPROCESS_H

#include "ragwortcart/Runtime/RouteControl.h"
#include "ragwortcart/Runtime/Worker.h"

#include <QTimer>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace ragwort {

struct RouteProcessSettings
{
    std::string instance;
    std::string domain;
    std::string callersAddress;
    /// Listen address of the readiness endpoint for the load balancer.
    std::string readyAddress;
    /// Listen address of the metrics endpoint.
    std::string metricsAddress;
    /// Address of the platform's metadata store.
    std::string storeAddress;
    /// Listen address for other entry instances; empty disables peer links.
    std::string peersAddress;
    std::size_t maximumConnections = 2000;
    /// Time from the stop signal until the platform kills the process.
    Duration stopTimeout = std::chrono::seconds(6);
    /// Timeout of a store watch without events.
    Duration watchWait = std::chrono::seconds(4);
    /// The same for a relay, which forwards store events to peers.
    Duration relayWatchWait = std::chrono::seconds(1);
    /// Processor cores that this instance may use, which decides whether it gathers queries for others; 0 if unknown.
    double capacity = 0.0;
    /// The whole tier starts for the first time, so that a list of the store that is seconds old is not wrong.
    bool firstStart = false;
    ExtraLoadLimits extraLoad;
    /// Maximum requests per second to a cold server from all instances: a multiple of the cold rate of its service plus a constant.
    double coldRateFactor = 1.5;
    double coldRateAddition = 5.0;
    /// How long after the store's return a live server, or the operator, may take to write again what it has lost.
    Duration removalGrace = std::chrono::milliseconds(2200);
    /// How long the entry of a server that has died may stand in the store.
    Duration serverSilence = std::chrono::milliseconds(3600);
};

class RouteProcess
{
public:
    struct Options
    {
        RouteProcessSettings settings;
        MetadataStore &store;
        const StoreFormat &storeFormat;
        const CallerProtocol &callerProtocol;
        const BackendProtocol &backendProtocol;
    };

    explicit RouteProcess(Options processOptions);
    ~RouteProcess();
    RouteProcess(const RouteProcess &) = delete;
    RouteProcess &operator=(const RouteProcess &) = delete;

    /// Starts all threads and returns the port for callers. Must be called on the thread that runs the Qt event loop.
    Result<std::uint16_t> start();

    /// Starts the graceful shutdown. \p done runs once on the Qt event loop when it is complete.
    void shutDown(std::function<void()> done);

private:
    void onOperatorRequest(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    void registerGauges();
    void beginDrain();
    void checkIdle();

    const Options options;
    MetricsRegistry metrics;
    RcuValue<Configuration> configuration;
    RcuValue<Topology> topology;
    AdmissionCounters admissionCounters;
    QuarantineList quarantineList;
    CrashEvidence crashEvidence;
    RouteControl control;
    Worker worker;
    EventLoop operatorLoop;
    HttpServer readinessServer;
    HttpServer metricsServer;
    std::thread operatorThread;
    std::function<void()> shutDownDone;
    Instant shutDownDeadline{};
    std::atomic<bool> shuttingDown{false};
    QTimer idleTimer;
};

} // namespace ragwort

#endif
