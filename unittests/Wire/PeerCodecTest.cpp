#include "ragwortcart/Wire/PeerCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ragwort {

/// Encodes and decodes \p message.
static PeerMessage roundTrip(const PeerMessage &message)
{
    const Result<PeerMessage> decoded = decodePeerMessage(encodePeerMessage(message), "peer");
    EXPECT_TRUE(decoded);
    return *decoded;
}

TEST(PeerCodecTest, roundTripsControlMessages)
{
    const auto hello = std::get<PeerHello>(roundTrip(PeerHello{.instance = "e", .domain = "d"}));
    EXPECT_EQ(hello.instance, "e");
    EXPECT_EQ(hello.domain, "d");
    const auto digest = std::get<PeerDigest>(
        roundTrip(PeerDigest{.configurationAgeUs = 5, .documentsHash = 0xF123456789ABCDEFULL, .detailed = true, .sequences = {{"tier", 3}}}));
    EXPECT_EQ(digest.configurationAgeUs, 5);
    EXPECT_EQ(digest.sequences.at("tier"), 3U);
    EXPECT_EQ(digest.documentsHash, 0xF123456789ABCDEFULL);
    EXPECT_TRUE(digest.detailed);
    const auto documents = std::get<PeerDocuments>(roundTrip(PeerDocuments{.documents = {{.name = "n", .sequence = 2, .json = "{}"}}}));
    EXPECT_EQ(documents.documents.at(0).json, "{}");
    PeerStatus status{.status = {.serverId = "s", .report = {.incarnation = 7, .cold = true, .draining = true, .load = 4}, .snapshots = {}}, .ageUs = 9};
    status.status.snapshots.push_back({.id = 1, .range = {.begin = 2, .end = 3}, .documents = 4, .totalDocuments = 5});
    const auto statuses = std::get<PeerStatuses>(roundTrip(PeerStatuses{.statuses = {status}}));
    EXPECT_TRUE(statuses.statuses.at(0).status.report.cold);
    EXPECT_TRUE(statuses.statuses.at(0).status.report.draining);
    EXPECT_EQ(statuses.statuses.at(0).status.snapshots.at(0).totalDocuments, 5U);
    EXPECT_EQ(statuses.statuses.at(0).ageUs, 9);
    const PeerCrashReport crashReport{.number = 1, .crashReport = {.fingerprint = 0xFFFFFFFFFFFFFFFFULL, .serverId = "s", .remaining = Duration(8)}};
    EXPECT_EQ(std::get<PeerCrashReport>(roundTrip(crashReport)).crashReport.fingerprint, 0xFFFFFFFFFFFFFFFFULL);
    EXPECT_EQ(std::get<PeerCrashReportAck>(roundTrip(PeerCrashReportAck{.number = 3})).number, 3U);
    const auto warmUp = std::get<PeerWarmUp>(roundTrip(PeerWarmUp{.serverId = "s", .incarnation = 2, .level = 3, .cold = true}));
    EXPECT_EQ(warmUp.level, 3);
    EXPECT_TRUE(warmUp.cold);
}

TEST(PeerCodecTest, storeEventsKeepOrderAndType)
{
    const PeerStoreEvents sent{.after = 7,
                               .position = {.epoch = 3, .revision = 12},
                               .removalGrace = std::chrono::milliseconds(1500),
                               .events = {StoreItem{.key = "k1", .value = QByteArray("a\0b", 3), .revision = 9}, StoreDeletion{.key = "k2", .revision = 12}}};
    const Result<PeerMessage> decoded = decodePeerMessage(encodePeerMessage(sent), "peer");
    ASSERT_TRUE(decoded);
    const auto &read = std::get<PeerStoreEvents>(*decoded);
    EXPECT_EQ(read.after, 7U);
    EXPECT_EQ(read.position, (StorePosition{.epoch = 3, .revision = 12}));
    EXPECT_EQ(read.removalGrace, sent.removalGrace);
    ASSERT_EQ(read.events.size(), 2U);
    EXPECT_EQ(std::get<StoreItem>(read.events[0]).value, QByteArray("a\0b", 3));
    EXPECT_EQ(std::get<StoreDeletion>(read.events[1]).key, "k2");

    const Result<PeerMessage> digest = decodePeerMessage(
        encodePeerMessage(PeerStoreDigest{
            .position = {.epoch = 3, .revision = 12}, .distance = 1, .wantsEvents = true, .confirmedAge = Duration(700), .madeAtUs = 5, .echoedUs = 6}),
        "peer");
    ASSERT_TRUE(digest);
    EXPECT_EQ(std::get<PeerStoreDigest>(*digest).position, (StorePosition{.epoch = 3, .revision = 12}));
    EXPECT_EQ(std::get<PeerStoreDigest>(*digest).distance, 1);
    EXPECT_TRUE(std::get<PeerStoreDigest>(*digest).wantsEvents);
    EXPECT_EQ(std::get<PeerStoreDigest>(*digest).confirmedAge, Duration(700));
    EXPECT_EQ(std::get<PeerStoreDigest>(*digest).madeAtUs, 5);
    EXPECT_EQ(std::get<PeerStoreDigest>(*digest).echoedUs, 6);
}

