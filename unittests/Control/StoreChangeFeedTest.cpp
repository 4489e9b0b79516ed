/// \file
/// Tests the propagation of store changes between instances in virtual time, with a few instances, their links, and a
/// store that may be unavailable to some of them.
#include "ragwortcart/Control/StoreChangeFeed.h"

#include "ragwortcart/Support/Visitor.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <pcg_random.hpp>
#include <set>

namespace ragwort {

using std::chrono::milliseconds;

namespace {

constexpr Duration STEP = milliseconds(100);
/// Messages that answer each other without any time passing come to rest within this number of rounds.
constexpr int MAXIMUM_MESSAGE_ROUNDS = 50;
/// Time until an instance detects that the store does not reply to its watch. The watch of an instance with followers is shorter.
constexpr Duration WATCH_LOSS_DETECTION = milliseconds(4100);
constexpr Duration RELAY_WATCH_LOSS_DETECTION = milliseconds(2400);
/// Time until both sides close a link that has fallen silent.
constexpr Duration LINK_TIMEOUT = milliseconds(3000);
/// Time within which an instance that reaches the store applies each change.
constexpr Duration APPLY_BOUND = milliseconds(5000);
/// An instance counts as reaching the store once it has done so for this time.
constexpr Duration CONTACT_TIME = milliseconds(5000);

/// A message on its way or in a socket's buffer.
struct QueuedMessage
{
    std::string from;
    SendStoreMessage send;
    Instant due;
};

/// An instance as driven by its control thread: it watches the store unless a peer forwards all changes.
struct FeedHarness
{
    std::unique_ptr<StoreChangeFeed> feed;
    std::vector<std::string> applied;
    /// When the store last began to reply to this instance again.
    Instant lastFault{};
    StorePosition position;
    int storeCalls = 0;
    int lists = 0;
    /// The store does not reply to this instance, which detects that at once.
    bool storeUnavailable = false;
    /// The store does not reply to this instance since this time, which it detects only later.
    std::optional<Instant> silentSince;
    /// Neither runs nor replies. Messages to it are queued, as in a socket's buffer.
    bool frozen = false;
    std::vector<QueuedMessage> inbox;
    /// The messages of this instance arrive late, because it or its link is slow.
    Duration sendDelay{};
};

/// Links follow the instances' requests and deliver messages immediately. The store replies to a watch in each step.
class StoreChangeFeedTest : public testing::Test
{
protected:
    void addInstance(const std::string &name, const std::string &domain)
    {
        const InstanceItem instanceItem{.name = name, .domain = domain, .peerAddress = "10.0.0.1:1"};
        this->instanceItems[name] = instanceItem;
        FeedHarness &harness = this->harnesses[name];
        harness.feed = std::make_unique<StoreChangeFeed>(StoreChangeFeed::Options{.instance = name, .domain = domain, .historyBytes = 200});
        for (auto &[other, entry] : this->harnesses) {
            entry.feed->setInstance(instanceItem);
            harness.feed->setInstance(this->instanceItems.at(other));
        }
        this->list(harness);
    }

    void removeInstance(const std::string &name)
    {
        this->harnesses.erase(name);
        this->instanceItems.erase(name);
        for (auto &[other, harness] : this->harnesses) {
            harness.feed->removeInstance(name);
        }
        this->relink();
    }

    void list(FeedHarness &harness)
    {
        harness.applied.clear();
        for (const StoreItem &item : this->store) {
            harness.applied.push_back(item.key);
        }
        ++harness.lists;
        harness.position = this->storePosition();
        EXPECT_TRUE(harness.feed->onListed(this->store, harness.position, this->now, this->now));
    }

    StorePosition storePosition() const
    {
        return {.epoch = this->epoch, .revision = this->storeRevision()};
    }

    /// The store comes back from a copy that lacks its last changes, and gives out their revisions again.
    void restoreOlderCopy(std::size_t lostChanges)
    {
        this->store.resize(this->store.size() - std::min(lostChanges, this->store.size()));
        ++this->epoch;
    }

    StoreRevision storeRevision() const
    {
        return this->store.empty() ? 1 : this->store.back().revision;
    }

