#include "ragwortcart/Wire/HttpServer.h"
#include "LoopThread.h"

#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace ragwort {

/// Runs a server that echoes the target and body of each request, except for targets that start with "/hold", whose response the
/// test sends.
class HttpServerTest : public ::testing::Test
{
protected:
    void start(HttpServer::Options options = {})
    {
        options.address = "127.0.0.1:0";
        this->server = std::make_unique<HttpServer>(this->thread.loop, options, [this](HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
            if (request.target.starts_with("/hold")) {
                exchange->onCallerDisconnect([this] { ++this->abandoned; });
                this->held.push_back(exchange);
                ++this->heldCount;
                return;
            }
            exchange->respond({.status = 200, .contentType = "text/plain", .headers = {}, .body = "echo " + request.target + ' ' + request.body + '.'});
        });
        this->port = *this->thread.call([this] { return this->server->listen(); });
    }

    void TearDown() override
    {
        this->thread.call([this] {
            this->held.clear();
            this->server.reset();
        });
    }

    /// Sends \p text on a new connection and returns all that the server sends before it closes the connection.
    std::string exchange(const std::string &text) const
    {
        const RawSocket socket(this->port);
        socket.send(text);
        return socket.readAll();
    }

    /// Holds the server's loop for \p time and performs \p action meanwhile.
    void holdLoopWhile(Duration time, const std::function<void()> &action)
    {
        std::promise<void> held;
        std::promise<void> acted;
        this->thread.loop.post([&held, &acted, time] {
            held.set_value();
            std::this_thread::sleep_for(time);
            acted.get_future().wait();
        });
        held.get_future().wait();
        action();
        acted.set_value();
        this->thread.call([] { return 0; });
    }

    HttpServerCounts counts()
    {
        return this->thread.call([this] { return this->server->counts(); });
    }

    LoopThread thread;
    std::unique_ptr<HttpServer> server;
    /// Pending responses to requests for "/hold". Used on the loop's thread only.
    std::vector<std::shared_ptr<HttpExchange>> held;
    std::atomic<int> heldCount{0};
    /// Number of requests for "/hold" whose caller has disconnected.
    std::atomic<int> abandoned{0};
    std::uint16_t port = 0;
};

static std::string get(const std::string &target, const std::string &extra = {})
{
    return "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + extra + "\r\n";
}

TEST_F(HttpServerTest, keepsConnectionOpenAfterResponse)
{
    this->start();
    const RawSocket socket(this->port);
    socket.send(get("/a"));
    EXPECT_NE(socket.readUntil("echo /a .").find("200 OK"), std::string::npos);
    socket.send(get("/b", "Connection: close\r\n"));
    EXPECT_NE(socket.readAll().find("echo /b"), std::string::npos);
}

TEST_F(HttpServerTest, answersPipelinedRequestsInOrder)
{
    this->start();
    const RawSocket socket(this->port);
    socket.send(get("/hold") + get("/second", "Connection: close\r\n"));
    ASSERT_TRUE(eventually([this] { return this->heldCount == 1; }));
    this->thread.call([this] { this->held[0]->respond({.status = 200, .headers = {}, .body = "first"}); });
    const std::string text = socket.readAll();
    ASSERT_NE(text.find("first"), std::string::npos);
    EXPECT_LT(text.find("first"), text.find("echo /second"));
}

/// Guards against request smuggling: if a proxy and the server disagree on the end of a request, the server would run a part of
/// one caller's body as another request.
TEST_F(HttpServerTest, rejectsAmbiguousFramingAndDiscardsFollowingRequests)
{
    this->start();
    const std::string smuggled = get("/smuggled");
    const std::vector<std::string> bad{
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + smuggled,
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde" + smuggled,
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: -4\r\n\r\nabcd" + smuggled,
        "GET /a HTTP/1.1\r\n\r\n" + smuggled,
        "GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n" + smuggled,
        std::string("GET /a HTTP/1.1\r\nHost: x\r\nA: b\0c\r\n\r\n", 36) + smuggled,
        "nonsense\r\n\r\n" + smuggled,
    };
    for (const std::string &text : bad) {
        const std::string answer = this->exchange(text);
        EXPECT_NE(answer.find("HTTP/1.1 400"), std::string::npos) << text;
        EXPECT_EQ(answer.find("echo"), std::string::npos) << text;
        EXPECT_NE(answer.find("not-run"), std::string::npos) << text;
    }
    EXPECT_NE(this->exchange("BREW /a HTTP/1.1\r\nHost: x\r\n\r\n").find("405"), std::string::npos);
    EXPECT_EQ(this->counts().requests, 0U);
}

