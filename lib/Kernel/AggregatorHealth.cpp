/// \file
/// Implements the choice among aggregators.
#include "ragwortcart/Kernel/AggregatorHealth.h"

#include <algorithm>
#include <cmath>

namespace ragwort {

/// Latency assumed for an aggregator without answers, so that it is tried.
static constexpr Duration UNKNOWN_LATENCY = std::chrono::milliseconds(1);
static constexpr int LATENCY_AVERAGE_DIVISOR = 4;
/// Weights of a new sample of the time on the way, as in the estimate of round-trip times by TCP (RFC 6298).
static constexpr int TRANSFER_AVERAGE_DIVISOR = 8;
static constexpr int TRANSFER_DEVIATION_DIVISOR = 4;
/// Time on the way that is assumed at least, and before the first answer.
static constexpr Duration MINIMUM_TRANSFER_TIME = std::chrono::milliseconds(8);
/// Half-life of the weight of a latency without new answers.
static constexpr Duration LATENCY_HALF_LIFE = std::chrono::seconds(2);
/// How long an aggregator is avoided after it has refused a branch, and after it has been silent.
static constexpr Duration REFUSED_AVOIDANCE = std::chrono::milliseconds(150);
static constexpr Duration SILENT_AVOIDANCE = std::chrono::seconds(2);

void AggregatorHealth::setLinked(const std::string &instance, bool linked)
{
    State &state = this->states[instance];
    state.linked = linked;
    if (linked) {
        // It may be another process than before.
        state.latency = Duration::zero();
        state.transfer.reset();
        state.avoidedUntil = Instant{};
    }
}

double AggregatorHealth::expectedWait(const State &state, Duration lowest, Instant now)
{
    const Duration latency = state.latency == Duration::zero() ? UNKNOWN_LATENCY : state.latency;
    const double age = static_cast<double>(std::max(now - state.latencyAt, Duration::zero()).count());
    const double weight = std::exp2(-age / static_cast<double>(LATENCY_HALF_LIFE.count()));
    const double faded = static_cast<double>(lowest.count()) + static_cast<double>((latency - lowest).count()) * weight;
    return faded * (1 + state.open);
}

std::vector<Aggregator> AggregatorHealth::rank(std::span<const Aggregator> aggregators, std::span<const std::string> tried, Instant now, pcg32 &random) const
{
    struct Ranked
    {
        Aggregator aggregator;
        const State *state = nullptr;
        double wait = 0.0;
        std::uint32_t tieBreak = 0;
    };
    std::vector<Ranked> ranked;
    Duration lowest = Duration::max();
    for (const Aggregator &aggregator : aggregators) {
        const auto state = this->states.find(aggregator.instance);
        const bool usable = state != this->states.end() && state->second.linked && state->second.avoidedUntil <= now;
        if (!usable || std::find(tried.begin(), tried.end(), aggregator.instance) != tried.end()) {
            continue;
        }
        lowest = std::min(lowest, state->second.latency == Duration::zero() ? UNKNOWN_LATENCY : state->second.latency);
        ranked.push_back({.aggregator = aggregator, .state = &state->second, .wait = 0.0, .tieBreak = random()});
    }
    for (Ranked &each : ranked) {
        each.wait = expectedWait(*each.state, lowest, now);
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &left, const Ranked &right) {
        return left.wait != right.wait ? left.wait < right.wait : left.tieBreak < right.tieBreak;
    });
    std::vector<Aggregator> result;
    result.reserve(ranked.size());
    for (Ranked &each : ranked) {
        result.push_back(std::move(each.aggregator));
    }
    return result;
}

void AggregatorHealth::onSent(const std::string &instance)
{
    ++this->states[instance].open;
}

void AggregatorHealth::onEnded(const std::string &instance)
{
    State &state = this->states[instance];
    state.open = std::max(state.open - 1, 0);
}

Duration AggregatorHealth::transferTime(const std::string &instance) const
{
    const auto found = this->states.find(instance);
    if (found == this->states.end() || !found->second.transfer) {
        return MINIMUM_TRANSFER_TIME;
    }
    return std::max(*found->second.transfer + found->second.transferDeviation, MINIMUM_TRANSFER_TIME);
}

void AggregatorHealth::onAnswered(const std::string &instance, Duration latency, Duration heldFor, Instant now)
{
    this->onEnded(instance);
    State &state = this->states[instance];
    state.latency = state.latency == Duration::zero() ? latency : state.latency + (latency - state.latency) / LATENCY_AVERAGE_DIVISOR;
    state.latencyAt = now;
    const Duration transfer = std::max(latency - heldFor, Duration::zero());
    if (!state.transfer) {
        state.transfer = transfer;
        state.transferDeviation = transfer / 2;
        return;
    }
    const Duration distance = std::chrono::abs(transfer - *state.transfer);
    state.transferDeviation += (distance - state.transferDeviation) / TRANSFER_DEVIATION_DIVISOR;
    *state.transfer += (transfer - *state.transfer) / TRANSFER_AVERAGE_DIVISOR;
}

void AggregatorHealth::onRefused(const std::string &instance, Instant now)
{
    this->onEnded(instance);
    State &state = this->states[instance];
    state.avoidedUntil = std::max(state.avoidedUntil, now + REFUSED_AVOIDANCE);
}

void AggregatorHealth::onSilent(const std::string &instance, Instant now)
{
    this->onEnded(instance);
    this->states[instance].avoidedUntil = now + SILENT_AVOIDANCE;
}

void AggregatorHealth::onCancelled(const std::string &instance)
{
    this->onEnded(instance);
}

} // namespace ragwort
