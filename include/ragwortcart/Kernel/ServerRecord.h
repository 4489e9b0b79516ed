/// \file
/// What an entry instance knows of one backend server, shared by all its threads through atomics.
#ifndef RAGWORTCART_KERNEL_SERVERRECORD_H
#define RAGWORTCART_KERNEL_SERVERRECORD_H

#include "ragwortcart/Support/Clock.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace ragwort {

/// The unchanging part of a server's description, from the platform's instance list.
struct ServerIdentity
{
    std::string id;
    /// IP number and port.
    std::string address;
    std::string team;
    std::string group;
    std::string service;
    std::string domain;
    /// Requests that the server runs at once.
    int slots = 1;
};

/// How long a server counts as unchanged after it was last seen.
inline constexpr Duration CONFIRMATION_LIFETIME = std::chrono::milliseconds(2500);

/// Live state of one backend server as seen from this instance.
class ServerRecord
{
public:
    explicit ServerRecord(ServerIdentity serverIdentity) : identity(std::move(serverIdentity))
    {
    }

    const ServerIdentity identity;

    /// Why no new work may go to the server; zero when it may.
    enum Barrier : std::uint32_t {
        leaving = 1U << 0,
        domainOut = 1U << 1,
        instanceOut = 1U << 2,
        draining = 1U << 3,
        /// Outside this failure domain while the configuration is not known to be fresh.
        notFresh = 1U << 4,
        gone = 1U << 5,
    };

    bool hasBarrier() const
    {
        return this->barriers.load(std::memory_order_acquire) != 0;
    }
    void setBarrier(Barrier barrier, bool present);

    /// Takes one of this instance's permits for a request in flight; false when its share is used up.
    bool tryAcquire(Instant now);
    void release();

    /// Permits in use if one more request were sent, relative to the limit in force.
    bool hasPermit(Instant now) const
    {
        return this->mayStart(now) && this->inFlight.load(std::memory_order_relaxed) < this->limit(now);
    }

    /// Notes that the server was seen with the known incarnation at \p when.
    void confirm(Instant when);

    /// The limit in force: the warm share, or what the ramp allows during a cold start. A server that nobody has seen for
    /// `CONFIRMATION_LIFETIME` may have been restarted, and counts as cold.
    int limit(Instant now) const;

    /// Moving average of latency in microseconds; zero before the first answer.
    std::int64_t meanLatencyUs() const
    {
        return this->latencyUs.load(std::memory_order_relaxed);
    }
    void recordLatency(Duration latency, Instant now);

    /// Notes whether an attempt was served; refusals count as failures.
    void recordServed(bool served, Instant now);
    /// Notes for the other instances of the domain how an attempt has ended.
    void recordUse(bool bad)
    {
        this->endedUses.fetch_add(1, std::memory_order_relaxed);
        this->badUses.fetch_add(bad ? 1 : 0, std::memory_order_relaxed);
    }
    /// Other instances have seen this share of attempts go badly.
    void warn(int badPerMille, Instant now);

    /// The server was heard, whatever it said.
    void recordSignOfLife()
    {
        this->silentAttempts.store(0, std::memory_order_relaxed);
    }

    /// True while this instance alone may send to the server at level zero of its warm-up, and decides on the next level.
    bool ownsWarmUp(Instant now) const
    {
        return now.time_since_epoch().count() < this->coldOwnerUntilUs.load(std::memory_order_acquire);
    }

    bool isEjected(Instant now) const
    {
        return now.time_since_epoch().count() < this->ejectedUntilUs.load(std::memory_order_relaxed);
    }

    bool isAnnouncedCold(Instant now) const
    {
        return now.time_since_epoch().count() < this->announcedColdUntilUs.load(std::memory_order_relaxed);
    }

    /// False while the server is announced as cold and this instance's next request there is not due yet.
    bool mayStart(Instant now) const
    {
        return !this->isAnnouncedCold(now) || now.time_since_epoch().count() >= this->coldNextUs.load(std::memory_order_relaxed);
    }

    std::atomic<std::uint32_t> barriers{0};
    /// In another failure domain than this instance.
    std::atomic<bool> foreign{false};
    /// False when the server's connections do not suffice for all instances and others hold them: then it is used only if
    /// no other replica is left.
    std::atomic<bool> owned{true};
    /// How long a connection to the server may stay without use, in microseconds; zero if its connections are not scarce.
    std::atomic<std::int64_t> idleLimitUs{0};
    /// Where connections are scarce, an instance keeps to one replica of a service unless another is faster by this much, in
    /// microseconds; zero for that replica, and everywhere if connections are not scarce.
    std::atomic<std::int64_t> detourUs{0};
    std::atomic<int> inFlight{0};
    /// This instance's share of the server's connections; the shares of all instances sum to at most the server's limit.
    std::atomic<int> warmShare{0};
    /// This instance's part of what the tier may send above level zero of the server's warm-up.
    std::atomic<int> coldShare{0};
    /// What the owner of the warm-up alone may send, and until when this instance is the owner.
    std::atomic<int> coldOwnerShare{0};
    std::atomic<std::int64_t> coldOwnerUntilUs{0};
    std::atomic<bool> cold{false};
    /// The server was out of reach and may have been restarted: it is treated as cold until a report shows the incarnation
    /// that was known before.
    std::atomic<bool> coldSuspected{false};
    /// Microseconds on the monotonic axis at which an answer or a report last showed the incarnation; zero before the first.
    std::atomic<std::int64_t> confirmedAtUs{0};
    /// Steps of the warm-up done; each doubles what the tier as a whole may send.
    std::atomic<int> warmUpLevel{0};
    /// Good answers at the present level.
    std::atomic<int> warmUpAnswers{0};
    std::atomic<int> consecutiveSlow{0};
    /// Last incarnation seen in a report; zero before the first.
    std::atomic<std::uint64_t> incarnation{0};
    /// Load that the server itself reported last.
    std::atomic<int> reportedLoad{0};
    std::atomic<std::int64_t> latencyUs{0};
    /// When the latency was last recorded, in microseconds on the monotonic axis.
    std::atomic<std::int64_t> latencyAtUs{0};
    std::atomic<int> consecutiveFailures{0};
    /// Moving average of the share of attempts that the server refused or failed, in thousandths.
    std::atomic<int> failurePerMille{0};
    /// Attempts that were noted as slow since the server last gave a sign of life.
    std::atomic<int> silentAttempts{0};
    /// Attempts that have ended, and those of them that went badly, since they were last told to the peers.
    std::atomic<std::uint32_t> endedUses{0};
    std::atomic<std::uint32_t> badUses{0};
    /// The share of bad attempts that peers warned of, in thousandths, and when, in microseconds on the monotonic axis.
    std::atomic<int> warnedPerMille{0};
    std::atomic<std::int64_t> warnedAtUs{0};
    /// Microseconds on the monotonic axis until which no request is sent, after repeated failures.
    std::atomic<std::int64_t> ejectedUntilUs{0};
    /// Until when the server counts as cold by its own announcement, in microseconds on the monotonic axis.
    std::atomic<std::int64_t> announcedColdUntilUs{0};
    /// Time between two requests that this instance may start at the server while it is announced as cold.
    std::atomic<std::int64_t> coldIntervalUs{0};
    /// When this instance may start its next request at the server while it is announced as cold.
    std::atomic<std::int64_t> coldNextUs{0};
    /// Requests sent and failures seen, for the state dump.
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> failed{0};
};

} // namespace ragwort

#endif
