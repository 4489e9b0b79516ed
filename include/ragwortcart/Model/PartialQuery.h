/// \file
/// Messages between two entry instances that divide a forwarded query: the coordinator, which has received it from the caller, lets
/// another instance, the aggregator, ask some of its shards and merge their answers.
#ifndef RAGWORTCART_MODEL_PARTIALQUERY_H
#define RAGWORTCART_MODEL_PARTIALQUERY_H

#include "ragwortcart/Model/Query.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace ragwort {

/// Asks an aggregator to gather some shards of a query.
struct PartialQueryRequest
{
    /// Identify the branch at the coordinator. All messages about it repeat them.
    QueryId query = 0;
    AttemptId branch = 0;
    std::string route;
    /// `Route::revision` at the coordinator. The aggregator refuses the branch if its own differs, so that all parts of an answer come from
    /// one version.
    std::uint64_t routeRevision = 0;
    /// Positions of the shards in the route's `ShardSet`.
    std::uint32_t firstShard = 0;
    std::uint32_t shardCount = 0;
    /// The fewest shards with which the whole query can still reach its minimum share.
    std::uint32_t minimumShards = 0;
    /// Time within which an answer with the minimum is to be returned, and time until the query's deadline, when the message is sent.
    Duration answerWithin{};
    Duration timeLeft{};
    /// When the message is sent, in microseconds on the monotonic clock of the coordinator.
    std::int64_t sentAtUs = 0;
    /// The caller's request. Not null in a decoded message.
    std::shared_ptr<const ForwardedRequest> forwarded;
    /// `QueryRequest::fingerprint` of the query; 0 from coordinators of earlier versions.
    std::uint64_t contentFingerprint = 0;
};

/// The aggregator's answer to a `PartialQueryRequest`.
struct PartialQueryReply
{
    QueryId query = 0;
    AttemptId branch = 0;
    /// Whether `records` is valid.
    bool success = false;
    /// Whether a server may have run the request, if there are no records.
    RunState state = RunState::outcomeUnknown;
    std::string reason;
    /// The merged records of the shards that have answered. Its missing shards are positions in the route's `ShardSet`.
    MergedRecords records;
    /// Time after which a refused branch may be accepted.
    Duration retryAfter{};
    int attempts = 0;
    int hedges = 0;
    int retries = 0;
    /// How long the aggregator has held the branch, from when its message would have arrived without delay.
    Duration heldFor{};
};

/// The coordinator no longer needs the branch.
struct PartialQueryCancel
{
    QueryId query = 0;
    AttemptId branch = 0;
};

using PartialQueryMessage = std::variant<PartialQueryRequest, PartialQueryReply, PartialQueryCancel>;

} // namespace ragwort

#endif
