/// \file
/// Tests the propagation of store changes between instances.
#include "StoreChangeFeedHarness.h"

namespace ragwort {

namespace {

class StoreChangeFeedDelayTest : public StoreChangeFeedTest, public testing::WithParamInterface<unsigned>
{
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
