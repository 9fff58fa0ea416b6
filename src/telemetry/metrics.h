// Counters, gauges and latency histograms with labels, and their text exposition in the Prometheus format.
#ifndef CURRANTLUG_TELEMETRY_METRICS_H
#define CURRANTLUG_TELEMETRY_METRICS_H

#include <absl/time/time.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace currantlug::telemetry {

/// Label names and values of one series. The order is kept in the exposition.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// A count that only grows. Thread-safe.
class Counter
{
public:
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// A value that goes up and down. Thread-safe.
class Gauge
{
public:
    void set(double value) { value_.store(value, std::memory_order_relaxed); }
    void add(double amount);
    double value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<double> value_{0};
};

/// Durations in buckets from 1 ms to 180 s (the time within which the samples of a step complete). Thread-safe.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram &operator=(const LatencyHistogram &) = delete;

    void record(absl::Duration latency);

    struct Snapshot
    {
        std::vector<std::pair<double, std::uint64_t>> cumulative; ///< Upper bound in seconds, observations up to it.
        std::uint64_t count = 0;
        double sumSeconds = 0;
    };
    Snapshot snapshot() const;

private:
    struct Data;
    std::unique_ptr<Data> data_;
};

/// Owns all metrics of a process. A returned reference stays valid as long as the registry. Thread-safe.
class MetricsRegistry
{
public:
    MetricsRegistry();
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry &) = delete;
    MetricsRegistry &operator=(const MetricsRegistry &) = delete;

    /// The metric with this name and labels, created at the first call. A name must not be used for two kinds; the
    /// first help text given for a name is kept.
    Counter &counter(std::string_view name, std::string_view help, const Labels &labels = {});
    Gauge &gauge(std::string_view name, std::string_view help, const Labels &labels = {});
    LatencyHistogram &histogram(std::string_view name, std::string_view help, const Labels &labels = {});

    /// All metrics in the Prometheus text format, version 0.0.4, families in name order.
    std::string exposition() const;

private:
    struct Family;
    Family &family(std::string_view name, std::string_view help, std::string_view type);

    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<Family>, std::less<>> families_;
};

} // namespace currantlug::telemetry

#endif
