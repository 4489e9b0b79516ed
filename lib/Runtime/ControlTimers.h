/// \file
/// Defines the intervals of the control thread and their conversion for Qt timers.
#ifndef RAGWORTCART_LIB_RUNTIME_CONTROLTIMERS_H
#define RAGWORTCART_LIB_RUNTIME_CONTROLTIMERS_H

#include "ragwortcart/Support/Clock.h"

#include <algorithm>

namespace ragwort {

inline constexpr Duration TICK_INTERVAL = std::chrono::milliseconds(100);
inline constexpr Duration STATUS_POLL_INTERVAL = std::chrono::milliseconds(500);
inline constexpr Duration STATUS_TIMEOUT = std::chrono::milliseconds(400);
inline constexpr Duration WATCH_RETRY_INTERVAL = std::chrono::milliseconds(250);
/// Timeout of a configuration watch without changes. It is short, because each response, also one without changes, confirms that
/// the configuration is current.
inline constexpr Duration CONFIGURATION_WATCH_WAIT = std::chrono::milliseconds(800);
/// An instance that relies on peers watches the store directly once its configuration is older than this.
inline constexpr Duration DIRECT_WATCH_AGE = std::chrono::milliseconds(1700);
/// Timeout of a watch of the instance list without changes.
inline constexpr Duration LIST_WATCH_WAIT = std::chrono::seconds(5);
/// Delay before a scheduled rebuild of the topology, so that changes that arrive together cause only one rebuild.
inline constexpr Duration REBUILD_DELAY = std::chrono::milliseconds(5);

inline int toTimerMs(Duration duration)
{
    return static_cast<int>(std::max<std::int64_t>(toMs(duration), 0));
}

} // namespace ragwort

#endif
