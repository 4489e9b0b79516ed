/// \file
/// Tests what the registry believes after the metadata store has come back from an older copy.
#include "ragwortcart/Control/ServerRegistry.h"

#include <gtest/gtest.h>

namespace ragwort {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration GRACE = milliseconds(2200);
constexpr Duration SILENCE = milliseconds(3600);
constexpr Duration INSTANCE_GRACE = seconds(12);
constexpr Duration TICK = milliseconds(1);

class ServerRegistryEpochTest : public testing::Test
{
protected:
    ServerRegistryEpochTest() : registry({.instance = "i1", .domain = "a", .removalGrace = GRACE, .serverSilence = SILENCE, .instanceGrace = INSTANCE_GRACE})
    {
        this->routes.services["x"] = {.connections = 26, .warmUp = seconds(3), .coldRate = 0.0};
        this->registry.setInstance({.name = "i1", .domain = "a"});
    }

    static ServerEntry entry(const std::string &id, bool draining = false, std::int64_t startedMs = 5, const std::string &address = {})
    {
        return {.id = id,
                .service = "x",
                .address = address.empty() ? "10.0.0.1:" + id : address,
                .domain = "a",
                .slots = 2,
                .draining = draining,
                .startedMs = startedMs};
    }

    /// The store has come back from a copy with these contents.
    void restore(const std::vector<ServerEntry> &copied,
                 const std::vector<std::string> &domainsOut = {},
                 const std::vector<InstanceItem> &instances = {{.name = "i1", .domain = "a"}})
    {
        this->registry.beginEpoch(this->now);
        this->list(copied, domainsOut, instances);
    }

    /// The store is listed again in the same epoch.
    void list(const std::vector<ServerEntry> &copied,
              const std::vector<std::string> &domainsOut = {},
              const std::vector<InstanceItem> &instances = {{.name = "i1", .domain = "a"}})
    {
        this->registry.replaceAll({}, this->now, copied);
        this->registry.replaceDomainsOut(domainsOut);
        this->registry.replaceInstances(instances);
    }

    /// Lets the time pass, with the store's contents known all the while.
    void pass(Duration time)
    {
        const Instant until = this->now + time;
        while (const std::optional<Instant> next = this->registry.nextExpiry()) {
            if (*next > until) {
                break;
            }
            this->now = *next;
            this->registry.dropExpired(this->now, this->now);
        }
        this->now = until;
    }

    ServerPointer find(const std::string &id)
    {
        const std::shared_ptr<const Topology> topology = this->registry.build(this->routes);
        const auto found = topology->servers.find(id);
        return found == topology->servers.end() ? nullptr : found->second;
    }

    bool isUsed(const std::string &id)
    {
        const ServerPointer server = this->find(id);
        return server && !server->isExcluded();
    }

    ServerRegistry registry;
    RouteTable routes;
    Instant now{seconds(100)};
};

} // namespace

/// Guards against servers that are dropped because their entries were written in the lost seconds.
TEST_F(ServerRegistryEpochTest, aServerThatTheCopyLacksIsUsedUntilTheGraceHasPassed)
{
    this->registry.set(entry("alive"), this->now);
    this->registry.set(entry("dead"), this->now);
    this->restore({});
    EXPECT_EQ(this->registry.unconfirmed().servers, 2U);
    EXPECT_TRUE(this->isUsed("alive"));
    this->pass(GRACE - TICK);
    EXPECT_TRUE(this->isUsed("dead"));
    this->registry.set(entry("alive"), this->now);
    this->pass(TICK);
    EXPECT_EQ(this->find("dead"), nullptr);
    EXPECT_TRUE(this->isUsed("alive"));
    EXPECT_FALSE(this->registry.unconfirmed().any());
}

/// Guards against a server that is dropped because two restores follow each other and lose its entry each time.
TEST_F(ServerRegistryEpochTest, aFurtherRestoreGivesMissingServersTheGraceAgain)
{
    this->registry.set(entry("s"), this->now);
    this->restore({});
    this->pass(GRACE - TICK);
    this->restore({});
    this->pass(GRACE - TICK);
    EXPECT_TRUE(this->isUsed("s"));
    this->pass(TICK);
    EXPECT_EQ(this->find("s"), nullptr);
}

