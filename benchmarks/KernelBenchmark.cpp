/// \file
/// Measures the CPU time of the decision kernel for one query by the number of shards, and the CPU time and memory of a
/// topology by the number of servers. Nothing is sent: the benchmark answers each sub-request itself.
#include "ragwortcart/Control/ServerDirectory.h"
#include "ragwortcart/Kernel/QueryEngine.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

namespace ragwort {

static constexpr int REPLICAS = 3;

static std::shared_ptr<const Configuration> makeConfiguration(int services)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->tier = {.sequence = 1, .maximumInstances = 8};
    TeamConfiguration team{.name = "t", .sequence = 1, .kinds = {}, .groups = {}};
    team.groups.push_back({.name = "g", .services = services, .serversPerService = REPLICAS, .slots = 1000, .connections = 8000});
    team.kinds.push_back({.name = "k", .group = "g", .maximumDeadline = std::chrono::seconds(60)});
    configuration->teams["t"] = team;
    return configuration;
}

/// Returns a directory with \p services services of REPLICAS servers each. Each service holds one shard of the same snapshot.
static std::unique_ptr<ServerDirectory> makeDirectory(int services)
{
    auto directory = std::make_unique<ServerDirectory>("e0", "d0");
    directory->setConfiguration(makeConfiguration(services));
    std::vector<ListedServer> servers;
    const DocumentKey width = KEY_SPACE_END / static_cast<DocumentKey>(services);
    for (int service = 0; service < services; ++service) {
        for (int replica = 0; replica < REPLICAS; ++replica) {
            servers.push_back({.identity = {.id = "group-" + std::to_string(service) + '-' + std::to_string(replica),
                                            .address = "127.0.0.1:1",
                                            .team = "t",
                                            .group = "g",
                                            .service = "group-" + std::to_string(service),
                                            .domain = "d" + std::to_string(replica)}});
        }
    }
    directory->setServers(servers);
    directory->setEntryInstances({{.id = "e0", .domain = "d0"}});
    for (int service = 0; service < services; ++service) {
        const bool last = service + 1 == services;
        const KeyRange range{.begin = width * static_cast<DocumentKey>(service), .end = last ? KEY_SPACE_END : width * static_cast<DocumentKey>(service + 1)};
        for (int replica = 0; replica < REPLICAS; ++replica) {
            const ServerStatus status{.serverId = "group-" + std::to_string(service) + '-' + std::to_string(replica),
                                      .report = {.incarnation = 1},
                                      .snapshots
                                      = {{.id = 1, .range = range, .documents = 10, .totalDocuments = 10ULL * static_cast<std::uint64_t>(services)}}};
            directory->recordStatus(status, Instant{std::chrono::seconds(1)});
        }
    }
    return directory;
}

static OrdinalManager makeOrdinals()
{
    OrdinalManager ordinals("e0");
    ordinals.updateTable({{0, "e0"}}, 1, Instant{});
    return ordinals;
}

/// Processes one complete query: arrival, plan, scatter, answers, merge, reply. The argument is the number of shards.
static void BM_Query(benchmark::State &state)
{
    const auto shards = static_cast<int>(state.range(0));
    const auto directory = makeDirectory(shards);
    const RcuValue<Configuration> configuration(makeConfiguration(shards));
    const RcuValue<Topology> topology(directory->build(makeOrdinals(), Instant{std::chrono::seconds(1)}));
    AdmissionCounters admissionCounters;
    QuarantineList quarantineList;
    CrashEvidence crashEvidence;
    QueryEngine engine({.configuration = configuration,
                        .topology = topology,
                        .admissionCounters = admissionCounters,
                        .quarantineList = quarantineList,
                        .crashEvidence = crashEvidence,
                        .seed = 1});
    Instant now{std::chrono::seconds(2)};
    QueryId id = 0;
    for (auto _ : state) {
        now += std::chrono::milliseconds(1);
        QueryRequest request{.id = ++id, .team = "t", .kind = "k", .text = "text", .limit = 10, .arrival = now, .deadline = now + std::chrono::seconds(1)};
        request.fingerprint = 7;
        engine.handle(QueryArrived{.request = request}, now);
        for (auto actions = engine.takeActions(); !actions.empty(); actions = engine.takeActions()) {
            for (const KernelAction &action : actions) {
                const auto *send = std::get_if<SendSubRequest>(&action);
                if (send == nullptr) {
                    continue;
                }
                SubAnswer answer{.snapshot = 1, .range = send->request.range, .documents = 10, .totalDocuments = 10ULL * static_cast<std::uint64_t>(shards)};
                for (DocumentKey key = 0; key < 10; ++key) {
                    answer.results.push_back({.key = answer.range.begin + key, .score = static_cast<std::int64_t>(key), .text = {}});
                }
                answer.report.incarnation = 1;
                engine.handle(SubRequestAnswered{.query = send->request.query, .attempt = send->request.attempt, .answer = std::move(answer)}, now);
            }
        }
    }
    state.counters["size"] = static_cast<double>(shards);
}
BENCHMARK(BM_Query)->Arg(10)->Arg(50)->Arg(200)->Arg(770)->Unit(benchmark::kMicrosecond);

/// Builds a topology from a complete directory. The argument is the number of servers; the counter "bytes" is the memory of
/// the directory and one topology.
static void BM_TopologyBuild(benchmark::State &state)
{
    const auto services = static_cast<int>(state.range(0)) / REPLICAS;
    const std::size_t before = mallinfo2().uordblks;
    const auto directory = makeDirectory(services);
    const OrdinalManager ordinals = makeOrdinals();
    std::shared_ptr<const Topology> topology = directory->build(ordinals, Instant{std::chrono::seconds(1)});
    state.counters["bytes"] = static_cast<double>(mallinfo2().uordblks - before);
    for (auto _ : state) {
        topology = directory->build(ordinals, Instant{std::chrono::seconds(1)});
        benchmark::DoNotOptimize(topology);
    }
    state.counters["size"] = static_cast<double>(state.range(0));
}
BENCHMARK(BM_TopologyBuild)->Arg(90)->Arg(900)->Arg(9000)->Unit(benchmark::kMicrosecond);

} // namespace ragwort

BENCHMARK_MAIN();
