/// \file
/// Implements the permits of one backend server and the moving averages of its latency and failures.
#include "ragwortcart/Kernel/ServerRecord.h"

#include <algorithm>
#include <cassert>

namespace ragwort {

/// Divisor of the moving average of latency.
static constexpr std::int64_t LATENCY_AVERAGE_DIVISOR = 8;
/// Divisor of the moving average of failures.
static constexpr int FAILURE_AVERAGE_DIVISOR = 6;
/// A server that accepts less is still asked at this rate, in thousandths of a request per second, to learn when the limit ends.
static constexpr std::int64_t MINIMUM_ACCEPTED_MILLI_RATE = 200;
static constexpr std::int64_t MILLI_PER_UNIT = 1000;
/// Part of a pause by which an instance may return later than the server asks.
static constexpr double RESUME_SPREAD = 0.25;

void ServerRecord::setExclusion(Exclusion exclusion, bool present)
{
    if (present) {
        this->exclusions.fetch_or(exclusion, std::memory_order_acq_rel);
        return;
    }
    this->exclusions.fetch_and(~static_cast<std::uint32_t>(exclusion), std::memory_order_acq_rel);
}

int ServerRecord::limit(Instant now) const
{
    const int resume = this->resumePermits.load(std::memory_order_relaxed);
    const int share = this->warmShare.load(std::memory_order_relaxed);
    const int warm = resume > 0 ? std::min(share, resume) : share;
    const std::int64_t confirmed = this->confirmedAtUs.load(std::memory_order_relaxed);
    const bool unconfirmed = confirmed != 0 && now - Instant(Duration(confirmed)) > CONFIRMATION_LIFETIME;
    if (!unconfirmed && !this->cold.load(std::memory_order_acquire) && !this->coldSuspected.load(std::memory_order_acquire)) {
        return warm;
    }
    const int ownerShare = this->ownsWarmUp(now) ? this->coldOwnerShare.load(std::memory_order_relaxed) : 0;
    return std::min(warm, ownerShare + this->coldShare.load(std::memory_order_relaxed));
}

void ServerRecord::confirm(Instant when)
{
    const std::int64_t sample = when.time_since_epoch().count();
    std::int64_t current = this->confirmedAtUs.load(std::memory_order_relaxed);
    while (current < sample && !this->confirmedAtUs.compare_exchange_weak(current, sample, std::memory_order_relaxed)) { }
}

bool ServerRecord::tryAcquire(Instant now)
{
    if (!this->mayStartRequest(now)) {
        return false;
    }
    int current = this->inFlight.load(std::memory_order_relaxed);
    while (current < this->limit(now)) {
        if (this->inFlight.compare_exchange_weak(current, current + 1, std::memory_order_acq_rel)) {
            this->sent.fetch_add(1, std::memory_order_relaxed);
            if (this->isRateLimited()) {
                this->limitedNextRequestUs.store((now + this->limitedInterval()).time_since_epoch().count(), std::memory_order_relaxed);
            }
            if (this->isAnnouncedCold(now)) {
                this->announcedColdNextRequestUs.store(now.time_since_epoch().count() + this->announcedColdIntervalUs.load(std::memory_order_relaxed),
                                                       std::memory_order_relaxed);
            }
            return true;
        }
    }
    return false;
}

Duration ServerRecord::limitedInterval() const
{
    const std::int64_t milliRate = this->acceptedMilliRate.load(std::memory_order_relaxed);
    assert(milliRate > 0 && "the server is rate limited");
    const Duration unit = std::chrono::seconds(1);
    return unit * MILLI_PER_UNIT * this->rateSharers.load(std::memory_order_relaxed) / milliRate;
}

bool ServerRecord::limitRate(double requestsPerSecond, double phase, Instant now)
{
    const auto milliRate = std::max(static_cast<std::int64_t>(requestsPerSecond * MILLI_PER_UNIT), MINIMUM_ACCEPTED_MILLI_RATE);
    this->limitStatedAtUs.store(now.time_since_epoch().count(), std::memory_order_relaxed);
    const bool begins = this->acceptedMilliRate.exchange(milliRate, std::memory_order_relaxed) == 0;
    const Duration interval = this->limitedInterval();
    // Under a higher rate the request that is due under the previous one may be too far ahead.
    const Instant previouslyDue = begins ? Instant::max() : this->nextLimitedRequest();
    const Instant latestDue = now + (begins ? Duration(static_cast<std::int64_t>(static_cast<double>(interval.count()) * phase)) : interval);
    this->limitedNextRequestUs.store(std::min(previouslyDue, latestDue).time_since_epoch().count(), std::memory_order_relaxed);
    return begins;
}

bool ServerRecord::endRateLimit(Instant sentAt)
{
    const bool outdated = sentAt.time_since_epoch().count() <= this->limitStatedAtUs.load(std::memory_order_relaxed);
    return !outdated && this->acceptedMilliRate.exchange(0, std::memory_order_relaxed) > 0;
}

bool ServerRecord::startPause(Duration pause, double phase, Instant now)
{
    const auto delay = Duration(static_cast<std::int64_t>(static_cast<double>(pause.count()) * RESUME_SPREAD * phase));
    const std::int64_t until = (now + pause + delay).time_since_epoch().count();
    std::int64_t current = this->pausedUntilUs.load(std::memory_order_relaxed);
    while (current < until && !this->pausedUntilUs.compare_exchange_weak(current, until, std::memory_order_relaxed)) { }
    this->resumePermits.store(1, std::memory_order_relaxed);
    return !this->pauseStated.exchange(true, std::memory_order_relaxed);
}

bool ServerRecord::recordServedAfterPause(Instant now)
{
    const int permits = this->resumePermits.load(std::memory_order_relaxed);
    if (permits == 0 || this->isPaused(now)) {
        return false;
    }
    const bool ended = permits >= this->warmShare.load(std::memory_order_relaxed);
    this->resumePermits.store(ended ? 0 : permits + 1, std::memory_order_relaxed);
    return this->pauseStated.exchange(false, std::memory_order_relaxed);
}

void ServerRecord::inheritStatement(const ServerRecord &previous)
{
    this->setExclusion(statedLeaving, (previous.exclusions.load(std::memory_order_acquire) & statedLeaving) != 0);
    this->pausedUntilUs.store(previous.pausedUntilUs.load(std::memory_order_relaxed), std::memory_order_relaxed);
    this->resumePermits.store(previous.resumePermits.load(std::memory_order_relaxed), std::memory_order_relaxed);
    this->pauseStated.store(previous.pauseStated.load(std::memory_order_relaxed), std::memory_order_relaxed);
}

Instant ServerRecord::nextAcceptedRequest() const
{
    return this->isRateLimited() ? std::max(this->nextLimitedRequest(), this->pauseEnd()) : this->pauseEnd();
}

void ServerRecord::release()
{
    const int before = this->inFlight.fetch_sub(1, std::memory_order_acq_rel);
    assert(before > 0 && "a permit was released twice");
    (void)before;
}

void ServerRecord::recordServed(bool served, Instant now)
{
    const int sample = served ? 0 : 1000;
    int current = this->failurePerMille.load(std::memory_order_relaxed);
    int next = 0;
    do {
        next = current + (sample - current) / FAILURE_AVERAGE_DIVISOR;
    } while (!this->failurePerMille.compare_exchange_weak(current, next, std::memory_order_relaxed));
    if (!served) {
        this->latencyAtUs.store(now.time_since_epoch().count(), std::memory_order_relaxed);
    }
}

void ServerRecord::recordPeerWarning(int badPerMille, Instant now)
{
    this->peerBadPerMille.store(std::clamp(badPerMille, 0, 1000), std::memory_order_relaxed);
    this->peerWarnedAtUs.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

void ServerRecord::recordLatency(Duration latency, Instant now)
{
    this->latencyAtUs.store(now.time_since_epoch().count(), std::memory_order_relaxed);
    const std::int64_t sample = std::max<std::int64_t>(latency.count(), 1);
    std::int64_t current = this->latencyUs.load(std::memory_order_relaxed);
    std::int64_t next = 0;
    do {
        next = current == 0 ? sample : current + (sample - current) / LATENCY_AVERAGE_DIVISOR;
    } while (!this->latencyUs.compare_exchange_weak(current, next, std::memory_order_relaxed));
}

} // namespace ragwort