/// Guards against new work for a server whose statement that it drains was lost with the store's last seconds.
TEST_F(ServerRegistryEpochTest, aDrainingServerDrainsOnThoughTheCopySaysReady)
{
    this->registry.set(entry("s", true), this->now);
    const ServerPointer server = this->find("s");
    this->restore({entry("s")});
    EXPECT_EQ(this->registry.unconfirmed().servers, 1U);
    this->pass(seconds(30));
    this->list({entry("s")});
    this->restore({entry("s")});
    EXPECT_TRUE(server->isExcluded());
    EXPECT_EQ(this->find("s"), server);
    // The server itself says that it is ready.
    this->registry.set(entry("s"), this->now);
    EXPECT_TRUE(this->isUsed("s"));
    EXPECT_FALSE(this->registry.unconfirmed().any());
}

/// Guards against a process that inherits the draining state of the one before it.
TEST_F(ServerRegistryEpochTest, aNewerProcessInTheCopyIsUsed)
{
    this->registry.set(entry("s", true), this->now);
    this->registry.set(entry("gone"), this->now);
    EXPECT_TRUE(this->registry.remove("gone", this->now));
    this->restore({entry("s", false, 6), entry("gone", false, 6), entry("unknown")});
    EXPECT_TRUE(this->isUsed("s"));
    EXPECT_TRUE(this->isUsed("gone"));
    EXPECT_TRUE(this->isUsed("unknown"));
    EXPECT_FALSE(this->registry.unconfirmed().any());
}

/// Guards against new work for a server that has gone, whose entry the older copy brings back.
TEST_F(ServerRegistryEpochTest, aServerThatHadGoneGetsNoWorkUntilItsEntryIsWrittenAgain)
{
    this->registry.set(entry("s"), this->now);
    const ServerPointer server = this->find("s");
    EXPECT_TRUE(this->registry.remove("s", this->now));
    this->restore({entry("s")});
    EXPECT_TRUE(server->isExcluded());
    EXPECT_FALSE(this->isUsed("s"));
    EXPECT_EQ(this->registry.unconfirmed().servers, 1U);
    this->pass(SILENCE - TICK);
    this->list({entry("s")});
    EXPECT_FALSE(this->isUsed("s"));
    EXPECT_TRUE(this->registry.set(entry("s"), this->now));
    EXPECT_TRUE(this->isUsed("s"));
    EXPECT_EQ(this->find("s"), server);
}

/// Guards against a live server that is never used again, as its entry is not written without a change.
TEST_F(ServerRegistryEpochTest, anEntryThatHasStoodForLongerThanThoseOfTheDeadIsTrusted)
{
    this->registry.set(entry("s"), this->now);
    EXPECT_TRUE(this->registry.remove("s", this->now));
    this->restore({entry("s")});
    this->pass(SILENCE - TICK);
    // A further restore loses what has been proven.
    this->restore({entry("s")});
    this->pass(SILENCE - TICK);
    EXPECT_FALSE(this->isUsed("s"));
    this->pass(TICK);
    EXPECT_TRUE(this->isUsed("s"));
}

/// Guards against new work for a dead server whose removal an instance without the store has not heard of.
TEST_F(ServerRegistryEpochTest, anEntryIsNotTrustedWhileTheStoreIsAway)
{
    this->registry.set(entry("s"), this->now);
    EXPECT_TRUE(this->registry.remove("s", this->now));
    this->restore({entry("s")});
    const Instant due = this->now + SILENCE;
    EXPECT_FALSE(this->registry.dropExpired(due + seconds(10), due - TICK));
    EXPECT_FALSE(this->isUsed("s"));
    ASSERT_TRUE(this->registry.nextExpiry());
    EXPECT_GT(*this->registry.nextExpiry(), due + seconds(10)) << "the timer would not rest";
    EXPECT_TRUE(this->registry.dropExpired(*this->registry.nextExpiry(), due));
    EXPECT_TRUE(this->isUsed("s"));
}

/// Guards against a grace for a server that was not in use, and against its return after its removal.
TEST_F(ServerRegistryEpochTest, theRemovalOfAnEntryThatCameBackHoldsAtOnce)
{
    this->registry.set(entry("s"), this->now);
    EXPECT_TRUE(this->registry.remove("s", this->now));
    this->restore({entry("s")});
    EXPECT_TRUE(this->registry.remove("s", this->now));
    this->pass(SILENCE);
    EXPECT_EQ(this->find("s"), nullptr);
    EXPECT_FALSE(this->registry.unconfirmed().any());
}

