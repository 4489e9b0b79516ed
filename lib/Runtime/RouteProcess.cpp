/// \file
/// Implements construction, readiness and graceful shutdown of an entry instance that serves routes.
#include "ragwortcart/Runtime/RouteProcess.h"

#include "ragwortcart/Support/Hash.h"
#include "ragwortcart/Support/Log.h"

namespace ragwort {

static constexpr Duration IDLE_CHECK_INTERVAL = std::chrono::milliseconds(20);
/// The load balancer polls readiness once per second and removes the instance after two failures. Until then new connections arrive.
static constexpr Duration BALANCER_DRAIN_TIME = std::chrono::milliseconds(3200);
/// Time reserved before the process is killed, for the sockets to send the last responses.
static constexpr Duration STOP_MARGIN = std::chrono::milliseconds(400);
/// A briefly paused server may still answer a cancelled request within this time.
static constexpr Duration CANCEL_GRACE = std::chrono::milliseconds(200);
static constexpr std::size_t MAXIMUM_OPERATOR_CONNECTIONS = 50;

RouteProcess::RouteProcess(Options processOptions)
    : options(std::move(processOptions))
    , configuration(std::make_shared<const Configuration>())
    , topology(std::make_shared<const Topology>())
    , control({.instance = this->options.settings.instance,
               .domain = this->options.settings.domain,
               .peersAddress = this->options.settings.peersAddress,
               .store = this->options.store,
               .format = this->options.storeFormat,
               .configuration = this->configuration,
               .topology = this->topology,
               .crashEvidence = this->crashEvidence,
               .metrics = this->metrics,
               .extraLoad = this->options.settings.extraLoad,
               .registry = {.instance = this->options.settings.instance,
                            .domain = this->options.settings.domain,
                            .removalGrace = this->options.settings.removalGrace,
                            .serverSilence = this->options.settings.serverSilence,
                            .capacity = this->options.settings.capacity,
                            .coldRateFactor = this->options.settings.coldRateFactor,
                            .coldRateAddition = this->options.settings.coldRateAddition},
               .watchWait = this->options.settings.watchWait,
               .relayWatchWait = this->options.settings.relayWatchWait,
               .capacity = this->options.settings.capacity,
               .firstStart = this->options.settings.firstStart,
               .onPartialQueryMessage = [this](const std::string &peer, const std::string &bytes) { this->worker.onPartialQueryMessage(peer, bytes); },
               .onPeerLink = [this](const std::string &peer, bool up) { this->worker.onPeerLink(peer, up); },
               .onRoutes =
                   [this](const RouteTable &table) {
                       this->worker.setCallerRequestLimits({.maximumHeaderBytes = table.limits.headerBytes,
                                                            .maximumBodyBytes = table.limits.bodyBytes,
                                                            .requestTimeout = table.limits.headerTimeout,
                                                            .idleTimeout = table.limits.idleTimeout});
                   }})
    , worker({.index = 0,
              .count = 1,
              .instance = this->options.settings.instance,
              .callersAddress = this->options.settings.callersAddress,
              .callerRequestLimits = {},
              .maximumConnections = this->options.settings.maximumConnections,
              .configuration = this->configuration,
              .topology = this->topology,
              .admissionCounters = this->admissionCounters,
              .quarantineList = this->quarantineList,
              .crashEvidence = this->crashEvidence,
              .metrics = this->metrics,
              // Routes use neither claims nor canaries, and servers announce their own warm-ups.
              .control = [](const ControlRequest &) {},
              .callerProtocol = this->options.callerProtocol,
              .backendProtocol = this->options.backendProtocol,
              .sendToPeer = [this](const std::string &peer, const std::string &bytes) { this->control.sendToPeer(peer, bytes); },
              .cancelGrace = CANCEL_GRACE,
              .seed = stableHash(this->options.settings.instance, static_cast<std::uint64_t>(wallClockMs()))})
    , readinessServer(this->operatorLoop,
                      {.address = this->options.settings.readyAddress,
                       .maximumConnections = MAXIMUM_OPERATOR_CONNECTIONS,
                       .maximumConnectionsPerAddress = MAXIMUM_OPERATOR_CONNECTIONS},
                      [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) { this->onOperatorRequest(request, exchange); })
    , metricsServer(this->operatorLoop,
                    {.address = this->options.settings.metricsAddress,
                     .maximumConnections = MAXIMUM_OPERATOR_CONNECTIONS,
                     .maximumConnectionsPerAddress = MAXIMUM_OPERATOR_CONNECTIONS},
                    [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) { this->onOperatorRequest(request, exchange); })
{
    this->worker.setAllWorkers({&this->worker});
    this->registerGauges();
}

RouteProcess::~RouteProcess()
{
    this->control.stopLinks();
    this->worker.stopAndJoin();
    this->operatorLoop.stop();
    if (this->operatorThread.joinable()) {
        this->operatorThread.join();
    }
}

void RouteProcess::registerGauges()
{
    this->metrics.gauge("ragwort_quarantined_contents", {}, [this] { return static_cast<double>(this->crashEvidence.quarantinedContents(steadyNow())); });
    this->metrics.gauge("ragwort_failed_tasks", {}, [this] { return static_cast<double>(this->worker.failedTasks()); });
    this->metrics.gauge("ragwort_ready", {}, [this] { return this->control.ready() && !this->shuttingDown ? 1.0 : 0.0; });
}

Result<std::uint16_t> RouteProcess::start()
{
    for (HttpServer *server : {&this->readinessServer, &this->metricsServer}) {
        const Result<std::uint16_t> port = server->listen();
        if (!port) {
            return port;
        }
    }
    this->operatorThread = std::thread([this] { this->operatorLoop.run(); });
    const Result<std::uint16_t> port = this->worker.start();
    if (port) {
        this->control.start();
    }
    return port;
}

static HttpResponse plainTextResponse(int status, const std::string &body)
{
    return {.status = status, .contentType = "text/plain; charset=utf-8", .headers = {}, .body = body};
}

void RouteProcess::onOperatorRequest(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    if (request.target == "/readyz") {
        const bool ready = this->control.ready() && !this->shuttingDown;
        exchange->respond(plainTextResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
    } else if (request.target == "/metrics") {
        exchange->respond({.status = 200, .contentType = "text/plain; version=0.0.4", .headers = {}, .body = this->metrics.render()});
    } else {
        exchange->respond(plainTextResponse(404, "paths are /readyz and /metrics\n"));
    }
}

void RouteProcess::shutDown(std::function<void()> done)
{
    if (this->shuttingDown.exchange(true)) {
        return;
    }
    this->shutDownDeadline = steadyNow() + this->options.settings.stopTimeout - STOP_MARGIN;
    logEvent(LogLevel::info, "shutdown-begun", {{.key = "stop_time_ms", .value = std::to_string(toMs(this->options.settings.stopTimeout))}});
    this->shutDownDone = std::move(done);
    this->worker.announceClose();
    this->control.leave();
    const Duration balancerDrainTime = std::min(BALANCER_DRAIN_TIME, this->options.settings.stopTimeout / 2);
    QTimer::singleShot(static_cast<int>(toMs(balancerDrainTime)), &this->control, [this] { this->beginDrain(); });
}

void RouteProcess::beginDrain()
{
    this->worker.drain();
    QObject::connect(&this->idleTimer, &QTimer::timeout, &this->control, [this] { this->checkIdle(); });
    this->idleTimer.start(static_cast<int>(toMs(IDLE_CHECK_INTERVAL)));
}

void RouteProcess::checkIdle()
{
    const bool idle = this->worker.idle();
    if (!idle && steadyNow() < this->shutDownDeadline) {
        return;
    }
    this->idleTimer.stop();
    if (!idle) {
        logEvent(LogLevel::warning, "shutdown-cut-short", {{.key = "step", .value = "drain"}});
    }
    // Leaves time for the sockets to send the last responses.
    QTimer::singleShot(static_cast<int>(toMs(STOP_MARGIN / 2)), &this->control, [this] {
        logEvent(LogLevel::info, "shutdown-complete", {});
        if (const std::function<void()> done = std::exchange(this->shutDownDone, nullptr)) {
            done();
        }
    });
}

} // namespace ragwort
