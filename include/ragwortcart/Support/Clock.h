/// \file
/// Time as every part of the system sees it: an instant on a monotonic axis in microseconds.
///
/// Decision code takes instants as arguments and never reads a clock, so the same code runs in real and in virtual time.
#ifndef RAGWORTCART_SUPPORT_CLOCK_H
#define RAGWORTCART_SUPPORT_CLOCK_H

#include <chrono>
#include <cstdint>

namespace ragwort {

using Duration = std::chrono::microseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Reads the process's monotonic clock. Only I/O shells call this.
inline Instant steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// Wall-clock milliseconds since the Unix epoch; for records that outlive a process, never for measuring intervals.
inline std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace ragwort

#endif