    void write(const std::string &key)
    {
        this->store.push_back({.key = key, .value = "value", .revision = this->storeRevision() + 2});
        this->writtenAt[key] = this->now;
    }

    void relink()
    {
        std::set<std::pair<std::string, std::string>> desired;
        for (const auto &[name, harness] : this->harnesses) {
            for (const auto &[peer, address] : harness.feed->desiredPeers()) {
                const std::pair<std::string, std::string> link = std::minmax(name, peer);
                const auto dead = this->deadSince.find(link);
                const bool timedOut = dead != this->deadSince.end() && this->now - dead->second >= LINK_TIMEOUT;
                if (this->harnesses.contains(peer) && !this->blockedLinks.contains(link) && !timedOut) {
                    desired.insert(link);
                }
            }
        }
        const auto before = std::exchange(this->linked, desired);
        for (const auto &[left, right] : before) {
            if (!desired.contains({left, right})) {
                this->notifyLink(left, right, false);
            }
        }
        for (const auto &[left, right] : desired) {
            if (!before.contains({left, right})) {
                this->notifyLink(left, right, true);
            }
        }
        this->deliver();
    }

    void notifyLink(const std::string &left, const std::string &right, bool up)
    {
        for (const auto &[here, there] : {std::pair(left, right), std::pair(right, left)}) {
            const auto harness = this->harnesses.find(here);
            if (harness == this->harnesses.end()) {
                continue;
            }
            std::erase_if(harness->second.inbox, [&peer = there](const auto &queued) { return queued.from == peer; });
            if (up) {
                harness->second.feed->onLinkUp(there, this->now);
            } else {
                harness->second.feed->onLinkDown(there, this->now);
            }
        }
    }

    void deliver()
    {
        bool anyAction = true;
        for (int round = 0; anyAction; ++round) {
            if (round == MAXIMUM_MESSAGE_ROUNDS) {
                ADD_FAILURE() << "the messages between the instances do not come to rest";
                return;
            }
            anyAction = false;
            for (auto &[name, harness] : this->harnesses) {
                if (harness.frozen) {
                    continue;
                }
                this->readInbox(harness);
                for (const StoreFeedAction &action : harness.feed->takeActions()) {
                    anyAction = true;
                    this->perform(name, harness, action);
                }
            }
        }
    }

    void perform(const std::string &name, FeedHarness &harness, const StoreFeedAction &action)
    {
        std::visit(Visitor{[&](const SendStoreMessage &send) { this->enqueue(name, send); },
                           [&](const ApplyRelayedEvents &relayed) {
                               for (const StoreEvent &event : relayed.events) {
                                   this->apply(harness, std::get<StoreItem>(event));
                               }
                               EXPECT_EQ(relayed.upTo.epoch, harness.position.epoch) << "changes of another epoch";
                               harness.position = std::max(harness.position, relayed.upTo);
                           },
                           [&harness](const ApplyRelayedSnapshot &snapshot) {
                               EXPECT_GE(snapshot.position, harness.position) << "a snapshot must not go back";
                               harness.applied.clear();
                               for (const StoreItem &item : snapshot.items) {
                                   harness.applied.push_back(item.key);
                               }
                               harness.position = snapshot.position;
                           },
                           [](const ReportMissingChanges &) {}},
                   action);
    }

    void enqueue(const std::string &from, const SendStoreMessage &send)
    {
        const auto receiver = this->harnesses.find(send.peer);
        if (receiver == this->harnesses.end() || !this->linked.contains(std::minmax(from, send.peer))
            || this->deadSince.contains(std::minmax(from, send.peer))) {
            return;
        }
        receiver->second.inbox.push_back({.from = from, .send = send, .due = this->now + this->harnesses.at(from).sendDelay});
    }

