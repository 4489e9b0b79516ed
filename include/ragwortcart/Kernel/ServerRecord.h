/// \file
/// State of one backend server as observed by an entry instance, shared by the threads of the instance through atomics.
#ifndef RAGWORTCART_KERNEL_SERVERRECORD_H
#define RAGWORTCART_KERNEL_SERVERRECORD_H

#include "ragwortcart/Support/Clock.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace ragwort {

/// The immutable part of a server's description, as registered with the platform.
struct ServerIdentity
{
    std::string id;
    /// IP address and port.
    std::string address;
    std::string team;
    std::string group;
    std::string service;
    std::string domain;
    /// Maximum number of requests that the server runs concurrently.
    int slots = 1;
};

/// Time after the last confirmation during which a server is assumed not to have restarted.
inline constexpr Duration CONFIRMATION_LIFETIME = std::chrono::milliseconds(2500);

/// Live state of one backend server as observed by this instance.
class ServerRecord
{
public:
    explicit ServerRecord(ServerIdentity serverIdentity) : identity(std::move(serverIdentity))
    {
    }

    const ServerIdentity identity;

    /// The bits of `exclusions`: the reasons for which the server receives no new requests. The state dump shows them
    /// as a number.
    enum Exclusion : std::uint32_t {
        /// The platform lists the server as leaving.
        leaving = 1U << 0,
        /// The failure domain of the server is configured as out of service.
        domainOut = 1U << 1,
        /// The server itself is configured as out of service.
        serverOut = 1U << 2,
        /// The server or its registration reports that it is draining.
        draining = 1U << 3,
        /// The server is in another failure domain, and the configuration of this instance may be stale.
        staleConfiguration = 1U << 4,
        /// The server is no longer registered, or its address belongs to another server.
        gone = 1U << 5,
        /// The server has stated in a response that it is about to leave. Never taken back: only another process stays.
        statedLeaving = 1U << 6,
    };

    bool isExcluded() const
    {
        return this->exclusions.load(std::memory_order_acquire) != 0;
    }
    void setExclusion(Exclusion exclusion, bool present);

    /// Acquires one of this instance's permits for a request. Returns false if all are in use, or if the server is
    /// announced as cold and no request is due.
    bool tryAcquire(Instant now);
    void release();

    /// Returns whether `tryAcquire()` would succeed; another thread may acquire the last permit in the meantime.
    bool hasPermit(Instant now) const
    {
        return this->mayStartRequest(now) && this->inFlight.load(std::memory_order_relaxed) < this->limit(now);
    }

    /// Records that the server was known to have the incarnation `incarnation` at \p when.
    void confirm(Instant when);

    /// Returns the number of permits in force: the warm share, or the warm-up share of a cold server. A server whose
    /// last confirmation is older than `CONFIRMATION_LIFETIME` may have restarted and is treated as cold.
    int limit(Instant now) const;

    /// Returns the moving average of latency in microseconds; zero before the first response.
    std::int64_t meanLatencyUs() const
    {
        return this->latencyUs.load(std::memory_order_relaxed);
    }
    void recordLatency(Duration latency, Instant now);

    /// Updates the moving average of failures with the outcome of an attempt; refusals count as failures.
    void recordServed(bool served, Instant now);
    /// Counts a completed attempt for the attempt counts sent to the relays of the domain. An attempt is bad if it was
    /// slow or failed.
    void recordAttemptEnd(bool bad)
    {
        this->endedAttempts.fetch_add(1, std::memory_order_relaxed);
        this->badAttempts.fetch_add(bad ? 1 : 0, std::memory_order_relaxed);
    }
    /// Records a relay's warning: the share of bad attempts over all instances of the domain.
    void recordPeerWarning(int badPerMille, Instant now);

    /// Records that the server responded, with any outcome.
    void recordResponseSeen()
    {
        this->unansweredAttempts.store(0, std::memory_order_relaxed);
    }

    /// Returns true while this instance owns the warm-up: it alone may send requests at level zero, and it advances the
    /// level.
    bool ownsWarmUp(Instant now) const
    {
        return now.time_since_epoch().count() < this->coldOwnerUntilUs.load(std::memory_order_acquire);
    }