/// Guards against review/1: TRACE with a body cannot be passed on, and the attempt to do so ended the process.
TEST_F(HttpServerTest, rejectsTraceWithBody)
{
    this->start();
    EXPECT_NE(this->exchange("TRACE /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc").find("HTTP/1.1 400"), std::string::npos);
    EXPECT_NE(this->exchange("TRACE /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n").find("HTTP/1.1 400"),
              std::string::npos);
    EXPECT_NE(this->exchange("TRACE /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").find("echo /a ."), std::string::npos);
    EXPECT_EQ(this->counts().requests, 1U);
}

/// Guards against review/1: a field longer than the HTTP library takes, where the limits allow it, ended the process.
TEST_F(HttpServerTest, aFieldThatCannotBeParsedEndsItsConnectionOnly)
{
    this->start({.requestLimits = {.maximumHeaderBytes = 262'144, .requestTimeout = std::chrono::milliseconds(300)}});
    const RawSocket other(this->port);
    other.send(get("/hold"));
    ASSERT_TRUE(eventually([this] { return this->heldCount == 1; }));
    EXPECT_EQ(this->exchange("GET /a HTTP/1.1\r\nHost: x\r\nA: " + std::string(70'000, 'a') + "\r\n\r\n").find("echo"), std::string::npos);
    this->thread.call([this] { this->held.back()->respond({.status = 200, .headers = {}, .body = "served"}); });
    EXPECT_NE(other.readUntil("served").find("served"), std::string::npos);
}

/// Guards against review/2: a body whose transfer coding does not end in "chunked" has no known length, and was run as another request.
TEST_F(HttpServerTest, rejectsTransferCodingsThatLeaveTheLengthUnknown)
{
    this->start();
    const std::string smuggled = get("/smuggled");
    for (const std::string coding : {"gzip", "xchunked", "chunked, identity", "", "chunked, chunked", "\"chunked\""}) {
        const std::string answer = this->exchange("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + smuggled);
        EXPECT_NE(answer.find("HTTP/1.1 400"), std::string::npos) << coding << ": " << answer;
        EXPECT_EQ(answer.find("echo"), std::string::npos) << coding;
    }
    const std::string chunks = "0\r\n\r\n" + smuggled;
    for (const std::string head : {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n",
                                   "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
                                   "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding : chunked\r\n\r\n",
                                   "POST /a HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
        const std::string answer = this->exchange(head + chunks);
        EXPECT_NE(answer.find(" 400 "), std::string::npos) << head << answer;
        EXPECT_EQ(answer.find("echo"), std::string::npos) << head;
    }
    const std::string unsupported = this->exchange("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" + chunks);
    EXPECT_NE(unsupported.find("HTTP/1.1 501"), std::string::npos) << unsupported;
    EXPECT_EQ(this->counts().requests, 0U);
    EXPECT_NE(
        this->exchange("POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n").find("echo /a abc."),
        std::string::npos);
}

/// Guards against review/4: the body of an answer to HEAD was read where the answer to the next request is due.
TEST_F(HttpServerTest, answersHeadWithoutBody)
{
    this->start();
    const RawSocket socket(this->port);
    socket.send("HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n" + get("/b", "Connection: close\r\n"));
    const std::string text = socket.readAll();
    EXPECT_EQ(text.find("echo /a"), std::string::npos) << text;
    EXPECT_NE(text.find("Content-Length: 9\r\n"), std::string::npos) << "the length that GET would have: " << text;
    EXPECT_NE(text.find("\r\n\r\nHTTP/1.1 200 OK"), std::string::npos) << "the next answer follows the head at once: " << text;
}

/// Answers with status 204 or 304 have no body either, whoever made them; one ended the process.
TEST_F(HttpServerTest, answersWithoutBodyWhereTheStatusForbidsOne)
{
    this->start();
    for (const int status : {204, 304}) {
        const RawSocket socket(this->port);
        const int before = this->heldCount;
        socket.send(get("/hold") + get("/b", "Connection: close\r\n"));
        ASSERT_TRUE(eventually([&] { return this->heldCount == before + 1; }));
        this->thread.call([&] { this->held.back()->respond({.status = status, .headers = {}, .body = "surplus"}); });
        const std::string text = socket.readAll();
        EXPECT_EQ(text.find("surplus"), std::string::npos) << text;
        EXPECT_NE(text.find("\r\n\r\nHTTP/1.1 200 OK"), std::string::npos) << text;
        EXPECT_NE(text.find("echo /b"), std::string::npos) << text;
    }
}

/// More than the kernel takes of a response that is not read.
static constexpr std::size_t LARGE_BODY_BYTES = 32 * 1024 * 1024;

/// Guards against the cut of answers that are still read: the time limit of a request's head ended them.
TEST_F(HttpServerTest, aSlowReaderGetsItsWholeAnswer)
{
    this->start({.requestLimits = {.requestTimeout = std::chrono::milliseconds(100)}});
    const RawSocket socket(this->port);
    socket.send(get("/hold", "Connection: close\r\n"));
    ASSERT_TRUE(eventually([this] { return this->heldCount == 1; }));
    this->thread.call([this] { this->held.back()->respond({.status = 200, .headers = {}, .body = std::string(LARGE_BODY_BYTES, 'b')}); });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    EXPECT_GT(socket.readAll().size(), LARGE_BODY_BYTES);
}

/// A caller that does not read at all must not hold its response for ever.
TEST_F(HttpServerTest, aCallerThatDoesNotReadIsCutOff)
{
    this->start({.requestLimits = {.stallTimeout = std::chrono::milliseconds(100)}});
    const RawSocket socket(this->port);
    socket.send(get("/hold"));
    ASSERT_TRUE(eventually([this] { return this->heldCount == 1; }));
    this->thread.call([this] { this->held.back()->respond({.status = 200, .headers = {}, .body = std::string(LARGE_BODY_BYTES, 'b')}); });
    EXPECT_TRUE(eventually([this] { return this->counts().openConnections == 0; }));
    EXPECT_EQ(this->server->unansweredRequests(), 0U);
}

/// Guards against review/5: a process that was asked to stop took a response that was still being written for a finished one.
TEST_F(HttpServerTest, aRequestIsUnansweredUntilItsResponseIsWritten)
{
    this->start();
    EXPECT_EQ(this->server->unansweredRequests(), 0U);
    const RawSocket socket(this->port);
    socket.send(get("/hold"));
    ASSERT_TRUE(eventually([this] { return this->heldCount == 1; }));
    EXPECT_EQ(this->server->unansweredRequests(), 1U);
    this->thread.call([this] {
        this->held.back()->respond({.status = 200, .headers = {}, .body = std::string(LARGE_BODY_BYTES, 'b')});
        this->server->drain();
    });
    EXPECT_EQ(this->server->unansweredRequests(), 1U);
    EXPECT_GT(socket.readAll().size(), LARGE_BODY_BYTES);
    EXPECT_TRUE(eventually([this] { return this->server->unansweredRequests() == 0; }));
}

TEST_F(HttpServerTest, enforcesSizeLimits)
{
    this->start({.requestLimits = {.maximumHeaderBytes = 1024, .maximumBodyBytes = 100}});
    EXPECT_NE(this->exchange("GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(100'000, 'a') + "\r\n\r\n").find(" 431 "), std::string::npos);
    EXPECT_NE(this->exchange("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n\r\n").find(" 413 "), std::string::npos);
    EXPECT_NE(
        this->exchange("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n" + std::string(4096, 'b') + "\r\n0\r\n\r\n").find(" 413 "),
        std::string::npos);
}

TEST_F(HttpServerTest, incompleteRequestTimesOut)
{
    this->start({.requestLimits = {.requestTimeout = std::chrono::milliseconds(100)}});
    EXPECT_NE(this->exchange("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc").find(" 408 "), std::string::npos);
    EXPECT_NE(this->exchange("GET / HT").find(" 408 "), std::string::npos);
}

TEST_F(HttpServerTest, closesIdleConnectionWithoutResponse)
{
    this->start({.requestLimits = {.idleTimeout = std::chrono::milliseconds(50)}});
    EXPECT_EQ(this->exchange(""), "");
}

TEST_F(HttpServerTest, answersExpectContinue)
{
    this->start();
    const RawSocket socket(this->port);
    socket.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n");
    EXPECT_NE(socket.readUntil("\r\n\r\n").find("100 Continue"), std::string::npos);
    socket.send("abc");
    EXPECT_NE(socket.readAll().find("echo /a abc"), std::string::npos);
}

TEST_F(HttpServerTest, disconnectsAreDetectedAndDoNotAffectOtherCallers)
{
    static constexpr int CALLERS = 50;
    this->start();
    std::vector<std::unique_ptr<RawSocket>> sockets;
    for (int index = 0; index < CALLERS; ++index) {
        sockets.push_back(std::make_unique<RawSocket>(this->port));
        sockets.back()->send(get("/hold"));
    }
    ASSERT_TRUE(eventually([this] { return this->heldCount == CALLERS; }));
    sockets.resize(5);
    ASSERT_TRUE(eventually([this] { return this->abandoned == CALLERS - 5; }));
    this->thread.call([this] {
        for (const auto &exchange : this->held) {
            exchange->respond({.status = 200, .headers = {}, .body = "late"});
        }
    });
    for (const auto &socket : sockets) {
        EXPECT_NE(socket->readUntil("late").find("200 OK"), std::string::npos);
    }
    EXPECT_EQ(this->counts().abandoned, static_cast<std::uint64_t>(CALLERS - 5));
}

TEST_F(HttpServerTest, enforcesConnectionLimit)
{
    this->start({.maximumConnections = 3});
    std::vector<std::unique_ptr<RawSocket>> sockets;
    for (int index = 0; index < 3; ++index) {
        sockets.push_back(std::make_unique<RawSocket>(this->port));
        sockets.back()->send(get("/hold"));
    }
    ASSERT_TRUE(eventually([this] { return this->heldCount == 3; }));
    EXPECT_EQ(this->exchange(get("/a")), "");
    EXPECT_EQ(this->counts().refusedConnections, 1U);
    EXPECT_EQ(this->counts().peakConnections, 3U);
    sockets.clear();
    ASSERT_TRUE(eventually([this] { return this->counts().openConnections == 0; }));
    EXPECT_NE(this->exchange(get("/a", "Connection: close\r\n")).find("echo"), std::string::npos);
}

TEST_F(HttpServerTest, drainingCompletesPendingRequestsAndRejectsConnections)
{
    this->start();
    const RawSocket busy(this->port);
    const RawSocket idle(this->port);
    busy.send(get("/hold"));
    ASSERT_TRUE(eventually([this] { return this->heldCount == 1; }));
    this->thread.call([this] { this->server->drain(); });
    EXPECT_EQ(idle.readAll(), "");
    EXPECT_FALSE(RawSocket(this->port).connected);
    this->thread.call([this] { this->held[0]->respond({.status = 200, .headers = {}, .body = "last"}); });
    const std::string answer = busy.readAll();
    EXPECT_NE(answer.find("last"), std::string::npos);
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

TEST_F(HttpServerTest, secondResponseToOneRequestIsIgnored)
{
    this->start();
    const RawSocket socket(this->port);
    socket.send(get("/hold"));
    ASSERT_TRUE(eventually([this] { return this->heldCount == 1; }));
    this->thread.call([this] {
        this->held[0]->respond({.status = 200, .headers = {}, .body = "one"});
        this->held[0]->respond({.status = 200, .headers = {}, .body = "two"});
    });
    socket.readUntil("one");
    socket.send(get("/next", "Connection: close\r\n"));
    EXPECT_EQ(socket.readAll().find("two"), std::string::npos);
}

/// Guards against a request that is answered "not complete in time" and runs all the same: on a slow instance its last byte and its
/// timeout were ready at the same time, and both took effect.
TEST_F(HttpServerTest, aRequestThatTimedOutIsNotHandedOn)
{
    static constexpr Duration REQUEST_TIMEOUT = std::chrono::milliseconds(50);
    this->start({.requestLimits = {.requestTimeout = REQUEST_TIMEOUT}});
    const RawSocket socket(this->port);
    socket.send("GET /hold HTTP/1.1\r\nHost: h\r\n");
    ASSERT_TRUE(eventually([this] { return this->counts().connections == 1; }));
    this->holdLoopWhile(REQUEST_TIMEOUT * 2, [&socket] { socket.send("Connection: close\r\n\r\n"); });
    ASSERT_TRUE(eventually([this] { return this->heldCount == 1 || this->counts().badRequests == 1; }));
    this->thread.call([this] {
        for (const std::shared_ptr<HttpExchange> &exchange : this->held) {
            exchange->respond({.status = 200, .headers = {}, .body = "done"});
        }
        return 0;
    });
    const std::string answer = socket.readAll();
    const bool rejected = answer.starts_with("HTTP/1.1 408");
    EXPECT_TRUE(rejected || answer.starts_with("HTTP/1.1 200")) << answer;
    EXPECT_EQ(this->heldCount, rejected ? 0 : 1) << answer;
}

/// The same for a request that begins just as the idle connection expires.
TEST_F(HttpServerTest, idleTimeoutDoesNotCloseAConnectionWithARequest)
{
    static constexpr Duration IDLE_TIMEOUT = std::chrono::milliseconds(50);
    this->start({.requestLimits = {.idleTimeout = IDLE_TIMEOUT}});
    const RawSocket socket(this->port);
    ASSERT_TRUE(eventually([this] { return this->counts().connections == 1; }));
    this->holdLoopWhile(IDLE_TIMEOUT * 2, [&socket] { socket.send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); });
    EXPECT_TRUE(socket.readAll().starts_with("HTTP/1.1 200"));
}

} // namespace ragwort