    void readInbox(FeedHarness &harness)
    {
        const auto isDue = [this](const QueuedMessage &queued) { return queued.due <= this->now; };
        std::vector<QueuedMessage> arrived;
        std::copy_if(harness.inbox.begin(), harness.inbox.end(), std::back_inserter(arrived), isDue);
        std::erase_if(harness.inbox, isDue);
        for (const QueuedMessage &queued : arrived) {
            std::visit(Visitor{[&](const PeerStoreDigest &digest) { harness.feed->onDigest(queued.from, digest, this->now); },
                               [&](const PeerStoreEvents &events) { harness.feed->onEvents(queued.from, events, this->now); },
                               [&](const PeerStoreSnapshot &snapshot) { harness.feed->onSnapshot(queued.from, snapshot, this->now); }},
                       queued.send.message);
        }
    }

    static void apply(FeedHarness &harness, const StoreItem &item)
    {
        EXPECT_GT(item.revision, harness.position.revision) << "change delivered twice or out of order";
        harness.applied.push_back(item.key);
    }

    void watch(FeedHarness &harness)
    {
        if (harness.feed->followsPeer() || harness.feed->awaitsNewEpoch(this->now)) {
            harness.feed->onWatchSuspended(this->now);
            return;
        }
        ++harness.storeCalls;
        const Duration lossDetection = harness.feed->hasSubscribers() ? RELAY_WATCH_LOSS_DETECTION : WATCH_LOSS_DETECTION;
        if (harness.silentSince && this->now - *harness.silentSince < lossDetection) {
            return;
        }
        if (harness.storeUnavailable || harness.silentSince) {
            harness.feed->onStoreUnavailable(this->now);
            return;
        }
        harness.feed->onStoreEpoch(this->epoch, this->now);
        if (harness.feed->isBehindEpoch()) {
            if (!harness.feed->awaitsNewEpoch(this->now)) {
                this->list(harness);
            }
            return;
        }
        std::vector<StoreEvent> events;
        for (const StoreItem &item : this->store) {
            if (item.revision > harness.position.revision) {
                apply(harness, item);
                events.emplace_back(item);
            }
        }
        harness.position = this->storePosition();
        harness.feed->onStoreEvents(events, harness.position, Duration::zero(), this->now, this->now);
    }

    void run(Duration time)
    {
        const Instant end = this->now + time;
        while (this->now < end) {
            this->now += STEP;
            this->relink();
            for (auto &[name, harness] : this->harnesses) {
                if (!harness.frozen) {
                    this->watch(harness);
                    harness.feed->advance(this->now);
                }
            }
            this->deliver();
        }
    }

    std::vector<std::string> relays() const
    {
        std::vector<std::string> names;
        for (const auto &[name, harness] : this->harnesses) {
            if (harness.feed->isRelay()) {
                names.push_back(name);
            }
        }
        return names;
    }

    std::vector<std::string> relaysIn(const std::string &domain) const
    {
        std::vector<std::string> names = this->relays();
        std::erase_if(names, [&](const std::string &name) { return this->instanceItems.at(name).domain != domain; });
        return names;
    }

    void addDomain(const std::string &domain, int instances)
    {
        for (int index = 0; index < instances; ++index) {
            this->addInstance(domain + std::to_string(index), domain);
        }
    }

    void expectAllApplied(const std::string &key) const
    {
        for (const auto &[name, harness] : this->harnesses) {
            EXPECT_EQ(std::count(harness.applied.begin(), harness.applied.end(), key), 1) << name;
        }
    }

    /// Returns how long ago the oldest change was made that the instance has not applied.
    Duration oldestMissing(const FeedHarness &harness) const
    {
        const auto missing
            = std::find_if(this->store.rbegin(), this->store.rend(), [&harness](const StoreItem &item) { return item.revision <= harness.position.revision; });
        return missing == this->store.rbegin() ? Duration::zero() : this->now - this->writtenAt.at(std::prev(missing)->key);
    }

    /// Makes a follower miss more changes than its peers hold, and cuts its links. Resets the counts of calls.
    FeedHarness &fallBehind()
    {
        const auto follower = std::find_if(this->harnesses.begin(), this->harnesses.end(), [](const auto &entry) { return !entry.second.feed->isRelay(); });
        follower->second.frozen = true;
        this->run(milliseconds(500));
        for (int index = 0; index < 100; ++index) {
            this->write("k" + std::to_string(index));
        }
        this->run(milliseconds(2000));
        this->resetCallCounts();
        // The links close while the instance is frozen because both sides detect the silence.
        for (const std::string &relay : this->relaysIn(this->instanceItems.at(follower->first).domain)) {
            this->blockedLinks.insert(std::minmax(follower->first, relay));
        }
        this->relink();
        follower->second.frozen = false;
        return follower->second;
    }

