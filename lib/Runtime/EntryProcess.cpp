/// \file
/// Implements start-up, operator endpoints and graceful shutdown of an entry instance that serves teams.
#include "ragwortcart/Runtime/EntryProcess.h"

#include "ragwortcart/Support/Hash.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <fstream>
#include <unistd.h>

namespace ragwort {

static constexpr Duration IDLE_CHECK_INTERVAL = std::chrono::milliseconds(10);
/// Time for the sockets to send the last responses after the last query has ended.
static constexpr Duration FLUSH_DELAY = std::chrono::milliseconds(50);

static LogLevel parseLogLevel(const std::string &text)
{
    if (text == "debug") {
        return LogLevel::debug;
    }
    if (text == "warning") {
        return LogLevel::warning;
    }
    return text == "error" ? LogLevel::error : LogLevel::info;
}

EntrySettings EntrySettings::read(Settings &settings)
{
    using std::chrono::minutes;
    using std::chrono::seconds;
    EntrySettings entry;
    entry.instance = settings.text("instance", "id");
    entry.domain = settings.text("instance", "failure_domain");
    entry.callersAddress = settings.address("callers", "address");
    entry.operatorsAddress = settings.address("operators", "address");
    entry.peersAddress = settings.address("peers", "address");
    entry.platformAddress = settings.address("platform", "address");
    entry.workerCount = static_cast<int>(settings.integer("threads", "workers", {.minimum = 1, .maximum = 64, .fallback = 2}));
    entry.maximumBodyBytes
        = static_cast<std::size_t>(settings.size("callers", "maximum_body", {.minimum = 1024, .maximum = 16 * 1024 * 1024, .fallback = 256 * 1024}));
    entry.maximumConnections
        = static_cast<std::size_t>(settings.integer("callers", "maximum_connections", {.minimum = 1, .maximum = 100'000, .fallback = 2000}));
    entry.drainDelay = settings.duration("shutdown", "drain_delay", {.minimum = Duration(0), .maximum = minutes(10), .fallback = seconds(3)});
    entry.drainTimeout = settings.duration("shutdown", "drain_timeout", {.minimum = Duration(0), .maximum = minutes(10), .fallback = seconds(30)});
    entry.logLevel = parseLogLevel(settings.text("log", "level", {.fallback = "info", .choices = {"debug", "info", "warning", "error"}}));
    return entry;
}

EntryProcess::EntryProcess(EntrySettings entrySettings)
    : settings(std::move(entrySettings))
    , configuration(std::make_shared<const Configuration>())
    , topology(std::make_shared<const Topology>())
    , control({.instance = this->settings.instance,
               .domain = this->settings.domain,
               .platformAddress = this->settings.platformAddress,
               .peersAddress = this->settings.peersAddress,
               .configuration = this->configuration,
               .topology = this->topology,
               .quarantineList = this->quarantineList,
               .metrics = this->metrics})
    , operatorServer(this->operatorLoop,
                     {.address = this->settings.operatorsAddress, .maximumConnections = 100, .maximumConnectionsPerAddress = 100},
                     [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) { this->onOperatorRequest(request, exchange); })
{
    std::vector<Worker *> pointers;
    for (int index = 0; index < this->settings.workerCount; ++index) {
        this->workers.push_back(
            std::make_unique<Worker>(Worker::Options{.index = index,
                                                     .count = this->settings.workerCount,
                                                     .instance = this->settings.instance,
                                                     .callersAddress = this->settings.callersAddress,
                                                     .callerRequestLimits = {.maximumBodyBytes = this->settings.maximumBodyBytes},
                                                     .maximumConnections = this->settings.maximumConnections,
                                                     .configuration = this->configuration,
                                                     .topology = this->topology,
                                                     .admissionCounters = this->admissionCounters,
                                                     .quarantineList = this->quarantineList,
                                                     .crashEvidence = this->crashEvidence,
                                                     .metrics = this->metrics,
                                                     .control = [this](ControlRequest request) { this->control.submit(std::move(request)); },
                                                     .seed = stableHash(this->settings.instance, static_cast<std::uint64_t>(wallClockMs()))}));
        pointers.push_back(this->workers.back().get());
    }
    for (const auto &worker : this->workers) {
        worker->setAllWorkers(pointers);
    }
    this->control.setWorkers(pointers);
    this->registerGauges();
}

EntryProcess::~EntryProcess()
{
    this->control.stop();
    for (const auto &worker : this->workers) {
        worker->stopAndJoin();
    }
    this->operatorLoop.stop();
    if (this->operatorThread.joinable()) {
        this->operatorThread.join();
    }
}

/// Resident set size as reported by the kernel.
static double residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    long total = 0;
    long resident = 0;
    statm >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

static double cpuSeconds()
{
    timespec time{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

void EntryProcess::registerGauges()
{
    this->metrics.gauge("ragwort_resident_bytes", {}, residentBytes);
    this->metrics.gauge("ragwort_cpu_seconds", {}, cpuSeconds);
    this->metrics.gauge("ragwort_ready", {}, [this] { return this->control.ready() && !this->shuttingDown ? 1.0 : 0.0; });
}

Result<std::uint16_t> EntryProcess::start()
{
    const Result<std::uint16_t> operatorPort = this->operatorServer.listen();
    if (!operatorPort) {
        return operatorPort;
    }
    this->operatorThread = std::thread([this] { this->operatorLoop.run(); });
    Result<std::uint16_t> port = operatorPort;
    for (const auto &worker : this->workers) {
        port = worker->start();
        if (!port) {
            return port;
        }
    }
    const Result<bool> controlStarted = this->control.start();
    if (!controlStarted) {
        return controlStarted.error();
    }
    return port;
}

static HttpResponse plainTextResponse(int status, const std::string &body)
{
    return {.status = status, .contentType = "text/plain; charset=utf-8", .headers = {}, .body = body};
}

void EntryProcess::onOperatorRequest(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    if (request.method != "GET") {
        exchange->respond(plainTextResponse(405, "use GET\n"));
        return;
    }
    if (request.target == "/livez") {
        exchange->respond(plainTextResponse(200, "live\n"));
    } else if (request.target == "/readyz") {
        const bool ready = this->control.ready() && !this->shuttingDown;
        exchange->respond(plainTextResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
    } else if (request.target == "/metrics") {
        exchange->respond({.status = 200, .contentType = "text/plain; version=0.0.4", .headers = {}, .body = this->metrics.render()});
    } else if (request.target == "/state") {
        this->serveStateDump(exchange);
    } else {
        exchange->respond(plainTextResponse(404, "paths are /livez, /readyz, /metrics and /state\n"));
    }
}

static QJsonObject workerStatusToJson(const WorkerStatus &status)
{
    QJsonArray groups;
    for (const GroupStatus &group : status.engine.groups) {
        groups.append(QJsonObject{{"group", QString::fromStdString(group.key)},
                                  {"admission_limit", group.admissionLimit},
                                  {"extra_spent", static_cast<qint64>(group.extraSpent)},
                                  {"extra_refused", static_cast<qint64>(group.extraRefused)},
                                  {"mean_us", static_cast<qint64>(group.meanDuration.count())}});
    }
    return {{"worker", status.index},
            {"active_queries", static_cast<qint64>(status.engine.activeQueries)},
            {"waiting_queries", static_cast<qint64>(status.engine.waitingQueries)},
            {"waiting_parts", static_cast<qint64>(status.engine.waitingParts)},
            {"caller_connections", static_cast<qint64>(status.callers.openConnections)},
            {"caller_requests", static_cast<qint64>(status.callers.requests)},
            {"caller_bad_requests", static_cast<qint64>(status.callers.badRequests)},
            {"caller_hang_ups", static_cast<qint64>(status.callers.abandoned)},
            {"backend_requests", static_cast<qint64>(status.backendRequests)},
            {"backend_connects", static_cast<qint64>(status.backendConnects)},
            {"backend_connect_failures", static_cast<qint64>(status.backendConnectFailures)},
            {"backend_abandoned", static_cast<qint64>(status.backendAbandoned)},
            {"groups", groups}};
}

namespace {

/// Collects the parts of a state dump from all threads. Accessed only on the operator loop.
struct DumpCollector
{
    QJsonObject control;
    QJsonArray workers;
    /// Number of threads whose part has not arrived.
    std::size_t missing = 0;
    bool answered = false;
};

} // namespace

void EntryProcess::serveStateDump(const std::shared_ptr<HttpExchange> &exchange)
{
    static constexpr Duration DUMP_TIMEOUT = std::chrono::seconds(1);
    auto collector = std::make_shared<DumpCollector>();
    collector->missing = this->workers.size() + 1;
    const auto answer = [collector, exchange] {
        if (collector->answered) {
            return;
        }
        collector->answered = true;
        QJsonObject object = collector->control;
        object.insert("workers", collector->workers);
        object.insert("threads_missing", static_cast<qint64>(collector->missing));
        exchange->respond({.status = 200, .headers = {}, .body = QJsonDocument(object).toJson().toStdString()});
    };
    const auto onPartReceived = [collector, answer] {
        if (--collector->missing == 0) {
            answer();
        }
    };
    for (const auto &owned : this->workers) {
        Worker *worker = owned.get();
        worker->post([this, worker, collector, onPartReceived] {
            const QJsonObject described = workerStatusToJson(worker->status());
            this->operatorLoop.post([collector, described, onPartReceived] {
                collector->workers.append(described);
                onPartReceived();
            });
        });
    }
    QMetaObject::invokeMethod(
        &this->control,
        [this, collector, onPartReceived] {
            const QJsonObject dumped = this->control.dump();
            this->operatorLoop.post([collector, dumped, onPartReceived] {
                collector->control = dumped;
                onPartReceived();
            });
        },
        Qt::QueuedConnection);
    this->operatorLoop.callAfter(DUMP_TIMEOUT, answer);
}

void EntryProcess::shutDown(std::function<void()> done)
{
    if (this->shuttingDown.exchange(true)) {
        return;
    }
    logEvent(LogLevel::info, "shutdown-begun", {{.key = "drain_delay_ms", .value = std::to_string(toMs(this->settings.drainDelay))}});
    this->shutDownDone = std::move(done);
    QTimer::singleShot(static_cast<int>(toMs(this->settings.drainDelay)), &this->control, [this] { this->beginDrain(); });
}

void EntryProcess::beginDrain()
{
    this->drainDeadline = steadyNow() + this->settings.drainTimeout;
    for (const auto &worker : this->workers) {
        worker->drain();
    }
    QObject::connect(&this->idleTimer, &QTimer::timeout, &this->control, [this] { this->checkIdle(); });
    this->idleTimer.start(static_cast<int>(toMs(IDLE_CHECK_INTERVAL)));
}

void EntryProcess::checkIdle()
{
    const bool idle = std::all_of(this->workers.begin(), this->workers.end(), [](const auto &worker) { return worker->idle(); });
    const bool settled = idle && this->control.claimsIdle();
    if (!settled && steadyNow() < this->drainDeadline) {
        return;
    }
    this->idleTimer.stop();
    if (!settled) {
        logEvent(LogLevel::error, "shutdown-cut-short", {{.key = "step", .value = "drain"}});
    }
    QTimer::singleShot(static_cast<int>(toMs(FLUSH_DELAY)), &this->control, [this] { this->control.releaseOrdinal([this] { this->finishShutDown(); }); });
}

void EntryProcess::finishShutDown()
{
    logEvent(LogLevel::info, "shutdown-complete", {});
    if (const std::function<void()> done = std::exchange(this->shutDownDone, nullptr)) {
        done();
    }
}

} // namespace ragwort
