#include "ragwortcart/Wire/CallerCodec.h"

#include <gtest/gtest.h>

namespace ragwort {

class CallerCodecTest : public ::testing::Test
{
protected:
    CallerCodecTest()
    {
        TeamConfiguration team{.name = "t", .sequence = 1, .kinds = {}, .groups = {}};
        team.kinds.push_back({.name = "s", .group = "g", .maximumDeadline = std::chrono::seconds(1)});
        team.kinds.push_back({.name = "a", .group = "g", .repeatable = false, .maximumDeadline = std::chrono::seconds(1)});
        this->configuration.teams["t"] = team;
    }

    static HttpRequest request(const std::string &target, const std::string &body = "{\"query\":\"x\"}", const std::string &deadline = "100")
    {
        return {.method = "POST", .target = target, .headers = {{.name = "ragwort-deadline-ms", .value = deadline}}, .body = body};
    }

    /// Returns the HTTP status of the rejection, or 0 if the request is accepted.
    int statusOf(const HttpRequest &http) const
    {
        const auto decoded = decodeCallerRequest(http, this->configuration, Instant{});
        const auto *rejection = std::get_if<HttpResponse>(&decoded);
        if (rejection != nullptr) {
            EXPECT_EQ(rejection->contentType, "application/problem+json");
            EXPECT_NE(rejection->body.find("\"run\":\"not-run\""), std::string::npos);
        }
        return rejection == nullptr ? 0 : rejection->status;
    }

    Configuration configuration;
};

TEST_F(CallerCodecTest, decodesValidRequest)
{
    const auto decoded = decodeCallerRequest(request("/v1/teams/t/search/s", R"({"query":"x","limit":5})"), this->configuration, Instant{});
    const auto *query = std::get_if<QueryRequest>(&decoded);
    ASSERT_NE(query, nullptr);
    EXPECT_EQ(query->limit, 5);
    EXPECT_EQ(query->deadline, Instant{std::chrono::milliseconds(100)});
}

TEST_F(CallerCodecTest, rejectsInvalidRequestsWithMatchingStatus)
{
    EXPECT_EQ(this->statusOf(request("/v1/teams/t/search/s")), 0);
    EXPECT_EQ(this->statusOf(request("/v1/teams/none/search/s")), 404);
    EXPECT_EQ(this->statusOf(request("/v1/teams/t/search/none")), 404);
    EXPECT_EQ(this->statusOf(request("/v1/teams/t/search/a")), 404) << "an action is not a search";
    EXPECT_EQ(this->statusOf(request("/elsewhere")), 404);
    EXPECT_EQ(this->statusOf(request("")), 404);
    for (const char *deadline : {"", "0", "-5", "1e3", "99999999999999999999", "1001", "soon"}) {
        EXPECT_EQ(this->statusOf(request("/v1/teams/t/search/s", "{\"query\":\"x\"}", deadline)), 400) << deadline;
    }
    for (const char *body : {"", "{", "[]", "{}", R"({"query":5})", R"({"query":""})", R"({"query":"x","limit":0})", R"({"query":"x","limit":"9"})"}) {
        EXPECT_EQ(this->statusOf(request("/v1/teams/t/search/s", body)), 400) << body;
    }
    EXPECT_EQ(this->statusOf(request("/v1/teams/t/search/s", R"({"query":")" + std::string(5000, 'x') + "\"}")), 400);
    HttpRequest get = request("/v1/teams/t/search/s");
    get.method = "GET";
    EXPECT_EQ(this->statusOf(get), 405);
}

TEST_F(CallerCodecTest, actionsRequireIdempotencyKey)
{
    HttpRequest action = request("/v1/teams/t/actions/a");
    EXPECT_EQ(this->statusOf(action), 400);
    action.headers.push_back({.name = "Idempotency-Key", .value = "\"k-1\""});
    const auto decoded = decodeCallerRequest(action, this->configuration, Instant{});
    EXPECT_EQ(std::get<QueryRequest>(decoded).idempotencyKey, "k-1");
}

TEST_F(CallerCodecTest, ignoresMalformedTraceParent)
{
    HttpRequest http = request("/v1/teams/t/search/s");
    http.headers.push_back({.name = "traceparent", .value = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"});
    EXPECT_EQ(std::get<QueryRequest>(decodeCallerRequest(http, this->configuration, Instant{})).traceParent, http.headers.back().value);
    http.headers.back().value = "00-xyz";
    EXPECT_EQ(std::get<QueryRequest>(decodeCallerRequest(http, this->configuration, Instant{})).traceParent, "");
}

TEST_F(CallerCodecTest, fingerprintDependsOnContentAndNotOnDeadline)
{
    const auto first = std::get<QueryRequest>(decodeCallerRequest(request("/v1/teams/t/search/s"), this->configuration, Instant{}));
    const auto resend
        = std::get<QueryRequest>(decodeCallerRequest(request("/v1/teams/t/search/s", "{\"query\":\"x\"}", "500"), this->configuration, Instant{}));
    const auto other = std::get<QueryRequest>(decodeCallerRequest(request("/v1/teams/t/search/s", "{\"query\":\"y\"}"), this->configuration, Instant{}));
    EXPECT_EQ(first.fingerprint, resend.fingerprint);
    EXPECT_NE(first.fingerprint, other.fingerprint);
}

TEST_F(CallerCodecTest, failuresCarryRunStateStatusAndRetryAfter)
{
    const Answer refused{.query = 7, .state = RunState::notRun, .reason = "refused-overload", .retryAfter = std::chrono::milliseconds(1200)};
    const HttpResponse response = encodeAnswer(refused, {.instance = "e", .repeatable = true});
    EXPECT_EQ(response.status, 503);
    ASSERT_EQ(response.headers.size(), 1U);
    EXPECT_EQ(response.headers[0].name, "Retry-After");
    EXPECT_EQ(response.headers[0].value, "2");
    EXPECT_NE(response.body.find("\"run\":\"not-run\""), std::string::npos);
    const Answer unknown{.query = 7, .state = RunState::outcomeUnknown, .reason = "unknown-outcome"};
    EXPECT_EQ(encodeAnswer(unknown, {.repeatable = false}).status, 504);
    const Answer held{.query = 7, .state = RunState::outcomeUnknown, .reason = "claim-held-elsewhere"};
    EXPECT_EQ(encodeAnswer(held, {.repeatable = false}).status, 409);
}

TEST_F(CallerCodecTest, answerCarriesSnapshotCoverageAndMissingRanges)
{
    Answer answer{.query = 7, .state = RunState::ran, .reason = "deadline-reached", .success = true, .snapshot = 4};
    answer.coverage = {.documents = 30, .totalDocuments = 40, .missing = {{.begin = 5, .end = 9}}};
    const HttpResponse response = encodeAnswer(answer, {.instance = "e", .repeatable = true});
    EXPECT_EQ(response.status, 200);
    EXPECT_NE(response.body.find("\"snapshot\":4"), std::string::npos);
    EXPECT_NE(response.body.find("\"fraction\":0.75"), std::string::npos);
    EXPECT_NE(response.body.find("{\"begin\":5,\"end\":9}"), std::string::npos);
}

} // namespace ragwort
