/// \file
/// From answers to configuration, with the cause of each value.
#include "ragwortcart/Model/Questionnaire.h"

#include <algorithm>
#include <cstdio>
#include <map>

namespace ragwort {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

static const std::string SERVERS_PREFIX = "servers.";
static const std::string SEARCH_PREFIX = "search.";
static const std::string ACTION_PREFIX = "action.";
/// An urgent search that takes longer than this is not urgent.
static constexpr Duration URGENT_MAXIMUM_DEADLINE = seconds(2);

static std::string percent(double fraction)
{
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%g%%", fraction * 100.0);
    return buffer;
}

namespace {

/// Reads one questionnaire; collects the trace while it goes.
class Reader
{
public:
    explicit Reader(Settings &source) : settings(source)
    {
    }

    Questionnaire read()
    {
        this->questionnaire.team.name = this->settings.text("team", "name");
        for (const std::string &section : this->settings.sectionsWithPrefix(SERVERS_PREFIX)) {
            this->readServers(section);
        }
        for (const std::string &section : this->settings.sectionsWithPrefix(SEARCH_PREFIX)) {
            this->readSearch(section);
        }
        for (const std::string &section : this->settings.sectionsWithPrefix(ACTION_PREFIX)) {
            this->readAction(section);
        }
        if (this->questionnaire.team.kinds.empty()) {
            this->settings.addFault("team", "(searches)", "no [search.NAME] or [action.NAME] section", "at least one");
        }
        this->warnAboutServers();
        return std::move(this->questionnaire);
    }

private:
    void trace(const std::string &section, const std::string &key, const std::string &subject, const std::string &value)
    {
        const bool answered = this->settings.hasKey(section, key);
        const std::string cause = answered ? "line " + std::to_string(this->settings.lineOf(section, key)) + ": " + section + '.' + key : "default";
        this->questionnaire.trace.push_back({.subject = subject, .value = value, .cause = cause});
    }

