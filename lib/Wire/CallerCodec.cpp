/// \file
/// Implements the validation of callers' requests and the JSON encoding of answers and problem details.
#include "ragwortcart/Wire/CallerCodec.h"

#include "ragwortcart/Support/Hash.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <charconv>
#include <optional>
#include <vector>

namespace ragwort {

static constexpr std::string_view DEADLINE_HEADER = "Ragwort-Deadline-Ms";
static constexpr std::string_view IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
static constexpr std::int64_t MINIMUM_DEADLINE_MS = 10;

static QString toQt(std::string_view text)
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

HttpResponse encodeProblem(const Problem &problem)
{
    QJsonObject object{{"type", "about:blank"},
                       {"status", problem.status},
                       {"title", toQt(problem.title)},
                       {"detail", toQt(problem.detail)},
                       {"run", toQt(toString(problem.run))},
                       {"reason", toQt(problem.reason)}};
    if (!problem.queryId.empty()) {
        object.insert("query_id", toQt(problem.queryId));
    }
    HttpResponse response{.status = problem.status,
                          .contentType = "application/problem+json",
                          .headers = {},
                          .body = QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString()};
    if (problem.retryAfter > Duration::zero()) {
        const std::int64_t seconds = (toMs(problem.retryAfter) + 999) / 1000;
        response.headers.push_back({.name = "Retry-After", .value = std::to_string(std::max<std::int64_t>(seconds, 1))});
    }
    return response;
}

static HttpResponse rejection(int status, const std::string &title, const std::string &detail, const std::string &reason)
{
    return encodeProblem({.status = status, .title = title, .detail = detail, .run = RunState::notRun, .reason = reason});
}

/// The variable components of a request's path.
struct CallerPath
{
    std::string team;
    /// "search" or "actions".
    std::string action;
    std::string kind;
};

/// Parses "/v1/teams/TEAM/search/KIND" and "/v1/teams/TEAM/actions/KIND".
static std::optional<CallerPath> parsePath(std::string_view target)
{
    std::vector<std::string> parts;
    const std::string_view path = target.substr(0, target.find('?'));
    std::size_t begin = 1;
    while (begin <= path.size()) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        parts.emplace_back(path.substr(begin, end - begin));
        begin = end + 1;
    }
    const bool matches = parts.size() == 5 && parts[0] == "v1" && parts[1] == "teams" && (parts[3] == "search" || parts[3] == "actions");
    if (!matches) {
        return std::nullopt;
    }
    return CallerPath{.team = parts[2], .action = parts[3], .kind = parts[4]};
}

static std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/// Parses the deadline header into \p request. Returns the error response if the header is invalid.
static std::optional<HttpResponse> parseDeadline(const HttpRequest &http, const QueryKind &kind, Instant now, QueryRequest &request)
{
    const std::int64_t maximum = toMs(kind.maximumDeadline);
    const std::optional<std::int64_t> deadline = parseNumber(http.header(DEADLINE_HEADER));
    if (!deadline || *deadline < MINIMUM_DEADLINE_MS || *deadline > maximum) {
        const std::string allowed = std::to_string(MINIMUM_DEADLINE_MS) + " to " + std::to_string(maximum);
        return rejection(400, "invalid deadline", std::string(DEADLINE_HEADER) + " must be an integer from " + allowed, "invalid-deadline");
    }
    request.deadline = now + std::chrono::milliseconds(*deadline);
    return std::nullopt;
}

/// Parses the idempotency key of an action into \p request, with or without quotation marks. Returns the error response if the key
/// is missing or too long. Ignores the key of a search.
static std::optional<HttpResponse> parseIdempotencyKey(const HttpRequest &http, const QueryKind &kind, QueryRequest &request)
{
    std::string_view key = http.header(IDEMPOTENCY_KEY_HEADER);
    if (key.size() >= 2 && key.front() == '"' && key.back() == '"') {
        key = key.substr(1, key.size() - 2);
    }
    if (!kind.repeatable && (key.empty() || key.size() > MAXIMUM_IDEMPOTENCY_KEY_BYTES)) {
        return rejection(400,
                         "missing idempotency key",
                         std::string(IDEMPOTENCY_KEY_HEADER) + " with 1 to " + std::to_string(MAXIMUM_IDEMPOTENCY_KEY_BYTES)
                             + " bytes is required for this action",
                         "missing-idempotency-key");
    }
    request.idempotencyKey = kind.repeatable ? std::string() : std::string(key);
    return std::nullopt;
}

/// Parses the JSON body into \p request. Returns the error response if the body is invalid.
static std::optional<HttpResponse> parseBody(const HttpRequest &http, QueryRequest &request)
{
    QJsonParseError error{};
    const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(http.body), &error);
    if (error.error != QJsonParseError::NoError || !document.isObject()) {
        return rejection(400, "malformed body", "the body must be a JSON object: " + error.errorString().toStdString(), "malformed-body");
    }
    const QJsonObject object = document.object();
    const QJsonValue text = object.value("query");
    if (!text.isString() || text.toString().isEmpty() || text.toString().toUtf8().size() > static_cast<qsizetype>(MAXIMUM_QUERY_BYTES)) {
        return rejection(400, "malformed body", "\"query\" must be a string of 1 to " + std::to_string(MAXIMUM_QUERY_BYTES) + " bytes", "malformed-body");
    }
    const QJsonValue limit = object.value("limit");
    const int number = limit.isUndefined() ? 10 : limit.toInt(-1);
    if (number < 1 || number > MAXIMUM_RESULT_LIMIT) {
        return rejection(400, "malformed body", "\"limit\" must be an integer from 1 to " + std::to_string(MAXIMUM_RESULT_LIMIT), "malformed-body");
    }
    request.text = text.toString().toStdString();
    request.limit = number;
    return std::nullopt;
}

