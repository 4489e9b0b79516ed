/// \file
/// Intervals of the control thread and their conversion for Qt's timers.
#ifndef RAGWORTCART_LIB_RUNTIME_CONTROLTIMERS_H
#define RAGWORTCART_LIB_RUNTIME_CONTROLTIMERS_H

#include "ragwortcart/Support/Clock.h"

#include <algorithm>

namespace ragwort {

inline constexpr Duration TICK_INTERVAL = std::chrono::milliseconds(100);
inline constexpr Duration STATUS_POLL_INTERVAL = std::chrono::milliseconds(500);
inline constexpr Duration STATUS_TIMEOUT = std::chrono::milliseconds(400);
inline constexpr Duration WATCH_RETRY_INTERVAL = std::chrono::milliseconds(250);
/// A watch of the configuration ends after this time, so that its answer shows how fresh the configuration is.
inline constexpr Duration CONFIGURATION_WATCH_TIME = std::chrono::milliseconds(800);
/// An instance that is no watcher asks the store itself once its peers leave it with knowledge older than this.
inline constexpr Duration WATCH_WITHOUT_PEERS_AGE = std::chrono::milliseconds(1700);
inline constexpr Duration LIST_WATCH_TIME = std::chrono::seconds(5);
inline constexpr Duration REBUILD_DELAY = std::chrono::milliseconds(5);

inline int toTimerMs(Duration duration)
{
    return static_cast<int>(std::max<std::int64_t>(toMs(duration), 0));
}

} // namespace ragwort

#endif