    void resetCallCounts()
    {
        for (auto &[name, harness] : this->harnesses) {
            harness.storeCalls = 0;
            harness.lists = 0;
        }
    }

    Instant now{std::chrono::seconds(100)};
    StoreEpoch epoch = 1;
    std::map<std::string, FeedHarness> harnesses;
    std::map<std::string, InstanceItem> instanceItems;
    std::vector<StoreItem> store;
    std::map<std::string, Instant> writtenAt;
    std::set<std::pair<std::string, std::string>> linked;
    /// Pairs that cannot be linked, in lexicographic order.
    std::set<std::pair<std::string, std::string>> blockedLinks;
    /// Links that are open and deliver nothing, by the time since which they do.
    std::map<std::pair<std::string, std::string>, Instant> deadSince;
};

class StoreChangeFeedDelayTest : public StoreChangeFeedTest, public testing::WithParamInterface<unsigned>
{
};

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

TEST_F(StoreChangeFeedTest, twoRelaysPerDomainWatchTheStore)
{
    this->addDomain("a", 6);
    this->addDomain("b", 5);
    this->run(milliseconds(2000));
    this->resetCallCounts();
    EXPECT_EQ(this->relaysIn("a").size(), 2U);
    EXPECT_EQ(this->relaysIn("b").size(), 2U);
    this->write("k1");
    this->run(milliseconds(200));
    this->expectAllApplied("k1");
    for (const auto &[name, harness] : this->harnesses) {
        EXPECT_EQ(harness.storeCalls > 0, harness.feed->isRelay()) << name;
        EXPECT_TRUE(harness.feed->isRelay() || !harness.feed->hasSubscribers()) << name;
    }
    for (const auto &[name, harness] : this->harnesses) {
        if (!harness.feed->isRelay()) {
            EXPECT_TRUE(this->harnesses.at(harness.feed->sourcePeer().value_or(name)).feed->hasSubscribers()) << name;
        }
    }
}

TEST_F(StoreChangeFeedTest, aLargeDomainHasMoreRelaysWithBoundedFollowers)
{
    this->addDomain("a", 100);
    this->run(milliseconds(2000));
    const std::vector<std::string> relays = this->relaysIn("a");
    EXPECT_EQ(relays.size(), 4U);
    std::map<std::string, int> followers;
    for (const auto &[name, harness] : this->harnesses) {
        EXPECT_LE(harness.feed->desiredPeers().size(), harness.feed->isRelay() ? 3U : 2U) << name;
        if (!harness.feed->isRelay()) {
            ASSERT_TRUE(harness.feed->sourcePeer()) << name;
            ++followers[*harness.feed->sourcePeer()];
        }
    }
    for (const auto &[relay, count] : followers) {
        EXPECT_LE(count, 40) << relay;
    }
    this->write("k1");
    this->run(milliseconds(200));
    this->expectAllApplied("k1");
}

/// Guards against relays on the weakest instances, and against more watches than the strongest need.
TEST(StoreChangeFeedRelaysTest, theStrongestInstancesWatchTheStoreForMoreFollowers)
{
    static constexpr int INSTANCES = 60;
    std::vector<InstanceItem> items;
    for (int index = 0; index < INSTANCES; ++index) {
        items.push_back({.name = "i" + std::to_string(index), .domain = "a", .peerAddress = "10.0.0.1:1", .capacity = index < 3 ? 0.5 : 0.12});
    }
    std::set<std::string> relays;
    for (const InstanceItem &item : items) {
        StoreChangeFeed feed({.instance = item.name, .domain = "a"});
        EXPECT_FALSE(feed.hasRelays());
        feed.replaceInstances(items);
        if (feed.isRelay()) {
            relays.insert(item.name);
        }
        EXPECT_EQ(feed.hasRelays(), !feed.isRelay());
    }
    EXPECT_EQ(relays.size(), 2U);
    for (const std::string &relay : relays) {
        EXPECT_TRUE(relay == "i0" || relay == "i1" || relay == "i2") << relay;
    }
}

TEST_F(StoreChangeFeedTest, anInstanceWithoutPeersWatchesTheStore)
{
    this->addInstance("a0", "a");
    this->run(milliseconds(1000));
    this->write("k1");
    this->run(milliseconds(100));
    this->expectAllApplied("k1");
    EXPECT_FALSE(this->harnesses.at("a0").feed->followsPeer());
}

TEST_F(StoreChangeFeedTest, followersAbandonFrozenRelaysAfterThePeerTimeout)
{
    this->addDomain("a", 4);
    this->run(milliseconds(1000));
    for (const std::string &relay : this->relaysIn("a")) {
        this->harnesses.at(relay).frozen = true;
    }
    this->run(milliseconds(1700));
    this->write("k1");
    this->run(milliseconds(200));
    for (const auto &[name, harness] : this->harnesses) {
        EXPECT_EQ(std::count(harness.applied.begin(), harness.applied.end(), "k1"), harness.frozen ? 0 : 1) << name;
    }
}

TEST_F(StoreChangeFeedTest, aRelayWithoutTheStoreUsesARelayOfAnotherDomain)
{
    this->addDomain("a", 4);
    this->addDomain("b", 4);
    this->run(milliseconds(1000));
    for (auto &[name, harness] : this->harnesses) {
        harness.storeUnavailable = this->instanceItems.at(name).domain == "a";
    }
    this->run(milliseconds(600));
    this->write("k1");
    this->run(milliseconds(300));
    this->expectAllApplied("k1");
}

/// Instances that lose the store together must not become each other's sources: none of them would then notice that
/// changes are missing.
TEST_F(StoreChangeFeedTest, noInstanceHasASourceDuringAStoreOutage)
{
    this->addDomain("a", 4);
    this->addDomain("b", 4);
    this->run(milliseconds(1000));
    for (auto &[name, harness] : this->harnesses) {
        harness.storeUnavailable = true;
    }
    this->run(milliseconds(1500));
    for (const auto &[name, harness] : this->harnesses) {
        EXPECT_EQ(harness.feed->sourcePeer(), std::nullopt) << name << " follows " << harness.feed->sourcePeer().value_or("none");
    }
    this->write("k1");
    for (auto &[name, harness] : this->harnesses) {
        harness.storeUnavailable = false;
    }
    this->run(milliseconds(300));
    this->expectAllApplied("k1");
}

TEST_F(StoreChangeFeedTest, reportsHowLongAgoTheStoreConfirmedItsKnowledge)
{
    this->addDomain("a", 4);
    this->run(milliseconds(2000));
    for (const auto &[name, harness] : this->harnesses) {
        ASSERT_TRUE(harness.feed->confirmedAt()) << name;
        EXPECT_LE(this->now - *harness.feed->confirmedAt(), STORE_DIGEST_INTERVAL + STEP) << name;
    }
    for (auto &[name, harness] : this->harnesses) {
        harness.storeUnavailable = true;
    }
    this->run(milliseconds(3000));
    for (const auto &[name, harness] : this->harnesses) {
        EXPECT_GE(this->now - *harness.feed->confirmedAt(), milliseconds(3000)) << name;
    }
}

/// Guards against a confirmed configuration that is late behind slow relays, whose messages arrive regularly and late.
TEST_F(StoreChangeFeedTest, followersOfSlowRelaysApplyEachChangeInTime)
{
    this->addDomain("a", 6);
    this->run(milliseconds(2000));
    for (const std::string &relay : this->relaysIn("a")) {
        this->harnesses.at(relay).sendDelay = APPLY_BOUND + milliseconds(1000);
    }
    Duration worst{};
    for (int step = 0; step < 300; ++step) {
        this->write("k" + std::to_string(step));
        this->run(STEP);
        for (const auto &[name, harness] : this->harnesses) {
            worst = std::max(worst, this->oldestMissing(harness));
        }
    }
    EXPECT_LE(worst, APPLY_BOUND);
}

/// Guards against a storm of messages: a relay that lost the store and a follower that reaches it chose each other as sources,
/// gave each other up again, and so on, as fast as the network carried it.
TEST_F(StoreChangeFeedTest, aRelayAndItsFollowerDoNotKeepChoosingEachOther)
{
    for (const char *domain : {"a", "b", "c", "d"}) {
        this->addDomain(domain, 4);
    }
    this->run(milliseconds(2000));
    // Relays and followers find their next sources at the same time, as the store returns to the followers and to the relays of one
    // domain.
    for (const char *domain : {"a", "b", "c", "d"}) {
        for (auto &[name, harness] : this->harnesses) {
            harness.storeUnavailable = true;
        }
        this->run(milliseconds(1000));
        for (auto &[name, harness] : this->harnesses) {
            harness.storeUnavailable = harness.feed->isRelay() && this->instanceItems.at(name).domain != domain;
        }
        this->run(milliseconds(1000));
    }
    this->write("k1");
    this->run(milliseconds(200));
    this->expectAllApplied("k1");
}

/// Guards against a confirmed configuration that is late at instances that reach the store, because relays lose the store one
/// after the other and links fall silent: each delay of detection was bounded, but they added up.
TEST_P(StoreChangeFeedDelayTest, instancesThatReachTheStoreApplyEachChangeInTime)
{
    for (const char *domain : {"a", "b", "c", "d"}) {
        this->addDomain(domain, 4);
    }
    pcg32 random(GetParam());
    std::map<std::string, Instant> silentUntil;
    std::map<std::pair<std::string, std::string>, Instant> deadUntil;
    Duration worst{};
    for (int step = 0; step < 6000; ++step) {
        if (step % 3 == 0) {
            this->write("k" + std::to_string(step));
        }
        for (auto &[name, harness] : this->harnesses) {
            if (random(120) == 0 && !harness.silentSince) {
                harness.silentSince = this->now;
                silentUntil[name] = this->now + milliseconds(1000 + random(5000));
            } else if (harness.silentSince && this->now >= silentUntil[name]) {
                harness.silentSince.reset();
                harness.lastFault = this->now;
            }
        }
        for (const auto &link : this->linked) {
            if (random(120) == 0 && !this->deadSince.contains(link)) {
                this->deadSince[link] = this->now;
                deadUntil[link] = this->now + milliseconds(1000 + random(6000));
            }
        }
        std::erase_if(this->deadSince, [&](const auto &dead) { return this->now >= deadUntil.at(dead.first); });
        this->run(STEP);
        for (const auto &[name, harness] : this->harnesses) {
            if (!harness.silentSince && this->now - harness.lastFault >= CONTACT_TIME) {
                worst = std::max(worst, this->oldestMissing(harness));
            }
        }
    }
    EXPECT_LE(worst, APPLY_BOUND);
}

INSTANTIATE_TEST_SUITE_P(Seeds, StoreChangeFeedDelayTest, testing::Values(11U, 74U, 129U, 349U));

/// Guards against a list that replaces later changes: servers that had left or drained came back until the next change.
TEST_F(StoreChangeFeedTest, aListOlderThanTheRelayedChangesIsIgnored)
{
    this->addDomain("a", 4);
    this->run(milliseconds(1000));
    const auto follower = std::find_if(this->harnesses.begin(), this->harnesses.end(), [](const auto &entry) { return !entry.second.feed->isRelay(); });
    const StorePosition listed = this->storePosition();
    this->write("k1");
    this->run(milliseconds(200));
    EXPECT_FALSE(follower->second.feed->onListed({}, listed, this->now, this->now));
    this->write("k2");
    this->run(milliseconds(200));
    this->expectAllApplied("k1");
    this->expectAllApplied("k2");
}

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

TEST_F(StoreChangeFeedTest, replacesALeavingRelayImmediately)
{
    this->addDomain("a", 4);
    this->run(milliseconds(1000));
    const std::vector<std::string> before = this->relaysIn("a");
    this->harnesses.at(before.front()).feed->leave(this->now);
    this->deliver();
    for (const auto &[name, harness] : this->harnesses) {
        EXPECT_NE(harness.feed->sourcePeer(), before.front()) << name;
    }
    this->removeInstance(before.front());
    this->write("k1");
    this->run(milliseconds(200));
    this->expectAllApplied("k1");
    EXPECT_EQ(this->relaysIn("a").size(), 2U);
}

TEST_F(StoreChangeFeedTest, anInstanceBehindItsPeersHistoryReadsTheStore)
{
    this->addDomain("a", 4);
    this->run(milliseconds(1000));
    FeedHarness &follower = this->fallBehind();
    this->blockedLinks.clear();
    this->run(milliseconds(300));
    this->expectAllApplied("k0");
    this->expectAllApplied("k99");
    EXPECT_GT(follower.storeCalls, 0);
}

/// Guards against an instance that the store refuses and that stays at an old configuration, because its peers no longer hold
/// the changes that it lacks.
TEST_F(StoreChangeFeedTest, anInstanceThatTheStoreRefusesCatchesUpWithoutHistory)
{
    this->addDomain("a", 4);
    this->run(milliseconds(1000));
    FeedHarness &follower = this->fallBehind();
    follower.storeUnavailable = true;
    this->blockedLinks.clear();
    for (int step = 0; step < 10; ++step) {
        this->run(STEP);
        const std::size_t applied = follower.applied.size();
        EXPECT_TRUE(applied == 0 || applied == 100) << "a partial history must not be applied, not even " << applied;
    }
    this->expectAllApplied("k0");
    this->expectAllApplied("k99");
    this->write("later");
    this->run(milliseconds(200));
    this->expectAllApplied("later");
}

/// The same through a relay that the store refuses as well.
TEST_F(StoreChangeFeedTest, aDomainThatTheStoreRefusesCatchesUpThroughAnotherDomain)
{
    this->addDomain("a", 4);
    this->addDomain("b", 4);
    this->run(milliseconds(1000));
    for (auto &[name, harness] : this->harnesses) {
        harness.storeUnavailable = this->instanceItems.at(name).domain == "a";
        harness.frozen = harness.storeUnavailable;
    }
    for (int index = 0; index < 100; ++index) {
        this->write("k" + std::to_string(index));
    }
    // All links of the domain close because it is silent.
    for (const auto &[left, one] : this->harnesses) {
        for (const auto &[right, other] : this->harnesses) {
            this->blockedLinks.insert(std::minmax(left, right));
        }
    }
    this->run(milliseconds(500));
    this->blockedLinks.clear();
    for (auto &[name, harness] : this->harnesses) {
        harness.frozen = false;
    }
    this->run(milliseconds(2500));
    this->expectAllApplied("k0");
    this->expectAllApplied("k99");
}

TEST_F(StoreChangeFeedTest, deliversChangesOnceAndInOrderUnderRandomFaults)
{
    this->addDomain("a", 5);
    this->addDomain("b", 4);
    this->addDomain("c", 3);
    pcg32 random(7);
    for (int round = 0; round < 300; ++round) {
        this->write("k" + std::to_string(round));
        for (auto &[name, harness] : this->harnesses) {
            harness.storeUnavailable = random(6) == 0;
            harness.frozen = random(12) == 0;
        }
        this->blockedLinks.clear();
        for (const auto &[left, one] : this->harnesses) {
            for (const auto &[right, other] : this->harnesses) {
                if (left < right && random(10) == 0) {
                    this->blockedLinks.insert({left, right});
                }
            }
        }
        this->run(milliseconds(100 * (1 + random(20))));
    }
    this->blockedLinks.clear();
    for (auto &[name, harness] : this->harnesses) {
        harness.storeUnavailable = false;
        harness.frozen = false;
    }
    this->run(milliseconds(3000));
    for (int round = 0; round < 300; ++round) {
        this->expectAllApplied("k" + std::to_string(round));
    }
}

} // namespace ragwort
