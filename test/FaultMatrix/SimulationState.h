/// \file
/// Declares the state and the operations of one simulation run: fake backend servers, store, operator and callers, and
/// instances with the real kernel and control code. All of it runs on one thread, driven by the timers of the run.
#ifndef RAGWORTCART_TEST_FAULTMATRIX_SIMULATIONSTATE_H
#define RAGWORTCART_TEST_FAULTMATRIX_SIMULATIONSTATE_H

#include "ServerLossTracker.h"
#include "Simulation.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <pcg_random.hpp>

namespace ragwort::matrix {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Delays in one direction, to servers and peers and to the store.
inline constexpr Duration NETWORK_DELAY = milliseconds(1);
inline constexpr Duration STORE_DELAY = milliseconds(2);
/// Minimum time in which a warm server executes a sub-request.
inline constexpr Duration SERVICE_TIME = milliseconds(4);
/// Time for which the connection of a cancelled sub-request stays open.
inline constexpr Duration CANCEL_GRACE = milliseconds(50);
/// Duration of most faults; some last twice as long.
inline constexpr Duration FAULT_DURATION = seconds(2);
inline constexpr Duration FIRST_INJECTION = seconds(2);
/// No fault is injected later, so that all faults of limited duration have ended before recovery is checked.
inline constexpr Duration LAST_INJECTION = milliseconds(6500);
inline constexpr Duration RUN_DURATION = seconds(13);
/// After this time every search must succeed with full coverage, and every first submission of an action must succeed.
inline constexpr Duration RECOVERY_CHECK_START = seconds(11);
/// Time within which every connected instance applies a configuration change, and within which instances stop sending
/// requests to a draining server or to a failure domain that is out.
inline constexpr Duration CONFIGURATION_DEADLINE = seconds(3);
/// Time within which all instances detect that a server is cold.
inline constexpr Duration COLD_DETECTION_TIME = seconds(1);
inline constexpr Duration QUERY_DEADLINE = milliseconds(400);
/// Number of documents in a snapshot, distributed evenly over the key space.
inline constexpr int DOCUMENTS = 8;
inline constexpr int COLD_CAPACITY = 1;
inline constexpr int CONNECTIONS = 8;
inline constexpr int ORDINAL_COUNT = 4;
inline const std::array<std::string, 3> DOMAINS{"a", "b", "c"};

class Simulation;

/// A fake backend server.
struct Server
{
    std::string id;
    std::string domain;
    int service = 0;
    std::uint64_t incarnation = 1;
    bool down = false;
    bool frozen = false;
    bool draining = false;
    /// The server reports that it is warm and without load, whatever its state. Ends when a cold server has warmed up.
    bool misreporting = false;
    int slowFactor = 1;
    /// The server is cold until it has completed this number of further requests.
    int coldAnswersLeft = 0;
    Instant coldSince{};
    Instant drainingSince{};
    /// For FAULT_DURATION from this time, a random half of the requests receive no response, like requests on connections
    /// that are open but silent.
    Instant silentSince{};
    /// Number of requests that the server is executing.
    int running = 0;
    std::vector<ServerSnapshot> heldSnapshots;
};

/// A sub-request that has not ended. It occupies a connection of its server, even after the kernel has cancelled it.
struct InFlightRequest
{
    std::string server;
    Instant sentAt{};
    bool cancelled = false;
    /// The server is executing the request.
    bool running = false;
};

/// State of a query as its caller observes it.
struct CallerRecord
{
    std::string text;
    bool action = false;
    /// False if the caller repeats an earlier query.
    bool firstSubmission = false;
    /// Idempotency key of an action.
    std::string key;
    std::string instance;
    Instant requestedAt{};
    bool replied = false;
    /// The caller may receive no reply, as its instance was killed or frozen.
    bool exempt = false;
    /// Number of executions at servers, over all sub-requests of the query.
    int executions = 0;
};

/// One entry instance: the real kernel and control code connected to the fakes.
struct Instance
{
    Instance(Simulation &simulation, const std::string &instanceId, const std::string &instanceDomain, std::uint64_t incarnation);

