#include "ragwortcart/Control/ClaimManager.h"
#include "ragwortcart/Emulator/FakeStore.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ragwort {

static constexpr std::int64_t WALL_MS = 1'700'000'000'000;

/// Fault injected into the next store write.
enum class WriteFault { none, replyLost, requestLost, requestDelayed };

/// A claim manager on a shared fake store. The test controls when store calls complete.
class ClaimManagerHarness
{
public:
    ClaimManagerHarness(FakeStore &fakeStore, const std::string &name) : store(fakeStore), manager(name)
    {
    }

    void claim(QueryId query, const std::string &key, std::uint64_t fingerprint = 1, Duration timeLeft = std::chrono::milliseconds(200))
    {
        this->manager.request({.query = query, .team = "t", .key = key, .fingerprint = fingerprint, .deadline = this->now + timeLeft}, this->now, this->wallMs);
    }

    /// Performs the requested store calls one at a time until none is left.
    void run(WriteFault fault = WriteFault::none)
    {
        for (auto actions = this->manager.takeActions(); !actions.empty(); actions = this->manager.takeActions()) {
            for (const ClaimAction &action : actions) {
                this->perform(action, std::exchange(fault, std::holds_alternative<WriteBucket>(action) ? WriteFault::none : fault));
            }
        }
    }

    /// Runs until the manager is idle, advancing time while it waits.
    void settle()
    {
        for (int step = 0; step < 20 && !this->manager.idle(); ++step) {
            this->run();
            this->advanceTime(std::chrono::milliseconds(10));
        }
        this->run();
    }

    void advanceTime(Duration time)
    {
        this->now += time;
        this->manager.advance(this->now, this->wallMs);
    }

    void perform(const ClaimAction &action, WriteFault fault)
    {
        if (const auto *read = std::get_if<ReadBucket>(&action)) {
            std::optional<ClaimManager::BucketContent> content;
            if (!this->outage) {
                const auto entry = this->store.get(bucketKey(read->bucket));
                content = entry ? ClaimManager::BucketContent{.json = entry->value, .index = entry->modifyIndex} : ClaimManager::BucketContent{};
            }
            this->manager.onBucketRead(read->bucket, content, this->now, this->wallMs);
        } else if (const auto *write = std::get_if<WriteBucket>(&action)) {
            this->write(*write, fault);
        } else {
            const ClaimDecided &decided = std::get<DeliverClaim>(action).decided;
            EXPECT_FALSE(this->verdicts.contains(decided.query)) << "more than one verdict for a query";
            this->verdicts[decided.query] = decided;
        }
    }

    void write(const WriteBucket &write, WriteFault fault)
    {
        const auto put = [this, write] { return this->store.put(bucketKey(write.bucket), write.value, write.expectedIndex); };
        BucketWriteOutcome outcome = BucketWriteOutcome::unknown;
        if (fault == WriteFault::requestDelayed) {
            this->delayedWrite = put;
        } else if (fault != WriteFault::requestLost && !this->outage) {
            const bool written = put();
            if (fault == WriteFault::none) {
                outcome = written ? BucketWriteOutcome::written : BucketWriteOutcome::conflict;
            }
        }
        this->manager.onBucketWritten(write.bucket, outcome, this->now, this->wallMs);
    }

    static std::string bucketKey(int bucket)
    {
        return "claims/" + std::to_string(bucket);
    }

    ClaimVerdict verdict(QueryId query)
    {
        return this->verdicts.at(query).verdict;
    }

    FakeStore &store;
    ClaimManager manager;
    Instant now{std::chrono::seconds(1)};
    std::int64_t wallMs = WALL_MS;
    std::map<QueryId, ClaimDecided> verdicts;
    std::function<bool()> delayedWrite;
    bool outage = false;
};

TEST(ClaimManagerTest, grantsAnUnclaimedKeyOnlyOnce)
{
    FakeStore store;
    ClaimManagerHarness first(store, "a");
    ClaimManagerHarness second(store, "b");
    first.claim(1, "key");
    first.run();
    second.claim(2, "key");
    second.settle();
    EXPECT_EQ(first.verdict(1), ClaimVerdict::granted);
    EXPECT_EQ(second.verdict(2), ClaimVerdict::heldElsewhere);
}