    /// Returns whether the server is avoided after repeated failures.
    bool isEjected(Instant now) const
    {
        return now.time_since_epoch().count() < this->ejectedUntilUs.load(std::memory_order_relaxed);
    }

    /// Returns whether the server is in the warm-up time that it announced in its registration.
    bool isAnnouncedCold(Instant now) const
    {
        return now.time_since_epoch().count() < this->announcedColdUntilUs.load(std::memory_order_relaxed);
    }

    /// Returns false if the server is announced as cold or holds this instance back, and the next request is not yet due.
    bool mayStartRequest(Instant now) const
    {
        const bool coldRequestDue
            = !this->isAnnouncedCold(now) || now.time_since_epoch().count() >= this->announcedColdNextRequestUs.load(std::memory_order_relaxed);
        return coldRequestDue && !this->isPaused(now) && (!this->isRateLimited() || now >= this->nextLimitedRequest());
    }

    /// Returns whether the server has asked for a pause that has not ended.
    bool isPaused(Instant now) const
    {
        return now < this->pauseEnd();
    }
    /// Returns the time until which the server wants no requests from this instance.
    Instant pauseEnd() const
    {
        return Instant(Duration(this->pausedUntilUs.load(std::memory_order_relaxed)));
    }
    /// Records that the server wants no requests from this instance for \p pause. This instance waits up to `RESUME_SPREAD` of \p pause
    /// longer, in proportion to \p phase (0 to 1), so that the instances do not all return at once. Returns true if the server had not
    /// asked for a pause before, or has served requests since.
    bool startPause(Duration pause, double phase, Instant now);
    /// Records that the server has served a request after a pause, which raises the number of permits by one. Returns true if it is the first
    /// one.
    bool recordServedAfterPause(Instant now);
    /// Takes over what \p previous, another record of the same server process, states.
    void inheritStatement(const ServerRecord &previous);

    /// Returns whether the server states a limit or a pause that may delay this instance's requests.
    bool holdsBack(Instant now) const
    {
        return this->isRateLimited() || this->isPaused(now);
    }
    /// Returns the earliest time of this instance's next request under the limit and the pause that the server states.
    Instant nextAcceptedRequest() const;

    /// Returns whether the server states a limit of the requests that it accepts.
    bool isRateLimited() const
    {
        return this->acceptedMilliRate.load(std::memory_order_relaxed) > 0;
    }
    /// Returns the minimum interval between two requests of this instance under the server's limit, which all instances share equally. The
    /// server must be rate limited.
    Duration limitedInterval() const;
    /// Returns the earliest time of this instance's next request under the server's limit.
    Instant nextLimitedRequest() const
    {
        return Instant(Duration(this->limitedNextRequestUs.load(std::memory_order_relaxed)));
    }
    /// Records that the server accepts \p requestsPerSecond from all instances together. The first request under a new limit is due after
    /// \p phase of the interval, from 0 to 1, so that the instances do not all send at once. Returns true if the server stated no limit
    /// before.
    bool limitRate(double requestsPerSecond, double phase, Instant now);
    /// Records that the response to a request sent at \p sentAt stated no limit. Returns true if that ends the limit: responses to requests
    /// that are older than the statement do not.
    bool endRateLimit(Instant sentAt);

