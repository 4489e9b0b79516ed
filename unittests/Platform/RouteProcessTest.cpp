/// \file
/// End-to-end tests on the users' platform: an entry instance with all its threads between callers and platform fakes.
#include "RouteProcessHarness.h"

namespace ragwort::platform {

namespace {

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

/// Guards against the answer with status 000 of a server in trouble on the way over an aggregator: it counted as a part, or as the reply itself.
TEST_F(DividedQueryTest, aStatusThatDoesNotExistReachesNoCallerThroughAnAggregator)
{
    this->startAll();
    this->startPeer(2, 1.0);
    this->startPeer(3, 1.0);
    int routesVersion = 1;
    for (const std::string status : {"000", "0", "099", "100", "199", "600", "999", "0x0", ""}) {
        SCOPED_TRACE(status);
        const RawResponseServer server("HTTP/1.1 " + status + " Status\r\nX-Server-Stamp: signature-of-s0\r\nContent-Length: 16\r\n\r\nrecord-of-s0-abc");
        this->replaceServersOfS0(server, ++routesVersion);
        const int gatheredBefore = this->gatheredByPeers();
        const int requestsBefore = server.requests;
        // The instances learn of the new server one after the other.
        EXPECT_TRUE(pumpUntil([&] {
            const std::string answer = this->query();
            EXPECT_EQ(statusOf(answer), 200) << answer;
            EXPECT_EQ(answer.find("of-s0"), std::string::npos) << answer;
            const bool leftOut = answer.find("X-Missing-Parts: 1") != std::string::npos;
            return leftOut && this->gatheredByPeers() > gatheredBefore && server.requests > requestsBefore;
        }));
    }
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
        "HTTP/1.1 0 Status\r\n" + SIGNED + BODY,
        "HTTP/1.1 099 Status\r\n" + SIGNED + BODY,
        "HTTP/1.1 100 Status\r\n" + SIGNED + BODY,
        "HTTP/1.1 199 Status\r\n" + SIGNED + BODY,
        "HTTP/1.1 600 Status\r\n" + SIGNED + BODY,
        "HTTP/1.1 0x0 Status\r\n" + SIGNED + BODY,
        "HTTP/1.1  Status\r\n" + SIGNED + BODY,
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
