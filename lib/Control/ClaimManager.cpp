/// \file
/// Implements the encoding of claims, their batched writes and the resolution of writes whose outcome is unknown.
#include "ragwortcart/Control/ClaimManager.h"

#include "ragwortcart/Support/Hash.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <cassert>

namespace ragwort {

/// Delay before a bucket is read again after a failed read, an unanswered write, or while it is full.
static constexpr Duration RETRY_INTERVAL = std::chrono::milliseconds(20);
/// Number of times a claim held by another request is checked before the verdict is `ClaimVerdict::heldElsewhere`.
static constexpr int MAX_HELD_CHECKS = 4;
static constexpr Duration HELD_CHECK_INTERVAL = std::chrono::milliseconds(25);
/// How long an outcome, a release or the check of an abandoned claim is retried while the store is unavailable.
static constexpr Duration RECORD_TIMEOUT = std::chrono::minutes(10);

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

ClaimManager::ClaimManager(std::string prefix) : tokenPrefix(std::move(prefix))
{
}

void ClaimManager::request(const RequestClaim &request, Instant now, std::int64_t wallMs)
{
    (void)wallMs;
    const std::string key = request.team + '/' + request.key;
    const int bucketNumber = claimBucket(key);
    this->buckets[bucketNumber].operations.push_back({.kind = OperationKind::claim,
                                                      .query = request.query,
                                                      .key = key,
                                                      .token = this->tokenPrefix + ':' + std::to_string(++this->tokenCount),
                                                      .fingerprint = toHex(request.fingerprint),
                                                      .outcome = {},
                                                      .deadline = request.deadline});
    this->startReadIfDue(bucketNumber, now);
}

void ClaimManager::recordOutcome(const RecordClaimOutcome &outcome, Instant now, std::int64_t wallMs)
{
    (void)wallMs;
    const auto found = this->granted.find(outcome.query);
    if (found == this->granted.end()) {
        return;
    }
    const Granted claim = found->second;
    this->granted.erase(found);
    if (outcome.state == RunState::outcomeUnknown) {
        // The claim is kept so that no request can run the action again.
        return;
    }
    const int bucketNumber = claimBucket(claim.key);
    if (outcome.state == RunState::notRun) {
        std::erase_if(this->remembered[bucketNumber], [&claim](const auto &entry) { return entry.first == claim.key && entry.second.token == claim.token; });
    }
    const OperationKind kind = outcome.state == RunState::ran ? OperationKind::complete : OperationKind::release;
    this->buckets[bucketNumber].operations.push_back({.kind = kind,
                                                      .query = outcome.query,
                                                      .key = claim.key,
                                                      .token = claim.token,
                                                      .fingerprint = {},
                                                      .outcome = outcome.outcome,
                                                      .deadline = now + RECORD_TIMEOUT});
    this->startReadIfDue(bucketNumber, now);
}

void ClaimManager::startReadIfDue(int bucketNumber, Instant now)
{
    Bucket &bucket = this->buckets[bucketNumber];
    const bool backingOff = bucket.retryAt && *bucket.retryAt > now;
    const bool anyDue
        = std::any_of(bucket.operations.begin(), bucket.operations.end(), [now](const Operation &operation) { return operation.notBefore <= now; });
    if (bucket.phase != BucketPhase::idle || !anyDue || backingOff) {
        return;
    }
    bucket.retryAt.reset();
    bucket.phase = BucketPhase::reading;
    ++this->counts.reads;
    this->actions.emplace_back(ReadBucket{.bucket = bucketNumber});
}

void ClaimManager::onBucketRead(int bucketNumber, const std::optional<BucketContent> &content, Instant now, std::int64_t wallMs)
{
    Bucket &bucket = this->buckets[bucketNumber];
    if (bucket.phase != BucketPhase::reading) {
        return;
    }
    bucket.phase = BucketPhase::idle;
    std::optional<ClaimTable> claims = content ? decodeClaims(content->json) : std::nullopt;
    if (!claims) {
        bucket.retryAt = now + RETRY_INTERVAL;
        return;
    }
    this->applyOperations(bucketNumber, *claims, content->index, now, wallMs);
}

static void eraseExpired(ClaimTable &claims, std::int64_t wallMs)
{
    std::erase_if(claims, [wallMs](const auto &entry) { return entry.second.claimedAtMs + CLAIM_RETENTION_MS < wallMs; });
}

bool ClaimManager::addRemembered(int bucketNumber, ClaimTable &claims, std::int64_t wallMs)
{
    ClaimTable &known = this->remembered[bucketNumber];
    eraseExpired(known, wallMs);
    bool added = false;
    for (const auto &[key, claim] : known) {
        const auto [found, isMissing] = claims.try_emplace(key, claim);
        const bool lacksOutcome = found->second.token == claim.token && claim.ran && !found->second.ran;
        if (lacksOutcome) {
            found->second = claim;
        }
        if (isMissing || lacksOutcome) {
            ++this->counts.lost;
            added = true;
        }
    }
    return added;
}

void ClaimManager::rememberOutcome(const Operation &operation)
{
    ClaimTable &known = this->remembered[claimBucket(operation.key)];
    const auto found = known.find(operation.key);
    if (found != known.end() && found->second.token == operation.token) {
        found->second.ran = true;
        found->second.outcome = operation.outcome;
    }
}

void ClaimManager::applyOperations(int bucketNumber, ClaimTable &claims, std::uint64_t index, Instant now, std::int64_t wallMs)
{
    Bucket &bucket = this->buckets[bucketNumber];
    eraseExpired(claims, wallMs);
    std::vector<Operation> remaining;
    bool needsWrite = this->addRemembered(bucketNumber, claims, wallMs);
    for (Operation &operation : bucket.operations) {
        bool done = false;
        const bool writes = this->resolve(operation, claims, now, wallMs, done);
        operation.inWrite = writes;
        needsWrite = needsWrite || writes;
        if (!done) {
            remaining.push_back(std::move(operation));
        }
    }
    bucket.operations = std::move(remaining);
    if (!needsWrite) {
        this->startReadIfDue(bucketNumber, now);
        return;
    }
    std::string value = encodeClaims(claims);
    if (value.size() > MAX_CLAIM_BUCKET_BYTES) {
        // The bucket is full and refuses claims. Outcomes and releases are retried, because they belong to claims that
        // it already holds.
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
    bucket.phase = BucketPhase::writing;
    ++this->counts.writes;
    this->actions.emplace_back(WriteBucket{.bucket = bucketNumber, .value = std::move(value), .expectedIndex = index});
}

bool ClaimManager::resolve(Operation &operation, ClaimTable &claims, Instant now, std::int64_t wallMs, bool &done)
{
    if (operation.kind == OperationKind::claim) {
        return this->resolveClaim(operation, claims, now, wallMs, done);
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
        this->rememberOutcome(operation);
        done = true;
        return false;
    }
    found->second.ran = true;
    found->second.outcome = operation.outcome;
    return true;
}

bool ClaimManager::resolveClaim(Operation &operation, ClaimTable &claims, Instant now, std::int64_t wallMs, bool &done)
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
        this->grant(operation, wallMs);
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
        this->resolveHeldClaim(operation, now, done);
    }
    return false;
}