    /// A combination of `Exclusion` bits; zero if the server is eligible.
    std::atomic<std::uint32_t> exclusions{0};
    /// True if the server is in another failure domain than this instance.
    std::atomic<bool> inOtherDomain{false};
    /// False if the server accepts fewer connections than there are instances and none is assigned to this instance.
    /// The server is then used only if no other replica is left.
    std::atomic<bool> connectionAssigned{true};
    /// Idle timeout of connections to the server, in microseconds; zero if its connections are not scarce.
    std::atomic<std::int64_t> idleTimeoutUs{0};
    /// Penalty in microseconds: the replica is chosen only if it is faster by this amount. It keeps an instance to the replicas in its failure
    /// domain and, while connections are scarce, to one replica of a service. Zero for the preferred replicas.
    std::atomic<std::int64_t> affinityPenaltyUs{0};
    /// Number of permits in use: requests that the server may be running.
    std::atomic<int> inFlight{0};
    /// This instance's share of the server's connections; the shares of all instances sum to at most the server's
    /// limit.
    std::atomic<int> warmShare{0};
    /// This instance's share of the requests that the tier may send above level zero of the server's warm-up.
    std::atomic<int> coldShare{0};
    /// The limit of the warm-up owner at level zero, and the time until which this instance is the owner.
    std::atomic<int> coldOwnerShare{0};
    std::atomic<std::int64_t> coldOwnerUntilUs{0};
    /// The server has restarted, reports itself as cold, or is slow; its warm-up is not complete.
    std::atomic<bool> cold{false};
    /// The server was unreachable and may have restarted. It is limited like a cold server until the next report shows
    /// whether it has.
    std::atomic<bool> coldSuspected{false};
    /// Time on the monotonic clock, in microseconds, of the last response or report that showed the incarnation; zero
    /// before the first.
    std::atomic<std::int64_t> confirmedAtUs{0};
    /// Completed warm-up levels; each doubles the limit of the whole tier.
    std::atomic<int> warmUpLevel{0};
    /// Successful responses at the current level.
    std::atomic<int> warmUpAnswers{0};
    /// Consecutive responses that were slow for the service.
    std::atomic<int> consecutiveSlow{0};
    /// Incarnation in the last report: a number that changes with each start of the server process. Zero before the
    /// first report.
    std::atomic<std::uint64_t> incarnation{0};
    /// Load in the last report of the server.
    std::atomic<int> reportedLoad{0};
    /// Moving average of latency in microseconds; zero before the first response.
    std::atomic<std::int64_t> latencyUs{0};
    /// Time of the last latency sample or failure, in microseconds on the monotonic clock.
    std::atomic<std::int64_t> latencyAtUs{0};
    /// Consecutive failures that count towards ejection.
    std::atomic<int> consecutiveFailures{0};
    /// Moving average of the share of attempts that the server refused or failed, in thousandths.
    std::atomic<int> failurePerMille{0};
    /// Number of times that an attempt was still unanswered when its hedge was due or when it was cancelled, since the
    /// server last responded.
    std::atomic<int> unansweredAttempts{0};
    /// Completed attempts, and the bad ones among them, since the counts were last sent to the relays.
    std::atomic<std::uint32_t> endedAttempts{0};
    std::atomic<std::uint32_t> badAttempts{0};
    /// The share of bad attempts in the last warning of a relay, in thousandths, and the time of the warning, in
    /// microseconds on the monotonic clock.
    std::atomic<int> peerBadPerMille{0};
    std::atomic<std::int64_t> peerWarnedAtUs{0};
    /// Time on the monotonic clock, in microseconds, until which the server is ejected after repeated failures.
    std::atomic<std::int64_t> ejectedUntilUs{0};
    /// End of the warm-up time that the server announced, in microseconds on the monotonic clock.
    std::atomic<std::int64_t> announcedColdUntilUs{0};
    /// Minimum interval between two requests of this instance while the server is announced as cold, in microseconds.
    std::atomic<std::int64_t> announcedColdIntervalUs{0};
    /// Earliest time of this instance's next request while the server is announced as cold, in microseconds on the
    /// monotonic clock.
    std::atomic<std::int64_t> announcedColdNextRequestUs{0};
    /// Requests per second that the server accepts from all instances together, in thousandths; zero if it states no limit.
    std::atomic<std::int64_t> acceptedMilliRate{0};
    /// Number of instances that share the accepted rate.
    std::atomic<int> rateSharers{1};
    /// Earliest time of this instance's next request under the limit, and the time of the last response that stated the limit, in
    /// microseconds on the monotonic clock.
    std::atomic<std::int64_t> limitedNextRequestUs{0};
    std::atomic<std::int64_t> limitStatedAtUs{0};
    /// End of the pause that the server asked for, in microseconds on the monotonic clock; zero if it asked for none.
    std::atomic<std::int64_t> pausedUntilUs{0};
    /// Limit of the permits after a pause, raised by one with each request served; zero if it no longer applies.
    std::atomic<int> resumePermits{0};
    /// The server has asked for a pause and has served no request after it.
    std::atomic<bool> pauseStated{false};
    /// Number of requests sent and of failures, for the state dump.
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> failed{0};
};

} // namespace ragwort

#endif