    void readServers(const std::string &section)
    {
        const std::string name = section.substr(SERVERS_PREFIX.size());
        const std::string subject = "servers " + name + ": ";
        const auto integer = [this, &section, &subject](const std::string &key, const IntegerRule &rule) {
            const auto value = static_cast<int>(this->settings.integer(section, key, rule));
            this->trace(section, key, subject + key, std::to_string(value));
            return value;
        };
        BackendGroup group{.name = name,
                           .services = integer("services", {.minimum = 1, .maximum = 10'000}),
                           .serversPerService = integer("servers_per_service", {.minimum = 1, .maximum = 1000}),
                           .slots = integer("slots", {.minimum = 1, .maximum = 10'000}),
                           .connections = integer("connections", {.minimum = 1, .maximum = 100'000}),
                           .coldCapacity = integer("bears_when_cold", {.minimum = 1, .maximum = 10'000, .fallback = 1})};
        group.connectTime = this->settings.duration(section, "connect_time", {.minimum = Duration(0), .maximum = seconds(5), .fallback = milliseconds(1)});
        this->trace(section, "connect_time", subject + "connect_time", std::to_string(group.connectTime.count()) + "us");
        group.extraLoad = this->settings.percentage(section, "extra_load_allowed", 0.02);
        this->trace(section, "extra_load_allowed", subject + "extra_load", percent(group.extraLoad));
        group.balancePolicy = this->policy(section, "balance", subject, group.balancePolicy, {"least-loaded", "random"});
        group.hedgePolicy = this->policy(section, "hedge", subject, group.hedgePolicy, {"quantile", "none"});
        group.retryPolicy = this->policy(section, "retry", subject, group.retryPolicy, {"budgeted", "none"});
        group.canaryPolicy = this->policy(section, "canary", subject, group.canaryPolicy, {"unknown-content", "none"});
        this->questionnaire.team.groups.push_back(group);
    }

    std::string
    policy(const std::string &section, const std::string &key, const std::string &subject, const std::string &fallback, const std::vector<std::string> &choices)
    {
        const std::string value = this->settings.text(section, key, {.fallback = fallback, .choices = choices});
        this->trace(section, key, subject + key, value);
        return value;
    }

    std::string readServedBy(const std::string &section)
    {
        std::string group = this->settings.text(section, "served_by");
        if (this->questionnaire.team.findGroup(group) == nullptr && !group.empty()) {
            this->settings.addFault(section, "served_by", '\'' + group + '\'', "the NAME of a [servers.NAME] section");
        }
        return group;
    }

    void readSearch(const std::string &section)
    {
        Kind kind{.name = section.substr(SEARCH_PREFIX.size()), .group = this->readServedBy(section)};
        const std::string subject = "search " + kind.name + ": ";
        this->trace(section, "served_by", subject + "group", kind.group);
        const std::string purpose = this->settings.text(section, "people_look_for", {.fallback = "(not said)"});
        const std::string urgency = this->settings.text(section, "how_urgent", {.fallback = std::nullopt, .choices = {"urgent", "ordinary", "can-wait"}});
        kind.urgency = urgencyOf(urgency);
        this->trace(section, "how_urgent", subject + "urgency", std::string(toString(kind.urgency)));
        kind.maximumDeadline = this->settings.duration(section, "answer_within", {.minimum = milliseconds(20), .maximum = minutes(10)});
        this->trace(section, "answer_within", subject + "maximum_deadline", std::to_string(toMs(kind.maximumDeadline)) + "ms");
        kind.minimumCoverage = this->settings.percentage(section, "least_coverage_worth_having", 0.0);
        this->trace(section, "least_coverage_worth_having", subject + "minimum_coverage", percent(kind.minimumCoverage));
        const std::string change
            = this->settings.text(section, "if_index_changes", {.fallback = "start-again", .choices = {"start-again", "answer-with-what-is-there"}});
        kind.onSnapshotLoss = change == "start-again" ? SnapshotLoss::rerun : SnapshotLoss::partial;
        this->trace(section, "if_index_changes", subject + "on_snapshot_loss", change);
        const std::string gone = this->settings.text(
            section, "when_a_failure_domain_is_gone", {.fallback = "answer-what-remains", .choices = {"answer-what-remains", "full-answer-or-none"}});
        this->checkContradictions(section, kind, gone);
        this->explainSearch(kind, purpose, gone);
        this->questionnaire.team.kinds.push_back(kind);
    }

    static Urgency urgencyOf(const std::string &answer)
    {
        if (answer == "urgent") {
            return Urgency::urgent;
        }
        return answer == "can-wait" ? Urgency::batch : Urgency::ordinary;
    }

    void checkContradictions(const std::string &section, Kind &kind, const std::string &gone)
    {
        const BackendGroup *group = this->questionnaire.team.findGroup(kind.group);
        if (gone == "full-answer-or-none") {
            kind.minimumCoverage = 1.0;
            this->trace(section, "when_a_failure_domain_is_gone", "search " + kind.name + ": minimum_coverage", "100%");
        }
        if (kind.urgency == Urgency::urgent && kind.maximumDeadline > URGENT_MAXIMUM_DEADLINE) {
            this->settings.addFault(section,
                                    "answer_within",
                                    "an urgent search that may take " + std::to_string(toMs(kind.maximumDeadline)) + "ms",
                                    "at most " + std::to_string(toMs(URGENT_MAXIMUM_DEADLINE)) + "ms for an urgent search, or how_urgent = ordinary");
        }
        const bool singleCopy = group != nullptr && group->serversPerService < 2;
        if (kind.urgency == Urgency::urgent && gone == "full-answer-or-none" && singleCopy) {
            this->settings.addFault(section,
                                    "when_a_failure_domain_is_gone",
                                    "an urgent search that demands a full answer although each service of '" + kind.group
                                        + "' has one server only: with its failure domain gone, no answer could ever be full",
                                    "answer-what-remains, or at least 2 servers_per_service in different failure domains");
        }
        if (group != nullptr && kind.urgency == Urgency::batch && group->hedgePolicy != "none" && kind.maximumDeadline < seconds(1)) {
            this->questionnaire.warnings.push_back({"search " + kind.name + " can wait, but allows only " + std::to_string(toMs(kind.maximumDeadline))
                                                    + "ms: behind urgent work it will often be refused"});
        }
    }

    void explainSearch(const Kind &kind, const std::string &purpose, const std::string &gone)
    {
        std::string text = "Search '" + kind.name + "' (" + purpose + ") is " + std::string(toString(kind.urgency)) + ": answered within "
            + std::to_string(toMs(kind.maximumDeadline)) + " ms or less, as the caller asks";
        text += kind.urgency == Urgency::batch ? ", after all urgent and ordinary work, without extra load." : ".";
        text += " An answer always comes from one snapshot and says how much of it was searched; below " + percent(kind.minimumCoverage)
            + " it is reported as failed.";
        text += kind.onSnapshotLoss == SnapshotLoss::rerun ? " If the index changes under it, it starts again while time is left."
                                                           : " If the index changes under it, it answers with what it has.";
        text += gone == "full-answer-or-none" ? " With a failure domain gone it answers only if the rest holds all data."
                                              : " With a failure domain gone it answers from the rest.";
        this->questionnaire.explanation.push_back(std::move(text));
    }

    void readAction(const std::string &section)
    {
        Kind kind{.name = section.substr(ACTION_PREFIX.size()), .group = this->readServedBy(section)};
        kind.repeatable = false;
        kind.urgency = Urgency::ordinary;
        const std::string subject = "action " + kind.name + ": ";
        this->trace(section, "served_by", subject + "group", kind.group);
        this->trace(section, "(section)", subject + "repeatable", "false");
        const std::string purpose = this->settings.text(section, "people_do", {.fallback = "(not said)"});
        kind.maximumDeadline = this->settings.duration(section, "answer_within", {.minimum = milliseconds(100), .maximum = minutes(10)});
        this->trace(section, "answer_within", subject + "maximum_deadline", std::to_string(toMs(kind.maximumDeadline)) + "ms");
        this->questionnaire.explanation.push_back("Action '" + kind.name + "' (" + purpose
                                                  + ") runs at most once for each Idempotency-Key, is never hedged and "
                                                  + "never repeated; while the platform's store is out it is refused as not run.");
        this->questionnaire.team.kinds.push_back(kind);
    }

    void warnAboutServers()
    {
        for (const BackendGroup &group : this->questionnaire.team.groups) {
            if (group.serversPerService == 1) {
                this->questionnaire.warnings.push_back(
                    {"servers " + group.name + ": each service has one server; its loss leaves a part of the data unserved"});
            } else if (group.coldCapacity > group.connections) {
                this->questionnaire.warnings.push_back({"servers " + group.name + ": bears_when_cold exceeds connections; connections bound it"});
            }
        }
    }

    Settings &settings;
    Questionnaire questionnaire;
};

} // namespace

Questionnaire Questionnaire::read(Settings &settings)
{
    return Reader(settings).read();
}

} // namespace ragwort
