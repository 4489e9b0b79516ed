/// \file
/// Measures the CPU time of control code and the sizes of its messages and stored values: digests, statuses, claims, ordinals
/// and peer selection. Each benchmark runs one function of the control code on generated data, without I/O.
#include "ragwortcart/Control/ClaimManager.h"
#include "ragwortcart/Control/OrdinalManager.h"
#include "ragwortcart/Control/PeerExchange.h"
#include "ragwortcart/Wire/PeerCodec.h"

#include <benchmark/benchmark.h>

namespace ragwort {

/// Encodes and decodes a detailed digest. The argument is the number of configuration documents.
static void BM_Digest(benchmark::State &state)
{
    PeerDigest digest{.configurationAgeUs = 5, .documentsHash = 1, .sequences = {}};
    for (std::int64_t index = 0; index < state.range(0); ++index) {
        digest.sequences["team.name-" + std::to_string(index)] = static_cast<std::uint64_t>(1000 + index);
    }
    std::string bytes;
    for (auto _ : state) {
        bytes = encodePeerMessage(digest);
        benchmark::DoNotOptimize(decodePeerMessage(bytes, "p"));
    }
    state.counters["size"] = static_cast<double>(state.range(0));
    state.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(BM_Digest)->Arg(3)->Arg(30)->Arg(300)->Unit(benchmark::kMicrosecond);

/// Encodes and decodes server statuses. The argument is the number of servers.
static void BM_Statuses(benchmark::State &state)
{
    PeerStatuses statuses;
    for (std::int64_t index = 0; index < state.range(0); ++index) {
        PeerStatus entry{.status
                         = {.serverId = "coordinador-" + std::to_string(index) + "-0", .report = {.incarnation = 1ULL << 40U, .load = 3}, .snapshots = {}},
                         .ageUs = 250'000};
        for (SnapshotId snapshot = 1; snapshot <= 2; ++snapshot) {
            entry.status.snapshots.push_back(
                {.id = snapshot, .range = {.begin = 1ULL << 35U, .end = 1ULL << 36U}, .documents = 2000, .totalDocuments = 20'000});
        }
        statuses.statuses.push_back(entry);
    }
    std::string bytes;
    for (auto _ : state) {
        bytes = encodePeerMessage(statuses);
        benchmark::DoNotOptimize(decodePeerMessage(bytes, "p"));
    }
    state.counters["size"] = static_cast<double>(state.range(0));
    state.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(BM_Statuses)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);

/// Adds one claim to an encoded bucket: decode, insert, encode. The argument is the number of claims already in the bucket.
static void BM_ClaimBucket(benchmark::State &state)
{
    ClaimTable table;
    for (std::int64_t index = 0; index < state.range(0); ++index) {
        table["turnos/key-" + std::to_string(index)] = {.token = "entry-0/1780000000000/4242:" + std::to_string(index),
                                                        .fingerprint = "0123456789abcdef",
                                                        .claimedAtMs = 1'780'000'000'000,
                                                        .ran = true,
                                                        .outcome = "done by mi-turno-0-5"};
    }
    std::string json = encodeClaims(table);
    for (auto _ : state) {
        ClaimTable decoded = *decodeClaims(json);
        decoded["turnos/key-new"] = {.token = "t", .fingerprint = "f", .claimedAtMs = 1};
        benchmark::DoNotOptimize(encodeClaims(decoded));
    }
    state.counters["size"] = static_cast<double>(state.range(0));
    state.counters["bytes"] = static_cast<double>(json.size());
}
BENCHMARK(BM_ClaimBucket)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);

/// Decodes the table of ordinals. The argument is the number of ordinals.
static void BM_SeatTable(benchmark::State &state)
{
    OrdinalTable table;
    for (std::int64_t index = 0; index < state.range(0); ++index) {
        table[static_cast<int>(index)] = "entry-" + std::to_string(index);
    }
    const std::string json = encodeOrdinals(table);
    for (auto _ : state) {
        benchmark::DoNotOptimize(decodeOrdinals(json));
    }
    state.counters["size"] = static_cast<double>(state.range(0));
    state.counters["bytes"] = static_cast<double>(json.size());
}
BENCHMARK(BM_SeatTable)->Arg(7)->Arg(220)->Arg(6800)->Unit(benchmark::kMicrosecond);

/// Chooses the peers of one entry instance. The argument is the number of listed entry instances.
static void BM_ChoosePeers(benchmark::State &state)
{
    std::vector<ListedEntryInstance> entryInstances;
    for (std::int64_t index = 0; index < state.range(0); ++index) {
        entryInstances.push_back({.id = "entry-" + std::to_string(index), .domain = "d" + std::to_string(index % 31)});
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(choosePeers("entry-5", "d5", entryInstances));
    }
    state.counters["size"] = static_cast<double>(state.range(0));
}
BENCHMARK(BM_ChoosePeers)->Arg(70)->Arg(700)->Arg(6800)->Unit(benchmark::kMicrosecond);

} // namespace ragwort

BENCHMARK_MAIN();
