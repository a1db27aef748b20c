#include "applehatch/telemetry/metrics.h"

#include <prometheus/text_serializer.h>

namespace applehatch::telemetry {

auto Metrics::counter(const MetricName &name, const Labels &labels) -> prometheus::Counter &
{
    auto &family = prometheus::BuildCounter().Name(name.name).Help(name.help).Register(registry_);
    return family.Add(labels);
}

auto Metrics::gauge(const MetricName &name, const Labels &labels) -> prometheus::Gauge &
{
    auto &family = prometheus::BuildGauge().Name(name.name).Help(name.help).Register(registry_);
    return family.Add(labels);
}

auto Metrics::histogram(const MetricName &name, const std::vector<double> &buckets,
                        const Labels &labels) -> prometheus::Histogram &
{
    auto &family = prometheus::BuildHistogram().Name(name.name).Help(name.help).Register(registry_);
    return family.Add(labels, buckets);
}

auto Metrics::onScrape(std::function<void()> update) -> void
{
    const std::lock_guard lock(mutex_);
    updates_.push_back(std::move(update));
}

auto Metrics::scrape() -> std::string
{
    const std::lock_guard lock(mutex_);
    for (const auto &update : updates_)
        update();
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

auto advanceTo(prometheus::Counter &counter, double total) -> void
{
    const auto current = counter.Value();
    if (total > current)
        counter.Increment(total - current);
}

} // namespace applehatch::telemetry
