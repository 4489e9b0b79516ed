/// \file
/// Implements the course of a run: the injection of faults at steps, callers, the operator, the checks of answers, and the
/// final checks.
#include "SimulationState.h"

namespace ragwort::matrix {

std::string nameOf(Step step)
{
    // In the order of the enumerators.
    static const char *const NAMES[] = {"accept",
                                        "admit",
                                        "claim",
                                        "connect",
                                        "send",
                                        "execute",
                                        "answer",
                                        "merge",
                                        "reply",
                                        "read",
                                        "validate",
                                        "write",
                                        "spread",
                                        "apply",
                                        "start",
                                        "serve",
                                        "drain",
                                        "stop"};
    return NAMES[static_cast<int>(step)];
}

std::string nameOf(Fault fault)
{
    // In the order of the enumerators.
    static const char *const NAMES[]
        = {"kill-instance",    "freeze-instance", "cut-from-domain", "cut-from-store",   "isolate-domain", "store-outage",   "store-slow",
           "answers-lost",     "operator-race",   "straggler",       "kill-server",      "freeze-server",  "repartition",    "new-snapshot",
           "cold-unannounced", "drain-server",    "lying-reports",   "crashing-content", "silent-conns",   "crossed-answers"};
    return NAMES[static_cast<int>(fault)];
}

std::vector<Step> allSteps()
{
    std::vector<Step> steps;
    for (int index = 0; index <= static_cast<int>(Step::stop); ++index) {
        steps.push_back(static_cast<Step>(index));
    }
    return steps;
}

std::vector<Fault> allFaults()
{
    std::vector<Fault> faults;
    for (int index = 0; index <= static_cast<int>(Fault::misdeliveredAnswers); ++index) {
        faults.push_back(static_cast<Fault>(index));
    }
    return faults;
}

Instance::Instance(Simulation &simulation, const std::string &instanceId, const std::string &instanceDomain, std::uint64_t incarnation)
    : id(instanceId)
    , domain(instanceDomain)
    , directory(instanceId, instanceDomain)
    , ordinals(instanceId)
    , claims(instanceId + '#' + std::to_string(incarnation))
    , freshness(instanceDomain)
    , exchange({.instance = instanceId,
                .domain = instanceDomain,
                .configurationManager = this->configurationManager,
                .directory = this->directory,
                .freshness = this->freshness,
                .quarantineList = this->quarantineList})
    , engine({.configuration = this->configuration,
              .topology = this->topology,
              .admissionCounters = this->admissionCounters,
              .quarantineList = this->quarantineList,
              .crashEvidence = this->crashEvidence,
              .seed = simulation.random()})
{
}

Simulation::Simulation(const RunOptions &runOptions)
    : random(runOptions.seed), options(runOptions), begin(this->now), injected(runOptions.injections.size(), false)
{
    for (int service = 0; service < 2; ++service) {
        for (const std::string &domain : DOMAINS) {
            auto made = std::make_unique<Server>();
            made->id = "s" + std::to_string(service) + domain;
            made->domain = domain;
            made->service = service;
            this->servers[made->id] = std::move(made);
        }
    }
    this->newestSnapshot = 0;
    this->publishSnapshot(false);
    TeamConfiguration team{.name = "t", .sequence = 1, .kinds = {}, .groups = {}};
    team.groups.push_back(
        {.name = "g", .services = 2, .serversPerService = 3, .slots = 4, .connections = CONNECTIONS, .coldCapacity = COLD_CAPACITY, .extraLoad = 0.05});
    team.kinds.push_back({.name = "search", .group = "g", .urgency = Urgency::urgent, .maximumDeadline = seconds(5)});
    team.kinds.push_back({.name = "action", .group = "g", .repeatable = false, .maximumDeadline = seconds(5)});
    this->store.put("config/tier", encodeTier({.sequence = 1, .maximumInstances = ORDINAL_COUNT}).toStdString(), 0);
    this->store.put("config/team.t", encodeTeam(team).toStdString(), 0);
    this->acceptedSequence = 1;
}

void Simulation::reportViolation(const std::string &text)
{
    this->violations.insert(text);
}

void Simulation::reachStep(Step step, const std::shared_ptr<Instance> &instance, const std::string &serverId, QueryId query)
{
    (void)query;
    if (this->elapsed() < FIRST_INJECTION || this->elapsed() > LAST_INJECTION) {
        return;
    }
    const int count = ++this->stepCounts[static_cast<std::size_t>(step)];
    for (std::size_t index = 0; index < this->options.injections.size(); ++index) {
        const FaultInjection &planned = this->options.injections[index];
        if (!this->injected[index] && planned.step == step && planned.occurrence <= count) {
            this->injected[index] = true;
            if (this->options.trace) {
                std::printf("%lld ms: %s at %s (%s %s)\n",
                            static_cast<long long>(toMs(this->elapsed())),
                            nameOf(planned.fault).c_str(),
                            nameOf(step).c_str(),
                            instance ? instance->id.c_str() : "-",
                            serverId.c_str());
            }
            this->injectFault(planned.fault, instance, serverId);
        }
    }
}

void Simulation::publishSnapshot(bool moveBoundary)
{
    static constexpr std::size_t KEPT_SNAPSHOTS = 2;
    ++this->newestSnapshot;
    this->boundaryShift += moveBoundary ? 1 : 0;
    const DocumentKey boundary = KEY_SPACE_END / 2 + KEY_SPACE_END / DOCUMENTS * static_cast<DocumentKey>(this->boundaryShift % 3);
    for (const auto &[id, each] : this->servers) {
        const KeyRange range = each->service == 0 ? KeyRange{.begin = 0, .end = boundary} : KeyRange{.begin = boundary, .end = KEY_SPACE_END};
        each->heldSnapshots.push_back({.id = this->newestSnapshot, .range = range, .documents = DOCUMENTS / 2, .totalDocuments = DOCUMENTS});
        if (each->heldSnapshots.size() > KEPT_SNAPSHOTS) {
            each->heldSnapshots.erase(each->heldSnapshots.begin());
        }
    }
}

// Callers and the operator.

void Simulation::submitNextQuery()
{
    if (this->elapsed() >= RUN_DURATION - seconds(1)) {
        return;
    }
    const bool action = this->queryCount % 5 == 0;
    const std::string number = std::to_string(++this->queryCount);
    const bool crash = !action && std::exchange(this->nextQueryCrashes, false);
    const std::string text = crash ? "crash " + number : (action ? "swap " + number : "text " + std::to_string(this->queryCount % 40));
    this->submitQuery(text, action, "key-" + number, crash ? 4 : 2, true);
    this->schedule(milliseconds(8 + this->random(8)), [this] { this->submitNextQuery(); });
}

void Simulation::submitQuery(const std::string &text, bool action, const std::string &key, int submissionsLeft, bool firstSubmission)
{
    std::vector<std::shared_ptr<Instance>> accepting;
    for (const auto &instance : this->instances) {
        if (instance->alive && instance->ready && !instance->draining) {
            accepting.push_back(instance);
        }
    }
    if (accepting.empty()) {
        return;
    }
    const std::shared_ptr<Instance> instance = accepting[this->random(static_cast<std::uint32_t>(accepting.size()))];
    QueryRequest request{.id = ++this->lastQuery, .team = "t", .kind = action ? "action" : "search", .text = text, .limit = 10};
    request.arrival = this->now;
    request.deadline = this->now + QUERY_DEADLINE;
    request.idempotencyKey = action ? key : "";
    request.fingerprint = std::hash<std::string>()(text);
    this->callers[request.id] = {.text = text,
                                 .action = action,
                                 .firstSubmission = firstSubmission,
                                 .key = key,
                                 .instance = instance->id,
                                 .requestedAt = this->now,
                                 .exempt = instance->frozen};
    this->reachStep(Step::accept, instance);
    this->reachStep(Step::serve, instance);
    this->runOn(instance, [this, instance, request] { this->deliverToKernel(instance, QueryArrived{.request = request}); });
    const QueryId id = request.id;
    this->schedule(QUERY_DEADLINE + milliseconds(30), [this, id, submissionsLeft] {
        const CallerRecord &caller = this->callers.at(id);
        if (!caller.replied && !caller.exempt) {
            this->reportViolation("a caller received no answer by its deadline");
        }
        if (!caller.replied && submissionsLeft > 0) {
            this->submitQuery(caller.text, caller.action, caller.key, submissionsLeft - 1);
        }
    });
}

void Simulation::onReply(const std::shared_ptr<Instance> &instance, const Answer &answer)
{
    this->reachStep(Step::reply, instance);
    if (!instance->alive || instance->frozen) {
        return;
    }
    CallerRecord &caller = this->callers.at(answer.query);
    if (caller.replied) {
        this->reportViolation("a caller received two answers");
    }
    caller.replied = true;
    this->checkAnswer(caller, answer);
    const bool retry = !answer.success && (caller.action || caller.text.starts_with("crash")) && answer.reason != "refused-quarantined";
    if (retry && this->elapsed() < RECOVERY_CHECK_START && this->random(2) == 0) {
        this->schedule(milliseconds(5), [this, caller] { this->submitQuery(caller.text, caller.action, caller.key, 0); });
    }
}

void Simulation::checkAnswer(const CallerRecord &caller, const Answer &answer)
{
    if (answer.state == RunState::notRun && caller.executions > 0) {
        this->reportViolation("an answer reports not-run although the request ran");
    }
    if (caller.action) {
        if (answer.success && !answer.outcome.ends_with(caller.text)) {
            this->reportViolation("a caller received the outcome of another request");
        }
        // Only a first submission must succeed: the reply to a later one correctly reports an unknown outcome if the outcome
        // of an earlier one with the same key is unknown.
        if (caller.firstSubmission && caller.requestedAt - this->begin > RECOVERY_CHECK_START && !answer.success) {
            this->reportViolation("an action failed after recovery: " + answer.reason);
        }
        return;
    }
    RangeSet missing;
    for (const KeyRange &gap : answer.coverage.missing) {
        missing.add(gap);
    }
    std::vector<Document> expected;
    for (int index = 0; index < DOCUMENTS; ++index) {
        const DocumentKey key = KEY_SPACE_END / DOCUMENTS * static_cast<DocumentKey>(index);
        if (!missing.overlaps({.begin = key, .end = key + 1})) {
            expected.push_back({.key = key, .score = 1, .text = caller.text + " in " + std::to_string(answer.snapshot)});
        }
    }
    if (answer.coverage.documents != expected.size()) {
        this->reportViolation("the coverage of an answer does not match the documents searched");
    }
    if (answer.results != expected) {
        this->reportViolation("an answer does not match the documents of its snapshot and coverage");
    }
    const bool recovered = this->elapsed() > RECOVERY_CHECK_START && !caller.text.starts_with("crash");
    if (recovered && (!answer.success || !answer.coverage.complete())) {
        this->reportViolation("a search failed or was incomplete after recovery: " + answer.reason);
    }
}

void Simulation::changeTier(bool out)
{
    // Reads the document and writes it by compare-and-swap, like the operators' tool. Starts again after a conflict or an
    // outage.
    if (this->outage) {
        this->schedule(milliseconds(500), [this, out] { this->changeTier(out); });
        return;
    }
    const std::optional<StoredEntry> before = this->store.get("config/tier");
    const Result<TierConfiguration> tier = decodeTier(QByteArray::fromStdString(before->value), "operator");
    TierConfiguration next = *tier;
    ++next.sequence;
    next.domainsOutOfService = out ? std::set<std::string>{"c"} : std::set<std::string>{};
    this->schedule(STORE_DELAY, [this, before, next, out] {
        this->reachStep(Step::write, nullptr);
        if (this->outage || !this->store.put("config/tier", encodeTier(next).toStdString(), before->modifyIndex)) {
            this->schedule(milliseconds(100), [this, out] { this->changeTier(out); });
            return;
        }
        this->acceptedSequence = next.sequence;
        this->domainOut = out ? "c" : "";
        this->domainOutSince = this->now;
        this->schedule(CONFIGURATION_DEADLINE, [this, sequence = next.sequence] { this->checkConfigurationApplied(sequence); });
    });
}

void Simulation::checkConfigurationApplied(std::uint64_t sequence)
{
    for (const auto &instance : this->instances) {
        const bool recentlyDisconnected = this->disconnectedUntil[instance->id] + CONFIGURATION_DEADLINE > this->now;
        const bool exempt = !instance->alive || instance->frozen || recentlyDisconnected || this->outage || instance->tierSequence == 0;
        if (!exempt && instance->configurationManager.current()->tier.sequence < sequence) {
            this->reportViolation("an instance did not apply a configuration in time");
        }
    }
}

RunResult Simulation::run()
{
    for (std::size_t slot = 0; slot < DOMAINS.size(); ++slot) {
        this->startInstance(slot, false);
    }
    this->schedule(seconds(1), [this] { this->submitNextQuery(); });
    this->schedule(FIRST_INJECTION + milliseconds(500), [this] { this->changeTier(true); });
    this->schedule(seconds(7), [this] { this->changeTier(false); });
    // Planned replacement of the second instance: drain, stop, restart.
    this->schedule(FIRST_INJECTION + seconds(1), [this] {
        const std::shared_ptr<Instance> leaving = this->instances[1];
        this->reachStep(Step::drain, leaving);
        if (!leaving->alive) {
            return;
        }
        leaving->draining = true;
        this->runOn(leaving, [this, leaving] { this->deliverToKernel(leaving, DrainRequested{}); });
        this->schedule(QUERY_DEADLINE + milliseconds(100), [this, leaving] {
            this->reachStep(Step::stop, leaving);
            if (!leaving->alive) {
                return;
            }
            if (!leaving->frozen && !leaving->engine.idle()) {
                this->reportViolation("a planned stop interrupted a request");
            }
            leaving->alive = false;
            this->updatePeerLinks();
            this->schedule(milliseconds(300), [this] { this->startInstance(1, true); });
        });
    });
    const Instant end = this->begin + RUN_DURATION;
    for (std::optional<Instant> next = this->timers.nextDeadline(); next && *next <= end; next = this->timers.nextDeadline()) {
        this->now = std::max(this->now, *next);
        this->timers.advance(this->now);
    }
    this->finalChecks();
    RunResult result{.violations = {this->violations.begin(), this->violations.end()}, .injected = 0, .queries = this->queryCount};
    result.injected = static_cast<int>(std::count(this->injected.begin(), this->injected.end(), true));
    return result;
}

void Simulation::finalChecks()
{
    for (const auto &instance : this->instances) {
        if (!instance->alive || instance->frozen || !instance->ready) {
            this->reportViolation("an instance is not ready at the end: " + instance->id);
            continue;
        }
        if (instance->configurationManager.current()->tier.sequence != this->acceptedSequence) {
            this->reportViolation("an instance does not hold the latest configuration");
        }
        if (!instance->engine.idle()) {
            this->reportViolation("a query is still active at the end");
        }
        for (const auto &[id, each] : this->servers) {
            const auto record = instance->directory.findServer(id);
            if (record && record->inFlight.load() != 0) {
                this->reportViolation("an in-flight permit is still held at the end");
            }
        }
    }
}

RunResult runSimulation(const RunOptions &options)
{
    return Simulation(options).run();
}

} // namespace ragwort::matrix
