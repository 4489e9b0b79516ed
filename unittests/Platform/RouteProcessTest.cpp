/// \file
/// End-to-end tests on the users' platform: an entry instance with all its threads between callers and platform fakes.
#include "ragwortcart/Runtime/RouteProcess.h"

#include "PlatformFakes.h"
#include "Wire/LoopThread.h"
#include "Wire/RawResponseServer.h"
#include "platform/HttpProtocols.h"
#include "platform/StoreClient.h"
#include "platform/StoreFormat.h"
#include "ragwortcart/Support/Log.h"

#include <QCoreApplication>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <atomic>
#include <gtest/gtest.h>

namespace ragwort::platform {

static constexpr int CALLERS_PORT = 18801;
static constexpr int READY_PORT = 18802;
static constexpr int METRICS_PORT = 18803;
static constexpr int PEERS_PORT = 18804;
/// Offset between the ports of consecutive instances.
static constexpr int PORT_STRIDE_PER_INSTANCE = 10;

namespace {

/// Uses services "s0" to "s3" with two servers each. Route /g/ merges all four services, /one/ forwards to s0, and /once/
/// forwards to s0 and is not repeatable.
class RouteProcessTest : public testing::Test
{
protected:
    void SetUp() override
    {
        static int count = 1;
        static char name[] = "test";
        static char *arguments[] = {name, nullptr};
        static const QCoreApplication APPLICATION(count, arguments);
        initializeLog("test", "all", LogLevel::error);
        const Result<std::uint16_t> storePort = this->thread.call([this] {
            this->store = std::make_unique<FakeMetadataStore>(this->thread.loop);
            return this->store->listen();
        });
        ASSERT_TRUE(storePort);
        this->client = std::make_unique<StoreClient>(StoreClient::Options{.address = "127.0.0.1:" + std::to_string(*storePort)});
        this->storeAddress = "127.0.0.1:" + std::to_string(*storePort);
        this->process = std::make_unique<RouteProcess>(RouteProcess::Options{.settings = {.instance = "i1",
                                                                                          .domain = "a",
                                                                                          .callersAddress = "127.0.0.1:" + std::to_string(CALLERS_PORT),
                                                                                          .readyAddress = "127.0.0.1:" + std::to_string(READY_PORT),
                                                                                          .metricsAddress = "127.0.0.1:" + std::to_string(METRICS_PORT),
                                                                                          .peersAddress = "127.0.0.1:" + std::to_string(PEERS_PORT),
                                                                                          .stopTimeout = std::chrono::seconds(2),
                                                                                          .capacity = this->ownCapacity(),
                                                                                          .firstStart = this->firstStart()},
                                                                             .store = *this->client,
                                                                             .storeFormat = this->format,
                                                                             .callerProtocol = this->callers,
                                                                             .backendProtocol = this->backends});
        ASSERT_TRUE(this->process->start());
    }

    void TearDown() override
    {
        this->peers.clear();
        this->process.reset();
        this->client.reset();
        this->thread.call([this] {
            this->servers.clear();
            this->store.reset();
            return 0;
        });
    }

    /// Returns the capacity of the first instance.
    virtual double ownCapacity() const
    {
        return 0.0;
    }

    /// Returns whether the instances are those of a new fleet.
    virtual bool firstStart() const
    {
        return false;
    }

    /// Starts another instance in the same failure domain. Peer numbers start at 2.
    void startPeer(int number, double capacity = 0.0)
    {
        const auto address = [number](int port) { return "127.0.0.1:" + std::to_string(port + PORT_STRIDE_PER_INSTANCE * (number - 1)); };
        Peer peer;
        peer.client = std::make_unique<StoreClient>(StoreClient::Options{.address = this->storeAddress});
        peer.process = std::make_unique<RouteProcess>(RouteProcess::Options{.settings = {.instance = "i" + std::to_string(number),
                                                                                         .domain = "a",
                                                                                         .callersAddress = address(CALLERS_PORT),
                                                                                         .readyAddress = address(READY_PORT),
                                                                                         .metricsAddress = address(METRICS_PORT),
                                                                                         .peersAddress = address(PEERS_PORT),
                                                                                         .stopTimeout = std::chrono::seconds(2),
                                                                                         .capacity = capacity,
                                                                                         .firstStart = this->firstStart()},
                                                                            .store = *peer.client,
                                                                            .storeFormat = this->format,
                                                                            .callerProtocol = this->callers,
                                                                            .backendProtocol = this->backends});
        ASSERT_TRUE(peer.process->start());
        this->peers.push_back(std::move(peer));
    }

