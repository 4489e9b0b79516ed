/// \file
/// Tests of the codec of divided queries' messages, also with damaged ones.
#include "ragwortcart/Wire/PartialQueryCodec.h"

#include "ragwortcart/Wire/PeerCodec.h"

#include <gtest/gtest.h>
#include <pcg_random.hpp>

namespace ragwort {

namespace {

PartialQueryRequest makeRequest()
{
    PartialQueryRequest request{.query = ~std::uint64_t{0},
                                .branch = 7,
                                .route = "roster",
                                .routeRevision = std::uint64_t{1} << 63U,
                                .firstShard = 45,
                                .shardCount = 45,
                                .minimumShards = 41,
                                .answerWithin = std::chrono::milliseconds(90),
                                .timeLeft = std::chrono::milliseconds(1400),
                                .sentAtUs = -5};
    request.forwarded = std::make_shared<ForwardedRequest>(ForwardedRequest{.method = "GET",
                                                                            .target = "/a?b=1",
                                                                            .headers = {{.name = "Host", .value = "h"}, {.name = "X", .value = "\xff\r"}},
                                                                            .body = std::string("\0body", 5),
                                                                            .callerRequestId = "id"});
    request.contentFingerprint = ~std::uint64_t{1};
    return request;
}

PartialQueryReply makeReply()
{
    PartialQueryReply reply{.query = 3, .branch = 2, .success = true, .state = RunState::ran, .reason = "completed"};
    reply.records = {.body = std::string(32, '\xfe'), .signatures = {"s1", "s2", ""}, .missingShards = {4, 99}};
    reply.retryAfter = std::chrono::milliseconds(12);
    reply.attempts = 92;
    reply.hedges = 2;
    reply.retries = 1;
    reply.heldFor = std::chrono::milliseconds(37);
    return reply;
}

} // namespace

/// Guards against fields that are swapped or lose values at the ends of their ranges.
TEST(PartialQueryCodecTest, restoresARequest)
{
    const PartialQueryRequest request = makeRequest();
    const std::string bytes = encodePartialQueryMessage(request);
    EXPECT_TRUE(isPartialQueryMessage(bytes));
    const Result<PartialQueryMessage> decoded = decodePartialQueryMessage(bytes, "p");
    ASSERT_TRUE(decoded) << decoded.error().describe();
    const auto &restored = std::get<PartialQueryRequest>(*decoded);
    EXPECT_EQ(restored.query, request.query);
    EXPECT_EQ(restored.branch, request.branch);
    EXPECT_EQ(restored.route, request.route);
    EXPECT_EQ(restored.routeRevision, request.routeRevision);
    EXPECT_EQ(restored.contentFingerprint, request.contentFingerprint);
    EXPECT_EQ(restored.firstShard, request.firstShard);
    EXPECT_EQ(restored.shardCount, request.shardCount);
    EXPECT_EQ(restored.minimumShards, request.minimumShards);
    EXPECT_EQ(restored.answerWithin, request.answerWithin);
    EXPECT_EQ(restored.timeLeft, request.timeLeft);
    EXPECT_EQ(restored.sentAtUs, request.sentAtUs);
    EXPECT_EQ(restored.forwarded->method, "GET");
    EXPECT_EQ(restored.forwarded->target, "/a?b=1");
    ASSERT_EQ(restored.forwarded->headers.size(), 2U);
    EXPECT_EQ(restored.forwarded->headers[1].value, "\xff\r");
    EXPECT_EQ(restored.forwarded->body, std::string("\0body", 5));
    EXPECT_EQ(restored.forwarded->callerRequestId, "id");
}

/// As above.
TEST(PartialQueryCodecTest, restoresAReplyAndACancel)
{
    const PartialQueryReply reply = makeReply();
    const Result<PartialQueryMessage> decoded = decodePartialQueryMessage(encodePartialQueryMessage(reply), "p");
    ASSERT_TRUE(decoded);
    const auto &restored = std::get<PartialQueryReply>(*decoded);
    EXPECT_TRUE(restored.success);
    EXPECT_EQ(restored.state, RunState::ran);
    EXPECT_EQ(restored.reason, "completed");
    EXPECT_EQ(restored.records.body, reply.records.body);
    EXPECT_EQ(restored.records.signatures, reply.records.signatures);
    EXPECT_EQ(restored.records.missingShards, reply.records.missingShards);
    EXPECT_EQ(restored.retryAfter, reply.retryAfter);
    EXPECT_EQ(restored.attempts, 92);
    EXPECT_EQ(restored.hedges, 2);
    EXPECT_EQ(restored.retries, 1);
    EXPECT_EQ(restored.heldFor, reply.heldFor);
    const Result<PartialQueryMessage> cancel = decodePartialQueryMessage(encodePartialQueryMessage(PartialQueryCancel{.query = 8, .branch = 1}), "p");
    ASSERT_TRUE(cancel);
    EXPECT_EQ(std::get<PartialQueryCancel>(*cancel).query, 8U);
}

/// Older instances reject these messages by their type; messages of the older types are not taken for them.
TEST(PartialQueryCodecTest, sharesTheLinksWithTheOtherMessages)
{
    EXPECT_FALSE(isPartialQueryMessage(encodePeerMessage(PeerStoreDigest{})));
    EXPECT_FALSE(isPartialQueryMessage(encodePeerMessage(PeerAttemptCounts{.attemptCounts = {{.serverId = "s", .ended = 13, .bad = 14}}})));
    EXPECT_FALSE(isPartialQueryMessage(""));
    EXPECT_FALSE(decodePeerMessage(encodePartialQueryMessage(PartialQueryCancel{}), "p"));
}

/// A coordinator of an earlier version does not tell the identity of the content.
TEST(PartialQueryCodecTest, acceptsARequestWithoutContentFingerprint)
{
    static constexpr char FIELDS_OF_EARLIER_VERSION = '\x90';
    static constexpr std::size_t FINGERPRINT_BYTES = 9;
    std::string bytes = encodePartialQueryMessage(makeRequest());
    bytes[0] = FIELDS_OF_EARLIER_VERSION;
    bytes.resize(bytes.size() - FINGERPRINT_BYTES);
    const Result<PartialQueryMessage> decoded = decodePartialQueryMessage(bytes, "p");
    ASSERT_TRUE(decoded) << decoded.error().describe();
    const auto &restored = std::get<PartialQueryRequest>(*decoded);
    EXPECT_EQ(restored.contentFingerprint, 0U);
    EXPECT_EQ(restored.forwarded->callerRequestId, "id");
}

/// Guards against a message that is cut and taken for a whole one.
TEST(PartialQueryCodecTest, rejectsTruncatedMessages)
{
    for (const std::string &bytes : {encodePartialQueryMessage(makeRequest()), encodePartialQueryMessage(makeReply())}) {
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            const auto decoded = decodePartialQueryMessage(bytes.substr(0, size), "p");
            EXPECT_FALSE(decoded) << size;
        }
    }
}