void ClaimManager::resolveHeldClaim(Operation &operation, Instant now, bool &done)
{
    const bool timeLeft = now + HELD_CHECK_INTERVAL < operation.deadline;
    if (timeLeft && ++operation.heldChecks < MAX_HELD_CHECKS) {
        operation.notBefore = now + HELD_CHECK_INTERVAL;
        done = false;
        return;
    }
    this->deliver(operation, ClaimVerdict::heldElsewhere);
}

void ClaimManager::grant(Operation &operation, std::int64_t wallMs)
{
    this->granted[operation.query] = {.key = operation.key, .token = operation.token};
    this->remembered[claimBucket(operation.key)][operation.key]
        = {.token = operation.token, .fingerprint = operation.fingerprint, .claimedAtMs = wallMs, .ran = false, .outcome = {}};
    ++this->counts.granted;
    this->deliver(operation, ClaimVerdict::granted);
}

void ClaimManager::deliver(Operation &operation, ClaimVerdict verdict, const std::string &outcome)
{
    if (verdict == ClaimVerdict::unavailable) {
        ++this->counts.refused;
    }
    this->actions.emplace_back(DeliverClaim{.decided = {.query = operation.query, .verdict = verdict, .recordedOutcome = outcome}});
}

void ClaimManager::onBucketWritten(int bucketNumber, BucketWriteOutcome outcome, Instant now, std::int64_t wallMs)
{
    Bucket &bucket = this->buckets[bucketNumber];
    if (bucket.phase != BucketPhase::writing) {
        return;
    }
    bucket.phase = BucketPhase::idle;
    if (outcome == BucketWriteOutcome::written) {
        std::vector<Operation> remaining;
        for (Operation &operation : bucket.operations) {
            if (!operation.inWrite) {
                remaining.push_back(std::move(operation));
                continue;
            }
            operation.inWrite = false;
            if (operation.kind != OperationKind::claim) {
                if (operation.kind == OperationKind::complete) {
                    this->rememberOutcome(operation);
                }
                continue;
            }
            if (operation.abandoned) {
                remaining.push_back(std::move(operation));
                continue;
            }
            this->grant(operation, wallMs);
        }
        bucket.operations = std::move(remaining);
        this->startReadIfDue(bucketNumber, now);
        return;
    }
    ++(outcome == BucketWriteOutcome::conflict ? this->counts.conflicts : this->counts.unknownWrites);
    if (outcome == BucketWriteOutcome::unknown) {
        bucket.retryAt = now + RETRY_INTERVAL;
        return;
    }
    this->startReadIfDue(bucketNumber, now);
}