/// Guards against new work for a server that drained, was removed, and came back as ready.
TEST_F(ServerRegistryEpochTest, aServerThatDrainedBeforeItWasRemovedDrainsOnWhenItIsTrusted)
{
    this->registry.set(entry("s", true), this->now);
    EXPECT_TRUE(this->registry.remove("s", this->now));
    this->restore({entry("s")});
    this->pass(SILENCE);
    EXPECT_FALSE(this->isUsed("s"));
}

/// Guards against a process that is replaced by the one before it, from the older copy.
TEST_F(ServerRegistryEpochTest, anOlderProcessUnderTheSameIdMeansNothing)
{
    this->registry.set(entry("s", false, 6), this->now);
    const ServerPointer newer = this->find("s");
    this->restore({entry("s", false, 5)});
    EXPECT_EQ(this->find("s"), newer);
    EXPECT_TRUE(this->isUsed("s"));
    EXPECT_EQ(this->registry.unconfirmed().servers, 1U);
    this->pass(GRACE);
    EXPECT_EQ(this->find("s"), nullptr) << "it was not written again";
    this->list({entry("s", false, 5)});
    this->pass(SILENCE);
    EXPECT_EQ(this->find("s"), nullptr);
    this->registry.set(entry("s", false, 6), this->now);
    EXPECT_EQ(this->find("s"), newer);
    EXPECT_TRUE(this->isUsed("s"));
}

/// Guards against work for a process whose address another one has taken since.
TEST_F(ServerRegistryEpochTest, anOlderProcessAtTheSameAddressGetsNoWorkWhileTheNewerIsKnown)
{
    this->registry.set(entry("newer", false, 6, "10.0.0.9:80"), this->now);
    this->restore({entry("newer", false, 6, "10.0.0.9:80"), entry("older", false, 5, "10.0.0.9:80")});
    EXPECT_TRUE(this->isUsed("newer"));
    this->pass(SILENCE * 3);
    EXPECT_FALSE(this->isUsed("older"));
    EXPECT_TRUE(this->registry.remove("newer", this->now));
    this->pass(SILENCE);
    EXPECT_TRUE(this->isUsed("older"));
}

/// Guards against statements of servers that are forgotten with the store's last seconds: their limits, pauses, and that they leave.
TEST_F(ServerRegistryEpochTest, whatServersHaveStatedInAnswersIsKept)
{
    for (const char *id : {"listed", "missing", "gone"}) {
        this->registry.set(entry(id), this->now);
        const ServerPointer server = this->find(id);
        server->startPause(seconds(60), 0.0, this->now);
        server->limitRate(5.0, 0.0, this->now);
        server->setExclusion(ServerRecord::statedLeaving, true);
    }
    EXPECT_TRUE(this->registry.remove("gone", this->now));
    this->restore({entry("listed"), entry("gone")});
    this->pass(GRACE);
    this->registry.set(entry("missing"), this->now);
    this->pass(SILENCE);
    for (const char *id : {"listed", "missing", "gone"}) {
        const ServerPointer server = this->find(id);
        ASSERT_NE(server, nullptr) << id;
        EXPECT_TRUE(server->isPaused(this->now)) << id;
        EXPECT_TRUE(server->isRateLimited()) << id;
        EXPECT_TRUE(server->isExcluded()) << id;
    }
}

/// Guards against warm servers that are held for cold, as their entries in the copy say how cold they were.
TEST_F(ServerRegistryEpochTest, aKnownServerDoesNotBecomeColdAgain)
{
    ServerEntry cold = entry("s");
    cold.warmUpLeft = seconds(3);
    this->registry.set(cold, this->now);
    this->pass(seconds(4));
    this->restore({cold});
    EXPECT_FALSE(this->find("s")->isAnnouncedCold(this->now));
}

/// Guards against an ordinary list that does not count because the store was once restored.
TEST_F(ServerRegistryEpochTest, entriesWrittenSinceTheRestoreCountAtOnce)
{
    this->registry.set(entry("drained", true), this->now);
    this->registry.set(entry("gone"), this->now);
    EXPECT_TRUE(this->registry.remove("gone", this->now));
    this->restore({entry("drained"), entry("gone")});
    const std::vector<ServerEntry> written = {entry("drained"), entry("gone")};
    this->registry.replaceAll(written, this->now);
    EXPECT_TRUE(this->isUsed("drained"));
    EXPECT_TRUE(this->isUsed("gone"));
    EXPECT_FALSE(this->registry.unconfirmed().any());
}