    std::string id;
    std::string domain;
    bool alive = true;
    bool frozen = false;
    bool draining = false;
    bool ready = false;
    RcuValue<Configuration> configuration{std::make_shared<const Configuration>()};
    RcuValue<Topology> topology{std::make_shared<const Topology>()};
    AdmissionCounters admissionCounters;
    QuarantineList quarantineList;
    CrashEvidence crashEvidence;
    ConfigurationManager configurationManager;
    ServerDirectory directory;
    OrdinalManager ordinals;
    ClaimManager claims;
    Freshness freshness;
    PeerExchange exchange;
    QueryEngine engine;
    std::map<std::pair<QueryId, AttemptId>, InFlightRequest> inFlightRequests;
    /// Tasks deferred while the instance is frozen.
    std::vector<std::function<void()>> deferredTasks;
    /// Sequence of the tier configuration that the instance applied last.
    std::uint64_t tierSequence = 0;
    Instant nextPoll{};
    Instant nextOrdinalRead{};
    bool ordinalCallPending = false;
    bool watching = false;
};

class Simulation
{
public:
    explicit Simulation(const RunOptions &runOptions);
    RunResult run();

    Instant now{seconds(1000)};
    pcg32 random;

private:
    friend struct Instance;
    using Task = std::function<void()>;

    // Time.
    void schedule(Duration delay, Task task)
    {
        this->timers.subscribe(this->now + delay, [task = std::move(task)](Instant) { task(); });
    }
    /// Runs \p task on an instance. Defers it while the instance is frozen and discards it if the instance is not alive.
    void runOn(const std::shared_ptr<Instance> &instance, Task task)
    {
        if (!instance->alive) {
            return;
        }
        if (instance->frozen) {
            instance->deferredTasks.push_back(std::move(task));
            return;
        }
        task();
    }
    Duration elapsed() const
    {
        return this->now - this->begin;
    }

    // Network links.
    bool canReach(const std::string &one, const std::string &other) const
    {
        return !this->blockedLinks.contains({one, other}) && !this->blockedLinks.contains({other, one});
    }
    /// Blocks the link between \p one and \p other for \p duration. Records the disconnection for \p one, which is an
    /// instance.
    void blockLink(const std::string &one, const std::string &other, Duration duration)
    {
        this->blockedLinks.insert({one, other});
        this->disconnectedUntil[one] = std::max(this->disconnectedUntil[one], this->now + duration);
        this->schedule(duration, [this, one, other] { this->blockedLinks.erase({one, other}); });
    }

    // Fault injection and violations.
    /// Counts the step and injects the faults that are planned for it, at \p instance and \p server if the fault needs them.
    void reachStep(Step step, const std::shared_ptr<Instance> &instance, const std::string &server = {}, QueryId query = 0);
    void injectFault(Fault fault, const std::shared_ptr<Instance> &instance, const std::string &server);
    void reportViolation(const std::string &text);

    // The store.
    /// Runs \p perform at the store, or \p onFailure on the instance after a timeout if the store is unreachable.
    void storeCall(const std::shared_ptr<Instance> &instance, Task perform, Task onFailure);
    /// Passes the value that \p read returns at the store to \p then, or `std::nullopt` if the call fails.
    template <typename Value>
    void storeRead(const std::shared_ptr<Instance> &instance, std::function<Value()> read, std::function<void(std::optional<Value>)> then);
    /// Writes \p value if the key has the modify index \p expected. Passes an unknown outcome to \p then if the call fails
    /// or its response is lost.
    void storeWrite(const std::shared_ptr<Instance> &instance,
                    const std::string &key,
                    const std::string &value,
                    std::uint64_t expected,
                    std::function<void(BucketWriteOutcome)> then);

