/// Metrics of the process in the text format of Prometheus.
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

/// Names and help of a family of metrics.
struct MetricName
{
    std::string name;
    std::string help;
};

/// The registry and what fills it at each scrape. Thread-safe.
class Metrics
{
public:
    [[nodiscard]] auto counter(const MetricName &name, const Labels &labels = {})
        -> prometheus::Counter &;
    [[nodiscard]] auto gauge(const MetricName &name, const Labels &labels = {})
        -> prometheus::Gauge &;
    [[nodiscard]] auto histogram(const MetricName &name, const std::vector<double> &buckets,
                                 const Labels &labels = {}) -> prometheus::Histogram &;

    /// Runs `update` before each scrape; for values that are kept elsewhere.
    auto onScrape(std::function<void()> update) -> void;

    /// The text of all metrics.
    [[nodiscard]] auto scrape() -> std::string;

private:
    std::mutex mutex_; ///< Guards `updates_`; held while they run.
    prometheus::Registry registry_;
    std::vector<std::function<void()>> updates_;
};

/// Moves a counter on to a total that is kept elsewhere; never back.
auto advanceTo(prometheus::Counter &counter, double total) -> void;

/// Adds processor seconds and resident bytes of this process.
auto addProcessMetrics(Metrics &metrics) -> void;

} // namespace applehatch::telemetry