/// Guards against work for a domain whose evacuation was lost with the store's last seconds and is ordered again.
TEST_F(ServerRegistryEpochTest, anEvacuationThatTheCopyLacksHoldsUntilTheGraceHasPassed)
{
    this->registry.set(entry("s"), this->now);
    this->registry.setDomainOut("a", true);
    this->restore({entry("s")});
    EXPECT_EQ(this->registry.unconfirmed().domains, 1U);
    this->pass(GRACE / 2);
    this->list({entry("s")});
    EXPECT_FALSE(this->isUsed("s"));
    this->pass(GRACE / 2 - TICK);
    // A further restore loses it again.
    this->restore({entry("s")});
    this->pass(GRACE - TICK);
    EXPECT_FALSE(this->isUsed("s"));
    this->pass(TICK);
    EXPECT_TRUE(this->isUsed("s"));
    EXPECT_FALSE(this->registry.unconfirmed().any());
}

/// Guards against the end of an evacuation that has been ordered again.
TEST_F(ServerRegistryEpochTest, anEvacuationThatIsOrderedAgainOutlivesTheGrace)
{
    this->registry.set(entry("s"), this->now);
    this->registry.setDomainOut("a", true);
    this->restore({entry("s")});
    this->registry.setDomainOut("a", true);
    EXPECT_FALSE(this->registry.unconfirmed().any());
    this->pass(seconds(60));
    EXPECT_FALSE(this->isUsed("s"));
    // A list that lacks it now says that it has been lifted.
    this->list({entry("s")});
    EXPECT_TRUE(this->isUsed("s"));
}

/// Guards against the end of an evacuation at an instance that the store does not answer, and that cannot know whether it was ordered again.
TEST_F(ServerRegistryEpochTest, anEvacuationDoesNotEndWhileTheStoreIsAway)
{
    this->registry.set(entry("s"), this->now);
    this->registry.setDomainOut("a", true);
    this->restore({entry("s")});
    const Instant due = this->now + GRACE;
    EXPECT_FALSE(this->registry.dropExpired(due + seconds(20), due - TICK));
    EXPECT_FALSE(this->isUsed("s"));
    EXPECT_TRUE(this->registry.dropExpired(due + seconds(21), due));
    EXPECT_TRUE(this->isUsed("s"));
}

/// Guards against work for a domain that the store names as evacuated, whatever was known before.
TEST_F(ServerRegistryEpochTest, anEvacuationThatTheCopyBringsBackHoldsUntilItIsLiftedAgain)
{
    this->registry.set(entry("s"), this->now);
    this->registry.setDomainOut("a", true);
    this->registry.setDomainOut("a", false);
    this->restore({entry("s")}, {"a"});
    this->pass(seconds(60));
    EXPECT_FALSE(this->isUsed("s"));
    this->registry.setDomainOut("a", false);
    EXPECT_TRUE(this->isUsed("s"));
}

/// Guards against instances that take larger shares of servers because the entries of the others were lost with the store's last seconds.
TEST_F(ServerRegistryEpochTest, instancesThatTheCopyLacksCountUntilTheirGraceHasPassed)
{
    const InstanceItem second{.name = "i2", .domain = "a"};
    const InstanceItem third{.name = "i3", .domain = "a"};
    this->registry.setInstance(second);
    this->registry.setInstance(third);
    this->restore({}, {}, {});
    EXPECT_EQ(this->registry.unconfirmed().instances, 3U);
    EXPECT_EQ(this->registry.liveInstances(), 3);
    EXPECT_EQ(this->registry.knownInstances().size(), 3U);
    this->registry.setInstance(second);
    this->pass(INSTANCE_GRACE - TICK);
    EXPECT_EQ(this->registry.liveInstances(), 3);
    // A second list of the epoch lacks an instance that has left since, and one that has not written its entry again.
    this->list({}, {}, {});
    EXPECT_EQ(this->registry.liveInstances(), 2);
    this->pass(TICK);
    EXPECT_EQ(this->registry.liveInstances(), 1);
    EXPECT_FALSE(this->registry.unconfirmed().any());
}

/// Guards against an instance that counts as alive after it has taken its entry back.
TEST_F(ServerRegistryEpochTest, anInstanceThatLeavesDoesNotCountAnyLonger)
{
    this->registry.setInstance({.name = "i2", .domain = "a"});
    this->restore({}, {}, {{.name = "i1", .domain = "a"}});
    EXPECT_EQ(this->registry.unconfirmed().instances, 1U);
    this->registry.removeInstance("i2");
    EXPECT_EQ(this->registry.liveInstances(), 1);
    EXPECT_FALSE(this->registry.unconfirmed().any());
}

} // namespace ragwort
