/// \file
/// Tests the order of a route control's calls to the metadata store, which the test answers one by one.
#include "ragwortcart/Runtime/RouteControl.h"

#include "ragwortcart/Wire/PeerCodec.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <chrono>
#include <gtest/gtest.h>
#include <optional>
#include <vector>

namespace ragwort {

using std::chrono::milliseconds;

namespace {

/// Time within which a call that is due is made. Only a test that fails waits for so long.
constexpr milliseconds CALL_WAIT = std::chrono::seconds(10);
/// More than the pause before a failed call of the own entry is repeated.
constexpr milliseconds ENTRY_RETRY_WAIT = milliseconds(1500);

/// Keeps the calls until the test answers them.
class ScriptedStore : public MetadataStore
{
public:
    struct List
    {
        Instant madeAt{};
        std::function<void(Result<StorePage>)> callback;
    };
    struct Watch
    {
        StorePosition position;
        std::function<void(Result<StoreEvents>)> callback;
    };
    struct Put
    {
        LeaseId lease = 0;
        std::function<void(Result<StorePosition>)> callback;
    };

    void setEpochObserver(std::function<void(StoreEpoch)> observer) override
    {
        this->stateEpoch = std::move(observer);
    }
    void readRange(const std::string &, const std::string &, ReadConsistency, std::function<void(Result<StorePage>)> callback) override
    {
        this->lists.push_back({.madeAt = steadyNow(), .callback = std::move(callback)});
    }
    void watch(const std::string &, StorePosition position, Duration, std::function<void(Result<StoreEvents>)> callback) override
    {
        this->watches.push_back({.position = position, .callback = std::move(callback)});
    }
    void grantLease(Duration, std::function<void(Result<StoreLease>)> callback) override
    {
        this->grants.push_back(std::move(callback));
    }
    void renewLease(LeaseId, std::function<void(Result<StoreLease>)>) override
    {
    }
    void endLease(LeaseId) override
    {
    }
    void put(const std::string &, const QByteArray &, LeaseId lease, std::function<void(Result<StorePosition>)> callback) override
    {
        this->puts.push_back({.lease = lease, .callback = std::move(callback)});
    }

    /// Answers a list with a single page.
    void answerList(std::size_t index, StorePosition position, std::vector<StoreItem> items = {})
    {
        this->stateEpoch(position.epoch);
        this->lists.at(index).callback(StorePage{.items = std::move(items), .hasMore = false, .position = position});
    }
    void answerGrant(std::size_t index, LeaseId lease, StoreEpoch epoch)
    {
        this->stateEpoch(epoch);
        this->grants.at(index)(StoreLease{.id = lease, .lifetime = std::chrono::seconds(30), .epoch = epoch});
    }
    void answerPut(std::size_t index, StorePosition position)
    {
        this->stateEpoch(position.epoch);
        this->puts.at(index).callback(position);
    }

    std::function<void(StoreEpoch)> stateEpoch;
    std::vector<List> lists;
    std::vector<Watch> watches;
    std::vector<std::function<void(Result<StoreLease>)>> grants;
    std::vector<Put> puts;
};

/// Each item is an instance, with its address as the value.
class InstanceFormat : public StoreFormat
{
public:
    PlatformItem decode(std::string_view key, const QByteArray &value) const override
    {
        return InstanceItem{.name = std::string(key), .domain = "a", .peerAddress = value.toStdString(), .capacity = 8.0};
    }
    PlatformRemoval decodeRemoval(std::string_view) const override
    {
        return UnrelatedItem{};
    }
    std::string instanceKey(std::string_view instance) const override
    {
        return std::string(instance);
    }
    QByteArray encodeInstance(const InstanceItem &) const override
    {
        return {};
    }
};

/// A single instance without links.
class RouteControlTest : public testing::Test
{
protected:
    void SetUp() override
    {
        static int count = 1;
        static char name[] = "test";
        static char *arguments[] = {name, nullptr};
        static const QCoreApplication APPLICATION(count, arguments);
        this->control = std::make_unique<RouteControl>(RouteControl::Options{.instance = "i1",
                                                                             .domain = "a",
                                                                             .peersAddress = this->peersAddress(),
                                                                             .store = this->store,
                                                                             .format = this->format,
                                                                             .configuration = this->configuration,
                                                                             .topology = this->topology,
                                                                             .crashEvidence = this->crashEvidence,
                                                                             .metrics = this->metrics,
                                                                             .extraLoad = {},
                                                                             .registry = {},
                                                                             .onPartialQueryMessage = [](const std::string &, const std::string &) {},
                                                                             .onPeerLink = [](const std::string &, bool) {},
                                                                             .onRoutes = [](const RouteTable &) {}});
        this->control->start();
        ASSERT_EQ(this->store.lists.size(), 1U);
        ASSERT_EQ(this->store.grants.size(), 1U);
    }

