/// \file
/// Test harness: an engine that serves forwarded requests, in virtual time. Records the actions of the engine.
#ifndef RAGWORTCART_UNITTESTS_KERNEL_ROUTEHARNESS_H
#define RAGWORTCART_UNITTESTS_KERNEL_ROUTEHARNESS_H

#include "ragwortcart/Kernel/QueryEngine.h"
#include "ragwortcart/Model/Route.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace ragwort {

/// Route "gather" merges ten shards "s0" to "s9". Routes "single" and "action" use the service "one"; "action" is not
/// repeatable. Each service has three servers, for example "s0-a" to "s0-c"; the first is in this instance's failure
/// domain.
class RouteHarness
{
public:
    static constexpr int SHARDS = 10;

    RouteHarness()
        : configuration(std::make_shared<const Configuration>())
        , topology(std::make_shared<const Topology>())
        , engine({.configuration = this->configuration,
                  .topology = this->topology,
                  .admissionCounters = this->admissionCounters,
                  .quarantineList = this->quarantineList,
                  .crashEvidence = this->crashEvidence,
                  .seed = 1,
                  .sharesPermits = false})
    {
        ShardSet shards{.services = {}, .topRecordCount = 3};
        for (int shard = 0; shard < SHARDS; ++shard) {
            shards.services.push_back("s" + std::to_string(shard));
            this->addServers(shards.services.back());
        }
        this->addServers("one");
        this->table.version = 1;
        this->table.routes = {this->makeRoute("gather", shards, true),
                              this->makeRoute("single", ServiceChoice{.services = {{.service = "one"}}}, true),
                              this->makeRoute("action", ServiceChoice{.services = {{.service = "one"}}}, false)};
        this->route("gather").kind.minimumCoverage = 0.89;
        this->publish();
    }

    Route &route(const std::string &name)
    {
        return *std::find_if(this->table.routes.begin(), this->table.routes.end(), [&name](const Route &each) { return each.name == name; });
    }

    /// Publishes the route table and the servers.
    void publish()
    {
        deriveRouteGroups(this->table);
        auto next = std::make_shared<Configuration>();
        next->routes = std::make_shared<const RouteTable>(this->table);
        this->configuration.publish(next);
        this->publishServers();
    }

    void publishServers()
    {
        auto next = std::make_shared<Topology>();
        next->version = ++this->version;
        next->liveInstances = this->instances;
        next->division = this->division;
        for (const auto &[id, server] : this->servers) {
            next->servers[id] = server;
            next->services[server->identity.service].push_back(server);
        }
        this->topology.publish(next);
    }

    /// Submits a query of a caller, or of a coordinator if it selects shards. Its content is new.
    QueryId submit(const std::string &name = "gather",
                   Duration timeLeft = std::chrono::milliseconds(1500),
                   const std::optional<ShardSelection> &selection = std::nullopt)
    {
        return this->submitContent(name, this->lastQuery + 1, timeLeft, selection);
    }