/// Returns the traceparent header, or an empty string if it is missing or malformed: the W3C Trace Context recommendation requires
/// that malformed headers are ignored.
static std::string parseTraceParent(const HttpRequest &http)
{
    static constexpr std::size_t TRACE_PARENT_LENGTH = 55;
    const std::string_view header = http.header("traceparent");
    const bool wellFormed = header.size() == TRACE_PARENT_LENGTH && header.starts_with("00-") && header[35] == '-' && header[52] == '-'
        && header.find_first_not_of("0123456789abcdef-") == std::string_view::npos;
    return wellFormed ? std::string(header) : std::string();
}

std::variant<QueryRequest, HttpResponse> decodeCallerRequest(const HttpRequest &http, const Configuration &configuration, Instant now)
{
    const std::optional<CallerPath> path = parsePath(http.target);
    if (!path) {
        return rejection(404, "not found", "paths are /v1/teams/TEAM/search/KIND and /v1/teams/TEAM/actions/KIND", "unknown-path");
    }
    if (http.method != "POST") {
        HttpResponse response = rejection(405, "method not allowed", "use POST", "method-not-allowed");
        response.headers.push_back({.name = "Allow", .value = "POST"});
        return response;
    }
    const TeamConfiguration *team = configuration.findTeam(path->team);
    if (team == nullptr) {
        return rejection(404, "unknown team", "no team '" + path->team + "' is configured", "unknown-team");
    }
    const QueryKind *kind = team->findKind(path->kind);
    if (kind == nullptr || kind->repeatable != (path->action == "search")) {
        return rejection(404, "unknown kind", "team '" + path->team + "' has no kind '" + path->kind + "' under /" + path->action, "unknown-kind");
    }
    QueryRequest request{.team = path->team, .kind = path->kind, .arrival = now, .traceParent = parseTraceParent(http)};
    if (std::optional<HttpResponse> errorResponse = parseDeadline(http, *kind, now, request)) {
        return *errorResponse;
    }
    if (std::optional<HttpResponse> errorResponse = parseIdempotencyKey(http, *kind, request)) {
        return *errorResponse;
    }
    if (std::optional<HttpResponse> errorResponse = parseBody(http, request)) {
        return *errorResponse;
    }
    request.fingerprint = stableHash(request.team + '\n' + request.kind + '\n' + request.text);
    return request;
}

static QJsonObject encodeCoverage(const Coverage &coverage)
{
    QJsonArray missing;
    for (const KeyRange &range : coverage.missing) {
        missing.append(QJsonObject{{"begin", static_cast<qint64>(range.begin)}, {"end", static_cast<qint64>(range.end)}});
    }
    return {{"documents", static_cast<qint64>(coverage.documents)},
            {"documents_total", static_cast<qint64>(coverage.totalDocuments)},
            {"fraction", coverage.fraction()},
            {"missing", missing}};
}

static QJsonObject encodeCosts(const Answer &answer, const AnswerContext &context)
{
    return {{"elapsed_us", static_cast<qint64>(context.elapsed.count())},
            {"sub_requests", answer.attempts},
            {"hedges", answer.hedges},
            {"retries", answer.retries},
            {"instance", toQt(context.instance)}};
}

/// Maps an answer to its HTTP status: 409 and 422 as in the Idempotency-Key draft, 422 also for quarantined queries, 503 for all
/// other queries that were not run, and 504 for all other failures, such as an expired deadline.
static int statusOf(const Answer &answer)
{
    if (answer.success) {
        return 200;
    }
    if (answer.reason == "claim-held-elsewhere") {
        return 409;
    }
    if (answer.reason == "claim-content-differs" || answer.reason == "refused-quarantined") {
        return 422;
    }
    if (answer.state == RunState::notRun) {
        return 503;
    }
    return 504;
}

static HttpResponse encodeFailure(const Answer &answer, const AnswerContext &context)
{
    HttpResponse response = encodeProblem({.status = statusOf(answer),
                                           .title = std::string(toString(answer.state)),
                                           .detail = "reason code " + answer.reason,
                                           .run = answer.state,
                                           .reason = answer.reason,
                                           .retryAfter = answer.retryAfter,
                                           .queryId = std::to_string(answer.query)});
    if (context.repeatable && answer.snapshot != 0) {
        QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(response.body)).object();
        object.insert("snapshot", static_cast<qint64>(answer.snapshot));
        object.insert("coverage", encodeCoverage(answer.coverage));
        response.body = QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
    }
    return response;
}

HttpResponse encodeAnswer(const Answer &answer, const AnswerContext &context)
{
    if (!answer.success) {
        return encodeFailure(answer, context);
    }
    QJsonObject object{{"query_id", QString::number(answer.query)},
                       {"run", toQt(toString(answer.state))},
                       {"reason", toQt(answer.reason)},
                       {"cost", encodeCosts(answer, context)}};
    if (context.repeatable) {
        QJsonArray results;
        for (const Document &document : answer.results) {
            results.append(
                QJsonObject{{"key", static_cast<qint64>(document.key)}, {"score", static_cast<qint64>(document.score)}, {"text", toQt(document.text)}});
        }
        object.insert("snapshot", static_cast<qint64>(answer.snapshot));
        object.insert("coverage", encodeCoverage(answer.coverage));
        object.insert("results", results);
    } else {
        object.insert("outcome", toQt(answer.outcome));
        object.insert("replayed", answer.replayed);
    }
    return {.status = 200, .contentType = "application/json", .headers = {}, .body = QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString()};
}

} // namespace ragwort
