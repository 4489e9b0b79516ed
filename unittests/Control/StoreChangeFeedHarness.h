/// \file
/// The fixture of the tests of the propagation of store changes: a few instances, their links, and a store that may be unavailable to some of them, in virtual
/// time.
#ifndef RAGWORTCART_UNITTESTS_CONTROL_STORECHANGEFEEDHARNESS_H
#define RAGWORTCART_UNITTESTS_CONTROL_STORECHANGEFEEDHARNESS_H

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

inline constexpr Duration STEP = milliseconds(100);
/// Messages that answer each other without any time passing come to rest within this number of rounds.
inline constexpr int MAXIMUM_MESSAGE_ROUNDS = 50;
/// Time until an instance detects that the store does not reply to its watch. The watch of an instance with followers is shorter.
inline constexpr Duration WATCH_LOSS_DETECTION = milliseconds(4100);
inline constexpr Duration RELAY_WATCH_LOSS_DETECTION = milliseconds(2400);
/// Time until both sides close a link that has fallen silent.
inline constexpr Duration LINK_TIMEOUT = milliseconds(3000);
/// Time within which an instance that reaches the store applies each change.
inline constexpr Duration APPLY_BOUND = milliseconds(5000);
/// An instance counts as reaching the store once it has done so for this time.
inline constexpr Duration CONTACT_TIME = milliseconds(5000);

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

} // namespace ragwort

#endif
