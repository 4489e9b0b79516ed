/// \file
/// Implements gossip between entry instances.
#include "ragwortcart/Control/PeerExchange.h"

#include "ragwortcart/Support/Hash.h"

#include <algorithm>

namespace ragwort {

/// Up to this number of instances, the links form a full mesh.
static constexpr std::size_t FULL_MESH_LIMIT = 12;
static constexpr std::size_t LOCAL_LINKS = 4;
static constexpr std::size_t REMOTE_LINKS = 2;
static constexpr std::size_t WATCHERS_PER_DOMAIN = 2;

PeerExchange::PeerExchange(const Options &exchangeOptions) : options(exchangeOptions)
{
}

std::vector<PeerAction> PeerExchange::takeActions()
{
    return std::exchange(this->actions, {});
}

void PeerExchange::send(const std::string &peer, PeerMessage message)
{
    this->actions.emplace_back(SendToPeer{.peer = peer, .message = std::move(message)});
}

void PeerExchange::sendToAll(const PeerMessage &message, const std::string &excludedPeer)
{
    for (const std::string &peer : this->peers) {
        if (peer != excludedPeer) {
            this->send(peer, message);
        }
    }
}

PeerDigest PeerExchange::makeDigest(Instant now, bool withSequences) const
{
    const Duration age = this->options.freshness.age(now);
    return {.configurationAgeUs = age == Duration::max() ? -1 : age.count(),
            .documentsHash = this->options.configurationManager.sequencesHash(),
            .detailed = withSequences,
            .sequences = withSequences ? this->options.configurationManager.sequences() : DocumentSequences()};
}

void PeerExchange::onLinkUp(const std::string &peer, Instant now)
{
    this->peers.insert(peer);
    this->send(peer, PeerHello{.instance = this->options.instance, .domain = this->options.domain});
    this->send(peer, this->makeDigest(now, true));
    PeerStatuses statuses;
    for (const auto &[id, observed] : this->options.directory.statuses()) {
        statuses.statuses.push_back({.status = observed.status, .ageUs = (now - observed.observedAt).count()});
    }
    if (!statuses.statuses.empty()) {
        this->send(peer, statuses);
    }
    for (const CrashReport &crashReport : this->options.quarantineList.unexpiredReports(now)) {
        this->send(peer, PeerCrashReport{.number = 0, .crashReport = crashReport});
    }
}

void PeerExchange::onLinkDown(const std::string &peer)
{
    this->peers.erase(peer);
    for (auto &[number, pending] : this->pendingCrashReports) {
        pending.unacknowledged.erase(peer);
    }
}

void PeerExchange::onMessage(const std::string &peer, const PeerMessage &message, Instant now)
{
    std::visit([&](const auto &typed) { this->handle(peer, typed, now); }, message);
}

void PeerExchange::handle(const std::string &peer, const PeerHello &hello, Instant now)
{
    (void)now;
    this->peerDomains[peer] = hello.domain;
}

void PeerExchange::handle(const std::string &peer, const PeerDigest &digest, Instant now)
{
    const bool same = digest.documentsHash == this->options.configurationManager.sequencesHash();
    if (!same && !digest.detailed) {
        // The full sequences request the documents that this instance lacks. The peer requests its own missing
        // documents in the same way when it receives this instance's next digest.
        this->send(peer, this->makeDigest(now, true));
        return;
    }
    // A peer with newer documents counts as contacted only once they have arrived. Otherwise its freshness would permit
    // work based on the older local configuration.
    const auto domain = this->peerDomains.find(peer);
    const bool lacksNothing = same || !this->options.configurationManager.isBehind(digest.sequences);
    if (domain != this->peerDomains.end() && lacksNothing) {
        const Duration age = digest.configurationAgeUs >= 0 ? Duration(digest.configurationAgeUs) : Duration::max();
        this->options.freshness.recordPeerAge(domain->second, age, now);
    }
    if (same) {
        return;
    }
    const std::vector<ConfigurationDocument> newer = this->options.configurationManager.documentsNewerThan(digest.sequences);
    if (!newer.empty()) {
        this->send(peer, PeerDocuments{.documents = newer});
    }
}

void PeerExchange::handle(const std::string &peer, const PeerDocuments &documents, Instant now)
{
    (void)now;
    for (const ConfigurationDocument &document : documents.documents) {
        this->actions.emplace_back(OfferDocument{.document = document, .peer = peer});
    }
}

void PeerExchange::handle(const std::string &peer, const PeerStatuses &statuses, Instant now)
{
    PeerStatuses updated;
    for (const PeerStatus &received : statuses.statuses) {
        if (this->options.directory.recordStatus(received.status, now - Duration(std::max<std::int64_t>(received.ageUs, 0)))) {
            updated.statuses.push_back(received);
        }
    }
    if (updated.statuses.empty()) {
        return;
    }
    // Updates that were new here may also be new to peers without a link to the sender. Known updates are not forwarded
    // again.
    this->actions.emplace_back(TopologyChanged{});
    this->sendToAll(updated, peer);
}

void PeerExchange::handle(const std::string &peer, const PeerCrashReport &received, Instant now)
{
    const CrashReport &crashReport = received.crashReport;
    const int before = this->options.quarantineList.crashedServers(crashReport.fingerprint, now);
    const int after = this->options.quarantineList.recordCrash(crashReport.fingerprint, crashReport.serverId, now, crashReport.remaining);
    if (received.number != 0) {
        this->send(peer, PeerCrashReportAck{.number = received.number});
    }
    if (after != before) {
        this->sendToAll(PeerCrashReport{.number = 0, .crashReport = crashReport}, peer);
    }
}

void PeerExchange::handle(const std::string &peer, const PeerCrashReportAck &ack, Instant now)
{
    const auto found = this->pendingCrashReports.find(ack.number);
    if (found != this->pendingCrashReports.end()) {
        found->second.unacknowledged.erase(peer);
        this->completeCrashReports(now);
    }
}

void PeerExchange::handle(const std::string &peer, const PeerWarmUp &warmUp, Instant now)
{
    (void)now;
    const std::shared_ptr<ServerRecord> server = this->options.directory.findServer(warmUp.serverId);
    if (!server) {
        return;
    }
    const std::uint64_t known = server->incarnation.load();
    const bool newIncarnation = warmUp.incarnation != known;
    if (newIncarnation && known != 0 && !warmUp.cold) {
        // The completed warm-up of another incarnation says nothing about the known one, whose level arrives
        // separately.
        return;
    }
    const bool startsCold = warmUp.cold && warmUp.level == 0;
    const bool raised = !newIncarnation && warmUp.level > server->warmUpLevel.load();
    const bool reset = startsCold && (newIncarnation || !server->cold.load());
    if (!raised && !reset) {
        return;
    }
    server->incarnation.store(warmUp.incarnation);
    server->warmUpLevel.store(warmUp.level);
    server->cold.store(warmUp.cold, std::memory_order_release);
    this->actions.emplace_back(TopologyChanged{});
    this->announceWarmUp(warmUp, peer);
}

void PeerExchange::announceWarmUp(const PeerWarmUp &warmUp, const std::string &excludedPeer)
{
    this->sendToAll(warmUp, excludedPeer);
}

void PeerExchange::onDocumentApplied(const ConfigurationDocument &document, const std::string &source)
{
    this->sendToAll(PeerDocuments{.documents = {document}}, source);
}

void PeerExchange::onPolledStatus(const ServerStatus &status, Instant observedAt, bool changed)
{
    this->polledStatuses[status.serverId] = {.status = status, .observedAt = observedAt};
    if (changed) {
        this->changedStatuses.insert(status.serverId);
    }
}

void PeerExchange::sendPolledStatuses(Instant now)
{
    const bool refresh = now >= this->nextRefresh;
    PeerStatuses statuses;
    for (const auto &[id, observed] : this->polledStatuses) {
        if (refresh || this->changedStatuses.contains(id)) {
            statuses.statuses.push_back({.status = observed.status, .ageUs = (now - observed.observedAt).count()});
        }
    }
    this->changedStatuses.clear();
    if (refresh) {
        this->nextRefresh = now + PEER_STATUS_REFRESH_INTERVAL;
        // Statuses that this instance no longer polls are sent by their new poller.
        std::erase_if(this->polledStatuses, [now](const auto &entry) { return now - entry.second.observedAt > PEER_STATUS_REFRESH_INTERVAL; });
    }
    if (!statuses.statuses.empty()) {
        this->sendToAll(statuses);
    }
}

void PeerExchange::advance(Instant now)
{
    this->completeCrashReports(now);
    if (!this->changedStatuses.empty() || now >= this->nextRefresh) {
        this->sendPolledStatuses(now);
    }
    if (now >= this->nextDigest) {
        this->nextDigest = now + PEER_DIGEST_INTERVAL;
        this->sendToAll(this->makeDigest(now, false));
    }
}

void PeerExchange::recordCrash(QueryId query, std::uint64_t fingerprint, const std::string &serverId, Instant now)
{
    this->options.quarantineList.recordCrash(fingerprint, serverId, now);
    const std::uint64_t number = ++this->crashReportCount;
    const CrashReport crashReport{.fingerprint = fingerprint, .serverId = serverId, .remaining = CRASH_REPORT_LIFETIME};
    this->sendToAll(PeerCrashReport{.number = number, .crashReport = crashReport});
    this->pendingCrashReports[number] = {.query = query, .fingerprint = fingerprint, .unacknowledged = this->peers, .deadline = now + CRASH_REPORT_ACK_TIMEOUT};
    this->completeCrashReports(now);
}

void PeerExchange::completeCrashReports(Instant now)
{
    for (auto pending = this->pendingCrashReports.begin(); pending != this->pendingCrashReports.end();) {
        const PendingCrashReport &crashReport = pending->second;
        if (!crashReport.unacknowledged.empty() && now < crashReport.deadline) {
            ++pending;
            continue;
        }
        const int crashedServers = this->options.quarantineList.crashedServers(crashReport.fingerprint, now);
        this->actions.emplace_back(CompleteCrashReport{.query = crashReport.query, .fingerprint = crashReport.fingerprint, .crashedServers = crashedServers});
        pending = this->pendingCrashReports.erase(pending);
    }
}

/// Returns the \p count instances with the highest rendezvous weight for \p item.
static std::vector<ListedEntryInstance> selectByRendezvous(const std::string &item, std::vector<ListedEntryInstance> candidates, std::size_t count)
{
    const std::uint64_t seed = stableHash(item);
    std::sort(candidates.begin(), candidates.end(), [seed](const ListedEntryInstance &left, const ListedEntryInstance &right) {
        return stableHash(left.id, seed) > stableHash(right.id, seed);
    });
    candidates.resize(std::min(candidates.size(), count));
    return candidates;
}

std::vector<ListedEntryInstance> choosePeers(const std::string &instance, const std::string &domain, const std::vector<ListedEntryInstance> &listedInstances)
{
    std::vector<ListedEntryInstance> local;
    std::vector<ListedEntryInstance> remote;
    std::vector<ListedEntryInstance> chosen;
    for (const ListedEntryInstance &other : listedInstances) {
        if (other.id == instance) {
            continue;
        }
        (other.domain == domain ? local : remote).push_back(other);
        if (instance < other.id) {
            chosen.push_back(other);
        }
    }
    if (listedInstances.size() <= FULL_MESH_LIMIT) {
        // One link per pair, opened by the instance whose name sorts first.
        return chosen;
    }
    chosen = selectByRendezvous(instance, std::move(local), LOCAL_LINKS);
    for (ListedEntryInstance &other : selectByRendezvous(instance, std::move(remote), REMOTE_LINKS)) {
        chosen.push_back(std::move(other));
    }
    return chosen;
}

bool isStoreWatcher(const std::string &instance, const std::string &domain, const std::vector<ListedEntryInstance> &listedInstances)
{
    std::vector<ListedEntryInstance> local;
    for (const ListedEntryInstance &candidate : listedInstances) {
        if (candidate.domain == domain && !candidate.leaving) {
            local.push_back(candidate);
        }
    }
    const std::vector<ListedEntryInstance> watchers = selectByRendezvous("store-watcher " + domain, std::move(local), WATCHERS_PER_DOMAIN);
    return std::any_of(watchers.begin(), watchers.end(), [&instance](const ListedEntryInstance &candidate) { return candidate.id == instance; });
}

} // namespace ragwort
