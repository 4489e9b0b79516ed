/// \file
/// Manages the idempotency claims that make an action run at most once. Performs no I/O.
///
/// A claim is an entry in one of a fixed number of buckets in the platform's store. Claims that arrive while a bucket
/// is being written are batched into its next write. Every write is a compare-and-swap. After a failed or unanswered
/// write the bucket is read back, and a claim is then granted only if its token is found there.
///
/// A store that comes back from an older copy has lost what was claimed since. Each manager remembers the claims that it granted, and writes those
/// again that a bucket lacks when it is read next.
#ifndef RAGWORTCART_CONTROL_CLAIMMANAGER_H
#define RAGWORTCART_CONTROL_CLAIMMANAGER_H

#include "ragwortcart/Kernel/KernelMessages.h"
#include "ragwortcart/Support/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwort {

/// Part of the stored format: all instances must map a key to the same bucket.
inline constexpr int CLAIM_BUCKETS = 64;
/// How long a claim is retained.
inline constexpr std::int64_t CLAIM_RETENTION_MS = 24LL * 3600 * 1000;
/// A bucket that would exceed this size accepts no further claims until old ones expire or are released. The limit is
/// below the 1 MiB that the store accepts per value.
inline constexpr std::size_t MAX_CLAIM_BUCKET_BYTES = 900 * 1024;

struct Claim
{
    /// Identifies the one request that may send the action.
    std::string token;
    /// Hash of the action's content; the key is refused for other content.
    std::string fingerprint;
    /// Wall-clock time, because the claim outlives the process.
    std::int64_t claimedAtMs = 0;
    bool ran = false;
    std::string outcome;
};

/// Claims of one bucket by key, which is "team/idempotency key".
using ClaimTable = std::map<std::string, Claim>;

std::string encodeClaims(const ClaimTable &claims);
/// Returns an empty table for an empty string, and nullopt if \p json cannot be parsed.
std::optional<ClaimTable> decodeClaims(const std::string &json);
/// Returns the number of the bucket that holds \p key.
int claimBucket(std::string_view key);

struct ReadBucket
{
    int bucket = 0;
};

struct WriteBucket
{
    int bucket = 0;
    std::string value;
    /// Modify index that the bucket must still have; 0 if it must be absent.
    std::uint64_t expectedIndex = 0;
};

/// Delivers the decision to the query engine that requested the claim.
struct DeliverClaim
{
    ClaimDecided decided;
};

using ClaimAction = std::variant<ReadBucket, WriteBucket, DeliverClaim>;

enum class BucketWriteOutcome {
    written,
    /// The store reported that the bucket had changed.
    conflict,
    /// No reply: the write may already have taken effect or may still do so later.
    unknown,
};

struct ClaimManagerStatus
{
    std::uint64_t granted = 0;
    /// Claims that were answered with `ClaimVerdict::unavailable`.
    std::uint64_t refused = 0;
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unknownWrites = 0;
    /// Claims and outcomes that the store lacked when a bucket was read, although it had acknowledged them.
    std::uint64_t lost = 0;
    /// Pending operations.
    std::size_t open = 0;
};

class ClaimManager
{
public:
    /// \p prefix begins the tokens of all claims of this process and must be unique among all processes that ever run.
    explicit ClaimManager(std::string prefix);

    /// Requests a claim. A DeliverClaim action carries the verdict, which is `ClaimVerdict::unavailable` if none is
    /// reached by the request's deadline.
    void request(const RequestClaim &request, Instant now, std::int64_t wallMs);
    /// Completes or releases the claim that was granted to a query.
    void recordOutcome(const RecordClaimOutcome &outcome, Instant now, std::int64_t wallMs);

    /// The reply to a ReadBucket: its content and modify index, or nullopt if the store did not reply.
    struct BucketContent
    {
        std::string json;
        std::uint64_t index = 0;
    };
    void onBucketRead(int bucketNumber, const std::optional<BucketContent> &content, Instant now, std::int64_t wallMs);
    void onBucketWritten(int bucketNumber, BucketWriteOutcome outcome, Instant now, std::int64_t wallMs);

    /// Fails claims whose deadline has passed and retries failed operations.
    void advance(Instant now, std::int64_t wallMs);
    std::optional<Instant> nextWakeup() const;

    std::vector<ClaimAction> takeActions();
    ClaimManagerStatus status() const;

    /// Returns true if no operation is pending.
    bool idle() const;

private:
    enum class OperationKind { claim, complete, release };

    struct Operation
    {
        OperationKind kind = OperationKind::claim;
        QueryId query = 0;
        std::string key;
        std::string token;
        std::string fingerprint;
        std::string outcome;
        Instant deadline{};
        /// Earliest time at which a claim held by another request is checked again: its outcome may be about to be
        /// recorded.
        Instant notBefore{};
        int heldChecks = 0;
        /// Part of the bucket's last write, until that write is confirmed or the bucket is read again.
        bool inWrite = false;
        /// The engine has received the verdict that the claim is unavailable. If the claim is found in the store after
        /// all, it is released.
        bool abandoned = false;
    };
    enum class BucketPhase { idle, reading, writing };
    struct Bucket
    {
        BucketPhase phase = BucketPhase::idle;
        std::vector<Operation> operations;
        std::optional<Instant> retryAt;
    };
    struct Granted
    {
        std::string key;
        std::string token;
    };

    void startReadIfDue(int bucketNumber, Instant now);
    void applyOperations(int bucketNumber, ClaimTable &claims, std::uint64_t index, Instant now, std::int64_t wallMs);
    /// Resolves one operation against the content of its bucket. Returns true if the operation requires a write.
    /// Sets \p done if it is complete without one.
    bool resolve(Operation &operation, ClaimTable &claims, Instant now, std::int64_t wallMs, bool &done);
    bool resolveClaim(Operation &operation, ClaimTable &claims, Instant now, std::int64_t wallMs, bool &done);
    void resolveHeldClaim(Operation &operation, Instant now, bool &done);
    void deliver(Operation &operation, ClaimVerdict verdict, const std::string &outcome = {});
    void grant(Operation &operation, std::int64_t wallMs);
    /// Adds to \p claims what this manager remembers and the bucket lacks. Returns true if that requires a write.
    bool addRemembered(int bucketNumber, ClaimTable &claims, std::int64_t wallMs);
    /// Remembers that the store holds the outcome of a claim.
    void rememberOutcome(const Operation &operation);

    std::string tokenPrefix;
    std::uint64_t tokenCount = 0;
    std::map<int, Bucket> buckets;
    /// Claims that this instance holds and whose outcome is not yet recorded, by query.
    std::map<QueryId, Granted> granted;
    /// Claims that were granted and not released, by bucket, until they expire. The store has held all of them, so that its limits bound their size.
    std::map<int, ClaimTable> remembered;
    std::vector<ClaimAction> actions;
    ClaimManagerStatus counts;
};

} // namespace ragwort

#endif