    /// Submits a query with the content \p fingerprint.
    QueryId submitContent(const std::string &name,
                          std::uint64_t fingerprint,
                          Duration timeLeft = std::chrono::milliseconds(1500),
                          const std::optional<ShardSelection> &selection = std::nullopt)
    {
        auto forwarded = std::make_shared<ForwardedRequest>();
        forwarded->method = "GET";
        forwarded->target = "/x/" + std::to_string(fingerprint);
        QueryRequest request{.id = ++this->lastQuery, .team = "host", .kind = name, .arrival = this->now, .deadline = this->now + timeLeft};
        request.fingerprint = fingerprint;
        request.work = ForwardedCall{.request = forwarded, .route = name, .selection = selection};
        this->handle(QueryArrived{.request = request});
        return this->lastQuery;
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
            } else if (const auto *cancel = std::get_if<CancelSubRequest>(&action)) {
                this->cancelled.push_back(*cancel);
            } else if (const auto *branch = std::get_if<SendPartialQuery>(&action)) {
                this->branches.push_back(*branch);
            } else if (const auto *cancelledBranch = std::get_if<CancelPartialQuery>(&action)) {
                this->cancelledBranches.push_back(*cancelledBranch);
            } else if (const auto *decision = std::get_if<ReportDecision>(&action)) {
                this->reasons.push_back(decision->reason);
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
    static ForwardedAnswer answerTo(const SubRequest &request, const std::string &body = std::string(16, 'r'))
    {
        return {.status = 200, .headers = {}, .body = body, .signature = "sig-" + request.serverId, .statement = {}};
    }

    void answer(const SubRequest &request)
    {
        this->handle(ForwardAnswered{.query = request.query, .attempt = request.attempt, .answer = answerTo(request)});
    }

    // Two functions instead of a default argument, which g++ 12 takes for uninitialised when it inlines it under AddressSanitizer.
    void fail(const SubRequest &request, SubFailure failure)
    {
        SubRequestFailed failed;
        failed.query = request.query;
        failed.attempt = request.attempt;
        failed.failure = failure;
        this->handle(failed);
    }

    void fail(const SubRequest &request, SubFailure failure, const ForwardedAnswer &response)
    {
        this->handle(SubRequestFailed{.query = request.query, .attempt = request.attempt, .failure = failure, .report = std::nullopt, .answer = response});
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

    int permitsInUse() const
    {
        int total = 0;
        for (const auto &[id, server] : this->servers) {
            total += server->inFlight;
        }
        return total;
    }

    /// Runs \p queries queries whose sub-requests are all answered after \p latency. The default number suffices to
    /// determine the hedge delay.
    void recordLatencies(Duration latency, int queries = 10)
    {
        for (int query = 0; query < queries; ++query) {
            this->submit();
            this->advanceBy(latency);
            for (const SubRequest &request : this->takeSends()) {
                this->answer(request);
            }
        }
        this->replies.clear();
    }

    RcuValue<Configuration> configuration;
    RcuValue<Topology> topology;
    AdmissionCounters admissionCounters;
    QuarantineList quarantineList;
    CrashEvidence crashEvidence;
    QueryEngine engine;
    RouteTable table;
    std::map<std::string, ServerPointer> servers;
    std::vector<SubRequest> sends;
    std::vector<Answer> replies;
    std::vector<Reason> reasons;
    std::vector<CancelSubRequest> cancelled;
    std::vector<SendPartialQuery> branches;
    std::vector<CancelPartialQuery> cancelledBranches;
    QueryDivision division;
    Instant now{std::chrono::seconds(1000)};
    std::uint64_t version = 0;
    int instances = 1;
    QueryId lastQuery = 0;

    /// Adds a server to the next topology that is published.
    void addServer(const std::string &service, const std::string &id, const std::string &domain = "-a")
    {
        auto server = std::make_shared<ServerRecord>(
            ServerIdentity{.id = id, .address = "127.0.0.1:1", .team = {}, .group = {}, .service = service, .domain = domain, .slots = 2});
        server->warmShare = 8;
        server->inOtherDomain = domain != "-a";
        this->servers[id] = server;
    }

private:
    void addServers(const std::string &service)
    {
        for (const char *suffix : {"-a", "-b", "-c"}) {
            this->addServer(service, service + suffix, suffix);
        }
    }

    static Route makeRoute(const std::string &name, RouteTarget target, bool repeatable)
    {
        Route made;
        made.name = name;
        made.host = "host";
        made.pathPrefix = "/" + name + "/";
        made.target = std::move(target);
        made.kind.repeatable = repeatable;
        made.kind.maximumDeadline = std::chrono::seconds(10);
        made.latencyObjective = std::chrono::milliseconds(120);
        made.maximumAttempts = 2;
        made.priority = 1;
        made.group.canaryPolicy = "none";
        made.group.newServerIdPerStart = true;
        made.group.extraLoad = 0.2;
        made.group.hedgeShare = 0.1;
        made.group.extraLoadBurst = 50.0;
        made.group.admissionPerSlot = 6;
        return made;
    }
};

} // namespace ragwort

#endif