    void startServers()
    {
        for (int service = 0; service < 4; ++service) {
            for (const char *suffix : {"a", "b"}) {
                const std::string serverId = "i-" + std::to_string(service) + suffix;
                this->thread.call([&] {
                    auto server = std::make_unique<FakeBackendServer>(this->thread.loop, serverId);
                    const Result<std::uint16_t> port = server->listen();
                    this->servers[serverId] = std::move(server);
                    this->store->put("servers/" + serverId, entryText("s" + std::to_string(service), *port, "ready"));
                    this->ports[serverId] = *port;
                    return 0;
                });
            }
        }
    }

    static std::string entryText(const std::string &service, std::uint16_t port, const std::string &state)
    {
        return R"({"service":")" + service + R"(","addr":"127.0.0.1:)" + std::to_string(port) + R"(","zone":"a","version":"v1","slots":2,"state":")" + state
            + R"(","warmup_left_ms":0,"sequence":1,"born":5})";
    }

    void putRoutes(int version, const std::vector<std::string> &shards, const std::string &extra = {})
    {
        QJsonArray gather;
        QJsonArray services;
        for (int service = 0; service < 4; ++service) {
            services.append(QJsonObject{{"name", "s" + QString::number(service)}, {"max_conns", 20}, {"warmup_s", 0}, {"warmup_per_s", 0}});
        }
        for (const std::string &shard : shards) {
            gather.append(QString::fromStdString(shard));
        }
        const auto route = [](const char *name, const char *prefix, const char *kind) {
            return QJsonObject{{"name", name},
                               {"host", "h"},
                               {"prefix", prefix},
                               {"kind", kind},
                               {"timeout_ms", 3000},
                               {"target_latency_ms", 500},
                               {"max_attempts", 2},
                               {"priority", 1}};
        };
        QJsonObject merging = route("g", "/g/", "safe");
        merging.insert("gather", gather);
        merging.insert("top_k", 3);
        merging.insert("min_version", 0.75);
        QJsonObject one = route("one", "/one/", "safe");
        one.insert("service", "s0");
        QJsonObject once = route("once", "/once/", "unsafe");
        once.insert("service", "s0");
        QJsonArray routes{merging, one, once};
        if (!extra.empty()) {
            QJsonObject added = route(this->extraRouteName.c_str(), extra.c_str(), "safe");
            added.insert("service", "s1");
            routes.append(added);
        }
        const QJsonObject limits{{"header_bytes", 16384}, {"body_bytes", 262144}, {"header_timeout_ms", 3000}, {"idle_ms", 15000}};
        const QJsonObject config{{"version", version}, {"routes", routes}, {"services", services}, {"limits", limits}};
        const std::string text = QJsonDocument(config).toJson(QJsonDocument::Compact).toStdString();
        this->thread.call([&] {
            this->store->put("op/config", text);
            return 0;
        });
    }

    /// Runs the Qt event loop until \p condition holds.
    template <typename Condition>
    static bool pumpUntil(Condition condition)
    {
        return eventually([&condition] {
            QCoreApplication::processEvents();
            return condition();
        });
    }

    /// Returns the complete response and runs the Qt event loop while waiting for it.
    std::string get(int port, const std::string &target, const std::string &id = "id1")
    {
        std::atomic<bool> done{false};
        std::string answer;
        std::thread caller([&] {
            const RawSocket socket(static_cast<std::uint16_t>(port));
            socket.send("GET " + target + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n");
            answer = socket.readAll();
            done = true;
        });
        pumpUntil([&done] { return done.load(); });
        caller.join();
        return answer;
    }

    static int statusOf(const std::string &answer)
    {
        return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
    }

    bool ready()
    {
        return statusOf(this->get(READY_PORT, "/readyz")) == 200;
    }

    /// Returns the value of a counter of an instance, or 0 if it does not exist.
    int counter(int number, const std::string &name, const std::string &labels = {})
    {
        const std::string line = '\n' + name + '{' + labels + "} ";
        const std::string metrics = this->get(METRICS_PORT + PORT_STRIDE_PER_INSTANCE * (number - 1), "/metrics");
        const std::size_t found = metrics.find(line);
        return found == std::string::npos ? 0 : std::stoi(metrics.substr(found + line.size()));
    }

    void startAll()
    {
        this->putRoutes(1, {"s0", "s1", "s2", "s3"});
        this->startServers();
        ASSERT_TRUE(pumpUntil([this] { return this->ready() && statusOf(this->get(CALLERS_PORT, "/g/1")) == 200; }));
        // No missing part means that all shards are known.
        ASSERT_TRUE(pumpUntil([this] { return this->get(CALLERS_PORT, "/g/1").find("X-Missing-Parts: 0") != std::string::npos; }));
    }

    void setFaultMode(const std::string &prefix, FakeBackendServer::FaultMode faultMode)
    {
        this->thread.call([&] {
            for (const auto &[id, server] : this->servers) {
                if (id.starts_with(prefix)) {
                    server->faultMode = faultMode;
                }
            }
            return 0;
        });
    }

    /// Makes \p server the only server of service s0, and waits until that is in force.
    void replaceServersOfS0(const RawResponseServer &server, int routesVersion)
    {
        this->thread.call([&] {
            for (const char *serverId : {"i-0a", "i-0b", "i-0c"}) {
                this->store->remove(std::string("servers/") + serverId);
            }
            this->store->put("servers/i-0c", entryText("s0", server.port, "ready"));
            return 0;
        });
        // Changes are applied in the order of their revisions: when the new route answers, the servers have been replaced.
        const std::string newRoute = "/v" + std::to_string(routesVersion) + '/';
        this->putRoutes(routesVersion, {"s0", "s1", "s2", "s3"}, newRoute);
        ASSERT_TRUE(pumpUntil([&] { return statusOf(this->get(CALLERS_PORT, newRoute + '1')) == 200; }));
    }

    /// Sends a request to a service whose only server is \p server, which sends invalid responses. Expects the instance's own answer, which says
    /// truly whether the request may have run.
    void expectOwnAnswer(const std::string &target, const RawResponseServer &server)
    {
        const int before = server.requests;
        const std::string answer = this->get(CALLERS_PORT, target);
        // 503 promises that the request has not run and never will.
        EXPECT_EQ(statusOf(answer), server.requests > before ? 502 : 503) << answer;
        EXPECT_EQ(answer.find("of-s0"), std::string::npos) << answer;
        EXPECT_LE(server.requests - before, 1) << "there is no other server";
    }

    std::uint64_t runs(const std::string &prefix)
    {
        return this->thread.call([&] {
            std::uint64_t total = 0;
            for (const auto &[id, server] : this->servers) {
                total += id.starts_with(prefix) ? server->runs : 0;
            }
            return total;
        });
    }

    struct Peer
    {
        std::unique_ptr<StoreClient> client;
        std::unique_ptr<RouteProcess> process;
    };

    /// Name of the route that `putRoutes()` adds.
    std::string extraRouteName = "extra";
    LoopThread thread;
    std::string storeAddress;
    std::vector<Peer> peers;
    std::unique_ptr<FakeMetadataStore> store;
    std::map<std::string, std::unique_ptr<FakeBackendServer>> servers;
    std::map<std::string, std::uint16_t> ports;
    std::unique_ptr<StoreClient> client;
    PlatformStoreFormat format;
    PlatformCallerProtocol callers;
    PlatformBackendProtocol backends;
    std::unique_ptr<RouteProcess> process;
};