TEST(PeerCodecTest, readsStoreDigestWithoutAge)
{
    // [8, 12, 0, true], as sent by versions that know no age.
    const Result<PeerMessage> digest = decodePeerMessage(std::string("\x84\x08\x0c\x00\xf5", 5), "peer");
    ASSERT_TRUE(digest);
    EXPECT_EQ(std::get<PeerStoreDigest>(*digest).position, (StorePosition{.epoch = 0, .revision = 12}));
    EXPECT_EQ(std::get<PeerStoreDigest>(*digest).confirmedAge, AGE_UNKNOWN);
    EXPECT_FALSE(std::get<PeerStoreDigest>(*digest).knowsEpochs);
}

/// Guards against a peer of a version that knows no epochs that is taken for one in the first epoch.
TEST(PeerCodecTest, aDigestTellsWhetherItsSenderKnowsEpochs)
{
    for (const bool knowsEpochs : {false, true}) {
        const Result<PeerMessage> digest
            = decodePeerMessage(encodePeerMessage(PeerStoreDigest{.position = {.epoch = 0, .revision = 12}, .knowsEpochs = knowsEpochs}), "peer");
        ASSERT_TRUE(digest);
        EXPECT_EQ(std::get<PeerStoreDigest>(*digest).knowsEpochs, knowsEpochs);
    }
}

/// Instances that know no epochs accept only messages with their own number of fields: those of a store that has not been restored.
TEST(PeerCodecTest, messagesOfALaterEpochHaveOneFieldMore)
{
    const auto fields = [](const PeerMessage &message) { return static_cast<unsigned char>(encodePeerMessage(message).front()) & 0x1FU; };
    EXPECT_EQ(fields(PeerStoreEvents{.after = 7, .position = {.epoch = 0, .revision = 12}, .removalGrace = {}, .events = {}}), 5U);
    EXPECT_EQ(fields(PeerStoreEvents{.after = 7, .position = {.epoch = 1, .revision = 12}, .removalGrace = {}, .events = {}}), 6U);
    EXPECT_EQ(fields(PeerStoreSnapshot{.position = {.epoch = 0, .revision = 12}, .items = {}}), 3U);
    EXPECT_EQ(fields(PeerStoreSnapshot{.position = {.epoch = 1, .revision = 12}, .items = {}}), 4U);
    // [9, 7, 12, 0, [], "x"]: an epoch that is no number.
    EXPECT_FALSE(decodePeerMessage(std::string("\x86\x09\x07\x0c\x00\x80\x61x", 8), "peer"));
}

TEST(PeerCodecTest, preservesStoreSnapshots)
{
    const PeerStoreSnapshot sent{.position = {.epoch = 3, .revision = 12},
                                 .items = {{.key = "k1", .value = QByteArray("a\0b", 3), .revision = 9}, {.key = "k2", .value = {}, .revision = 12}}};
    const Result<PeerMessage> decoded = decodePeerMessage(encodePeerMessage(sent), "peer");
    ASSERT_TRUE(decoded);
    const auto &read = std::get<PeerStoreSnapshot>(*decoded);
    EXPECT_EQ(read.position, (StorePosition{.epoch = 3, .revision = 12}));
    ASSERT_EQ(read.items.size(), 2U);
    EXPECT_EQ(read.items[0].key, "k1");
    EXPECT_EQ(read.items[0].value, QByteArray("a\0b", 3));
    EXPECT_EQ(read.items[0].revision, 9U);
    EXPECT_EQ(read.items[1].key, "k2");
}

/// The keys of entries, which any writer may have named, reach peers as they are: with changes, removals and snapshots.
TEST(PeerCodecTest, preservesOddKeys)
{
    for (const std::string &key :
         {std::string("a&b+c#d%41 e;\"\\"), std::string("\r\n\x01\x7f"), std::string("a\0b", 3), std::string("é ドラム \uFFFD"), std::string()}) {
        const PeerStoreSnapshot snapshot{.position = {.revision = 12}, .items = {{.key = key, .value = "v", .revision = 9}}};
        const Result<PeerMessage> readSnapshot = decodePeerMessage(encodePeerMessage(snapshot), "peer");
        ASSERT_TRUE(readSnapshot);
        EXPECT_EQ(std::get<PeerStoreSnapshot>(*readSnapshot).items.at(0).key, key);
        const PeerStoreEvents events{.after = 1,
                                     .position = {.revision = 3},
                                     .removalGrace = {},
                                     .events = {StoreItem{.key = key, .value = "v", .revision = 2}, StoreDeletion{.key = key, .revision = 3}}};
        const Result<PeerMessage> readEvents = decodePeerMessage(encodePeerMessage(events), "peer");
        ASSERT_TRUE(readEvents);
        const auto &received = std::get<PeerStoreEvents>(*readEvents).events;
        ASSERT_EQ(received.size(), 2U);
        EXPECT_EQ(std::get<StoreItem>(received[0]).key, key);
        EXPECT_EQ(std::get<StoreDeletion>(received[1]).key, key);
    }
}