    /// Returns the address for links from peers; empty for none.
    virtual std::string peersAddress() const
    {
        return {};
    }

    static void pumpFor(milliseconds time)
    {
        QElapsedTimer timer;
        timer.start();
        while (timer.elapsed() < time.count()) {
            QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 10);
        }
    }

    /// Runs the event loop until \p calls are made in all.
    template <typename Calls>
    static bool awaitCalls(const Calls &calls, std::size_t number)
    {
        QElapsedTimer timer;
        timer.start();
        while (calls.size() < number && timer.elapsed() < CALL_WAIT.count()) {
            QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
        }
        return calls.size() == number;
    }

    ScriptedStore store;
    InstanceFormat format;
    RcuValue<Configuration> configuration{std::make_shared<Configuration>()};
    RcuValue<Topology> topology{std::make_shared<Topology>()};
    CrashEvidence crashEvidence;
    MetricsRegistry metrics;
    std::unique_ptr<RouteControl> control;
};

/// A follower that has links. Its relays run in the test.
class RouteControlLinkTest : public RouteControlTest
{
protected:
    std::string peersAddress() const override
    {
        return "127.0.0.1:18951";
    }

    void TearDown() override
    {
        this->control->stopLinks();
    }
};

} // namespace

/// Guards against an instance that starts while the store is restored and watches it without any contents, because its first list was answered before.
TEST_F(RouteControlTest, aFirstListOfAnEarlierEpochIsAskedForAgain)
{
    this->store.answerGrant(0, 7, 2);
    this->store.answerList(0, {.epoch = 1, .revision = 40});
    ASSERT_TRUE(this->awaitCalls(this->store.lists, 2));
    EXPECT_TRUE(this->store.watches.empty());
    this->store.answerList(1, {.epoch = 2, .revision = 30});
    ASSERT_TRUE(this->awaitCalls(this->store.watches, 1));
    EXPECT_EQ(this->store.watches.front().position, (StorePosition{.epoch = 2, .revision = 30}));
}

/// Guards against a store that answers with a lower revision of the same epoch than before, and is then listed and watched by each instance without a
/// pause and without end.
TEST_F(RouteControlTest, aStoreThatGoesBackWithinAnEpochIsListedLessAndLessOften)
{
    this->store.answerList(0, {.epoch = 2, .revision = 30});
    ASSERT_TRUE(this->awaitCalls(this->store.watches, 1));
    this->pumpFor(milliseconds(5));
    this->store.watches.front().callback(Error{.code = Errc::historyGone, .step = "store-watch", .peer = {}, .detail = {}});
    for (std::size_t number = 2; number <= 6; ++number) {
        ASSERT_TRUE(this->awaitCalls(this->store.lists, number));
        this->store.answerList(number - 1, {.epoch = 2, .revision = 20});
    }
    EXPECT_GE(this->store.lists.at(5).madeAt - this->store.lists.at(4).madeAt, milliseconds(300));
    EXPECT_EQ(this->store.watches.size(), 1U);
}

/// Guards against the same for a store whose lists are taken and whose watches are always refused, as its history is too short.
TEST_F(RouteControlTest, aStoreWithoutTheHistoryThatItsListsNameIsListedLessAndLessOften)
{
    this->store.answerList(0, {.epoch = 2, .revision = 30});
    for (std::size_t number = 2; number <= 6; ++number) {
        ASSERT_TRUE(this->awaitCalls(this->store.watches, number - 1));
        this->store.watches.back().callback(Error{.code = Errc::historyGone, .step = "store-watch", .peer = {}, .detail = {}});
        ASSERT_TRUE(this->awaitCalls(this->store.lists, number));
        this->store.answerList(number - 1, {.epoch = 2, .revision = 30});
    }
    EXPECT_GE(this->store.lists.at(5).madeAt - this->store.lists.at(4).madeAt, milliseconds(300));
}

/// Guards against the same for a store that states two epochs by turns: each list is refuted by the next answer.
TEST_F(RouteControlTest, aStoreThatStatesTwoEpochsByTurnsIsListedWithPauses)
{
    this->store.answerList(0, {.epoch = 2, .revision = 30});
    for (std::size_t number = 2; number <= 4; ++number) {
        ASSERT_TRUE(this->awaitCalls(this->store.watches, number - 1));
        this->store.stateEpoch(3);
        ASSERT_TRUE(this->awaitCalls(this->store.lists, number));
        this->pumpFor(milliseconds(5));
        this->store.answerList(number - 1, {.epoch = 2, .revision = 30});
    }
    EXPECT_GE(this->store.lists.at(3).madeAt - this->store.lists.at(2).madeAt, milliseconds(800));
}