/// The first instance is too weak to gather the four shards in time.
class DividedQueryTest : public RouteProcessTest
{
protected:
    double ownCapacity() const override
    {
        return 0.002;
    }

    bool firstStart() const override
    {
        return true;
    }

    int gatheredByPeers()
    {
        return this->counter(2, "ragwort_partial_queries_total") + this->counter(3, "ragwort_partial_queries_total");
    }

    std::string query()
    {
        ++this->queries;
        return this->get(CALLERS_PORT, "/g/" + std::to_string(this->queries), "id" + std::to_string(this->queries));
    }

    int queries = 0;
};

} // namespace

/// The whole way over sockets: a weak instance, two aggregators, the servers and back.
TEST_F(DividedQueryTest, aWeakInstanceReturnsWhatAnAggregatorHasGathered)
{
    this->startAll();
    this->startPeer(2, 1.0);
    this->startPeer(3, 1.0);
    ASSERT_TRUE(pumpUntil([this] {
        EXPECT_EQ(statusOf(this->query()), 200);
        return this->gatheredByPeers() > 0;
    }));
    const int before = this->gatheredByPeers();
    for (int round = 0; round < 20; ++round) {
        const std::string answer = this->query();
        EXPECT_EQ(statusOf(answer), 200);
        EXPECT_NE(answer.find("X-Missing-Parts: 0"), std::string::npos);
    }
    EXPECT_EQ(this->gatheredByPeers() - before, 20);
}