TEST(PeerCodecTest, preservesCrashNews)
{
    const PeerCrashNews sent{.crashes = {{.fingerprint = ~std::uint64_t{0}, .serverId = "s1", .sentAge = Duration(900), .lostAge = Duration(700)}},
                             .served = {{.fingerprint = 7, .age = Duration(20)}}};
    const Result<PeerMessage> decoded = decodePeerMessage(encodePeerMessage(sent), "peer");
    ASSERT_TRUE(decoded);
    const auto &read = std::get<PeerCrashNews>(*decoded);
    ASSERT_EQ(read.crashes.size(), 1U);
    EXPECT_EQ(read.crashes[0].fingerprint, ~std::uint64_t{0});
    EXPECT_EQ(read.crashes[0].serverId, "s1");
    EXPECT_EQ(read.crashes[0].sentAge, Duration(900));
    EXPECT_EQ(read.crashes[0].lostAge, Duration(700));
    ASSERT_EQ(read.served.size(), 1U);
    EXPECT_EQ(read.served[0].fingerprint, 7U);
    EXPECT_EQ(read.served[0].age, Duration(20));
}

/// Guards against ages from a peer that lie in the future or overflow when a time is computed from them.
TEST(PeerCodecTest, boundsTheAgesOfCrashNews)
{
    const PeerCrashNews sent{.crashes = {{.fingerprint = 1, .serverId = "s1", .sentAge = Duration(-5), .lostAge = Duration::max()}},
                             .served = {{.fingerprint = 7, .age = Duration::min()}}};
    const Result<PeerMessage> decoded = decodePeerMessage(encodePeerMessage(sent), "peer");
    ASSERT_TRUE(decoded);
    const auto &read = std::get<PeerCrashNews>(*decoded);
    EXPECT_EQ(read.crashes.at(0).lostAge, QUARANTINE_TIME);
    EXPECT_EQ(read.crashes.at(0).sentAge, QUARANTINE_TIME) << "a request is not sent after it is lost";
    EXPECT_EQ(read.served.at(0).age, Duration::zero());
}

TEST(PeerCodecTest, rejectsStoreSnapshotWithoutItems)
{
    // [12, 7]: decoded leniently, the truncated array would mean that the store is empty.
    EXPECT_FALSE(decodePeerMessage(std::string("\x82\x0c\x07", 3), "peer"));
    EXPECT_FALSE(decodePeerMessage(std::string("\x83\x0c\x07\x01", 4), "peer"));
}

TEST(PeerCodecTest, rejectsStoreEventsWithoutChanges)
{
    // [9, 7, 12, 0]: decoded leniently, the truncated array would mean that nothing changed between the two revisions.
    EXPECT_FALSE(decodePeerMessage("\x84\x09\x07\x0c\x00", "peer"));
}

TEST(PeerCodecTest, rejectsMalformedBytesAndReportsPeer)
{
    for (const std::string &bytes : {std::string(), std::string("\xff\xff"), std::string("hello"), std::string("\x81\x18\x63")}) {
        const Result<PeerMessage> decoded = decodePeerMessage(bytes, "peer-3");
        ASSERT_FALSE(decoded);
        EXPECT_EQ(decoded.error().peer, "peer-3");
    }
}

/// Corrupted messages may decode to a message or be rejected, but must not crash the decoder.
TEST(PeerCodecTest, corruptedMessagesDoNotCrashDecoder)
{
    PeerStatuses statuses;
    for (int index = 0; index < 3; ++index) {
        statuses.statuses.push_back({.status = {.serverId = "s", .report = {}, .snapshots = {{.id = 1, .range = {.begin = 0, .end = 9}}}}, .ageUs = 1});
    }
    const std::string valid = encodePeerMessage(statuses);
    const bool holds = rc::check("corruption does not crash the decoder", [&valid] {
        std::string corrupted = valid;
        const auto count = *rc::gen::inRange(1, 6);
        for (int index = 0; index < count; ++index) {
            corrupted[*rc::gen::inRange<std::size_t>(0, corrupted.size())] = static_cast<char>(*rc::gen::inRange(0, 256));
        }
        corrupted.resize(*rc::gen::inRange<std::size_t>(0, corrupted.size() + 1));
        decodePeerMessage(corrupted, "peer");
    });
    EXPECT_TRUE(holds);
}

} // namespace ragwort