    // Control code of an instance, connected as in the entry process.
    void startInstance(std::size_t slot, bool replacement);
    /// Performs the periodic work of an instance and schedules the next time.
    void tick(const std::shared_ptr<Instance> &instance);
    /// Reads the configuration from the store and schedules the next read. Stands in for the watch of the entry process.
    void watchConfiguration(const std::shared_ptr<Instance> &instance);
    void applyDocument(const std::shared_ptr<Instance> &instance, const ConfigurationDocument &document, const std::string &source);
    void rebuild(Instance &instance);
    void readOrdinals(const std::shared_ptr<Instance> &instance);
    void tryAcquireOrdinal(const std::shared_ptr<Instance> &instance);
    void pollServer(const std::shared_ptr<Instance> &instance, Server &server);
    void performPeerActions(const std::shared_ptr<Instance> &instance);
    void performClaimActions(const std::shared_ptr<Instance> &instance);
    void deliverToKernel(const std::shared_ptr<Instance> &instance, const KernelEvent &event);
    void performKernelActions(const std::shared_ptr<Instance> &instance);
    void scheduleKernelWakeup(const std::shared_ptr<Instance> &instance);
    void cancelSubRequest(const std::shared_ptr<Instance> &instance, const CancelSubRequest &cancel);
    /// Ends a cancelled sub-request: releases its connection and informs the kernel.
    void endRequest(const std::shared_ptr<Instance> &instance, std::pair<QueryId, AttemptId> key);
    void sendSubRequest(const std::shared_ptr<Instance> &instance, const SubRequest &request);
    void onReply(const std::shared_ptr<Instance> &instance, const Answer &answer);
    std::vector<ListedEntryInstance> listedInstances() const;
    std::vector<ListedServer> listedServers() const;
    std::shared_ptr<Instance> findInstance(const std::string &id) const;
    void updatePeerLinks();

    // Servers.
    Server &server(const std::string &id)
    {
        return *this->servers.at(id);
    }
    void receiveAtServer(const std::shared_ptr<Instance> &instance, const SubRequest &request);
    void completeAtServer(const std::shared_ptr<Instance> &instance, const SubRequest &request, Server &target, std::uint64_t incarnation);
    /// Stops a server. It restarts cold after half of FAULT_DURATION.
    void killServer(Server &target);
    void failRequest(const std::shared_ptr<Instance> &instance, const SubRequest &request, SubFailure failure);
    SubAnswer search(const SubRequest &request, const ServerSnapshot &heldSnapshot, const Server &target) const;
    ServerReport reportOf(const Server &target) const;
    /// Gives every server a new snapshot and removes its oldest beyond two. Moves the boundary between the services if
    /// \p moveBoundary is set.
    void publishSnapshot(bool moveBoundary);
    void checkRequestAllowed(const std::shared_ptr<Instance> &sender, Server &target);
    void traceColdServer(const Server &target) const;
    /// Returns whether \p sender may send a request to \p target although the failure domain of \p target is out.
    bool mayHoldOldConfiguration(const Instance &sender, const Server &target) const;

    // Callers and the operator.
    void submitNextQuery();
    /// Sends a query to a random instance. Repeats it at most \p submissionsLeft times if it is not answered by its deadline.
    void submitQuery(const std::string &text, bool action, const std::string &key, int submissionsLeft, bool firstSubmission = false);
    /// Takes failure domain c out of service if \p out is set, and otherwise back in.
    void changeTier(bool out);
    void checkConfigurationApplied(std::uint64_t sequence);
    void checkAnswer(const CallerRecord &caller, const Answer &answer);
    void finalChecks();

    RunOptions options;
    TimerService timers;
    Instant begin{};
    FakeStore store;
    bool outage = false;
    Duration storeExtraDelay{};
    int writeResponsesToLose = 0;
    std::map<std::string, std::unique_ptr<Server>> servers;
    std::vector<std::shared_ptr<Instance>> instances;
    std::set<std::pair<std::string, std::string>> blockedLinks;
    std::map<QueryId, CallerRecord> callers;
    std::map<std::string, int> actionRuns;
    ServerLossTracker lossTracker;
    std::vector<int> stepCounts = std::vector<int>(64, 0);
    std::vector<bool> injected;
    std::set<std::string> violations;
    std::set<std::pair<std::string, std::string>> linkedPeers;
    QueryId lastQuery = 0;
    int queryCount = 0;
    SnapshotId newestSnapshot = 1;
    int boundaryShift = 0;
    /// Sequence of the last tier configuration that the store accepted.
    std::uint64_t acceptedSequence = 0;
    /// Failure domain that is out of service; empty if none.
    std::string domainOut;
    Instant domainOutSince{};
    /// Latest accepted sequence that an instance has applied, and the time at which the first instance applied it.
    std::uint64_t firstKnownSequence = 0;
    Instant firstKnownAt{};
    /// Time until which each instance is disconnected from some server, peer or the store.
    std::map<std::string, Instant> disconnectedUntil;
    bool misdeliverAnswers = false;
    std::optional<SubAnswer> mismatched;
    bool nextQueryCrashes = false;
    int incarnations = 0;
};

} // namespace ragwort::matrix

#endif
