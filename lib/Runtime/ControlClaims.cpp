/// \file
/// Implements the control thread's reads and writes of claims in the store.
#include "ragwortcart/Runtime/ControlPlane.h"

#include "ControlTimers.h"
#include "ragwortcart/Support/Log.h"

namespace ragwort {

void ControlPlane::performClaimActions()
{
    for (const ClaimAction &action : this->claims.takeActions()) {
        if (const auto *read = std::get_if<ReadBucket>(&action)) {
            this->readBucket(read->bucket);
        } else if (const auto *write = std::get_if<WriteBucket>(&action)) {
            this->writeBucket(*write);
        } else {
            const ClaimDecided &decided = std::get<DeliverClaim>(action).decided;
            this->postToQueryOwner(decided.query, decided);
        }
    }
    if (const std::optional<Instant> next = this->claims.nextWakeup()) {
        this->claimTimer.start(toTimerMs(*next - steadyNow()) + 1);
    }
}

static std::string bucketKey(int bucket)
{
    return std::string(CLAIMS_PREFIX) + std::to_string(bucket);
}

void ControlPlane::readBucket(int bucket)
{
    this->platform.read(bucketKey(bucket), false, {.index = std::nullopt}, [this, bucket](const Result<KeyValues> &values) {
        std::optional<ClaimManager::BucketContent> content;
        if (values) {
            const bool absent = values->entries.empty();
            content = absent ? ClaimManager::BucketContent{}
                             : ClaimManager::BucketContent{.json = values->entries.front().value.toStdString(), .index = values->entries.front().modifyIndex};
        }
        const std::uint64_t lostBefore = this->claims.status().lost;
        this->claims.onBucketRead(bucket, content, steadyNow(), wallClockMs());
        if (const std::uint64_t lost = this->claims.status().lost - lostBefore; lost > 0) {
            logEvent(LogLevel::warning,
                     "claims-lost-by-store",
                     {{.key = "bucket", .value = std::to_string(bucket)}, {.key = "claims", .value = std::to_string(lost)}});
        }
        this->performClaimActions();
    });
}

void ControlPlane::writeBucket(const WriteBucket &write)
{
    const auto onWritten = [this, bucket = write.bucket](StoreWriteOutcome outcome) {
        BucketWriteOutcome translated = BucketWriteOutcome::unknown;
        if (outcome == StoreWriteOutcome::written) {
            translated = BucketWriteOutcome::written;
        } else if (outcome == StoreWriteOutcome::conflict) {
            translated = BucketWriteOutcome::conflict;
        }
        this->claims.onBucketWritten(bucket, translated, steadyNow(), wallClockMs());
        this->performClaimActions();
    };
    this->platform.write(bucketKey(write.bucket), QByteArray::fromStdString(write.value), write.expectedIndex, onWritten);
}

} // namespace ragwort
