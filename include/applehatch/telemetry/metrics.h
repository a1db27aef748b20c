/// Process metrics in the Prometheus text format.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace applehatch::telemetry {

using Labels = std::map<std::string, std::string>;

/// Name and help text of a metric family.
struct MetricName
{
    std::string name;
    std::string help;
};

/// Metric registry with callbacks that update it at each scrape. Thread-safe.
class Metrics
{
public:
    [[nodiscard]] auto counter(const MetricName &name, const Labels &labels = {})
        -> prometheus::Counter &;
    [[nodiscard]] auto gauge(const MetricName &name, const Labels &labels = {})
        -> prometheus::Gauge &;
    [[nodiscard]] auto histogram(const MetricName &name, const std::vector<double> &buckets,
                                 const Labels &labels = {}) -> prometheus::Histogram &;

    /// Registers `update` to run before each scrape, for values that are maintained elsewhere.
    auto onScrape(std::function<void()> update) -> void;

    /// Runs the updates and returns all metrics in the text format.
    [[nodiscard]] auto scrape() -> std::string;

private:
    std::mutex mutex_; ///< Guards `updates_`; held while they run.
    prometheus::Registry registry_;
    std::vector<std::function<void()>> updates_;
};

/// Advances a counter to a total that is maintained elsewhere; never decreases it.
auto advanceTo(prometheus::Counter &counter, double total) -> void;

/// Adds the processor time in seconds and the resident memory in bytes of this process.
auto addProcessMetrics(Metrics &metrics) -> void;

} // namespace applehatch::telemetry
