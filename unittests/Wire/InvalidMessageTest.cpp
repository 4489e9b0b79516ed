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
    std::optional<SubFailure> failureOfResponse(const std::string &response)
    {
        const RawResponseServer server(response);
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

} // namespace ragwort
