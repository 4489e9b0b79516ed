#include "platform/StoreFormat.h"

#include <gtest/gtest.h>

namespace ragwort::platform {

static const char *CONFIG = R"({"version":7,"routes":[
 {"name":"r1","host":"h","prefix":"/a/","kind":"safe","timeout_ms":800,"target_latency_ms":80,"priority":2,"gather":["x","y"],"max_attempts":2,"top_k":5,"min_version":0.75},
 {"name":"r2","host":"h","prefix":"/b/","kind":"unsafe","timeout_ms":6000,"target_latency_ms":400,"priority":1,"backends":[{"service":"x","weight":3},{"service":"y","weight":1}]}],
 "services":[{"name":"x","health_path":"/healthz","max_conns":26,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":0.0}],
 "limits":{"header_bytes":16384,"body_bytes":262144,"header_timeout_ms":3000,"idle_ms":15000}})";

static const char *SERVER
    = R"({"service":"x","addr":"10.128.0.9:8080","zone":"a","version":"v1","slots":2,"state":"ready","warmup_left_ms":1500,"sequence":4,"born":1700000000000})";

TEST(StoreFormatTest, decodesConfigurationIntoRoutes)
{
    const PlatformStoreFormat format;
    const PlatformItem decoded = format.decode("op/config", CONFIG);
    const auto *routes = std::get_if<RoutesItem>(&decoded);
    ASSERT_NE(routes, nullptr);
    const RouteTable &table = *routes->table;
    EXPECT_EQ(table.version, 7U);
    ASSERT_EQ(table.routes.size(), 2U);
    const Route &gather = table.routes[0];
    EXPECT_EQ(std::get<ShardSet>(gather.target).services, (std::vector<std::string>{"x", "y"}));
    EXPECT_EQ(std::get<ShardSet>(gather.target).topRecordCount, 5U);
    EXPECT_DOUBLE_EQ(gather.kind.minimumCoverage, 0.75);
    EXPECT_TRUE(gather.kind.repeatable);
    EXPECT_EQ(gather.latencyObjective, std::chrono::milliseconds(80));
    EXPECT_FALSE(table.routes[1].kind.repeatable);
    EXPECT_EQ(table.routes[1].maximumAttempts, 1);
    EXPECT_EQ(table.services.at("x").connections, 26);
    EXPECT_EQ(table.limits.idleTimeout, std::chrono::seconds(15));
}

TEST(StoreFormatTest, reportsUnreadableConfiguration)
{
    const PlatformStoreFormat format;
    for (const char *text : {"", "[]", "{", R"({"version":1})", R"({"version":1,"routes":[{"name":"r"}],"services":[],"limits":{}})"}) {
        EXPECT_TRUE(std::holds_alternative<UnreadableItem>(format.decode("op/config", text))) << text;
    }
}

TEST(StoreFormatTest, decodesServerEntry)
{
    const Result<ServerEntry> entry = decodeServer("i-1", SERVER);
    ASSERT_TRUE(entry);
    EXPECT_EQ(entry->address, "10.128.0.9:8080");
    EXPECT_EQ(entry->warmUpLeft, std::chrono::milliseconds(1500));
    EXPECT_EQ(entry->startedMs, 1700000000000);
    EXPECT_FALSE(entry->draining);
}

TEST(StoreFormatTest, rejectsInvalidServerEntries)
{
    const std::string valid = SERVER;
    const std::vector<std::pair<std::string, std::string>> replacements = {{R"("state":"ready")", R"("state":"resting")"},
                                                                           {R"("slots":2)", R"("slots":"2")"},
                                                                           {R"("slots":2)", R"("slots":0)"},
                                                                           {R"("addr":"10.128.0.9:8080")", R"("addr":"somewhere")"},
                                                                           {R"("addr":"10.128.0.9:8080",)", ""},
                                                                           {R"("zone":"a")", R"("zone":7)"},
                                                                           {R"("born":1700000000000)", R"("born":1700000000000.5)"},
                                                                           {R"("sequence":4)", R"("sequence":null)"}};
    for (const auto &[from, to] : replacements) {
        std::string text = valid;
        text.replace(text.find(from), from.size(), to);
        EXPECT_FALSE(decodeServer("i-1", QByteArray::fromStdString(text))) << text;
    }
    EXPECT_FALSE(decodeServer("i-1", "\xff\x00"));
}

/// Guards against the cause of issue 38 in a header: the id of a server, which any writer of an entry may choose, is sent to the server with each
/// request. One that ends the field begins another one, or another request.
TEST(StoreFormatTest, anIdThatNoHeaderCanCarryNamesNoServer)
{
    const PlatformStoreFormat format;
    for (const std::string id : {"", " ", " a", "a ", "\ta", "a\t", "a\tb", "a\r\nX-B: 1", "a\nb", "a\rb", "a\x01", "\x7f"}) {
        EXPECT_TRUE(std::holds_alternative<UnreadableItem>(format.decode("servers/" + id, SERVER))) << id;
    }
    EXPECT_TRUE(std::holds_alternative<UnreadableItem>(format.decode(std::string_view("servers/a\0b", 11), SERVER)));
    for (const std::string id : {"i-1", "a&b", "a+b", "a#b", "a%41b", "a b", "a:b/c", "é"}) {
        const PlatformItem decoded = format.decode("servers/" + id, SERVER);
        const auto *server = std::get_if<ServerItem>(&decoded);
        ASSERT_NE(server, nullptr) << id;
        EXPECT_EQ(server->entry.id, id);
    }
}

/// The name of such an entry was not received as it is, and may stand for several.
TEST(StoreFormatTest, anIdThatIsNoTextNamesNoServer)
{
    const PlatformStoreFormat format;
    EXPECT_TRUE(std::holds_alternative<UnreadableItem>(format.decode("servers/a\uFFFD", SERVER)));
}

TEST(StoreFormatTest, decodesRemovalsFromKeys)
{
    const PlatformStoreFormat format;
    EXPECT_EQ(std::get<ServerRemoved>(format.decodeRemoval("servers/i-1")).id, "i-1");
    EXPECT_EQ(std::get<DomainRestored>(format.decodeRemoval("op/evacuate/a")).domain, "a");
    EXPECT_EQ(std::get<InstanceRemoved>(format.decodeRemoval(format.instanceKey("n"))).name, "n");
    EXPECT_TRUE(std::holds_alternative<UnrelatedItem>(format.decodeRemoval("op/config")));
}

TEST(StoreFormatTest, instanceEntryRoundTrips)
{
    const PlatformStoreFormat format;
    const PlatformItem decoded = format.decode(format.instanceKey("n"), format.encodeInstance({.name = "n", .domain = "a", .peerAddress = "10.0.0.1:7740"}));
    EXPECT_EQ(std::get<InstanceItem>(decoded).name, "n");
    EXPECT_EQ(std::get<InstanceItem>(decoded).domain, "a");
    EXPECT_EQ(std::get<InstanceItem>(decoded).peerAddress, "10.0.0.1:7740");
}

} // namespace ragwort::platform
