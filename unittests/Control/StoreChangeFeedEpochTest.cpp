/// \file
/// Tests the propagation of store changes between instances when the store comes back from an older copy.
#include "StoreChangeFeedHarness.h"

#include <deque>

namespace ragwort {

namespace {

/// Faults of the store, of instances and of links in random order, among them restores of the store from an older copy.
class StoreChangeFeedRestoreTest : public StoreChangeFeedTest, public testing::WithParamInterface<unsigned>
{
protected:
    /// Restores the store, whose lost changes their writers write again in the following steps. It returns to some instances later than to others.
    void restoreAndWriteAgainLater()
    {
        const std::size_t lost = 1 + this->random(20);
        const std::size_t kept = this->store.size() - std::min(lost, this->store.size());
        for (std::size_t index = kept; index < this->store.size(); ++index) {
            this->toWriteAgain.push_back(this->store[index].key);
        }
        this->restoreOlderCopy(lost);
        for (auto &[name, harness] : this->harnesses) {
            if (this->random(2) == 0 && this->now >= this->faultUntil[name]) {
                this->faultUntil[name] = this->now + milliseconds(this->random(3000));
                harness.silentSince = this->now;
            }
        }
    }

    void writeSome(const std::string &key)
    {
        if (!this->toWriteAgain.empty() && this->random(2) == 0) {
            this->write(this->toWriteAgain.front());
            this->toWriteAgain.pop_front();
        }
        if (this->random(3) == 0) {
            this->write(key);
        }
    }

    void beginAndEndFaults()
    {
        for (auto &[name, harness] : this->harnesses) {
            Instant &until = this->faultUntil[name];
            if (this->now < until) {
                continue;
            }
            if (harness.silentSince || harness.storeUnavailable || harness.frozen) {
                harness.silentSince.reset();
                harness.storeUnavailable = false;
                harness.frozen = false;
                harness.lastFault = this->now;
            }
            if (this->random(120) != 0) {
                continue;
            }
            until = this->now + milliseconds(500 + this->random(6000));
            switch (this->random(3)) {
            case 0:
                harness.silentSince = this->now;
                break;
            case 1:
                harness.storeUnavailable = true;
                break;
            default:
                harness.frozen = true;
            }
        }
        for (const auto &link : this->linked) {
            if (this->random(120) == 0 && !this->deadSince.contains(link)) {
                this->deadSince[link] = this->now;
                this->deadUntil[link] = this->now + milliseconds(1000 + this->random(6000));
            }
        }
        std::erase_if(this->deadSince, [&](const auto &dead) { return this->now >= this->deadUntil.at(dead.first); });
    }

    /// An instance leaves, or one that has left starts again.
    void leaveOrStart()
    {
        if (!this->departed.empty()) {
            const auto [name, domain] = this->departed.front();
            this->departed.pop_front();
            this->addInstance(name, domain);
            this->harnesses.at(name).lastFault = this->now;
            return;
        }
        const auto leaving = std::next(this->harnesses.begin(), this->random(static_cast<std::uint32_t>(this->harnesses.size())));
        const std::string name = leaving->first;
        this->departed.emplace_back(name, this->instanceItems.at(name).domain);
        leaving->second.feed->leave(this->now);
        this->deliver();
        this->removeInstance(name);
    }

    void endAllFaults()
    {
        for (auto &[name, harness] : this->harnesses) {
            harness.silentSince.reset();
            harness.storeUnavailable = false;
            harness.frozen = false;
        }
        this->deadSince.clear();
    }

    /// Returns how long ago the oldest change was made that the store holds and the instance does not.
    Duration oldestUnknown(const FeedHarness &harness) const
    {
        if (harness.position.epoch == this->epoch) {
            return this->oldestMissing(harness);
        }
        const std::set<std::string> known(harness.applied.begin(), harness.applied.end());
        Duration oldest{};
        for (const StoreItem &item : this->store) {
            if (!known.contains(item.key)) {
                oldest = std::max(oldest, this->now - this->writtenAt.at(item.key));
            }
        }
        return oldest;
    }

