/// \file
/// Implements a worker thread and its dispatch between callers, engine, backend client and control thread.
#include "ragwortcart/Runtime/Worker.h"

#include "ragwortcart/Model/Route.h"
#include "ragwortcart/Support/Hash.h"
#include "ragwortcart/Support/Log.h"
#include "ragwortcart/Support/Visitor.h"
#include "ragwortcart/Wire/PartialQueryCodec.h"

#include <QScopedValueRollback>
#include <cassert>
#include <random>

namespace ragwort {

Worker::Worker(Options workerOptions)
    : options(std::move(workerOptions))
    , configuration(this->options.configuration)
    , topology(this->options.topology)
    , engine({.configuration = this->options.configuration,
              .topology = this->options.topology,
              .admissionCounters = this->options.admissionCounters,
              .quarantineList = this->options.quarantineList,
              .crashEvidence = this->options.crashEvidence,
              .seed = this->options.seed + static_cast<std::uint64_t>(this->options.index),
              .sharesPermits = this->options.count > 1})
    , client(this->loop, {.cancelGrace = this->options.cancelGrace, .protocol = this->options.backendProtocol})
    , server(this->loop,
             {.address = this->options.callersAddress,
              .requestLimits = this->options.callerRequestLimits,
              .maximumConnections = this->options.maximumConnections,
              .maximumConnectionsPerAddress = this->options.maximumConnections,
              .reusePort = true},
             [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) { this->onCallerRequest(request, exchange); })
    , wakeup(this->loop)
    , subRequests(this->options.metrics.counter("ragwort_sub_requests_total"))
    , acceptedQueries(this->options.metrics.counter("ragwort_queries_total"))
    , acceptedBranches(this->options.metrics.counter("ragwort_partial_queries_total"))
{
}

Worker::~Worker()
{
    this->stopAndJoin();
}

void Worker::setAllWorkers(const std::vector<Worker *> &workers)
{
    this->allWorkers = workers;
}

Result<std::uint16_t> Worker::start()
{
    const Result<std::uint16_t> port = this->server.listen();
    if (!port) {
        return port;
    }
    this->thread = std::thread([this] { this->loop.run(); });
    return port;
}

void Worker::stopAndJoin()
{
    this->loop.stop();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void Worker::post(std::function<void()> task)
{
    this->loop.post(std::move(task));
}

void Worker::postEvent(KernelEvent event)
{
    this->loop.post([this, event = std::move(event)] { this->handle(event); });
}

void Worker::setCallerRequestLimits(const HttpServer::RequestLimits &requestLimits)
{
    this->loop.post([this, requestLimits] { this->server.setRequestLimits(requestLimits); });
}

void Worker::announceClose()
{
    this->loop.post([this] { this->server.announceClose(); });
}

void Worker::drain()
{
    this->loop.post([this] {
        this->handle(DrainRequested{});
        this->server.drain();
    });
}

WorkerStatus Worker::status() const
{
    const BackendClientCounts &counts = this->client.counts();
    return {.index = this->options.index,
            .engine = this->engine.status(),
            .callers = this->server.counts(),
            .backendRequests = counts.requests.load(),
            .backendConnects = counts.connects.load(),
            .backendConnectFailures = counts.connectFailures.load(),
            .backendAbandoned = counts.abandoned.load()};
}

void Worker::fetchStatus(const std::string &address, Duration timeout, BackendClient::StatusCompletion completion)
{
    this->client.fetchStatus(address, timeout, std::move(completion));
}

Worker &Worker::connectionOwner(const std::string &serverId)
{
    // A single worker owns all connections to a server, so that the connection count is exact.
    return *this->allWorkers[stableHash(serverId) % this->allWorkers.size()];
}

void Worker::onCallerRequest(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    auto decoded = this->options.callerProtocol.decode(request, *this->configuration.get(), steadyNow());
    if (auto *errorResponse = std::get_if<HttpResponse>(&decoded)) {
        this->options.metrics.counter("ragwort_bad_requests_total").add();
        exchange->respond(std::move(*errorResponse));
        return;
    }
    auto &query = std::get<QueryRequest>(decoded);
    // All requests with the same content go to the same engine, so that only one of them at a time is the canary.
    Worker &engineWorker = *this->allWorkers[query.fingerprint % this->allWorkers.size()];
    this->openQueryCount.fetch_add(1, std::memory_order_acq_rel);
    engineWorker.post([this, &engineWorker, query = std::move(query), exchange] { engineWorker.acceptQuery(query, *this, exchange); });
}

QueryId Worker::nextQueryId()
{
    return ++this->queryCount * static_cast<QueryId>(this->options.count) + static_cast<QueryId>(this->options.index);
}

void Worker::acceptQuery(QueryRequest request, Worker &ingress, const std::shared_ptr<HttpExchange> &exchange)
{
    request.id = this->nextQueryId();
    if (request.traceParent.empty()) {
        const std::uint64_t high = stableHash(this->options.instance, request.id);
        const std::uint64_t low = stableHash(this->options.instance, ~request.id ^ this->options.seed);
        request.traceParent = "00-" + toHex(high) + toHex(low) + '-' + toHex(request.id) + "-01";
    }
    const auto *call = std::get_if<ForwardedCall>(&request.work);
    this->queriesById[request.id] = {.ingress = &ingress,
                                     .exchange = exchange,
                                     .team = request.team,
                                     .kind = request.kind,
                                     .repeatable = this->isRepeatable(request),
                                     .arrival = request.arrival,
                                     .requestId = call != nullptr ? call->request->callerRequestId : request.traceParent};
    ingress.post([this, id = request.id, exchange] { exchange->onCallerDisconnect([this, id] { this->postEvent(CallerDisconnected{.query = id}); }); });
    this->acceptedQueries.add();
    this->handle(QueryArrived{.request = std::move(request)});
}

bool Worker::isRepeatable(const QueryRequest &request)
{
    const std::shared_ptr<const Configuration> configured = this->configuration.get();
    if (const auto *call = std::get_if<ForwardedCall>(&request.work)) {
        const Route *route = configured->routes ? configured->routes->find(call->route) : nullptr;
        return route == nullptr || route->kind.repeatable;
    }
    const TeamConfiguration *team = configured->findTeam(request.team);
    const QueryKind *kind = team == nullptr ? nullptr : team->findKind(request.kind);
    return kind == nullptr || kind->repeatable;
}

void Worker::handle(const KernelEvent &event)
{
    this->engine.handle(event, steadyNow());
    if (const auto *gone = std::get_if<CallerDisconnected>(&event)) {
        const auto found = this->queriesById.find(gone->query);
        if (found != this->queriesById.end() && found->second.repeatable) {
            found->second.ingress->openQueryCount.fetch_sub(1, std::memory_order_acq_rel);
            this->queriesById.erase(found);
        }
    }
    this->performActions();
}

void Worker::performActions()
{
    if (this->performingActions) {
        return;
    }
    {
        const QScopedValueRollback<bool> performing(this->performingActions, true);
        for (std::vector<KernelAction> actions = this->engine.takeActions(); !actions.empty(); actions = this->engine.takeActions()) {
            for (const KernelAction &action : actions) {
                this->perform(action);
            }
        }
    }
    const std::optional<Instant> next = this->engine.nextWakeup();
    if (!next) {
        this->wakeup.cancel();
        return;
    }
    this->wakeup.arm(*next, [this] {
        this->engine.advance(steadyNow());
        this->performActions();
    });
}

void Worker::perform(const KernelAction &action)
{
    std::visit(Visitor{[this](const SendSubRequest &send) { this->send(send.request); },
                       [this](const CancelSubRequest &cancel) {
                           Worker &owner = this->connectionOwner(cancel.serverId);
                           owner.runOrPost(*this, [&owner, query = cancel.query, attempt = cancel.attempt] { owner.client.cancel(query, attempt); });
                       },
                       [this](const SendPartialQuery &send) { this->options.sendToPeer(send.aggregator, encodePartialQueryMessage(send.request)); },
                       [this](const CancelPartialQuery &cancel) { this->options.sendToPeer(cancel.aggregator, encodePartialQueryMessage(cancel.cancel)); },
                       [this](const ReplyToCaller &answered) { this->reply(answered.answer); },
                       [this](const RequestClaim &claim) { this->options.control(claim); },
                       [this](const RecordClaimOutcome &outcome) { this->options.control(outcome); },
                       [this](const ReportCrash &crashReport) { this->options.control(crashReport); },
                       [this](const AnnounceWarmUp &warmUp) { this->options.control(warmUp); },
                       [this](const ReportDecision &decision) { this->recordDecision(decision); }},
               action);
}

void Worker::send(const SubRequest &request)
{
    this->subRequests.add();
    const auto found = this->topology.get()->servers.find(request.serverId);
    BackendClient::ConnectionLimits limits{.maximumConnections = 1};
    if (found != this->topology.get()->servers.end()) {
        limits.maximumConnections = found->second->warmShare.load(std::memory_order_relaxed);
        if (const std::int64_t idleTimeoutUs = found->second->idleTimeoutUs.load(std::memory_order_relaxed); idleTimeoutUs > 0) {
            limits.idleTimeout = Duration(idleTimeoutUs);
        }
    }
    Worker &owner = this->connectionOwner(request.serverId);
    owner.runOrPost(*this, [this, &owner, request, limits] {
        owner.client.send(request, limits, [this, query = request.query, attempt = request.attempt](SubOutcome outcome) {
            if (auto *answer = std::get_if<SubAnswer>(&outcome)) {
                this->postEvent(SubRequestAnswered{.query = query, .attempt = attempt, .answer = std::move(*answer)});
                return;
            }
            if (const auto *cancelled = std::get_if<SubCancelled>(&outcome)) {
                this->postEvent(SubRequestEnded{.query = query, .attempt = attempt, .answered = cancelled->answered, .statement = cancelled->statement});
                return;
            }
            if (auto *answer = std::get_if<ForwardedAnswer>(&outcome)) {
                this->postEvent(ForwardAnswered{.query = query, .attempt = attempt, .answer = std::move(*answer)});
                return;
            }
            auto &failure = std::get<SubFailureReport>(outcome);
            this->postEvent(SubRequestFailed{
                .query = query, .attempt = attempt, .failure = failure.failure, .report = failure.report, .answer = std::move(failure.answer)});
        });
    });
}

LatencyHistogram &Worker::latencyHistogramFor(const std::string &team, const std::string &kind)
{
    LatencyHistogram *&histogram = this->latencies[team + '/' + kind];
    if (histogram == nullptr) {
        histogram = &this->options.metrics.histogram("ragwort_query_seconds", metricLabel("team", team) + ',' + metricLabel("kind", kind));
    }
    return *histogram;
}

void Worker::reply(const Answer &answer)
{
    const auto found = this->queriesById.find(answer.query);
    if (found == this->queriesById.end()) {
        return;
    }
    const OpenQuery query = std::move(found->second);
    this->queriesById.erase(found);
    const Duration elapsed = steadyNow() - query.arrival;
    if (query.branch) {
        this->logAnswer(answer, query, elapsed, 0);
        this->replyToCoordinator(*query.branch, answer, elapsed + query.branchDelay);
        this->openQueryCount.fetch_sub(1, std::memory_order_acq_rel);
        return;
    }
    this->latencyHistogramFor(query.team, query.kind).record(elapsed);
    this->options.metrics.counter("ragwort_answers_total", "reason=\"" + answer.reason + "\",success=\"" + (answer.success ? "true" : "false") + '"').add();
    HttpResponse response
        = this->options.callerProtocol.encode(answer, {.instance = this->options.instance, .repeatable = query.repeatable, .elapsed = elapsed});
    this->logAnswer(answer, query, elapsed, response.status);
    query.ingress->post([ingress = query.ingress, exchange = query.exchange, response = std::move(response)] {
        exchange->respond(response);
        ingress->openQueryCount.fetch_sub(1, std::memory_order_acq_rel);
    });
}

void Worker::logAnswer(const Answer &answer, const OpenQuery &query, Duration elapsed, int status) const
{
    // Only forwarded calls ask shards. Responses to other queries carry their own explanation, so these are logged only if they did
    // not run or the outcome is unknown.
    const bool carriesExplanation = std::holds_alternative<std::monostate>(answer.forwarded) && answer.shardsAsked == 0;
    if (carriesExplanation && answer.state == RunState::ran) {
        return;
    }
    logRequestEvent(LogLevel::info,
                    "answer",
                    {{.key = "request", .value = query.requestId},
                     {.key = "team", .value = query.team},
                     {.key = "kind", .value = query.kind},
                     {.key = "status", .value = std::to_string(status)},
                     {.key = "reason", .value = answer.reason},
                     {.key = "run", .value = std::string(toString(answer.state))},
                     {.key = "elapsed_us", .value = std::to_string(elapsed.count())},
                     {.key = "shards", .value = std::to_string(answer.shardsAnswered) + '/' + std::to_string(answer.shardsAsked)},
                     {.key = "routes", .value = std::to_string(answer.routesVersion)},
                     {.key = "attempts", .value = std::to_string(answer.attempts)},
                     {.key = "hedges", .value = std::to_string(answer.hedges)},
                     {.key = "retries", .value = std::to_string(answer.retries)},
                     {.key = "retry_after_ms", .value = std::to_string(toMs(answer.retryAfter))},
                     {.key = "coordinator", .value = query.branch ? query.branch->coordinator : std::string("this")}});
}

static bool isLoggedAtInfo(Reason reason)
{
    switch (reason) {
    case Reason::serverEjected:
    case Reason::serverCold:
    case Reason::serverWarmer:
    case Reason::refusedQuarantined:
    case Reason::crashReported:
    case Reason::contentQuarantined:
    case Reason::snapshotLost:
    case Reason::unknownOutcome:
    case Reason::wrongSnapshotDropped:
    case Reason::hedged:
    case Reason::retried:
    case Reason::attemptFailed:
    case Reason::retryBudgetSpent:
    case Reason::hedgeBudgetSpent:
    case Reason::objectiveReached:
    case Reason::refusedOverload:
    case Reason::attemptTimedOut:
    case Reason::serverLimited:
    case Reason::serverLimitEnded:
    case Reason::serverPaused:
    case Reason::serverPauseEnded:
    case Reason::serverLeaving:
    case Reason::heldBackByServers:
    case Reason::handedOver:
    case Reason::aggregatorRefused:
    case Reason::aggregatorSilent:
    case Reason::refusedRouteDiffers:
        return true;
    default:
        return false;
    }
}

void Worker::recordDecision(const ReportDecision &decision)
{
    const auto index = static_cast<std::size_t>(decision.reason);
    assert(index < this->reasonCounters.size() && "more reason codes than counters");
    Counter *&counter = this->reasonCounters.at(index);
    if (counter == nullptr) {
        counter = &this->options.metrics.counter("ragwort_decisions_total", "reason=\"" + std::string(toString(decision.reason)) + '"');
    }
    counter->add();
    const LogLevel level = isLoggedAtInfo(decision.reason) ? LogLevel::info : LogLevel::debug;
    const auto found = this->queriesById.find(decision.query);
    logRequestEvent(level,
                    "decision",
                    {{.key = "request", .value = found == this->queriesById.end() ? "-" : found->second.requestId},
                     {.key = "reason", .value = std::string(toString(decision.reason))},
                     {.key = "query", .value = std::to_string(decision.query)},
                     {.key = "server", .value = decision.server.empty() ? "-" : decision.server},
                     {.key = "detail", .value = decision.detail}});
}

} // namespace ragwort
