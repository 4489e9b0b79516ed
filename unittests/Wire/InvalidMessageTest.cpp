/// \file
/// Tests of the backend client with requests that cannot be sent and with responses that are not valid.
#include "LoopThread.h"
#include "RawResponseServer.h"
#include "ragwortcart/Wire/BackendClient.h"

#include <future>
#include <gtest/gtest.h>
#include <memory>
#include <optional>

namespace ragwort {

namespace {

/// Encodes requests that the HTTP library refuses for texts that tell so; takes any response as an answer.
class RawProtocol final : public BackendProtocol
{
public:
    BackendHttpRequest encode(const SubRequest &request, Instant /*now*/) const override
    {
        if (request.text == "trace") {
            return {.method = "TRACE", .target = "/", .headers = {}, .body = "abc"};
        }
        if (request.text == "long") {
            return {.method = "GET", .target = "/", .headers = {{.name = "A", .value = std::string(70'000, 'a')}}, .body = {}};
        }
        return {.method = "GET", .target = "/", .headers = {}, .body = {}};
    }
    SubOutcome decode(const SubRequest & /*request*/, BackendHttpResponse response) const override
    {
        return ForwardedAnswer{
            .status = response.status, .headers = std::move(response.headers), .body = std::move(response.body), .signature = "s", .statement = {}};
    }
    bool supportsStatus() const override
    {
        return false;
    }
};

/// Runs a client against servers that send given bytes.
class InvalidMessageTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        this->thread.call([this] { this->client = std::make_unique<BackendClient>(this->thread.loop, BackendClient::Options{.protocol = this->protocol}); });
    }

    void TearDown() override
    {
        this->thread.call([this] { this->client.reset(); });
    }

    /// Sends a request to \p address and waits for its outcome.
    SubOutcome exchange(const std::string &text, const std::string &address)
    {
        std::promise<SubOutcome> promise;
        const SubRequest sub{
            .query = ++this->lastQuery, .attempt = 1, .serverId = "s", .address = address, .text = text, .deadline = steadyNow() + std::chrono::seconds(5)};
        this->thread.loop.post([&] { this->client->send(sub, {}, [&promise](SubOutcome outcome) { promise.set_value(std::move(outcome)); }); });
        return promise.get_future().get();
    }

    /// Returns the failure of a request, or nothing if it was answered.
    std::optional<SubFailure> failureOf(const std::string &text, const std::string &address)
    {
        const SubOutcome outcome = this->exchange(text, address);
        const auto *failure = std::get_if<SubFailureReport>(&outcome);
        return failure != nullptr ? std::optional(failure->failure) : std::nullopt;
    }

    /// Returns the failure of a request to a server that sends \p response, or nothing if the client takes that for an answer.
    std::optional<SubFailure> failureOfResponse(const std::string &response, RawResponseServer::Delivery delivery = RawResponseServer::Delivery::whole)
    {
        const RawResponseServer server(response, delivery);
        return this->failureOf("x", server.address());
    }

    const RawProtocol protocol;
    LoopThread thread;
    std::unique_ptr<BackendClient> client;
    QueryId lastQuery = 0;
};

} // namespace

/// Guards against review/1: a request that cannot be encoded ended the process, and with it all others.
TEST_F(InvalidMessageTest, aRequestThatCannotBeEncodedFailsAlone)
{
    const RawResponseServer server("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(this->failureOf("trace", server.address()), SubFailure::unsendable);
    EXPECT_EQ(this->failureOf("long", server.address()), SubFailure::unsendable);
    EXPECT_TRUE(provesNotRun(SubFailure::unsendable));
    EXPECT_EQ(this->thread.loop.failedTasks(), 0U);
}

/// A body that has been coded in an unknown way is not the server's answer.
TEST_F(InvalidMessageTest, rejectsResponsesWithAnotherTransferCoding)
{
    for (const std::string fields : {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip, chunked\r\n"}) {
        const std::string body = fields.find("chunked") == std::string::npos ? "abc" : "3\r\nabc\r\n0\r\n\r\n";
        EXPECT_EQ(this->failureOfResponse("HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body), SubFailure::protocol) << fields;
    }
}

/// Guards against answers with a status such as 000, which callers got as they were.
TEST_F(InvalidMessageTest, rejectsResponsesWithoutTheStatusOfAFinalResponse)
{
    for (const std::string status : {"000", "001", "099", "100", "101", "102", "199", "600", "700", "999"}) {
        EXPECT_EQ(this->failureOfResponse("HTTP/1.1 " + status + " Status\r\nContent-Length: 3\r\n\r\nabc"), SubFailure::protocol) << status;
    }
    for (const std::string status : {"0", "00", "0000", "20", "2000", "+20", "-01", "2 0", "2x0", "", "OK"}) {
        EXPECT_NE(this->failureOfResponse("HTTP/1.1 " + status + " Status\r\nContent-Length: 3\r\n\r\nabc"), std::nullopt) << status;
    }
    for (const std::string status : {"200", "204", "299", "304", "404", "500", "599"}) {
        EXPECT_EQ(this->failureOfResponse("HTTP/1.1 " + status + " Status\r\nContent-Length: 0\r\n\r\n"), std::nullopt) << status;
    }
}

/// Returns the octets that a field name must not hold: control characters, the space and DEL.
static std::string blanksAndControls()
{
    std::string octets;
    for (char octet = 0; octet <= ' '; ++octet) {
        octets += octet;
    }
    return octets + '\x7f';
}

/// Guards against answers with a line that one reader takes for a field and another one does not: the line is passed on, or the body ends in
/// another place than its server means.
TEST_F(InvalidMessageTest, rejectsResponsesWithABlankOrAControlInAFieldName)
{
    static const std::string START = "HTTP/1.1 200 OK\r\n";
    static const std::string LENGTH = "Content-Length: 3\r\n";
    static const std::string BODY = "abc";
    for (const char octet : blanksAndControls()) {
        const std::string one(1, octet);
        for (const std::string &name : {"X-A" + one + "B", "X-A" + one, one + "X-A", one}) {
            const std::string line = name + ": 1\r\n";
            const std::string where = "octet " + std::to_string(octet) + " in the name " + name;
            EXPECT_NE(this->failureOfResponse(START + line + LENGTH + "\r\n" + BODY), std::nullopt) << where << ", first line";
            EXPECT_NE(this->failureOfResponse(START + LENGTH + line + "X-B: 1\r\n\r\n" + BODY), std::nullopt) << where << ", between others";
            EXPECT_NE(this->failureOfResponse(START + LENGTH + "X-B: 1\r\n" + line + "\r\n" + BODY), std::nullopt) << where << ", last line";
        }
        EXPECT_NE(this->failureOfResponse(START + "Content-Length" + one + ": 1\r\n\r\n" + BODY), std::nullopt) << int(octet);
        EXPECT_NE(this->failureOfResponse(START + "X-B: 1\r\n" + one + "Content-Length: 1\r\n\r\n" + BODY), std::nullopt) << int(octet);
        EXPECT_NE(this->failureOfResponse(START + "Transfer-Encoding" + one + ": chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), std::nullopt) << int(octet);
        EXPECT_NE(this->failureOfResponse(START + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-A" + one + ": 1\r\n\r\n"), std::nullopt)
            << "trailer " << int(octet);
    }
    EXPECT_EQ(this->failureOfResponse(START + "X-A: 1\r\n" + LENGTH + "\r\n" + BODY), std::nullopt);
}

/// Guards against a line that begins with a blank and was passed on as a part of the field before it.
TEST_F(InvalidMessageTest, rejectsResponsesWithABlankAtTheStartOfALineOfTheHead)
{
    for (const char *blank : {" ", "\t", "  ", " \t"}) {
        for (const RawResponseServer::Delivery delivery : {RawResponseServer::Delivery::whole, RawResponseServer::Delivery::byOctet}) {
            const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-A: 1\r\n" + std::string(blank) + "X-B: 1\r\n\r\nabc";
            EXPECT_EQ(this->failureOfResponse(response, delivery), SubFailure::protocol) << response;
        }
    }
}

/// A body may hold what the head may not, and values may hold blanks.
TEST_F(InvalidMessageTest, acceptsBlanksInValuesAndInBodies)
{
    const std::string body = "a: 1\r\n b: 2\r\n\tc\n d\r\n\r\n e";
    const std::string head = "HTTP/1.1 200 OK\r\nX-A:  1 2\t3 \r\nX-Empty: \r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    for (const RawResponseServer::Delivery delivery : {RawResponseServer::Delivery::whole, RawResponseServer::Delivery::byOctet}) {
        const RawResponseServer server(head + body, delivery);
        const SubOutcome outcome = this->exchange("x", server.address());
        const auto *answer = std::get_if<ForwardedAnswer>(&outcome);
        ASSERT_NE(answer, nullptr);
        EXPECT_EQ(answer->body, body);
        ASSERT_EQ(answer->headers.size(), 3U);
        EXPECT_EQ(answer->headers[0].value, "1 2\t3");
    }
}

/// A response without a length ends with its connection, in whatever pieces it arrives; one with a length or in chunks must be complete.
TEST_F(InvalidMessageTest, takesTheEndOfAConnectionForTheEndOfAResponseOnlyWithoutALength)
{
    for (const RawResponseServer::Delivery delivery : {RawResponseServer::Delivery::whole, RawResponseServer::Delivery::byOctet}) {
        const RawResponseServer server("HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\nabc", delivery);
        const SubOutcome outcome = this->exchange("x", server.address());
        ASSERT_TRUE(std::holds_alternative<ForwardedAnswer>(outcome));
        EXPECT_EQ(std::get<ForwardedAnswer>(outcome).body, "abc");
        EXPECT_EQ(this->failureOfResponse("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", delivery), SubFailure::lost);
        EXPECT_EQ(this->failureOfResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", delivery), SubFailure::lost);
        EXPECT_EQ(this->failureOfResponse("HTTP/1.1 200 OK\r\nX-A: 1\r\n", delivery), SubFailure::lost);
        EXPECT_EQ(this->failureOfResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", delivery), std::nullopt);
    }
}

/// The status of a server is taken from a valid response only.
TEST_F(InvalidMessageTest, takesNoStatusOfAServerFromAnInvalidResponse)
{
    const std::string body = encodeServerStatus({.serverId = "s", .report = {.incarnation = 1}, .snapshots = {}});
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const auto accepts = [this](const std::string &response) {
        const RawResponseServer server(response);
        std::promise<bool> accepted;
        this->thread.loop.post([&] {
            this->client->fetchStatus(
                server.address(), std::chrono::seconds(5), [&accepted](const Result<ServerStatus> &status) { accepted.set_value(static_cast<bool>(status)); });
        });
        return accepted.get_future().get();
    };
    EXPECT_TRUE(accepts("HTTP/1.1 200 OK\r\n" + length + "\r\n" + body));
    for (const std::string status : {"000", "100", "201", "503", "600", "999"}) {
        EXPECT_FALSE(accepts("HTTP/1.1 " + status + " Status\r\n" + length + "\r\n" + body)) << status;
    }
    for (const std::string name : {"X A", "X-A ", " X-A", "X-A\t", "X\x01"}) {
        EXPECT_FALSE(accepts("HTTP/1.1 200 OK\r\n" + name + ": 1\r\n" + length + "\r\n" + body)) << name;
    }
    EXPECT_FALSE(accepts("HTTP/1.1 200 OK\r\nX-A: 1\r\n " + length + "\r\n" + body + body)) << "the length is not read";
}

} // namespace ragwort
