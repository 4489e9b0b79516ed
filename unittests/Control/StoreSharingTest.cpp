/// \file
/// Sharing of the store's changes between instances, in virtual time: a few instances, their links, and a store that may
/// refuse some of them.
#include "ragwortcart/Control/StoreSharing.h"

#include "ragwortcart/Support/Visitor.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <memory>
#include <pcg_random.hpp>
#include <set>

namespace ragwort {

using std::chrono::milliseconds;

namespace {

constexpr Duration STEP = milliseconds(100);

/// One instance as its control thread would drive it: it watches the store unless the decisions say that a peer tells all.
struct Node
{
    std::unique_ptr<StoreSharing> sharing;
    std::vector<std::string> applied;
    StoreRevision revision = 0;
    int storeCalls = 0;
    bool refused = false;
    /// Neither runs nor answers; what is sent to it waits, as in a socket's buffer.
    bool frozen = false;
    std::vector<std::pair<std::string, SendSharing>> inbox;
};

/// Links are made as wanted, and carry messages at once. The store answers a watch in each step.
class StoreSharingTest : public testing::Test
{
protected:
    void addInstance(const std::string &name, const std::string &domain)
    {
        const InstanceFact fact{.name = name, .domain = domain, .peerAddress = "10.0.0.1:1"};
        this->facts[name] = fact;
        Node &node = this->nodes[name];
        node.sharing = std::make_unique<StoreSharing>(StoreSharing::Options{.instance = name, .domain = domain, .historyBytes = 200});
        for (auto &[other, each] : this->nodes) {
            each.sharing->setInstance(fact);
            node.sharing->setInstance(this->facts.at(other));
        }
        this->list(node);
    }

    void removeInstance(const std::string &name)
    {
        this->nodes.erase(name);
        this->facts.erase(name);
        for (auto &[other, node] : this->nodes) {
            node.sharing->removeInstance(name);
        }
        this->relink();
    }

    void list(Node &node)
    {
        for (const StoreItem &item : this->store) {
            node.applied.push_back(item.key);
        }
        node.revision = this->storeRevision();
        node.sharing->onListed(node.revision, this->now);
    }

    StoreRevision storeRevision() const
    {
        return this->store.empty() ? 1 : this->store.back().revision;
    }

    void write(const std::string &key)
    {
        this->store.push_back({.key = key, .value = "value", .revision = this->storeRevision() + 2});
    }

    void relink()
    {
        std::set<std::pair<std::string, std::string>> wanted;
        for (const auto &[name, node] : this->nodes) {
            for (const auto &[peer, address] : node.sharing->wantedLinks()) {
                if (this->nodes.contains(peer) && !this->cut.contains(std::minmax(name, peer))) {
                    wanted.insert(std::minmax(name, peer));
                }
            }
        }
        const auto before = std::exchange(this->linked, wanted);
        for (const auto &[left, right] : before) {
            if (!wanted.contains({left, right})) {
                this->tellLink(left, right, false);
            }
        }
        for (const auto &[left, right] : wanted) {
            if (!before.contains({left, right})) {
                this->tellLink(left, right, true);
            }
        }
        this->deliver();
    }

    void tellLink(const std::string &left, const std::string &right, bool up)
    {
        for (const auto &[here, there] : {std::pair(left, right), std::pair(right, left)}) {
            const auto node = this->nodes.find(here);
            if (node == this->nodes.end()) {
                continue;
            }
            std::erase_if(node->second.inbox, [&peer = there](const auto &waiting) { return waiting.first == peer; });
            if (up) {
                node->second.sharing->onLinkUp(there, this->now);
            } else {
                node->second.sharing->onLinkDown(there, this->now);
            }
        }
    }

    void deliver()
    {
        bool moved = true;
        while (moved) {
            moved = false;
            for (auto &[name, node] : this->nodes) {
                if (node.frozen) {
                    continue;
                }
                this->readInbox(node);
                for (const SharingAction &action : node.sharing->takeActions()) {
                    moved = true;
                    this->perform(name, node, action);
                }
            }
        }
    }

    void perform(const std::string &name, Node &node, const SharingAction &action)
    {
        std::visit(Visitor{[&](const SendSharing &send) { this->carry(name, send); },
                           [&](const ApplySharedEvents &shared) {
                               for (const StoreEvent &event : shared.events) {
                                   this->apply(node, std::get<StoreItem>(event));
                               }
                               node.revision = std::max(node.revision, shared.upTo);
                           }},
                   action);
    }

    void carry(const std::string &from, const SendSharing &send)
    {
        const auto receiver = this->nodes.find(send.peer);
        if (receiver == this->nodes.end() || !this->linked.contains(std::minmax(from, send.peer))) {
            return;
        }
        receiver->second.inbox.emplace_back(from, send);
    }

