/// \file
/// Time types of the whole system: monotonic instants and durations in microseconds.
///
/// Code that makes decisions, such as the query engine, takes instants as arguments and never reads a clock, so that it runs
/// unchanged in real and in virtual time.
#ifndef RAGWORTCART_SUPPORT_CLOCK_H
#define RAGWORTCART_SUPPORT_CLOCK_H

#include <chrono>
#include <cstdint>

namespace ragwort {

using Duration = std::chrono::microseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Returns the current time of the process's monotonic clock. Must not be called by code that also runs in virtual time.
inline Instant steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. Intended for records that outlive the process; not suitable
/// for measuring intervals.
inline std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Returns \p duration in whole milliseconds, rounded toward zero.
inline std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace ragwort

#endif
