/// \file
/// Implements the control thread's part of a state dump.
#include "ragwortcart/Runtime/ControlPlane.h"

#include <QJsonArray>

namespace ragwort {

static QJsonObject dumpServer(const ServerRecord &record, Instant now)
{
    return {{"domain", QString::fromStdString(record.identity.domain)},
            {"barriers", static_cast<int>(record.exclusions.load())},
            {"in_flight", record.inFlight.load()},
            {"share", record.warmShare.load()},
            {"cold", record.cold.load()},
            {"cold_share", record.coldShare.load()},
            {"cold_owner", record.ownsWarmUp(now)},
            {"warm_up_level", record.warmUpLevel.load()},
            {"latency_us", static_cast<qint64>(record.latencyUs.load())},
            {"ejected", record.isEjected(now)},
            {"sent", static_cast<qint64>(record.sent.load())},
            {"failed", static_cast<qint64>(record.failed.load())}};
}

QJsonObject ControlPlane::dump() const
{
    const Instant now = steadyNow();
    QJsonObject documents;
    for (const auto &[name, sequence] : this->configurationManager.sequences()) {
        documents.insert(QString::fromStdString(name), static_cast<qint64>(sequence));
    }
    QJsonObject servers;
    for (const auto &[id, record] : this->options.topology.load()->servers) {
        servers.insert(QString::fromStdString(id), dumpServer(*record, now));
    }
    const ClaimManagerStatus claimStatus = this->claims.status();
    const QJsonObject claimObject{{"granted", static_cast<qint64>(claimStatus.granted)},
                                  {"refused", static_cast<qint64>(claimStatus.refused)},
                                  {"writes", static_cast<qint64>(claimStatus.writes)},
                                  {"reads", static_cast<qint64>(claimStatus.reads)},
                                  {"conflicts", static_cast<qint64>(claimStatus.conflicts)},
                                  {"unknown_writes", static_cast<qint64>(claimStatus.unknownWrites)},
                                  {"lost_by_store", static_cast<qint64>(claimStatus.lost)},
                                  {"open", static_cast<qint64>(claimStatus.open)}};
    QJsonArray peers;
    for (const std::string &peer : this->exchange.links()) {
        peers.append(QString::fromStdString(peer));
    }
    const PeerLinkCounts &linkCounts = this->links.counts();
    const QJsonObject linkObject{{"peers", peers},
                                 {"bytes_sent", static_cast<qint64>(linkCounts.bytesSent.load())},
                                 {"bytes_received", static_cast<qint64>(linkCounts.bytesReceived.load())},
                                 {"messages_sent", static_cast<qint64>(linkCounts.messagesSent.load())},
                                 {"messages_received", static_cast<qint64>(linkCounts.messagesReceived.load())}};
    const Duration age = std::min(this->freshness.age(now), Duration(std::chrono::hours(24)));
    return {{"instance", QString::fromStdString(this->options.instance)},
            {"domain", QString::fromStdString(this->options.domain)},
            {"ready", this->ready()},
            {"seat", this->ordinals.ordinal()},
            {"documents", documents},
            {"configuration_age_ms", static_cast<qint64>(toMs(age))},
            {"cross_domain_work", this->freshness.mayCrossDomains(now)},
            {"store_calls", static_cast<qint64>(this->platform.calls())},
            {"follows_store", this->watchesStore()},
            {"links", linkObject},
            {"claims", claimObject},
            {"servers", servers}};
}

} // namespace ragwort
