/// \file
/// One-shot timers for code without I/O. The owner advances the time: the I/O layer from the monotonic clock, tests and simulations
/// in virtual time.
#ifndef RAGWORTCART_SUPPORT_TIMERSERVICE_H
#define RAGWORTCART_SUPPORT_TIMERSERVICE_H

#include "ragwortcart/Support/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace ragwort {

using TimerId = std::uint64_t;

/// Fires one-shot timers in order of time; timers with the same time fire in the order in which they were subscribed.
/// Not thread-safe; each thread owns its own instance.
class TimerService
{
public:
    using Callback = std::function<void(Instant now)>;

    /// Subscribes \p callback to the instant \p at. The first `advance()` to that instant or later calls it once.
    TimerId subscribe(Instant at, Callback callback);

    /// Cancels a timer. Has no effect on unknown timers and on timers that have fired.
    void cancel(TimerId id);

    /// Fires all timers due at \p now, in order. Callbacks may subscribe and cancel timers; a timer that a callback
    /// subscribes for \p now or earlier fires in the same call.
    void advance(Instant now);

    /// Returns the instant of the earliest pending timer, if there is one.
    std::optional<Instant> nextDeadline() const;

    std::size_t size() const
    {
        return this->timers.size();
    }

private:
    using TimerKey = std::pair<Instant, TimerId>;

    std::map<TimerKey, Callback> timers;
    /// Invariant: contains exactly the ids in `timers`.
    std::unordered_map<TimerId, Instant> deadlines;
    TimerId lastId = 0;
};

} // namespace ragwort

#endif