/// A fleet that starts for the first time costs the store few calls: lists that may be stale are cheap, and relays tell what has changed since.
TEST_F(DividedQueryTest, anInstanceOfANewFleetStartsWithoutListingTheLatestContents)
{
    this->startAll();
    this->startPeer(2, 1.0);
    this->startPeer(3, 1.0);
    ASSERT_TRUE(pumpUntil([this] {
        this->query();
        return this->gatheredByPeers() > 0;
    }));
    for (const int number : {1, 2, 3}) {
        EXPECT_EQ(this->counter(number, "ragwort_store_calls_total", "kind=\"list\""), 0);
        EXPECT_GE(this->counter(number, "ragwort_store_calls_total", "kind=\"stale-list\""), 1);
        EXPECT_EQ(this->counter(number, "ragwort_store_calls_total", "kind=\"write\""), 1);
    }
}

/// Guards against issue 38: an entry of another writer stood among the servers under a name with characters that mean something in a query.
/// Instances that were restarted meanwhile did not get through the list, or not to all servers in it.
TEST_F(RouteProcessTest, anInstanceThatRestartsServesAlthoughAnEntryHasAnOddName)
{
    this->startAll();
    int number = 1;
    for (const auto decoding : {FakeMetadataStore::QueryDecoding::url, FakeMetadataStore::QueryDecoding::form}) {
        for (const std::string name : {"a&b", "a+b", "a#b", "a%b", "%7Eb", "a b"}) {
            this->thread.call([&] {
                this->store->queryDecoding = decoding;
                // Each key is the last one of a page.
                this->store->pageSize = 1;
                this->store->put("servers/" + name, R"({"service":["s0"],"state":"resting"})");
            });
            this->startPeer(++number);
            const auto port = [number](int first) { return first + PORT_STRIDE_PER_INSTANCE * (number - 1); };
            EXPECT_TRUE(pumpUntil([&] { return statusOf(this->get(port(READY_PORT), "/readyz")) == 200; })) << name;
            const std::string answer = this->get(port(CALLERS_PORT), "/g/1", "id" + std::to_string(number));
            EXPECT_NE(answer.find("X-Missing-Parts: 0"), std::string::npos) << name << '\n' << answer;
            this->peers.clear();
            this->thread.call([&] { this->store->remove("servers/" + name); });
        }
    }
}

/// Guards against issue 38: a list whose pages did not advance was continued for ever, without a line in the log. It is begun anew, at the pace
/// of calls that fail, so that the instance is ready soon after the pages advance again.
TEST_F(RouteProcessTest, aListThatDoesNotAdvanceIsBegunAnew)
{
    this->startAll();
    const auto lists = [this] { return this->thread.call([this] { return this->store->lists; }); };
    const std::uint64_t before = this->thread.call([this] {
        this->store->faultMode = FakeMetadataStore::FaultMode::repeatsFirstPage;
        return this->store->lists;
    });
    this->startPeer(2);
    EXPECT_TRUE(pumpUntil([&] { return lists() >= before + 3; }));
    EXPECT_EQ(statusOf(this->get(READY_PORT + PORT_STRIDE_PER_INSTANCE, "/readyz")), 503);
    this->thread.call([this] { this->store->faultMode = FakeMetadataStore::FaultMode::none; });
    EXPECT_TRUE(pumpUntil([this] { return statusOf(this->get(READY_PORT + PORT_STRIDE_PER_INSTANCE, "/readyz")) == 200; }));
    const std::string answer = this->get(CALLERS_PORT + PORT_STRIDE_PER_INSTANCE, "/g/1");
    EXPECT_NE(answer.find("X-Missing-Parts: 0"), std::string::npos) << answer;
}

/// Guards against the cause of issue 38 in a header: an entry whose name ends the header field that names the server, and then adds a field or a
/// request of its own.
TEST_F(RouteProcessTest, theNameOfAnEntryAddsNothingToRequests)
{
    this->startAll();
    int version = 1;
    for (const std::string name : {"i-0c\r\nX-Injected: 1", "i-0c\r\n\r\nGET /injected HTTP/1.1\r\nX-Request-Id: x"}) {
        this->thread.call([&] {
            for (const char *serverId : {"i-0a", "i-0b"}) {
                this->store->remove(std::string("servers/") + serverId);
            }
            this->store->put("servers/" + name, entryText("s0", this->ports["i-0a"], "ready"));
        });
        // Changes are applied in the order of their revisions: when the new route answers, the odd entry has been read.
        const std::string newRoute = "/v" + std::to_string(++version) + '/';
        this->putRoutes(version, {"s0", "s1", "s2", "s3"}, newRoute);
        ASSERT_TRUE(pumpUntil([&] { return statusOf(this->get(CALLERS_PORT, newRoute + '1')) == 200; }));
        const std::uint64_t before = this->runs("i-0");
        const std::string answer = this->get(CALLERS_PORT, "/one/1");
        EXPECT_EQ(statusOf(answer), 503) << answer;
        EXPECT_EQ(this->runs("i-0"), before) << name;
        this->thread.call([&] {
            EXPECT_EQ(this->servers["i-0a"]->lastRequest.header("X-Injected"), "");
            EXPECT_NE(this->servers["i-0a"]->lastRequest.target, "/injected");
            this->store->remove("servers/" + name);
        });
    }
}