TEST(ClaimManagerTest, returnsTheRecordedOutcomeOfACompletedClaim)
{
    FakeStore store;
    ClaimManagerHarness first(store, "a");
    ClaimManagerHarness second(store, "b");
    first.claim(1, "key");
    first.run();
    first.manager.recordOutcome({.query = 1, .state = RunState::ran, .outcome = "done"}, first.now, WALL_MS);
    first.run();
    second.claim(2, "key");
    second.run();
    EXPECT_EQ(second.verdict(2), ClaimVerdict::alreadyRan);
    EXPECT_EQ(second.verdicts.at(2).recordedOutcome, "done");
}

TEST(ClaimManagerTest, waitsForThePendingOutcomeOfAHeldClaim)
{
    FakeStore store;
    ClaimManagerHarness first(store, "a");
    ClaimManagerHarness second(store, "b");
    first.claim(1, "key");
    first.run();
    second.claim(2, "key");
    second.run();
    EXPECT_TRUE(second.verdicts.empty());
    first.manager.recordOutcome({.query = 1, .state = RunState::ran, .outcome = "done"}, first.now, WALL_MS);
    first.run();
    second.settle();
    EXPECT_EQ(second.verdict(2), ClaimVerdict::alreadyRan);
}

TEST(ClaimManagerTest, grantsAReleasedKeyAgain)
{
    FakeStore store;
    ClaimManagerHarness first(store, "a");
    first.claim(1, "key");
    first.run();
    first.manager.recordOutcome({.query = 1, .state = RunState::notRun, .outcome = {}}, first.now, WALL_MS);
    first.run();
    first.claim(2, "key");
    first.run();
    EXPECT_EQ(first.verdict(2), ClaimVerdict::granted);
}

TEST(ClaimManagerTest, keepsTheClaimIfTheOutcomeIsUnknown)
{
    FakeStore store;
    ClaimManagerHarness first(store, "a");
    first.claim(1, "key");
    first.run();
    first.manager.recordOutcome({.query = 1, .state = RunState::outcomeUnknown, .outcome = {}}, first.now, WALL_MS);
    first.run();
    first.claim(2, "key");
    first.settle();
    EXPECT_EQ(first.verdict(2), ClaimVerdict::heldElsewhere);
}

TEST(ClaimManagerTest, refusesDifferentContentUnderTheSameKey)
{
    FakeStore store;
    ClaimManagerHarness first(store, "a");
    first.claim(1, "key", 1);
    first.claim(2, "key", 2);
    first.run();
    EXPECT_EQ(first.verdict(1), ClaimVerdict::granted);
    EXPECT_EQ(first.verdict(2), ClaimVerdict::contentDiffers);
}

TEST(ClaimManagerTest, resolvesALostWriteReplyByReadingTheBucketBack)
{
    FakeStore store;
    ClaimManagerHarness first(store, "a");
    first.claim(1, "key");
    first.run(WriteFault::replyLost);
    EXPECT_TRUE(first.verdicts.empty());
    first.advanceTime(std::chrono::milliseconds(30));
    first.run();
    EXPECT_EQ(first.verdict(1), ClaimVerdict::granted);
    EXPECT_EQ(first.manager.status().writes, 1U);
}

TEST(ClaimManagerTest, recognizesItsOwnDelayedWrite)
{
    FakeStore store;
    ClaimManagerHarness first(store, "a");
    first.claim(1, "key");
    first.run(WriteFault::requestDelayed);
    first.advanceTime(std::chrono::milliseconds(30));
    auto actions = first.manager.takeActions();
    ASSERT_EQ(actions.size(), 1U);
    first.perform(actions[0], WriteFault::none); // The read does not see the delayed write.
    EXPECT_TRUE(first.delayedWrite()); // The first write takes effect.
    first.run(); // The second write conflicts and is resolved by a read.
    EXPECT_EQ(first.verdict(1), ClaimVerdict::granted);
}