    void expectContentsOfTheStore() const
    {
        std::multiset<std::string> keys;
        for (const StoreItem &item : this->store) {
            keys.insert(item.key);
        }
        for (const auto &[name, harness] : this->harnesses) {
            EXPECT_EQ(harness.position, this->storePosition()) << name;
            EXPECT_EQ(std::multiset<std::string>(harness.applied.begin(), harness.applied.end()), keys) << name;
        }
    }

    pcg32 random{GetParam()};
    std::deque<std::string> toWriteAgain;
    /// Names and failure domains of instances that have left.
    std::deque<std::pair<std::string, std::string>> departed;
    std::map<std::string, Instant> faultUntil;
    std::map<std::pair<std::string, std::string>, Instant> deadUntil;
};

} // namespace

/// Guards against a store that comes back from an older copy and whose changes no instance learns any more: the list was taken for an outdated one
/// because its revision was lower than what had been known.
TEST_F(StoreChangeFeedTest, aStoreFromAnOlderCopyIsFollowedThoughItsRevisionsGoBack)
{
    this->addDomain("a", 5);
    this->addDomain("b", 2);
    for (int index = 0; index < 10; ++index) {
        this->write("k" + std::to_string(index));
    }
    this->run(milliseconds(2000));
    this->restoreOlderCopy(6);
    this->run(milliseconds(1000));
    this->write("later");
    this->run(milliseconds(200));
    this->expectAllApplied("later");
    this->expectAllApplied("k3");
    for (const auto &[name, harness] : this->harnesses) {
        EXPECT_EQ(std::count(harness.applied.begin(), harness.applied.end(), "k4"), 0) << name << " keeps a change that the store has lost";
        EXPECT_EQ(harness.position, this->storePosition()) << name;
    }
}

/// Guards against a change of the restored store that is never learned because it got a revision that an instance had seen before: the restored
/// store is soon beyond the last known revision, so that a watch from there is answered without that change.
TEST_F(StoreChangeFeedTest, aChangeWithARevisionThatIsGivenOutAgainIsLearned)
{
    this->addDomain("a", 5);
    this->addDomain("b", 2);
    for (int index = 0; index < 10; ++index) {
        this->write("k" + std::to_string(index));
    }
    this->run(milliseconds(2000));
    this->restoreOlderCopy(3);
    this->write("again");
    for (int index = 0; index < 5; ++index) {
        this->write("n" + std::to_string(index));
    }
    this->run(milliseconds(1000));
    this->expectAllApplied("again");
    this->expectAllApplied("n4");
}

/// Guards against fleets that are late to follow a restored store, or that ask it more than the relays have to. The bounds are the targets of
/// docs/CAPACITY.md.
TEST_F(StoreChangeFeedTest, fleetsOfEachSizeFollowARestoredStoreInTime)
{
    struct Fleet
    {
        int domains;
        int instances;
        Duration bound;
    };
    for (const Fleet &fleet : {Fleet{4, 6, milliseconds(2000)}, Fleet{3, 74, milliseconds(2000)}, Fleet{5, 300, milliseconds(3000)}}) {
        this->harnesses.clear();
        this->instanceItems.clear();
        this->linked.clear();
        for (int index = 0; index < fleet.instances; ++index) {
            this->addInstance("i" + std::to_string(index), std::string(1, static_cast<char>('a' + index % fleet.domains)));
        }
        for (int index = 0; index < 10; ++index) {
            this->write("k" + std::to_string(this->now.time_since_epoch().count() + index));
        }
        this->run(milliseconds(3000));
        this->resetCallCounts();
        this->restoreOlderCopy(6);
        const auto isBehind = [this](const auto &entry) { return entry.second.position != this->storePosition(); };
        const Instant returned = this->now;
        while (std::any_of(this->harnesses.begin(), this->harnesses.end(), isBehind) && this->now - returned < 2 * fleet.bound) {
            this->run(STEP);
        }
        int lists = 0;
        for (const auto &[name, harness] : this->harnesses) {
            EXPECT_LE(harness.lists, harness.feed->isRelay() ? 2 : 0) << name;
            lists += harness.lists;
        }
        EXPECT_LE(this->now - returned, fleet.bound) << fleet.instances << " instances";
        const std::string size = std::to_string(fleet.instances);
        RecordProperty("catch_up_ms_" + size, static_cast<int>(toMs(this->now - returned)));
        RecordProperty("lists_" + size, lists);
        RecordProperty("relays_" + size, static_cast<int>(this->relays().size()));
    }
}

/// Guards against a fleet that lists the store all at once after its return: the relays do, and pass its contents on.
TEST_F(StoreChangeFeedTest, onlyRelaysListAStoreFromAnOlderCopy)
{
    this->addDomain("a", 60);
    for (int index = 0; index < 10; ++index) {
        this->write("k" + std::to_string(index));
    }
    this->run(milliseconds(2000));
    this->resetCallCounts();
    this->restoreOlderCopy(3);
    this->write("again");
    this->run(milliseconds(2000));
    this->expectAllApplied("again");
    for (const auto &[name, harness] : this->harnesses) {
        EXPECT_LE(harness.lists, harness.feed->isRelay() ? 2 : 0) << name;
    }
}

/// An instance that the store refuses is taken along into the new epoch by its peers.
TEST_F(StoreChangeFeedTest, anInstanceThatTheStoreRefusesLearnsTheNewEpochFromPeers)
{
    this->addDomain("a", 4);
    this->addDomain("b", 4);
    for (int index = 0; index < 10; ++index) {
        this->write("k" + std::to_string(index));
    }
    this->run(milliseconds(2000));
    for (auto &[name, harness] : this->harnesses) {
        harness.storeUnavailable = this->instanceItems.at(name).domain == "a";
    }
    this->run(milliseconds(1000));
    this->restoreOlderCopy(6);
    this->write("again");
    this->run(milliseconds(3000));
    this->expectAllApplied("again");
    this->write("later");
    this->run(milliseconds(300));
    this->expectAllApplied("later");
}

/// Guards against a second restore that an instance which the store refuses hears of late, because its peers had sent it all items a short time before.
TEST_F(StoreChangeFeedTest, aSecondRestoreSoonAfterTheFirstIsLearnedFromPeersAtOnce)
{
    this->addDomain("a", 4);
    this->addDomain("b", 4);
    for (int index = 0; index < 10; ++index) {
        this->write("k" + std::to_string(index));
    }
    this->run(milliseconds(2000));
    for (auto &[name, harness] : this->harnesses) {
        harness.storeUnavailable = this->instanceItems.at(name).domain == "a";
    }
    this->run(milliseconds(1000));
    for (const char *key : {"first", "second"}) {
        this->restoreOlderCopy(3);
        this->write(key);
        this->run(milliseconds(600));
        this->expectAllApplied(key);
    }
}

/// Guards against an instance that stays at the contents of an earlier epoch, or is late, when the store comes back from an older copy while instances
/// and links fail.
TEST_P(StoreChangeFeedRestoreTest, instancesThatReachTheStoreFollowItThroughRestores)
{
    for (const char *domain : {"a", "b", "c"}) {
        this->addDomain(domain, 4);
    }
    this->addDomain("d", 1);
    Duration worst{};
    for (int step = 0; step < 4000; ++step) {
        this->writeSome("k" + std::to_string(step));
        if (this->random(80) == 0) {
            this->restoreAndWriteAgainLater();
        }
        if (this->random(150) == 0) {
            this->leaveOrStart();
        }
        this->beginAndEndFaults();
        this->run(STEP);
        for (const auto &[name, harness] : this->harnesses) {
            const bool reachesStore = !harness.silentSince && !harness.storeUnavailable && !harness.frozen;
            if (reachesStore && this->now - harness.lastFault >= CONTACT_TIME) {
                worst = std::max(worst, this->oldestUnknown(harness));
            }
        }
        if (step % 500 == 499) {
            this->endAllFaults();
            this->run(APPLY_BOUND);
            this->expectContentsOfTheStore();
        }
    }
    EXPECT_LE(worst, APPLY_BOUND);
}

INSTANTIATE_TEST_SUITE_P(Seeds, StoreChangeFeedRestoreTest, testing::Values(11U, 74U, 129U, 349U));

/// Guards against an answer of an earlier epoch that arrives late, from the store or from a peer, and takes the contents back.
TEST(StoreChangeFeedEpochTest, ignoresWhatIsOfAnEarlierEpoch)
{
    const Instant now{std::chrono::seconds(100)};
    StoreChangeFeed feed({.instance = "a0", .domain = "a"});
    ASSERT_TRUE(feed.onListed({}, {.epoch = 2, .revision = 50}, now, now));
    EXPECT_FALSE(feed.onListed({}, {.epoch = 1, .revision = 90}, now, now));
    feed.onLinkUp("a1", now);
    feed.onDigest("a1", {.position = {.epoch = 1, .revision = 90}, .distance = 0, .offersSnapshot = true}, now);
    EXPECT_EQ(feed.sourcePeer(), std::nullopt);
    feed.onSnapshot("a1", {.position = {.epoch = 1, .revision = 90}, .items = {}}, now);
    static_cast<void>(feed.takeActions());
    EXPECT_FALSE(feed.isBehindEpoch());
    EXPECT_EQ(feed.latestEpoch(), 2U);
}

/// Guards against a follower that waits for the contents of a new epoch from peers that it has not heard for long.
TEST(StoreChangeFeedEpochTest, noNewEpochIsAwaitedFromSilentPeers)
{
    const Instant now{std::chrono::seconds(100)};
    StoreChangeFeed feed({.instance = "a0", .domain = "a"});
    const std::vector<InstanceItem> items{{.name = "a0", .domain = "a", .peerAddress = "10.0.0.1:1", .capacity = 0.1},
                                          {.name = "a1", .domain = "a", .peerAddress = "10.0.0.2:1", .capacity = 1.0},
                                          {.name = "a2", .domain = "a", .peerAddress = "10.0.0.3:1", .capacity = 1.0}};
    feed.replaceInstances(items);
    ASSERT_FALSE(feed.isRelay());
    ASSERT_TRUE(feed.onListed({}, {.epoch = 2, .revision = 50}, now, now));
    feed.onLinkUp("a1", now);
    const Instant later = now + milliseconds(1500);
    feed.onStoreEpoch(3, later);
    EXPECT_TRUE(feed.awaitsNewEpoch(later));
    EXPECT_FALSE(feed.awaitsNewEpoch(now + milliseconds(1600))) << "the peer has been silent for the peer timeout";
}

/// Guards against a healthy store that is taken for a restored one: a list raced with a peer's message, which told of a later revision without changes.
TEST(StoreChangeFeedEpochTest, aListThatRacedWithAPeerContradictsNothing)
{
    const Instant now{std::chrono::seconds(100)};
    const Instant later = now + milliseconds(10);
    StoreChangeFeed feed({.instance = "a0", .domain = "a"});
    ASSERT_TRUE(feed.onListed({}, {.epoch = 2, .revision = 50}, now, now));
    feed.onWatchSuspended(now);
    feed.onLinkUp("a1", now);
    feed.onDigest("a1", {.position = {.epoch = 2, .revision = 50}, .distance = 0}, now);
    ASSERT_EQ(feed.sourcePeer(), "a1");
    feed.onEvents("a1", {.after = 50, .position = {.epoch = 2, .revision = 60}, .removalGrace = {}, .events = {}}, later);
    EXPECT_FALSE(feed.isContradictedBy({.epoch = 2, .revision = 55}, now + milliseconds(5)));
    EXPECT_TRUE(feed.isContradictedBy({.epoch = 2, .revision = 55}, later + milliseconds(1)));
}

/// Guards against an instance that learns nothing any more after one answer, or one peer, has stated an epoch that the store never had.
TEST(StoreChangeFeedEpochTest, aLaterListRefutesAnEpochThatTheStoreDoesNotHave)
{
    static constexpr StoreEpoch NO_EPOCH_OF_THE_STORE = StoreEpoch{1} << 63;
    const Instant now{std::chrono::seconds(100)};
    const Instant later = now + milliseconds(1);
    StoreChangeFeed feed({.instance = "a0", .domain = "a"});
    ASSERT_TRUE(feed.onListed({}, {.epoch = 2, .revision = 50}, now, now));
    feed.onStoreEpoch(NO_EPOCH_OF_THE_STORE, now);
    EXPECT_TRUE(feed.isBehindEpoch());
    EXPECT_TRUE(feed.onListed({}, {.epoch = 2, .revision = 60}, later, later));
    EXPECT_FALSE(feed.isBehindEpoch());
    feed.onLinkUp("a1", later);
    feed.onDigest("a1", {.position = {.epoch = NO_EPOCH_OF_THE_STORE, .revision = 1}, .distance = 0}, later);
    EXPECT_FALSE(feed.isBehindEpoch());
    feed.onDigest("a1", {.position = {.epoch = 3, .revision = 1}, .distance = 0}, later);
    EXPECT_TRUE(feed.isBehindEpoch());
}

/// Guards against an instance that learns nothing any more from a store whose epoch has gone down.
TEST(StoreChangeFeedEpochTest, aLaterListIsTakenFromAStoreWhoseEpochHasGoneDown)
{
    const Instant now{std::chrono::seconds(100)};
    StoreChangeFeed feed({.instance = "a0", .domain = "a"});
    ASSERT_TRUE(feed.onListed({}, {.epoch = 5, .revision = 50}, now, now));
    EXPECT_TRUE(feed.onListed({}, {.epoch = 1, .revision = 20}, now + milliseconds(1), now + milliseconds(2)));
    EXPECT_EQ(feed.latestEpoch(), 1U);
    EXPECT_FALSE(feed.isBehindEpoch());
}

/// An instance at (2, 50) that watches no store, with a link to "a1".
static std::unique_ptr<StoreChangeFeed> feedInSecondEpoch(Instant now)
{
    auto feed = std::make_unique<StoreChangeFeed>(StoreChangeFeed::Options{.instance = "a0", .domain = "a"});
    EXPECT_TRUE(feed->onListed({}, {.epoch = 2, .revision = 50}, now, now));
    feed->onWatchSuspended(now);
    feed->onLinkUp("a1", now);
    static_cast<void>(feed->takeActions());
    return feed;
}

/// Returns the messages with changes among the actions of \p feed.
static std::vector<PeerStoreEvents> takeSentEvents(StoreChangeFeed &feed)
{
    std::vector<PeerStoreEvents> sent;
    for (const StoreFeedAction &action : feed.takeActions()) {
        const auto *send = std::get_if<SendStoreMessage>(&action);
        const auto *events = send == nullptr ? nullptr : std::get_if<PeerStoreEvents>(&send->message);
        if (events != nullptr) {
            sent.push_back(*events);
        }
    }
    return sent;
}

/// Guards against an instance that listens to a peer of an earlier epoch, whose changes it cannot use.
TEST(StoreChangeFeedEpochTest, onlyAPeerOfTheSameEpochIsASource)
{
    const Instant now{std::chrono::seconds(100)};
    const auto feed = feedInSecondEpoch(now);
    feed->onDigest("a1", {.position = {.epoch = 1, .revision = 90}, .distance = 0}, now);
    EXPECT_EQ(feed->sourcePeer(), std::nullopt);
    feed->onDigest("a1", {.position = {.epoch = 2, .revision = 40}, .distance = 0}, now);
    EXPECT_EQ(feed->sourcePeer(), "a1");
}

/// Guards against knowledge that counts as confirmed because of a peer that does not know yet that the store has been restored.
TEST(StoreChangeFeedEpochTest, aPeerOfAnEarlierEpochConfirmsNothing)
{
    const Instant now{std::chrono::seconds(100)};
    const Instant later = now + milliseconds(1000);
    for (const StoreEpoch epoch : {1, 2}) {
        const auto feed = feedInSecondEpoch(now);
        feed->onDigest("a1",
                       {.position = {.epoch = epoch, .revision = 20},
                        .distance = 0,
                        .confirmedAge = Duration::zero(),
                        .madeAtUs = 1,
                        .echoedUs = later.time_since_epoch().count()},
                       later);
        EXPECT_EQ(feed->confirmedAt(), epoch == 1 ? now : later);
    }
}

/// Guards against changes of a later epoch that are applied to the contents of an earlier one.
TEST(StoreChangeFeedEpochTest, changesOfALaterEpochAreNotApplied)
{
    const Instant now{std::chrono::seconds(100)};
    const auto feed = feedInSecondEpoch(now);
    feed->onDigest("a1", {.position = {.epoch = 2, .revision = 50}, .distance = 0}, now);
    ASSERT_EQ(feed->sourcePeer(), "a1");
    static_cast<void>(feed->takeActions());
    feed->onEvents("a1",
                   {.after = 40, .position = {.epoch = 3, .revision = 60}, .removalGrace = {}, .events = {StoreItem{.key = "k", .value = "v", .revision = 55}}},
                   now);
    for (const StoreFeedAction &action : feed->takeActions()) {
        EXPECT_FALSE(std::holds_alternative<ApplyRelayedEvents>(action));
    }
    EXPECT_TRUE(feed->isBehindEpoch());
    EXPECT_EQ(feed->sourcePeer(), std::nullopt);
}

/// Guards against a follower that gets changes of an epoch which it has not reached, or none any more once it has.
TEST(StoreChangeFeedEpochTest, aFollowerGetsTheChangesOfTheEpochThatItHasReached)
{
    const Instant now{std::chrono::seconds(100)};
    const auto feed = feedInSecondEpoch(now);
    feed->onDigest("a1", {.position = {.epoch = 2, .revision = 50}, .wantsEvents = true}, now);
    ASSERT_TRUE(feed->onListed({}, {.epoch = 3, .revision = 60}, now, now));
    EXPECT_TRUE(takeSentEvents(*feed).empty()) << "the follower is in the second epoch";
    feed->onDigest("a1", {.position = {.epoch = 3, .revision = 60}, .wantsEvents = true}, now);
    const std::vector<StoreEvent> events{StoreItem{.key = "k", .value = "v", .revision = 61}};
    feed->onStoreEvents(events, {.epoch = 3, .revision = 61}, Duration::zero(), now, now);
    const std::vector<PeerStoreEvents> sent = takeSentEvents(*feed);
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent.front().after, 60U);
    EXPECT_EQ(sent.front().position, (StorePosition{.epoch = 3, .revision = 61}));
    EXPECT_EQ(sent.front().events.size(), 1U);
}

