// Metric storage on Boost.Histogram and atomics, and the Prometheus text format.
#include "telemetry/metrics.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>

#include <array>
#include <cassert>
#include <cmath>
#include <iterator>
#include <limits>
#include <variant>

namespace currantlug::telemetry {

namespace histogram = boost::histogram;

namespace {

constexpr std::array<double, 16> BucketBounds{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
                                              0.5,   1,     2,     5,    10,   20,   60,  180};

using BucketAxis = histogram::axis::variable<double, histogram::use_default, histogram::axis::option::overflow_t>;

// Bins of the axis are half-open at the top, buckets of the text format hold their bound: each edge is the number after
// the bound.
std::vector<double> bucketEdges()
{
    std::vector<double> edges{0};
    for (const double bound : BucketBounds) {
        edges.push_back(std::nextafter(bound, std::numeric_limits<double>::infinity()));
    }
    return edges;
}

using Buckets = decltype(histogram::make_histogram(std::declval<BucketAxis>()));

std::string escapeLabelValue(std::string_view value)
{
    std::string escaped;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            escaped += '\\';
            escaped += c;
        } else if (c == '\n') {
            escaped += "\\n";
        } else {
            escaped += c;
        }
    }
    return escaped;
}

// `name="value",...` without braces; empty without labels.
std::string labelText(const Labels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        fmt::format_to(std::back_inserter(text), "{}{}=\"{}\"", text.empty() ? "" : ",", name, escapeLabelValue(value));
    }
    return text;
}

std::string inBraces(const std::string &labels)
{
    return labels.empty() ? std::string() : fmt::format("{{{}}}", labels);
}

std::string escapeHelp(std::string_view help)
{
    std::string escaped;
    for (const char c : help) {
        if (c == '\\') {
            escaped += "\\\\";
        } else if (c == '\n') {
            escaped += "\\n";
        } else {
            escaped += c;
        }
    }
    return escaped;
}

void appendSeries(std::string &text, const std::string &name, const std::string &labels, const Counter &counter)
{
    fmt::format_to(std::back_inserter(text), "{}{} {}\n", name, inBraces(labels), counter.value());
}

void appendSeries(std::string &text, const std::string &name, const std::string &labels, const Gauge &gauge)
{
    fmt::format_to(std::back_inserter(text), "{}{} {}\n", name, inBraces(labels), gauge.value());
}

void appendSeries(std::string &text, const std::string &name, const std::string &labels,
                  const LatencyHistogram &latency)
{
    const LatencyHistogram::Snapshot snapshot = latency.snapshot();
    const std::string prefix = labels.empty() ? "" : labels + ",";
    for (const auto &[bound, count] : snapshot.cumulative) {
        fmt::format_to(std::back_inserter(text), "{}_bucket{{{}le=\"{}\"}} {}\n", name, prefix, bound, count);
    }
    fmt::format_to(std::back_inserter(text), "{}_bucket{{{}le=\"+Inf\"}} {}\n", name, prefix, snapshot.count);
    fmt::format_to(std::back_inserter(text), "{}_sum{} {}\n", name, inBraces(labels), snapshot.sumSeconds);
    fmt::format_to(std::back_inserter(text), "{}_count{} {}\n", name, inBraces(labels), snapshot.count);
}

} // namespace

void Gauge::add(double amount)
{
    double current = value_.load(std::memory_order_relaxed);
    while (!value_.compare_exchange_weak(current, current + amount, std::memory_order_relaxed)) { }
}

struct LatencyHistogram::Data
{
    mutable std::mutex mutex;
    Buckets buckets = histogram::make_histogram(BucketAxis(bucketEdges()));
    std::uint64_t count = 0;
    double sumSeconds = 0;
};

LatencyHistogram::LatencyHistogram()
    : data_(std::make_unique<Data>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(absl::Duration latency)
{
    const double seconds = std::max(0.0, absl::ToDoubleSeconds(latency));
    const std::lock_guard lock(data_->mutex);
    data_->buckets(seconds);
    ++data_->count;
    data_->sumSeconds += seconds;
}

LatencyHistogram::Snapshot LatencyHistogram::snapshot() const
{
    Snapshot result;
    const std::lock_guard lock(data_->mutex);
    std::uint64_t cumulative = 0;
    for (std::size_t bucket = 0; bucket < BucketBounds.size(); ++bucket) {
        cumulative += static_cast<std::uint64_t>(data_->buckets.at(static_cast<int>(bucket)));
        result.cumulative.emplace_back(BucketBounds[bucket], cumulative);
    }
    result.count = data_->count;
    result.sumSeconds = data_->sumSeconds;
    return result;
}

struct MetricsRegistry::Family
{
    using Series = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>, std::unique_ptr<LatencyHistogram>>;

    std::string help;
    std::string type;
    std::map<std::string, Series> series; ///< By label text.

    template<class Metric>
    Metric &find(const Labels &labels)
    {
        auto [entry, inserted] = series.try_emplace(labelText(labels));
        if (inserted) {
            entry->second = std::make_unique<Metric>();
        }
        return *std::get<std::unique_ptr<Metric>>(entry->second);
    }
};

MetricsRegistry::MetricsRegistry() = default;
MetricsRegistry::~MetricsRegistry() = default;

MetricsRegistry::Family &MetricsRegistry::family(std::string_view name, std::string_view help, std::string_view type)
{
    const auto found = families_.find(name);
    if (found != families_.end()) {
        assert(found->second->type == type);
        return *found->second;
    }
    auto created = std::make_unique<Family>();
    created->help = help;
    created->type = type;
    return *families_.emplace(std::string(name), std::move(created)).first->second;
}

Counter &MetricsRegistry::counter(std::string_view name, std::string_view help, const Labels &labels)
{
    const std::lock_guard lock(mutex_);
    return family(name, help, "counter").find<Counter>(labels);
}

Gauge &MetricsRegistry::gauge(std::string_view name, std::string_view help, const Labels &labels)
{
    const std::lock_guard lock(mutex_);
    return family(name, help, "gauge").find<Gauge>(labels);
}

LatencyHistogram &MetricsRegistry::histogram(std::string_view name, std::string_view help, const Labels &labels)
{
    const std::lock_guard lock(mutex_);
    return family(name, help, "histogram").find<LatencyHistogram>(labels);
}

std::string MetricsRegistry::exposition() const
{
    std::string text;
    const std::lock_guard lock(mutex_);
    for (const auto &[name, family] : families_) {
        fmt::format_to(std::back_inserter(text), "# HELP {} {}\n# TYPE {} {}\n", name, escapeHelp(family->help), name,
                       family->type);
        for (const auto &[labels, series] : family->series) {
            std::visit([&text, &name = name,
                        &labels = labels](const auto &metric) { appendSeries(text, name, labels, *metric); },
                       series);
        }
    }
    return text;
}

} // namespace currantlug::telemetry
