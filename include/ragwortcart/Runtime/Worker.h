/// \file
/// Implements a worker thread, which runs the callers' HTTP server, the query engine and the backend client on one event loop.
#ifndef RAGWORTCART_RUNTIME_WORKER_H
#define RAGWORTCART_RUNTIME_WORKER_H

#include "ragwortcart/Kernel/QueryEngine.h"
#include "ragwortcart/Support/DelayEstimator.h"
#include "ragwortcart/Support/Metrics.h"
#include "ragwortcart/Wire/BackendClient.h"
#include "ragwortcart/Wire/CallerProtocol.h"
#include "ragwortcart/Wire/EventLoop.h"
#include "ragwortcart/Wire/HttpServer.h"

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

namespace ragwort {

/// Requests of a worker to the control thread. The handler is called on worker threads.
using ControlRequest = std::variant<RequestClaim, RecordClaimOutcome, ReportCrash, AnnounceWarmUp>;
using ControlRequestHandler = std::function<void(ControlRequest)>;

struct WorkerStatus
{
    int index = 0;
    EngineStatus engine;
    HttpServerCounts callers;
    std::uint64_t backendRequests = 0;
    std::uint64_t backendConnects = 0;
    std::uint64_t backendConnectFailures = 0;
    std::uint64_t backendAbandoned = 0;
};

class Worker
{
public:
    struct Options
    {
        /// Position of this worker among the workers of the process, from 0.
        int index = 0;
        /// Number of workers of the process.
        int count = 1;
        std::string instance;
        std::string callersAddress;
        HttpServer::RequestLimits callerRequestLimits;
        std::size_t maximumConnections = 2000;
        const RcuValue<Configuration> &configuration;
        const RcuValue<Topology> &topology;
        AdmissionCounters &admissionCounters;
        QuarantineList &quarantineList;
        CrashEvidence &crashEvidence;
        MetricsRegistry &metrics;
        ControlRequestHandler control;
        const CallerProtocol &callerProtocol = jsonCallerProtocol();
        const BackendProtocol &backendProtocol = jsonBackendProtocol();
        /// Sends a message of a divided query to another instance. Thread-safe. Queries are divided only if the topology names aggregators.
        std::function<void(const std::string &peer, const std::string &bytes)> sendToPeer = [](const std::string &, const std::string &) {};
        /// Time to wait for the response to a cancelled sub-request before its connection is closed.
        Duration cancelGrace = std::chrono::milliseconds(50);
        std::uint64_t seed = 1;
    };

    explicit Worker(Options options);
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    /// Sets all workers of the process, ordered by index. Must be called before `start()`.
    void setAllWorkers(const std::vector<Worker *> &workers);

    /// Listens for callers, starts the thread and returns the port.
    Result<std::uint16_t> start();

    /// Posts an event to this worker's engine. Thread-safe.
    void postEvent(KernelEvent event);

    /// Runs \p task on this worker's thread. Thread-safe.
    void post(std::function<void()> task);

    /// Runs \p task inline if \p caller is this worker, and posts it otherwise. Must be called on the thread of \p caller.
    template <typename Task>
    void runOrPost(const Worker &caller, Task task)
    {
        if (&caller == this) {
            task();
        } else {
            this->post(std::move(task));
        }
    }

    /// Handles a message of a divided query from another instance. Thread-safe.
    void onPartialQueryMessage(const std::string &peer, const std::string &bytes);

    /// Handles the opening or the end of a link to another instance. Thread-safe.
    void onPeerLink(const std::string &peer, bool up);

    /// Replaces the size and time limits of callers' requests. Thread-safe.
    void setCallerRequestLimits(const HttpServer::RequestLimits &requestLimits);

    /// Asks callers to close their connections and keeps serving. Thread-safe.
    void announceClose();

    /// Refuses new queries and lets running queries finish. Thread-safe.
    void drain();

    /// Returns true if all queries received by this worker have ended and their responses have been written. The queries may be served by other
    /// workers. Thread-safe.
    bool idle() const
    {
        return this->openQueryCount.load(std::memory_order_acquire) == 0 && this->server.unansweredRequests() == 0;
    }

    /// Returns the number of tasks of this worker's thread that have ended with an exception. Thread-safe.
    std::uint64_t failedTasks() const
    {
        return this->loop.failedTasks();
    }

    void stopAndJoin();

    /// Must be called on this worker's thread.
    WorkerStatus status() const;
    void fetchStatus(const std::string &address, Duration timeout, BackendClient::StatusCompletion completion);

private:
    /// Identifies shards that this instance gathers for another one.
    struct BranchKey
    {
        std::string coordinator;
        QueryId query = 0;
        AttemptId branch = 0;

        friend bool operator<(const BranchKey &left, const BranchKey &right)
        {
            return std::tie(left.coordinator, left.query, left.branch) < std::tie(right.coordinator, right.query, right.branch);
        }
    };

    struct OpenQuery
    {
        Worker *ingress = nullptr;
        /// Null if the query comes from a coordinator.
        std::shared_ptr<HttpExchange> exchange;
        std::string team;
        std::string kind;
        bool repeatable = true;
        Instant arrival{};
        /// The caller's request id for a forwarded call, otherwise the trace parent.
        std::string requestId;
        /// Set if the query comes from a coordinator.
        std::optional<BranchKey> branch = std::nullopt;
        /// Delay of the coordinator's message before `arrival`.
        Duration branchDelay{};
    };

    void onCallerRequest(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    /// Registers the query and passes it to the engine. Runs on the worker that serves the query; \p ingress owns the exchange.
    void acceptQuery(QueryRequest request, Worker &ingress, const std::shared_ptr<HttpExchange> &exchange);
    QueryId nextQueryId();
    void handle(const KernelEvent &event);
    void performActions();
    void perform(const KernelAction &action);
    bool isRepeatable(const QueryRequest &request);
    void logAnswer(const Answer &answer, const OpenQuery &query, Duration elapsed, int status) const;
    void send(const SubRequest &request);
    void reply(const Answer &answer);
    void recordDecision(const ReportDecision &decision);
    Worker &connectionOwner(const std::string &serverId);

    // Gathering for other instances (WorkerPartialQueries.cpp).
    void acceptBranch(const std::string &peer, const PartialQueryRequest &partial);
    void cancelBranch(const BranchKey &key);
    void cancelBranchesOf(const std::string &coordinator);
    /// Sends the answer to a branch that was held for \p heldFor, the delay of its message included.
    void replyToCoordinator(const BranchKey &key, const Answer &answer, Duration heldFor);
    LatencyHistogram &latencyHistogramFor(const std::string &team, const std::string &kind);

    const Options options;
    EventLoop loop;
    RcuValue<Configuration>::Reader configuration;
    RcuValue<Topology>::Reader topology;
    QueryEngine engine;
    BackendClient client;
    HttpServer server;
    LoopTimer wakeup;
    std::vector<Worker *> allWorkers;
    std::unordered_map<QueryId, OpenQuery> queriesById;
    /// The open queries that come from coordinators.
    std::map<BranchKey, QueryId> branches;
    /// By instance, since its link has opened.
    std::map<std::string, DelayEstimator> delays;
    std::map<std::string, LatencyHistogram *> latencies;
    std::array<Counter *, 64> reasonCounters{};
    Counter &subRequests;
    Counter &acceptedQueries;
    Counter &acceptedBranches;
    std::uint64_t queryCount = 0;
    /// Number of queries received by this worker that have not ended. Also modified by the workers that serve them.
    std::atomic<std::size_t> openQueryCount{0};
    bool performingActions = false;
    std::thread thread;
};

} // namespace ragwort

#endif
