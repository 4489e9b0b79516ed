/// \file
/// Queries, sub-requests and answers as values.
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

/// Unique within a process and, with the instance's name, within the tier.
using QueryId = std::uint64_t;
/// Number of a sub-request within its query; never reused.
using AttemptId = std::uint32_t;
/// Snapshots of a group's index are numbered upwards.
using SnapshotId = std::uint64_t;

/// A search of an index that is divided by key range, or an action; its words are in the query itself.
struct KeyRangeSearch
{
};

/// What a query asks for; decides how it is divided into parts and how their answers are put together.
using QueryWork = std::variant<KeyRangeSearch, ForwardedCall>;

/// A caller's request after its syntax was checked.
struct QueryRequest
{
    QueryId id = 0;
    std::string team;
    std::string kind;
    /// What the people search for; passed on to the backend servers as it is.
    std::string text;
    int limit = 10;
    Instant arrival{};
    Instant deadline{};
    std::string idempotencyKey;
    /// W3C trace id, passed on to the backend servers.
    std::string traceParent;
    /// Hash of team, kind and content; equal for a resend under another id.
    std::uint64_t fingerprint = 0;
    QueryWork work;
};

/// What is sent to one backend server.
struct SubRequest
{
    QueryId query = 0;
    AttemptId attempt = 0;
    std::string serverId;
    std::string address;
    std::string kind;
    std::string text;
    int limit = 10;
    SnapshotId snapshot = 0;
    KeyRange range;
    Instant deadline{};
    std::string traceParent;
    /// Empty for searches; the tier-wide unique key of an action.
    std::string actionKey;
    /// What the server gets as it came from the caller; null for searches by key range and actions.
    std::shared_ptr<const ForwardedRequest> forwarded;
};

struct Document
{
    DocumentKey key = 0;
    std::int64_t score = 0;
    std::string text;

    /// Results are ordered by falling score, then by key, so that equal data gives an equal answer.
    friend bool operator<(const Document &left, const Document &right)
    {
        return left.score != right.score ? left.score > right.score : left.key < right.key;
    }
    bool operator==(const Document &) const = default;
};

/// What a backend server says of its own state with an answer or a status report; may lag or be wrong.
struct ServerReport
{
    /// Changes each time the server process starts.
    std::uint64_t incarnation = 0;
    bool cold = false;
    bool draining = false;
    /// Requests running or waiting at the server.
    int load = 0;
};

struct SubAnswer
{
    SnapshotId snapshot = 0;
    /// The part of the asked range that the server searched.
    KeyRange range;
    /// Documents that the snapshot holds in `range`.
    std::uint64_t documents = 0;
    /// Documents of the whole snapshot over all its ranges.
    std::uint64_t totalDocuments = 0;
    std::vector<Document> results;
    ServerReport report;
};

/// Why an attempt brought no answer.
enum class SubFailure {
    /// No connection came about; no byte was sent.
    connectFailed,
    /// The connection ended after bytes had been sent, and the server process is gone.
    lost,
    /// The connection ended after bytes had been sent; the server process is still the same.
    closed,
    /// No answer within the attempt's time.
    timeout,
    /// The server proved that it did not run the request: it shed load.
    shed,
    /// The server proved that it did not run the request: it is draining.
    draining,
    /// The server does not hold the snapshot any more.
    snapshotGone,
    /// The server answered something that makes no sense.
    protocol,
    /// Another server has the address now; it did not run the request.
    misdirected,
    /// The server ran the request and answered with a failure of its own.
    serverError,
};

std::string_view toString(SubFailure failure);

/// True when the failure shows that the server did not run the request.
bool provesNotRun(SubFailure failure);

/// What the caller can rely on.
enum class RunState { ran, notRun, outcomeUnknown };

std::string_view toString(RunState state);

/// How much of the snapshot an answer covers.
struct Coverage
{
    std::uint64_t documents = 0;
    std::uint64_t totalDocuments = 0;
    std::vector<KeyRange> missing;

    double fraction() const;
    bool complete() const
    {
        return this->missing.empty();
    }
};

/// The final word to a caller.
struct Answer
{
    QueryId query = 0;
    RunState state = RunState::notRun;
    /// Machine-readable: why it was refused or falls short; "ok" when nothing is missing.
    std::string reason;
    /// True when the answer satisfies the kind's least coverage (searches) or the action ran.
    bool success = false;
    SnapshotId snapshot = 0;
    Coverage coverage;
    std::vector<Document> results;
    /// The reply to a forwarded request.
    ForwardedReply forwarded;
    /// Outcome text of an action.
    std::string outcome;
    /// The action had run under the same key before; `outcome` is the recorded one.
    bool replayed = false;
    /// When a refused caller should come back.
    Duration retryAfter{};
    /// Of a forwarded request: the version of the routes, parts asked for and parts answered.
    std::uint64_t routesVersion = 0;
    int shardsAsked = 0;
    int shardsAnswered = 0;
    int attempts = 0;
    int hedges = 0;
    int retries = 0;
};

} // namespace ragwort

#endif
