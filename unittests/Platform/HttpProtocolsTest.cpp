#include "platform/HttpProtocols.h"

#include "ragwortcart/Model/Route.h"

#include <gtest/gtest.h>

namespace ragwort::platform {

using std::chrono::milliseconds;

namespace {

class HttpProtocolsTest : public testing::Test
{
protected:
    HttpProtocolsTest()
    {
        auto table = std::make_shared<RouteTable>();
        Route route;
        route.name = "r";
        route.host = "h.example";
        route.pathPrefix = "/a/";
        route.target = ServiceChoice{.services = {{.service = "x"}}};
        route.kind.maximumDeadline = milliseconds(800);
        table->routes.push_back(route);
        this->configuration.routes = table;
        this->forwarded = std::make_shared<ForwardedRequest>(
            ForwardedRequest{.method = "GET", .target = "/a/1?p=2", .headers = {{.name = "Host", .value = "h.example"}}, .body = {}, .callerRequestId = "id1"});
        this->sub = {.query = 1, .attempt = 1, .serverId = "i-1", .address = "10.0.0.1:80", .deadline = this->now + milliseconds(700)};
        this->sub.forwarded = this->forwarded;
    }

    static HttpRequest request(const std::string &target)
    {
        return {.method = "GET",
                .target = target,
                .headers = {{.name = "Host", .value = "h.example"},
                            {.name = "X-Request-Id", .value = "id1"},
                            {.name = "X-Deadline-Ms", .value = "500"},
                            {.name = "Connection", .value = "keep-alive, X-Mine"},
                            {.name = "X-Mine", .value = "1"},
                            {.name = "X-Expect-Instance", .value = "i-9"},
                            {.name = "Accept", .value = "a/b"}},
                .body = {},
                .peer = {}};
    }

    SubOutcome decode(int status, std::vector<HeaderField> headers, const std::string &body = "body") const
    {
        return this->backends.decode(this->sub, {.status = status, .headers = std::move(headers), .body = body});
    }

    static SubFailure failureOf(const SubOutcome &outcome)
    {
        return std::get<SubFailureReport>(outcome).failure;
    }

