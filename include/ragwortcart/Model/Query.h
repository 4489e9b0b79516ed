/// \file
/// Value types for queries, sub-requests and answers.
#ifndef RAGWORTCART_MODEL_QUERY_H
#define RAGWORTCART_MODEL_QUERY_H

#include "ragwortcart/Model/ForwardedQuery.h"
#include "ragwortcart/Model/KeyRange.h"
#include "ragwortcart/Support/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwort {

/// Unique within a process; unique within the tier together with the instance name.
using QueryId = std::uint64_t;
/// Sequential number of a sub-request within its query; never reused.
using AttemptId = std::uint32_t;
/// Identifies a snapshot of a group's index; newer snapshots have higher numbers.
using SnapshotId = std::uint64_t;

/// A search or an action of a kind that a team offers. The members of `QueryRequest` hold its content. A search is split by the key
/// ranges of the index; an action runs on one server.
struct TeamQuery
{
};

/// The work that a query requests. Determines how the query is split into parts and how their answers are merged.
using QueryWork = std::variant<TeamQuery, ForwardedCall>;

/// A caller's request after syntax validation.
struct QueryRequest
{
    QueryId id = 0;
    std::string team;
    std::string kind;
    /// The search text, forwarded unchanged to the backend servers.
    std::string text;
    /// Maximum number of documents in the answer.
    int limit = 10;
    Instant arrival{};
    Instant deadline{};
    std::string idempotencyKey;
    /// Value of the W3C `traceparent` header, forwarded to the backend servers.
    std::string traceParent;
    /// Hash of team, kind and content. A resend under another query id has the same fingerprint.
    std::uint64_t fingerprint = 0;
    QueryWork work;
};

/// A request to one backend server.
struct SubRequest
{
    QueryId query = 0;
    AttemptId attempt = 0;
    std::string serverId;
    std::string address;
    std::string kind;
    std::string text;
    /// Maximum number of documents in the answer.
    int limit = 10;
    SnapshotId snapshot = 0;
    KeyRange range;
    Instant deadline{};
    std::string traceParent;
    /// The key of an action, unique within the tier; empty for searches.
    std::string actionKey;
    /// The caller's request to forward unchanged; null for searches and actions of a team.
    std::shared_ptr<const ForwardedRequest> forwarded;
};

struct Document
{
    DocumentKey key = 0;
    std::int64_t score = 0;
    std::string text;

    /// Orders by descending score, then by key, so that equal data yields equal answers.
    friend bool operator<(const Document &left, const Document &right)
    {
        return left.score != right.score ? left.score > right.score : left.key < right.key;
    }
    bool operator==(const Document &) const = default;
};

/// State that a backend server reports for itself with a response or a status. It may be stale or wrong.
struct ServerReport
{
    /// Changes with each start of the server process.
    std::uint64_t incarnation = 0;
    bool cold = false;
    bool draining = false;
    /// Number of running and queued requests at the server.
    int load = 0;
};

/// The decoded response of a server that ran a sub-request.
struct SubAnswer
{
    SnapshotId snapshot = 0;
    /// The part of the requested range that the server searched.
    KeyRange range;
    /// Number of documents of the snapshot in `range`.
    std::uint64_t documents = 0;
    /// Number of documents of the whole snapshot, over all ranges.
    std::uint64_t totalDocuments = 0;
    std::vector<Document> results;
    ServerReport report;
};

/// Why an attempt failed.
enum class SubFailure {
    /// The connection could not be established; no byte was sent.
    connectFailed,
    /// The deadline passed while the request waited for a connection; no byte was sent.
    expired,
    /// The request cannot be encoded for a server; no byte was sent.
    unsendable,
    /// The connection ended after bytes had been sent, and it is not confirmed that the same server process is still running.
    lost,
    /// The connection ended after bytes had been sent; the same server process is still running.
    closed,
    /// No response within the time limit of the attempt.
    timeout,
    /// The server shed the request; this proves that it did not run it.
    shed,
    /// The server is draining; this proves that it did not run the request.
    draining,
    /// The server no longer holds the snapshot.
    snapshotGone,
    /// The server sent an invalid response.
    protocol,
    /// The address now belongs to another server, which did not run the request.
    misdirected,
    /// The server ran the request and returned an error.
    serverError,
};

std::string_view toString(SubFailure failure);

/// Returns whether \p failure proves that the server did not run the request.
bool provesNotRun(SubFailure failure);

/// What a caller may assume about the execution of its query.
enum class RunState { ran, notRun, outcomeUnknown };

std::string_view toString(RunState state);

/// The part of a snapshot that an answer covers.
struct Coverage
{
    std::uint64_t documents = 0;
    std::uint64_t totalDocuments = 0;
    /// The key ranges that the answer does not cover, in ascending order.
    std::vector<KeyRange> missing;

    /// Returns the covered fraction of the documents. An empty snapshot is covered if no range is missing.
    double fraction() const;
    bool complete() const
    {
        return this->missing.empty();
    }
};

/// The final answer to a caller.
struct Answer
{
    QueryId query = 0;
    RunState state = RunState::notRun;
    /// Machine-readable reason for a refused, failed or incomplete answer; "ok" for a complete one.
    std::string reason;
    /// True if the answer reaches the minimum coverage of its kind (searches and forwarded requests) or if the action ran.
    bool success = false;
    SnapshotId snapshot = 0;
    Coverage coverage;
    std::vector<Document> results;
    /// The reply to a forwarded request.
    ForwardedReply forwarded;
    /// Outcome text of an action.
    std::string outcome;
    /// True if the action ran earlier under the same key; `outcome` is then the recorded outcome.
    bool replayed = false;
    /// Delay after which a refused caller should retry.
    Duration retryAfter{};
    /// Version of the route table under which a request was forwarded.
    std::uint64_t routesVersion = 0;
    /// Numbers of parts requested and answered, for forwarded requests. A request to one service has one part.
    int shardsAsked = 0;
    int shardsAnswered = 0;
    int attempts = 0;
    int hedges = 0;
    int retries = 0;
};

} // namespace ragwort

#endif
