/// \file
/// The timer service that parts subscribe to. It is driven from outside: a shell advances it with the real clock, a test
/// with virtual time.
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

/// One-shot timers in order of time, then of subscription. Not thread-safe: each thread owns one.
class TimerService
{
public:
    using Callback = std::function<void(Instant now)>;

    /// Calls \p callback once, from the first `advance()` that reaches \p at.
    TimerId subscribe(Instant at, Callback callback);

    /// Forgets a timer; unknown or already fired ones are ignored.
    void cancel(TimerId id);

    /// Fires all timers due at \p now, in order. Callbacks may subscribe and cancel.
    void advance(Instant now);

    /// The instant of the earliest timer, if there is any.
    std::optional<Instant> nextDeadline() const;

    std::size_t size() const
    {
        return this->timers.size();
    }

private:
    using Position = std::pair<Instant, TimerId>;

    std::map<Position, Callback> timers;
    /// Invariant: holds exactly the ids that are in `timers`.
    std::unordered_map<TimerId, Instant> instants;
    TimerId lastId = 0;
};

} // namespace ragwort

#endif
