/// \file
/// JSON encoding and decoding of the configuration documents, and lookups in the configuration.
#include "ragwortcart/Model/Configuration.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

namespace ragwort {

std::string_view toString(Urgency urgency)
{
    switch (urgency) {
    case Urgency::urgent:
        return "urgent";
    case Urgency::ordinary:
        return "ordinary";
    case Urgency::batch:
        return "batch";
    }
    return "unknown";
}

const QueryKind *TeamConfiguration::findKind(std::string_view kindName) const
{
    const auto found = std::find_if(this->kinds.begin(), this->kinds.end(), [kindName](const QueryKind &kind) { return kind.name == kindName; });
    return found == this->kinds.end() ? nullptr : &*found;
}

const BackendGroup *TeamConfiguration::findGroup(std::string_view groupName) const
{
    const auto found = std::find_if(this->groups.begin(), this->groups.end(), [groupName](const BackendGroup &group) { return group.name == groupName; });
    return found == this->groups.end() ? nullptr : &*found;
}

const TeamConfiguration *Configuration::findTeam(std::string_view team) const
{
    const auto found = this->teams.find(team);
    return found == this->teams.end() ? nullptr : &found->second;
}

std::string teamDocument(std::string_view team)
{
    return "team." + std::string(team);
}

static QString toQString(std::string_view text)
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

static QJsonObject encodeKind(const QueryKind &kind)
{
    return {{"name", toQString(kind.name)},
            {"group", toQString(kind.group)},
            {"urgency", toQString(toString(kind.urgency))},
            {"repeatable", kind.repeatable},
            {"maximum_deadline_us", static_cast<qint64>(kind.maximumDeadline.count())},
            {"minimum_coverage", kind.minimumCoverage},
            {"on_snapshot_loss", kind.onSnapshotLoss == SnapshotLossPolicy::rerun ? "rerun" : "partial"}};
}

static QJsonObject encodeGroup(const BackendGroup &group)
{
    return {{"name", toQString(group.name)},
            {"services", group.services},
            {"servers_per_service", group.serversPerService},
            {"slots", group.slots},
            {"connections", group.connections},
            {"cold_capacity", group.coldCapacity},
            {"connect_time_us", static_cast<qint64>(group.connectTime.count())},
            {"extra_load", group.extraLoad},
            {"balance", toQString(group.balancePolicy)},
            {"hedge", toQString(group.hedgePolicy)},
            {"retry", toQString(group.retryPolicy)},
            {"canary", toQString(group.canaryPolicy)}};
}

QByteArray encodeTeam(const TeamConfiguration &team)
{
    QJsonArray kinds;
    for (const QueryKind &kind : team.kinds) {
        kinds.append(encodeKind(kind));
    }
    QJsonArray groups;
    for (const BackendGroup &group : team.groups) {
        groups.append(encodeGroup(group));
    }
    const QJsonObject object{{"name", toQString(team.name)}, {"sequence", static_cast<qint64>(team.sequence)}, {"kinds", kinds}, {"groups", groups}};
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

static QJsonArray encodeNames(const std::set<std::string> &names)
{
    QJsonArray array;
    for (const std::string &name : names) {
        array.append(toQString(name));
    }
    return array;
}

QByteArray encodeTier(const TierConfiguration &tier)
{
    const QJsonObject object{{"sequence", static_cast<qint64>(tier.sequence)},
                             {"maximum_instances", tier.maximumInstances},
                             {"domains_out", encodeNames(tier.domainsOutOfService)},
                             {"instances_out", encodeNames(tier.serversOutOfService)}};
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

static Error malformed(const std::string &peer, const std::string &detail)
{
    return {.code = Errc::malformedInput, .step = "decode-configuration", .peer = peer, .detail = detail};
}

static std::string stringField(const QJsonObject &object, const char *key)
{
    return object.value(QLatin1String(key)).toString().toStdString();
}

static Result<Urgency> decodeUrgency(const std::string &text, const std::string &peer)
{
    for (const Urgency urgency : {Urgency::urgent, Urgency::ordinary, Urgency::batch}) {
        if (toString(urgency) == text) {
            return urgency;
        }
    }
    return malformed(peer, "unknown urgency '" + text + "'");
}

static Result<QueryKind> decodeKind(const QJsonObject &object, const std::string &peer)
{
    const Result<Urgency> urgency = decodeUrgency(stringField(object, "urgency"), peer);
    if (!urgency) {
        return urgency.error();
    }
    QueryKind kind{.name = stringField(object, "name"),
                   .group = stringField(object, "group"),
                   .urgency = *urgency,
                   .repeatable = object.value("repeatable").toBool(false),
                   .maximumDeadline = Duration(object.value("maximum_deadline_us").toInteger()),
                   .minimumCoverage = object.value("minimum_coverage").toDouble(0.0),
                   .onSnapshotLoss = stringField(object, "on_snapshot_loss") == "partial" ? SnapshotLossPolicy::partial : SnapshotLossPolicy::rerun};
    if (kind.name.empty() || kind.group.empty() || kind.maximumDeadline <= Duration::zero()) {
        return malformed(peer, "kind has no name, no group or no maximum deadline");
    }
    return kind;
}

static Result<BackendGroup> decodeGroup(const QJsonObject &object, const std::string &peer)
{
    BackendGroup group{.name = stringField(object, "name"),
                       .services = object.value("services").toInt(0),
                       .serversPerService = object.value("servers_per_service").toInt(0),
                       .slots = object.value("slots").toInt(0),
                       .connections = object.value("connections").toInt(0),
                       .coldCapacity = object.value("cold_capacity").toInt(0),
                       .connectTime = Duration(object.value("connect_time_us").toInteger()),
                       .extraLoad = object.value("extra_load").toDouble(-1.0),
                       .balancePolicy = stringField(object, "balance"),
                       .hedgePolicy = stringField(object, "hedge"),
                       .retryPolicy = stringField(object, "retry"),
                       .canaryPolicy = stringField(object, "canary")};
    const bool limitsInRange
        = group.services > 0 && group.serversPerService > 0 && group.slots > 0 && group.connections > 0 && group.coldCapacity > 0 && group.extraLoad >= 0.0;
    if (group.name.empty() || !limitsInRange) {
        return malformed(peer, "group has no name or a limit is out of range");
    }
    return group;
}

static Result<QJsonObject> parseObject(const QByteArray &json, const std::string &peer)
{
    QJsonParseError error{};
    const QJsonDocument document = QJsonDocument::fromJson(json, &error);
    if (error.error != QJsonParseError::NoError || !document.isObject()) {
        return malformed(peer, "not a JSON object");
    }
    return document.object();
}

Result<TeamConfiguration> decodeTeam(const QByteArray &json, const std::string &peer)
{
    const Result<QJsonObject> object = parseObject(json, peer);
    if (!object) {
        return object.error();
    }
    TeamConfiguration team;
    team.name = stringField(*object, "name");
    team.sequence = static_cast<std::uint64_t>(object->value("sequence").toInteger());
    for (const QJsonValue &value : object->value("groups").toArray()) {
        const Result<BackendGroup> group = decodeGroup(value.toObject(), peer);
        if (!group) {
            return group.error();
        }
        team.groups.push_back(*group);
    }
    for (const QJsonValue &value : object->value("kinds").toArray()) {
        const Result<QueryKind> kind = decodeKind(value.toObject(), peer);
        if (!kind) {
            return kind.error();
        }
        if (team.findGroup(kind->group) == nullptr) {
            return malformed(peer, "kind '" + kind->name + "' refers to unknown group '" + kind->group + "'");
        }
        team.kinds.push_back(*kind);
    }
    if (team.name.empty()) {
        return malformed(peer, "team has no name");
    }
    return team;
}

static std::set<std::string> decodeNames(const QJsonValue &value)
{
    std::set<std::string> names;
    for (const QJsonValue &name : value.toArray()) {
        names.insert(name.toString().toStdString());
    }
    return names;
}

Result<TierConfiguration> decodeTier(const QByteArray &json, const std::string &peer)
{
    const Result<QJsonObject> object = parseObject(json, peer);
    if (!object) {
        return object.error();
    }
    TierConfiguration tier;
    tier.sequence = static_cast<std::uint64_t>(object->value("sequence").toInteger());
    tier.maximumInstances = object->value("maximum_instances").toInt(0);
    tier.domainsOutOfService = decodeNames(object->value("domains_out"));
    tier.serversOutOfService = decodeNames(object->value("instances_out"));
    if (tier.maximumInstances < 1) {
        return malformed(peer, "maximum_instances is less than 1");
    }
    return tier;
}

} // namespace ragwort
