#include "ragwortcart/Control/ServerDirectory.h"

#include <gtest/gtest.h>
#include <set>

namespace ragwort {

static Instant at(int ms)
{
    return Instant{std::chrono::milliseconds(ms)};
}

static ListedServer server(const std::string &id, const std::string &domain)
{
    return {.identity = {.id = id, .address = "127.0.0.1:1", .team = "t", .group = "g", .service = "g-0", .domain = domain}, .leaving = false};
}

static std::shared_ptr<const Configuration> configuration(const std::set<std::string> &domainsOutOfService = {})
{
    auto result = std::make_shared<Configuration>();
    result->tier = {.sequence = 1, .maximumInstances = 4, .domainsOutOfService = domainsOutOfService, .serversOutOfService = {}};
    TeamConfiguration team{.name = "t", .sequence = 1, .kinds = {}, .groups = {}};
    team.groups.push_back({.name = "g", .services = 1, .serversPerService = 2, .slots = 2, .connections = 8, .coldCapacity = 1});
    result->teams["t"] = team;
    return result;
}

class ServerDirectoryTest : public ::testing::Test
{
protected:
    ServerDirectoryTest() : directory("entry-0", "a")
    {
        this->directory.setConfiguration(configuration());
        this->directory.setServers({server("s0", "a"), server("s1", "b")});
        this->directory.setEntryInstances({{.id = "entry-0", .domain = "a"}, {.id = "entry-1", .domain = "b"}});
        this->ordinals.updateTable({{0, "entry-0"}, {1, "entry-1"}}, 1, at(0));
    }

    static ServerStatus status(const std::string &id, std::uint64_t incarnation, SnapshotId snapshot = 1, bool cold = false)
    {
        return {.serverId = id,
                .report = {.incarnation = incarnation, .cold = cold},
                .snapshots = {{.id = snapshot, .range = {.begin = 0, .end = KEY_SPACE_END}, .documents = 10, .totalDocuments = 10}}};
    }

    std::shared_ptr<const Topology> build()
    {
        return this->directory.build(this->ordinals, at(0));
    }

    OrdinalManager ordinals{"entry-0"};
    ServerDirectory directory;
};

TEST_F(ServerDirectoryTest, buildsShardsFromStatuses)
{
    this->directory.recordStatus(status("s0", 1), at(1));
    this->directory.recordStatus(status("s1", 1), at(1));
    const auto topology = this->build();
    const GroupTopology *group = topology->findGroup("t", "g");
    ASSERT_NE(group, nullptr);
    ASSERT_EQ(group->snapshots.size(), 1U);
    ASSERT_EQ(group->snapshots[0].shards.size(), 1U);
    EXPECT_EQ(group->snapshots[0].shards[0].replicas.size(), 2U);
    EXPECT_EQ(topology->liveInstances, 2);
}

TEST_F(ServerDirectoryTest, aDomainTakenOutReceivesNoNewWorkUntilRestored)
{
    this->build();
    const auto record = this->directory.findServer("s1");
    this->directory.setConfiguration(configuration({"b"}));
    this->build();
    EXPECT_TRUE(record->isExcluded());
    this->directory.setConfiguration(configuration());
    this->build();
    EXPECT_FALSE(record->isExcluded());
}

TEST_F(ServerDirectoryTest, usesOnlyTheOwnDomainWithoutAFreshConfiguration)
{
    this->directory.setCrossDomainAllowed(false);
    this->build();
    EXPECT_FALSE(this->directory.findServer("s0")->isExcluded());
    EXPECT_TRUE(this->directory.findServer("s1")->isExcluded());
}

TEST_F(ServerDirectoryTest, aLeavingOrDelistedServerReceivesNoNewWork)
{
    this->build();
    const auto leaving = this->directory.findServer("s0");
    const auto delisted = this->directory.findServer("s1");
    ListedServer listed = server("s0", "a");
    listed.leaving = true;
    EXPECT_TRUE(this->directory.setServers({listed}));
    this->build();
    EXPECT_TRUE(leaving->isExcluded());
    EXPECT_TRUE(delisted->isExcluded());
}

TEST_F(ServerDirectoryTest, marksANewIncarnationAsCold)
{
    this->directory.recordStatus(status("s0", 1), at(1));
    this->build();
    EXPECT_FALSE(this->directory.findServer("s0")->cold);
    EXPECT_TRUE(this->directory.recordStatus(status("s0", 2), at(2)));
    EXPECT_TRUE(this->directory.findServer("s0")->cold);
}

TEST_F(ServerDirectoryTest, ignoresOlderStatuses)
{
    this->directory.recordStatus(status("s0", 2, 5), at(10));
    EXPECT_FALSE(this->directory.recordStatus(status("s0", 1, 4), at(9)));
    EXPECT_EQ(this->build()->findGroup("t", "g")->snapshots[0].id, 5U);
}

TEST_F(ServerDirectoryTest, everyServerIsPolledByExactlyOneInstance)
{
    std::vector<ListedServer> servers;
    for (int index = 0; index < 40; ++index) {
        servers.push_back(server("s" + std::to_string(index), index % 3 == 0 ? "a" : (index % 3 == 1 ? "b" : "no entries here")));
    }
    const std::vector<ListedEntryInstance> entries{{.id = "entry-0", .domain = "a"}, {.id = "entry-1", .domain = "b"}, {.id = "entry-2", .domain = "a"}};
    std::multiset<std::string> polled;
    for (const ListedEntryInstance &entry : entries) {
        ServerDirectory each(entry.id, entry.domain);
        each.setServers(servers);
        each.setEntryInstances(entries);
        for (const auto &record : each.serversToPoll()) {
            polled.insert(record->identity.id);
            if (record->identity.domain == "a" || record->identity.domain == "b") {
                EXPECT_EQ(record->identity.domain, entry.domain);
            }
        }
    }
    EXPECT_EQ(polled.size(), 40U);
    EXPECT_EQ(std::set<std::string>(polled.begin(), polled.end()).size(), 40U);
}

} // namespace ragwort
