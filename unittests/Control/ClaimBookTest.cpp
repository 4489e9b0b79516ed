#include "ragwortcart/Control/ClaimBook.h"
#include "ragwortcart/Emulator/FakeStore.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ragwort {

static constexpr std::int64_t WALL_MS = 1'700'000'000'000;

/// What the store does with the next write.
enum class WriteFault { none, answerLost, neverArrives, arrivesLate };

/// One claim book on a shared fake store; calls are answered when the test says so.
class BookOnStore
{
public:
    BookOnStore(FakeStore &sharedStore, const std::string &name) : store(sharedStore), book(name)
    {
    }

    void claim(QueryId query, const std::string &key, std::uint64_t fingerprint = 1, Duration timeLeft = std::chrono::milliseconds(200))
    {
        this->book.request({.query = query, .team = "t", .key = key, .fingerprint = fingerprint, .deadline = this->now + timeLeft}, this->now, WALL_MS);
    }

    /// Carries out what the book asks for, one call at a time, until nothing is left.
    void run(WriteFault fault = WriteFault::none)
    {
        for (auto actions = this->book.takeActions(); !actions.empty(); actions = this->book.takeActions()) {
            for (const ClaimAction &action : actions) {
                this->perform(action, std::exchange(fault, std::holds_alternative<WriteBucket>(action) ? WriteFault::none : fault));
            }
        }
    }

    /// Runs until the book is idle, letting time pass where it waits.
    void settle()
    {
        for (int step = 0; step < 20 && !this->book.idle(); ++step) {
            this->run();
            this->pass(std::chrono::milliseconds(10));
        }
        this->run();
    }

    void pass(Duration time)
    {
        this->now += time;
        this->book.advance(this->now, WALL_MS);
    }

    void perform(const ClaimAction &action, WriteFault fault)
    {
        if (const auto *read = std::get_if<ReadBucket>(&action)) {
            std::optional<ClaimBook::BucketContent> content;
            if (!this->outage) {
                const auto entry = this->store.get(bucketName(read->bucket));
                content = entry ? ClaimBook::BucketContent{.json = entry->value, .index = entry->modifyIndex} : ClaimBook::BucketContent{};
            }
            this->book.onBucketRead(read->bucket, content, this->now, WALL_MS);
        } else if (const auto *write = std::get_if<WriteBucket>(&action)) {
            this->write(*write, fault);
        } else {
            const ClaimDecided &decided = std::get<DeliverClaim>(action).decided;
            EXPECT_FALSE(this->verdicts.contains(decided.query)) << "two verdicts for one query";
            this->verdicts[decided.query] = decided;
        }
    }

    void write(const WriteBucket &write, WriteFault fault)
    {
        const auto put = [this, write] { return this->store.put(bucketName(write.bucket), write.value, write.expectedIndex); };
        BucketWriteOutcome outcome = BucketWriteOutcome::unknown;
        if (fault == WriteFault::arrivesLate) {
            this->late = put;
        } else if (fault != WriteFault::neverArrives && !this->outage) {
            const bool written = put();
            if (fault == WriteFault::none) {
                outcome = written ? BucketWriteOutcome::written : BucketWriteOutcome::conflict;
            }
        }
        this->book.onBucketWritten(write.bucket, outcome, this->now, WALL_MS);
    }

    static std::string bucketName(int bucket)
    {
        return "claims/" + std::to_string(bucket);
    }

    ClaimVerdict verdict(QueryId query)
    {
        return this->verdicts.at(query).verdict;
    }

    FakeStore &store;
    ClaimBook book;
    Instant now{std::chrono::seconds(1)};
    std::map<QueryId, ClaimDecided> verdicts;
    std::function<bool()> late;
    bool outage = false;
};