/// Guards against a follower that watches the store itself, hears of a later epoch from a peer that cannot send its contents, and reads them only when its
/// watch has ended.
TEST_F(RouteControlLinkTest, aFollowerThatHasHeardOfALaterEpochDoesNotWaitForItsWatch)
{
    PeerLinks relay({.instance = "i2", .address = "127.0.0.1:18952"},
                    {.onPeerConnected = [](const std::string &) {},
                     .onPeerDisconnected = [](const std::string &) {},
                     .onMessage = [](const std::string &, const std::string &) {}});
    ASSERT_EQ(relay.start(), "");
    this->store.answerList(0,
                           {.epoch = 2, .revision = 30},
                           {{.key = "i2", .value = "127.0.0.1:18952", .revision = 20}, {.key = "i3", .value = "127.0.0.1:18953", .revision = 30}});
    ASSERT_TRUE(this->awaitCalls(this->store.watches, 1));
    ASSERT_EQ(this->store.lists.size(), 1U);
    QTimer digests;
    QObject::connect(&digests, &QTimer::timeout, [&relay] {
        relay.send("i1", encodePeerMessage(PeerStoreDigest{.position = {.epoch = 3, .revision = 10}, .distance = STORE_UNREACHABLE}));
    });
    digests.start(100);
    EXPECT_TRUE(this->awaitCalls(this->store.lists, 2));
    relay.stop();
}

/// Guards against two leases at a time, one of which expires later on with the entry: an answer about the entry of an earlier epoch arrived late.
TEST_F(RouteControlTest, aLateAnswerAboutTheEntryOfAnEarlierEpochBeginsNoSecondLease)
{
    this->store.answerGrant(0, 7, 1);
    this->store.answerList(0, {.epoch = 1, .revision = 40});
    ASSERT_EQ(this->store.puts.size(), 1U);
    this->store.stateEpoch(2);
    ASSERT_TRUE(this->awaitCalls(this->store.grants, 2));
    this->store.puts.front().callback(Error{.code = Errc::notFound, .step = "store-put", .peer = {}, .detail = {}});
    this->store.answerGrant(1, 8, 2);
    ASSERT_EQ(this->store.puts.size(), 2U);
    EXPECT_EQ(this->store.puts.back().lease, 8U);
    this->store.answerPut(1, {.epoch = 2, .revision = 31});
    this->pumpFor(ENTRY_RETRY_WAIT);
    EXPECT_EQ(this->store.grants.size(), 2U);
}

/// Guards against the same when the lost lease and the new one have the same number, as the restored store gives numbers out again.
TEST_F(RouteControlTest, aLeaseWithTheNumberOfTheLostOneIsNotTakenForIt)
{
    this->store.answerGrant(0, 7, 1);
    this->store.answerList(0, {.epoch = 1, .revision = 40});
    ASSERT_EQ(this->store.puts.size(), 1U);
    this->store.stateEpoch(2);
    ASSERT_TRUE(this->awaitCalls(this->store.grants, 2));
    this->store.answerGrant(1, 7, 2);
    ASSERT_EQ(this->store.puts.size(), 2U);
    this->store.puts.front().callback(Error{.code = Errc::timeout, .step = "store-put", .peer = {}, .detail = {}});
    this->store.answerPut(1, {.epoch = 2, .revision = 31});
    this->pumpFor(ENTRY_RETRY_WAIT);
    EXPECT_EQ(this->store.grants.size(), 2U);
}

/// Guards against an instance that starts while the store is restored and whose entry is lost for good if the number of its lease is given out again.
TEST_F(RouteControlTest, anEntryThatWasWrittenBeforeTheFirstListIsWrittenAgain)
{
    this->store.answerGrant(0, 7, 1);
    ASSERT_EQ(this->store.puts.size(), 1U);
    this->store.answerPut(0, {.epoch = 1, .revision = 41});
    this->store.answerList(0, {.epoch = 2, .revision = 30});
    ASSERT_TRUE(this->awaitCalls(this->store.grants, 2));
    this->store.answerGrant(1, 8, 2);
    ASSERT_EQ(this->store.puts.size(), 2U);
    EXPECT_EQ(this->store.puts.back().lease, 8U);
}

} // namespace ragwort
