/// \file
/// End-to-end tests of instances whose metadata store comes back from an older copy, or reads from one.
#include "RouteProcessHarness.h"

namespace ragwort::platform {

namespace {

/// All changes that a test makes between `keepCopy()` and `restoreCopy()` are lost.
class RestoredStoreTest : public RouteProcessTest
{
protected:
    /// Loses \p changes changes of the store and makes the same number again, of other keys, so that the store is beyond its last revision when the
    /// instances ask again.
    void loseChanges(int changes)
    {
        this->thread.call([&] {
            this->store->keepCopy();
            for (int index = 0; index < changes; ++index) {
                this->store->put("other/lost" + std::to_string(index), "1");
            }
        });
        pumpUntil([this] { return this->thread.call([this] { return this->store->openWatches() > 0; }); });
    }

    bool serves(int port, const std::string &target)
    {
        return pumpUntil([&] { return statusOf(this->get(port, target, "id" + std::to_string(++this->requests))) == 200; });
    }

    /// Starts a third server of service s0, in failure domain "b".
    void startThirdServer()
    {
        this->thread.call([this] {
            auto server = std::make_unique<FakeBackendServer>(this->thread.loop, "i-0c");
            const Result<std::uint16_t> port = server->listen();
            std::string text = entryText("s0", *port, "ready");
            text.replace(text.find(R"("zone":"a")"), std::string(R"("zone":"a")").size(), R"("zone":"b")");
            this->store->put("servers/i-0c", text);
            this->servers["i-0c"] = std::move(server);
        });
    }

    void startThree()
    {
        this->startThirdServer();
        this->startAll();
        this->startPeer(2);
        this->startPeer(3);
        ASSERT_TRUE(this->allServe("/one/1"));
    }

    /// Waits until all three instances serve \p target.
    bool allServe(const std::string &target)
    {
        bool all = true;
        for (int number = 1; number <= 3; ++number) {
            all = all && this->serves(callersPort(number), target);
        }
        return all;
    }

    /// Goes back to the copy and waits until all three instances have its contents.
    void restore(int epoch)
    {
        this->thread.call([this] { this->store->restoreCopy(); });
        for (int number = 1; number <= 3; ++number) {
            ASSERT_TRUE(pumpUntil([&] { return this->counter(number, "ragwort_store_epoch") == epoch; }));
        }
    }

    /// Sends requests to service s0 through each of the three instances. Returns the number of those that were served.
    int sendToAll(int rounds)
    {
        int served = 0;
        for (int index = 0; index < rounds * 3; ++index) {
            const std::string id = "all" + std::to_string(++this->requests);
            served += statusOf(this->get(callersPort(index % 3 + 1), "/one/1", id)) == 200 ? 1 : 0;
        }
        return served;
    }

    static int callersPort(int number)
    {
        return CALLERS_PORT + PORT_STRIDE_PER_INSTANCE * (number - 1);
    }

