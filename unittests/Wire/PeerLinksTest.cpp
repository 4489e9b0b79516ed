#include "ragwortcart/Wire/PeerLinks.h"
#include "LoopThread.h"

#include <gtest/gtest.h>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace ragwort {

/// A `PeerLinks` object that listens on loopback and records its events.
class LinkEndpoint
{
public:
    LinkEndpoint(const std::string &name, int port) : address("127.0.0.1:" + std::to_string(port))
    {
        PeerLinks::Handlers handlers;
        handlers.onPeerConnected = [this](const std::string &peer) {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->peers.insert(peer);
            ++this->connectCount;
        };
        handlers.onPeerDisconnected = [this](const std::string &peer) {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->peers.erase(peer);
        };
        handlers.onMessage = [this](const std::string &peer, const std::string &bytes) {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->messages.push_back(peer + ':' + bytes);
        };
        this->links = std::make_unique<PeerLinks>(PeerLinks::Options{name, this->address}, handlers);
        this->startError = this->links->start();
    }

    bool isLinkedTo(const std::string &peer)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->peers.contains(peer);
    }

    bool received(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return std::find(this->messages.begin(), this->messages.end(), text) != this->messages.end();
    }

    std::string address;
    std::string startError;
    std::mutex mutex;
    std::set<std::string> peers;
    std::atomic<int> connectCount{0};
    std::vector<std::string> messages;
    std::unique_ptr<PeerLinks> links;
};

/// The first of the ports that the tests use. No two tests use the same port.
static constexpr int PORT = 18450;

TEST(PeerLinksTest, linksCarryMessagesBothWaysAndReconnectAfterRestart)
{
    LinkEndpoint one("one", PORT);
    ASSERT_EQ(one.startError, "");
    auto other = std::make_unique<LinkEndpoint>("other", PORT + 1);
    ASSERT_EQ(other->startError, "");
    one.links->setDesiredPeers({{"other", other->address}});
    ASSERT_TRUE(eventually([&] { return one.isLinkedTo("other") && other->isLinkedTo("one"); }));
    one.links->send("other", std::string("a\0b", 3));
    other->links->send("one", "back");
    ASSERT_TRUE(eventually([&] { return other->received(std::string("one:a\0b", 7)) && one.received("other:back"); }));
    other.reset();
    ASSERT_TRUE(eventually([&] { return !one.isLinkedTo("other"); }));
    other = std::make_unique<LinkEndpoint>("other", PORT + 1);
    ASSERT_TRUE(eventually([&] { return one.isLinkedTo("other"); }));
}

TEST(PeerLinksTest, keepsOneLinkWhenBothSidesConnect)
{
    LinkEndpoint one("one", PORT + 2);
    LinkEndpoint other("other", PORT + 3);
    one.links->setDesiredPeers({{"other", other.address}});
    other.links->setDesiredPeers({{"one", one.address}});
    ASSERT_TRUE(eventually([&] { return one.isLinkedTo("other") && other.isLinkedTo("one"); }));
    // If the two sides kept different links, links would open and close at every check for missing links.
    std::this_thread::sleep_for(std::chrono::seconds(1));
    EXPECT_LE(one.connectCount, 2);
    EXPECT_LE(other.connectCount, 2);
    ASSERT_TRUE(eventually([&] {
        one.links->send("other", "hello");
        return other.received("one:hello");
    }));
}

/// Guards against a query that fails because its aggregator has closed the link that the query came over: the aggregator had opened it for
/// another purpose, which has ended.
TEST(PeerLinksTest, aLinkInUseByTheOtherSideIsKeptWhenItIsNoLongerDesired)
{
    LinkEndpoint one("one", PORT + 8);
    LinkEndpoint other("other", PORT + 9);
    one.links->setDesiredPeers({{"other", other.address}});
    ASSERT_TRUE(eventually([&] { return one.isLinkedTo("other") && other.isLinkedTo("one"); }));
    one.links->setDesiredPeers({});
    one.links->send("other", "answer");
    EXPECT_TRUE(eventually([&] { return other.received("one:answer"); }));
    EXPECT_TRUE(one.isLinkedTo("other"));
}

TEST(PeerLinksTest, closesOutgoingLinkThatIsNoLongerDesired)
{
    LinkEndpoint one("one", PORT + 6);
    LinkEndpoint other("other", PORT + 7);
    one.links->setDesiredPeers({{"other", other.address}});
    ASSERT_TRUE(eventually([&] { return one.isLinkedTo("other") && other.isLinkedTo("one"); }));
    other.links->setDesiredPeers({});
    one.links->setDesiredPeers({});
    EXPECT_TRUE(eventually([&] {
        // Traffic prevents the link from being closed by the receive timeout.
        one.links->send("other", "still here");
        other.links->send("one", "here too");
        return !one.isLinkedTo("other") && !other.isLinkedTo("one");
    }));
}

TEST(PeerLinksTest, startReportsAddressInUse)
{
    const LinkEndpoint one("one", PORT + 4);
    const LinkEndpoint same("same", PORT + 4);
    EXPECT_NE(same.startError, "");
}

} // namespace ragwort