    void readInbox(Node &node)
    {
        for (const auto &[from, send] : std::exchange(node.inbox, {})) {
            std::visit(Visitor{[&, &peer = from](const PeerStoreDigest &digest) { node.sharing->onDigest(peer, digest, this->now); },
                               [&, &peer = from](const PeerStoreEvents &events) { node.sharing->onEvents(peer, events, this->now); }},
                       send.message);
        }
    }

    static void apply(Node &node, const StoreItem &item)
    {
        EXPECT_GT(item.revision, node.revision) << "a change came twice or out of order";
        node.applied.push_back(item.key);
    }

    void watch(Node &node)
    {
        if (node.sharing->followsPeer()) {
            node.sharing->onStoreSilent(this->now);
            return;
        }
        ++node.storeCalls;
        if (node.refused) {
            node.sharing->onStoreSilent(this->now);
            return;
        }
        std::vector<StoreEvent> events;
        for (const StoreItem &item : this->store) {
            if (item.revision > node.revision) {
                apply(node, item);
                events.emplace_back(item);
            }
        }
        node.revision = this->storeRevision();
        node.sharing->onStoreEvents(events, node.revision, Duration::zero(), this->now);
    }

    void run(Duration time)
    {
        const Instant end = this->now + time;
        while (this->now < end) {
            this->now += STEP;
            this->relink();
            for (auto &[name, node] : this->nodes) {
                if (!node.frozen) {
                    this->watch(node);
                    node.sharing->advance(this->now);
                }
            }
            this->deliver();
        }
    }

    std::vector<std::string> relays() const
    {
        std::vector<std::string> names;
        for (const auto &[name, node] : this->nodes) {
            if (node.sharing->isRelay()) {
                names.push_back(name);
            }
        }
        return names;
    }

    std::vector<std::string> relaysIn(const std::string &domain) const
    {
        std::vector<std::string> names = this->relays();
        std::erase_if(names, [&](const std::string &name) { return this->facts.at(name).domain != domain; });
        return names;
    }

    void addDomain(const std::string &domain, int instances)
    {
        for (int index = 0; index < instances; ++index) {
            this->addInstance(domain + std::to_string(index), domain);
        }
    }

    void expectAllKnow(const std::string &key) const
    {
        for (const auto &[name, node] : this->nodes) {
            EXPECT_EQ(std::count(node.applied.begin(), node.applied.end(), key), 1) << name;
        }
    }

    void forgetCalls()
    {
        for (auto &[name, node] : this->nodes) {
            node.storeCalls = 0;
        }
    }

