#include "ragwortcart/Support/Metrics.h"

#include <gtest/gtest.h>
#include <thread>
#include <vector>

namespace ragwort {

TEST(LatencyHistogramTest, quantileReturnsTheUpperEdgeOfItsBin)
{
    LatencyHistogram histogram;
    for (int index = 0; index < 99; ++index) {
        histogram.record(std::chrono::milliseconds(10));
    }
    histogram.record(std::chrono::milliseconds(500));
    EXPECT_GE(histogram.quantile(0.5), std::chrono::milliseconds(10));
    EXPECT_LE(histogram.quantile(0.5), std::chrono::milliseconds(12));
    EXPECT_LE(histogram.quantile(0.99), std::chrono::milliseconds(12));
    EXPECT_GE(histogram.quantile(0.999), std::chrono::milliseconds(500));
    EXPECT_LE(histogram.quantile(0.999), std::chrono::milliseconds(560));
}

TEST(LatencyHistogramTest, quantileOfAnEmptyHistogramIsZero)
{
    const LatencyHistogram histogram;
    EXPECT_EQ(histogram.quantile(0.99), Duration::zero());
}

TEST(LatencyHistogramTest, recordsConcurrentlyFromSeveralThreads)
{
    static constexpr int THREADS = 4;
    static constexpr int SAMPLES = 10'000;
    LatencyHistogram histogram;
    std::vector<std::thread> threads;
    for (int thread = 0; thread < THREADS; ++thread) {
        threads.emplace_back([&histogram] {
            for (int sample = 0; sample < SAMPLES; ++sample) {
                histogram.record(Duration(100 + sample));
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    EXPECT_EQ(histogram.count(), static_cast<std::uint64_t>(THREADS * SAMPLES));
    EXPECT_GT(histogram.quantile(0.5), Duration(4000));
}

TEST(RecentLatencyTest, discardsSamplesOlderThanThePreviousPeriod)
{
    RecentLatency latency;
    Instant now{std::chrono::seconds(100)};
    for (int index = 0; index < 100; ++index) {
        latency.record(std::chrono::milliseconds(900), now);
    }
    EXPECT_GE(*latency.quantile(0.5, 50), std::chrono::milliseconds(900));
    for (int period = 0; period < 2; ++period) {
        now += std::chrono::seconds(11);
        for (int index = 0; index < 100; ++index) {
            latency.record(std::chrono::milliseconds(2), now);
        }
    }
    EXPECT_LE(*latency.quantile(0.5, 50), std::chrono::milliseconds(3));
}

TEST(RecentLatencyTest, hasNoQuantileBelowTheMinimumSamples)
{
    RecentLatency latency;
    latency.record(std::chrono::milliseconds(1), Instant{});
    EXPECT_FALSE(latency.quantile(0.5, 2));
}

TEST(MetricsRegistryTest, rendersThePrometheusTextFormat)
{
    MetricsRegistry metrics;
    metrics.counter("things_total", "kind=\"a\"").add(3);
    metrics.counter("things_total", "kind=\"b\"").add(4);
    metrics.gauge("level", {}, [] { return 2.5; });
    metrics.histogram("wait_seconds").record(std::chrono::milliseconds(10));
    const std::string text = metrics.render();
    EXPECT_NE(text.find("# TYPE things_total counter\nthings_total{kind=\"a\"} 3\nthings_total{kind=\"b\"} 4\n"), std::string::npos);
    EXPECT_NE(text.find("level{} 2.5"), std::string::npos);
    EXPECT_NE(text.find("wait_seconds_bucket{le=\"+Inf\"} 1"), std::string::npos);
    EXPECT_EQ(metrics.counterTotal("things_total"), 7U);
}

/// Guards against the cause of issue 38 on the metrics page: the name of a team or a kind ended its label, so that the page could not be read.
TEST(MetricLabelTest, escapesWhatWouldEndTheValue)
{
    EXPECT_EQ(metricLabel("kind", "gate-check"), "kind=\"gate-check\"");
    EXPECT_EQ(metricLabel("kind", "a\"} 7\nb\\c"), "kind=\"a\\\"} 7\\nb\\\\c\"");
    EXPECT_EQ(metricLabel("kind", "a&b+c#d%41 e{},="), "kind=\"a&b+c#d%41 e{},=\"");
}

} // namespace ragwort
