/// \file
/// Tests of the client of the metadata store: lists whose keys were chosen by other writers, and responses that are not valid.
#include "platform/StoreClient.h"

#include "PlatformFakes.h"
#include "Wire/LoopThread.h"
#include "Wire/RawResponseServer.h"
#include "platform/Names.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <gtest/gtest.h>
#include <memory>
#include <optional>

namespace ragwort::platform {

namespace {

/// Runs a client against servers that send given bytes.
class StoreClientTest : public testing::Test
{
protected:
    void SetUp() override
    {
        if (QCoreApplication::instance() == nullptr) {
            static int count = 1;
            static char name[] = "test";
            static char *arguments[] = {name, nullptr};
            static const QCoreApplication APPLICATION(count, arguments);
        }
    }

    /// Starts a call with \p start, which is given the client and a callback, and waits for its result.
    template <typename Value, typename Start>
    static Result<Value> call(const std::string &response, Start start)
    {
        const RawResponseServer server(response);
        StoreClient client({.address = server.address()});
        QEventLoop loop;
        std::optional<Result<Value>> result;
        start(client, [&](Result<Value> value) {
            result = std::move(value);
            loop.quit();
        });
        loop.exec();
        return std::move(*result);
    }

    /// Returns whether any call takes the response for an answer.
    static bool accepts(const std::string &response)
    {
        const auto range = call<StorePage>(response, [](StoreClient &client, auto done) { client.readRange("p", "", ReadConsistency::latest, done); });
        const auto watch
            = call<StoreEvents>(response, [](StoreClient &client, auto done) { client.watch("p", {.revision = 1}, std::chrono::milliseconds(100), done); });
        const auto put = call<StorePosition>(response, [](StoreClient &client, auto done) { client.put("k", "v", 0, done); });
        return range || watch || put;
    }
};

/// Keys that mean something else if they are put into a query as they are. The last ones are Latin and Japanese letters and an octet of zero.
std::vector<std::string> oddKeys()
{
    return {"servers/a&b",         "servers/a&after=z",  "servers/a+b",   "servers/a#b",   "servers/a%b",    "servers/a%",
            "servers/a%4",         "servers/a%zz",       "servers/a%41b", "servers/a%2Bb", "servers/a%25b",  "servers/%7E",
            "servers/a b",         "servers/ ",          "servers/a=b",   "servers/a;b",   "servers/a?b/c",  "servers/a:@!$,",
            "servers/\"<>\\^`{|}", "servers/a\x01\r\nb", "servers/\x7f",  "servers/é",     "servers/ドラム", std::string("servers/a\0b", 11)};
}

/// Runs a client against a fake store whose pages hold one item, so that each key is the last one of a page.
class StoreListTest : public StoreClientTest, public testing::WithParamInterface<FakeMetadataStore::QueryDecoding>
{
protected:
    void SetUp() override
    {
        StoreClientTest::SetUp();
        const Result<std::uint16_t> port = this->thread.call([this] {
            this->store = std::make_unique<FakeMetadataStore>(this->thread.loop);
            this->store->queryDecoding = GetParam();
            this->store->pageSize = 1;
            return this->store->listen();
        });
        ASSERT_TRUE(port);
        this->client = std::make_unique<StoreClient>(StoreClient::Options{.address = "127.0.0.1:" + std::to_string(*port)});
    }

    void TearDown() override
    {
        this->client.reset();
        this->thread.call([this] { this->store.reset(); });
    }

    void put(const std::string &key)
    {
        this->thread.call([&] { this->store->put(key, "{}"); });
    }

    /// Returns the keys of the page after \p afterKey.
    std::vector<std::string> pageAfter(const std::string &afterKey)
    {
        QEventLoop loop;
        std::vector<std::string> keys;
        this->client->readRange("servers/", afterKey, ReadConsistency::latest, [&](const Result<StorePage> &page) {
            if (page) {
                for (const StoreItem &item : page->items) {
                    keys.push_back(item.key);
                }
            }
            loop.quit();
        });
        loop.exec();
        return keys;
    }

