/// \file
/// What an instance knows of the aggregators that it asks: their links, their latency and their open branches. Decides which one is asked next.
#ifndef RAGWORTCART_KERNEL_AGGREGATORHEALTH_H
#define RAGWORTCART_KERNEL_AGGREGATORHEALTH_H

#include "ragwortcart/Kernel/QueryDivision.h"

#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <span>
#include <string>
#include <vector>

namespace ragwort {

/// Used by one thread.
class AggregatorHealth
{
public:
    /// Records that the link to an instance has opened or closed. Only linked aggregators are asked.
    void setLinked(const std::string &instance, bool linked);

    /// Returns the aggregators that may be asked now, the one with the lowest expected wait first. Leaves out those in \p tried.
    std::vector<Aggregator> rank(std::span<const Aggregator> aggregators, std::span<const std::string> tried, Instant now, pcg32 &random) const;

    /// Returns how long a branch and its answer usually spend on their way to the aggregator and back, without the time for which it holds the
    /// branch. Waiting for the processors of both instances counts as being on the way.
    Duration transferTime(const std::string &instance) const;

    void onSent(const std::string &instance);
    /// The aggregator has answered \p latency after the branch was sent, of which it held the branch for \p heldFor, whether it has gathered
    /// the shards or not.
    void onAnswered(const std::string &instance, Duration latency, Duration heldFor, Instant now);
    /// The aggregator has refused, because it is busy or stops.
    void onRefused(const std::string &instance, Instant now);
    /// The aggregator has not answered in time, or its link has closed.
    void onSilent(const std::string &instance, Instant now);
    /// The branch was cancelled.
    void onCancelled(const std::string &instance);

private:
    struct State
    {
        bool linked = false;
        /// Number of branches that the aggregator has not answered.
        int open = 0;
        /// Moving average; zero before the first answer.
        Duration latency{};
        Instant latencyAt{};
        /// Moving averages of the time on the way, and of its distance from the average. Nothing before the first answer.
        std::optional<Duration> transfer;
        Duration transferDeviation{};
        Instant avoidedUntil{};
    };

    void onEnded(const std::string &instance);
    /// Returns the expected wait for an answer. An average without new answers fades towards \p lowest.
    static double expectedWait(const State &state, Duration lowest, Instant now);

    std::map<std::string, State, std::less<>> states;
};

} // namespace ragwort

#endif