/// Guards against a process that ends because of a damaged message.
TEST(PartialQueryCodecTest, survivesDamagedMessages)
{
    static constexpr int ROUNDS = 20000;
    pcg32 random(20261205);
    const std::vector<std::string> corpus = {encodePartialQueryMessage(makeRequest()),
                                             encodePartialQueryMessage(makeReply()),
                                             encodePartialQueryMessage(PartialQueryCancel{.query = 1, .branch = 1}),
                                             std::string(64, '\x9f'),
                                             std::string("\x90\x0d\x5b\x7f\xff\xff\xff\xff\xff\xff\xff", 11)};
    for (int round = 0; round < ROUNDS; ++round) {
        std::string bytes = corpus[random(static_cast<std::uint32_t>(corpus.size()))];
        for (std::uint32_t change = random(4); change > 0; --change) {
            bytes[random(static_cast<std::uint32_t>(bytes.size()))] = static_cast<char>(random(256));
        }
        bytes.resize(bytes.size() - random(static_cast<std::uint32_t>(bytes.size())));
        // Whether it can still be read depends on what has changed.
        const Result<PartialQueryMessage> decoded = decodePartialQueryMessage(bytes, "p");
        if (decoded) {
            EXPECT_FALSE(encodePartialQueryMessage(*decoded).empty());
        }
    }
}

} // namespace ragwort