    int requests = 0;
};

/// What the store has lost is believed for longer than the test runs, so that it does not depend on the speed of the machine.
class BelievingTest : public RestoredStoreTest
{
protected:
    Duration removalGrace() const override
    {
        return std::chrono::hours(1);
    }
    Duration serverSilence() const override
    {
        return std::chrono::hours(1);
    }
};

/// A fleet that starts for the first time, whose first list may be stale.
class StaleReadTest : public RestoredStoreTest
{
protected:
    bool firstStart() const override
    {
        return true;
    }
};

} // namespace

/// Guards against issue 41: the store came back from an older copy and gave out a revision again, for a new version of the routes. The instance
/// watched from the revision before and never learned that version: 404 on its new route.
TEST_F(RestoredStoreTest, aVersionWithARevisionThatIsGivenOutAgainComesIntoForce)
{
    this->startAll();
    this->startPeer(2);
    ASSERT_TRUE(this->serves(CALLERS_PORT + PORT_STRIDE_PER_INSTANCE, "/one/1"));
    this->loseChanges(3);
    this->thread.call([this] { this->store->restoreCopy(); });
    this->putRoutes(2, {"s0", "s1", "s2", "s3"}, "/added/");
    this->thread.call([this] {
        for (int index = 0; index < 6; ++index) {
            this->store->put("other/again" + std::to_string(index), "1");
        }
    });
    EXPECT_TRUE(this->serves(CALLERS_PORT, "/added/1"));
    EXPECT_TRUE(this->serves(CALLERS_PORT + PORT_STRIDE_PER_INSTANCE, "/added/1"));
}

/// Guards against issue 41: the store came back from a copy further behind. The instance took every list for an outdated one, and learned nothing
/// any more.
TEST_F(RestoredStoreTest, aListWithALowerRevisionOfALaterEpochIsTaken)
{
    this->startAll();
    this->loseChanges(40);
    this->thread.call([this] { this->store->restoreCopy(); });
    this->putRoutes(2, {"s0", "s1", "s2", "s3"}, "/added/");
    EXPECT_TRUE(this->serves(CALLERS_PORT, "/added/1"));
    this->putRoutes(3, {"s0", "s1", "s2", "s3"}, "/later/");
    EXPECT_TRUE(this->serves(CALLERS_PORT, "/later/1"));
}

/// Guards against the same in a store that does not say that it has been restored: its revisions go back.
TEST_F(RestoredStoreTest, aListWithALowerRevisionIsTakenFromAStoreThatStatesNoEpoch)
{
    this->thread.call([this] { this->store->statedEpoch.clear(); });
    this->startAll();
    this->startPeer(2);
    ASSERT_TRUE(this->serves(CALLERS_PORT + PORT_STRIDE_PER_INSTANCE, "/one/1"));
    this->loseChanges(40);
    this->thread.call([this] { this->store->restoreCopy(); });
    this->putRoutes(2, {"s0", "s1", "s2", "s3"}, "/added/");
    EXPECT_TRUE(this->serves(CALLERS_PORT, "/added/1"));
    EXPECT_TRUE(this->serves(CALLERS_PORT + PORT_STRIDE_PER_INSTANCE, "/added/1"));
}

/// Guards against a store whose answers name an epoch that is no number: it counts as one that states none.
TEST_F(RestoredStoreTest, anEpochThatIsNoNumberStopsNothing)
{
    this->thread.call([this] { this->store->statedEpoch = "seven"; });
    this->startAll();
    this->putRoutes(2, {"s0", "s1", "s2", "s3"}, "/added/");
    EXPECT_TRUE(this->serves(CALLERS_PORT, "/added/1"));
}

/// Guards against instances that learn nothing any more from a store that states a lower epoch than before, or once one that it does not have.
TEST_F(RestoredStoreTest, aStoreWhoseEpochIsLowerThanBeforeIsFollowed)
{
    this->thread.call([this] { this->store->statedEpoch = "9223372036854775808"; });
    this->startAll();
    this->startPeer(2);
    ASSERT_TRUE(this->serves(CALLERS_PORT + PORT_STRIDE_PER_INSTANCE, "/one/1"));
    this->thread.call([this] { this->store->statedEpoch = "3"; });
    this->putRoutes(2, {"s0", "s1", "s2", "s3"}, "/added/");
    EXPECT_TRUE(this->serves(CALLERS_PORT, "/added/1"));
    EXPECT_TRUE(this->serves(CALLERS_PORT + PORT_STRIDE_PER_INSTANCE, "/added/1"));
    this->putRoutes(3, {"s0", "s1", "s2", "s3"}, "/later/");
    EXPECT_TRUE(this->serves(CALLERS_PORT, "/later/1"));
    EXPECT_TRUE(this->serves(CALLERS_PORT + PORT_STRIDE_PER_INSTANCE, "/later/1"));
}

/// Guards against a version that goes back when the store does.
TEST_F(RestoredStoreTest, aVersionThatTheStoreHasLostStaysInForce)
{
    this->startAll();
    this->thread.call([this] { this->store->keepCopy(); });
    this->putRoutes(2, {"s0", "s1", "s2", "s3"}, "/added/");
    ASSERT_TRUE(this->serves(CALLERS_PORT, "/added/1"));
    this->thread.call([this] { this->store->restoreCopy(); });
    ASSERT_TRUE(pumpUntil([this] { return this->counter(1, "ragwort_store_epochs_total") == 1; }));
    for (int round = 0; round < 20; ++round) {
        EXPECT_EQ(statusOf(this->get(CALLERS_PORT, "/added/1", "round" + std::to_string(round))), 200);
    }
}

/// Guards against an instance whose entry the store has lost with its lease, and that the others then count as gone.
TEST_F(RestoredStoreTest, theOwnEntryIsWrittenAgain)
{
    this->thread.call([this] { this->store->keepCopy(); });
    this->startAll();
    const auto entries = [this] { return this->thread.call([this] { return this->store->count("ragwort/instances/"); }); };
    ASSERT_TRUE(pumpUntil([&] { return entries() == 1; }));
    this->thread.call([this] { this->store->restoreCopy(); });
    EXPECT_TRUE(pumpUntil([&] { return entries() == 1; }));
}

/// Guards against requests to servers whose statement that they drain was lost with the store's last seconds: at instances that list the store and at
/// one that gets its contents from a peer.
TEST_F(RestoredStoreTest, aServerThatDrainedGetsNothingAfterTheRestore)
{
    this->startThree();
    this->thread.call([this] {
        this->store->keepCopy();
        for (const char *id : {"i-0a", "i-0b"}) {
            this->store->put(std::string("servers/") + id, entryText("s0", this->ports[id], "draining"));
        }
    });
    // Changes are applied in their order: the drains are known when the new route answers.
    this->putRoutes(2, {"s0", "s1", "s2", "s3"}, "/added/");
    ASSERT_TRUE(this->allServe("/added/1"));
    const std::uint64_t before = this->runs("i-0a") + this->runs("i-0b");
    this->restore(2);
    EXPECT_EQ(this->sendToAll(10), 30);
    EXPECT_EQ(this->runs("i-0a") + this->runs("i-0b"), before);
    this->restore(3);
    EXPECT_EQ(this->sendToAll(10), 30);
    EXPECT_EQ(this->runs("i-0a") + this->runs("i-0b"), before);
    EXPECT_EQ(this->counter(1, "ragwort_unconfirmed_entries", "kind=\"server\""), 2);
    // They have been written again, as ready by one of them.
    this->thread.call([this] {
        this->store->put("servers/i-0a", entryText("s0", this->ports["i-0a"], "ready"));
        this->store->put("servers/i-0b", entryText("s0", this->ports["i-0b"], "draining"));
        this->store->remove("servers/i-0c");
    });
    const std::uint64_t beforeReturn = this->runs("i-0a");
    EXPECT_TRUE(pumpUntil([&] { return this->sendToAll(1) > 0 && this->runs("i-0a") > beforeReturn; }));
    for (int number = 1; number <= 3; ++number) {
        EXPECT_TRUE(pumpUntil([&] { return this->counter(number, "ragwort_unconfirmed_entries", "kind=\"server\"") == 0; }));
    }
}

/// Guards against requests to a server that had gone, whose entry the store's older copy brings back.
TEST_F(BelievingTest, aServerThatHadGoneGetsNothingThroughTheRestore)
{
    this->startThree();
    this->thread.call([this] {
        this->store->keepCopy();
        this->store->remove("servers/i-0a");
        this->store->remove("servers/i-0b");
    });
    this->putRoutes(2, {"s0", "s1", "s2", "s3"}, "/added/");
    ASSERT_TRUE(this->allServe("/added/1"));
    const std::uint64_t before = this->runs("i-0a") + this->runs("i-0b");
    this->restore(2);
    EXPECT_EQ(this->sendToAll(10), 30);
    EXPECT_EQ(this->runs("i-0a") + this->runs("i-0b"), before);
    this->restore(3);
    EXPECT_EQ(this->sendToAll(10), 30);
    EXPECT_EQ(this->runs("i-0a") + this->runs("i-0b"), before);
    const std::uint64_t ofReturning = this->runs("i-0a");
    const std::uint64_t ofRemoved = this->runs("i-0b");
    // One of them has come back, the other is removed again.
    this->thread.call([this] {
        this->store->put("servers/i-0a", entryText("s0", this->ports["i-0a"], "ready"));
        this->store->remove("servers/i-0b");
        this->store->remove("servers/i-0c");
    });
    EXPECT_TRUE(pumpUntil([&] { return this->sendToAll(1) > 0 && this->runs("i-0a") > ofReturning; }));
    EXPECT_EQ(this->runs("i-0b"), ofRemoved);
}

/// Guards against requests to a failure domain whose evacuation was lost with the store's last seconds and is ordered again.
TEST_F(BelievingTest, anEvacuationThatTheStoreHasLostHolds)
{
    this->startThree();
    this->thread.call([this] {
        this->store->keepCopy();
        this->store->put("op/evacuate/a", "1");
    });
    // Only s0 has a server in another domain: too few parts of the merged answer are left.
    for (int number = 1; number <= 3; ++number) {
        ASSERT_TRUE(pumpUntil([&] { return statusOf(this->get(callersPort(number), "/g/1", "out" + std::to_string(++this->requests))) != 200; }));
    }
    const std::uint64_t before = this->runs("i-0a") + this->runs("i-0b");
    this->restore(2);
    EXPECT_EQ(this->sendToAll(10), 30);
    EXPECT_EQ(this->runs("i-0a") + this->runs("i-0b"), before);
    this->restore(3);
    EXPECT_EQ(this->sendToAll(10), 30);
    EXPECT_EQ(this->runs("i-0a") + this->runs("i-0b"), before);
    const auto heldBack = [this](int number) { return this->counter(number, "ragwort_unconfirmed_entries", "kind=\"domain\""); };
    for (int number = 1; number <= 3; ++number) {
        EXPECT_EQ(heldBack(number), 1);
    }
    this->thread.call([this] { this->store->put("op/evacuate/a", "1"); });
    for (int number = 1; number <= 3; ++number) {
        ASSERT_TRUE(pumpUntil([&] { return heldBack(number) == 0; }));
    }
    EXPECT_EQ(this->sendToAll(10), 30);
    EXPECT_EQ(this->runs("i-0a") + this->runs("i-0b"), before);
    this->thread.call([this] { this->store->remove("op/evacuate/a"); });
    EXPECT_TRUE(this->serves(CALLERS_PORT, "/g/1"));
}

/// Guards against instances that count as gone, so that the others take larger shares, although they are alive and write their entries again.
TEST_F(RestoredStoreTest, allEntriesOfInstancesAreConfirmedAgain)
{
    this->thread.call([this] { this->store->keepCopy(); });
    this->startThree();
    const auto entries = [this] { return this->thread.call([this] { return this->store->count("ragwort/instances/"); }); };
    ASSERT_TRUE(pumpUntil([&] { return entries() == 3; }));
    this->restore(2);
    EXPECT_TRUE(pumpUntil([&] { return entries() == 3; }));
    for (int number = 1; number <= 3; ++number) {
        EXPECT_TRUE(pumpUntil([&] { return this->counter(number, "ragwort_unconfirmed_entries", "kind=\"instance\"") == 0; }));
    }
}

/// Guards against issue 41, its second hypothesis: the first list came from an older copy and named the store's own revision, so that the changes
/// between were never learned.
TEST_F(StaleReadTest, aListOlderThanTheRevisionThatItNamesHidesNoChange)
{
    this->thread.call([this] {
        this->store->keepCopy();
        this->store->staleReads = true;
    });
    this->startAll();
    this->thread.call([this] { this->store->keepCopy(); });
    this->putRoutes(2, {"s0", "s1", "s2", "s3"}, "/added/");
    this->startPeer(2);
    EXPECT_TRUE(this->serves(CALLERS_PORT + PORT_STRIDE_PER_INSTANCE, "/added/1"));
}

} // namespace ragwort::platform
