/// \file
/// Test harness: an engine that serves searches and actions on a small topology, in virtual time. Records the actions
/// of the engine.
#ifndef RAGWORTCART_UNITTESTS_KERNEL_ENGINEHARNESS_H
#define RAGWORTCART_UNITTESTS_KERNEL_ENGINEHARNESS_H

#include "ragwortcart/Kernel/QueryEngine.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace ragwort {

/// Teams "t" and "u" have a group "g" on the same servers: two services with three servers each, for example "s00" to
/// "s02". Each service holds one half of the key space. The kinds are "search" (urgent), "batch" and "action".
class EngineHarness
{
public:
    static constexpr DocumentKey HALF = KEY_SPACE_END / 2;
    static constexpr std::uint64_t DOCUMENTS_PER_HALF = 100;

    EngineHarness()
        : configuration(std::make_shared<const Configuration>())
        , topology(std::make_shared<const Topology>())
        , engine({.configuration = this->configuration,
                  .topology = this->topology,
                  .admissionCounters = this->admissionCounters,
                  .quarantineList = this->quarantineList,
                  .crashEvidence = this->crashEvidence,
                  .seed = 1})
    {
        this->group = {.name = "g", .services = 2, .serversPerService = 3, .slots = 2, .connections = 24, .coldCapacity = 1, .extraLoad = 0.5};
        this->group.canaryPolicy = "none";
        this->search = {.name = "search", .group = "g", .urgency = Urgency::urgent, .maximumDeadline = std::chrono::seconds(10)};
        for (int service = 0; service < 2; ++service) {
            for (int replica = 0; replica < 3; ++replica) {
                const std::string id = "s" + std::to_string(service) + std::to_string(replica);
                auto server = std::make_shared<ServerRecord>(ServerIdentity{.id = id,
                                                                            .address = "127.0.0.1:1",
                                                                            .team = "t",
                                                                            .group = "g",
                                                                            .service = "g-" + std::to_string(service),
                                                                            .domain = "d" + std::to_string(replica)});
                server->warmShare = 8;
                server->incarnation = 1;
                this->servers.push_back(server);
            }
        }
        this->publishConfiguration();
        this->publishTopology({1});
    }

    void publishConfiguration()
    {
        auto next = std::make_shared<Configuration>();
        TeamConfiguration team{.name = "t", .sequence = 1, .kinds = {}, .groups = {}};
        team.groups.push_back(this->group);
        team.kinds.push_back(this->search);
        QueryKind batch = this->search;
        batch.name = "batch";
        batch.urgency = Urgency::batch;
        team.kinds.push_back(batch);
        QueryKind action = this->search;
        action.name = "action";
        action.repeatable = false;
        team.kinds.push_back(action);
        next->teams["t"] = team;
        next->teams["u"] = team;
        next->teams["u"].name = "u";
        this->configuration.publish(next);
    }

    /// Publishes \p snapshots, newest first. Every server holds all of them unless listed in \p lacks.
    void publishTopology(const std::vector<SnapshotId> &snapshots, const std::vector<std::pair<SnapshotId, std::string>> &lacks = {})
    {
        auto next = std::make_shared<Topology>();
        next->version = ++this->version;
        next->shareInputs = {.ordinal = 0, .ordinalCount = 3};
        GroupTopology layout{.team = "t", .group = "g", .snapshots = {}, .servers = this->servers};
        for (const SnapshotId snapshot : snapshots) {
            SnapshotLayout made{.id = snapshot, .totalDocuments = 2 * DOCUMENTS_PER_HALF, .shards = {}};
            for (std::size_t service = 0; service < 2; ++service) {
                Shard shard{.range = service == 0 ? KeyRange{.begin = 0, .end = HALF} : KeyRange{.begin = HALF, .end = KEY_SPACE_END},
                            .documents = DOCUMENTS_PER_HALF,
                            .replicas = {}};
                for (std::size_t replica = 0; replica < 3; ++replica) {
                    const ServerPointer &server = this->servers[service * 3 + replica];
                    if (std::find(lacks.begin(), lacks.end(), std::pair(snapshot, server->identity.id)) == lacks.end()) {
                        shard.replicas.push_back(server);
                    }
                }
                made.shards.push_back(shard);
            }
            layout.snapshots.push_back(made);
        }
        for (const ServerPointer &server : this->servers) {
            next->servers[server->identity.id] = server;
        }
        next->groups["t/g"] = layout;
        layout.team = "u";
        next->groups["u/g"] = layout;
        this->topology.publish(next);
    }

