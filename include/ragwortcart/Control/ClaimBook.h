/// \file
/// Claims that make an action run at most once. Without I/O.
///
/// A claim is an entry in one of a fixed number of buckets in the platform's store. Claims that arrive while a bucket is
/// being written go together into its next write. Every write is a compare-and-swap; after any doubt the bucket is read
/// back, and a claim counts as made only when its token is found there.
#ifndef RAGWORTCART_CONTROL_CLAIMBOOK_H
#define RAGWORTCART_CONTROL_CLAIMBOOK_H

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

inline constexpr int CLAIM_BUCKETS = 64;
/// How long a key is remembered.
inline constexpr std::int64_t CLAIM_RETENTION_MS = 24LL * 3600 * 1000;
/// A bucket that has grown to this size takes no more claims until old ones are forgotten.
inline constexpr std::size_t CLAIM_BUCKET_BYTES = 900 * 1024;

struct Claim
{
    /// Names the one request that may send the action.
    std::string token;
    std::string fingerprint;
    std::int64_t claimedAtMs = 0;
    bool ran = false;
    std::string outcome;
};

using ClaimTable = std::map<std::string, Claim>;

std::string encodeClaims(const ClaimTable &claims);
std::optional<ClaimTable> decodeClaims(const std::string &json);
int claimBucket(std::string_view key);

struct ReadBucket
{
    int bucket = 0;
};

struct WriteBucket
{
    int bucket = 0;
    std::string value;
    std::uint64_t expectedIndex = 0;
};

/// To the engine that asked.
struct DeliverClaim
{
    ClaimDecided decided;
};

using ClaimAction = std::variant<ReadBucket, WriteBucket, DeliverClaim>;

enum class BucketWriteOutcome {
    written,
    /// The store answered that the bucket had changed.
    conflict,
    /// No answer: the write may have taken effect, now or later.
    unknown,
};

struct ClaimBookStatus
{
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unknownWrites = 0;
    std::size_t open = 0;
};

class ClaimBook
{
public:
    /// \p instance must differ between any two processes that ever run.
    explicit ClaimBook(std::string instance);

    void request(const RequestClaim &request, Instant now, std::int64_t wallMs);
    void recordOutcome(const RecordClaimOutcome &outcome, Instant now, std::int64_t wallMs);

    /// The answer to a ReadBucket: its content and modify index, or nothing if the store did not answer.
    struct BucketContent
    {
        std::string json;
        std::uint64_t index = 0;
    };
    void onBucketRead(int number, const std::optional<BucketContent> &content, Instant now, std::int64_t wallMs);
    void onBucketWritten(int number, BucketWriteOutcome outcome, Instant now, std::int64_t wallMs);

    /// Gives up on claims whose deadline has passed and tries again what failed.
    void advance(Instant now, std::int64_t wallMs);
    std::optional<Instant> nextWakeup() const;

    std::vector<ClaimAction> takeActions();
    ClaimBookStatus status() const;

    /// True when nothing waits to be written any more.
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
        /// A claim held by another request is looked at again from then on: its outcome may be about to be recorded.
        Instant notBefore{};
        int timesHeld = 0;
        /// Part of the write that is under way or whose outcome is not known.
        bool inWrite = false;
        /// The engine has been told that the claim is not to be had; if it stands all the same it is released.
        bool abandoned = false;
    };
    enum class BucketStep { idle, reading, writing };
    struct Bucket
    {
        BucketStep step = BucketStep::idle;
        std::vector<Operation> operations;
        std::optional<Instant> retryAt;
    };
    struct Granted
    {
        std::string key;
        std::string token;
    };

    void pump(int number, Instant now);
    void applyTo(int number, ClaimTable &claims, std::uint64_t index, Instant now, std::int64_t wallMs);
    /// Settles one operation against the content of its bucket; true when it needs a write.
    bool settle(Operation &operation, ClaimTable &claims, Instant now, std::int64_t wallMs, bool &done);
    bool settleClaim(Operation &operation, ClaimTable &claims, Instant now, std::int64_t wallMs, bool &done);
    void settleHeld(Operation &operation, Instant now, bool &done);
    void deliver(Operation &operation, ClaimVerdict verdict, const std::string &outcome = {});
    void grant(Operation &operation);

    std::string instance;
    std::uint64_t tokenCount = 0;
    std::map<int, Bucket> buckets;
    /// Claims that this instance holds and whose outcome has not been recorded, by query.
    std::map<QueryId, Granted> granted;
    std::vector<ClaimAction> actions;
    ClaimBookStatus counts;
};

} // namespace ragwort

#endif