TEST(ClaimManagerTest, reportsUnavailableAtTheDeadlineDuringAStoreOutage)
{
    FakeStore store;
    ClaimManagerHarness first(store, "a");
    first.outage = true;
    first.claim(1, "key");
    first.run();
    first.advanceTime(std::chrono::milliseconds(201));
    first.run();
    EXPECT_EQ(first.verdict(1), ClaimVerdict::unavailable);
}

TEST(ClaimManagerTest, releasesAnAbandonedClaimFoundInTheStore)
{
    FakeStore store;
    ClaimManagerHarness first(store, "a");
    first.claim(1, "key");
    first.run(WriteFault::replyLost);
    first.outage = true;
    for (int step = 0; step < 15; ++step) {
        first.advanceTime(std::chrono::milliseconds(20));
        first.run();
    }
    EXPECT_EQ(first.verdict(1), ClaimVerdict::unavailable);
    first.outage = false;
    first.advanceTime(std::chrono::milliseconds(30));
    first.run();
    first.claim(2, "key");
    first.run();
    EXPECT_EQ(first.verdict(2), ClaimVerdict::granted);
}

TEST(ClaimManagerTest, batchesClaimsForTheSameBucket)
{
    FakeStore store;
    ClaimManagerHarness first(store, "a");
    std::vector<std::string> sameBucket;
    for (int number = 0; sameBucket.size() < 50; ++number) {
        const std::string key = "k" + std::to_string(number);
        if (claimBucket("t/" + key) == 0) {
            sameBucket.push_back(key);
        }
    }
    for (QueryId query = 0; query < sameBucket.size(); ++query) {
        first.claim(query + 1, sameBucket[query]);
    }
    first.run();
    EXPECT_EQ(first.manager.status().granted, 50U);
    EXPECT_LE(first.manager.status().writes, 2U);
}

TEST(ClaimManagerTest, dropsClaimsPastTheRetentionTime)
{
    FakeStore store;
    ClaimManagerHarness first(store, "a");
    ClaimTable table;
    table["t/key"] = {.token = "x", .fingerprint = "y", .claimedAtMs = WALL_MS - CLAIM_RETENTION_MS - 1, .ran = true, .outcome = "old"};
    store.put(ClaimManagerHarness::bucketKey(claimBucket("t/key")), encodeClaims(table), 0);
    first.claim(1, "key");
    first.run();
    EXPECT_EQ(first.verdict(1), ClaimVerdict::granted);
}

/// Guards against a store that comes back from an older copy, without a claim whose action was sent since: the same instance granted the key again,
/// and the action ran twice.
TEST(ClaimManagerTest, grantsAKeyOnceAlthoughTheStoreLostItsClaim)
{
    FakeStore store;
    const FakeStore copy = store;
    ClaimManagerHarness first(store, "a");
    first.claim(1, "key");
    first.run();
    ASSERT_EQ(first.verdict(1), ClaimVerdict::granted);
    first.manager.recordOutcome({.query = 1, .state = RunState::outcomeUnknown, .outcome = {}}, first.now, WALL_MS);
    first.run();
    store = copy;
    first.claim(2, "key");
    first.settle();
    EXPECT_EQ(first.verdict(2), ClaimVerdict::heldElsewhere);
}

/// Guards against the same for other instances: what the store lost is written again by the instance that remembers it, with the outcome.
TEST(ClaimManagerTest, writesClaimsAgainThatTheStoreLost)
{
    FakeStore store;
    ClaimManagerHarness first(store, "a");
    ClaimManagerHarness second(store, "b");
    first.claim(1, "key");
    first.run();
    const FakeStore claimed = store;
    first.manager.recordOutcome({.query = 1, .state = RunState::ran, .outcome = "done"}, first.now, WALL_MS);
    first.run();
    for (const FakeStore &copy : {FakeStore(), claimed}) {
        store = copy;
        first.verdicts.clear();
        second.verdicts.clear();
        first.claim(2, "key");
        first.settle();
        EXPECT_EQ(first.verdict(2), ClaimVerdict::alreadyRan);
        EXPECT_EQ(first.verdicts.at(2).recordedOutcome, "done");
        second.claim(3, "key");
        second.settle();
        EXPECT_EQ(second.verdict(3), ClaimVerdict::alreadyRan);
        EXPECT_EQ(second.verdicts.at(3).recordedOutcome, "done");
    }
}