/// Guards against the cause of issue 38 on the metrics page: the name of a route ended its label and its line, so that the page could not be read.
TEST_F(RouteProcessTest, theNameOfARouteStaysInItsLabel)
{
    this->startAll();
    this->extraRouteName = "a\"} 7\nb\\c";
    this->putRoutes(2, {"s0", "s1", "s2", "s3"}, "/v2/");
    ASSERT_TRUE(pumpUntil([this] { return statusOf(this->get(CALLERS_PORT, "/v2/1")) == 200; }));
    const std::string metrics = this->get(METRICS_PORT, "/metrics");
    EXPECT_NE(metrics.find("kind=\"a\\\"} 7\\nb\\\\c\""), std::string::npos) << metrics;
}

/// An entry of another writer among those of the instances names an instance that can't be reached. The others start, and receive changes, without it.
TEST_F(RouteProcessTest, instancesServeAlthoughAnEntryOfAnInstanceIsOdd)
{
    this->startAll();
    this->thread.call([this] {
        this->store->pageSize = 1;
        this->store->put("ragwort/instances/a&b+c#d%41 e", R"({"domain":"a","peers":"no address?#%41&"})");
        this->store->put("ragwort/instances/0\r\nX-B: 1", R"({"domain":"a","peers":"127.0.0.1:99999","capacity":1e300})");
        this->store->put("ragwort/instances/", R"({"domain":"a\r\n","peers":"ws://[::"})");
        this->store->put("ragwort/instances/1", "\xff");
        this->store->put("ragwort/instances/2", R"({"domain":7,"peers":["x"],"capacity":"y"})");
    });
    this->startPeer(2);
    ASSERT_TRUE(pumpUntil([this] { return statusOf(this->get(READY_PORT + PORT_STRIDE_PER_INSTANCE, "/readyz")) == 200; }));
    this->putRoutes(2, {"s0", "s1", "s2", "s3"}, "/v2/");
    for (const int offset : {0, PORT_STRIDE_PER_INSTANCE}) {
        EXPECT_TRUE(pumpUntil([&] { return statusOf(this->get(CALLERS_PORT + offset, "/v2/1")) == 200; }));
        EXPECT_TRUE(pumpUntil([&] { return this->get(CALLERS_PORT + offset, "/g/1").find("X-Missing-Parts: 0") != std::string::npos; }));
    }
}

/// Only an id that no header can carry is refused: a server with any other one is used, and finds its id in the request as it is.
TEST_F(RouteProcessTest, anOddIdReachesItsServerAsItIs)
{
    static const std::string ODD_ID = "i 0&c+#%41;\"=,\\";
    this->startAll();
    this->thread.call([this] {
        this->store->remove("servers/i-0a");
        this->store->remove("servers/i-0b");
        this->store->put("servers/" + ODD_ID, entryText("s0", this->ports["i-0a"], "ready"));
    });
    this->putRoutes(2, {"s0", "s1", "s2", "s3"}, "/v2/");
    ASSERT_TRUE(pumpUntil([this] { return statusOf(this->get(CALLERS_PORT, "/v2/1")) == 200; }));
    EXPECT_EQ(statusOf(this->get(CALLERS_PORT, "/one/1")), 200);
    EXPECT_EQ(this->thread.call([this] { return std::string(this->servers["i-0a"]->lastRequest.header("X-Expect-Instance")); }), ODD_ID);
}

/// Guards against a restarted instance that uses a server which has left meanwhile, or routes that have been withdrawn.
TEST_F(RouteProcessTest, anInstanceThatRestartsReadsTheLatestContents)
{
    this->startAll();
    EXPECT_GE(this->counter(1, "ragwort_store_calls_total", "kind=\"list\""), 1);
    EXPECT_EQ(this->counter(1, "ragwort_store_calls_total", "kind=\"stale-list\""), 0);
}

TEST_F(DividedQueryTest, queriesGoOnWhenTheAggregatorsAreGone)
{
    this->startAll();
    this->startPeer(2, 1.0);
    this->startPeer(3, 1.0);
    ASSERT_TRUE(pumpUntil([this] {
        this->query();
        return this->gatheredByPeers() > 0;
    }));
    this->peers.clear();
    ASSERT_TRUE(pumpUntil([this] { return this->query().find("X-Missing-Parts: 0") != std::string::npos; }));
    for (int round = 0; round < 10; ++round) {
        EXPECT_EQ(statusOf(this->query()), 200);
    }
}

/// Guards against asan-watch-of-fake-store: a watch of the fake store that ends after the store was destroyed read freed memory.
TEST(FakeMetadataStoreTest, aWatchMayOutliveTheStore)
{
    LoopThread thread;
    std::unique_ptr<FakeMetadataStore> store;
    const Result<std::uint16_t> port = thread.call([&] {
        store = std::make_unique<FakeMetadataStore>(thread.loop);
        return store->listen();
    });
    ASSERT_TRUE(port);
    const RawSocket watcher(*port);
    watcher.send("GET /kv-watch?prefix=&after=1&wait_ms=100 HTTP/1.1\r\nHost: s\r\n\r\n");
    ASSERT_TRUE(eventually([&] { return thread.call([&] { return store->openWatches() == 1; }); }));
    thread.call([&] {
        store.reset();
        return 0;
    });
    // A timer that is set now and lasts longer than the wait fires after the watch's own.
    std::promise<void> waitIsOver;
    thread.loop.callAfter(std::chrono::milliseconds(200), [&waitIsOver] { waitIsOver.set_value(); });
    waitIsOver.get_future().wait();
}

TEST_F(RouteProcessTest, answers503WithRetryAfterBeforeFirstConfiguration)
{
    EXPECT_FALSE(this->ready());
    const std::string answer = this->get(CALLERS_PORT, "/g/1");
    EXPECT_EQ(statusOf(answer), 503);
    EXPECT_NE(answer.find("Retry-After"), std::string::npos);
}

TEST_F(RouteProcessTest, mergesAllShardsOnGatherRouteAndForwardsOnServiceRoute)
{
    this->startAll();
    const std::string merged = this->get(CALLERS_PORT, "/g/2?page=1", "abc");
    EXPECT_EQ(statusOf(merged), 200);
    EXPECT_NE(merged.find("X-Part-Stamps: "), std::string::npos);
    EXPECT_NE(merged.find(".abc"), std::string::npos);
    EXPECT_EQ(merged.substr(merged.find("\r\n\r\n") + 4).size(), 3U * 16U);
    const std::string single = this->get(CALLERS_PORT, "/one/2", "def");
    EXPECT_EQ(statusOf(single), 200);
    EXPECT_NE(single.find(".def"), std::string::npos);
    EXPECT_EQ(statusOf(this->get(CALLERS_PORT, "/none/2")), 404);
    EXPECT_NE(this->get(METRICS_PORT, "/metrics").find("ragwort_answers_total"), std::string::npos);
    EXPECT_EQ(this->thread.call([this] { return this->store->count("ragwort/instances/"); }), 1U);
}

TEST_F(RouteProcessTest, runsNonRepeatableRequestOnceWhenResponseIsLost)
{
    this->startAll();
    this->setFaultMode("i-0", FakeBackendServer::FaultMode::dropsConnection);
    const std::uint64_t before = this->runs("i-0");
    EXPECT_EQ(statusOf(this->get(CALLERS_PORT, "/once/1")), 502);
    EXPECT_EQ(this->runs("i-0"), before + 1);
    // A repeatable request is sent to both servers.
    EXPECT_EQ(statusOf(this->get(CALLERS_PORT, "/one/1")), 502);
    EXPECT_EQ(this->runs("i-0"), before + 3);
}

/// Guards against review/3: a request that crashes servers comes again at another instance, which did not know of the crashes.
TEST_F(RouteProcessTest, allInstancesRefuseARequestThatCrashesServers)
{
    this->startAll();
    this->startPeer(2);
    const int peerPort = CALLERS_PORT + PORT_STRIDE_PER_INSTANCE;
    ASSERT_TRUE(pumpUntil([&] { return statusOf(this->get(peerPort, "/one/1")) == 200; }));
    this->setFaultMode("i-0", FakeBackendServer::FaultMode::dropsConnection);
    ASSERT_TRUE(pumpUntil([this] { return this->get(CALLERS_PORT, "/one/9").find("refused-quarantined") != std::string::npos; }));
    ASSERT_TRUE(pumpUntil([this] { return this->counter(2, "ragwort_quarantined_contents") == 1; }));
    this->setFaultMode("i-0", FakeBackendServer::FaultMode::none);
    const std::uint64_t before = this->runs("i-0");
    for (const int port : {CALLERS_PORT, peerPort}) {
        const std::string refusal = this->get(port, "/one/9");
        EXPECT_EQ(statusOf(refusal), 503);
        EXPECT_NE(refusal.find("Retry-After"), std::string::npos);
    }
    EXPECT_EQ(this->runs("i-0"), before);
    EXPECT_EQ(statusOf(this->get(peerPort, "/one/10")), 200) << "another content is served";
}

TEST_F(RouteProcessTest, answers503WhenAllServersReportNotRun)
{
    this->startAll();
    this->setFaultMode("i-0", FakeBackendServer::FaultMode::shedsLoad);
    const std::string answer = this->get(CALLERS_PORT, "/once/1");
    EXPECT_EQ(statusOf(answer), 503);
    EXPECT_NE(answer.find("Retry-After"), std::string::npos);
}

TEST_F(RouteProcessTest, excludesInvalidShardResponsesFromMerge)
{
    this->startAll();
    for (const FakeBackendServer::FaultMode faultMode :
         {FakeBackendServer::FaultMode::mismatchedRequestId, FakeBackendServer::FaultMode::missingSignature, FakeBackendServer::FaultMode::serverError}) {
        this->setFaultMode("i-1", faultMode);
        const std::string answer = this->get(CALLERS_PORT, "/g/1");
        EXPECT_EQ(statusOf(answer), 200);
        EXPECT_NE(answer.find("X-Missing-Parts: 1"), std::string::npos);
        EXPECT_EQ(answer.find("another"), std::string::npos);
    }
}

/// Guards against the cause of issue 38 in an answer: a signature that holds a comma reads as two in the list of a merged response, which spoils
/// the parts of all other servers.
TEST_F(RouteProcessTest, aSignatureWithACommaIsNoPartOfAMerge)
{
    this->startAll();
    this->setFaultMode("i-1", FakeBackendServer::FaultMode::signatureWithComma);
    const std::string merged = this->get(CALLERS_PORT, "/g/1");
    EXPECT_EQ(statusOf(merged), 200);
    EXPECT_NE(merged.find("X-Missing-Parts: 1"), std::string::npos) << merged;
    EXPECT_EQ(merged.find("another"), std::string::npos) << merged;
    // The response of a single server is returned unchanged.
    this->setFaultMode("i-0", FakeBackendServer::FaultMode::signatureWithComma);
    const std::string single = this->get(CALLERS_PORT, "/one/1");
    EXPECT_EQ(statusOf(single), 200);
    EXPECT_NE(single.find(".id1, another\r\n"), std::string::npos) << single;
}

TEST_F(RouteProcessTest, appliesNewerRoutesAndIgnoresOlderOrUnreadableOnes)
{
    this->startAll();
    this->putRoutes(3, {"s0", "s1", "s2"}, "/extra/");
    ASSERT_TRUE(pumpUntil([this] { return statusOf(this->get(CALLERS_PORT, "/extra/1")) == 200; }));
    this->putRoutes(2, {"s0", "s1", "s2", "s3"});
    this->thread.call([this] {
        this->store->put("op/config", "not a configuration");
        return 0;
    });
    this->putRoutes(4, {"s0", "s1"}, "/other/");
    ASSERT_TRUE(pumpUntil([this] { return statusOf(this->get(CALLERS_PORT, "/other/1")) == 200; }));
    EXPECT_EQ(statusOf(this->get(CALLERS_PORT, "/extra/1")), 404);
}

TEST_F(RouteProcessTest, sendsNoRequestsToDrainingServer)
{
    this->startAll();
    this->thread.call([this] {
        this->store->put("servers/i-0a", entryText("s0", this->ports["i-0a"], "draining"));
        return 0;
    });
    // Changes are applied in the order of their revisions: when the new route answers, the server's new state has been applied.
    this->putRoutes(2, {"s0", "s1", "s2", "s3"}, "/extra/");
    ASSERT_TRUE(pumpUntil([this] { return statusOf(this->get(CALLERS_PORT, "/extra/1")) == 200; }));
    const std::uint64_t before = this->runs("i-0a");
    for (int query = 0; query < 20; ++query) {
        EXPECT_EQ(statusOf(this->get(CALLERS_PORT, "/one/1")), 200);
    }
    EXPECT_EQ(this->runs("i-0a"), before);
}

TEST_F(RouteProcessTest, servesDuringStoreOutageAndAppliesChangesAfterRecovery)
{
    this->startAll();
    this->thread.call([this] {
        this->store->faultMode = FakeMetadataStore::FaultMode::refusesRequests;
        this->store->compact();
        return 0;
    });
    for (int query = 0; query < 30; ++query) {
        EXPECT_EQ(statusOf(this->get(CALLERS_PORT, "/g/1")), 200);
    }
    this->thread.call([this] {
        this->store->faultMode = FakeMetadataStore::FaultMode::none;
        return 0;
    });
    this->putRoutes(2, {"s0", "s1", "s2", "s3"}, "/extra/");
    EXPECT_TRUE(pumpUntil([this] { return statusOf(this->get(CALLERS_PORT, "/extra/1")) == 200; }));
}

TEST_F(RouteProcessTest, twoOfFourInstancesWatchStoreAndAllApplyNewRoute)
{
    for (int number = 2; number <= 4; ++number) {
        this->startPeer(number);
    }
    this->startAll();
    const auto watches = [this] { return this->thread.call([this] { return this->store->openWatches(); }); };
    ASSERT_TRUE(pumpUntil([&watches] { return watches() == 2; })) << watches();
    this->putRoutes(2, {"s0", "s1", "s2", "s3"}, "/extra/");
    for (int number = 1; number <= 4; ++number) {
        const int port = CALLERS_PORT + PORT_STRIDE_PER_INSTANCE * (number - 1);
        EXPECT_TRUE(pumpUntil([this, port] { return statusOf(this->get(port, "/extra/1")) == 200; })) << number;
    }
    EXPECT_LE(watches(), 2U);
}

TEST_F(RouteProcessTest, servesOpenConnectionsDuringShutdownAndRequestsClose)
{
    this->startAll();
    RawSocket openConnection(CALLERS_PORT);
    bool stopped = false;
    this->process->shutDown([&stopped] { stopped = true; });
    EXPECT_FALSE(this->ready());
    openConnection.send("GET /one/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: k\r\nX-Deadline-Ms: 1000\r\n\r\n");
    const std::string answer = openConnection.readAll();
    EXPECT_EQ(statusOf(answer), 200);
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(pumpUntil([&stopped] { return stopped; }));
    EXPECT_EQ(this->thread.call([this] { return this->store->count("ragwort/instances/"); }), 0U);
}

/// Guards against invalid answers of a server in trouble, such as one with status 000 or a blank before the name of a field, that callers got as
/// they were.
TEST_F(RouteProcessTest, callersGetNoInvalidResponses)
{
    static const std::string SIGNED = "X-Server-Stamp: signature-of-s0\r\nContent-Length: 16\r\n";
    static const std::string BODY = "\r\nrecord-of-s0-abc";
    const std::vector<std::string> invalid = {
        "HTTP/1.1 000 Status\r\n" + SIGNED + BODY,
        "HTTP/1.1 100 Status\r\n" + SIGNED + BODY,
        "HTTP/1.1 999 Status\r\n" + SIGNED + BODY,
        "HTTP/1.1 200 OK\r\n" + SIGNED + "X A: 1\r\n" + BODY,
        "HTTP/1.1 200 OK\r\n" + SIGNED + "X-A : 1\r\n" + BODY,
        "HTTP/1.1 200 OK\r\n" + SIGNED + "X\x01: 1\r\n" + BODY,
        "HTTP/1.1 200 OK\r\n" + SIGNED + "X-A: 1\r\n X-B: 1\r\n" + BODY,
        "HTTP/1.1 200 OK\r\n" + SIGNED + "X-A: 1\r\n\tX-B: 1\r\n" + BODY,
    };
    this->startAll();
    int routesVersion = 1;
    for (const std::string &response : invalid) {
        SCOPED_TRACE(response);
        const RawResponseServer server(response);
        this->replaceServersOfS0(server, ++routesVersion);
        // Each request has a content of its own, so that none is refused for what the one before it did.
        for (const std::string prefix : {"/one/", "/once/"}) {
            const int before = server.requests;
            int sent = 0;
            EXPECT_TRUE(pumpUntil([&] {
                this->expectOwnAnswer(prefix + std::to_string(++sent), server);
                return server.requests > before;
            })) << prefix;
        }
        const std::string merged = this->get(CALLERS_PORT, "/g/1");
        EXPECT_EQ(statusOf(merged), 200);
        EXPECT_NE(merged.find("X-Missing-Parts: 1"), std::string::npos) << merged;
        EXPECT_EQ(merged.find("of-s0"), std::string::npos) << merged;
    }
}

} // namespace ragwort::platform
