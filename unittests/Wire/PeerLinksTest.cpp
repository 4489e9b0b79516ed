#include "ragwortcart/Wire/PeerLinks.h"
#include "LoopThread.h"

#include <gtest/gtest.h>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace ragwort {

/// One end with what it has seen.
class LinkEnd
{
public:
    LinkEnd(const std::string &name, int port) : address("127.0.0.1:" + std::to_string(port))
    {
        PeerLinks::Handlers handlers;
        handlers.onUp = [this](const std::string &peer) {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->peers.insert(peer);
            ++this->timesUp;
        };
        handlers.onDown = [this](const std::string &peer) {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->peers.erase(peer);
        };
        handlers.onMessage = [this](const std::string &peer, const std::string &bytes) {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->messages.push_back(peer + ':' + bytes);
        };
        this->links = std::make_unique<PeerLinks>(PeerLinks::Options{name, this->address}, handlers);
        this->fault = this->links->start();
    }

    bool linkedTo(const std::string &peer)
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
    std::string fault;
    std::mutex mutex;
    std::set<std::string> peers;
    std::atomic<int> timesUp{0};
    std::vector<std::string> messages;
    std::unique_ptr<PeerLinks> links;
};

static constexpr int PORT = 18450;

TEST(PeerLinksTest, linksCarryMessagesBothWaysAndComeBackAfterARestart)
{
    LinkEnd one("one", PORT);
    ASSERT_EQ(one.fault, "");
    auto other = std::make_unique<LinkEnd>("other", PORT + 1);
    ASSERT_EQ(other->fault, "");
    one.links->setWanted({{"other", other->address}});
    ASSERT_TRUE(eventually([&] { return one.linkedTo("other") && other->linkedTo("one"); }));
    one.links->send("other", std::string("a\0b", 3));
    other->links->send("one", "back");
    ASSERT_TRUE(eventually([&] { return other->received(std::string("one:a\0b", 7)) && one.received("other:back"); }));
    other.reset();
    ASSERT_TRUE(eventually([&] { return !one.linkedTo("other"); }));
    other = std::make_unique<LinkEnd>("other", PORT + 1);
    ASSERT_TRUE(eventually([&] { return one.linkedTo("other"); }));
}

TEST(PeerLinksTest, whereBothOpenALinkOneIsKept)
{
    LinkEnd one("one", PORT + 2);
    LinkEnd other("other", PORT + 3);
    one.links->setWanted({{"other", other.address}});
    other.links->setWanted({{"one", one.address}});
    ASSERT_TRUE(eventually([&] { return one.linkedTo("other") && other.linkedTo("one"); }));
    // Where the two sides kept different links, they would go up and down at every retry.
    std::this_thread::sleep_for(std::chrono::seconds(1));
    EXPECT_LE(one.timesUp, 2);
    EXPECT_LE(other.timesUp, 2);
    ASSERT_TRUE(eventually([&] {
        one.links->send("other", "hello");
        return other.received("one:hello");
    }));
}

TEST(PeerLinksTest, aLinkThatIsNoLongerWantedIsClosedByTheSideThatOpenedIt)
{
    LinkEnd one("one", PORT + 6);
    LinkEnd other("other", PORT + 7);
    one.links->setWanted({{"other", other.address}});
    ASSERT_TRUE(eventually([&] { return one.linkedTo("other") && other.linkedTo("one"); }));
    other.links->setWanted({});
    one.links->setWanted({});
    EXPECT_TRUE(eventually([&] {
        // Talk keeps the link from being closed for its silence.
        one.links->send("other", "still here");
        other.links->send("one", "here too");
        return !one.linkedTo("other") && !other.linkedTo("one");
    }));
}

TEST(PeerLinksTest, aTakenAddressIsReported)
{
    const LinkEnd one("one", PORT + 4);
    const LinkEnd same("same", PORT + 4);
    EXPECT_NE(same.fault, "");
}

} // namespace ragwort
