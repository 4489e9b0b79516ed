#include "ragwortcart/Control/PeerExchange.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ragwort {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The exchange of one instance with its dependencies.
class ExchangeHarness
{
public:
    ExchangeHarness(const std::string &instance, const std::string &domain)
        : name(instance)
        , directory(instance, domain)
        , freshness(domain)
        , exchange({.instance = instance,
                    .domain = domain,
                    .configurationManager = this->configurationManager,
                    .directory = this->directory,
                    .freshness = this->freshness,
                    .quarantineList = this->quarantineList})
    {
    }

    std::string name;
    ConfigurationManager configurationManager;
    ServerDirectory directory;
    Freshness freshness;
    QuarantineList quarantineList;
    PeerExchange exchange;
    std::vector<CompleteCrashReport> completedCrashReports;
};

/// A network of instances whose links the test opens and closes. Messages arrive immediately and in order.
class ExchangeNetwork
{
public:
    ExchangeHarness &add(const std::string &name, const std::string &domain)
    {
        this->harnesses[name] = std::make_unique<ExchangeHarness>(name, domain);
        std::vector<ListedServer> servers;
        for (const char *id : {"s0", "s1"}) {
            servers.push_back({.identity = {.id = id, .address = "127.0.0.1:1", .team = "t", .group = "g", .service = "g-0", .domain = "a"}});
        }
        this->harnesses[name]->directory.setServers(servers);
        return *this->harnesses[name];
    }

    void link(const std::string &one, const std::string &other)
    {
        this->harnesses[one]->exchange.onLinkUp(other, this->now);
        this->harnesses[other]->exchange.onLinkUp(one, this->now);
        this->deliver();
    }

    void disconnect(const std::string &one, const std::string &other)
    {
        this->harnesses[one]->exchange.onLinkDown(other);
        this->harnesses[other]->exchange.onLinkDown(one);
    }

    void offer(ExchangeHarness &harness, const ConfigurationDocument &document, const std::string &source)
    {
        if (harness.configurationManager.offer(document.name, document.json, source) == OfferResult::applied) {
            harness.exchange.onDocumentApplied(document, source);
        }
    }

    void deliver()
    {
        for (bool any = true; any;) {
            any = false;
            for (auto &[name, harness] : this->harnesses) {
                for (const PeerAction &action : harness->exchange.takeActions()) {
                    any = true;
                    ++this->actions;
                    this->perform(*harness, action);
                }
            }
        }
    }

    void perform(ExchangeHarness &harness, const PeerAction &action)
    {
        if (const auto *send = std::get_if<SendToPeer>(&action)) {
            if (harness.exchange.links().contains(send->peer)) {
                this->harnesses[send->peer]->exchange.onMessage(harness.name, send->message, this->now);
            }
        } else if (const auto *offered = std::get_if<OfferDocument>(&action)) {
            this->offer(harness, offered->document, offered->peer);
        } else if (const auto *completed = std::get_if<CompleteCrashReport>(&action)) {
            harness.completedCrashReports.push_back(*completed);
        }
    }

    void advanceTime(Duration time)
    {
        for (Duration elapsed{}; elapsed < time; elapsed += milliseconds(100)) {
            this->now += milliseconds(100);
            for (auto &[name, harness] : this->harnesses) {
                harness->exchange.advance(this->now);
            }
            this->deliver();
        }
    }

    static ConfigurationDocument tier(std::uint64_t sequence)
    {
        return {.name = "tier", .sequence = sequence, .json = encodeTier({.sequence = sequence})};
    }

    std::map<std::string, std::unique_ptr<ExchangeHarness>> harnesses;
    Instant now{seconds(100)};
    int actions = 0;
};

class PeerExchangeTest : public ::testing::Test
{
protected:
    PeerExchangeTest() : a(this->network.add("a", "da")), b(this->network.add("b", "db")), c(this->network.add("c", "dc"))
    {
    }

    ExchangeNetwork network;
    ExchangeHarness &a;
    ExchangeHarness &b;
    ExchangeHarness &c;
};

TEST_F(PeerExchangeTest, forwardsDocumentsToPeersOfPeers)
{
    this->network.link("a", "b");
    this->network.link("b", "c");
    this->network.offer(this->a, ExchangeNetwork::tier(3), "store");
    this->network.deliver();
    EXPECT_EQ(this->c.configurationManager.current()->tier.sequence, 3U);
}