/// An epoch may be missed while an instance is cut off.
TEST(StoreChangeFeedEpochTest, anEpochThatJumpsReplacesTheContents)
{
    const Instant now{std::chrono::seconds(100)};
    StoreChangeFeed feed({.instance = "a0", .domain = "a"});
    ASSERT_TRUE(feed.onListed({}, {.epoch = 2, .revision = 50}, now, now));
    feed.onStoreEpoch(7, now);
    EXPECT_TRUE(feed.isBehindEpoch());
    EXPECT_FALSE(feed.onListed({}, {.epoch = 2, .revision = 60}, now, now)) << "a list that was asked for before";
    EXPECT_TRUE(feed.onListed({}, {.epoch = 7, .revision = 10}, now, now));
    EXPECT_FALSE(feed.isBehindEpoch());
}

/// Guards against followers of a version that knows no epochs which learn each change late during an update of the instances: they subscribed to a
/// relay that knows epochs, whose changes they could not have read and never got.
TEST(StoreChangeFeedEpochTest, aPeerThatKnowsNoEpochsIsToldToWatchTheStore)
{
    const Instant now{std::chrono::seconds(100)};
    for (const StoreEpoch epoch : {0, 1}) {
        StoreChangeFeed feed({.instance = "a0", .domain = "a"});
        ASSERT_TRUE(feed.onListed({}, {.epoch = epoch, .revision = 50}, now, now));
        feed.onLinkUp("a1", now);
        feed.onDigest("a1", {.position = {.epoch = 0, .revision = 50}, .wantsEvents = true, .wantsSnapshot = true, .knowsEpochs = false}, now);
        std::optional<PeerStoreDigest> last;
        bool sendsContents = false;
        for (const StoreFeedAction &action : feed.takeActions()) {
            const auto &message = std::get<SendStoreMessage>(action).message;
            if (const auto *digest = std::get_if<PeerStoreDigest>(&message)) {
                last = *digest;
            } else {
                sendsContents = true;
            }
        }
        ASSERT_TRUE(last);
        EXPECT_EQ(last->distance, epoch == 0 ? 0 : STORE_UNREACHABLE);
        EXPECT_EQ(last->confirmedAge, epoch == 0 ? Duration::zero() : AGE_UNKNOWN) << "it would count as confirmed by a revision of another epoch";
        EXPECT_EQ(last->offersSnapshot, epoch == 0);
        EXPECT_EQ(sendsContents, epoch == 0);
    }
}

} // namespace ragwort
