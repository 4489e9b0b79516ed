#include "ragwortcart/Wire/PlatformClient.h"
#include "LoopThread.h"
#include "RawResponseServer.h"
#include "ragwortcart/Emulator/FakePlatform.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <gtest/gtest.h>
#include <memory>

namespace ragwort {

/// Runs a client against an HTTP server with a handler provided by the test.
class PlatformClientTest : public ::testing::Test
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

    void serve(HttpHandler handler)
    {
        this->server = std::make_unique<HttpServer>(this->thread.loop, HttpServer::Options{.address = "127.0.0.1:0"}, std::move(handler));
        const Result<std::uint16_t> port = this->thread.call([this] { return this->server->listen(); });
        this->client = std::make_unique<PlatformClient>(PlatformClient::Options{.address = "127.0.0.1:" + std::to_string(*port)});
    }

    void TearDown() override
    {
        this->client.reset();
        this->thread.call([this] { this->server.reset(); });
    }

    StoreWriteOutcome write(const QByteArray &value, const std::string &key = "k")
    {
        QEventLoop loop;
        StoreWriteOutcome result = StoreWriteOutcome::unknown;
        this->client->write(key, value, 0, [&](StoreWriteOutcome outcome) {
            result = outcome;
            loop.quit();
        });
        loop.exec();
        return result;
    }

    /// Lists the instances of a service and waits for the result.
    Result<PlatformInstances> listInstances(const std::string &service = "s")
    {
        QEventLoop loop;
        std::optional<Result<PlatformInstances>> result;
        this->client->list(service, {.index = std::nullopt}, [&](Result<PlatformInstances> listed) {
            result = std::move(listed);
            loop.quit();
        });
        loop.exec();
        return std::move(*result);
    }

    /// Reads a key, or all that start with it, and waits for the result.
    Result<KeyValues> readKey(const std::string &key = "k", bool recurse = false)
    {
        QEventLoop loop;
        std::optional<Result<KeyValues>> result;
        this->client->read(key, recurse, {.index = std::nullopt}, [&](Result<KeyValues> values) {
            result = std::move(values);
            loop.quit();
        });
        loop.exec();
        return std::move(*result);
    }

    LoopThread thread;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<PlatformClient> client;
};

/// Qt resends a request if its persistent connection is closed before the response. A resent write that the server had already
/// applied would be reported as a conflict. The server closes the connection after it has read the second request on it.
TEST_F(PlatformClientTest, doesNotResendWriteWhenServerClosesConnection)
{
    std::atomic<int> requestCount{0};
    this->serve([&requestCount](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
        ++requestCount;
        if (request.numberOnConnection == 2) {
            exchange->drop();
            return;
        }
        exchange->respond({.status = 200, .headers = {}, .body = "true"});
    });
    EXPECT_EQ(this->write("one"), StoreWriteOutcome::written);
    EXPECT_EQ(this->write("two"), StoreWriteOutcome::unknown);
    EXPECT_EQ(requestCount, 2);
}

