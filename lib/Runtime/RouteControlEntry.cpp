/// \file
/// Implements the route control thread's own entry in the metadata store and the lease that keeps it.
#include "ragwortcart/Runtime/RouteControl.h"

#include "ragwortcart/Support/Hash.h"
#include "ragwortcart/Support/Log.h"

namespace ragwort {

/// Time without renewal after which the store deletes an instance's entry, for example after a crash.
static constexpr std::chrono::milliseconds LEASE_TTL = std::chrono::seconds(30);
static constexpr std::chrono::milliseconds LEASE_RENEWAL_INTERVAL = std::chrono::seconds(9);
static constexpr std::chrono::milliseconds LEASE_RETRY_DELAY = std::chrono::seconds(1);
/// Time per instance over which the instances write their entries again, so that the store is not asked by all at once.
static constexpr Duration OWN_ENTRY_SPREAD_PER_INSTANCE = std::chrono::milliseconds(2);
static constexpr int SPREAD_STEPS = 1000;

void RouteControl::grantLease()
{
    if (this->leaving || std::exchange(this->awaitsLease, true)) {
        return;
    }
    this->storeCalls.grants.add();
    this->options.store.grantLease(LEASE_TTL, [this](const Result<StoreLease> &granted) {
        if (!granted) {
            QTimer::singleShot(LEASE_RETRY_DELAY, this, [this] {
                this->awaitsLease = false;
                this->grantLease();
            });
            return;
        }
        this->awaitsLease = false;
        if (this->leaving) {
            this->options.store.endLease(granted->id);
            return;
        }
        if (this->statedEpoch && granted->epoch < this->actedOnEpoch) {
            // A later epoch has begun meanwhile, which has lost this lease.
            QTimer::singleShot(LEASE_RETRY_DELAY, this, [this] { this->grantLease(); });
            return;
        }
        this->lease = granted->id;
        ++this->leaseNumber;
        this->leaseEpoch = granted->epoch;
        this->publishInstanceEntry();
    });
}

void RouteControl::publishInstanceEntry()
{
    const InstanceItem self{.name = this->options.instance,
                            .domain = this->options.domain,
                            .peerAddress = this->links ? this->options.peersAddress : std::string(),
                            .capacity = this->options.capacity};
    this->storeCalls.writes.add();
    this->options.store.put(this->options.format.instanceKey(self.name),
                            this->options.format.encodeInstance(self),
                            this->lease,
                            [this, number = this->leaseNumber](const Result<StorePosition> &written) {
                                if (!written) {
                                    logEvent(LogLevel::warning, "own-entry-not-written", {{.key = "error", .value = written.error().describe()}});
                                }
                                const auto next = written ? &RouteControl::renewLease : &RouteControl::grantLease;
                                QTimer::singleShot(written ? LEASE_RENEWAL_INTERVAL : LEASE_RETRY_DELAY, this, [this, number, next] {
                                    if (number == this->leaseNumber) {
                                        (this->*next)();
                                    }
                                });
                            });
}

void RouteControl::renewOwnEntry()
{
    if (this->lease == 0) {
        // A lease is being granted.
        return;
    }
    // The number of the lost lease may be given out again, to another instance: it is neither renewed nor ended.
    this->lease = 0;
    ++this->leaseNumber;
    const Duration spread = OWN_ENTRY_SPREAD_PER_INSTANCE * this->registry.liveInstances();
    const Duration delay = spread * static_cast<int>(stableHash(this->options.instance) % SPREAD_STEPS) / SPREAD_STEPS;
    QTimer::singleShot(static_cast<int>(toMs(delay)), this, [this] {
        if (this->lease == 0) {
            this->grantLease();
        }
    });
}

void RouteControl::renewLease()
{
    if (this->leaving) {
        return;
    }
    this->storeCalls.renewals.add();
    this->options.store.renewLease(this->lease, [this, number = this->leaseNumber](const Result<StoreLease> &renewed) {
        if (number != this->leaseNumber || this->leaving) {
            return;
        }
        if (!renewed && renewed.error().code == Errc::notFound) {
            logEvent(LogLevel::warning, "lease-ended", {{.key = "lease", .value = std::to_string(this->lease)}});
            this->grantLease();
            return;
        }
        QTimer::singleShot(renewed ? LEASE_RENEWAL_INTERVAL : LEASE_RETRY_DELAY, this, [this, number] {
            if (number == this->leaseNumber) {
                this->renewLease();
            }
        });
    });
}

} // namespace ragwort
