/// \file
/// Validation of questionnaires and derivation of the team configuration.
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
/// Upper limit of `answer_within` for urgent searches.
static constexpr Duration URGENT_MAXIMUM_DEADLINE = seconds(2);

static std::string formatPercent(double fraction)
{
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%g%%", fraction * 100.0);
    return buffer;
}

namespace {

/// Reads one questionnaire and records the origin of each value.
class QuestionnaireReader
{
public:
    explicit QuestionnaireReader(Settings &source) : settings(source)
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
            this->settings.addError("team", "(searches)", "no [search.NAME] or [action.NAME] section", "at least one");
        }
        this->addServerWarnings();
        return std::move(this->questionnaire);
    }

private:
    void recordOrigin(const std::string &section, const std::string &key, const std::string &subject, const std::string &value)
    {
        const bool answered = this->settings.hasKey(section, key);
        const std::string origin = answered ? "line " + std::to_string(this->settings.lineOf(section, key)) + ": " + section + '.' + key : "default";
        this->questionnaire.provenance.push_back({.subject = subject, .value = value, .origin = origin});
    }

    void readServers(const std::string &section)
    {
        const std::string name = section.substr(SERVERS_PREFIX.size());
        const std::string subject = "servers " + name + ": ";
        const auto integer = [this, &section, &subject](const std::string &key, const IntegerRule &rule) {
            const auto value = static_cast<int>(this->settings.integer(section, key, rule));
            this->recordOrigin(section, key, subject + key, std::to_string(value));
            return value;
        };
        BackendGroup group{.name = name,
                           .services = integer("services", {.minimum = 1, .maximum = 10'000}),
                           .serversPerService = integer("servers_per_service", {.minimum = 1, .maximum = 1000}),
                           .slots = integer("slots", {.minimum = 1, .maximum = 10'000}),
                           .connections = integer("connections", {.minimum = 1, .maximum = 100'000}),
                           .coldCapacity = integer("bears_when_cold", {.minimum = 1, .maximum = 10'000, .fallback = 1})};
        group.connectTime = this->settings.duration(section, "connect_time", {.minimum = Duration(0), .maximum = seconds(5), .fallback = milliseconds(1)});
        this->recordOrigin(section, "connect_time", subject + "connect_time", std::to_string(group.connectTime.count()) + "us");
        group.extraLoad = this->settings.percentage(section, "extra_load_allowed", 0.02);
        this->recordOrigin(section, "extra_load_allowed", subject + "extra_load", formatPercent(group.extraLoad));
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
        this->recordOrigin(section, key, subject + key, value);
        return value;
    }

    std::string readGroupName(const std::string &section)
    {
        std::string group = this->settings.text(section, "served_by");
        if (this->questionnaire.team.findGroup(group) == nullptr && !group.empty()) {
            this->settings.addError(section, "served_by", '\'' + group + '\'', "the NAME of a [servers.NAME] section");
        }
        return group;
    }

    void readSearch(const std::string &section)
    {
        QueryKind kind{.name = section.substr(SEARCH_PREFIX.size()), .group = this->readGroupName(section)};
        const std::string subject = "search " + kind.name + ": ";
        this->recordOrigin(section, "served_by", subject + "group", kind.group);
        const std::string description = this->settings.text(section, "people_look_for", {.fallback = "(not specified)"});
        const std::string urgency = this->settings.text(section, "how_urgent", {.fallback = std::nullopt, .choices = {"urgent", "ordinary", "can-wait"}});
        kind.urgency = urgencyOf(urgency);
        this->recordOrigin(section, "how_urgent", subject + "urgency", std::string(toString(kind.urgency)));
        kind.maximumDeadline = this->settings.duration(section, "answer_within", {.minimum = milliseconds(20), .maximum = minutes(10)});
        this->recordOrigin(section, "answer_within", subject + "maximum_deadline", std::to_string(toMs(kind.maximumDeadline)) + "ms");
        kind.minimumCoverage = this->settings.percentage(section, "least_coverage_worth_having", 0.0);
        this->recordOrigin(section, "least_coverage_worth_having", subject + "minimum_coverage", formatPercent(kind.minimumCoverage));
        const std::string snapshotLoss
            = this->settings.text(section, "if_index_changes", {.fallback = "start-again", .choices = {"start-again", "answer-with-what-is-there"}});
        kind.onSnapshotLoss = snapshotLoss == "start-again" ? SnapshotLossPolicy::rerun : SnapshotLossPolicy::partial;
        this->recordOrigin(section, "if_index_changes", subject + "on_snapshot_loss", snapshotLoss);
        const std::string domainLoss = this->settings.text(
            section, "when_a_failure_domain_is_gone", {.fallback = "answer-what-remains", .choices = {"answer-what-remains", "full-answer-or-none"}});
        this->checkContradictions(section, kind, domainLoss);
        this->explainSearch(kind, description, domainLoss);
        this->questionnaire.team.kinds.push_back(kind);
    }

    static Urgency urgencyOf(const std::string &answer)
    {
        if (answer == "urgent") {
            return Urgency::urgent;
        }
        return answer == "can-wait" ? Urgency::batch : Urgency::ordinary;
    }

    /// Requires full coverage if the team accepts only complete answers. Reports contradictory answers as errors, and answers that
    /// lead to many refusals as warnings.
    void checkContradictions(const std::string &section, QueryKind &kind, const std::string &domainLoss)
    {
        const BackendGroup *group = this->questionnaire.team.findGroup(kind.group);
        if (domainLoss == "full-answer-or-none") {
            kind.minimumCoverage = 1.0;
            this->recordOrigin(section, "when_a_failure_domain_is_gone", "search " + kind.name + ": minimum_coverage", "100%");
        }
        if (kind.urgency == Urgency::urgent && kind.maximumDeadline > URGENT_MAXIMUM_DEADLINE) {
            this->settings.addError(section,
                                    "answer_within",
                                    "an urgent search with a limit of " + std::to_string(toMs(kind.maximumDeadline)) + "ms",
                                    "at most " + std::to_string(toMs(URGENT_MAXIMUM_DEADLINE)) + "ms for an urgent search; otherwise how_urgent = ordinary");
        }
        const bool singleServer = group != nullptr && group->serversPerService < 2;
        if (kind.urgency == Urgency::urgent && domainLoss == "full-answer-or-none" && singleServer) {
            this->settings.addError(section,
                                    "when_a_failure_domain_is_gone",
                                    "an urgent search that requires a complete answer although each service of '" + kind.group
                                        + "' has one server only: without its failure domain no answer can be complete",
                                    "answer-what-remains, or at least 2 servers_per_service in different failure domains");
        }
        if (group != nullptr && kind.urgency == Urgency::batch && group->hedgePolicy != "none" && kind.maximumDeadline < seconds(1)) {
            this->questionnaire.warnings.push_back({"search " + kind.name + " can wait but allows only " + std::to_string(toMs(kind.maximumDeadline))
                                                    + "ms: it will often be refused in favor of more urgent queries"});
        }
    }

    void explainSearch(const QueryKind &kind, const std::string &description, const std::string &domainLoss)
    {
        std::string text = "Search '" + kind.name + "' (" + description + ") is " + std::string(toString(kind.urgency)) + ": it is answered within "
            + std::to_string(toMs(kind.maximumDeadline)) + " ms, or earlier if the caller sets a shorter deadline";
        text += kind.urgency == Urgency::batch ? ", after all urgent and ordinary queries and without extra load." : ".";
        text += " Each answer comes from one snapshot and reports the coverage of that snapshot; below " + formatPercent(kind.minimumCoverage)
            + " it is reported as failed.";
        text += kind.onSnapshotLoss == SnapshotLossPolicy::rerun ? " If the index changes during the search, it restarts while time remains."
                                                                 : " If the index changes during the search, it answers with the results received so far.";
        text += domainLoss == "full-answer-or-none" ? " If a failure domain is unavailable, it answers only if the remaining domains hold all data."
                                                    : " If a failure domain is unavailable, it answers from the remaining domains.";
        this->questionnaire.explanation.push_back(std::move(text));
    }

    void readAction(const std::string &section)
    {
        QueryKind kind{.name = section.substr(ACTION_PREFIX.size()), .group = this->readGroupName(section)};
        kind.repeatable = false;
        kind.urgency = Urgency::ordinary;
        const std::string subject = "action " + kind.name + ": ";
        this->recordOrigin(section, "served_by", subject + "group", kind.group);
        this->recordOrigin(section, "(section)", subject + "repeatable", "false");
        const std::string description = this->settings.text(section, "people_do", {.fallback = "(not specified)"});
        kind.maximumDeadline = this->settings.duration(section, "answer_within", {.minimum = milliseconds(100), .maximum = minutes(10)});
        this->recordOrigin(section, "answer_within", subject + "maximum_deadline", std::to_string(toMs(kind.maximumDeadline)) + "ms");
        this->questionnaire.explanation.push_back("Action '" + kind.name + "' (" + description + ") runs at most once per Idempotency-Key and is never hedged "
                                                  + "or retried; while the platform's store is unavailable it is refused as not run.");
        this->questionnaire.team.kinds.push_back(kind);
    }

    void addServerWarnings()
    {
        for (const BackendGroup &group : this->questionnaire.team.groups) {
            if (group.serversPerService == 1) {
                this->questionnaire.warnings.push_back(
                    {"servers " + group.name + ": each service has one server; if it fails, part of the data is unavailable"});
            } else if (group.coldCapacity > group.connections) {
                this->questionnaire.warnings.push_back({"servers " + group.name + ": bears_when_cold exceeds connections; the limit of connections applies"});
            }
        }
    }

    Settings &settings;
    Questionnaire questionnaire;
};

} // namespace

Questionnaire Questionnaire::read(Settings &settings)
{
    return QuestionnaireReader(settings).read();
}

} // namespace ragwort
