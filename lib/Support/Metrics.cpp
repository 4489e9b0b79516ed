/// \file
/// Implementation of the metrics with Boost.Histogram.
#include "ragwortcart/Support/Metrics.h"

#include <algorithm>
#include <cstdio>

namespace ragwort {

/// With this number of bins, the upper edge of each bin is 10.5 % above its lower edge.
static constexpr unsigned LATENCY_BINS = 145;
static constexpr double LATENCY_MINIMUM_US = 50.0;
static constexpr double LATENCY_MAXIMUM_US = 100'000'000.0;
static constexpr Duration RECENT_LATENCY_PERIOD = std::chrono::seconds(10);

LatencyHistogram::LatencyHistogram() : bins(boost::histogram::make_histogram_with(Storage(), Axis(LATENCY_BINS, LATENCY_MINIMUM_US, LATENCY_MAXIMUM_US)))
{
}

void LatencyHistogram::record(Duration latency)
{
    this->bins(static_cast<double>(std::max<std::int64_t>(latency.count(), 1)));
    this->recorded.fetch_add(1, std::memory_order_relaxed);
    this->sumUs.fetch_add(latency.count(), std::memory_order_relaxed);
}

Duration LatencyHistogram::quantile(double quantile) const
{
    const std::uint64_t total = this->count();
    if (total == 0) {
        return Duration::zero();
    }
    const double rank = quantile * static_cast<double>(total);
    std::uint64_t countSoFar = 0;
    const auto &axis = this->bins.axis();
    for (int bin = -1; bin <= axis.size(); ++bin) {
        countSoFar += static_cast<std::uint64_t>(this->bins.at(bin));
        if (static_cast<double>(countSoFar) >= rank && countSoFar > 0) {
            const double edge = bin < 0 ? LATENCY_MINIMUM_US : axis.value(std::min(bin + 1, static_cast<int>(axis.size())));
            return Duration(static_cast<std::int64_t>(edge));
        }
    }
    return Duration(static_cast<std::int64_t>(LATENCY_MAXIMUM_US));
}

void LatencyHistogram::render(std::string &out, const std::string &name, const std::string &labels) const
{
    const auto &axis = this->bins.axis();
    const std::string separator = labels.empty() ? "" : ",";
    std::uint64_t cumulative = static_cast<std::uint64_t>(this->bins.at(-1));
    for (int bin = 0; bin < axis.size(); ++bin) {
        const auto binCount = static_cast<std::uint64_t>(this->bins.at(bin));
        cumulative += binCount;
        if (binCount == 0) {
            continue;
        }
        char edge[32];
        std::snprintf(edge, sizeof edge, "%.6g", axis.value(bin + 1) / 1e6);
        out += name + "_bucket{" + labels + separator + "le=\"" + edge + "\"} " + std::to_string(cumulative) + '\n';
    }
    out += name + "_bucket{" + labels + separator + "le=\"+Inf\"} " + std::to_string(this->count()) + '\n';
    out += name + "_count{" + labels + "} " + std::to_string(this->count()) + '\n';
    out += name + "_sum{" + labels + "} " + std::to_string(static_cast<double>(this->sumUs.load(std::memory_order_relaxed)) / 1e6) + '\n';
}

void LatencyHistogram::reset()
{
    this->bins.reset();
    this->recorded.store(0, std::memory_order_relaxed);
    this->sumUs.store(0, std::memory_order_relaxed);
}

void RecentLatency::record(Duration latency, Instant now)
{
    if (now >= this->periodEnd) {
        std::swap(this->current, this->previous);
        this->current->reset();
        this->periodEnd = now + RECENT_LATENCY_PERIOD;
    }
    this->current->record(latency);
}

std::optional<Duration> RecentLatency::quantile(double quantile, std::uint64_t minimumSamples) const
{
    if (this->current->count() + this->previous->count() < minimumSamples) {
        return std::nullopt;
    }
    return std::max(this->current->quantile(quantile), this->previous->quantile(quantile));
}

std::string metricLabel(std::string_view name, std::string_view value)
{
    std::string label = std::string(name) + "=\"";
    for (const char character : value) {
        if (character == '\n') {
            label += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            label += '\\';
        }
        label += character;
    }
    return label + '"';
}

Counter &MetricsRegistry::counter(const std::string &name, const std::string &labels)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::unique_ptr<Counter> &entry = this->counters[Key{.name = name, .labels = labels}];
    if (!entry) {
        entry = std::make_unique<Counter>();
    }
    return *entry;
}

LatencyHistogram &MetricsRegistry::histogram(const std::string &name, const std::string &labels)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::unique_ptr<LatencyHistogram> &entry = this->histograms[Key{.name = name, .labels = labels}];
    if (!entry) {
        entry = std::make_unique<LatencyHistogram>();
    }
    return *entry;
}

void MetricsRegistry::gauge(const std::string &name, const std::string &labels, std::function<double()> read)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->gauges[Key{.name = name, .labels = labels}] = std::move(read);
}

std::string MetricsRegistry::render() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::string out;
    auto appendTypeLine = [&out, lastName = std::string()](const std::string &name, const char *type) mutable {
        if (name != lastName) {
            out += "# TYPE " + name + ' ' + type + '\n';
            lastName = name;
        }
    };
    for (const auto &[key, counter] : this->counters) {
        appendTypeLine(key.name, "counter");
        out += key.name + '{' + key.labels + "} " + std::to_string(counter->value()) + '\n';
    }
    for (const auto &[key, read] : this->gauges) {
        appendTypeLine(key.name, "gauge");
        out += key.name + '{' + key.labels + "} " + std::to_string(read()) + '\n';
    }
    for (const auto &[key, histogram] : this->histograms) {
        appendTypeLine(key.name, "histogram");
        histogram->render(out, key.name, key.labels);
    }
    return out;
}

std::uint64_t MetricsRegistry::counterTotal(std::string_view name) const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::uint64_t total = 0;
    for (const auto &[key, counter] : this->counters) {
        if (key.name == name) {
            total += counter->value();
        }
    }
    return total;
}

} // namespace ragwort