    PlatformCallerProtocol callers;
    PlatformBackendProtocol backends;
    Configuration configuration;
    std::shared_ptr<const ForwardedRequest> forwarded;
    SubRequest sub;
    Instant now{std::chrono::seconds(50)};
};

} // namespace

/// A request that crashes servers is known again under another id and deadline, and not mistaken for that of another caller.
TEST_F(HttpProtocolsTest, theContentOfARequestIsWhatIsAskedAndWhoAsks)
{
    const auto contentOf
        = [this](const HttpRequest &http) { return std::get<QueryRequest>(this->callers.decode(http, this->configuration, this->now)).fingerprint; };
    HttpRequest repeated = request("/a/1");
    repeated.headers[1].value = "id2";
    repeated.headers[2].value = "400";
    EXPECT_EQ(contentOf(repeated), contentOf(request("/a/1")));
    EXPECT_NE(contentOf(request("/a/2")), contentOf(request("/a/1")));
    HttpRequest otherCaller = request("/a/1");
    otherCaller.peer = "10.0.0.2";
    EXPECT_NE(contentOf(otherCaller), contentOf(request("/a/1")));
    HttpRequest otherAccount = request("/a/1");
    otherAccount.headers.push_back({.name = "Authorization", .value = "Bearer x"});
    EXPECT_NE(contentOf(otherAccount), contentOf(request("/a/1")));
    HttpRequest otherBody = request("/a/1");
    otherBody.body = "b";
    EXPECT_NE(contentOf(otherBody), contentOf(request("/a/1")));
    HttpRequest otherMethod = request("/a/1");
    otherMethod.method = "PUT";
    EXPECT_NE(contentOf(otherMethod), contentOf(request("/a/1")));
}

TEST_F(HttpProtocolsTest, forwardsRequestWithoutHopByHopHeaders)
{
    const auto decoded = this->callers.decode(request("/a/1?p=2"), this->configuration, this->now);
    const auto &query = std::get<QueryRequest>(decoded);
    EXPECT_EQ(query.deadline - this->now, milliseconds(500));
    const ForwardedCall &call = std::get<ForwardedCall>(query.work);
    EXPECT_EQ(call.request->target, "/a/1?p=2");
    EXPECT_EQ(call.request->callerRequestId, "id1");
    std::vector<std::string> names;
    for (const HeaderField &field : call.request->headers) {
        names.push_back(field.name);
    }
    EXPECT_EQ(names, (std::vector<std::string>{"Host", "X-Request-Id", "Accept"}));
}

TEST_F(HttpProtocolsTest, routeTimeoutCapsDeadline)
{
    HttpRequest longDeadlineRequest = request("/a/1");
    longDeadlineRequest.headers[2].value = "60000";
    const auto decoded = this->callers.decode(longDeadlineRequest, this->configuration, this->now);
    EXPECT_EQ(std::get<QueryRequest>(decoded).deadline - this->now, milliseconds(800));
}

TEST_F(HttpProtocolsTest, answers503WithoutConfigurationAnd404ForUnknownRoute)
{
    EXPECT_EQ(std::get<HttpResponse>(this->callers.decode(request("/a/1"), Configuration(), this->now)).status, 503);
    EXPECT_EQ(std::get<HttpResponse>(this->callers.decode(request("/b/1"), this->configuration, this->now)).status, 404);
}

TEST_F(HttpProtocolsTest, sendsRemainingDeadlineAndExpectedInstance)
{
    const BackendHttpRequest call = this->backends.encode(this->sub, this->now);
    EXPECT_EQ(call.target, "/a/1?p=2");
    EXPECT_EQ(call.headers[1].value, "700");
    EXPECT_EQ(call.headers[2].value, "i-1");
}

TEST_F(HttpProtocolsTest, acceptsResponseOnlyWithSignatureAndMatchingRequestId)
{
    const HeaderField stamp{.name = "X-Server-Stamp", .value = "s"};
    const HeaderField echo{.name = "X-Request-Id", .value = "id1"};
    EXPECT_TRUE(std::holds_alternative<ForwardedAnswer>(this->decode(200, {stamp, echo})));
    EXPECT_EQ(failureOf(this->decode(200, {echo})), SubFailure::protocol);
    EXPECT_EQ(failureOf(this->decode(200, {stamp, {.name = "X-Request-Id", .value = "id2"}})), SubFailure::protocol);
    EXPECT_EQ(failureOf(this->decode(200, {stamp, echo, {.name = "Content-Encoding", .value = "gzip"}})), SubFailure::protocol);
    EXPECT_EQ(failureOf(this->decode(500, {stamp, echo})), SubFailure::serverError);
}

TEST_F(HttpProtocolsTest, aSignatureWithACommaCanNotBeMerged)
{
    const HeaderField echo{.name = "X-Request-Id", .value = "id1"};
    const auto mergeable = [&](const std::string &signature) {
        return std::get<ForwardedAnswer>(this->decode(200, {{.name = "X-Server-Stamp", .value = signature}, echo})).mergeable;
    };
    EXPECT_TRUE(mergeable("3e1b.07.5a2.600.0.c9f2a4d1"));
    EXPECT_FALSE(mergeable("3e1b.07, 3e1b.08"));
    EXPECT_FALSE(mergeable(","));
}

TEST_F(HttpProtocolsTest, readsTheLimitThatAServerStates)
{
    const HeaderField stamp{.name = "X-Server-Stamp", .value = "s"};
    const HeaderField echo{.name = "X-Request-Id", .value = "id1"};
    const auto limitIn = [&](const std::string &value) {
        return std::get<ForwardedAnswer>(this->decode(200, {stamp, echo, {.name = "Server-Limit", .value = value}})).statement.acceptedRate;
    };
    EXPECT_EQ(limitIn("30"), 30.0);
    EXPECT_EQ(limitIn("13.4"), 13.4);
    EXPECT_EQ(limitIn("0"), 0.0);
    for (const char *unreadable : {"", "-1", "nan", "inf", "1e3", "99999999", "30 per second", " 30"}) {
        EXPECT_EQ(limitIn(unreadable), std::nullopt) << unreadable;
    }
    EXPECT_EQ(std::get<ForwardedAnswer>(this->decode(200, {stamp, echo})).statement.acceptedRate, std::nullopt);
    // A rejected request states it as well.
    const auto rejected = this->decode(503, {{.name = "X-Not-Run", .value = "1"}, {.name = "Server-Limit", .value = "2.5"}});
    EXPECT_EQ(std::get<SubFailureReport>(rejected).answer->statement.acceptedRate, 2.5);
}

TEST_F(HttpProtocolsTest, readsThePauseThatAServerAsksFor)
{
    const auto pauseIn = [&](int status, const std::string &value) {
        const auto outcome = this->decode(status, {{.name = "X-Not-Run", .value = "1"}, {.name = "Retry-After", .value = value}});
        return std::get<SubFailureReport>(outcome).answer->statement.requestedPause;
    };
    EXPECT_EQ(pauseIn(503, "2"), std::chrono::seconds(2));
    EXPECT_EQ(pauseIn(503, "0.25"), milliseconds(250));
    EXPECT_EQ(pauseIn(503, "0"), std::nullopt);
    EXPECT_EQ(pauseIn(421, "2"), std::nullopt);
    for (const char *unreadable : {"", "-1", "nan", "inf", "1e3", "99999999999", "2 s", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        EXPECT_EQ(pauseIn(503, unreadable), std::nullopt) << unreadable;
    }
}

TEST_F(HttpProtocolsTest, readsThatAServerLeavesFromAnyOfItsResponses)
{
    const HeaderField leaving{.name = "Server-Leaving", .value = "1"};
    const HeaderField stamp{.name = "X-Server-Stamp", .value = "s"};
    const auto leaves = [](const SubOutcome &outcome) { return statementOf(outcome) != nullptr && statementOf(outcome)->leaving; };
    EXPECT_TRUE(leaves(this->decode(200, {stamp, leaving})));
    EXPECT_TRUE(leaves(this->decode(500, {stamp, leaving})));
    EXPECT_TRUE(leaves(this->decode(503, {{.name = "X-Not-Run", .value = "1"}, leaving})));
    EXPECT_TRUE(leaves(this->decode(200, {leaving}))) << "not a complete answer, but its server's";
    EXPECT_FALSE(leaves(this->decode(421, {leaving}))) << "another server at the same address";
    EXPECT_FALSE(leaves(this->decode(200, {stamp, leaving, {.name = "X-Request-Id", .value = "other"}})));
    EXPECT_FALSE(leaves(this->decode(200, {stamp, {.name = "Server-Leaving", .value = "yes"}})));
    EXPECT_FALSE(leaves(this->decode(200, {stamp})));
}

TEST_F(HttpProtocolsTest, keepsStatementsOfAServerFromCallers)
{
    Answer answer{.state = RunState::ran};
    answer.forwarded = ForwardedAnswer{
        .status = 200, .headers = {{.name = "Server-Limit", .value = "30"}, {.name = "Server-Leaving", .value = "1"}, {.name = "X-Other", .value = "1"}}};
    const HttpResponse response = this->callers.encode(answer, {});
    ASSERT_EQ(response.headers.size(), 1U);
    EXPECT_EQ(response.headers[0].name, "X-Other");
}

TEST_F(HttpProtocolsTest, treatsRequestAsNotRunOnlyOnExplicitServerStatement)
{
    EXPECT_TRUE(provesNotRun(failureOf(this->decode(503, {{.name = "X-Not-Run", .value = "1"}}))));
    EXPECT_TRUE(provesNotRun(failureOf(this->decode(421, {{.name = "X-Instance-Id", .value = "i-2"}}))));
    EXPECT_FALSE(provesNotRun(failureOf(this->decode(503, {}))));
    EXPECT_FALSE(provesNotRun(failureOf(this->decode(429, {}))));
}

TEST_F(HttpProtocolsTest, refusalCarriesRetryAfter)
{
    const Answer refused{.state = RunState::notRun, .reason = "refused-overload", .retryAfter = milliseconds(120)};
    const HttpResponse response = this->callers.encode(refused, {});
    EXPECT_EQ(response.status, 503);
    ASSERT_EQ(response.headers.size(), 1U);
    EXPECT_EQ(response.headers[0].value, "0.120");
    const Answer unknown{.state = RunState::outcomeUnknown, .reason = "no-replica"};
    EXPECT_EQ(this->callers.encode(unknown, {}).status, 502);
}

} // namespace ragwort::platform