TEST(ClaimBookTest, grantsAFreshKeyOnce)
{
    FakeStore store;
    BookOnStore first(store, "a");
    BookOnStore second(store, "b");
    first.claim(1, "key");
    first.run();
    second.claim(2, "key");
    second.settle();
    EXPECT_EQ(first.verdict(1), ClaimVerdict::granted);
    EXPECT_EQ(second.verdict(2), ClaimVerdict::heldElsewhere);
}

TEST(ClaimBookTest, repliesWithTheRecordedOutcome)
{
    FakeStore store;
    BookOnStore first(store, "a");
    BookOnStore second(store, "b");
    first.claim(1, "key");
    first.run();
    first.book.recordOutcome({.query = 1, .state = RunState::ran, .outcome = "done"}, first.now, WALL_MS);
    first.run();
    second.claim(2, "key");
    second.run();
    EXPECT_EQ(second.verdict(2), ClaimVerdict::alreadyRan);
    EXPECT_EQ(second.verdicts.at(2).recordedOutcome, "done");
}

TEST(ClaimBookTest, anOutcomeThatIsAboutToBeRecordedIsWaitedFor)
{
    FakeStore store;
    BookOnStore first(store, "a");
    BookOnStore second(store, "b");
    first.claim(1, "key");
    first.run();
    second.claim(2, "key");
    second.run();
    EXPECT_TRUE(second.verdicts.empty());
    first.book.recordOutcome({.query = 1, .state = RunState::ran, .outcome = "done"}, first.now, WALL_MS);
    first.run();
    second.settle();
    EXPECT_EQ(second.verdict(2), ClaimVerdict::alreadyRan);
}

TEST(ClaimBookTest, aReleasedKeyCanBeClaimedAgain)
{
    FakeStore store;
    BookOnStore first(store, "a");
    first.claim(1, "key");
    first.run();
    first.book.recordOutcome({.query = 1, .state = RunState::notRun, .outcome = {}}, first.now, WALL_MS);
    first.run();
    first.claim(2, "key");
    first.run();
    EXPECT_EQ(first.verdict(2), ClaimVerdict::granted);
}

TEST(ClaimBookTest, anUnknownOutcomeKeepsTheKeyTaken)
{
    FakeStore store;
    BookOnStore first(store, "a");
    first.claim(1, "key");
    first.run();
    first.book.recordOutcome({.query = 1, .state = RunState::outcomeUnknown, .outcome = {}}, first.now, WALL_MS);
    first.run();
    first.claim(2, "key");
    first.settle();
    EXPECT_EQ(first.verdict(2), ClaimVerdict::heldElsewhere);
}

TEST(ClaimBookTest, otherContentUnderTheSameKeyIsRefused)
{
    FakeStore store;
    BookOnStore first(store, "a");
    first.claim(1, "key", 1);
    first.claim(2, "key", 2);
    first.run();
    EXPECT_EQ(first.verdict(1), ClaimVerdict::granted);
    EXPECT_EQ(first.verdict(2), ClaimVerdict::contentDiffers);
}

TEST(ClaimBookTest, aLostAnswerIsSettledByReadingBack)
{
    FakeStore store;
    BookOnStore first(store, "a");
    first.claim(1, "key");
    first.run(WriteFault::answerLost);
    EXPECT_TRUE(first.verdicts.empty());
    first.pass(std::chrono::milliseconds(30));
    first.run();
    EXPECT_EQ(first.verdict(1), ClaimVerdict::granted);
    EXPECT_EQ(first.book.status().writes, 1U);
}

TEST(ClaimBookTest, aWriteThatArrivesLateIsNotTakenForAnothersClaim)
{
    FakeStore store;
    BookOnStore first(store, "a");
    first.claim(1, "key");
    first.run(WriteFault::arrivesLate);
    first.pass(std::chrono::milliseconds(30));
    auto actions = first.book.takeActions();
    ASSERT_EQ(actions.size(), 1U);
    first.perform(actions[0], WriteFault::none); // The read sees nothing yet.
    EXPECT_TRUE(first.late()); // Now the first write takes effect.
    first.run(); // The second write conflicts and is settled.
    EXPECT_EQ(first.verdict(1), ClaimVerdict::granted);
}

