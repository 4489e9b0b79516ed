/// \file
/// Estimates how long messages of a peer are delayed, from the clocks of both sides, which need not agree.
#ifndef RAGWORTCART_SUPPORT_DELAYESTIMATOR_H
#define RAGWORTCART_SUPPORT_DELAYESTIMATOR_H

#include "ragwortcart/Support/Clock.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace ragwort {

/// Takes the message with the smallest difference between both clocks in the current and the previous period as not delayed. The difference
/// itself may be anything; a clock that stops for a while changes it, which the estimates follow after two periods.
class DelayEstimator
{
public:
    /// Returns the delay of a message that was sent at \p sentAtUs on the peer's clock and received at \p receivedAt.
    Duration delayOf(std::int64_t sentAtUs, Instant receivedAt)
    {
        if (receivedAt >= this->periodEnd) {
            this->previousLowestUs = this->lowestUs;
            this->lowestUs = std::numeric_limits<std::int64_t>::max();
            this->periodEnd = receivedAt + PERIOD;
        }
        const std::int64_t differenceUs = receivedAt.time_since_epoch().count() - sentAtUs;
        this->lowestUs = std::min(this->lowestUs, differenceUs);
        return Duration(differenceUs - std::min(this->lowestUs, this->previousLowestUs));
    }

private:
    static constexpr Duration PERIOD = std::chrono::seconds(5);

    std::int64_t lowestUs = std::numeric_limits<std::int64_t>::max();
    std::int64_t previousLowestUs = std::numeric_limits<std::int64_t>::max();
    Instant periodEnd{};
};

} // namespace ragwort

#endif
