#include "ragwortcart/Runtime/EntryProcess.h"
#include "Wire/LoopThread.h"
#include "ragwortcart/Emulator/FakeBackend.h"
#include "ragwortcart/Emulator/FakePlatform.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <atomic>
#include <gtest/gtest.h>

namespace ragwort {

/// Port of the emulated platform. The next port controls the emulated backend servers.
static constexpr int PORT = 18500;

static const char *const FLEET = "[fleet]\nteam = t\ndomains = a, b\n"
                                 "[entry]\ninstances = 2\nbase_port = 18510\n"
                                 "[group.g]\nservices = 3\nservers_per_service = 2\nslots = 8\nconnections = 40\nconnect_time = 1ms\n"
                                 "service_time = 1ms\nbase_port = 18550\ndocuments = 60\n";

/// Runs two entry instances with all their threads in this process, against emulators on separate threads.
class EntryProcessTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        static int count = 1;
        static char name[] = "test";
        static char *arguments[] = {name, nullptr};
        static const QCoreApplication APPLICATION(count, arguments);
        initializeLog("test", "all", LogLevel::error);
        Settings settings = Settings::fromText("fleet", FLEET);
        this->plan = FleetPlan::read(settings);
        ASSERT_TRUE(settings.finish().empty());
        const Result<std::uint16_t> platformPort = this->platformThread.call([this] {
            this->platform = std::make_unique<FakePlatform>(this->platformThread.loop, address(0), this->plan);
            return this->platform->listen();
        });
        const Result<std::uint16_t> backendPort = this->backendThread.call([this] {
            this->backend
                = std::make_unique<FakeBackendFleet>(this->backendThread.loop, FakeBackendFleet::Options{.plan = this->plan, .controlAddress = address(1)});
            return this->backend->start();
        });
        ASSERT_TRUE(platformPort && backendPort);
        this->configure();
        for (const PlannedEntryInstance &planned : this->plan.entryInstances) {
            EntrySettings entry{.instance = planned.id,
                                .domain = planned.domain,
                                .callersAddress = planned.callerAddress,
                                .operatorsAddress = planned.operatorAddress,
                                .peersAddress = planned.peerAddress,
                                .platformAddress = address(0),
                                .workerCount = 3,
                                .drainDelay = std::chrono::milliseconds(50),
                                .drainTimeout = std::chrono::seconds(20)};
            this->entries.push_back(std::make_unique<EntryProcess>(entry));
            ASSERT_TRUE(this->entries.back()->start());
        }
        // The fleet plan places the operator endpoints 100 ports above the callers' ports.
        ASSERT_TRUE(this->pumpUntil([this] { return get(18610, "/readyz") == 200 && get(18611, "/readyz") == 200; }));
    }

    void TearDown() override
    {
        this->entries.clear();
        this->platformThread.call([this] { this->platform.reset(); });
        this->backendThread.call([this] {
            this->backend->stop();
            this->backend.reset();
        });
    }

    static std::string address(int offset)
    {
        return "127.0.0.1:" + std::to_string(PORT + offset);
    }

    void configure()
    {
        TeamConfiguration team{.name = "t", .sequence = 1, .kinds = {}, .groups = {}};
        team.groups.push_back({.name = "g", .services = 3, .serversPerService = 2, .slots = 8, .connections = 40});
        team.kinds.push_back({.name = "s", .group = "g", .urgency = Urgency::urgent, .maximumDeadline = std::chrono::seconds(20)});
        team.kinds.push_back({.name = "act", .group = "g", .repeatable = false, .maximumDeadline = std::chrono::seconds(20)});
        PlatformClient client({.address = address(0)});
        int written = 0;
        const auto count = [&written](StoreWriteOutcome outcome) { written += outcome == StoreWriteOutcome::written ? 1 : 0; };
        client.write("ragwort/config/team.t", encodeTeam(team), 0, count);
        client.write("ragwort/config/tier", encodeTier({.sequence = 1, .maximumInstances = 2}), 0, count);
        ASSERT_TRUE(this->pumpUntil([&written] { return written == 2; }));
    }

    /// Runs the Qt event loop until \p condition holds.
    template <typename Condition>
    bool pumpUntil(Condition condition)
    {
        QElapsedTimer timer;
        timer.start();
        while (!condition()) {
            QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
            if (timer.elapsed() > 60'000) {
                return false;
            }
        }
        return true;
    }

    static int get(int port, const std::string &path)
    {
        const RawSocket socket(static_cast<std::uint16_t>(port));
        socket.send("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        const std::string answer = socket.readAll();
        return answer.size() > 12 ? std::atoi(answer.c_str() + 9) : 0;
    }

    static std::string post(int port, const std::string &target, const std::string &text, const std::string &key)
    {
        const std::string body = R"({"query":")" + text + "\"}";
        const RawSocket socket(static_cast<std::uint16_t>(port));
        socket.send("POST " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nRagwort-Deadline-Ms: 20000\r\nIdempotency-Key: " + key
                    + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        return socket.readAll();
    }

    LoopThread platformThread;
    LoopThread backendThread;
    FleetPlan plan;
    std::unique_ptr<FakePlatform> platform;
    std::unique_ptr<FakeBackendFleet> backend;
    std::vector<std::unique_ptr<EntryProcess>> entries;
};