TEST(ClaimBookTest, withoutTheStoreTheClaimIsUnavailableByItsDeadline)
{
    FakeStore store;
    BookOnStore first(store, "a");
    first.outage = true;
    first.claim(1, "key");
    first.run();
    first.pass(std::chrono::milliseconds(201));
    first.run();
    EXPECT_EQ(first.verdict(1), ClaimVerdict::unavailable);
}

TEST(ClaimBookTest, anAbandonedClaimThatStandsIsGivenBack)
{
    FakeStore store;
    BookOnStore first(store, "a");
    first.claim(1, "key");
    first.run(WriteFault::answerLost);
    first.outage = true;
    for (int step = 0; step < 15; ++step) {
        first.pass(std::chrono::milliseconds(20));
        first.run();
    }
    EXPECT_EQ(first.verdict(1), ClaimVerdict::unavailable);
    first.outage = false;
    first.pass(std::chrono::milliseconds(30));
    first.run();
    first.claim(2, "key");
    first.run();
    EXPECT_EQ(first.verdict(2), ClaimVerdict::granted);
}

TEST(ClaimBookTest, claimsThatArriveDuringAWriteShareTheNext)
{
    FakeStore store;
    BookOnStore first(store, "a");
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
    EXPECT_EQ(first.book.status().granted, 50U);
    EXPECT_LE(first.book.status().writes, 2U);
}

TEST(ClaimBookTest, oldClaimsAreForgotten)
{
    FakeStore store;
    BookOnStore first(store, "a");
    ClaimTable table;
    table["t/key"] = {.token = "x", .fingerprint = "y", .claimedAtMs = WALL_MS - CLAIM_RETENTION_MS - 1, .ran = true, .outcome = "old"};
    store.put(BookOnStore::bucketName(claimBucket("t/key")), encodeClaims(table), 0);
    first.claim(1, "key");
    first.run();
    EXPECT_EQ(first.verdict(1), ClaimVerdict::granted);
}

/// Two books, one key, any interleaving of store calls, lost answers and deadlines: never two grants.
TEST(ClaimBookTest, neverGrantsOneKeyTwice)
{
    const bool holds = rc::check("one key is granted at most once", [] {
        FakeStore store;
        std::vector<std::unique_ptr<BookOnStore>> books;
        books.push_back(std::make_unique<BookOnStore>(store, "a"));
        books.push_back(std::make_unique<BookOnStore>(store, "b"));
        std::vector<std::vector<ClaimAction>> pending(2);
        QueryId query = 0;
        for (int step = 0; step < 60; ++step) {
            const auto which = *rc::gen::inRange<std::size_t>(0, 2);
            BookOnStore &book = *books[which];
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                book.claim(++query, "key");
                break;
            case 1:
                book.pass(std::chrono::milliseconds(*rc::gen::inRange(1, 80)));
                break;
            case 2:
                for (const auto &other : books) {
                    if (other->late) {
                        std::exchange(other->late, nullptr)();
                    }
                }
                break;
            default:
                if (!pending[which].empty()) {
                    const ClaimAction action = pending[which].front();
                    pending[which].erase(pending[which].begin());
                    book.perform(action, static_cast<WriteFault>(*rc::gen::inRange(0, 4)));
                }
                break;
            }
            for (const ClaimAction &action : book.book.takeActions()) {
                pending[which].push_back(action);
            }
        }
        int granted = 0;
        for (const auto &book : books) {
            for (const auto &[id, decided] : book->verdicts) {
                granted += decided.verdict == ClaimVerdict::granted ? 1 : 0;
            }
        }
        RC_ASSERT(granted <= 1);
    });
    EXPECT_TRUE(holds);
}

} // namespace ragwort
