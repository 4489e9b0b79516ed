/// \file
/// Implementation of the commands of `ragwortctl`.
#include "ragwortcart/Operator/Commands.h"

#include "ragwortcart/Model/Questionnaire.h"
#include "ragwortcart/Operator/DocumentStore.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <thread>
#include <unistd.h>

namespace ragwort {

static constexpr int EXIT_INVALID_INPUT = 2;
static constexpr Duration CONFIRM_POLL_INTERVAL = std::chrono::milliseconds(200);

namespace {

/// Accesses the platform's store through the blocking client.
class PlatformKeyValueStore final : public KeyValueStore
{
public:
    explicit PlatformKeyValueStore(BlockingPlatformClient &platformClient) : client(platformClient)
    {
    }

    Result<StoredDocument> read(const std::string &key) override
    {
        return this->client.read(key);
    }
    StoreWriteOutcome write(const std::string &key, const QByteArray &value, std::uint64_t expectedIndex) override
    {
        return this->client.write(key, value, expectedIndex);
    }

private:
    BlockingPlatformClient &client;
};

/// A questionnaire file after reading and validation.
struct LoadedQuestionnaire
{
    Questionnaire questionnaire;
    bool valid = false;
};

} // namespace

/// Returns a name that is unique for this run of the tool.
static std::string writerName()
{
    return std::to_string(wallClockMs()) + '-' + std::to_string(::getpid());
}

static LoadedQuestionnaire loadQuestionnaire(const std::string &path)
{
    Settings settings = Settings::fromFile(path);
    LoadedQuestionnaire loaded{.questionnaire = Questionnaire::read(settings), .valid = true};
    for (const SettingsError &error : settings.finish()) {
        std::cerr << error.describe() << '\n';
        loaded.valid = false;
    }
    for (const QuestionnaireWarning &warning : loaded.questionnaire.warnings) {
        std::cerr << path << ": warning: " << warning.text << '\n';
    }
    return loaded;
}

static int check(const std::string &path)
{
    if (!loadQuestionnaire(path).valid) {
        return EXIT_INVALID_INPUT;
    }
    std::cout << path << ": no errors\n";
    return 0;
}

static int generate(const std::string &path)
{
    const LoadedQuestionnaire loaded = loadQuestionnaire(path);
    if (!loaded.valid) {
        return EXIT_INVALID_INPUT;
    }
    std::cout << QJsonDocument::fromJson(encodeTeam(loaded.questionnaire.team)).toJson().toStdString();
    return 0;
}

static int explain(const std::string &path)
{
    const LoadedQuestionnaire loaded = loadQuestionnaire(path);
    if (!loaded.valid) {
        return EXIT_INVALID_INPUT;
    }
    for (const std::string &sentence : loaded.questionnaire.explanation) {
        std::cout << sentence << "\n\n";
    }
    std::cout << "Configuration values and the answers from which they are derived:\n";
    for (const ValueProvenance &value : loaded.questionnaire.provenance) {
        std::cout << "  " << value.subject << " = " << value.value << "   (" << value.origin << ")\n";
    }
    return 0;
}

static void printDiff(const QByteArray &before, const QByteArray &after)
{
    for (const std::string &line : diffDocuments(before, after)) {
        std::cout << line << '\n';
    }
}

static int diff(BlockingPlatformClient &client, const std::string &path)
{
    const LoadedQuestionnaire loaded = loadQuestionnaire(path);
    if (!loaded.valid) {
        return EXIT_INVALID_INPUT;
    }
    PlatformKeyValueStore keyValueStore(client);
    DocumentStore store(keyValueStore, writerName());
    const Result<StoredDocument> current = store.read(teamDocument(loaded.questionnaire.team.name));
    if (!current) {
        std::cerr << current.error().describe() << '\n';
        return EXIT_FAILED;
    }
    std::cout << "stored: sequence " << sequenceOf(current->json) << '\n';
    printDiff(current->json, encodeTeam(loaded.questionnaire.team));
    return 0;
}

/// The state of an entry instance and the sequence numbers in force there, as it reports them.
struct InstanceReport
{
    std::string id;
    std::string domain;
    bool reachable = false;
    bool ready = false;
    bool crossDomainWork = false;
    std::int64_t configurationAgeMs = 0;
    int ordinal = -1;
    std::map<std::string, std::uint64_t> sequences;
};

static InstanceReport fetchInstanceReport(BlockingPlatformClient &client, const PlatformInstance &instance)
{
    InstanceReport report{.id = instance.id, .domain = instance.metaValue("domain"), .sequences = {}};
    const Result<QByteArray> state = client.fetch(instance.metaValue("operators"), "/state");
    if (!state) {
        return report;
    }
    const QJsonObject object = QJsonDocument::fromJson(*state).object();
    report.reachable = true;
    report.ready = object.value("ready").toBool();
    report.crossDomainWork = object.value("cross_domain_work").toBool();
    report.configurationAgeMs = object.value("configuration_age_ms").toInteger();
    report.ordinal = object.value("seat").toInt(-1);
    const QJsonObject documents = object.value("documents").toObject();
    for (auto entry = documents.begin(); entry != documents.end(); ++entry) {
        report.sequences[entry.key().toStdString()] = static_cast<std::uint64_t>(entry.value().toInteger());
    }
    return report;
}

/// Tells \p store which sequences are in force at the entry instances that can be reached. Warns if \p document has a later one there than in the store:
/// the store was restored from an older copy, and what it lost is not part of the next change.
static void readSequencesInForce(BlockingPlatformClient &client, DocumentStore &store, const std::string &document)
{
    const Result<PlatformInstances> listed = client.list("ragwort-entry");
    if (!listed) {
        std::cerr << listed.error().describe() << '\n';
        return;
    }
    std::map<std::string, std::uint64_t> inForce;
    for (const PlatformInstance &instance : listed->instances) {
        for (const auto &[name, sequence] : fetchInstanceReport(client, instance).sequences) {
            inForce[name] = std::max(inForce[name], sequence);
        }
    }
    const Result<StoredDocument> stored = store.read(document);
    if (stored && sequenceOf(stored->json) < inForce[document]) {
        std::cerr << document << ": warning: sequence " << inForce[document] << " is in force, but the store holds " << sequenceOf(stored->json)
                  << ": it has lost the changes since. They are not part of this change; apply them again.\n";
    }
    store.setSequencesInForce(std::move(inForce));
}

/// Waits until \p sequence is in force at all listed entry instances. On a timeout, prints the instances that have not confirmed it.
static int waitUntilInForce(BlockingPlatformClient &client, const std::string &document, std::uint64_t sequence, const CommandOptions &options)
{
    const Instant begin = steadyNow();
    std::vector<std::string> unconfirmed;
    do {
        unconfirmed.clear();
        const Result<PlatformInstances> listed = client.list("ragwort-entry");
        if (!listed) {
            std::cerr << listed.error().describe() << '\n';
            return EXIT_NOT_CONFIRMED;
        }
        for (const PlatformInstance &instance : listed->instances) {
            const InstanceReport report = fetchInstanceReport(client, instance);
            const auto found = report.sequences.find(document);
            if (found == report.sequences.end() || found->second < sequence) {
                unconfirmed.push_back(instance.id + (report.reachable ? " (has an earlier sequence)" : " (unreachable)"));
            }
        }
        if (unconfirmed.empty()) {
            std::cout << "in force at all entry instances after " << toMs(steadyNow() - begin) << " ms\n";
            return 0;
        }
        std::this_thread::sleep_for(CONFIRM_POLL_INTERVAL);
    } while (steadyNow() - begin < options.waitTimeout);
    for (const std::string &instance : unconfirmed) {
        std::cerr << "not confirmed: " << instance << '\n';
    }
    return EXIT_NOT_CONFIRMED;
}

/// Prints the outcome of a change, waits for its confirmation if requested, and returns the exit code.
static int
finishApply(BlockingPlatformClient &client, const std::string &document, const ApplyReport &report, const CommandOptions &options, const QByteArray &wanted)
{
    switch (report.outcome) {
    case ApplyOutcome::applied:
        std::cout << document << ": sequence " << report.sequence << " is stored" << (report.resolvedByReadBack ? " (settled by reading back)" : "") << '\n';
        return options.wait ? waitUntilInForce(client, document, report.sequence, options) : 0;
    case ApplyOutcome::unchanged:
        std::cout << document << ": no change, sequence " << report.sequence << " is stored\n";
        return options.wait ? waitUntilInForce(client, document, report.sequence, options) : 0;
    case ApplyOutcome::conflict:
        std::cerr << document << ": conflict: sequence " << report.sequence << " is stored, the change is based on " << options.basedOn
                  << "; nothing was written. Difference from the stored document:\n";
        printDiff(report.current, wanted);
        std::cerr << "To apply the change anyway, repeat the command with --based_on=" << report.sequence << '\n';
        return EXIT_CONFLICT;
    case ApplyOutcome::unknown:
        std::cerr << document
                  << ": the store did not respond; it is unknown whether the change was written. Run 'ragwortctl status' when the store is available.\n";
        return EXIT_FAILED;
    case ApplyOutcome::unavailable:
        std::cerr << document << ": the store is unavailable; nothing was written\n";
        return EXIT_FAILED;
    }
    return EXIT_FAILED;
}

/// Creates the tier document if it does not exist. Returns an exit code.
static int ensureTierDocument(DocumentStore &store, const CommandOptions &options)
{
    const Result<StoredDocument> tier = store.read(std::string(TIER_DOCUMENT));
    if (!tier) {
        std::cerr << tier.error().describe() << '\n';
        return EXIT_FAILED;
    }
    if (tier->modifyIndex != 0) {
        return 0;
    }
    const TierConfiguration first{.sequence = 0, .maximumInstances = options.maximumInstances, .domainsOutOfService = {}, .serversOutOfService = {}};
    const ApplyReport report = store.apply(std::string(TIER_DOCUMENT), encodeTier(first), 0);
    const bool stored = report.outcome == ApplyOutcome::applied || report.outcome == ApplyOutcome::conflict || report.outcome == ApplyOutcome::unchanged;
    return stored ? 0 : EXIT_FAILED;
}

static int apply(BlockingPlatformClient &client, const std::string &path, const CommandOptions &options)
{
    const LoadedQuestionnaire loaded = loadQuestionnaire(path);
    if (!loaded.valid) {
        return EXIT_INVALID_INPUT;
    }
    PlatformKeyValueStore keyValueStore(client);
    DocumentStore store(keyValueStore, writerName());
    if (const int code = ensureTierDocument(store, options); code != 0) {
        return code;
    }
    const std::string document = teamDocument(loaded.questionnaire.team.name);
    const QByteArray wanted = encodeTeam(loaded.questionnaire.team);
    readSequencesInForce(client, store, document);
    return finishApply(client, document, store.apply(document, wanted, options.basedOn), options, wanted);
}

static int history(BlockingPlatformClient &client, const std::string &document)
{
    PlatformKeyValueStore keyValueStore(client);
    DocumentStore store(keyValueStore, writerName());
    const Result<StoredDocument> current = store.read(document);
    if (!current) {
        std::cerr << current.error().describe() << '\n';
        return EXIT_FAILED;
    }
    QByteArray newer = current->json;
    std::cout << "sequence " << sequenceOf(newer) << " (current)\n";
    for (std::uint64_t sequence = sequenceOf(newer); sequence > 1; --sequence) {
        const Result<StoredDocument> earlier = store.readHistory(document, sequence - 1);
        if (!earlier || earlier->modifyIndex == 0) {
            std::cout << "sequence " << sequence - 1 << " (not in the history)\n";
            break;
        }
        for (const std::string &line : diffDocuments(earlier->json, newer)) {
            std::cout << "    " << line << '\n';
        }
        std::cout << "sequence " << sequence - 1 << '\n';
        newer = earlier->json;
    }
    return 0;
}

static int rollBack(BlockingPlatformClient &client, const std::string &document, const std::string &sequence, const CommandOptions &options)
{
    PlatformKeyValueStore keyValueStore(client);
    DocumentStore store(keyValueStore, writerName());
    const Result<StoredDocument> earlier = store.readHistory(document, std::strtoull(sequence.c_str(), nullptr, 10));
    const Result<StoredDocument> current = store.read(document);
    if (!earlier || !current || earlier->modifyIndex == 0) {
        std::cerr << document << ": sequence " << sequence << " is not in the history\n";
        return EXIT_FAILED;
    }
    CommandOptions rollbackOptions = options;
    rollbackOptions.basedOn = sequenceOf(current->json);
    readSequencesInForce(client, store, document);
    return finishApply(client, document, store.apply(document, earlier->json, rollbackOptions.basedOn), rollbackOptions, earlier->json);
}

/// Takes a failure domain or a backend server out of service or back in.
static int changeServiceState(
    BlockingPlatformClient &client, const std::string &target, const std::string &direction, const std::string &name, const CommandOptions &options)
{
    if (direction != "out" && direction != "in") {
        std::cerr << "usage: " << target << " out|in NAME\n";
        return EXIT_INVALID_INPUT;
    }
    PlatformKeyValueStore keyValueStore(client);
    DocumentStore store(keyValueStore, writerName());
    const std::string document(TIER_DOCUMENT);
    QByteArray wanted;
    readSequencesInForce(client, store, document);
    const ApplyReport report = store.update(document, [&](const QByteArray &current) {
        Result<TierConfiguration> tier = decodeTier(current, options.platformAddress);
        TierConfiguration next
            = tier ? *tier : TierConfiguration{.maximumInstances = options.maximumInstances, .domainsOutOfService = {}, .serversOutOfService = {}};
        std::set<std::string> &out = target == "domain" ? next.domainsOutOfService : next.serversOutOfService;
        if (direction == "out") {
            out.insert(name);
        } else {
            out.erase(name);
        }
        wanted = encodeTier(next);
        return wanted;
    });
    return finishApply(client, document, report, options, wanted);
}

static int status(BlockingPlatformClient &client)
{
    const Result<PlatformInstances> listed = client.list("ragwort-entry");
    if (!listed) {
        std::cerr << listed.error().describe() << '\n';
        return EXIT_FAILED;
    }
    bool allReady = true;
    for (const PlatformInstance &instance : listed->instances) {
        const InstanceReport report = fetchInstanceReport(client, instance);
        std::cout << report.id << "  domain=" << report.domain;
        if (!report.reachable) {
            std::cout << "  unreachable\n";
            allReady = false;
            continue;
        }
        std::cout << "  ready=" << (report.ready ? "yes" : "no") << "  seat=" << report.ordinal << "  configuration_age_ms=" << report.configurationAgeMs
                  << "  cross_domain_work=" << (report.crossDomainWork ? "yes" : "no");
        for (const auto &[document, sequence] : report.sequences) {
            std::cout << "  " << document << '=' << sequence;
        }
        std::cout << '\n';
        allReady = allReady && report.ready;
    }
    return allReady ? 0 : EXIT_NOT_CONFIRMED;
}

static int dump(BlockingPlatformClient &client, const std::string &directory)
{
    const Result<PlatformInstances> listed = client.list("ragwort-entry");
    if (!listed) {
        std::cerr << listed.error().describe() << '\n';
        return EXIT_FAILED;
    }
    int code = 0;
    for (const PlatformInstance &instance : listed->instances) {
        const Result<QByteArray> state = client.fetch(instance.metaValue("operators"), "/state");
        if (!state) {
            std::cerr << state.error().describe() << '\n';
            code = EXIT_NOT_CONFIRMED;
            continue;
        }
        const std::string path = directory + '/' + instance.id + ".json";
        std::ofstream file(path);
        file << state->toStdString();
        if (!file.flush()) {
            std::cerr << path << ": cannot be written\n";
            return EXIT_FAILED;
        }
        std::cout << path << '\n';
    }
    return code;
}

std::string commandHelp()
{
    return "check FILE                 validate a questionnaire\n"
           "generate FILE              print the configuration derived from a questionnaire\n"
           "explain FILE               describe how the tier will behave, and why\n"
           "diff FILE                  compare a questionnaire with the stored configuration\n"
           "apply FILE --based_on=N    put a questionnaire in force if N is the current sequence\n"
           "history DOCUMENT           list the sequences of 'tier' or 'team.NAME'\n"
           "rollback DOCUMENT N        put sequence N in force again, as a new sequence\n"
           "domain out|in NAME         take a failure domain out of service or back in\n"
           "instance out|in ID         take one backend server out of service or back in\n"
           "status                     print the configuration in force at each entry instance\n"
           "dump DIRECTORY             write the state of each entry instance to a directory\n";
}

int runCommand(std::span<const std::string> arguments, const CommandOptions &options)
{
    const std::string command = arguments.empty() ? std::string() : arguments[0];
    const std::size_t count = arguments.size();
    if (count == 2 && command == "check") {
        return check(arguments[1]);
    }
    if (count == 2 && command == "generate") {
        return generate(arguments[1]);
    }
    if (count == 2 && command == "explain") {
        return explain(arguments[1]);
    }
    BlockingPlatformClient client(options.platformAddress);
    if (count == 2 && command == "diff") {
        return diff(client, arguments[1]);
    }
    if (count == 2 && command == "apply") {
        return apply(client, arguments[1], options);
    }
    if (count == 2 && command == "history") {
        return history(client, arguments[1]);
    }
    if (count == 3 && command == "rollback") {
        return rollBack(client, arguments[1], arguments[2], options);
    }
    if (count == 3 && (command == "domain" || command == "instance")) {
        return changeServiceState(client, command, arguments[1], arguments[2], options);
    }
    if (count == 1 && command == "status") {
        return status(client);
    }
    if (count == 2 && command == "dump") {
        return dump(client, arguments[1]);
    }
    std::cerr << "usage:\n" << commandHelp();
    return EXIT_INVALID_INPUT;
}

} // namespace ragwort
