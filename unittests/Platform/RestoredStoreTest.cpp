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

    int requests = 0;
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