TEST_F(PeerExchangeTest, synchronizesMissedDocumentsAfterAReconnectWithoutRestoringOlderOnes)
{
    this->network.link("a", "b");
    this->network.offer(this->a, ExchangeNetwork::tier(3), "store");
    this->network.deliver();
    this->network.disconnect("a", "b");
    this->network.offer(this->a, ExchangeNetwork::tier(4), "store");
    this->network.offer(this->b, ExchangeNetwork::tier(2), "stale store reply");
    this->network.deliver();
    EXPECT_EQ(this->b.configurationManager.current()->tier.sequence, 3U);
    this->network.link("a", "b");
    EXPECT_EQ(this->b.configurationManager.current()->tier.sequence, 4U);
    EXPECT_EQ(this->a.configurationManager.current()->tier.sequence, 4U);
}

TEST_F(PeerExchangeTest, antiEntropyRepairsALostMessage)
{
    this->network.link("a", "b");
    this->a.configurationManager.offer("tier", ExchangeNetwork::tier(5).json, "store"); // Applied without notifying the exchange.
    this->network.advanceTime(milliseconds(600));
    EXPECT_EQ(this->b.configurationManager.current()->tier.sequence, 5U);
}

TEST_F(PeerExchangeTest, digestsPropagateFreshnessToLinkedPeersThatHoldAtLeastTheSameDocuments)
{
    this->network.link("a", "b");
    this->a.freshness.recordStoreRead(this->network.now);
    this->network.advanceTime(milliseconds(600));
    EXPECT_TRUE(this->b.freshness.isFresh(this->network.now));
    EXPECT_FALSE(this->c.freshness.isFresh(this->network.now));
    this->network.advanceTime(seconds(5));
    EXPECT_FALSE(this->b.freshness.isFresh(this->network.now)) << "no instance has reached the store since";
}

TEST_F(PeerExchangeTest, doesNotCrossDomainsBeforeAPeersNewerDocumentsArrive)
{
    this->a.freshness.setDomains({"da", "db"});
    this->a.exchange.onLinkUp("b", this->network.now);
    this->a.exchange.onMessage("b", PeerHello{.instance = "b", .domain = "db"}, this->network.now);
    this->a.exchange.onMessage("b", PeerDigest{.configurationAgeUs = 0, .documentsHash = 1, .detailed = true, .sequences = {{"tier", 9}}}, this->network.now);
    EXPECT_FALSE(this->a.freshness.mayCrossDomains(this->network.now));
    this->network.offer(this->a, ExchangeNetwork::tier(9), "b");
    this->a.exchange.onMessage("b", PeerDigest{.configurationAgeUs = 0, .documentsHash = 1, .detailed = true, .sequences = {{"tier", 9}}}, this->network.now);
    EXPECT_TRUE(this->a.freshness.mayCrossDomains(this->network.now));
}

TEST_F(PeerExchangeTest, forwardsEachStatusOnlyOnce)
{
    this->network.link("a", "b");
    this->network.link("b", "c");
    this->network.link("a", "c");
    const ServerStatus status{
        .serverId = "s0", .report = {.incarnation = 1}, .snapshots = {{.id = 1, .range = {.begin = 0, .end = 10}, .documents = 1, .totalDocuments = 1}}};
    const bool changed = this->a.directory.recordStatus(status, this->network.now);
    EXPECT_TRUE(changed);
    this->a.exchange.onPolledStatus(status, this->network.now, changed);
    this->network.advanceTime(milliseconds(100));
    EXPECT_TRUE(this->c.directory.statuses().contains("s0"));
    const int before = this->network.actions;
    this->network.advanceTime(milliseconds(300));
    EXPECT_LT(this->network.actions - before, 20);
}

TEST_F(PeerExchangeTest, propagatesACrashReportBeforeTheQueryContinues)
{
    this->network.link("a", "b");
    this->network.link("a", "c");
    this->a.exchange.recordCrash(7, 99, "s0", this->network.now);
    EXPECT_TRUE(this->a.completedCrashReports.empty());
    this->network.deliver();
    ASSERT_EQ(this->a.completedCrashReports.size(), 1U);
    EXPECT_EQ(this->a.completedCrashReports[0].crashedServers, 1);
    EXPECT_EQ(this->b.quarantineList.crashedServers(99, this->network.now), 1);
    this->b.exchange.recordCrash(8, 99, "s1", this->network.now);
    this->network.deliver();
    EXPECT_EQ(this->b.completedCrashReports[0].crashedServers, 2);
    EXPECT_TRUE(this->c.quarantineList.isQuarantined(99, this->network.now)) << "c is linked only to a";
}