void ClaimManager::advance(Instant now, std::int64_t wallMs)
{
    (void)wallMs;
    for (auto &[bucketNumber, bucket] : this->buckets) {
        for (Operation &operation : bucket.operations) {
            if (operation.deadline > now || operation.abandoned) {
                continue;
            }
            if (operation.kind == OperationKind::claim) {
                this->deliver(operation, ClaimVerdict::unavailable);
                operation.abandoned = true;
                operation.deadline = now + RECORD_TIMEOUT;
            }
        }
        std::erase_if(bucket.operations, [now](const Operation &operation) {
            const bool expired = operation.deadline <= now && (operation.abandoned || operation.kind != OperationKind::claim);
            return expired && !operation.inWrite;
        });
        this->startReadIfDue(bucketNumber, now);
    }
}

std::optional<Instant> ClaimManager::nextWakeup() const
{
    std::optional<Instant> earliest;
    const auto consider = [&earliest](Instant at) { earliest = earliest ? std::min(*earliest, at) : at; };
    for (const auto &[bucketNumber, bucket] : this->buckets) {
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
            if (operation.notBefore > Instant{} && bucket.phase == BucketPhase::idle) {
                consider(operation.notBefore);
            }
        }
    }
    return earliest;
}

std::vector<ClaimAction> ClaimManager::takeActions()
{
    return std::exchange(this->actions, {});
}

ClaimManagerStatus ClaimManager::status() const
{
    ClaimManagerStatus status = this->counts;
    for (const auto &[bucketNumber, bucket] : this->buckets) {
        status.open += bucket.operations.size();
    }
    return status;
}

bool ClaimManager::idle() const
{
    return std::all_of(this->buckets.begin(), this->buckets.end(), [](const auto &entry) { return entry.second.operations.empty(); });
}

} // namespace ragwort