    ServerPointer server(const std::string &id) const
    {
        return *std::find_if(this->servers.begin(), this->servers.end(), [&id](const ServerPointer &candidate) { return candidate->identity.id == id; });
    }

    QueryId submit(const std::string &kind = "search",
                   Duration timeLeft = std::chrono::milliseconds(300),
                   const std::string &text = "text",
                   const std::string &team = "t")
    {
        QueryRequest request{
            .id = ++this->lastQuery, .team = team, .kind = kind, .text = text, .limit = 10, .arrival = this->now, .deadline = this->now + timeLeft};
        request.idempotencyKey = kind == "action" ? "key-" + std::to_string(request.id) : "";
        request.fingerprint = std::hash<std::string>()(text);
        this->handle(QueryArrived{.request = request});
        return request.id;
    }

    void handle(const KernelEvent &event)
    {
        this->engine.handle(event, this->now);
        this->collect();
    }

    /// Advances virtual time and runs the timers that are due in the meantime.
    void advanceBy(Duration time)
    {
        const Instant end = this->now + time;
        for (auto next = this->engine.nextWakeup(); next && *next <= end; next = this->engine.nextWakeup()) {
            this->now = std::max(this->now, *next);
            this->engine.advance(this->now);
            this->collect();
        }
        this->now = end;
    }

    /// Sorts the actions requested by the engine into the members that tests read.
    void collect()
    {
        for (KernelAction &action : this->engine.takeActions()) {
            if (auto *send = std::get_if<SendSubRequest>(&action)) {
                this->sends.push_back(send->request);
            } else if (auto *reply = std::get_if<ReplyToCaller>(&action)) {
                this->replies.push_back(reply->answer);
            } else if (auto *decision = std::get_if<ReportDecision>(&action)) {
                this->reasons.push_back(decision->reason);
            } else {
                if (const auto *cancel = std::get_if<CancelSubRequest>(&action)) {
                    this->cancelled.push_back(*cancel);
                }
                this->otherActions.push_back(std::move(action));
            }
        }
    }

    /// Reports that the cancelled requests have ended at their servers.
    void endCancelled()
    {
        for (const CancelSubRequest &cancel : std::exchange(this->cancelled, {})) {
            this->handle(SubRequestEnded{.query = cancel.query, .attempt = cancel.attempt});
        }
    }

    /// Returns the response of a healthy server to \p request.
    static SubAnswer answerTo(const SubRequest &request)
    {
        SubAnswer answer{.snapshot = request.snapshot,
                         .range = request.range,
                         .documents = DOCUMENTS_PER_HALF,
                         .totalDocuments = 2 * DOCUMENTS_PER_HALF,
                         .results = {{.key = request.range.begin + 1, .score = 5, .text = "at " + std::to_string(request.snapshot)}},
                         .report = {.incarnation = 1}};
        return answer;
    }

    void answer(const SubRequest &request)
    {
        this->handle(SubRequestAnswered{.query = request.query, .attempt = request.attempt, .answer = answerTo(request)});
    }

    void fail(const SubRequest &request, SubFailure failure)
    {
        this->handle(SubRequestFailed{.query = request.query, .attempt = request.attempt, .failure = failure, .report = std::nullopt});
    }

    /// Returns the sub-requests sent since the last call.
    std::vector<SubRequest> takeSends()
    {
        return std::exchange(this->sends, {});
    }

    bool reported(Reason reason) const
    {
        return std::find(this->reasons.begin(), this->reasons.end(), reason) != this->reasons.end();
    }

    template <typename Action>
    std::vector<Action> otherActionsOf() const
    {
        std::vector<Action> found;
        for (const KernelAction &action : this->otherActions) {
            if (const auto *typed = std::get_if<Action>(&action)) {
                found.push_back(*typed);
            }
        }
        return found;
    }

    int permitsInUse() const
    {
        int total = 0;
        for (const ServerPointer &each : this->servers) {
            total += each->inFlight;
        }
        return total;
    }

    RcuValue<Configuration> configuration;
    RcuValue<Topology> topology;
    AdmissionCounters admissionCounters;
    QuarantineList quarantineList;
    CrashEvidence crashEvidence;
    QueryEngine engine;
    BackendGroup group;
    QueryKind search;
    std::vector<ServerPointer> servers;
    std::vector<SubRequest> sends;
    std::vector<Answer> replies;
    std::vector<Reason> reasons;
    std::vector<KernelAction> otherActions;
    std::vector<CancelSubRequest> cancelled;
    Instant now{std::chrono::seconds(1000)};
    std::uint64_t version = 0;
    QueryId lastQuery = 0;
};

} // namespace ragwort

#endif