TEST_F(PeerExchangeTest, aCrashReportStopsWaitingForASilentPeerAfterTheTimeout)
{
    this->a.exchange.onLinkUp("gone", this->network.now);
    this->a.exchange.takeActions();
    this->a.exchange.recordCrash(7, 99, "s0", this->network.now);
    this->a.exchange.takeActions();
    this->a.exchange.advance(this->network.now + milliseconds(101));
    bool completed = false;
    for (const PeerAction &action : this->a.exchange.takeActions()) {
        completed = completed || std::holds_alternative<CompleteCrashReport>(action);
    }
    EXPECT_TRUE(completed);
}

TEST_F(PeerExchangeTest, warmUpLevelsOnlyIncreaseWithinAnIncarnation)
{
    this->network.link("a", "b");
    const auto server = this->b.directory.findServer("s0");
    server->incarnation = 2;
    server->cold = true;
    this->a.exchange.announceWarmUp({.serverId = "s0", .incarnation = 2, .level = 3, .cold = true});
    this->network.deliver();
    EXPECT_EQ(server->warmUpLevel, 3);
    this->a.exchange.announceWarmUp({.serverId = "s0", .incarnation = 2, .level = 1, .cold = true});
    this->network.deliver();
    EXPECT_EQ(server->warmUpLevel, 3);
    this->a.exchange.announceWarmUp({.serverId = "s0", .incarnation = 1, .level = 6, .cold = false});
    this->network.deliver();
    EXPECT_TRUE(server->cold) << "stale message of an earlier incarnation";
    this->a.exchange.announceWarmUp({.serverId = "s0", .incarnation = 3, .level = 0, .cold = true});
    this->network.deliver();
    EXPECT_EQ(server->warmUpLevel, 0);
    EXPECT_EQ(server->incarnation, 3U);
}

static std::vector<ListedEntryInstance> makeInstances(int instances, int domains)
{
    std::vector<ListedEntryInstance> entries;
    for (int index = 0; index < instances; ++index) {
        entries.push_back({.id = "e" + std::to_string(index), .domain = "d" + std::to_string(index % domains)});
    }
    return entries;
}

TEST(PeerChoiceTest, formsAFullMeshInASmallTier)
{
    const std::vector<ListedEntryInstance> entries = makeInstances(7, 3);
    std::size_t links = 0;
    for (const ListedEntryInstance &entry : entries) {
        links += choosePeers(entry.id, entry.domain, entries).size();
    }
    EXPECT_EQ(links, 7U * 6U / 2U);
}

TEST(PeerChoiceTest, connectsALargeTierWithFewLinksPerInstance)
{
    const std::vector<ListedEntryInstance> entries = makeInstances(2000, 31);
    std::map<std::string, std::vector<std::string>> neighbours;
    for (const ListedEntryInstance &entry : entries) {
        const auto chosen = choosePeers(entry.id, entry.domain, entries);
        EXPECT_LE(chosen.size(), 6U);
        for (const ListedEntryInstance &peer : chosen) {
            neighbours[entry.id].push_back(peer.id);
            neighbours[peer.id].push_back(entry.id);
        }
    }
    std::set<std::string> reached{"e0"};
    std::vector<std::string> frontier{"e0"};
    int hops = 0;
    for (; !frontier.empty(); ++hops) {
        std::vector<std::string> next;
        for (const std::string &visited : frontier) {
            for (const std::string &peer : neighbours[visited]) {
                if (reached.insert(peer).second) {
                    next.push_back(peer);
                }
            }
        }
        frontier = std::move(next);
    }
    EXPECT_EQ(reached.size(), 2000U);
    EXPECT_LE(hops, 10);
}

TEST(PeerChoiceTest, selectsAConstantNumberOfStoreWatchersPerDomain)
{
    for (const int instances : {6, 60, 600}) {
        const std::vector<ListedEntryInstance> entries = makeInstances(instances, 3);
        int watchers = 0;
        for (const ListedEntryInstance &entry : entries) {
            watchers += isStoreWatcher(entry.id, entry.domain, entries) ? 1 : 0;
        }
        EXPECT_EQ(watchers, 6) << instances;
    }
}

} // namespace ragwort
