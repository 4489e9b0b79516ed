/// \file
/// Counters, gauges and latency histograms, rendered in the Prometheus text format. Histograms use Boost.Histogram.
#ifndef RAGWORTCART_SUPPORT_METRICS_H
#define RAGWORTCART_SUPPORT_METRICS_H

#include "ragwortcart/Support/Clock.h"

#include <atomic>
#include <boost/histogram.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace ragwort {

/// A monotonically increasing counter. Thread-safe.
class Counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        this->count.fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t value() const
    {
        return this->count.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> count{0};
};

/// A latency histogram with logarithmic bins from 50 us to 100 s. Several threads may record concurrently.
class LatencyHistogram
{
public:
    LatencyHistogram();

    void record(Duration latency);

    /// Returns the upper edge of the bin that contains \p quantile (0 to 1), or zero if the histogram is empty. Latencies outside
    /// the range of the bins count as the nearest end of the range.
    Duration quantile(double quantile) const;

    std::uint64_t count() const
    {
        return this->recorded.load(std::memory_order_relaxed);
    }

    /// Appends the non-empty bins to \p out as a Prometheus histogram in seconds.
    void render(std::string &out, const std::string &name, const std::string &labels) const;

    /// Clears the histogram. Must not run concurrently with `record()`.
    void reset();

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Cell = boost::histogram::accumulators::thread_safe<std::uint64_t>;
    using Storage = boost::histogram::dense_storage<Cell>;

    boost::histogram::histogram<std::tuple<Axis>, Storage> bins;
    std::atomic<std::uint64_t> recorded{0};
    std::atomic<std::int64_t> sumUs{0};
};

/// Latencies of the current and the previous period, held in two alternating histograms. A period starts with the first sample
/// after the end of the last one. Not thread-safe.
class RecentLatency
{
public:
    void record(Duration latency, Instant now);

    /// Returns the larger of the quantiles of the current and the previous period, so that thresholds derived from it, such as a
    /// hedge delay, err on the long side. Returns nothing if both periods together have fewer than \p minimumSamples samples.
    std::optional<Duration> quantile(double quantile, std::uint64_t minimumSamples) const;

private:
    std::unique_ptr<LatencyHistogram> current = std::make_unique<LatencyHistogram>();
    std::unique_ptr<LatencyHistogram> previous = std::make_unique<LatencyHistogram>();
    Instant periodEnd{};
};

/// Returns a label of a metric, in the Prometheus text format, for a value that may hold any characters.
std::string metricLabel(std::string_view name, std::string_view value);

/// All metrics of a process. Label sets are strings in the Prometheus syntax without braces, for example `kind="a",run="ran"`.
/// Looking up a metric takes a lock; the returned reference stays valid, so that callers keep it. Thread-safe.
class MetricsRegistry
{
public:
    Counter &counter(const std::string &name, const std::string &labels = {});
    LatencyHistogram &histogram(const std::string &name, const std::string &labels = {});
    /// Registers a gauge. `render()` calls \p read with the registry locked, so \p read must not use the registry.
    void gauge(const std::string &name, const std::string &labels, std::function<double()> read);

    /// Returns all metrics in the Prometheus text format.
    std::string render() const;

    /// Returns the sum of a counter over all its label sets.
    std::uint64_t counterTotal(std::string_view name) const;

private:
    struct Key
    {
        std::string name;
        std::string labels;
        friend bool operator<(const Key &left, const Key &right)
        {
            return left.name != right.name ? left.name < right.name : left.labels < right.labels;
        }
    };

    mutable std::mutex mutex;
    std::map<Key, std::unique_ptr<Counter>> counters;
    std::map<Key, std::unique_ptr<LatencyHistogram>> histograms;
    std::map<Key, std::function<double()>> gauges;
};

} // namespace ragwort

#endif
