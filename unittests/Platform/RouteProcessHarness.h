/// \file
/// The fixture of the end-to-end tests on the users' platform: an entry instance with all its threads between callers and platform fakes.
#ifndef RAGWORTCART_UNITTESTS_PLATFORM_ROUTEPROCESSHARNESS_H
#define RAGWORTCART_UNITTESTS_PLATFORM_ROUTEPROCESSHARNESS_H

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

inline constexpr int CALLERS_PORT = 18801;
inline constexpr int READY_PORT = 18802;
inline constexpr int METRICS_PORT = 18803;
inline constexpr int PEERS_PORT = 18804;
/// Offset between the ports of consecutive instances.
inline constexpr int PORT_STRIDE_PER_INSTANCE = 10;

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
                                                                                          .firstStart = this->firstStart(),
                                                                                          .removalGrace = this->removalGrace(),
                                                                                          .serverSilence = this->serverSilence()},
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

    /// How long the instances believe what a restored store has lost, and doubt servers that it has brought back.
    virtual Duration removalGrace() const
    {
        return RouteProcessSettings().removalGrace;
    }
    virtual Duration serverSilence() const
    {
        return RouteProcessSettings().serverSilence;
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
                                                                                         .firstStart = this->firstStart(),
                                                                                         .removalGrace = this->removalGrace(),
                                                                                         .serverSilence = this->serverSilence()},
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

} // namespace ragwort::platform

#endif