    LoopThread thread;
    std::unique_ptr<FakeMetadataStore> store;
    std::unique_ptr<StoreClient> client;
};

} // namespace

/// Guards against issue 38: the key that ends a page was put into the query of the next call as it was, so that the list went on at another
/// place, or at the same one for ever.
TEST_P(StoreListTest, thePageAfterAnyKeyBeginsBehindThatKey)
{
    for (const std::string &key : oddKeys()) {
        this->put(key);
        EXPECT_EQ(this->pageAfter(key), std::vector<std::string>()) << key;
        const std::string next = key + "-next";
        this->put(next);
        EXPECT_EQ(this->pageAfter(key), std::vector<std::string>{next}) << key;
        this->thread.call([&] {
            this->store->remove(key);
            this->store->remove(next);
        });
    }
}

INSTANTIATE_TEST_SUITE_P(BothDecodings,
                         StoreListTest,
                         testing::Values(FakeMetadataStore::QueryDecoding::url, FakeMetadataStore::QueryDecoding::form),
                         [](const auto &each) { return each.param == FakeMetadataStore::QueryDecoding::url ? "url" : "form"; });

/// Guards against the cause of issue 38 in an answer: an entry whose name is no text, neither in Unicode nor in UTF-8, made the whole page unreadable,
/// or came under the name of another entry, behind which the list did not advance.
TEST_F(StoreClientTest, aKeyThatIsNoTextHidesNoOtherEntry)
{
    for (const std::string octets : {"\\ud800", "\\udfff", "\xff", "\xc3", "\xed\xa0\x80"}) {
        const std::string body = R"({"items":[{"key":"servers/a","value":"e30=","revision":1},{"key":"servers/b)" + octets
            + R"(-","value":"e30=","revision":2},{"key":"servers/c","value":"e30=","revision":3}],"has_more":true,"current_rev":7})";
        const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        const auto page = call<StorePage>(response, [](StoreClient &client, auto done) { client.readRange("", "", ReadConsistency::latest, done); });
        ASSERT_TRUE(page) << octets;
        ASSERT_EQ(page->items.size(), 3U) << octets;
        EXPECT_EQ(page->items[0].key, "servers/a");
        EXPECT_TRUE(page->items[1].key.starts_with("servers/b\uFFFD")) << octets << ' ' << page->items[1].key;
        EXPECT_TRUE(page->items[1].key.ends_with('-')) << octets << ' ' << page->items[1].key;
        EXPECT_EQ(page->items[2].key, "servers/c");
        EXPECT_EQ(page->items[2].value, "{}");
        EXPECT_TRUE(page->hasMore);
        EXPECT_EQ(page->position.revision, 7U);
    }
}

/// A status such as 000 is not the store's word.
TEST_F(StoreClientTest, takesNoResponseForAnAnswerWithoutItsStatus)
{
    const std::string body = R"({"items":[],"events":[],"current_rev":7,"revision":7})";
    const std::string rest = " Status\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    EXPECT_TRUE(accepts("HTTP/1.1 200" + rest));
    for (const std::string status : {"000", "001", "099", "199", "201", "600", "999"}) {
        EXPECT_FALSE(accepts("HTTP/1.1 " + status + rest)) << status;
    }
}

/// Guards against an epoch that is taken from a response with a status that does not exist: it counted as the store's return from an older copy, and
/// the store's own answers as outdated from then on.
TEST_F(StoreClientTest, takesNoEpochFromAResponseWithoutItsStatus)
{
    const auto statedEpoch = [](const std::string &status) {
        const RawResponseServer server("HTTP/1.1 " + status + " Status\r\n" + std::string(STORE_EPOCH) + ": 9\r\nContent-Length: 2\r\n\r\n{}");
        StoreClient client({.address = server.address()});
        std::optional<StoreEpoch> epoch;
        client.setEpochObserver([&epoch](StoreEpoch stated) { epoch = stated; });
        QEventLoop loop;
        client.readRange("p", "", ReadConsistency::latest, [&loop](const Result<StorePage> &) { loop.quit(); });
        loop.exec();
        return epoch;
    };
    for (const std::string status : {"000", "001", "099", "199", "600", "999"}) {
        EXPECT_EQ(statedEpoch(status), std::nullopt) << status;
    }
    for (const std::string status : {"200", "404", "410", "412", "429", "500", "503"}) {
        EXPECT_EQ(statedEpoch(status), StoreEpoch{9}) << status;
    }
}

/// Qt drops all fields of a head in which it finds an invalid name, so that the length and the coding of the body are not known. A body that
/// differs from the one that was meant must not be taken for an answer.
TEST_F(StoreClientTest, takesNoBodyWhoseLengthIsLostForAnAnswer)
{
    const std::string body = R"({"items":[],"events":[],"current_rev":7,"revision":7})";
    for (const std::string name : {"X A", "X-A ", "X\x01", "X-A\t"}) {
        const std::string head = "HTTP/1.1 200 OK\r\n" + name + ": 1\r\n";
        EXPECT_FALSE(accepts(head + "Transfer-Encoding: chunked\r\n\r\n35\r\n" + body + "\r\n0\r\n\r\n")) << name;
        EXPECT_FALSE(accepts(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body + body)) << name;
        EXPECT_FALSE(accepts(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body.substr(0, 30))) << name;
    }
}

} // namespace ragwort::platform