    Instant now{std::chrono::seconds(100)};
    std::map<std::string, Node> nodes;
    std::map<std::string, InstanceFact> facts;
    std::vector<StoreItem> store;
    std::set<std::pair<std::string, std::string>> linked;
    /// Pairs that can't be linked, the lesser name first.
    std::set<std::pair<std::string, std::string>> cut;
};

} // namespace

TEST_F(StoreSharingTest, twoInstancesOfEachDomainWatchForTheOthers)
{
    this->addDomain("a", 6);
    this->addDomain("b", 5);
    this->run(milliseconds(2000));
    this->forgetCalls();
    EXPECT_EQ(this->relaysIn("a").size(), 2U);
    EXPECT_EQ(this->relaysIn("b").size(), 2U);
    this->write("k1");
    this->run(milliseconds(200));
    this->expectAllKnow("k1");
    for (const auto &[name, node] : this->nodes) {
        EXPECT_EQ(node.storeCalls > 0, node.sharing->isRelay()) << name;
        EXPECT_TRUE(node.sharing->isRelay() || !node.sharing->hasSubscribers()) << name;
    }
    for (const auto &[name, node] : this->nodes) {
        if (!node.sharing->isRelay()) {
            EXPECT_TRUE(this->nodes.at(node.sharing->followed().value_or(name)).sharing->hasSubscribers()) << name;
        }
    }
}

TEST_F(StoreSharingTest, aLargeDomainHasMoreRelaysAndNoneOfThemServesMoreThanItsShare)
{
    this->addDomain("a", 100);
    this->run(milliseconds(2000));
    const std::vector<std::string> relays = this->relaysIn("a");
    EXPECT_EQ(relays.size(), 4U);
    std::map<std::string, int> listeners;
    for (const auto &[name, node] : this->nodes) {
        EXPECT_LE(node.sharing->wantedLinks().size(), node.sharing->isRelay() ? 3U : 2U) << name;
        if (!node.sharing->isRelay()) {
            ASSERT_TRUE(node.sharing->followed()) << name;
            ++listeners[*node.sharing->followed()];
        }
    }
    for (const auto &[relay, count] : listeners) {
        EXPECT_LE(count, 40) << relay;
    }
    this->write("k1");
    this->run(milliseconds(200));
    this->expectAllKnow("k1");
}

TEST_F(StoreSharingTest, anInstanceWithoutPeersWatchesItself)
{
    this->addInstance("a0", "a");
    this->run(milliseconds(1000));
    this->write("k1");
    this->run(milliseconds(100));
    this->expectAllKnow("k1");
    EXPECT_FALSE(this->nodes.at("a0").sharing->followsPeer());
}

TEST_F(StoreSharingTest, aFrozenRelayIsLeftWithinItsSilenceLimit)
{
    this->addDomain("a", 4);
    this->run(milliseconds(1000));
    for (const std::string &relay : this->relaysIn("a")) {
        this->nodes.at(relay).frozen = true;
    }
    this->run(milliseconds(1700));
    this->write("k1");
    this->run(milliseconds(200));
    for (const auto &[name, node] : this->nodes) {
        EXPECT_EQ(std::count(node.applied.begin(), node.applied.end(), "k1"), node.frozen ? 0 : 1) << name;
    }
}

TEST_F(StoreSharingTest, aRelayThatTheStoreRefusesHearsFromAnotherDomainAndSoDoItsFollowers)
{
    this->addDomain("a", 4);
    this->addDomain("b", 4);
    this->run(milliseconds(1000));
    for (auto &[name, node] : this->nodes) {
        node.refused = this->facts.at(name).domain == "a";
    }
    this->run(milliseconds(600));
    this->write("k1");
    this->run(milliseconds(300));
    this->expectAllKnow("k1");
}

TEST_F(StoreSharingTest, withTheStoreAwayNobodyClaimsToHearIt)
{
    this->addDomain("a", 4);
    this->addDomain("b", 4);
    this->run(milliseconds(1000));
    for (auto &[name, node] : this->nodes) {
        node.refused = true;
    }
    this->run(milliseconds(1500));
    for (const auto &[name, node] : this->nodes) {
        EXPECT_EQ(node.sharing->followed(), std::nullopt) << name << " listens to " << node.sharing->followed().value_or("nobody");
    }
    this->write("k1");
    for (auto &[name, node] : this->nodes) {
        node.refused = false;
    }
    this->run(milliseconds(300));
    this->expectAllKnow("k1");
}

TEST_F(StoreSharingTest, aLeavingRelayIsReplacedAtOnce)
{
    this->addDomain("a", 4);
    this->run(milliseconds(1000));
    const std::vector<std::string> before = this->relaysIn("a");
    this->nodes.at(before.front()).sharing->leave(this->now);
    this->deliver();
    for (const auto &[name, node] : this->nodes) {
        EXPECT_NE(node.sharing->followed(), before.front()) << name;
    }
    this->removeInstance(before.front());
    this->write("k1");
    this->run(milliseconds(200));
    this->expectAllKnow("k1");
    EXPECT_EQ(this->relaysIn("a").size(), 2U);
}

TEST_F(StoreSharingTest, whoMissedMoreThanPeersRememberAsksTheStore)
{
    this->addDomain("a", 4);
    this->run(milliseconds(1000));
    const auto follower = std::find_if(this->nodes.begin(), this->nodes.end(), [](const auto &each) { return !each.second.sharing->isRelay(); });
    follower->second.frozen = true;
    this->run(milliseconds(500));
    for (int index = 0; index < 100; ++index) {
        this->write("k" + std::to_string(index));
    }
    this->run(milliseconds(2000));
    this->forgetCalls();
    // Its links are gone while it is frozen, as both sides notice silence.
    for (const std::string &relay : this->relaysIn("a")) {
        this->cut.insert(std::minmax(follower->first, relay));
    }
    this->relink();
    follower->second.frozen = false;
    follower->second.refused = true;
    this->cut.clear();
    this->run(milliseconds(300));
    EXPECT_EQ(follower->second.applied.size(), 0U) << "a part of the changes would look like all of them";
    follower->second.refused = false;
    this->run(milliseconds(300));
    this->expectAllKnow("k0");
    this->expectAllKnow("k99");
}

TEST_F(StoreSharingTest, changesArriveOnceAndInOrderWhateverFails)
{
    this->addDomain("a", 5);
    this->addDomain("b", 4);
    this->addDomain("c", 3);
    pcg32 random(7);
    for (int round = 0; round < 300; ++round) {
        this->write("k" + std::to_string(round));
        for (auto &[name, node] : this->nodes) {
            node.refused = random(6) == 0;
            node.frozen = random(12) == 0;
        }
        this->cut.clear();
        for (const auto &[left, one] : this->nodes) {
            for (const auto &[right, other] : this->nodes) {
                if (left < right && random(10) == 0) {
                    this->cut.insert({left, right});
                }
            }
        }
        this->run(milliseconds(100 * (1 + random(20))));
    }
    this->cut.clear();
    for (auto &[name, node] : this->nodes) {
        node.refused = false;
        node.frozen = false;
    }
    this->run(milliseconds(3000));
    for (int round = 0; round < 300; ++round) {
        this->expectAllKnow("k" + std::to_string(round));
    }
}

} // namespace ragwort
