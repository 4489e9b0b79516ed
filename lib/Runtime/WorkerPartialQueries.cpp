/// \file
/// Implements a worker's side of divided queries: it gathers shards for other instances, and passes their answers to its engine.
#include "ragwortcart/Model/Route.h"
#include "ragwortcart/Runtime/Worker.h"
#include "ragwortcart/Support/Hash.h"
#include "ragwortcart/Support/Log.h"
#include "ragwortcart/Support/Visitor.h"
#include "ragwortcart/Wire/PartialQueryCodec.h"

namespace ragwort {

/// Reason in the reply to a branch that has arrived too late to be of use.
static constexpr const char *ARRIVED_TOO_LATE = "arrived-too-late";

void Worker::onPartialQueryMessage(const std::string &peer, const std::string &bytes)
{
    this->loop.post([this, peer, bytes] {
        Result<PartialQueryMessage> message = decodePartialQueryMessage(bytes, peer);
        if (!message) {
            logEvent(LogLevel::warning, "peer-message-rejected", {{.key = "error", .value = message.error().describe()}});
            return;
        }
        std::visit(
            Visitor{[&](const PartialQueryRequest &request) { this->acceptBranch(peer, request); },
                    [&](PartialQueryReply &reply) { this->handle(PartialQueryAnswered{.aggregator = peer, .reply = std::move(reply)}); },
                    [&](const PartialQueryCancel &cancel) { this->cancelBranch({.coordinator = peer, .query = cancel.query, .branch = cancel.branch}); }},
            *message);
    });
}

void Worker::onPeerLink(const std::string &peer, bool up)
{
    this->loop.post([this, peer, up] {
        this->delays.erase(peer);
        if (!up) {
            this->cancelBranchesOf(peer);
        }
        this->handle(PeerLinkChanged{.peer = peer, .up = up});
    });
}

void Worker::acceptBranch(const std::string &peer, const PartialQueryRequest &partial)
{
    const Instant now = steadyNow();
    const BranchKey key{.coordinator = peer, .query = partial.query, .branch = partial.branch};
    const Duration delay = this->delays[peer].delayOf(partial.sentAtUs, now);
    if (delay >= partial.timeLeft) {
        this->replyToCoordinator(key, {.state = RunState::notRun, .reason = ARRIVED_TOO_LATE}, delay);
        return;
    }
    // A coordinator that has restarted may use the numbers of an earlier branch.
    this->cancelBranch(key);
    const std::shared_ptr<const Configuration> configured = this->configuration.get();
    const Route *route = configured->routes ? configured->routes->find(partial.route) : nullptr;
    QueryRequest request{.id = this->nextQueryId(),
                         .team = route == nullptr ? std::string() : route->host,
                         .kind = partial.route,
                         .arrival = now,
                         .deadline = now + partial.timeLeft - delay};
    request.fingerprint
        = partial.contentFingerprint != 0 ? partial.contentFingerprint : stableHash(partial.forwarded->body, stableHash(partial.forwarded->target));
    request.work = ForwardedCall{.request = partial.forwarded,
                                 .route = partial.route,
                                 .selection = ShardSelection{.first = partial.firstShard,
                                                             .count = partial.shardCount,
                                                             .minimum = partial.minimumShards,
                                                             .routeRevision = partial.routeRevision,
                                                             .answerBy = now + std::max(partial.answerWithin - delay, Duration::zero())}};
    this->branches[key] = request.id;
    this->queriesById[request.id] = {.ingress = this,
                                     .exchange = nullptr,
                                     .team = request.team,
                                     .kind = request.kind,
                                     .repeatable = true,
                                     .arrival = request.arrival,
                                     .requestId = partial.forwarded->callerRequestId,
                                     .branch = key,
                                     .branchDelay = delay};
    this->openQueryCount.fetch_add(1, std::memory_order_acq_rel);
    this->acceptedBranches.add();
    this->handle(QueryArrived{.request = std::move(request)});
}

void Worker::cancelBranch(const BranchKey &key)
{
    const auto found = this->branches.find(key);
    if (found == this->branches.end()) {
        return;
    }
    const QueryId id = found->second;
    this->branches.erase(found);
    this->handle(CallerDisconnected{.query = id});
}

void Worker::cancelBranchesOf(const std::string &coordinator)
{
    std::vector<BranchKey> open;
    for (const auto &[key, id] : this->branches) {
        if (key.coordinator == coordinator) {
            open.push_back(key);
        }
    }
    for (const BranchKey &key : open) {
        this->cancelBranch(key);
    }
}

void Worker::replyToCoordinator(const BranchKey &key, const Answer &answer, Duration heldFor)
{
    PartialQueryReply reply{.query = key.query,
                            .branch = key.branch,
                            .success = answer.success,
                            .state = answer.state,
                            .reason = answer.reason,
                            .records = {},
                            .retryAfter = answer.retryAfter,
                            .attempts = answer.attempts,
                            .hedges = answer.hedges,
                            .retries = answer.retries,
                            .heldFor = heldFor};
    if (const auto *records = std::get_if<MergedRecords>(&answer.forwarded)) {
        reply.records = *records;
    }
    this->branches.erase(key);
    this->options.sendToPeer(key.coordinator, encodePartialQueryMessage(reply));
}

} // namespace ragwort
