/// \file
/// Group commit of claims and settlement of doubtful writes.
#include "ragwortcart/Control/ClaimBook.h"

#include "ragwortcart/Support/Hash.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <cassert>

namespace ragwort {

static constexpr Duration RETRY_INTERVAL = std::chrono::milliseconds(20);
/// A claim held by another request is looked at this often before the caller is told so.
static constexpr int HELD_LOOKS = 4;
static constexpr Duration HELD_LOOK_INTERVAL = std::chrono::milliseconds(25);
/// How long an outcome or a release is tried while the store does not answer.
static constexpr Duration RECORD_TIME = std::chrono::minutes(10);

std::string encodeClaims(const ClaimTable &claims)
{
    QJsonObject object;
    for (const auto &[key, claim] : claims) {
        QJsonObject entry{
            {"token", QString::fromStdString(claim.token)}, {"fp", QString::fromStdString(claim.fingerprint)}, {"at", static_cast<qint64>(claim.claimedAtMs)}};
        if (claim.ran) {
            entry.insert("ran", true);
            entry.insert("outcome", QString::fromStdString(claim.outcome));
        }
        object.insert(QString::fromStdString(key), entry);
    }
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

std::optional<ClaimTable> decodeClaims(const std::string &json)
{
    ClaimTable claims;
    if (json.empty()) {
        return claims;
    }
    QJsonParseError error{};
    const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(json), &error);
    if (error.error != QJsonParseError::NoError || !document.isObject()) {
        return std::nullopt;
    }
    const QJsonObject object = document.object();
    for (auto entry = object.begin(); entry != object.end(); ++entry) {
        const QJsonObject value = entry.value().toObject();
        claims[entry.key().toStdString()] = {.token = value.value("token").toString().toStdString(),
                                             .fingerprint = value.value("fp").toString().toStdString(),
                                             .claimedAtMs = value.value("at").toInteger(),
                                             .ran = value.value("ran").toBool(),
                                             .outcome = value.value("outcome").toString().toStdString()};
    }
    return claims;
}

int claimBucket(std::string_view key)
{
    return static_cast<int>(stableHash(key) % CLAIM_BUCKETS);
}

ClaimBook::ClaimBook(std::string ownInstance) : instance(std::move(ownInstance))
{
}

void ClaimBook::request(const RequestClaim &request, Instant now, std::int64_t wallMs)
{
    (void)wallMs;
    const std::string key = request.team + '/' + request.key;
    const int number = claimBucket(key);
    this->buckets[number].operations.push_back({.kind = OperationKind::claim,
                                                .query = request.query,
                                                .key = key,
                                                .token = this->instance + ':' + std::to_string(++this->tokenCount),
                                                .fingerprint = toHex(request.fingerprint),
                                                .outcome = {},
                                                .deadline = request.deadline});
    this->pump(number, now);
}

void ClaimBook::recordOutcome(const RecordClaimOutcome &outcome, Instant now, std::int64_t wallMs)
{
    (void)wallMs;
    const auto found = this->granted.find(outcome.query);
    if (found == this->granted.end()) {
        return;
    }
    const Granted claim = found->second;
    this->granted.erase(found);
    if (outcome.state == RunState::outcomeUnknown) {
        // The claim stays as it is: nobody may run the action again.
        return;
    }
    const int number = claimBucket(claim.key);
    const OperationKind kind = outcome.state == RunState::ran ? OperationKind::complete : OperationKind::release;
    this->buckets[number].operations.push_back({.kind = kind,
                                                .query = outcome.query,
                                                .key = claim.key,
                                                .token = claim.token,
                                                .fingerprint = {},
                                                .outcome = outcome.outcome,
                                                .deadline = now + RECORD_TIME});
    this->pump(number, now);
}

void ClaimBook::pump(int number, Instant now)
{
    Bucket &bucket = this->buckets[number];
    const bool backingOff = bucket.retryAt && *bucket.retryAt > now;
    const bool anyDue
        = std::any_of(bucket.operations.begin(), bucket.operations.end(), [now](const Operation &operation) { return operation.notBefore <= now; });
    if (bucket.step != BucketStep::idle || !anyDue || backingOff) {
        return;
    }
    bucket.retryAt.reset();
    bucket.step = BucketStep::reading;
    ++this->counts.reads;
    this->actions.emplace_back(ReadBucket{.bucket = number});
}

void ClaimBook::onBucketRead(int number, const std::optional<BucketContent> &content, Instant now, std::int64_t wallMs)
{
    Bucket &bucket = this->buckets[number];
    if (bucket.step != BucketStep::reading) {
        return;
    }
    bucket.step = BucketStep::idle;
    std::optional<ClaimTable> claims = content ? decodeClaims(content->json) : std::nullopt;
    if (!claims) {
        bucket.retryAt = now + RETRY_INTERVAL;
        return;
    }
    this->applyTo(number, *claims, content->index, now, wallMs);
}

void ClaimBook::applyTo(int number, ClaimTable &claims, std::uint64_t index, Instant now, std::int64_t wallMs)
{
    Bucket &bucket = this->buckets[number];
    std::erase_if(claims, [wallMs](const auto &entry) { return entry.second.claimedAtMs + CLAIM_RETENTION_MS < wallMs; });
    std::vector<Operation> left;
    bool needsWrite = false;
    for (Operation &operation : bucket.operations) {
        bool done = false;
        const bool writes = this->settle(operation, claims, now, wallMs, done);
        operation.inWrite = writes;
        needsWrite = needsWrite || writes;
        if (!done) {
            left.push_back(std::move(operation));
        }
    }
    bucket.operations = std::move(left);
    if (!needsWrite) {
        this->pump(number, now);
        return;
    }
    std::string value = encodeClaims(claims);
    if (value.size() > CLAIM_BUCKET_BYTES) {
        std::vector<Operation> kept;
        for (Operation &operation : bucket.operations) {
            if (operation.kind == OperationKind::claim) {
                this->deliver(operation, ClaimVerdict::unavailable);
            } else {
                kept.push_back(std::move(operation));
            }
        }
        bucket.operations = std::move(kept);
        bucket.retryAt = now + RETRY_INTERVAL;
        return;
    }
    bucket.step = BucketStep::writing;
    ++this->counts.writes;
    this->actions.emplace_back(WriteBucket{.bucket = number, .value = std::move(value), .expectedIndex = index});
}

bool ClaimBook::settle(Operation &operation, ClaimTable &claims, Instant now, std::int64_t wallMs, bool &done)
{
    if (operation.kind == OperationKind::claim) {
        return this->settleClaim(operation, claims, now, wallMs, done);
    }
    const auto found = claims.find(operation.key);
    if (found == claims.end() || found->second.token != operation.token) {
        done = true;
        return false;
    }
    if (operation.kind == OperationKind::release) {
        claims.erase(found);
        return true;
    }
    if (found->second.ran) {
        done = true;
        return false;
    }
    found->second.ran = true;
    found->second.outcome = operation.outcome;
    return true;
}

bool ClaimBook::settleClaim(Operation &operation, ClaimTable &claims, Instant now, std::int64_t wallMs, bool &done)
{
    const auto found = claims.find(operation.key);
    if (found == claims.end()) {
        if (operation.abandoned) {
            done = true;
            return false;
        }
        claims[operation.key] = {.token = operation.token, .fingerprint = operation.fingerprint, .claimedAtMs = wallMs, .ran = false, .outcome = {}};
        return true;
    }
    const Claim &claim = found->second;
    if (claim.token == operation.token) {
        if (operation.abandoned) {
            operation.kind = OperationKind::release;
            claims.erase(found);
            return true;
        }
        this->grant(operation);
        done = true;
        return false;
    }
    done = true;
    if (operation.abandoned) {
        return false;
    }
    if (claim.fingerprint != operation.fingerprint) {
        this->deliver(operation, ClaimVerdict::contentDiffers);
    } else if (claim.ran) {
        this->deliver(operation, ClaimVerdict::alreadyRan, claim.outcome);
    } else {
        this->settleHeld(operation, now, done);
    }
    return false;
}

void ClaimBook::settleHeld(Operation &operation, Instant now, bool &done)
{
    const bool timeLeft = now + HELD_LOOK_INTERVAL < operation.deadline;
    if (timeLeft && ++operation.timesHeld < HELD_LOOKS) {
        operation.notBefore = now + HELD_LOOK_INTERVAL;
        done = false;
        return;
    }
    this->deliver(operation, ClaimVerdict::heldElsewhere);
}

void ClaimBook::grant(Operation &operation)
{
    this->granted[operation.query] = {.key = operation.key, .token = operation.token};
    ++this->counts.granted;
    this->deliver(operation, ClaimVerdict::granted);
}

void ClaimBook::deliver(Operation &operation, ClaimVerdict verdict, const std::string &outcome)
{
    if (verdict == ClaimVerdict::unavailable) {
        ++this->counts.refused;
    }
    this->actions.emplace_back(DeliverClaim{.decided = {.query = operation.query, .verdict = verdict, .recordedOutcome = outcome}});
}

void ClaimBook::onBucketWritten(int number, BucketWriteOutcome outcome, Instant now, std::int64_t wallMs)
{
    (void)wallMs;
    Bucket &bucket = this->buckets[number];
    if (bucket.step != BucketStep::writing) {
        return;
    }
    bucket.step = BucketStep::idle;
    if (outcome == BucketWriteOutcome::written) {
        std::vector<Operation> left;
        for (Operation &operation : bucket.operations) {
            if (!operation.inWrite) {
                left.push_back(std::move(operation));
                continue;
            }
            operation.inWrite = false;
            if (operation.kind != OperationKind::claim) {
                continue;
            }
            if (operation.abandoned) {
                left.push_back(std::move(operation));
                continue;
            }
            this->grant(operation);
        }
        bucket.operations = std::move(left);
        this->pump(number, now);
        return;
    }
    ++(outcome == BucketWriteOutcome::conflict ? this->counts.conflicts : this->counts.unknownWrites);
    if (outcome == BucketWriteOutcome::unknown) {
        bucket.retryAt = now + RETRY_INTERVAL;
        return;
    }
    this->pump(number, now);
}

void ClaimBook::advance(Instant now, std::int64_t wallMs)
{
    (void)wallMs;
    for (auto &[number, bucket] : this->buckets) {
        for (Operation &operation : bucket.operations) {
            if (operation.deadline > now || operation.abandoned) {
                continue;
            }
            if (operation.kind == OperationKind::claim) {
                this->deliver(operation, ClaimVerdict::unavailable);
                operation.abandoned = true;
                operation.deadline = now + RECORD_TIME;
            }
        }
        std::erase_if(bucket.operations, [now](const Operation &operation) {
            const bool gaveUp = operation.deadline <= now && (operation.abandoned || operation.kind != OperationKind::claim);
            return gaveUp && !operation.inWrite;
        });
        this->pump(number, now);
    }
}

std::optional<Instant> ClaimBook::nextWakeup() const
{
    std::optional<Instant> earliest;
    const auto consider = [&earliest](Instant at) { earliest = earliest ? std::min(*earliest, at) : at; };
    for (const auto &[number, bucket] : this->buckets) {
        if (bucket.operations.empty()) {
            continue;
        }
        if (bucket.retryAt) {
            consider(*bucket.retryAt);
        }
        for (const Operation &operation : bucket.operations) {
            if (operation.kind == OperationKind::claim && !operation.abandoned) {
                consider(operation.deadline);
            }
            if (operation.notBefore > Instant{} && bucket.step == BucketStep::idle) {
                consider(operation.notBefore);
            }
        }
    }
    return earliest;
}

std::vector<ClaimAction> ClaimBook::takeActions()
{
    return std::exchange(this->actions, {});
}

ClaimBookStatus ClaimBook::status() const
{
    ClaimBookStatus status = this->counts;
    for (const auto &[number, bucket] : this->buckets) {
        status.open += bucket.operations.size();
    }
    return status;
}

bool ClaimBook::idle() const
{
    return std::all_of(this->buckets.begin(), this->buckets.end(), [](const auto &entry) { return entry.second.operations.empty(); });
}

} // namespace ragwort