TEST_F(EntryProcessTest, servesConcurrentCallersOnTwoInstancesAndShutsDownGracefully)
{
    static constexpr int CALLERS = 6;
    static constexpr int REQUESTS = 30;
    std::atomic<int> fullAnswers{0};
    std::atomic<int> actionsRun{0};
    std::atomic<int> finished{0};
    std::vector<std::thread> callers;
    for (int caller = 0; caller < CALLERS; ++caller) {
        callers.emplace_back([&, caller] {
            for (int number = 0; number < REQUESTS; ++number) {
                const int port = 18510 + (caller + number) % 2;
                const std::string answer = post(port, "/v1/teams/t/search/s", "text " + std::to_string(number % 10), "");
                fullAnswers += answer.find(" 200 OK") != std::string::npos && answer.find("\"fraction\":1") != std::string::npos ? 1 : 0;
                get(18610 + number % 2, number % 3 == 0 ? "/state" : "/metrics");
            }
            const std::string action = post(18510 + caller % 2, "/v1/teams/t/actions/act", "swap", "key-" + std::to_string(caller));
            actionsRun += action.find("\"run\":\"ran\"") != std::string::npos ? 1 : 0;
            ++finished;
        });
    }
    EXPECT_TRUE(this->pumpUntil([&finished] { return finished == CALLERS; }));
    for (std::thread &caller : callers) {
        caller.join();
    }
    EXPECT_EQ(fullAnswers, CALLERS * REQUESTS);
    EXPECT_EQ(actionsRun, CALLERS);
    int stopped = 0;
    for (const auto &entry : this->entries) {
        entry->shutDown([&stopped] { ++stopped; });
    }
    EXPECT_TRUE(this->pumpUntil([&stopped] { return stopped == 2; }));
}

/// A timer of the emulated platform that outlives it would access freed memory; AddressSanitizer reports that.
TEST(FakePlatformTest, destroyedPlatformRunsNoTimer)
{
    Settings settings = Settings::fromText("fleet", FLEET);
    const FleetPlan plan = FleetPlan::read(settings);
    LoopThread thread;
    thread.call([&thread, &plan] { FakePlatform(thread.loop, "127.0.0.1:0", plan).listen(); });
    std::atomic<bool> timerTimePassed{false};
    thread.call([&] { thread.loop.callAfter(std::chrono::milliseconds(300), [&timerTimePassed] { timerTimePassed = true; }); });
    EXPECT_TRUE(eventually([&timerTimePassed] { return timerTimePassed.load(); }));
}

} // namespace ragwort