/// What was released may be claimed again, whatever the store lost; what is remembered ends with the retention time.
TEST(ClaimManagerTest, forgetsReleasedAndExpiredClaims)
{
    FakeStore store;
    const FakeStore copy = store;
    ClaimManagerHarness first(store, "a");
    first.claim(1, "key");
    first.claim(2, "old");
    first.run();
    first.manager.recordOutcome({.query = 1, .state = RunState::notRun, .outcome = {}}, first.now, WALL_MS);
    first.run();
    store = copy;
    first.claim(3, "key");
    first.settle();
    EXPECT_EQ(first.verdict(3), ClaimVerdict::granted);
    first.wallMs += CLAIM_RETENTION_MS + 1;
    first.claim(4, "old");
    first.settle();
    EXPECT_EQ(first.verdict(4), ClaimVerdict::granted);
}

/// An outcome whose write failed before the store lost the claim is recorded all the same.
TEST(ClaimManagerTest, recordsAnOutcomeAlthoughTheStoreLostTheClaim)
{
    FakeStore store;
    const FakeStore copy = store;
    ClaimManagerHarness first(store, "a");
    ClaimManagerHarness second(store, "b");
    first.claim(1, "key");
    first.run();
    store = copy;
    first.manager.recordOutcome({.query = 1, .state = RunState::ran, .outcome = "done"}, first.now, WALL_MS);
    first.run(WriteFault::requestLost);
    first.settle();
    second.claim(2, "key");
    second.settle();
    EXPECT_EQ(second.verdict(2), ClaimVerdict::alreadyRan);
    EXPECT_EQ(second.verdicts.at(2).recordedOutcome, "done");
}

/// Two managers never both receive a grant for one key, under any interleaving of store calls, lost replies and
/// deadlines.
TEST(ClaimManagerTest, grantsOneKeyAtMostOnceUnderArbitraryInterleavings)
{
    const bool holds = rc::check("one key is granted at most once", [] {
        FakeStore store;
        std::vector<std::unique_ptr<ClaimManagerHarness>> harnesses;
        harnesses.push_back(std::make_unique<ClaimManagerHarness>(store, "a"));
        harnesses.push_back(std::make_unique<ClaimManagerHarness>(store, "b"));
        std::vector<std::vector<ClaimAction>> pending(2);
        QueryId query = 0;
        for (int step = 0; step < 60; ++step) {
            const auto chosen = *rc::gen::inRange<std::size_t>(0, 2);
            ClaimManagerHarness &harness = *harnesses[chosen];
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                harness.claim(++query, "key");
                break;
            case 1:
                harness.advanceTime(std::chrono::milliseconds(*rc::gen::inRange(1, 80)));
                break;
            case 2:
                for (const auto &other : harnesses) {
                    if (other->delayedWrite) {
                        std::exchange(other->delayedWrite, nullptr)();
                    }
                }
                break;
            default:
                if (!pending[chosen].empty()) {
                    const ClaimAction action = pending[chosen].front();
                    pending[chosen].erase(pending[chosen].begin());
                    harness.perform(action, static_cast<WriteFault>(*rc::gen::inRange(0, 4)));
                }
                break;
            }
            for (const ClaimAction &action : harness.manager.takeActions()) {
                pending[chosen].push_back(action);
            }
        }
        int granted = 0;
        for (const auto &harness : harnesses) {
            for (const auto &[id, decided] : harness->verdicts) {
                granted += decided.verdict == ClaimVerdict::granted ? 1 : 0;
            }
        }
        RC_ASSERT(granted <= 1);
    });
    EXPECT_TRUE(holds);
}

} // namespace ragwort