TEST_F(PlatformClientTest, sendsCompleteBodyAndReportsConflict)
{
    std::string body;
    std::string target;
    this->serve([&](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
        body = request.body;
        target = request.target;
        exchange->respond({.status = 200, .headers = {}, .body = "false"});
    });
    const QByteArray large(200'000, 'z');
    EXPECT_EQ(this->write(large), StoreWriteOutcome::conflict);
    EXPECT_EQ(body.size(), 200'000U);
    EXPECT_EQ(target, "/v1/kv/k?cas=0");
}

TEST_F(PlatformClientTest, writeTimesOutWithoutResponse)
{
    std::vector<std::shared_ptr<HttpExchange>> held;
    this->serve([&held](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) { held.push_back(exchange); });
    EXPECT_EQ(this->write("one"), StoreWriteOutcome::unknown);
    this->thread.call([&held] { held.clear(); });
}

TEST_F(PlatformClientTest, readsKeysListsInstancesAndWatches)
{
    FleetPlan plan;
    plan.servers.push_back({.id = "s-0", .team = "t", .group = "g", .service = "g-0", .domain = "d", .address = "127.0.0.1:9"});
    std::unique_ptr<FakePlatform> platform;
    const Result<std::uint16_t> port = this->thread.call([&] {
        platform = std::make_unique<FakePlatform>(this->thread.loop, "127.0.0.1:0", plan);
        return platform->listen();
    });
    this->client = std::make_unique<PlatformClient>(PlatformClient::Options{.address = "127.0.0.1:" + std::to_string(*port)});
    EXPECT_EQ(this->write("v1"), StoreWriteOutcome::written);
    EXPECT_EQ(this->write("v2"), StoreWriteOutcome::conflict);
    QEventLoop loop;
    KeyValues values;
    this->client->read("k", false, {.index = std::nullopt}, [&](Result<KeyValues> result) {
        ASSERT_TRUE(result);
        values = *result;
        loop.quit();
    });
    loop.exec();
    ASSERT_EQ(values.entries.size(), 1U);
    EXPECT_EQ(values.entries[0].value, "v1");
    PlatformInstances listed;
    this->client->list("ragwort-backend", {.index = std::nullopt}, [&](Result<PlatformInstances> result) {
        ASSERT_TRUE(result);
        listed = *result;
        loop.quit();
    });
    loop.exec();
    ASSERT_EQ(listed.instances.size(), 1U);
    EXPECT_EQ(listed.instances[0].address, "127.0.0.1:9");
    EXPECT_EQ(listed.instances[0].metaValue("domain"), "d");
    bool watchReturned = false;
    this->client->read("k", false, {.index = values.index, .wait = std::chrono::seconds(20)}, [&](Result<KeyValues> result) {
        ASSERT_TRUE(result);
        watchReturned = result->entries[0].value == "v3";
        loop.quit();
    });
    this->client->write("k", "v3", values.entries[0].modifyIndex, [](StoreWriteOutcome) {});
    loop.exec();
    EXPECT_TRUE(watchReturned);
    this->client.reset();
    this->thread.call([&platform] { platform.reset(); });
    this->serve([](const HttpRequest &, const std::shared_ptr<HttpExchange> &) {});
}

/// Guards against answers with a status such as 000 that are taken for answers: a write whose outcome is unknown was reported as done or as
/// refused.
TEST_F(PlatformClientTest, takesNoResponseForAnAnswerWithoutItsStatus)
{
    for (const std::string status : {"000", "001", "099", "199", "201", "600", "999"}) {
        for (const std::string body : {"true", "false"}) {
            const RawResponseServer raw("HTTP/1.1 " + status + " Status\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            this->client = std::make_unique<PlatformClient>(PlatformClient::Options{.address = raw.address()});
            EXPECT_EQ(this->write("v"), StoreWriteOutcome::unknown) << status << ' ' << body;
        }
        const RawResponseServer raw("HTTP/1.1 " + status + " Status\r\nContent-Length: 2\r\n\r\n[]");
        this->client = std::make_unique<PlatformClient>(PlatformClient::Options{.address = raw.address()});
        EXPECT_FALSE(this->listInstances()) << status;
        EXPECT_FALSE(this->readKey()) << status;
    }
}

/// Guards against a 404 that is not the store's: it was taken for a key that does not exist, with index 0, so that a table that stands in the store
/// counted as lost.
TEST_F(PlatformClientTest, takesAMissingKeyOnlyFromTheStoreItself)
{
    const RawResponseServer stranger("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    this->client = std::make_unique<PlatformClient>(PlatformClient::Options{.address = stranger.address()});
    EXPECT_FALSE(this->readKey());
    const RawResponseServer damaged("HTTP/1.1 404 Not Found\r\nX-Consul-Index: x\r\nContent-Length: 0\r\n\r\n");
    this->client = std::make_unique<PlatformClient>(PlatformClient::Options{.address = damaged.address()});
    EXPECT_FALSE(this->readKey());
    const RawResponseServer store("HTTP/1.1 404 Not Found\r\nX-Consul-Index: 7\r\nContent-Length: 0\r\n\r\n");
    this->client = std::make_unique<PlatformClient>(PlatformClient::Options{.address = store.address()});
    const Result<KeyValues> missing = this->readKey();
    ASSERT_TRUE(missing);
    EXPECT_TRUE(missing->entries.empty());
    EXPECT_EQ(missing->index, 7U);
}

/// Guards against a write that is reported as refused because the response does not say that it was done.
TEST_F(PlatformClientTest, takesOnlyTheWordsOfTheStoreForTheOutcomeOfAWrite)
{
    for (const std::string body : {"", "tru", "fals", "maybe", "truefalse", "4\r\ntrue"}) {
        const RawResponseServer raw("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        this->client = std::make_unique<PlatformClient>(PlatformClient::Options{.address = raw.address()});
        EXPECT_EQ(this->write("v"), StoreWriteOutcome::unknown) << body;
    }
}

/// Qt drops all fields of a head in which it finds an invalid name, so that the length and the coding of the body are not known. A body that
/// differs from the one that was meant must not be taken for an answer.
TEST_F(PlatformClientTest, takesNoBodyWhoseLengthIsLostForAnAnswer)
{
    for (const std::string name : {"X A", "X-A ", "X\x01", "X-A\t"}) {
        const std::string line = name + ": 1\r\n";
        for (const std::string framed : {"Transfer-Encoding: chunked\r\n\r\n4\r\ntrue\r\n0\r\n\r\n", "Content-Length: 4\r\n\r\ntruetrue"}) {
            const RawResponseServer raw("HTTP/1.1 200 OK\r\n" + line + framed);
            this->client = std::make_unique<PlatformClient>(PlatformClient::Options{.address = raw.address()});
            EXPECT_EQ(this->write("v"), StoreWriteOutcome::unknown) << line << framed;
        }
        for (const std::string framed : {"Transfer-Encoding: chunked\r\n\r\n2\r\n[]\r\n0\r\n\r\n", "Content-Length: 2\r\n\r\n[][]"}) {
            const RawResponseServer raw("HTTP/1.1 200 OK\r\n" + line + framed);
            this->client = std::make_unique<PlatformClient>(PlatformClient::Options{.address = raw.address()});
            EXPECT_FALSE(this->listInstances()) << line << framed;
            EXPECT_FALSE(this->readKey()) << line << framed;
        }
    }
}

/// Guards against the cause of issue 38 in a path: a key that holds "?", "#" or a percent sign named another key, or ended the path.
TEST_F(PlatformClientTest, aKeyOrServiceWithAnyCharactersIsSentAsItIs)
{
    std::string target;
    this->serve([&target](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
        target = request.target;
        exchange->respond({.status = 200, .contentType = "application/json", .headers = {}, .body = request.method == "GET" ? "[]" : "true"});
    });
    const auto pathOf = [&target] { return QByteArray::fromPercentEncoding(QByteArray::fromStdString(target.substr(0, target.find('?')))).toStdString(); };
    const auto queryOf = [&target] { return target.substr(std::min(target.find('?'), target.size())); };
    for (const std::string name :
         {"a&b", "a+b", "a#b", "a?b", "a?cas=7", "a%b", "a%41b", "a%2Fb", "a%zz", "a b", "a;b", "a/b", "é", "a\r\nb", "a[b]", "a:b@c"}) {
        EXPECT_EQ(this->write("v", name), StoreWriteOutcome::written) << name;
        EXPECT_EQ(pathOf(), "/v1/kv/" + name);
        EXPECT_EQ(queryOf(), "?cas=0") << name;
        EXPECT_TRUE(this->readKey(name, true)) << name;
        EXPECT_EQ(pathOf(), "/v1/kv/" + name);
        EXPECT_EQ(queryOf(), "?recurse=true") << name;
        EXPECT_TRUE(this->readKey(name)) << name;
        EXPECT_EQ(pathOf(), "/v1/kv/" + name);
        EXPECT_EQ(queryOf(), "") << name;
        EXPECT_TRUE(this->listInstances(name)) << name;
        EXPECT_EQ(pathOf(), "/v1/health/service/" + name);
        EXPECT_EQ(queryOf(), "") << name;
    }
}

} // namespace ragwort
